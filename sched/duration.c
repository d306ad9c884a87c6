/*
 * Each group of runs has a regression line. A group with few runs borrows from
 * the group above it (class in account, account in queue, queue, all), whose
 * line counts as a few more runs of the group.
 */
#include <float.h>
#include <gsl/gsl_cdf.h>
#include <gsl/gsl_randist.h>
#include <math.h>
#include <string.h>

#include "sched/duration.h"
#include "sched/job.h"

/* Levels of groups: all, queue, account in queue, size class in account. */
#define LEVELS 4
/* The group above counts as this many runs of a group. */
#define BORROWED_RUNS 4.0
/*
 * Variance of the logarithms of the estimates of these runs. It sets how much
 * evidence changes the slope that a group takes from the group above.
 */
#define BORROWED_VARIANCE_X 0.25
/*
 * Variance of the logarithm of a duration around the estimate before any run
 * was observed: estimates are off by 20 to 90 %.
 */
#define PRIOR_VARIANCE 0.2
/*
 * Limits of the variance. Listings of runs and passes delay the end of a run
 * by some percent, so no smaller variance is observed.
 */
#define VARIANCE_MIN 0.0025
#define VARIANCE_MAX 4.0
/* Limits of the slope: an estimate says something, or nothing. */
#define SLOPE_MIN 0.0
#define SLOPE_MAX 1.2
/* Runs beyond this weight fade, so that a group follows its clients. */
#define RUNS_MAX 100.0
/* Minimum weight of a group before a run counts as one of the tail. */
#define TAIL_RUNS_MIN 3.0
/*
 * A group in which more runs than this seem to be of the tail has changed: its
 * durations are learned as they are.
 */
#define TAIL_SHARE_MAX 0.15
/* Weight of a new run in the share of the tail. */
#define TAIL_SMOOTHING 0.05
/* Limits of the deviation of a stopped run, in standard deviations. */
#define CENSORED_Z_MAX 6.0
/* A stopped run with less information than this is ignored. */
#define CENSORED_WEIGHT_MIN 0.001
/* A stopped run is at most so many deviations away after correction. */
#define CENSORED_SHIFT_MAX 6.0
/* Changes of a group that are worth saving: of its mean, of its weight. */
#define CHANGE_LOG 0.05
#define CHANGE_RUNS_FACTOR 1.25
/* Bounds of what may be restored. */
#define LOG_MS_MAX 40.0
/* A size class spans a factor of four in cores. */
#define SIZE_CLASS_BITS 2
/* The largest class, written as one character: a million cores and more. */
#define CLASS_MAX 10
#define ACCELERATOR_CORES 8
/* Space for the names of the groups of a run without an allocation. */
#define NAMES_FIXED_BYTES 512
/* Steps of the bisection for a quantile; each halves the error. */
#define QUANTILE_STEPS 40

struct group {
	struct duration_moments m;
	uint64_t used; /* number of the newest run that was recorded */
	/* as last saved */
	double saved_y;
	double saved_runs;
};

struct duration_groups {
	GHashTable *groups; /* name to struct group */
	uint64_t recorded;
};

/* A regression line: y = at_mean + slope * (x - mean_x). */
struct line {
	double mean_x;
	double at_mean;
	double slope;
	double variance; /* of a new run around the line */
	double runs;	 /* weight of runs of all levels */
};

/*
 * Names of the groups of a run, from all runs to its own group: queue, account
 * and size class, separated by newlines.
 */
struct names {
	const char *text[LEVELS];
	char fixed[NAMES_FIXED_BYTES]; /* holds them if they fit */
	char *allocated;	       /* or this does; NULL */
};

/* Create a set of groups without runs. */
struct duration_groups *duration_create(void)
{
	struct duration_groups *d = g_new0(struct duration_groups, 1);

	d->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return d;
}

/* Free d; NULL is allowed. */
void duration_destroy(struct duration_groups *d)
{
	if (!d)
		return;
	g_hash_table_destroy(d->groups);
	g_free(d);
}

/* Return the number of groups. */
uint32_t duration_groups_count(const struct duration_groups *d)
{
	return g_hash_table_size(d->groups);
}

