/*
 * Each machine has a normal belief about the logarithm of its slowdown. A run
 * contributes one message to it, which is replaced when the run has progressed
 * further. The stage term is estimated from the siblings of the run and from
 * the expected duration, so that siblings on different machines tell a long
 * stage from a slow machine.
 */
#include <math.h>
#include <string.h>

#include "sched/speed.h"

/* Variance of the slowdown's logarithm before a machine was observed. */
#define PRIOR_VARIANCE 0.16
/* Variance that remains however many runs were observed. */
#define VARIANCE_MIN 0.006
/* Variance of a task's duration within its stage, in the logarithm. */
#define TASK_VARIANCE 0.0625
/* Variance of the expected duration of a stage, in the logarithm. */
#define STAGE_VARIANCE 0.25
/* Growth of a variance per millisecond: 0.03 in ten minutes. */
#define AGEING_PER_MS (0.003 / 60000)
/* Growth of the variance with a new incarnation. */
#define RESTART_VARIANCE 0.05
/*
 * Degrees of freedom of the noise: some runs take seven times as long as their
 * siblings, and such a run must say little about its machine.
 */
#define NOISE_FREEDOM 4.0
/*
 * A belief that several runs contradict in the same direction is widened: the
 * machine has changed. The sum of the standardised residuals, of which a share
 * is kept with each run, must exceed the bound.
 */
#define DRIFT_KEPT 0.6
#define DRIFT_MAX 3.8
#define DRIFT_VARIANCE 0.25
/*
 * Progress that a rate must cover, in percent, and the error of a percentage:
 * percentages are whole numbers.
 */
#define PROGRESS_MIN_PERCENT 4
#define PERCENT_ERROR 0.6
/* A nearly complete member of a gang may wait for the others. */
#define NEARLY_DONE_PERCENT 95
/*
 * The spread is measured by products of the residuals of different runs on one
 * machine: their noise is independent, so that only the machine's own term
 * remains. Residuals are limited, and fade with each run.
 */
#define RESIDUAL_MAX 1.0
#define RESIDUAL_KEPT 0.9
/* A residual counts if the variance of its stage term is below this. */
#define RESIDUAL_STAGE_VARIANCE_MAX 0.1
/*
 * Machines with two runs or more for the spread to be judged, and for this
 * judgement to replace the early one.
 */
#define SPREAD_MACHINES_MIN 20
#define SPREAD_MACHINES_SURE 60
/* The spread exceeds the bound by so many standard errors. */
#define SPREAD_ERRORS 2.0
/*
 * Shares of the squared bound that the variance of the beliefs, which are drawn
 * towards their mean, falls below before speeds are no longer used: after few
 * runs and later.
 */
#define EARLY_OFF 0.8
#define CONFIRMED_OFF 0.55
/*
 * Before enough machines had two runs, the spread is judged by the variance of
 * the residuals less that of a task. The latter is taken to be as large as it
 * usually gets, which weighs as much as NOISE_RUNS differences of siblings on
 * one machine. RUNS_MIN runs are needed; a run counts from EARLY_PERCENT on.
 */
#define EARLY_TASK_VARIANCE 0.09
#define EARLY_NOISE_RUNS 20
#define EARLY_RUNS_MIN 40
#define EARLY_ERRORS 1.5
#define EARLY_PERCENT 8
/* Weight of the runs so far with each new one: some 200 runs count. */
#define EARLY_KEPT 0.995
/* Interval between two judgements of the spread. */
#define JUDGE_INTERVAL_MS 250
/* A machine is known if the variance is below this. */
#define KNOWN_VARIANCE (PRIOR_VARIANCE * 0.6)
/* Known machines for the mean to be taken over them. */
#define CENTRE_MACHINES_MIN 8
/* A machine that was neither observed nor listed for this long is dropped. */
#define MACHINE_KEPT_MS 3600000
/*
 * A belief is saved again if its mean has changed by more than this, or its
 * variance by more than this factor.
 */
#define SAVED_MEAN_ERROR 0.1
#define SAVED_VARIANCE_RATIO 1.5
/* Stages whose runs on a machine were counted last. */
#define STAGES_KEPT 4

