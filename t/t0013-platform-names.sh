#!/usr/bin/env bash
# No source outside platform/, t/ and deploy/ contains the platform's names, and
# platform/ stays below MAX_LINES.
set -u
cd "$(dirname "$0")/.." || exit 1
names='X-Chivegw-(Request-Id|Server-Seal|Tenant|Expect-Instance|Server-Load|Token-Counts|Prefix-Hash|Request-Urgency|Instance-Id|Weight-Versions|Expect-Version|Pin-Ms|Hold|Kv-Backup)|Kv-From|Kv-Fetch'
fields='"(path_prefix|goal_ms|gap_aim_ms|sizes|backends|api_keys|tenants|max_conns|health_path|max_header_bytes|header_timeout_ms|idle_timeout_ms|resumable_|addr|cold_left_ms|has_more|since_rev|rev|over_s|reverted|completed_)"'
MAX_LINES=1500
bad=0
if git ls-files '*.c' '*.h' '*.x' | grep -vE '^(platform|t|deploy)/' |
	xargs grep -nE "$names|$fields"; then
	echo "names of the platform are used outside platform/"
	bad=1
fi
lines=$(git ls-files 'platform/*.c' 'platform/*.h' | xargs cat | wc -l)
[ "$lines" -lt "$MAX_LINES" ] || { echo "platform/ has $lines lines, the limit is $MAX_LINES"; bad=1; }
[ "$bad" = 0 ] && echo "platform/: $lines lines, its names are used nowhere else"
exit "$bad"
