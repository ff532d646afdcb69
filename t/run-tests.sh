#!/usr/bin/env bash
# Runs the unit test programs and end-to-end scripts given as arguments, several
# at a time, and then one at a time the scripts that say "# Runs alone.". Prints a
# line for each, and at the end "N passed, N failed". Tests
# listed in KNOWN-RED.txt run too; their failures are printed but do not fail
# the run. Its other entries, which need a bench, are printed as not run.
set -u
cd "$(dirname "$0")/.." || exit 1
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
PARALLEL_TESTS=3
TEST_TIMEOUT_S=900
export logs TEST_TIMEOUT_S

# run_one TEST: writes its output to $logs/NAME.log, its exit code and duration
# in seconds to $logs/NAME.code.
run_one() {
	local name start=$SECONDS
	name=$(basename "$1")
	case $1 in
	*.sh) timeout "$TEST_TIMEOUT_S" bash "$1" ;;
	*) RC_PARAMS="seed=1" timeout "$TEST_TIMEOUT_S" "$1" ;;
	esac >"$logs/$name.log" 2>&1
	echo "$? $((SECONDS - start))" >"$logs/$name.code"
}
export -f run_one

together=() alone=()
for test in "$@"; do
	if [[ $test = *.sh ]] && grep -qx '# Runs alone\.' "$test"; then
		alone+=("$test")
	else
		together+=("$test")
	fi
done
[ "${#together[@]}" -eq 0 ] || printf '%s\n' "${together[@]}" |
	xargs -P "$PARALLEL_TESTS" -I{} bash -c 'run_one "$1"' run {}
for test in "${alone[@]}"; do run_one "$test"; done

passed=0 failed=0 known=0
for test in "$@"; do
	name=$(basename "$test")
	read -r code seconds <"$logs/$name.code"
	if [ "$code" -eq 0 ]; then
		passed=$((passed + 1))
		echo "ok      $name ($seconds s)"
	elif grep -qxF "test: $name" KNOWN-RED.txt 2>/dev/null; then
		known=$((known + 1))
		echo "known   $name: fails, see KNOWN-RED.txt"
	else
		failed=$((failed + 1))
		echo "FAILED  $name (exit code $code)"
		grep -aE -m 5 '^(FAIL|SURVIVED)' "$logs/$name.log"
		tail -n 60 "$logs/$name.log"
	fi
done
[ "$known" -eq 0 ] || echo "known failures: $known"
sed -n 's/^bench: /known, not run here: /p' KNOWN-RED.txt
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
