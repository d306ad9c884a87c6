/*
 * The cheapest way to make room for a stage, task by task: on each
 * upstream the runs that cost least are given up first; runs that end
 * soon anyway cost nothing and are not stopped.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sched/evict.h"

/* Racks that were held before are preferred up to this loss, so that
 * room that was made is not left unused. */
#define HELD_BONUS 0.3
/* A plan looks at so many upstreams, other ones each time; one for a due
 * guarantee looks at all. */
#define PLACES_MOST 1024
/* Stages for which no room could be made are remembered up to this. */
#define MISSES_MOST 64

/* A run, with what the plans ask of it again and again. */
struct victim {
	struct task *task;
	struct stage *stage;
	struct room room;
	double loss; /* of it, or of its whole gang */
	uint64_t left_ms;
	uint64_t draft; /* the last plan that gives it up */
	uint32_t rank;
	bool gang;
	bool lasting;
};

/* What the runs on a place have in common. */
struct place_sum {
	uint32_t highest_rank;
	uint64_t least_left_ms;
	bool lasting; /* some are */
};

/* A price that was put on a place; the place's cost may have changed. */
struct offer {
	double cost;
	uint32_t place;
};

/* No room could be made for this claim. */
struct miss {
	struct demand demand;
	struct claim claim;
	uint32_t want;
	bool one_rack;
};

struct evict {
	struct pack *pack;
	const struct value_view *value;
	uint32_t *first; /* of a place's victims; one more than places */
	struct victim *victims;
	struct place_sum *sums; /* by place */
	GArray *heap;		/* of offers, the cheapest first */
	uint64_t draft;		/* number of the present plan */
	/* by place, of the plan that the number names */
	uint64_t *room_draft;
	struct room *rooms;
	uint32_t *count; /* tasks placed there */
	double *cost;	 /* of one more task there */
	GArray *misses;
};

/* A plan under way: the claim, and where it may look. */
struct draft {
	struct evict *e;
	const struct claim *claim;
	struct stage *stage;
	const uint32_t *places; /* of a rack; NULL: consecutive ones */
	uint32_t places_from;
	uint32_t places_len;
	struct eviction *out;
};

static int by_loss(const void *a, const void *b)
{
	const struct victim *x = a, *y = b;

	return x->loss < y->loss ? -1 : x->loss > y->loss;
}

static struct victim victim_of(const struct evict *e, struct task *t)
{
	const struct step *s = t->stage->step;

	return (struct victim){
		.task = t,
		.stage = t->stage,
		.room = task_room(t),
		.loss = value_whole_loss(e->value, t),
		.left_ms = s->lasting ? UINT64_MAX : value_left_ms(e->value, t),
		.rank = t->stage->job->rank,
		.gang = s->gang,
		.lasting = s->lasting,
	};
}

static void list_victims(struct evict *e, uint32_t place, uint32_t *n)
{
	const struct upstream *u = e->pack->upstreams[place];
	struct place_sum *sum = &e->sums[place];
	uint32_t from = *n;

	sum->least_left_ms = UINT64_MAX;
	for (guint k = 0; e->pack->usable[place] && k < u->tasks->len; k++) {
		struct task *t = g_ptr_array_index(u->tasks, k);
		struct victim v;

		if (t->state != TASK_PLACED && t->state != TASK_RUNNING)
			continue;
		v = victim_of(e, t);
		sum->highest_rank = MAX(sum->highest_rank, v.rank);
		sum->least_left_ms = MIN(sum->least_left_ms, v.left_ms);
		sum->lasting |= v.lasting;
		e->victims[(*n)++] = v;
	}
	qsort(e->victims + from, *n - from, sizeof(*e->victims), by_loss);
}

/* List the runs on the places of p, as they are now. */
struct evict *evict_create(struct pack *p, const struct value_view *v)
{
	struct evict *e = g_new0(struct evict, 1);
	uint32_t n = 0;

	e->pack = p;
	e->value = v;
	for (uint32_t i = 0; i < p->n; i++)
		n += p->upstreams[i]->tasks->len;
	e->first = g_new(uint32_t, p->n + 1);
	e->victims = g_new(struct victim, n + 1);
	e->sums = g_new0(struct place_sum, p->n + 1);
	e->heap = g_array_sized_new(FALSE, FALSE, sizeof(struct offer), p->n);
	e->room_draft = g_new0(uint64_t, p->n + 1);
	e->rooms = g_new0(struct room, p->n + 1);
	e->count = g_new(uint32_t, p->n + 1);
	e->cost = g_new(double, p->n + 1);
	e->misses = g_array_new(FALSE, FALSE, sizeof(struct miss));
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
	g_free(e->room_draft);
	g_free(e->rooms);
	g_free(e->count);
	g_free(e->cost);
	g_array_unref(e->misses);
	g_free(e);
}

