#!/usr/bin/env bash
# A server in trouble may send bytes without end that are no answer. The node must
# close the connection, keep within its memory and answer its client in time.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-7000}
. t/lib.sh
. t/lib-routes.sh

FIRST_TIMEOUT_MS=300 # of an attempt that another may follow, on route read
SLACK_MS=150
MAX_GROWTH_KB=16384

resident_kb() { awk '/VmRSS/ {print $2}' "/proc/${PIDS[route1]}/status"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/${PIDS[route1]}/stat"; }
now_ms() { date +%s%3N; }
gone() { curl -fs -m 2 "http://$(backend_address 1)/gone"; }
# ask_in_time WHAT LIMIT_MS STATUS METHOD PATH
# to NODE, by default 1
ask_in_time() {
	local start status
	start=$(now_ms)
	status=$(send "${NODE:-1}" "$4" "$5")
	local ms=$(($(now_ms) - start))
	expect "$1" "$3" "$status"
	[ "$ms" -le "$2" ] || fail "$1: answered after $ms ms, the limit is $2 ms"
}

start_objects
start_route_node 1
start_backend 1 desk
configure 3
wait_route_ready 1
expect "read" 200 "$(send 1 GET /read/ok)"

for mode in endless-head endless-interim endless-junk endless-body endless-alien trickle-head; do
	say "$mode"
	status=502
	[ "$mode" = trickle-head ] && status=504 # it ends by the route's timeout
	before=$(resident_kb) ticks=$(cpu_ticks)
	# The second attempt is the last one and may take the route's timeout.
	ask_in_time "read, $mode" $((FIRST_TIMEOUT_MS + 1000 + SLACK_MS)) "$status" GET "/read/$mode"
	ask_in_time "order, $mode" $((1000 + SLACK_MS)) "$status" POST "/order/$mode"
	sleep 0.3
	growth=$(($(resident_kb) - before))
	[ "$growth" -le "$MAX_GROWTH_KB" ] || fail "$mode: the node grew by $growth kB"
	say "  $growth kB, $(($(cpu_ticks) - ticks)) ticks, clients gone $(gone)"
done

say "endless-event"
before=$(resident_kb)
expect "stream, endless-event" 502 "$(send 1 POST /talk/endless-event)"
growth=$(($(resident_kb) - before))
[ "$growth" -le "$MAX_GROWTH_KB" ] || fail "endless-event: the node grew by $growth kB"

say "the next server is asked in time after a head without end"
start_backend 2 desk
NODE=1
for mode in endless-head endless-interim endless-alien trickle-head; do
	curl -fs -o /dev/null "http://$(backend_address 1)/control/$mode"
	NODE=$((NODE + 1)) # one that has not found the server failing
	start_route_node "$NODE"
	wait_route_ready "$NODE"
	for _ in 1 2 3 4; do
		ask_in_time "read beside $mode" $((FIRST_TIMEOUT_MS + SLACK_MS)) 200 GET /read/ok
	done
done
curl -fs -o /dev/null "http://$(backend_address 1)/control/none"

say "streams without a length"
whole=$(for n in 1 2 3 4 5; do printf 'id: %d\ndata: part%d\n\n' "$n" "$n"; done)
expect "stream without a length" 200 "$(send 1 POST /talk/stream-unframed)"
expect "its events" "$whole" "$(cat "$WORK/body")"
expect "stream without a length that ends inside an event" 200 "$(send 1 POST /talk/stream-unframed-cut)"
expect "its events" "$whole" "$(cat "$WORK/body")"
say "endless bytes: passed"
