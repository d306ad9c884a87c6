/* Free resources, and best-fit placement of tasks. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sched/pack.h"
#include "sched/ending.h"
#include "sched/fastest.h"
#include "sched/suspect.h"

/* Maximum number of unmet demands that are remembered in a pass. */
#define UNMET_MAX 64
/*
 * Slow upstreams are used when more than one in this many is slow, and those on
 * which runs failed when runs failed on more than one in this many: then the
 * work is at fault.
 */
#define SLOW_SHARE_DIVISOR 3
#define FAILING_SHARE_DIVISOR 3
/* Upstreams with this many free accelerators or more are sorted as equal. */
#define LEFT_ACCELERATORS_MAX 128
/* Number of orders of choice: those of warm upstreams, then of cold ones. */
#define ORDERS_MAX (2 * LEFT_ACCELERATORS_MAX)

/*
 * A demand that did not fit in this pass. Free resources only shrink during a
 * pass, so no equal or larger demand fits either.
 */
struct unmet_demand {
	enum pack_availability availability;
	uint32_t rank; /* with PACK_RESERVABLE */
	struct demand demand;
	uint32_t want;
	bool one_rack;
};

/* Free resources of an upstream that takes no work, not even without needs. */
static const struct resources no_room = {-1, -1, -1};

/* Return the hash h extended by v (FNV-1a over words). */
static uint64_t hash_mix(uint64_t h, uint64_t v)
{
	return (h ^ v) * UINT64_C(0x100000001b3);
}

/*
 * Report whether b needs at least what a needs and allows no other upstreams:
 * if a cannot be met, neither can b.
 */
bool demand_covers(const struct demand *a, const struct demand *b)
{
	return a->service == b->service &&
	       (!a->label || a->label == b->label) &&
	       resources_contain(&b->need, &a->need);
}

/*
 * Report whether an unmet d implies that others are unmet: a stage that may not
 * use every upstream implies nothing.
 */
bool demand_is_general(const struct demand *d)
{
	return !d->has_excluded && !d->one_each &&
	       !d->stage->step->max_tasks_per_upstream;
}

/* Report whether an equal or smaller demand did not fit in this pass. */
static bool is_known_unmet(const struct pack *p,
			   enum pack_availability availability, uint32_t rank,
			   uint32_t want, bool one_rack)
{
	for (guint i = 0; i < p->unmet->len; i++) {
		const struct unmet_demand *m =
			&g_array_index(p->unmet, struct unmet_demand, i);

		if (m->availability == availability && m->rank <= rank &&
		    m->want <= want && (!m->one_rack || one_rack) &&
		    demand_covers(&m->demand, &p->demand))
			return true;
	}
	return false;
}

/* Remember that the current demand does not fit. */
static void record_unmet(struct pack *p, enum pack_availability availability,
			 uint32_t rank, uint32_t want, bool one_rack)
{
	struct unmet_demand m = {availability, rank, p->demand, want, one_rack};

	if (demand_is_general(&p->demand) && p->unmet->len < UNMET_MAX)
		g_array_append_val(p->unmet, m);
}

/* Return how many tasks of st are active on u. */
static uint32_t stage_tasks_on(const struct upstream *u, const struct stage *st)
{
	uint32_t n = 0;

	for (guint k = 0; k < u->tasks->len; k++)
		n += ((struct task *)g_ptr_array_index(u->tasks, k))->stage ==
		     st;
	return n;
}

/* Report whether tasks of the demand may run on this upstream at all. */
bool pack_is_eligible(const struct pack *p, uint32_t index)
{
	const struct upstream *u = p->upstreams[index];

	return u->service_quark == p->demand.service &&
	       p->excluded_for[index] != p->demand_id &&
	       upstream_has_label(u, p->demand.label);
}

/*
 * Return how many tasks of the demand fit into `have`, resources of the
 * upstream with this index.
 */
uint32_t pack_capacity(const struct pack *p, uint32_t index,
		       const struct resources *have)
{
	const struct stage *st = p->demand.stage;
	uint32_t n, there;

	if (!resources_contain(have, &p->demand.need) ||
	    !pack_is_eligible(p, index))
		return 0;
	n = resources_fit_count(have, &p->demand.need);
	if (p->demand.one_each)
		n = MIN(n, 1);
	if (!st->step->max_tasks_per_upstream)
		return n;
	there = stage_tasks_on(p->upstreams[index], st);
	return there >= st->step->max_tasks_per_upstream
		       ? 0
		       : MIN(n, st->step->max_tasks_per_upstream - there);
}

