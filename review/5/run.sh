#!/usr/bin/env bash
# One of three nodes is killed while it passes streams on. Of the streams of three of
# the five servers one in 20 has neither a length nor chunks. Clients must be able to
# tell that what they got is incomplete. TROUBLE=0: no node is killed.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/5
. review/lib.sh

EVENTS=8
STREAMS=220 # the platform gives half of them to node1

start_objects
for n in 1 2 3; do OPEN_ONE_IN=20 start_server "$n" desk; done
for n in 4 5; do start_server "$n" desk; done
put_config "{\"name\":\"talk\",\"host\":\"$HOST\",\"path_prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"goal_ms\":2000,\"gap_aim_ms\":1000,\"priority\":1,\"attempts\":1,\"service\":\"desk\"}"
for n in 1 2 3; do start_gateway "$n"; done

clients=()
ask_many 2 1 55 /talk/stream-500
ask_many 1 56 165 /talk/stream-500
ask_many 3 166 "$STREAMS" /talk/stream-500
sleep 1.2
if [ "${TROUBLE:-1}" = 1 ]; then
	kill -KILL "${PIDS[node1]}"
	wait "${PIDS[node1]}" 2>/dev/null
	unset "PIDS[node1]"
	record "node1 is killed"
fi
wait "${clients[@]}"

broken=0
for n in $(seq "$STREAMS"); do
	judge_stream "s-$n" "$EVENTS" || broken=$((broken + 1))
done
record "runs at the servers:"
sort -n "$RUNS" >>"$RECORD"
record "$broken of $STREAMS streams ended as complete before their last event; $(grep -c ' sends-no-length ' "$RUNS") had no length"
verdict "$broken"
