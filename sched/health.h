/* Health: quarantine of upstreams that fail whatever they are given. */
#ifndef SCHED_HEALTH_H
#define SCHED_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#define HEALTH_FAILED_SUBJECTS_MAX 3 /* different subjects failed in a row */

struct health {
	uint32_t failures; /* different subjects since the last success */
	uint64_t subjects[HEALTH_FAILED_SUBJECTS_MAX];
	uint64_t retry_at_ms; /* when quarantined: the next probe */
	uint32_t backoff_ms;
	bool quarantined;
};

void health_record_success(struct health *h);
bool health_record_failure(struct health *h, uint64_t subject, uint64_t now_ms);
bool health_try_admit(struct health *h, uint64_t now_ms);

#endif
