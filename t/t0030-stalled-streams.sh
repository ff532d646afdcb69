#!/usr/bin/env bash
# Only whole events count as progress of a stream: one that stalls but sends a byte
# now and then goes on at another server, one that is slow but sound is not cut.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-10400}
. t/lib.sh
. t/lib-routes.sh

# The route allows pauses of a second; the limit is two and a half of them.
GAP_LIMIT_MS=2500
SLACK_MS=700
DEADLINE_MS=7000

start_objects
for n in 1 2; do start_backend "$n" desk; done
configure 3
start_route_node 1
wait_route_ready 1

# stream PATH: sends a streaming request and prints its status; its body is in
# $WORK/body, the time it took in $took_ms.
stream() {
	local started
	started=$(date +%s%3N)
	status=$(curl -s -m 10 -o "$WORK/body" -w '%{http_code}' -X POST -H "Host: $HOST" \
		-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: $1" \
		-H 'X-Chivegw-Model: large' -H "X-Chivegw-Deadline-Ms: $DEADLINE_MS" \
		-d x "http://$(client_address 1)/talk/$1")
	took_ms=$(($(date +%s%3N) - started))
}
whole=$(for n in 1 2 3 4 5; do printf 'id: %d\ndata: part%d\n\n' "$n" "$n"; done)

say "a stream that stalls but sends single bytes goes on at another server"
stream stream-drip
expect "status" 200 "$status"
expect "events" "$whole" "$(cat "$WORK/body")"
[ "$took_ms" -le $((GAP_LIMIT_MS + SLACK_MS)) ] || fail "the stream took $took_ms ms"

say "a stream that is slow but sound is not cut"
stream stream-pause
expect "status" 200 "$status"
expect "events" "$whole" "$(cat "$WORK/body")"
expect "runs" 1 "$(count_runs stream-pause)"
say "stalled streams: passed"
