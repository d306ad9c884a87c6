/*
 * Distributions of run durations, learned from runs that have ended. The
 * logarithm of a duration is a linear function of the logarithm of the
 * submitted estimate plus normal noise; a small share of runs takes
 * DURATION_TAIL_FACTOR times as long.
 */
#ifndef SCHED_DURATION_H
#define SCHED_DURATION_H

#include <stdbool.h>
#include <stdint.h>

struct resources;

/* Share of runs that take much longer than others, and how much longer. */
#define DURATION_TAIL_SHARE 0.03
#define DURATION_TAIL_FACTOR 7.0
/* Maximum number of groups that are kept. */
#define DURATION_GROUPS_MAX 512

/* How long a task is expected to run. */
struct duration_estimate {
	double mean_ms;	  /* of all runs, with those that take much longer */
	double median_ms; /* of the other runs */
	double log_sd;	  /* standard deviation of their logarithm */
	double runs;	  /* weight of the observed runs; 0: none */
};

/* What the duration of a run is predicted from. */
struct duration_key {
	const char *queue;
	const char *account;
	uint32_t size_class;
	uint64_t estimate_ms;
};

/* Moments of the logarithms of the estimates (x) and durations (y). */
struct duration_moments {
	double runs; /* weight, limited so that old runs fade */
	double mean_x;
	double mean_y;
	double sum_xx; /* weighted sums of products of deviations */
	double sum_xy;
	double variance;   /* mean squared error of the group's prediction */
	double tail_share; /* recent share of runs that took much longer */
};

struct duration_groups;

/*
 * Called for each group; `changed`: enough to be saved since the last call of
 * duration_note_saved for it.
 */
typedef void (*duration_group_fn)(void *arg, const char *name,
				  const struct duration_moments *m,
				  bool changed);

struct duration_groups *duration_create(void);
void duration_destroy(struct duration_groups *d);
void duration_record_run(struct duration_groups *d,
			 const struct duration_key *k, uint64_t took_ms,
			 double weight);
void duration_record_stopped(struct duration_groups *d,
			     const struct duration_key *k, uint64_t ran_ms,
			     double weight);
struct duration_estimate duration_predict(const struct duration_groups *d,
					  const struct duration_key *k);
uint32_t duration_groups_count(const struct duration_groups *d);
void duration_for_each_group(const struct duration_groups *d,
			     duration_group_fn fn, void *arg);
void duration_note_saved(struct duration_groups *d, const char *name);
bool duration_restore_group(struct duration_groups *d, const char *name,
			    const struct duration_moments *m);

uint32_t duration_size_class(uint32_t tasks, const struct resources *need);
struct duration_estimate duration_from_log(double mean, double sd, double runs);
double duration_quantile_ms(const struct duration_estimate *d, double q);
double duration_longer_probability(const struct duration_estimate *d,
				   double ms);
double duration_remaining_ms(const struct duration_estimate *d, double ran_ms);

#endif
