/* Free room, and the tightest places for tasks in it. */
#include <stdlib.h>
#include <string.h>

#include "sched/pack.h"

/* Demands that did not fit are remembered up to this number. */
#define MISSES_MOST 64
/* When more than one upstream in so many is slow, none is left out. */
#define SLOW_SHARE 3
/* Free accelerators from the last one on are not told apart when places
 * are put in order. */
#define LEFT_MOST 128

/*
 * A demand that did not fit in this pass.  Room only shrinks during a
 * pass, so nothing that asks for as much will fit either.
 */
struct miss {
	enum pack_room which;
	uint32_t rank; /* with PACK_HELD */
	struct demand demand;
	uint32_t want;
	bool one_rack;
};

static uint64_t mix(uint64_t h, uint64_t v)
{
	return (h ^ v) * UINT64_C(0x100000001b3);
}

/* Say what the next choices are for. */
void pack_demand(struct pack *p, const struct stage *st)
{
	struct demand *d = &p->demand;

	if (d->stage == st)
		return;
	p->demand_number++;
	*d = (struct demand){.stage = st,
			     .need = task_room(&st->tasks[0]),
			     .service = st->job->service_name,
			     .label = *st->step->label ? st->step->label_name
						       : 0};
	if (st->job->state == JOB_QUEUED)
		return;
	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct upstream *u = st->tasks[i].failed_at;

		if (!u)
			continue;
		d->barred = true;
		if (u->place < p->n && p->upstreams[u->place] == u)
			p->barred_by[u->place] = p->demand_number;
	}
}

/* Report whether b asks for at least what a asks for, of no more places: if
 * a cannot be met, b cannot either. */
bool demand_implies(const struct demand *a, const struct demand *b)
{
	return a->service == b->service &&
	       (!a->label || a->label == b->label) &&
	       room_holds(&b->need, &a->need);
}

/* Report whether a miss of d says something of others: a stage that may not
 * use every place says nothing. */
bool demand_tells(const struct demand *d)
{
	return !d->barred && !d->stage->step->spread;
}

static bool known_miss(const struct pack *p, enum pack_room which,
		       uint32_t rank, uint32_t want, bool one_rack)
{
	for (guint i = 0; i < p->misses->len; i++) {
		const struct miss *m =
			&g_array_index(p->misses, struct miss, i);

		if (m->which == which && m->rank <= rank && m->want <= want &&
		    (!m->one_rack || one_rack) &&
		    demand_implies(&m->demand, &p->demand))
			return true;
	}
	return false;
}

static void note_miss(struct pack *p, enum pack_room which, uint32_t rank,
		      uint32_t want, bool one_rack)
{
	struct miss m = {which, rank, p->demand, want, one_rack};

	if (demand_tells(&p->demand) && p->misses->len < MISSES_MOST)
		g_array_append_val(p->misses, m);
}

static uint32_t siblings(const struct upstream *u, const struct stage *st)
{
	uint32_t n = 0;

	for (guint k = 0; k < u->tasks->len; k++)
		n += ((struct task *)g_ptr_array_index(u->tasks, k))->stage ==
		     st;
	return n;
}

/* Report whether tasks of the demand may run on this place at all. */
bool pack_suits(const struct pack *p, uint32_t place)
{
	const struct upstream *u = p->upstreams[place];

	return u->service_name == p->demand.service &&
	       p->barred_by[place] != p->demand_number &&
	       upstream_has_label(u, p->demand.label);
}

/* Return how many tasks of the demand `have`, room of a place, can take. */
uint32_t pack_capacity(const struct pack *p, uint32_t place,
		       const struct room *have)
{
	const struct stage *st = p->demand.stage;
	uint32_t n, there;

	if (!room_holds(have, &p->demand.need) || !pack_suits(p, place))
		return 0;
	n = room_count(have, &p->demand.need);
	if (!st->step->spread)
		return n;
	there = siblings(p->upstreams[place], st);
	return there >= st->step->spread ? 0 : MIN(n, st->step->spread - there);
}

static const struct room *rooms_of(const struct pack *p, enum pack_room which)
{
	switch (which) {
	case PACK_NOW:
		return p->now;
	case PACK_SOON:
		return p->soon;
	case PACK_HELD:
		return p->held;
	}
	return NULL;
}

