/* Health: quarantine of upstreams on which different work keeps failing. */
#ifndef SCHED_HEALTH_H
#define SCHED_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* So many distinct failed subjects in a row start a quarantine. */
#define HEALTH_FAILED_SUBJECTS_MAX 3

struct health {
	/* hashes of the distinct subjects failed since the last success */
	uint32_t failed_subjects_len;
	uint64_t failed_subjects[HEALTH_FAILED_SUBJECTS_MAX];

	/* in quarantine: the time of the next probe, and the delay after it */
	uint64_t next_probe_ms; /* monotonic */
	uint32_t backoff_ms;
	bool quarantined;
};

void health_record_success(struct health *h);
bool health_record_failure(struct health *h, uint64_t subject, uint64_t now_ms);
bool health_try_admit(struct health *h, uint64_t now_ms);

#endif
