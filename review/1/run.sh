#!/usr/bin/env bash
# One of four servers crashes in the middle of its streams and resets their
# connections. Of the streams of two servers one in 20 has neither a length nor
# chunks. Clients must be able to tell that what they got is incomplete. TROUBLE=0: no
# server crashes.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/1
. review/lib.sh

EVENTS=8
STREAMS=160

start_objects
for n in 1 2; do OPEN_ONE_IN=20 start_server "$n" desk; done
for n in 3 4; do start_server "$n" desk; done
put_config "{\"name\":\"talk\",\"host\":\"$HOST\",\"path_prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"goal_ms\":2000,\"gap_aim_ms\":1000,\"priority\":1,\"attempts\":1,\"service\":\"desk\"}"
start_gateway 1

clients=()
ask_many 1 1 "$STREAMS" /talk/stream-500
sleep 1.2
if [ "${TROUBLE:-1}" = 1 ]; then
	kill -USR1 "${PIDS[server1]}"
	wait "${PIDS[server1]}"
	unset "PIDS[server1]"
	record "i-1 has crashed and reset its connections"
fi
wait "${clients[@]}"

broken=0
for n in $(seq "$STREAMS"); do
	judge_stream "s-$n" "$EVENTS" || broken=$((broken + 1))
done
record "runs at the servers:"
sort -n "$RUNS" >>"$RECORD"
record "$broken of $STREAMS streams ended as complete before their last event; $(grep -c ' i-1 sends-no-length ' "$RUNS") of $(grep -c ' i-1 runs ' "$RUNS") of i-1 had no length"
verdict "$broken"