/*
 * Report whether listed upstreams that the demand may use could hold it if they
 * were empty: a whole gang, or one task of other work.
 */
static bool eligible_could_hold(const struct pack *p)
{
	const struct step *step = p->demand.stage->step;
	uint64_t want = step->gang ? step->count : 1, fits = 0;

	for (uint32_t i = 0; i < p->n && fits < want; i++)
		if (p->upstreams[i]->state == UPSTREAM_READY)
			fits += pack_capacity(p, i,
					      &p->upstreams[i]->resources);
	return fits >= want;
}

/*
 * Exclude the upstreams where tasks of st failed, unless the others could not
 * hold it.
 */
static void exclude_failed_upstreams(struct pack *p, const struct stage *st)
{
	struct demand *d = &p->demand;

	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct upstream *u = st->tasks[i].last_failed_on;

		if (!u)
			continue;
		d->has_excluded = true;
		if (u->pass_index < p->n && p->upstreams[u->pass_index] == u)
			p->excluded_for[u->pass_index] = p->demand_id;
	}
	if (!d->has_excluded || eligible_could_hold(p))
		return;
	p->demand_id++;
	d->has_excluded = false;
}

/*
 * Let the current demand use upstreams that it was to avoid, until the next
 * call of pack_set_demand.
 */
void pack_lift_exclusion(struct pack *p)
{
	p->demand_id++;
	p->lifted = true;
}

/* Report whether every run on u has lasted. */
static bool runs_are_proven(const struct upstream *u, uint64_t now_ms)
{
	for (guint i = 0; i < u->tasks->len; i++)
		if (run_is_unproven(g_ptr_array_index(u->tasks, i), now_ms))
			return false;
	return true;
}

/* Report whether the current isolation allows a run on u. */
static bool isolation_allows(const struct pack *p, const struct upstream *u,
			     GHashTable *doubtful_hosts)
{
	if (p->isolation != PACK_SHARED && u->silent)
		return false;
	switch (p->isolation) {
	case PACK_SHARED:
		return true;
	case PACK_ALONE:
		return !u->tasks->len &&
		       !g_hash_table_contains(doubtful_hosts,
					      GUINT_TO_POINTER(u->host_quark));
	case PACK_PROVEN:
		return runs_are_proven(u, p->now_ms);
	}
	return true;
}

/* Exclude the upstreams that the current isolation does not allow. */
static void exclude_by_isolation(struct pack *p)
{
	GHashTable *hosts;

	if (p->isolation == PACK_SHARED)
		return;
	hosts = ending_doubtful_hosts(p->fleet, p->demand.stage->job,
				      p->now_ms);
	p->demand.has_excluded = true;
	for (uint32_t i = 0; i < p->n; i++)
		if (!isolation_allows(p, p->upstreams[i], hosts))
			p->excluded_for[i] = p->demand_id;
	g_hash_table_destroy(hosts);
}

/*
 * Set which other runs may be on the upstreams of the next choices. A gang's
 * need of one rack is to be asked for before, as it is remembered.
 */
void pack_set_isolation(struct pack *p, enum pack_isolation isolation)
{
	if (p->isolation != isolation)
		p->demand.stage = NULL;
	p->isolation = isolation;
}

/* Set the stage that the next choices are for. */
void pack_set_demand(struct pack *p, const struct stage *st)
{
	struct demand *d = &p->demand;

	if (d->stage == st && !p->lifted)
		return;
	p->lifted = false;
	p->demand_id++;
	*d = (struct demand){.stage = st,
			     .need = task_resources(&st->tasks[0]),
			     .slowdown_allowed = st->value.slowdown_allowed,
			     .service = st->job->service_quark,
			     .label = label_quark(st->step->label)};
	if (st->job->state != JOB_QUEUED) {
		d->one_each = stage_spreads_suspects(st);
		exclude_failed_upstreams(p, st);
	}
	exclude_by_isolation(p);
}

