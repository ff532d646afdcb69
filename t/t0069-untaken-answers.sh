#!/usr/bin/env bash
# Many clients that go on asking and read no answer must not together grow the
# process, with what lies unsent in the kernel, beyond its machine's memory, at any
# listener, nor keep others from being served, nor the node from stopping.
# Runs alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-26340}
. t/lib.sh
. t/lib-routes.sh
. t/lib-crowd.sh

CLIENTS=600
BYTES=100000 # of requests that each client sends

start_crowd_backends
play_crowd "paths that no route has" 1 "$(client_address 1)" ahead-paced /none/x
play_crowd "the listener for nodes" 2 "127.0.0.2:$((BASE + 350))" ahead-paced /none/x
play_crowd "the balancer's listener" 3 "$(ready_address 3)" ahead-paced /readyz
play_crowd "the operators' listener" 4 "127.0.0.4:$((BASE + 250))" ahead-paced /metrics

say "a stop while answers are not taken"
start_route_node 5 "$(memory_keys)"
wait_route_ready 5
start_crowd crowd "$(client_address 5)" "$CLIENTS" ahead-paced "$BYTES" /none/x "${crowd_head[@]}"
holds_answers() { [ "$(unsent_kb "$(client_address 5)")" -gt $((CLIENT_MEMORY_MB * 1024 / 8)) ]; }
until_true 20 holds_answers || { say "FAIL: no answer waits for its client"; bad=1; }
expect_stop 5
crash crowd
start_route_node 5 "$(memory_keys)"
wait_route_ready 5
expect_served 5 "a stop while answers are not taken"
stop route5
[ "$bad" = 0 ] && say "untaken answers: passed"
exit "$bad"
