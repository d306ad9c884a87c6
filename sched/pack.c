/* Free room, and the tightest places for tasks in it. */
#include <stdlib.h>
#include <string.h>

#include "sched/pack.h"

/* Return the upstream with this number. */
struct upstream *pack_upstream(const struct pack *p, uint32_t i)
{
	return g_ptr_array_index(p->fleet->list, i);
}

static void measure(struct pack *p)
{
	for (uint32_t i = 0; i < p->n; i++) {
		struct upstream *u = pack_upstream(p, i);

		memset(&p->avail[i], 0, sizeof(p->avail[i]));
		if (upstream_usable(u, p->now_ms)) {
			p->avail[i] = u->room;
			room_add(&p->avail[i], &u->used, -1);
		}
		p->soon[i] = p->avail[i];
		if (!upstream_usable(u, p->now_ms))
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
bool pack_suits(const struct stage *st, const struct upstream *u)
{
	if (strcmp(u->service, st->job->service) ||
	    !upstream_has_label(u, st->step->label))
		return false;
	for (uint32_t i = 0;
	     st->job->state != JOB_QUEUED && i < st->step->count; i++)
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
uint32_t pack_capacity(const struct pack *p, const struct stage *st, uint32_t i,
		       const struct room *have)
{
	const struct upstream *u = pack_upstream(p, i);
	struct room need = task_room(&st->tasks[0]);
	uint32_t n = fit_count(have, &need);
	uint32_t there;

	if (!n || !pack_suits(st, u))
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
uint32_t pack_choose(struct pack *p, const struct stage *st, uint32_t want,
		     const struct room *rooms, const char *rack)
{
	struct slot *slots = g_new(struct slot, p->n + 1);
	uint32_t n = 0, placed = 0;

	memset(p->chosen, 0, p->n * sizeof(*p->chosen));
	for (uint32_t i = 0; i < p->n; i++) {
		const struct upstream *u = pack_upstream(p, i);
		struct slot s = {.upstream = i};

		if (rack && strcmp(u->rack, rack))
			continue;
		s.count = pack_capacity(p, st, i, &rooms[i]);
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

static int64_t rack_free(const struct pack *p, const struct room *rooms,
			 const char *rack)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < p->n; i++)
		if (!strcmp(pack_upstream(p, i)->rack, rack))
			sum += MAX(rooms[i].accelerators, 0);
	return sum;
}

bool pack_first_of_rack(const struct pack *p, uint32_t i)
{
	for (uint32_t k = 0; k < i; k++)
		if (!strcmp(pack_upstream(p, k)->rack,
			    pack_upstream(p, i)->rack))
			return false;
	return true;
}

/*
 * Return the rack with the least free accelerators that takes all `want`
 * tasks of st, or NULL.
 */
static const char *best_rack(struct pack *p, const struct stage *st,
			     uint32_t want, const struct room *rooms)
{
	const char *best = NULL;
	int64_t best_free = INT64_MAX;

	for (uint32_t i = 0; i < p->n; i++) {
		const char *rack = pack_upstream(p, i)->rack;
		int64_t n;

		if (!pack_first_of_rack(p, i))
			continue;
		n = rack_free(p, rooms, rack);
		if (n >= best_free ||
		    pack_choose(p, st, want, rooms, rack) < want)
			continue;
		best = rack;
		best_free = n;
	}
	return best;
}

/* Report whether any rack could hold the stage if it were empty. */
bool pack_rack_could_hold(const struct pack *p, const struct stage *st)
{
	for (uint32_t i = 0; i < p->n; i++) {
		uint32_t n = 0;

		if (!pack_first_of_rack(p, i))
			continue;
		for (uint32_t k = 0; k < p->n; k++) {
			const struct upstream *u = pack_upstream(p, k);

			if (u->state == UPSTREAM_READY &&
			    !strcmp(u->rack, pack_upstream(p, i)->rack))
				n += pack_capacity(p, st, k, &u->room);
		}
		if (n >= st->step->count)
			return true;
	}
	return false;
}

/* Choose places for all `want` tasks; false when `rooms` are too small. */
bool pack_choose_all(struct pack *p, const struct stage *st, uint32_t want,
		     const struct room *rooms)
{
	const char *rack = NULL;

	if (*st->step->data_rack &&
	    pack_choose(p, st, want, rooms, st->step->data_rack) == want)
		return true;
	if (st->step->gang && st->step->one_rack &&
	    pack_rack_could_hold(p, st)) {
		rack = best_rack(p, st, want, rooms);
		if (!rack)
			return false;
	}
	return pack_choose(p, st, want, rooms, rack) == want;
}

/* Take the chosen places, `need` for each task, out of the free room. */
void pack_deduct(const struct pack *p, const struct room *need)
{
	for (uint32_t i = 0; i < p->n; i++) {
		for (uint32_t k = 0; k < p->chosen[i]; k++) {
			room_add(&p->avail[i], need, -1);
			room_add(&p->soon[i], need, -1);
		}
	}
}

/* Begin a pass over f: measure what is free. */
void pack_open(struct pack *p, struct fleet *f, uint64_t now_ms)
{
	p->fleet = f;
	p->now_ms = now_ms;
	p->n = f->list->len;
	p->avail = g_new0(struct room, p->n + 1);
	p->soon = g_new0(struct room, p->n + 1);
	p->chosen = g_new0(uint32_t, p->n + 1);
	measure(p);
}

/* Free what the pass has used. */
void pack_close(struct pack *p)
{
	g_free(p->avail);
	g_free(p->soon);
	g_free(p->chosen);
}