/* Return the resources, by upstream index, that a choice may use. */
static const struct resources *
resources_for(const struct pack *p, enum pack_availability availability)
{
	switch (availability) {
	case PACK_FREE:
		return p->free_now;
	case PACK_FREE_AFTER_STOPS:
		return p->free_after_stops;
	case PACK_RESERVABLE:
		return p->reservable;
	}
	return NULL;
}

/*
 * Return how many accelerators are left free of `have` after placing `count`
 * tasks of the demand. Where the usual work is uneven, those do not count that
 * it could not use for lack of cores or memory: such an upstream is as full as
 * one without them, and is filled up first.
 */
static int64_t usable_left(const struct pack *p, const struct resources *have,
			   uint32_t count)
{
	const struct resources *need = &p->demand.need;
	struct resources rest = *have;

	rest.accelerators -= count * need->accelerators;
	if (!p->usual.uneven)
		return rest.accelerators;
	rest.cpu_milli -= count * need->cpu_milli;
	rest.memory_mb -= count * need->memory_mb;
	return shape_usable(&p->usual, &rest);
}

/* List the upstreams with resources for the demand; returns their number. */
static uint32_t list_candidate_slots(struct pack *p, uint32_t want,
				     enum pack_availability availability,
				     int rack)
{
	const struct resources *available = resources_for(p, availability);
	uint32_t n = 0, from = 0, to = p->n;

	if (rack != PACK_ANY_RACK) {
		from = p->rack_start[rack];
		to = p->rack_start[rack + 1];
	}
	for (uint32_t k = from; k < to; k++) {
		uint32_t i = rack == PACK_ANY_RACK ? k : p->rack_members[k];
		struct pack_slot s = {.index = i};

		s.count = pack_capacity(p, i, &available[i]);
		if (!s.count)
			continue;
		s.left = usable_left(p, &available[i], MIN(s.count, want));
		s.left = CLAMP(s.left, 0, LEFT_ACCELERATORS_MAX - 1);
		s.order = s.left + (upstream_is_cold(p->upstreams[i], p->now_ms)
					    ? LEFT_ACCELERATORS_MAX
					    : 0);
		s.speed_class = fastest_class(p, i);
		p->slots[n++] = s;
	}
	return n;
}

/*
 * Choose among n slots, by speed if it matters, then the tightest first and
 * cold ones last; returns how many tasks it placed.
 */
static uint32_t choose_tightest(struct pack *p, uint32_t n, uint32_t want)
{
	uint32_t first[ORDERS_MAX + 1] = {0}, placed = 0;
	struct pack_slot *sorted = p->slots + p->n;

	for (uint32_t k = 0; k < n; k++)
		first[p->slots[k].order + 1]++;
	for (uint32_t c = 0; c < ORDERS_MAX; c++)
		first[c + 1] += first[c];
	for (uint32_t k = 0; k < n; k++)
		sorted[first[p->slots[k].order]++] = p->slots[k];
	if (p->speeds_used)
		fastest_sort(sorted, p->slots, n);
	for (uint32_t k = 0; k < n && placed < want; k++) {
		struct pack_slot s = sorted[k];

		s.count = MIN(s.count, want - placed);
		p->chosen[p->chosen_len++] = s;
		placed += s.count;
	}
	return placed;
}

/*
 * Choose upstreams for up to `want` tasks on a rack or anywhere, the tightest
 * first. Sets p->chosen and returns how many tasks were placed.
 */
static uint32_t choose_in_rack(struct pack *p, uint32_t want,
			       enum pack_availability availability, int rack)
{
	p->chosen_len = 0;
	return choose_tightest(
		p, list_candidate_slots(p, want, availability, rack), want);
}

/*
 * Choose free upstreams for up to `want` tasks of st, the tightest first. Sets
 * p->chosen and returns how many tasks were placed.
 */
uint32_t pack_choose_some(struct pack *p, struct stage *st, uint32_t want)
{
	uint32_t n;

	pack_set_demand(p, st);
	if (is_known_unmet(p, PACK_FREE, 0, 1, false))
		return 0;
	n = choose_in_rack(p, want, PACK_FREE, PACK_ANY_RACK);
	if (!n)
		record_unmet(p, PACK_FREE, 0, 1, false);
	return n;
}

/*
 * Return the rack that takes all `want` tasks of the demand with the fewest on
 * cold upstreams, among these the one with the fewest free accelerators;
 * PACK_ANY_RACK if there is none.
 */
