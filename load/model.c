/*
 * Model: runs the scheduler alone, in virtual time and on generated arrivals,
 * to compare placement policies and to measure the cost of a decision.  It
 * uses no sockets and no processes; upstreams are only simulated.
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

#define UPSTREAM_COUNT 50
#define RACK_UPSTREAM_COUNT 8
#define ACCELERATORS_PER_UPSTREAM 8
#define ACCELERATOR_COUNT (UPSTREAM_COUNT * ACCELERATORS_PER_UPSTREAM)
#define ACCOUNT_COUNT 4
#define DECISION_INTERVAL_MS 25
/* Each account keeps this many accelerators free for urgent work. */
#define HEADROOM_ACCELERATORS 4
#define EVICTION_GRACE_MS 500
#define LEASE_TERM_MS 3000
/* Share of runs that ignore a stop and end with their lease. */
#define IGNORE_STOP_PERCENT 10
#define HOLD_AFTER_MS 60000
#define HOUR_MS 3600000.0

enum job_kind { KIND_URGENT, KIND_BATCH, KIND_GANG, KIND_QUIET, KIND_COUNT };

static const char *const kind_names[] = {"urgent", "batch", "gang", "quiet"};
static const char *const policy_names[] = {"bound", "first_fit",
					   "least_loaded"};

/* The workload of a deployment.  Run times and failures are exponential. */
struct workload {
	const char *name;
	double load; /* share of all accelerators */
	/* Share of the load by kind; that of urgent jobs is urgent_per_s. */
	double load_share[KIND_COUNT];
	double urgent_per_s;
	double mean_batch_ms;
	double mean_gang_ms;
	double mean_quiet_ms;
	uint32_t gang_accelerators[4];
	uint32_t guaranteed_upstreams[ACCOUNT_COUNT];
	double burst_interval_ms; /* constant */
	uint32_t burst_jobs;
	double mean_failure_interval_ms; /* between losses of an upstream */
	uint32_t duration_h;
	uint32_t headroom; /* accelerators of each account */
};

static const struct workload workloads[] = {
	{.name = "barsha",
	 .load = 0.95,
	 .load_share = {0, 0.45, 0.35, 0.20},
	 .urgent_per_s = 0.5,
	 .mean_batch_ms = 15 * 60000.0,
	 .mean_gang_ms = HOUR_MS,
	 .mean_quiet_ms = 30 * 60000.0,
	 .gang_accelerators = {16, 16, 32, 48},
	 .guaranteed_upstreams = {16, 8, 4, 2},
	 .burst_interval_ms = 2 * HOUR_MS,
	 .burst_jobs = 200,
	 .mean_failure_interval_ms = HOUR_MS,
	 .duration_h = 12,
	 .headroom = HEADROOM_ACCELERATORS},
	{.name = "midlands",
	 .load = 0.90,
	 .load_share = {0, 0.15, 0.55, 0.30},
	 .urgent_per_s = 0.3,
	 .mean_batch_ms = 10 * 60000.0,
	 .mean_gang_ms = 2 * HOUR_MS,
	 .mean_quiet_ms = 30 * 60000.0,
	 .gang_accelerators = {16, 32, 48, 64},
	 .guaranteed_upstreams = {14, 10, 4, 2},
	 .burst_interval_ms = 3 * HOUR_MS,
	 .burst_jobs = 150,
	 .mean_failure_interval_ms = HOUR_MS,
	 .duration_h = 12,
	 .headroom = HEADROOM_ACCELERATORS},
};

struct arrival {
	uint64_t at_ms;
	enum job_kind kind;
	uint32_t account;
	uint32_t parts;
	uint32_t accelerators;
	uint64_t run_ms;
};

enum event_tag {
	EVENT_JOB_ARRIVAL,
	EVENT_RUN_END,
	EVENT_RUN_STOPPED,
	EVENT_UPSTREAM_LOST,
	EVENT_UPSTREAM_RESTORED
};

