/*
 * One pass over the ready stages in order of rank and value. A stage that does
 * not fit reserves upstreams, and preempts other work there if that gains more
 * value than it loses.
 */
#include <string.h>

#include "sched/dispatch.h"
#include "sched/evict.h"
#include "sched/fallback.h"
#include "sched/fastest.h"
#include "sched/move.h"
#include "sched/suspect.h"
#include "sched/wait.h"

/* A gang reserves resources after it has waited this long. */
#define RESERVE_AFTER_MS 300

/*
 * Maximum time for which a stage whose service is mostly free waits for better
 * upstreams, as a gang for one rack: a faster run is not worth an idle site. A
 * longer wait there is also explained.
 */
#define IDLE_WAIT_MAX_MS 1500

/*
 * A guaranteed job preempts this long before its start deadline, to leave time
 * for records, orders and a second try.
 */
#define GUARANTEE_MARGIN_MS 600

/* Work that is not urgent preempts only within this margin of becoming late. */
#define DEADLINE_MARGIN_MS 1500

/*
 * Long-running work serves users of its own, so it ranks before the queues and
 * preempts after it has waited this long.
 */
#define LONG_RUNNING_WAIT_MS 1500

/*
 * Delay before a stage plans again after a failed preemption plan, a ninth of
 * the shortest stop, and the maximum number of failed plans in one pass. Stages
 * of higher rank and value plan first; due guarantees plan in every pass.
 */
#define PLAN_RETRY_MS 100
#define FAILED_PLANS_MAX 16

/*
 * Maximum share of the upstreams kept free for expected urgent work, so that
 * waiting work does not starve for work that may not arrive.
 */
#define HEADROOM_MAX_SHARE 0.25

/*
 * Suspects that run at a time: a share of the upstreams, as a divisor, and of
 * one step one, and more for each that was cleared.
 */
#define SUSPECT_SHARE_DIVISOR 4
#define SUSPECTS_PER_CLEARED 2

/*
 * Urgent work waits or preempts for faster upstreams than those that are free
 * if the value expected to be lost by their speed is at least this share of its
 * value, and if that leaves less than this share of the loss.
 */
#define FASTER_SHARE_MIN 0.2
#define FASTER_LOSS_SHARE 0.6

/* Longest wait that is estimated; a job that waits an hour has lost its value. */
#define WAIT_ESTIMATE_MAX_MS 3600000

/*
 * The stages of a complete occurrence are kept for this long, in which upstreams
 * may still list runs of it: the other members of a gang, or an earlier run that
 * was taken for lost.
 */
#define RELEASE_DELAY_MS 60000

/* A value above any loss. */
#define VALUE_MANDATORY 1e9

struct candidate {
	struct stage *stage;
	uint32_t rank;
	bool due;	/* its guarantee requires preemption now */
	double density; /* value per second of a mean upstream */
};

struct pass {
	const struct dispatch_input *input;
	struct value_context value;
	struct pack pack;
	struct evict *evict; /* created on first use */
	uint32_t failed_plans;
	const struct job *preemptor; /* the job that stops are made for */
	GArray *actions;
	GArray *candidates;
};

/* Return the name of c in logs. */
const char *stop_cause_name(enum stop_cause c)
{
	switch (c) {
	case STOP_CANCELLED:
		return "cancelled";
	case STOP_JOB_FAILED:
		return "job_failed";
	case STOP_PREEMPTED:
		return "room";
	case STOP_GANG_BROKEN:
		return "gang";
	case STOP_UPSTREAM_LEAVING:
		return "leaving";
	case STOP_UPSTREAM_SLOW:
		return "slow";
	case STOP_ALREADY_DONE:
		return "done_before";
	}
	return "";
}

/* Stop the run of t; no effect unless it is placed or running. */
static void stop_task(struct pass *p, struct task *t, enum stop_cause cause)
{
	struct action a = {
		.tag = ACTION_STOP, .task = t, .u.stop = {cause, p->preemptor}};

	if (t->state != TASK_PLACED && t->state != TASK_RUNNING)
		return;
	pack_record_stop(&p->pack, t);
	t->state = TASK_STOPPING;
	if (cause == STOP_PREEMPTED)
		t->stage->preempted++;
	g_array_append_val(p->actions, a);
}

/* Stop all runs of st. */
static void stop_stage(struct pass *p, struct stage *st, enum stop_cause cause)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		stop_task(p, &st->tasks[i], cause);
}

