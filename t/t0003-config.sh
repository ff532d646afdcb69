#!/usr/bin/env bash
# Configuration on real processes: a change is in force everywhere within
# seconds and never reverted, also with concurrent operators and store
# outages; withdrawn versions get no work; sessions keep their version.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-23000}
. t/lib.sh

KEY=etcheverry-tenders-key
CLI=$BUILD/chivegw
start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1 2 3
for n in 1 2 3; do start_node "$n" rancagua-a '"store_timeout_ms": 400'; done

say "before any configuration: not run"
expect status 503 "$(chat 1 $KEY tag false)"
expect verdict not-run "$(header x-chivegw-verdict)"
expect reason no-configuration "$(jq -r .error.reason "$WORK/body")"

apply_example examples/etcheverry.jsonc
for n in 1 2 3; do wait_ready "$n"; done

say "clients without a key, or with an unknown one"
expect status 401 "$(chat 1 nobody tag false)"
expect status 401 "$(curl -s -o "$WORK/body" -w '%{http_code}' -d '{}' "http://$(client_address 1)/v1/chat/completions")"

say "a model that the client may not use"
expect status 403 "$(http_request 1 etcheverry-complaints-key POST /v1/chat/completions -d '{"model":"quill","messages":[{"role":"user","content":"x"}]}')"
expect verdict not-run "$(header x-chivegw-verdict)"
curl -fs "http://$(engine_address 1)/ran" | grep -c complaints | grep -qx 0 || fail "the refused request ran"

say "invalid requests get an error"
expect status 400 "$(http_request 1 $KEY POST /v1/chat/completions -d '{"messages":')"
expect status 400 "$(http_request 1 $KEY POST /v1/chat/completions -d '{"messages":[]}')"
expect status 400 "$(chat 1 $KEY unheard-of false)"
expect status 400 "$(chat 1 $KEY tag false -H 'x-chivegw-deadline-ms: soon')"
expect status 400 "$(chat 1 $KEY tag false -H 'x-chivegw-session: forged.a.b.c')"
expect status 404 "$(http_request 1 $KEY GET /services/no-such/stock)"

say "a session keeps its version at every node"
expect status 200 "$(chat 1 $KEY draft true -H 'x-chivegw-session: new')"
token=$(header x-chivegw-session)
version=$(header x-chivegw-version)
for n in 2 3 1; do
	expect status 200 "$(chat "$n" $KEY draft true -H "x-chivegw-session: $token")"
	expect "session's version" "$version" "$(header x-chivegw-version)"
done
say "another organisation cannot use the session"
expect status 403 "$(chat 2 etcheverry-certificates-key draft true -H "x-chivegw-session: $token")"

say "withdrawal: in force everywhere, no new work, sessions move and report it"
before=$(for e in 1 2 3; do curl -fs "http://$(engine_address "$e")/ran"; done | grep -c ' quill@3$')
"$CLI" withdraw quill@3 --wait 9 >/dev/null 2>"$WORK/wait" || fail "withdraw failed: $(cat "$WORK/wait")"
before=$(for e in 1 2 3; do curl -fs "http://$(engine_address "$e")/ran"; done | grep -c ' quill@3$')
expect status 200 "$(chat 2 $KEY draft true -H "x-chivegw-session: $token")"
expect moved withdrawn "$(header x-chivegw-session-moved)"
for i in $(seq 1 20); do chat $((i % 3 + 1)) $KEY draft true >/dev/null; done
after=$(for e in 1 2 3; do curl -fs "http://$(engine_address "$e")/ran"; done | grep -c ' quill@3$')
expect "runs of the withdrawn version" "$before" "$after"

say "apply keeps a withdrawal"
"$CLI" apply "$WORK/config.json" --wait 9 >/dev/null 2>&1 || fail "apply failed"
chat 1 $KEY draft true >/dev/null
[ "$(header x-chivegw-version)" != 3 ] || fail "the withdrawn version is back"

say "four operators at once: each applies or gets a conflict"
codes=""
for i in 1 2 3 4; do
	"$CLI" apply "$WORK/config.json" >/dev/null 2>&1 &
	racers[$i]=$!
done
for i in 1 2 3 4; do wait "${racers[$i]}"; codes="$codes $?"; done
for c in $codes; do
	[ "$c" = 0 ] || [ "$c" = 4 ] || fail "exit codes $codes"
done
case $codes in *0*) ;; *) fail "no operator succeeded: $codes" ;; esac

say "the answer to the write of the head is lost: the change is accepted, once"
revision() { curl -fs "http://$PLATFORM/objects/config/head" | jq .revision; }
previous=$(revision)
"$CLI" rollout start r1 --from quill-mini@2 --to quill@4 --steps 0.5,1 >/dev/null || fail "rollout start failed"
expect revision $((previous + 1)) "$(revision)"
# The section is written first, then the head: both answers are lost.
control "$PLATFORM" '{"fault":"lose-write","count":2}'
"$CLI" rollout pause r1 >"$WORK/out" 2>&1 || fail "pause failed: $(cat "$WORK/out")"
expect revision $((previous + 2)) "$(revision)"

say "the store is down for all nodes: they keep serving"
control "$PLATFORM" '{"fault":"down"}'
sleep 9
for n in 1 2 3; do
	expect "status in an outage" 200 "$(chat "$n" $KEY tag false)"
	expect "state in an outage" outage "$(operator_get "$n" /status | jq -r .state)"
done
"$CLI" withdraw quill-mini@2 >/dev/null 2>"$WORK/err"
expect "exit code of a change" 3 $?
control "$PLATFORM" '{"fault":"none"}'
is_fresh() { [ "$(operator_get "$1" /status | jq -r .state)" = fresh ]; }
for n in 1 2 3; do until_true 10 is_fresh "$n" || fail "node$n is not fresh"; done

say "a node resumes after a freeze: no work by an old configuration"
freeze node3
"$CLI" withdraw quill-mini@2 >/dev/null || fail "withdraw failed"
sleep 7
count_withdrawn_runs() { for e in 1 2 3; do curl -fs "http://$(engine_address "$e")/ran"; done | grep -c ' quill-mini@2$'; }
before=$(count_withdrawn_runs)
for i in 1 2 3 4 5; do
	curl -s -m 10 -o /dev/null -H "authorization: Bearer $KEY" -H 'x-chivegw-kind: tag' \
		-d '{"messages":[{"role":"user","content":"x"}]}' "http://$(client_address 3)/v1/chat/completions" &
	requests[$i]=$!
done
sleep 0.2
thaw node3
wait "${requests[@]}"
expect "work of the withdrawn version" "$before" "$(count_withdrawn_runs)"

say "a node that starts while the store is down takes work only when it is back"
control "$PLATFORM" '{"fault":"down"}'
start_node 4 rancagua-b '"store_timeout_ms": 400'
expect status 503 "$(http_request 4 $KEY GET /services/mesa-pedidos/stock)"
control "$PLATFORM" '{"fault":"none"}'
wait_ready 4
expect status 200 "$(http_request 4 $KEY GET /services/mesa-pedidos/stock)"
say "configuration: passed"
