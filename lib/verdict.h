/* Verdicts: whether a request ran, did not run or may have run, and why. */
#ifndef LIB_VERDICT_H
#define LIB_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A request ran when its complete answer was received.  It did not run when
 * this is known for certain.  Otherwise it may have run, and only the
 * caller can tell whether a retry is safe.
 */
enum verdict_tag {
	VERDICT_RAN,
	VERDICT_DID_NOT_RUN,
	VERDICT_MAY_HAVE_RUN,
};

enum reason {
	REASON_NONE,
	REASON_BAD_REQUEST,
	REASON_BAD_ANSWER,
	REASON_BUSY,
	REASON_CONFLICT,
	REASON_CONNECT,
	REASON_CUT,
	REASON_DEADLINE,
	REASON_LEAVING,
	REASON_NEVER_FITS,
	REASON_NO_UPSTREAM,
	REASON_NOT_FOUND,
	REASON_NOT_READY,
	REASON_PLATFORM_OUT,
	REASON_QUEUE_FULL,
	REASON_REFUSED,
	REASON_STALE_EPOCH,
	REASON_UNKNOWN_ACCOUNT,
	REASON_COUNT,
};

/* retry_after_ms is the delay to suggest to the caller, 0 for none. */
struct verdict {
	enum verdict_tag tag;
	enum reason reason;
	uint32_t retry_after_ms;
};

struct verdict verdict_ran(void);
struct verdict verdict_did_not_run(enum reason r);
struct verdict verdict_may_have_run(enum reason r);
bool verdict_is_ran(struct verdict v);
const char *verdict_name(enum verdict_tag t);
const char *reason_name(enum reason r);
const char *reason_text(enum reason r);
bool verdict_parse(const char *s, enum verdict_tag *t);
int verdict_http_status(struct verdict v);

#endif
