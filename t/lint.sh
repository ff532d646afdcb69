#!/usr/bin/env bash
# Runs clang-tidy over the sources, in parallel:
# lint.sh "COMPILER FLAGS" SOURCES.
set -u
flags=$1
shift
printf '%s\n' "$@" | xargs -P "$(nproc)" -n 4 sh -c \
	'clang-tidy --quiet "$@" -- '"$flags"' 2>/dev/null' lint
