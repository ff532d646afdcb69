#!/usr/bin/env bash
# Starts the stand-ins of the platform, engines and order desk servers and three
# nodes, sends one request of each type, prints the responses, and stops all
# processes gracefully.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-20000}
. t/lib.sh

# show WHAT STATUS: prints the fields of the last response.
show() {
	printf '%-14s status %s  request %s  version %s  verdict %s  hops %s>%s\n' \
		"$1" "$2" "$(header x-request-id)" \
		"$(header x-chivegw-model)@$(header x-chivegw-version)" \
		"$(header x-chivegw-verdict)" "$(header x-chivegw-node)" \
		"$(header x-chivegw-hops)"
}

start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1 2 3
start_node 1 rancagua-a
start_node 2 rancagua-b
start_node 3 santiago-c
apply_example examples/etcheverry.jsonc
cat "$WORK/apply.out"
for n in 1 2 3; do wait_ready "$n"; done
"$BUILD/chivegw" status

status=$(chat 1 etcheverry-tenders-key draft true)
show "tender draft" "$status"
expect "draft's status" 200 "$status"
grep -q '^data: \[DONE\]' "$WORK/body" || fail "the draft is incomplete"
draft=$(header x-request-id)

status=$(chat 2 etcheverry-complaints-key tag false)
show "tag" "$status"
expect "tag's status" 200 "$status"
expect "tag's model" quill-mini "$(header x-chivegw-model)"

status=$(http_request 3 etcheverry-order-desk-key GET /services/mesa-pedidos/stock/42)
show "stock read" "$status"
expect "stock read's status" 200 "$status"

order() {
	http_request "$1" etcheverry-order-desk-key POST /services/mesa-pedidos/orders \
		-H 'idempotency-key: demo-pallet-1' -d '{"pallets": 12}'
}
status=$(order 1)
show "pallet order" "$status"
expect "order's status" 200 "$status"
first=$(cat "$WORK/body")
is_recorded() { [ "$(order 2)" = 200 ] && [ "$(header x-chivegw-hops)" = recorded ]; }
until_true 5 is_recorded || fail "the result of the order was not recorded"
show "repeat, node 2" 200
expect "repeat's answer" "$first" "$(cat "$WORK/body")"
expect "runs of the order" 1 "$(count_service_runs demo-pallet-1)"

say "explanation of the draft:"
"$BUILD/chivegw" explain "$draft" --node "$(operator_address 1)" || fail "explain failed"

for n in 1 2 3; do stop "node$n"; done
for n in 1 2 3; do stop "engine$n"; done
for n in 1 2; do stop "service$n"; done
stop platform
say "demo: passed"
