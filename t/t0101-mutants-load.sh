#!/usr/bin/env bash
# The mutants of scarce and uneven servers and of client memory: a list of its own,
# which runs beside the other one and stays below the time limit of a test.
set -u
cd "$(dirname "$0")/.." || exit 1
MUTANTS=t/mutants-load.list MUTANT_BASE=24620 exec bash t/t0100-mutants.sh "$@"
