# Measures a node while a crowd of clients (t/helper/crowd.c) is at it. Source
# t/lib.sh and t/lib-routes.sh first. A test sets MACHINE_MB, CLIENT_MEMORY_MB and
# MAX_OPEN, and names the node's process and listener in each call.

bad=0
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
# does not get on. Sets most_unread_kb, most_kb (resident and unread) and most_open.
watch_crowd() {
	local sample unread resident open
	most_unread_kb=0 most_kb=0 most_open=0
	for ((sample = 0; sample < 100; sample++)); do
		check_alive "$2"
		unread=$(unread_kb "$3") resident=$(resident_kb "$2") open=$(open_descriptors "$2")
		most_unread_kb=$((unread > most_unread_kb ? unread : most_unread_kb))
		most_kb=$((resident + unread > most_kb ? resident + unread : most_kb))
		most_open=$((open > most_open ? open : most_open))
		has_sent "$1" && break
		sleep 0.1
	done
	resident=$(peak_kb "$2")
	most_kb=$((resident > most_kb ? resident : most_kb))
}

# report_crowd: checks what watch_crowd has measured.
report_crowd() {
	report "peak kB, resident and unread in the kernel" "$most_kb" $((MACHINE_MB * 1024))
	report "peak kB, unread in the kernel" "$most_unread_kb" $((CLIENT_MEMORY_MB * 1024))
	report "open descriptors" "$most_open" "$MAX_OPEN"
}
