/*
 * Finds a cheap preemption for a stage, task by task. On each upstream the runs
 * with the least loss go first; runs that end soon cost nothing and are
 * awaited.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sched/evict.h"

/*
 * Extra loss accepted for the rack that was freed for the stage before, so that
 * freed resources are not left unused.
 */
#define RESERVED_RACK_BONUS 0.3
/*
 * Maximum upstreams that a plan examines, in rotation over the plans. A plan
 * for a due guarantee examines all.
 */
#define PLAN_UPSTREAMS_MAX 1024
/* Maximum number of unmet demands that are remembered in a pass. */
#define UNMET_MAX 64

/* A run that may be preempted, with values cached for all plans of a pass. */
struct victim {
	struct task *task;
	struct stage *stage;
	struct resources resources;
	double loss; /* loss by stopping it or its whole gang */
	uint64_t remaining_ms;
	uint64_t plan_id; /* last plan that stops or awaits it */
	uint32_t rank;
	bool gang;
	bool long_running;
};

/* Bounds over the runs on one upstream. */
struct upstream_summary {
	uint32_t max_rank;
	uint64_t min_remaining_ms;
	bool long_running; /* some runs are long-running */
};

/*
 * The cost of one more task on an upstream; stale when the cost has changed
 * since.
 */
struct quote {
	double cost;
	uint32_t index;
};

/* A demand for which no plan was found. */
struct unmet_demand {
	struct demand demand;
	struct preempt_request request;
	uint32_t want;
	bool one_rack;
};

struct evict {
	struct pack *pack;
	const struct value_context *value;
	uint32_t *first; /* first victim by upstream index, and the end */
	struct victim *victims;
	struct upstream_summary *sums; /* by upstream index */
	GArray *heap;		       /* of struct quote, the cheapest first */
	uint64_t plan_id;	       /* number of the current plan */
	/* by upstream index, valid if plan_of is the plan */
	uint64_t *plan_of;
	struct resources *available;
	uint32_t *count; /* tasks placed there */
	double *cost;	 /* loss by one more task there */
	GArray *unmet;
};

/* A plan in progress: the request and the upstreams it examines. */
struct plan {
	struct evict *e;
	const struct preempt_request *request;
	struct stage *stage;
	const uint32_t *members; /* of a rack; NULL: consecutive upstreams */
	uint32_t first_index;
	uint32_t members_len;
	struct eviction *out;
};

static int compare_loss(const void *a, const void *b)
{
	const struct victim *x = a, *y = b;

	return x->loss < y->loss ? -1 : x->loss > y->loss;
}

static struct victim make_victim(const struct evict *e, struct task *t)
{
	const struct step *s = t->stage->step;

	return (struct victim){
		.task = t,
		.stage = t->stage,
		.resources = task_resources(t),
		.loss = value_stop_loss(e->value, t),
		.remaining_ms = s->long_running
					? UINT64_MAX
					: value_remaining_ms(e->value, t),
		.rank = t->stage->job->rank,
		.gang = s->gang,
		.long_running = s->long_running,
	};
}

static void list_victims(struct evict *e, uint32_t index, uint32_t *n)
{
	const struct upstream *u = e->pack->upstreams[index];
	struct upstream_summary *sum = &e->sums[index];
	uint32_t from = *n;

	sum->min_remaining_ms = UINT64_MAX;
	for (guint k = 0; e->pack->usable[index] && k < u->tasks->len; k++) {
		struct task *t = g_ptr_array_index(u->tasks, k);
		struct victim v;

		if (t->state != TASK_PLACED && t->state != TASK_RUNNING)
			continue;
		v = make_victim(e, t);
		sum->max_rank = MAX(sum->max_rank, v.rank);
		sum->min_remaining_ms =
			MIN(sum->min_remaining_ms, v.remaining_ms);
		sum->long_running |= v.long_running;
		e->victims[(*n)++] = v;
	}
	qsort(e->victims + from, *n - from, sizeof(*e->victims), compare_loss);
}

