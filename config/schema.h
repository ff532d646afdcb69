#ifndef CONFIG_SCHEMA_H
#define CONFIG_SCHEMA_H

#include "json-check.h"

/* Keys of the configuration document and of the questionnaire, with checks. */
extern const struct jcheck_key cfg_schema_document_keys[];
extern const struct jcheck_key cfg_schema_questionnaire_keys[];

#endif
