# Starts a small deployment for a case: the project's own store, nodes with the
# command of the deploy file, and the review's servers. A script sets CASE to its
# folder and sources this from the project's root. It exits with 2 if the case
# could not run.
BUILD=target

# free_base: prints a port from which on those that a deployment uses are free.
free_base() {
	local base offset busy
	for _ in {1..50}; do
		base=$((20000 + RANDOM % 110 * 100))
		busy=0
		for offset in 0 1 101 102 103 801 802 901 902 903 250 350; do
			(exec 3<>"/dev/tcp/127.0.0.1/$((base + offset))") 2>/dev/null && busy=1
		done
		[ "$busy" = 1 ] || break
	done
	echo "$base"
}
BASE=$(free_base)
. t/lib.sh
. t/lib-routes.sh

VERDICT=2 # what the script exits with: the case could not run
trap 'stop_all; exit "$VERDICT"' EXIT

fail() {
	say "the case could not run: $*"
	tail -n 15 "$WORK"/*.log
	exit
}

# verdict COUNT: ends the script; the rule was broken so often.
verdict() {
	VERDICT=$(($1 > 0))
	exit
}

for program in chivegwd t/objects review/client review/server; do
	[ -x "$BUILD/$program" ] || fail "$BUILD/$program is missing; run review/build.sh"
done

ID_FIELD=X-Chivegw-Request-Id
SEAL_FIELD=X-Chivegw-Server-Seal
MODEL_FIELD=X-Chivegw-Model
INSTANCE_FIELD=X-Chivegw-Instance-Id
RECORD=$CASE/record.txt
RUNS=$WORK/runs.txt
: >"$RECORD"
: >"$RUNS"

record() { say "$*" | tee -a "$RECORD"; }
now_ms() { echo $(($(sed 's/\([0-9]*\)\.\([0-9]*\) .*/\1\20/' /proc/uptime))); }

# start_server N SERVICE [MODELS]: starts a server and registers it as ready. With
# OPEN_ONE_IN each so many of its streams has neither a length nor chunks.
start_server() {
	local address
	address=$(backend_address "$1")
	OPEN_ONE_IN=${OPEN_ONE_IN:-0} run "server$1" "$BUILD/review/server" "${address%:*}" "${address#*:}" "i-$1" "$ID_FIELD" "$SEAL_FIELD" "$RUNS" ${3:+"$MODEL_FIELD" "$3" "$INSTANCE_FIELD"}
	until_true 10 bash -c "exec 3<>/dev/tcp/127.0.0.1/${address#*:}" || fail "server$1 did not start"
	put_server "$1" "$2" v1 ready
}

# node_settings N: writes the settings that the deploy file's template gives a
# node of a small deployment, and prints the file's path.
node_settings() {
	cat >"$WORK/node$1.jsonc" <<-END
	{
		"grace_s": 8, "retry_ratio": 0.9, "retry_burst": 58, "retry_window_s": 10,
		"expose_share": 0.15, "expose_slack": 30, "session_s": 5,
		"quality_targets": "0.9,0.75,0.5",
		"seeds": "127.0.0.1:1,127.0.0.2:1,127.0.0.3:1",
		"node": "node$1", "zone": "z1",
		"caller_address": "$(client_address "$1")",
		"ready_address": "$(ready_address "$1")",
		"operator_address": "127.0.0.$1:$((BASE + 250))",
		"peer_address": "127.0.0.$1:$((BASE + 350))",
		"platform_address": "$STORE",
		"operator_key": "chivegw-operators-review",
		"cluster_key": "chivegw-cluster-review-peers"
	}
	END
	echo "$WORK/node$1.jsonc"
}

# start_gateway N: starts a node and waits until it is ready.
start_gateway() {
	run "node$1" "$BUILD/chivegwd" --settings "$(node_settings "$1")"
	until_true 15 is_up "$(ready_address "$1")" readyz || fail "node$1 is not ready"
}

# request_head METHOD PATH ID DEADLINE_MS [BODY]: prints a request of the first
# tenant. MODEL, if set, is the model that it names.
request_head() {
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n' "$1" "$2" "$HOST" "$ROUTE_KEY"
	printf '%s: %s\r\nX-Chivegw-Deadline-Ms: %s\r\n' "$ID_FIELD" "$3" "$4"
	[ -z "${MODEL-}" ] || printf '%s: %s\r\n' "$MODEL_FIELD" "$MODEL"
	printf 'Connection: close\r\nContent-Length: %s\r\n\r\n%s' "${#5}" "${5-}"
}

# ask NODE TIMEOUT_MS NAME METHOD PATH DEADLINE_MS [BODY]: sends a request with the
# id NAME on a connection of its own. The answer's bytes go to $WORK/NAME.answer,
# how the connection ended to $WORK/NAME.end.
ask() {
	local address
	address=$(client_address "$1")
	request_head "$4" "$5" "$3" "$6" "${7-}" |
		"$BUILD/review/client" "${address%:*}" "${address#*:}" "$2" >"$WORK/$3.answer" 2>"$WORK/$3.end"
}

# ask_many NODE FROM TO PATH: sends the streams s-FROM to s-TO at the same time; their
# clients are added to `clients`.
ask_many() {
	local address n
	address=$(client_address "$1")
	for ((n = $2; n <= $3; n++)); do
		request_head POST "$4" "s-$n" 8000 question >"$WORK/s-$n.request"
		"$BUILD/review/client" "${address%:*}" "${address#*:}" 15000 \
			<"$WORK/s-$n.request" >"$WORK/s-$n.answer" 2>"$WORK/s-$n.end" &
		clients+=($!)
	done
}

# put_config ROUTES [VERSION [SERVICES]]: writes a configuration with these routes,
# as JSON, and the service "desk" or those given.
put_config() {
	put_object config/main "{\"spec\":{\"version\":${2:-3},\"routes\":[$1],
	\"services\":[${3:-{\"name\":\"desk\",\"max_conns\":370\}}],
	\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000},
	\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"$ROUTE_KEY\"]}]}}"
}