/* List the current runs on the upstreams of p. */
struct evict *evict_create(struct pack *p, const struct value_context *v)
{
	struct evict *e = g_new0(struct evict, 1);
	uint32_t n = 0;

	e->pack = p;
	e->value = v;
	for (uint32_t i = 0; i < p->n; i++)
		n += p->upstreams[i]->tasks->len;
	e->first = g_new(uint32_t, p->n + 1);
	e->victims = g_new(struct victim, n + 1);
	e->sums = g_new0(struct upstream_summary, p->n + 1);
	e->heap = g_array_sized_new(FALSE, FALSE, sizeof(struct quote), p->n);
	e->plan_of = g_new0(uint64_t, p->n + 1);
	e->available = g_new0(struct resources, p->n + 1);
	e->count = g_new(uint32_t, p->n + 1);
	e->cost = g_new(double, p->n + 1);
	e->unmet = g_array_new(FALSE, FALSE, sizeof(struct unmet_demand));
	n = 0;
	for (uint32_t i = 0; i < p->n; i++) {
		e->first[i] = n;
		list_victims(e, i, &n);
	}
	e->first[p->n] = n;
	return e;
}

/* Free e; NULL is allowed. */
void evict_destroy(struct evict *e)
{
	if (!e)
		return;
	g_free(e->first);
	g_free(e->victims);
	g_free(e->sums);
	g_array_unref(e->heap);
	g_free(e->plan_of);
	g_free(e->available);
	g_free(e->count);
	g_free(e->cost);
	g_array_unref(e->unmet);
	g_free(e);
}

/* Free what e holds. */
void eviction_clear(struct eviction *e)
{
	if (e->stop)
		g_ptr_array_free(e->stop, TRUE);
	memset(e, 0, sizeof(*e));
}

/* Return the resources of an upstream in the current plan. */
static struct resources *plan_resources(struct evict *e, uint32_t index)
{
	if (e->plan_of[index] != e->plan_id) {
		e->plan_of[index] = e->plan_id;
		e->available[index] = e->pack->free_after_stops[index];
		e->count[index] = 0;
	}
	return &e->available[index];
}

/* Count the tasks of st that are not available to their users. */
static uint32_t unavailable_count(const struct stage *st)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < st->step->count; i++)
		n += st->tasks[i].state != TASK_RUNNING ||
		     st->tasks[i].percent < 100;
	return n;
}

/*
 * Report whether v may be stopped together with `more` other tasks of its
 * stage. Other work is stopped for a higher rank; long-running work only for a
 * due guarantee and within its step's max_unavailable.
 */
static bool can_stop(const struct plan *d, const struct victim *v,
		     uint32_t more)
{
	const struct stage *st = v->stage;

	if (!v->long_running)
		return v->rank > d->request->rank;
	if (!d->request->due)
		return false;
	if (st->plan_id == d->e->plan_id)
		more += st->plan_stop_count;
	return !st->step->max_unavailable ||
	       unavailable_count(st) + more < st->step->max_unavailable;
}

static bool is_awaited(const struct plan *d, const struct victim *v)
{
	return d->request->await_within_ms &&
	       v->remaining_ms <= d->request->await_within_ms;
}

static bool gang_is_stopped(const struct plan *d, const struct victim *v)
{
	return v->gang && v->stage->plan_id == d->e->plan_id;
}

/* Add v to this plan, to be stopped or awaited. */
static void select_victim(struct plan *d, struct victim *v, bool stop)
{
	struct stage *st = v->stage;

	v->plan_id = d->e->plan_id;
	if (!stop)
		return;
	if (st->plan_id != d->e->plan_id) {
		st->plan_id = d->e->plan_id;
		st->plan_stop_count = 0;
	}
	st->plan_stop_count++;
	g_ptr_array_add(d->out->stop, v->task);
}

/* Count the tasks of the long-running stage of v among n victims. */
static uint32_t count_same_stage(const struct evict *e, const struct victim *v,
				 const uint32_t *list, uint32_t n)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; v->long_running && i < n; i++)
		sum += e->victims[list[i]].stage == v->stage;
	return sum;
}

