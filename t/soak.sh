#!/usr/bin/env bash
# Randomised soak test on real processes: soak.sh SEED SECONDS. Three nodes
# serve a mix of requests while nodes are killed, frozen, stopped and started,
# the store fails in every way, and engines and services misbehave. Each order
# without a clear result is repeated at a random node. At the end:
#   - no order ran twice; one that was answered ran once; one that every try
#     reported as not run did not run;
#   - no request has two usage records;
#   - a withdrawn version gets no work once its withdrawal is in force
#     everywhere.
set -u
cd "$(dirname "$0")/.." || exit 1
SEED=${1:-1}
DURATION_S=${2:-60}
BASE=${BASE:-31000}
RANDOM=$SEED
. t/lib.sh

CLI=$BUILD/chivegw
KEY=etcheverry-order-desk-key
SHORT_LIMITS='"progress_ms": 600, "store_timeout_ms": 300, "usage_flush_ms": 100'
start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1 2 3
for n in 1 2 3; do start_node "$n" rancagua-a "$SHORT_LIMITS"; done
apply_example examples/etcheverry.jsonc
for n in 1 2 3; do wait_ready "$n"; done

"$CLI" load --target "$(client_address 1)" --target "$(client_address 2)" --target "$(client_address 3)" \
	--rate 40 --seconds "$DURATION_S" --key $KEY --service mesa-pedidos \
	--mix order=4,tag=2,read=2 --deadline-ms 3000 --seed "$SEED" \
	--log "$WORK/log" --json >"$WORK/load.json" &
loader=$!

# random_upto N: a number from 1 to N.
random_upto() { echo $((RANDOM % $1 + 1)); }
# restart N: starts the node again if it has exited.
restart() {
	[ -n "${PIDS[node$1]:-}" ] && kill -0 "${PIDS[node$1]}" 2>/dev/null && return
	run "node$1" "$BUILD/chivegwd" --settings "$WORK/node$1.jsonc"
}
# inject_fault: strikes a random process with a random fault.
inject_fault() {
	local n e s
	n=$(random_upto 3) e=$(random_upto 3) s=$(random_upto 2)
	case $((RANDOM % 13)) in
	0) say "kill node$n" && crash "node$n" ;;
	1) say "freeze node$n" && freeze "node$n" && sleep 1.$((RANDOM % 10)) && thaw "node$n" ;;
	2) say "stop node$n" && kill -TERM "${PIDS[node$n]}" && wait "${PIDS[node$n]}" ;;
	3) say "store loses answers" && control "$PLATFORM" '{"fault":"lose-write","count":5}' ;;
	4) say "store applies writes late" && control "$PLATFORM" '{"fault":"late-write","count":5,"ms":700}' ;;
	5) say "store refuses writes" && control "$PLATFORM" '{"fault":"refuse-write","count":5}' ;;
	6) say "store down" && control "$PLATFORM" '{"fault":"down"}' && sleep 1 ;;
	7) say "store slow" && control "$PLATFORM" '{"fault":"slow","ms":200}' && sleep 1 ;;
	8) say "service$s loses answers" && control "$(service_address "$s")" '{"fault":"lose","count":3}' ;;
	9) say "service$s falls silent" && control "$(service_address "$s")" '{"fault":"silent","count":3}' ;;
	10) say "service$s answers with another request's id" && control "$(service_address "$s")" '{"fault":"crossed","count":3}' ;;
	11) say "service$s drops requests" && control "$(service_address "$s")" '{"fault":"drop","count":3}' ;;
	12) say "engine$e aborts answers" && control "$(engine_address "$e")" '{"fault":"die","at":3,"count":5}' ;;
	esac
}
# clear_faults: lifts all faults and restarts the nodes that have exited.
clear_faults() {
	control "$PLATFORM" '{"fault":"none"}'
	for s in 1 2; do control "$(service_address "$s")" '{"fault":"none"}'; done
	for e in 1 2 3; do control "$(engine_address "$e")" '{"fault":"none"}'; done
	for n in 1 2 3; do restart "$n"; done
}
while kill -0 $loader 2>/dev/null; do
	inject_fault
	sleep 0.$((RANDOM % 9 + 1))
	[ $((RANDOM % 2)) = 0 ] && inject_fault
	sleep 0.$((RANDOM % 9 + 1))
	clear_faults
	sleep 0.$((RANDOM % 9 + 1))
done
wait $loader || fail "the load generator failed"
clear_faults
for n in 1 2 3; do wait_ready "$n"; done
sleep 2

say "repeating all orders without a clear result"
grep '^order' "$WORK/log" | grep -v ' ok$' | while read -r _ key _; do
	body="{\"pallets\":${key##*-}}"
	status=$(http_request "$(random_upto 3)" $KEY POST /services/mesa-pedidos/orders \
		-H "idempotency-key: $key" -H 'content-type: application/json' -d "$body")
	verdict=$(header x-chivegw-verdict)
	[ "$status" = 200 ] && verdict=ok
	echo "order $key ${verdict:-broken}"
done >"$WORK/repeats"
cat "$WORK/log" "$WORK/repeats" | grep '^order' | awk '{print $2, $3}' | sort >"$WORK/tries"
for s in 1 2; do curl -fs -m 5 "http://$(service_address "$s")/ran"; done |
	awk '{print $3}' | sort | uniq -c | awk '{print $2, $1}' | sort >"$WORK/ran"

awk 'NR == FNR { ran[$1] = $2; next }
	{ tried[$1] = 1; if ($2 == "ok") ok[$1] = 1; if ($2 != "not-run") may_have_run[$1] = 1 }
	END {
		for (k in ran) if (ran[k] > 1) print "ran twice:", k, ran[k]
		for (k in ok) if (ran[k] != 1) print "answered, but did not run once:", k
		for (k in tried) if (!may_have_run[k] && ran[k]) print "reported as not run, but ran:", k
	}' "$WORK/ran" "$WORK/tries" >"$WORK/violations"
say "orders: $(cut -d' ' -f1 "$WORK/tries" | sort -u | wc -l), tries: $(wc -l <"$WORK/tries"), ran: $(wc -l <"$WORK/ran"), results: $(awk '{print $2}' "$WORK/tries" | sort | uniq -c | tr '\n' ' ')"
[ ! -s "$WORK/violations" ] || fail "$(head -n 5 "$WORK/violations")"

say "no request has two usage records"
curl -fs -m 5 "http://$PLATFORM/objects/usage/?list=1" | jq -r '.[]' |
	while read -r name; do curl -fs -m 5 "http://$PLATFORM/objects/$name"; done |
	jq -r .request | sort | uniq -d >"$WORK/duplicates"
[ ! -s "$WORK/duplicates" ] || fail "two records: $(head -n 3 "$WORK/duplicates")"

say "no new work once a withdrawal is in force everywhere"
"$CLI" withdraw quill-mini@2 --wait 20 >/dev/null 2>"$WORK/wait" || fail "withdraw failed: $(cat "$WORK/wait")"
count_withdrawn_runs() { for e in 1 2 3; do curl -fs -m 5 "http://$(engine_address "$e")/ran"; done | grep -c ' quill-mini@2$'; }
before=$(count_withdrawn_runs)
for n in 1 2 3; do chat "$n" etcheverry-complaints-key tag false >/dev/null; done
expect "work after the withdrawal" "$before" "$(count_withdrawn_runs)"
for log in "$WORK"/node*.log; do
	grep -q "invariant broken" "$log" && fail "$(grep "invariant broken" "$log")"
done
say "soak: seed $SEED, $DURATION_S s: passed"
