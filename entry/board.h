/* What an entry instance knows of every job, from the rows. */
#ifndef ENTRY_BOARD_H
#define ENTRY_BOARD_H

#include "sched/work.h"

struct board;

struct board_job {
	char queue[LABEL_BYTES];
	char account[LABEL_BYTES];
	enum job_state state;
	bool cancelled; /* a request to cancel it is recorded */
	bool timed;	/* it waits for times of its own */
};

struct board *board_create(void);
void board_destroy(struct board *b);
void board_row(struct board *b, const char *key, const char *value);
const struct board_job *board_find(const struct board *b, const char *id);
uint64_t board_pending(const struct board *b, const char *queue);

#endif
