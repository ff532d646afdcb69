#ifndef VERDICT_H
#define VERDICT_H

/*
 * Whether a request may have run at a backend server. Every refusal and every
 * answer carries a verdict, from the call to the backend server up to the
 * response to the client. Values are in the order that verdict_merge needs.
 */
enum verdict_kind {
	VERDICT_NOT_RUN,
	VERDICT_MAY_HAVE_RUN,
	VERDICT_RAN,
};

const char *verdict_name(enum verdict_kind v);
enum verdict_kind verdict_merge(enum verdict_kind a, enum verdict_kind b);

#endif
