/*
 * Finds a cheap preemption for a stage, task by task. On each upstream the runs
 * with the least loss go first.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sched/evict.h"
#include "sched/fastest.h"

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
	double loss;	  /* loss by stopping it or its whole gang */
	uint64_t plan_id; /* last plan that stops it */
	uint32_t rank;
	bool gang;
	bool long_running;
};

/* Bounds over the runs on one upstream. */
struct upstream_summary {
	uint32_t max_rank;
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
	/* index of the first victim of each upstream, and at last the end */
	uint32_t *first;
	struct victim *victims;
	struct upstream_summary *summaries; /* by upstream index */
	GArray *heap;	   /* of struct quote, the cheapest first */
	uint64_t plan_id;  /* number of the current plan */
	uint64_t *plan_of; /* last plan that used each upstream */
	/* by upstream index, valid if plan_of is the current plan */
	struct resources *available;
	uint32_t *count; /* tasks placed there */
	/* loss by one more task there, and by its end if that is late */
	double *cost;
	GArray *unmet; /* struct unmet_demand of this pass */
};

/* A plan in progress: the request and the upstreams it examines. */
struct plan {
	struct evict *e;
	const struct preempt_request *request;
	struct stage *stage;
	/* upstreams of a rack; NULL: consecutive ones from first_index */
	const uint32_t *members;
	uint32_t first_index;
	uint32_t members_len;
	struct eviction *out;
};

/* Order victims by loss, the least first. */
static int compare_loss(const void *a, const void *b)
{
	const struct victim *x = a, *y = b;

	return x->loss < y->loss ? -1 : x->loss > y->loss;
}

/* Return the victim for the run of t. */
static struct victim make_victim(const struct evict *e, struct task *t)
{
	const struct step *s = t->stage->step;

	return (struct victim){
		.task = t,
		.stage = t->stage,
		.resources = task_resources(t),
		.loss = value_stop_loss(e->value, t),
		.rank = t->stage->job->rank,
		.gang = s->gang,
		.long_running = s->long_running,
	};
}

