/*
 * Keeps what was observed of jobs and runs. sched/duration.c learns the
 * durations by queue, account, size and estimate; what the completed tasks of a
 * step took is added here, as its other tasks do the same work.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sched/estimator.h"

/*
 * Minimum weight of a new observation in a running mean, however many came
 * before it.
 */
#define SMOOTHING_MIN 0.05
/*
 * What was expected of a step counts as so many completed runs of its tasks.
 * The first to be completed are the shortest, so it counts as several.
 */
#define EXPECTED_RUNS 2.0
/* A run deviates by at most so many standard deviations from expectation. */
#define DEVIATION_MAX 2.0
/* An accelerator counts as this many cores of work. */
#define ACCELERATOR_CORES 8

struct queue_stats {
	double jobs;
	/* mean work of a job in core-milliseconds */
	double mean_work;
};

/*
 * Windows over which urgent arrivals are counted, and the maximum number of
 * arrivals that are remembered.
 */
#define URGENT_WINDOW_MS 10000
#define URGENT_BURST_MS 2000
#define URGENT_ARRIVALS_MAX 256
/* Minimum arrivals in the window for more to be expected. */
#define URGENT_ARRIVALS_MIN 3

/* An urgent stage that became ready, kept as a sample of future arrivals. */
struct arrival {
	uint64_t at_ms;
	struct job job;
	struct step step;
	struct stage stage;
	struct task task;
};

struct estimator {
	GHashTable *queues; /* name to struct queue_stats */
	struct duration_groups *durations;
	uint64_t version; /* changes with each run that ends */
	struct arrival urgent[URGENT_ARRIVALS_MAX];
	uint32_t urgent_next;
};

/* Create an estimator without observations. */
struct estimator *estimator_create(void)
{
	struct estimator *e = g_new0(struct estimator, 1);

	e->version = 1;
	e->durations = duration_create();
	e->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return e;
}

static void arrival_clear(struct arrival *a)
{
	text_clear(&a->step.label);
	text_clear(&a->step.data_rack);
	memset(a, 0, sizeof(*a));
}

/* Free e; NULL is allowed. */
void estimator_destroy(struct estimator *e)
{
	if (!e)
		return;
	for (uint32_t i = 0; i < URGENT_ARRIVALS_MAX; i++)
		arrival_clear(&e->urgent[i]);
	g_hash_table_destroy(e->queues);
	duration_destroy(e->durations);
	g_free(e);
}

/* Return the statistics of a queue, created if missing. */
static struct queue_stats *stats_for(struct estimator *e, const char *queue)
{
	struct queue_stats *q = g_hash_table_lookup(e->queues, queue);

	if (!q) {
		q = g_new0(struct queue_stats, 1);
		g_hash_table_insert(e->queues, g_strdup(queue), q);
	}
	return q;
}

/*
 * Return the mean of n observations, `old`, after one more, `seen`. The weight
 * of the new one is at least SMOOTHING_MIN, so old observations fade.
 */
static double running_mean(double old, double seen, double n)
{
	return old + (seen - old) * MAX(SMOOTHING_MIN, 1 / (n + 1));
}

static struct duration_key key_of(const struct job *j, uint32_t step)
{
	const struct step *s = &j->steps[step];

	return (struct duration_key){
		.queue = j->queue,
		.account = j->account,
		.size_class = duration_size_class(s->count, &s->need),
		.estimate_ms = s->estimate_ms,
	};
}

/*
 * Return the weight of a run of s. The tasks of a step do the same work, so
 * their runs say little more about other jobs than one run. The members of a
 * gang end together.
 */
static double run_weight(const struct step *s)
{
	return s->gang ? 1.0 / s->count : 1 / sqrt(s->count);
}

/*
 * Record that a task of a step of j took took_ms at the speed of a mean
 * upstream, from its beginning and not from a checkpoint.
 */
void estimator_record_run(struct estimator *e, const struct job *j,
			  uint32_t step, uint64_t took_ms)
{
	struct step *s = &j->steps[step];
	struct duration_key k = key_of(j, step);
	struct duration_estimate d = duration_predict(e->durations, &k);
	double log_took = log(MAX(took_ms, 1));
	double log_expected = log(MAX(d.median_ms, 1));
	double most = DEVIATION_MAX * d.log_sd;

	s->ended_log_ms = running_mean(
		s->ended_log_ms,
		CLAMP(log_took, log_expected - most, log_expected + most),
		s->ended_runs++);
	/* the members of a gang end with the first that is listed: one call */
	duration_record_run(e->durations, &k, took_ms,
			    s->gang ? 1 : run_weight(s));
	e->version++;
}

/*
 * Record that a run of a task of a step of j was stopped, or failed, after
 * ran_ms at the speed of a mean upstream.
 */
void estimator_record_stopped(struct estimator *e, const struct job *j,
			      uint32_t step, uint64_t ran_ms)
{
	struct duration_key k = key_of(j, step);

	duration_record_stopped(e->durations, &k, ran_ms,
				run_weight(&j->steps[step]));
	e->version++;
}

