#!/usr/bin/env bash
# A node that finds no other, since all seeds are lost, must not decide a roll-out by
# itself: it has not the counts of the nodes that serve the requests.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-8000}
. t/lib.sh
. t/lib-routes.sh

SEEDS="1 2 3"
LEFT="4 5"
ADDED=6
OVER_S=16
BAD_AFTER_S=5 # less than the half of the time after which all traffic may move
# The others may move all traffic some seconds before a node that has no counts.
EXPOSURE='"expose_share": 0.15, "expose_slack": 100'
DEAD_S=8 # until lost nodes count as dead

read_in_turn() {
	exec curl -s -m 60 --rate "$2/s" -o /dev/null -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
		-H "X-Chivegw-Request-Id: r-$1-$RANDOM" "http://$(client_address "$1")/read/ok?[1-9999]"
}
# rollout_state VERSION: of the roll-out to the version.
rollout_state() {
	curl -fs -H 'x-operator: 1' "http://$STORE/objects/rollouts" |
		jq -r --arg v "$1" '.items[0].status | select(.target == $v).state // "none"'
}
is_over() { [[ $(rollout_state "$1") = completed || $(rollout_state "$1") = reverted ]]; }
# knows N COUNT: whether the node knows so many live nodes, itself included.
knows() { grep ' E500 ' "$WORK/route$1.log" | tail -n 1 | grep -q "alive=$2 "; }
# ended N: whether the node has moved all traffic or written the end of a roll-out.
ended() { grep -qE ' E421 .*(share=1.000|state=completed) by=judge| E422 ' "$WORK/route$1.log"; }
# order VERSION: orders a roll-out and waits for its end.
order() {
	put_object rollouts/desk '{"spec":{"service":"desk","target":"'"$1"'","over_s":'$OVER_S'}}'
	[ "$1" = v2 ] || { sleep "$BAD_AFTER_S"; curl -fs -o /dev/null "http://$(backend_address 4)/control/fail"; }
	until_true $((OVER_S + 2)) is_over "$1"
}

start_objects
for n in 1 2; do start_backend "$n" desk v1; done
start_backend 3 desk v2
configure 3
for n in $SEEDS $LEFT; do start_route_node "$n" "$EXPOSURE"; done
for n in $SEEDS $LEFT; do wait_route_ready "$n"; done
for n in $LEFT; do until_true 10 knows "$n" 5 || fail "route$n does not know the others"; done
for n in $SEEDS; do crash "route$n"; done
sleep "$DEAD_S"
start_route_node "$ADDED" "$EXPOSURE"
wait_route_ready "$ADDED"
for n in $LEFT; do run "reads$n" read_in_turn "$n" 20; done
run "reads$ADDED" read_in_turn "$ADDED" 1 # a few requests do not make up for that

say "a good version is completed by those that have the counts"
order v2
expect "state" completed "$(rollout_state v2)"
! ended "$ADDED" || fail "the node that knows nobody has decided the roll-out"
grep -q ' E423 .*alone=1' "$WORK/route$ADDED.log" || fail "no line says that it is alone"

say "a version that turns bad is reverted"
start_backend 4 desk v3
order v3
expect "state" reverted "$(rollout_state v3)"
! ended "$ADDED" || fail "the node that knows nobody has decided the roll-out"

say "once a seed is back, all nodes know each other"
start_route_node 1 "$EXPOSURE"
wait_route_ready 1
until_true 10 knows "$ADDED" 4 || fail "the added node has not found the others"
say "lost seeds: passed"
