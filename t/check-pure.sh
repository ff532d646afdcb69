#!/usr/bin/env bash
# Checks that the modules that make decisions are pure:
# check-pure.sh SOURCES -- OBJECTS. Neither their includes nor their undefined
# symbols may name an event loop, socket, clock or source of random numbers, and
# they may hold no writable global state.
set -u
sources=() objects=() list=sources
for arg in "$@"; do
	if [ "$arg" = -- ]; then
		list=objects
	elif [ "$list" = sources ]; then
		sources+=("$arg")
	else
		objects+=("$arg")
	fi
done
bad=0
includes='#include [<"](uv\.h|h2o|sys/socket\.h|netinet|arpa|time\.h|sys/time\.h|sys/random\.h|pthread\.h|http/|daemon/|api/|.*-task\.h)'
if grep -nE "$includes" "${sources[@]}"; then
	echo "check-pure: includes that pure modules must not have"
	bad=1
fi
symbols='^(uv_|h2o_|socket$|connect$|bind$|listen$|accept|send|recv|poll$|epoll|select$|time$|clock|gettimeofday|getrandom|random$|rand$|rand_r|srand|drand48|getenv$|open$|fopen|pthread_|g_get_real_time|g_get_monotonic_time|g_random_|g_date_time_new_now|fork$|exec|usleep|sleep$)'
for object in "${objects[@]}"; do
	found=$(nm -u "$object" | awk '{print $NF}' | sed 's/@.*//' |
		grep -E "$symbols")
	if [ -n "$found" ]; then
		echo "check-pure: $object uses" $found
		bad=1
	fi
	# Constant tables of pointers are in .data.rel.ro and are not counted. The
	# static variable "q" of a GError domain is set once, to a fixed quark.
	found=$(objdump -t "$object" |
		awk '$0 ~ /[ \t]O?[ \t]*\.(data|bss|tdata|tbss)\t/ {print $NF}' |
		grep -vE '^(q\.[0-9]+|\.data|\.bss|__.*|\.L.*)$')
	if [ -n "$found" ]; then
		echo "check-pure: $object has global state:" $found
		bad=1
	fi
done
[ "$bad" = 0 ] && echo "check-pure: ${#objects[@]} objects have no sockets, clocks or global state"
exit "$bad"
