# A fleet before brittle servers, with clients that send more orders than the servers
# can take. Source t/lib.sh and t/lib-routes.sh first.

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
# The rule allows 2 + a tenth of the servers, beyond those that the test causes.
MAX_CRASHES=$((2 + SERVERS / 10))

now_ms() { echo $(($(sed 's/\([0-9]*\)\.\([0-9]*\) .*/\1\20/' /proc/uptime))); }
# order_in_turn NODE: a client that sends one order after the other.
order_in_turn() {
	exec stdbuf -oL curl -s -m 600 --rate "$RATE_PER_S/s" -o /dev/null -w '%{http_code}\n' -X POST -d x \
		-H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: o-$1-$RANDOM$RANDOM" \
		-H 'X-Chivegw-Deadline-Ms: 1000' "http://$(client_address "$1")/order/slow?[1-9999]"
}
sees_all() { grep -q "E500 .*alive=$SIZE" "$WORK/route$1.log"; }
crash_times() { for n in $BACKENDS; do until curl -fs -m 2 "http://$(backend_address "$n")/crashes"; do sleep 0.05; done; done | sort -n; }
crashes() { crash_times | wc -l; }
start_clients() { for n in $NODES; do for k in $(seq "$CLIENTS"); do run "burst$n-$k" order_in_turn "$n"; done; done; }
stop_clients() { for n in $NODES; do for k in $(seq "$CLIENTS"); do crash "burst$n-$k"; done; done; }
served() { cat "$WORK"/burst*.log 2>/dev/null | grep -c 200; }
# begin_burst: starts the clients, and counts from here.
begin_burst() {
	before=$(crashes) served_before=$(served) started=$(now_ms)
	start_clients
}
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
# start_brittle_fleet: starts all, and makes the servers brittle under calm requests.
start_brittle_fleet() {
	start_objects
	for n in $NODES; do start_route_node "$n"; done
	for n in $BACKENDS; do start_backend "$n" desk; done
	configure 3
	for n in $NODES; do wait_route_ready "$n"; done
	for n in $NODES; do until_true 20 sees_all "$n" || fail "route$n does not see the others"; done
	RATE_PER_S=1 CLIENTS=1 start_clients
	for n in $BACKENDS; do curl -fs -m 2 "http://$(backend_address "$n")/say/Server-Brittle/$MAX_REFUSALS" || fail "backend$n"; done
	sleep "$STABLE_S"
	CLIENTS=1 stop_clients
	for n in $BACKENDS; do curl -fs -m 2 "http://$(backend_address "$n")/brittle/$ROOM/$MAX_REFUSALS" || fail "backend$n"; done
}
