# Starts nodes that serve configured routes, and stand-ins for the platform's
# object API and its backend servers. Source t/lib.sh first.

STORE=$(address_at 1)
HOST=shop.example
ROUTE_KEY=key-of-tenant-one

# put_object KIND/NAME[/status] JSON: writes an object, as an operator or a
# server does.
put_object() {
	curl -fs -m 5 -o /dev/null -X PUT -H 'x-operator: 1' -d "$2" \
		"http://$STORE/objects/$1" || fail "cannot write object $1"
}

# delete_object KIND/NAME
delete_object() {
	curl -fs -m 5 -o /dev/null -X DELETE -H 'x-operator: 1' \
		"http://$STORE/objects/$1" || fail "cannot delete object $1"
}

start_objects() {
	run objects "$BUILD/t/objects" "${STORE_LISTEN:-$STORE}"
	until_true 10 is_up "$STORE" calls || fail "the object API did not start"
}

# backend_address N
backend_address() { address_at $((800 + $1)); }

# start_backend N SERVICE [VERSION]: starts a backend server and registers it as
# ready. CRASH_PART, if set, is a part of prompts at which it crashes; VIEWS, how
# many addresses it listens on.
start_backend() {
	run "backend$1" "$BUILD/t/backend" "$(backend_address "$1")" "i-$1" "${CRASH_PART:--}" ${VIEWS:-}
	until_true 10 is_up "$(backend_address "$1")" gone || fail "backend$1 did not start"
	put_server "$1" "$2" "${3:-v1}" ready
}

# put_server N SERVICE VERSION STATE: writes a backend server's object; BORN is
# the time of its start, if set.
put_server() {
	put_object "servers/i-$1" "{\"spec\":{\"service\":\"$2\",\"addr\":\"$(backend_address "$1")\",\"zone\":\"z1\",\"version\":\"$3\",\"slots\":8,\"state\":\"$4\",\"seq\":1${BORN:+,\"born\":$BORN}}}"
}