struct machine {
	/* the belief: precision, and precision times mean */
	double precision;
	double weighted_mean;
	uint64_t aged_ms; /* when the belief was aged */
	uint64_t seen_ms; /* when it was observed or listed */
	uint32_t runs;	  /* that were observed */
	double drift;	  /* sum of standardised residuals */
	/* sums over residuals r with weights w: w, w^2, w r, w^2 r, (w r)^2 */
	double w, ww, wr, wwr, wwrr;
	uint64_t stages[STAGES_KEPT]; /* numbers */
	uint32_t stages_next;
	/* the belief as it was saved; a variance of 0: never */
	double saved_mean;
	double saved_variance;
};

struct speed_table {
	GHashTable *machines; /* name to struct machine */
	double spread_min;
	bool used;
	bool confirmed; /* by the runs of enough machines, not only early */
	double centre;	/* logarithm of the mean slowdown of known machines */
	double spread;	/* standard deviation between machines, net of noise */
	double belief_variance; /* of the means of known machines */
	uint32_t known;
	uint64_t judged_ms;
	uint64_t stages; /* number of stages that were observed */
	/* of the residuals, less the variance of their stage terms */
	struct early {
		double n;
		double sum;
		double squares;
		double fourths;
		/* half the squared differences of siblings on one machine */
		double noise;
		double noise_n;
	} early;
};

/* Create a table; speeds are used from a spread clearly above spread_min. */
struct speed_table *speed_create(double spread_min)
{
	struct speed_table *s = g_new0(struct speed_table, 1);

	s->spread_min = spread_min;
	s->machines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

/* Free s; NULL is allowed. */
void speed_destroy(struct speed_table *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->machines);
	g_free(s);
}

/*
 * Set the standard deviation of the logarithm from which speeds are used; 0
 * leaves it as it is.
 */
void speed_set_spread_min(struct speed_table *s, double spread_min)
{
	if (spread_min > 0)
		s->spread_min = spread_min;
}

/* Return the name of the machine of u, which outlives its incarnations. */
static const char *machine_name(const struct upstream *u)
{
	return u->host_quark ? g_quark_to_string(u->host_quark) : u->id;
}

/* Return the machine of this name, created with the prior if missing. */
static struct machine *machine_for(struct speed_table *s, const char *name,
				   uint64_t now_ms)
{
	struct machine *m = g_hash_table_lookup(s->machines, name);

	if (!m) {
		m = g_new0(struct machine, 1);
		m->precision = 1 / PRIOR_VARIANCE;
		m->weighted_mean = s->centre * m->precision;
		m->aged_ms = now_ms;
		g_hash_table_insert(s->machines, g_strdup(name), m);
	}
	m->seen_ms = now_ms;
	return m;
}

/* Widen the belief of m by a variance, at most to the prior one. */
static void widen(struct machine *m, double variance)
{
	double mean = m->weighted_mean / m->precision;

	m->precision = 1 / CLAMP(1 / m->precision + variance, VARIANCE_MIN,
				 PRIOR_VARIANCE);
	m->weighted_mean = mean * m->precision;
}

/* Age the belief of m to now_ms. */
static void age(struct machine *m, uint64_t now_ms)
{
	uint64_t ms = now_ms - MIN(m->aged_ms, now_ms);

	m->aged_ms = now_ms;
	widen(m, ms * AGEING_PER_MS);
}

/* Report whether all active members of st are on one rack. */
static bool is_on_one_rack(const struct stage *st)
{
	GQuark rack = 0;

	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct upstream *u = st->tasks[i].at;

		if (!u)
			continue;
		if (rack && rack != u->rack_quark)
			return false;
		rack = u->rack_quark;
	}
	return true;
}

/* Report whether the run of t shows the usual speed of its upstream. */
static bool is_representative(const struct task *t, uint64_t now_ms)
{
	const struct step *step = t->stage->step;

	return t->at && !t->inherited && !t->placed_by_earlier &&
	       !t->run_rate.from_checkpoint && !step->long_running &&
	       !step->best_effort_cpu && t->at->cold_until_ms <= now_ms &&
	       (!*step->data_rack ||
		label_quark(step->data_rack) == t->at->rack_quark) &&
	       (!step->gang || !step->rack_sensitive ||
		is_on_one_rack(t->stage));
}

