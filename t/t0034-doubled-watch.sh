#!/usr/bin/env bash
# A late second copy of a watch's answer must not be taken for the answer to another
# watch: changes before its revision would never be asked for.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-9850}
. t/lib.sh
. t/lib-routes.sh

DRAIN_S=2
ROUNDS=6

# relay_mode ADDRESS MODE
relay_mode() { curl -fs -m 5 -o /dev/null -d "{\"mode\":\"$2\"}" "http://$1/control"; }

start_objects
start_relay relay-store "$(address_at 2)" "$STORE" "$(address_at 3)"
for n in 1 2 3; do start_backend "$n" desk; done
configure 3
NODE_STORE=$(address_at 2) start_route_node 1
wait_route_ready 1
expect "read before" 200 "$(send 1 GET /read/ok)"
sleep 1.5 # all topics are watched by then
version=3
for ((round = 1; round <= ROUNDS; round++)); do
	leaving=$((round % 3 + 1))
	relay_mode "$(address_at 3)" repeat
	# Another server's change ends the watch of servers; then this one leaves
	# and the configuration changes before that watch begins again.
	put_server $((leaving % 3 + 1)) desk v1 ready
	sleep 0.05
	put_server "$leaving" desk v1 draining
	version=$((version + 1))
	configure "$version"
	sleep "$DRAIN_S"
	relay_mode "$(address_at 3)" pass
	before=$(curl -fs -m 5 "http://$(backend_address "$leaving")/arrived" | wc -l)
	for i in 1 2 3 4 5 6 7 8 9 10; do send 1 GET /read/ok >/dev/null; done
	after=$(curl -fs -m 5 "http://$(backend_address "$leaving")/arrived" | wc -l)
	expect "requests to a server that left ${DRAIN_S} s ago, round $round" "$before" "$after"
	put_server "$leaving" desk v1 ready
	sleep 0.8
done
say "doubled answers of the store: passed"
