/* One time line from the clocks of many instances. */
#ifndef REPORT_CLOCKS_H
#define REPORT_CLOCKS_H

#include "report/record.h"

/* What was found about the clock of an instance. */
struct clock_note {
	GQuark instance;
	int64_t offset_ms; /* ahead of the other instances by this much */
	uint32_t steps;	   /* times that its wall clock was set */
};

GArray *clocks_align(struct record_set *s);

#endif
