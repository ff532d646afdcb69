#include "verdict.h"

/* Returns the name that answers, logs and records use for a verdict. */
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
 * Joins the verdicts of two attempts at one request: "not run" holds only if
 * it holds for both, and "ran" of either one is certain.
 */
enum verdict_kind verdict_merge(enum verdict_kind a, enum verdict_kind b)
{
	return a > b ? a : b;
}
