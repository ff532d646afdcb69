#!/usr/bin/env bash
# The same as t0063 at the product's own API: clients that send requests one behind
# the other and read no answer must not grow the process beyond its machine's memory,
# nor keep others from being served.
# Runs alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-28500}
. t/lib.sh
. t/lib-routes.sh
. t/lib-crowd.sh

CLIENTS=40
BYTES=4000000 # that each client sends
KEY=etcheverry-tenders-key
keys="$(memory_keys), \"rating_share\": 0"
api_head=("Host: $HOST" "Authorization: Bearer $KEY")

is_served() { [ "$(chat "$1" $KEY draft false)" = 200 ]; }

# play WHAT N ADDRESS MODE PATH: a crowd at a fresh node N.
play() {
	say "$1"
	start_node "$2" rancagua-a "$keys"
	wait_ready "$2"
	until_true 10 is_served "$2" || { say "FAIL: $1: no request is served in calm"; bad=1; }
	start_crowd crowd "$3" "$CLIENTS" "$4" "$BYTES" "$5" "${api_head[@]}"
	watch_crowd crowd "node$2" "$3"
	report_crowd
	report_unread
	crash crowd
	rm "$WORK/crowd.log"
	until_true 10 is_served "$2" || { say "FAIL: $1: no request is served afterwards"; bad=1; }
	check_alive "node$2"
	stop "node$2"
}

start_platform
start_engine 1 quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
start_service 1
publish_nodes 1
start_node 1 rancagua-a "$keys"
apply_example examples/etcheverry.jsonc
stop node1
play "paths that no route has" 1 "$(client_address 1)" ahead /none/x
play "the health path" 1 "$(client_address 1)" ahead /healthz
play "chats with bodies" 1 "$(client_address 1)" ahead-post /v1/chat/completions
play "the operators' listener" 1 "$(operator_address 1)" ahead /metrics
[ "$bad" = 0 ] && say "requests ahead, own API: passed"
exit "$bad"