struct event {
	uint64_t at_ms;
	uint64_t sequence; /* orders events of the same time */
	enum event_tag tag;
	uint32_t index;	  /* of the job or the upstream */
	uint64_t attempt; /* of the job; events of older attempts are stale */
};

/* The state of one job during a simulation. */
struct sim_job {
	const struct arrival *arrival;
	uint32_t handle;
	bool queued;
	bool running;
	bool ended;
	uint64_t attempt;
	uint64_t started_ms;
	uint64_t remaining_ms;
	uint64_t first_start_ms;
	uint64_t reclaim_started_ms;
};

struct result {
	struct histogram wait_time[KIND_COUNT];
	struct histogram turnaround[KIND_COUNT];
	struct histogram reclaim_time;
	/* Averages over virtual time. */
	double fragmentation;
	double largest_whole_run;
	double whole_free_share; /* of free accelerators, on free upstreams */
	double used_share;
	uint64_t evictions;
	uint64_t evicted_accelerators;
	uint64_t gangs_waiting; /* never started */
	uint64_t late_reclaims;
	uint64_t broken_claims;
	uint64_t partial_starts; /* parts started without all accelerators */
};

struct simulation {
	const struct workload *workload;
	GArray *arrivals;
	struct sim_job *sim_jobs;
	GArray *heap;
	struct sched *sched;
	uint64_t now_ms;
	uint64_t next_sequence;
	uint64_t seed;
	double simulated_ms;
	struct result *result;
};

/*
 * Return a number in [0, 1) from a seeded xorshift generator, so that every
 * policy gets the same arrivals.
 */
static double random_unit(uint64_t *seed)
{
	*seed ^= *seed << 13;
	*seed ^= *seed >> 7;
	*seed ^= *seed << 17;
	return (double)(*seed >> 11) / 9007199254740992.0;
}

static double random_exponential(uint64_t *seed, double mean)
{
	return -mean * log(1.0 - random_unit(seed));
}

/* Arrivals */

static uint32_t random_account(uint64_t *seed)
{
	static const double cumulative_share[] = {0.45, 0.75, 0.9, 1.0};
	double x = random_unit(seed);
	uint32_t a = 0;

	while (a + 1 < ACCOUNT_COUNT && x > cumulative_share[a])
		a++;
	return a;
}

/* Draw the size and the run time of a job of the kind of a. */
static void draw_shape(const struct workload *m, struct arrival *a,
		       uint64_t *seed)
{
	uint32_t size;

	a->parts = 1;
	a->accelerators = 1;
	switch (a->kind) {
	case KIND_URGENT:
		a->run_ms = 1000 + (uint64_t)random_exponential(seed, 4000);
		break;
	case KIND_BATCH:
		a->accelerators = 1u << (uint32_t)(random_unit(seed) * 3);
		a->run_ms = 1000 + (uint64_t)random_exponential(
					   seed, m->mean_batch_ms);
		break;
	case KIND_GANG:
		size = m->gang_accelerators[(uint32_t)(random_unit(seed) * 4)];
		a->accelerators = 8;
		a->parts = size / 8;
		a->run_ms = 1000 +
			    (uint64_t)random_exponential(seed, m->mean_gang_ms);
		break;
	case KIND_QUIET:
		a->run_ms = 1000 + (uint64_t)random_exponential(
					   seed, m->mean_quiet_ms);
		break;
	case KIND_COUNT:
		break;
	}
}

static void add_arrival(GArray *all, const struct workload *m, enum job_kind k,
			uint64_t at, uint64_t *seed)
{
	struct arrival a = {.at_ms = at, .kind = k};

	a.account = random_account(seed);
	draw_shape(m, &a, seed);
	g_array_append_val(all, a);
}

