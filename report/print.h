/* Prints a report for people, as JSON for programs, and as a picture. */
#ifndef REPORT_PRINT_H
#define REPORT_PRINT_H

#include <stdio.h>

#include "report/clocks.h"
#include "report/history.h"

/* Which jobs are reported on; 0 or NULL: all. */
struct report_filter {
	const char *account;
	const char *queue;
	double since_s; /* of the submission, after the first record */
	double until_s;
};

struct report {
	const struct record_set *set;
	const struct history *history;
	const GArray *clocks; /* struct clock_note */
	struct report_filter filter;
	bool json; /* one object a line */
	FILE *out;
};

void report_print(const struct report *r);
void report_print_waste(const struct report *r);
bool report_print_job(const struct report *r, const char *id);
bool report_write_svg(const struct report *r, const char *file);
bool report_includes(const struct report *r, const struct job_history *j);

#endif
