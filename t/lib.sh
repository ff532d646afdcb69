# Starts and stops a small deployment on loopback for the demo and the tests.
# Every address is 127.0.0.1 with a port counted from BASE. Files go to the
# temporary directory WORK, which is removed at exit. Only processes started
# here are killed, by their ids.

BUILD=${BUILD:-build}
BASE=${BASE:-20000}
WORK=$(mktemp -d)
PLATFORM=127.0.0.1:$BASE
export CHIVEGW_PLATFORM=$PLATFORM
export CHIVEGW_OPERATOR_KEY=demo-operators-key-0123456789
export ASAN_OPTIONS=detect_leaks=0
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
declare -A PIDS=() # process ids by name

stop_all() {
	local name
	for name in "${!PIDS[@]}"; do
		kill -CONT "${PIDS[$name]}" 2>/dev/null
		kill -KILL "${PIDS[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap stop_all EXIT

say() { printf '%s\n' "$*"; }

# fail MESSAGE: prints the message and the end of each log, and exits with 1.
fail() {
	say "FAIL: $*"
	for log in "$WORK"/*.log; do
		say "--- $(basename "$log")"
		tail -n 15 "$log"
	done
	exit 1
}

# run NAME COMMAND...: starts a process, with its output in $WORK/NAME.log.
run() {
	local name=$1
	shift
	"$@" >>"$WORK/$name.log" 2>&1 &
	PIDS[$name]=$!
}

# stop NAME: sends SIGTERM and waits; fails unless the process exits with 0.
stop() {
	kill -TERM "${PIDS[$1]}"
	wait "${PIDS[$1]}" || fail "$1 did not exit with 0"
	unset "PIDS[$1]"
}

# crash NAME: kills the process with SIGKILL and waits for it.
crash() {
	kill -KILL "${PIDS[$1]}"
	wait "${PIDS[$1]}" 2>/dev/null
	unset "PIDS[$1]"
}

# freeze NAME, thaw NAME: suspend and resume the process.
freeze() { kill -STOP "${PIDS[$1]}"; }
thaw() { kill -CONT "${PIDS[$1]}"; }

# address_at OFFSET: the address whose port is BASE + OFFSET.
address_at() { echo "127.0.0.1:$((BASE + $1))"; }
# The address of a node for clients and for operators, of an engine and of a
# plain service, each by its number.
client_address() { address_at $((100 + $1)); }
operator_address() { address_at $((200 + $1)); }
engine_address() { address_at $((400 + $1)); }
service_address() { address_at $((500 + $1)); }

# until_true SECONDS COMMAND...: runs the command every 50 ms until it succeeds;
# returns 1 if it has not within that time.
until_true() {
	local tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.05
	done
}

# is_up ADDRESS PATH: whether a GET is answered with success.
is_up() { curl -fs -m 2 -o /dev/null "http://$1/$2"; }

# control ADDRESS JSON: sets the faults of a stand-in.
control() { curl -fs -m 5 -o /dev/null -d "$2" "http://$1/control"; }

start_platform() {
	run platform "$BUILD/t/platform" "$PLATFORM"
	until_true 10 is_up "$PLATFORM" stats || fail "platform did not start"
}

# start_engine N VERSION=QUALITY...: starts an engine with these versions.
start_engine() {
	local n=$1
	shift
	run "engine$n" "$BUILD/t/engine" "$(engine_address "$n")" "$@"
	until_true 10 is_up "$(engine_address "$n")" load || fail "engine$n did not start"
}

# start_service N
start_service() {
	run "service$1" "$BUILD/t/service" "$(service_address "$1")"
	until_true 10 is_up "$(service_address "$1")" load || fail "service$1 did not start"
}

# write_settings N ZONE [EXTRA KEYS]: writes a node's settings and prints the
# file's path.
write_settings() {
	cat >"$WORK/node$1.jsonc" <<-EOF
	{
		// written by the test
		"node": "node$1", "zone": "$2",
		"caller_address": "$(client_address "$1")",
		"operator_address": "$(operator_address "$1")",
		"peer_address": "$(address_at $((300 + $1)))",
		"platform_address": "$PLATFORM",
		"operator_key": "$CHIVEGW_OPERATOR_KEY",
		"cluster_key": "demo-cluster-key-0123456789",
		"unready_ms": 300${3:+, $3}
	}
	EOF
	echo "$WORK/node$1.jsonc"
}

# start_node N ZONE [EXTRA KEYS]: starts a node and waits until it is alive.
start_node() {
	local file
	file=$(write_settings "$@")
	run "node$1" "$BUILD/chivegwd" --settings "$file"
	until_true 10 is_up "$(client_address "$1")" healthz || fail "node$1 did not start"
}

# wait_ready N: waits until the node is ready.
wait_ready() { until_true 15 is_up "$(client_address "$1")" readyz || fail "node$1 is not ready"; }

# publish_nodes N...: sets the platform's list of VMs to these nodes.
publish_nodes() {
	local n rows=""
	for n in "$@"; do
		rows+="${rows:+,}{\"name\":\"node$n\",\"role\":\"entry\",\"state\":\"live\",\"address\":\"$(address_at $((300 + n)))\"}"
	done
	control "$PLATFORM" "{\"vms\":[$rows]}"
}

# adapt_example FILE: prints an example with the ports of the stand-ins.
adapt_example() {
	sed -e "s/127\.0\.0\.1:910\([0-9]\)/127.0.0.1:$((BASE + 400))+\1/" \
		-e "s/127\.0\.0\.1:920\([0-9]\)/127.0.0.1:$((BASE + 500))+\1/" "$1" |
		perl -pe 's/127\.0\.0\.1:(\d+)\+(\d)/"127.0.0.1:" . ($1 + $2)/ge'
}

# apply_example FILE: generates and stores an example's configuration.
apply_example() {
	adapt_example "$1" >"$WORK/answers.jsonc"
	"$BUILD/chivegw" generate "$WORK/answers.jsonc" -o "$WORK/config.json" ||
		fail "generate failed"
	"$BUILD/chivegw" apply "$WORK/config.json" >"$WORK/apply.out" ||
		fail "apply failed: $(cat "$WORK/apply.out")"
}

# http_request N KEY METHOD PATH [CURL ARGUMENTS]: sends a request to a node,
# with an API key. Prints the status; the response's head is in $WORK/head,
# its body in $WORK/body.
http_request() {
	local n=$1 key=$2 method=$3 path=$4
	shift 4
	curl -s -m 30 -X "$method" -o "$WORK/body" -D "$WORK/head" \
		-w '%{http_code}' -H "authorization: Bearer $key" "$@" \
		"http://$(client_address "$n")$path"
}

# header NAME: the value of a field of the last response.
header() { tr -d '\r' <"$WORK/head" | sed -n "s/^$1: //Ip" | head -n 1; }

# chat N KEY KIND STREAM [CURL ARGUMENTS]: sends a chat request of the kind;
# STREAM is true or false. Prints the status.
chat() {
	local n=$1 key=$2 kind=$3 stream=$4
	shift 4
	http_request "$n" "$key" POST /v1/chat/completions -H "x-chivegw-kind: $kind" \
		-H 'content-type: application/json' "$@" \
		-d "{\"model\":\"auto\",\"stream\":$stream,\"messages\":[{\"role\":\"user\",\"content\":\"pallet spec sheet\"}]}"
}

# operator_get N PATH: prints what a node's operator address returns.
operator_get() {
	curl -fs -m 5 -H "authorization: Bearer $CHIVEGW_OPERATOR_KEY" \
		"http://$(operator_address "$1")$2"
}

# metric N NAME: the value of a node's metric chivegw_NAME.
metric() { operator_get "$1" /metrics | sed -n "s/^chivegw_$2 //p"; }

# count_service_runs PATTERN: how many requests that match ran at the plain
# services.
count_service_runs() {
	local n total=0
	for n in "${!PIDS[@]}"; do
		case $n in
		service*) total=$((total + $(curl -fs -m 5 "http://$(service_address "${n#service}")/ran" | grep -c -- "$1"))) ;;
		esac
	done
	echo "$total"
}

# expect WHAT EXPECTED ACTUAL: fails if the values differ.
expect() {
	[ "$2" = "$3" ] || fail "$1: expected '$2', got '$3' $(head -c 400 "$WORK/body" 2>/dev/null)"
}

# start_relay NAME LISTEN TARGET CONTROL: starts a relay between two processes,
# with these addresses.
start_relay() {
	run "$1" "$BUILD/t/relay" "$2" "$3" "$4"
	until_true 10 curl -s -m 1 -o /dev/null "http://$4/" ||
		fail "relay $1 did not start"
}
