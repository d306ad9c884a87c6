/*
 * One pass over the stages whose turn has come, the most important
 * first.  A stage that does not fit reserves what is about to become
 * free, and urgent work stops work of a lower rank.
 */
#include <stdlib.h>
#include <string.h>

#include "sched/dispatch.h"

/* A gang that has waited this long keeps room free for itself. */
#define HOLD_AFTER_MS 300

/* An accelerator weighs as much as this many cores in lost work. */
#define ACCELERATOR_CORES 8

/*
 * Ranks: urgent work that its account's guarantee covers, other urgent
 * work, then the queues by priority.
 */
#define RANK_COVERED 0
#define RANK_URGENT 1

struct candidate {
	struct stage *stage;
	uint32_t rank;
};

struct pass {
	const struct dispatch_view *v;
	GArray *actions;
	GArray *candidates;
	uint32_t n; /* upstreams */
	struct room *avail; /* free now */
	struct room *soon;  /* free once what is being stopped has ended */
	uint32_t *chosen;   /* scratch: tasks for each upstream */
};

/* Return the word for c in logs. */
const char *stop_cause_name(enum stop_cause c)
{
	switch (c) {
	case STOP_CANCELLED:
		return "cancelled";
	case STOP_JOB_FAILED:
		return "job_failed";
	case STOP_ROOM:
		return "room";
	case STOP_GANG:
		return "gang";
	case STOP_LEAVING:
		return "leaving";
	case STOP_UNKNOWN:
		return "unknown";
	}
	return "";
}

static struct upstream *upstream_at(const struct pass *p, uint32_t i)
{
	return g_ptr_array_index(p->v->fleet->list, i);
}

static void stop_task(struct pass *p, struct task *t, enum stop_cause cause)
{
	struct action a = {.tag = ACTION_STOP, .task = t, .u.cause = cause};

	if (t->state != TASK_PLACED && t->state != TASK_RUNNING)
		return;
	t->state = TASK_STOPPING;
	g_array_append_val(p->actions, a);
}

static void stop_stage(struct pass *p, struct stage *st, enum stop_cause cause)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		stop_task(p, &st->tasks[i], cause);
}

/* Return the accelerators that the unfinished urgent jobs of an account
 * need at most. */
static int64_t urgent_need(const struct dispatch_view *v, const char *account)
{
	int64_t sum = 0;

	for (guint i = 0; i < v->jobs->len; i++) {
		const struct job *j = g_ptr_array_index(v->jobs, i);
		int64_t most = 0;

		if (j->priority || strcmp(j->account, account) || job_over(j))
			continue;
		for (uint32_t k = 0; k < j->steps_len; k++)
			most = MAX(most, j->steps[k].count *
						 j->steps[k].need.accelerators);
		sum += most;
	}
	return sum;
}

static bool covered(const struct dispatch_view *v, const struct job *j)
{
	for (uint32_t i = 0; i < v->guarantees_len; i++)
		if (!strcmp(v->guarantees[i].account, j->account))
			return urgent_need(v, j->account) <=
			       v->guarantees[i].accelerators;
	return false;
}

static uint32_t rank_of(const struct dispatch_view *v, const struct job *j)
{
	if (j->priority)
		return RANK_URGENT + j->priority;
	return covered(v, j) ? RANK_COVERED : RANK_URGENT;
}

static gint by_rank(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->stage->since_ms != y->stage->since_ms)
		return x->stage->since_ms < y->stage->since_ms ? -1 : 1;
	return strcmp(x->stage->job->id, y->stage->job->id);
}

/* Stop the rest of a gang of which a member has ended. */
static void stop_broken_gang(struct pass *p, struct stage *st)
{
	if (st->step->gang && stage_waiting(st) && !stage_idle(st))
		stop_stage(p, st, STOP_GANG);
}

