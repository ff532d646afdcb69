#!/usr/bin/env bash
# The second half of the mutants, with those of scarce servers and client memory: a list
# of its own, which runs beside the first and keeps both below the time limit of a test.
set -u
cd "$(dirname "$0")/.." || exit 1
MUTANTS=t/mutants-load.list MUTANT_BASE=24620 exec bash t/t0100-mutants.sh "$@"
