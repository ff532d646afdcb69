#!/usr/bin/env bash
# Requests whose clients have left before they were read must not reach a server.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-22050}
. t/lib.sh
. t/lib-routes.sh

CLIENTS=20
# Shorter than the pauses that the node notices (E106).
PAUSE_S=0.65

start_objects
for n in 1 2; do start_backend "$n" desk; done
configure 3
start_route_node 1
wait_route_ready 1
expect "read before" 200 "$(send 1 GET /read/ok)"

# give_up NAME SECONDS METHOD PATH: sends a request and leaves after the time.
give_up() {
	curl -s -m "$2" -o /dev/null -X "$3" -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
		-H "X-Chivegw-Request-Id: $1" -H 'X-Chivegw-Deadline-Ms: 9000' "http://$(client_address 1)$4"
}

# arrived PREFIX: how many requests with such ids reached the servers.
arrived() {
	local n
	for n in 1 2; do curl -fs -m 5 "http://$(backend_address "$n")/arrived"; done | grep -c " $1-"
}

for path in /read/ok /order/ok /talk/stream; do
	say "clients leave while the process does not run: $path"
	name=left${path//\//-}
	method=GET
	[ "$path" = /order/ok ] && method=POST
	freeze route1
	pids=()
	for ((i = 1; i <= CLIENTS; i++)); do
		give_up "$name-$i" "$(printf '0.%03d' $((50 + 15 * i)))" "$method" "$path" &
		pids+=($!)
	done
	curl -s -m 8 -o "$WORK/stayed" -w '%{http_code}' -X "$method" -H "Host: $HOST" \
		-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: stayed$name" \
		-H 'X-Chivegw-Deadline-Ms: 5000' "http://$(client_address 1)$path" >"$WORK/status" &
	stayed=$!
	sleep "$PAUSE_S"
	thaw route1
	wait "${pids[@]}"
	wait "$stayed"
	expect "a client that stayed" 200 "$(cat "$WORK/status")"
	sleep 0.3
	expect "requests of clients that had left, at servers" 0 "$(arrived "$name")"
	expect "attempts for them" 0 "$(grep -c "E701 .*request=$name-" "$WORK/route1.log")"
done
expect "the same in the log" $((3 * CLIENTS)) "$(grep -c ' E721 ' "$WORK/route1.log")"
say "departed clients: passed"
