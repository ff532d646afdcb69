#!/usr/bin/env bash
# Configured routes on real processes: each kind of malformed input with its
# status, malformed answers of backend servers, streams, keys, time limits,
# reload of the settings and graceful shutdown.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-30000}
. t/lib.sh
. t/lib-routes.sh

start_objects
start_route_node 1
until_true 10 curl -s -o /dev/null "http://$(ready_address 1)/" || fail "no listener"
expect "readiness before a configuration" 503 "$(curl -s -o /dev/null -w '%{http_code}' "http://$(ready_address 1)/readyz")"
sleep 0.6
expect "request before a configuration" 503 "$(send 1 GET /read/ok)"
[ -n "$(header retry-after)" ] || fail "a refusal without retry-after"
for n in 1 2 3; do start_backend "$n" desk; done
configure 3
wait_route_ready 1

say "routes, keys and header fields"
expect "read" 200 "$(send 1 GET '/read/ok?x=1')"
expect "body" "good body" "$(cat "$WORK/body")"
expect "seal" seal-1 "$(header X-Chivegw-Server-Seal)"
line=$(run_line "$(cat "$WORK/id")")
grep -q 'GET /read/ok?x=1 tenant=one deadline=[0-9]* model=- last=- body=0 key=- ' <<<"$line" || fail "forwarded as '$line'"
expect "order with a body" 200 "$(send 1 POST /order/ok -d 'a body')"
grep -q 'body=6' <<<"$(run_line "$(cat "$WORK/id")")" || fail "the body was not forwarded"
expect "chunked body" 200 "$(send 1 POST /order/ok -H 'Transfer-Encoding: chunked' -d 'chunked body')"
grep -q 'body=12' <<<"$(run_line "$(cat "$WORK/id")")" || fail "the chunked body was not forwarded"
expect "unknown route" 404 "$(send 1 GET /nowhere/ok)"
expect "unknown key" 401 "$(AUTH='Token wrong' send 1 GET /read/ok)"
expect "no key" 401 "$(AUTH='' send 1 GET /read/ok)"
expect "another scheme" 401 "$(AUTH="Bearer $ROUTE_KEY" send 1 GET /read/ok)"
expect "public route" 200 "$(AUTH='' send 1 GET /open/ok)"
expect "two keys" 400 "$(send 1 GET /read/ok -H 'Authorization: Token other')"
expect "two request ids" 400 "$(send 1 GET /read/ok -H 'X-Chivegw-Request-Id: other')"
expect "a tenant named by the client" 200 "$(send 1 GET /read/ok -H 'X-Chivegw-Tenant: two')"
grep -q 'tenant=one ' <<<"$(run_line "$(cat "$WORK/id")")" || fail "the client chose its tenant"
expect "no request id" 400 "$(ID='' send 1 GET /read/ok)"

say "malformed requests"
head="Host: $HOST\r\nAuthorization: Token $ROUTE_KEY\r\nX-Chivegw-Request-Id: bad-1\r\n"
expect_refused() { # WHAT STATUS BYTES [SECONDS]
	local got
	got=$(send_raw 1 "$3" "${4:-2}" | head -n 1 | tr -d '\r')
	case $got in
	"HTTP/1.1 $2 "*) ;;
	*) fail "$1: expected $2, got '$got'" ;;
	esac
}
expect_refused "length and chunks" 400 "POST /order/ok HTTP/1.1\r\n${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
expect_refused "two lengths" 400 "POST /order/ok HTTP/1.1\r\n${head}Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody"
expect_refused "a length that is no number" 400 "POST /order/ok HTTP/1.1\r\n${head}Content-Length: 4x\r\n\r\nbody"
expect_refused "a negative length" 400 "POST /order/ok HTTP/1.1\r\n${head}Content-Length: -4\r\n\r\nbody"
expect_refused "a bad chunk size" 400 "POST /order/ok HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n"
expect_refused "a chunk without its end" 400 "POST /order/ok HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n4\r\nbodyX0\r\n\r\n"
expect_refused "an unknown transfer coding" 400 "POST /order/ok HTTP/1.1\r\n${head}Transfer-Encoding: gzip\r\n\r\n"
expect_refused "bare LF" 400 "GET /read/ok HTTP/1.1\n${head}\r\n"
expect_refused "bare CR" 400 "GET /read/ok HTTP/1.1\r\n${head}X: a\rb\r\n\r\n"
expect_refused "a folded line" 400 "GET /read/ok HTTP/1.1\r\n${head}X: a\r\n b\r\n\r\n"
expect_refused "a space before the colon" 400 "GET /read/ok HTTP/1.1\r\n${head}X : a\r\n\r\n"
expect_refused "no host" 400 "GET /read/ok HTTP/1.1\r\nX-Chivegw-Request-Id: bad-2\r\n\r\n"
expect_refused "two hosts" 400 "GET /read/ok HTTP/1.1\r\n${head}Host: other\r\n\r\n"
expect_refused "not HTTP" 400 "what is this\r\n\r\n"
expect_refused "a target without a slash" 400 "GET read/ok HTTP/1.1\r\n${head}\r\n"
expect_refused "too large a head" 431 "GET /read/ok HTTP/1.1\r\n${head}X: $(printf 'a%.0s' $(seq 3000))\r\n\r\n"
expect_refused "too large a head without an end" 431 "GET /read/ok HTTP/1.1\r\n${head}X: $(printf 'a%.0s' $(seq 3000))"
expect_refused "too long a body by its length" 413 "POST /order/ok HTTP/1.1\r\n${head}Content-Length: 5000\r\n\r\n"
expect_refused "too long a body in chunks" 413 "POST /order/ok HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n2000\r\n$(printf 'a%.0s' $(seq 8192))\r\n0\r\n\r\n"
expect_refused "a slow head" 408 "GET /read/ok HTTP/1.1\r\n${head}" 3
expect_refused "a slow body" 408 "POST /order/ok HTTP/1.1\r\n${head}Content-Length: 10\r\n\r\nab" 3
expect "runs of malformed requests" 0 "$(count_runs bad-1)"
answered=$(send_raw 1 "GET /read/ok HTTP/1.1\r\n${head}\r\nGET /read/fail HTTP/1.1\r\n${head}Connection: close\r\n\r\n" | grep -o 'HTTP/1.1 \(200\|500\)' | wc -l)
expect "pipelined requests" 2 "$answered"

