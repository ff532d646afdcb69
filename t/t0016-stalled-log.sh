#!/usr/bin/env bash
# When the reader of standard output stalls, log lines are dropped and
# counted, and the count is logged when it reads again. No request is delayed.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-27000}
. t/lib.sh
. t/lib-routes.sh
COUNT=3000

start_objects
start_backend 1 desk
configure 3
mkfifo "$WORK/pipe"
exec 8<>"$WORK/pipe"
file=$(write_route_settings 1)
"$BUILD/chivegwd" --settings "$file" >"$WORK/pipe" 2>&1 &
PIDS[route1]=$!
wait_route_ready 1

say "$COUNT requests while standard output is not read"
timeout 20 curl -s -m 60 -o /dev/null -w '%{http_code} %{time_total}\n' \
	-H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
	-H 'X-Chivegw-Request-Id: stalled' -H 'X-Chivegw-Deadline-Ms: 2000' \
	"http://$(client_address 1)/read/ok?n=[1-$COUNT]" >"$WORK/times"
expect "answers" "$COUNT" "$(grep -c '^200 ' "$WORK/times")"
slow=$(awk '$2 > 1 {n++} END {print n + 0}' "$WORK/times")
expect "requests over a second" 0 "$slow"

say "standard output is read again"
timeout 2 cat "$WORK/pipe" >"$WORK/read.log"
expect "another answer" 200 "$(send 1 GET /read/ok)"
timeout 2 cat "$WORK/pipe" >>"$WORK/read.log"
grep -q "E112 log lines dropped: .*[1-9]" "$WORK/read.log" || fail "dropped lines were not logged: $(tail -n 3 "$WORK/read.log")"
lines=$(grep -c ' E700 ' "$WORK/read.log")
[ "$lines" -gt 100 ] || fail "only $lines lines were kept"
[ "$lines" -lt "$COUNT" ] || fail "no line was dropped, so that the test proves nothing"
say "stalled log: passed"