static gint compare_arrivals(gconstpointer a, gconstpointer b)
{
	const struct arrival *x = a, *y = b;

	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

/* Return the mean accelerator-milliseconds of one job of kind k. */
static double mean_accelerator_ms(const struct workload *m, enum job_kind k)
{
	double gang = 0;

	for (int i = 0; i < 4; i++)
		gang += m->gang_accelerators[i] / 4.0;
	switch (k) {
	case KIND_BATCH:
		return m->mean_batch_ms * 7 / 3;
	case KIND_GANG:
		return m->mean_gang_ms * gang;
	case KIND_QUIET:
		return m->mean_quiet_ms;
	default:
		return 0;
	}
}

/* Return the arrivals of the whole duration, ordered by time. */
static GArray *generate_arrivals(const struct workload *m, uint64_t seed)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	double end = m->duration_h * HOUR_MS;

	for (int k = 0; k < KIND_COUNT; k++) {
		double gap = k == KIND_URGENT
				     ? 1000 / m->urgent_per_s
				     : mean_accelerator_ms(m, k) /
					       (m->load * m->load_share[k] *
						ACCELERATOR_COUNT);

		for (double t = random_exponential(&seed, gap); t < end;
		     t += random_exponential(&seed, gap))
			add_arrival(all, m, k, (uint64_t)t, &seed);
	}
	/* Bursts of many small jobs, followed by some large ones. */
	for (double t = m->burst_interval_ms; t < end;
	     t += m->burst_interval_ms) {
		for (uint32_t i = 0; i < m->burst_jobs; i++)
			add_arrival(all, m, KIND_QUIET, (uint64_t)t, &seed);
		for (uint32_t i = 0; i < 3; i++)
			add_arrival(all, m, KIND_GANG, (uint64_t)t + 1000,
				    &seed);
	}
	g_array_sort(all, compare_arrivals);
	return all;
}

/* Events: a heap ordered by time */

static bool event_precedes(const struct event *a, const struct event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms
				    : a->sequence < b->sequence;
}

static struct event *heap_entry(struct simulation *sim, guint i)
{
	return &g_array_index(sim->heap, struct event, i);
}

