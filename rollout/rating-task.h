#ifndef ROLLOUT_RATING_TASK_H
#define ROLLOUT_RATING_TASK_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

struct node;

/*
 * Collects evidence on versions at this node: sends answers to the rating
 * service, counts good and bad answers, and withholds a version of which too
 * many answers wait for their ratings.
 */
struct rating_collector;

/* An answer to be counted or rated; the callee copies the strings it keeps. */
struct rating_sample {
	const char *version;
	const char *kind; /* of request, as configured */
	const char *rollout; /* to which the request was assigned, or NULL */
	const char *request;
	const char *answer;
	double target; /* a lower rating is bad; 0 to 1 */
};

/* `rating` is valid, from 0 to 1, if `rated` is true. */
typedef void (*rating_callback)(void *user, bool rated, double rating);

struct rating_collector *rating_new(struct node *n);
bool rating_is_available(const struct rating_collector *t, uint64_t now);
uint64_t rating_withheld_versions(const struct rating_collector *t);
void rating_request(struct rating_collector *t,
		    const struct rating_sample *sample, rating_callback done,
		    void *user);
void rating_on_delivered(struct rating_collector *t,
			 const struct rating_sample *sample,
			 double first_token_ms);
void rating_on_failed(struct rating_collector *t, const char *version);
struct json_object *rating_evidence_json(const struct rating_collector *t);

#endif
