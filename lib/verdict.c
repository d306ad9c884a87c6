/* Names, texts and HTTP statuses of verdicts and their reasons. */
#include <string.h>

#include "lib/verdict.h"

struct reason_row {
	const char *name;
	const char *text;
	int status;
};

static const struct reason_row reasons[REASON_COUNT] = {
	[REASON_NONE] = {"none", "", 503},
	[REASON_BAD_REQUEST] = {"bad_request", "the request is malformed", 400},
	[REASON_BAD_ANSWER] = {"bad_answer",
			       "the upstream's answer was not whole", 502},
	[REASON_BUSY] = {"busy", "every connection or slot is in use", 503},
	[REASON_CONFLICT] = {"conflict", "somebody else changed it first", 409},
	[REASON_CONNECT] = {"connect", "no connection could be opened", 503},
	[REASON_CUT] = {"cut", "the connection ended before the answer", 504},
	[REASON_DEADLINE] = {"deadline", "the deadline passed", 504},
	[REASON_LEAVING] = {"leaving", "this instance is stopping", 503},
	[REASON_NEVER_FITS] = {"never_fits",
			       "no set of upstreams can hold this shape", 422},
	[REASON_NO_UPSTREAM] = {"no_upstream",
				"no usable upstream has a free slot", 503},
	[REASON_NOT_FOUND] = {"not_found", "there is no such thing", 404},
	[REASON_NOT_READY] = {"not_ready",
			      "this instance has no configuration yet", 503},
	[REASON_PLATFORM_OUT] = {"platform_out",
				 "the platform's table does not answer", 503},
	[REASON_QUEUE_FULL] = {"queue_full",
			       "the account's queue is at its limit", 429},
	[REASON_REFUSED] = {"refused", "the upstream refused it", 503},
	[REASON_STALE_EPOCH] = {"stale_epoch",
				"a newer decider holds the upstream", 503},
	[REASON_UNKNOWN_ACCOUNT] = {"unknown_account", "no such client account",
				    403},
};

static const char *const tag_names[] = {
	[VERDICT_RAN] = "ran",
	[VERDICT_DID_NOT_RUN] = "did_not_run",
	[VERDICT_MAY_HAVE_RUN] = "may_have_run",
};

/* Return the verdict of a request with a complete answer. */
struct verdict verdict_ran(void)
{
	struct verdict v = {VERDICT_RAN, REASON_NONE, 0};

	return v;
}

/* Return the verdict of a request that is known not to have run. */
struct verdict verdict_did_not_run(enum reason r)
{
	struct verdict v = {VERDICT_DID_NOT_RUN, r, 0};

	return v;
}

/* Return the verdict of a request that was sent and not fully answered. */
struct verdict verdict_may_have_run(enum reason r)
{
	struct verdict v = {VERDICT_MAY_HAVE_RUN, r, 0};

	return v;
}

/* Report whether v says that the request ran and was answered. */
bool verdict_is_ran(struct verdict v)
{
	return v.tag == VERDICT_RAN;
}

/* Return the name of t in answers and records. */
const char *verdict_name(enum verdict_tag t)
{
	return tag_names[t];
}

/* Return the name of r in answers and records. */
const char *reason_name(enum reason r)
{
	return reasons[r].name;
}

/* Return a clause that explains r to a user. */
const char *reason_text(enum reason r)
{
	return reasons[r].text;
}

/* Parse the name s into *t; return false when s is NULL or unknown. */
bool verdict_parse(const char *s, enum verdict_tag *t)
{
	for (int i = VERDICT_RAN; s && i <= VERDICT_MAY_HAVE_RUN; i++) {
		if (strcmp(s, tag_names[i]))
			continue;
		*t = i;
		return true;
	}
	return false;
}

/*
 * Return the HTTP status for v: 200 when the request ran, 504 when it may
 * have run, and the reason's status when it did not run.
 */
int verdict_http_status(struct verdict v)
{
	switch (v.tag) {
	case VERDICT_RAN:
		return 200;
	case VERDICT_MAY_HAVE_RUN:
		return 504;
	case VERDICT_DID_NOT_RUN:
		return reasons[v.reason].status;
	}
	return 500;
}
