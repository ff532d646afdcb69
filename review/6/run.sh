#!/usr/bin/env bash
# A server spoils some of its answers: their load field has a count of -1. TROUBLE=0
# leaves the answers as they are. Meanwhile requests of kept connections run at a sound
# server of another service: each must be answered.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/6
: >"$CASE/record.txt"
. review/lib-2.sh

READERS=8 # clients of the service whose server spoils answers
READ_S=40 # longest play
ANSWER_MS=30 # of that server
SPOIL_S=0.02 # of each PAUSE_S and this
PAUSE_S=0.98
WAITERS=6 # clients of the sound server, each on its own kept connection
MAX_LOST=3
LOAD_FIELD=X-Chivegw-Server-Load

# read_on K: sends reads until its time is over or the node is gone.
read_on() {
	local i=0 end=$(($(now_ms) + READ_S * 1000))
	while [ "$(now_ms)" -lt "$end" ] && [ ! -e "$WORK/over" ]; do
		i=$((i + 1))
		curl -s -m 5 -o /dev/null -w '%{http_code}\n' -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
			-H "X-Chivegw-Request-Id: read-$1-$i" "http://$(client_address 1)/read/slow" >>"$WORK/reads"
	done
}
# wait_on K: on one connection, a request that is answered at once, then one whose
# server takes a second, again and again. Writes each answer's status, or how curl ended.
wait_on() {
	local i=0 end=$(($(now_ms) + READ_S * 1000)) code
	while [ "$(now_ms)" -lt "$end" ] && [ ! -e "$WORK/over" ]; do
		i=$((i + 1))
		curl -s -m 10 -o /dev/null -o /dev/null -w "kept-$1-$i %{http_code} connects=%{num_connects}\n" \
			-H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: kept-$1-$i" \
			"http://$(client_address 1)/stock/ok" "http://$(client_address 1)/stock/slow" >>"$WORK/waits"
		code=$?
		[ "$code" = 0 ] || echo "kept-$1-$i ended with curl's code $code" >>"$WORK/waits"
	done
}

start_objects
start_backend 1 desk
start_backend 2 stock
for n in 1 2; do curl -fs -o /dev/null "http://$(backend_address "$n")/say/$LOAD_FIELD/1,0,8"; done
curl -fs -o /dev/null "http://$(backend_address 1)/slow/$ANSWER_MS"
curl -fs -o /dev/null "http://$(backend_address 2)/slow/1000"
put_object config/main "{\"spec\":{\"version\":3,\"routes\":[
	{\"name\":\"read\",\"host\":\"$HOST\",\"path_prefix\":\"/read/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false},
	{\"name\":\"stock\",\"host\":\"$HOST\",\"path_prefix\":\"/stock/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\"goal_ms\":2000,\"priority\":2,\"service\":\"stock\",\"attempts\":1,\"public\":false}],
	\"services\":[{\"name\":\"desk\",\"max_conns\":110},{\"name\":\"stock\",\"max_conns\":110}],
	\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},
	\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"$ROUTE_KEY\"],\"priority\":1}]}}"
start_small_node 1
wait_route_ready 1
sleep 4
for ((k = 1; k <= READERS; k++)); do run "reader-$k" read_on "$k"; done
for ((k = 1; k <= WAITERS; k++)); do run "waiter-$k" wait_on "$k"; done
record "clients are at work"
spoilt_ms=0
end=$(($(now_ms) + READ_S * 1000))
died=
while [ "$(now_ms)" -lt "$end" ]; do
	if [ "$TROUBLE" = 1 ]; then
		began=$(now_ms)
		curl -fs -o /dev/null "http://$(backend_address 1)/say/$LOAD_FIELD/-1,0,8"
		sleep "$SPOIL_S"
		curl -fs -o /dev/null "http://$(backend_address 1)/say/$LOAD_FIELD/1,0,8"
		spoilt_ms=$((spoilt_ms + $(now_ms) - began))
	fi
	sleep "$PAUSE_S"
	if ! kill -0 "${PIDS[route1]}" 2>/dev/null; then
		wait "${PIDS[route1]}"
		died="the node ended by itself with code $?"
		unset "PIDS[route1]"
		break
	fi
done
sleep 1
touch "$WORK/over"
sleep 2
record "answers with a spoilt field for $spoilt_ms ms of $(($(now_ms) - end + READ_S * 1000)) ms"
record "${died:-the node runs}"
[ -n "$died" ] && tail -n 12 "$WORK/route1.log" >>"$RECORD"
record "answers to reads: $(sort "$WORK/reads" | uniq -c | tr -s ' \n' ' ')"
grep -v ' 200 ' "$WORK/waits" | head -n 40 >>"$RECORD"
ended=$(awk '/ended with/ { print $1 }' "$WORK/waits" | sort -u)
# Those that the sound server has run, each on a connection that was kept.
lost=0
for id in $ended; do
	runs=$(curl -fs "http://$(backend_address 2)/ran" | grep -c "^$id GET /stock/slow ")
	[ "$runs" -gt 0 ] && grep -q "^$id 200 connects=1" "$WORK/waits" && ! grep -q "^$id 200 connects=0" "$WORK/waits" &&
		lost=$((lost + 1)) && record "$id: passed on to the sound server from a kept connection, which was closed without an answer"
	[ "$lost" -gt "$MAX_LOST" ] && break
done
say "LOST: $lost requests of kept connections without an answer; ${died:-the node runs}"
[ "$lost" -le "$MAX_LOST" ]