/* Append the victims on an upstream at *n, the least loss first. */
static void list_victims(struct evict *e, uint32_t index, uint32_t *n)
{
	const struct upstream *u = e->pack->upstreams[index];
	struct upstream_summary *summary = &e->summaries[index];
	uint32_t from = *n;

	for (guint k = 0; e->pack->usable[index] && k < u->tasks->len; k++) {
		struct task *t = g_ptr_array_index(u->tasks, k);
		struct victim v;

		if (t->state != TASK_PLACED && t->state != TASK_RUNNING)
			continue;
		v = make_victim(e, t);
		summary->max_rank = MAX(summary->max_rank, v.rank);
		summary->long_running |= v.long_running;
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
	e->summaries = g_new0(struct upstream_summary, p->n + 1);
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
	g_free(e->summaries);
	g_array_unref(e->heap);
	g_free(e->plan_of);
	g_free(e->available);
	g_free(e->count);
	g_free(e->cost);
	g_array_unref(e->unmet);
	g_free(e);
}

/* Free what e holds and reset it. */
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
static bool can_stop(const struct plan *plan, const struct victim *v,
		     uint32_t more)
{
	const struct stage *st = v->stage;

	if (!v->long_running)
		return v->rank > plan->request->rank;
	if (!plan->request->due)
		return false;
	if (st->plan_id == plan->e->plan_id)
		more += st->plan_stop_count;
	return !st->step->max_unavailable ||
	       unavailable_count(st) + more < st->step->max_unavailable;
}

/* Report whether the plan already stops the gang of v. */
static bool gang_is_stopped(const struct plan *plan, const struct victim *v)
{
	return v->gang && v->stage->plan_id == plan->e->plan_id;
}

/* Add v to the runs that this plan stops. */
static void select_victim(struct plan *plan, struct victim *v)
{
	struct stage *st = v->stage;

	v->plan_id = plan->e->plan_id;
	if (st->plan_id != plan->e->plan_id) {
		st->plan_id = plan->e->plan_id;
		st->plan_stop_count = 0;
	}
	st->plan_stop_count++;
	g_ptr_array_add(plan->out->stop, v->task);
}

/* Count the tasks of the long-running stage of v among n victims. */
static uint32_t count_same_stage(const struct evict *e, const struct victim *v,
				 const uint32_t *list, uint32_t n)
{
	uint32_t count = 0;

	for (uint32_t i = 0; v->long_running && i < n; i++)
		count += e->victims[list[i]].stage == v->stage;
	return count;
}

/* Report whether any run of an upstream might be preempted for the request. */
static bool has_possible_victim(const struct plan *plan, uint32_t index)
{
	const struct upstream_summary *s = &plan->e->summaries[index];

	return s->max_rank > plan->request->rank ||
	       (s->long_running && plan->request->due);
}

/* Maximum runs considered on one upstream. */
#define VICTIMS_MAX 256

/* The victims on an upstream that make one more task fit. */
struct victim_set {
	uint32_t list[VICTIMS_MAX];
	uint32_t n;
	struct resources have;
	double loss; /* INFINITY: the task cannot fit */
};

/*
 * Leave out the victims of c that the task does not need, the dearest first: a
 * later victim may have freed what the earlier ones could not. Those that are
 * stopped in any case cost nothing and stay.
 */
static void spare_victims(struct plan *plan, uint32_t index,
			  struct victim_set *c)
{
	struct evict *e = plan->e;

	for (uint32_t i = c->n; i-- > 0;) {
		const struct victim *v = &e->victims[c->list[i]];
		struct resources without = c->have;

		if (gang_is_stopped(plan, v))
			continue;
		resources_add(&without, &v->resources, -1);
		if (!resources_contain(&without, &e->pack->demand.need) ||
		    !pack_capacity(e->pack, index, &without))
			continue;
		c->have = without;
		c->loss -= v->loss;
		memmove(&c->list[i], &c->list[i + 1],
			(--c->n - i) * sizeof(*c->list));
	}
}

/*
 * Find the victims on an upstream that make one more task fit: first those that
 * cost nothing, then those with the least loss.
 */
static void find_victims(struct plan *plan, uint32_t index,
			 struct victim_set *c)
{
	struct evict *e = plan->e;
	uint32_t max_tasks_per_upstream =
		plan->stage->step->max_tasks_per_upstream;
	bool fits;

	c->n = 0;
	c->have = (struct resources){0};
	c->loss = INFINITY;
	if (!e->pack->usable[index] || !pack_is_eligible(e->pack, index) ||
	    !resources_contain(&e->pack->upstreams[index]->resources,
			       &e->pack->demand.need))
		return;
	c->have = *plan_resources(e, index);
	if (max_tasks_per_upstream && e->count[index] >= max_tasks_per_upstream)
		return;
	c->loss = 0;
	fits = pack_capacity(e->pack, index, &c->have);
	if (!fits && !has_possible_victim(plan, index)) {
		c->loss = INFINITY;
		return;
	}
	/* what costs nothing first, then by loss */
	for (int costly = 0; costly <= 1 && !fits; costly++) {
		for (uint32_t i = e->first[index];
		     i < e->first[index + 1] && !fits && c->n < VICTIMS_MAX;
		     i++) {
			const struct victim *v = &e->victims[i];
			bool is_free = gang_is_stopped(plan, v);

			if (v->plan_id == e->plan_id || is_free == (bool)costly)
				continue;
			if (!can_stop(plan, v,
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
	}
	if (!fits)
		c->loss = INFINITY;
	else if (c->n > 1)
		spare_victims(plan, index, c);
}

/* Add the victims of c to the plan and place one more task there. */
static void apply_victims(struct plan *plan, uint32_t index,
			  struct victim_set *c)
{
	struct evict *e = plan->e;

	for (uint32_t i = 0; i < c->n; i++)
		select_victim(plan, &e->victims[c->list[i]]);
	resources_add(&c->have, &e->pack->demand.need, -1);
	e->available[index] = c->have;
	e->count[index]++;
	plan->out->loss += c->loss;
	plan->out->late_loss =
		MAX(plan->out->late_loss, fastest_late_loss(e->pack, index, 0));
}

/* Return entry i of the heap, whose entry 0 is the cheapest. */
static struct quote *heap_entry(const struct evict *e, guint i)
{
	return &g_array_index(e->heap, struct quote, i);
}

/* Add a quote to the heap. */
static void heap_push(struct evict *e, struct quote q)
{
	guint i = e->heap->len;

	g_array_append_val(e->heap, q);
	for (; i && q.cost < heap_entry(e, (i - 1) / 2)->cost; i = (i - 1) / 2)
		*heap_entry(e, i) = *heap_entry(e, (i - 1) / 2);
	*heap_entry(e, i) = q;
}

/* Remove the cheapest quote from the heap. */
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
static void quote_upstream(struct plan *plan, uint32_t index)
{
	struct victim_set c;
	double cost;

	find_victims(plan, index, &c);
	cost = c.loss + fastest_late_loss(plan->e->pack, index, 0);
	plan->e->cost[index] = cost;
	if (!isinf(cost))
		heap_push(plan->e, (struct quote){cost, index});
}

/* Return the index of the k-th upstream that the plan examines. */
static uint32_t plan_upstream(const struct plan *plan, uint32_t k)
{
	return plan->members ? plan->members[k]
			     : (plan->first_index + k) % plan->e->pack->n;
}

/* Report whether the plan examines this upstream. */
static bool plan_includes(const struct plan *plan, uint32_t index)
{
	const struct pack *p = plan->e->pack;

	if (plan->members)
		return p->rack[index] == p->rack[plan->members[0]];
	return (index + p->n - plan->first_index) % p->n < plan->members_len;
}

/*
 * Quote the upstreams of a stopped gang again: its other members cost nothing
 * more.
 */
static void requote_gang(struct plan *plan, const struct stage *st)
{
	const struct pack *p = plan->e->pack;

	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct upstream *u = st->tasks[i].at;

		if (u && u->pass_index < p->n &&
		    p->upstreams[u->pass_index] == u &&
		    plan_includes(plan, u->pass_index))
			quote_upstream(plan, u->pass_index);
	}
}

/* Place one more task at the least loss; false if none fits within max_loss. */
static bool place_task(struct plan *plan, double max_loss)
{
	struct evict *e = plan->e;
	uint32_t stopped = plan->out->stop->len;

	while (e->heap->len) {
		struct quote q = *heap_entry(e, 0);
		double late_loss = fastest_late_loss(e->pack, q.index, 0);
		struct victim_set c;

		if (plan->out->loss + q.cost - late_loss > max_loss) {
			if (!e->pack->speeds_used)
				return false;
			/* a slower upstream may cost less */
			heap_pop(e);
			continue;
		}
		heap_pop(e);
		if (q.cost != e->cost[q.index])
			continue;
		find_victims(plan, q.index, &c);
		/* the plan may have used resources since */
		if (c.loss + late_loss > q.cost) {
			quote_upstream(plan, q.index);
			continue;
		}
		apply_victims(plan, q.index, &c);
		quote_upstream(plan, q.index);
		for (guint k = stopped; k < plan->out->stop->len; k++) {
			const struct task *t =
				g_ptr_array_index(plan->out->stop, k);

			if (t->stage->step->gang)
				requote_gang(plan, t->stage);
		}
		return true;
	}
	return false;
}

/* Set pack->chosen to the upstreams of the plan. */
static void set_choice(struct plan *plan)
{
	struct pack *p = plan->e->pack;

	p->chosen_len = 0;
	for (uint32_t k = 0; k < plan->members_len; k++) {
		uint32_t i = plan_upstream(plan, k);

		if (plan->e->plan_of[i] == plan->e->plan_id &&
		    plan->e->count[i])
			p->chosen[p->chosen_len++] = (struct pack_slot){
				.index = i, .count = plan->e->count[i]};
	}
}

/*
 * Plan on one rack, or on all upstreams that the plan may examine. Returns
 * false if no plan exists within max_loss; out is to be cleared in any case.
 */
static bool plan_on(struct evict *e, const struct preempt_request *request,
		    struct stage *st, uint32_t want, int rack, double max_loss,
		    struct eviction *out)
{
	struct pack *p = e->pack;
	struct plan plan = {.e = e,
			    .request = request,
			    .stage = st,
			    .members_len = p->n,
			    .out = out};
	uint32_t placed = 0;

	if (rack != PACK_ANY_RACK) {
		plan.members = p->rack_members + p->rack_start[rack];
		plan.members_len =
			p->rack_start[rack + 1] - p->rack_start[rack];
	} else if (!request->due && p->n > PLAN_UPSTREAMS_MAX) {
		plan.first_index =
			p->fleet->plan_count * PLAN_UPSTREAMS_MAX % p->n;
		plan.members_len = PLAN_UPSTREAMS_MAX;
	}
	*out = (struct eviction){.stop = g_ptr_array_new(), .rack = rack};
	e->plan_id = ++p->fleet->plan_count;
	g_array_set_size(e->heap, 0);
	for (uint32_t k = 0; k < plan.members_len; k++)
		quote_upstream(&plan, plan_upstream(&plan, k));
	while (placed < want && place_task(&plan, max_loss))
		placed++;
	if (placed < want)
		return false;
	set_choice(&plan);
	return true;
}

/* Report whether no plan was found for an equal or easier request. */
static bool is_known_unmet(const struct evict *e,
			   const struct preempt_request *request, uint32_t want,
			   bool one_rack)
{
	for (guint i = 0; i < e->unmet->len; i++) {
		const struct unmet_demand *m =
			&g_array_index(e->unmet, struct unmet_demand, i);

		if (m->want <= want && (!m->one_rack || one_rack) &&
		    m->request.rank <= request->rank &&
		    (m->request.due || !request->due) &&
		    m->request.max_loss >= request->max_loss &&
		    demand_covers(&m->demand, &e->pack->demand))
			return true;
	}
	return false;
}

/* Remember that no plan was found for the current demand. */
static void record_unmet(struct evict *e, const struct preempt_request *request,
			 uint32_t want, bool one_rack)
{
	struct unmet_demand m = {e->pack->demand, *request, want, one_rack};

	if (demand_is_general(&m.demand) && e->unmet->len < UNMET_MAX)
		g_array_append_val(e->unmet, m);
}

/*
 * Plan on the rack with the least loss. The racks that are examined rotate over
 * the plans; the one last freed for st is always examined. Returns false, with
 * out empty, if no plan exists within the request's max_loss.
 */
static bool plan_on_one_rack(struct evict *e,
			     const struct preempt_request *request,
			     struct stage *st, uint32_t want,
			     struct eviction *out)
{
	struct pack *p = e->pack;
	struct pack_slot *best_chosen = g_new(struct pack_slot, p->n + 1);
	uint64_t rotation = p->fleet->plan_count; /* rotates the first rack */
	double max_loss = request->max_loss;
	uint32_t best_chosen_len = 0, examined_count = 0;
	bool possible = false;

	for (uint32_t k = 0; k < p->racks_len; k++) {
		uint32_t r = (rotation + k) % p->racks_len;
		double bonus = p->racks[r] == st->reserved_rack
				       ? RESERVED_RACK_BONUS
				       : 0;
		struct eviction one;

		if (!request->due && !bonus &&
		    examined_count >= PLAN_UPSTREAMS_MAX)
			continue;
		examined_count += p->rack_start[r + 1] - p->rack_start[r];
		if (!plan_on(e, request, st, want, (int)r, max_loss + bonus,
			     &one) ||
		    (possible && one.loss + one.late_loss - bonus >=
					 out->loss + out->late_loss)) {
			eviction_clear(&one);
			continue;
		}
		one.loss -= bonus;
		eviction_clear(out);
		*out = one;
		possible = true;
		if (!p->speeds_used)
			max_loss = MIN(max_loss, one.loss);
		best_chosen_len = p->chosen_len;
		memcpy(best_chosen, p->chosen,
		       best_chosen_len * sizeof(*best_chosen));
	}
	if (possible) {
		memcpy(p->chosen, best_chosen,
		       best_chosen_len * sizeof(*best_chosen));
		p->chosen_len = best_chosen_len;
	}
	g_free(best_chosen);
	return possible;
}

/*
 * Plan a preemption for `want` tasks of st at a low loss, on one rack if
 * required. Returns true with the upstreams in pack->chosen and out set, to be
 * freed with eviction_clear. Returns false if no plan exists within the
 * request's max_loss.
 */
bool evict_plan(struct evict *e, const struct preempt_request *request,
		struct stage *st, uint32_t want, struct eviction *out)
{
	bool one_rack, possible;

	memset(out, 0, sizeof(*out));
	pack_set_demand(e->pack, st);
	one_rack = pack_requires_one_rack(e->pack, st);
	if (is_known_unmet(e, request, want, one_rack))
		return false;
	if (one_rack)
		possible = plan_on_one_rack(e, request, st, want, out);
	else
		possible = plan_on(e, request, st, want, PACK_ANY_RACK,
				   request->max_loss, out);
	if (!possible) {
		eviction_clear(out);
		record_unmet(e, request, want, one_rack);
	}
	return possible;
}