/* Stop the run of t, in a gang with all other members. */
static void stop_run(struct pass *p, struct task *t, enum stop_cause cause)
{
	if (t->stage->step->gang)
		stop_stage(p, t->stage, cause);
	else
		stop_task(p, t, cause);
}

/* Return the maximum accelerators that an unfinished urgent job needs. */
static int64_t urgent_accelerators(const struct job *j)
{
	int64_t max_accelerators = 0;

	if (j->priority || job_is_final(j))
		return 0;
	for (uint32_t k = 0; k < j->steps_len; k++)
		max_accelerators =
			MAX(max_accelerators,
			    j->steps[k].count * j->steps[k].need.accelerators);
	return max_accelerators;
}

/*
 * The accelerators that an account's urgent jobs need and that it is
 * guaranteed.
 */
struct account_demand {
	int64_t need;
	int64_t guaranteed;
};

/*
 * Set the rank of every job. A guarantee covers an account's urgent jobs only
 * if it covers all of them that have not ended.
 */
static void rank_jobs(const struct dispatch_input *input)
{
	GHashTable *accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct account_demand *a;

	for (uint32_t i = 0; i < input->guarantees_len; i++) {
		a = g_new0(struct account_demand, 1);
		a->guaranteed = input->guarantees[i].accelerators;
		g_hash_table_insert(accounts,
				    (gpointer)input->guarantees[i].account, a);
	}
	for (guint i = 0; i < input->jobs->len; i++) {
		const struct job *j = g_ptr_array_index(input->jobs, i);

		a = g_hash_table_lookup(accounts, j->account);
		if (a)
			a->need += urgent_accelerators(j);
	}
	for (guint i = 0; i < input->jobs->len; i++) {
		struct job *j = g_ptr_array_index(input->jobs, i);

		a = g_hash_table_lookup(accounts, j->account);
		if (j->priority)
			j->rank = RANK_URGENT + j->priority;
		else if (a && a->need <= a->guaranteed)
			j->rank = RANK_GUARANTEED;
		else
			j->rank = RANK_URGENT;
	}
	g_hash_table_destroy(accounts);
}

/*
 * Order candidates: due guarantees first, then by rank, by value per second, by
 * the time they became ready and by job id.
 */
static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;

	if (x->due != y->due)
		return x->due ? -1 : 1;
	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->density != y->density)
		return x->density > y->density ? -1 : 1;
	if (x->stage->since_ms != y->stage->since_ms)
		return x->stage->since_ms < y->stage->since_ms ? -1 : 1;
	return strcmp(x->stage->job->id, y->stage->job->id);
}

/* Stop the remaining members of a gang after one has ended. */
static void stop_broken_gang(struct pass *p, struct stage *st)
{
	if (st->step->gang && stage_waiting_count(st) && !stage_is_idle(st))
		stop_stage(p, st, STOP_GANG_BROKEN);
}

/* Stop the runs whose tasks an earlier run has completed. */
static void stop_already_done(struct pass *p, struct stage *st)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		if (st->tasks[i].earlier_run_done)
			stop_task(p, &st->tasks[i], STOP_ALREADY_DONE);
}

/* Report whether j must preempt now to meet its guarantee. */
static bool guarantee_is_due(const struct pass *p, const struct job *j)
{
	uint64_t waited_ms =
		p->input->now_ms - MIN(j->since_ms, p->input->now_ms);

	return waited_ms + p->input->stop_ms + GUARANTEE_MARGIN_MS >=
	       p->input->reclaim_ms;
}

/*
 * Add the stages of j that may start to the candidates. Stop the rest of broken
 * gangs and the runs of tasks that an earlier run has completed.
 */
static void collect_job_candidates(struct pass *p, struct job *j)
{
	uint32_t rank = j->rank;

	for (uint32_t i = 0; i < j->stages_len; i++) {
		struct candidate c = {.stage = &j->stages[i], .rank = rank};

		if (c.stage->step->long_running)
			c.rank = MIN(rank, RANK_URGENT);

		if (!stage_is_ready(c.stage, p->input->wall_ms))
			continue;
		if (!c.stage->since_ms) {
			c.stage->since_ms = p->input->now_ms;
			if (rank <= RANK_URGENT)
				estimator_record_urgent(p->input->estimator,
							c.stage,
							p->input->now_ms);
		}
		if (c.stage->earlier_run_done)
			stop_already_done(p, c.stage);
		stop_broken_gang(p, c.stage);
		if (p->input->stops_only ||
		    p->input->now_ms <= j->unknown_runs_end_ms)
			continue;
		if (!stage_waiting_count(c.stage) ||
		    (c.stage->step->gang && !stage_is_idle(c.stage)))
			continue;
		c.due = rank == RANK_GUARANTEED && guarantee_is_due(p, j);
		c.density = value_per_second(&p->value, c.stage);
		g_array_append_val(p->candidates, c);
	}
}

