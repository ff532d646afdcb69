#!/usr/bin/env bash
# "chivegw explain --log" finds the cause of a failure from a request's id and
# the nodes' logs alone: a request refused at once, one that may have run, a
# stream that broke off; and a roll-out.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-29000}
. t/lib.sh
. t/lib-routes.sh
CLI=$BUILD/chivegw

# explain ID [ARGUMENTS]: writes the explanation to $WORK/explanation.
explain() {
	"$CLI" explain "$@" --log "$WORK/route1.log" --log "$WORK/route2.log" >"$WORK/explanation" 2>"$WORK/err"
}

# expect_line PATTERN: fails unless a line of the explanation matches.
expect_line() {
	grep -q -- "$1" "$WORK/explanation" || fail "no '$1' in: $(cat "$WORK/explanation" "$WORK/err")"
}

start_objects
start_route_node 1
until_true 10 curl -s -o /dev/null "http://$(ready_address 1)/" || fail "no listener"
expect "before a configuration" 503 "$(send 1 GET /read/ok)"
refused=$(cat "$WORK/id")
for n in 1 2; do start_backend "$n" desk; done
configure 3
start_route_node 2
for n in 1 2; do wait_route_ready "$n"; done
expect "good" 200 "$(send 2 GET /read/ok)"
expect "an order whose answer is lost" 502 "$(send 2 POST /order/lose)"
lost=$(cat "$WORK/id")
send 1 GET /talk/stream-gap >/dev/null
broken=$(cat "$WORK/id")

say "a request refused at once"
until_true 5 explain "$refused" || fail "$(cat "$WORK/err")"
expect_line "route1  *\* E702 request refused: .*reason=no-configuration"
expect_line "E100 node started"

say "a request that may have run"
until_true 5 explain "$lost" || fail "$(cat "$WORK/err")"
expect_line "route2  *\* E701 .*server=i-[12] .*result=broken"
expect_line "route2  *\* E700 .*status=502 .*verdict=may-have-run"
expect_line "  E710 server changed state: server=i-[12] .*to=ready"
expect_line "  E200 configuration in force"
grep -q "route1" "$WORK/explanation" && fail "lines of another node: $(cat "$WORK/explanation")"
grep -q "$refused" "$WORK/explanation" && fail "lines of another request: $(cat "$WORK/explanation")"
sort -c -k1,1n <(awk 'NR > 1 {print $1}' "$WORK/explanation") || fail "lines are not in order of time"

say "a stream that broke off"
until_true 5 explain "$broken" || fail "$(cat "$WORK/err")"
expect_line "\* E700 .*outcome=broken-off"

say "a roll-out"
start_backend 3 desk v2
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":6}}'
until_true 10 explain rollout desk || fail "$(cat "$WORK/err")"
expect_line "E420 roll-out order: service=desk target=v2 over_ms=6000"
until_true 10 eval 'explain rollout desk && grep -q "by 1 more node" "$WORK/explanation"' || fail "$(cat "$WORK/explanation")"

say "logs with a collector's prefix, invalid input"
sed 's/^/<13>1 collector: /' "$WORK"/route*.log | "$CLI" explain "$lost" --log - >"$WORK/explanation2" || fail "explain failed on prefixed lines"
explain "$lost"
cmp -s "$WORK/explanation" "$WORK/explanation2" || fail "prefixed lines give another explanation"
head -c 4000 /dev/urandom | "$CLI" explain "$lost" --log - 2>"$WORK/err"
expect "noise" 1 $?
grep -q "no log line names '$lost'" "$WORK/err" || fail "$(cat "$WORK/err")"
"$CLI" explain "$lost" --log "$WORK/nothing" 2>"$WORK/err"
expect "no such file" 2 $?
grep -q "cannot open $WORK/nothing" "$WORK/err" || fail "$(cat "$WORK/err")"
"$CLI" explain one two --log - </dev/null 2>/dev/null
expect "two ids" 2 $?
grep -q "$ROUTE_KEY" "$WORK"/route*.log && fail "an API key was logged"
say "explain: passed"
