#!/usr/bin/env bash
# Requests with one part in their prompts crash each server that begins to answer
# them. After a few crashes such requests must reach no server, from no node, and
# sound ones with the same key and first part must be served.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-8000}
. t/lib.sh
. t/lib-routes.sh

NODES=$(seq "${FLEET_SIZE:-5}")
BACKENDS=$(seq 9)
FIRST_PART=aa
CRASH_PART=bad1
# The rules allow five crashes, then three seconds and three requests.
CRASHES=5
STABLE_MS=3000
MAX_LATE=3

# ask NODE ID PARTS: sends a streaming request and prints its status.
ask() {
	curl -s -m 6 -o /dev/null -w '%{http_code}' -X POST -H "Host: $HOST" \
		-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: $2" \
		-H 'X-Chivegw-Deadline-Ms: 4000' -H "X-Chivegw-Prefix-Hash: $3" \
		"http://$(client_address "$1")/talk/stream-slow"
}
now_ms() { echo $(($(sed 's/\([0-9]*\)\.\([0-9]*\) .*/\1\20/' /proc/uptime))); }
# ask_soundly N: asks one node over and over, with a few different documents;
# writes when and the status.
ask_soundly() {
	while :; do
		at=$(now_ms)
		status=$(ask "$1" "sound-$1-$RANDOM$RANDOM" "$FIRST_PART:500,d$((RANDOM % 5)):300,$RANDOM:20")
		echo "$at $status"
		[ "$status" = 200 ] || sleep 0.2
	done
}
ask_badly() { # each time at another node
	while :; do
		for n in $NODES; do
			ask "$n" "bad-$n-$RANDOM$RANDOM" "$FIRST_PART:500,$CRASH_PART:300,e$RANDOM:30,$RANDOM:20" >/dev/null &
			sleep "${BAD_INTERVAL_S:-0.15}"
		done
	done
}
from_backends() { for n in $BACKENDS; do curl -fs -m 2 "http://$(backend_address "$n")/$1"; done; }
# fifth_crash: when that was, or the last one if there were fewer
fifth_crash() { from_backends crashes | sort -n | head -n "$CRASHES" | tail -n 1 | sed 's/ .*//'; }
# late_requests SINCE START: how many requests with the part arrived after the time,
# those of node 2 within STABLE_MS after its start left out: it is not in touch.
late_requests() {
	from_backends arrived | awk -v t="$1" -v start="$2" -v stable="$STABLE_MS" \
		'$2 ~ /^bad-/ && $1 > t && !($2 ~ /^bad-2-/ && $1 > start && $1 < start + stable) {n++} END {print n + 0}'
}
# served_share SINCE UNTIL: percent of the sound requests that were served
served_share() { cat "$WORK"/sound*.log | awk -v a="$1" -v b="$2" '$1 > a && $1 < b {n++; k += $2 == 200} END {print (n > 20 ? int(100 * k / n) : 0)}'; }

start_objects
for n in $NODES; do start_route_node "$n"; done
for n in $BACKENDS; do start_backend "$n" desk; done
configure 3
for n in $NODES; do wait_route_ready "$n"; done
for n in $NODES; do for k in 1 2 3; do run "sound$n-$k" ask_soundly "$n"; done; done
sleep 4
calm_at=$(now_ms)

say "requests that crash servers"
run bad ask_badly
has_crashed() { [ -n "$(fifth_crash)" ]; }
until_true 15 has_crashed || fail "no server has crashed"
sleep 3
fifth=$(fifth_crash)
sleep 8
# A restarted node must learn from the others which part it is.
crash route2
started_at=$(now_ms)
start_route_node 2
wait_route_ready 2
sleep 5

say "crashes: $(from_backends crashes | wc -l), requests with the part: $(late_requests 0 0)"
late=$(late_requests $((fifth + STABLE_MS)) "$started_at")
[ "$late" -le "$MAX_LATE" ] || fail "$late requests with the part reached servers later than $STABLE_MS ms after the fifth crash"

say "sound requests with the same key and first part"
calm=$(served_share 0 "$calm_at")
since=$(served_share $((fifth + 2 * STABLE_MS)) $((fifth + 11000)))
say "served: $calm % before, $since % while such requests come"
[ "$calm" -gt 90 ] || fail "$calm % of the sound requests are served in the calm"
[ $((2 * since)) -ge "$calm" ] || fail "$since % of the sound requests are served, $calm % before"
say "crashing part: passed"