static void collect_job(struct pass *p, struct job *j)
{
	uint32_t rank = rank_of(p->v, j);

	for (uint32_t i = 0; i < j->stages_len; i++) {
		struct candidate c = {.stage = &j->stages[i], .rank = rank};

		if (!stage_ready(c.stage, p->v->wall_ms))
			continue;
		if (!c.stage->since_ms)
			c.stage->since_ms = p->v->now_ms;
		stop_broken_gang(p, c.stage);
		if (!stage_waiting(c.stage) ||
		    c.stage->held_back_ms > p->v->now_ms ||
		    (c.stage->step->gang && !stage_idle(c.stage)))
			continue;
		g_array_append_val(p->candidates, c);
	}
}

static void collect(struct pass *p)
{
	for (guint i = 0; i < p->v->jobs->len; i++) {
		struct job *j = g_ptr_array_index(p->v->jobs, i);

		if (!job_over(j) && j->queue_known)
			collect_job(p, j);
	}
	g_array_sort(p->candidates, by_rank);
}

/* Stop what must not run any more. */
static void stop_unwanted(struct pass *p)
{
	for (uint32_t i = 0; i < p->n; i++) {
		struct upstream *u = upstream_at(p, i);

		for (guint k = 0; k < u->tasks->len; k++) {
			struct task *t = g_ptr_array_index(u->tasks, k);

			switch (t->stage->job->state) {
			case JOB_QUEUED:
			case JOB_RUNNING:
				break;
			case JOB_COMPLETED:
			case JOB_CANCELLED:
				stop_task(p, t, STOP_CANCELLED);
				break;
			case JOB_FAILED:
				stop_task(p, t, STOP_JOB_FAILED);
				break;
			}
		}
	}
}

static void measure(struct pass *p)
{
	for (uint32_t i = 0; i < p->n; i++) {
		struct upstream *u = upstream_at(p, i);

		memset(&p->avail[i], 0, sizeof(p->avail[i]));
		if (upstream_usable(u, p->v->now_ms)) {
			p->avail[i] = u->room;
			room_add(&p->avail[i], &u->used, -1);
		}
		p->soon[i] = p->avail[i];
		if (!upstream_usable(u, p->v->now_ms))
			continue;
		for (guint k = 0; k < u->tasks->len; k++) {
			struct task *t = g_ptr_array_index(u->tasks, k);
			struct room r = task_room(t);

			if (t->state == TASK_STOPPING)
				room_add(&p->soon[i], &r, 1);
		}
	}
}

static uint32_t siblings(const struct upstream *u, const struct stage *st)
{
	uint32_t n = 0;

	for (guint k = 0; k < u->tasks->len; k++)
		n += ((struct task *)g_ptr_array_index(u->tasks, k))->stage ==
		     st;
	return n;
}

/* Report whether tasks of st may run on u at all. */
static bool suits(const struct stage *st, const struct upstream *u)
{
	if (strcmp(u->service, st->job->service) ||
	    !upstream_has_label(u, st->step->label))
		return false;
	for (uint32_t i = 0; i < st->step->count; i++)
		if (st->tasks[i].failed_at == u)
			return false;
	return true;
}

static uint32_t fit_count(const struct room *have, const struct room *need)
{
	int64_t n = INT32_MAX;

	if (need->cpu_milli > 0)
		n = MIN(n, have->cpu_milli / need->cpu_milli);
	if (need->memory_mb > 0)
		n = MIN(n, have->memory_mb / need->memory_mb);
	if (need->accelerators > 0)
		n = MIN(n, have->accelerators / need->accelerators);
	return n < 0 ? 0 : n;
}

/* Return how many tasks of st `have`, the room of upstream i, can take. */
static uint32_t capacity_for(const struct pass *p, const struct stage *st,
			     uint32_t i, const struct room *have)
{
	const struct upstream *u = upstream_at(p, i);
	struct room need = task_room(&st->tasks[0]);
	uint32_t n = fit_count(have, &need);
	uint32_t there;

	if (!n || !suits(st, u))
		return 0;
	if (!st->step->spread)
		return n;
	there = siblings(u, st);
	return there >= st->step->spread ? 0 : MIN(n, st->step->spread - there);
}

struct slot {
	uint32_t upstream;
	uint32_t count;
	int64_t left; /* accelerators that stay free when all is filled */
};

