#!/usr/bin/env bash
# Nodes whose watches have fallen silent must learn of changes from the nodes that
# know them, however many other nodes are as stale as they are.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-9000}
. t/lib.sh
. t/lib-routes.sh

# The rules allow a change two seconds, and three more after a disturbance.
CHANGE_LIMIT_S=2
SILENCE_LIMIT_S=5
# In a large fleet only some nodes watch the store.
FLEET_SIZES=${FLEET_SIZES:-5 24}

relay_control() { address_at $((1300 + $1)); }
silence() { control "$(relay_control "$1")" '{"mode":"silence"}'; }
silence_all_but_informed() {
	for ((n = 1; n <= size; n++)); do [ "$n" = "$informed" ] || silence "$n"; done
}
is_watching() { ! grep 'watching=' "$WORK/route$1.log" | tail -n 1 | grep -q 'watching=0'; }
knows_draining() { grep -q "E710 .*server=i-$2 .*to=draining" "$WORK/route$1.log"; }
stale_nodes() { # SERVER: the nodes that do not know that it drains
	for ((n = 1; n <= size; n++)); do
		[ -z "${PIDS[route$n]-}" ] || knows_draining "$n" "$1" || printf '%s ' "$n"
	done
}
all_in_force() { # REVISION
	for ((n = 1; n <= size; n++)); do
		grep -q "in force: revision=$1 " "$WORK/route$n.log" || return 1
	done
}
none_stale() { [ -z "$(stale_nodes "$1")" ]; }
# check_known SERVER SECONDS
check_known() {
	until_true "$2" none_stale "$1" ||
		fail "nodes $(stale_nodes "$1")of $size do not know after $2 s that i-$1 drains"
}

# keep_busy N: has a stream run at the node all the time, so that it sends its
# loads, and with them what it knows, at full rate.
keep_busy() {
	while :; do
		curl -s -m 5 -o /dev/null -X POST -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
			-H "X-Chivegw-Request-Id: b-$1-$RANDOM$RANDOM" -H 'X-Chivegw-Deadline-Ms: 4000' \
			"http://$(client_address "$1")/talk/stream-slow" || sleep 0.2
	done
}

play() {
	size=$1
	start_objects
	for ((n = 1; n <= size; n++)); do
		start_relay "relay$n" "$(address_at $((1200 + n)))" "$STORE" "$(relay_control "$n")"
		NODE_STORE=$(address_at $((1200 + n))) start_route_node "$n"
	done
	for n in 1 2 3 4; do start_backend "$n" desk; done
	configure 3
	for ((n = 1; n <= size; n++)); do wait_route_ready "$n"; done
	for ((n = 1; n <= size; n++)); do run "client$n" keep_busy "$n"; done
	sleep 3

	say "$size nodes: one node that watches still hears of changes"
	for ((n = 1; n <= size; n++)); do is_watching "$n" && informed=$n; done
	silence_all_but_informed
	put_server 1 desk v1 draining
	check_known 1 "$CHANGE_LIMIT_S"
	ran=$(curl -fs "http://$(backend_address 1)/ran" | wc -l)
	for ((n = 1; n <= size; n++)); do expect "read at route$n" 200 "$(send "$n" GET /read/ok)"; done
	expect "runs at the server that left" "$ran" "$(curl -fs "http://$(backend_address 1)/ran" | wc -l)"

	say "$size nodes: the one that heard of a change is lost before the next one"
	silence_all_but_informed
	configure 4
	until_true "$CHANGE_LIMIT_S" all_in_force 4 || fail "configuration 4 is not in force"
	sleep 1
	crash "route$informed"
	put_server 3 desk v1 draining
	check_known 3 "$SILENCE_LIMIT_S"
	NODE_STORE=$(address_at $((1200 + informed))) start_route_node "$informed"
	wait_route_ready "$informed"

	say "$size nodes: no node hears of changes any more"
	configure 5
	sleep 1
	for ((n = 1; n <= size; n++)); do silence "$n"; done
	put_server 2 desk v1 draining
	check_known 2 "$SILENCE_LIMIT_S"
}

for size in $FLEET_SIZES; do
	(
		trap stop_all EXIT
		WORK=$(mktemp -d)
		play "$size"
	) || exit 1
done
say "stale nodes: passed"
