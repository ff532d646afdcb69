#!/usr/bin/env bash
# Clients that send large bodies and stop before the end, that do not read their
# answers, or that hold idle connections must not end the process, nor grow it
# beyond the smallest machine, nor keep others from being served.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-23460}
. t/lib.sh
. t/lib-routes.sh

MACHINE_MB=88 # the smallest machine of all deployments
MAX_KB=80000 # resident, at any time
BODY_BYTES=1000000
MAX_BODY=$((4 * 1024 * 1024))
HEADER_MS=20000
DESCRIPTORS=96
MAX_OPEN=88 # descriptors, so that some are left for servers and store

# memory_keys: the settings of a small machine, empty if the build has none.
memory_keys() {
	local keys="\"memory_mb\": $MACHINE_MB" file
	file=$(write_route_settings 9 "$keys")
	"$BUILD/chivegwd" --check-settings "$file" >/dev/null 2>&1 && echo "$keys"
}
status_kb() { sed -n "s/^$2:[[:space:]]*\([0-9]*\) kB/\1/p" "/proc/${PIDS[$1]}/status"; }
open_descriptors() { find "/proc/${PIDS[$1]}/fd" -mindepth 1 | wc -l; }
bad=0
report() { # WHAT VALUE BOUND
	say "  $1: $2, at most $3"
	[ "$2" -le "$3" ] || { say "FAIL: $1: $2, at most $3"; bad=1; }
}
check() { # WHAT EXPECTED ACTUAL
	[ "$2" = "$3" ] || { say "FAIL: $1: expected '$2', got '$3' $(head -c 200 "$WORK/body")"; bad=1; }
}
check_alive() { kill -0 "${PIDS[$1]}" 2>/dev/null || fail "$1 does not live any more"; }
head_lines=("Host: $HOST" "Authorization: Token $ROUTE_KEY")
# start_crowd NAME ADDRESS COUNT MODE PATH: its ids begin with its name.
start_crowd() {
	run "$1" "$BUILD/t/crowd" "$2" "$3" "$4" "$BODY_BYTES" "$5" "${head_lines[@]}" "X-Chivegw-Request-Id: $1"
}
has_sent() { grep -q sent "$WORK/$1.log"; }
wait_sent() { until_true 20 has_sent "$1" || say "  $1 has not sent everything"; }
is_back() { [ "$(status_kb "$1" VmRSS)" -le "$2" ]; }

head -c "$MAX_BODY" /dev/zero | tr '\0' x >"$WORK/largest"
head -c 70000 /dev/zero | tr '\0' x >"$WORK/ordinary"
start_objects
for n in 1 2 3 4; do start_backend "$n" desk; done
configure 3
keys=$(memory_keys)
start_route_node 1 "$keys"
wait_route_ready 1
check "the largest legal request in calm" 200 "$(send 1 POST /order/ok --data-binary @"$WORK/largest")"
check "an ordinary request in calm" 200 "$(send 1 POST /order/ok --data-binary @"$WORK/ordinary")"
before=$(status_kb route1 VmRSS)

say "large bodies that stop just before the end"
for mode in whole pieces chunks; do start_crowd "$mode" "$(client_address 1)" 30 "$mode" /order/ok; done
for mode in whole pieces chunks; do wait_sent "$mode"; done
sleep 0.5
check_alive route1
report "peak resident kB" "$(status_kb route1 VmHWM)" "$MAX_KB"
check "an ordinary request meanwhile" 200 "$(send 1 POST /order/ok --data-binary @"$WORK/ordinary")"
for mode in whole pieces chunks; do crash "$mode"; done
until_true 5 is_back route1 $((before + before / 10)) || :
report "resident kB afterwards" "$(status_kb route1 VmRSS)" $((before + before / 10))
check "the largest legal request afterwards" 200 "$(send 1 POST /order/ok --data-binary @"$WORK/largest")"
stop route1

say "large streams that are read late"
start_route_node 2 "$keys"
wait_route_ready 2
start_crowd unread "$(client_address 2)" 7 unread /talk/stream-large
sleep 3
check_alive route2
report "peak resident kB" "$(status_kb route2 VmHWM)" "$MAX_KB"
check "an ordinary request meanwhile" 200 "$(send 2 GET /read/ok)"
kill -USR1 "${PIDS[unread]}"
until_true 10 grep -q complete "$WORK/unread.log"
check "streams that ended as complete" "complete 7" "$(grep complete "$WORK/unread.log")"
stop route2

say "idle connections up to the limit of descriptors"
file=$(write_route_settings 3 "$keys")
run route3 bash -c "ulimit -n $DESCRIPTORS; exec \"\$@\"" run "$BUILD/chivegwd" --settings "$file"
wait_route_ready 3
start_crowd idle "$(client_address 3)" 100 idle -
sleep 1
check_alive route3
report "open descriptors" "$(open_descriptors route3)" "$MAX_OPEN"
check "an ordinary request meanwhile" 200 "$(send 3 GET /read/ok)"
stop route3

say "large bodies at the product's own API"
start_platform
start_node 5 z1 "$keys"
start_crowd own "$(client_address 5)" 90 whole /v1/chat/completions
wait_sent own
sleep 0.5
check_alive node5
report "peak resident kB" "$(status_kb node5 VmHWM)" "$MAX_KB"
is_up "$(client_address 5)" healthz || { say "FAIL: healthz is not answered"; bad=1; }
[ "$bad" = 0 ] && say "client memory: passed"
exit "$bad"