say "malformed and lost answers of servers"
for mode in crossed extra; do
	expect "read, $mode" 200 "$(send 1 GET /read/$mode)"
	expect "body, $mode" "good body" "$(cat "$WORK/body")"
	expect "order, $mode" 200 "$(send 1 POST /order/$mode -d x)"
	expect "body, $mode" "good body" "$(cat "$WORK/body")"
	expect "runs, $mode" 1 "$(count_runs "$(cat "$WORK/id")")"
	expect "order after $mode" 200 "$(send 1 POST /order/ok -d x)"
	expect "body after $mode" "good body" "$(cat "$WORK/body")"
done
for mode in lose cut spoilt encoded unsealed unframed-cut; do
	expect "order, $mode" 502 "$(send 1 POST /order/$mode -d x)"
	expect "runs, $mode" 1 "$(count_runs "$(cat "$WORK/id")")"
	expect "read, $mode" 502 "$(send 1 GET /read/$mode)"
	expect "attempts, $mode" 2 "$(count_runs "$(cat "$WORK/id")")"
done
expect "order, silent" 504 "$(send 1 POST /order/silent -d x)"
expect "runs, silent" 1 "$(count_runs "$(cat "$WORK/id")")"
expect "order, alien" 504 "$(send 1 POST /order/alien -d x)"
expect "order, full everywhere" 503 "$(send 1 POST /order/refuse -d x)"
[ -n "$(header retry-after)" ] || fail "a refusal without retry-after"
expect "runs, full" 0 "$(count_runs "$(cat "$WORK/id")")"
expect "order, failed" 500 "$(send 1 POST /order/fail -d x)"
expect "seal of a failure" seal-1 "$(header X-Chivegw-Server-Seal)"
expect "runs, failed" 1 "$(count_runs "$(cat "$WORK/id")")"
expect "read, failed" 500 "$(send 1 GET /read/fail)"
expect "runs, read failed" 2 "$(count_runs "$(cat "$WORK/id")")"
expect "order, unframed" 200 "$(send 1 POST /order/unframed -d x)"
expect "body of an answer without a length" "unframed body" "$(cat "$WORK/body")"
expect "its length, which the client can check" 13 "$(header content-length)"
sleep 1

say "one server loses all answers: the others serve"
curl -fs -o /dev/null "http://$(backend_address 1)/control/lose"
for i in 1 2 3 4 5 6; do expect "read" 200 "$(send 1 GET /read/ok)"; done
curl -fs -o /dev/null "http://$(backend_address 1)/control/none"

say "streams: complete events in order, resumed after a cut, the larger model after low confidence"
events=$(for i in 1 2 3 4 5; do printf 'id: %s\ndata: part%s\n\n' $i $i; done)
stream() { send 1 POST "/talk/$1" -H 'X-Chivegw-Model: *' -H 'X-Chivegw-Token-Counts: 10,10' -d x; }
expect "stream" 200 "$(stream stream)"
expect "events" "$events" "$(cat "$WORK/body")"
id=$(cat "$WORK/id")
expect "runs with the small model" 1 "$(run_line "$id" | grep -c 'model=small')"
expect "runs with the large model" 1 "$(run_line "$id" | grep -c 'model=large')"
expect "cut stream" 200 "$(stream stream-cut)"
expect "events of the cut stream" "$events" "$(cat "$WORK/body")"
expect "resumed after event 2" 1 "$(run_line "$(cat "$WORK/id")" | grep -c 'last=2 ')"
send 1 POST /talk/stream-gap -H 'X-Chivegw-Model: large' -d x >/dev/null
grep -q part3 "$WORK/body" && fail "an event after a missing one was forwarded"
expect "a client that resumes after event 3" 200 "$(send 1 POST /talk/stream -H 'X-Chivegw-Model: large' -H 'Last-Event-Id: 3' -d x)"
expect "only later events" 2 "$(grep -c data "$WORK/body")"

