#!/usr/bin/env bash
# Nodes that are cut off from the store must not vouch for it: the others, which reach
# it, must have a change within the time that the rules give a large fleet.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-1100}
. t/lib.sh
. t/lib-routes.sh

SIZE=${SIZE:-18}
WATCHERS=4
CHANGE_LIMIT_S=3
ROUNDS=${ROUNDS:-2}
# The cuts begin at different times after the watches' last answers.
PHASE_S=0.35

relay_address() { address_at $((300 + $1)); }
relay_control() { address_at $((500 + $1)); }
last_watching() { grep ' E221 ' "$WORK/route$1.log" | tail -n 1; }
watchers() {
	local n
	for ((n = 1; n <= SIZE; n++)); do last_watching "$n" | grep -q 'watching=0' || printf '%s ' "$n"; done
}
is_settled() { [ "$(watchers | wc -w)" -le "$WATCHERS" ]; }
settle() { until_true 20 is_settled || fail "nodes $(watchers)of $SIZE watch the store"; }
# not_in_force REVISION: the nodes that reach the store and have not got it.
not_in_force() {
	local n
	for ((n = 1; n <= SIZE; n++)); do
		[[ " $cut_off" == *" $n "* ]] || grep -q "in force: revision=$1 " "$WORK/route$n.log" || printf '%s ' "$n"
	done
}
has_all() { [ -z "$(not_in_force "$1")" ]; }

start_objects
for ((n = 1; n <= SIZE; n++)); do
	start_relay "relay$n" "$(relay_address "$n")" "$STORE" "$(relay_control "$n")"
	NODE_STORE=$(relay_address "$n") start_route_node "$n"
done
start_backend 1 desk
configure 3
for ((n = 1; n <= SIZE; n++)); do wait_route_ready "$n"; done
settle
sleep 10 # the watches of the start have ended

revision=3
for ((round = 1; round <= ROUNDS; round++)); do
	cut_off=$(watchers)
	say "$SIZE nodes: those that watch, ${cut_off% }, are cut off from the store"
	for n in $cut_off; do control "$(relay_control "$n")" '{"mode":"cut"}'; done
	revision=$((revision + 1))
	SECOND_KEY=key-of-$revision configure "$revision"
	until_true "$CHANGE_LIMIT_S" has_all "$revision" ||
		fail "configuration $revision is not in force at $(not_in_force "$revision")after $CHANGE_LIMIT_S s"
	for n in $cut_off; do control "$(relay_control "$n")" '{"mode":"reset"}'; done
	sleep 2
	settle
	sleep "$PHASE_S"
done
say "stale watchers: passed"