/* Free what e holds. */
void eviction_clear(struct eviction *e)
{
	if (e->stop)
		g_ptr_array_free(e->stop, TRUE);
	memset(e, 0, sizeof(*e));
}

/* Begin with the room of a place as it is without this plan. */
static struct room *room_of(struct evict *e, uint32_t place)
{
	if (e->room_draft[place] != e->draft) {
		e->room_draft[place] = e->draft;
		e->rooms[place] = e->pack->soon[place];
		e->count[place] = 0;
	}
	return &e->rooms[place];
}

/* Count the tasks of st that do not serve their users now. */
static uint32_t away(const struct stage *st)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < st->step->count; i++)
		n += st->tasks[i].state != TASK_RUNNING ||
		     st->tasks[i].percent < 100;
	return n;
}

/*
 * Report whether v may be stopped when `more` other tasks of its stage are
 * to be stopped with it: work of a lower rank, and work that lasts only
 * for a guarantee and no more of it at a time than its step allows.
 */
static bool may_stop(const struct draft *d, const struct victim *v,
		     uint32_t more)
{
	const struct stage *st = v->stage;

	if (!v->lasting)
		return v->rank > d->claim->rank;
	if (!d->claim->due)
		return false;
	if (st->draft == d->e->draft)
		more += st->draft_tasks;
	return !st->step->max_unavailable ||
	       away(st) + more < st->step->max_unavailable;
}

static bool awaited(const struct draft *d, const struct victim *v)
{
	return d->claim->await_ms && v->left_ms <= d->claim->await_ms;
}

static bool gang_given_up(const struct draft *d, const struct victim *v)
{
	return v->gang && v->stage->draft == d->e->draft;
}

/* Give v up in this plan. */
static void give_up(struct draft *d, struct victim *v, bool stop)
{
	struct stage *st = v->stage;

	v->draft = d->e->draft;
	if (!stop)
		return;
	if (st->draft != d->e->draft) {
		st->draft = d->e->draft;
		st->draft_tasks = 0;
	}
	st->draft_tasks++;
	g_ptr_array_add(d->out->stop, v->task);
}

/* Count the siblings of v among n victims. */
static uint32_t siblings_among(const struct evict *e, const struct victim *v,
			       const uint32_t *list, uint32_t n)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; v->lasting && i < n; i++)
		sum += e->victims[list[i]].stage == v->stage;
	return sum;
}

/* Report whether any run of a place could be given up for the claim. */
static bool any_victim(const struct draft *d, uint32_t place)
{
	const struct place_sum *s = &d->e->sums[place];

	return s->highest_rank > d->claim->rank ||
	       s->least_left_ms <= d->claim->await_ms ||
	       (s->lasting && d->claim->due);
}

/* More runs than this on one upstream are not considered. */
#define VICTIMS_MOST 256

/* The runs of a place that are given up for one more task there. */
struct clearing {
	uint32_t list[VICTIMS_MOST];
	uint32_t n;
	uint32_t waits; /* the first ones cost nothing */
	struct room have;
	double loss; /* INFINITY: there is no way */
};

static void clear_place(struct draft *d, uint32_t place, struct clearing *c)
{
	struct evict *e = d->e;
	uint32_t spread = d->stage->step->spread;
	bool fits;

	c->n = c->waits = 0;
	c->have = (struct room){0};
	c->loss = INFINITY;
	if (!e->pack->usable[place] || !pack_suits(e->pack, place) ||
	    !room_holds(&e->pack->upstreams[place]->room,
			&e->pack->demand.need))
		return;
	c->have = *room_of(e, place);
	if (spread && e->count[place] >= spread)
		return;
	c->loss = 0;
	fits = pack_capacity(e->pack, place, &c->have);
	if (!fits && !any_victim(d, place)) {
		c->loss = INFINITY;
		return;
	}
	/* what costs nothing first, then by loss */
	for (int paid = 0; paid <= 1 && !fits; paid++) {
		for (uint32_t i = e->first[place];
		     i < e->first[place + 1] && !fits && c->n < VICTIMS_MOST;
		     i++) {
			const struct victim *v = &e->victims[i];
			bool waits = awaited(d, v);
			bool gratis = waits || gang_given_up(d, v);

			if (v->draft == e->draft || gratis == (bool)paid)
				continue;
			if (!waits &&
			    !may_stop(d, v,
				      siblings_among(e, v, c->list, c->n)))
				continue;
			if (v->task->state == TASK_STOPPING)
				continue; /* by an earlier plan */
			if (!gratis)
				c->loss += v->loss;
			c->list[c->n++] = i;
			room_add(&c->have, &v->room, 1);
			fits = room_holds(&c->have, &e->pack->demand.need) &&
			       pack_capacity(e->pack, place, &c->have);
		}
		if (!paid)
			c->waits = c->n;
	}
	if (!fits)
		c->loss = INFINITY;
}

