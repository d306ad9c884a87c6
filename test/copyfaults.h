/* Random faults of what the instances know of the store, for the soak. */
#ifndef TEST_COPYFAULTS_H
#define TEST_COPYFAULTS_H

#include <glib.h>

#include "test/jointsite.h"

/* Stale reads and lapsed entries; each fault ends by itself. */
struct copy_faults {
	struct joint_site *site;
	GRand *random;
	uint64_t stale_until_ms;		  /* 0: reads are current */
	uint64_t silent_until_ms[UPSTREAM_COUNT]; /* 0: it sends heartbeats */
};

void copy_faults_begin(struct copy_faults *f, struct joint_site *s,
		       uint32_t seed);
void copy_faults_inject(struct copy_faults *f);
void copy_faults_end(struct copy_faults *f, bool all);
void copy_faults_free(struct copy_faults *f);

#endif
