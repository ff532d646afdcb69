#!/usr/bin/env bash
# While clients send requests one behind the other and read no answer, a node must
# keep to a client_memory_mb that is lowered, and must stop when it is told to.
# Runs alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-29500}
. t/lib.sh
. t/lib-routes.sh
. t/lib-crowd.sh

ROOMY_MB=64 # client_memory_mb before it is lowered, on a machine of ROOMY_MACHINE_MB
ROOMY_MACHINE_MB=160
CLIENTS=40
BYTES=400000000 # that each client sends, unless it is killed

# keeps_to_machine N: whether node N holds no more, in the kernel too, than it may.
keeps_to_machine() {
	local unread
	unread=$(unread_kb "$(client_address "$1")")
	[ "$unread" -le $((CLIENT_MEMORY_MB * 1024)) ] &&
		[ $((unread + $(resident_kb "route$1"))) -le $((MACHINE_MB * 1024)) ]
}

start_crowd_backends

say "a lowered limit"
start_route_node 1 "$(MACHINE_MB=$ROOMY_MACHINE_MB CLIENT_MEMORY_MB=$ROOMY_MB memory_keys)"
wait_route_ready 1
check "a request in calm" 200 "$(send 1 GET /read/ok)"
start_crowd crowd "$(client_address 1)" "$CLIENTS" ahead "$BYTES" /none/x "${crowd_head[@]}"
sleep 1
write_route_settings 1 "$(memory_keys)" >/dev/null
kill -HUP "${PIDS[route1]}"
until_true 10 keeps_to_machine 1 ||
	{ say "FAIL: resident $(resident_kb route1) kB, unread in the kernel $(unread_kb "$(client_address 1)") kB"; bad=1; }
check_alive route1
crash crowd
expect_served 1 "a lowered limit"
stop route1

for path in /none/x /read/ok; do
	say "a stop while requests at $path are sent ahead"
	start_route_node 2 "$(memory_keys)"
	wait_route_ready 2
	check "a request in calm" 200 "$(send 2 GET /read/ok)"
	start_crowd crowd "$(client_address 2)" "$CLIENTS" ahead "$BYTES" "$path" "${crowd_head[@]}"
	sleep 0.5
	expect_stop 2
	crash crowd
done
start_route_node 2 "$(memory_keys)"
wait_route_ready 2
check "a request after the restart" 200 "$(send 2 GET /read/ok)"
stop route2
[ "$bad" = 0 ] && say "requests ahead, changes: passed"
exit "$bad"