/* List the places with room for the demand; returns their number. */
static uint32_t list_slots(struct pack *p, uint32_t want, enum pack_room which,
			   int rack)
{
	const struct room *rooms = rooms_of(p, which);
	uint32_t n = 0, from = 0, to = p->n;

	if (rack != ANY_RACK) {
		from = p->rack_first[rack];
		to = p->rack_first[rack + 1];
	}
	for (uint32_t k = from; k < to; k++) {
		uint32_t i = rack == ANY_RACK ? k : p->rack_places[k];
		struct pack_slot s = {.place = i};

		s.count = pack_capacity(p, i, &rooms[i]);
		if (!s.count)
			continue;
		s.left = rooms[i].accelerators -
			 MIN(s.count, want) * p->demand.need.accelerators;
		s.left = CLAMP(s.left, 0, LEFT_MOST - 1);
		p->slots[n++] = s;
	}
	return n;
}

/* Choose among n slots, the tightest first; returns how many it placed. */
static uint32_t choose_slots(struct pack *p, uint32_t n, uint32_t want)
{
	uint32_t first[LEFT_MOST + 1] = {0}, placed = 0;
	struct pack_slot *sorted = p->slots + p->n;

	for (uint32_t k = 0; k < n; k++)
		first[p->slots[k].left + 1]++;
	for (uint32_t c = 0; c < LEFT_MOST; c++)
		first[c + 1] += first[c];
	for (uint32_t k = 0; k < n; k++)
		sorted[first[p->slots[k].left]++] = p->slots[k];
	for (uint32_t k = 0; k < n && placed < want; k++) {
		struct pack_slot s = sorted[k];

		s.count = MIN(s.count, want - placed);
		p->chosen[p->chosen_len++] = s;
		placed += s.count;
	}
	return placed;
}

static uint32_t choose_within(struct pack *p, uint32_t want,
			      enum pack_room which, int rack)
{
	p->chosen_len = 0;
	return choose_slots(p, list_slots(p, want, which, rack), want);
}

/*
 * Choose free places for up to `want` tasks of st, the tightest first.
 * Sets p->chosen and returns how many were placed.
 */
uint32_t pack_choose_some(struct pack *p, struct stage *st, uint32_t want)
{
	uint32_t n;

	pack_demand(p, st);
	if (known_miss(p, PACK_NOW, 0, 1, false))
		return 0;
	n = choose_within(p, want, PACK_NOW, ANY_RACK);
	if (!n)
		note_miss(p, PACK_NOW, 0, 1, false);
	return n;
}

/*
 * Return the rack with the least free accelerators that takes all `want`
 * tasks of the demand, or ANY_RACK when there is none.
 */
static int best_rack(const struct pack *p, uint32_t want,
		     const struct room *rooms)
{
	int64_t best_free = INT64_MAX;
	int best = ANY_RACK;

	for (uint32_t r = 0; r < p->racks_len; r++) {
		uint64_t fits = 0;
		int64_t left = 0;

		for (uint32_t k = p->rack_first[r]; k < p->rack_first[r + 1];
		     k++) {
			uint32_t i = p->rack_places[k];

			fits += pack_capacity(p, i, &rooms[i]);
			left += MAX(rooms[i].accelerators, 0);
		}
		if (fits < want || left >= best_free)
			continue;
		best = (int)r;
		best_free = left;
	}
	return best;
}

/* Report whether any rack could hold the demand if it were empty. */
static bool rack_could_hold(const struct pack *p)
{
	for (uint32_t r = 0; r < p->racks_len; r++) {
		uint64_t fits = 0;

		for (uint32_t k = p->rack_first[r]; k < p->rack_first[r + 1];
		     k++) {
			const struct upstream *u =
				p->upstreams[p->rack_places[k]];

			if (u->state == UPSTREAM_READY)
				fits += pack_capacity(p, p->rack_places[k],
						      &u->room);
		}
		if (fits >= p->demand.stage->step->count)
			return true;
	}
	return false;
}

/* Report whether st, the demand, is to run on one rack. */
bool pack_needs_rack(const struct pack *p, struct stage *st)
{
	uint64_t shape;

	if (!st->step->gang || !st->step->one_rack || st->any_rack)
		return false;
	shape = mix(p->shape, st->failures); /* it avoids where it failed */
	if (st->rack_shape != shape) {
		st->rack_shape = shape;
		st->rack_holds = rack_could_hold(p);
	}
	return st->rack_holds;
}

static bool choose_all(struct pack *p, struct stage *st, uint32_t want,
		       enum pack_room which, uint32_t rank)
{
	const struct room *rooms = rooms_of(p, which);
	bool one_rack;
	int rack = ANY_RACK;
	uint32_t placed = 0;

