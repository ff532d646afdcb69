#!/usr/bin/env bash
# Brittle servers must not fall again and again: when one of them crashes and each
# that falls is back as another start of it, or when all requests stop for a while
# and then go on, few falls may follow.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-18030}
. t/lib.sh
. t/lib-routes.sh
. t/lib-brittle.sh

CRASH_AT_S=4
BURST_S=${BURST_S:-14}
SILENCE_S=12
SECOND_BURST_S=6

# register_restarts SERVER: writes the server's entry anew each time that it is back
# after a crash. Of every second server the entry is gone meanwhile.
register_restarts() {
	local up=1
	while :; do
		if is_up "$(backend_address "$1")" crashes; then
			[ $up = 1 ] || BORN=$(now_ms) put_server "$1" desk v1 ready
			up=1
		else
			[ $up = 0 ] || [ $(($1 % 2)) = 0 ] || delete_object "servers/i-$1"
			up=0
		fi
		sleep 0.05
	done
}
start_brittle_fleet
for n in $BACKENDS; do run "registrar$n" register_restarts "$n"; done

say "a server crashes under more requests than the servers can take"
begin_burst
sleep "$CRASH_AT_S"
curl -fs -m 2 "http://$(backend_address 1)/crash" >/dev/null
sleep $((BURST_S - CRASH_AT_S))
check_burst 1 "$BURST_S"

say "no requests for $SILENCE_S s, then as many as before"
stop_clients
sleep "$SILENCE_S"
begin_burst
sleep "$SECOND_BURST_S"
check_burst 0 "$SECOND_BURST_S"
say "brittle restarts: passed"
