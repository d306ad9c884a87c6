/* Free resources in one pass, and the choice of upstreams for tasks. */
#ifndef SCHED_PACK_H
#define SCHED_PACK_H

#include "sched/shape.h"

/* Used in place of a rack index for any rack. */
#define PACK_ANY_RACK (-1)
/*
 * Number of ranks that reservations tell apart; the last one includes all lower
 * priorities.
 */
#define PACK_RANKS 8

/* Which resources a choice may use. */
enum pack_availability {
	PACK_FREE,	       /* free now */
	PACK_FREE_AFTER_STOPS, /* free after the pending stops */
	PACK_RESERVABLE, /* free then, and without work of lower priority */
};

/* Which other runs may be on the upstreams of a choice. */
enum pack_isolation {
	PACK_SHARED, /* any */
	PACK_ALONE,  /* none, and no doubt about the machine */
	PACK_PROVEN, /* those that have lasted */
};

/* An upstream with resources for `count` tasks. */
struct pack_slot {
	uint32_t index;
	uint32_t count;
	/* usable accelerators left free after placing the tasks */
	int64_t left;
	uint32_t order;	      /* of the choice: by `left`, cold ones last */
	uint32_t speed_class; /* preference by speed, see fastest_class */
};

/* The requirements of a stage. */
struct demand {
	const struct stage *stage;
	struct resources need;
	GQuark service;
	GQuark label;
	bool has_excluded; /* not every upstream of the service may be used */
	bool one_each;	   /* at most one task per upstream */
	double slowdown_allowed; /* see struct stage_value */
};

/*
 * The upstreams in one pass. Arrays are indexed by upstream index unless stated
 * otherwise.
 */
struct pack {
	struct fleet *fleet;
	uint64_t now_ms;
	uint32_t n;		     /* number of upstreams */
	GPtrArray *upstream_list;    /* owns the array of upstreams */
	struct upstream **upstreams; /* data of upstream_list */
	bool *usable;		     /* new work may be placed on it */
	bool slow_allowed;	     /* slow upstreams may be used */
	bool failing_allowed;	     /* so may those on which runs failed */
	struct resources *free_now;
	struct resources *free_after_stops;
	struct resources *reservable; /* set by pack_choose_reservation */
	uint64_t *excluded_for;	      /* last demand_id that may not use it */
	uint64_t demand_id;	      /* changes with each demand */
	struct demand demand;	      /* the current demand */
	bool lifted;		      /* it may use what it was to avoid */
	enum pack_isolation isolation;
	bool speeds_used;	    /* the upstreams' speeds matter */
	double *log_slowdown;	    /* of each upstream */
	uint32_t suspect_upstreams; /* upstreams that host a suspect */
	uint32_t racks_len;
	GQuark *racks;		/* names, by rack index */
	uint32_t *rack;		/* rack index of each upstream */
	uint32_t *rack_start;	/* racks_len + 1 offsets into rack_members */
	uint32_t *rack_members; /* upstream indexes, grouped by rack */
	/* use by work of lower priority than each rank; NULL: not summed yet */
	struct resources *lower_rank_use[PACK_RANKS];
	uint64_t layout_hash;	  /* changes with the racks and upstreams */
	struct pack_slot *slots;  /* scratch space of a choice */
	struct pack_slot *chosen; /* the last choice */
	uint32_t chosen_len;
	GArray *unmet;		/* struct unmet_demand of this pass */
	struct shape_mix usual; /* tasks of the jobs that have not ended */
	/* the last service that was asked for, and whether it is mostly free */
	GQuark measured_service;
	bool mostly_free;
};

bool demand_covers(const struct demand *a, const struct demand *b);
bool demand_is_general(const struct demand *d);
void pack_begin(struct pack *p, struct fleet *f, uint64_t now_ms);
void pack_end(struct pack *p);
void pack_measure_work(struct pack *p, const GPtrArray *jobs,
		       const struct resources *mean_upstream);
void pack_set_demand(struct pack *p, const struct stage *st);
void pack_lift_exclusion(struct pack *p);
bool pack_is_eligible(const struct pack *p, uint32_t index);
uint32_t pack_capacity(const struct pack *p, uint32_t index,
		       const struct resources *have);
uint32_t pack_choose_some(struct pack *p, struct stage *st, uint32_t want);
bool pack_choose_all(struct pack *p, struct stage *st, uint32_t want,
		     enum pack_availability availability);
bool pack_choose_reservation(struct pack *p, struct stage *st, uint32_t want,
			     uint32_t rank);
bool pack_requires_one_rack(const struct pack *p, struct stage *st);
bool pack_service_is_mostly_free(struct pack *p, GQuark service);
void pack_set_isolation(struct pack *p, enum pack_isolation isolation);
void pack_deduct_chosen(struct pack *p);
void pack_close_chosen(struct pack *p);
void pack_record_stop(struct pack *p, const struct task *t);

#endif
