#!/usr/bin/env bash
# A short run of the soak test with a fixed seed.
exec "$(dirname "$0")/soak.sh" 7 25
