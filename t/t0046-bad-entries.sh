#!/usr/bin/env bash
# An object of the platform's store that can't be read makes only itself unusable:
# the others of the same answer are used, and later changes are seen.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-16300}
. t/lib.sh
. t/lib-routes.sh

RECOVER_S=12 # of a fleet that starts anew
CHANGE_S=2   # until a change is in force
NODES=3
HALF_S=6          # in which answers end in the middle
MAX_HALF_CALLS=30 # of a node, for three topics

# put_raw KIND/NAME TEXT: writes an object whose spec is TEXT, as it is.
put_raw() {
	printf '{"spec":{"raw":"%s"}}' "$(sed 's/["\\]/\\&/g' <<<"$2")" >"$WORK/raw"
	curl -fs -m 5 -o /dev/null -X PUT -H 'x-operator: 1' --data-binary "@$WORK/raw" \
		"http://$STORE/objects/$1" || fail "cannot write object $1"
}
lists() { printf '[%.0s' $(seq "$1"); printf ']%.0s' $(seq "$1"); }

# put_bad KIND: leaves objects of each kind of damage.
put_bad() {
	put_raw "$1/bad-deep" "{\"service\":$(lists 28),\"seq\":1}"
	put_raw "$1/bad-deeper" "{\"service\":$(lists 1200)}"
	put_raw "$1/bad-types" '{"service":7,"addr":[],"zone":{},"version":null,"slots":"many","state":true,"routes":1}'
	put_raw "$1/bad-number" '{"service":"desk","slots":999999999999999999999999999999,"born":-1e400,"seq":1e999}'
	put_raw "$1/bad-keys" '{"service":"desk","service":[],"state":"ready","state":"gone","addr":"x","addr":"y"}'
	put_raw "$1/bad-text" $'{"service":"\xff\xfe\x80 \xc3","addr":"\x01"}'
	put_raw "$1/bad-word" 'what is this'
	put_raw "$1/bad-nothing" 'null'
	put_raw "$1/bad-long" "{\"service\":\"$(head -c 60000 /dev/zero | tr '\0' x)\"}"
}
status_of() { send "$1" POST /order/ok; }
is_served() { [ "$(status_of "$1")" = 200 ]; }
is_served_by() { is_served "$1" && run_line "$(cat "$WORK/id")" | grep -q "by=i-$2\$"; }

start_objects
for n in 1 2; do start_backend "$n" desk; done
configure 3
start_route_node 1
wait_route_ready 1
until_true 5 is_served 1 || fail "the first order is not served"

say "bad entries appear: later changes are seen"
for kind in servers config rollouts; do put_bad "$kind"; done
sleep 1
start_backend 3 desk
for n in 1 2; do delete_object "servers/i-$n"; done
until_true "$CHANGE_S" is_served_by 1 3 || fail "a change of servers behind bad entries is not seen"
sleep "$CHANGE_S"
for _ in 1 2 3 4 5 6; do
	is_served_by 1 3 || fail "a server that was removed is still used"
done
configure 4 "{\"name\":\"new\",\"host\":\"$HOST\",\"path_prefix\":\"/new/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":true}"
is_new_served() { [ "$(send 1 GET /new/ok)" = 200 ]; }
until_true "$CHANGE_S" is_new_served || fail "a configuration beside bad entries is not in force"
grep -q 'E214.*kind=servers.*first=bad-deep' "$WORK/route1.log" || fail "no line tells of the entries that were left out"

say "a good entry turns bad: it is not used; then good again"
put_raw servers/i-3 "$(lists 1200)"
sleep "$CHANGE_S"
expect "an order for a server whose entry can't be read" 503 "$(status_of 1)"
put_server 3 desk v1 ready
until_true "$CHANGE_S" is_served_by 1 3 || fail "server 3 is not used again"

say "a fleet that starts while bad entries stand serves"
crash route1
started=$(date +%s%3N)
for n in $(seq "$NODES"); do start_route_node "$n"; done
for n in $(seq "$NODES"); do
	until_true "$RECOVER_S" is_served "$n" || fail "node $n does not serve after $RECOVER_S s"
done
say "serves after $(($(date +%s%3N) - started)) ms"
for n in $(seq "$NODES"); do
	! grep -q 'E215' "$WORK/route$n.log" || fail "node $n could not read an answer to its end"
done
say "answers that end in the middle: no calls without end, and what is readable is used"
control_store() { curl -fs -m 5 -o /dev/null -d "$1" "http://$STORE/control"; }
for n in 2 3; do stop "route$n"; done
control_store '{"mode":"half"}'
before=$(curl -fs "http://$STORE/calls")
sleep "$HALF_S"
calls=$(($(curl -fs "http://$STORE/calls") - before))
[ "$calls" -le "$MAX_HALF_CALLS" ] || fail "$calls calls in $HALF_S s"
is_served 1 || fail "the node no longer serves"
control_store '{"mode":"ok"}'
start_backend 4 desk
delete_object servers/i-3
until_true "$RECOVER_S" is_served_by 1 4 || fail "changes are not seen after the answers are whole again"
say "bad entries: passed"
