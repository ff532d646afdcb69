#include "daemon/pause.h"

/* The loop's timer runs ten times a second; a busy loop may miss a few. */
#define MIN_PAUSE_MS 1000

/*
 * Notes that the process runs at `now`. Returns for how many ms it did not, 0 if
 * that is too short to count as a pause.
 */
uint64_t pause_watch_check(struct pause_watch *p, uint64_t now)
{
	uint64_t gap_ms = p->seen_at ? now - p->seen_at : 0;

	p->seen_at = now;
	return gap_ms >= MIN_PAUSE_MS ? gap_ms : 0;
}