/* Collect the candidates of all jobs and sort them. */
static void collect_candidates(struct pass *p)
{
	uint64_t now_ms = p->input->now_ms;

	for (guint i = 0; i < p->input->jobs->len; i++) {
		struct job *j = g_ptr_array_index(p->input->jobs, i);

		if (job_is_final(j) || !j->queue_known)
			continue;
		job_release_complete(j, now_ms - MIN(RELEASE_DELAY_MS, now_ms));
		job_open_due(j, p->input->wall_ms);
		collect_job_candidates(p, j);
	}
	g_array_sort(p->candidates, compare_candidates);
}

/*
 * Estimate how long work of each rank waits to start: the time that all
 * upstreams together need for what waits at this rank and above.
 */
static void estimate_waits(struct pass *p)
{
	double sum_ms[VALUE_RANKS] = {0}, total_ms = 0;

	for (guint i = 0; i < p->candidates->len; i++) {
		const struct candidate *c =
			&g_array_index(p->candidates, struct candidate, i);

		sum_ms[MIN(c->rank, VALUE_RANKS - 1)] +=
			value_waiting_ms(&p->value, c->stage);
	}
	for (uint32_t rank = 0; rank < VALUE_RANKS; rank++) {
		total_ms += sum_ms[rank];
		p->value.wait_ms[rank] =
			MIN(total_ms / MAX(p->pack.n, 1), WAIT_ESTIMATE_MAX_MS);
	}
}

/* Stop all runs of j. */
static void stop_job(struct pass *p, struct job *j, enum stop_cause cause)
{
	for (uint32_t i = 0; i < j->stages_len; i++)
		stop_stage(p, &j->stages[i], cause);
}

/* Stop the runs of jobs that have ended. */
static void stop_unwanted(struct pass *p)
{
	for (guint i = 0; i < p->input->jobs->len; i++) {
		struct job *j = g_ptr_array_index(p->input->jobs, i);

		switch (j->state) {
		case JOB_QUEUED:
		case JOB_RUNNING:
			break;
		case JOB_COMPLETED:
		case JOB_CANCELLED:
			stop_job(p, j, STOP_CANCELLED);
			break;
		case JOB_FAILED:
			stop_job(p, j, STOP_JOB_FAILED);
			break;
		}
	}
}

/* Report whether t waits, and waits to be isolated or not. */
static bool waits(const struct pass *p, const struct task *t, bool isolated)
{
	return t->state == TASK_WAITING &&
	       suspect_is_isolated(t, p->input->now_ms) == isolated;
}

/* Return how many tasks of st wait to be isolated, or for any upstream. */
static uint32_t count_waiting(const struct pass *p, const struct stage *st,
			      bool isolated)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < st->step->count; i++)
		n += waits(p, &st->tasks[i], isolated);
	return n;
}

/*
 * Start waiting tasks of st on the chosen upstreams, those that are to be
 * isolated or the others.
 */
static void start_tasks(struct pass *p, struct stage *st, bool isolated)
{
	uint32_t next = 0, run = stage_next_run_number(st);

	if (st->step->gang)
		stage_share_checkpoint(st);
	for (uint32_t i = 0; i < p->pack.chosen_len; i++) {
		const struct pack_slot *s = &p->pack.chosen[i];

		for (uint32_t k = 0; k < s->count; k++) {
			struct action a = {.tag = ACTION_START,
					   .u.to = p->pack.upstreams[s->index]};

			while (!waits(p, &st->tasks[next], isolated))
				next++;
			a.task = &st->tasks[next];
			task_place(a.task, a.u.to,
				   st->step->gang ? run : a.task->run + 1,
				   p->input->now_ms);
			g_array_append_val(p->actions, a);
		}
	}
	st->reserved_rack = 0;
	st->wait_reason = WAIT_NONE;
	pack_deduct_chosen(&p->pack);
	if (p->pack.demand.one_each)
		pack_close_chosen(&p->pack);
}

