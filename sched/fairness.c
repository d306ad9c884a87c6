/* Which accounts want far more than their share of the upstreams. */
#include <math.h>

#include "sched/fairness.h"

/* Ranks that are told apart; the last includes all lower priorities. */
#define RANKS 8
/*
 * An account that wants more than this multiple of its share gives way. The
 * order by value per second serves all better, so it stays among accounts that
 * are about alike.
 */
#define SHARE_TOLERANCE 1.25
/* Tasks assumed to fit on one upstream at most. */
#define TASKS_PER_UPSTREAM_MAX 1000

/* The upstreams that an account wants in each rank, for what runs or waits. */
struct account_demand {
	double upstreams[RANKS];
};

struct fairness {
	GHashTable *accounts; /* name to struct account_demand */
	double share[RANKS];  /* upstreams; INFINITY: all get what they want */
};

/* Return the upstreams that the tasks of j take that run, or wait as well. */
static double demand_of(const struct job *j,
			const struct resources *mean_upstream, double *running)
{
	double sum = 0;

	for (uint32_t i = 0; i < j->stages_len; i++) {
		const struct stage *st = &j->stages[i];
		uint32_t fit =
			resources_fit_count(mean_upstream, &st->step->need);
		double size = 1.0 / CLAMP(fit, 1, TASKS_PER_UPSTREAM_MAX);
		uint32_t waiting = stage_waiting_count(st);

		if (st->step->long_running)
			continue;
		*running += (st->step->count - st->done - waiting) * size;
		if (st->since_ms) /* it is ready */
			sum += (st->step->count - st->done) * size;
	}
	return sum;
}

/* Order numbers, the least first. */
static gint compare_numbers(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Return the share of each account in a rank of `upstreams`, if those that want
 * less leave the rest to others.
 */
static double share_in_rank(const struct fairness *f, uint32_t rank,
			    double upstreams)
{
	GArray *wanted = g_array_new(FALSE, FALSE, sizeof(double));
	GHashTableIter it;
	gpointer v;
	double share = INFINITY;

	g_hash_table_iter_init(&it, f->accounts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		double w = ((struct account_demand *)v)->upstreams[rank];

		if (w > 0)
			g_array_append_val(wanted, w);
	}
	g_array_sort(wanted, compare_numbers);
	for (guint i = 0; i < wanted->len && isinf(share); i++) {
		double w = g_array_index(wanted, double, i);
		double equal = MAX(upstreams, 0) / (wanted->len - i);

		if (w > equal)
			share = equal;
		upstreams -= w;
	}
	g_array_unref(wanted);
	return share;
}

/*
 * Measure what the accounts want of this number of upstreams; the ranks of the
 * jobs must be set. The jobs must outlive the result, which is to be freed with
 * fairness_destroy.
 */
struct fairness *fairness_measure(const GPtrArray *jobs,
				  const struct resources *mean_upstream,
				  double upstreams)
{
	struct fairness *f = g_new0(struct fairness, 1);
	double running[RANKS] = {0};

	f->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	for (guint i = 0; i < jobs->len; i++) {
		const struct job *j = g_ptr_array_index(jobs, i);
		uint32_t rank = MIN(j->rank, RANKS - 1);
		struct account_demand *d;

		if (job_is_final(j) || !j->queue_known)
			continue;
		d = g_hash_table_lookup(f->accounts, j->account);
		if (!d) {
			d = g_new0(struct account_demand, 1);
			g_hash_table_insert(f->accounts, (gpointer)j->account,
					    d);
		}
		d->upstreams[rank] +=
			demand_of(j, mean_upstream, &running[rank]);
	}
	/* what runs at higher ranks is not shared here */
	for (uint32_t rank = 0; rank < RANKS; rank++) {
		f->share[rank] = share_in_rank(f, rank, upstreams);
		upstreams -= running[rank];
	}
	return f;
}

/* Free f; NULL is allowed. */
void fairness_destroy(struct fairness *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->accounts);
	g_free(f);
}

/*
 * Report whether the account of j wants far more than its share of the upstreams
 * at the rank of j, while others wait for theirs.
 */
bool fairness_is_above(const struct fairness *f, const struct job *j)
{
	const struct account_demand *d =
		g_hash_table_lookup(f->accounts, j->account);
	uint32_t rank = MIN(j->rank, RANKS - 1);

	return d && d->upstreams[rank] > SHARE_TOLERANCE * f->share[rank];
}
