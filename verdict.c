#include "verdict.h"

/* Returns a verdict's static name for responses, logs and stored records. */
const char *verdict_name(enum verdict_kind v)
{
	switch (v) {
	case VERDICT_NOT_RUN:
		return "not-run";
	case VERDICT_MAY_HAVE_RUN:
		return "may-have-run";
	case VERDICT_RAN:
		return "ran";
	}
	return "may-have-run";
}

/*
 * Returns the verdict of a request from those of two attempts: "not run" only
 * if neither ran, "ran" if either one did, else "may have run".
 */
enum verdict_kind verdict_merge(enum verdict_kind a, enum verdict_kind b)
{
	return a > b ? a : b;
}