/* The siblings of a task on its own upstream, and itself. */
struct siblings {
	uint32_t n;
	bool counted;	     /* one of them is, in the early judgement */
	double residual;     /* the residual of that one */
	double stage_weight; /* sum of their contributions to the stage term */
	double stage_sum;
};

/* Sum the siblings of t on its upstream. */
static struct siblings siblings_there(const struct task *t)
{
	struct siblings b = {0};

	for (guint i = 0; i < t->at->tasks->len; i++) {
		const struct task *x = g_ptr_array_index(t->at->tasks, i);

		if (x->stage != t->stage)
			continue;
		b.n++;
		if (x->speed.counted && !b.counted) {
			b.counted = true;
			b.residual = x->speed.residual;
		}
		b.stage_weight += x->speed.stage_weight;
		b.stage_sum += x->speed.stage_sum;
	}
	return b;
}

/*
 * Count a run that has progressed far enough in the early judgement: one of its
 * stage and machine there, and the others by how far they differ from that one,
 * which is noise.
 */
static void count_early(struct speed_table *s, struct task *t)
{
	struct siblings there = siblings_there(t);
	struct speed_evidence *ev = &t->speed;
	struct early *y = &s->early;
	double mean = y->n > 0 ? y->sum / y->n : 0;
	double r =
		CLAMP(ev->residual - mean, -RESIDUAL_MAX, RESIDUAL_MAX) + mean;
	/* the stage term is uncertain */
	double square = r * r - ev->stage_variance;

	if (there.counted) {
		double d = CLAMP(ev->residual - there.residual, -RESIDUAL_MAX,
				 RESIDUAL_MAX);

		ev->counted = true;
		y->noise += d * d / 2;
		y->noise_n++;
		return;
	}
	if (ev->stage_variance >= RESIDUAL_STAGE_VARIANCE_MAX)
		return;
	ev->counted = true;
	y->n = y->n * EARLY_KEPT + 1;
	y->sum = y->sum * EARLY_KEPT + r;
	y->squares = y->squares * EARLY_KEPT + square;
	y->fourths = y->fourths * EARLY_KEPT + square * square;
}

/*
 * Replace what the run of t says by an observed logarithm of its full duration
 * in milliseconds, with the variance of the observation. Siblings on the same
 * machine share its term, and none of them tells another one the stage term.
 */
static void observe(struct speed_table *s, struct task *t,
		    const struct estimator *e, double log_ms, double variance,
		    uint64_t now_ms)
{
	struct machine *m = machine_for(s, machine_name(t->at), now_ms);
	struct stage *st = t->stage;
	struct speed_evidence *ev = &t->speed;
	struct siblings there = siblings_there(t);
	double precision, weighted_mean, mean, residual, z2, trust;
	double stage_variance, stage_weight;

	age(m, now_ms);
	precision = m->precision - ev->precision;
	weighted_mean = m->weighted_mean - ev->weighted_mean;
	if (precision < 1 / PRIOR_VARIANCE) {
		/* it has aged since */
		precision = 1 / PRIOR_VARIANCE;
		weighted_mean = m->weighted_mean / m->precision * precision;
	}
	mean = weighted_mean / precision;
	if (!(st->speed_weight > 0)) {
		uint64_t expected_ms =
			estimator_duration_ms(e, st->job, st->step_index);

		st->speed_number = ++s->stages;
		st->speed_weight = 1 / STAGE_VARIANCE;
		st->speed_sum = st->speed_weight *
				(log(MAX(expected_ms, 1)) - s->centre);
	}
	stage_weight =
		MAX(st->speed_weight - there.stage_weight, 1 / STAGE_VARIANCE);
	stage_variance = 1 / stage_weight;
	residual = log_ms - (st->speed_sum - there.stage_sum) / stage_weight;
	z2 = (residual - mean) * (residual - mean) /
	     (1 / precision + variance + stage_variance);
	trust = MIN(1, (NOISE_FREEDOM + 1) / (NOISE_FREEDOM + z2));
	if (!ev->seen)
		m->runs++;
	ev->seen = true;
	ev->precision = trust / (variance + there.n * stage_variance);
	ev->weighted_mean = residual * ev->precision;
	m->precision = MIN(precision + ev->precision, 1 / VARIANCE_MIN);
	m->weighted_mean = (weighted_mean + ev->weighted_mean) *
			   (m->precision / (precision + ev->precision));
	st->speed_weight -= ev->stage_weight;
	st->speed_sum -= ev->stage_sum;
	ev->stage_weight = trust / (there.n / precision + variance);
	ev->stage_sum = ev->stage_weight * (log_ms - mean);
	st->speed_weight += ev->stage_weight;
	st->speed_sum += ev->stage_sum;
	ev->residual = residual;
	ev->stage_variance = stage_variance;
	ev->deviation = (residual > mean ? 1 : -1) * sqrt(z2);
}

