#!/usr/bin/env bash
# The pages that list events, settings, subcommands and files agree with the
# code.
set -u
cd "$(dirname "$0")/.." || exit 1
bad=0
expect_same() { # WHAT CODE PAGE: compares two lists, in any order
	local out
	out=$(diff <(sort <<<"$2") <(sort <<<"$3")) && return
	echo "$1: code and page differ"
	echo "$out"
	bad=1
}
expect_same "events" \
	"$(sed -n 's/^[[:space:]]*X([A-Z_]*, \([0-9]*\), .*/\1/p' log-event.h)" \
	"$(sed -n 's/^| E\([0-9]*\) .*/\1/p' docs/EVENTS.md)"
expect_same "settings" \
	"$(perl -0ne 'while (/\b(?:TEXT|INTEGER|REAL)\((\w+),/g) { print "$1\n" unless $1 eq "field" }' daemon/settings.c)" \
	"$(sed -n 's/^| `\([a-z_]*\)` .*/\1/p' docs/SETTINGS.md)"
expect_same "subcommands" \
	"$(sed -n 's/^[[:space:]]*{"\([a-z]*\)", cmd_.*/\1/p' chivegw.c)" \
	"$(sed -n 's/^- `chivegw \([a-z]*\)`.*/\1/p' docs/OPERATIONS.md)"
for event in $(sed -n 's/^[[:space:]]*X(\([A-Z_]*\), [0-9]*, .*/\1/p' log-event.h); do
	grep -rqE "LOG_EVENT_$event\b" --include=*.c . || { echo "event $event is never logged"; bad=1; }
done
for file in $(grep -rhoE '\]\([a-zA-Z0-9_./-]+\)|`(docs|t|bench|examples)/[a-zA-Z0-9_./-]+`' README.md docs | tr -d '`]()'); do
	[ -e "$file" ] || [ -e "docs/$file" ] || { echo "a page names $file, which does not exist"; bad=1; }
done
[ "$bad" = 0 ] && echo "docs: passed"
exit "$bad"
