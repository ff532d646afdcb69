#!/usr/bin/env bash
# Placement of versions on engines: one under roll-out is loaded everywhere, a
# withdrawn one is unloaded. Engines that honour fencing numbers refuse old
# orders; those that ignore them are corrected afterwards.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-28000}
. t/lib.sh

CLI=$BUILD/chivegw
start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
	control "$(engine_address "$n")" '{"version":"quill@4","loaded":false}'
done
control "$(engine_address 2)" '{"honours_fencing":false}'
for n in 1 2; do start_service "$n"; done
publish_nodes 1 2 3
for n in 1 2 3; do start_node "$n" rancagua-a; done
apply_example examples/etcheverry.jsonc
for n in 1 2 3; do wait_ready "$n"; done

# loaded N: the versions that the engine has loaded, sorted.
loaded() { curl -fs "http://$(engine_address "$1")/load" | jq -r '.versions | sort | join(" ")'; }
# all_have VERSIONS: whether each engine has loaded just these.
all_have() {
	local n
	for n in 1 2 3; do [ "$(loaded "$n")" = "$1" ] || return 1; done
}
sleep 2
say "a candidate without a roll-out is not loaded"
all_have "quill-mini@2 quill@3" || fail "$(loaded 1), $(loaded 2), $(loaded 3)"

say "a roll-out loads it everywhere"
"$CLI" rollout start q4 --from quill@3 --to quill@4 --steps 0.5,1 --wait 9 >/dev/null 2>&1 || fail "rollout start failed"
until_true 15 all_have "quill-mini@2 quill@3 quill@4" || fail "$(loaded 1), $(loaded 2), $(loaded 3)"

say "an engine that ignores fencing numbers obeys an old order and is corrected"
old_order='{"version":"quill@3","loaded":false,"fence":1}'
expect "answer of the engine that honours them" 409 "$(curl -s -o "$WORK/body" -w '%{http_code}' -d "$old_order" "http://$(engine_address 1)/orders")"
expect "answer of the engine that ignores them" 200 "$(curl -s -o "$WORK/body" -w '%{http_code}' -d "$old_order" "http://$(engine_address 2)/orders")"
expect "versions left there" "quill-mini@2 quill@4" "$(loaded 2)"
until_true 15 all_have "quill-mini@2 quill@3 quill@4" || fail "not corrected: $(loaded 2)"

say "a request is sent to an engine that has its version"
control "$(engine_address 1)" '{"version":"quill-mini@2","loaded":false}'
for i in $(seq 1 12); do expect status 200 "$(chat 1 etcheverry-complaints-key tag false)"; done
until_true 15 all_have "quill-mini@2 quill@3 quill@4" || fail "not loaded again"

say "a withdrawn version is unloaded"
"$CLI" withdraw quill@3 --wait 9 >/dev/null 2>&1 || fail "withdraw failed"
until_true 15 all_have "quill-mini@2 quill@4" || fail "$(loaded 1), $(loaded 2), $(loaded 3)"
say "it stays unloaded for 5 s"
for i in $(seq 1 25); do
	sleep 0.2
	all_have "quill-mini@2 quill@4" || fail "$(loaded 1), $(loaded 2), $(loaded 3)"
done

say "two nodes are killed: the third takes over the placement of their engines"
crash node1
crash node2
control "$(engine_address 3)" '{"version":"quill@4","loaded":false}'
control "$(engine_address 1)" '{"version":"quill@4","loaded":false}'
until_true 30 all_have "quill-mini@2 quill@4" || fail "$(loaded 1), $(loaded 2), $(loaded 3)"
say "placement: passed"