/* Note the rate of t's run, after its progress was recorded. */
void speed_note_progress(struct speed_table *s, struct task *t,
			 const struct estimator *e, uint64_t now_ms)
{
	const struct run_rate *r = &t->run_rate;
	uint32_t percent = r->last_percent - r->first_percent;
	uint64_t ms = r->last_ms - r->first_ms;
	double error = PERCENT_ERROR / MAX(percent, 1);

	if (!r->first_ms || percent < PROGRESS_MIN_PERCENT || !ms ||
	    r->last_percent >= NEARLY_DONE_PERCENT ||
	    r->last_percent == t->speed.percent ||
	    !is_representative(t, now_ms))
		return;
	t->speed.percent = r->last_percent;
	observe(s, t, e, log(ms * 100.0 / percent),
		TASK_VARIANCE + error * error, now_ms);
	if (percent >= EARLY_PERCENT && !t->speed.counted)
		count_early(s, t);
}

/*
 * Note that the run of t is complete and took took_ms from its beginning. A
 * gang ends with its slowest member, so that this says little of the others.
 */
void speed_note_done(struct speed_table *s, struct task *t,
		     const struct estimator *e, uint64_t took_ms,
		     uint64_t now_ms)
{
	if (t->stage->step->gang || !is_representative(t, now_ms))
		return;
	observe(s, t, e, log(MAX(took_ms, 1)), TASK_VARIANCE, now_ms);
}

/* Report whether a run of st on m was counted lately, and note it. */
static bool was_counted(struct machine *m, const struct stage *st)
{
	for (uint32_t i = 0; i < STAGES_KEPT; i++)
		if (m->stages[i] == st->speed_number)
			return true;
	m->stages[m->stages_next++ % STAGES_KEPT] = st->speed_number;
	return false;
}

/* Add the residual of a run that has ended to the sums of its machine. */
static void count_residual(struct machine *m, double residual)
{
	double r = CLAMP(residual, -RESIDUAL_MAX, RESIDUAL_MAX);
	double kept = RESIDUAL_KEPT;

	m->w = m->w * kept + 1;
	m->wr = m->wr * kept + r;
	m->ww = m->ww * kept * kept + 1;
	m->wwr = m->wwr * kept * kept + r;
	m->wwrr = m->wwrr * kept * kept + r * r;
}

/* What the run of t says of its machine is final. */
static void conclude(struct speed_table *s, struct task *t)
{
	struct speed_evidence *ev = &t->speed;
	struct machine *m =
		t->at ? g_hash_table_lookup(s->machines, machine_name(t->at))
		      : NULL;

	if (!m || !ev->seen)
		goto out;
	m->drift = m->drift * DRIFT_KEPT + ev->deviation;
	if (fabs(m->drift) > DRIFT_MAX) {
		widen(m, DRIFT_VARIANCE);
		m->weighted_mean += ev->residual * ev->precision;
		m->precision += ev->precision;
		m->drift = 0;
		m->w = m->ww = m->wr = m->wwr = m->wwrr = 0;
	}
	if (ev->stage_variance < RESIDUAL_STAGE_VARIANCE_MAX &&
	    !was_counted(m, t->stage))
		count_residual(m, ev->residual);
out:
	*ev = (struct speed_evidence){0};
}

/*
 * The run of t ends, as complete or in another way: what it says of its machine
 * is final. Called while t is still on its upstream. The completion of a member
 * is that of its gang.
 */
void speed_note_end(struct speed_table *s, struct task *t, bool done)
{
	struct stage *st = t->stage;

	if (!done || !st->step->gang) {
		conclude(s, t);
		return;
	}
	for (uint32_t i = 0; i < st->step->count; i++)
		conclude(s, &st->tasks[i]);
}

