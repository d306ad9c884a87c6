/*
 * Model: drives the scheduler alone, on recorded arrivals and in virtual
 * time, to compare policies and to measure what a decision costs.  It
 * holds no sockets and no processes; the upstreams are times and masks.
 *
 *	model mix --deployment barsha --seeds 20
 *	model cost --upstreams 6100 --tasks 80000
 *	model pass --upstreams 1100 --jobs 500 --tasks 15000
 *	model day --upstreams 1100 --seed 3
 */
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counter.h"
#include "lib/loop.h"
#include "load/play.h"
#include "sched/bind.h"
#include "sched/sched.h"

#define UPSTREAMS 50
#define RACK 8
#define ACCELERATORS 8
#define TOTAL (UPSTREAMS * ACCELERATORS)
#define ACCOUNTS 4
#define DECIDE_MS 25
#define HEADROOM 4 /* accelerators of each account, for urgent work */
#define GRACE_MS 500
#define LEASE_TERM_MS 3000
#define IGNORE_STOP_PERCENT 10
#define HOLD_AFTER_MS 60000
#define HOUR_MS 3600000.0

enum kind { KIND_URGENT, KIND_BATCH, KIND_GANG, KIND_QUIET, KIND_COUNT };

static const char *const kind_names[] = {"urgent", "batch", "gang", "quiet"};
static const char *const policy_names[] = {"bound", "first_fit",
					   "least_loaded"};

/* How a deployment's work is made up. */
struct mix {
	const char *name;
	double load;		  /* of all accelerators */
	double share[KIND_COUNT]; /* of the load; urgent work by rate */
	double urgent_per_s;
	double batch_ms;
	double gang_ms;
	double quiet_ms;
	uint32_t gang_sizes[4];
	uint32_t bound[ACCOUNTS]; /* guaranteed upstreams */
	double burst_every_ms;
	uint32_t burst_jobs;
	double fail_every_ms; /* an upstream is lost */
	uint32_t hours;
	uint32_t headroom; /* accelerators kept by each account */
};

static const struct mix mixes[] = {
	{.name = "barsha",
	 .load = 0.95,
	 .share = {0, 0.45, 0.35, 0.20},
	 .urgent_per_s = 0.5,
	 .batch_ms = 15 * 60000.0,
	 .gang_ms = HOUR_MS,
	 .quiet_ms = 30 * 60000.0,
	 .gang_sizes = {16, 16, 32, 48},
	 .bound = {16, 8, 4, 2},
	 .burst_every_ms = 2 * HOUR_MS,
	 .burst_jobs = 200,
	 .fail_every_ms = HOUR_MS,
	 .hours = 12,
	 .headroom = HEADROOM},
	{.name = "midlands",
	 .load = 0.90,
	 .share = {0, 0.15, 0.55, 0.30},
	 .urgent_per_s = 0.3,
	 .batch_ms = 10 * 60000.0,
	 .gang_ms = 2 * HOUR_MS,
	 .quiet_ms = 30 * 60000.0,
	 .gang_sizes = {16, 32, 48, 64},
	 .bound = {14, 10, 4, 2},
	 .burst_every_ms = 3 * HOUR_MS,
	 .burst_jobs = 150,
	 .fail_every_ms = HOUR_MS,
	 .hours = 12,
	 .headroom = HEADROOM},
};

struct arrival {
	uint64_t at_ms;
	enum kind kind;
	uint32_t account;
	uint32_t parts;
	uint32_t accelerators;
	uint64_t run_ms;
};

enum event_tag {
	EVENT_ARRIVE,
	EVENT_END,
	EVENT_STOPPED,
	EVENT_LOST,
	EVENT_BACK
};

struct event {
	uint64_t at_ms;
	uint64_t order;
	enum event_tag tag;
	uint32_t index;	  /* of the arrival, or the upstream */
	uint64_t attempt; /* of the job when the event was made */
};

/* One arrival's life under a policy. */
struct life {
	const struct arrival *arrival;
	uint32_t handle;
	bool queued;
	bool running;
	bool ended;
	uint64_t attempt;
	uint64_t started_ms;
	uint64_t left_ms;
	uint64_t first_start_ms;
	uint64_t reclaim_ms;
};

