#ifndef EXCHANGE_LOAD_REPORT_H
#define EXCHANGE_LOAD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_REPORT_MAX_REQUESTS                                               \
	1000000 /* running, and waiting, at one server */
#define LOAD_REPORT_MAX_SLOTS UINT16_MAX
#define LOAD_REPORT_MAX_PERCENT 1000000

/* What a server says of its load with an answer. */
struct load_report {
	uint32_t running; /* requests */
	uint32_t waiting; /* requests */
	uint32_t slots; /* 0: not known */
	uint32_t percent; /* time that work takes, of the usual; 0: not told */
};

bool load_report_parse(const char *text, struct load_report *r);

#endif
