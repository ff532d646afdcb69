#!/usr/bin/env bash
# The store comes back from a copy that is some seconds old: acknowledged writes
# are lost, revisions go back and are given out again. Nodes must take up its
# configurations, servers and roll-outs at once, and take back nothing that they
# know.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-19000}
. t/lib.sh
. t/lib-routes.sh
NODES=$(seq "${FLEET_SIZE:-3}")

store_control() { curl -fs -m 5 -o /dev/null -d "$1" "http://$STORE/control"; }
# in_force N REVISION
in_force() { grep -q "in force: revision=$2 " "$WORK/route$1.log"; }
all_in_force() { for n in $NODES; do in_force "$n" "$1" || return 1; done; }
runs_at() { curl -fs "http://$(backend_address "$1")/ran" | wc -l; }
read_at_all_nodes() { # WHAT: sends some reads to each node, each must be served
	for n in $NODES $NODES; do expect "$1" 200 "$(send "$n" GET /read/ok)"; done
}
# The rules allow a change two seconds, and a restored store three more.
RESTORED_LIMIT_S=3

start_objects
for n in $NODES; do start_route_node "$n" '"store_timeout_ms": 400'; done
for n in 1 2 3; do start_backend "$n" desk; done
configure 3
for n in $NODES; do wait_route_ready "$n"; done
sleep 2

say "a server's leaving with a lower revision than the nodes have seen, when the store has passed that, in the first restore"
store_control '{"copy":true}'
for seq in 1 2 3 4 5 6 7 8; do put_server 2 desk v1 ready; done
sleep 0.6
store_control '{"lose":true,"mode":"silent"}'
sleep 1
store_control '{"restore":true}'
put_server 3 desk v1 draining
for seq in 1 2 3 4 5 6 7 8 9 10 11 12 13 14; do put_server 2 desk v1 ready; done
store_control '{"mode":"ok"}'
know_draining() { for n in $NODES; do grep -q "server=i-$1 .*to=draining" "$WORK/route$n.log" || return 1; done; }
until_true "$RESTORED_LIMIT_S" know_draining 3 || fail "the leaving of server 3 is not known $RESTORED_LIMIT_S s after the store was restored"
BORN=1 put_server 3 desk v1 ready

say "a configuration that is written while waiting watches are lost"
store_control '{"copy":true}'
for seq in 1 2 3 4 5 6 7 8; do put_server 2 desk v1 ready; done
SECOND_KEY=second-at-5 configure 5
until_true 3 all_in_force 5 || fail "revision 5 is not in force"
put_server 1 desk v1 draining
sleep 0.6
leaving=$(runs_at 1)
store_control '{"lose":true,"mode":"silent"}'
sleep 2
store_control '{"restore":true,"mode":"ok"}'
SECOND_KEY=second-at-7 configure 7
until_true "$RESTORED_LIMIT_S" all_in_force 7 || fail "revision 7 is not in force $RESTORED_LIMIT_S s after the store was restored"
expect "a removed key" 401 "$(AUTH='Token second-at-5' send 3 GET /read/ok)"

say "a server that was seen leaving gets no request, though the copy lists it as ready"
read_at_all_nodes "read after the restore"
expect "runs at the leaving server" "$leaving" "$(runs_at 1)"

say "a configuration with a lower revision than the nodes have seen, when the store has passed that"
store_control '{"copy":true}'
for seq in 1 2 3 4 5 6 7 8; do put_server 2 desk v1 ready; done
sleep 0.6
store_control '{"lose":true,"mode":"silent"}'
sleep 1
store_control '{"restore":true}'
SECOND_KEY=second-at-9 configure 9
for seq in 1 2 3 4 5 6 7 8 9 10 11 12 13 14; do put_server 2 desk v1 ready; done
store_control '{"mode":"ok"}'
until_true "$RESTORED_LIMIT_S" all_in_force 9 || fail "revision 9 is not in force $RESTORED_LIMIT_S s after the store was restored"

say "servers that start and leave after the restore are seen"
start_backend 4 desk
sees_server_4() { for n in $NODES; do grep -q 'server=i-4 .*to=ready' "$WORK/route$n.log" || return 1; done; }
until_true 3 sees_server_4 || fail "a new server is not seen"
put_server 3 desk v1 draining
sleep 1
leaving=$(runs_at 3)
read_at_all_nodes "read after a server left"
expect "runs at the server that left" "$leaving" "$(runs_at 3)"

say "the end of a roll-out is written again if the store lost it"
rollout_state() { curl -fs -H 'x-operator: 1' "http://$STORE/objects/rollouts" | jq -r '.items[0].status.state // "none"'; }
is_state() { [ "$(rollout_state)" = "$1" ]; }
start_backend 5 desk v2
curl -fs -o /dev/null "http://$(backend_address 5)/control/fail"
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":20}}'
store_control '{"copy":true}'
end=$((SECONDS + 20))
i=0
until is_state reverted; do
	[ "$SECONDS" -lt "$end" ] || fail "the bad version is $(rollout_state)"
	for _ in 1 2 3 4 5; do
		i=$((i + 1))
		send $((i % 3 + 1)) GET /read/ok -H "Session: s$i" >/dev/null
	done
done
sleep 0.6
bad=$(runs_at 5)
store_control '{"lose":true,"mode":"silent"}'
sleep 1
store_control '{"restore":true,"mode":"ok"}'
until_true 5 is_state reverted || fail "the reverted roll-out is $(rollout_state) after the restore"
for _ in 1 2; do read_at_all_nodes "read after the roll-out was reverted"; done
expect "runs on the reverted version" "$bad" "$(runs_at 5)"

say "a new order that has a lower revision than the order before is followed"
delete_object servers/i-5
crash backend5
put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":20}}'
store_control '{"copy":true}'
for seq in 1 2 3 4 5 6 7 8; do put_object rollouts/desk '{"spec":{"service":"desk","target":"v2","over_s":20}}'; done
sleep 1
store_control '{"lose":true,"mode":"silent"}'
sleep 1
store_control '{"restore":true}'
put_object rollouts/desk '{"spec":{"service":"desk","target":"v3","over_s":20}}'
store_control '{"mode":"ok"}'
knows_v3() { for n in $NODES; do grep -q 'E420 .*target=v3' "$WORK/route$n.log" || return 1; done; }
until_true "$RESTORED_LIMIT_S" knows_v3 || fail "the order for v3 is not known"

say "a node of a version that does not know eras gets no revisions that hold them"
peer_state() { curl -fs -m 5 -H 'X-Chivegw-Cluster-Key: demo-cluster-key-0123456789' "http://127.0.0.1:$((BASE + 250))/peer/state?config=0&servers=0&rollouts=0&changes=1$1" | jq -r 'keys | join(" ")'; }
expect "state for an older node" config "$(peer_state '')"
expect "state for a node" "config config_as_of rollouts rollouts_as_of rollouts_changed servers servers_as_of servers_changed" "$(peer_state '&eras=1')"
expect "state for a node that unpacks" "config_as_of config_bytes config_packed rollouts rollouts_as_of rollouts_changed servers servers_as_of servers_changed" "$(peer_state '&eras=1&packed=1')"

say "no node ever put an older configuration in force"
for n in $NODES; do
	revisions=$(sed -n 's/.* E200 .*revision=\([0-9]*\) .*/\1/p' "$WORK/route$n.log")
	expect "order of configurations at route$n" "$(sort -n <<<"$revisions")" "$revisions"
done
say "store restore: passed"
