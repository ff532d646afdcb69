#!/usr/bin/env bash
# Mutation test: for each row of MUTANTS, a list as mutants.list, applies the substitution, which
# removes a mechanism, to a scratch copy. The row's test must fail there. The
# argument names a single row.
set -u
cd "$(dirname "$0")/.." || exit 1
only=${1:-}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
# Differs from the ports of the same scripts, which may run at the same time.
MUTANT_BASE=${MUTANT_BASE:-17000}
MUTANTS=${MUTANTS:-t/mutants.list}
survived=0 killed=0

trim() { sed 's/^[[:space:]]*//; s/[[:space:]]*$//'; }

# fresh_copy: copies the sources and build/ to the scratch tree.
fresh_copy() {
	rm -rf "$scratch/tree"
	mkdir -p "$scratch/tree"
	[ ! -d build ] || cp -a build "$scratch/tree"
	cp -a ./*.c ./*.h Makefile examples t "$scratch/tree"
	for folder in */; do
		case $folder in build*/ | t/ | docs/ | examples/) ;; *)
			cp -a "$folder" "$scratch/tree"
			;;
		esac
	done
}

# fails TEST: builds the copy and runs the test; succeeds if the test fails, and
# fails if the test passes or the copy does not build.
fails() {
	(
		cd "$scratch/tree" || exit 1
		case $1 in
		unit-*)
			make -s -j"$(nproc)" "build/t/$1" >"$scratch/log" 2>&1 ||
				{ echo "does not build"; exit 1; }
			! RC_PARAMS=seed=1 timeout 120 "build/t/$1" >"$scratch/log" 2>&1
			;;
		*)
			make -s -j"$(nproc)" all >"$scratch/log" 2>&1 ||
				{ echo "does not build"; exit 1; }
			! BASE=$MUTANT_BASE timeout 300 bash "t/$1" >"$scratch/log" 2>&1
			;;
		esac
	)
}

while IFS= read -r row; do
	case $row in '#'* | '') continue ;; esac
	name=$(printf '%s' "$row" | sed 's/ | .*//' | trim)
	promise=$(printf '%s' "$row" | sed 's/^[^|]* | //; s/ | .*//' | trim)
	file=$(printf '%s' "$row" | sed 's/^[^|]* | [^|]* | //; s/ | .*//' | trim)
	test=$(printf '%s' "$row" | sed 's/.* | //' | trim)
	change=$(printf '%s' "$row" | sed 's/^[^|]* | [^|]* | [^|]* | //; s/ | [^|]*$//')
	[ -z "$only" ] || [ "$only" = "$name" ] || continue
	fresh_copy
	perl -0pi -e "$change" "$scratch/tree/$file"
	if cmp -s "$file" "$scratch/tree/$file"; then
		echo "SURVIVED $name: the substitution matches nothing in $file"
		survived=$((survived + 1))
	elif fails "$test"; then
		echo "killed   $name (promise $promise) by $test"
		killed=$((killed + 1))
	else
		echo "SURVIVED $name (promise $promise): $test does not fail"
		survived=$((survived + 1))
	fi
done <"$MUTANTS"
echo "mutants: $killed killed, $survived survived"
[ "$survived" -eq 0 ]
