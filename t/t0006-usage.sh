#!/usr/bin/env bash
# Usage on real processes: each answered request has exactly one record, also
# with lost answers of the store, store outages, retries and a killed node. A
# kill can lose only records that were not written yet.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-26000}
. t/lib.sh

KEY=etcheverry-tenders-key
start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1
start_node 1 rancagua-a '"usage_flush_ms": 100, "store_timeout_ms": 300, "progress_ms": 500'
apply_example examples/etcheverry.jsonc
wait_ready 1

# records: prints all usage records in the store.
records() {
	curl -fs "http://$PLATFORM/objects/usage/?list=1" | jq -r '.[]' |
		while read -r name; do curl -fs "http://$PLATFORM/objects/$name"; done
}
all_written() { [ "$(metric 1 usage_taken_total)" = "$(metric 1 usage_written_total)" ]; }
send() { # COUNT: sends requests and adds their ids to $WORK/ids
	for _ in $(seq 1 "$1"); do
		expect status 200 "$(chat 1 $KEY tag false)"
		header x-request-id >>"$WORK/ids"
	done
}
# check WHAT: waits until all records are written, then compares them with the
# ids.
check() {
	until_true 20 all_written || fail "$1: records are not written"
	records | jq -r .request | sort >"$WORK/billed"
	sort "$WORK/ids" | diff - "$WORK/billed" >"$WORK/diff" ||
		fail "$1: $(head -n 5 "$WORK/diff")"
}

say "one record for each request"
send 10
check plain
say "the answer to a batch is lost after it took effect"
control "$PLATFORM" '{"fault":"lose-write","count":3}'
send 10
control "$PLATFORM" '{"fault":"none"}'
check "lost answers"
say "writes of batches are refused"
control "$PLATFORM" '{"fault":"refuse-write","count":5}'
send 10
check refused
say "the store is down for a while"
control "$PLATFORM" '{"fault":"down"}'
send 20
control "$PLATFORM" '{"fault":"none"}'
check outage
say "a request that took two engines has one record"
control "$(engine_address 1)" '{"fault":"die","at":3,"count":2}'
control "$(engine_address 2)" '{"fault":"die","at":3,"count":2}'
send 6
for e in 1 2; do control "$(engine_address "$e")" '{"fault":"none"}'; done
check retried
say "a refused request has no record"
expect status 400 "$(chat 1 $KEY unheard-of false)"
expect status 401 "$(chat 1 nobody tag false)"
sleep 0.5
check refusals
say "an order has one record, its repeat none"
order() { http_request 1 etcheverry-order-desk-key POST /services/mesa-pedidos/orders -H 'idempotency-key: u1' -d '{}'; }
expect status 200 "$(order)"
header x-request-id >>"$WORK/ids"
until_true 5 test "$(order)" = 200
check orders
say "the node is killed right after answers: each has a record, none two"
# The store is slow, so that an answer which does not wait for its record would
# arrive before the record is written.
control "$PLATFORM" '{"fault":"slow","ms":150}'
send 4
crash node1
records | jq -r .request | sort >"$WORK/billed"
expect "records twice" 0 "$(uniq -d "$WORK/billed" | wc -l)"
expect "records lost by the kill" 0 "$(sort "$WORK/ids" | comm -23 - "$WORK/billed" | wc -l)"
say "usage: passed"
