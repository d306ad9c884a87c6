/*
 * A stage that waits although its service is mostly free is held up by
 * something other than the work that runs: this says by what.
 */
#include "sched/wait.h"

/*
 * Return since when st waits: when it became ready, or when the last run of its
 * gang, or of the task that waits longest, ended.
 */
uint64_t wait_since_ms(const struct stage *st)
{
	uint64_t newest_ms = 0, oldest_ms = UINT64_MAX;

	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct task *t = &st->tasks[i];

		newest_ms = MAX(newest_ms, t->ended_ms);
		if (t->state == TASK_WAITING)
			oldest_ms = MIN(oldest_ms, t->ended_ms);
	}
	return MAX(st->since_ms, st->step->gang ? newest_ms : oldest_ms);
}

/* How many tasks of a stage fit on the upstreams that are ready. */
struct room {
	uint64_t if_empty;
	uint64_t free;	    /* now, on any of them */
	uint64_t usable;    /* now, on those that get new work */
	uint64_t unclaimed; /* the same, without what others reserve */
};

/* Count the room for the current demand. */
static struct room measure_room(const struct pack *p)
{
	struct room r = {0};

	for (uint32_t i = 0; i < p->n; i++) {
		const struct upstream *u = p->upstreams[i];
		struct resources have = u->resources;
		uint32_t fits;

		if (u->state != UPSTREAM_READY)
			continue;
		r.if_empty += pack_capacity(p, i, &have);
		resources_add(&have, &u->used, -1);
		fits = pack_capacity(p, i, &have);
		r.free += fits;
		if (!p->usable[i])
			continue;
		r.usable += fits;
		r.unclaimed += pack_capacity(p, i, &p->free_now[i]);
	}
	return r;
}

/*
 * Count how many tasks of the current demand the upstreams of evacuated domains
 * could hold if they were empty.
 */
static uint64_t measure_evacuated(const struct pack *p)
{
	const struct demand *d = &p->demand;
	uint64_t n = 0;

	for (guint i = 0; i < p->fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(p->fleet->list, i);

		if (u->evacuated && u->state == UPSTREAM_READY &&
		    u->service_quark == d->service &&
		    upstream_has_label(u, d->label) &&
		    resources_contain(&u->resources, &d->need))
			n += resources_fit_count(&u->resources, &d->need);
	}
	return n;
}

/*
 * Return why `want` tasks of st do not start although its service is mostly
 * free; WAIT_NONE if the work that runs leaves no room for them.
 */
enum wait_reason wait_explain(struct pack *p, const struct stage *st,
			      uint32_t want)
{
	struct room r;

	pack_set_demand(p, st);
	r = measure_room(p);
	if (r.if_empty < want)
		return r.if_empty + measure_evacuated(p) < want
			       ? WAIT_NO_UPSTREAM
			       : WAIT_EVACUATED;
	if (r.free < want)
		return WAIT_NONE;
	if (r.usable < want)
		return WAIT_AVOIDED;
	if (r.unclaimed < want)
		return WAIT_RESERVED;
	return WAIT_NONE;
}
