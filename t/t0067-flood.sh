#!/usr/bin/env bash
# Many clients that send without a pause, and connect again, must not together
# grow the process, with what lies unread in the kernel, beyond its machine's memory,
# nor keep others from being served.
# Runs alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-26460}
. t/lib.sh
. t/lib-routes.sh
. t/lib-crowd.sh

CLIENTS=1000
BYTES=20000000 # that each client sends

start_crowd_backends
play_crowd "paths that no route has" 1 "$(client_address 1)" ahead /none/x
play_crowd "reads" 2 "$(client_address 2)" ahead /read/ok
play_crowd "orders of 60 kB" 3 "$(client_address 3)" ahead-large /order/ok
[ "$bad" = 0 ] && say "flood: passed"
exit "$bad"
