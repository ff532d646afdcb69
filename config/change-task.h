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
struct cfg_change_request {
	struct store_client *store;
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

enum cfg_change_error {
	CFG_CHANGE_ERROR_NOT_APPLIED, /* out of reach; nothing was changed */
	CFG_CHANGE_ERROR_OUTCOME_UNKNOWN, /* out of reach; the change may take effect */
	CFG_CHANGE_ERROR_CONFLICT, /* another change came first */
};

#define CFG_CHANGE_ERROR (cfg_change_error_quark())
GQuark cfg_change_error_quark(void);

void cfg_change_start(const struct cfg_change_request *request);

#endif
