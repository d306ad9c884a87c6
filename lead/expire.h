/* Removal of the rows of jobs that have ended. */
#ifndef LEAD_EXPIRE_H
#define LEAD_EXPIRE_H

#include "lead/replica.h"
#include "lead/model.h"

/* Maximum number of state rows removed by one write of the leader. */
#define EXPIRE_ROWS_MAX 16

struct expiry {
	struct rows *rows;
	const struct replica *states;
	const struct replica *specs;
	const struct model *model; /* jobs in the model are not over */
	uint64_t
		before_ms; /* remove jobs that ended before this time on the store's clock */
};

void expire_rows(const struct expiry *e, struct rows_tx *states);
void expire_instances(const struct replica *owners, struct rows_tx *t);

#endif
