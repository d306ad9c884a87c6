/*
 * Relative speeds of the machines that the upstreams run on, learned from
 * runs. The logarithm of a run's duration is the sum of a term of its stage,
 * a term of its machine and noise.
 */
#ifndef SCHED_SPEED_H
#define SCHED_SPEED_H

#include "sched/estimator.h"
#include "sched/fleet.h"

/*
 * Default of the spread from which speeds are used, see speed_create: uneven by
 * 0.18 is too little, by 0.42 enough.
 */
#define SPEED_SPREAD_MIN_DEFAULT 0.28

struct speed_table;

/* What is known of one machine, to be stored for a successor. */
struct speed_entry {
	const char *machine;
	double log_slowdown; /* relative to a mean machine */
	double variance;     /* of log_slowdown */
	bool changed;	     /* clearly differs from what was saved */
};

typedef void (*speed_entry_fn)(const struct speed_entry *e, void *arg);

struct speed_table *speed_create(double spread_min);
void speed_destroy(struct speed_table *s);
void speed_set_spread_min(struct speed_table *s, double spread_min);
void speed_note_progress(struct speed_table *s, struct task *t,
			 const struct estimator *e, uint64_t now_ms);
void speed_note_done(struct speed_table *s, struct task *t,
		     const struct estimator *e, uint64_t took_ms,
		     uint64_t now_ms);
void speed_note_end(struct speed_table *s, struct task *t, bool done);
void speed_note_restart(struct speed_table *s, const struct upstream *u);
void speed_refresh(struct speed_table *s, const struct fleet *f,
		   uint64_t now_ms);
bool speed_is_used(const struct speed_table *s);
void speed_set_used(struct speed_table *s, bool used);
uint32_t speed_known_count(const struct speed_table *s);
double speed_spread(const struct speed_table *s);
void speed_foreach(const struct speed_table *s, speed_entry_fn fn, void *arg);
void speed_set_entry(struct speed_table *s, const struct speed_entry *e,
		     uint64_t now_ms);
void speed_note_saved(struct speed_table *s, const char *machine);

double run_slowdown(const struct task *t);

#endif
