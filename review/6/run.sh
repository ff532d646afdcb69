#!/usr/bin/env bash
# One of three model servers spoils some of its answers: their load field has a count of
# -1. TROUBLE=0 leaves the answers as they are. Meanwhile requests of kept connections run
# at a sound server of another service: each must be answered.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/6
: >"$CASE/record.txt"
. review/lib-2.sh

STREAMERS=24 # clients of the model servers, each with a shared part of its own
PLAY_S=100
SHARED_TOKENS=10000 # the sheet's shared parts have up to 14,600
SPOIL_S=0.01 # and the time of two calls at a time
SPOILT_ONE_IN=40 # of the time; the site has up to 3 answers in 100
WAITERS=6 # clients of the sound server, each on its own kept connection
MAX_LOST=3
LOAD_FIELD=X-Chivegw-Server-Load
LOAD=2,0,8
SPOILT=-1,0,8

is_over() { [ -e "$WORK/over" ] || [ "$(now_ms)" -ge "$end" ]; }
# stream_on K: sends streams until the play is over.
stream_on() {
	local i=0
	until is_over; do
		i=$((i + 1))
		curl -sN -m 5 -o /dev/null -w "talk-$1-$i %{http_code}\n" -X POST -d x -H "Host: $HOST" \
			-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: talk-$1-$i" \
			-H 'X-Chivegw-Model: large' -H "X-Chivegw-Token-Counts: $((SHARED_TOKENS + 200)),50" \
			-H "X-Chivegw-Prefix-Hash: a$1:$SHARED_TOKENS,b$1$i:200" \
			"http://$(client_address 1)/talk/stream-slow" >>"$WORK/answers"
	done
}
# wait_on K: on one connection, a request that is answered at once, then one whose
# server takes a second, again and again.
wait_on() {
	local i=0 code
	until is_over; do
		i=$((i + 1))
		curl -s -m 10 -o /dev/null -o /dev/null -w "kept-$1-$i %{http_code} connects=%{num_connects}\n" \
			-H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: kept-$1-$i" \
			"http://$(client_address 1)/stock/ok" "http://$(client_address 1)/stock/slow" >>"$WORK/waits"
		code=$?
		[ "$code" = 0 ] || echo "kept-$1-$i ended with curl's code $code" >>"$WORK/waits"
	done
}

start_objects
for n in 1 2 3; do start_backend "$n" desk; done
start_backend 4 stock
for n in 1 2 3 4; do curl -fs -o /dev/null "http://$(backend_address "$n")/say/$LOAD_FIELD/$LOAD"; done
curl -fs -o /dev/null "http://$(backend_address 4)/slow/1000"
put_object config/main "{\"spec\":{\"version\":3,\"routes\":[
	{\"name\":\"talk\",\"host\":\"$HOST\",\"path_prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"goal_ms\":2000,\"gap_aim_ms\":1000,\"priority\":0,\"service\":\"desk\",\"attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":true,\"sizes\":[\"small\",\"large\"]},
	{\"name\":\"stock\",\"host\":\"$HOST\",\"path_prefix\":\"/stock/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\"goal_ms\":2000,\"priority\":2,\"service\":\"stock\",\"attempts\":1,\"public\":false}],
	\"services\":[{\"name\":\"desk\",\"max_conns\":370,\"engine\":{\"slots\":8,\"kv_capacity\":444000,\"models\":[{\"name\":\"small\",\"cost\":0.02},{\"name\":\"large\",\"cost\":0.3}]}},{\"name\":\"stock\",\"max_conns\":110}],
	\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},
	\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"$ROUTE_KEY\"],\"priority\":1}]}}"
start_small_node 1
wait_route_ready 1
sleep 4
began=$(now_ms)
end=$((began + PLAY_S * 1000))
clients=()
for ((k = 1; k <= STREAMERS; k++)); do stream_on "$k" & clients+=($!); done
for ((k = 1; k <= WAITERS; k++)); do wait_on "$k" & clients+=($!); done
record "clients are at work"
spoilt_ms=0
died=
while [ "$(now_ms)" -lt "$end" ] && [ -z "$died" ]; do
	if [ "$TROUBLE" = 1 ] && [ $((spoilt_ms * SPOILT_ONE_IN)) -lt $(($(now_ms) - began)) ]; then
		since=$(now_ms)
		curl -fs -o /dev/null "http://$(backend_address 1)/say/$LOAD_FIELD/$SPOILT"
		sleep "$SPOIL_S"
		curl -fs -o /dev/null "http://$(backend_address 1)/say/$LOAD_FIELD/$LOAD"
		spoilt_ms=$((spoilt_ms + $(now_ms) - since))
	fi
	sleep 0.2
	if ! kill -0 "${PIDS[route1]}" 2>/dev/null; then
		wait "${PIDS[route1]}"
		died="the node ended by itself with code $?"
		unset "PIDS[route1]"
	fi
done
record "the field of server 1 was spoilt for $spoilt_ms of $(($(now_ms) - began)) ms"
touch "$WORK/over"
wait "${clients[@]}"
record "${died:-the node runs}"
[ -n "$died" ] && tail -n 12 "$WORK/route1.log" >>"$RECORD"

# Sent, answered and run; a client that finds no node sends nothing more of use.
for n in 1 2 3; do curl -fs "http://$(backend_address "$n")/ran"; done >"$WORK/ran"
curl -fs "http://$(backend_address 4)/ran" >>"$WORK/ran"
record "streams by status: $(cut -d' ' -f2 "$WORK/answers" | sort | uniq -c | tr -s ' \n' ' ')"
while read -r id rest; do
	runs=$(grep "^$id " "$WORK/ran" | sed 's/.* by=//' | tr '\n' ' ')
	[ -n "$runs" ] && echo "        $id answered $rest, run by $runs" >>"$RECORD"
done < <(cat "$WORK/answers" "$WORK/waits")

# A kept connection: it served its first request; the second was run by the sound server.
lost=0
for id in $(awk '/ended with/ { print $1 }' "$WORK/waits" | sort -u); do
	grep -q "^$id GET /stock/slow " "$WORK/ran" && grep -q "^$id 200 connects=1" "$WORK/waits" &&
		! grep -q "^$id 200 connects=0" "$WORK/waits" || continue
	lost=$((lost + 1))
	record "$id: passed on to the sound server from a kept connection, which was closed without an answer"
done
say "LOST: $lost requests of kept connections without an answer; ${died:-the node runs}"
[ "$lost" -le "$MAX_LOST" ]
