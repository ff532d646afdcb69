#!/usr/bin/env bash
# All open connections to the platform's store go silent for good, new ones work.
# Then the operator takes a key away. Three nodes, each restarted once before, as in
# a planned stop and start in turn. A request with that key that is sent later than
# both apply_ms after the store's acknowledgement and stable_ms after the silence
# must not run. TROUBLE=0 leaves the connections alone.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
: >"$CASE/record.txt"
. review/lib-2.sh

NODES="1 2 3"
RELAY=$(address_at 2)
RELAY_CONTROL=$(address_at 3)
OLD_KEY=key-that-is-taken-away
OBSERVE_MS=9000
RESTART_EVERY_MS=5000
PERIOD_MS=6000 # of the watches of the configuration by three nodes
OTHER_PERIOD_MS=30000 # of other watches

# next_ends: the times, in ms, at which the nodes' watches of any kind end next if
# nothing changes, as each one's last end in the logs tells.
next_ends() {
	local n kind at period
	for n in $NODES; do
		for kind in config servers rollouts; do
			at=$(grep "kind=$kind call=watch" "$WORK/route$n.log" | tail -n 1 | cut -d' ' -f1)
			[ -n "$at" ] || continue
			period=$OTHER_PERIOD_MS
			[ "$kind" = config ] && period=$PERIOD_MS
			at=$(date -d "$at" +%s%3N)
			while [ "$at" -lt $(($(now_ms) + 14000)) ]; do
				at=$((at + period))
				echo "$at"
			done
		done
	done | sort -n
}

start_objects
run relay-store "$BUILD/t/relay" "$RELAY" "$STORE" "$RELAY_CONTROL"
for n in 1 2; do start_backend "$n" desk; done
SECOND_KEY=$OLD_KEY configure 3
record "configuration 3 acknowledged: it holds the key"
for n in $NODES; do NODE_STORE=$RELAY start_small_node "$n"; done
for n in $NODES; do wait_route_ready "$n"; done
sleep 3
for n in $NODES; do
	record "SIGTERM to node $n"
	began=$(now_ms)
	stop "route$n"
	NODE_STORE=$RELAY start_small_node "$n"
	wait_route_ready "$n"
	record "node $n is ready again"
	left=$((RESTART_EVERY_MS - $(now_ms) + began))
	[ "$left" -gt 0 ] && sleep "$((left / 1000)).$(printf '%03d' $((left % 1000)))"
done
# All are in touch by then, and each watch has ended once at least.
sleep 33

# The silence begins after the end of a watch, where the next one is farthest.
read -r at gap < <(next_ends | awk -v now="$(now_ms)" '$1 > now + 500 { if (p && $1 - p > g && p < now + 8000) { g = $1 - p; l = p } p = $1 } END { print l, g }')
[ -n "$gap" ] || fail "no watches in the logs"
record "longest time to come between two ends of watches: $gap ms"
left=$((at + 200 - $(now_ms)))
[ "$left" -gt 0 ] && sleep "$((left / 1000)).$(printf '%03d' $((left % 1000)))"

silent_at=$(now_ms)
if [ "$TROUBLE" = 1 ]; then
	control "$RELAY_CONTROL" '{"mode":"silence"}'
	record "open connections to the store are silent, new ones work"
fi
SECOND_KEY=key-that-is-new configure 4
acknowledged_at=$(now_ms)
record "configuration 4 acknowledged: it does not hold the key"

bound=$((acknowledged_at + APPLY_MS))
[ "$bound" -lt $((silent_at + STABLE_MS)) ] && bound=$((silent_at + STABLE_MS))
record "bound: requests that are sent later than $((bound - START_MS)) must not run"
: >"$WORK/sent"
i=0
while [ "$(now_ms)" -lt $((silent_at + OBSERVE_MS)) ]; do
	for n in $NODES; do
		i=$((i + 1))
		sent_at=$(now_ms)
		status=$(AUTH="Token $OLD_KEY" ID="taken-$i" send "$n" POST /order/ok -d x)
		echo "$sent_at $n taken-$i $status" >>"$WORK/sent"
	done
	sleep 0.1
done
broken=0
while read -r sent_at n id status; do
	runs=$(count_runs "$id")
	late=
	if [ "$runs" -gt 0 ] && [ "$sent_at" -gt "$bound" ]; then
		late=" LATER THAN THE BOUND"
		broken=$((broken + 1))
	fi
	printf '%7d node %s %s answered %s, runs %s%s\n' $((sent_at - START_MS)) "$n" "$id" "$status" "$runs" "$late" >>"$RECORD"
done <"$WORK/sent"
grep -h 'E200' "$WORK"/route?.log | grep 'revision=4' | while read -r at _ node _; do
	printf '%7d log of %s: configuration 4 in force\n' $(($(date -d "$at" +%s%3N) - START_MS)) "$node" >>"$RECORD"
done
record "requests that ran though sent later than the bound: $broken"
say "CONFIG: $broken requests ran with a key that was taken away"
[ "$broken" = 0 ]
