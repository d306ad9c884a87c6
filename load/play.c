/*
 * A play is a heap of events in virtual time: jobs that come, runs that
 * end, stops that take effect, upstreams that slow down or leave.  A pass
 * of the scheduler follows each batch of events, as often as records can
 * be written.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counter.h"
#include "lib/loop.h"
#include "load/play.h"
#include "sched/dispatch.h"
#include "sched/progress.h"

#define RACK 8
#define DOMAINS 5
#define ACCOUNTS 24
/* Of the accelerators, guaranteed to all accounts together. */
#define GUARANTEED 0.6
/* The bounds of the large deployment. */
#define STOP_MS 900
#define RECLAIM_MS 3400
#define LEASE_MS 10000
#define CHECKPOINT_MS 1000
#define RESTORE_MS 250
#define REMOTE_FACTOR 3
/* From a decision to the start: record and order. */
#define ORDER_MS 20
/* Between passes: a write of the records. */
#define PASS_MS 15
/* The passes that fill an empty site are not counted. */
#define WARM_UP_MS 500
/* How often the percentages of runs are listed. */
#define LIST_MS 600
#define ACCELERATOR_CORES 8
/* What a job is worth late, and until when, as a multiple of its time. */
#define LATE_TIMES 3
#define SIZES 5

enum kind { KIND_SURVEY, KIND_CHECK, KIND_RECON, KIND_COUNT };

/* One kind of job; rates are of 1,100 upstreams. */
struct kind_spec {
	const char *name;
	double per_s;
	uint32_t priority, attempts;
	double width, width_spread, width_most;
	double work_ms, work_spread, work_most_ms;
	struct resources need; /* accelerators: drawn from sizes */
	int64_t sizes[SIZES];
	double estimate_off;
	bool gang;
	double rack_sensitive
		[SIZES]; /* share by size that is slower across racks */
	double checkpoints, hopeless, cancelled;
	double errors; /* share of runs that fail */
	double slack_factor, target_ms, worth, late_worth;
};

static const struct kind_spec kinds[KIND_COUNT] = {
	{.name = "rooftop-survey",
	 .per_s = 3.42,
	 .priority = 1,
	 .attempts = 4,
	 .width = 26,
	 .width_spread = 0.8,
	 .width_most = 160,
	 .work_ms = 8500,
	 .work_spread = 0.3,
	 .work_most_ms = 11000,
	 .need = {52000, 270000, 0},
	 .sizes = {1, 2, 4, 8, 8},
	 .estimate_off = 0.5,
	 .gang = true,
	 .errors = 0.02,
	 .checkpoints = 0.45,
	 .hopeless = 0.03,
	 .cancelled = 0.05,
	 .slack_factor = 3,
	 .target_ms = 1000,
	 .worth = 3,
	 .late_worth = 0.9},
	{.name = "eligibility-check",
	 .per_s = 19.6,
	 .priority = 0,
	 .attempts = 2,
	 .width = 7.6,
	 .width_spread = 0.8,
	 .width_most = 46,
	 .work_ms = 2500,
	 .work_spread = 0.5,
	 .work_most_ms = 8000,
	 .need = {15000, 79000, 0},
	 .sizes = {1, 2, 4, 8, 8},
	 .estimate_off = 0.9,
	 .gang = true,
	 .rack_sensitive = {0.78, 0.7, 0.5, 0.24, 0.24},
	 .errors = 0.05,
	 .slack_factor = 1.5,
	 .target_ms = 250,
	 .worth = 4,
	 .late_worth = 0.8},
	{.name = "village-recon",
	 .per_s = 2.69,
	 .priority = 2,
	 .attempts = 2,
	 .width = 78,
	 .width_spread = 0.8,
	 .width_most = 470,
	 .work_ms = 9500,
	 .work_spread = 0.3,
	 .work_most_ms = 11000,
	 .need = {11000, 59000, 0},
	 .sizes = {1, 1, 1, 1, 1},
	 .estimate_off = 0.2,
	 .errors = 0.005,
	 .checkpoints = 0.45,
	 .hopeless = 0.03,
	 .cancelled = 0.15,
	 .slack_factor = 3,
	 .target_ms = 3000,
	 .worth = 1,
	 .late_worth = 0.3},
};

