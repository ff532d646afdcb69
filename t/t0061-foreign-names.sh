#!/usr/bin/env bash
# An object of another writer, whatever its name, keeps no node from reading the
# objects on the pages after it: a fleet that starts beside it serves.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-5190}
. t/lib.sh
. t/lib-routes.sh

RECOVER_S=12 # of a fleet that starts anew
CHANGE_S=5   # until a change in the store is in force
ROLLOUT_S=25 # for a roll-out over 8 s
NODES=3
MAX_LIST_CALLS=60 # of a node that starts beside refused pages, in three topics

# Names as they stand in a path. Each sorts before the servers; 'i-0%2541', decoded
# twice, would sort after i-03.
NAMES=(
	'i-0%26x' 'i-0%26since_rev%3Di-3' 'i-0%2Bx' 'i-0%23x' 'i-0%25' 'i-0%2541'
	'i-0%20x' 'i-0%20' 'i-0%20HTTP%2F1.1' 'i-0%3Fx' 'i-0%2Fx' 'i-0%2F..%2Fx'
	'i-0%22x' 'i-0%5Cx' 'i-0%3Cx%3E' 'i-0%09x' 'i-0%7Fx' 'i-0%C3%A9'
	'i-0%0Ax' 'i-0%0D%0Ax-operator%3A%201' 'i-0%00' 'i-0%00x'
)

control_store() { curl -fs -m 5 -o /dev/null -d "$1" "http://$STORE/control"; }
is_served() { [ "$(send "$1" POST /order/ok)" = 200 ]; }
restart() {
	crash route1
	start_route_node 1
}
expect_no_refusal() { expect "calls with a malformed target, $1" 0 "$(curl -fs "http://$STORE/refused")"; }

start_objects
control_store '{"page":1}'
start_backend 03 desk
start_backend 1 other
configure 3
start_route_node 1
wait_route_ready 1
until_true 5 is_served 1 || fail "the first order is not served"

for name in "${NAMES[@]}"; do
	put_object "servers/$name" '{"spec":{"service":7}}'
	restart
	until_true "$RECOVER_S" is_served 1 || fail "no order is served beside $name"
	delete_object "servers/$name"
done
expect_no_refusal "of names one by one"

say "a fleet starts beside all of them, in each topic"
for name in "${NAMES[@]}"; do
	for kind in servers config rollouts; do put_object "$kind/$name" '{"spec":{"service":7}}'; done
done
crash route1
for n in $(seq "$NODES"); do start_route_node "$n"; done
for n in $(seq "$NODES"); do
	until_true "$RECOVER_S" is_served "$n" || fail "node $n does not serve after $RECOVER_S s"
done
expect_no_refusal "of all names"

say "later changes are seen"
start_backend 2 desk
delete_object servers/i-03
is_served_by_2() { is_served 1 && run_line "$(cat "$WORK/id")" | grep -q 'by=i-2$'; }
until_true "$CHANGE_S" is_served_by_2 || fail "a change of servers is not seen"
expect_no_refusal "of the watches"
say "a name that is too long for a target keeps only itself from view"
for name in "${NAMES[@]}"; do
	for kind in servers config rollouts; do delete_object "$kind/$name"; done
done
for kind in servers config rollouts; do
	put_object "$kind/a-0" '{"spec":{"service":7}}'
	put_object "$kind/a-1$(head -c 300 /dev/zero | tr '\0' x)" '{"spec":{"service":7}}'
done
control_store '{"page":2,"target":200}'
# Other nodes would tell this one what they know.
for n in 2 3; do stop "route$n"; done
before=$(curl -fs "http://$STORE/calls")
restart
until_true "$RECOVER_S" is_served 1 || fail "no order is served beside a long name"
calls=$(($(curl -fs "http://$STORE/calls") - before))
[ "$calls" -le "$MAX_LIST_CALLS" ] || fail "$calls calls until the lists are read"

say "the end of a roll-out is written, whatever the name of its service"
SERVICE='odd & 100%#/?'
OBJECT=rollouts/odd%20%26%20100%25%23%2F%3F
start_backend 4 "$SERVICE" v1
start_backend 5 "$SERVICE" v2
put_object "$OBJECT" "{\"spec\":{\"service\":\"$SERVICE\",\"target\":\"v2\",\"over_s\":8}}"
configure 4 "{\"name\":\"odd\",\"host\":\"$HOST\",\"path_prefix\":\"/odd/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"goal_ms\":100,\"priority\":2,\"service\":\"$SERVICE\",\"attempts\":2,\"public\":true}"
is_end_written() {
	for _ in 1 2 3 4 5 6 7 8; do send 1 GET /odd/ok >/dev/null; done
	grep -q 'E422.*effect=1' "$WORK"/route*.log
}
until_true "$ROLLOUT_S" is_end_written || fail "the end of the roll-out is not written"
expect_no_refusal "of the roll-out"
say "foreign names: passed"
