#!/usr/bin/env bash
# A stream that was cut short never looks complete to its client.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-11600}
. t/lib.sh
. t/lib-routes.sh

EVENTS=5        # of a whole stream, LONG_EVENT_INTERVAL_MS (0.9 s) apart
TROUBLE_AFTER_S=2.2

once='{"name":"once","host":"'$HOST'","path_prefix":"/once/","kind":"streaming","timeout_ms":15000,"goal_ms":2000,"gap_aim_ms":1000,"priority":1,"service":"desk","attempts":1,"public":true}'

start_objects
start_backend 1 desk
configure 3 "$once"
start_route_node 1
wait_route_ready 1

# expect_whole NAME, expect_cut NAME: how the stream looked to its client.
expect_whole() {
	stream_is_complete "$1" || fail "$1 did not end as complete: $(head -n 1 "$WORK/$1.head")"
	expect "events of $1" "$EVENTS" "$(stream_events "$1")"
}
expect_cut() {
	[ "$(stream_events "$1")" -lt "$EVENTS" ] || fail "$1 was not cut short"
	[ "$(cat "$WORK/$1.code")" != 0 ] ||
		fail "$1 ended as complete after $(stream_events "$1") of $EVENTS events"
}

say "streams that end by themselves are complete"
start_stream whole 1 /once/stream-unframed-pause
start_stream whole-old-client 1 /once/stream-unframed-pause --http1.0
wait_for_streams
expect_whole whole
grep -qi "^transfer-encoding: chunked" "$WORK/whole.head" ||
	fail "only the connection tells the client where the stream ends"
expect_whole whole-old-client

say "a server resets streams without a length"
start_stream reset 1 /once/stream-unframed-pause
start_stream reset-old-client 1 /once/stream-unframed-pause --http1.0
sleep "$TROUBLE_AFTER_S"
curl -fs -m 5 -o /dev/null "http://$(backend_address 1)/crash"
wait_for_streams
expect_cut reset
expect_cut reset-old-client

say "a node is killed while it passes on streams without a length"
start_backend 2 desk # the first one has crashed lately
start_stream killed 1 /once/stream-unframed-pause
start_stream killed-old-client 1 /once/stream-unframed-pause --http1.0
sleep "$TROUBLE_AFTER_S"
crash route1
wait_for_streams
expect_cut killed
expect_cut killed-old-client

say "stream ends: passed"