/* Report whether any run of an upstream might be preempted for the request. */
static bool has_possible_victim(const struct plan *d, uint32_t index)
{
	const struct upstream_summary *s = &d->e->sums[index];

	return s->max_rank > d->request->rank ||
	       s->min_remaining_ms <= d->request->await_within_ms ||
	       (s->long_running && d->request->due);
}

/* Maximum runs considered on one upstream. */
#define VICTIMS_MAX 256

/* The victims on an upstream that make one more task fit. */
struct victim_set {
	uint32_t list[VICTIMS_MAX];
	uint32_t n;
	uint32_t free_count; /* the first free_count cost nothing */
	struct resources have;
	double loss; /* INFINITY: the task cannot fit */
};

static void find_victims(struct plan *d, uint32_t index, struct victim_set *c)
{
	struct evict *e = d->e;
	uint32_t spread = d->stage->step->spread;
	bool fits;

	c->n = c->free_count = 0;
	c->have = (struct resources){0};
	c->loss = INFINITY;
	if (!e->pack->usable[index] || !pack_is_eligible(e->pack, index) ||
	    !resources_contain(&e->pack->upstreams[index]->resources,
			       &e->pack->demand.need))
		return;
	c->have = *plan_resources(e, index);
	if (spread && e->count[index] >= spread)
		return;
	c->loss = 0;
	fits = pack_capacity(e->pack, index, &c->have);
	if (!fits && !has_possible_victim(d, index)) {
		c->loss = INFINITY;
		return;
	}
	/* what costs nothing first, then by loss */
	for (int costly = 0; costly <= 1 && !fits; costly++) {
		for (uint32_t i = e->first[index];
		     i < e->first[index + 1] && !fits && c->n < VICTIMS_MAX;
		     i++) {
			const struct victim *v = &e->victims[i];
			bool ends_soon = is_awaited(d, v);
			bool is_free = ends_soon || gang_is_stopped(d, v);

			if (v->plan_id == e->plan_id || is_free == (bool)costly)
				continue;
			if (!ends_soon &&
			    !can_stop(d, v,
				      count_same_stage(e, v, c->list, c->n)))
				continue;
			if (v->task->state == TASK_STOPPING)
				continue; /* stopped by an earlier plan */
			if (!is_free)
				c->loss += v->loss;
			c->list[c->n++] = i;
			resources_add(&c->have, &v->resources, 1);
			fits = resources_contain(&c->have,
						 &e->pack->demand.need) &&
			       pack_capacity(e->pack, index, &c->have);
		}
		if (!costly)
			c->free_count = c->n;
	}
	if (!fits)
		c->loss = INFINITY;
}

/* Add the victims of c to the plan and place one more task there. */
static void apply_victims(struct plan *d, uint32_t index, struct victim_set *c)
{
	struct evict *e = d->e;

	for (uint32_t i = 0; i < c->n; i++) {
		struct victim *v = &e->victims[c->list[i]];

		select_victim(d, v, i >= c->free_count || !is_awaited(d, v));
	}
	resources_add(&c->have, &e->pack->demand.need, -1);
	e->available[index] = c->have;
	e->count[index]++;
	d->out->loss += c->loss;
}

static struct quote *heap_entry(const struct evict *e, guint i)
{
	return &g_array_index(e->heap, struct quote, i);
}

static void heap_push(struct evict *e, struct quote o)
{
	guint i = e->heap->len;

	g_array_append_val(e->heap, o);
	for (; i && o.cost < heap_entry(e, (i - 1) / 2)->cost; i = (i - 1) / 2)
		*heap_entry(e, i) = *heap_entry(e, (i - 1) / 2);
	*heap_entry(e, i) = o;
}