static void push_event(struct simulation *sim, uint64_t at, enum event_tag tag,
		       uint32_t index, uint64_t attempt)
{
	struct event e = {at, sim->next_sequence++, tag, index, attempt};
	guint i = sim->heap->len;

	g_array_append_val(sim->heap, e);
	while (i && event_precedes(&e, heap_entry(sim, (i - 1) / 2))) {
		*heap_entry(sim, i) = *heap_entry(sim, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	*heap_entry(sim, i) = e;
}

static struct event pop_event(struct simulation *sim)
{
	struct event top = *heap_entry(sim, 0);
	struct event last = *heap_entry(sim, sim->heap->len - 1);
	guint i = 0, n = sim->heap->len - 1;

	g_array_set_size(sim->heap, n);
	while (n) {
		guint c = i * 2 + 1;

		if (c >= n)
			break;
		if (c + 1 < n &&
		    event_precedes(heap_entry(sim, c + 1), heap_entry(sim, c)))
			c++;
		if (!event_precedes(heap_entry(sim, c), &last))
			break;
		*heap_entry(sim, i) = *heap_entry(sim, c);
		i = c;
	}
	if (n)
		*heap_entry(sim, i) = last;
	return top;
}

/* Simulation */

/* Create the scheduler with its inventory and the guaranteed cells bound. */
static struct sched *create_sched(const struct workload *m,
				  enum place_policy policy)
{
	struct sched_limits l = {.hold_after_ms = HOLD_AFTER_MS,
				 .account_queue_max = UINT32_MAX};
	struct inventory *s = inventory_create();
	char name[32], rack[32];
	struct sched *sched;
	struct cell c;

	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
		snprintf(name, sizeof(name), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / RACK_UPSTREAM_COUNT);
		inventory_add_upstream(s, name, rack, ACCELERATORS_PER_UPSTREAM,
				       8, 2);
	}
	for (uint32_t a = 0; a < ACCOUNT_COUNT; a++)
		for (uint32_t i = 0; i < m->guaranteed_upstreams[a]; i++)
			if (bind_find_cell(s, CELL_UPSTREAM, a, &c))
				bind_apply_cell(s, &c);
	sched = sched_create(s, policy, &l);
	for (uint32_t a = 0; a < ACCOUNT_COUNT; a++)
		sched_set_headroom(sched, a, m->headroom);
	return sched;
}

static void submit_arrival(struct simulation *sim, uint32_t i)
{
	static const enum job_class classes[] = {CLASS_URGENT, CLASS_BATCH,
						 CLASS_BATCH, CLASS_QUIET};
	struct sim_job *l = &sim->sim_jobs[i];
	const struct arrival *a = l->arrival;
	struct job_spec spec = {.job_class = classes[a->kind],
				.shape = {.parts = a->parts,
					  .accelerators = a->accelerators,
					  .account = a->account},
				.submitted_ms = sim->now_ms,
				.owner = l};

	if (sched_submit(sim->sched, &spec, &l->handle) == SUBMIT_OK)
		l->queued = true;
	else
		l->ended = true;
}

static uint32_t sim_job_index(const struct simulation *sim,
			      const struct sim_job *l)
{
	return (uint32_t)(l - sim->sim_jobs);
}

/* Record the start of l and schedule the end of its run. */
static void record_start(struct simulation *sim, struct sim_job *l)
{
	const struct arrival *a = l->arrival;
	const struct job *j = sched_job(sim->sched, l->handle);

	l->running = true;
	l->attempt++;
	l->started_ms = sim->now_ms;
	for (uint32_t i = 0; i < a->parts; i++)
		if ((uint32_t)__builtin_popcount(j->parts[i].mask) !=
		    a->accelerators)
			sim->result->partial_starts++;
	if (!l->first_start_ms) {
		l->first_start_ms = sim->now_ms;
		histogram_add(&sim->result->wait_time[a->kind],
			      (sim->now_ms - a->at_ms) * 1000);
	}
	if (l->reclaim_started_ms) {
		uint64_t took = sim->now_ms - l->reclaim_started_ms;

		histogram_add(&sim->result->reclaim_time, took * 1000);
		if (took > EVICTION_GRACE_MS + LEASE_TERM_MS +
				   2 * DECISION_INTERVAL_MS)
			sim->result->late_reclaims++;
		l->reclaim_started_ms = 0;
	}
	push_event(sim, sim->now_ms + l->remaining_ms, EVENT_RUN_END,
		   sim_job_index(sim, l), l->attempt);
}

/*
 * Record the eviction of l for `by`, which may be NULL, and schedule its stop:
 * after the grace period, or at the end of the lease if it ignores the stop.
 */
static void record_eviction(struct simulation *sim, struct sim_job *l,
			    struct sim_job *by)
{
	uint64_t stop = EVICTION_GRACE_MS;

	sim->result->evictions++;
	sim->result->evicted_accelerators +=
		l->arrival->parts * l->arrival->accelerators;
	if (by && !by->reclaim_started_ms)
		by->reclaim_started_ms = sim->now_ms;
	if (random_unit(&sim->seed) * 100 < IGNORE_STOP_PERCENT)
		stop = LEASE_TERM_MS;
	push_event(sim, sim->now_ms + stop, EVENT_RUN_STOPPED,
		   sim_job_index(sim, l), l->attempt);
}

/*
 * Stop measuring reclaims whose claim was dropped because one of its upstreams
 * was lost or cells were rebound: they are no longer reclaims of guaranteed
 * accelerators.
 */
static void drop_broken_claims(struct simulation *sim)
{
	for (uint32_t i = 0; i < sched_handle_count(sim->sched); i++) {
		const struct job *j = sched_job(sim->sched, i);
		struct sim_job *l = j ? j->spec.owner : NULL;

		if (l && l->reclaim_started_ms &&
		    (j->state == JOB_WAITING ||
		     (j->state == JOB_CLAIMING && !j->reclaims))) {
			l->reclaim_started_ms = 0;
			sim->result->broken_claims++;
		}
	}
}

static void run_decision(struct simulation *sim)
{
	struct actions a = {0};

	sched_decide(sim->sched, sim->now_ms, &a);
	for (uint32_t i = 0; i < a.len; i++) {
		const struct job *j = sched_job(sim->sched, a.list[i].job);
		const struct job *by = sched_job(sim->sched, a.list[i].cause);

		if (a.list[i].tag == ACTION_START)
			record_start(sim, j->spec.owner);
		else
			record_eviction(sim, j->spec.owner,
					by ? by->spec.owner : NULL);
	}
	actions_clear(&a);
	drop_broken_claims(sim);
}

static void finish_job(struct simulation *sim, struct sim_job *l)
{
	const struct arrival *a = l->arrival;

	sched_remove(sim->sched, l->handle);
	l->queued = false;
	l->running = false;
	l->ended = true;
	histogram_add(&sim->result->turnaround[a->kind],
		      (sim->now_ms - a->at_ms) * 1000);
}

/* Requeue a stopped job; it resumes with the work that remains. */
static void requeue_stopped(struct simulation *sim, struct sim_job *l)
{
	uint64_t ran = sim->now_ms - l->started_ms;

	l->remaining_ms = l->remaining_ms > ran ? l->remaining_ms - ran : 1;
	l->running = false;
	l->attempt++;
	sched_requeue(sim->sched, l->handle);
}

/* Replace the cells bound on the lost upstream u by others. */
static void rebind_guarantees(struct simulation *sim, uint32_t u)
{
	struct inventory *s = sched_inventory(sim->sched);
	struct cell c;

	for (uint32_t a = 0; a < ACCOUNT_COUNT; a++) {
		if (!upstream_bound_mask(inventory_upstream(s, u), a))
			continue;
		inventory_unbind_upstream(s, u);
		if (bind_find_cell(s, CELL_UPSTREAM, a, &c))
			bind_apply_cell(s, &c);
		sched_update_usage(sim->sched);
	}
}

/* Schedule the next loss of a random upstream. */
static void schedule_loss(struct simulation *sim)
{
	uint32_t u = (uint32_t)(random_unit(&sim->seed) * UPSTREAM_COUNT);
	double wait_ms = random_exponential(
		&sim->seed, sim->workload->mean_failure_interval_ms);

	push_event(sim, sim->now_ms + (uint64_t)wait_ms, EVENT_UPSTREAM_LOST, u,
		   0);
}

/*
 * Take upstream u out of use for 10 minutes, requeue its jobs and schedule the
 * loss of another one.
 */
static void lose_upstream(struct simulation *sim, uint32_t u)
{
	inventory_set_usable(sched_inventory(sim->sched), u, false);
	rebind_guarantees(sim, u);
	for (uint32_t i = 0; i < sched_handle_count(sim->sched); i++) {
		const struct job *j = sched_job(sim->sched, i);
		bool there = false;

		if (!j || (j->state != JOB_PLACED && j->state != JOB_EVICTING))
			continue;
		for (uint32_t p = 0; p < j->spec.shape.parts; p++)
			there = there || j->parts[p].upstream == u;
		if (there)
			requeue_stopped(sim, j->spec.owner);
	}
	push_event(sim, sim->now_ms + 10 * 60000, EVENT_UPSTREAM_RESTORED, u,
		   0);
	schedule_loss(sim);
}

static void apply_event(struct simulation *sim, const struct event *e)
{
	struct sim_job *l = &sim->sim_jobs[e->index];

	switch (e->tag) {
	case EVENT_JOB_ARRIVAL:
		submit_arrival(sim, e->index);
		break;
	case EVENT_RUN_END:
		if (l->running && l->attempt == e->attempt)
			finish_job(sim, l);
		break;
	case EVENT_RUN_STOPPED:
		if (l->running && l->attempt == e->attempt)
			requeue_stopped(sim, l);
		break;
	case EVENT_UPSTREAM_LOST:
		lose_upstream(sim, e->index);
		break;
	case EVENT_UPSTREAM_RESTORED:
		inventory_set_usable(sched_inventory(sim->sched), e->index,
				     true);
		break;
	}
}

/* Add the inventory's present state, weighted by the time until `until`. */
static void integrate_usage(struct simulation *sim, uint64_t until)
{
	double dt = (double)(until - sim->now_ms);
	struct fragmentation f;

	inventory_measure_fragmentation(sched_inventory(sim->sched), &f);
	if (f.free)
		sim->result->fragmentation +=
			dt * (1.0 - (double)f.largest_whole_run / f.free);
	sim->result->largest_whole_run += dt * f.largest_whole_run;
	if (f.free)
		sim->result->whole_free_share += dt * f.free_whole / f.free;
	sim->result->used_share += dt * f.used;
	sim->simulated_ms += dt;
}

/* Apply the events of each decision interval, then run a decision. */
static void simulate(struct simulation *sim)
{
	uint64_t end = sim->workload->duration_h * (uint64_t)HOUR_MS;

	while (sim->heap->len) {
		uint64_t at = heap_entry(sim, 0)->at_ms;

		if (at > end)
			break;
		at = (at / DECISION_INTERVAL_MS + 1) * DECISION_INTERVAL_MS;
		integrate_usage(sim, at);
		sim->now_ms = at;
		while (sim->heap->len && heap_entry(sim, 0)->at_ms < at) {
			struct event e = pop_event(sim);

			apply_event(sim, &e);
		}
		run_decision(sim);
	}
	sim->result->fragmentation /= sim->simulated_ms;
	sim->result->largest_whole_run /= sim->simulated_ms;
	sim->result->whole_free_share /= sim->simulated_ms;
	sim->result->used_share /= sim->simulated_ms * ACCELERATOR_COUNT;
}

/*
 * Simulate the arrivals of one seed under a policy.  The counters and
 * histograms of r accumulate over seeds; its averages are set to this seed's.
 */
static void simulate_seed(const struct workload *m, enum place_policy policy,
			  uint64_t seed, struct result *r)
{
	struct simulation sim = {
		.workload = m, .seed = seed * 7919 + 1, .result = r};

	r->fragmentation = r->largest_whole_run = r->whole_free_share =
		r->used_share = 0;
	sim.arrivals = generate_arrivals(m, seed * 104729 + 17);
	sim.sim_jobs = g_new0(struct sim_job, sim.arrivals->len);
	sim.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	sim.sched = create_sched(m, policy);
	for (guint i = 0; i < sim.arrivals->len; i++) {
		const struct arrival *a =
			&g_array_index(sim.arrivals, struct arrival, i);

		sim.sim_jobs[i].arrival = a;
		sim.sim_jobs[i].remaining_ms = a->run_ms;
		push_event(&sim, a->at_ms, EVENT_JOB_ARRIVAL, i, 0);
	}
	schedule_loss(&sim);
	simulate(&sim);
	for (guint i = 0; i < sim.arrivals->len; i++)
		r->gangs_waiting += !sim.sim_jobs[i].first_start_ms &&
				    sim.sim_jobs[i].arrival->kind == KIND_GANG;
	sched_destroy(sim.sched);
	g_array_free(sim.arrivals, TRUE);
	g_array_free(sim.heap, TRUE);
	g_free(sim.sim_jobs);
}

static double us_to_seconds(uint64_t us)
{
	return (double)us / 1e6;
}

static void print_row(const char *policy_name, const struct result *r,
		      const struct result *mean)
{
	printf("%-13s busy %.3f fragmentation %.3f largest %.1f whole %.2f",
	       policy_name, mean->used_share, mean->fragmentation,
	       mean->largest_whole_run, mean->whole_free_share);
	for (int k = 0; k < KIND_COUNT; k++)
		printf(" %s_wait_s %.2f/%.2f", kind_names[k],
		       us_to_seconds(
			       histogram_quantile_us(&r->wait_time[k], 0.5)),
		       us_to_seconds(
			       histogram_quantile_us(&r->wait_time[k], 0.99)));
	printf(" gang_done_s %.0f/%.0f",
	       us_to_seconds(
		       histogram_quantile_us(&r->turnaround[KIND_GANG], 0.5)),
	       us_to_seconds(
		       histogram_quantile_us(&r->turnaround[KIND_GANG], 0.99)));
	printf(" reclaims %llu reclaim_s %.2f/%.2f late %llu broken %llu "
	       "partial %llu "
	       "evictions %llu evicted_accelerators %llu gangs_waiting "
	       "%llu\n",
	       (unsigned long long)r->reclaim_time.count,
	       us_to_seconds(histogram_quantile_us(&r->reclaim_time, 0.5)),
	       us_to_seconds(r->reclaim_time.max_us),
	       (unsigned long long)r->late_reclaims,
	       (unsigned long long)r->broken_claims,
	       (unsigned long long)r->partial_starts,
	       (unsigned long long)r->evictions,
	       (unsigned long long)r->evicted_accelerators,
	       (unsigned long long)r->gangs_waiting);
	fflush(stdout);
}

static void run_policy(const struct workload *m, enum place_policy policy,
		       uint32_t from, uint32_t seeds)
{
	struct result *r = g_new0(struct result, 1);
	struct result *mean = g_new0(struct result, 1);

	for (uint32_t i = 0; i < seeds; i++) {
		simulate_seed(m, policy, from + i, r);
		mean->fragmentation += r->fragmentation / seeds;
		mean->largest_whole_run += r->largest_whole_run / seeds;
		mean->whole_free_share += r->whole_free_share / seeds;
		mean->used_share += r->used_share / seeds;
	}
	print_row(policy_names[policy], r, mean);
	g_free(mean);
	g_free(r);
}

static int run_mix(const char *deployment, uint32_t from, uint32_t seeds)
{
	for (size_t i = 0; i < G_N_ELEMENTS(workloads); i++) {
		if (strcmp(workloads[i].name, deployment))
			continue;
		for (int p = PLACE_POLICY_BOUND; p <= PLACE_POLICY_LEAST_LOADED;
		     p++)
			run_policy(&workloads[i], p, from, seeds);
		return 0;
	}
	fprintf(stderr, "model: %s: no such deployment\n", deployment);
	return 2;
}

/* Cost of a decision */

/* Submit and place single-part jobs; one of 16 needs an accelerator. */
static void submit_tasks(struct sched *s, uint32_t tasks, uint32_t accounts)
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

/* Submit, place and remove jobs of one size; print the time of a decision. */
static void measure_decisions(struct sched *s, uint32_t parts,
			      uint32_t accounts, uint64_t now)
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

/*
 * Print the time of decisions and the memory use per upstream and per task, at
 * a size.  Return 0.
 */
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
		snprintf(rack, sizeof(rack), "r%u", i / RACK_UPSTREAM_COUNT);
		/* 6,100 upstreams have 8,100 accelerators, for 80,000 tasks. */
		inventory_add_upstream(inventory, name, rack, i % 3 ? 1 : 2, 20,
				       2);
	}
	for (uint32_t a = 0; a < accounts; a++)
		if (bind_find_cell(inventory, CELL_UPSTREAM, a, &c))
			bind_apply_cell(inventory, &c);
	s = sched_create(inventory, PLACE_POLICY_BOUND, &l);
	with_upstreams = mallinfo2().uordblks;
	submit_tasks(s, tasks, accounts);
	with_tasks = mallinfo2().uordblks;
	printf("upstreams %u tasks %u accounts %u", upstreams, tasks, accounts);
	measure_decisions(s, 1, accounts, 100);
	measure_decisions(s, 16, accounts, 1000);
	measure_decisions(s, 256, accounts, 2000);
	printf(" bytes_per_upstream %.0f bytes_per_task %.0f\n",
	       (double)(with_upstreams - began) / upstreams,
	       tasks ? (double)(with_tasks - with_upstreams) / tasks : 0);
	sched_destroy(s);
	return 0;
}

