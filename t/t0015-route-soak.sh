#!/usr/bin/env bash
# A short run of the soak test of configured routes with a fixed seed.
exec "$(dirname "$0")/soak-routes.sh" 7 25
