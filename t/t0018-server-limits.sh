#!/usr/bin/env bash
# A backend server names the rate that it takes from all nodes together: the
# fleet keeps to it, goes on using the server, and uses it fully again once the
# server names no limit any more.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-16000}
. t/lib.sh
. t/lib-routes.sh

NODES=5
SETTLE_S=3 # from the first answer that names a limit
WINDOW_MS=4000

now_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
say_field() { curl -fs -m 5 -o /dev/null "http://$(backend_address "$1")/say/$2"; }
arrivals_since() { # SERVER MS
	curl -fs -m 5 "http://$(backend_address "$1")/arrived" | awk -v from="$2" '$1 >= from { print $1 }'
}
# most_in_window SERVER MS: the most requests in some window since a time.
most_in_window() {
	arrivals_since "$1" "$2" | awk -v w="$WINDOW_MS" '{ t[NR] = $1; while (t[NR] - t[first + 1] > w) first++; if (NR - first > most) most = NR - first } END { print most + 0 }'
}
# load SECONDS: sends reads to all nodes at the same time.
load() {
	local n pids=()
	for n in $(seq "$NODES"); do
		WORK=$WORK/load$n
		mkdir -p "$WORK"
		(
			end=$((SECONDS + $1))
			while [ "$SECONDS" -lt "$end" ]; do
				send "$n" GET /read/ok >>"$WORK/statuses"
				echo >>"$WORK/statuses"
			done
		) &
		pids+=($!)
		WORK=${WORK%/*}
	done
	wait "${pids[@]}"
}

start_objects
for n in $(seq "$NODES"); do start_route_node "$n"; done
for n in 1 2 3; do start_backend "$n" desk; done
configure 3
for n in $(seq "$NODES"); do wait_route_ready "$n"; done
sees_all() { grep -q "E500 .*alive=$NODES" "$WORK/route$1.log"; }
for n in $(seq "$NODES"); do until_true 10 sees_all "$n" || fail "route$n does not see the others"; done

say "a server that names a limit gets no more than it from the whole fleet"
say_field 1 Server-Limit/2.0
start=$(now_ms)
load 11
most=$(most_in_window 1 $((start + 1000 * SETTLE_S)))
# One and a half times the limit, and five requests.
[ "$most" -le 17 ] || fail "$most requests in 4 s at a server with a limit of 2 a second"
total=$(arrivals_since 1 $((start + 1000 * SETTLE_S)) | wc -l)
[ "$total" -ge 6 ] || fail "$total requests in 8 s: the limited server is hardly used"
expect "statuses of the reads" "200" "$(cat "$WORK"/load?/statuses | sort -u | grep .)"

say "when all servers of a service name limits, they are used so far, the rest is refused"
for n in 1 2 3; do say_field "$n" Server-Limit/1.0; done
load 4
start=$(now_ms)
rm -f "$WORK"/load?/statuses
load 8
total=0
for n in 1 2 3; do
	most=$(most_in_window "$n" "$start")
	[ "$most" -le 11 ] || fail "$most requests in 4 s at server $n, with a limit of 1 a second"
	total=$((total + $(arrivals_since "$n" "$start" | wc -l)))
done
[ "$total" -ge 12 ] || fail "$total requests in 8 s at three servers that take 1 a second each"
expect "statuses of the reads" "200 503" "$(cat "$WORK"/load?/statuses | sort -u | grep . | xargs)"

say "a server that no longer names a limit is used by all nodes as before"
say_field 1 Server-Limit
for n in 2 3; do delete_object "servers/i-$n"; done
load 4
rm -f "$WORK"/load?/statuses
load 2
expect "statuses of the reads" "200" "$(cat "$WORK"/load?/statuses | sort -u | grep .)"
say "server limits: passed"
