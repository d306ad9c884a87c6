/* Removal of the rows of jobs that have ended. */
#ifndef LEAD_EXPIRE_H
#define LEAD_EXPIRE_H

#include "lead/replica.h"
#include "lead/model.h"

/*
 * Maximum number of rows removed by one write of the leader; a write that
 * has this many entries already takes no further removal.
 */
#define EXPIRE_ROWS_MAX 16

struct expiry {
	struct rows *rows;
	const struct replica *states;
	const struct replica *jobs;
	const struct replica *specs;
	/* A job in the model is not over yet, so its rows are kept. */
	const struct model *model;
	/*
	 * The state, job and cancel rows of a job are removed if it ended
	 * before this time on the store's clock.
	 */
	uint64_t before_ms;
};

void expire_rows(const struct expiry *e, struct rows_tx *states);
void expire_instances(const struct replica *owners, struct rows_tx *t);

#endif
