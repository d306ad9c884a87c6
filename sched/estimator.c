/*
 * Estimates durations as logarithms. The submitted estimate and the queue's
 * mean are two predictors, weighted by their past errors.
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
 * Squared errors, of the logarithm, that are assumed of a submitted estimate
 * and of the queue's mean before any run was observed.
 */
#define PRIOR_ESTIMATE_ERROR 0.2
#define PRIOR_MEAN_ERROR 1.0
/* An accelerator counts as this many cores of work. */
#define ACCELERATOR_CORES 8

struct queue_stats {
	double runs;
	/* mean logarithm of a run's duration in milliseconds */
	double mean;
	/* mean logarithm of the duration divided by the estimate */
	double bias;
	/* mean squared error of predicting the logarithm by the mean */
	double mean_error;
	/* the same for the estimate corrected by its bias */
	double estimate_error;
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
	uint64_t version;   /* changes with each run that ends */
	struct arrival urgent[URGENT_ARRIVALS_MAX];
	uint32_t urgent_next;
};

/* Create an estimator without observations. */
struct estimator *estimator_create(void)
{
	struct estimator *e = g_new0(struct estimator, 1);

	e->version = 1;
	e->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return e;
}

/* Free e; NULL is allowed. */
void estimator_destroy(struct estimator *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->queues);
	g_free(e);
}

/* Return the statistics of a queue, created with the priors if missing. */
static struct queue_stats *stats_for(struct estimator *e, const char *queue)
{
	struct queue_stats *q = g_hash_table_lookup(e->queues, queue);

	if (!q) {
		q = g_new0(struct queue_stats, 1);
		q->mean_error = PRIOR_MEAN_ERROR;
		q->estimate_error = PRIOR_ESTIMATE_ERROR;
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

/*
 * Record that a task of a step of j took took_ms at the speed of a mean
 * upstream, from its beginning and not from a checkpoint.
 */
void estimator_record_run(struct estimator *e, const struct job *j,
			  uint32_t step, uint64_t took_ms)
{
	struct queue_stats *q = stats_for(e, j->queue);
	double log_took = log(MAX(took_ms, 1));
	double log_ratio = log_took - log(MAX(j->steps[step].estimate_ms, 1));

	q->mean_error = running_mean(
		q->mean_error, (log_took - q->mean) * (log_took - q->mean),
		q->runs + 2);
	q->estimate_error = running_mean(
		q->estimate_error,
		(log_ratio - q->bias) * (log_ratio - q->bias), q->runs + 2);
	q->mean = running_mean(q->mean, log_took, q->runs);
	q->bias = running_mean(q->bias, log_ratio, q->runs + 1);
	q->runs++;
	e->version++;
}

/*
 * Return the expected duration of a task of a step, in milliseconds: the
 * submitted estimate until a run of the queue was observed.
 */
static uint64_t duration_ms(const struct estimator *e, const char *queue,
			    const struct step *s)
{
	const struct queue_stats *q = g_hash_table_lookup(e->queues, queue);
	double estimate = MAX(s->estimate_ms, 1);
	double estimate_weight;

	if (!q || q->runs < 1)
		return s->estimate_ms;
	estimate_weight = q->mean_error / (q->mean_error + q->estimate_error);
	return exp(estimate_weight * (log(estimate) + q->bias) +
		   (1 - estimate_weight) * q->mean);
}

/*
 * Return the expected run time of a task of a step of j, in milliseconds. The
 * step caches the result because a pass needs it many times.
 */
uint64_t estimator_duration_ms(const struct estimator *e, const struct job *j,
			       uint32_t step)
{
	struct step *s = &j->steps[step];

	if (s->expected_version != e->version) {
		s->expected_ms = duration_ms(e, j->queue, s);
		s->expected_version = e->version;
	}
	return s->expected_ms;
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

	memset(a, 0, sizeof(*a));
	a->at_ms = now_ms;
	a->step = *st->step;
	/* what the job owns is not kept */
	a->step.after = NULL;
	a->step.after_len = 0;
	a->step.image = NULL;
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
