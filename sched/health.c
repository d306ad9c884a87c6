/*
 * Health of an upstream.  A failure counts once per subject (a job or a
 * caller's request), so that one bad job cannot put an upstream into
 * quarantine; three distinct subjects that fail without a success between
 * them can.  A quarantined upstream is retried by single probes with
 * exponential backoff.
 */
#include <string.h>

#include "sched/health.h"

#define BACKOFF_MIN_MS 2000
#define BACKOFF_MAX_MS 60000

/* Record that work ran to its end: this clears failures and quarantine. */
void health_record_success(struct health *h)
{
	memset(h, 0, sizeof(*h));
}

static bool has_failed_before(const struct health *h, uint64_t subject)
{
	for (uint32_t i = 0; i < h->failed_subjects_len; i++)
		if (h->failed_subjects[i] == subject)
			return true;
	return false;
}

/*
 * Record that subject (a hash of its name) failed on the upstream at
 * now_ms (monotonic).  Return true if this starts a quarantine.  In
 * quarantine, double the backoff instead.
 */
bool health_record_failure(struct health *h, uint64_t subject, uint64_t now_ms)
{
	if (h->quarantined) {
		h->backoff_ms *= 2;
		if (h->backoff_ms > BACKOFF_MAX_MS)
			h->backoff_ms = BACKOFF_MAX_MS;
		h->next_probe_ms = now_ms + h->backoff_ms;
		return false;
	}
	if (h->failed_subjects_len < HEALTH_FAILED_SUBJECTS_MAX &&
	    !has_failed_before(h, subject))
		h->failed_subjects[h->failed_subjects_len++] = subject;
	if (h->failed_subjects_len < HEALTH_FAILED_SUBJECTS_MAX)
		return false;
	h->quarantined = true;
	h->backoff_ms = BACKOFF_MIN_MS;
	h->next_probe_ms = now_ms + h->backoff_ms;
	return true;
}

/*
 * Report whether the upstream may be given work at now_ms (monotonic).
 * In quarantine, true admits one probe and delays the next by the backoff.
 */
bool health_try_admit(struct health *h, uint64_t now_ms)
{
	if (!h->quarantined)
		return true;
	if (now_ms < h->next_probe_ms)
		return false;
	h->next_probe_ms = now_ms + h->backoff_ms;
	return true;
}