	pack_demand(p, st);
	one_rack = pack_needs_rack(p, st);
	if (known_miss(p, which, rank, want, one_rack))
		return false;
	if (one_rack) {
		rack = best_rack(p, want, rooms);
		if (rack == ANY_RACK)
			goto out;
	}
	placed = choose_within(p, want, which, rack);
out:
	if (placed < want)
		note_miss(p, which, rank, want, one_rack);
	return placed == want;
}

/* Return the number of the rack with this name; ANY_RACK: none has it. */
static int find_rack(const struct pack *p, GQuark name)
{
	for (uint32_t r = 0; r < p->racks_len; r++)
		if (p->racks[r] == name)
			return (int)r;
	return ANY_RACK;
}

/* Choose places near the data of st; false: there is no room for all. */
static bool choose_near_data(struct pack *p, struct stage *st, uint32_t want,
			     enum pack_room which)
{
	int rack;

	if (!*st->step->data_rack)
		return false;
	pack_demand(p, st);
	rack = find_rack(p, st->step->data_rack_name);
	return rack != ANY_RACK && choose_within(p, want, which, rack) == want;
}

/* Choose places for all `want` tasks; false when the room is too small. */
bool pack_choose_all(struct pack *p, struct stage *st, uint32_t want,
		     enum pack_room which)
{
	return choose_near_data(p, st, want, which) ||
	       choose_all(p, st, want, which, 0);
}

/* Measure what the work above a rank occupies. */
static const struct room *lower_work(struct pack *p, uint32_t rank)
{
	struct room *sums = p->lower[rank];

	if (sums)
		return sums;
	sums = p->lower[rank] = g_new0(struct room, p->n + 1);
	for (uint32_t i = 0; i < p->n; i++) {
		const struct upstream *u = p->upstreams[i];

		for (guint k = 0; p->usable[i] && k < u->tasks->len; k++) {
			const struct task *t = g_ptr_array_index(u->tasks, k);
			struct room r = task_room(t);

			if (t->state != TASK_STOPPING &&
			    t->stage->job->rank > rank)
				room_add(&sums[i], &r, 1);
		}
	}
	return sums;
}

/*
 * Choose places for `want` tasks of st where there would be room without
 * the work above a rank; false when there are too few.
 */
bool pack_hold(struct pack *p, struct stage *st, uint32_t want, uint32_t rank)
{
	const struct room *lower;

	rank = MIN(rank, PACK_RANKS - 1);
	pack_demand(p, st);
	if (known_miss(p, PACK_HELD, rank, want, pack_needs_rack(p, st)))
		return false;
	lower = lower_work(p, rank);
	for (uint32_t i = 0; i < p->n; i++) {
		p->held[i] = p->soon[i];
		room_add(&p->held[i], &lower[i], 1);
	}
	return choose_near_data(p, st, want, PACK_HELD) ||
	       choose_all(p, st, want, PACK_HELD, rank);
}

/* Keep the chosen places free of other demands for the rest of the pass. */
void pack_deduct(struct pack *p)
{
	for (uint32_t k = 0; k < p->chosen_len; k++) {
		const struct pack_slot *s = &p->chosen[k];

		for (uint32_t c = 0; c < s->count; c++) {
			room_add(&p->now[s->place], &p->demand.need, -1);
			room_add(&p->soon[s->place], &p->demand.need, -1);
		}
	}
}

/* Note that t is stopped in this pass, for room that is kept already. */
void pack_note_stop(struct pack *p, const struct task *t)
{
	struct room r = task_room(t);

	if (t->at->place >= p->n || p->upstreams[t->at->place] != t->at)
		return;
	for (uint32_t rank = 0; rank < MIN(t->stage->job->rank, PACK_RANKS);
	     rank++)
		if (p->lower[rank])
			room_add(&p->lower[rank][t->at->place], &r, -1);
}

static void measure(struct pack *p, uint32_t i)
{
	const struct upstream *u = p->upstreams[i];

	p->usable[i] = upstream_usable(u, p->now_ms) &&
		       (p->slow_too || u->slow_until_ms <= p->now_ms);
	if (!p->usable[i])
		return;
	p->now[i] = u->room;
	room_add(&p->now[i], &u->used, -1);
	p->soon[i] = p->now[i];
	for (guint k = 0; k < u->tasks->len; k++) {
		const struct task *t = g_ptr_array_index(u->tasks, k);
		struct room r = task_room(t);

		if (t->state == TASK_STOPPING)
			room_add(&p->soon[i], &r, 1);
	}
}

