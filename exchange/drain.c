#include "exchange/drain.h"

#include <glib.h>

#define EXIT_MARGIN_MS 400 /* exit this long before the grace period is over */
#define ANSWER_MARGIN_MS 100 /* for the answer to reach the client */
/*
 * How long the balancer may go on without noticing, at most a share of the grace
 * period: requests that usually end sooner than they may are started until then.
 */
#define UNNOTICED_MS 2500
#define UNNOTICED_DIVISOR 3

/* Returns how long after the signal the node exits, in ms. */
uint64_t drain_exit_ms(uint64_t grace_ms)
{
	return grace_ms > EXIT_MARGIN_MS ? grace_ms - EXIT_MARGIN_MS : 0;
}

/*
 * Returns whether a request may be started that takes takes_ms at most. One that
 * may outlast the node is only started while the balancer may not know that the
 * node stops: later it would run and have no answer.
 */
bool drain_may_start(const struct drain *d, uint64_t takes_ms)
{
	return d->elapsed_ms + takes_ms + ANSWER_MARGIN_MS <=
		       drain_exit_ms(d->grace_ms) ||
	       d->elapsed_ms <=
		       MIN(UNNOTICED_MS, d->grace_ms / UNNOTICED_DIVISOR);
}