static int by_left(const void *a, const void *b)
{
	const struct slot *x = a, *y = b;

	if (x->left != y->left)
		return x->left < y->left ? -1 : 1;
	return x->upstream < y->upstream ? -1 : x->upstream > y->upstream;
}

/*
 * Choose upstreams for `want` tasks of st, the tightest first, within a
 * rack or anywhere (rack NULL).  Sets p->chosen and returns how many were
 * placed.
 */
static uint32_t choose(struct pass *p, const struct stage *st, uint32_t want,
		       const struct room *rooms, const char *rack)
{
	struct slot *slots = g_new(struct slot, p->n + 1);
	uint32_t n = 0, placed = 0;

	memset(p->chosen, 0, p->n * sizeof(*p->chosen));
	for (uint32_t i = 0; i < p->n; i++) {
		const struct upstream *u = upstream_at(p, i);
		struct slot s = {.upstream = i};

		if (rack && strcmp(u->rack, rack))
			continue;
		s.count = capacity_for(p, st, i, &rooms[i]);
		if (!s.count)
			continue;
		s.left = rooms[i].accelerators -
			 MIN(s.count, want) * st->step->need.accelerators;
		slots[n++] = s;
	}
	qsort(slots, n, sizeof(*slots), by_left);
	for (uint32_t k = 0; k < n && placed < want; k++) {
		uint32_t c = MIN(slots[k].count, want - placed);

		p->chosen[slots[k].upstream] = c;
		placed += c;
	}
	g_free(slots);
	return placed;
}

static int64_t rack_free(const struct pass *p, const struct room *rooms,
			 const char *rack)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < p->n; i++)
		if (!strcmp(upstream_at(p, i)->rack, rack))
			sum += MAX(rooms[i].accelerators, 0);
	return sum;
}

static bool first_of_rack(const struct pass *p, uint32_t i)
{
	for (uint32_t k = 0; k < i; k++)
		if (!strcmp(upstream_at(p, k)->rack, upstream_at(p, i)->rack))
			return false;
	return true;
}

/*
 * Return the rack with the least free accelerators that takes all `want`
 * tasks of st, or NULL.
 */
static const char *best_rack(struct pass *p, const struct stage *st,
			     uint32_t want, const struct room *rooms)
{
	const char *best = NULL;
	int64_t best_free = INT64_MAX;

	for (uint32_t i = 0; i < p->n; i++) {
		const char *rack = upstream_at(p, i)->rack;
		int64_t n;

		if (!first_of_rack(p, i))
			continue;
		n = rack_free(p, rooms, rack);
		if (n >= best_free || choose(p, st, want, rooms, rack) < want)
			continue;
		best = rack;
		best_free = n;
	}
	return best;
}

/* Report whether any rack could hold the stage if it were empty. */
static bool rack_could_hold(struct pass *p, const struct stage *st)
{
	for (uint32_t i = 0; i < p->n; i++) {
		uint32_t n = 0;

		if (!first_of_rack(p, i))
			continue;
		for (uint32_t k = 0; k < p->n; k++) {
			const struct upstream *u = upstream_at(p, k);

			if (u->state == UPSTREAM_READY &&
			    !strcmp(u->rack, upstream_at(p, i)->rack))
				n += capacity_for(p, st, k, &u->room);
		}
		if (n >= st->step->count)
			return true;
	}
	return false;
}

/* Choose places for all `want` tasks; false when `rooms` are too small. */
static bool choose_all(struct pass *p, const struct stage *st, uint32_t want,
		       const struct room *rooms)
{
	const char *rack = NULL;

	if (*st->step->data_rack &&
	    choose(p, st, want, rooms, st->step->data_rack) == want)
		return true;
	if (st->step->gang && st->step->one_rack && rack_could_hold(p, st)) {
		rack = best_rack(p, st, want, rooms);
		if (!rack)
			return false;
	}
	return choose(p, st, want, rooms, rack) == want;
}

/* Take the chosen places out of `rooms`, which may become negative. */
static void deduct(struct pass *p, const struct stage *st, struct room *rooms)
{
	struct room need = task_room(&st->tasks[0]);

	for (uint32_t i = 0; i < p->n; i++)
		for (uint32_t k = 0; k < p->chosen[i]; k++)
			room_add(&rooms[i], &need, -1);
}

