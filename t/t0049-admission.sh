#!/usr/bin/env bash
# While the servers of a service that share machines have no room, requests wait at
# the node in order of their priority, and those that cannot be served in time are
# refused: servers must not be overrun, nor clients wait in vain.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-14700}
. t/lib.sh
. t/lib-routes.sh

SLOTS=2
SLOW_MS=150
ROUTE_LOG="$WORK/route1.log"

# ask ID KEY [CURL ARGUMENTS]: sends a request that runs for SLOW_MS, in the
# background; the status goes to $WORK/ID.status, the head to $WORK/ID.head.
asked=()
ask() {
	local id=$1 key=$2
	shift 2
	curl -s -m 5 -o "$WORK/$id.body" -D "$WORK/$id.head" -w '%{http_code} %{time_total}\n' -H "Host: $HOST" \
		-H "Authorization: Token $key" -H "X-Chivegw-Request-Id: $id" -H "X-Chivegw-Deadline-Ms: ${DEADLINE_MS:-1000}" \
		"$@" "http://$(client_address 1)/read/slow" >"$WORK/$id.status" &
	asked+=($!)
	sleep 0.01
}
answers() {
	wait "${asked[@]}"
	asked=()
}
status_of() { cut -d' ' -f1 "$WORK/$1.status"; }
arrived() { curl -fs "http://$(backend_address 1)/arrived" | awk '{print $2}' | grep "^$1" | tr '\n' ' '; }
backend_get() { curl -fs -o "${2:-/dev/null}" "http://$(backend_address 1)/$1"; }

start_objects
start_route_node 1
start_backend 1 desk
backend_get "say/X-Chivegw-Server-Load/0,0,$SLOTS,100"
backend_get "slow/$SLOW_MS"
configure 3
wait_route_ready 1
until_true 5 test "$(send 1 GET /read/ok)" = 200 || fail "no answer"
backend_get "fail-above/$SLOTS"
sleep 0.3 # until the node has taken up that the server shares its machine

say "requests wait for room, the more urgent ones shorter"
for i in 1 2; do ask "a$i" "$ROUTE_KEY"; done
for i in 3 4; do ask "a$i" key-of-tenant-two; done
for i in 5 6; do ask "a$i" "$ROUTE_KEY"; done
answers
for i in 1 2 3 4 5 6; do expect "status of a$i" 200 "$(status_of "a$i")"; done
# Those that can still meet the objective of 100 ms go before others of their priority.
expect "order" "a1 a2 urgent urgent other other " "$(arrived a | sed 's/a[56]/urgent/g; s/a[34]/other/g')"
grep -q 'E750' "$ROUTE_LOG" || fail "the shortage is not in the log"

say "a waiting request whose client leaves is not sent"
for i in 1 2; do ask "b$i" "$ROUTE_KEY"; done
ask b3 "$ROUTE_KEY" -m 0.06
answers
expect "arrived" "b1 b2 " "$(arrived b)"
grep -q 'request=b3 .*outcome=client-gone attempts=0' "$ROUTE_LOG" || fail "no end of b3 in the log"

say "what cannot be served in time is refused at once, not run"
for ((i = 10; i < 50; i++)); do DEADLINE_MS=600 ask "c$i" "$ROUTE_KEY"; done
answers
refused=0
for ((i = 10; i < 50; i++)); do
	case $(status_of "c$i") in
	200) ;;
	503)
		refused=$((refused + 1))
		expect "runs of c$i" 0 "$(count_runs "c$i")"
		grep -qi '^Retry-After: 0\.[0-9]' "$WORK/c$i.head" || fail "no Retry-After for c$i"
		grep -q not-run "$WORK/c$i.body" || fail "c$i is not said not to have run"
		;;
	*) fail "status of c$i: $(status_of "c$i")" ;;
	esac
done
[ "$refused" -ge 20 ] || fail "only $refused of 40 were refused"
[ "$refused" -le 34 ] || fail "$refused of 40 were refused, though there was time for 6"
backend_get failed "$WORK/failed"
expect "requests beyond the slots" 0 "$(cat "$WORK/failed")"
until_true 5 grep -q E751 "$ROUTE_LOG" || fail "the end of the shortage is not in the log"

say "a node that stops refuses what waits"
for i in 1 2 3 4; do ask "d$i" "$ROUTE_KEY"; done
kill -TERM "${PIDS[route1]}"
answers
for i in 1 2; do expect "status of d$i" 200 "$(status_of "d$i")"; done
for i in 3 4; do
	expect "status of d$i" 503 "$(status_of "d$i")"
	grep -q draining "$WORK/d$i.body" || fail "another reason for d$i: $(cat "$WORK/d$i.body")"
done
expect "arrived" "d1 d2 " "$(arrived d)"
wait "${PIDS[route1]}" || fail "route1 did not exit with 0"
unset "PIDS[route1]"
say "admission: passed"
