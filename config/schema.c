#include "config/schema.h"

#define MAX_NAME 64
#define MAX_SHARE 1000
#define MAX_COST 1e9
#define MAX_STEP 11

static const struct jsn_key kind_keys[] = {
	{.name = "name", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "quality_target", .kind = JSN_REAL, .required = true, .min = 0.01, .max = 1},
	{0},
};

static const struct jsn_key general_keys[] = {
	{.name = "deployment", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "kinds", .kind = JSN_OBJECTS, .required = true, .sub = kind_keys},
	{0},
};

static const struct jsn_key server_keys[] = {
	{.name = "address", .kind = JSN_STRING, .required = true, .min = 9, .max = 21},
	{.name = "zone", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{0},
};

static const struct jsn_key rule_keys[] = {
	{.name = "method", .kind = JSN_STRING, .required = true, .min = 3, .max = 16},
	{.name = "path", .kind = JSN_STRING, .required = true, .min = 1, .max = 256},
	{0},
};

static const struct jsn_key service_keys[] = {
	{.name = "name", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "kind", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "servers", .kind = JSN_OBJECTS, .required = true, .sub = server_keys},
	{.name = "idempotent", .kind = JSN_OBJECTS, .sub = rule_keys},
	{.name = "honours_fencing", .kind = JSN_BOOL},
	{.name = "refusal_is_not_run", .kind = JSN_BOOL},
	{0},
};

static const struct jsn_key model_keys[] = {
	{.name = "name", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "version", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "service", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "state", .kind = JSN_STRING, .min = 1, .max = MAX_NAME},
	{.name = "input_cost", .kind = JSN_REAL, .required = true, .min = 0, .max = MAX_COST},
	{.name = "output_cost", .kind = JSN_REAL, .required = true, .min = 0, .max = MAX_COST},
	{.name = "expected_quality", .kind = JSN_REALS, .required = true, .min = 0, .max = 1},
	{0},
};

static const struct jsn_key org_keys[] = {
	{.name = "name", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "key_digest", .kind = JSN_STRING, .required = true, .min = 64, .max = 64},
	{.name = "share", .kind = JSN_REAL, .min = 0.001, .max = MAX_SHARE},
	{.name = "models", .kind = JSN_STRINGS, .required = true},
	{.name = "quality_targets", .kind = JSN_REALS, .min = 0.01, .max = 1},
	{0},
};

static const struct jsn_key rollout_keys[] = {
	{.name = "name", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "from", .kind = JSN_STRING, .required = true, .min = 3, .max = 2 * MAX_NAME},
	{.name = "to", .kind = JSN_STRING, .required = true, .min = 3, .max = 2 * MAX_NAME},
	{.name = "steps", .kind = JSN_ANY, .required = true},
	{.name = "step", .kind = JSN_INT, .required = true, .min = 0, .max = MAX_STEP},
	{.name = "state", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "reason", .kind = JSN_STRING},
	{0},
};

const struct jsn_key cfg_schema_document_keys[] = {
	{.name = "general", .kind = JSN_OBJECT, .required = true, .sub = general_keys},
	{.name = "services", .kind = JSN_OBJECTS, .required = true, .sub = service_keys},
	{.name = "models", .kind = JSN_OBJECTS, .required = true, .sub = model_keys},
	{.name = "organisations", .kind = JSN_OBJECTS, .required = true, .sub = org_keys},
	{.name = "rollouts", .kind = JSN_OBJECTS, .sub = rollout_keys},
	{0},
};

static const struct jsn_key asked_org_keys[] = {
	{.name = "name", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "key", .kind = JSN_STRING, .min = 8, .max = 256},
	{.name = "key_digest", .kind = JSN_STRING, .min = 64, .max = 64},
	{.name = "share", .kind = JSN_REAL, .min = 0.001, .max = MAX_SHARE},
	{.name = "models", .kind = JSN_STRINGS, .required = true},
	{.name = "quality_targets", .kind = JSN_REALS, .min = 0.01, .max = 1},
	{0},
};

static const struct jsn_key asked_service_keys[] = {
	{.name = "name", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "kind", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "servers", .kind = JSN_OBJECTS, .required = true, .sub = server_keys},
	{.name = "non_idempotent", .kind = JSN_OBJECTS, .sub = rule_keys},
	{.name = "idempotent", .kind = JSN_OBJECTS, .sub = rule_keys},
	{.name = "honours_fencing", .kind = JSN_BOOL},
	{.name = "refusal_is_not_run", .kind = JSN_BOOL},
	{0},
};

const struct jsn_key cfg_schema_questionnaire_keys[] = {
	{.name = "deployment", .kind = JSN_STRING, .required = true, .min = 1, .max = MAX_NAME},
	{.name = "kinds", .kind = JSN_OBJECTS, .required = true, .sub = kind_keys},
	{.name = "services", .kind = JSN_OBJECTS, .required = true, .sub = asked_service_keys},
	{.name = "models", .kind = JSN_OBJECTS, .required = true, .sub = model_keys},
	{.name = "organisations", .kind = JSN_OBJECTS, .required = true, .sub = asked_org_keys},
	{0},
};
