#!/usr/bin/env bash
# A planned stop answers each request whose first byte has arrived: a process must
# not exit while a client is still sending a request that it has begun to read.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-11400}
. t/lib.sh
. t/lib-routes.sh

start_objects
for n in 1 2; do start_backend "$n" desk; done
configure 3
start_route_node 1
wait_route_ready 1

# slow_request NAME DELAY_S: connects after the delay and sends a request's head in
# five pieces, PIECE_S apart; then reads the answer into $WORK/NAME.
PIECE_S=0.08
slow_request() {
	local port piece
	port=$(client_address 1)
	sleep "$2"
	exec 9<>"/dev/tcp/127.0.0.1/${port#*:}" || return
	: >"$WORK/$1.open"
	for piece in "GET /read/ok HT" "TP/1.1\r\nHost: $HOST\r\n" "Authorization: Token $ROUTE_KEY\r\n" \
		"X-Chivegw-Request-Id: $1\r\n" "X-Chivegw-Deadline-Ms: 1000\r\n\r\n"; do
		printf '%b' "$piece" >&9
		sleep "$PIECE_S"
	done
	timeout 2 head -n 1 <&9 >"$WORK/$1"
	exec 9>&-
}

say "requests that begin to arrive at any time of a stop are answered"
kill -TERM "${PIDS[route1]}"
pids=()
count=0
# The process exits 2.6 s after the signal when it has nothing to do.
for at in 0.1 0.5 1.0 1.5 2.0 2.2 2.3 2.4 2.45 2.5; do
	count=$((count + 1))
	slow_request "r$count" "$at" 2>/dev/null &
	pids+=($!)
done
wait "${pids[@]}"
wait "${PIDS[route1]}" || fail "route1 did not exit with 0"
unset "PIDS[route1]"
for ((i = 1; i <= count; i++)); do
	[ -e "$WORK/r$i.open" ] || continue # refused, so that it can go elsewhere
	grep -q '^HTTP/1.1 ' "$WORK/r$i" || fail "request r$i was cut off without an answer"
done
grep -q 'E1.* stopped' "$WORK/route1.log" || fail "the stop is not in the log"
say "stop under load: passed"
