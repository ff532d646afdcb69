#!/usr/bin/env bash
# Servers report how slow their machines are, and the deployment asks for measured
# placement: prompts with a beginning in common go
# to the server that holds it, and plain requests to those that are not slow. Nothing
# is decided so for servers that do not report it.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-12300}
. t/lib.sh
. t/lib-routes.sh

SERVERS=3
PROMPTS=12
# So long that the time saved counts though the stand-in reads a prompt at once.
SHARED=2000000

# say_load SERVER [PERCENT]: the load that a server reports from now on.
say_load() {
	curl -fs -m 5 -o /dev/null "http://$(backend_address "$1")/say/X-Chivegw-Server-Load/1,0,8${2:+,$2}"
}
count_of() { curl -fs -m 5 "http://127.0.0.1:$((BASE + 250))/metrics" | sed -n "s/^chivegw_$1 //p"; }
logged() { grep -q "$1" "$WORK/route1.log"; }
# prompts PART ROUND: sends prompts that begin with the part, one after the other, and
# sets `used` to the servers that answered them, `most` to the one used most.
prompts() {
	local i id names=()
	for i in $(seq "$PROMPTS"); do
		id=$1-$2-$i
		start_stream "$id" 1 /talk/stream -H "X-Chivegw-Prefix-Hash: $1:$SHARED,$1$2$i:10" \
			-H "X-Chivegw-Token-Counts: $((SHARED + 10)),20"
		wait_for_streams
		stream_is_complete "$id" || fail "$id is not complete"
		until_true 5 logged "E700 .*request=$id " || fail "$id is not logged"
		names+=("$(sed -n "s/.*E700 .*request=$id .* server=i-\([0-9]*\) .*/\1/p" "$WORK/route1.log")")
	done
	used=$(printf '%s\n' "${names[@]}" | sort | uniq -c | sort -rn)
	most=$(awk 'NR == 1 { print $2 }' <<<"$used")
	[ -n "$most" ] || fail "no server is known for $1"
}

start_objects
for n in $(seq "$SERVERS"); do
	start_backend "$n" desk
	say_load "$n"
done
configure 3
start_route_node 1 '"features": "measured-placement"'
wait_route_ready 1

say "servers without the figure are used as before"
prompts aa 1
! logged E745 || fail "E745 though no server reported the figure"
expect "prompt tokens counted" 0 "$(count_of prompt_tokens_total)"

say "a beginning is sent to the server that holds it"
for n in $(seq "$SERVERS"); do say_load "$n" 100; done
prompts bb 1
logged "E745 .*service=desk" || fail "no E745 though servers report the figure"
prompts cc 1
[ "$(awk 'NR == 1 { print $1 }' <<<"$used")" -ge $((PROMPTS * 3 / 4)) ] ||
	fail "the beginning was sent to: $used"
[ "$(count_of prompt_tokens_held_total)" -gt $((SHARED * PROMPTS / 2)) ] ||
	fail "held: $(count_of prompt_tokens_held_total)"

say "plain requests avoid a server whose machine is slow"
say_load 1 2000
for _ in $(seq 30); do send 1 GET /read/ok >/dev/null; done
reads_at() { curl -fs -m 5 "http://$(backend_address "$1")/ran" | grep -c " /read/ok "; }
slow=$(reads_at 1)
all=$((slow + $(reads_at 2) + $(reads_at 3)))
expect "reads answered" 30 "$all"
[ "$slow" -le 5 ] || fail "the slow server got $slow of $all reads"

say "shared machines: passed"
