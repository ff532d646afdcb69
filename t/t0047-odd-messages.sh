#!/usr/bin/env bash
# Odd but harmless parts of messages do no harm: fields that a Connection field names,
# malformed field names, a length without a body.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-19100}
. t/lib.sh
. t/lib-routes.sh

MAX_304_S=0.5 # of the route's 1 s

start_objects
start_backend 1 desk
configure 3
start_route_node 1
wait_route_ready 1

say "a client names the fields of its request in Connection"
expect "request" 200 "$(send 1 POST /talk/stream -H 'Connection: X-Chivegw-Request-Id, X-Chivegw-Model, close' -H 'X-Chivegw-Model: large')"
grep -q 'model=large' <<<"$(run_line "$(cat "$WORK/id")")" || fail "the server got the request without its id or model"

say "a server sends a field whose name has a space in it"
expect "request" 200 "$(send 1 POST /order/odd-field)"
expect "body" "good body" "$(cat "$WORK/body")"
! grep -qi '^odd' "$WORK/head" || fail "the malformed field was passed on"

say "a server sends a length with 304"
send 1 GET /read/not-modified -w '%{http_code} %{time_total}' >"$WORK/304"
read -r status took <"$WORK/304"
expect "status" 304 "${status: -3}"
awk -v t="$took" -v max="$MAX_304_S" 'BEGIN {exit !(t < max)}' || fail "304 took $took s"
! grep -qi '^content-length: 0' "$WORK/head" || fail "304 says that the answer would be empty"
expect "the next request" 200 "$(send 1 GET /read/ok)"
say "odd messages: passed"
