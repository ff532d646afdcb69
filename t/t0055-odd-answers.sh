#!/usr/bin/env bash
# Guards against answers that cost more than they are: a status that none can be is waited
# for until the time limit, an answer that was cut short while its request was still being
# written looks complete, and addresses that other servers have use up all attempts.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-13050}
. t/lib.sh
. t/lib-routes.sh

UPLOAD_BYTES=$((24 << 20)) # more than the sockets' buffers hold
MAX_STATUS_S=0.4           # of the route's 1 s
MISDIRECTED=5              # more than any route's attempts

start_objects
start_backend 1 desk
MAX_BODY=$((32 << 20)) configure 3
start_route_node 1
wait_route_ready 1

say "a server answers with status 000"
send 1 POST /order/status-000 -w '%{http_code} %{time_total}' >"$WORK/000"
read -r status took <"$WORK/000"
expect "status" 502 "${status: -3}"
awk -v t="$took" -v max="$MAX_STATUS_S" 'BEGIN {exit !(t < max)}' || fail "502 took $took s"

say "a server answers a long upload early and resets it"
head -c "$UPLOAD_BYTES" /dev/zero >"$WORK/upload"
expect "plain request" 502 "$(send 1 POST /order/early-cut --data-binary "@$WORK/upload")"
start_stream early 1 /talk/early-cut -H 'X-Chivegw-Deadline-Ms: 6000' -H "Expect:" -X POST --data-binary "@$WORK/upload"
wait_for_streams
! stream_is_complete early || fail "the stream ended as complete"

say "the addresses of some servers are those of another"
for n in $(seq 11 $((10 + MISDIRECTED))); do
	put_object "servers/i-$n" '{"spec":{"service":"desk","addr":"'"$(backend_address 1)"'","zone":"z1","version":"v1","slots":8,"state":"ready","seq":1}}'
done
# Each further attempt takes from the retry budget, also after a wrong address.
for n in 2 3; do
	start_route_node "$n" '"retry_burst": 400'
	wait_route_ready "$n"
done
for n in 2 3; do
	for _ in 1 2 3; do
		expect "request at node $n" 200 "$(send "$n" POST /order/ok)"
		expect "runs" 1 "$(count_runs "$(cat "$WORK/id")")"
	done
done
say "odd answers: passed"