expect "a client that resumes after the last event" 200 "$(send 1 POST /talk/stream -H 'X-Chivegw-Model: large' -H 'Last-Event-Id: 5' -d x)"
expect "no events" "" "$(cat "$WORK/body")"

say "the server's run ends when the client disconnects"
# disconnects: how many clients disconnected from the servers during a run.
disconnects() {
	local n sum=0
	for n in 1 2 3; do sum=$((sum + $(curl -fs "http://$(backend_address $n)/gone"))); done
	echo "$sum"
}
before=$(disconnects)
curl -s -m 0.4 -o /dev/null -X POST -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" -H 'X-Chivegw-Request-Id: leaver' -H 'X-Chivegw-Model: large' "http://$(client_address 1)/talk/stream-slow" -d x
server_noticed() { [ "$(disconnects)" -gt "$before" ]; }
until_true 1 server_noticed || fail "the server's connection stayed open"

say "the time limit of a route holds, and follows the configuration"
TIMEOUT_MS=200 configure 4
until_true 2 grep -q 'revision=4' "$WORK/route1.log" || fail "configuration 4 not in force"
expect "slow order" 504 "$(send 1 POST /order/slow -d x)"
configure 6
until_true 2 grep -q 'revision=6' "$WORK/route1.log" || fail "configuration 6 not in force"
expect "slow order" 200 "$(send 1 POST /order/slow -d x)"
TIMEOUT_MS=200 configure 5
sleep 0.6
expect "an older configuration is not taken" 200 "$(send 1 POST /order/slow -d x)"

say "a server that leaves gets no requests; invalid server objects are ignored"
put_server 1 desk v1 draining
put_object servers/i-9 '{"spec":{"service":7,"addr":"127.0.0.1:1","state":"ready"}}'
put_object servers/i-8 '{"spec":{"service":"desk","addr":"127.0.0.1:1","zone":"z1","version":"v1","slots":"many","state":"ready"}}'
sleep 0.5
lines=$(curl -fs "http://$(backend_address 1)/ran" | wc -l)
for i in 1 2 3 4 5 6 7 8; do expect "read" 200 "$(send 1 GET /read/ok)"; done
expect "runs at the leaving server" "$lines" "$(curl -fs "http://$(backend_address 1)/ran" | wc -l)"

say "one server is enough for a second attempt and a larger model"
put_server 2 desk v1 draining
sleep 0.5
expect "stream" 200 "$(stream stream)"
expect "events" "$events" "$(cat "$WORK/body")"
expect "runs with the large model" 1 "$(run_line "$(cat "$WORK/id")" | grep -c 'model=large')"
expect "cut stream" 200 "$(stream stream-cut)"
expect "events of the cut stream" "$events" "$(cat "$WORK/body")"
put_server 2 desk v1 ready

say "settings are read on SIGHUP and when the file changes; invalid ones change nothing"
write_route_settings 1 '"retry_burst": 60' >/dev/null
kill -HUP "${PIDS[route1]}"
until_true 3 grep -q 'E110.*why=signal' "$WORK/route1.log" || fail "not read on SIGHUP"
write_route_settings 1 '"retry_burst": 61' >/dev/null
until_true 4 grep -q 'E110.*why=changed' "$WORK/route1.log" || fail "not read on a change of the file"
echo '{ broken' >"$WORK/route1.jsonc"
kill -HUP "${PIDS[route1]}"
until_true 3 grep -q 'E111.*why=signal' "$WORK/route1.log" || fail "invalid settings not logged"
expect "read with the old settings" 200 "$(send 1 GET /read/ok)"
configure 8
until_true 3 grep -q 'in force: revision=8' "$WORK/route1.log" || fail "the configuration is not read after a reload"

say "graceful shutdown: not ready at once, no request broken off"
curl -s -m 10 -o "$WORK/long" -X POST -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" -H 'X-Chivegw-Request-Id: long' -H 'X-Chivegw-Model: large' "http://$(client_address 1)/talk/stream-slow" -d x &
long=$!
sleep 0.3
kill -TERM "${PIDS[route1]}"
sleep 0.2
expect "readiness" 503 "$(curl -s -o /dev/null -w '%{http_code}' "http://$(ready_address 1)/readyz")"
expect "a read during the shutdown" 200 "$(send 1 GET /read/ok)"
[ "$(header connection)" = close ] || fail "the connection stays open"
wait "$long" || fail "the stream was broken off"
expect "events of the stream" "$events" "$(cat "$WORK/long")"
wait "${PIDS[route1]}" || fail "route1 did not exit with 0"
unset "PIDS[route1]"
for event in E100 E101 E102 E120 E200 E700 E701 E702 E710; do
	grep -q " $event " "$WORK/route1.log" || fail "event $event was not logged"
done
say "routes: passed"