/* The machine of u has restarted: its speed may have changed. */
void speed_note_restart(struct speed_table *s, const struct upstream *u)
{
	struct machine *m = g_hash_table_lookup(s->machines, machine_name(u));

	if (m)
		widen(m, RESTART_VARIANCE);
}

/* Report whether the speed of m is known well enough to count it. */
static bool is_known(const struct machine *m)
{
	return m->precision > 1 / KNOWN_VARIANCE;
}

/* Set the mean slowdown and the number of known machines. */
static void find_centre(struct speed_table *s)
{
	GHashTableIter it;
	gpointer value;
	double sum = 0, means = 0, squares = 0, mean;

	s->known = 0;
	g_hash_table_iter_init(&it, s->machines);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct machine *m = value;

		if (!is_known(m))
			continue;
		s->known++;
		mean = m->weighted_mean / m->precision;
		sum += exp(mean);
		means += mean;
		squares += mean * mean;
	}
	mean = means / MAX(s->known, 1);
	s->belief_variance = squares / MAX(s->known, 1) - mean * mean;
	if (s->known >= CENTRE_MACHINES_MIN)
		s->centre = log(sum / s->known);
}

/* Return the weighted mean residual of the machines with two runs or more. */
static double mean_residual(const struct speed_table *s)
{
	GHashTableIter it;
	gpointer value;
	double sum = 0, n = 0;

	g_hash_table_iter_init(&it, s->machines);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct machine *m = value;

		if (m->w * m->w - m->ww < 1)
			continue;
		sum += m->wr / m->w;
		n++;
	}
	return n > 0 ? sum / n : 0;
}

/* Judge by the variance of the residuals of few runs whether speeds are used. */
static void judge_early(struct speed_table *s)
{
	const struct early *y = &s->early;
	double mean, variance, error, noise;

	if (y->n < EARLY_RUNS_MIN)
		return;
	mean = y->sum / y->n;
	variance = y->squares / y->n - mean * mean;
	noise = (EARLY_TASK_VARIANCE * EARLY_NOISE_RUNS + y->noise) /
		(EARLY_NOISE_RUNS + y->noise_n);
	error = sqrt(MAX(y->fourths / y->n - variance * variance, 0) / y->n);
	s->used |= variance - EARLY_ERRORS * error >
		   s->spread_min * s->spread_min + noise;
}

/*
 * Judge the variance between machines, net of noise, and whether speeds are
 * used. Nothing changes while too few machines had two runs.
 */
static void judge_spread(struct speed_table *s)
{
	double mean = mean_residual(s), sum = 0, squares = 0, n = 0, error;
	double bound = s->spread_min * s->spread_min, variance;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->machines);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct machine *m = value;
		double pairs = m->w * m->w - m->ww, wr, wwrr, x;

		if (pairs < 1)
			continue;
		wr = m->wr - mean * m->w;
		wwrr = m->wwrr - 2 * mean * m->wwr + mean * mean * m->ww;
		x = (wr * wr - wwrr) / pairs;
		sum += x;
		squares += x * x;
		n++;
	}
	if (n < SPREAD_MACHINES_SURE)
		judge_early(s);
	if (n < SPREAD_MACHINES_MIN)
		return;
	variance = sum / n;
	error = sqrt(MAX(squares / n - variance * variance, 0) / n);
	s->spread = sqrt(MAX(variance, 0));
	if (variance - SPREAD_ERRORS * error > bound)
		s->used = s->confirmed = true;
}

/*
 * Judge whether speeds are still used, by the spread of the beliefs: where they
 * are used, fast machines get most of the runs, and products of residuals show
 * little of the others. What few runs have suggested must hold.
 */
static void judge_end(struct speed_table *s)
{
	double bound = s->spread_min * s->spread_min;

	if (s->known < SPREAD_MACHINES_SURE)
		return;
	s->used &= s->belief_variance >
		   bound * (s->confirmed ? CONFIRMED_OFF : EARLY_OFF);
	s->confirmed &= s->used;
}

/* Report whether the machine value was not seen for long. */
static gboolean is_outdated(gpointer key, gpointer value, gpointer arg)
{
	const struct machine *m = value;
	const uint64_t *now_ms = arg;

	(void)key;
	return m->seen_ms + MACHINE_KEPT_MS < *now_ms;
}

