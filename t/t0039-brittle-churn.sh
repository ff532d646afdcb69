#!/usr/bin/env bash
# Brittle servers must not fall when a third of the nodes join, stand still for some
# seconds, or are killed and start again, under more requests than the servers can take.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-30860}
MAX_REFUSALS=${MAX_REFUSALS:-1}
. t/lib.sh
. t/lib-routes.sh
. t/lib-brittle.sh

GROUP=$((SIZE / 3))
BEFORE_S=3
AFTER_S=8
FREEZE_S=${FREEZE_S:-6}
REST_S=4

# order_when_ready NODE: a client that sends its first order as soon as the node is ready.
order_when_ready() {
	until is_up "$(ready_address "$1")" readyz; do sleep 0.01; done
	order_in_turn "$1"
}

start_brittle_fleet

say "nodes join"
begin_burst
sleep "$BEFORE_S"
for n in $(seq $((SIZE + 1)) $((SIZE + GROUP))); do start_route_node "$n"; done
for n in $(seq $((SIZE + 1)) $((SIZE + GROUP))); do run "burst$n-new" order_when_ready "$n"; done
sleep "$AFTER_S"
check_burst 0 $((BEFORE_S + AFTER_S))
stop_clients
sleep "$REST_S"

say "nodes stand still and go on"
begin_burst
sleep "$BEFORE_S"
for n in $(seq "$GROUP"); do freeze "route$n"; done
sleep "$FREEZE_S"
for n in $(seq "$GROUP"); do thaw "route$n"; done
sleep "$AFTER_S"
check_burst 0 $((BEFORE_S + FREEZE_S + AFTER_S))
stop_clients
sleep "$REST_S"

say "nodes are killed and start again"
begin_burst
sleep "$BEFORE_S"
for n in $(seq "$GROUP"); do crash "route$n"; done
sleep 0.5
for n in $(seq "$GROUP"); do start_route_node "$n"; done
sleep "$AFTER_S"
check_burst 0 $((BEFORE_S + AFTER_S))
say "brittle churn: passed"
