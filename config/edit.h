#ifndef CONFIG_EDIT_H
#define CONFIG_EDIT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Edits of a configuration document, in place. Each returns false and sets an
 * error if the document does not allow it.
 */
bool cfg_edit_withdraw_version(struct json_object *doc, const char *version,
			       GError **err);
bool cfg_edit_start_rollout(struct json_object *doc, const char *name,
			    const char *from, const char *to,
			    const double *steps, size_t n_steps, GError **err);
bool cfg_edit_set_rollout_state(struct json_object *doc, const char *name,
				const char *state, const char *reason,
				GError **err);
bool cfg_edit_set_rollout_step(struct json_object *doc, const char *name,
			       size_t step, GError **err);
bool cfg_edit_finish_rollout(struct json_object *doc, const char *name,
			     GError **err);
bool cfg_edit_stop_rollout(struct json_object *doc, const char *name,
			   const char *reason, GError **err);

#endif
