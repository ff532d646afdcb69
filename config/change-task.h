#ifndef CONFIG_CHANGE_TASK_H
#define CONFIG_CHANGE_TASK_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "store/store-task.h"

/*
 * Changes the stored configuration: reads it, edits it, writes the new
 * sections and moves the head by a conditional update. If the answer to a
 * write is lost, the head is read back: it lists the operation id if the
 * change took effect.
 */
struct cfg_change_request {
	struct store_client *store;
	uv_loop_t *loop;
	const char *operation; /* unique to this change */
	/*
	 * Returns the new document, or NULL and sets an error. `doc` is the
	 * stored one, or NULL if there is none; the function owns it.
	 */
	struct json_object *(*edit)(struct json_object *doc, void *user,
				    GError **err);
	/* Whether to edit again if another change is stored first. */
	bool rebase;
	void *user;
	/* Called once; `revision` is the stored one, 0 on an error. */
	void (*done)(void *user, uint64_t revision, const GError *err);
};

enum cfg_change_error {
	CFG_CHANGE_ERROR_NOT_APPLIED, /* the store failed; nothing was changed */
	CFG_CHANGE_ERROR_OUTCOME_UNKNOWN, /* it failed; the change may be applied */
	CFG_CHANGE_ERROR_CONFLICT, /* another change was stored first */
};

#define CFG_CHANGE_ERROR (cfg_change_error_quark())
GQuark cfg_change_error_quark(void);

void cfg_change_start(const struct cfg_change_request *request);

#endif
