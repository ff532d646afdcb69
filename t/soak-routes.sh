#!/usr/bin/env bash
# Randomised soak test of configured routes: soak-routes.sh SEED SECONDS. Nodes
# (FLEET_SIZE of them, 3 by default) serve orders, reads and streams while faults
# strike, alone, together and one after the other; docs/FAULTS.md lists them by
# their moves below. While it runs, after the faults of a round are lifted:
#   - a new configuration is in force, and a leaving server is known to leave, at
#     every node within the bounds that the rules give;
#   - no request reaches that server then.
# At the end:
#   - no order ran twice; one that was answered ran once; one that was refused
#     as not run did not run;
#   - no stream has a gap, a repeated event or the events of two runs;
#   - nothing ran that was not sent, or with a key that was never configured;
#   - no node ever put an older configuration in force, and every node serves;
#   - sound requests are served after all requests that crashed servers.
set -u
cd "$(dirname "$0")/.." || exit 1
SEED=${1:-1}
DURATION_S=${2:-60}
BASE=${BASE:-28000}
RANDOM=$SEED
. t/lib.sh
. t/lib-routes.sh

SIZE=${FLEET_SIZE:-3}
NODES=$(seq "$SIZE")
BACKENDS="1 2 3 4"
CRASH_PART=bad1 # of prompts: a server crashes that begins to answer it
# A change may take so long, and longer while a node counts as disturbed. The
# rules give large fleets more.
CHANGE_LIMIT_S=2 STABLE_S=3
[ "$SIZE" -le 16 ] || CHANGE_LIMIT_S=3 STABLE_S=4

# random_upto N: a number from 1 to N.
random_upto() { echo $((RANDOM % $1 + 1)); }
# set_mode N MODE: sets a backend server's mode.
set_mode() { curl -fs -m 2 -o /dev/null "http://$(backend_address "$1")/control/$2"; }
# say_field N FIELD[/VALUE]: sets or drops a header field of a backend server.
say_field() { curl -fs -m 2 -o /dev/null "http://$(backend_address "$1")/say/$2"; }
# control_store JSON: sets the faults of the object API.
control_store() { curl -fs -m 2 -o /dev/null -d "$1" "http://$STORE/control"; }
relay_control() { address_at $((1500 + $1)); }
# set_link N MODE: strikes a node's connections to the object API.
set_link() { curl -fs -m 2 -o /dev/null -d "{\"mode\":\"$2\"}" "http://$(relay_control "$1")/control"; }
VERSION=3
# change_config: writes a newer configuration with a new second key.
change_config() {
	VERSION=$((VERSION + 1 + RANDOM % 3))
	SECOND_KEY=key-$VERSION configure "$VERSION"
}

start_objects
for n in $NODES; do
	start_relay "relay$n" "$(address_at $((1000 + n)))" "$STORE" "$(relay_control "$n")"
	NODE_STORE=$(address_at $((1000 + n))) start_route_node "$n"
done
for n in $BACKENDS; do start_backend "$n" desk; done
configure $VERSION
for n in $NODES; do wait_route_ready "$n"; done