enum event_tag {
	EVENT_JOB,     /* a job of `kind` comes */
	EVENT_CONFIRM, /* the order to start run `run` of `task` arrives */
	EVENT_END,     /* run `run` of `task` comes to its end */
	EVENT_STOPPED, /* its stop takes effect */
	EVENT_CANCEL,  /* the caller of `job` cancels it */
	EVENT_LIST,    /* the upstreams list how far their runs are */
	EVENT_SLOW,    /* `upstream` turns slow by `factor` */
	EVENT_LEAVES,  /* `upstream` says that it leaves */
	EVENT_LEFT,    /* `upstream` is gone, with what ran there */
};

struct event {
	uint64_t at_ms;
	uint64_t order;
	enum event_tag tag;
	enum kind kind;
	struct task *task;
	uint32_t run;
	struct job *job;
	struct upstream *upstream;
	double factor;
};

/* How far a task is. */
struct progress {
	double saved_ms; /* work that a checkpoint holds */
	double made_ms;	 /* work of the present run, up to since_ms */
	double factor;	 /* time over work since then */
	uint64_t since_ms;
	uint32_t order; /* of the newest EVENT_END of it */
};

/* What the play knows of a job and the scheduler does not. */
struct truth {
	enum kind kind;
	uint64_t came_ms;
	uint64_t objective_ms;
	double work_ms;
	double size; /* core-seconds of its work */
	bool hopeless;
	bool counted;
	struct progress *progress; /* by task */
};

struct outcome {
	uint32_t jobs, in_time, late, lost;
	double earned, owed;
	double thrown; /* core-seconds */
	struct histogram wait;
};

struct play {
	const struct play_options *options;
	GRand *rand;
	GArray *heap;
	uint64_t order;
	uint64_t began_ms;
	uint64_t now_ms;
	uint64_t pass_ms; /* the next pass is not before */
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	GPtrArray *ended; /* kept: events may still name their tasks */
	GHashTable *truths;
	GHashTable *speeds; /* of upstreams */
	struct account_guarantee guarantees[ACCOUNTS];
	uint32_t number;
	double width_scale;
	double mean_size[KIND_COUNT];
	uint32_t mean_count[KIND_COUNT];
	uint64_t starts, stops, passes;
	double busy, resources; /* accelerator-milliseconds */
	struct histogram cost;
	struct outcome by_kind[KIND_COUNT];
};

