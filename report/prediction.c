/* Replays the ends of runs and compares them with what was expected. */
#include <gsl/gsl_statistics_double.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "report/prediction.h"
#include "sched/estimator.h"

/* The share of runs that the quantile which is checked should cover. */
#define QUANTILE 0.9

/* What was observed of one queue. */
struct queue_errors {
	GQuark queue;
	GArray *estimate; /* double, by run */
	GArray *mean;
	GArray *learned;
	uint32_t within;
	double log_sum; /* of the logarithms of the durations */
};

static void queue_errors_free(void *p)
{
	struct queue_errors *q = p;

	g_array_unref(q->estimate);
	g_array_unref(q->mean);
	g_array_unref(q->learned);
	g_free(q);
}

static struct queue_errors *errors_for(GHashTable *queues, GQuark queue)
{
	struct queue_errors *q =
		g_hash_table_lookup(queues, GUINT_TO_POINTER(queue));

	if (q)
		return q;
	q = g_new0(struct queue_errors, 1);
	q->queue = queue;
	q->estimate = g_array_new(FALSE, FALSE, sizeof(double));
	q->mean = g_array_new(FALSE, FALSE, sizeof(double));
	q->learned = g_array_new(FALSE, FALSE, sizeof(double));
	g_hash_table_insert(queues, GUINT_TO_POINTER(queue), q);
	return q;
}

/*
 * Return a job as the leader knew it. The records hold the needs and the
 * estimate of the first step only; its memory and later steps are unknown.
 */
static struct job *job_of(const struct job_facts *f)
{
	struct job *j = job_create("0000000000000000");
	struct step *s = job_add_step(j);
	const char *queue = f->queue ? g_quark_to_string(f->queue) : "";
	const char *account = f->account ? g_quark_to_string(f->account) : "";

	text_set(&j->queue, queue);
	text_set(&j->account, account);
	s->count = MAX(f->counts[0], 1);
	s->need.cpu_milli = f->cpu_milli;
	s->need.accelerators = f->accelerators;
	s->estimate_ms = CLAMP(f->estimate_ms, 0, UINT32_MAX);
	s->gang = f->gang;
	return j;
}

static void add_error(GArray *errors, double expected_ms, double took_ms)
{
	double e = fabs(log(MAX(expected_ms, 1) / took_ms));

	g_array_append_val(errors, e);
}

/* Compare a completed run with what was expected of it. */
static void compare_run(struct queue_errors *q, const struct estimator *e,
			const struct job *j, double took_ms)
{
	struct duration_estimate d = estimator_duration(e, j, 0);
	uint32_t n = q->estimate->len;
	double estimate_ms = j->steps[0].estimate_ms;

	add_error(q->mean, n ? exp(q->log_sum / n) : estimate_ms, took_ms);
	add_error(q->estimate, estimate_ms, took_ms);
	add_error(q->learned, d.median_ms, took_ms);
	q->within += took_ms <= duration_quantile_ms(&d, QUANTILE);
	q->log_sum += log(took_ms);
}

/* Return a name of the run of r as one leader knows it, to be freed. */
static char *run_name(const struct record *r)
{
	char *task = record_task_name(r);
	char *name = g_strdup_printf(
		"%s/%d/%s", task, r->run,
		r->instance ? g_quark_to_string(r->instance) : "");

	g_free(task);
	return name;
}

/* The starts and ends that the replay has passed. */
struct passed {
	GHashTable *started; /* names of runs */
	GHashTable *ended;   /* names of tasks */
};

/*
 * Report whether the run that ends with r was a whole one: the same leader has
 * placed it, and it cannot have begun at a checkpoint of an earlier run.
 */
static bool is_whole_run(struct passed *p, const struct record *r,
			 const struct job_facts *f)
{
	char *name = run_name(r);
	bool placed = g_hash_table_remove(p->started, name);
	bool first = g_hash_table_add(p->ended, record_task_name(r));

	g_free(name);
	return placed && (first || !f->checkpoints);
}

/*
 * Learn from a run that has ended, as the leader does, and compare one that was
 * completed with what was expected of it before.
 */
