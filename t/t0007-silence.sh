#!/usr/bin/env bash
# Open connections to engines, plain services and the store go silent for
# good, while new connections work; and a node loses its connection to the
# store alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-27000}
. t/lib.sh

KEY=etcheverry-tenders-key
# Far below the node's progress limit of 60 s, so that a request which waits for
# that limit is refused.
DEADLINE='x-chivegw-deadline-ms: 15000'
start_platform
# Engines and services listen at this offset, behind relays at the configured
# addresses.
LISTEN_OFFSET=600
for n in 1 2 3; do
	run "engine$n" "$BUILD/t/engine" "$(address_at $((LISTEN_OFFSET + n)))" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
	start_relay "relay-engine$n" "$(engine_address "$n")" "$(address_at $((LISTEN_OFFSET + n)))" "$(address_at $((700 + n)))"
done
for n in 1 2; do
	run "service$n" "$BUILD/t/service" "$(address_at $((LISTEN_OFFSET + 10 + n)))"
	start_relay "relay-service$n" "$(service_address "$n")" "$(address_at $((LISTEN_OFFSET + 10 + n)))" "$(address_at $((710 + n)))"
done
start_relay relay-store "$(address_at 690)" "$PLATFORM" "$(address_at 790)"
publish_nodes 1 2
DIRECT_PLATFORM=$PLATFORM
PLATFORM=$(address_at 690) start_node 1 rancagua-a '"store_timeout_ms": 400, "progress_ms": 60000'
PLATFORM=$DIRECT_PLATFORM
start_node 2 rancagua-b '"store_timeout_ms": 400'
apply_example examples/etcheverry.jsonc
for n in 1 2; do wait_ready "$n"; done

# relay_mode OFFSET MODE: sets the mode of the relay with this control address.
relay_mode() { curl -fs -m 5 -o /dev/null -d "{\"mode\":\"$2\"}" "http://$(address_at "$1")/control"; }
# engine_relays MODE, service_relays MODE: for all engines, for all services.
engine_relays() { for n in 1 2 3; do relay_mode $((700 + n)) "$1"; done; }
service_relays() { for n in 1 2; do relay_mode $((710 + n)) "$1"; done; }

say "reused connections to engines go silent"
for i in $(seq 1 12); do expect status 200 "$(chat 1 $KEY draft true)"; done
for round in 1 2 3; do
	engine_relays silence
	expect "status in round $round" 200 "$(chat 1 $KEY draft true -H "$DEADLINE")"
	grep -q '^data: \[DONE\]' "$WORK/body" || fail "the answer is incomplete"
	for i in 1 2 3 4; do expect status 200 "$(chat 1 $KEY draft true)"; done
done

say "reused connections to order desk servers go silent: reads"
read_stock() { http_request 1 etcheverry-order-desk-key GET /services/mesa-pedidos/stock/1 -H "$DEADLINE"; }
for i in 1 2 3 4 5 6; do expect status 200 "$(read_stock)"; done
service_relays silence
expect "read's status" 200 "$(read_stock)"

say "orders are sent on new connections"
service_relays silence
order() { http_request 1 etcheverry-order-desk-key POST /services/mesa-pedidos/orders -H "idempotency-key: $1" -d '{}'; }
expect "order's status" 200 "$(order silent-1)"
expect "runs" 1 "$(for n in 1 2; do curl -fs "http://$(address_at $((LISTEN_OFFSET + 10 + n)))/ran"; done | grep -c ' silent-1 ')"

say "reused connections to the store go silent"
relay_mode 790 silence
expect "order's status" 200 "$(order silent-2)"
sleep 4
expect state fresh "$(operator_get 1 /status | jq -r .state)"

say "a node cut from the store alone serves while its peers confirm its configuration"
relay_mode 790 cut
sleep 9
expect state fresh "$(operator_get 1 /status | jq -r .state)"
expect status 200 "$(chat 1 $KEY tag false)"
say "that node takes no work once there is a change that it cannot read"
"$BUILD/chivegw" withdraw quill-mini@2 --platform "$DIRECT_PLATFORM" >/dev/null || fail "withdraw failed"
sleep 8
expect state stale "$(operator_get 1 /status | jq -r .state)"
expect status 503 "$(chat 1 $KEY draft true)"
expect verdict not-run "$(header x-chivegw-verdict)"
expect "the other node" 200 "$(chat 2 $KEY draft true)"
say "that node refuses orders as not run"
expect status 503 "$(order cut-1)"
expect verdict not-run "$(header x-chivegw-verdict)"
relay_mode 790 pass
is_fresh() { [ "$(operator_get 1 /status | jq -r .state)" = fresh ]; }
until_true 10 is_fresh || fail "not fresh again"
expect status 200 "$(chat 1 $KEY draft true)"
say "silence: passed"
