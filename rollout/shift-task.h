#ifndef ROLLOUT_SHIFT_TASK_H
#define ROLLOUT_SHIFT_TASK_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/feed.h"
#include "rollout/shift.h"
#include "wire/fleet-codec.h"

struct gwy;

/*
 * The roll-out orders that this node knows: counts for them, judges them
 * while it is the first in rank, and writes how they ended.
 */
struct sht;

struct sht *sht_new(struct gwy *g);
void sht_on_order(struct sht *t, uint64_t now,
		  const struct feed_rollout *order);
void sht_on_gone(struct sht *t, const char *service);
void sht_tick(struct sht *t, uint64_t now);
void sht_on_report(struct sht *t, uint64_t now, const struct wfl_report *r);
void sht_on_plan(struct sht *t, uint64_t now, const struct wfl_plan *p);

void sht_note_session(struct sht *t, uint64_t now, const char *service,
		      uint64_t session, const char *version);
bool sht_take_sessions(struct sht *t, uint32_t i, struct wfl_sessions *out);
void sht_on_sessions(struct sht *t, uint64_t now, const struct wfl_sessions *s);
uint64_t sht_version_hash(const char *version);
uint32_t sht_count(const struct sht *t);
struct sft *sht_at(const struct sht *t, uint32_t i);
bool sht_is_open(const struct sht *t, uint32_t i);
struct sft *sht_find(const struct sht *t, const char *service);
void sht_fill_report(struct sht *t, const struct sft *s, uint64_t now,
		     struct wfl_report *r);
struct json_object *sht_orders_json(const struct sht *t);

#endif