/*
 * Name the groups of a run. A pass does this for each stage, so nothing is
 * formatted.
 */
static void name_groups(const struct duration_key *k, struct names *n)
{
	size_t queue = strlen(k->queue), account = strlen(k->account);
	size_t own = queue + account + 4, pair = queue + account + 2;
	char *p = n->fixed;

	n->allocated = NULL;
	if (own + pair + queue + 1 > sizeof(n->fixed))
		p = n->allocated = g_malloc(own + pair + queue + 1);
	n->text[0] = "";
	n->text[3] = p;
	memcpy(p, k->queue, queue);
	p[queue] = '\n';
	memcpy(p + queue + 1, k->account, account);
	p[own - 3] = '\n';
	p[own - 2] = (char)('0' + MIN(k->size_class, CLASS_MAX));
	p[own - 1] = '\0';
	n->text[2] = memcpy(p + own, p, pair - 1);
	p[own + pair - 1] = '\0';
	n->text[1] = memcpy(p + own + pair, p, queue);
	p[own + pair + queue] = '\0';
}

static void names_clear(struct names *n)
{
	g_free(n->allocated);
}

static double line_at(const struct line *l, double x)
{
	return l->at_mean + l->slope * (x - l->mean_x);
}

/*
 * Return the line of a group whose group above has the line `above`. The latter
 * counts as BORROWED_RUNS runs at the mean estimate of the group.
 */
static struct line group_line(const struct duration_moments *m,
			      const struct line *above)
{
	double runs = m->runs + BORROWED_RUNS;
	double borrowed_xx = BORROWED_RUNS * BORROWED_VARIANCE_X;
	double expected = line_at(above, m->mean_x);
	struct line l = {.mean_x = m->mean_x, .runs = above->runs + m->runs};

	l.at_mean = (m->runs * m->mean_y + BORROWED_RUNS * expected) / runs;
	l.slope = CLAMP((m->sum_xy + borrowed_xx * above->slope) /
				(m->sum_xx + borrowed_xx),
			SLOPE_MIN, SLOPE_MAX);
	l.variance = (m->runs * m->variance + BORROWED_RUNS * above->variance) /
		     runs;
	return l;
}

/*
 * Return the line of all runs: the estimate with its bias. A slope over all
 * queues would tell the queues apart rather than good estimates from bad ones.
 */
static struct line overall_line(const struct duration_moments *m)
{
	const struct line prior = {.slope = 1, .variance = PRIOR_VARIANCE};
	struct line l;

	if (!m)
		return prior;
	l = group_line(m, &prior);
	l.slope = 1;
	return l;
}

/* Set the lines of the levels of a run; a level without runs has that above. */
static void find_lines(const struct duration_groups *d, const struct names *n,
		       struct line lines[LEVELS])
{
	for (uint32_t i = 0; i < LEVELS; i++) {
		const struct group *g =
			g_hash_table_lookup(d->groups, n->text[i]);

		if (!i)
			lines[i] = overall_line(g ? &g->m : NULL);
		else
			lines[i] = g ? group_line(&g->m, &lines[i - 1])
				     : lines[i - 1];
	}
}

/* Remove the group to which no run was added for the longest time. */
static void evict_group(struct duration_groups *d)
{
	GHashTableIter iter;
	gpointer name, value;
	const char *oldest = NULL;
	uint64_t used = UINT64_MAX;

	g_hash_table_iter_init(&iter, d->groups);
	while (g_hash_table_iter_next(&iter, &name, &value))
		if (((struct group *)value)->used < used) {
			used = ((struct group *)value)->used;
			oldest = name;
		}
	if (oldest)
		g_hash_table_remove(d->groups, oldest);
}

/* Return a group, created if it is missing. */
static struct group *group_for(struct duration_groups *d, const char *name)
{
	struct group *g = g_hash_table_lookup(d->groups, name);

	if (!g) {
		if (g_hash_table_size(d->groups) >= DURATION_GROUPS_MAX)
			evict_group(d);
		g = g_new0(struct group, 1);
		g_hash_table_insert(d->groups, g_strdup(name), g);
	}
	return g;
}

