#!/usr/bin/env bash
# Brittle servers must not fall again and again: when one of them crashes and each
# that falls is back as another start of it, or when all requests stop for a while
# and then go on, few falls may follow.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-4000}
. t/lib.sh
. t/lib-routes.sh

SIZE=${FLEET_SIZE:-24}
NODES=$(seq "$SIZE")
SERVERS=${SERVERS:-4}
BACKENDS=$(seq "$SERVERS")
ROOM=8 # as the entries of the servers say
MAX_REFUSALS=${MAX_REFUSALS:-3}
CLIENTS=${CLIENTS:-2} # of each node, in a burst
RATE_PER_S=${RATE_PER_S:-3} # requests of a client
STABLE_S=4
SLOW_RESPONSE_MS=300 # of the stand-in
CRASH_AT_S=4
BURST_S=${BURST_S:-14}
SILENCE_S=12
SECOND_BURST_S=6
# The rule allows 2 + a tenth of the servers, beyond those that the test causes.
MAX_CRASHES=$((2 + SERVERS / 10))

now_ms() { echo $(($(sed 's/\([0-9]*\)\.\([0-9]*\) .*/\1\20/' /proc/uptime))); }
# order_in_turn NODE: a client that sends one order after the other.
order_in_turn() {
	exec stdbuf -oL curl -s -m 600 --rate "$RATE_PER_S/s" -o /dev/null -w '%{http_code}\n' -X POST -d x \
		-H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: o-$1-$RANDOM$RANDOM" \
		-H 'X-Chivegw-Deadline-Ms: 1000' "http://$(client_address "$1")/order/slow?[1-9999]"
}
# register_restarts SERVER: writes the server's entry anew each time that it is back
# after a crash. Of every second server the entry is gone meanwhile.
register_restarts() {
	local up=1
	while :; do
		if is_up "$(backend_address "$1")" crashes; then
			[ $up = 1 ] || BORN=$(now_ms) put_server "$1" desk v1 ready
			up=1
		else
			[ $up = 0 ] || [ $(($1 % 2)) = 0 ] || delete_object "servers/i-$1"
			up=0
		fi
		sleep 0.05
	done
}
crash_times() { for n in $BACKENDS; do until curl -fs -m 2 "http://$(backend_address "$n")/crashes"; do sleep 0.05; done; done | sort -n; }
crashes() { crash_times | wc -l; }
start_clients() { for n in $NODES; do for k in $(seq "$CLIENTS"); do run "burst$n-$k" order_in_turn "$n"; done; done; }
stop_clients() { for n in $NODES; do for k in $(seq "$CLIENTS"); do crash "burst$n-$k"; done; done; }
served() { cat "$WORK"/burst*.log 2>/dev/null | grep -c 200; }
# check_burst CAUSED SECONDS: fails if servers fell more often than allowed since
# `before`, or if too little was served since `served_before`.
check_burst() {
	local fell possible ok
	ok=$(($(served) - served_before))
	possible=$((SERVERS * ROOM * $2 * 1000 / SLOW_RESPONSE_MS))
	fell=$(($(crashes) - before - $1))
	say "  falls: $fell of $SERVERS servers beyond $1; served: $ok, possible: $possible"
	say "  at, ms: $(crash_times | awk -v from="$started" '$1 >= from {printf "%d ", $1 - from}')"
	[ "$fell" -le "$MAX_CRASHES" ] || fail "$fell falls, allowed are $MAX_CRASHES"
	[ $((2 * ok)) -ge "$possible" ] || fail "$ok requests served of $possible that were possible"
}

start_objects
for n in $NODES; do start_route_node "$n"; done
for n in $BACKENDS; do start_backend "$n" desk; done
configure 3
for n in $NODES; do wait_route_ready "$n"; done
sees_all() { grep -q "E500 .*alive=$SIZE" "$WORK/route$1.log"; }
for n in $NODES; do until_true 20 sees_all "$n" || fail "route$n does not see the others"; done
for n in $BACKENDS; do run "registrar$n" register_restarts "$n"; done
RATE_PER_S=1 CLIENTS=1 start_clients
for n in $BACKENDS; do curl -fs -m 2 "http://$(backend_address "$n")/say/Server-Brittle/$MAX_REFUSALS" || fail "backend$n"; done
sleep "$STABLE_S"
CLIENTS=1 stop_clients
for n in $BACKENDS; do curl -fs -m 2 "http://$(backend_address "$n")/brittle/$ROOM/$MAX_REFUSALS" || fail "backend$n"; done

say "churn"
before=$(crashes) served_before=$(served) started=$(now_ms)
start_clients
sleep 3
case $CHURN in
join) for n in $(seq $((SIZE+1)) $((SIZE+SIZE/3))); do start_route_node $n; done
 for n in $(seq $((SIZE+1)) $((SIZE+SIZE/3))); do ( until is_up "$(ready_address $n)" readyz; do sleep 0.01; done; order_in_turn $n ) > "$WORK/burst$n-9.log" & done;;
freeze) for n in $(seq 1 $((SIZE/3))); do freeze route$n; done; sleep 6;  for n in $(seq 1 $((SIZE/3))); do thaw route$n; done;;
kill) for n in $(seq 1 $((SIZE/3))); do crash route$n; done; sleep 0.5; for n in $(seq 1 $((SIZE/3))); do start_route_node $n; done;;
esac
sleep 8
check_burst 0 14
for n in 1 2 5; do :; done
grep -h "E722" $WORK/route*.log | grep -o "known=. share=. in_flight=. nodes=[0-9]*" | sort | uniq -c | sort -rn | head -12
exit 0
