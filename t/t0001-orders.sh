#!/usr/bin/env bash
# Orders on real processes: while processes are killed or frozen and answers are
# lost, an order runs at most once, and one reported as not run did not run.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-21000}
. t/lib.sh

KEY=etcheverry-order-desk-key
ORDERS=/services/mesa-pedidos/orders

start_platform
start_engine 1 quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
for n in 1 2; do start_service "$n"; done
publish_nodes 1 2 3
SHORT_LIMITS='"progress_ms": 700, "store_timeout_ms": 400'
for n in 1 2 3; do start_node "$n" rancagua-a "$SHORT_LIMITS"; done
apply_example examples/etcheverry.jsonc
for n in 1 2 3; do wait_ready "$n"; done

# order N KEY [CURL ARGUMENTS]: sends an order with an idempotency key to a node
# and prints the status.
order() {
	local n=$1 key=$2
	shift 2
	http_request "$n" "$KEY" POST "$ORDERS" -H "idempotency-key: $key" \
		-d "{\"pallets\":1,\"for\":\"$key\"}" "$@"
}
# fault_services JSON: sets the faults of both services.
fault_services() { for s in 1 2; do control "$(service_address "$s")" "$1"; done; }
# count_runs KEY: how often the order with this key ran.
count_runs() { count_service_runs " $1 "; }
# is_recorded N KEY: whether the node answers a repeat with the recorded result.
is_recorded() { [ "$(order "$1" "$2")" = 200 ] && [ "$(header x-chivegw-hops)" = recorded ]; }

say "a repeat at any node gets the recorded result"
expect status 200 "$(order 1 plain)"
for n in 1 2 3; do until_true 5 is_recorded "$n" plain || fail "not recorded at node$n"; done
expect runs 1 "$(count_runs plain)"

say "an order sent to three nodes at once runs once"
for n in 1 2 3; do
	curl -s -m 20 -o /dev/null -H "authorization: Bearer $KEY" \
		-H 'idempotency-key: race' -d '{}' "http://$(client_address "$n")$ORDERS" &
	racers[$n]=$!
done
wait "${racers[@]}"
expect runs 1 "$(count_runs race)"

say "a key that was used for another request is refused"
expect status 422 "$(http_request 2 $KEY POST $ORDERS -H 'idempotency-key: plain' -d '{"other":1}')"
expect verdict not-run "$(header x-chivegw-verdict)"

say "the server's answer is lost after it ran"
fault_services '{"fault":"lose"}'
expect status 409 "$(order 1 lost)"
expect verdict may-have-run "$(header x-chivegw-verdict)"
fault_services '{"fault":"none"}'
expect status 409 "$(order 2 lost)"
expect verdict may-have-run "$(header x-chivegw-verdict)"
expect runs 1 "$(count_runs lost)"

say "the server never answers after it ran"
fault_services '{"fault":"silent"}'
expect status 409 "$(order 1 silent)"
fault_services '{"fault":"none"}'
expect status 409 "$(order 3 silent)"
expect runs 1 "$(count_runs silent)"

say "another request's answer is not returned"
fault_services '{"fault":"crossed"}'
expect status 409 "$(order 1 crossed)"
expect verdict may-have-run "$(header x-chivegw-verdict)"
fault_services '{"fault":"none"}'
expect runs 1 "$(count_runs crossed)"

say "the store loses the answer to the claim"
control "$PLATFORM" '{"fault":"lose-write"}'
expect status 200 "$(order 1 claim-answer-lost)"
expect runs 1 "$(count_runs claim-answer-lost)"
until_true 5 is_recorded 2 claim-answer-lost || fail "not recorded"
expect runs 1 "$(count_runs claim-answer-lost)"

say "the claim takes effect only after the node's write has timed out"
control "$PLATFORM" '{"fault":"late-write","ms":900}'
expect status 200 "$(order 1 claim-late)"
sleep 1
order 2 claim-late >/dev/null
expect runs 1 "$(count_runs claim-late)"

say "the store is down: refused at once as not run, with retry-after"
control "$PLATFORM" '{"fault":"down"}'
expect status 503 "$(order 1 store-down)"
expect verdict not-run "$(header x-chivegw-verdict)"
[ -n "$(header retry-after)" ] || fail "no retry-after"
# The reason must be the store, not the deadline, which is a minute away.
expect reason store-unavailable "$(jq -r .error.reason "$WORK/body")"
control "$PLATFORM" '{"fault":"none"}'
expect runs 0 "$(count_runs store-down)"
sleep 1.2
expect status 200 "$(order 1 store-down)"
expect runs 1 "$(count_runs store-down)"

say "the node is killed while the server runs the order"
fault_services '{"fault":"slow","ms":600}'
order 1 node-killed >/dev/null &
sleep 0.3
crash node1
wait $! 2>/dev/null
expect status 409 "$(order 2 node-killed)"
expect verdict may-have-run "$(header x-chivegw-verdict)"
fault_services '{"fault":"none"}'
expect runs 1 "$(count_runs node-killed)"
start_node 1 rancagua-a "$SHORT_LIMITS"
wait_ready 1

say "the node is frozen past the deadline right after its claim was sent"
control "$PLATFORM" '{"fault":"slow","ms":300}'
order 1 node-frozen -H 'x-chivegw-deadline-ms: 1000' >/dev/null &
sleep 0.1
freeze node1
sleep 1.5
control "$PLATFORM" '{"fault":"none"}'
thaw node1
wait $! 2>/dev/null
expect runs 0 "$(count_runs node-frozen)"
succeeds_now() { [ "$(order 2 node-frozen)" = 200 ]; }
until_true 5 succeeds_now || fail "the claim was not released"
expect runs 1 "$(count_runs node-frozen)"

say "an order without a key is sent once, never twice"
fault_services '{"fault":"lose"}'
expect status 502 "$(http_request 1 $KEY POST $ORDERS -d '{"for":"unkeyed"}')"
expect verdict may-have-run "$(header x-chivegw-verdict)"
fault_services '{"fault":"none"}'
expect runs 1 "$(count_service_runs unkeyed)"

say "no server can be reached: not run, and the key stays usable"
for s in 1 2; do crash "service$s"; done
expect status 503 "$(order 1 no-server)"
expect verdict not-run "$(header x-chivegw-verdict)"
for s in 1 2; do start_service "$s"; done
succeeds_now() { [ "$(order 2 no-server)" = 200 ]; }
until_true 10 succeeds_now || fail "the key cannot be used again"
expect runs 1 "$(count_runs no-server)"
say "orders: passed"