/* Report whether st has waited for long although its service is mostly free. */
static bool is_held_up(struct pass *p, const struct stage *st)
{
	return p->input->now_ms >= wait_since_ms(st) + IDLE_WAIT_MAX_MS &&
	       pack_service_is_mostly_free(&p->pack, st->job->service_quark);
}

/*
 * Return what holds up a stage that waits for reason w, if it has waited for
 * long although its service is mostly free; otherwise w.
 */
static enum wait_reason explain_wait(struct pass *p, struct stage *st,
				     enum wait_reason w)
{
	uint32_t want = st->step->gang ? st->step->count : 1;
	enum wait_reason found;

	if (w == WAIT_STOPS || !is_held_up(p, st))
		return w;
	found = wait_explain(&p->pack, st, want);
	return found == WAIT_NONE ? w : found;
}

/* Note why st waits; the caller is told when that changes. */
static void note_wait(struct pass *p, struct stage *st, enum wait_reason w)
{
	struct action a = {.tag = ACTION_WAIT, .task = &st->tasks[0]};

	a.u.wait = w = explain_wait(p, st, w);
	if (st->wait_reason == w)
		return;
	st->wait_reason = w;
	g_array_append_val(p->actions, a);
}

/* Return the value of preempting for the candidate now; 0: do not preempt. */
static double preemption_value(const struct pass *p, const struct candidate *c)
{
	struct stage *st = c->stage;
	int64_t slack_ms;

	if (c->due)
		return VALUE_MANDATORY;
	if (st->step->long_running)
		return p->input->now_ms < st->since_ms + LONG_RUNNING_WAIT_MS
			       ? 0
			       : VALUE_MANDATORY;
	if (c->rank <= RANK_URGENT)
		return value_gain(&p->value, st);
	slack_ms = value_slack_ms(&p->value, st);
	if (slack_ms > (int64_t)p->input->stop_ms + DEADLINE_MARGIN_MS)
		return 0;
	return value_gain(&p->value, st);
}

/* Report whether the candidate, which must not preempt now, still can later. */
static bool can_wait(const struct candidate *c, int64_t slack_ms)
{
	return c->stage->step->long_running ||
	       (c->rank > RANK_URGENT && slack_ms > 0);
}

/* Make the stops of a plan for st, and free the plan. */
static void carry_out_plan(struct pass *p, struct stage *st, struct eviction *e)
{
	pack_deduct_chosen(&p->pack);
	p->preemptor = st->job;
	for (guint i = 0; i < e->stop->len; i++)
		stop_run(p, g_ptr_array_index(e->stop, i), STOP_PREEMPTED);
	p->preemptor = NULL;
	note_wait(p, st, WAIT_STOPS);
	if (e->rack != PACK_ANY_RACK)
		st->reserved_rack = p->pack.racks[e->rack];
	eviction_clear(e);
}

/*
 * Preempt for the candidate if that gains value. It never waits for runs that
 * are expected to end: each expectation that fails costs urgent work the time
 * that it can wait. Returns false if nothing was planned.
 */
static bool preempt_for(struct pass *p, const struct candidate *c,
			uint32_t want)
{
	struct stage *st = c->stage;
	int64_t slack_ms = value_slack_ms(&p->value, st);
	struct preempt_request request = {.rank = c->rank,
					  .due = c->due,
					  .max_loss = preemption_value(p, c)};
	struct eviction e;

	if (request.max_loss <= 0) {
		note_wait(p, st,
			  can_wait(c, slack_ms) ? WAIT_NOT_URGENT
						: WAIT_TOO_LATE);
		return false;
	}
	if (!c->due && (p->failed_plans >= FAILED_PLANS_MAX ||
			p->input->now_ms < st->next_plan_ms)) {
		if (st->wait_reason != WAIT_LOSS)
			note_wait(p, st, WAIT_PLAN_LATER);
		return false;
	}
	if (!p->evict)
		p->evict = evict_create(&p->pack, &p->value);
	if (!evict_plan(p->evict, &request, st, want, &e)) {
		st->next_plan_ms = p->input->now_ms + PLAN_RETRY_MS;
		p->failed_plans++;
		note_wait(p, st, WAIT_LOSS);
		return false;
	}
	carry_out_plan(p, st, &e);
	return true;
}

