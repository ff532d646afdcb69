#!/usr/bin/env bash
# Figures that no server can have in the field by which it reports its load must not end
# the process, which holds the requests of all other servers, nor keep the service from
# being used.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-20500}
. t/lib.sh
. t/lib-routes.sh

STREAMERS=12 # clients of the model servers, each with a shared part of its own
SHARED_TOKENS=10000
PLAY_S=${PLAY_S:-12}
LOAD_FIELD=X-Chivegw-Server-Load
LOAD=2,0,8
ODD_LOADS="-1,0,8 0,-1,8 4294967295,4294967295,8 4294967294,1,1 2147483647,2147483647,8
	99999999999999999999,0,8 2,0,-1 2,0,4294967295 2,0,8,-1 1e30,0,8 2,-2147483648,8 , 8,0"

# stream_on K: sends streams until the play is over, all with one shared part.
stream_on() {
	local i=0
	while [ ! -e "$WORK/over" ]; do
		i=$((i + 1))
		curl -sN -m 5 -o /dev/null -X POST -d x -H "Host: $HOST" \
			-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: talk-$1-$i" \
			-H 'X-Chivegw-Model: *' -H "X-Chivegw-Token-Counts: $((SHARED_TOKENS + 200)),50" \
			-H "X-Chivegw-Prefix-Hash: a$1:$SHARED_TOKENS,b$1$i:200" \
			"http://$(client_address 1)/talk/stream-slow" || sleep 0.1
	done
}
say_load() { curl -fs -o /dev/null "http://$(backend_address "$1")/say/$LOAD_FIELD/$2"; }
check_alive() { kill -0 "${PIDS[route1]}" 2>/dev/null || fail "the node has ended ($1)"; }

start_objects
for n in 1 2 3; do
	start_backend "$n" desk
	say_load "$n" "$LOAD"
done
configure 3
start_route_node 1
wait_route_ready 1
for ((k = 1; k <= STREAMERS; k++)); do run "client$k" stream_on "$k"; done
sleep 2

end=$((SECONDS + PLAY_S))
while [ "$SECONDS" -lt "$end" ]; do
	for odd in $ODD_LOADS; do
		say_load 1 "$odd"
		sleep 0.1
		say_load 1 "$LOAD"
		sleep 0.2
		check_alive "$odd"
	done
done
say_load 1 -1,0,8
sleep 3
touch "$WORK/over"
for ((k = 1; k <= STREAMERS; k++)); do
	wait "${PIDS[client$k]}"
	unset "PIDS[client$k]"
done
check_alive "-1,0,8 for 3 s"
grep -q ' E747 ' "$WORK/route1.log" || fail "no odd report has reached the node"
for n in 2 3; do say_load "$n" "$LOAD"; done
for i in 1 2 3 4 5 6; do expect "read $i after the play" 200 "$(send 1 GET /read/ok)"; done
stop route1
say "odd load reports: passed"