/* Give up what c names, and place one more task there. */
static void apply_clearing(struct draft *d, uint32_t place, struct clearing *c)
{
	struct evict *e = d->e;

	for (uint32_t i = 0; i < c->n; i++) {
		struct victim *v = &e->victims[c->list[i]];

		give_up(d, v, i >= c->waits || !awaited(d, v));
	}
	room_add(&c->have, &e->pack->demand.need, -1);
	e->rooms[place] = c->have;
	e->count[place]++;
	d->out->loss += c->loss;
}

static struct offer *heap_at(const struct evict *e, guint i)
{
	return &g_array_index(e->heap, struct offer, i);
}

static void heap_push(struct evict *e, struct offer o)
{
	guint i = e->heap->len;

	g_array_append_val(e->heap, o);
	for (; i && o.cost < heap_at(e, (i - 1) / 2)->cost; i = (i - 1) / 2)
		*heap_at(e, i) = *heap_at(e, (i - 1) / 2);
	*heap_at(e, i) = o;
}

static void heap_pop(struct evict *e)
{
	guint n = e->heap->len - 1, i = 0;
	struct offer last = *heap_at(e, n);

	for (guint c = 1; c < n; i = c, c = 2 * i + 1) {
		if (c + 1 < n && heap_at(e, c + 1)->cost < heap_at(e, c)->cost)
			c++;
		if (heap_at(e, c)->cost >= last.cost)
			break;
		*heap_at(e, i) = *heap_at(e, c);
	}
	*heap_at(e, i) = last;
	g_array_set_size(e->heap, n);
}

/* Put a price on one more task at a place. */
static void price(struct draft *d, uint32_t place)
{
	struct clearing c;

	clear_place(d, place, &c);
	d->e->cost[place] = c.loss;
	if (!isinf(c.loss))
		heap_push(d->e, (struct offer){c.loss, place});
}

static uint32_t place_at(const struct draft *d, uint32_t k)
{
	return d->places ? d->places[k] : (d->places_from + k) % d->e->pack->n;
}

static bool within(const struct draft *d, uint32_t place)
{
	const struct pack *p = d->e->pack;

	if (d->places)
		return p->rack[place] == p->rack[d->places[0]];
	return (place + p->n - d->places_from) % p->n < d->places_len;
}

/* Price the places of a gang again that is given up: there it costs no
 * more. */
static void price_gang(struct draft *d, const struct stage *st)
{
	const struct pack *p = d->e->pack;

	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct upstream *u = st->tasks[i].at;

		if (u && u->place < p->n && p->upstreams[u->place] == u &&
		    within(d, u->place))
			price(d, u->place);
	}
}

/* Place one more task where it costs least; false: it is not worth it. */
static bool place_one(struct draft *d, double most_loss)
{
	struct evict *e = d->e;
	uint32_t stopped = d->out->stop->len;

	while (e->heap->len) {
		struct offer o = *heap_at(e, 0);
		struct clearing c;

		if (d->out->loss + o.cost > most_loss)
			return false;
		heap_pop(e);
		if (o.cost != e->cost[o.place])
			continue;
		clear_place(d, o.place, &c);
		if (c.loss > o.cost) { /* by what the plan has taken since */
			price(d, o.place);
			continue;
		}
		apply_clearing(d, o.place, &c);
		price(d, o.place);
		for (guint k = stopped; k < d->out->stop->len; k++) {
			const struct task *t =
				g_ptr_array_index(d->out->stop, k);

			if (t->stage->step->gang)
				price_gang(d, t->stage);
		}
		return true;
	}
	return false;
}

