#!/usr/bin/env bash
# Requests that servers reject as they are, by 421, do not take the servers from the
# other requests; an address that another server had is used again later.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-14900}
. t/lib.sh
. t/lib-routes.sh

PROPER=10          # requests of each check
ADDRESS_BACK_S=6   # until an address is used again that is the expected server's

start_objects
for n in 1 2 3; do start_backend "$n" desk; done
configure 3
start_route_node 1
wait_route_ready 1

expect_served() {
	local n
	for n in $(seq "$PROPER"); do
		expect "$1, request $n" 200 "$(send 1 POST /order/ok)"
	done
}

say "servers reject requests that they do not serve"
for n in 1 2 3; do
	expect "request that no server serves" 421 "$(send 1 POST /order/unserved)"
	[ -z "$(header retry-after)" ] || fail "the client is told to repeat it"
done
expect_served "after requests that no server serves"
expect "repeatable request that no server serves" 421 "$(send 1 GET /read/unserved)"
expect_served "after a repeatable one"

say "a client names a model that the route does not have"
expect "unknown model" 421 "$(send 1 POST /talk/stream -H 'X-Chivegw-Model: retired')"
[ -z "$(run_line "$(cat "$WORK/id")")" ] || fail "a server ran it"
expect "a model of the route" 200 "$(send 1 POST /talk/stream -H 'X-Chivegw-Model: small')"
expect "any model" 200 "$(send 1 POST /talk/stream -H 'X-Chivegw-Model: *')"

say "an address of another server is not used, and is again once that has left"
for n in 1 2 3; do
	crash "backend$n"
	run "backend$n" "$BUILD/t/backend" "$(backend_address "$n")" "i-9$n" -
	until_true 10 is_up "$(backend_address "$n")" gone || fail "backend$n did not start"
done
sleep 1 # connections to the crashed servers are gone, and their ejections over
for n in 1 2 3 4; do expect "request for the servers before" 503 "$(send 1 POST /order/ok)"; done
for n in 1 2 3; do
	crash "backend$n"
	run "backend$n" "$BUILD/t/backend" "$(backend_address "$n")" "i-$n" -
	until_true 10 is_up "$(backend_address "$n")" gone || fail "backend$n did not start"
done
is_served() { [ "$(send 1 POST /order/ok)" = 200 ]; }
until_true "$ADDRESS_BACK_S" is_served || fail "the servers are still not used"
say "unserved requests: passed"