/*
 * The candidate, which is urgent, fits on the chosen upstreams, but would be
 * late on them as they are slow. Wait for the stops of faster ones, or preempt
 * there, if that loses less value. Returns false, with the choice restored, if
 * it is to start on them.
 */
static bool get_faster(struct pass *p, const struct candidate *c, uint32_t want)
{
	struct stage *st = c->stage;
	uint32_t stop_ms = p->input->stop_ms;
	struct preempt_request request = {.rank = c->rank};
	double late_loss;
	struct eviction e = {0};

	if (!p->pack.speeds_used || c->rank > RANK_URGENT || c->due ||
	    st->step->long_running)
		return false;
	late_loss = fastest_chosen_late_loss(&p->pack, 0);
	if (late_loss < st->value.value_in_time * FASTER_SHARE_MIN)
		return false;
	if (pack_choose_all(&p->pack, st, want, PACK_FREE_AFTER_STOPS) &&
	    fastest_chosen_late_loss(&p->pack, stop_ms) <
		    late_loss * FASTER_LOSS_SHARE) {
		pack_deduct_chosen(&p->pack);
		note_wait(p, st, WAIT_STOPS);
		return true;
	}
	if (p->failed_plans >= FAILED_PLANS_MAX ||
	    p->input->now_ms < st->next_plan_ms)
		goto restore;
	if (!p->evict)
		p->evict = evict_create(&p->pack, &p->value);
	request.max_loss = late_loss;
	if (evict_plan(p->evict, &request, st, want, &e) &&
	    e.loss + fastest_chosen_late_loss(&p->pack, stop_ms) <
		    late_loss * FASTER_LOSS_SHARE) {
		carry_out_plan(p, st, &e);
		return true;
	}
	eviction_clear(&e);
	st->next_plan_ms = p->input->now_ms + PLAN_RETRY_MS;
	p->failed_plans++;
restore:
	pack_choose_all(&p->pack, st, want, PACK_FREE);
	return false;
}

/* Return the share of all upstreams that st takes, by its dominant resource. */
static double cluster_share(const struct pass *p, const struct stage *st)
{
	const struct resources *n = &st->step->need,
			       *m = &p->value.mean_upstream;
	double max_share = 0;

	if (m->cpu_milli)
		max_share = MAX(max_share, (double)n->cpu_milli / m->cpu_milli);
	if (m->memory_mb)
		max_share = MAX(max_share, (double)n->memory_mb / m->memory_mb);
	if (m->accelerators)
		max_share = MAX(max_share,
				(double)n->accelerators / m->accelerators);
	return max_share * st->step->count / MAX(p->pack.n, 1);
}

/*
 * Reserve headroom for the urgent work that is likely to arrive while other
 * work is being stopped, so that a steady stream or a burst of it starts at
 * once.
 */
static void reserve_headroom(struct pass *p)
{
	uint32_t n = estimator_expected_urgent(
		p->input->estimator, p->input->now_ms, p->input->stop_ms);
	double reserved_share = 0;

	for (uint32_t k = 0; k < n; k++) {
		struct stage *st =
			estimator_urgent_sample(p->input->estimator, k);
		double share = cluster_share(p, st);

		if (reserved_share + share > HEADROOM_MAX_SHARE)
			continue;
		if (pack_choose_all(&p->pack, st, st->step->count, PACK_FREE) ||
		    pack_choose_reservation(&p->pack, st, st->step->count,
					    RANK_URGENT)) {
			pack_deduct_chosen(&p->pack);
			reserved_share += share;
		}
	}
}

/* Count the upstreams that may host a suspect of st now. */
static uint32_t count_trials_allowed(const struct pass *p,
				     const struct stage *st)
{
	uint32_t limit = MAX(p->pack.n / SUSPECT_SHARE_DIVISOR, 1);
	uint32_t of_step = 1 + SUSPECTS_PER_CLEARED * st->trials_passed;

	if (p->pack.suspect_upstreams >= limit)
		return 0;
	for (uint32_t i = 0; i < st->step->count && of_step; i++)
		of_step -= task_is_active(&st->tasks[i]) &&
			   task_is_suspect(&st->tasks[i]);
	return MIN(of_step, limit - p->pack.suspect_upstreams);
}

/* Return the first task of st that waits to be isolated, or NULL. */
static struct task *first_isolated(const struct pass *p, struct stage *st)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		if (waits(p, &st->tasks[i], true))
			return &st->tasks[i];
	return NULL;
}

