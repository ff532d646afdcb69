#!/usr/bin/env bash
# The kernel ends the connections of a killed process in order. An answer without a
# length from a server, or from a node that helps, is not complete by that.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-15700}
. t/lib.sh
. t/lib-routes.sh

EVENTS=5 # of a whole stream, LONG_EVENT_INTERVAL_MS (0.9 s) apart
STREAMS=6 # of each kind
TROUBLE_AFTER_S=2.2

once='{"name":"once","host":"'$HOST'","path_prefix":"/once/","kind":"streaming","timeout_ms":15000,"goal_ms":2000,"gap_aim_ms":1000,"priority":1,"service":"desk","attempts":1,"public":true}'

# expect_no_false_end NAME: a stream that looks complete has all events, in order.
cut=0
expect_no_false_end() {
	local whole
	whole=$(seq -f 'data: part%g' "$EVENTS")
	stream_is_complete "$1" || { cut=$((cut + 1)); return; }
	expect "events of $1, which ended as complete" "$whole" "$(grep '^data: ' "$WORK/$1.body")"
}

STORE_LISTEN=0.0.0.0:${STORE#*:}
start_objects
for n in 1 2; do start_backend "$n" desk; done
configure 3 "$once"
start_route_node 1
wait_route_ready 1

say "streams without a length that end by themselves are complete"
start_stream whole 1 /once/stream-unframed-pause
wait_for_streams
expect_no_false_end whole
expect "streams that were cut" 0 "$cut"

say "a server is killed while streams without a length run"
for n in $(seq "$STREAMS"); do
	start_stream "once-$n" 1 /once/stream-unframed-pause
	start_stream "talk-$n" 1 /talk/stream-unframed-pause
done
sleep "$TROUBLE_AFTER_S"
crash backend1
wait_for_streams
for n in $(seq "$STREAMS"); do expect_no_false_end "once-$n"; done
[ "$cut" -gt 0 ] || fail "no stream ran at the server that was killed"
cut=0
for n in $(seq "$STREAMS"); do expect_no_false_end "talk-$n"; done
[ "$cut" = 0 ] || { grep -hE "E70[0137]" "$WORK"/route*.log | grep -vE "outcome=answered" | tail -n 40; fail "$cut resumable streams were cut"; }

say "a server is killed while it sends answers without a length that are no streams"
start_backend 3 desk
sleep 3 # the one that was killed is out of reach by now
for n in $(seq "$STREAMS"); do
	send_late() {
		curl -s -m 5 -o "$WORK/late-$1" -w '%{http_code}' -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
			-H "X-Chivegw-Request-Id: late-$1" "http://$(client_address 1)/read/unframed-late" >"$WORK/late-$1.status"
	}
	send_late "$n" &
	readers+=($!)
done
runs_late() { curl -fs -m 5 "http://$(backend_address 2)/ran" | grep -q "^late-"; }
until_true 3 runs_late || fail "no such answer runs at the server that is to be killed"
crash backend2
wait_for_streams
for n in $(seq "$STREAMS"); do
	[ "$(cat "$WORK/late-$n.status")" != 200 ] || expect "body of late-$n" "unframed body" "$(cat "$WORK/late-$n")"
done
grep -q 'E701.*request=late-.*framing=close closed=fin' "$WORK/route1.log" || fail "no such answer ran at the server that was killed"
stop route1

say "a node that helps is killed while it passes on streams without a length"
VIEWS=4 start_backend 4 desk
configure 4 "$once"
delete_object servers/i-1
delete_object servers/i-2
delete_object servers/i-3
for n in 1 2 3; do NODE_STORE=127.0.0.$((n + 1)):${STORE#*:} start_route_node "$n"; done
for n in 1 2 3; do wait_route_ready "$n"; done
sleep 1 # the nodes know each other
curl -fs -m 2 -o /dev/null "http://$(backend_address 4)/cut/2/refuse" || fail "backend4 does not cut"
until_true 5 grep -q 'E717.*server=i-4.*reached=0' "$WORK/route1.log" || send 1 GET /read/ok >/dev/null
for n in $(seq "$STREAMS"); do
	start_stream "helped-$n" 1 /once/stream-unframed-pause
	start_stream "helped-talk-$n" 1 /talk/stream-unframed-pause
done
sleep "$TROUBLE_AFTER_S"
crash route2
wait_for_streams
cut=0
for n in $(seq "$STREAMS"); do expect_no_false_end "helped-$n"; done
[ "$cut" -gt 0 ] || fail "no stream ran by way of the node that was killed"
cut=0
for n in $(seq "$STREAMS"); do expect_no_false_end "helped-talk-$n"; done
[ "$cut" = 0 ] || { grep -hE "E70[0137]" "$WORK"/route*.log | grep -vE "outcome=answered" | tail -n 40; fail "$cut resumable streams were cut"; }
say "killed servers: passed"
