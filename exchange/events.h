#ifndef EXCHANGE_EVENTS_H
#define EXCHANGE_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Splits a stream of events (text/event-stream) and checks the order of their
 * ids. Only whole events are passed on.
 */
enum evs_fault {
	EVS_OK,
	EVS_NO_ID,
	EVS_ORDER, /* an id that does not follow the one before */
	EVS_TOO_LARGE,
};

struct evs {
	GString *held; /* bytes of an event that is not whole yet */
	size_t scanned;
	uint64_t last_id; /* of the last whole event passed on */
	bool has_last; /* last_id is known */
	uint64_t count; /* events passed on */
	bool mid_event; /* bytes are held */
};

typedef void (*evs_pass)(void *user, const char *data, size_t len);

void evs_init(struct evs *e);
void evs_clear(struct evs *e);
void evs_start_after(struct evs *e, uint64_t id);
void evs_restart(struct evs *e);
enum evs_fault evs_take(struct evs *e, const char *data, size_t len,
			evs_pass pass, void *user);

#endif