static void heap_pop(struct evict *e)
{
	guint n = e->heap->len - 1, i = 0;
	struct quote last = *heap_entry(e, n);

	for (guint c = 1; c < n; i = c, c = 2 * i + 1) {
		if (c + 1 < n &&
		    heap_entry(e, c + 1)->cost < heap_entry(e, c)->cost)
			c++;
		if (heap_entry(e, c)->cost >= last.cost)
			break;
		*heap_entry(e, i) = *heap_entry(e, c);
	}
	*heap_entry(e, i) = last;
	g_array_set_size(e->heap, n);
}

/* Compute and queue the cost of one more task on an upstream. */
static void quote_upstream(struct plan *d, uint32_t index)
{
	struct victim_set c;

	find_victims(d, index, &c);
	d->e->cost[index] = c.loss;
	if (!isinf(c.loss))
		heap_push(d->e, (struct quote){c.loss, index});
}

static uint32_t plan_upstream(const struct plan *d, uint32_t k)
{
	return d->members ? d->members[k]
			  : (d->first_index + k) % d->e->pack->n;
}

static bool plan_includes(const struct plan *d, uint32_t index)
{
	const struct pack *p = d->e->pack;

	if (d->members)
		return p->rack[index] == p->rack[d->members[0]];
	return (index + p->n - d->first_index) % p->n < d->members_len;
}

/*
 * Quote the upstreams of a stopped gang again: its other members cost nothing
 * more.
 */
static void requote_gang(struct plan *d, const struct stage *st)
{
	const struct pack *p = d->e->pack;

	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct upstream *u = st->tasks[i].at;

		if (u && u->pass_index < p->n &&
		    p->upstreams[u->pass_index] == u &&
		    plan_includes(d, u->pass_index))
			quote_upstream(d, u->pass_index);
	}
}

/* Place one more task at the least loss; false if none fits within max_loss. */
static bool place_task(struct plan *d, double max_loss)
{
	struct evict *e = d->e;
	uint32_t stopped = d->out->stop->len;

	while (e->heap->len) {
		struct quote o = *heap_entry(e, 0);
		struct victim_set c;

		if (d->out->loss + o.cost > max_loss)
			return false;
		heap_pop(e);
		if (o.cost != e->cost[o.index])
			continue;
		find_victims(d, o.index, &c);
		if (c.loss > o.cost) { /* the plan has used resources since */
			quote_upstream(d, o.index);
			continue;
		}
		apply_victims(d, o.index, &c);
		quote_upstream(d, o.index);
		for (guint k = stopped; k < d->out->stop->len; k++) {
			const struct task *t =
				g_ptr_array_index(d->out->stop, k);

			if (t->stage->step->gang)
				requote_gang(d, t->stage);
		}
		return true;
	}
	return false;
}

/* Set pack->chosen to the upstreams of the plan. */
static void set_choice(struct plan *d)
{
	struct pack *p = d->e->pack;

	p->chosen_len = 0;
	for (uint32_t k = 0; k < d->members_len; k++) {
		uint32_t i = plan_upstream(d, k);

		if (d->e->plan_of[i] == d->e->plan_id && d->e->count[i])
			p->chosen[p->chosen_len++] = (struct pack_slot){
				.index = i, .count = d->e->count[i]};
	}
}

/* Plan on one rack, or on all upstreams that the plan may examine. */
static bool plan_on(struct evict *e, const struct preempt_request *c,
		    struct stage *st, uint32_t want, int rack, double max_loss,
		    struct eviction *out)
{
	struct pack *p = e->pack;
	struct plan d = {.e = e,
			 .request = c,
			 .stage = st,
			 .members_len = p->n,
			 .out = out};
	uint32_t placed = 0;

