# Nodes that serve configured routes, with stand-ins for the platform's object
# API and its servers. Source t/lib.sh first.

STORE=$(port 1)
HOST=shop.example
ROUTE_KEY=key-of-tenant-one

# put KIND/NAME[/status] JSON: an operator's or a server's write.
put() {
	curl -fs -m 5 -o /dev/null -X PUT -H 'x-operator: 1' -d "$2" \
		"http://$STORE/objects/$1" || fail "put $1"
}

take_away() {
	curl -fs -m 5 -o /dev/null -X DELETE -H 'x-operator: 1' \
		"http://$STORE/objects/$1" || fail "delete $1"
}

start_objects() {
	run objects "$BUILD/t/objects" "$STORE"
	until_true 10 up "$STORE" calls || fail "objects did not start"
}

backend() { port $((800 + $1)); }

# start_backend N SERVICE [VERSION]: a server, and its entry.
start_backend() {
	run "backend$1" "$BUILD/t/backend" "$(backend "$1")" "i-$1"
	until_true 10 up "$(backend "$1")" gone || fail "backend$1"
	enter "$1" "$2" "${3:-v1}" ready
}

# enter N SERVICE VERSION STATE
enter() {
	put "servers/i-$1" "{\"spec\":{\"service\":\"$2\",\"addr\":\"$(backend "$1")\",\"zone\":\"z1\",\"version\":\"$3\",\"slots\":8,\"state\":\"$4\",\"seq\":1}}"
}

# configure VERSION [EXTRA ROUTES]: the newest configuration.
configure() {
	put config/main "{\"spec\":{\"version\":$1,\"routes\":[
	{\"name\":\"read\",\"host\":\"$HOST\",\"path_prefix\":\"/read/\",\"kind\":\"idempotent\",\"timeout_ms\":${TIMEOUT:-1000},\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false},
	{\"name\":\"order\",\"host\":\"$HOST\",\"path_prefix\":\"/order/\",\"kind\":\"non_idempotent\",\"timeout_ms\":${TIMEOUT:-1000},\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false},
	{\"name\":\"open\",\"host\":\"$HOST\",\"path_prefix\":\"/open/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":true},
	{\"name\":\"talk\",\"host\":\"$HOST\",\"path_prefix\":\"/talk/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":2000,\"gap_aim_ms\":1000,\"priority\":1,\"service\":\"desk\",\"attempts\":3,\"public\":false,\"resumable\":true,\"sizes\":[\"small\",\"large\"]}
	${2:+,$2}],
	\"services\":[{\"name\":\"desk\",\"max_conns\":100,\"engine\":{\"slots\":8,\"models\":[{\"name\":\"small\",\"cost\":0.02},{\"name\":\"large\",\"cost\":0.3}]}}],
	\"limits\":{\"max_header_bytes\":2048,\"max_body_bytes\":4096,\"header_timeout_ms\":${HEADER_MS:-600},\"idle_timeout_ms\":${IDLE_MS:-3000}},
	\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"$ROUTE_KEY\"],\"priority\":1},{\"name\":\"two\",\"api_keys\":[\"${SECOND_KEY:-key-of-tenant-two}\"]}]}}"
}

ready_at() { port $((900 + $1)); }

# route_settings N [EXTRA KEYS]: writes a node's settings and prints the file.
route_settings() {
	cat >"$WORK/route$1.jsonc" <<-END
	{
		"node": "route$1", "zone": "z1",
		"caller_address": "$(caller "$1")",
		"ready_address": "$(ready_at "$1")",
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

start_route_node() {
	local file
	file=$(route_settings "$@")
	run "route$1" "$BUILD/chivegwd" --settings "$file"
}

route_ready() { until_true 15 up "$(ready_at "$1")" readyz || fail "route$1 is not ready"; }

REQUEST_COUNT=0
# send N METHOD PATH [CURL ARGUMENTS]: status printed; id in $WORK/id.
send() {
	local n=$1 method=$2 path=$3
	shift 3
	REQUEST_COUNT=$RANDOM$RANDOM$RANDOM
	echo "r-$REQUEST_COUNT" >"$WORK/id"
	local auth=${AUTH-Token $ROUTE_KEY} id=${ID-r-$REQUEST_COUNT}
	curl -s -m 20 -X "$method" -o "$WORK/body" -D "$WORK/head" \
		-w '%{http_code}' -H "Host: $HOST" \
		-H "Authorization:${auth:+ $auth}" \
		-H "X-Chivegw-Request-Id:${id:+ $id}" \
		-H 'X-Chivegw-Deadline-Ms: 2000' "$@" "http://$(caller "$n")$path"
}

# runs ID: how often the servers ran it.
runs() {
	local n total=0
	for n in "${!PIDS[@]}"; do
		case $n in
		backend*) total=$((total + $(curl -fs -m 5 "http://$(backend "${n#backend}")/ran" | grep -c "^$1 "))) ;;
		esac
	done
	echo "$total"
}

# runs_line ID: the line of its run.
runs_line() {
	local n
	for n in "${!PIDS[@]}"; do
		case $n in
		backend*) curl -fs -m 5 "http://$(backend "${n#backend}")/ran" | grep "^$1 " ;;
		esac
	done
}

# raw N BYTES [SECONDS]: sends bytes as they are, prints what comes back.
raw() {
	local host=127.0.0.1 port
	port=$(caller "$1")
	port=${port#*:}
	exec 9<>"/dev/tcp/$host/$port" || return 1
	printf '%b' "$2" >&9
	timeout "${3:-2}" cat <&9
	exec 9>&-
}
