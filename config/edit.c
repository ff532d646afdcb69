#include "config/edit.h"

#include <string.h>

#include "config/config.h"
#include "json-check.h"

static bool error_not_found(const char *what, const char *name, GError **err)
{
	g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID, "%s '%s' does not exist",
		    what, name);
	return false;
}

static struct json_object *find_version(struct json_object *doc,
					const char *version)
{
	struct json_object *list = jcheck_get(doc, "models");

	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);
		g_autofree char *name = g_strdup_printf(
			"%s@%s", jcheck_get_string(row, "name", ""),
			jcheck_get_string(row, "version", ""));

		if (!strcmp(name, version))
			return row;
	}
	return NULL;
}

static struct json_object *find_rollout(struct json_object *doc,
					const char *name)
{
	struct json_object *list = jcheck_get(doc, "rollouts");

	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);

		if (!strcmp(jcheck_get_string(row, "name", ""), name))
			return row;
	}
	return NULL;
}

/* Withdraws a version: it gets no new requests, not even of open sessions. */
bool cfg_edit_withdraw_version(struct json_object *doc, const char *version,
			       GError **err)
{
	struct json_object *row = find_version(doc, version);

	if (!row)
		return error_not_found("version", version, err);
	jcheck_add_string(row, "state", "withdrawn");
	return true;
}

static struct json_object *get_or_add_rollouts(struct json_object *doc)
{
	struct json_object *list = jcheck_get(doc, "rollouts");

	if (list)
		return list;
	list = json_object_new_array();
	json_object_object_add(doc, "rollouts", list);
	return list;
}

static void remove_rollout(struct json_object *doc, const char *name,
			   const char *to)
{
	struct json_object *list = get_or_add_rollouts(doc);

	for (size_t i = jcheck_array_length(list); i > 0; i--) {
		struct json_object *row =
			json_object_array_get_idx(list, i - 1);

		if (!strcmp(jcheck_get_string(row, "name", ""), name) ||
		    !strcmp(jcheck_get_string(row, "to", ""), to))
			json_object_array_del_idx(list, i - 1, 1);
	}
}

/*
 * Adds a roll-out at its first step; `steps` are shares of requests, 0 to 1.
 * Replaces roll-outs of the same name or to the same version. Fails if the one
 * of that name is running, a version does not exist, or `to` is withdrawn.
 */
bool cfg_edit_start_rollout(struct json_object *doc, const char *name,
			    const char *from, const char *to,
			    const double *steps, size_t n_steps, GError **err)
{
	struct json_object *running = find_rollout(doc, name);
	struct json_object *version = find_version(doc, to);
	struct json_object *row, *list;

	if (!version)
		return error_not_found("version", to, err);
	if (!find_version(doc, from))
		return error_not_found("version", from, err);
	if (running &&
	    !strcmp(jcheck_get_string(running, "state", ""), "running")) {
		g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
			    "roll-out '%s' is already running", name);
		return false;
	}
	if (!strcmp(jcheck_get_string(version, "state", "serving"),
		    "withdrawn")) {
		g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
			    "version '%s' is withdrawn", to);
		return false;
	}
	remove_rollout(doc, name, to);
	jcheck_add_string(version, "state", "candidate");
	row = json_object_new_object();
	jcheck_add_string(row, "name", name);
	jcheck_add_string(row, "from", from);
	jcheck_add_string(row, "to", to);
	list = json_object_new_array();
	for (size_t i = 0; i < n_steps; i++)
		json_object_array_add(list, json_object_new_double(steps[i]));
	json_object_object_add(row, "steps", list);
	json_object_object_add(row, "step", json_object_new_int(0));
	jcheck_add_string(row, "state", "running");
	jcheck_add_string(row, "reason", "");
	json_object_array_add(get_or_add_rollouts(doc), row);
	return true;
}

/*
 * Sets state ("running", "paused" or "done") and reason of a roll-out. Fails
 * if it is stopped, which is final.
 */
bool cfg_edit_set_rollout_state(struct json_object *doc, const char *name,
				const char *state, const char *reason,
				GError **err)
{
	struct json_object *row = find_rollout(doc, name);

	if (!row)
		return error_not_found("roll-out", name, err);
	if (!strcmp(jcheck_get_string(row, "state", ""), "stopped")) {
		g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
			    "roll-out '%s' is stopped: %s", name,
			    jcheck_get_string(row, "reason", ""));
		return false;
	}
	jcheck_add_string(row, "state", state);
	jcheck_add_string(row, "reason", reason);
	return true;
}

/* Sets the current step of a roll-out, an index into its steps. */
bool cfg_edit_set_rollout_step(struct json_object *doc, const char *name,
			       size_t step, GError **err)
{
	struct json_object *row = find_rollout(doc, name);

	if (!row)
		return error_not_found("roll-out", name, err);
	json_object_object_add(row, "step", json_object_new_int((int)step));
	return true;
}

/* Completes a roll-out; its new version then serves like any other. */
bool cfg_edit_finish_rollout(struct json_object *doc, const char *name,
			     GError **err)
{
	struct json_object *row = find_rollout(doc, name);
	struct json_object *version;

	if (!row)
		return error_not_found("roll-out", name, err);
	version = find_version(doc, jcheck_get_string(row, "to", ""));
	if (!version)
		return error_not_found("version",
				       jcheck_get_string(row, "to", ""), err);
	if (strcmp(jcheck_get_string(version, "state", "serving"),
		   "withdrawn") != 0)
		jcheck_add_string(version, "state", "serving");
	return cfg_edit_set_rollout_state(doc, name, "done", "all steps passed",
					  err);
}

/* Stops a roll-out, which is final, and withdraws its new version. */
bool cfg_edit_stop_rollout(struct json_object *doc, const char *name,
			   const char *reason, GError **err)
{
	struct json_object *row = find_rollout(doc, name);

	if (!row)
		return error_not_found("roll-out", name, err);
	jcheck_add_string(row, "state", "stopped");
	jcheck_add_string(row, "reason", reason);
	return cfg_edit_withdraw_version(doc, jcheck_get_string(row, "to", ""),
					 err);
}
