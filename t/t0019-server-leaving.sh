#!/usr/bin/env bash
# A backend server says in its answers that it leaves, while its entry stays
# ready: a node that got such an answer sends it nothing more, until the server
# has started again.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-15000}
. t/lib.sh
. t/lib-routes.sh

say_field() { curl -fs -m 5 -o /dev/null "http://$(backend_address "$1")/say/$2"; }
arrivals() { curl -fs -m 5 "http://$(backend_address "$1")/arrived" | wc -l; }
reads() { # COUNT: sends so many to both nodes, each must be served
	for _ in $(seq "$1"); do for n in 1 2; do expect "read" 200 "$(send "$n" GET /read/ok)"; done; done
}

start_objects
for n in 1 2; do start_route_node "$n"; done
start_backend 1 desk
configure 3
for n in 1 2; do wait_route_ready "$n"; done
reads 3

say "a server that says it leaves gets nothing more"
say_field 1 Server-Leaving/1
reads 1
before=$(arrivals 1)
for n in 1 2; do expect "read, with no other server" 503 "$(send "$n" GET /read/ok)"; done
start_backend 2 desk
sees_server_2() { for n in 1 2; do grep -q 'server=i-2 .*to=ready' "$WORK/route$n.log" || return 1; done; }
until_true 5 sees_server_2 || fail "a new server is not seen"
reads 20
expect "requests at the server that leaves" "$before" "$(arrivals 1)"

say "its entry, written again, does not bring it back"
put_server 1 desk v1 ready
sleep 0.6
reads 20
expect "requests at the server that leaves" "$before" "$(arrivals 1)"

say "it is used again after its restart, under the same id"
say_field 1 Server-Leaving
put_object servers/i-1 "{\"spec\":{\"service\":\"desk\",\"addr\":\"$(backend_address 1)\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"seq\":1,\"born\":1790000000000}}"
delete_object servers/i-2
sleep 0.6
reads 3
expect "requests at the server after its restart" "$((before + 6))" "$(arrivals 1)"
say "server leaving: passed"