/* Return the expected duration of a task of a step of j. */
static struct duration_estimate predict(const struct estimator *e,
					const struct job *j, uint32_t step)
{
	const struct step *s = &j->steps[step];
	struct duration_key k = key_of(j, step);
	struct duration_estimate d = duration_predict(e->durations, &k);
	double log_median;

	/* the members of a gang end together, so none runs on */
	if (!s->ended_runs || s->gang)
		return d;
	log_median = (s->ended_runs * s->ended_log_ms +
		      EXPECTED_RUNS * log(MAX(d.median_ms, 1))) /
		     (s->ended_runs + EXPECTED_RUNS);
	return duration_from_log(log_median, d.log_sd, d.runs);
}

/*
 * Return the distribution of the run time of a task of a step of j at the speed
 * of a mean upstream. The step caches it because a pass needs it many times.
 */
struct duration_estimate estimator_duration(const struct estimator *e,
					    const struct job *j, uint32_t step)
{
	struct step *s = &j->steps[step];

	if (s->expected_version != e->version) {
		s->expected = predict(e, j, step);
		s->expected_version = e->version;
	}
	return s->expected;
}

/*
 * Return the expected run time of a task of a step of j, in milliseconds. It is
 * that of a run which is not one of the few that take several times as long.
 */
uint64_t estimator_duration_ms(const struct estimator *e, const struct job *j,
			       uint32_t step)
{
	return estimator_duration(e, j, step).median_ms;
}

/* Return the learned durations, to be saved and restored. */
struct duration_groups *estimator_durations(struct estimator *e)
{
	return e->durations;
}

/* Note that learned durations were restored. */
void estimator_note_restored(struct estimator *e)
{
	e->version++;
}

/* Return the estimated work of j in core-milliseconds. */
static double job_work(const struct job *j)
{
	double sum = 0;

	for (uint32_t i = 0; i < j->steps_len; i++) {
		const struct step *s = &j->steps[i];

		sum += (double)s->count * s->estimate_ms *
		       (s->need.cpu_milli / 1000.0 +
			s->need.accelerators * ACCELERATOR_CORES);
	}
	return sum;
}

/* Record an urgent stage that has become ready at now_ms, as a sample. */
void estimator_record_urgent(struct estimator *e, const struct stage *st,
			     uint64_t now_ms)
{
	struct arrival *a = &e->urgent[e->urgent_next++ % URGENT_ARRIVALS_MAX];

	arrival_clear(a);
	a->at_ms = now_ms;
	a->step = *st->step;
	a->step.label = NULL;
	a->step.data_rack = NULL;
	text_set(&a->step.label, st->step->label);
	text_set(&a->step.data_rack, st->step->data_rack);
	/* what else the job owns is not kept */
	a->step.after = NULL;
	a->step.after_len = 0;
	a->step.image = NULL;
	a->job.queue = a->job.account = "";
	a->stage.job = &a->job;
	a->stage.step = &a->step;
	a->stage.tasks = &a->task;
	a->task.stage = &a->stage;
	job_set_service(&a->job, st->job->service);
}

/* Return how many remembered urgent stages became ready after since_ms. */
static uint32_t urgent_since(const struct estimator *e, uint64_t since_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < URGENT_ARRIVALS_MAX; i++)
		n += e->urgent[i].at_ms > since_ms;
	return n;
}

/*
 * Return how many urgent stages to expect in the next horizon_ms, by the higher
 * of the arrival rates over the long and the short window, plus one; 0 if fewer
 * than URGENT_ARRIVALS_MIN arrived in the long window. estimator_urgent_sample
 * returns examples of what they may look like.
 */
uint32_t estimator_expected_urgent(const struct estimator *e, uint64_t now_ms,
				   uint32_t horizon_ms)
{
	uint64_t window_start_ms = now_ms - MIN(now_ms, URGENT_WINDOW_MS);
	uint64_t burst_start_ms = now_ms - MIN(now_ms, URGENT_BURST_MS);
	uint64_t n = urgent_since(e, window_start_ms);
	uint64_t burst = urgent_since(e, burst_start_ms);

	if (n < URGENT_ARRIVALS_MIN)
		return 0;
	return 1 + MAX(n * horizon_ms / URGENT_WINDOW_MS,
		       burst * horizon_ms / URGENT_BURST_MS);
}

/* Return the urgent stage that arrived k before the latest one. */
struct stage *estimator_urgent_sample(struct estimator *e, uint32_t k)
{
	return &e->urgent[(e->urgent_next - 1 - k) % URGENT_ARRIVALS_MAX].stage;
}

/* Record the size of a submitted job. */
void estimator_record_job(struct estimator *e, const struct job *j)
{
	struct queue_stats *q = stats_for(e, j->queue);

	q->mean_work = running_mean(q->mean_work, job_work(j), q->jobs);
	q->jobs++;
}

/*
 * Return the work of j relative to the mean of its queue; 1 if that is not
 * known.
 */
double estimator_relative_size(const struct estimator *e, const struct job *j)
{
	const struct queue_stats *q = g_hash_table_lookup(e->queues, j->queue);

	return q && q->mean_work > 0 ? job_work(j) / q->mean_work : 1;
}
