/*
 * Plays a load on the scheduler alone, in virtual time: what callers get,
 * what is thrown away, and what a pass costs.
 */
#ifndef LOAD_PLAY_H
#define LOAD_PLAY_H

#include <stdint.h>

struct play_options {
	uint32_t upstreams;
	uint32_t jobs;	/* cost: jobs that are always there */
	uint32_t tasks; /* cost: tasks of them together */
	uint32_t seconds;
	uint64_t seed;
	double load; /* day: arrivals as a multiple of the site's */
};

int play_measure_pass_cost(const struct play_options *o);
int play_simulate_day(const struct play_options *o);

#endif
