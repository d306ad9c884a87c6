/*
 * Estimates durations as logarithms. The submitted estimate and the queue's
 * mean are two predictors, weighted by their past errors.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sched/estimator.h"

/* Minimum weight of a new observation in a running mean. */
#define SMOOTHING_MIN 0.05
/* Prior squared errors of an estimate and of the mean, before any
 * observation. */
#define PRIOR_ESTIMATE_ERROR 0.2
#define PRIOR_MEAN_ERROR 1.0
/* An accelerator counts as this many cores of work. */
#define ACCELERATOR_CORES 8

struct queue_stats {
	double runs;
	double mean;	       /* of the logarithm of the duration */
	double bias;	       /* of the duration over the estimate */
	double mean_error;     /* squared, of the mean */
	double estimate_error; /* squared, of the estimate without its bias */
	double jobs;
	double work; /* mean of a job */
};

/* Windows over which urgent arrivals are counted, and the maximum number
 * remembered. */
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
	struct estimator *l = g_new0(struct estimator, 1);

	l->version = 1;
	l->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

/* Free l. */
void estimator_destroy(struct estimator *l)
{
	if (!l)
		return;
	g_hash_table_destroy(l->queues);
	g_free(l);
}

static struct queue_stats *stats_for(struct estimator *l, const char *queue)
{
	struct queue_stats *r = g_hash_table_lookup(l->queues, queue);

	if (!r) {
		r = g_new0(struct queue_stats, 1);
		r->mean_error = PRIOR_MEAN_ERROR;
		r->estimate_error = PRIOR_ESTIMATE_ERROR;
		g_hash_table_insert(l->queues, g_strdup(queue), r);
	}
	return r;
}

static double running_mean(double old, double seen, double n)
{
	return old + (seen - old) * MAX(SMOOTHING_MIN, 1 / (n + 1));
}

/* Record that a task with this estimate ran, without a checkpoint, for
 * took_ms. */
void estimator_record_run(struct estimator *l, const char *queue,
			  uint32_t estimate_ms, uint64_t took_ms)
{
	struct queue_stats *r = stats_for(l, queue);
	double took = log(MAX(took_ms, 1));
	double over = took - log(MAX(estimate_ms, 1));

	r->mean_error =
		running_mean(r->mean_error, (took - r->mean) * (took - r->mean),
			     r->runs + 2);
	r->estimate_error =
		running_mean(r->estimate_error,
			     (over - r->bias) * (over - r->bias), r->runs + 2);
	r->mean = running_mean(r->mean, took, r->runs);
	r->bias = running_mean(r->bias, over, r->runs + 1);
	r->runs++;
	l->version++;
}

static uint64_t duration_ms(const struct estimator *l, const char *queue,
			    const struct step *s)
{
	const struct queue_stats *r = g_hash_table_lookup(l->queues, queue);
	double estimate = MAX(s->estimate_ms, 1);
	double trust;

	if (!r || r->runs < 1)
		return s->estimate_ms;
	trust = r->mean_error / (r->mean_error + r->estimate_error);
	return exp(trust * (log(estimate) + r->bias) + (1 - trust) * r->mean);
}

/*
 * Return the expected run time of a task of a step of j, in milliseconds. The
 * step caches the result because a pass needs it many times.
 */
uint64_t estimator_duration_ms(const struct estimator *l, const struct job *j,
			       uint32_t step)
{
	struct step *s = &j->steps[step];

	if (s->expected_version != l->version) {
		s->expected_ms = duration_ms(l, j->queue, s);
		s->expected_version = l->version;
	}
	return s->expected_ms;
}

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

/* Record an urgent stage that has become ready. */
void estimator_record_urgent(struct estimator *l, const struct stage *st,
			     uint64_t now_ms)
{
	struct arrival *a = &l->urgent[l->urgent_next++ % URGENT_ARRIVALS_MAX];

	memset(a, 0, sizeof(*a));
	a->at_ms = now_ms;
	a->step = *st->step;
	a->step.after = NULL;
	a->step.after_len = 0;
	a->stage.job = &a->job;
	a->stage.step = &a->step;
	a->stage.tasks = &a->task;
	a->task.stage = &a->stage;
	job_set_service(&a->job, st->job->service);
}

static uint32_t urgent_since(const struct estimator *l, uint64_t since_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < URGENT_ARRIVALS_MAX; i++)
		n += l->urgent[i].at_ms > since_ms;
	return n;
}

/*
 * Return how many urgent stages to expect in the next horizon_ms, by the higher
 * of the arrival rates over the long and the short window, plus one.
 * estimator_urgent_sample returns likely examples.
 */
uint32_t estimator_expected_urgent(const struct estimator *l, uint64_t now_ms,
				   uint32_t horizon_ms)
{
	uint64_t of_late = now_ms - MIN(now_ms, URGENT_WINDOW_MS);
	uint64_t just_now = now_ms - MIN(now_ms, URGENT_BURST_MS);
	uint64_t n = urgent_since(l, of_late);
	uint64_t burst = urgent_since(l, just_now);

	if (n < URGENT_ARRIVALS_MIN)
		return 0;
	return 1 + MAX(n * horizon_ms / URGENT_WINDOW_MS,
		       burst * horizon_ms / URGENT_BURST_MS);
}

/* Return the urgent stage that arrived k before the latest one. */
struct stage *estimator_urgent_sample(struct estimator *l, uint32_t k)
{
	return &l->urgent[(l->urgent_next - 1 - k) % URGENT_ARRIVALS_MAX].stage;
}

/* Record the size of a submitted job. */
void estimator_record_job(struct estimator *l, const struct job *j)
{
	struct queue_stats *r = stats_for(l, j->queue);

	r->work = running_mean(r->work, job_work(j), r->jobs);
	r->jobs++;
}

/* Return the work of j relative to the mean of its queue. */
double estimator_relative_size(const struct estimator *l, const struct job *j)
{
	const struct queue_stats *r = g_hash_table_lookup(l->queues, j->queue);

	return r && r->work > 0 ? job_work(j) / r->work : 1;
}