static void start_chosen(struct pass *p, struct stage *st)
{
	uint32_t next = 0, run = stage_next_run(st);

	for (uint32_t i = 0; i < p->n; i++) {
		for (uint32_t k = 0; k < p->chosen[i]; k++) {
			struct action a = {.tag = ACTION_START,
					   .u.to = upstream_at(p, i)};

			while (st->tasks[next].state != TASK_WAITING)
				next++;
			a.task = &st->tasks[next];
			task_place(a.task, a.u.to,
				   st->step->gang ? run : a.task->run + 1,
				   p->v->now_ms);
			g_array_append_val(p->actions, a);
		}
	}
	deduct(p, st, p->avail);
	deduct(p, st, p->soon);
}

/* Keep the chosen places free for the rest of the pass. */
static void reserve_chosen(struct pass *p, const struct stage *st)
{
	deduct(p, st, p->avail);
	deduct(p, st, p->soon);
}

/* The work that would be lost, in core-milliseconds, if t were stopped. */
static int64_t task_loss(const struct pass *p, const struct task *t)
{
	const struct step *s = t->stage->step;
	uint64_t ms = p->v->now_ms - MIN(t->placed_ms, p->v->now_ms);
	int64_t cores = s->need.cpu_milli / 1000 +
			s->need.accelerators * ACCELERATOR_CORES;

	if (s->checkpoints)
		ms = MIN(ms, p->v->checkpoint_ms);
	return (int64_t)ms * cores + 1;
}

static int64_t victim_loss(const struct pass *p, const struct task *t)
{
	const struct stage *st = t->stage;
	int64_t sum = 0;

	if (!st->step->gang)
		return task_loss(p, t);
	for (uint32_t i = 0; i < st->step->count; i++)
		if (task_active(&st->tasks[i]))
			sum += task_loss(p, &st->tasks[i]);
	return sum;
}

struct victim {
	struct task *task;
	int64_t loss;
};

static int by_loss(const void *a, const void *b)
{
	const struct victim *x = a, *y = b;

	return x->loss < y->loss ? -1 : x->loss > y->loss;
}

/* What has to be stopped on one upstream for one more task. */
struct clearing {
	bool possible;
	int64_t loss;
	GPtrArray *victims;
};

static uint32_t list_victims(const struct pass *p, const struct upstream *u,
			     uint32_t rank, struct victim *out)
{
	uint32_t n = 0;

	for (guint k = 0; k < u->tasks->len; k++) {
		struct task *t = g_ptr_array_index(u->tasks, k);

		if (t->state != TASK_PLACED && t->state != TASK_RUNNING)
			continue;
		if (rank_of(p->v, t->stage->job) <= rank ||
		    t->stage->step->lasting)
			continue;
		out[n].task = t;
		out[n++].loss = victim_loss(p, t);
	}
	qsort(out, n, sizeof(*out), by_loss);
	return n;
}

/*
 * Find what to stop on upstream i so that one more task of st fits into
 * `have`; victims in `taken` are stopped already.
 */
static void clear_one(const struct pass *p, const struct stage *st,
		      uint32_t rank, uint32_t i, struct room have,
		      GHashTable *taken, struct clearing *c)
{
	const struct upstream *u = upstream_at(p, i);
	struct victim *list = g_new(struct victim, u->tasks->len + 1);
	uint32_t n = list_victims(p, u, rank, list);

	c->loss = 0;
	c->possible = capacity_for(p, st, i, &have) > 0;
	for (uint32_t k = 0; k < n && !c->possible; k++) {
		struct room r = task_room(list[k].task);

		if (g_hash_table_contains(taken, list[k].task))
			continue;
		room_add(&have, &r, 1);
		g_ptr_array_add(c->victims, list[k].task);
		c->loss += list[k].loss;
		c->possible = capacity_for(p, st, i, &have) > 0;
	}
	g_free(list);
}

struct eviction {
	int64_t loss;
	bool possible;
	GHashTable *victims; /* a set of tasks */
	uint32_t *chosen;
};

