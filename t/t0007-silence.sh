#!/usr/bin/env bash
# Open connections that go silent for good while new ones work, towards
# engines, plain services and the store; a node cut from the store alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-27000}
. t/lib.sh

KEY=etcheverry-tenders-key
# Far below the node's progress limit: waiting for that one would be a refusal.
DEADLINE='x-chivegw-deadline-ms: 15000'
start_platform
# Engines and services listen behind relays; the configuration names those.
REAL=600
for n in 1 2 3; do
	run "engine$n" "$BUILD/t/engine" "$(address_at $((REAL + n)))" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
	start_relay "relay-engine$n" "$(engine_address "$n")" "$(address_at $((REAL + n)))" "$(address_at $((700 + n)))"
done
for n in 1 2; do
	run "service$n" "$BUILD/t/service" "$(address_at $((REAL + 10 + n)))"
	start_relay "relay-service$n" "$(service_address "$n")" "$(address_at $((REAL + 10 + n)))" "$(address_at $((710 + n)))"
done
start_relay relay-store "$(address_at 690)" "$PLATFORM" "$(address_at 790)"
publish_nodes 1 2
DIRECT=$PLATFORM
PLATFORM=$(address_at 690) start_node 1 rancagua-a '"store_timeout_ms": 400, "progress_ms": 60000'
PLATFORM=$DIRECT
start_node 2 rancagua-b '"store_timeout_ms": 400'
apply_example examples/etcheverry.jsonc
for n in 1 2; do wait_ready "$n"; done

mode() { curl -fs -m 5 -o /dev/null -d "{\"mode\":\"$2\"}" "http://$(address_at "$1")/control"; }
engines() { for n in 1 2 3; do mode $((700 + n)) "$1"; done; }
services() { for n in 1 2; do mode $((710 + n)) "$1"; done; }

say "kept connections to engines go silent"
for i in $(seq 1 12); do expect status 200 "$(chat 1 $KEY draft true)"; done
for round in 1 2 3; do
	engines silence
	expect "status in round $round" 200 "$(chat 1 $KEY draft true -H "$DEADLINE")"
	grep -q '^data: \[DONE\]' "$WORK/body" || fail "not whole"
	for i in 1 2 3 4; do expect status 200 "$(chat 1 $KEY draft true)"; done
done

say "kept connections to order desk servers go silent: reads"
read_stock() { http_request 1 etcheverry-order-desk-key GET /services/mesa-pedidos/stock/1 -H "$DEADLINE"; }
for i in 1 2 3 4 5 6; do expect status 200 "$(read_stock)"; done
services silence
expect "read's status" 200 "$(read_stock)"

say "orders leave on fresh connections"
services silence
order() { http_request 1 etcheverry-order-desk-key POST /services/mesa-pedidos/orders -H "idempotency-key: $1" -d '{}'; }
expect "order's status" 200 "$(order silent-1)"
expect "runs" 1 "$(for n in 1 2; do curl -fs "http://$(address_at $((REAL + 10 + n)))/ran"; done | grep -c ' silent-1 ')"

say "kept connections to the store go silent"
mode 790 silence
expect "order's status" 200 "$(order silent-2)"
sleep 4
expect state fresh "$(operator_get 1 /status | jq -r .state)"

say "a node cut from the store alone serves by what its peers confirm"
mode 790 cut
sleep 9
expect state fresh "$(operator_get 1 /status | jq -r .state)"
expect status 200 "$(chat 1 $KEY tag false)"
say "and takes no work once there is a change that it cannot read"
"$BUILD/chivegw" withdraw quill-mini@2 --platform "$DIRECT" >/dev/null || fail withdraw
sleep 8
expect state stale "$(operator_get 1 /status | jq -r .state)"
expect status 503 "$(chat 1 $KEY draft true)"
expect verdict not-run "$(header x-chivegw-verdict)"
expect "the other node" 200 "$(chat 2 $KEY draft true)"
say "its orders are refused as not run"
expect status 503 "$(order cut-1)"
expect verdict not-run "$(header x-chivegw-verdict)"
mode 790 pass
fresh() { [ "$(operator_get 1 /status | jq -r .state)" = fresh ]; }
until_true 10 fresh || fail "not fresh again"
expect status 200 "$(chat 1 $KEY draft true)"
say "silence: all as wanted"
