#!/usr/bin/env bash
# Clients that read nothing of large answers must not grow the process, with what lies
# unsent in the kernel, beyond its machine's memory, nor keep others from being served.
# Runs alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-26400}
. t/lib.sh
. t/lib-routes.sh
. t/lib-crowd.sh

CLIENTS=16

start_crowd_backends
start_route_node 1 "$(memory_keys)"
wait_route_ready 1
check "a request in calm" 200 "$(send 1 GET /read/ok)"
start_crowd crowd "$(client_address 1)" "$CLIENTS" unread 1 /talk/stream-large "${crowd_head[@]}"
most_kb=0 most_unsent_kb=0
for ((sample = 0; sample < 30; sample++)); do
	check_alive route1
	unsent=$(unsent_kb "$(client_address 1)") resident=$(resident_kb route1)
	most_unsent_kb=$((unsent > most_unsent_kb ? unsent : most_unsent_kb))
	most_kb=$((resident + unsent > most_kb ? resident + unsent : most_kb))
	sleep 0.1
done
say "  peak kB, unsent in the kernel: $most_unsent_kb"
[ "$most_unsent_kb" -gt 0 ] || { say "FAIL: no answer waits for its client"; bad=1; }
report "peak kB, resident and unsent in the kernel" "$most_kb" $((MACHINE_MB * 1024))
crash crowd
expect_served 1 "unread answers"
check_alive route1
stop route1
[ "$bad" = 0 ] && say "unread answers: passed"
exit "$bad"
