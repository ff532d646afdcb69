#!/usr/bin/env bash
# The three machines that the settings name as seeds are lost for good, and a machine
# is added, with the same seeds: it never finds the two nodes that are left. It gets no
# request, reaches the store, and takes itself for the coordinator of a roll-out. The
# new version turns bad some seconds after its start. TROUBLE=0 loses no machine.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/7
: >"$CASE/record.txt"
. review/lib-2.sh

SEEDS="1 2 3"
LEFT="4 5"
ADDED=6
OVER_S=12
BAD_AFTER_MS=7500 # from the order
EXPOSE_PERCENT=15
EXPOSE_SLACK=30
CLIENTS_PER_NODE=2
PAUSE_S=0.04 # between two requests of a client

# status_state: the state of the roll-out in the store, or none.
status_state() { curl -fs -m 5 -H 'x-operator: 1' "http://$STORE/objects/rollouts" | grep -o '"state": *"[a-z]*"' | grep -o '[a-z]*"$' | tr -d '"'; }
# arrivals N...: how many requests have reached these servers.
arrivals() {
	local n total=0
	for n in "$@"; do total=$((total + $(curl -fs -m 5 "http://$(backend_address "$n")/arrived" | wc -l))); done
	echo "$total"
}
# client NODE K: sends reads to a node until its time is over.
client() {
	local i=0 end=$(($(now_ms) + (OVER_S + 7) * 1000))
	while [ "$(now_ms)" -lt "$end" ] && [ ! -e "$WORK/over" ]; do
		i=$((i + 1))
		curl -s -m 5 -o /dev/null -w "c$1-$2-$i at node $1 answered %{http_code}\n" -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
			-H "X-Chivegw-Request-Id: c$1-$2-$i" -H 'X-Chivegw-Deadline-Ms: 1000' \
			"http://$(client_address "$1")/read/ok" >>"$WORK/answers"
		sleep "$PAUSE_S"
	done
}

start_objects
for n in 1 2; do start_backend "$n" desk v1; done
configure 3
for n in $SEEDS $LEFT; do start_small_node "$n"; done
for n in $SEEDS $LEFT; do wait_route_ready "$n"; done
sleep 4
if [ "$TROUBLE" = 1 ]; then
	for n in $SEEDS; do crash "route$n"; done
	record "nodes $SEEDS, the seeds, are lost for good"
fi
sleep 8 # the others count them as dead
start_small_node "$ADDED"
wait_route_ready "$ADDED"
record "node $ADDED is added and ready; its seeds are those of all"
sleep 4
for n in 3 4; do start_backend "$n" desk v2; done

clients=()
for n in $LEFT; do
	for ((k = 1; k <= CLIENTS_PER_NODE; k++)); do client "$n" "$k" & clients+=($!); done
done
sleep 1
old_before=$(arrivals 1 2)
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":'$OVER_S'}}'
ordered_at=$(now_ms)
record "roll-out to v2 ordered and acknowledged, over_s $OVER_S"

# The platform: old servers stop at completed, new ones at reverted.
state=""
mode=""
while [ "$(now_ms)" -lt $((ordered_at + OVER_S * 1000)) ]; do
	now=$(status_state)
	if [ "$now" != "$state" ]; then
		state=$now
		record "state in the store: $state"
		if [ "$state" = completed ]; then
			for n in 1 2; do
				old_gone=$((${old_gone:-0} + $(arrivals "$n")))
				curl -fs "http://$(backend_address "$n")/ran" >>"$WORK/ran"
				crash "backend$n"
				delete_object "servers/i-$n"
			done
			record "the old servers have stopped"
		fi
	fi
	if [ "$(now_ms)" -ge $((ordered_at + BAD_AFTER_MS)) ]; then
		[ -n "$mode" ] || record "v2 turns bad: half of the time its servers fail all requests"
		[ "$mode" = fail ] && mode=none || mode=fail
		for n in 3 4; do curl -fs -m 2 -o /dev/null "http://$(backend_address "$n")/control/$mode"; done
	fi
	sleep 0.05
done
new=$(arrivals 3 4)
old=${old_gone:-$(arrivals 1 2)}
total=$((new + old - old_before))
allowed=$((total * EXPOSE_PERCENT / 100 + EXPOSE_SLACK))
record "requests between the order and its time budget: $total, at the bad version: $new, allowed: $allowed"
for n in $SEEDS $LEFT $ADDED; do
	grep -h 'E42[0-9] ' "$WORK/route$n.log" | sed 's/ info / /' >>"$RECORD"
done
touch "$WORK/over"
wait "${clients[@]}"
for n in 1 2 3 4; do curl -fs -m 5 "http://$(backend_address "$n")/ran" >>"$WORK/ran"; done
record "answers: $(cut -d' ' -f6 "$WORK/answers" | sort | uniq -c | tr -s ' \n' ' ')"
while read -r id rest; do
	echo "        $id $rest, run by $(grep "^$id " "$WORK/ran" | sed 's/.* by=//' | tr '\n' ' ')" >>"$RECORD"
done <"$WORK/answers"
say "EXPOSURE: the bad version got $new requests of $total, allowed are $allowed"
[ "$new" -le "$allowed" ]
