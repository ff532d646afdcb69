#include "fleet/member-transfer.h"

#include <string.h>
#include <xxhash.h>

#include "json-check.h"

#define ASK_INTERVAL_MS 300
#define REFRESH_INTERVAL_MS 5000 /* once hardly anybody new is found */
/* A node asks no more often in a row, even if each answer holds new members. */
#define MAX_QUESTIONS 8
/* Answers with at most one new member in so many, in a row, end the questions. */
#define COMPLETE_ONE_IN 20
#define COMPLETE_ANSWERS 2 /* one may come from a node that has just started */
#define MAX_PORT 65535

/* Returns whether to ask another node for its members now. */
bool member_transfer_is_due(const struct member_transfer *t, uint64_t now)
{
	return now >= t->next_at;
}

/* Notes that a node was asked. */
void member_transfer_on_asked(struct member_transfer *t, uint64_t now)
{
	t->asked++;
	t->next_at = now + (t->asked < MAX_QUESTIONS ? ASK_INTERVAL_MS
						     : REFRESH_INTERVAL_MS);
}

/* Handles an answer with so many news about the members, `known` by now. */
void member_transfer_on_answer(struct member_transfer *t, uint64_t now,
			       uint32_t added, uint32_t known)
{
	if (added > known / COMPLETE_ONE_IN) {
		t->confirmed = 0;
		return;
	}
	if (t->confirmed < COMPLETE_ANSWERS)
		t->confirmed++;
	if (t->confirmed < COMPLETE_ANSWERS)
		return;
	t->next_at = now + REFRESH_INTERVAL_MS;
	t->complete = true;
}

/*
 * Returns whether answers have shown, at any time since the start, that nearly all
 * members are known. Nodes that join later don't change that.
 */
bool member_transfer_is_complete(const struct member_transfer *t)
{
	return t->complete;
}

static const struct member_build *build_at(const struct member_table *m,
					   guint i)
{
	return i < m->members->len
		       ? &g_array_index(m->members, struct member_entry, i)
				  .build
		       : &m->self_build;
}

static const struct member_update *update_at(const struct member_table *m,
					     guint i)
{
	return i < m->members->len
		       ? &g_array_index(m->members, struct member_entry, i).info
		       : &m->self;
}

/*
 * Returns a digest of the members that are alive, with this node, and of their builds;
 * it does not depend on their order.
 */
uint64_t member_transfer_digest(const struct member_table *m)
{
	uint64_t digest = 0;

	for (guint i = 0; i <= m->members->len; i++) {
		const struct member_update *u = update_at(m, i);
		const struct member_build *b = build_at(m, i);

		if (u->state != MEMBER_ALIVE)
			continue;
		digest ^= XXH3_64bits_withSeed(u->name, strlen(u->name),
					       u->incarnation);
		if (b->id[0])
			digest ^= XXH3_64bits_withSeed(
				u->name, strlen(u->name),
				XXH3_64bits_withSeed(b->id, strlen(b->id),
						     b->protocol));
	}
	return digest;
}

static void add_build(struct json_object *o, const struct member_build *b)
{
	if (!b->id[0])
		return;
	json_object_array_add(o, json_object_new_string(b->id));
	json_object_array_add(o, json_object_new_int64(b->protocol));
}

/*
 * Returns the members that are alive, and this node, as an array of arrays:
 * name, ip (host byte order), port, incarnation, and of members that have told it
 * build and protocol.
 */
struct json_object *member_transfer_to_json(const struct member_table *m)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i <= m->members->len; i++) {
		const struct member_update *u = update_at(m, i);
		struct json_object *o;

		if (u->state != MEMBER_ALIVE)
			continue;
		o = json_object_new_array();
		json_object_array_add(o, json_object_new_string(u->name));
		json_object_array_add(o, json_object_new_int64(u->addr.ip));
		json_object_array_add(o, json_object_new_int64(u->addr.port));
		json_object_array_add(o, json_object_new_int64(u->incarnation));
		add_build(o, build_at(m, i));
		json_object_array_add(list, o);
	}
	return list;
}

/* Returns the whole number at a place in an array, or -1. */
static int64_t number_at(struct json_object *array, size_t i)
{
	struct json_object *o = json_object_array_get_idx(array, i);

	return json_object_is_type(o, json_type_int) ? json_object_get_int64(o)
						     : -1;
}

static bool parse_member(struct json_object *o, struct member_update *u)
{
	struct json_object *name;
	int64_t ip, port, incarnation;

	if (!json_object_is_type(o, json_type_array))
		return false;
	name = json_object_array_get_idx(o, 0);
	ip = number_at(o, 1);
	port = number_at(o, 2);
	incarnation = number_at(o, 3);
	if (!json_object_is_type(name, json_type_string) ||
	    !json_object_get_string_len(name) ||
	    json_object_get_string_len(name) >= (int)sizeof(u->name) ||
	    ip <= 0 || ip > UINT32_MAX || port <= 0 || port > MAX_PORT ||
	    incarnation < 0 || incarnation > UINT32_MAX)
		return false;
	memset(u, 0, sizeof(*u));
	g_strlcpy(u->name, json_object_get_string(name), sizeof(u->name));
	u->addr.ip = (uint32_t)ip;
	u->addr.port = (uint16_t)port;
	u->incarnation = (uint32_t)incarnation;
	u->state = MEMBER_ALIVE;
	return true;
}

/* Returns whether a build's id can be shown in logs and metrics as it is. */
static bool is_build_id(const char *id)
{
	size_t len = strspn(id, "0123456789abcdefghijklmnopqrstuvwxyz.-");

	return len && !id[len] && len < MEMBER_BUILD_BYTES;
}

/* Returns false if the member has not told its build. */
static bool parse_build(struct json_object *o, struct member_build *b)
{
	struct json_object *id = json_object_array_get_idx(o, 4);
	int64_t protocol = number_at(o, 5);

	if (!json_object_is_type(id, json_type_string) ||
	    !is_build_id(json_object_get_string(id)) || protocol <= 0 ||
	    protocol > UINT32_MAX)
		return false;
	memset(b, 0, sizeof(*b));
	g_strlcpy(b->id, json_object_get_string(id), sizeof(b->id));
	b->protocol = (uint32_t)protocol;
	return true;
}

/*
 * Takes over the members of another node's list, and skips entries that are not
 * well formed. Returns how many of them were news.
 */
uint32_t member_transfer_apply(struct member_table *m, uint64_t now,
			       struct json_object *list)
{
	size_t n = MIN(jcheck_array_length(list),
		       (size_t)MEMBER_TRANSFER_MAX_MEMBERS);
	uint32_t added = 0;

	for (size_t i = 0; i < n; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		struct member_update u;
		struct member_build b;

		if (!parse_member(o, &u))
			continue;
		added += member_learn(m, now, &u);
		if (parse_build(o, &b))
			member_learn_build(m, &u, &b);
	}
	return added;
}