static void eviction_clear(struct eviction *e)
{
	if (e->victims)
		g_hash_table_destroy(e->victims);
	g_free(e->chosen);
	memset(e, 0, sizeof(*e));
}

static void take_clearing(struct eviction *e, struct room *have,
			  const struct clearing *c, const struct room *need)
{
	for (guint k = 0; k < c->victims->len; k++) {
		struct task *t = g_ptr_array_index(c->victims, k);
		struct room r = task_room(t);

		g_hash_table_add(e->victims, t);
		room_add(have, &r, 1);
	}
	room_add(have, need, -1);
	e->loss += c->loss;
}

/* Find the cheapest upstream for one more task; false: there is none. */
static bool evict_step(struct pass *p, const struct stage *st, uint32_t rank,
		       const char *rack, struct room *rooms,
		       struct eviction *e)
{
	struct room need = task_room(&st->tasks[0]);
	struct clearing best = {.loss = INT64_MAX,
				.victims = g_ptr_array_new()};
	uint32_t best_at = 0;

	for (uint32_t i = 0; i < p->n; i++) {
		const struct upstream *u = upstream_at(p, i);
		struct clearing c = {.victims = NULL};

		if ((rack && strcmp(u->rack, rack)) ||
		    !upstream_usable(u, p->v->now_ms) || !suits(st, u))
			continue;
		if (st->step->spread && e->chosen[i] >= st->step->spread)
			continue;
		c.victims = g_ptr_array_new();
		clear_one(p, st, rank, i, rooms[i], e->victims, &c);
		if (c.possible && c.loss < best.loss) {
			GPtrArray *t = best.victims;

			best = c;
			c.victims = t;
			best_at = i;
		}
		g_ptr_array_free(c.victims, TRUE);
	}
	if (best.possible) {
		take_clearing(e, &rooms[best_at], &best, &need);
		e->chosen[best_at]++;
	}
	g_ptr_array_free(best.victims, TRUE);
	return best.possible;
}

/* Plan to make room for `want` tasks of st by stopping lower ranks. */
static void plan_eviction(struct pass *p, const struct stage *st,
			  uint32_t want, uint32_t rank, const char *rack,
			  struct eviction *e)
{
	struct room *rooms = g_new(struct room, p->n + 1);

	memcpy(rooms, p->soon, p->n * sizeof(*rooms));
	e->loss = 0;
	e->possible = true;
	e->victims = g_hash_table_new(NULL, NULL);
	e->chosen = g_new0(uint32_t, p->n + 1);
	for (uint32_t k = 0; k < want && e->possible; k++)
		e->possible = evict_step(p, st, rank, rack, rooms, e);
	g_free(rooms);
}

/* Plan within the rack where the least is lost. */
static void plan_rack_eviction(struct pass *p, const struct stage *st,
			       uint32_t want, uint32_t rank,
			       struct eviction *best)
{
	memset(best, 0, sizeof(*best));
	for (uint32_t i = 0; i < p->n; i++) {
		struct eviction e;

		if (!first_of_rack(p, i))
			continue;
		plan_eviction(p, st, want, rank, upstream_at(p, i)->rack, &e);
		if (e.possible && (!best->possible || e.loss < best->loss)) {
			eviction_clear(best);
			*best = e;
		} else {
			eviction_clear(&e);
		}
	}
}

/* Stop lower ranks so that st can start when they have ended. */
static bool evict_for(struct pass *p, struct stage *st, uint32_t want,
		      uint32_t rank)
{
	struct eviction e = {0};
	GHashTableIter it;
	gpointer k;
	bool ok;

	if (st->step->gang && st->step->one_rack && rack_could_hold(p, st))
		plan_rack_eviction(p, st, want, rank, &e);
	else
		plan_eviction(p, st, want, rank, NULL, &e);
	ok = e.possible;
	if (ok) {
		g_hash_table_iter_init(&it, e.victims);
		while (g_hash_table_iter_next(&it, &k, NULL)) {
			struct task *t = k;

			if (t->stage->step->gang)
				stop_stage(p, t->stage, STOP_ROOM);
			else
				stop_task(p, t, STOP_ROOM);
		}
		memcpy(p->chosen, e.chosen, p->n * sizeof(*p->chosen));
		reserve_chosen(p, st);
	}
	eviction_clear(&e);
	return ok;
}

