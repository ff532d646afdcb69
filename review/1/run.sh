#!/usr/bin/env bash
# A server answers with a stream that has neither a length nor chunks, and resets
# the connection after some events. The client must be able to tell that the
# stream is incomplete. TROUBLE=0: the server does not reset the connection.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/1
. review/lib.sh

EVENTS=8
STREAMS=6
MODE=open-100-reset
[ "${TROUBLE:-1}" = 1 ] || MODE=open-100

start_objects
start_server 1 desk
put_config "{\"name\":\"talk\",\"host\":\"$HOST\",\"path_prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":2000,\"gap_aim_ms\":1000,\"priority\":1,\"attempts\":1,\"service\":\"desk\"}"
start_gateway 1

broken=0
for n in $(seq "$STREAMS"); do
	ask 1 10000 "s-$n" POST "/talk/$MODE" 8000 question
	judge_stream "s-$n" "$EVENTS" || broken=$((broken + 1))
done
record "runs at the server:"
tee -a "$RECORD" <"$RUNS"
record "$broken of $STREAMS streams ended as complete before their last event"
verdict "$broken"