/* An observation: logarithms, and its squared deviation from the line. */
struct observation {
	double x;
	double y;
	double squared_error;
	double weight;
	bool tail; /* of the runs that take much longer */
};

/* Add an observation to a group. */
static void group_add(struct duration_moments *m, const struct observation *o)
{
	double runs = m->runs + o->weight;
	double dx = o->x - m->mean_x, dy = o->y - m->mean_y;
	double share = o->weight / runs;

	m->mean_x += share * dx;
	m->mean_y += share * dy;
	m->sum_xx += m->runs * share * dx * dx;
	m->sum_xy += m->runs * share * dx * dy;
	m->variance =
		CLAMP(m->variance + share * (o->squared_error - m->variance),
		      VARIANCE_MIN, VARIANCE_MAX);
	m->tail_share +=
		TAIL_SMOOTHING * o->weight * ((double)o->tail - m->tail_share);
	m->runs = runs;
	if (runs > RUNS_MAX) {
		m->sum_xx *= RUNS_MAX / runs;
		m->sum_xy *= RUNS_MAX / runs;
		m->runs = RUNS_MAX;
	}
}

/*
 * Return the probability that a run is of the tail by the densities, or the
 * probabilities, that it has with and without being of the tail.
 */
static double tail_probability(double body, double tail)
{
	double both =
		(1 - DURATION_TAIL_SHARE) * body + DURATION_TAIL_SHARE * tail;

	return both > 0 ? DURATION_TAIL_SHARE * tail / both : 1;
}

/* Report whether runs of the tail can be told apart in a group. */
static bool tail_is_known(const struct duration_groups *d, const char *name)
{
	const struct group *g = g_hash_table_lookup(d->groups, name);

	return g && g->m.runs >= TAIL_RUNS_MIN &&
	       g->m.tail_share <= TAIL_SHARE_MAX;
}

/* Add an observation to all groups of a run. */
static void add_to_groups(struct duration_groups *d, const struct names *n,
			  const struct observation *o,
			  const struct line lines[LEVELS], bool censored)
{
	d->recorded++;
	for (uint32_t i = 0; i < LEVELS; i++) {
		struct group *g = group_for(d, n->text[i]);
		struct observation x = *o;

		if (!censored) {
			double error = o->y - line_at(&lines[i], o->x);

			x.squared_error = error * error;
		}
		group_add(&g->m, &x);
		g->used = d->recorded;
	}
}

static double log_ms(double ms)
{
	return log(MAX(ms, 1));
}

/*
 * Record a run that was completed in took_ms. Runs that are not independent of
 * each other have a smaller weight than 1.
 */
void duration_record_run(struct duration_groups *d,
			 const struct duration_key *k, uint64_t took_ms,
			 double weight)
{
	struct observation o = {.x = log_ms(k->estimate_ms),
				.y = log_ms(took_ms),
				.weight = weight};
	const double log_factor = log(DURATION_TAIL_FACTOR);
	struct line lines[LEVELS];
	const struct line *own = &lines[LEVELS - 1];
	struct names n;

	name_groups(k, &n);
	find_lines(d, &n, lines);
	if (tail_is_known(d, n.text[1])) {
		double sd = sqrt(own->variance);
		double z = (o.y - line_at(own, o.x)) / sd;
		double tail = tail_probability(
			gsl_ran_ugaussian_pdf(z),
			gsl_ran_ugaussian_pdf(z - log_factor / sd));

		/* far beyond the tail too, the run is of the tail */
		if (z > log_factor / sd)
			tail = 1;
		o.y -= tail * log_factor;
		o.tail = tail > 0.5;
	}
	add_to_groups(d, &n, &o, lines, false);
	names_clear(&n);
}

/*
 * Add a run that was stopped z standard deviations above the expectation. It
 * counts by the information that it holds, the second derivative of its
 * log-likelihood, and where Newton's method puts the mean by it: one that was
 * stopped soon says nothing.
 */
