#!/usr/bin/env bash
# An object of another writer names no server, order or zone but its own, whatever its
# name and content hold: requests and orders go on as without it.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-3150}
. t/lib.sh
. t/lib-routes.sh

CHANGE_S=5      # until a change in the store is in force
DELIVERY_S=0.6  # until a node has a change, with its pause between watches
ROLLOUT_S=25    # for a roll-out over 8 s
LONG_NAME=$(head -c 3000 /dev/zero | tr '\0' x)
ORDERS=12       # beside each entry

# entry FIELD=VALUE...: the entry of a ready server at the address of server 4, with
# fields replaced; a value is JSON.
entry() {
	local field text="{\"service\":\"desk\",\"addr\":\"$(backend_address 4)\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\"}"
	for field in "$@"; do text=$(jq -c ".${field%%=*} = ${field#*=}" <<<"$text"); done
	printf '{"spec":%s}' "$text"
}
# put_entry NAME FIELD=VALUE...: writes it under a name, as that stands in a path.
put_entry() {
	local name=$1
	shift
	entry "$@" >"$WORK/entry"
	curl -fs -m 5 -o /dev/null -X PUT -H 'x-operator: 1' --data-binary "@$WORK/entry" \
		"http://$STORE/objects/servers/$name" || fail "cannot write entry $name"
	sleep "$DELIVERY_S"
}
remove_entry() {
	delete_object "servers/$1"
	sleep "$DELIVERY_S"
}
count_ran_at() { curl -fs "http://$(backend_address "$1")/ran" | grep -c .; }
# wait_for_event EVENT PATTERN: until the last such line of node 1 matches.
last_event_matches() { grep "$1" "$WORK/route1.log" | tail -n 1 | grep -q "$2"; }
wait_for_event() {
	until_true "$CHANGE_S" last_event_matches "$1" "$2" || fail "no event $1 with $2"
}
# expect_served WHAT: each order is served, by server 2.
expect_served() {
	local before
	before=$(count_ran_at 2)
	for _ in $(seq "$ORDERS"); do expect "an order beside $1" 200 "$(send 1 POST /order/ok)"; done
	expect "orders at server 2 beside $1" "$ORDERS" "$(($(count_ran_at 2) - before))"
}

start_objects
start_backend 2 desk
start_backend 4 other
configure 3
for n in 1 2; do
	start_route_node "$n"
	wait_route_ready "$n"
done
expect_served "no other entry"

say "text with a NUL is not the text before it"
put_entry 'i-2%00' 'state="draining"'
expect_served "an entry whose name begins as that of server 2 and drains"
remove_entry 'i-2%00'
expect_served "the removal of that entry"
for field in 'service="desk\u0000"' 'addr="'"$(backend_address 4)"'\u0000"' 'version="v1\u0000"' 'zone="z1\u0000"'; do
	put_entry i-9 "$field"
	expect_served "an entry with $field"
	remove_entry i-9
done
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":600}}'
wait_for_event E420 'target=v2'
put_object rollouts/desk%00 '{"spec":{"service":"desk\u0000","target":"v3","over_s":600}}'
put_object config/main%00 '{"spec":{"version":9,"routes":[]}}'
sleep "$DELIVERY_S"
delete_object rollouts/desk%00
sleep "$DELIVERY_S"
! grep -E 'E420.*(target=v3|state=removed)' "$WORK/route1.log" || fail "another object replaces or removes an order"
! grep 'E200.*revision=9' "$WORK/route1.log" || fail "another object is the configuration"
delete_object rollouts/desk
wait_for_event E420 'service=desk state=removed'

say "a roll-out is ordered under the name of its service only"
start_backend 3 desk v2
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":8}}'
wait_for_event E420 'target=v2 over_ms=8000'
put_object 'rollouts/desk%202' '{"spec":{"service":"desk","target":"v9","over_s":600}}'
is_order_completed() {
	for _ in 1 2 3 4 5 6 7 8; do send 1 GET /read/ok >/dev/null; done
	curl -fs -H 'x-operator: 1' "http://$STORE/objects/rollouts" | grep -q completed
}
until_true "$ROLLOUT_S" is_order_completed || fail "another object's order is followed"
! grep -q 'target=v9' "$WORK/route1.log" || fail "another object's order is known"
for name in desk 'desk%202'; do delete_object "rollouts/$name"; done
wait_for_event E420 'service=desk state=removed'
delete_object servers/i-3
wait_for_event 'E710.*server=i-3' 'to=gone'
expect_served "no order any more"

say "a name that no header field holds is of no server"
delete_object servers/i-2
wait_for_event 'E710.*server=i-2 ' 'to=gone'
for name in 'i-4%0D%0AX-Forged%3A%201' 'i-4%20' 'i-4%09' 'i-4%7F' 'i-4%C3%A9' "$LONG_NAME"; do
	put_entry "$name"
	expect "an order with no server but ${name:0:30}" 503 "$(send 1 POST /order/ok)"
	remove_entry "$name"
done
put_server 2 desk v1 ready
wait_for_event 'E710.*server=i-2 ' 'to=ready'
expect_served "no such entry any more"

say "a text of an entry makes no line of the log"
put_entry i-5 'zone="z1\n2026-01-01T00:00:00.000000Z error route1 E105 forged\u001b[2J"'
wait_for_event 'E710.*server=i-5 ' 'to=ready'
! grep -q '^2026-01-01' "$WORK/route1.log" || fail "a line of the log was written by another"
! grep -q $'\x1b' "$WORK/route1.log" || fail "a control character is in the log"
remove_entry i-5

say "an address that can't be connected to is of no server"
for address in nowhere localhost:80 127.0.0.1 '127.0.0.1 :80' 127.0.0.1:0 127.0.0.1:65536 '[::1]:80'; do
	put_entry i-7 "addr=\"$address\""
	! grep -q 'E710.*server=i-7 .*to=ready' "$WORK"/route*.log || fail "an entry with the address $address is used"
	expect_served "an entry with the address $address"
	remove_entry i-7
done

say "an entry with the address of another server"
put_entry i-8 "addr=\"$(backend_address 2)\""
expect_served "an entry with the address of server 2"
remove_entry i-8

say "a node that is named as a server is none"
for n in 1 2; do
	put_entry i-6 "addr=\"$(client_address "$n")\""
	expect_served "an entry with the address of node $n"
	remove_entry i-6
done

say "foreign entries: passed"
