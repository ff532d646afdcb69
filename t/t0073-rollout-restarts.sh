#!/usr/bin/env bash
# Restarts in turn during a roll-out must not move traffic early: a node that leaves, or
# has just started, lacks the counts of the others, and by few counts all may move.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-4650}
. t/lib.sh
. t/lib-routes.sh

NODES="1 2 3 4 5"
OVER_S=16
SHARE_PERCENT=15 # of the requests between the order and its end, for a bad version
SLACK=30         # requests beyond
TRIAL_PERCENT=4  # of sessions
EXPOSURE='"expose_share": 0.15, "expose_slack": 30'
# Node and ms after the order at which it is stopped; it takes 3.6 s to leave. Ranks for
# the service are 1 3 4 5 2: at half of the time node 5, which was sent no reports, leaves
# beside all that come before it, and only node 2 is left.
WATCH_S=2 # from a start until the node watches the store
STOPS="5:5000 1:5600 3:6200 4:6800 2:9500"

read_in_turn() {
	exec curl -s -m 60 --rate 4/s -o /dev/null -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" \
		-H "X-Chivegw-Request-Id: r-$1-$RANDOM" "http://$(client_address "$1")/read/ok?[1-9999]"
}
rollout_state() { curl -fs -H 'x-operator: 1' "http://$STORE/objects/rollouts" | jq -r '.items[0].status.state // "none"'; }
is_completed() { [ "$(rollout_state)" = completed ]; }
# runs N: how many requests the backend server N has run.
runs() { curl -fs -m 5 "http://$(backend_address "$1")/ran" | wc -l; }
# judged_while_leaving: the lines by which a node judged between E101 and E102.
judged_while_leaving() {
	awk 'FNR == 1 || / E102 / { leaving = 0 } / E101 / { leaving = 1 }
		leaving && (/ E423 / || / E421 .* by=judge /)' "$WORK"/route*.log
}
# moved_without_counts: the lines by which a judge that may lack counts moved all traffic
# before what is left of the time, with the trial, is within nine tenths of the share.
moved_without_counts() {
	awk -v safe_ms=$((OVER_S * (1000 + TRIAL_PERCENT * 10 - SHARE_PERCENT * 9))) '
		FNR == 1 || / E100 / { partial = 0 }
		/ E423 / { partial = !/ alone=0 gap=none / }
		/ E421 .* share=1.000 by=judge / && partial {
			match($0, / age_ms=[0-9]+/)
			if (substr($0, RSTART + 8, RLENGTH - 8) + 0 < safe_ms)
				print
		}' "$WORK"/route*.log
}
# restart N PID: stops a node that passes a stream on, and starts it when it has ended.
restart() {
	start_stream "held$1" "$1" /talk/stream-pause
	sleep 0.1
	kill -TERM "$2"
	while kill -0 "$2" 2>/dev/null; do sleep 0.05; done
	exec "$BUILD/chivegwd" --settings "$WORK/route$1.jsonc" >>"$WORK/route$1.log" 2>&1
}

start_objects
for n in 1 2; do start_backend "$n" desk v1; done
start_backend 3 desk v2
configure 3
for n in $NODES; do start_route_node "$n" "$EXPOSURE"; done
for n in $NODES; do wait_route_ready "$n"; done
for n in $NODES; do run "reads$n" read_in_turn "$n"; done
sleep "$WATCH_S"
before=$(($(runs 1) + $(runs 2)))
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":'$OVER_S'}}'
ordered=$(date +%s%3N)
until_ms() {
	local left=$((ordered + $1 - $(date +%s%3N)))
	[ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

say "all nodes are stopped and started in turn"
for stop in $STOPS; do
	n=${stop%:*}
	until_ms "${stop#*:}"
	restart "$n" "${PIDS[route$n]}" &
	PIDS[route$n]=$!
done

until_ms $((OVER_S * 1000))
new=$(runs 3)
all=$(($(runs 1) + $(runs 2) + new - before))
say "requests at the new version: $new of $all"
[ "$all" -gt 150 ] || fail "only $all requests were served"
[ $((new * 100)) -le $((all * SHARE_PERCENT + SLACK * 100)) ] ||
	fail "$new of $all requests used the new version before the time was over: $(grep -h ' E421 .*share=1.000 by=judge' "$WORK"/route*.log | head -n 1)"
! grep -h ' E421 .* by=judge .*leaving=1' "$WORK"/route*.log || fail "a node that leaves has decided"
judged=$(judged_while_leaving)
[ -z "$judged" ] || fail "a node that leaves judges: ${judged%%$'\n'*}"
moved=$(moved_without_counts)
[ -z "$moved" ] || fail "all traffic moved without all counts: ${moved%%$'\n'*}"
until_true 2 is_completed || fail "the roll-out of a good version is $(rollout_state)"
say "rollout restarts: passed"
