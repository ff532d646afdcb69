#ifndef STORE_STORE_TASK_H
#define STORE_STORE_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "counters.h"
#include "http/client.h"

/* Client of the platform's object API. */
struct sto;

enum sto_outcome {
	STO_OK,
	STO_ABSENT, /* no such object */
	STO_CONFLICT, /* the condition of a write did not hold */
	STO_UNCHANGED, /* a watch ended without news */
	STO_REFUSED, /* no effect: the call never left */
	STO_UNKNOWN, /* no usable answer: a write may take effect */
};

struct sto_result {
	enum sto_outcome outcome;
	uint64_t etag;
	const char *body;
	size_t len;
};

typedef void (*sto_done)(void *user, const struct sto_result *result);

enum sto_condition {
	STO_IF_ABSENT,
	STO_IF_MATCH,
	STO_ALWAYS, /* for objects with one writer */
};

struct sto *sto_new(struct hc *hc, const char *address, uint32_t timeout_ms,
		    struct ctr *ctr);
void sto_get(struct sto *s, const char *name, sto_done done, void *user);
void sto_put(struct sto *s, const char *name, const char *body, size_t len,
	     enum sto_condition condition, uint64_t etag, sto_done done,
	     void *user);
void sto_watch(struct sto *s, const char *name, uint64_t etag, uint32_t wait_ms,
	       sto_done done, void *user);
void sto_list(struct sto *s, const char *prefix, sto_done done, void *user);
void sto_list_vms(struct sto *s, sto_done done, void *user);
void sto_rate(struct sto *s, const char *json, sto_done done, void *user);
bool sto_is_down(const struct sto *s, uint64_t now);

#endif
