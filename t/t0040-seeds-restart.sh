#!/usr/bin/env bash
# Nodes must not become two fleets when all seeds are stopped as planned, or killed, and
# start again together, also with a time of day before that of their first start, and a
# node that starts again while all seeds are gone must be found.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-29200}
. t/lib.sh
. t/lib-routes.sh

SIZE=${FLEET_SIZE:-8}
NODES=$(seq "$SIZE")
SEEDS="1 2 3" # as the settings say
MERGE_S=${MERGE_S:-5}
DOWN_S=${DOWN_S:-0} # 65 by hand: the others have forgotten the seeds then
FIND_S=30 # without seeds, by the others' probes of nodes that left

sees_all() { grep ' E500 ' "$WORK/route$1.log" | tail -n 1 | grep -q "alive=$SIZE "; }
check_one_fleet() {
	local n
	for n in $NODES; do
		until_true "$MERGE_S" sees_all "$n" || fail "route$n sees $(grep ' E500 ' "$WORK/route$n.log" | tail -n 1 | sed 's/.*alive=/alive=/')"
	done
}
start_seeds() {
	local n
	sleep "$DOWN_S"
	for n in $SEEDS; do start_route_node "$n"; done
	for n in $SEEDS; do wait_route_ready "$n"; done
}

start_objects
start_backend 1 desk
configure 3
for n in $NODES; do start_route_node "$n"; done
for n in $NODES; do wait_route_ready "$n"; done
MERGE_S=20 check_one_fleet

say "all seeds are stopped and start again"
for n in $SEEDS; do kill -TERM "${PIDS[route$n]}"; done
for n in $SEEDS; do wait "${PIDS[route$n]}" || fail "route$n did not exit with 0"; done
start_seeds
check_one_fleet

say "all seeds are killed and start again in the past"
for n in $SEEDS; do crash "route$n"; done
echo -5000 >"$WORK/clock"
[[ $BUILD == *sanitize* ]] || export LD_PRELOAD=$BUILD/t/clock-step.so CLOCK_STEP_FILE=$WORK/clock
start_seeds
check_one_fleet
say "a node starts again while all seeds are gone"
for n in $SEEDS; do crash "route$n"; done
stop "route$SIZE"
unset LD_PRELOAD
start_route_node "$SIZE"
wait_route_ready "$SIZE"
LEFT=$((SIZE - $(wc -w <<<"$SEEDS")))
sees_left() { grep ' E500 ' "$WORK/route$1.log" | tail -n 1 | grep -q "alive=$LEFT "; }
for n in $NODES; do
	[[ " $SEEDS " == *" $n "* ]] || until_true "$FIND_S" sees_left "$n" || fail "route$n does not see $LEFT nodes"
done
say "seeds' restart: passed"
