# Common part of the scripts of the second review: free ports, the settings of a
# small deployment as deploy/settings.jsonc.in fills them in, and the record. Source
# it from the root with CASE set to the folder of the case. A case that cannot run
# exits with 2.

command -v curl >/dev/null || exit 2
BUILD=${BUILD:-target}
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}

# ports_are_free BASE: whether nothing listens at the ports that a script may use.
ports_are_free() {
	local offset
	for offset in 0 1 2 3 6 {101..106} 250 350 {801..806} {901..906}; do
		(: <"/dev/tcp/127.0.0.1/$(($1 + offset))") 2>/dev/null && return 1
	done
	return 0
}

BASE=$((11000 + RANDOM % 20 * 1000))
for _ in 1 2 3 4 5 6 7 8 9 10; do
	ports_are_free "$BASE" && break
	BASE=$((11000 + RANDOM % 20 * 1000))
done
. t/lib.sh
. t/lib-routes.sh

# Bounds of the small sites' pages.
STABLE_MS=3000
APPLY_MS=2000

fail() {
	say "cannot run: $*" | tee -a "$RECORD"
	exit 2
}

now_ms() { date +%s%3N; }
START_MS=$(now_ms)
# record TEXT: adds a line with the time since the start, in ms.
record() { printf '%7d %s\n' $(($(now_ms) - START_MS)) "$*" >>"$RECORD"; }

# small_settings N: writes the settings of node N and prints the file's path.
small_settings() {
	cat >"$WORK/route$1.jsonc" <<-END
	{
		"grace_s": 8, "retry_ratio": 0.9, "retry_burst": 58, "retry_window_s": 10,
		"expose_share": 0.15, "expose_slack": 30, "session_s": 5,
		"prefix_memory_s": 5.9,
		"features": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
		"memory_mb": 260,
		"quality_targets": "0.9,0.75,0.5",
		"seeds": "127.0.0.1:$((BASE + 6)),127.0.0.2:$((BASE + 6)),127.0.0.3:$((BASE + 6))",
		"node": "front-z1-$1", "zone": "z1",
		"caller_address": "$(client_address "$1")",
		"ready_address": "$(ready_address "$1")",
		"operator_address": "127.0.0.$1:$((BASE + 250))",
		"peer_address": "127.0.0.$1:$((BASE + 350))",
		"platform_address": "${NODE_STORE:-$STORE}",
		"operator_key": "chivegw-operators-region",
		"cluster_key": "chivegw-cluster-region-peers"
	}
	END
	echo "$WORK/route$1.jsonc"
}

# start_small_node N: starts a node with the command of the deploy file.
start_small_node() {
	local file
	file=$(small_settings "$1")
	run "route$1" "$BUILD/chivegwd" --settings "$file"
}
