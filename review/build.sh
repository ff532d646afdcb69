#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/: the project's store
# and the review's client and server.
set -eu
cd "$(dirname "$0")/.."
make --no-print-directory BUILD=target target/t/objects
mkdir -p target/review
for name in client server; do
	"${CC:-gcc}" -std=gnu11 -O2 -Wall -Wextra -o "target/review/$name" "review/$name.c" -lpthread
done
