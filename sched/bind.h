/* Binding: assignment of cells of the domain to guarantees. */
#ifndef SCHED_BIND_H
#define SCHED_BIND_H

#include "sched/inventory.h"

enum cell_kind {
	CELL_ACCELERATOR,
	CELL_HALF, /* half of an upstream's accelerators */
	CELL_UPSTREAM,
	CELL_RACK,
};

struct cell {
	enum cell_kind kind;
	uint32_t account;
	uint32_t index; /* of the rack for CELL_RACK, else of the upstream */
	uint32_t mask;	/* of the upstream's accelerators; 0 for a rack */
};

const char *cell_kind_name(enum cell_kind k);
bool cell_kind_parse(const char *s, enum cell_kind *k);
bool bind_find_cell(const struct inventory *inv, enum cell_kind kind,
		    uint32_t account, struct cell *out);
bool bind_cell_is_free(const struct inventory *inv, const struct cell *c);
void bind_apply_cell(struct inventory *inv, const struct cell *c);

#endif
