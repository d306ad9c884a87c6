/* The board: one entry a job, from the rows job/, run/ and cancel/. */
#include <string.h>

#include "entry/jobcache.h"
#include "lib/log.h"

struct job_cache {
	GHashTable *jobs; /* id to struct cached_job */
};

/* Create an empty board. */
struct job_cache *job_cache_create(void)
{
	struct job_cache *b = g_new0(struct job_cache, 1);

	b->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

/* Free b. */
void job_cache_destroy(struct job_cache *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->jobs);
	g_free(b);
}

static struct cached_job *find_or_add(struct job_cache *b, const char *id)
{
	struct cached_job *j = g_hash_table_lookup(b->jobs, id);

	if (!j) {
		j = g_new0(struct cached_job, 1);
		g_hash_table_insert(b->jobs, g_strdup(id), j);
	}
	return j;
}

static void apply_job_row(struct job_cache *b, const char *id,
			  const char *value)
{
	struct cached_job *j;

	if (!value) {
		g_hash_table_remove(b->jobs, id);
		return;
	}
	j = find_or_add(b, id);
	if (!job_decode(value, &j->record))
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "value", value);
}

/* Take in a row of the table of jobs; value NULL: it was removed. */
void job_cache_apply_job_row(struct job_cache *b, const char *key,
			     const char *value)
{
	if (g_str_has_prefix(key, KEY_JOB))
		apply_job_row(b, key + strlen(KEY_JOB), value);
	else if (g_str_has_prefix(key, KEY_CANCEL) && value)
		find_or_add(b, key + strlen(KEY_CANCEL))->cancelled = true;
}

/* Take in a row of the table of states; value NULL: it was removed. */
void job_cache_apply_state_row(struct job_cache *b, const char *id,
			       const char *value)
{
	struct state_record r;

	if (!value)
		return; /* the row of the job goes with it */
	if (state_decode(value, &r))
		find_or_add(b, id)->state = r.state;
	else
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "value", value);
}

/* Return what is known of a job, or NULL. */
const struct cached_job *job_cache_find_accepted(const struct job_cache *b,
						 const char *id)
{
	const struct cached_job *j = g_hash_table_lookup(b->jobs, id);

	return j && *j->record.queue ? j : NULL;
}

/* Return what is known of a job whose row may not have come yet, or NULL. */
const struct cached_job *job_cache_find(const struct job_cache *b,
					const char *id)
{
	return g_hash_table_lookup(b->jobs, id);
}

/* Return how many accepted jobs of a queue have not begun. */
uint64_t job_cache_count_queued(const struct job_cache *b, const char *queue)
{
	GHashTableIter it;
	gpointer v;
	uint64_t n = 0;

	g_hash_table_iter_init(&it, b->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct cached_job *j = v;

		n += j->state == JOB_QUEUED && !j->cancelled &&
		     !strcmp(j->record.queue, queue);
	}
	return n;
}