static int find_tightest_rack(const struct pack *p, uint32_t want,
			      const struct resources *available)
{
	int64_t best_free = INT64_MAX;
	uint64_t best_cold = UINT64_MAX;
	int best = PACK_ANY_RACK;

	if (p->speeds_used)
		return fastest_find_rack(p, want, available);
	for (uint32_t r = 0; r < p->racks_len; r++) {
		uint64_t fits = 0, warm = 0, cold;
		int64_t left = 0;

		for (uint32_t k = p->rack_start[r]; k < p->rack_start[r + 1];
		     k++) {
			uint32_t i = p->rack_members[k];

			uint32_t n = pack_capacity(p, i, &available[i]);

			fits += n;
			if (!upstream_is_cold(p->upstreams[i], p->now_ms))
				warm += n;
			left += MAX(available[i].accelerators, 0);
		}
		cold = want - MIN(want, warm);
		if (fits < want || cold > best_cold ||
		    (cold == best_cold && left >= best_free))
			continue;
		best = (int)r;
		best_free = left;
		best_cold = cold;
	}
	return best;
}

/* Report whether any rack could hold the demand if it were empty. */
static bool rack_could_hold(const struct pack *p)
{
	for (uint32_t r = 0; r < p->racks_len; r++) {
		uint64_t fits = 0;

		for (uint32_t k = p->rack_start[r]; k < p->rack_start[r + 1];
		     k++) {
			const struct upstream *u =
				p->upstreams[p->rack_members[k]];

			if (u->state == UPSTREAM_READY)
				fits += pack_capacity(p, p->rack_members[k],
						      &u->resources);
		}
		if (fits >= p->demand.stage->step->count)
			return true;
	}
	return false;
}

/* Report whether st, the current demand, must run on one rack. */
bool pack_requires_one_rack(const struct pack *p, struct stage *st)
{
	uint64_t layout_hash;

	if (!st->step->gang || !st->step->rack_sensitive || st->rack_relaxed)
		return false;
	layout_hash = hash_mix(
		p->layout_hash,
		st->failures); /* st avoids upstreams where it failed */
	if (st->rack_layout != layout_hash) {
		st->rack_layout = layout_hash;
		st->rack_can_hold = rack_could_hold(p);
	}
	return st->rack_can_hold;
}

/*
 * Sum the use and the resources of a service's upstreams that are ready. What
 * is on a silent one may have ended with it, and leaves the others free.
 */
static void sum_service(const struct pack *p, GQuark service,
			struct resources *used, struct resources *all)
{
	*used = *all = (struct resources){0};
	for (uint32_t i = 0; i < p->n; i++) {
		const struct upstream *u = p->upstreams[i];

		if (u->state != UPSTREAM_READY || u->silent ||
		    u->service_quark != service)
			continue;
		resources_add(used, &u->used, 1);
		resources_add(all, &u->resources, 1);
	}
}

/*
 * Report whether at most half of the service's processors and of its
 * accelerators was in use when this was first asked in the pass. Memory does
 * not count: a few tasks may take it all and leave the rest idle.
 */
bool pack_service_is_mostly_free(struct pack *p, GQuark service)
{
	struct resources used, all;

	if (p->measured_service == service)
		return p->mostly_free;
	sum_service(p, service, &used, &all);
	p->measured_service = service;
	p->mostly_free = 2 * used.cpu_milli <= all.cpu_milli &&
			 2 * used.accelerators <= all.accelerators;
	return p->mostly_free;
}

/*
 * Choose upstreams for all `want` tasks, on one rack if required. Returns false
 * if not all fit, and remembers the demand.
 */
static bool choose_anywhere(struct pack *p, struct stage *st, uint32_t want,
			    enum pack_availability availability, uint32_t rank)
{
	const struct resources *available = resources_for(p, availability);
	bool one_rack;
	int rack = PACK_ANY_RACK;
	uint32_t placed = 0;

	pack_set_demand(p, st);
	one_rack = pack_requires_one_rack(p, st);
	if (is_known_unmet(p, availability, rank, want, one_rack))
		return false;
	if (one_rack) {
		rack = find_tightest_rack(p, want, available);
		if (rack == PACK_ANY_RACK)
			goto out;
	}
	placed = choose_in_rack(p, want, availability, rack);
out:
	if (placed < want)
		record_unmet(p, availability, rank, want, one_rack);
	return placed == want;
}

