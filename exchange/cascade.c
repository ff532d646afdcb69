#include "exchange/cascade.h"

#include <glib.h>
#include <string.h>

#define DEFAULT_QUALITY_TARGET 0.75
/*
 * An answer expected within this share of the time left is certain to be in
 * time; beyond it, the chance falls by the slope times the further share.
 */
#define CERTAIN_SHARE 0.1
#define CHANCE_SLOPE 2.5

/*
 * Parses quality targets by priority, such as "0.9,0.75". NULL gives the
 * default target. Returns false if the text is not a list of 1 to
 * CASCADE_MAX_TARGETS numbers between 0 and 1.
 */
bool cascade_parse(struct cascade_targets *c, const char *text)
{
	memset(c, 0, sizeof(*c));
	if (!text) {
		c->target[c->n++] = DEFAULT_QUALITY_TARGET;
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

/*
 * Returns the quality target of a priority, 0 to 1; the last target of the list
 * holds for all further priorities.
 */
double cascade_target(const struct cascade_targets *c, uint32_t priority)
{
	return c->target[MIN(priority, c->n - 1)];
}

/*
 * Returns the index of the model that is asked first: the smallest one, or the
 * largest if the quality target is 1.
 */
size_t cascade_first_model(const struct cascade_targets *c,
			   const struct route_entry *route)
{
	return cascade_target(c, route->priority) < 1 ? 0 : route->n_models - 1;
}

/*
 * Returns the chance, 0 to 1, that an answer expected after expected_ms arrives
 * within left_ms. It is estimated low on purpose: a server with a long delay
 * has many requests that one more would delay further.
 */
double cascade_chance_in_time(double left_ms, double expected_ms)
{
	if (left_ms <= 0)
		return 0;
	return CLAMP(1 + CHANCE_SLOPE * (CERTAIN_SHARE - expected_ms / left_ms),
		     0, 1);
}

/*
 * Returns true if the answer of a model is to be kept whatever a larger model
 * could do: its confidence, 0 to 100, reaches the target, it has none (NULL),
 * or there is no larger model.
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
 * Decides whether to escalate, by the model's confidence in its answer and the
 * chance, 0 to 1, that the answer of the largest model arrives in time.
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

/* Returns the name of a choice as logs show it. */
const char *cascade_choice_name(enum cascade_choice choice)
{
	static const char *const names[] = {"good", "drop", "keep-late",
					    "keep-last", "keep-budget"};

	return names[choice];
}