# judge_stream NAME EVENTS: records how the answer to the stream NAME ended and
# returns 1 if it looks complete with fewer events than its server's EVENTS; with
# TROUBLE=0 also if it is not complete. With chunks the end is the last, empty one;
# with neither a length nor chunks it is that of the connection, unless that is
# reset or lies inside an event.
judge_stream() {
	local file=$WORK/$1.answer status events framing=none boundary=no complete=no verdict=held
	status=$(head -n 1 "$file" | cut -d ' ' -f 2)
	events=$(sed '1,/^\r$/d' "$file" | grep -c '^id: ')
	grep -qi '^content-length:' "$file" && framing=length
	grep -qi '^transfer-encoding: chunked' "$file" && framing=chunks
	[ "$(tail -c 2 "$file" | od -An -tx1 | tr -d ' ')" = 0a0a ] && boundary=yes
	case $framing in
	none) grep -q '^end=fin' "$WORK/$1.end" && [ "$boundary" = yes ] && complete=yes ;;
	chunks) [ "$(tail -c 5 "$file" | od -An -tx1 | tr -d ' ')" = 300d0a0d0a ] && complete=yes ;;
	length) complete=yes ;;
	esac
	[ "$status" = 200 ] || complete=no
	[ "$complete" = no ] || [ "$events" = "$2" ] || verdict=broken
	[ "${TROUBLE:-1}" = 1 ] || [ "$complete" = yes ] || verdict=unserved
	record "request $1: status=${status:--} framing=$framing events=$events of $2 ends-at-event-boundary=$boundary $(cat "$WORK/$1.end") looks-complete=$complete -> $verdict"
	[ "$verdict" = held ]
}
