#!/usr/bin/env bash
# Leaving on real processes: the graceful shutdown of a node breaks off no
# request, and a backend server that leaves gets no new work.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-24000}
. t/lib.sh

KEY=etcheverry-tenders-key
start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1 2
for n in 1 2; do start_node "$n" rancagua-a '"usage_flush_ms": 500'; done
apply_example examples/etcheverry.jsonc
for n in 1 2; do wait_ready "$n"; done

long_draft() { # N FILE: streams a draft of 300 tokens from a node
	curl -s -m 60 -o "$2" -w '%{http_code} %{exitcode}' \
		-H "authorization: Bearer $KEY" -H 'x-chivegw-kind: draft' \
		-d '{"stream":true,"max_tokens":300,"messages":[{"role":"user","content":"long"}]}' \
		"http://$(client_address "$1")/v1/chat/completions" >"$2.code"
}
expect_complete() { # FILE
	expect "stream's status" "200 0" "$(cat "$1.code")"
	expect "stream's events" 300 "$(grep -c '"delta"' "$1")"
	grep -q '^data: \[DONE\]' "$1" || fail "no end of stream in $1"
}

say "a node stops while streams are open"
for e in 1 2 3; do control "$(engine_address "$e")" '{"ms_per_token":10}'; done
for i in 1 2 3 4 5; do
	long_draft 1 "$WORK/s$i" &
	streams[$i]=$!
done
sleep 0.5
kill -TERM "${PIDS[node1]}"
sleep 0.1
expect "readyz while stopping" 503 "$(curl -s -o "$WORK/body" -w '%{http_code}' "http://$(client_address 1)/readyz")"
expect "new work while stopping" 503 "$(chat 1 $KEY tag false)"
expect verdict not-run "$(header x-chivegw-verdict)"
expect reason draining "$(jq -r .error.reason "$WORK/body")"
say "an engine is killed meanwhile: its streams continue at the others"
for e in 1 2 3; do
	[ "$(curl -fs -m 5 "http://$(engine_address "$e")/load" | jq .running)" -gt 0 ] && break
done
crash "engine$e"
wait "${streams[@]}"
start_engine "$e" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
control "$(engine_address "$e")" '{"ms_per_token":10}'
for i in 1 2 3 4 5; do expect_complete "$WORK/s$i"; done
wait "${PIDS[node1]}" || fail "node1 did not exit with 0"
unset "PIDS[node1]"

say "the stopped node wrote the usage of all five streams"
# usage_of NODE: prints the usage records that the node wrote.
usage_of() {
	curl -fs "http://$PLATFORM/objects/usage/$1?list=1" | jq -r '.[]' |
		while read -r name; do curl -fs "http://$PLATFORM/objects/$name"; done
}
expect "usage records" 5 "$(usage_of node1 | jq -r .request | sort -u | wc -l)"
expect "records, none twice" 5 "$(usage_of node1 | wc -l)"

say "the other node sees it leaving, not suspect"
node1_is_leaving() { [ "$(operator_get 2 /status | jq -r '.members[0].state')" = leaving ]; }
until_true 5 node1_is_leaving || fail "members: $(operator_get 2 /status | jq -c .members)"

say "a backend server leaves: no new work, its stream completes"
long_draft 2 "$WORK/s6" &
stream=$!
sleep 0.4
busy=$(for e in 1 2 3; do
	[ "$(curl -fs "http://$(engine_address "$e")/load" | jq .running)" -gt 0 ] && echo "$e"
done | head -n 1)
control "$PLATFORM" "{\"vms\":[{\"name\":\"engine$busy\",\"role\":\"backend\",\"state\":\"leaving\",\"address\":\"$(engine_address "$busy")\"}]}"
server_is_leaving() { operator_get 2 /status | jq -e ".servers[] | select(.address == \"$(engine_address "$busy")\") | .leaving" >/dev/null; }
until_true 5 server_is_leaving || fail "node2 does not see that the server leaves"
before=$(curl -fs "http://$(engine_address "$busy")/ran" | wc -l)
for i in $(seq 1 30); do
	expect status 200 "$(chat 2 $KEY tag false)"
done
expect "new work of the leaving server" "$before" "$(curl -fs "http://$(engine_address "$busy")/ran" | wc -l)"
wait "$stream"
expect_complete "$WORK/s6"
say "leaving: passed"
