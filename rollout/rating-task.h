#ifndef ROLLOUT_RATING_TASK_H
#define ROLLOUT_RATING_TASK_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

struct node;

/*
 * Gathers evidence on versions at this node: has answers rated, counts what
 * was good and bad, and holds back a version whose ratings lag.
 */
struct rating_collector;

/* An answer as the evidence sees it. */
struct rating_sample {
	const char *version;
	const char *kind;
	const char *rollout; /* NULL: none */
	const char *request;
	const char *answer;
	double target;
};

typedef void (*rating_callback)(void *user, bool rated, double rating);

struct rating_collector *rating_new(struct node *n);
bool rating_is_available(const struct rating_collector *t, uint64_t now);
uint64_t rating_withheld_versions(const struct rating_collector *t);
void rating_request(struct rating_collector *t,
		    const struct rating_sample *sample, rating_callback done,
		    void *user);
void rating_on_delivered(struct rating_collector *t,
			 const struct rating_sample *sample, double first_ms);
void rating_on_failed(struct rating_collector *t, const char *version);
struct json_object *rating_evidence_json(const struct rating_collector *t);

#endif
