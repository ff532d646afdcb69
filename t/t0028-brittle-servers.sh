#!/usr/bin/env bash
# The servers of a service say in their answers that they crash when they have to
# refuse more than a few requests a second. They must hardly do so while clients
# send more than they can take, and must still be used well.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-2200}
. t/lib.sh
. t/lib-routes.sh

SIZE=${FLEET_SIZE:-5}
NODES=$(seq "$SIZE")
SERVERS=${SERVERS:-3}
BACKENDS=$(seq "$SERVERS")
ROOM=8 # as the entries of the servers say
MAX_REFUSALS=${MAX_REFUSALS:-4}
CLIENTS=${CLIENTS:-12} # of each node, in a burst
BURST_S=8
STABLE_S=3
SLOW_RESPONSE_MS=300 # of the stand-in
# The rule allows 2 + a tenth of the servers.
MAX_CRASHES=$((2 + SERVERS / 10))

ask_in_turn() { # NODE: one order after the other
	while :; do
		status=$(curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST -H "Host: $HOST" \
			-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: b-$1-$RANDOM$RANDOM$RANDOM" \
			-H 'X-Chivegw-Deadline-Ms: 1000' -d "$RANDOM$RANDOM" "http://$(client_address "$1")/order/slow")
		echo "$status"
		[ "$status" = 200 ] || sleep 0.15
	done
}
crashes() { for n in $BACKENDS; do until curl -fs -m 2 "http://$(backend_address "$n")/crashes"; do sleep 0.05; done; done | wc -l; }
served() { cat "$WORK"/burst*.log 2>/dev/null | grep -c 200; }

start_objects
for n in $NODES; do start_route_node "$n"; done
for n in $BACKENDS; do start_backend "$n" desk; done
configure 3
for n in $NODES; do wait_route_ready "$n"; done
for n in $NODES; do run "calm$n" ask_in_turn "$n"; done
for n in $BACKENDS; do curl -fs -m 2 "http://$(backend_address "$n")/brittle/$ROOM/$MAX_REFUSALS" || fail "backend$n"; done
sleep "$STABLE_S"
before=$(crashes)

say "more requests than the servers can take"
for n in $NODES; do for k in $(seq "$CLIENTS"); do run "burst$n-$k" ask_in_turn "$n"; done; done
sleep "$BURST_S"
ok=$(served)
fell=$(($(crashes) - before))
possible=$((SERVERS * ROOM * BURST_S * 1000 / SLOW_RESPONSE_MS))
say "crashes: $fell of $SERVERS servers; served: $ok, possible: $possible"
[ "$fell" -le "$MAX_CRASHES" ] || fail "$fell crashes, allowed are $MAX_CRASHES"
[ $((2 * ok)) -ge "$possible" ] || fail "$ok requests served of $possible that were possible"
say "brittle servers: passed"
