#!/usr/bin/env bash
# A fleet of 18 nodes, of which a few watch the store for all. Those are cut off from the
# store, as single machines can be, and the operator takes a key away. The other nodes
# reach the store and each other all the while: a request with that key that is sent to
# one of them later than apply_ms after the acknowledgement must not run. TROUBLE=0 cuts
# nothing off.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
: >"$CASE/record.txt"
. review/lib-2.sh

SIZE=18
APPLY_MS=3000 # as on the sites of this size and more
# A real cut drops the packets, so that the kernel's keep-alive probes end the open
# connections after 1 s and 3 more. The proxies accept bytes, so they end them then.
KEEPALIVE_MS=4000
OBSERVE_MS=8000
ASKED=4 # nodes that get requests
OLD_KEY=key-that-is-taken-away

relay_address() { address_at $((400 + 2 * $1)); }
relay_control() { address_at $((401 + 2 * $1)); }
# watchers: the nodes that watch the store, by the last line of their logs that says so.
watchers() {
	local n
	for ((n = 1; n <= SIZE; n++)); do
		grep -h ' E221 ' "$WORK/route$n.log" | tail -n 1 | grep -q 'watching=0' || echo "$n"
	done
}

start_objects
for ((n = 1; n <= SIZE; n++)); do run "relay$n" "$BUILD/t/relay" "$(relay_address "$n")" "$STORE" "$(relay_control "$n")"; done
for n in 1 2; do start_backend "$n" desk; done
SECOND_KEY=$OLD_KEY configure 3
for ((n = 1; n <= SIZE; n++)); do NODE_STORE=$(relay_address "$n") start_small_node "$n"; done
for ((n = 1; n <= SIZE; n++)); do wait_route_ready "$n"; done
sleep 25
cut_off=$(watchers | tr '\n' ' ')
record "nodes that watch the store: $cut_off"
others=()
for ((n = 1; n <= SIZE; n++)); do [[ " $cut_off" == *" $n "* ]] || others+=("$n"); done
[ "${#others[@]}" -ge $((SIZE * 65 / 100)) ] || fail "too many nodes watch: $cut_off"

cut_at=$(now_ms)
if [ "$TROUBLE" = 1 ]; then
	for n in $cut_off; do control "$(relay_control "$n")" '{"mode":"cut"}'; done
	record "these nodes are cut off from the store"
fi
SECOND_KEY=key-that-is-new configure 4
acknowledged_at=$(now_ms)
bound=$((acknowledged_at + APPLY_MS))
record "configuration 4 acknowledged: it does not hold the key; bound: $((bound - START_MS))"
: >"$WORK/sent"
i=0
ended=
while [ "$(now_ms)" -lt $((acknowledged_at + OBSERVE_MS)) ]; do
	for n in "${others[@]:0:ASKED}"; do
		i=$((i + 1))
		sent_at=$(now_ms)
		status=$(AUTH="Token $OLD_KEY" ID="taken-$i" send "$n" POST /order/ok -d x)
		echo "$sent_at $n taken-$i $status" >>"$WORK/sent"
	done
	if [ "$TROUBLE" = 1 ] && [ -z "$ended" ] && [ "$(now_ms)" -ge $((cut_at + KEEPALIVE_MS)) ]; then
		ended=1
		for n in $cut_off; do crash "relay$n"; done
		record "the open connections of the nodes that are cut off end; new ones are refused"
	fi
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
grep -h 'E200' "$WORK"/route*.log | grep 'revision=4' | while read -r at _ node _; do
	printf '%7d log of %s: configuration 4 in force\n' $(($(date -d "$at" +%s%3N) - START_MS)) "$node" >>"$RECORD"
done
record "requests that ran though sent later than the bound: $broken"
say "CONFIG: $broken requests ran with a key that was taken away"
[ "$broken" = 0 ]
