/*
 * Each entry is a machine, with the mean and the variance of the logarithm of
 * its slowdown, and whether speeds were in use: the successor then uses them at
 * once, not only after it has judged the spread anew.
 */
#include <math.h>

#include "lead/learnedspeeds.h"
#include "lib/loop.h"

/* Number of rows into which the machines are divided. */
#define SPEED_ROWS 8
#define SPEED_VALUES 3
/* A stored slowdown beyond e to this power is not possible. */
#define LOG_SLOWDOWN_MAX 5.0

/* Passes machines on as entries. */
struct machine_visit {
	const struct speed_table *speeds;
	learned_entry_fn fn;
	void *arg;
};

static void visit_machine(const struct speed_entry *m, void *arg)
{
	const struct machine_visit *v = arg;
	const double values[SPEED_VALUES] = {m->log_slowdown, m->variance,
					     speed_is_used(v->speeds)};
	struct learned_entry e = {m->machine, values, SPEED_VALUES, m->changed};

	v->fn(v->arg, &e);
}

static void for_each_machine(void *arg, learned_entry_fn fn, void *fn_arg)
{
	struct machine_visit v = {arg, fn, fn_arg};

	speed_foreach(arg, visit_machine, &v);
}

static bool restore_machine(void *arg, const char *name, const double *values)
{
	struct speed_entry e = {.machine = name,
				.log_slowdown = values[0],
				.variance = values[1]};

	if (!(fabs(e.log_slowdown) <= LOG_SLOWDOWN_MAX) || !(e.variance > 0))
		return false;
	speed_set_entry(arg, &e, clock_mono_ms());
	speed_note_saved(arg, name);
	if (values[2] > 0)
		speed_set_used(arg, true);
	return true;
}

static void note_machine_saved(void *arg, const char *name)
{
	speed_note_saved(arg, name);
}

/* Return the list of the speeds that s has learned. */
struct learned_list learned_speeds(struct speed_table *s)
{
	return (struct learned_list){.prefix = "speeds/",
				     .rows = SPEED_ROWS,
				     .values_len = SPEED_VALUES,
				     .for_each = for_each_machine,
				     .restore = restore_machine,
				     .note_saved = note_machine_saved,
				     .arg = s};
}