static bool before(const struct event *a, const struct event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void push(struct play *p, uint64_t at_ms, struct event e)
{
	guint i = p->heap->len;
	struct event *h;

	e.at_ms = at_ms;
	e.order = p->order++;
	g_array_append_val(p->heap, e);
	h = (struct event *)p->heap->data;
	while (i && before(&e, &h[(i - 1) / 2])) {
		h[i] = h[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h[i] = e;
}

static struct event pop(struct play *p)
{
	struct event *h = (struct event *)p->heap->data;
	struct event top = h[0], last = h[p->heap->len - 1];
	guint n = p->heap->len - 1, i = 0;

	for (;;) {
		guint c = 2 * i + 1;

		if (c >= n)
			break;
		if (c + 1 < n && before(&h[c + 1], &h[c]))
			c++;
		if (!before(&h[c], &last))
			break;
		h[i] = h[c];
		i = c;
	}
	h[i] = last;
	g_array_set_size(p->heap, n);
	return top;
}

static double normal(struct play *p)
{
	double u = g_rand_double_range(p->rand, 1e-9, 1);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * g_rand_double(p->rand));
}

/* Draw from a logarithmic normal distribution with this mean. */
static double draw(struct play *p, double mean, double spread, double most)
{
	double s2 = log(1 + spread * spread);

	return MIN(mean * exp(sqrt(s2) * normal(p) - s2 / 2), most);
}

static struct truth *truth_of(const struct play *p, const struct job *j)
{
	return g_hash_table_lookup(p->truths, j);
}

static void truth_free(void *v)
{
	struct truth *t = v;

	g_free(t->progress);
	g_free(t);
}

static double cores(const struct resources *r)
{
	return r->cpu_milli / 1000.0 + r->accelerators * ACCELERATOR_CORES;
}

static bool chance(struct play *p, double share)
{
	return g_rand_double(p->rand) < share;
}

/* Let a job of this kind come. */
static void add_job(struct play *p, enum kind k)
{
	const struct kind_spec *s = &kinds[k];
	struct truth *t = g_new0(struct truth, 1);
	char id[JOB_ID_BYTES];
	struct step *step;
	struct job *j;
	double width;
	int size;

	snprintf(id, sizeof(id), "%016x", ++p->number);
	j = job_create(id);
	snprintf(j->account, sizeof(j->account), "a%u",
		 g_rand_int_range(p->rand, 0, ACCOUNTS));
	g_strlcpy(j->queue, s->name, sizeof(j->queue));
	job_set_service(j, "s");
	j->queue_known = true;
	j->priority = s->priority;
	j->max_attempts = s->attempts;
	j->slack_factor = s->slack_factor;
	j->target_ms = s->target_ms;
	j->since_ms = p->now_ms;
	t->kind = k;
	t->came_ms = p->now_ms;
	t->work_ms = draw(p, s->work_ms, s->work_spread, s->work_most_ms);
	t->hopeless = chance(p, s->hopeless);
	step = job_add_step(j);
	width = draw(p, s->width, s->width_spread, s->width_most);
	step->count = MAX(1, width * p->width_scale);
	step->need = s->need;
	size = g_rand_int_range(p->rand, 0, SIZES);
	step->need.accelerators = s->sizes[size];
	step->gang = s->gang;
	step->rack_sensitive = chance(p, s->rack_sensitive[size]);
	step->checkpoints = chance(p, s->checkpoints);
	step->estimate_ms =
		t->work_ms *
		exp(g_rand_double_range(p->rand, -1, 1) * s->estimate_off);
	job_create_stages(j);
	t->objective_ms = t->work_ms * s->slack_factor + s->target_ms;
	t->progress = g_new0(struct progress, step->count);
	t->size = step->count * t->work_ms / 1000 * cores(&step->need);
	p->mean_size[k] += (t->size - p->mean_size[k]) / ++p->mean_count[k];
	g_hash_table_insert(p->truths, j, t);
	g_ptr_array_add(p->jobs, j);
	estimator_record_job(p->estimator, j);
	if (chance(p, s->cancelled))
		push(p, p->now_ms + g_rand_int_range(p->rand, 200, 12000),
		     (struct event){.tag = EVENT_CANCEL, .job = j});
}

static double speed_of(const struct play *p, const struct upstream *u)
{
	return *(double *)g_hash_table_lookup(p->speeds, u);
}

static bool spans_racks(const struct stage *st)
{
	for (uint32_t i = 1; i < st->step->count; i++)
		if (st->tasks[i].at && st->tasks[0].at &&
		    st->tasks[i].at->rack_quark != st->tasks[0].at->rack_quark)
			return true;
	return false;
}

/* Return how much longer than on a sound upstream t takes where it is. */
static double factor_of(const struct play *p, const struct task *t)
{
	const struct stage *st = t->stage;
	double slowest = 1 / speed_of(p, t->at);

	for (uint32_t i = 0; st->step->gang && i < st->step->count; i++)
		if (st->tasks[i].at)
			slowest =
				MAX(slowest, 1 / speed_of(p, st->tasks[i].at));
	return slowest * (st->step->rack_sensitive && spans_racks(st)
				  ? REMOTE_FACTOR
				  : 1);
}

static struct progress *progress_of(const struct play *p, const struct task *t)
{
	return &truth_of(p, t->stage->job)->progress[t->index];
}

/* Work that t has done by now, with what it began from. */
static double done_ms(const struct play *p, const struct task *t)
{
	const struct progress *g = progress_of(p, t);

	return g->saved_ms + g->made_ms + (p->now_ms - g->since_ms) / g->factor;
}

/* Say when t ends, as fast as it goes from now on. */
static void schedule_end(struct play *p, struct task *t)
{
	struct progress *g = progress_of(p, t);
	double left =
		truth_of(p, t->stage->job)->work_ms - g->saved_ms - g->made_ms;

	g->factor = factor_of(p, t);
	g->since_ms = p->now_ms;
	g->order++;
	push(p, p->now_ms + (uint64_t)(MAX(left, 0) * g->factor),
	     (struct event){.tag = EVENT_END, .task = t, .run = g->order});
}

/* The speed of t has changed. */
static void change_pace(struct play *p, struct task *t)
{
	struct progress *g = progress_of(p, t);

	if (t->state != TASK_RUNNING && t->state != TASK_STOPPING)
		return;
	if (!g->factor)
		return; /* it has not begun */
	g->made_ms += (p->now_ms - g->since_ms) / g->factor;
	schedule_end(p, t);
}

static void confirm(struct play *p, const struct event *e)
{
	struct task *t = e->task;
	struct progress *g;

	if (t->run != e->run || t->state != TASK_PLACED)
		return;
	g = progress_of(p, t);
	task_confirm(t, p->now_ms);
	g->made_ms = g->saved_ms > 0 ? -RESTORE_MS : 0;
	schedule_end(p, t);
}

/* Upstream u turns slower by a factor. */
static void slow_down(struct play *p, struct upstream *u, double factor)
{
	*(double *)g_hash_table_lookup(p->speeds, u) /= factor;
	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);
		struct stage *st = t->stage;

		if (!st->step->gang)
			change_pace(p, t);
		for (uint32_t k = 0; st->step->gang && k < st->step->count; k++)
			change_pace(p, &st->tasks[k]);
	}
}