/* Return the index of the rack with this name, or PACK_ANY_RACK. */
static int find_rack(const struct pack *p, GQuark name)
{
	for (uint32_t r = 0; r < p->racks_len; r++)
		if (p->racks[r] == name)
			return (int)r;
	return PACK_ANY_RACK;
}

/* Choose upstreams on the data rack of st; false if not all tasks fit. */
static bool choose_near_data(struct pack *p, struct stage *st, uint32_t want,
			     enum pack_availability availability)
{
	int rack;

	if (!*st->step->data_rack)
		return false;
	pack_set_demand(p, st);
	rack = find_rack(p, label_quark(st->step->data_rack));
	return rack != PACK_ANY_RACK &&
	       choose_in_rack(p, want, availability, rack) == want;
}

/* Report whether the choice includes cold upstreams. */
static bool choice_is_cold(const struct pack *p)
{
	for (uint32_t k = 0; k < p->chosen_len; k++)
		if (upstream_is_cold(p->upstreams[p->chosen[k].index],
				     p->now_ms))
			return true;
	return false;
}

/*
 * Choose upstreams for all `want` tasks of st, if possible on its data rack,
 * but no cold ones there if others take all tasks; false if not all fit.
 */
static bool choose_near_or_far(struct pack *p, struct stage *st, uint32_t want,
			       enum pack_availability availability,
			       uint32_t rank)
{
	bool near = choose_near_data(p, st, want, availability);

	if (near && !choice_is_cold(p))
		return true;
	if (choose_anywhere(p, st, want, availability, rank) &&
	    !(near && choice_is_cold(p)))
		return true;
	if (near)
		return choose_near_data(p, st, want, availability);
	return false;
}

/*
 * Choose upstreams for all `want` tasks of st, if possible on its data rack.
 * Sets p->chosen; false if not all fit.
 */
bool pack_choose_all(struct pack *p, struct stage *st, uint32_t want,
		     enum pack_availability availability)
{
	return choose_near_or_far(p, st, want, availability, 0);
}

/* Report whether the run of t ends by itself and ranks lower than `rank`. */
static bool is_reservable(const struct task *t, uint32_t rank)
{
	return t->stage->job->rank > rank && !t->stage->step->long_running;
}

/*
 * Return, by upstream index, the resources used by work of lower priority than
 * a rank, without runs that are being stopped or last. They are summed once per
 * pass.
 */
static const struct resources *sum_lower_ranks(struct pack *p, uint32_t rank)
{
	struct resources *use = p->lower_rank_use[rank];

	if (use)
		return use;
	use = p->lower_rank_use[rank] = g_new0(struct resources, p->n + 1);
	for (uint32_t i = 0; i < p->n; i++) {
		const struct upstream *u = p->upstreams[i];

		for (guint k = 0; p->usable[i] && k < u->tasks->len; k++) {
			const struct task *t = g_ptr_array_index(u->tasks, k);
			struct resources r = task_resources(t);

			if (t->state != TASK_STOPPING && is_reservable(t, rank))
				resources_add(&use[i], &r, 1);
		}
	}
	return use;
}

/*
 * Choose upstreams for `want` tasks of st that would fit without the work of
 * lower priority than a rank; false if not all fit.
 */
bool pack_choose_reservation(struct pack *p, struct stage *st, uint32_t want,
			     uint32_t rank)
{
	const struct resources *lower_rank_use;

	rank = MIN(rank, PACK_RANKS - 1);
	pack_set_demand(p, st);
	if (is_known_unmet(p, PACK_RESERVABLE, rank, want,
			   pack_requires_one_rack(p, st)))
		return false;
	lower_rank_use = sum_lower_ranks(p, rank);
	for (uint32_t i = 0; i < p->n; i++) {
		p->reservable[i] = p->free_after_stops[i];
		resources_add(&p->reservable[i], &lower_rank_use[i], 1);
	}
	return choose_near_or_far(p, st, want, PACK_RESERVABLE, rank);
}

