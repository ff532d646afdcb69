#!/usr/bin/env bash
# A server that has just started crashes if all nodes together send it more requests
# in a second than its service allows. The fleet must keep to that for a new server and
# for one that was away, whose entry tells of it late, use it fully after that, and
# say "not run" if it has no other.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-21500}
. t/lib.sh
. t/lib-routes.sh

NODES=6
COLD_S=3
MOST=8 # 4 a second, times 1.5, and 2 more
COLD="\"cold_s\":$COLD_S,\"cold_per_s\":4"
SETTINGS='"cold_over": 1.5, "cold_slack": 2'
SETTLE_S=4 # until nodes that have just started know each other

now_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
arrivals() { # SERVER FROM TO
	curl -fs -m 5 "http://$(backend_address "$1")/arrived" | awk -v from="$2" -v to="$3" '$1 >= from && $1 < to { print $1 }'
}
# most_in_a_second SERVER FROM TO
most_in_a_second() {
	arrivals "$@" | awk '{ t[NR] = $1; while (t[NR] - t[first + 1] >= 1000) first++; if (NR - first > most) most = NR - first } END { print most + 0 }'
}
# start_load: sends reads to all nodes, two at a time to each, until end_load. The
# senders are among the PIDS, so that a failure of the test ends them.
start_load() {
	local n k
	rm -f "$WORK"/load*/statuses "$WORK/stop"
	for n in $(seq "$NODES"); do for k in 1 2; do
		mkdir -p "$WORK/load$n-$k"
		(
			WORK_ALL=$WORK WORK=$WORK/load$n-$k
			while [ ! -e "$WORK_ALL/stop" ]; do
				send "$n" GET /read/ok >>"$WORK/statuses"
				echo " $(grep -ci '^retry-after' "$WORK/head")" >>"$WORK/statuses"
			done
		) &
		PIDS[load$n-$k]=$!
	done; done
}
end_load() {
	local n k
	touch "$WORK/stop"
	for n in $(seq "$NODES"); do for k in 1 2; do
		wait "${PIDS[load$n-$k]}"
		unset "PIDS[load$n-$k]"
	done; done
}
statuses() { cat "$WORK"/load*/statuses | cut -d' ' -f1 | sort -u | xargs; }
# check_cold SERVER FROM LEAST: what it got in the cold time from then on. Where there
# are warm servers with room it need not be used.
check_cold() {
	local to=$(($2 + 1000 * COLD_S)) most count
	most=$(most_in_a_second "$1" "$2" "$to")
	count=$(arrivals "$1" "$2" "$to" | wc -l)
	say "  server $1: $count requests in $COLD_S s, $most in one second, $MOST allowed"
	[ "$most" -le "$MOST" ] || fail "$most requests in a second at server $1, $MOST allowed"
	[ "$count" -ge "$3" ] || fail "the cold server $1 got $count requests in $COLD_S s"
}

start_objects
for n in $(seq "$NODES"); do start_route_node "$n" "$SETTINGS"; done
for n in 1 2; do start_backend "$n" desk; done
configure 3
for n in $(seq "$NODES"); do wait_route_ready "$n"; done
sees_all() { grep -q "E500 .*alive=$NODES" "$WORK/route$1.log"; }
for n in $(seq "$NODES"); do until_true 10 sees_all "$n" || fail "route$n does not see the others"; done
sleep "$SETTLE_S"

say "a new server whose entry does not call it cold"
start_load
sleep 1
start=$(now_ms)
start_backend 3 desk
sleep $((COLD_S + 3))
check_cold 3 "$start" 0
is_used_fully() { [ "$(most_in_a_second 3 $((start + 1000 * COLD_S + 1500)) "$(now_ms)")" -gt "$MOST" ]; }
until_true 10 is_used_fully || fail "server 3 gets as little after its cold time as before"

say "a server that comes back after a crash, and whose entry says so 1.3 s later"
curl -fs -m 5 -o /dev/null "http://$(backend_address 1)/crash"
until_true 10 is_up "$(backend_address 1)" gone || fail "backend1 is not back"
start=$(now_ms)
sleep 1.3
BORN=2 COLD_LEFT=1700 put_server 1 desk v1 ready
sleep $((COLD_S + 1))
check_cold 1 $((start - 500)) 0
end_load
expect "statuses of the reads" "200" "$(statuses)"

say "all servers are cold: what is beyond their limit is refused as not run, with a time"
for n in 2 3; do BORN=9 put_server "$n" desk v1 draining; done
start=$(now_ms)
BORN=3 COLD_LEFT=3000 put_server 1 desk v1 ready
sleep 0.6
start_load
sleep 2
end_load
check_cold 1 "$start" 3
expect "statuses of the reads" "200 503" "$(statuses)"
expect "refusals without Retry-After" 0 "$(cat "$WORK"/load*/statuses | grep -c '^503 0')"
grep -h 'status=503' "$WORK"/route*.log | grep -vq 'verdict=not-run' && fail "a refused request may have run"

say "a node that has just started sends nothing to a cold server"
stop route6
BORN=4 COLD_LEFT=8000 put_server 1 desk v1 ready
start_route_node 6 "$SETTINGS"
wait_route_ready 6
expect "a read at the new node" 503 "$(send 6 GET /read/ok)"
reads() { [ "$(send 6 GET /read/ok)" = 200 ]; }
until_true 20 reads || fail "the new node does not use the server after its cold time"

expect "lists of evacuations without evacuation_ms" 0 "$(curl -fs "http://$STORE/calls/evacuations")"
say "cold servers: passed"
