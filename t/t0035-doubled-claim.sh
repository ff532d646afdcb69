#!/usr/bin/env bash
# A late second copy of the answer to one order's claim must not be taken for that of
# another order, which would run twice.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-6450}
. t/lib.sh

ROUNDS=6

# relay_mode ADDRESS MODE
relay_mode() { curl -fs -m 5 -o /dev/null -d "{\"mode\":\"$2\"}" "http://$1/control"; }

KEY=etcheverry-order-desk-key
ORDERS=/services/mesa-pedidos/orders
start_platform
start_engine 1 quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
for n in 1 2; do start_service "$n"; done
start_relay relay-platform "$(address_at 690)" "$PLATFORM" "$(address_at 790)"
publish_nodes 1 2
DIRECT_PLATFORM=$PLATFORM
PLATFORM=$(address_at 690) start_node 1 rancagua-a '"store_timeout_ms": 400, "progress_ms": 700'
PLATFORM=$DIRECT_PLATFORM
start_node 2 rancagua-b '"store_timeout_ms": 400, "progress_ms": 700'
apply_example examples/etcheverry.jsonc
for n in 1 2; do wait_ready "$n"; done
order() { http_request "$1" "$KEY" POST "$ORDERS" -H "idempotency-key: $2" -d "{\"for\":\"$2\"}"; }
for ((round = 1; round <= ROUNDS; round++)); do
	order 1 "first-$round" >/dev/null
	expect "an order at another node" 200 "$(order 2 "second-$round")"
	relay_mode "$(address_at 790)" repeat
	order 1 "second-$round" >/dev/null
	relay_mode "$(address_at 790)" pass
	expect "runs of an order that is repeated, round $round" 1 "$(count_service_runs " second-$round ")"
done
say "doubled answers to claims: passed"
