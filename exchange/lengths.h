#ifndef EXCHANGE_LENGTHS_H
#define EXCHANGE_LENGTHS_H

#include <glib.h>
#include <stdint.h>

/* How many events the streams of each route have, as seen of late. */
struct len {
	GHashTable *routes; /* name -> double */
};

void len_init(struct len *l);
void len_note(struct len *l, const char *route, uint64_t events);
double len_mean(const struct len *l, const char *route);

#endif
