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
		return WAIT_NO_UPSTREAM;
	if (r.free < want)
		return WAIT_NONE;
	if (r.usable < want)
		return WAIT_AVOIDED;
	if (r.unclaimed < want)
		return WAIT_RESERVED;
	return WAIT_NONE;
}
