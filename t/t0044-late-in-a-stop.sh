#!/usr/bin/env bash
# A node that stops does not start a request that may outlast it: that would run and
# be cut off without an answer.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-15100}
. t/lib.sh
. t/lib-routes.sh

SERVER_MS=1500   # that an order takes, a fraction of the route's time
ORDERS=24
INTERVAL_S=0.15  # between two orders, so that they reach past the node's end

TIMEOUT_MS=3000
start_objects
start_backend 1 desk
curl -fs -m 5 -o /dev/null "http://$(backend_address 1)/slow/$SERVER_MS"
configure 3
start_route_node 1
wait_route_ready 1

# order NAME: sends an order on a connection of its own; its status goes to
# $WORK/NAME.status, 000 if there was no answer.
order() {
	curl -s -m 10 -o /dev/null -w '%{http_code} %{time_connect}' -X POST -H "Host: $HOST" \
		-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: $1" -d x \
		"http://$(client_address 1)/order/slow" >"$WORK/$1.status"
}

# A stream keeps the node up until shortly before the end of its grace period.
curl -s -m 10 -o "$WORK/stream" -X POST -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
	-H 'X-Chivegw-Request-Id: long' -H 'X-Chivegw-Model: large' -d x \
	"http://$(client_address 1)/talk/stream-pause" &
stream=$!
sleep 1.3
kill -TERM "${PIDS[route1]}"
clients=()
(
	sleep 0.7 # a second signal must change nothing
	kill -TERM "${PIDS[route1]}"
	kill -INT "${PIDS[route1]}"
) &
for n in $(seq "$ORDERS"); do
	order "o-$n" &
	clients+=($!)
	sleep "$INTERVAL_S"
done
wait "$stream" "${clients[@]}"
wait "${PIDS[route1]}" || fail "route1 did not exit with 0"
unset "PIDS[route1]"

answered=0 refused=0
for n in $(seq "$ORDERS"); do
	read -r status connected <"$WORK/o-$n.status"
	ran=$(run_line "o-$n")
	case $status in
	200) answered=$((answered + 1)) ;;
	503)
		refused=$((refused + 1))
		[ -z "$ran" ] || fail "o-$n was refused and has run"
		;;
	*) [ -z "$ran" ] || fail "o-$n has run and was cut off without an answer (status $status, connected after $connected s)" ;;
	esac
done
[ "$answered" -gt 0 ] || fail "a node that stops served no order at all"
[ "$refused" -gt 0 ] || fail "no order came late in the stop"
say "late in a stop: $answered answered, $refused refused, passed"
