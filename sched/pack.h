/* One pass's view of free room, and the choice of places in it. */
#ifndef SCHED_PACK_H
#define SCHED_PACK_H

#include "sched/fleet.h"

/* In place of a rack: any. */
#define ANY_RACK (-1)
/* Ranks from the last one on are not told apart when room is kept. */
#define PACK_RANKS 8

/* Which room to look at. */
enum pack_room {
	PACK_NOW,  /* free now */
	PACK_SOON, /* free once what is being stopped has ended */
	PACK_HELD, /* and without the work of lower ranks */
};

/* A place for `count` tasks. */
struct pack_slot {
	uint32_t place;
	uint32_t count;
	int64_t left; /* accelerators that stay free when all is filled */
};

/* What a stage asks for. */
struct demand {
	const struct stage *stage;
	struct room need;
	GQuark service;
	GQuark label;
	bool barred; /* its tasks have failed somewhere */
};

/* A place is an upstream that is listed; its number is an index. */
struct pack {
	struct fleet *fleet;
	uint64_t now_ms;
	uint32_t n;
	GPtrArray *listed;	     /* the upstreams */
	struct upstream **upstreams; /* the same */
	bool *usable;
	bool slow_too; /* slow ones as well */
	struct room *now;
	struct room *soon;
	struct room *held;   /* scratch of pack_hold */
	uint64_t *barred_by; /* number of the demand that may not use it */
	uint64_t demand_number;
	struct demand demand;
	uint32_t racks_len;
	GQuark *racks;	      /* names */
	uint32_t *rack;	      /* of each place: index into racks */
	uint32_t *rack_first; /* into rack_places, racks_len + 1 of them */
	uint32_t *rack_places;
	struct room *lower[PACK_RANKS]; /* work above this rank; NULL: not
					 * measured yet */
	uint64_t shape;		  /* of racks and machines: changes with them */
	struct pack_slot *slots;  /* scratch of a choice */
	struct pack_slot *chosen; /* the last choice */
	uint32_t chosen_len;
	GArray *misses; /* demands that did not fit in this pass */
};

bool demand_implies(const struct demand *a, const struct demand *b);
bool demand_tells(const struct demand *d);
void pack_open(struct pack *p, struct fleet *f, uint64_t now_ms);
void pack_close(struct pack *p);
void pack_demand(struct pack *p, const struct stage *st);
bool pack_suits(const struct pack *p, uint32_t place);
uint32_t pack_capacity(const struct pack *p, uint32_t place,
		       const struct room *have);
uint32_t pack_choose_some(struct pack *p, struct stage *st, uint32_t want);
bool pack_choose_all(struct pack *p, struct stage *st, uint32_t want,
		     enum pack_room which);
bool pack_hold(struct pack *p, struct stage *st, uint32_t want, uint32_t rank);
bool pack_needs_rack(const struct pack *p, struct stage *st);
void pack_deduct(struct pack *p);
void pack_note_stop(struct pack *p, const struct task *t);

#endif