/* Save what a checkpoint holds of a run that is broken off; the rest of
 * its work is thrown away. */
static void break_off(struct play *p, struct task *t)
{
	struct progress *g = progress_of(p, t);
	double ran = p->now_ms - t->placed_ms, kept = 0;

	if (!g->factor)
		return; /* it has not begun */
	if (t->stage->step->checkpoints) {
		kept = done_ms(p, t) - g->saved_ms;
		kept = MAX(floor(kept / CHECKPOINT_MS) * CHECKPOINT_MS, 0);
		g->saved_ms += kept;
		g_free(t->checkpoint);
		t->checkpoint = g_strdup("c");
	}
	p->by_kind[truth_of(p, t->stage->job)->kind].thrown +=
		MAX(ran - kept, 0) / 1000 * cores(&t->stage->step->need);
	g->order++;
	g->factor = 0;
}

static void settle(struct play *p, struct job *j)
{
	struct truth *t = truth_of(p, j);
	struct outcome *o = &p->by_kind[t->kind];
	const struct kind_spec *s = &kinds[t->kind];
	uint64_t took = p->now_ms - t->came_ms;
	double worth;

	job_update_completion(j, p->now_ms);
	if (!job_is_final(j) || t->counted)
		return;
	t->counted = true;
	if (j->state == JOB_CANCELLED || t->hopeless)
		return;
	worth = 0.3 + 0.7 * MIN(t->size / p->mean_size[t->kind], 4);
	o->jobs++;
	o->owed += s->worth * worth;
	histogram_add(&o->wait, took * 1000);
	if (j->state == JOB_COMPLETED && took <= t->objective_ms) {
		o->in_time++;
		o->earned += s->worth * worth;
	} else if (j->state == JOB_COMPLETED &&
		   took <= LATE_TIMES * t->objective_ms) {
		o->late++;
		o->earned += s->late_worth * worth;
	} else {
		o->lost++;
	}
}

static void end_run(struct play *p, const struct event *e)
{
	struct task *t = e->task;
	struct truth *u = truth_of(p, t->stage->job);

	if (progress_of(p, t)->order != e->run || t->state != TASK_RUNNING)
		return;
	progress_of(p, t)->factor = 0;
	if (u->hopeless || chance(p, kinds[u->kind].errors)) {
		upstream_record_failure(t->at, t->stage->job, p->now_ms);
		task_end_run(t, RUN_FAILED, NULL, p->now_ms);
	} else {
		upstream_record_success(t->at);
		if (!t->checkpoint)
			estimator_record_run(p->estimator, t->stage->job->queue,
					     t->stage->step->estimate_ms,
					     p->now_ms - t->placed_ms);
		task_end_run(t, RUN_DONE, NULL, p->now_ms);
	}
	settle(p, t->stage->job);
}

static void lose(struct play *p, struct upstream *u)
{
	u->state = UPSTREAM_GONE;
	while (u->tasks->len) {
		struct task *t = g_ptr_array_index(u->tasks, 0);

		break_off(p, t);
		task_end_run(t, RUN_UPSTREAM_GONE, NULL, p->now_ms);
	}
}