	if (rack != PACK_ANY_RACK) {
		d.members = p->rack_members + p->rack_start[rack];
		d.members_len = p->rack_start[rack + 1] - p->rack_start[rack];
	} else if (!c->due && p->n > PLAN_UPSTREAMS_MAX) {
		d.first_index =
			p->fleet->plan_count * PLAN_UPSTREAMS_MAX % p->n;
		d.members_len = PLAN_UPSTREAMS_MAX;
	}
	*out = (struct eviction){.stop = g_ptr_array_new(), .rack = rack};
	e->plan_id = ++p->fleet->plan_count;
	g_array_set_size(e->heap, 0);
	for (uint32_t k = 0; k < d.members_len; k++)
		quote_upstream(&d, plan_upstream(&d, k));
	while (placed < want && place_task(&d, max_loss))
		placed++;
	if (placed < want)
		return false;
	set_choice(&d);
	return true;
}

static bool is_known_unmet(const struct evict *e,
			   const struct preempt_request *c, uint32_t want,
			   bool one_rack)
{
	for (guint i = 0; i < e->unmet->len; i++) {
		const struct unmet_demand *m =
			&g_array_index(e->unmet, struct unmet_demand, i);

		if (m->want <= want && (!m->one_rack || one_rack) &&
		    m->request.rank <= c->rank && (m->request.due || !c->due) &&
		    m->request.await_within_ms >= c->await_within_ms &&
		    m->request.max_loss >= c->max_loss &&
		    demand_covers(&m->demand, &e->pack->demand))
			return true;
	}
	return false;
}

static void record_unmet(struct evict *e, const struct preempt_request *c,
			 uint32_t want, bool one_rack)
{
	struct unmet_demand m = {e->pack->demand, *c, want, one_rack};

	if (demand_is_general(&m.demand) && e->unmet->len < UNMET_MAX)
		g_array_append_val(e->unmet, m);
}

static bool plan_on_one_rack(struct evict *e, const struct preempt_request *c,
			     struct stage *st, uint32_t want,
			     struct eviction *out)
{
	struct pack *p = e->pack;
	struct pack_slot *kept = g_new(struct pack_slot, p->n + 1);
	uint64_t turn = p->fleet->plan_count; /* rotates the first rack */
	double most = c->max_loss;
	uint32_t kept_len = 0, looked = 0;
	bool possible = false;

	for (uint32_t k = 0; k < p->racks_len; k++) {
		uint32_t r = (turn + k) % p->racks_len;
		double bonus = p->racks[r] == st->reserved_rack
				       ? RESERVED_RACK_BONUS
				       : 0;
		struct eviction one;

		if (!c->due && !bonus && looked >= PLAN_UPSTREAMS_MAX)
			continue;
		looked += p->rack_start[r + 1] - p->rack_start[r];
		if (!plan_on(e, c, st, want, (int)r, most + bonus, &one) ||
		    (possible && one.loss - bonus >= out->loss)) {
			eviction_clear(&one);
			continue;
		}
		one.loss -= bonus;
		eviction_clear(out);
		*out = one;
		possible = true;
		most = MIN(most, one.loss);
		kept_len = p->chosen_len;
		memcpy(kept, p->chosen, kept_len * sizeof(*kept));
	}
	if (possible) {
		memcpy(p->chosen, kept, kept_len * sizeof(*kept));
		p->chosen_len = kept_len;
	}
	g_free(kept);
	return possible;
}

/*
 * Plan a preemption for `want` tasks of st at a low loss, on one rack if
 * required. Returns true with the upstreams in pack->chosen and out set, to be
 * freed with eviction_clear. Returns false if no plan exists within the
 * request's max_loss.
 */
bool evict_plan(struct evict *e, const struct preempt_request *c,
		struct stage *st, uint32_t want, struct eviction *out)
{
	bool one_rack, possible;

	memset(out, 0, sizeof(*out));
	pack_set_demand(e->pack, st);
	one_rack = pack_requires_one_rack(e->pack, st);
	if (is_known_unmet(e, c, want, one_rack))
		return false;
	if (one_rack)
		possible = plan_on_one_rack(e, c, st, want, out);
	else
		possible = plan_on(e, c, st, want, PACK_ANY_RACK, c->max_loss,
				   out);
	if (!possible) {
		eviction_clear(out);
		record_unmet(e, c, want, one_rack);
	}
	return possible;
}