static void add_stopped(struct duration_groups *d, const struct names *n,
			const struct line lines[LEVELS], double x, double z,
			double weight)
{
	const struct line *own = &lines[LEVELS - 1];
	double bounded = CLAMP(z, -CENSORED_Z_MAX, CENSORED_Z_MAX);
	double hazard =
		gsl_ran_ugaussian_pdf(bounded) / gsl_cdf_ugaussian_Q(bounded);
	double information = hazard * (hazard - bounded);
	struct observation o = {
		.x = x,
		.y = line_at(own, x) +
		     sqrt(own->variance) *
			     MIN(1 / (hazard - bounded), CENSORED_SHIFT_MAX),
		.squared_error = own->variance * hazard / (hazard - bounded),
		.weight = weight * information,
	};

	if (information >= CENSORED_WEIGHT_MIN && o.weight > 0)
		add_to_groups(d, n, &o, lines, true);
}

/*
 * Record a run that was stopped or failed after ran_ms: it would have taken at
 * least as long, perhaps as one of the tail.
 */
void duration_record_stopped(struct duration_groups *d,
			     const struct duration_key *k, uint64_t ran_ms,
			     double weight)
{
	struct line lines[LEVELS];
	const struct line *own = &lines[LEVELS - 1];
	double x = log_ms(k->estimate_ms), sd, z, shift, tail;
	struct names n;

	name_groups(k, &n);
	find_lines(d, &n, lines);
	sd = sqrt(own->variance);
	z = (log_ms(ran_ms) - line_at(own, x)) / sd;
	shift = log(DURATION_TAIL_FACTOR) / sd;
	tail = tail_probability(gsl_cdf_ugaussian_Q(z),
				gsl_cdf_ugaussian_Q(z - shift));
	add_stopped(d, &n, lines, x, z, weight * (1 - tail));
	add_stopped(d, &n, lines, x, z - shift, weight * tail);
	names_clear(&n);
}

/*
 * Return the distribution whose runs outside the tail have this mean and
 * standard deviation of the logarithm.
 */
struct duration_estimate duration_from_log(double mean, double sd, double runs)
{
	struct duration_estimate e = {.log_sd = sd, .runs = runs};

	e.median_ms = exp(mean);
	e.mean_ms = e.median_ms * exp(sd * sd / 2) *
		    (1 - DURATION_TAIL_SHARE +
		     DURATION_TAIL_SHARE * DURATION_TAIL_FACTOR);
	return e;
}

/*
 * Return the expected distribution of the duration of a run. Before any run was
 * observed mean and median are the submitted estimate.
 */
struct duration_estimate duration_predict(const struct duration_groups *d,
					  const struct duration_key *k)
{
	struct line lines[LEVELS];
	const struct line *own = &lines[LEVELS - 1];
	struct names n;

	name_groups(k, &n);
	find_lines(d, &n, lines);
	names_clear(&n);
	if (own->runs <= 0)
		return (struct duration_estimate){.mean_ms = k->estimate_ms,
						  .median_ms = k->estimate_ms,
						  .log_sd =
							  sqrt(PRIOR_VARIANCE)};
	return duration_from_log(line_at(own, log_ms(k->estimate_ms)),
				 sqrt(own->variance), own->runs);
}

/* Report whether g differs from its saved state enough to save it again. */
static bool has_changed(const struct group *g)
{
	return fabs(g->m.mean_y - g->saved_y) > CHANGE_LOG ||
	       g->m.runs > g->saved_runs * CHANGE_RUNS_FACTOR;
}

/* Call fn for each group. */
void duration_for_each_group(const struct duration_groups *d,
			     duration_group_fn fn, void *arg)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, d->groups);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct group *g = value;

		fn(arg, name, &g->m, has_changed(g));
	}
}

/* Note that the present state of a group was saved. */
void duration_note_saved(struct duration_groups *d, const char *name)
{
	struct group *g = g_hash_table_lookup(d->groups, name);

	if (!g)
		return;
	g->saved_y = g->m.mean_y;
	g->saved_runs = g->m.runs;
}

static bool is_within(double v, double min, double max)
{
	return v >= min && v <= max; /* false for a NaN */
}

/*
 * Add a saved group, unless it has observed more runs here. Returns false if
 * the values cannot be those of a group.
 */
