#ifndef CONFIG_CHANGE_TASK_H
#define CONFIG_CHANGE_TASK_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "store/store-task.h"

/*
 * Changes the stored configuration: reads it, edits it, writes the sections
 * that are new and moves the head by conditional update. A lost answer is
 * settled by reading the head back and looking for the operation id.
 */
struct chg_request {
	struct sto *store;
	uv_loop_t *loop;
	const char *operation; /* unique to this change */
	/*
	 * Returns the new document, or NULL and an error. `doc` is the stored
	 * one, NULL if there is none; the edit owns it.
	 */
	struct json_object *(*edit)(struct json_object *doc, void *user,
				    GError **err);
	/* Whether the edit is made again on what another one has stored. */
	bool rebase;
	void *user;
	void (*done)(void *user, uint64_t revision, const GError *err);
};

enum chg_error {
	CHG_ERROR_STORE, /* out of reach; nothing was changed */
	CHG_ERROR_UNKNOWN, /* out of reach; the change may take effect */
	CHG_ERROR_RACE, /* another change came first */
};

#define CHG_ERROR (chg_error_quark())
GQuark chg_error_quark(void);

void chg_start(const struct chg_request *request);

#endif
