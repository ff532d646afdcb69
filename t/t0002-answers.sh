#!/usr/bin/env bash
# Answers on real processes: they arrive complete although engines abort, stall,
# answer with another request's id, or double or leave out parts.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-22000}
. t/lib.sh

KEY=etcheverry-tenders-key
start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1
start_node 1 rancagua-a '"progress_ms": 500, "rating_share": 0, "hedge_ms": 100'
apply_example examples/etcheverry.jsonc
wait_ready 1

# fault_all JSON: sets the faults of all engines.
fault_all() { for e in 1 2 3; do control "$(engine_address "$e")" "$1"; done; }

# stream_text: the text of a streamed answer, joined from its events.
stream_text() {
	sed -n 's/^data: \({.*\)/\1/p' "$WORK/body" |
		jq -rj 'select(.choices[0]) | .choices[0].delta.content'
}
expected_text=$(printf '[q=0.9]'; for i in $(seq 1 23); do printf ' w%d' "$i"; done)
# normalised_text: the same with a fixed quality, which varies from answer to
# answer; the words after it may not.
normalised_text() { stream_text | sed 's/\[q=[0-9.]*\]/[q=0.9]/'; }

# expect_complete WHAT: sends a request whose stream must arrive complete, with
# events of that request only.
expect_complete() {
	expect "$1: status" 200 "$(chat 1 $KEY draft true)"
	expect "$1: text" "$expected_text" "$(normalised_text)"
	grep -q '^data: \[DONE\]' "$WORK/body" || fail "$1: no end"
	grep -q another-request "$WORK/body" && fail "$1: bytes of another request"
	local ids
	ids=$(sed -n 's/^data: {"id":"\([^"]*\)".*/\1/p' "$WORK/body" | sort -u)
	expect "$1: ids" "$(header x-request-id)" "$ids"
}

say "without faults"
expect_complete plain
expect "every event has choices" 0 "$(sed -n 's/^data: \({.*\)/\1/p' "$WORK/body" | jq -c 'select(has("choices") | not)' | wc -l)"
expect "the last event's choices" '[]' "$(sed -n 's/^data: \({.*usage.*\)/\1/p' "$WORK/body" | jq -c .choices)"

say "the list of models, and a body that is not UTF-8"
expect "models" 200 "$(http_request 1 $KEY GET /v1/models)"
expect "names of the models" "auto quill quill-mini" "$(jq -r '.data[].id' "$WORK/body" | sort | xargs)"
expect "models without a key" 401 "$(http_request 1 nobody GET /v1/models)"
expect "models by another method" 405 "$(http_request 1 $KEY POST /v1/models -d x)"
expect "invalid UTF-8" 400 "$(http_request 1 $KEY POST /v1/chat/completions -H 'x-chivegw-kind: draft' --data-binary $'{"messages":[{"role":"user","content":"\xff\xfe"}]}')"
grep -q 'not valid UTF-8' "$WORK/body" || fail "$(cat "$WORK/body")"

for fault in die silent gap crossed doubled refuse error; do
	say "streamed, fault of one engine: $fault"
	for e in 1 2 3; do
		control "$(engine_address "$e")" "{\"fault\":\"$fault\",\"at\":7}"
		expect_complete "$fault"
		control "$(engine_address "$e")" '{"fault":"none"}'
		sleep 0.6
	done
done
[ "$(metric 1 resumes_total)" -ge 1 ] || fail "nothing was resumed"
[ "$(metric 1 crossed_answers_total)" -ge 1 ] || fail "no answer with another id was counted"

for fault in die silent crossed refuse error; do
	say "unstreamed, fault of one engine: $fault"
	for e in 1 2 3; do
		control "$(engine_address "$e")" "{\"fault\":\"$fault\",\"at\":3}"
		expect "$fault: status" 200 "$(chat 1 $KEY tag false)"
		expect "$fault: id" "$(header x-request-id)" "$(jq -r .id "$WORK/body")"
		control "$(engine_address "$e")" '{"fault":"none"}'
		sleep 0.6
	done
done

say "all engines always abort: the answer breaks off and never looks complete"
fault_all '{"fault":"die","at":7,"count":100}'
chat 1 $KEY draft true >/dev/null && fail "the response ended as complete"
grep -q '^data: \[DONE\]' "$WORK/body" && fail "an end of stream was sent"
expect "prefix of the text" "$(normalised_text)" \
	"$(printf '%s' "$expected_text" | head -c "$(normalised_text | wc -c)")"
fault_all '{"fault":"none"}'

say "all engines refuse: not run, with retry-after"
sleep 5
fault_all '{"fault":"refuse","count":100}'
expect status 503 "$(chat 1 $KEY draft true)"
expect verdict not-run "$(header x-chivegw-verdict)"
[ -n "$(header retry-after)" ] || fail "no retry-after"
fault_all '{"fault":"none"}'

say "a stock read succeeds although one server never answers"
for s in 1 2; do
	control "$(service_address "$s")" '{"fault":"silent"}'
	expect "read's status" 200 "$(http_request 1 etcheverry-order-desk-key GET /services/mesa-pedidos/stock/1)"
	control "$(service_address "$s")" '{"fault":"none"}'
	sleep 0.6
done
say "a stock read succeeds although one server loses its answer or sends another's id"
for fault in lose crossed; do
	for s in 1 2; do
		control "$(service_address "$s")" "{\"fault\":\"$fault\"}"
		expect "read's status" 200 "$(http_request 1 etcheverry-order-desk-key GET /services/mesa-pedidos/stock/1)"
		expect "read's id" "$(header x-request-id)" "$(header x-request-id)"
		control "$(service_address "$s")" '{"fault":"none"}'
		sleep 0.6
	done
done
say "answers: passed"