/* Deduct the chosen tasks from the free resources for the rest of the pass. */
void pack_deduct_chosen(struct pack *p)
{
	for (uint32_t k = 0; k < p->chosen_len; k++) {
		const struct pack_slot *s = &p->chosen[k];

		for (uint32_t c = 0; c < s->count; c++) {
			resources_add(&p->free_now[s->index], &p->demand.need,
				      -1);
			resources_add(&p->free_after_stops[s->index],
				      &p->demand.need, -1);
		}
	}
}

/* Place nothing more on the chosen upstreams in this pass. */
void pack_close_chosen(struct pack *p)
{
	for (uint32_t k = 0; k < p->chosen_len; k++) {
		uint32_t i = p->chosen[k].index;

		p->usable[i] = false;
		p->free_now[i] = p->free_after_stops[i] = no_room;
		p->suspect_upstreams++;
	}
}

/*
 * Record that t is stopped in this pass: its resources are reserved for other
 * work and no longer count as used by a lower rank.
 */
void pack_record_stop(struct pack *p, const struct task *t)
{
	struct resources r = task_resources(t);

	if (t->at->pass_index >= p->n ||
	    p->upstreams[t->at->pass_index] != t->at)
		return;
	for (uint32_t rank = 0; rank < PACK_RANKS; rank++)
		if (p->lower_rank_use[rank] && is_reservable(t, rank))
			resources_add(
				&p->lower_rank_use[rank][t->at->pass_index], &r,
				-1);
}

/* Set whether an upstream is usable and which resources it has free. */
static void measure_upstream(struct pack *p, uint32_t i)
{
	const struct upstream *u = p->upstreams[i];
	bool has_suspect = upstream_has_suspect(u);

	p->suspect_upstreams += has_suspect;
	p->usable[i] = upstream_is_usable(u, p->now_ms) && !has_suspect &&
		       (p->slow_allowed || u->slow_until_ms <= p->now_ms) &&
		       (p->failing_allowed || u->failing_until_ms <= p->now_ms);
	p->free_now[i] = p->free_after_stops[i] = no_room;
	if (!p->usable[i])
		return;
	p->free_now[i] = u->resources;
	resources_add(&p->free_now[i], &u->used, -1);
	p->free_after_stops[i] = p->free_now[i];
	for (guint k = 0; k < u->tasks->len; k++) {
		const struct task *t = g_ptr_array_index(u->tasks, k);
		struct resources r = task_resources(t);

		if (t->state == TASK_STOPPING)
			resources_add(&p->free_after_stops[i], &r, 1);
	}
}

/* Add u to the upstreams of the pass and to the layout hash. */
static void add_upstream(struct pack *p, struct upstream *u)
{
	u->pass_index = p->n++;
	g_ptr_array_add(p->upstream_list, u);
	p->upstreams = (struct upstream **)p->upstream_list->pdata;
	p->layout_hash = hash_mix(p->layout_hash, u->rack_quark);
	p->layout_hash = hash_mix(p->layout_hash, u->service_quark);
	p->layout_hash = hash_mix(p->layout_hash, u->kind_quark);
	p->layout_hash = hash_mix(p->layout_hash, u->state);
	p->layout_hash = hash_mix(p->layout_hash, u->resources.cpu_milli);
	p->layout_hash = hash_mix(p->layout_hash, u->resources.memory_mb);
	p->layout_hash = hash_mix(p->layout_hash, u->resources.accelerators);
	measure_upstream(p, u->pass_index);
	p->speeds_used |= u->slowdown > 0;
	if (u->slowdown > 0)
		p->log_slowdown[u->pass_index] = log(u->slowdown);
}

/* Number the racks and group the upstreams by rack. */
static void index_racks(struct pack *p)
{
	GHashTable *rack_indexes = g_hash_table_new(NULL, NULL);

	for (uint32_t i = 0; i < p->n; i++) {
		gpointer name = GUINT_TO_POINTER(p->upstreams[i]->rack_quark);
		gpointer rack_index;

		if (!g_hash_table_lookup_extended(rack_indexes, name, NULL,
						  &rack_index)) {
			rack_index = GUINT_TO_POINTER(p->racks_len);
			g_hash_table_insert(rack_indexes, name, rack_index);
			p->racks[p->racks_len++] = p->upstreams[i]->rack_quark;
		}
		p->rack[i] = GPOINTER_TO_UINT(rack_index);
		p->rack_start[p->rack[i] + 1]++;
	}
	for (uint32_t r = 0; r < p->racks_len; r++)
		p->rack_start[r + 1] += p->rack_start[r];
	for (uint32_t i = 0; i < p->n; i++)
		p->rack_members[p->rack_start[p->rack[i]]++] = i;
	/* each offset has advanced to the start of the next rack */
	for (uint32_t r = p->racks_len; r > 0; r--)
		p->rack_start[r] = p->rack_start[r - 1];
	p->rack_start[0] = 0;
	g_hash_table_destroy(rack_indexes);
}

