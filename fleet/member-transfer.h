#ifndef FLEET_MEMBER_TRANSFER_H
#define FLEET_MEMBER_TRANSFER_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "member/member.h"

/*
 * Nodes ask each other for their members: often after the start, until an
 * answer holds hardly anybody new, and seldom later. By gossip alone it would
 * take minutes until each node of a large fleet knows all others, and until
 * then it would take itself for one of a few nodes. Pure; times in ms.
 */
#define MEMBER_TRANSFER_MAX_MEMBERS 4096 /* longer lists are cut off */

/* When to ask. Initialise with zeroes. */
struct member_transfer {
	uint32_t asked;
	uint64_t next_at; /* earliest time of the next question */
	uint32_t confirmed; /* latest answers in a row with hardly any news */
	bool complete; /* these were enough once */
};

bool member_transfer_is_due(const struct member_transfer *t, uint64_t now);
void member_transfer_on_asked(struct member_transfer *t, uint64_t now);
void member_transfer_on_answer(struct member_transfer *t, uint64_t now,
			       uint32_t added, uint32_t known);
bool member_transfer_is_complete(const struct member_transfer *t);
uint64_t member_transfer_digest(const struct member_table *m);
struct json_object *member_transfer_to_json(const struct member_table *m);
uint32_t member_transfer_apply(struct member_table *m, uint64_t now,
			       struct json_object *list);

#endif