struct result {
	struct histogram wait[KIND_COUNT];
	struct histogram done[KIND_COUNT];
	struct histogram reclaim;
	double fragmentation; /* time averages */
	double largest;
	double whole; /* share of what is free on entirely free upstreams */
	double busy;
	uint64_t evictions;
	uint64_t evicted_accelerators;
	uint64_t unfinished;
	uint64_t late_reclaims;
	uint64_t broken_claims;
	uint64_t partial; /* gangs with some parts only */
};

struct run {
	const struct mix *mix;
	GArray *arrivals;
	struct life *lives;
	GArray *heap;
	struct sched *sched;
	uint64_t now_ms;
	uint64_t order;
	uint64_t seed;
	double weighted_ms;
	struct result *r;
};

/* A small seeded generator: every policy sees the same arrivals. */
static double random01(uint64_t *seed)
{
	*seed ^= *seed << 13;
	*seed ^= *seed >> 7;
	*seed ^= *seed << 17;
	return (double)(*seed >> 11) / 9007199254740992.0;
}

static double exponential(uint64_t *seed, double mean)
{
	return -mean * log(1.0 - random01(seed));
}

/* Arrivals */

static uint32_t some_account(uint64_t *seed)
{
	static const double upto[] = {0.45, 0.75, 0.9, 1.0};
	double x = random01(seed);
	uint32_t a = 0;

	while (a + 1 < ACCOUNTS && x > upto[a])
		a++;
	return a;
}

static void shape_of(const struct mix *m, struct arrival *a, uint64_t *seed)
{
	uint32_t size;

	a->parts = 1;
	a->accelerators = 1;
	switch (a->kind) {
	case KIND_URGENT:
		a->run_ms = 1000 + (uint64_t)exponential(seed, 4000);
		break;
	case KIND_BATCH:
		a->accelerators = 1u << (uint32_t)(random01(seed) * 3);
		a->run_ms = 1000 + (uint64_t)exponential(seed, m->batch_ms);
		break;
	case KIND_GANG:
		size = m->gang_sizes[(uint32_t)(random01(seed) * 4)];
		a->accelerators = 8;
		a->parts = size / 8;
		a->run_ms = 1000 + (uint64_t)exponential(seed, m->gang_ms);
		break;
	case KIND_QUIET:
		a->run_ms = 1000 + (uint64_t)exponential(seed, m->quiet_ms);
		break;
	case KIND_COUNT:
		break;
	}
}

static void add_arrival(GArray *all, const struct mix *m, enum kind k,
			uint64_t at, uint64_t *seed)
{
	struct arrival a = {.at_ms = at, .kind = k};

	a.account = some_account(seed);
	shape_of(m, &a, seed);
	g_array_append_val(all, a);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct arrival *x = a, *y = b;

	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

/* Return the mean accelerator-milliseconds of one job of kind k. */
static double mean_work(const struct mix *m, enum kind k)
{
	double gang = 0;

	for (int i = 0; i < 4; i++)
		gang += m->gang_sizes[i] / 4.0;
	switch (k) {
	case KIND_BATCH:
		return m->batch_ms * 7 / 3;
	case KIND_GANG:
		return m->gang_ms * gang;
	case KIND_QUIET:
		return m->quiet_ms;
	default:
		return 0;
	}
}

static GArray *make_arrivals(const struct mix *m, uint64_t seed)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	double end = m->hours * HOUR_MS;

	for (int k = 0; k < KIND_COUNT; k++) {
		double gap = k == KIND_URGENT
				     ? 1000 / m->urgent_per_s
				     : mean_work(m, k) /
					       (m->load * m->share[k] * TOTAL);

		for (double t = exponential(&seed, gap); t < end;
		     t += exponential(&seed, gap))
			add_arrival(all, m, k, (uint64_t)t, &seed);
	}
	/* bursts: many small jobs at once, then some large ones */
	for (double t = m->burst_every_ms; t < end; t += m->burst_every_ms) {
		for (uint32_t i = 0; i < m->burst_jobs; i++)
			add_arrival(all, m, KIND_QUIET, (uint64_t)t, &seed);
		for (uint32_t i = 0; i < 3; i++)
			add_arrival(all, m, KIND_GANG, (uint64_t)t + 1000,
				    &seed);
	}
	g_array_sort(all, by_time);
	return all;
}

