/*
 * Cache with one entry per job, built from the rows job/ and cancel/ of the
 * table of jobs and from the table of states.
 */
#include <string.h>

#include "entry/jobcache.h"
#include "lib/log.h"

struct job_cache {
	GHashTable *jobs; /* id to struct cached_job */
};

/* Create an empty cache. */
struct job_cache *job_cache_create(void)
{
	struct job_cache *c = g_new0(struct job_cache, 1);

	c->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

/* Free c. */
void job_cache_destroy(struct job_cache *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->jobs);
	g_free(c);
}

static struct cached_job *find_or_add(struct job_cache *c, const char *id)
{
	struct cached_job *j = g_hash_table_lookup(c->jobs, id);

	if (!j) {
		j = g_new0(struct cached_job, 1);
		g_hash_table_insert(c->jobs, g_strdup(id), j);
	}
	return j;
}

/*
 * Apply the row of a job. The row of an accepted job never changes, so that a
 * malformed one does not replace what is known.
 */
static void apply_job_row(struct job_cache *c, const char *id,
			  const char *value)
{
	struct job_record r;

	if (!value)
		g_hash_table_remove(c->jobs, id);
	else if (job_decode(value, &r))
		find_or_add(c, id)->record = r;
	else
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "table", JOB_TABLE);
}

/* Apply a row of the table of jobs; value is NULL if it was removed. */
void job_cache_apply_job_row(struct job_cache *c, const char *key,
			     const char *value)
{
	if (g_str_has_prefix(key, KEY_JOB))
		apply_job_row(c, key + strlen(KEY_JOB), value);
	else if (g_str_has_prefix(key, KEY_CANCEL) && value)
		find_or_add(c, key + strlen(KEY_CANCEL))->cancelled = true;
}

/* Apply a row of the table of states; value is NULL if it was removed. */
void job_cache_apply_state_row(struct job_cache *c, const char *id,
			       const char *value)
{
	struct state_record r;

	if (!value)
		return; /* The removal of the job's row removes the entry. */
	if (state_decode(value, &r))
		find_or_add(c, id)->state = r.state;
	else
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "table", STATE_TABLE);
}

/* Return the entry of a job whose row is known, or NULL. */
const struct cached_job *job_cache_find_accepted(const struct job_cache *c,
						 const char *id)
{
	const struct cached_job *j = g_hash_table_lookup(c->jobs, id);

	return j && *j->record.queue ? j : NULL;
}

/* Return the entry of a job, even if its row has not arrived yet, or NULL. */
const struct cached_job *job_cache_find(const struct job_cache *c,
					const char *id)
{
	return g_hash_table_lookup(c->jobs, id);
}

/* Return how many accepted jobs of a queue have not started. */
uint64_t job_cache_count_queued(const struct job_cache *c, const char *queue)
{
	GHashTableIter it;
	gpointer v;
	uint64_t n = 0;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct cached_job *j = v;

		n += j->state == JOB_QUEUED && !j->cancelled &&
		     !strcmp(j->record.queue, queue);
	}
	return n;
}
