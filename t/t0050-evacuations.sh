#!/usr/bin/env bash
# While an object evacuations/ZONE is in the store, no request may reach a server of
# that zone, from evacuation_ms after the store has acknowledged it on: at nodes that
# watch the store and at those that do not, when the store or its watches fall silent,
# when it is restored from an older copy, and at nodes that start meanwhile. Requests
# that run there end normally, and a zone that is taken back serves again.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-21700}
. t/lib.sh
. t/lib-routes.sh

SIZE=${SIZE:-20} # more than are allowed to watch the store
LIMIT_S=5
SOON_S=2 # without a fault
COLD_S=1
COLD="\"cold_s\":$COLD_S,\"cold_per_s\":400"
SETTINGS="\"evacuation_ms\": $((1000 * LIMIT_S)), \"store_timeout_ms\": 400, \"cold_over\": 1.5"

store_control() { curl -fs -m 5 -o /dev/null -d "$1" "http://$STORE/control"; }
arrived() { curl -fs -m 5 "http://$(backend_address "$1")/arrived" | wc -l; }
evacuate() { put_object "evacuations/$1" '{"spec":{}}'; }
# is_last NODE ZONES: whether these are the zones that the node has evacuated last.
is_last() { grep E730 "$WORK/route$1.log" | tail -n 1 | grep -q " zones=$2 "; }
all_have() { # ZONES
	local n
	for ((n = 1; n <= SIZE; n++)); do is_last "$n" "$1" || return 1; done
}
# expect_all SECONDS ZONES WHAT
expect_all() { until_true "$1" all_have "$2" || fail "not all nodes have zones=$2 after $1 s: $3"; }
read_everywhere() { # STATUS WHAT
	local n
	for ((n = 1; n <= SIZE; n++)); do expect "read at route$n $2" "$1" "$(send "$n" GET /read/ok)"; done
}
# expect_unused SERVER WHAT: reads at all nodes without a request there.
expect_unused() {
	local before
	before=$(arrived "$1")
	read_everywhere 200 "$2"
	expect "requests at server $1 $2" "$before" "$(arrived "$1")"
}

start_objects
for n in 1 2; do ZONE=z$n start_backend "$n" desk; done
for ((n = 1; n <= SIZE; n++)); do start_route_node "$n" "$SETTINGS"; done
configure 3
for ((n = 1; n <= SIZE; n++)); do wait_route_ready "$n"; done
is_settled() { [ "$(for ((n = 1; n <= SIZE; n++)); do grep 'watching=' "$WORK/route$n.log" | tail -n 1 | grep 'watching=0'; done | wc -l)" -ge $((SIZE - 6)) ]; }
until_true 20 is_settled || fail "too many of $SIZE nodes watch the store"

say "a zone is evacuated; a stream that runs there goes on"
put_server 2 desk v1 draining
ZONE=z1 put_server 1 desk v1 ready
sleep 1
start_stream running 1 /talk/stream-slow
sleep 0.4
ZONE=z2 BORN=2 put_server 2 desk v1 ready
sleep 1
evacuate z1
expect_all "$SOON_S" z1 "evacuated"
[ "$(grep -l 'E730 .*from=node' "$WORK"/route*.log | wc -l)" -ge $((SIZE / 2)) ] || fail "nodes that do not watch the store have not learnt the set from others"
expect_unused 1 "after the evacuation"
wait_for_streams
stream_is_complete running || fail "the running stream was broken off"
expect "events of the running stream" 5 "$(stream_events running)"

say "a node that starts while the store is silent serves only when it knows the set"
store_control '{"mode":"silent","lose":true}'
stop route7
start_route_node 7 "$SETTINGS"
wait_route_ready 7
before=$(arrived 1)
for k in 1 2 3 4 5 6; do expect "read $k at the new node" 200 "$(send 7 GET /read/ok)"; done
expect "requests of the new node in the zone" "$before" "$(arrived 1)"
until_true 1 is_last 7 z1 || fail "the new node does not know the evacuation"
store_control '{"mode":"ok"}'
sleep 1

say "the zone is taken back while the watches are lost"
store_control '{"lose":true}'
delete_object evacuations/z1
expect_all "$LIMIT_S" - "taken back"
sleep "$COLD_S"
before=$(arrived 1)
read_everywhere 200 "after the zone was taken back"
[ "$(arrived 1)" -gt "$before" ] || fail "the zone gets no request again"

say "an evacuation that a restored store does not have any more, and one that it has"
store_control '{"copy":true}'
evacuate z2
expect_all "$SOON_S" z2 "evacuated before the store is restored"
store_control '{"restore":true}'
expect_all "$LIMIT_S" - "the store is restored"
evacuate z1
expect_all "$LIMIT_S" z1 "evacuated after the store was restored"
expect_unused 1 "after the store was restored"

say "all zones are evacuated: refused as not run, with a time"
evacuate z2
all_have_both() { for ((n = 1; n <= SIZE; n++)); do grep E730 "$WORK/route$n.log" | tail -n 1 | grep -q 'zones=z[12],z[12] ' || return 1; done; }
until_true "$SOON_S" all_have_both || fail "not all nodes have both zones"
total=$(($(arrived 1) + $(arrived 2)))
read_everywhere 503 "with all zones evacuated"
grep -qi '^retry-after' "$WORK/head" || fail "a refusal has no Retry-After"
grep -q 'not-run' "$WORK/body" || fail "a refusal does not say that the request did not run"
expect "requests with all zones evacuated" "$total" "$(($(arrived 1) + $(arrived 2)))"
say "evacuations: passed"
