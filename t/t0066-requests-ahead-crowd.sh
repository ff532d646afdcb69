#!/usr/bin/env bash
# Many clients that wait for a slow answer and go on sending must not together
# grow the process, with what lies unread in the kernel, beyond its machine's memory,
# nor keep others from being served.
# Runs alone.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-26500}
. t/lib.sh
. t/lib-routes.sh
. t/lib-crowd.sh

CLIENTS=1000
BYTES=20000000 # that each client sends

start_crowd_backends
play_crowd "orders of 60 kB behind one without answer" 1 "$(client_address 1)" ahead-large /order/silent
[ "$bad" = 0 ] && say "requests ahead, crowd: passed"
exit "$bad"