# worker N SECONDS: sends requests for that long and writes $WORK/log.N: for
# each a line "TYPE ID STATUS CURL-EXIT-CODE KEY", and for each stream another
# one, "events ID", with its event ids.
worker() {
	local until=$((SECONDS + $2)) i=0 w=$1 kind method status id node
	RANDOM=$((SEED * 100 + w))
	while [ "$SECONDS" -lt "$until" ]; do
		i=$((i + 1)) id=s$w-$i node=$((RANDOM % SIZE + 1))
		case $((RANDOM % 5)) in
		0 | 1 | 2) kind=order method=POST ;;
		3) kind=read method=GET ;;
		4) kind=talk method=POST ;;
		esac
		local path=ok key=$ROUTE_KEY extra=()
		[ $kind = talk ] && path=stream-slow &&
			extra=(-H 'X-Chivegw-Model: *' -H 'X-Chivegw-Token-Counts: 100,50'
				-H "X-Chivegw-Prefix-Hash: aa:50,d$((RANDOM % 4)):30,$RANDOM:20")
		[ $((RANDOM % 20)) = 0 ] && key=never-a-key
		status=$(curl -s -m 4 -X $method -o "$WORK/out.$w" -w '%{http_code}' \
			-H "Host: $HOST" -H "Authorization: Token $key" \
			-H "X-Chivegw-Request-Id: $id" -H "Session: w$w" \
			-H 'X-Chivegw-Deadline-Ms: 2000' "${extra[@]}" \
			"http://$(client_address $node)/$kind/$path")
		echo "$kind $id $status $? $key"
		[ $kind = talk ] && [ "$status" = 200 ] &&
			sed -n 's/^id: *//p' "$WORK/out.$w" | tr '\n' ' ' | sed "s/^/events $id /; s/\$/\n/"
	done >"$WORK/log.$w"
}
workers=()
for w in {1..16}; do
	worker $w "$DURATION_S" &
	workers+=($!)
done

# restart N: starts the node again if it has exited.
restart() {
	[ -n "${PIDS[route$1]:-}" ] && kill -0 "${PIDS[route$1]}" 2>/dev/null && return
	run "route$1" "$BUILD/chivegwd" --settings "$WORK/route$1.jsonc"
}
ROLLOUTS=0
STARTS=0 # of backend servers, so far

