#!/usr/bin/env bash
# A bounded part of the randomised run of configured routes, with a fixed seed.
exec "$(dirname "$0")/soak-routes.sh" 7 25
