#!/usr/bin/env bash
# Benchmarks: first the decisions, simulated in one process, then requests
# through real processes. Figures of the latter compare within one run only;
# nothing else should run on the machine meanwhile.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=29000
. t/lib.sh
B=$BUILD/bench
for bench in ${DECISIONS-rollout-bench route-bench order-bench}; do
	say "## $bench"
	"$B/$bench" || fail "$bench"
	say
done

KEY=etcheverry-tenders-key
CLI=$BUILD/chivegw
start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
	control "$(engine_address "$n")" '{"ms_per_token":1,"capacity":4000}'
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1
start_node 1 rancagua-a '"rating_share": 0'
apply_example examples/etcheverry.jsonc
wait_ready 1

# load ARGS...: prints the results of a load as JSON.
load() { "$CLI" load --key $KEY --service mesa-pedidos --json "$@"; }
# User and system time of node 1, in ticks of 10 ms.
cpu_ticks() { awk '{print $14 + $15}' "/proc/${PIDS[node1]}/stat"; }

say "## path: added latency against a direct call to the same engine"
say
say "| request | way | p50 | p99 |"
say "|---|---|---|---|"
row() { # REQUEST PATH JSON TYPE FIELD
	say "| $1 | $2 | $(jq ".$4.$5_p50" <<<"$3" | cut -c1-5) ms | $(jq ".$4.$5_p99" <<<"$3" | cut -c1-5) ms |"
}
# Opens the connections of both paths before measuring.
load --target "$(engine_address 1)" --model quill@3 --rate 100 --seconds 1 --mix draft=1 >/dev/null
load --target "$(client_address 1)" --model quill@3 --rate 100 --seconds 1 --mix draft=1 >/dev/null
direct=$(load --target "$(engine_address 1)" --model quill@3 --rate 100 --seconds 8 --mix draft=1 --tokens 8)
via_node=$(load --target "$(client_address 1)" --model quill@3 --rate 100 --seconds 8 --mix draft=1 --tokens 8)
row "first token of a stream" direct "$direct" draft first_ms
row "first token of a stream" chivegw "$via_node" draft first_ms
row "whole stream of 8 tokens" direct "$direct" draft whole_ms
row "whole stream of 8 tokens" chivegw "$via_node" draft whole_ms
direct=$(load --target "$(engine_address 1)" --model quill@3 --rate 5 --seconds 10 --mix draft=1 --tokens 8)
via_node=$(load --target "$(client_address 1)" --model quill@3 --rate 5 --seconds 10 --mix draft=1 --tokens 8)
row "whole stream of 8 tokens, 5 a second" direct "$direct" draft whole_ms
row "whole stream of 8 tokens, 5 a second" chivegw "$via_node" draft whole_ms
read=$(load --target "$(client_address 1)" --rate 100 --seconds 4 --mix read=1)
row "stock read" chivegw "$read" read whole_ms
order=$(load --target "$(client_address 1)" --rate 50 --seconds 4 --mix order=1 --seed "$RANDOM")
row "keyed order (claim in the store first)" chivegw "$order" order whole_ms
say

say "## path: processor time of a node a request"
say
say "| request | requests a second | processor us a request | requests a second and core |"
say "|---|---|---|---|"
# Prints the processor time of node 1 per request at a given rate.
cost() { # REQUEST TYPE RATE ARGS...
	local request=$1 type=$2 rate=$3 before after out sent
	shift 3
	before=$(cpu_ticks)
	out=$(load --target "$(client_address 1)" --rate "$rate" --seconds 6 --mix "$type=1" "$@")
	after=$(cpu_ticks)
	sent=$(jq ".$type.ok" <<<"$out")
	say "| $request | $rate ($sent ok) | $(((after - before) * 10000 / sent)) | $((sent * 100 / (after - before + 1))) |"
}
cost "stream of 24 tokens" draft 400 --model quill@3
cost "whole answer of 24 tokens" answer 400 --model quill@3
cost "stock read" read 1500
cost "keyed order" order 300 --seed "$RANDOM"
say

say "## overload: goodput, refusals at once"
say
for n in 1 2 3; do control "$(engine_address "$n")" '{"ms_per_token":10,"capacity":10}'; done
sleep 1
# Capacity: 3 engines of 10 slots, about 260 ms per answer of 24 tokens.
capacity_per_s=115
say "| offered | answered a second | refused not run | other | whole p50 | whole p99 |"
say "|---|---|---|---|---|---|"
load --target "$(client_address 1)" --model quill@3 --rate $capacity_per_s --seconds 10 --mix draft=1 >/dev/null
for times in 1 2 5; do
	out=$(load --target "$(client_address 1)" --model quill@3 --rate $((times * capacity_per_s)) --seconds 10 --mix draft=1 --deadline-ms 5000)
	say "| ${times} x $capacity_per_s | $(($(jq .draft.ok <<<"$out") / 10)) | $(jq '.draft["not-run"]' <<<"$out") | $(jq '.draft["may-have-run"] + .draft.ran + .draft.broken' <<<"$out") | $(jq .draft.whole_ms_p50 <<<"$out" | cut -c1-6) ms | $(jq .draft.whole_ms_p99 <<<"$out" | cut -c1-6) ms |"
done
