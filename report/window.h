/* Lost time over the time line, in windows of equal length. */
#ifndef REPORT_WINDOW_H
#define REPORT_WINDOW_H

#include "report/print.h"

/* Length of a window. */
#define WINDOW_MS 2000

struct window {
	int64_t from_ms;
	int64_t lost_ms; /* of the jobs that were not served in time */
	int64_t by_cause_ms[CAUSES_COUNT];
	uint32_t events[EVENT_KINDS_COUNT];
};

GArray *windows_create(const struct report *r);
bool event_is_notable(enum event_kind k);

#endif
