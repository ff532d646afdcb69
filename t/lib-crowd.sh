# Measures a node while a crowd of clients (t/helper/crowd.c) is at it. Source
# t/lib.sh and t/lib-routes.sh first. A test sets CLIENTS and BYTES, what each of them
# sends, and names the node's process and listener in each call.

MACHINE_MB=48
CLIENT_MEMORY_MB=8
bad=0
# memory_keys: the settings of such a machine.
memory_keys() { echo "\"memory_mb\": $MACHINE_MB, \"client_memory_mb\": $CLIENT_MEMORY_MB"; }
# max_open: descriptors: one a client, one for its request, the node's own.
max_open() { echo $((2 * CLIENTS + 40)); }
report() { # WHAT VALUE BOUND
	say "  $1: $2, at most $3"
	[ "$2" -le "$3" ] || { say "FAIL: $1: $2, at most $3"; bad=1; }
}
check() { # WHAT EXPECTED ACTUAL
	[ "$2" = "$3" ] || { say "FAIL: $1: expected '$2', got '$3' $(head -c 200 "$WORK/body")"; bad=1; }
}
check_alive() { # PROCESS
	kill -0 "${PIDS[$1]}" 2>/dev/null || fail "$1 does not live any more"
}
crowd_head=("Host: $HOST" "Authorization: Token $ROUTE_KEY" "X-Chivegw-Request-Id: crowd")

# start_crowd NAME ADDRESS COUNT MODE BYTES PATH [HEAD LINES...]
start_crowd() {
	local name=$1
	shift
	run "$name" "$BUILD/t/crowd" "$@"
}
has_sent() { grep -q sent "$WORK/$1.log"; }

resident_kb() { sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/${PIDS[$1]}/status"; }
peak_kb() { sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/${PIDS[$1]}/status"; }
open_descriptors() { find "/proc/${PIDS[$1]}/fd" -mindepth 1 | wc -l; }

# queued_kb ADDRESS QUEUE: what the kernel holds for connections there: 1 unsent or not
# acknowledged, 2 received and unread.
queued_kb() {
	local port
	port=$(printf '%04X' "${1#*:}")
	awk -v "port=:$port" -v "queue=$2" '$2 ~ port "$" && $4 != "0A" { split($5, q, ":"); print q[queue] }' /proc/net/tcp |
		{ local hex total=0; while read -r hex; do total=$((total + 16#$hex)); done; echo $((total / 1024)); }
}
# unsent_kb ADDRESS: what the process has written there and clients not taken.
unsent_kb() { queued_kb "$1" 1; }
# unread_kb ADDRESS: what the kernel has received there and the process not read.
unread_kb() { queued_kb "$1" 2; }

# watch_crowd NAME PROCESS ADDRESS: measures until the crowd has sent everything or
# does not get on. Sets most_unread_kb, most_unsent_kb, most_kb (resident and both) and
# most_open.
watch_crowd() {
	local sample unread unsent resident open
	most_unread_kb=0 most_unsent_kb=0 most_kb=0 most_open=0
	for ((sample = 0; sample < 100; sample++)); do
		check_alive "$2"
		unread=$(unread_kb "$3") unsent=$(unsent_kb "$3")
		resident=$(resident_kb "$2") open=$(open_descriptors "$2")
		most_unread_kb=$((unread > most_unread_kb ? unread : most_unread_kb))
		most_unsent_kb=$((unsent > most_unsent_kb ? unsent : most_unsent_kb))
		most_kb=$((resident + unread + unsent > most_kb ? resident + unread + unsent : most_kb))
		most_open=$((open > most_open ? open : most_open))
		has_sent "$1" && break
		sleep 0.1
	done
	resident=$(peak_kb "$2")
	most_kb=$((resident > most_kb ? resident : most_kb))
}

# report_crowd: checks what watch_crowd has measured.
report_crowd() {
	say "  peak kB, unread and unsent in the kernel: $most_unread_kb, $most_unsent_kb"
	report "peak kB, resident and in the kernel" "$most_kb" $((MACHINE_MB * 1024))
	report "open descriptors" "$most_open" "$(max_open)"
}
# report_unread: checks that what lay in the kernel alone keeps to client_memory_mb.
report_unread() { report "peak kB, unread in the kernel" "$most_unread_kb" $((CLIENT_MEMORY_MB * 1024)); }

# send_is_served N METHOD PATH [CURL ARGUMENTS]
send_is_served() { [ "$(send "$@")" = 200 ]; }
# expect_served N WHAT: whether node N serves a read and an order.
expect_served() {
	until_true 10 send_is_served "$1" GET /read/ok || { say "FAIL: $2: no request is served afterwards"; bad=1; }
	until_true 10 send_is_served "$1" POST /order/ok -d x || { say "FAIL: $2: no order is served afterwards"; bad=1; }
}

has_exited() { ! kill -0 "${PIDS[$1]}" 2>/dev/null; }
# expect_stop N: tells node N to stop, and waits until it has done so in order.
expect_stop() {
	kill -TERM "${PIDS[route$1]}"
	until_true 30 has_exited "route$1" || fail "the node does not stop"
	wait "${PIDS[route$1]}"
	check "its exit code" 0 "$?"
	unset "PIDS[route$1]"
}

# start_crowd_backends: the object API, four backend servers and a configuration.
start_crowd_backends() {
	local n
	start_objects
	for n in 1 2 3 4; do start_backend "$n" desk; done
	MAX_BODY=100000 HEADER_MS=20000 configure 3
}

# play_crowd WHAT N ADDRESS MODE PATH [HEAD LINES...]: a crowd at a fresh node N.
play_crowd() {
	local what=$1 n=$2 address=$3 mode=$4 path=$5
	shift 5
	say "$what"
	start_route_node "$n" "$(memory_keys)"
	wait_route_ready "$n"
	check "$what: a request in calm" 200 "$(send "$n" GET /read/ok)"
	start_crowd crowd "$address" "$CLIENTS" "$mode" "$BYTES" "$path" "${crowd_head[@]}" "$@"
	watch_crowd crowd "route$n" "$address"
	report_crowd
	crash crowd
	rm "$WORK/crowd.log"
	expect_served "$n" "$what"
	check_alive "route$n"
	stop "route$n"
}
