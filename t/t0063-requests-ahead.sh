#!/usr/bin/env bash
# Clients that send requests one behind the other and read no answer must not grow
# the process, with what lies unread in the kernel, beyond its machine's memory, at
# any listener, nor keep others from being served.
# Runs alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-27500}
. t/lib.sh
. t/lib-routes.sh
. t/lib-crowd.sh

MACHINE_MB=48
CLIENT_MEMORY_MB=8
CLIENTS=40
BYTES=4000000 # that each client sends
MAX_OPEN=$((2 * CLIENTS + 40)) # descriptors: one a client, one for its request, the node's own
keys="\"memory_mb\": $MACHINE_MB, \"client_memory_mb\": $CLIENT_MEMORY_MB"
large="X-Large: $(head -c 1600 /dev/zero | tr '\0' a)"

is_served() { [ "$(send "$1" "$2" "$3" "${@:4}")" = 200 ]; }

# play WHAT N ADDRESS MODE PATH [HEAD LINES...]: a crowd at a fresh node N.
play() {
	local what=$1 n=$2 address=$3 mode=$4 path=$5
	shift 5
	say "$what"
	start_route_node "$n" "$keys"
	wait_route_ready "$n"
	check "$what: a request in calm" 200 "$(send "$n" GET /read/ok)"
	start_crowd crowd "$address" "$CLIENTS" "$mode" "$BYTES" "$path" "${crowd_head[@]}" "$@"
	watch_crowd crowd "route$n" "$address"
	report_crowd
	crash crowd
	rm "$WORK/crowd.log"
	until_true 10 is_served "$n" GET /read/ok || { say "FAIL: $what: no request is served afterwards"; bad=1; }
	until_true 10 is_served "$n" POST /order/ok -d x || { say "FAIL: $what: no order is served afterwards"; bad=1; }
	check_alive "route$n"
	stop "route$n"
}

start_objects
for n in 1 2 3 4; do start_backend "$n" desk; done
MAX_BODY=100000 HEADER_MS=20000 configure 3
play "paths that no route has" 1 "$(client_address 1)" ahead /none/x
play "paths that no route has, large heads" 2 "$(client_address 2)" ahead /none/x "$large"
play "paths that no route has, with bodies" 3 "$(client_address 3)" ahead-post /none/x
play "reads" 4 "$(client_address 4)" ahead /read/ok
play "orders with bodies" 5 "$(client_address 5)" ahead-post /order/ok
play "the listener for nodes" 6 "127.0.0.6:$((BASE + 350))" ahead /none/x
play "the balancer's listener" 7 "$(ready_address 7)" ahead /readyz
play "the operators' listener" 8 "127.0.0.8:$((BASE + 250))" ahead /metrics
[ "$bad" = 0 ] && say "requests ahead: passed"
exit "$bad"