/* Events: a heap by time */

static bool before(const struct event *a, const struct event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static struct event *slot(struct run *run, guint i)
{
	return &g_array_index(run->heap, struct event, i);
}

static void push(struct run *run, uint64_t at, enum event_tag tag,
		 uint32_t index, uint64_t attempt)
{
	struct event e = {at, run->order++, tag, index, attempt};
	guint i = run->heap->len;

	g_array_append_val(run->heap, e);
	while (i && before(&e, slot(run, (i - 1) / 2))) {
		*slot(run, i) = *slot(run, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	*slot(run, i) = e;
}

static struct event pop(struct run *run)
{
	struct event top = *slot(run, 0);
	struct event last = *slot(run, run->heap->len - 1);
	guint i = 0, n = run->heap->len - 1;

	g_array_set_size(run->heap, n);
	while (n) {
		guint c = i * 2 + 1;

		if (c >= n)
			break;
		if (c + 1 < n && before(slot(run, c + 1), slot(run, c)))
			c++;
		if (!before(slot(run, c), &last))
			break;
		*slot(run, i) = *slot(run, c);
		i = c;
	}
	if (n)
		*slot(run, i) = last;
	return top;
}

/* The run */

static struct sched *make_sched(const struct mix *m,
				enum place_policy place_policy)
{
	struct sched_limits l = {.hold_after_ms = HOLD_AFTER_MS,
				 .account_queue_max = UINT32_MAX};
	struct inventory *s = inventory_create();
	char name[32], rack[32];
	struct sched *sched;
	struct cell c;

	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		snprintf(name, sizeof(name), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / RACK);
		inventory_add_upstream(s, name, rack, ACCELERATORS, 8, 2);
	}
	for (uint32_t a = 0; a < ACCOUNTS; a++)
		for (uint32_t i = 0; i < m->bound[a]; i++)
			if (bind_find_cell(s, CELL_UPSTREAM, a, &c))
				bind_apply_cell(s, &c);
	sched = sched_create(s, place_policy, &l);
	for (uint32_t a = 0; a < ACCOUNTS; a++)
		sched_set_headroom(sched, a, m->headroom);
	return sched;
}

static void arrive(struct run *run, uint32_t i)
{
	static const enum job_class classes[] = {CLASS_URGENT, CLASS_BATCH,
						 CLASS_BATCH, CLASS_QUIET};
	struct life *l = &run->lives[i];
	const struct arrival *a = l->arrival;
	struct job_spec spec = {.job_class = classes[a->kind],
				.shape = {.parts = a->parts,
					  .accelerators = a->accelerators,
					  .account = a->account},
				.submitted_ms = run->now_ms,
				.owner = l};

	if (sched_submit(run->sched, &spec, &l->handle) == SUBMIT_OK)
		l->queued = true;
	else
		l->ended = true;
}

static uint32_t index_of(const struct run *run, const struct life *l)
{
	return (uint32_t)(l - run->lives);
}

static void started(struct run *run, struct life *l)
{
	const struct arrival *a = l->arrival;
	const struct job *j = sched_job(run->sched, l->handle);

	l->running = true;
	l->attempt++;
	l->started_ms = run->now_ms;
	for (uint32_t i = 0; i < a->parts; i++)
		if ((uint32_t)__builtin_popcount(j->parts[i].mask) !=
		    a->accelerators)
			run->r->partial++;
	if (!l->first_start_ms) {
		l->first_start_ms = run->now_ms;
		histogram_add(&run->r->wait[a->kind],
			      (run->now_ms - a->at_ms) * 1000);
	}
	if (l->reclaim_ms) {
		uint64_t took = run->now_ms - l->reclaim_ms;

		histogram_add(&run->r->reclaim, took * 1000);
		if (took > GRACE_MS + LEASE_TERM_MS + 2 * DECIDE_MS)
			run->r->late_reclaims++;
		l->reclaim_ms = 0;
	}
	push(run, run->now_ms + l->left_ms, EVENT_END, index_of(run, l),
	     l->attempt);
}

static void evicted(struct run *run, struct life *l, struct life *by)
{
	uint64_t stop = GRACE_MS;

	run->r->evictions++;
	run->r->evicted_accelerators +=
		l->arrival->parts * l->arrival->accelerators;
	if (by && !by->reclaim_ms)
		by->reclaim_ms = run->now_ms;
	if (random01(&run->seed) * 100 < IGNORE_STOP_PERCENT)
		stop = LEASE_TERM_MS;
	push(run, run->now_ms + stop, EVENT_STOPPED, index_of(run, l),
	     l->attempt);
}

/*
 * A claim that was broken, because an upstream of it was lost or cells
 * were bound anew, is no longer a call on what the account holds.
 */
static void drop_broken_claims(struct run *run)
{
	for (uint32_t i = 0; i < sched_handle_count(run->sched); i++) {
		const struct job *j = sched_job(run->sched, i);
		struct life *l = j ? j->spec.owner : NULL;

		if (l && l->reclaim_ms &&
		    (j->state == JOB_WAITING ||
		     (j->state == JOB_CLAIMING && !j->reclaims))) {
			l->reclaim_ms = 0;
			run->r->broken_claims++;
		}
	}
}

static void decide(struct run *run)
{
	struct actions a = {0};

	sched_decide(run->sched, run->now_ms, &a);
	for (uint32_t i = 0; i < a.len; i++) {
		const struct job *j = sched_job(run->sched, a.list[i].job);
		const struct job *by = sched_job(run->sched, a.list[i].cause);

		if (a.list[i].tag == ACTION_START)
			started(run, j->spec.owner);
		else
			evicted(run, j->spec.owner, by ? by->spec.owner : NULL);
	}
	actions_clear(&a);
	drop_broken_claims(run);
}

static void finished(struct run *run, struct life *l)
{
	const struct arrival *a = l->arrival;

	sched_remove(run->sched, l->handle);
	l->queued = false;
	l->running = false;
	l->ended = true;
	histogram_add(&run->r->done[a->kind], (run->now_ms - a->at_ms) * 1000);
}

/* Put a job that was stopped back into the queue, from its checkpoint. */
static void stopped(struct run *run, struct life *l)
{
	uint64_t ran = run->now_ms - l->started_ms;

	l->left_ms = l->left_ms > ran ? l->left_ms - ran : 1;
	l->running = false;
	l->attempt++;
	sched_requeue(run->sched, l->handle);
}

/* Bind other cells in place of those on a lost upstream. */
static void rebind(struct run *run, uint32_t u)
{
	struct inventory *s = sched_inventory(run->sched);
	struct cell c;

	for (uint32_t a = 0; a < ACCOUNTS; a++) {
		if (!upstream_bound_mask(inventory_upstream(s, u), a))
			continue;
		inventory_unbind_upstream(s, u);
		if (bind_find_cell(s, CELL_UPSTREAM, a, &c))
			bind_apply_cell(s, &c);
		sched_update_usage(run->sched);
	}
}

static void lose_upstream(struct run *run, uint32_t u)
{
	inventory_set_usable(sched_inventory(run->sched), u, false);
	rebind(run, u);
	for (uint32_t i = 0; i < sched_handle_count(run->sched); i++) {
		const struct job *j = sched_job(run->sched, i);
		bool there = false;

		if (!j || (j->state != JOB_PLACED && j->state != JOB_EVICTING))
			continue;
		for (uint32_t p = 0; p < j->spec.shape.parts; p++)
			there = there || j->parts[p].upstream == u;
		if (there)
			stopped(run, j->spec.owner);
	}
	push(run, run->now_ms + 10 * 60000, EVENT_BACK, u, 0);
	push(run,
	     run->now_ms +
		     (uint64_t)exponential(&run->seed, run->mix->fail_every_ms),
	     EVENT_LOST, (uint32_t)(random01(&run->seed) * UPSTREAMS), 0);
}

static void happen(struct run *run, const struct event *e)
{
	struct life *l = &run->lives[e->index];

	switch (e->tag) {
	case EVENT_ARRIVE:
		arrive(run, e->index);
		break;
	case EVENT_END:
		if (l->running && l->attempt == e->attempt)
			finished(run, l);
		break;
	case EVENT_STOPPED:
		if (l->running && l->attempt == e->attempt)
			stopped(run, l);
		break;
	case EVENT_LOST:
		lose_upstream(run, e->index);
		break;
	case EVENT_BACK:
		inventory_set_usable(sched_inventory(run->sched), e->index,
				     true);
		break;
	}
}

static void integrate(struct run *run, uint64_t until)
{
	double dt = (double)(until - run->now_ms);
	struct fragmentation f;

	inventory_measure_fragmentation(sched_inventory(run->sched), &f);
	if (f.free)
		run->r->fragmentation +=
			dt * (1.0 - (double)f.largest_whole_run / f.free);
	run->r->largest += dt * f.largest_whole_run;
	if (f.free)
		run->r->whole += dt * f.free_whole / f.free;
	run->r->busy += dt * f.used;
	run->weighted_ms += dt;
}

static void play(struct run *run)
{
	uint64_t end = run->mix->hours * (uint64_t)HOUR_MS;

	while (run->heap->len) {
		uint64_t at = slot(run, 0)->at_ms;

		if (at > end)
			break;
		at = (at / DECIDE_MS + 1) * DECIDE_MS;
		integrate(run, at);
		run->now_ms = at;
		while (run->heap->len && slot(run, 0)->at_ms < at) {
			struct event e = pop(run);

			happen(run, &e);
		}
		decide(run);
	}
	run->r->fragmentation /= run->weighted_ms;
	run->r->largest /= run->weighted_ms;
	run->r->whole /= run->weighted_ms;
	run->r->busy /= run->weighted_ms * TOTAL;
}

/*
 * Play one seed's arrivals under a policy and add what is measured to r,
 * whose averages are those of this run.
 */
static void run_once(const struct mix *m, enum place_policy place_policy,
		     uint64_t seed, struct result *r)
{
	struct run run = {.mix = m, .seed = seed * 7919 + 1, .r = r};

	r->fragmentation = r->largest = r->whole = r->busy = 0;
	run.arrivals = make_arrivals(m, seed * 104729 + 17);
	run.lives = g_new0(struct life, run.arrivals->len);
	run.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	run.sched = make_sched(m, place_policy);
	for (guint i = 0; i < run.arrivals->len; i++) {
		const struct arrival *a =
			&g_array_index(run.arrivals, struct arrival, i);

		run.lives[i].arrival = a;
		run.lives[i].left_ms = a->run_ms;
		push(&run, a->at_ms, EVENT_ARRIVE, i, 0);
	}
	push(&run, (uint64_t)exponential(&run.seed, m->fail_every_ms),
	     EVENT_LOST, (uint32_t)(random01(&run.seed) * UPSTREAMS), 0);
	play(&run);
	for (guint i = 0; i < run.arrivals->len; i++)
		r->unfinished += !run.lives[i].first_start_ms &&
				 run.lives[i].arrival->kind == KIND_GANG;
	sched_destroy(run.sched);
	g_array_free(run.arrivals, TRUE);
	g_array_free(run.heap, TRUE);
	g_free(run.lives);
}

static double seconds(uint64_t us)
{
	return (double)us / 1e6;
}

static void print_row(const char *place_policy, const struct result *r,
		      const struct result *mean)
{
	printf("%-13s busy %.3f fragmentation %.3f largest %.1f whole %.2f",
	       place_policy, mean->busy, mean->fragmentation, mean->largest,
	       mean->whole);
	for (int k = 0; k < KIND_COUNT; k++)
		printf(" %s_wait_s %.2f/%.2f", kind_names[k],
		       seconds(histogram_quantile_us(&r->wait[k], 0.5)),
		       seconds(histogram_quantile_us(&r->wait[k], 0.99)));
	printf(" gang_done_s %.0f/%.0f",
	       seconds(histogram_quantile_us(&r->done[KIND_GANG], 0.5)),
	       seconds(histogram_quantile_us(&r->done[KIND_GANG], 0.99)));
	printf(" reclaims %llu reclaim_s %.2f/%.2f late %llu broken %llu "
	       "partial %llu "
	       "evictions %llu evicted_accelerators %llu gangs_waiting "
	       "%llu\n",
	       (unsigned long long)r->reclaim.count,
	       seconds(histogram_quantile_us(&r->reclaim, 0.5)),
	       seconds(r->reclaim.max_us), (unsigned long long)r->late_reclaims,
	       (unsigned long long)r->broken_claims,
	       (unsigned long long)r->partial, (unsigned long long)r->evictions,
	       (unsigned long long)r->evicted_accelerators,
	       (unsigned long long)r->unfinished);
	fflush(stdout);
}

static void run_policy(const struct mix *m, enum place_policy place_policy,
		       uint32_t from, uint32_t seeds)
{
	struct result *r = g_new0(struct result, 1);
	struct result *mean = g_new0(struct result, 1);

	for (uint32_t i = 0; i < seeds; i++) {
		run_once(m, place_policy, from + i, r);
		mean->fragmentation += r->fragmentation / seeds;
		mean->largest += r->largest / seeds;
		mean->whole += r->whole / seeds;
		mean->busy += r->busy / seeds;
	}
	print_row(policy_names[place_policy], r, mean);
	g_free(mean);
	g_free(r);
}

static int run_mix(const char *deployment, uint32_t from, uint32_t seeds)
{
	for (size_t i = 0; i < G_N_ELEMENTS(mixes); i++) {
		if (strcmp(mixes[i].name, deployment))
			continue;
		for (int p = PLACE_POLICY_BOUND; p <= PLACE_POLICY_LEAST_LOADED;
		     p++)
			run_policy(&mixes[i], p, from, seeds);
		return 0;
	}
	fprintf(stderr, "model: %s: no such deployment\n", deployment);
	return 2;
}

/* What a decision costs */

static void fill_tasks(struct sched *s, uint32_t tasks, uint32_t accounts)
{
	struct actions a = {0};

	for (uint32_t i = 0; i < tasks; i++) {
		bool small = i % 16 != 0;
		struct job_spec spec = {.job_class = CLASS_BATCH,
					.shape = {.parts = 1,
						  .accelerators = small ? 0 : 1,
						  .slots = 1,
						  .account = i % accounts}};
		uint32_t job;

		sched_submit(s, &spec, &job);
	}
	sched_decide(s, 1, &a);
	actions_clear(&a);
}

/* Submit, decide and remove jobs of one size; print the cost of each. */
static void time_decisions(struct sched *s, uint32_t parts, uint32_t accounts,
			   uint64_t now)
{
	struct histogram *h = g_new0(struct histogram, 1);
	uint32_t placed = 0;

	for (uint32_t i = 0; i < 300; i++) {
		struct job_spec spec = {.job_class = CLASS_BATCH,
					.shape = {.parts = parts,
						  .accelerators = 1,
						  .account = i % accounts},
					.submitted_ms = now};
		struct actions a = {0};
		uint64_t began = clock_mono_us();
		uint32_t job;

		if (sched_submit(s, &spec, &job) != SUBMIT_OK)
			continue;
		sched_decide(s, now + i, &a);
		histogram_add(h, clock_mono_us() - began);
		placed += sched_job(s, job)->state == JOB_PLACED;
		sched_remove(s, job);
		actions_clear(&a);
	}
	printf(" parts_%u_us %llu/%llu placed %u", parts,
	       (unsigned long long)histogram_quantile_us(h, 0.5),
	       (unsigned long long)histogram_quantile_us(h, 0.99), placed);
	g_free(h);
}

static int run_cost(uint32_t upstreams, uint32_t tasks, uint32_t accounts)
{
	struct sched_limits l = {.hold_after_ms = HOLD_AFTER_MS,
				 .account_queue_max = UINT32_MAX};
	size_t began = mallinfo2().uordblks, with_upstreams, with_tasks;
	struct inventory *inventory = inventory_create();
	char name[32], rack[32];
	struct sched *s;
	struct cell c;

	for (uint32_t i = 0; i < upstreams; i++) {
		snprintf(name, sizeof(name), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / RACK);
		/* 8,100 accelerators on 6,100 upstreams, 80,000 tasks */
		inventory_add_upstream(inventory, name, rack, i % 3 ? 1 : 2, 20,
				       2);
	}
	for (uint32_t a = 0; a < accounts; a++)
		if (bind_find_cell(inventory, CELL_UPSTREAM, a, &c))
			bind_apply_cell(inventory, &c);
	s = sched_create(inventory, PLACE_POLICY_BOUND, &l);
	with_upstreams = mallinfo2().uordblks;
	fill_tasks(s, tasks, accounts);
	with_tasks = mallinfo2().uordblks;
	printf("upstreams %u tasks %u accounts %u", upstreams, tasks, accounts);
	time_decisions(s, 1, accounts, 100);
	time_decisions(s, 16, accounts, 1000);
	time_decisions(s, 256, accounts, 2000);
	printf(" bytes_per_upstream %.0f bytes_per_task %.0f\n",
	       (double)(with_upstreams - began) / upstreams,
	       tasks ? (double)(with_tasks - with_upstreams) / tasks : 0);
	sched_destroy(s);
	return 0;
}

int main(int argc, char **argv)
{
	char *deployment = NULL;
	gint seeds = 20, from = 1, upstreams = 610, tasks = 8000;
	gint accounts = 90, jobs = 500, seconds = 20, seed = 1;
	gdouble load = 1;
	GOptionEntry entries[] = {
		{"deployment", 'd', 0, G_OPTION_ARG_STRING, &deployment,
		 "mix: barsha or midlands", "NAME"},
		{"seeds", 'n', 0, G_OPTION_ARG_INT, &seeds, "mix: runs", "N"},
		{"from", 'f', 0, G_OPTION_ARG_INT, &from, "mix: first seed",
		 "N"},
		{"upstreams", 'u', 0, G_OPTION_ARG_INT, &upstreams,
		 "cost, pass, day: upstreams", "N"},
		{"tasks", 't', 0, G_OPTION_ARG_INT, &tasks,
		 "cost, pass: tasks of all jobs", "N"},
		{"jobs", 'j', 0, G_OPTION_ARG_INT, &jobs,
		 "pass: jobs that are always there", "N"},
		{"seconds", 's', 0, G_OPTION_ARG_INT, &seconds,
		 "pass, day: virtual time", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "pass, day", "N"},
		{"load", 'l', 0, G_OPTION_ARG_DOUBLE, &load,
		 "day: arrivals over the site's", "X"},
		{"accounts", 'a', 0, G_OPTION_ARG_INT, &accounts,
		 "cost: client accounts", "N"},
		{0}};
	GOptionContext *o = g_option_context_new("mix|cost|pass|day - the "
						 "scheduler alone");
	struct play_options play;
	GError *err = NULL;
	int rc = 2;

	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err) || argc != 2 ||
	    seeds < 1 || upstreams < 1 || accounts < 1 || tasks < 0 ||
	    jobs < 1 || seconds < 1 || load <= 0) {
		fprintf(stderr, "model: %s\n",
			err ? err->message : "no such play, see --help");
		goto out;
	}
	play = (struct play_options){.upstreams = (uint32_t)upstreams,
				     .jobs = (uint32_t)jobs,
				     .tasks = (uint32_t)tasks,
				     .seconds = (uint32_t)seconds,
				     .seed = (uint64_t)seed,
				     .load = load};
	if (!strcmp(argv[1], "mix"))
		rc = run_mix(deployment ? deployment : "barsha", (uint32_t)from,
			     (uint32_t)seeds);
	else if (!strcmp(argv[1], "cost"))
		rc = run_cost((uint32_t)upstreams, (uint32_t)tasks,
			      (uint32_t)accounts);
	else if (!strcmp(argv[1], "pass"))
		rc = play_measure_pass_cost(&play);
	else if (!strcmp(argv[1], "day"))
		rc = play_simulate_day(&play);
	else
		fprintf(stderr, "model: %s: no such play\n", argv[1]);
out:
	g_clear_error(&err);
	g_option_context_free(o);
	g_free(deployment);
	return rc;
}