bool duration_restore_group(struct duration_groups *d, const char *name,
			    const struct duration_moments *m)
{
	const double sum_max = RUNS_MAX * LOG_MS_MAX * LOG_MS_MAX;
	struct group *g;

	if (!is_within(m->runs, 0, RUNS_MAX) ||
	    !is_within(m->mean_x, 0, LOG_MS_MAX) ||
	    !is_within(m->mean_y, -LOG_MS_MAX, LOG_MS_MAX) ||
	    !is_within(m->sum_xx, 0, sum_max) ||
	    !is_within(m->sum_xy, -sum_max, sum_max) ||
	    !is_within(m->variance, VARIANCE_MIN, VARIANCE_MAX) ||
	    !is_within(m->tail_share, 0, 1))
		return false;
	g = g_hash_table_lookup(d->groups, name);
	if (g && g->m.runs >= m->runs)
		return true;
	if (!g && g_hash_table_size(d->groups) >= DURATION_GROUPS_MAX)
		return true;
	g = group_for(d, name);
	g->m = *m;
	duration_note_saved(d, name);
	return true;
}

/* Return the size class of this number of tasks. */
uint32_t duration_size_class(uint32_t tasks, const struct resources *need)
{
	double cores = tasks * (need->cpu_milli / 1000.0 +
				(double)need->accelerators * ACCELERATOR_CORES);

	return cores > 1 ? log2(cores) / SIZE_CLASS_BITS : 0;
}

/*
 * Return the probability that a run takes longer than ms.
 */
double duration_longer_probability(const struct duration_estimate *d, double ms)
{
	double z, tail_shift;

	if (d->log_sd <= 0)
		return ms < d->mean_ms;
	if (ms <= 0)
		return 1;
	z = (log(ms) - log(MAX(d->median_ms, 1))) / d->log_sd;
	tail_shift = log(DURATION_TAIL_FACTOR) / d->log_sd;
	return (1 - DURATION_TAIL_SHARE) * gsl_cdf_ugaussian_Q(z) +
	       DURATION_TAIL_SHARE * gsl_cdf_ugaussian_Q(z - tail_shift);
}

/* Return the time within which a share q of the runs ends, in milliseconds. */
double duration_quantile_ms(const struct duration_estimate *d, double q)
{
	double low, high;

	if (d->log_sd <= 0)
		return d->mean_ms;
	low = log(MAX(d->median_ms, 1)) +
	      d->log_sd * gsl_cdf_ugaussian_Pinv(CLAMP(q, 0.001, 0.999));
	high = low + log(DURATION_TAIL_FACTOR);
	for (uint32_t i = 0; i < QUANTILE_STEPS; i++) {
		double middle = (low + high) / 2;

		if (1 - duration_longer_probability(d, exp(middle)) < q)
			low = middle;
		else
			high = middle;
	}
	return exp(high);
}

/*
 * Return the mean of the part of a lognormal distribution above `from`, times
 * its probability.
 */
static double partial_mean(double log_median, double sd, double from)
{
	double z = (log(from) - log_median) / sd;

	return exp(log_median + sd * sd / 2) * gsl_cdf_ugaussian_Q(z - sd);
}

/*
 * Return the expected remaining time of a run that has lasted ran_ms, in
 * milliseconds.
 */
double duration_remaining_ms(const struct duration_estimate *d, double ran_ms)
{
	double log_median, probability, mean;

	if (d->log_sd <= 0 || ran_ms < 1)
		return MAX(d->mean_ms - ran_ms, 0);
	probability = duration_longer_probability(d, ran_ms);
	/* beyond every expectation, it takes as long again */
	if (probability < DBL_EPSILON)
		return ran_ms;
	log_median = log(MAX(d->median_ms, 1));
	mean = (1 - DURATION_TAIL_SHARE) *
		       partial_mean(log_median, d->log_sd, ran_ms) +
	       DURATION_TAIL_SHARE *
		       partial_mean(log_median + log(DURATION_TAIL_FACTOR),
				    d->log_sd, ran_ms);
	return MAX(mean / probability - ran_ms, 0);
}
