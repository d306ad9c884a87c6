/* Starts that have been decided and are sent once they are recorded. */
#ifndef LEAD_STARTS_H
#define LEAD_STARTS_H

#include "lead/model.h"

/*
 * A start order that waits until it is recorded. It names its task, as the
 * task may have been freed by then.
 */
struct planned_start {
	char task[TASK_NAME_BYTES];
	uint32_t run;
};

struct task *starts_find_unsent(const struct planned_start *s,
				const struct model *m);
void starts_drop_excess(const GArray *starts, const struct model *m,
			uint64_t now_ms);

#endif