/* Set whether too many upstreams are slow, or fail, to leave them unused. */
static void count_poor_upstreams(struct pack *p)
{
	uint32_t all = 0, slow = 0, failing = 0;

	for (guint i = 0; i < p->fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(p->fleet->list, i);

		if (u->state != UPSTREAM_READY || u->evacuated)
			continue;
		all++;
		slow += u->slow_until_ms > p->now_ms;
		failing += u->failing_until_ms > p->now_ms;
	}
	p->slow_allowed = slow * SLOW_SHARE_DIVISOR > all;
	p->failing_allowed = failing * FAILING_SHARE_DIVISOR > all;
}

/*
 * Begin a pass over f: compute the free resources. End it with pack_end. The
 * upstreams of evacuated domains are no part of it, so that they count neither
 * as free nor as able to hold a task, and nothing is preempted on them.
 */
void pack_begin(struct pack *p, struct fleet *f, uint64_t now_ms)
{
	uint32_t len = f->list->len;

	memset(p, 0, sizeof(*p));
	p->fleet = f;
	p->now_ms = now_ms;
	p->layout_hash = 1;
	p->upstream_list = g_ptr_array_sized_new(len + 1);
	p->usable = g_new0(bool, len + 1);
	p->free_now = g_new0(struct resources, len + 1);
	p->free_after_stops = g_new0(struct resources, len + 1);
	p->reservable = g_new0(struct resources, len + 1);
	p->log_slowdown = g_new0(double, len + 1);
	p->excluded_for = g_new0(uint64_t, len + 1);
	p->racks = g_new0(GQuark, len + 1);
	p->rack = g_new0(uint32_t, len + 1);
	p->rack_start = g_new0(uint32_t, len + 2);
	p->rack_members = g_new0(uint32_t, len + 1);
	p->slots = g_new(struct pack_slot, 2 * len + 1);
	p->chosen = g_new(struct pack_slot, len + 1);
	p->unmet = g_array_new(FALSE, FALSE, sizeof(struct unmet_demand));
	count_poor_upstreams(p);
	for (uint32_t i = 0; i < len; i++) {
		struct upstream *u = g_ptr_array_index(f->list, i);

		u->pass_index = UINT32_MAX;
		if (u->state != UPSTREAM_GONE && !u->evacuated)
			add_upstream(p, u);
	}
	index_racks(p);
}

/*
 * Measure the tasks of the jobs that have not ended, by the time of upstreams
 * that they take, to place work so that they still fit.
 */
void pack_measure_work(struct pack *p, const GPtrArray *jobs,
		       const struct resources *mean_upstream)
{
	for (guint i = 0; i < jobs->len; i++) {
		const struct job *j = g_ptr_array_index(jobs, i);

		for (uint32_t k = 0; !job_is_final(j) && k < j->steps_len;
		     k++) {
			const struct step *s = &j->steps[k];
			uint32_t fit =
				resources_fit_count(mean_upstream, &s->need);

			shape_mix_add(&p->usual, &s->need,
				      (double)s->count * s->estimate_ms /
					      MAX(fit, 1));
		}
	}
	shape_mix_finish(&p->usual, mean_upstream);
}

/* Free what the pass has used. */
void pack_end(struct pack *p)
{
	g_ptr_array_free(p->upstream_list, TRUE);
	g_free(p->usable);
	g_free(p->free_now);
	g_free(p->free_after_stops);
	g_free(p->reservable);
	g_free(p->log_slowdown);
	g_free(p->excluded_for);
	g_free(p->racks);
	g_free(p->rack);
	g_free(p->rack_start);
	g_free(p->rack_members);
	g_free(p->slots);
	g_free(p->chosen);
	g_array_unref(p->unmet);
	for (uint32_t rank = 0; rank < PACK_RANKS; rank++)
		g_free(p->lower_rank_use[rank]);
}