# Each move strikes node $n, backend server $b or the store.
is_running() { [ -n "${PIDS[route$n]:-}" ]; }
node_is_killed() { is_running && crash "route$n"; }
node_is_frozen() { is_running && freeze "route$n" && sleep 1.$((RANDOM % 10)) && thaw "route$n"; }
node_is_stopped() { is_running && kill -TERM "${PIDS[route$n]}" && wait "${PIDS[route$n]}"; }
node_is_reloaded() { is_running && kill -HUP "${PIDS[route$n]}"; }
nodes_restart_in_turn() {
	local first=$n
	for n in $first $((first % SIZE + 1)); do
		is_running && crash "route$n"
		restart "$n"
	done
}
link_falls_silent() { set_link "$n" silence; }
link_is_reset() { set_link "$n" reset; }
link_is_cut() { set_link "$n" cut; }
half_of_links_fall_silent() { for n in $NODES; do [ $((RANDOM % 2)) = 0 ] || set_link "$n" silence; done; }
all_links_fall_silent() { for n in $NODES; do set_link "$n" silence; done; }
store_is_busy() { control_store '{"mode":"busy"}'; }
store_is_silent() { control_store '{"mode":"silent"}'; }
store_resets_connections() { control_store '{"mode":"reset"}'; }
store_is_slow() { control_store '{"mode":"trickle"}'; }
set_brittle() { curl -fs -m 2 -o /dev/null "http://$(backend_address "$1")/brittle/$2"; }
store_loses_watches() { control_store '{"lose":true}'; }
store_drops_its_history() { control_store '{"forget":true,"cut":true}'; }
store_is_restored() {
	control_store '{"copy":true}' && change_config &&
		control_store '{"lose":true,"mode":"silent"}' && sleep 0.$((RANDOM % 9 + 1)) &&
		control_store '{"restore":true,"mode":"ok"}' && change_config
}
store_is_restored_twice() { store_is_restored && store_is_restored; }
configuration_changes() { change_config; }
configurations_follow_each_other() { for _ in 1 2 3 4 5; do change_config; done; }
server_leaves() { put_server "$b" desk v1 draining; }
server_loses_answers() { set_mode "$b" lose; }
server_crosses_answers() { set_mode "$b" crossed; }
server_resets_answers() { set_mode "$b" unframed-cut; }
server_cuts_streams() { set_mode "$b" stream-unframed-cut; }
server_sends_a_head_without_end() { set_mode "$b" endless-interim; }
server_sends_a_body_without_end() { set_mode "$b" endless-body; }
server_is_frozen() { freeze "backend$b" && sleep 0.$((RANDOM % 9 + 1)) && thaw "backend$b"; }
server_names_a_limit() { say_field "$b" "Server-Limit/$((RANDOM % 5 + 1)).5"; }
server_wants_a_pause() { say_field "$b" "Retry-After/0.$((RANDOM % 9 + 1))" && set_mode "$b" refuse; }
servers_are_brittle() { for s in $BACKENDS; do set_brittle "$s" 8/3; done; }
server_says_that_it_leaves() { say_field "$b" Server-Leaving/1; }
server_fails_under_load() { curl -fs -m 2 -o /dev/null "http://$(backend_address "$b")/fail-above/6"; }
version_rolls_out() {
	ROLLOUTS=$((ROLLOUTS + 1))
	put_server "$b" desk v2 ready &&
		put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":6}}'
}
requests_crash_servers() {
	for _ in 1 2; do
		curl -s -m 4 -o /dev/null -X POST -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
			-H "X-Chivegw-Request-Id: bad-$RANDOM$RANDOM" -H 'X-Chivegw-Deadline-Ms: 2000' \
			-H "X-Chivegw-Prefix-Hash: aa:50,$CRASH_PART:30,$RANDOM:20" \
			"http://$(client_address $((RANDOM % SIZE + 1)))/talk/stream-slow"
	done
}
MOVES=(
	node_is_killed node_is_frozen node_is_stopped node_is_reloaded nodes_restart_in_turn
	link_falls_silent link_is_reset link_is_cut half_of_links_fall_silent all_links_fall_silent
	store_is_busy store_is_silent store_resets_connections store_is_slow store_loses_watches
	store_drops_its_history store_is_restored store_is_restored_twice
	configuration_changes configurations_follow_each_other
	server_leaves server_loses_answers server_crosses_answers server_resets_answers
	server_cuts_streams server_sends_a_head_without_end server_sends_a_body_without_end
	server_is_frozen server_names_a_limit server_wants_a_pause servers_are_brittle server_says_that_it_leaves
	server_fails_under_load version_rolls_out requests_crash_servers
)
started_at=$SECONDS
# inject_fault: makes a random move against a random node and server.
inject_fault() {
	local n b move
	n=$(random_upto "$SIZE") b=$(random_upto 4)
	move=${MOVES[$((RANDOM % ${#MOVES[@]}))]}
	say "$((SECONDS - started_at)) s: $move (node $n, server $b)"
	"$move"
}
# clear_faults: lifts all faults and restarts the nodes that have exited.
clear_faults() {
	control_store '{"mode":"ok"}'
	for n in $NODES; do set_link "$n" pass; done
	for b in $BACKENDS; do
		set_mode "$b" none
		for field in Server-Limit Retry-After Server-Leaving; do say_field "$b" "$field"; done
		curl -fs -m 2 -o /dev/null "http://$(backend_address "$b")/fail-above/0"
		set_brittle "$b" 0/0
		STARTS=$((STARTS + 1))
		BORN=$STARTS put_server "$b" desk v1 ready
	done
	for n in $NODES; do restart "$n"; done
}
in_force() {
	for n in $NODES; do grep -q "in force: revision=$VERSION " "$WORK/route$n.log" || return 1; done
}
# latest_state N SERVER: what the node knows of the server
latest_state() { grep "E710 .*server=i-$2 " "$WORK/route$1.log" | tail -n 1 | sed 's/.* to=\([a-z]*\).*/\1/'; }
knows_leaving() {
	for n in $NODES; do [ "$(latest_state "$n" "$1")" = draining ] || return 1; done
}
arrivals_at() { curl -fs -m 2 "http://$(backend_address "$1")/arrived" | wc -l; }
# check_changes: a change is known everywhere in time, also after faults.
check_changes() {
	local b limit=$((CHANGE_LIMIT_S + STABLE_S)) before
	b=$(random_upto 4)
	change_config
	put_server "$b" desk v1 draining
	until_true "$limit" in_force || fail "revision $VERSION is not in force everywhere after $limit s"
	until_true "$limit" knows_leaving "$b" || fail "not every node knows after $limit s that server $b leaves"
	sleep 0.2 # requests on their way
	before=$(arrivals_at "$b")
	sleep 0.4
	expect "arrivals at leaving server $b" "$before" "$(arrivals_at "$b")"
	STARTS=$((STARTS + 1))
	BORN=$STARTS put_server "$b" desk v1 ready
}
end=$((SECONDS + DURATION_S))
rounds=0
while [ "$SECONDS" -lt "$end" ]; do
	rounds=$((rounds + 1))
	inject_fault
	sleep 0.$((RANDOM % 9 + 1))
	[ $((RANDOM % 2)) = 0 ] && inject_fault
	sleep 0.$((RANDOM % 9 + 1))
	clear_faults
	sleep 0.$((RANDOM % 9 + 1))
	[ $((rounds % 3)) = 0 ] && check_changes
done
wait "${workers[@]}"
clear_faults
for n in $NODES; do wait_route_ready "$n"; done
sleep 2

cat "$WORK"/log.* >"$WORK/log"
for b in $BACKENDS; do curl -fs -m 5 "http://$(backend_address "$b")/ran"; done >"$WORK/ran"
awk 'FILENAME ~ /ran$/ { ran[$1]++; next }
	$1 == "events" {
		last = 0
		for (i = 3; i <= NF; i++) {
			if ($i != last + 1) print "events out of order:", $0
			last = $i
		}
		next
	}
	{ sent[$2] = 1 }
	$5 == "never-a-key" && ran[$2] { print "ran with an unknown key:", $0 }
	$5 == "never-a-key" && $3 == 200 { print "served with an unknown key:", $0 }
	$1 != "order" { next }
	ran[$2] > 1 { print "ran twice:", $0, ran[$2] }
	$3 == 200 && $4 == 0 && ran[$2] != 1 { print "answered, but did not run once:", $0 }
	($3 == 503 || $3 == 429 || $3 == 408 || $3 == 421) && ran[$2] { print "reported as not run, but ran:", $0 }
	END { for (id in ran) if (!sent[id] && id !~ /^bad-/) print "ran without a request:", id }' \
	"$WORK/ran" "$WORK/log" >"$WORK/violations"
say "requests: $(grep -vc ^events "$WORK/log"), complete streams: $(grep -c '1 2 3 4 5 $' "$WORK/log"), runs: $(wc -l <"$WORK/ran"), statuses: $(grep -v ^events "$WORK/log" | awk '{print $3}' | sort | uniq -c | tr '\n' ' ')"
[ ! -s "$WORK/violations" ] || fail "$(head -n 5 "$WORK/violations")"

say "every node serves, by the newest configuration"
change_config
until_true $((CHANGE_LIMIT_S + STABLE_S)) in_force || fail "revision $VERSION is not in force everywhere"
for n in $NODES; do
	for i in 1 2 3 4 5; do expect "order" 200 "$(send "$n" POST /order/ok)"; done
	expect "the new key" 200 "$(AUTH="Token key-$VERSION" send "$n" GET /read/ok)"
	expect "a sound stream" 200 "$(send "$n" POST /talk/stream -H "X-Chivegw-Prefix-Hash: aa:50,d1:30,$RANDOM:20")"
	# A run of the node starts with E100.
	awk '/ E100 / { last = 0 } / E200 / { match($0, /revision=[0-9]+/); r = substr($0, RSTART + 9, RLENGTH - 9) + 0; if (r < last) exit 1; last = r }' \
		"$WORK/route$n.log" || fail "route$n put an older configuration in force"
done
for log in "$WORK"/route*.log; do
	grep -q "invariant broken\|E105" "$log" && fail "$(grep "invariant broken\|E105" "$log")"
done
say "soak: seed $SEED, $SIZE nodes, $DURATION_S s, $rounds rounds, $ROLLOUTS roll-outs: passed"
