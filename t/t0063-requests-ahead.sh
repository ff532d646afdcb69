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

CLIENTS=40
BYTES=4000000 # that each client sends
large="X-Large: $(head -c 1600 /dev/zero | tr '\0' a)"

play() {
	play_crowd "$@"
	report_unread
}

start_crowd_backends
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
