#include "exchange/cascade.h"

#include <glib.h>
#include <string.h>

#define DEFAULT_TARGET 0.75
#define SURE_SHARE 0.1 /* of the time left: surely on time */
#define STEEPNESS 2.5 /* loss of chance for each further share */

/*
 * Reads targets by priority, "0.9,0.75". NULL is a list of one. False: the
 * text is no such list.
 */
bool cascade_parse(struct cascade_targets *c, const char *text)
{
	memset(c, 0, sizeof(*c));
	if (!text) {
		c->target[c->n++] = DEFAULT_TARGET;
		return true;
	}
	while (c->n < CASCADE_MAX_TARGETS) {
		char *end;
		double v = g_ascii_strtod(text, &end);

		if (end == text || v < 0 || v > 1)
			return false;
		c->target[c->n++] = v;
		if (!*end)
			return true;
		if (*end != ',')
			return false;
		text = end + 1;
	}
	return false;
}

/* Returns the quality wanted for a priority. */
double cascade_target(const struct cascade_targets *c, uint32_t priority)
{
	return c->target[MIN(priority, c->n - 1)];
}

/* Returns which of the route's models is asked first. */
size_t cascade_first_model(const struct cascade_targets *c,
			   const struct route_entry *route)
{
	return cascade_target(c, route->priority) < 1 ? 0 : route->n_models - 1;
}

/*
 * Returns the chance, 0 to 1, that an answer expected after expected_ms comes
 * within left_ms, lowered by what the request would cost others: a server
 * where the delay is long has many to delay further.
 */
double cascade_chance_in_time(double left_ms, double expected_ms)
{
	if (left_ms <= 0)
		return 0;
	return CLAMP(1 + STEEPNESS * (SURE_SHARE - expected_ms / left_ms), 0,
		     1);
}

/*
 * Tells whether an answer is kept whatever a larger model could do, by its
 * model's own opinion of it, 0 to 100: it is wanted no better, there is no
 * larger model, or it has no opinion.
 */
bool cascade_is_good_enough(const struct cascade_targets *c,
			    const struct route_entry *route, size_t model,
			    const char *confidence)
{
	return !confidence || model + 1 >= route->n_models ||
	       g_ascii_strtod(confidence, NULL) >=
		       100 * cascade_target(c, route->priority);
}

/*
 * Tells what is to become of an answer, by that opinion and the chance that one
 * of the largest model comes on time.
 */
enum cascade_choice cascade_decide(const struct cascade_targets *c,
				   const struct route_entry *route,
				   size_t model, const char *confidence,
				   double chance)
{
	if (cascade_is_good_enough(c, route, model, confidence))
		return CASCADE_KEEP_GOOD;
	return g_ascii_strtod(confidence, NULL) <
			       100 * cascade_target(c, route->priority) * chance
		       ? CASCADE_ESCALATE
		       : CASCADE_KEEP_TOO_LATE;
}

/* Returns a choice's name for logs. */
const char *cascade_choice_name(enum cascade_choice choice)
{
	static const char *const names[] = {"good", "drop", "keep-late",
					    "keep-last", "keep-budget"};

	return names[choice];
}