/* Keep room for a gang that has waited, where most of it is free. */
static void hold_for(struct pass *p, struct stage *st, uint32_t want,
		     uint32_t rank)
{
	struct room *rooms = g_new(struct room, p->n + 1);

	for (uint32_t i = 0; i < p->n; i++) {
		struct upstream *u = upstream_at(p, i);

		rooms[i] = p->soon[i];
		if (!upstream_usable(u, p->v->now_ms))
			continue;
		for (guint k = 0; k < u->tasks->len; k++) {
			struct task *t = g_ptr_array_index(u->tasks, k);
			struct room r = task_room(t);

			if (t->state != TASK_STOPPING &&
			    rank_of(p->v, t->stage->job) > rank)
				room_add(&rooms[i], &r, 1);
		}
	}
	if (choose_all(p, st, want, rooms))
		reserve_chosen(p, st);
	g_free(rooms);
}

static void place(struct pass *p, const struct candidate *c)
{
	struct stage *st = c->stage;
	uint32_t want = stage_waiting(st);

	if (choose_all(p, st, want, p->avail)) {
		start_chosen(p, st);
		return;
	}
	if (!st->step->gang) {
		/* what fits now; the rest of it stays a candidate */
		uint32_t n = choose(p, st, want, p->avail, NULL);

		if (n) {
			start_chosen(p, st);
			want -= n;
		}
	}
	if (choose_all(p, st, want, p->soon)) {
		reserve_chosen(p, st);
		return;
	}
	if (c->rank <= RANK_URGENT && evict_for(p, st, want, c->rank))
		return;
	if (st->step->gang && p->v->now_ms >= st->since_ms + HOLD_AFTER_MS)
		hold_for(p, st, want, c->rank);
}

static uint64_t time_left_ms(const struct task *t, uint64_t now_ms)
{
	uint64_t ran = now_ms - MIN(t->placed_ms, now_ms);
	uint64_t estimate = t->stage->step->estimate_ms;

	if (t->percent >= 5)
		return ran * (100 - t->percent) / t->percent;
	return estimate > ran ? estimate - ran : 0;
}

/* Move work with checkpoints off an upstream that leaves too early. */
static void leave(struct pass *p)
{
	for (uint32_t i = 0; i < p->n; i++) {
		struct upstream *u = upstream_at(p, i);

		if (u->state != UPSTREAM_DRAINING || !u->leaves_ms)
			continue;
		for (guint k = 0; k < u->tasks->len; k++) {
			struct task *t = g_ptr_array_index(u->tasks, k);

			if (!t->stage->step->checkpoints ||
			    t->state != TASK_RUNNING ||
			    p->v->now_ms + time_left_ms(t, p->v->now_ms) <=
				    u->leaves_ms)
				continue;
			if (t->stage->step->gang)
				stop_stage(p, t->stage, STOP_LEAVING);
			else
				stop_task(p, t, STOP_LEAVING);
		}
	}
}

/*
 * Decide once.  The model is changed: tasks that are to start occupy room
 * as TASK_PLACED, tasks that are to stop are TASK_STOPPING.  Returns an
 * array of struct action, to be freed with g_array_unref.
 */
GArray *dispatch(const struct dispatch_view *v)
{
	struct pass p = {.v = v};

	p.n = v->fleet->list->len;
	p.actions = g_array_new(FALSE, FALSE, sizeof(struct action));
	p.candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	p.avail = g_new0(struct room, p.n + 1);
	p.soon = g_new0(struct room, p.n + 1);
	p.chosen = g_new0(uint32_t, p.n + 1);
	stop_unwanted(&p);
	leave(&p);
	collect(&p);
	measure(&p);
	for (guint i = 0; i < p.candidates->len; i++)
		place(&p, &g_array_index(p.candidates, struct candidate, i));
	g_free(p.avail);
	g_free(p.soon);
	g_free(p.chosen);
	g_array_unref(p.candidates);
	return p.actions;
}
