#!/usr/bin/env bash
# Roll-outs on real processes: a bad version is stopped automatically, a good
# one passes all steps, also when the holder of the lease is frozen.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-25000}
. t/lib.sh

KEY=etcheverry-tenders-key
BAD='q4 & 50%#' # a name that targets hold only with escapes
CLI=$BUILD/chivegw
start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.97 quill@4=0.60 quill-mini@2=0.60
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1 2 3
for n in 1 2 3; do start_node "$n" rancagua-a '"status_ms": 200'; done
apply_example examples/etcheverry.jsonc
for n in 1 2 3; do wait_ready "$n"; done
for e in 1 2 3; do control "$(engine_address "$e")" '{"ms_per_token":1}'; done

load() { # SECONDS RATE: drafts from all nodes, the figures as JSON
	"$CLI" load --target "$(client_address 1)" --target "$(client_address 2)" \
		--target "$(client_address 3)" --rate "$2" --seconds "$1" --key $KEY \
		--mix draft=1 --tokens 3 --json
}
count_runs() { for e in 1 2 3; do curl -fs "http://$(engine_address "$e")/ran"; done | grep -c " $1\$"; }
rollout_state() { operator_get "${1:-2}" /status | jq -r '.rollouts[0] // {} | .state + " " + .reason'; }
is_stopped() { [ "$(rollout_state | cut -d' ' -f1)" = stopped ]; }

say "a bad version: stopped automatically, few clients get it"
"$CLI" rollout start "$BAD" --from quill@3 --to quill@4 --steps 0.1,0.5,1 --wait 9 >/dev/null 2>&1 || fail "rollout start failed"
load 25 60 >"$WORK/load.json" &
loader=$!
until_true 25 is_stopped || fail "not stopped: $(rollout_state)"
expect reason "stopped worse than quill@3 by rating" "$(rollout_state)"
"$CLI" explain rollout "$BAD" >"$WORK/out" || fail "explain failed: $(cat "$WORK/out")"
grep -qxF "$BAD from quill@3 to quill@4: stopped, step 0: worse than quill@3 by rating" "$WORK/out" || fail "explain printed: $(cat "$WORK/out")"
grep -q "^rating  *new: [1-9]" "$WORK/out" || fail "explain printed: $(cat "$WORK/out")"
runs_at_stop=$(count_runs quill@4)
wait $loader || fail "the load generator failed"
sleep 0.5
say "answers of the bad version at the stop: $runs_at_stop of $(jq .draft.sent "$WORK/load.json") requests"
[ "$runs_at_stop" -le 150 ] || fail "too many answers of the bad version: $runs_at_stop"
[ "$(count_runs quill@4)" -le $((runs_at_stop + 10)) ] || fail "work after the stop"
expect broken 0 "$(jq .draft.broken "$WORK/load.json")"

say "a stopped version cannot be rolled out again"
"$CLI" rollout start again --from quill@3 --to quill@4 >/dev/null 2>&1 && fail "it was started"

say "a good version passes all steps while the holder of the lease is frozen"
perl -0pe 's/(\{\s*"name": "quill-mini")/{"name": "quill", "version": "5", "service": "redactor", "state": "candidate", "input_cost": 800, "output_cost": 3200, "expected_quality": {"draft": 0.94}},\n\t\t$1/' \
	"$WORK/answers.jsonc" >"$WORK/answers5.jsonc"
for n in 1 2 3; do stop "engine$n"; done
for n in 1 2 3; do
	start_engine "$n" quill@3=0.97 quill@4=0.6 quill@5=0.97 quill-mini@2=0.6
	control "$(engine_address "$n")" '{"ms_per_token":1}'
done
"$CLI" generate "$WORK/answers5.jsonc" -o "$WORK/config5.json" || fail "generate failed"
"$CLI" apply "$WORK/config5.json" --wait 9 >/dev/null 2>&1 || fail "apply failed"
"$CLI" rollout start q5 --from quill@3 --to quill@5 --steps 0.3,1 --wait 9 >/dev/null 2>&1 || fail "rollout start failed"
load 50 60 >"$WORK/load.json" &
loader=$!
sleep 3
holder=$(curl -fs "http://$PLATFORM/objects/lease/rollout" | jq -r .holder | cut -d/ -f1)
say "frozen: $holder"
freeze "$holder"
other=1
[ "$holder" = node1 ] && other=2
q5_is_done() { [ "$(operator_get $other /status | jq -r '.rollouts[] | select(.name == "q5") | .state')" = done ]; }
until_true 45 q5_is_done || fail "not done: $(operator_get $other /status | jq -c .rollouts)"
thaw "$holder"
wait $loader
new_holder=$(curl -fs "http://$PLATFORM/objects/lease/rollout" | jq -r .holder | cut -d/ -f1)
[ "$new_holder" != "$holder" ] || fail "the lease was not taken over"
sleep 3
for n in 1 2 3; do
	expect "state at node$n" done "$(operator_get "$n" /status | jq -r '.rollouts[] | select(.name == "q5") | .state')"
done

say "the version degrades later: stopped and withdrawn"
for e in 1 2 3; do control "$(engine_address "$e")" '{"version":"quill@5","quality":0.5}'; done
load 30 60 >"$WORK/load.json" &
loader=$!
q5_is_stopped() { [ "$(operator_get 1 /status | jq -r '.rollouts[] | select(.name == "q5") | .state')" = stopped ]; }
until_true 30 q5_is_stopped || fail "not stopped: $(operator_get 1 /status | jq -c .rollouts)"
wait $loader
chat 1 $KEY draft true >/dev/null
expect version 3 "$(header x-chivegw-version)"
say "roll-outs: passed"
