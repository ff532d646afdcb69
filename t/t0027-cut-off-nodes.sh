#!/usr/bin/env bash
# Some nodes lose the way to all servers, while clients, the store and the other
# nodes still reach them. Their clients must be served nearly as often as others,
# and nothing that may not run twice may do so. CUT_MODE is how connections end.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-4200}
. t/lib.sh
. t/lib-routes.sh

SIZE=${FLEET_SIZE:-5}
NODES=$(seq "$SIZE")
CUT=${CUT_NODES:-3}
CUT_NODES=$(seq "$CUT")
BACKENDS=$(seq "${SERVERS:-4}")
STABLE_S=3
CUT_S=8
VIEWS=$((SIZE + 1))
STORE_LISTEN=0.0.0.0:${STORE#*:}

now_ms() { echo $(($(sed 's/\([0-9]*\)\.\([0-9]*\) .*/\1\20/' /proc/uptime))); }
# ask_all NODE: sends requests of all kinds to a node, each once; writes when,
# kind, id, status.
ask_all() {
	local at id kind status
	while :; do
		for kind in read order talk; do
			at=$(now_ms) id="$kind-$1-$RANDOM$RANDOM$RANDOM"
			case $kind in
			read) set -- "$1" GET /read/ok ;;
			order) set -- "$1" POST /order/ok -d pallet ;;
			talk) set -- "$1" POST /talk/stream -H "X-Chivegw-Prefix-Hash: aa:50,d1:30,$RANDOM:20" ;;
			esac
			status=$(curl -s -m 3 -o "$WORK/body-$1" -w '%{http_code}' -X "$2" -H "Host: $HOST" \
				-H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: $id" \
				-H 'X-Chivegw-Deadline-Ms: 2000' "${@:4}" "http://$(client_address "$1")$3")
			[ "$kind" != talk ] || [ "$status" != 200 ] || [ "$(grep -c '^id: ' "$WORK/body-$1")" = 5 ] || status=cut
			echo "$at $kind $id $status"
		done
		sleep 0.05
	done
}
cut_off() { # MODE NODE...
	local mode=$1 n k
	shift
	for n in "$@"; do
		for k in $BACKENDS; do
			curl -fs -m 2 "http://$(backend_address "$k")/cut/$((n + 1))/$mode" >/dev/null || fail "backend$k does not cut"
		done
	done
}
# served NODES SINCE UNTIL: "served sent" of the nodes' requests in that time
served() {
	for n in $1; do cat "$WORK/client$n.log"; done |
		awk -v a="$2" -v b="$3" '$1 > a && $1 < b {n++; k += $4 == 200} END {print k + 0, n + 0}'
}
check_order_runs() {
	local n
	for n in $BACKENDS; do curl -fs -m 5 "http://$(backend_address "$n")/ran"; done >"$WORK/ran"
	cat "$WORK"/client*.log | awk 'NR == FNR {ran[$1]++; next} $2 != "order" {next}
		ran[$3] > 1 {print "ran twice:", $0}
		$4 == 200 && !ran[$3] {print "answered, but did not run:", $0}
		($4 == 503 || $4 == 429) && ran[$3] {print "reported as not run, but ran:", $0}' "$WORK/ran" - >"$WORK/violations"
	[ ! -s "$WORK/violations" ] || fail "$(head -n 5 "$WORK/violations")"
}

start_objects
for n in $BACKENDS; do start_backend "$n" desk; done
configure 3
for n in $NODES; do NODE_STORE=127.0.0.$((n + 1)):${STORE#*:} start_route_node "$n"; done
for n in $NODES; do wait_route_ready "$n"; done
for n in $NODES; do run "client$n" ask_all "$n"; done
sleep 2
OTHERS=$(seq $((CUT + 1)) "$SIZE")

for mode in ${CUT_MODE:-refuse refuse-new hang}; do
	say "$CUT of $SIZE nodes lose the way to all servers: $mode"
	cut_off "$mode" $CUT_NODES
	sleep "$STABLE_S"
	from=$(now_ms)
	sleep $((CUT_S - STABLE_S))
	until=$(now_ms)
	read -r cut_served cut_sent <<<"$(served "$CUT_NODES" "$from" "$until")"
	read -r other_served other_sent <<<"$(served "$OTHERS" "$from" "$until")"
	say "first tries served: $cut_served of $cut_sent at these nodes, $other_served of $other_sent at the others"
	failed=$((cut_sent - cut_served + other_sent - other_served))
	all=$((cut_sent + other_sent))
	# Less than two thirds as often, and more than 10 + 1 in 50 of all fail.
	if [ $((3 * cut_served * other_sent)) -lt $((2 * other_served * cut_sent)) ] &&
		[ "$failed" -gt $((10 + all / 50)) ]; then
		fail "clients of nodes that are cut off are served far worse"
	fi
	cut_off heal $CUT_NODES
	sleep 3
	from=$(now_ms)
	sleep 2
	read -r cut_served cut_sent <<<"$(served "$CUT_NODES" "$from" "$(now_ms)")"
	say "after the cut: $cut_served of $cut_sent served at these nodes"
	[ $((10 * cut_served)) -ge $((9 * cut_sent)) ] || fail "nodes do not recover from the cut"
done
if [ -z "${CUT_MODE:-}" ]; then
	say "all nodes lose the way to all servers"
	cut_off refuse $NODES
	sleep 2
	from=$(now_ms)
	sleep 2
	for n in $NODES; do cat "$WORK/client$n.log"; done | awk -v a="$from" '$1 > a {print $4}' | sort | uniq -c
	slowest=$(for i in 1 2 3; do curl -s -m 3 -o /dev/null -w '%{time_total}\n' -X POST -H "Host: $HOST" -H "Authorization: Token $ROUTE_KEY" -H "X-Chivegw-Request-Id: q-$RANDOM" "http://$(client_address 1)/order/ok"; done | sort -n | tail -n 1)
	say "slowest refusal: $slowest s"
	awk -v s="$slowest" 'BEGIN {exit !(s < 0.1)}' || fail "a refusal takes $slowest s"
	cut_off heal $NODES
fi

say "a request that crashes servers, by way of other nodes"
if [ -z "${CUT_MODE:-}" ]; then
	for k in $BACKENDS; do
		curl -fs -m 2 -d "one /read/slow?page=bad " "http://$(backend_address "$k")/crash-on" || fail "backend$k"
	done
	cut_off refuse $CUT_NODES
	sleep 1
	for i in 1 2 3 4 5 6 7 8 9 10; do
		for n in $CUT_NODES; do
			ID="bad-$i-$n" send "$n" GET '/read/slow?page=bad' >/dev/null
			sleep 0.2
		done
	done
	cut_off heal $CUT_NODES
	sleep 2
	bad=$(for k in $BACKENDS; do curl -fs -m 5 "http://$(backend_address "$k")/arrived"; done | grep -c ' bad-')
	say "it reached servers $bad times"
	# Three crashes, what is sent until all nodes know, and three retries.
	[ "$bad" -le 9 ] || fail "a request that crashes servers reached $bad of them"
fi
for n in $NODES; do crash "client$n"; done
sleep 1
check_order_runs
say "cut-off nodes: passed"