/* Set the slowdown of u by the belief about its machine. */
static void set_slowdown(const struct speed_table *s, struct upstream *u,
			 uint64_t now_ms)
{
	struct machine *m;

	if (!s->used) {
		u->slowdown = 0;
		u->slowdown_log_sd = 0;
		return;
	}
	m = g_hash_table_lookup(s->machines, machine_name(u));
	if (!m) {
		u->slowdown = 1;
		u->slowdown_log_sd = sqrt(PRIOR_VARIANCE);
		return;
	}
	age(m, now_ms);
	m->seen_ms = now_ms;
	u->slowdown = exp(m->weighted_mean / m->precision - s->centre);
	u->slowdown_log_sd = sqrt(1 / m->precision);
}

/* Set the slowdowns of f's upstreams, and judge whether they are used. */
void speed_refresh(struct speed_table *s, const struct fleet *f,
		   uint64_t now_ms)
{
	uint64_t now = now_ms;

	if (now_ms >= s->judged_ms + JUDGE_INTERVAL_MS || !s->judged_ms) {
		s->judged_ms = now_ms;
		g_hash_table_foreach_remove(s->machines, is_outdated, &now);
		find_centre(s);
		judge_spread(s);
		judge_end(s);
	}
	for (guint i = 0; i < f->list->len; i++) {
		struct upstream *u = g_ptr_array_index(f->list, i);

		if (u->state != UPSTREAM_GONE)
			set_slowdown(s, u, now_ms);
	}
}

/* Report whether upstreams are uneven beyond doubt, so that speeds are used. */
bool speed_is_used(const struct speed_table *s)
{
	return s->used;
}

/* Use speeds from the start, as an earlier leader did, until judged again. */
void speed_set_used(struct speed_table *s, bool used)
{
	s->used = used;
}

/* Return the number of machines whose speed is known. */
uint32_t speed_known_count(const struct speed_table *s)
{
	return s->known;
}

/* Return the standard deviation between machines, net of noise; 0: unknown. */
double speed_spread(const struct speed_table *s)
{
	return s->spread;
}

/* Report whether the belief of m clearly differs from what was saved. */
static bool has_changed(const struct machine *m)
{
	double mean = m->weighted_mean / m->precision;
	double ratio = m->saved_variance * m->precision;

	return fabs(mean - m->saved_mean) > SAVED_MEAN_ERROR ||
	       ratio > SAVED_VARIANCE_RATIO || ratio * SAVED_VARIANCE_RATIO < 1;
}

/* Note that the belief about a machine is saved as it is now. */
void speed_note_saved(struct speed_table *s, const char *machine)
{
	struct machine *m = g_hash_table_lookup(s->machines, machine);

	if (!m)
		return;
	m->saved_mean = m->weighted_mean / m->precision;
	m->saved_variance = 1 / m->precision;
}

/* Call fn for each machine that was observed. */
void speed_foreach(const struct speed_table *s, speed_entry_fn fn, void *arg)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, s->machines);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct machine *m = value;
		struct speed_entry e = {
			key, m->weighted_mean / m->precision - s->centre,
			1 / m->precision, has_changed(m)};

		fn(&e, arg);
	}
}

/*
 * Set what is known of a machine, which an earlier leader has stored, unless
 * more is known of it already.
 */
void speed_set_entry(struct speed_table *s, const struct speed_entry *e,
		     uint64_t now_ms)
{
	struct machine *m = machine_for(s, e->machine, now_ms);

	if (m->precision * e->variance > 1)
		return;
	m->aged_ms = now_ms;
	m->precision = 1 / CLAMP(e->variance, VARIANCE_MIN, PRIOR_VARIANCE);
	m->weighted_mean = (e->log_slowdown + s->centre) * m->precision;
}

/*
 * Return the slowdown that the duration of t's run is due to: that of its
 * upstream, in a gang the one of the slowest member.
 */
double run_slowdown(const struct task *t)
{
	const struct stage *st = t->stage;
	double slowest = 0;

	if (!st->step->gang)
		return t->at ? upstream_slowdown(t->at) : 1;
	for (uint32_t i = 0; i < st->step->count; i++)
		if (st->tasks[i].at)
			slowest = MAX(slowest,
				      upstream_slowdown(st->tasks[i].at));
	return slowest > 0 ? slowest : 1;
}