static void list_upstream(struct play *p, struct upstream *u)
{
	for (guint k = 0; k < u->tasks->len; k++) {
		struct task *t = g_ptr_array_index(u->tasks, k);
		uint32_t percent;
		double done;

		if (t->state != TASK_RUNNING || !progress_of(p, t)->factor)
			continue;
		done = MAX(done_ms(p, t), 0) /
		       truth_of(p, t->stage->job)->work_ms;
		percent = MIN(100 * done, 100);
		task_record_progress(t, percent, p->now_ms);
		progress_record(t, percent, p->now_ms);
	}
	progress_detect_slow(u, p->estimator, p->now_ms);
}

static void apply_event(struct play *p, const struct event *e)
{
	switch (e->tag) {
	case EVENT_JOB:
		add_job(p, e->kind);
		break;
	case EVENT_CONFIRM:
		confirm(p, e);
		break;
	case EVENT_END:
		end_run(p, e);
		break;
	case EVENT_STOPPED:
		if (e->task->run == e->run && e->task->state == TASK_STOPPING) {
			break_off(p, e->task);
			task_end_run(e->task, RUN_STOPPED, NULL, p->now_ms);
		}
		break;
	case EVENT_CANCEL:
		job_cancel(e->job, p->now_ms);
		settle(p, e->job);
		break;
	case EVENT_LIST:
		for (guint i = 0; i < p->fleet->list->len; i++)
			list_upstream(p, g_ptr_array_index(p->fleet->list, i));
		push(p, p->now_ms + LIST_MS, *e);
		break;
	case EVENT_SLOW:
		slow_down(p, e->upstream, e->factor);
		break;
	case EVENT_LEAVES:
		e->upstream->state = UPSTREAM_DRAINING;
		e->upstream->leaves_ms = p->now_ms + (uint64_t)e->factor;
		break;
	case EVENT_LEFT:
		lose(p, e->upstream);
		break;
	}
}

static void apply_action(struct play *p, const struct action *a)
{
	struct event e = {.task = a->task, .run = a->task->run};

	switch (a->tag) {
	case ACTION_START:
		p->starts++;
		e.tag = EVENT_CONFIRM;
		push(p, p->now_ms + ORDER_MS, e);
		break;
	case ACTION_STOP:
		p->stops++;
		e.tag = EVENT_STOPPED;
		push(p,
		     p->now_ms + ORDER_MS +
			     g_rand_int_range(p->rand, STOP_MS / 4, STOP_MS),
		     e);
		break;
	}
}

/* Take jobs that are over and hold nothing out of the scheduler's sight. */
static void retire_jobs(struct play *p)
{
	for (guint i = p->jobs->len; i-- > 0;) {
		struct job *j = g_ptr_array_index(p->jobs, i);

		if (!job_is_final(j) || job_has_active_tasks(j))
			continue;
		g_ptr_array_remove_index_fast(p->jobs, i);
		g_ptr_array_add(p->ended, j);
	}
}

/* Add up what runs, and could run, in the time between two passes. */
static void note_use(struct play *p)
{
	for (guint i = 0; i < p->fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(p->fleet->list, i);

		if (u->state == UPSTREAM_GONE)
			continue;
		p->busy += u->used.accelerators;
		p->resources += u->resources.accelerators;
	}
}

static void decide(struct play *p)
{
	struct dispatch_input v = {.jobs = p->jobs,
				   .fleet = p->fleet,
				   .guarantees = p->guarantees,
				   .guarantees_len = ACCOUNTS,
				   .now_ms = p->now_ms,
				   .estimator = p->estimator,
				   .checkpoint_ms = CHECKPOINT_MS,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = RECLAIM_MS,
				   .lease_ms = LEASE_MS};
	uint64_t began = clock_mono_us(), took;
	GArray *actions = dispatch(&v);

	took = clock_mono_us() - began;
	if (p->now_ms >= p->began_ms + WARM_UP_MS)
		histogram_add(&p->cost, took);
	p->passes++;
	note_use(p);
	for (guint i = 0; i < actions->len; i++)
		apply_action(p, &g_array_index(actions, struct action, i));
	g_array_unref(actions);
	p->pass_ms = p->now_ms + PASS_MS;
}

