#!/usr/bin/env bash
# Slopes for docs/CAPACITY.md: first the decisions in one process, then what an
# idle node of a real fleet costs, by the interval at which it polls 5 servers.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=30000
. t/lib.sh
"$BUILD/bench/slopes" || fail slopes
"$BUILD/bench/route-slopes" || fail route-slopes

# User and system time of node 1, in ticks of 10 ms.
cpu_ticks() { awk '{print $14 + $15}' "/proc/${PIDS[node1]}/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/${PIDS[node1]}/status"; }
store_calls() { metric 1 store_calls_total; }
peer_bytes() { metric 1 peer_bytes_out_total; }

start_platform
for n in 1 2 3; do
	start_engine "$n" quill@3=0.93 quill@4=0.94 quill-mini@2=0.84
done
for n in 1 2; do start_service "$n"; done
publish_nodes 1 2
start_node 2 rancagua-b
for poll_ms in 1000 250 50; do
	start_node 1 rancagua-a "\"load_poll_ms\": $poll_ms"
	apply_example examples/etcheverry.jsonc
	wait_ready 1
	sleep 1
	ticks=$(cpu_ticks) calls=$(store_calls) bytes=$(peer_bytes)
	sleep 20
	say "at rest, 5 servers polled every $poll_ms ms ($((5 * 1000 / poll_ms)) polls/s):" \
		"$((($(cpu_ticks) - ticks) * 10000 / 20)) us/s of processor," \
		"$((($(store_calls) - calls) / 20)) store calls/s," \
		"$((($(peer_bytes) - bytes) / 20)) bytes/s to members, $(rss_kb) KB resident"
	stop node1
	sleep 1
done
