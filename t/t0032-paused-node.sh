#!/usr/bin/env bash
# A node that was paused must not act on what it knew before: a key that was revoked
# meanwhile gives no access in the first moment after it goes on.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-20050}
. t/lib.sh
. t/lib-routes.sh

PAUSE_S=3
PLAYS=3
REVOKED=key-of-tenant-two

start_objects
for n in 1 2; do start_backend "$n" desk; done
configure 3
for n in 1 2 3; do start_route_node "$n"; done
for n in 1 2 3; do wait_route_ready "$n"; done
expect "read before" 200 "$(AUTH="Token $REVOKED" send 1 GET /read/ok)"

# ask NAME KEY: sends a read to node 1 and writes the status to $WORK/NAME.
ask() {
	curl -s -m 15 -o /dev/null -w '%{http_code}' -H "Host: $HOST" -H "Authorization: Token $2" \
		-H "X-Chivegw-Request-Id: $1" -H 'X-Chivegw-Deadline-Ms: 9000' \
		"http://$(client_address 1)/read/ok" >"$WORK/$1"
}

for ((play = 1; play <= PLAYS; play++)); do
	say "pause $play: a key is revoked meanwhile"
	freeze route1
	SECOND_KEY=another-$play configure $((3 + play))
	sleep "$PAUSE_S"
	pids=()
	for ((i = 1; i <= 5; i++)); do
		ask "revoked-$play-$i" "$REVOKED" &
		pids+=($!)
		ask "valid-$play-$i" "$ROUTE_KEY" &
		pids+=($!)
	done
	sleep 0.5
	thaw route1
	wait "${pids[@]}"
	for ((i = 1; i <= 5; i++)); do
		expect "a valid key after the pause" 200 "$(cat "$WORK/valid-$play-$i")"
		expect "a revoked key after the pause" 401 "$(cat "$WORK/revoked-$play-$i")"
		expect "runs with it" 0 "$(count_runs "revoked-$play-$i")"
	done
	REVOKED=another-$play
	expect "the new key" 200 "$(AUTH="Token $REVOKED" send 1 GET /read/ok)"
done
# long_pauses N: how often the node logged a pause that lasted as long as those
# made here. A busy machine may make it wait for a second by itself.
long_pauses() { grep -oE 'E106 .* ms=[0-9]+' "$WORK/route$1.log" | awk -F= -v s="$PAUSE_S" '$NF >= 1000 * s {n++} END {print n + 0}'; }
expect "pauses in the log" "$PLAYS" "$(long_pauses 1)"
for n in 2 3; do expect "pauses in the log of route$n, which had none" 0 "$(long_pauses "$n")"; done

say "the store does not answer after a pause: valid requests are served"
freeze route1
sleep "$PAUSE_S"
control "$STORE" '{"mode":"silent"}'
ask valid-silent "$ROUTE_KEY" &
sleep 0.3
thaw route1
wait $!
expect "a valid key" 200 "$(cat "$WORK/valid-silent")"
say "paused node: passed"