# configure VERSION [EXTRA ROUTES]: writes a configuration. TIMEOUT_MS,
# HEADER_MS, IDLE_MS, BODY_BYTES and SECOND_KEY override its values.
configure() {
	put_object config/main "{\"spec\":{\"version\":$1,\"routes\":[
	{\"name\":\"read\",\"host\":\"$HOST\",\"path_prefix\":\"/read/\",\"kind\":\"idempotent\",\"timeout_ms\":${TIMEOUT_MS:-1000},\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false},
	{\"name\":\"order\",\"host\":\"$HOST\",\"path_prefix\":\"/order/\",\"kind\":\"non_idempotent\",\"timeout_ms\":${TIMEOUT_MS:-1000},\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false},
	{\"name\":\"open\",\"host\":\"$HOST\",\"path_prefix\":\"/open/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":true},
	{\"name\":\"talk\",\"host\":\"$HOST\",\"path_prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":2000,\"gap_aim_ms\":1000,\"priority\":1,\"service\":\"desk\",\"attempts\":3,\"public\":false,\"resumable\":true,\"sizes\":[\"small\",\"large\"]}
	${2:+,$2}],
	\"services\":[{\"name\":\"desk\",\"max_conns\":100,\"engine\":{\"slots\":8,\"models\":[{\"name\":\"small\",\"cost\":0.02},{\"name\":\"large\",\"cost\":0.3}]}}],
	\"limits\":{\"max_header_bytes\":2048,\"max_body_bytes\":${BODY_BYTES:-4096},\"header_timeout_ms\":${HEADER_MS:-600},\"idle_timeout_ms\":${IDLE_MS:-3000}},
	\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"$ROUTE_KEY\"],\"priority\":1},{\"name\":\"two\",\"api_keys\":[\"${SECOND_KEY:-key-of-tenant-two}\"]}]}}"
}

# ready_address N: where a node reports its readiness.
ready_address() { address_at $((900 + $1)); }

# write_route_settings N [EXTRA KEYS]: writes a node's settings and prints the
# file's path.
write_route_settings() {
	cat >"$WORK/route$1.jsonc" <<-END
	{
		"node": "route$1", "zone": "z1",
		"caller_address": "$(client_address "$1")",
		"ready_address": "$(ready_address "$1")",
		"operator_address": "127.0.0.$1:$((BASE + 250))",
		"peer_address": "127.0.0.$1:$((BASE + 350))",
		"seeds": "127.0.0.1:1,127.0.0.2:1,127.0.0.3:1",
		"platform_address": "${NODE_STORE:-$STORE}",
		"operator_key": "$CHIVEGW_OPERATOR_KEY",
		"cluster_key": "demo-cluster-key-0123456789",
		"grace_s": 4, "session_s": 2, "quality_targets": "0.5"${2:+, $2}
	}
	END
	echo "$WORK/route$1.jsonc"
}

# start_route_node N [EXTRA KEYS]: starts a node without waiting for it.
start_route_node() {
	local file
	file=$(write_route_settings "$@")
	run "route$1" "$BUILD/chivegwd" --settings "$file"
}

# wait_route_ready N: waits until the node is ready.
wait_route_ready() { until_true 15 is_up "$(ready_address "$1")" readyz || fail "route$1 is not ready"; }

# send N METHOD PATH [CURL ARGUMENTS]: sends a request to a node, with the first
# tenant's key or AUTH, and a new request id or ID. Prints the status; the id is
# in $WORK/id, the response's head in $WORK/head, its body in $WORK/body.
send() {
	local n=$1 method=$2 path=$3
	shift 3
	REQUEST_SUFFIX=$RANDOM$RANDOM$RANDOM
	echo "r-$REQUEST_SUFFIX" >"$WORK/id"
	local auth=${AUTH-Token $ROUTE_KEY} id=${ID-r-$REQUEST_SUFFIX}
	curl -s -m 20 -X "$method" -o "$WORK/body" -D "$WORK/head" \
		-w '%{http_code}' -H "Host: $HOST" \
		-H "Authorization:${auth:+ $auth}" \
		-H "X-Chivegw-Request-Id:${id:+ $id}" \
		-H 'X-Chivegw-Deadline-Ms: 2000' "$@" "http://$(client_address "$n")$path"
}

# count_runs ID: how often the backend servers ran the request.
count_runs() {
	local n total=0
	for n in "${!PIDS[@]}"; do
		case $n in
		backend*) total=$((total + $(curl -fs -m 5 "http://$(backend_address "${n#backend}")/ran" | grep -c "^$1 "))) ;;
		esac
	done
	echo "$total"
}

# start_stream NAME NODE PATH [CURL ARGUMENTS]: reads a stream in the background. Its head
# and body go to $WORK/NAME.head and $WORK/NAME.body, the exit code of curl, 0 if it
# ended as complete, to $WORK/NAME.code. Its process is added to `readers`.
readers=()
start_stream() {
	local name=$1 node=$2 path=$3
	shift 3
	{
		curl -sN -m 20 -o "$WORK/$name.body" -D "$WORK/$name.head" -X POST -H "Host: $HOST" \
			-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: $name" \
			-H 'X-Chivegw-Model: large' -d x "$@" "http://$(client_address "$node")$path"
		echo $? >"$WORK/$name.code"
	} &
	readers+=($!)
}
wait_for_streams() {
	wait "${readers[@]}"
	readers=()
}
# stream_is_complete NAME: whether the answer is a stream that ended as complete.
stream_is_complete() {
	grep -q '^HTTP/1.1 200' "$WORK/$1.head" && [ "$(cat "$WORK/$1.code")" = 0 ]
}
# stream_events NAME: how many events the stream had.
stream_events() { grep -c '^data: ' "$WORK/$1.body"; }

# run_line ID: the line that each backend server has of the request's run.
run_line() {
	local n
	for n in "${!PIDS[@]}"; do
		case $n in
		backend*) curl -fs -m 5 "http://$(backend_address "${n#backend}")/ran" | grep "^$1 " ;;
		esac
	done
}

# send_raw N BYTES [SECONDS]: sends bytes unchanged to a node and prints what it
# sends back within the time.
send_raw() {
	local host=127.0.0.1 port
	port=$(client_address "$1")
	port=${port#*:}
	exec 9<>"/dev/tcp/$host/$port" || return 1
	printf '%b' "$2" >&9
	timeout "${3:-2}" cat <&9
	exec 9>&-
}