int main(int argc, char **argv)
{
	char *deployment = NULL, *site = NULL;
	gint seeds = 20, from = 1, upstreams = 610, tasks = 8000;
	gint accounts = 90, jobs = 500, seconds = 20, seed = 1;
	gdouble load = 1;
	GOptionEntry entries[] = {
		{"deployment", 'd', 0, G_OPTION_ARG_STRING, &deployment,
		 "mix: barsha or midlands", "NAME"},
		{"seeds", 'n', 0, G_OPTION_ARG_INT, &seeds,
		 "mix: number of seeds", "N"},
		{"from", 'f', 0, G_OPTION_ARG_INT, &from, "mix: first seed",
		 "N"},
		{"upstreams", 'u', 0, G_OPTION_ARG_INT, &upstreams,
		 "cost, pass, day: upstreams", "N"},
		{"tasks", 't', 0, G_OPTION_ARG_INT, &tasks,
		 "cost, pass: total tasks", "N"},
		{"jobs", 'j', 0, G_OPTION_ARG_INT, &jobs,
		 "pass: constant number of jobs", "N"},
		{"seconds", 's', 0, G_OPTION_ARG_INT, &seconds,
		 "pass, day: virtual time", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed,
		 "pass, day: random seed", "N"},
		{"load", 'l', 0, G_OPTION_ARG_DOUBLE, &load,
		 "day: arrival rate as a multiple of the site's", "X"},
		{"site", 0, 0, G_OPTION_ARG_STRING, &site,
		 "pass, day: large or crowded", "NAME"},
		{"accounts", 'a', 0, G_OPTION_ARG_INT, &accounts,
		 "cost: client accounts", "N"},
		{0}};
	GOptionContext *o = g_option_context_new("mix|cost|pass|day - simulate "
						 "the scheduler alone");
	struct play_options options;
	GError *err = NULL;
	int rc = 2;

	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err) || argc != 2 ||
	    seeds < 1 || upstreams < 1 || accounts < 1 || tasks < 0 ||
	    jobs < 1 || seconds < 1 || load <= 0 || !play_site_is_known(site)) {
		fprintf(stderr, "model: %s\n",
			err ? err->message
			    : "missing command or option out of "
			      "range, see --help");
		goto out;
	}
	options = (struct play_options){.upstreams = (uint32_t)upstreams,
					.jobs = (uint32_t)jobs,
					.tasks = (uint32_t)tasks,
					.seconds = (uint32_t)seconds,
					.seed = (uint64_t)seed,
					.load = load,
					.site = site};
	if (!strcmp(argv[1], "mix"))
		rc = run_mix(deployment ? deployment : "barsha", (uint32_t)from,
			     (uint32_t)seeds);
	else if (!strcmp(argv[1], "cost"))
		rc = run_cost((uint32_t)upstreams, (uint32_t)tasks,
			      (uint32_t)accounts);
	else if (!strcmp(argv[1], "pass"))
		rc = play_measure_pass_cost(&options);
	else if (!strcmp(argv[1], "day"))
		rc = play_simulate_day(&options);
	else
		fprintf(stderr, "model: %s: no such command\n", argv[1]);
out:
	g_clear_error(&err);
	g_option_context_free(o);
	g_free(deployment);
	g_free(site);
	return rc;
}
