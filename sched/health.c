/*
 * Health of an upstream.  A failure counts once for each subject (a job
 * or a caller's request), so that one bad job cannot put an upstream
 * into quarantine; three different ones without a success between can.
 * A quarantined upstream is tried again by single probes that back off.
 */
#include <string.h>

#include "sched/health.h"

#define BACKOFF_MIN_MS 2000
#define BACKOFF_MAX_MS 60000

/* Note that something ran to its end on the upstream. */
void health_record_success(struct health *h)
{
	memset(h, 0, sizeof(*h));
}

static bool has_failed_before(const struct health *h, uint64_t subject)
{
	for (uint32_t i = 0; i < h->failures; i++)
		if (h->subjects[i] == subject)
			return true;
	return false;
}

/*
 * Note that subject (a hash of its name) failed on the upstream at
 * now_ms (monotonic).  Return true when this puts it into quarantine.
 */
bool health_record_failure(struct health *h, uint64_t subject, uint64_t now_ms)
{
	if (h->quarantined) {
		h->backoff_ms *= 2;
		if (h->backoff_ms > BACKOFF_MAX_MS)
			h->backoff_ms = BACKOFF_MAX_MS;
		h->retry_at_ms = now_ms + h->backoff_ms;
		return false;
	}
	if (h->failures < HEALTH_FAILED_SUBJECTS_MAX &&
	    !has_failed_before(h, subject))
		h->subjects[h->failures++] = subject;
	if (h->failures < HEALTH_FAILED_SUBJECTS_MAX)
		return false;
	h->quarantined = true;
	h->backoff_ms = BACKOFF_MIN_MS;
	h->retry_at_ms = now_ms + h->backoff_ms;
	return true;
}

/*
 * Report whether the upstream may be given work at now_ms.  In
 * quarantine a true answer allows one probe and moves the next one on.
 */
bool health_try_admit(struct health *h, uint64_t now_ms)
{
	if (!h->quarantined)
		return true;
	if (now_ms < h->retry_at_ms)
		return false;
	h->retry_at_ms = now_ms + h->backoff_ms;
	return true;
}
