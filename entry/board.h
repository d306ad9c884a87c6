/* What an entry instance knows of every job, from the rows. */
#ifndef ENTRY_BOARD_H
#define ENTRY_BOARD_H

#include "lead/record.h"

struct board;

struct board_job {
	struct job_record record;
	enum job_state state;
	bool cancelled; /* a request to cancel it is recorded */
};

struct board *board_create(void);
void board_destroy(struct board *b);
void board_job_row(struct board *b, const char *key, const char *value);
void board_state_row(struct board *b, const char *id, const char *value);
const struct board_job *board_find(const struct board *b, const char *id);
const struct board_job *board_any(const struct board *b, const char *id);
uint64_t board_pending(const struct board *b, const char *queue);

#endif
