#!/usr/bin/env bash
# What the store says of a roll-out holds at all nodes: its end, though a node has
# decided otherwise, and its removal, though that comes while a node can't watch.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-19300}
. t/lib.sh
. t/lib-routes.sh

CHANGE_S=5 # until a change in the store is in force

control_store() { curl -fs -m 5 -o /dev/null -d "$1" "http://$STORE/control"; }
is_served_by() { [ "$(send 1 GET /read/ok)" = 200 ] && run_line "$(cat "$WORK/id")" | grep -q "by=i-$1\$"; }

start_objects
start_backend 1 desk v1
start_backend 2 desk v2
curl -fs -o /dev/null "http://$(backend_address 2)/control/fail"
configure 3
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":8}}'
start_route_node 1
wait_route_ready 1

say "a node reverts a bad version"
is_reverted() {
	for _ in 1 2 3 4 5 6 7 8; do send 1 GET /read/ok >/dev/null; done
	grep -q 'E421.*state=rolled-back' "$WORK/route1.log"
}
until_true 25 is_reverted || fail "the bad version is not reverted"

say "the store says that it is complete, and the old servers are gone"
curl -fs -o /dev/null "http://$(backend_address 2)/control/none"
put_object rollouts/desk/status '{"status":{"state":"completed","target":"v2"}}'
delete_object servers/i-1
until_true "$CHANGE_S" is_served_by 2 || fail "the node serves nothing: it keeps to the old version"

say "an order is removed while the node does not watch"
put_server 1 desk v1 ready
put_object rollouts/desk '{"spec":{"service":"desk","target":"v3","over_s":600}}'
until_true "$CHANGE_S" grep -q 'E420.*target=v3' "$WORK/route1.log" || fail "the order is not known"
control_store '{"mode":"busy"}'
delete_object rollouts/desk
control_store '{"forget":true}'
control_store '{"mode":"ok"}'
until_true "$CHANGE_S" grep -q 'E420.*service=desk.*state=removed' "$WORK/route1.log" || fail "the removed order is still known"
say "rollout ends: passed"
