/*
 * Discrete-event simulation of the scheduler alone, in virtual time: measures
 * what callers get, the work that is wasted, and the cost of a pass.
 */
#ifndef LOAD_PLAY_H
#define LOAD_PLAY_H

#include <stdbool.h>
#include <stdint.h>

struct play_options {
	uint32_t upstreams;
	uint32_t jobs;	  /* pass cost only: constant number of jobs */
	uint32_t tasks;	  /* pass cost only: total tasks of these jobs */
	uint32_t seconds; /* of virtual time */
	uint64_t seed;
	double load; /* day only: arrival rate as a multiple of the site's */
	const char *site; /* its name; NULL: the first */
};

int play_measure_pass_cost(const struct play_options *o);
bool play_site_is_known(const char *name);
int play_simulate_day(const struct play_options *o);

#endif
