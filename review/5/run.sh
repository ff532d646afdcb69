#!/usr/bin/env bash
# A node passes a stream on that its server sends with neither a length nor chunks,
# and the node's process is killed meanwhile. The client must be able to tell that
# the stream is incomplete. TROUBLE=0: the process is not killed.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/5
. review/lib.sh

EVENTS=8
STREAMS=6

start_objects
for n in 1 2; do start_server "$n" desk; done
put_config "{\"name\":\"talk\",\"host\":\"$HOST\",\"path_prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":2000,\"gap_aim_ms\":1000,\"priority\":1,\"attempts\":1,\"service\":\"desk\"}"
start_gateway 1

clients=()
for n in $(seq "$STREAMS"); do
	ask 1 10000 "s-$n" POST /talk/open-250 8000 question &
	clients+=($!)
done
sleep 0.9
if [ "${TROUBLE:-1}" = 1 ]; then
	kill -KILL "${PIDS[node1]}"
	wait "${PIDS[node1]}" 2>/dev/null
	unset "PIDS[node1]"
	record "node1 is killed 0.9 s after $STREAMS streams have begun"
fi
wait "${clients[@]}"

broken=0
for n in $(seq "$STREAMS"); do
	judge_stream "s-$n" "$EVENTS" || broken=$((broken + 1))
done
record "runs at the servers:"
sort -n "$RUNS" | tee -a "$RECORD"
record "$broken of $STREAMS streams ended as complete before their last event"
verdict "$broken"
