/*
 * Any instance may have to lead, also the weakest, so all jobs that have not
 * ended have to fit into its memory. Each instance sums them up from the rows of
 * jobs, and adds what it has accepted itself and does not see there yet. What
 * others have accepted in the last second or two it cannot see.
 */
#include <glib.h>

#include "entry/jobmemory.h"

#define MB (UINT64_C(1) << 20)
/*
 * Jobs get half of the memory, less what a leader of 1,000 upstreams takes
 * without jobs. The other half is for requests and copies of tables, and for
 * jobs that several instances accept at once: a new leader has each run row
 * twice until it has read all.
 */
#define SHARE_DIVISOR 2
#define BASE_MB 24
/* Jobs get at least this share, so that a tiny instance serves some. */
#define LEAST_SHARE_DIVISOR 8
/*
 * A job above this size is large. A batch of 39 tasks takes 16 KB. Large jobs
 * get three quarters of the bound: a burst of them leaves room for others.
 */
#define LARGE_JOB_BYTES 65536
#define LARGE_JOBS_SHARE_PERCENT 75
/*
 * A submission counts for this long unless its row appears before. A write that
 * is not answered is carried out or dropped in that time.
 */
#define UNSEEN_MAX_MS 10000

/* A submission whose row has not been seen yet. */
struct unseen {
	uint64_t bytes;
	uint64_t added_ms;
};

struct job_memory {
	GHashTable *unseen; /* id to struct unseen */
};

/* Create an account without submissions. */
struct job_memory *job_memory_create(void)
{
	struct job_memory *m = g_new0(struct job_memory, 1);

	m->unseen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return m;
}

/* Free m; NULL is allowed. */
void job_memory_destroy(struct job_memory *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->unseen);
	g_free(m);
}

/*
 * Return how much memory all jobs may take if the weakest instance has least_mb
 * megabytes, in bytes; 0 if that is not known: there is no bound.
 */
uint64_t job_memory_bound_bytes(uint32_t least_mb)
{
	uint64_t bytes = least_mb * MB;
	uint64_t share = bytes / SHARE_DIVISOR;

	share -= MIN(share, BASE_MB * MB);
	return MAX(share, bytes / LEAST_SHARE_DIVISOR);
}

/*
 * Return the sum of the unseen submissions of at most job_max_bytes each;
 * forgets old ones.
 */
static uint64_t unseen_bytes(struct job_memory *m, uint64_t job_max_bytes,
			     uint64_t now_ms)
{
	uint64_t sum = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, m->unseen);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct unseen *u = v;

		if (now_ms >= u->added_ms + UNSEEN_MAX_MS)
			g_hash_table_iter_remove(&it);
		else if (u->bytes <= job_max_bytes)
			sum += u->bytes;
	}
	return sum;
}

/*
 * Report whether a job of `bytes` may be accepted while the rows show
 * accepted_bytes. What is left of the bound is divided between the instances,
 * as each may use it before the others see that; one job is allowed in any
 * case, since jobs may be larger than such a part.
 */
bool job_memory_allows(struct job_memory *m, const struct job_memory_limits *l,
		       uint64_t accepted_bytes, uint64_t bytes, uint64_t now_ms)
{
	uint64_t bound = job_memory_bound_bytes(l->least_mb);
	uint64_t unseen = unseen_bytes(m, UINT64_MAX, now_ms), room;

	if (!bound)
		return true;
	if (bytes > LARGE_JOB_BYTES)
		bound = bound / 100 * LARGE_JOBS_SHARE_PERCENT;
	if (accepted_bytes + unseen + bytes > bound)
		return false;
	room = bound - accepted_bytes;
	/* a large job at this instance must not hold up small ones */
	if (bytes <= LARGE_JOB_BYTES)
		unseen = unseen_bytes(m, LARGE_JOB_BYTES, now_ms);
	return !unseen || unseen + bytes <= room / MAX(l->instances, 1);
}

/* Report whether a submission of this ID is counted. */
bool job_memory_has(const struct job_memory *m, const char *id)
{
	return g_hash_table_contains(m->unseen, id);
}

/* Count a submission of `bytes` until its row is seen. */
void job_memory_add(struct job_memory *m, const char *id, uint64_t bytes,
		    uint64_t now_ms)
{
	struct unseen *u = g_new0(struct unseen, 1);

	u->bytes = bytes;
	u->added_ms = now_ms;
	g_hash_table_replace(m->unseen, g_strdup(id), u);
}

/* Forget a submission: its row was seen, or it was certainly not accepted. */
void job_memory_remove(struct job_memory *m, const char *id)
{
	g_hash_table_remove(m->unseen, id);
}