static void play_open(struct play *p, const struct play_options *o)
{
	memset(p, 0, sizeof(*p));
	p->options = o;
	p->rand = g_rand_new_with_seed(o->seed);
	p->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	p->began_ms = p->now_ms = 1000000;
	p->fleet = fleet_create();
	p->estimator = estimator_create();
	p->jobs = g_ptr_array_new();
	p->ended = g_ptr_array_new();
	p->truths = g_hash_table_new_full(NULL, NULL, NULL, truth_free);
	p->speeds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	p->width_scale = 1;
	for (uint32_t i = 0; i < o->upstreams; i++) {
		char id[16], rack[16], domain[16];
		double *speed = g_new(double, 1);
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / RACK);
		snprintf(domain, sizeof(domain), "d%u",
			 i / RACK * DOMAINS * RACK / o->upstreams);
		u = fleet_add_upstream(p->fleet, id);
		upstream_describe(u, "s", domain, "a", rack);
		u->resources = (struct resources){128000, 524288, 8};
		u->synced = true;
		*speed = 1;
		g_hash_table_insert(p->speeds, u, speed);
	}
	for (uint32_t i = 0; i < ACCOUNTS; i++)
		p->guarantees[i] = (struct account_guarantee){
			g_strdup_printf("a%u", i),
			GUARANTEED * o->upstreams * 8 / ACCOUNTS};
	push(p, p->now_ms, (struct event){.tag = EVENT_LIST});
}

static void free_job(struct job *j)
{
	for (uint32_t s = 0; s < j->stages_len; s++)
		for (uint32_t t = 0; t < j->stages[s].step->count; t++)
			if (j->stages[s].tasks[t].at)
				fleet_release(&j->stages[s].tasks[t]);
	job_destroy(j);
}

static void play_close(struct play *p)
{
	for (guint i = 0; i < p->jobs->len; i++)
		free_job(g_ptr_array_index(p->jobs, i));
	for (guint i = 0; i < p->ended->len; i++)
		free_job(g_ptr_array_index(p->ended, i));
	g_ptr_array_free(p->jobs, TRUE);
	g_ptr_array_free(p->ended, TRUE);
	g_hash_table_destroy(p->truths);
	g_hash_table_destroy(p->speeds);
	for (uint32_t i = 0; i < ACCOUNTS; i++)
		g_free((char *)p->guarantees[i].account);
	estimator_destroy(p->estimator);
	fleet_destroy(p->fleet);
	g_array_unref(p->heap);
	g_rand_free(p->rand);
}

/* Play until end_ms; more(p) may add jobs before each pass. */
static void play_until(struct play *p, uint64_t end_ms,
		       void (*more)(struct play *p))
{
	while (p->heap->len) {
		struct event e = pop(p);

		if (e.at_ms > p->pass_ms && p->pass_ms > p->now_ms)
			p->now_ms = p->pass_ms;
		if (p->now_ms >= p->pass_ms) {
			retire_jobs(p);
			if (more)
				more(p);
			decide(p);
		}
		if (e.at_ms >= end_ms)
			break;
		p->now_ms = MAX(p->now_ms, e.at_ms);
		apply_event(p, &e);
	}
}

/* Keep as many jobs as the options ask for, in the site's proportions. */
static void keep_jobs(struct play *p)
{
	double sum = 0, at;
	int k;

	for (k = 0; k < KIND_COUNT; k++)
		sum += kinds[k].per_s;
	while (p->jobs->len < p->options->jobs) {
		at = g_rand_double(p->rand) * sum;
		for (k = 0; k + 1 < KIND_COUNT && at >= kinds[k].per_s; k++)
			at -= kinds[k].per_s;
		add_job(p, k);
	}
}

static double mean_width(void)
{
	double sum = 0, tasks = 0;

	for (int k = 0; k < KIND_COUNT; k++) {
		sum += kinds[k].per_s;
		tasks += kinds[k].per_s * kinds[k].width;
	}
	return tasks / sum;
}

/*
 * Play passes over a number of jobs that stays as it is, and print what a
 * pass costs in processor time.  Returns 0.
 */
int play_cost(const struct play_options *o)
{
	struct play p;

	play_open(&p, o);
	p.width_scale = o->tasks / (o->jobs * mean_width());
	play_until(&p, p.now_ms + o->seconds * 1000, keep_jobs);
	printf("upstreams=%u jobs=%u tasks=%u passes=%llu p50_us=%llu "
	       "p99_us=%llu max_us=%llu starts=%llu stops=%llu\n",
	       o->upstreams, o->jobs, o->tasks, (unsigned long long)p.passes,
	       (unsigned long long)histogram_quantile_us(&p.cost, 0.5),
	       (unsigned long long)histogram_quantile_us(&p.cost, 0.99),
	       (unsigned long long)p.cost.max_us, (unsigned long long)p.starts,
	       (unsigned long long)p.stops);
	play_close(&p);
	return 0;
}