/* Take the places of the plan over as the pack's choice. */
static void choose(struct draft *d)
{
	struct pack *p = d->e->pack;

	p->chosen_len = 0;
	for (uint32_t k = 0; k < d->places_len; k++) {
		uint32_t i = place_at(d, k);

		if (d->e->room_draft[i] == d->e->draft && d->e->count[i])
			p->chosen[p->chosen_len++] = (struct pack_slot){
				.place = i, .count = d->e->count[i]};
	}
}

/* Plan on the places of one rack, or on all that may be looked at. */
static bool plan_within(struct evict *e, const struct claim *c,
			struct stage *st, uint32_t want, int rack,
			double most_loss, struct eviction *out)
{
	struct pack *p = e->pack;
	struct draft d = {.e = e,
			  .claim = c,
			  .stage = st,
			  .places_len = p->n,
			  .out = out};
	uint32_t placed = 0;

	if (rack != ANY_RACK) {
		d.places = p->rack_places + p->rack_first[rack];
		d.places_len = p->rack_first[rack + 1] - p->rack_first[rack];
	} else if (!c->due && p->n > PLACES_MOST) {
		d.places_from = p->fleet->drafts * PLACES_MOST % p->n;
		d.places_len = PLACES_MOST;
	}
	*out = (struct eviction){.stop = g_ptr_array_new(), .rack = rack};
	e->draft = ++p->fleet->drafts;
	g_array_set_size(e->heap, 0);
	for (uint32_t k = 0; k < d.places_len; k++)
		price(&d, place_at(&d, k));
	while (placed < want && place_one(&d, most_loss))
		placed++;
	if (placed < want)
		return false;
	choose(&d);
	return true;
}

static bool known_miss(const struct evict *e, const struct claim *c,
		       uint32_t want, bool one_rack)
{
	for (guint i = 0; i < e->misses->len; i++) {
		const struct miss *m =
			&g_array_index(e->misses, struct miss, i);

		if (m->want <= want && (!m->one_rack || one_rack) &&
		    m->claim.rank <= c->rank && (m->claim.due || !c->due) &&
		    m->claim.await_ms >= c->await_ms &&
		    m->claim.worth >= c->worth &&
		    demand_implies(&m->demand, &e->pack->demand))
			return true;
	}
	return false;
}

static void note_miss(struct evict *e, const struct claim *c, uint32_t want,
		      bool one_rack)
{
	struct miss m = {e->pack->demand, *c, want, one_rack};

	if (demand_tells(&m.demand) && e->misses->len < MISSES_MOST)
		g_array_append_val(e->misses, m);
}

static bool plan_rack(struct evict *e, const struct claim *c, struct stage *st,
		      uint32_t want, struct eviction *out)
{
	struct pack *p = e->pack;
	struct pack_slot *kept = g_new(struct pack_slot, p->n + 1);
	uint64_t turn = p->fleet->drafts; /* goes on where the last ended */
	double most = c->worth;
	uint32_t kept_len = 0, looked = 0;
	bool possible = false;

	for (uint32_t k = 0; k < p->racks_len; k++) {
		uint32_t r = (turn + k) % p->racks_len;
		double bonus = p->racks[r] == st->held_rack ? HELD_BONUS : 0;
		struct eviction one;

		if (!c->due && !bonus && looked >= PLACES_MOST)
			continue;
		looked += p->rack_first[r + 1] - p->rack_first[r];
		if (!plan_within(e, c, st, want, (int)r, most + bonus, &one) ||
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
 * Plan how to make room for `want` tasks of st at the least loss, on one
 * rack if it has to be.  True: out is to be freed with eviction_clear, and
 * the places are the pack's choice.  False: it cannot be done, or costs
 * more than the claim is worth.
 */
bool evict_plan(struct evict *e, const struct claim *c, struct stage *st,
		uint32_t want, struct eviction *out)
{
	bool one_rack, possible;

	memset(out, 0, sizeof(*out));
	pack_demand(e->pack, st);
	one_rack = pack_needs_rack(e->pack, st);
	if (known_miss(e, c, want, one_rack))
		return false;
	if (one_rack)
		possible = plan_rack(e, c, st, want, out);
	else
		possible = plan_within(e, c, st, want, ANY_RACK, c->worth, out);
	if (!possible) {
		eviction_clear(out);
		note_miss(e, c, want, one_rack);
	}
	return possible;
}
