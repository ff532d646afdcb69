#!/usr/bin/env bash
# A backend server turns requests away with 503 and a time: a node that got such
# an answer sends it nothing until then.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-14000}
. t/lib.sh
. t/lib-routes.sh

PAUSE_S=4.5
# Requests that may still be on their way when the server answers.
MOST_PER_NODE=2

now_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
to_server() { curl -fs -m 5 -o /dev/null "http://$(backend_address "$1")/$2"; }
# arrivals SERVER NODE FROM TO: requests of a node in this time, in ms.
arrivals() {
	curl -fs -m 5 "http://$(backend_address "$1")/arrived" |
		awk -v prefix="n$2-" -v from="$3" -v to="$4" '$1 >= from && $1 < to && index($2, prefix) == 1' | wc -l
}
reads() { # UNTIL_MS: sends reads to both nodes and prints their statuses
	local i=0
	while [ "$(now_ms)" -lt "$1" ]; do
		for n in 1 2; do
			i=$((i + 1))
			ID="n$n-$1-$i" send "$n" GET /read/ok
			echo
		done
	done
}

start_objects
for n in 1 2; do start_route_node "$n"; done
start_backend 1 desk
configure 3
for n in 1 2; do wait_route_ready "$n"; done

say "a server that asks for a pause gets nothing until then"
to_server 1 "say/Retry-After/$PAUSE_S"
to_server 1 control/refuse
start=$(now_ms)
for n in 1 2; do expect "read, with no other server" 503 "$(send "$n" GET /read/ok)"; done
after=$(sed -n 's/^retry-after: *\([0-9.]*\).*/\1/ip' "$WORK/head" | tr -d '\r')
awk -v s="${after:-0}" -v pause="$PAUSE_S" 'BEGIN { exit !(s > pause - 0.5 && s <= pause) }' || fail "Retry-After is '$after' when the only server wants a pause of $PAUSE_S s"
start_backend 2 desk
sees_server_2() { for n in 1 2; do grep -q 'server=i-2 .*to=ready' "$WORK/route$n.log" || return 1; done; }
until_true 2 sees_server_2 || fail "a new server is not seen"
expect "statuses" 200 "$(reads $((start + 5000)) | sort -u)"
for n in 1 2; do
	got=$(arrivals 1 "$n" $((start + 500)) $((start + 4400)))
	[ "$got" -le "$MOST_PER_NODE" ] || fail "$got requests from route$n while the server wants a pause"
done

say "it is used again after the pause"
to_server 1 say/Retry-After
to_server 1 control/none
sleep 5
delete_object servers/i-2
sleep 0.6
for n in 1 2; do expect "read" 200 "$(send "$n" GET /read/ok)"; done
say "server pause: passed"
