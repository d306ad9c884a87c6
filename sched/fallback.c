/*
 * What keeps work off an upstream that answers, a backoff after failed runs,
 * a slow pace, an earlier failure of the stage or a reservation, is worth a
 * short wait but no idle service. A stage that has waited for longer takes any
 * such upstream.
 */
#include "sched/fallback.h"
#include "sched/suspect.h"
#include "sched/wait.h"

/* Report whether a run on u that has just begun may end its incarnation. */
static bool hosts_unproven_suspect(const struct upstream *u, uint64_t now_ms)
{
	for (guint i = 0; i < u->tasks->len; i++) {
		const struct task *t = g_ptr_array_index(u->tasks, i);

		if (task_is_suspect(t) && run_is_unproven(t, now_ms))
			return true;
	}
	return false;
}

/* Report whether tasks of st have failed on u. */
static bool has_failed_on(const struct stage *st, const struct upstream *u)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		if (st->tasks[i].last_failed_on == u)
			return true;
	return false;
}

/* Report whether u is one that st would take without the fallback, and warm. */
static bool is_preferred(const struct pack *p, const struct stage *st,
			 uint32_t index)
{
	return p->usable[index] && !has_failed_on(st, p->upstreams[index]) &&
	       !upstream_is_cold(p->upstreams[index], p->now_ms);
}

/*
 * Return how many tasks of st, the demand, an upstream takes, reserved or not.
 * A stage leaves suspects alone for as long as one waits to be isolated, and for
 * good if it has suspects of several ends itself.
 */
static uint32_t open_capacity(const struct pack *p, const struct stage *st,
			      uint32_t index)
{
	const struct upstream *u = p->upstreams[index];
	struct resources have = u->resources;

	if (!upstream_is_usable(u, p->now_ms) ||
	    (hosts_unproven_suspect(u, p->now_ms) &&
	     (p->demand.one_each ||
	      p->now_ms < wait_since_ms(st) + SUSPECT_WAIT_MAX_MS)))
		return 0;
	resources_add(&have, &u->used, -1);
	return pack_capacity(p, index, &have);
}

/*
 * Choose upstreams for `want` tasks of st among all that answer and are not
 * full, on any racks, first among those that it would take anyway. Sets
 * p->chosen; false if not all fit.
 */
bool fallback_choose(struct pack *p, struct stage *st, uint32_t want)
{
	uint32_t placed = 0;

	pack_set_demand(p, st);
	pack_lift_exclusion(p);
	p->chosen_len = 0;
	for (int preferred = 1; preferred >= 0; preferred--) {
		for (uint32_t i = 0; i < p->n && placed < want; i++) {
			struct pack_slot s = {.index = i};

			if (is_preferred(p, st, i) != preferred)
				continue;
			s.count = MIN(open_capacity(p, st, i), want - placed);
			if (s.count)
				p->chosen[p->chosen_len++] = s;
			placed += s.count;
		}
	}
	return placed == want;
}