/*
 * Start the suspects of the candidate that may run now, each apart from other
 * runs, a gang as a whole. They first wait for upstreams without runs, then
 * accept those whose runs have proved themselves.
 */
static void place_suspects(struct pass *p, const struct candidate *c)
{
	struct stage *st = c->stage;
	uint32_t want = st->step->gang ? st->step->count : 1;
	struct task *t;

	/* isolated upstreams must not decide whether a rack can hold it */
	pack_set_demand(&p->pack, st);
	pack_requires_one_rack(&p->pack, st);
	while ((t = first_isolated(p, st)) && count_trials_allowed(p, st)) {
		bool alone = suspect_waited_ms(t, p->input->now_ms) <
			     SUSPECT_ALONE_WAIT_MS;

		pack_set_isolation(&p->pack, alone ? PACK_ALONE : PACK_PROVEN);
		if (!pack_choose_all(&p->pack, st, want, PACK_FREE)) {
			if (alone)
				note_wait(p, st, WAIT_ISOLATION);
			else if (!pack_choose_all(&p->pack, st, want,
						  PACK_FREE_AFTER_STOPS))
				preempt_for(p, c, want);
			break;
		}
		start_tasks(p, st, true);
		if (!p->pack.demand.one_each)
			pack_close_chosen(&p->pack);
	}
	pack_set_isolation(&p->pack, PACK_SHARED);
}

/*
 * Start a stage that is held up and has nothing running, a gang as a whole and
 * one task of other work: across racks, or else on upstreams that are to be
 * avoided or are reserved. Returns the number of tasks that it starts.
 */
static uint32_t start_held_up(struct pass *p, struct stage *st, uint32_t want)
{
	uint32_t n = st->step->gang ? want : MIN(want, 1);
	bool relaxed = st->rack_relaxed, fits;

	if (!n || (!stage_is_idle(st) && !st->step->long_running) ||
	    !is_held_up(p, st))
		return 0;
	st->rack_relaxed = true;
	fits = pack_choose_all(&p->pack, st, n, PACK_FREE) ||
	       fallback_choose(&p->pack, st, n);
	st->rack_relaxed = relaxed;
	if (!fits)
		return 0;
	start_tasks(p, st, false);
	return n;
}

/*
 * Start what fits of the candidate. For the rest reserve resources that pending
 * stops free, or preempt, or let a gang that has waited reserve resources.
 */
static void place_stage(struct pass *p, const struct candidate *c)
{
	struct stage *st = c->stage;
	struct pack *k = &p->pack;
	uint32_t want = count_waiting(p, st, false);

	if (stage_awaits_trial(st, p->input->now_ms)) {
		note_wait(p, st, WAIT_ISOLATION);
		return;
	}
	if (want < stage_waiting_count(st))
		place_suspects(p, c);
	if (!want)
		return;
	if (pack_choose_all(k, st, want, PACK_FREE)) {
		if (!get_faster(p, c, want))
			start_tasks(p, st, false);
		return;
	}
	if (!st->step->gang) {
		/* start what fits now; the rest stays a candidate */
		uint32_t n = pack_choose_some(k, st, want);

		if (n) {
			start_tasks(p, st, false);
			want -= n;
		}
	}
	want -= start_held_up(p, st, want);
	if (!want)
		return;
	if (pack_choose_all(k, st, want, PACK_FREE_AFTER_STOPS)) {
		pack_deduct_chosen(k);
		note_wait(p, st, WAIT_STOPS);
		return;
	}
	if (preempt_for(p, c, want))
		return;
	if (c->due && pack_requires_one_rack(k, st)) {
		/* no rack is available in time for the guarantee */
		st->rack_relaxed = true;
		place_stage(p, c);
		return;
	}
	if (st->step->gang &&
	    p->input->now_ms >= st->since_ms + RESERVE_AFTER_MS &&
	    pack_choose_reservation(k, st, want, c->rank))
		pack_deduct_chosen(k);
}

/*
 * Report whether t should move off its upstream, which may leave at leaves_ms
 * but often stays longer. Work with checkpoints loses little by moving. Other
 * work that moves restarts at once instead of after the departure and the end
 * of its lease; an early and a late departure are assumed equally likely.
 */