/* Schedule the arrivals of a day, with a burst of checks and of surveys. */
static void plan_arrivals(struct play *p, uint64_t end_ms)
{
	double scale = p->options->load * p->options->upstreams / 1100;

	for (int k = 0; k < KIND_COUNT; k++) {
		double at = p->now_ms;

		while (at < end_ms) {
			double since = (at - p->now_ms) / 1000;
			double rate = kinds[k].per_s * scale;

			if (k == KIND_CHECK && since >= 7 && since < 10.4)
				rate *= 2.1;
			if (k == KIND_SURVEY && since >= 2.5 && since < 6.5)
				rate *= 2.3;
			at += -log(g_rand_double_range(p->rand, 1e-9, 1)) /
			      rate * 1000;
			push(p, (uint64_t)at,
			     (struct event){.tag = EVENT_JOB, .kind = k});
		}
	}
}

/* Schedule upstreams that turn slow, and others that leave. */
static void plan_troubles(struct play *p)
{
	for (guint i = 0; i < p->fleet->list->len; i++) {
		struct event e = {.upstream =
					  g_ptr_array_index(p->fleet->list, i)};

		if (chance(p, 0.1)) {
			e.tag = EVENT_SLOW;
			e.factor = 6;
			push(p, p->now_ms + 12300, e);
			e.factor = 1.0 / 6;
			push(p, p->now_ms + 19400, e);
		}
		if (chance(p, 0.11)) {
			e.tag = EVENT_LEAVES;
			e.factor = 1800;
			push(p, p->now_ms + 9000, e);
			e.tag = EVENT_LEFT;
			push(p,
			     p->now_ms + 9000 + 1800 +
				     g_rand_int_range(p->rand, 0, 3000),
			     e);
		}
	}
}

static void print_kind(const struct kind_spec *s, const struct outcome *o)
{
	printf("%s: jobs=%u in_time=%u late=%u lost=%u credit=%.3f "
	       "p50_ms=%llu p95_ms=%llu thrown_core_s=%.0f\n",
	       s->name, o->jobs, o->in_time, o->late, o->lost,
	       o->owed > 0 ? o->earned / o->owed : 0,
	       (unsigned long long)histogram_quantile_us(&o->wait, 0.5) / 1000,
	       (unsigned long long)histogram_quantile_us(&o->wait, 0.95) / 1000,
	       o->thrown);
}

/*
 * Play a day of the large deployment at its size in the options, and
 * print what callers got by kind of job.  Returns 0.
 */
int play_day(const struct play_options *o)
{
	double earned = 0, owed = 0, thrown = 0;
	uint32_t jobs = 0, lost = 0;
	struct play p;
	uint64_t end;

	play_open(&p, o);
	end = p.now_ms + o->seconds * 1000;
	plan_arrivals(&p, end);
	plan_troubles(&p);
	play_until(&p, end + 14000, NULL);
	for (guint i = 0; i < p.jobs->len; i++) {
		struct job *j = g_ptr_array_index(p.jobs, i);

		job_cancel(j, p.now_ms);
		j->state = JOB_FAILED; /* owed, and not served */
		settle(&p, j);
	}
	for (int k = 0; k < KIND_COUNT; k++) {
		print_kind(&kinds[k], &p.by_kind[k]);
		earned += p.by_kind[k].earned;
		owed += p.by_kind[k].owed;
		thrown += p.by_kind[k].thrown;
		jobs += p.by_kind[k].jobs;
		lost += p.by_kind[k].lost;
	}
	printf("all: credit=%.3f unserved=%.3f busy=%.3f thrown_core_s=%.0f "
	       "passes=%llu p50_us=%llu p99_us=%llu starts=%llu stops=%llu\n",
	       owed > 0 ? earned / owed : 0, (double)lost / MAX(jobs, 1),
	       p.busy / MAX(p.resources, 1), thrown,
	       (unsigned long long)p.passes,
	       (unsigned long long)histogram_quantile_us(&p.cost, 0.5),
	       (unsigned long long)histogram_quantile_us(&p.cost, 0.99),
	       (unsigned long long)p.starts, (unsigned long long)p.stops);
	play_close(&p);
	return 0;
}
