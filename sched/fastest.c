/*
 * A stage that needs speed takes the fastest upstreams. Other work takes the
 * slowest ones that its objective allows, which leaves the fast ones free, and
 * shows the speed of upstreams that were not observed yet.
 */
#include <math.h>
#include <string.h>

#include "sched/fastest.h"

/*
 * Upstreams are ordered by buckets of their slowdown's logarithm, so that among
 * nearly equal ones the tightest is chosen.
 */
#define BUCKET_WIDTH 0.2
#define BUCKET_FIRST (-1.5)
/*
 * An upstream is slow enough to be left to other work only if it is within what
 * the objective allows at this many standard deviations above its mean, and it
 * is sought for speed at fewer.
 */
#define ALLOWED_DEVIATIONS 1.0
#define SOUGHT_DEVIATIONS 0.5
/* Variance of a run's expected duration, in the logarithm. */
#define RUN_VARIANCE 0.04
/* A stage with less room than this share of its run is late anywhere. */
#define FASTEST_ROOM_MIN 0.6

/* Return the bucket of a slowdown's logarithm. */
static uint32_t bucket_of(double log_slowdown)
{
	double b = (log_slowdown - BUCKET_FIRST) / BUCKET_WIDTH;

	return CLAMP(b, 0, FASTEST_BUCKETS - 1);
}

/*
 * Return the class in which the current demand prefers an upstream, 0 first:
 * those that its objective allows, the slowest first, and then the others, the
 * fastest first and cold ones last. Always 0 if speeds are not used.
 */
uint32_t fastest_class(const struct pack *p, uint32_t index)
{
	const struct upstream *u = p->upstreams[index];
	double allowed = p->demand.slowdown_allowed, mean;

	if (!p->speeds_used || isinf(allowed))
		return 0;
	if (upstream_is_cold(u, p->now_ms))
		return FASTEST_CLASSES - 1;
	mean = p->log_slowdown[index];
	if (allowed > 0 &&
	    mean + ALLOWED_DEVIATIONS * u->slowdown_log_sd <= log(allowed))
		return FASTEST_BUCKETS - 1 - bucket_of(mean);
	return FASTEST_BUCKETS +
	       bucket_of(mean + SOUGHT_DEVIATIONS * u->slowdown_log_sd);
}

/* Sort n slots by class and keep the order within each; scratch holds n. */
void fastest_sort(struct pack_slot *slots, struct pack_slot *scratch,
		  uint32_t n)
{
	uint32_t first[FASTEST_CLASSES + 1] = {0};

	for (uint32_t k = 0; k < n; k++)
		first[slots[k].speed_class + 1]++;
	for (uint32_t c = 0; c < FASTEST_CLASSES; c++)
		first[c + 1] += first[c];
	for (uint32_t k = 0; k < n; k++)
		scratch[first[slots[k].speed_class]++] = slots[k];
	memcpy(slots, scratch, n * sizeof(*slots));
}

/*
 * Return the class of the last of `want` tasks of the demand on a rack, or
 * FASTEST_CLASSES if they do not fit. Adds the rack's free accelerators to
 * *left.
 */
static uint32_t slowest_class(const struct pack *p, uint32_t rack,
			      uint32_t want, const struct resources *available,
			      int64_t *left)
{
	uint64_t fits[FASTEST_CLASSES] = {0}, placed = 0;

	for (uint32_t k = p->rack_start[rack]; k < p->rack_start[rack + 1];
	     k++) {
		uint32_t i = p->rack_members[k];
		uint32_t n = pack_capacity(p, i, &available[i]);

		if (n)
			fits[fastest_class(p, i)] += n;
		*left += MAX(available[i].accelerators, 0);
	}
	for (uint32_t c = 0; c < FASTEST_CLASSES; c++) {
		placed += fits[c];
		if (placed >= want)
			return c;
	}
	return FASTEST_CLASSES;
}

/*
 * Return the rack that takes all `want` tasks of the demand with the best class
 * of the last one, and among equals has the fewest free accelerators;
 * PACK_ANY_RACK if there is none.
 */
int fastest_find_rack(const struct pack *p, uint32_t want,
		      const struct resources *available)
{
	uint32_t best_class = FASTEST_CLASSES;
	int64_t best_left = INT64_MAX;
	int best = PACK_ANY_RACK;

	for (uint32_t r = 0; r < p->racks_len; r++) {
		int64_t left = 0;
		uint32_t class = slowest_class(p, r, want, available, &left);

		if (class == FASTEST_CLASSES || class > best_class ||
		    (class == best_class && left >= best_left))
			continue;
		best = (int)r;
		best_class = class;
		best_left = left;
	}
	return best;
}

/*
 * Return the value that the job of the current demand is expected to lose by
 * ending late if a task of it starts on an upstream after delay_ms; 0 if speeds
 * are not used. The stage's values must be those of this pass.
 */
double fastest_late_loss(const struct pack *p, uint32_t index,
			 uint32_t delay_ms)
{
	const struct stage_value *sv = &p->demand.stage->value;
	double sd = p->upstreams[index]->slowdown_log_sd, room_ms, z;

	if (!p->speeds_used || isinf(p->demand.slowdown_allowed) ||
	    sv->run_ms == 0)
		return 0;
	room_ms = (double)sv->run_ms + sv->slack_ms - delay_ms;
	if (room_ms < sv->run_ms * FASTEST_ROOM_MIN)
		return 0; /* it is late anywhere */
	z = (p->log_slowdown[index] - log(room_ms / sv->run_ms)) /
	    sqrt(sd * sd + RUN_VARIANCE);
	return (sv->value_in_time - sv->value_late) * 0.5 *
	       erfc(-z * M_SQRT1_2);
}

/* Return that loss for the worst of the chosen upstreams. */
double fastest_chosen_late_loss(const struct pack *p, uint32_t delay_ms)
{
	double worst = 0;

	for (uint32_t k = 0; p->speeds_used && k < p->chosen_len; k++)
		worst = MAX(worst,
			    fastest_late_loss(p, p->chosen[k].index, delay_ms));
	return worst;
}
