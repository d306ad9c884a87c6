/* One pass's view of free room, and the choice of places in it. */
#ifndef SCHED_PACK_H
#define SCHED_PACK_H

#include "sched/fleet.h"

struct pack {
	struct fleet *fleet;
	uint64_t now_ms;
	uint32_t n;	    /* upstreams */
	struct room *avail; /* free now */
	struct room *soon;  /* free once what is being stopped has ended */
	uint32_t *chosen;   /* of the last choice: tasks for each upstream */
};

void pack_open(struct pack *p, struct fleet *f, uint64_t now_ms);
void pack_close(struct pack *p);
struct upstream *pack_upstream(const struct pack *p, uint32_t i);
bool pack_suits(const struct stage *st, const struct upstream *u);
uint32_t pack_capacity(const struct pack *p, const struct stage *st, uint32_t i,
		       const struct room *have);
uint32_t pack_choose(struct pack *p, const struct stage *st, uint32_t want,
		     const struct room *rooms, const char *rack);
bool pack_choose_all(struct pack *p, const struct stage *st, uint32_t want,
		     const struct room *rooms);
bool pack_rack_could_hold(const struct pack *p, const struct stage *st);
bool pack_first_of_rack(const struct pack *p, uint32_t i);
void pack_deduct(const struct pack *p, const struct room *need);

#endif
