#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, beside the
# programs that the deploy file builds.
set -eu
cd "$(dirname "$0")/.."
make --no-print-directory -j4 BUILD=target target/t/objects target/t/backend \
	target/t/relay
