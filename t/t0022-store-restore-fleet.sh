#!/usr/bin/env bash
# t0017 in a fleet of which only some nodes watch the store.
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-11000} FLEET_SIZE=24 exec bash t/t0017-store-restore.sh
