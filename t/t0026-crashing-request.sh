#!/usr/bin/env bash
# Requests that clients repeat, at any node, crash each server that begins to run
# them. After a few crashes each must reach no server any more, from no node, also
# after nodes have restarted; sound requests that share the path, the caller and the
# servers, or that are repeated often, must be served.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-3200}
. t/lib.sh
. t/lib-routes.sh

NODES=$(seq "${FLEET_SIZE:-5}")
BACKENDS=$(seq "${SERVERS:-8}")
# The rules allow three crashes, then three seconds and three requests.
CRASHES=3
STABLE_MS=3000
MAX_LATE=3
TENANT=one
# What crashes servers, one after the other: name, method, path, body.
BAD="read GET /read/slow?page=bad
order POST /order/slow bad-pallet"

# ask NODE ID METHOD PATH BODY: sends a request and prints its status.
ask() {
	curl -s -m 4 -o /dev/null -w '%{http_code}' -X "$3" -H "Host: $HOST" \
		-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: $2" \
		-H 'X-Chivegw-Deadline-Ms: 1000' ${5:+-d "$5"} \
		"http://$(client_address "$1")$4"
}
now_ms() { echo $(($(sed 's/\([0-9]*\)\.\([0-9]*\) .*/\1\20/' /proc/uptime))); }
# ask_soundly NODE: reads of one path that are repeated, and orders that are not;
# writes when and the status.
ask_soundly() {
	while :; do
		at=$(now_ms)
		status=$(ask "$1" "sound-$1-$RANDOM$RANDOM" GET "/read/slow?page=$((RANDOM % 3))")
		echo "$at $status"
		at=$(now_ms)
		status=$(ask "$1" "sound-$1-$RANDOM$RANDOM" POST /order/slow "pallet-$RANDOM$RANDOM")
		echo "$at $status"
		[ "$status" = 200 ] || sleep 0.2
	done
}
# ask_badly NAME METHOD PATH [BODY]: each time at another node
ask_badly() {
	while :; do
		for n in $NODES; do
			ask "$n" "bad-$1-$n-$RANDOM$RANDOM" "$2" "$3" "${4:-}" >/dev/null &
			sleep "${BAD_INTERVAL_S:-0.4}"
		done
	done
}
# from_backends PATH: what all backends return, each as soon as it is up
from_backends() {
	for n in $BACKENDS; do
		until curl -fs -m 2 "http://$(backend_address "$n")/$1"; do sleep 0.05; done
	done
}
arrivals() { from_backends arrived | grep " bad-$1-" | sort -n; }
# third_crash NAME: when the request arrived for the third time; each arrival ends
# a server
third_crash() { arrivals "$1" | sed -n "${CRASHES}s/ .*//p"; }
# late_requests NAME SINCE [EXCUSED_FROM]: arrivals after the time; not those in
# STABLE_MS after the nodes' restart: they are not in touch
late_requests() {
	arrivals "$1" | awk -v t="$2" -v from="${3:-0}" -v stable="$STABLE_MS" \
		'$1 > t && !($1 > from && $1 < from + stable) {n++} END {print n + 0}'
}
served_share() { cat "$WORK"/sound*.log | awk -v a="$1" -v b="$2" '$1 > a && $1 < b {n++; k += $2 == 200} END {print (n > 20 ? int(100 * k / n) : 0)}'; }

start_objects
for n in $NODES; do start_route_node "$n"; done
for n in $BACKENDS; do
	start_backend "$n" desk
	while read -r _ _ path body; do
		curl -fs -m 2 -d "$TENANT $path $body" "http://$(backend_address "$n")/crash-on" || fail "backend$n takes no crash request"
	done <<<"$BAD"
done
configure 3
for n in $NODES; do wait_route_ready "$n"; done
for n in $NODES; do for k in 1 2; do run "sound$n-$k" ask_soundly "$n"; done; done
sleep 4
calm_at=$(now_ms)

say "requests that crash servers"
while read -r name method path body; do
	run "bad-$name" ask_badly "$name" "$method" "$path" "$body"
done <<<"$BAD"
has_crashed() { [ -n "$(third_crash read)" ] && [ -n "$(third_crash order)" ]; }
until_true 20 has_crashed || fail "no request has crashed three servers"
sleep 8
since_at=$(($(now_ms) - 3000)) until_at=$(now_ms)
say "crashes: $(from_backends crashes | wc -l); reads with the fault: $(arrivals read | wc -l), orders: $(arrivals order | wc -l)"
read_third=$(third_crash read) order_third=$(third_crash order)
for name in read order; do
	third=$([ $name = read ] && echo "$read_third" || echo "$order_third")
	late=$(late_requests $name $((third + STABLE_MS)))
	[ "$late" -le "$MAX_LATE" ] || fail "$late requests ($name) reached servers later than $STABLE_MS ms after the third crash"
done

say "sound requests with the same path, caller and servers"
calm=$(served_share 0 "$calm_at")
since=$(served_share "$since_at" "$until_at")
say "served: $calm % before, $since % while such requests come"
[ "$calm" -gt 90 ] || fail "$calm % of the sound requests are served in the calm"
[ $((2 * since)) -ge "$calm" ] || fail "$since % of the sound requests are served, $calm % before"

say "one node restarts, then all"
crash route2
start_route_node 2
wait_route_ready 2
sleep $((STABLE_MS / 1000 + 1))
for n in $NODES; do crash "route$n"; done
restarted_at=$(now_ms)
for n in $NODES; do start_route_node "$n"; done
for n in $NODES; do wait_route_ready "$n"; done
sleep 8
for name in read order; do
	third=$([ $name = read ] && echo "$read_third" || echo "$order_third")
	late=$(late_requests $name $((third + STABLE_MS)) "$restarted_at")
	say "$name: $late requests later than the rules allow, in all"
	[ "$late" -le "$MAX_LATE" ] || fail "$late requests ($name) reached servers, restarts included"
done

say "servers that crash by themselves, while the sound requests run there"
pkill_bad() { for name in read order; do crash "bad-$name"; done; }
pkill_bad
for n in $BACKENDS; do
	curl -s -m 1 "http://$(backend_address "$n")/crash" >/dev/null
	sleep 0.35
done
from_at=$(($(now_ms) + 2000))
sleep 6
alone=$(served_share "$from_at" "$(now_ms)")
say "served afterwards: $alone %"
[ "$alone" -gt 90 ] || fail "$alone % of the sound requests are served after servers crashed by themselves"
say "crashing request: passed"
