#!/usr/bin/env bash
# A roll-out must not stay unfinished when its coordinator is killed and starts again
# after all traffic has moved to the new version.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-10100}
. t/lib.sh
. t/lib-routes.sh

NODES="1 2 3 4 5"
OVER_S=30
LATE_S=5
# Few requests may use a bad version, so all that move late exceed it at once.
EXPOSURE='"expose_share": 0.08, "expose_slack": 0'
DOWN_S=2 # less than others take to count it as dead

read_in_turn() {
	exec curl -s -m 120 --rate 20/s -o /dev/null -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
		-H "X-Chivegw-Request-Id: r-$1-$RANDOM" "http://$(client_address "$1")/read/ok?[1-9999]"
}
rollout_state() { curl -fs -H 'x-operator: 1' "http://$STORE/objects/rollouts" | jq -r '.items[0].status.state // "none"'; }
is_completed() { [ "$(rollout_state)" = completed ]; }
# coordinator: the node that has decided to move all traffic.
coordinator() { grep -l 'E421 .* share=1.000 by=judge' "$WORK"/route*.log | sed 's/.*route\([0-9]*\).log/\1/'; }
has_moved() { [ "$(grep -l 'E421 .* share=1.000 by=route' "$WORK"/route*.log | wc -l)" -ge 2 ]; }

start_objects
for n in $NODES; do start_route_node "$n" "$EXPOSURE"; done
for n in 1 2; do start_backend "$n" desk; done
for n in 3 4; do start_backend "$n" desk v2; done
configure 3
for n in $NODES; do wait_route_ready "$n"; done
for n in $NODES; do run "reads$n" read_in_turn "$n"; done
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":'$OVER_S'}}'

until_true "$OVER_S" has_moved || fail "no node moves all traffic"
node=$(coordinator)
say "the coordinator, route$node, is killed and starts again"
crash "route$node"
sleep "$DOWN_S"
start_route_node "$node" "$EXPOSURE"
wait_route_ready "$node"
! is_completed || fail "the roll-out was completed before"
until_true "$LATE_S" is_completed || fail "the roll-out is $(rollout_state)"
say "coordinator: passed"
