/* The board: one entry a job, from the rows job/, run/ and cancel/. */
#include <string.h>

#include "entry/board.h"
#include "lib/log.h"

struct board {
	GHashTable *jobs; /* id to struct board_job */
};

/* Create an empty board. */
struct board *board_create(void)
{
	struct board *b = g_new0(struct board, 1);

	b->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

/* Free b. */
void board_destroy(struct board *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->jobs);
	g_free(b);
}

static struct board_job *entry_of(struct board *b, const char *id)
{
	struct board_job *j = g_hash_table_lookup(b->jobs, id);

	if (!j) {
		j = g_new0(struct board_job, 1);
		g_hash_table_insert(b->jobs, g_strdup(id), j);
	}
	return j;
}

static void job_row(struct board *b, const char *id, const char *value)
{
	struct board_job *j;

	if (!value) {
		g_hash_table_remove(b->jobs, id);
		return;
	}
	j = entry_of(b, id);
	if (!job_decode(value, &j->record))
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "value", value);
}

/* Take in a row of the table of jobs; value NULL: it was removed. */
void board_job_row(struct board *b, const char *key, const char *value)
{
	if (g_str_has_prefix(key, KEY_JOB))
		job_row(b, key + strlen(KEY_JOB), value);
	else if (g_str_has_prefix(key, KEY_CANCEL) && value)
		entry_of(b, key + strlen(KEY_CANCEL))->cancelled = true;
}

/* Take in a row of the table of states; value NULL: it was removed. */
void board_state_row(struct board *b, const char *id, const char *value)
{
	struct state_record r;

	if (!value)
		return; /* the row of the job goes with it */
	if (state_decode(value, &r))
		entry_of(b, id)->state = r.state;
	else
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "value", value);
}

/* Return what is known of a job, or NULL. */
const struct board_job *board_find(const struct board *b, const char *id)
{
	const struct board_job *j = g_hash_table_lookup(b->jobs, id);

	return j && *j->record.queue ? j : NULL;
}

/* Return what is known of a job whose row may not have come yet, or NULL. */
const struct board_job *board_any(const struct board *b, const char *id)
{
	return g_hash_table_lookup(b->jobs, id);
}

/* Return how many accepted jobs of a queue have not begun. */
uint64_t board_pending(const struct board *b, const char *queue)
{
	GHashTableIter it;
	gpointer v;
	uint64_t n = 0;

	g_hash_table_iter_init(&it, b->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct board_job *j = v;

		n += j->state == JOB_QUEUED && !j->cancelled &&
		     !strcmp(j->record.queue, queue);
	}
	return n;
}
