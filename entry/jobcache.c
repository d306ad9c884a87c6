/*
 * Cache with one entry per job, built from the rows job/ and cancel/ of the
 * table of jobs and from the table of states.
 */
#include <string.h>

#include "entry/jobcache.h"
#include "lib/log.h"

struct job_cache {
	GHashTable *jobs; /* id to struct cached_job */
	/* Number of IDs that were cancelled and have no job. */
	uint32_t refused_ids;
	/* Memory of the accepted jobs that have not ended. */
	uint64_t live_bytes;
};

static void cached_job_free(void *p)
{
	struct cached_job *j = p;

	job_record_clear(&j->record);
	g_free(j);
}

/* Create an empty cache. */
struct job_cache *job_cache_create(void)
{
	struct job_cache *c = g_new0(struct job_cache, 1);

	c->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					cached_job_free);
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

static bool is_refused_id(const struct cached_job *j)
{
	return j->cancelled && !j->record.queue;
}

/* Return what an entry counts for in the memory of the leader. */
static uint64_t live_bytes_of(const struct cached_job *j)
{
	return j->record.queue && !job_state_is_final(j->state)
		       ? j->record.bytes
		       : 0;
}

/* Note the change of an entry, and remove it if it shows nothing any more. */
static void note_change(struct job_cache *c, const char *id,
			const struct cached_job *before)
{
	const struct cached_job *j = g_hash_table_lookup(c->jobs, id);

	c->refused_ids -= is_refused_id(before);
	c->refused_ids += is_refused_id(j);
	c->live_bytes -= live_bytes_of(before);
	c->live_bytes += live_bytes_of(j);
	if (!j->record.queue && !j->cancelled && j->state == JOB_QUEUED)
		g_hash_table_remove(c->jobs, id);
}

/*
 * Apply the row of a job. The row of an accepted job never changes, so that a
 * malformed one does not replace what is known. The state goes with the row.
 */
static void apply_job_row(struct job_cache *c, const char *id,
			  const char *value)
{
	struct job_record r = {0};
	struct cached_job *j, before;

	if (value && !job_decode(value, &r)) {
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "table", JOB_TABLE);
		return;
	}
	j = find_or_add(c, id);
	before = *j;
	j->record = r;
	if (!value)
		j->state = JOB_QUEUED;
	note_change(c, id, &before);
	job_record_clear(&before.record);
}

/* Apply a cancel request, or its removal if value is NULL. */
static void apply_cancel_row(struct job_cache *c, const char *id,
			     const char *value)
{
	struct cached_job *j = find_or_add(c, id);
	struct cached_job before = *j;

	j->cancelled = value != NULL;
	note_change(c, id, &before);
}

/* Apply a row of the table of jobs; value is NULL if it was removed. */
void job_cache_apply_job_row(struct job_cache *c, const char *key,
			     const char *value)
{
	if (g_str_has_prefix(key, KEY_JOB))
		apply_job_row(c, key + strlen(KEY_JOB), value);
	else if (g_str_has_prefix(key, KEY_CANCEL))
		apply_cancel_row(c, key + strlen(KEY_CANCEL), value);
}

/* Apply a row of the table of states; value is NULL if it was removed. */
void job_cache_apply_state_row(struct job_cache *c, const char *id,
			       const char *value)
{
	struct cached_job *j, before;
	struct state_record r;

	if (!value)
		return; /* The removal of the job's row removes the entry. */
	if (state_decode(value, &r)) {
		j = find_or_add(c, id);
		before = *j;
		j->state = r.state;
		c->live_bytes -= live_bytes_of(&before);
		c->live_bytes += live_bytes_of(j);
	} else {
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "table", STATE_TABLE);
	}
}

/* Return the entry of a job whose row is known, or NULL. */
const struct cached_job *job_cache_find_accepted(const struct job_cache *c,
						 const char *id)
{
	const struct cached_job *j = g_hash_table_lookup(c->jobs, id);

	return j && j->record.queue ? j : NULL;
}

/* Return the entry of a job, even if its row has not arrived yet, or NULL. */
const struct cached_job *job_cache_find(const struct job_cache *c,
					const char *id)
{
	return g_hash_table_lookup(c->jobs, id);
}

/* Return the memory of the accepted jobs that have not ended, in bytes. */
uint64_t job_cache_live_bytes(const struct job_cache *c)
{
	return c->live_bytes;
}

/* Return how many IDs were cancelled and have no job. */
uint32_t job_cache_count_refused_ids(const struct job_cache *c)
{
	return c->refused_ids;
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
		     j->record.queue && !strcmp(j->record.queue, queue);
	}
	return n;
}