static bool should_move(const struct pass *p, const struct task *t,
			uint64_t leaves_ms)
{
	uint64_t now = p->input->now_ms;
	uint64_t ran_ms = now - MIN(t->placed_ms, now);
	uint64_t stays_ms = leaves_ms - MIN(now, leaves_ms);

	if (t->state != TASK_RUNNING ||
	    value_release_ms(&p->value, t) <= stays_ms)
		return false;
	return t->stage->step->checkpoints ||
	       ran_ms + p->input->stop_ms < stays_ms + p->input->lease_ms;
}

/* Move work off upstreams that may leave before it ends. */
static void move_off_leaving(struct pass *p)
{
	for (guint i = 0; i < p->input->fleet->list->len; i++) {
		struct upstream *u =
			g_ptr_array_index(p->input->fleet->list, i);

		if (u->state != UPSTREAM_DRAINING ||
		    u->leaves_ms <= p->input->now_ms)
			continue;
		for (guint k = 0; k < u->tasks->len; k++) {
			struct task *t = g_ptr_array_index(u->tasks, k);

			if (should_move(p, t, u->leaves_ms))
				stop_run(p, t, STOP_UPSTREAM_LEAVING);
		}
	}
}

/*
 * Stop urgent gangs that were found on slow upstreams and end in time only on
 * others that are free. These are kept free for the rest of the pass.
 */
static void move_off_slow(struct pass *p)
{
	for (guint i = 0; i < p->input->jobs->len; i++) {
		struct job *j = g_ptr_array_index(p->input->jobs, i);

		if (job_is_final(j) || !j->queue_known || j->rank > RANK_URGENT)
			continue;
		for (uint32_t k = 0; k < j->stages_len; k++) {
			struct stage *st = &j->stages[k];

			if (!move_gains(&p->pack, &p->value, st))
				continue;
			st->moved = true;
			pack_deduct_chosen(&p->pack);
			stop_stage(p, st, STOP_UPSTREAM_SLOW);
		}
	}
}

/* Return the mean resources of the upstreams that are listed. */
static struct resources mean_upstream(const struct fleet *f)
{
	struct resources r = {0};
	int64_t n = 0;

	for (guint i = 0; i < f->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(f->list, i);

		if (u->state == UPSTREAM_GONE)
			continue;
		resources_add(&r, &u->resources, 1);
		n++;
	}
	n = MAX(n, 1);
	return (struct resources){r.cpu_milli / n, r.memory_mb / n,
				  r.accelerators / n};
}

/* Report whether gangs may be moved to faster upstreams in this pass. */
static bool moves_possible(const struct dispatch_input *input)
{
	return input->speeds && speed_is_used(input->speeds) &&
	       !input->stops_only;
}

/*
 * Run one scheduling pass. Tasks to start become TASK_PLACED and reserve
 * resources; tasks to stop become TASK_STOPPING. Returns an array of struct
 * action, to be freed with g_array_unref.
 */
GArray *dispatch(const struct dispatch_input *input)
{
	struct pass p = {.input = input};
	bool headroom_reserved = false;

	p.value = (struct value_context){.pass = ++input->fleet->pass_count,
					 .estimator = input->estimator,
					 .mean_upstream =
						 mean_upstream(input->fleet),
					 .now_ms = input->now_ms,
					 .stop_ms = input->stop_ms,
					 .checkpoint_ms = input->checkpoint_ms};
	if (input->speeds)
		speed_refresh(input->speeds, input->fleet, input->now_ms);
	p.actions = g_array_new(FALSE, FALSE, sizeof(struct action));
	p.candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	rank_jobs(input);
	stop_unwanted(&p);
	move_off_leaving(&p);
	collect_candidates(&p);
	if (!p.candidates->len && !moves_possible(input))
		goto out;
	pack_begin(&p.pack, input->fleet, input->now_ms);
	pack_measure_work(&p.pack, input->jobs, &p.value.mean_upstream);
	if (moves_possible(input))
		move_off_slow(&p);
	estimate_waits(&p);
	for (guint i = 0; i < p.candidates->len; i++) {
		struct candidate *c =
			&g_array_index(p.candidates, struct candidate, i);

		if (c->rank > RANK_URGENT && !headroom_reserved) {
			reserve_headroom(&p);
			headroom_reserved = true;
		}
		place_stage(&p, c);
	}
	evict_destroy(p.evict);
	pack_end(&p.pack);
out:
	g_array_unref(p.candidates);
	return p.actions;
}