static void replay_end(GHashTable *queues, struct estimator *e, struct job *j,
		       const struct job_facts *f, const struct record *r)
{
	const char *how = r->text ? g_quark_to_string(r->text) : "";
	uint64_t took_ms = MAX(r->value, 1);

	if (!strcmp(how, run_end_name(RUN_DONE))) {
		compare_run(errors_for(queues, f->queue), e, j, took_ms);
		estimator_record_run(e, j, 0, took_ms);
	} else if (r->code >= 0 &&
		   (!strcmp(how, run_end_name(RUN_FAILED)) ||
		    !strcmp(how, run_end_name(RUN_STOPPED)) ||
		    !strcmp(how, run_end_name(RUN_GANG_BROKEN)))) {
		estimator_record_stopped(e, j, 0, took_ms);
	}
}

static double median(GArray *errors)
{
	return gsl_stats_median((double *)(void *)errors->data, 1, errors->len);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct prediction_error *x = a, *y = b;

	return strcmp(x->queue ? g_quark_to_string(x->queue) : "",
		      y->queue ? g_quark_to_string(y->queue) : "");
}

/* Return the errors by queue, in the order of their names. */
static GArray *summarize(GHashTable *queues)
{
	GArray *list =
		g_array_new(FALSE, TRUE, sizeof(struct prediction_error));
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, queues);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct queue_errors *q = value;
		struct prediction_error x = {.queue = q->queue,
					     .runs = q->estimate->len,
					     .estimate = median(q->estimate),
					     .mean = median(q->mean),
					     .learned = median(q->learned)};

		x.within_90 = (double)q->within / x.runs;
		g_array_append_val(list, x);
	}
	g_array_sort(list, compare_names);
	return list;
}

/*
 * Return the errors (struct prediction_error) by queue; free with
 * g_array_unref. The records must be sorted. Runs of later steps are left out,
 * as the records do not hold their estimates.
 */
GArray *predictions_evaluate(const struct report *r)
{
	GHashTable *queues =
		g_hash_table_new_full(NULL, NULL, NULL, queue_errors_free);
	GHashTable *jobs = g_hash_table_new_full(NULL, NULL, NULL,
						 (GDestroyNotify)job_destroy);
	struct passed p = {
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
	struct estimator *e = estimator_create();
	GArray *list;

	for (guint i = 0; i < r->set->records->len; i++) {
		const struct record *x =
			&g_array_index(r->set->records, struct record, i);
		const struct job_facts *f;
		gpointer id = GUINT_TO_POINTER(x->job);

		if (x->kind == EVENT_START_DECIDED)
			g_hash_table_add(p.started, run_name(x));
		if (x->kind != EVENT_RUN_ENDED || x->step || !x->has_task)
			continue;
		f = record_set_find_job(r->set, x->job);
		if (!f || f->endless || !is_whole_run(&p, x, f))
			continue;
		if (!g_hash_table_contains(jobs, id))
			g_hash_table_insert(jobs, id, job_of(f));
		replay_end(queues, e, g_hash_table_lookup(jobs, id), f, x);
	}
	list = summarize(queues);
	estimator_destroy(e);
	g_hash_table_destroy(p.started);
	g_hash_table_destroy(p.ended);
	g_hash_table_destroy(jobs);
	g_hash_table_destroy(queues);
	return list;
}

static void print_object(const struct report *r,
			 const struct prediction_error *x, const char *queue)
{
	json_t *o = json_pack("{s:s,s:i,s:f,s:f,s:f,s:f}", "queue", queue,
			      "runs", (int)x->runs, "estimate", x->estimate,
			      "mean", x->mean, "learned", x->learned,
			      "within_90", x->within_90);
	char *text =
		o ? json_dumps(o, JSON_COMPACT | JSON_REAL_PRECISION(4)) : NULL;

	if (text)
		fprintf(r->out, "%s\n", text);
	free(text);
	json_decref(o);
}

/* Print the errors by queue. */
void predictions_print(const struct report *r)
{
	GArray *list = predictions_evaluate(r);

	if (!r->json)
		fprintf(r->out,
			"%-24s %7s  %-30s %9s\n%-24s %7s  %9s %9s %9s "
			"%9s\n",
			"", "", "median error of the logarithm", "within",
			"queue", "runs", "estimate", "mean", "learned", "90 %");
	for (guint i = 0; i < list->len; i++) {
		const struct prediction_error *x =
			&g_array_index(list, struct prediction_error, i);
		const char *queue = x->queue ? g_quark_to_string(x->queue) : "";

		if (r->json)
			print_object(r, x, queue);
		else
			fprintf(r->out, "%-24s %7u  %9.3f %9.3f %9.3f %9.3f\n",
				queue, x->runs, x->estimate, x->mean,
				x->learned, x->within_90);
	}
	g_array_unref(list);
}
