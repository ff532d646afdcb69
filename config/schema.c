#include "config/schema.h"

/* The bounds of a string are its length in bytes; see json-check.h. */
#define MAX_NAME_BYTES 64
#define MAX_SHARE 1000 /* weight of an organisation */
#define MAX_COST 1e9 /* micro-units per 1000 tokens */
#define MAX_STEP_INDEX 11 /* CFG_MAX_STEPS - 1 */

static const struct jcheck_key kind_keys[] = {
	{.name = "name", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "quality_target", .kind = JCHECK_REAL, .required = true, .min = 0.01, .max = 1},
	{0},
};

static const struct jcheck_key general_keys[] = {
	{.name = "deployment", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "kinds", .kind = JCHECK_OBJECTS, .required = true, .sub = kind_keys},
	{0},
};

static const struct jcheck_key server_keys[] = {
	{.name = "address", .kind = JCHECK_STRING, .required = true, .min = 9, .max = 21},
	{.name = "zone", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{0},
};

static const struct jcheck_key rule_keys[] = {
	{.name = "method", .kind = JCHECK_STRING, .required = true, .min = 3, .max = 16},
	{.name = "path", .kind = JCHECK_STRING, .required = true, .min = 1, .max = 256},
	{0},
};

static const struct jcheck_key service_keys[] = {
	{.name = "name", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "kind", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "servers", .kind = JCHECK_OBJECTS, .required = true, .sub = server_keys},
	{.name = "idempotent", .kind = JCHECK_OBJECTS, .sub = rule_keys},
	{.name = "honours_fencing", .kind = JCHECK_BOOL},
	{.name = "refusal_is_not_run", .kind = JCHECK_BOOL},
	{0},
};

static const struct jcheck_key model_keys[] = {
	{.name = "name", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "version", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "service", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "state", .kind = JCHECK_STRING, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "input_cost", .kind = JCHECK_REAL, .required = true, .min = 0, .max = MAX_COST},
	{.name = "output_cost", .kind = JCHECK_REAL, .required = true, .min = 0, .max = MAX_COST},
	{.name = "expected_quality", .kind = JCHECK_REALS, .required = true, .min = 0, .max = 1},
	{0},
};

static const struct jcheck_key org_keys[] = {
	{.name = "name", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "key_digest", .kind = JCHECK_STRING, .required = true, .min = 64, .max = 64},
	{.name = "share", .kind = JCHECK_REAL, .min = 0.001, .max = MAX_SHARE},
	{.name = "models", .kind = JCHECK_STRINGS, .required = true},
	{.name = "quality_targets", .kind = JCHECK_REALS, .min = 0.01, .max = 1},
	{0},
};

static const struct jcheck_key rollout_keys[] = {
	{.name = "name", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "from", .kind = JCHECK_STRING, .required = true, .min = 3, .max = 2 * MAX_NAME_BYTES},
	{.name = "to", .kind = JCHECK_STRING, .required = true, .min = 3, .max = 2 * MAX_NAME_BYTES},
	{.name = "steps", .kind = JCHECK_ANY, .required = true},
	{.name = "step", .kind = JCHECK_INT, .required = true, .min = 0, .max = MAX_STEP_INDEX},
	{.name = "state", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "reason", .kind = JCHECK_STRING},
	{0},
};

const struct jcheck_key cfg_schema_document_keys[] = {
	{.name = "general", .kind = JCHECK_OBJECT, .required = true, .sub = general_keys},
	{.name = "services", .kind = JCHECK_OBJECTS, .required = true, .sub = service_keys},
	{.name = "models", .kind = JCHECK_OBJECTS, .required = true, .sub = model_keys},
	{.name = "organisations", .kind = JCHECK_OBJECTS, .required = true, .sub = org_keys},
	{.name = "rollouts", .kind = JCHECK_OBJECTS, .sub = rollout_keys},
	{0},
};

static const struct jcheck_key questionnaire_org_keys[] = {
	{.name = "name", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "key", .kind = JCHECK_STRING, .min = 8, .max = 256},
	{.name = "key_digest", .kind = JCHECK_STRING, .min = 64, .max = 64},
	{.name = "share", .kind = JCHECK_REAL, .min = 0.001, .max = MAX_SHARE},
	{.name = "models", .kind = JCHECK_STRINGS, .required = true},
	{.name = "quality_targets", .kind = JCHECK_REALS, .min = 0.01, .max = 1},
	{0},
};

static const struct jcheck_key questionnaire_service_keys[] = {
	{.name = "name", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "kind", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "servers", .kind = JCHECK_OBJECTS, .required = true, .sub = server_keys},
	{.name = "non_idempotent", .kind = JCHECK_OBJECTS, .sub = rule_keys},
	{.name = "idempotent", .kind = JCHECK_OBJECTS, .sub = rule_keys},
	{.name = "honours_fencing", .kind = JCHECK_BOOL},
	{.name = "refusal_is_not_run", .kind = JCHECK_BOOL},
	{0},
};

const struct jcheck_key cfg_schema_questionnaire_keys[] = {
	{.name = "deployment", .kind = JCHECK_STRING, .required = true, .min = 1, .max = MAX_NAME_BYTES},
	{.name = "kinds", .kind = JCHECK_OBJECTS, .required = true, .sub = kind_keys},
	{.name = "services", .kind = JCHECK_OBJECTS, .required = true, .sub = questionnaire_service_keys},
	{.name = "models", .kind = JCHECK_OBJECTS, .required = true, .sub = model_keys},
	{.name = "organisations", .kind = JCHECK_OBJECTS, .required = true, .sub = questionnaire_org_keys},
	{0},
};
