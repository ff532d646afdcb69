#include "exchange/evacuations.h"

static GHashTable *new_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Initialises an empty set of revision 0. */
void evacuations_init(struct evacuations *e)
{
	e->zones = new_set();
	e->staged = NULL;
	e->revision = 0;
	e->changes = 0;
}

static void drop_staged(struct evacuations *e)
{
	if (e->staged)
		g_hash_table_unref(e->staged);
	e->staged = NULL;
}

/* Frees the set. */
void evacuations_clear(struct evacuations *e)
{
	drop_staged(e);
	g_hash_table_unref(e->zones);
}

/* Returns whether a zone is evacuated; NULL is none. */
bool evacuations_has(const struct evacuations *e, const char *zone)
{
	return zone && g_hash_table_contains(e->zones, zone);
}

/* Returns the number of evacuated zones. */
uint32_t evacuations_count(const struct evacuations *e)
{
	return g_hash_table_size(e->zones);
}

/* Returns the names of the evacuated zones, owned by the set, in a new array. */
GPtrArray *evacuations_list(const struct evacuations *e)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *zone;

	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, &zone, NULL))
		g_ptr_array_add(list, zone);
	return list;
}

/* Starts a complete listing: only zones staged from now on are evacuated. */
void evacuations_begin_listing(struct evacuations *e)
{
	drop_staged(e);
	e->staged = new_set();
}

static GHashTable *copy_of(GHashTable *set)
{
	GHashTable *copy = new_set();
	GHashTableIter it;
	void *zone;

	g_hash_table_iter_init(&it, set);
	while (g_hash_table_iter_next(&it, &zone, NULL))
		g_hash_table_add(copy, g_strdup(zone));
	return copy;
}

/* Notes a change that is in force from evacuations_commit() on. */
void evacuations_stage(struct evacuations *e, const char *zone, bool evacuated)
{
	if (!e->staged)
		e->staged = copy_of(e->zones);
	if (evacuated)
		g_hash_table_add(e->staged, g_strdup(zone));
	else
		g_hash_table_remove(e->staged, zone);
}

static bool same_zones(GHashTable *a, GHashTable *b)
{
	GHashTableIter it;
	void *zone;

	if (g_hash_table_size(a) != g_hash_table_size(b))
		return false;
	g_hash_table_iter_init(&it, a);
	while (g_hash_table_iter_next(&it, &zone, NULL))
		if (!g_hash_table_contains(b, zone))
			return false;
	return true;
}

/* Takes a set over. Returns true if the zones have changed. */
static bool take_over(struct evacuations *e, GHashTable *zones)
{
	if (same_zones(zones, e->zones)) {
		g_hash_table_unref(zones);
		return false;
	}
	g_hash_table_unref(e->zones);
	e->zones = zones;
	e->changes++;
	return true;
}

/*
 * Puts a whole set of a revision in force, which another node has told, unless the
 * known one is as late already. Staged changes are kept. Returns true if the zones
 * have changed.
 */
bool evacuations_replace(struct evacuations *e, const GPtrArray *zones,
			 uint64_t revision)
{
	GHashTable *set;

	if (revision <= e->revision)
		return false;
	e->revision = revision;
	set = new_set();
	for (guint i = 0; i < zones->len; i++)
		g_hash_table_add(set, g_strdup(zones->pdata[i]));
	return take_over(e, set);
}

/*
 * Puts the staged changes in force, which are all up to a revision, unless the set
 * is as late already. Returns true if the zones have changed.
 */
bool evacuations_commit(struct evacuations *e, uint64_t revision)
{
	bool changed = false;

	if (revision > e->revision) {
		e->revision = revision;
		changed =
			e->staged && take_over(e, g_steal_pointer(&e->staged));
	}
	drop_staged(e);
	return changed;
}