static void add_place(struct pack *p, struct upstream *u)
{
	u->place = p->n++;
	g_ptr_array_add(p->listed, u);
	p->upstreams = (struct upstream **)p->listed->pdata;
	p->shape = mix(p->shape, u->rack_name);
	p->shape = mix(p->shape, u->service_name);
	p->shape = mix(p->shape, u->kind_name);
	p->shape = mix(p->shape, u->state);
	p->shape = mix(p->shape, u->room.cpu_milli);
	p->shape = mix(p->shape, u->room.memory_mb);
	p->shape = mix(p->shape, u->room.accelerators);
	measure(p, u->place);
}

static void number_racks(struct pack *p)
{
	GHashTable *numbers = g_hash_table_new(NULL, NULL);

	for (uint32_t i = 0; i < p->n; i++) {
		gpointer name = GUINT_TO_POINTER(p->upstreams[i]->rack_name);
		gpointer number;

		if (!g_hash_table_lookup_extended(numbers, name, NULL,
						  &number)) {
			number = GUINT_TO_POINTER(p->racks_len);
			g_hash_table_insert(numbers, name, number);
			p->racks[p->racks_len++] = p->upstreams[i]->rack_name;
		}
		p->rack[i] = GPOINTER_TO_UINT(number);
		p->rack_first[p->rack[i] + 1]++;
	}
	for (uint32_t r = 0; r < p->racks_len; r++)
		p->rack_first[r + 1] += p->rack_first[r];
	for (uint32_t i = 0; i < p->n; i++)
		p->rack_places[p->rack_first[p->rack[i]]++] = i;
	/* each has moved on to where the next one begins */
	for (uint32_t r = p->racks_len; r > 0; r--)
		p->rack_first[r] = p->rack_first[r - 1];
	p->rack_first[0] = 0;
	g_hash_table_destroy(numbers);
}

/* Report whether too many upstreams are slow to do without them. */
static bool many_slow(const struct fleet *f, uint64_t now_ms)
{
	uint32_t all = 0, slow = 0;

	for (guint i = 0; i < f->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(f->list, i);

		all += u->state == UPSTREAM_READY;
		slow += u->state == UPSTREAM_READY && u->slow_until_ms > now_ms;
	}
	return slow * SLOW_SHARE > all;
}

/* Begin a pass over f: measure what is free. */
void pack_open(struct pack *p, struct fleet *f, uint64_t now_ms)
{
	uint32_t most = f->list->len;

	memset(p, 0, sizeof(*p));
	p->fleet = f;
	p->now_ms = now_ms;
	p->shape = 1;
	p->listed = g_ptr_array_sized_new(most + 1);
	p->usable = g_new0(bool, most + 1);
	p->now = g_new0(struct room, most + 1);
	p->soon = g_new0(struct room, most + 1);
	p->held = g_new0(struct room, most + 1);
	p->barred_by = g_new0(uint64_t, most + 1);
	p->racks = g_new0(GQuark, most + 1);
	p->rack = g_new0(uint32_t, most + 1);
	p->rack_first = g_new0(uint32_t, most + 2);
	p->rack_places = g_new0(uint32_t, most + 1);
	p->slots = g_new(struct pack_slot, 2 * most + 1);
	p->chosen = g_new(struct pack_slot, most + 1);
	p->misses = g_array_new(FALSE, FALSE, sizeof(struct miss));
	p->slow_too = many_slow(f, now_ms);
	for (uint32_t i = 0; i < most; i++) {
		struct upstream *u = g_ptr_array_index(f->list, i);

		u->place = UINT32_MAX;
		if (u->state != UPSTREAM_GONE)
			add_place(p, u);
	}
	number_racks(p);
}

/* Free what the pass has used. */
void pack_close(struct pack *p)
{
	g_ptr_array_free(p->listed, TRUE);
	g_free(p->usable);
	g_free(p->now);
	g_free(p->soon);
	g_free(p->held);
	g_free(p->barred_by);
	g_free(p->racks);
	g_free(p->rack);
	g_free(p->rack_first);
	g_free(p->rack_places);
	g_free(p->slots);
	g_free(p->chosen);
	g_array_unref(p->misses);
	for (uint32_t rank = 0; rank < PACK_RANKS; rank++)
		g_free(p->lower[rank]);
}
