/*
 * Logs the speed of an upstream when it is known and differs clearly from what
 * was logged of it. The report calculates objectives from these records.
 */
#include <math.h>

#include "lead/speedlog.h"
#include "lib/log.h"

/* A change is logged if it is this large, in the logarithm. */
#define CHANGE_MIN 0.12
/* The first record of an upstream needs this standard deviation or less. */
#define KNOWN_LOG_SD 0.3

/* Log the speed of u if it has changed clearly. */
static void log_change(struct upstream *u)
{
	double logged = u->slowdown_logged > 0 ? u->slowdown_logged : 1;
	double slowdown = upstream_slowdown(u);

	if (u->slowdown > 0 && u->slowdown_log_sd > KNOWN_LOG_SD)
		return;
	if (fabs(log(slowdown / logged)) < CHANGE_MIN)
		return;
	u->slowdown_logged = slowdown;
	log_fields(LOG_INFO, "upstream_speed", "{s:s,s:i,s:i}", "upstream",
		   u->id, "slowdown_permille", (int)lround(slowdown * 1000),
		   "sd_permille", (int)lround(u->slowdown_log_sd * 1000));
}

/* Log changed speeds after a pass, and set the metrics. */
void speedlog_update(struct model *m, struct counters *c)
{
	bool used = speed_is_used(m->speeds);

	counter_set(c, "speed_known", speed_known_count(m->speeds));
	counter_set(c, "speed_used", used);
	if (used != m->speeds_were_used)
		log_fields(LOG_INFO, "speeds_used", "{s:b,s:i,s:i}", "used",
			   used, "known", (int)speed_known_count(m->speeds),
			   "spread_permille",
			   (int)lround(speed_spread(m->speeds) * 1000));
	if (!used && !m->speeds_were_used)
		return;
	m->speeds_were_used = used;
	for (guint i = 0; i < m->fleet->list->len; i++) {
		struct upstream *u = g_ptr_array_index(m->fleet->list, i);

		if (u->state != UPSTREAM_GONE)
			log_change(u);
	}
}
