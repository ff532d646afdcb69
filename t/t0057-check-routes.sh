#!/usr/bin/env bash
# chivegw check --routes: exit codes and output for a valid configuration, one
# with errors, one that is not JSON and one compared with a missing file. Guards
# against a check that scripts take for passed.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
bad=0
# expect CODE PATTERN ARGUMENTS...: runs the check.
expect() {
	local code=$1 pattern=$2 out rc
	shift 2
	out=$("$BUILD/chivegw" check --routes "$@" 2>&1)
	rc=$?
	[ "$rc" = "$code" ] || { echo "FAIL: exit code $rc instead of $code: $*"; bad=1; }
	grep -q -- "$pattern" <<<"$out" || { echo "FAIL: no '$pattern' in: $out"; bad=1; }
}
route='{"name":"a","host":"h","path_prefix":"/a/","kind":"idempotent","service":"s","timeout_ms":500,"goal_ms":100}'
echo "{\"version\":3,\"routes\":[$route],\"services\":[{\"name\":\"s\"}],\"tenants\":[]}" >"$dir/good.json"
sed 's/"timeout_ms":500/"timeout_ms":50/; s/"version":3/"version":4/' "$dir/good.json" >"$dir/late.json"
sed 's/"goal_ms":100/"goal_ms":200/; s/"version":3/"version":4/' "$dir/good.json" >"$dir/newer.json"
echo '{"routes":' >"$dir/cut.json"
expect 0 'valid' "$dir/good.json"
expect 0 '^\[\]$' --json "$dir/good.json"
expect 1 'ends before the objective' "$dir/late.json"
expect 1 '"level":"error"' --json "$dir/late.json"
expect 1 'not JSON' "$dir/cut.json"
expect 0 'objective_ms from 100 to 200' --against "$dir/good.json" "$dir/newer.json"
expect 1 'is not above 3' --against "$dir/good.json" "$dir/good.json"
expect 1 'No such file' --against "$dir/none.json" "$dir/newer.json"
expect 1 'none.json' --settings "$dir/none.json" "$dir/good.json"
[ "$bad" = 0 ] && echo "check of routes: passed"
exit "$bad"
