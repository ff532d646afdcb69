#!/usr/bin/env bash
# Randomised soak test of configured routes: soak-routes.sh SEED SECONDS. Three
# nodes serve orders, reads and streams while nodes are killed, frozen, stopped
# and reloaded, the store fails in every way and is restored from a copy,
# configurations and keys change, backend servers leave, misbehave, name limits
# and ask for pauses, and versions roll out. At the end:
#   - no order ran twice; one that was answered ran once; one that was refused
#     as not run did not run;
#   - no stream has a gap, a repeated event or the events of two runs;
#   - nothing ran that was not sent, or with a key that was never configured;
#   - the newest configuration is in force everywhere, and every node serves.
set -u
cd "$(dirname "$0")/.." || exit 1
SEED=${1:-1}
DURATION_S=${2:-60}
BASE=${BASE:-28000}
RANDOM=$SEED
. t/lib.sh
. t/lib-routes.sh

# random_upto N: a number from 1 to N.
random_upto() { echo $((RANDOM % $1 + 1)); }
# set_mode N MODE: sets a backend server's mode.
set_mode() { curl -fs -m 2 -o /dev/null "http://$(backend_address "$1")/control/$2"; }
# say_field N FIELD[/VALUE]: sets or drops a header field of a backend server.
say_field() { curl -fs -m 2 -o /dev/null "http://$(backend_address "$1")/say/$2"; }
# control_store JSON: sets the faults of the object API.
control_store() { curl -fs -m 2 -o /dev/null -d "$1" "http://$STORE/control"; }
VERSION=3
# change_config: writes a newer configuration with a new second key.
change_config() {
	VERSION=$((VERSION + 1 + RANDOM % 3))
	SECOND_KEY=key-$VERSION configure "$VERSION"
}

start_objects
for n in 1 2 3; do start_route_node "$n"; done
for n in 1 2 3 4; do start_backend "$n" desk; done
configure $VERSION
for n in 1 2 3; do wait_route_ready "$n"; done

