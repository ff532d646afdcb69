#ifndef INVARIANT_H
#define INVARIANT_H

#include <glib.h>

/*
 * Checks a condition that must always hold, also in release builds. If it does
 * not, the process aborts at once, so that clients see a closed connection
 * instead of a wrong answer.
 */
#define INVARIANT(cond, text)                                                  \
	do {                                                                   \
		if (G_UNLIKELY(!(cond)))                                       \
			g_error("invariant broken: %s", text);                 \
	} while (0)

#endif