# worker N SECONDS: sends requests for that long and writes $WORK/log.N: for
# each a line "TYPE ID STATUS CURL-EXIT-CODE KEY", and for each stream another
# one, "events ID", with its event ids.
worker() {
	local until=$((SECONDS + $2)) i=0 w=$1 kind method status id node
	RANDOM=$((SEED * 100 + w))
	while [ "$SECONDS" -lt "$until" ]; do
		i=$((i + 1)) id=s$w-$i node=$((RANDOM % 3 + 1))
		case $((RANDOM % 5)) in
		0 | 1 | 2) kind=order method=POST ;;
		3) kind=read method=GET ;;
		4) kind=talk method=POST ;;
		esac
		local path=ok key=$ROUTE_KEY extra=()
		[ $kind = talk ] && path=stream-slow &&
			extra=(-H 'X-Chivegw-Model: *' -H 'X-Chivegw-Token-Counts: 100,50')
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
# inject_fault: strikes a random process with a random fault.
inject_fault() {
	local n b
	n=$(random_upto 3) b=$(random_upto 4)
	[ -n "${PIDS[route$n]:-}" ] || return 0
	case $((RANDOM % 19)) in
	0) say "kill route$n" && crash "route$n" ;;
	1) say "freeze route$n" && freeze "route$n" && sleep 1.$((RANDOM % 10)) && thaw "route$n" ;;
	2) say "stop route$n" && kill -TERM "${PIDS[route$n]}" && wait "${PIDS[route$n]}" ;;
	3) say "reload route$n" && kill -HUP "${PIDS[route$n]}" ;;
	4) say "store is busy" && control_store '{"mode":"busy"}' ;;
	5) say "store silent" && control_store '{"mode":"silent"}' ;;
	6) say "store resets connections" && control_store '{"mode":"reset"}' ;;
	7) say "store drops its history and ends watches" && control_store '{"forget":true,"cut":true}' ;;
	8) say "configuration changes" && change_config ;;
	9) say "server $b leaves" && put_server "$b" desk v1 draining ;;
	10) say "server $b loses answers" && set_mode "$b" lose ;;
	11) say "server $b answers with another request's id" && set_mode "$b" crossed ;;
	12) say "server $b resets its answers" && set_mode "$b" unframed-cut ;;
	13) say "server $b is frozen" && freeze "backend$b" && sleep 0.$((RANDOM % 9 + 1)) && thaw "backend$b" ;;
	14) say "server $b names a limit" && say_field "$b" "Server-Limit/$((RANDOM % 5 + 1)).5" ;;
	15) say "server $b wants a pause" && say_field "$b" "Retry-After/0.$((RANDOM % 9 + 1))" && set_mode "$b" refuse ;;
	16) say "server $b says that it leaves" && say_field "$b" Server-Leaving/1 ;;
	17)
		say "store is restored from a copy" && control_store '{"copy":true}' && change_config &&
			control_store '{"lose":true,"mode":"silent"}' && sleep 0.$((RANDOM % 9 + 1)) &&
			control_store '{"restore":true,"mode":"ok"}' && change_config
		;;
	18)
		ROLLOUTS=$((ROLLOUTS + 1))
		say "server $b gets a new version, rolled out" && put_server "$b" desk v2 ready &&
			put_object rollouts/desk "{\"spec\":{\"service\":\"desk\",\"target\":\"v2\",\"over_s\":6}}"
		;;
	esac
}
# clear_faults: lifts all faults and restarts the nodes that have exited.
clear_faults() {
	control_store '{"mode":"ok"}'
	for b in 1 2 3 4; do
		set_mode "$b" none
		for field in Server-Limit Retry-After Server-Leaving; do say_field "$b" "$field"; done
		STARTS=$((STARTS + 1))
		BORN=$STARTS put_server "$b" desk v1 ready
	done
	for n in 1 2 3; do restart "$n"; done
}
end=$((SECONDS + DURATION_S))
while [ "$SECONDS" -lt "$end" ]; do
	inject_fault
	sleep 0.$((RANDOM % 9 + 1))
	[ $((RANDOM % 2)) = 0 ] && inject_fault
	sleep 0.$((RANDOM % 9 + 1))
	clear_faults
	sleep 0.$((RANDOM % 9 + 1))
done
wait "${workers[@]}"
clear_faults
for n in 1 2 3; do wait_route_ready "$n"; done
sleep 2

cat "$WORK"/log.* >"$WORK/log"
for b in 1 2 3 4; do curl -fs -m 5 "http://$(backend_address "$b")/ran"; done >"$WORK/ran"
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
	END { for (id in ran) if (!sent[id]) print "ran without a request:", id }' \
	"$WORK/ran" "$WORK/log" >"$WORK/violations"
say "requests: $(grep -vc ^events "$WORK/log"), complete streams: $(grep -c '1 2 3 4 5 $' "$WORK/log"), runs: $(wc -l <"$WORK/ran"), statuses: $(grep -v ^events "$WORK/log" | awk '{print $3}' | sort | uniq -c | tr '\n' ' ')"
[ ! -s "$WORK/violations" ] || fail "$(head -n 5 "$WORK/violations")"

say "every node serves, by the newest configuration"
change_config
for n in 1 2 3; do
	until_true 8 grep -q "in force: revision=$VERSION " "$WORK/route$n.log" || fail "revision $VERSION is not in force at route$n"
	for i in 1 2 3 4 5; do expect "order" 200 "$(send "$n" POST /order/ok)"; done
	expect "the new key" 200 "$(AUTH="Token key-$VERSION" send "$n" GET /read/ok)"
done
for log in "$WORK"/route*.log; do
	grep -q "invariant broken\|E105" "$log" && fail "$(grep "invariant broken\|E105" "$log")"
done
say "soak: seed $SEED, $DURATION_S s, $ROLLOUTS roll-outs: passed"
