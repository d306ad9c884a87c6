/* Prints tables: a summary by kind of job, moments, waste, one job. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "report/doubles.h"
#include "report/window.h"

/* Windows that are printed. */
#define MOMENTS_MAX 6
/* Shares of the largest jobs of a queue that form classes of their own. */
#define LARGEST_SHARE 0.1
#define LARGE_SHARE 0.3

enum size_class { SIZE_LARGEST, SIZE_LARGE, SIZE_OTHER, SIZE_CLASSES_COUNT };

static const char *const size_names[SIZE_CLASSES_COUNT] = {"largest", "large",
							   "other"};

/* A row of the summary. */
struct row {
	char *account;
	char *queue;
	char *size;
	int32_t priority;
	uint32_t outcomes[OUTCOMES_COUNT];
	uint32_t jobs;
	GArray *taken_ms; /* double, of the jobs that were completed */
	int64_t by_cause_ms[CAUSES_COUNT];
};

/* Report whether j passes the filter of r. */
bool report_includes(const struct report *r, const struct job_history *j)
{
	const struct report_filter *f = &r->filter;
	double at_s = (j->first_ms - r->history->first_ms) / 1000.0;

	if (f->account &&
	    (!j->facts ||
	     g_strcmp0(g_quark_to_string(j->facts->account), f->account)))
		return false;
	if (f->queue &&
	    (!j->facts ||
	     g_strcmp0(g_quark_to_string(j->facts->queue), f->queue)))
		return false;
	if (f->since_s && at_s < f->since_s)
		return false;
	return !f->until_s || at_s < f->until_s;
}

/* Print o as a line of JSON and free it. */
static void print_json(const struct report *r, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	fprintf(r->out, "%s\n", text);
	free(text);
	json_decref(o);
}

static double job_work(const struct job_facts *f)
{
	double tasks = 0;

	for (uint32_t i = 0; i < f->steps_len; i++)
		tasks += f->counts[i];
	return tasks * f->estimate_ms * job_facts_cores(f);
}

/* The work of the jobs of each queue, sorted. */
static GHashTable *work_by_queue(const struct report *r)
{
	GHashTable *t = g_hash_table_new_full(NULL, NULL, NULL,
					      (GDestroyNotify)g_array_unref);
	GHashTableIter it;
	gpointer v;

	for (guint i = 0; i < r->history->jobs->len; i++) {
		const struct job_history *j =
			g_ptr_array_index(r->history->jobs, i);
		gpointer key;
		GArray *a;
		double work;

		if (!j->facts)
			continue;
		key = GUINT_TO_POINTER(j->facts->queue);
		a = g_hash_table_lookup(t, key);
		if (!a) {
			a = g_array_new(FALSE, FALSE, sizeof(double));
			g_hash_table_insert(t, key, a);
		}
		work = job_work(j->facts);
		g_array_append_val(a, work);
	}
	g_hash_table_iter_init(&it, t);
	while (g_hash_table_iter_next(&it, NULL, &v))
		doubles_sort(v);
	return t;
}

static enum size_class size_class_of(GHashTable *works,
				     const struct job_facts *f)
{
	GArray *a = g_hash_table_lookup(works, GUINT_TO_POINTER(f->queue));
	double work = job_work(f);

	if (work > doubles_quantile(a, 1 - LARGEST_SHARE))
		return SIZE_LARGEST;
	if (work > doubles_quantile(a, 1 - LARGE_SHARE))
		return SIZE_LARGE;
	return SIZE_OTHER;
}

static void row_free(void *p)
{
	struct row *w = p;

	g_free(w->account);
	g_free(w->queue);
	g_free(w->size);
	g_array_unref(w->taken_ms);
	g_free(w);
}

/* Return the row for these names, added if it is missing. */
static struct row *row_for(GPtrArray *rows, const char *account,
			   const char *queue, const char *size)
{
	struct row *w;

	for (guint i = 0; i < rows->len; i++) {
		w = g_ptr_array_index(rows, i);
		if (!strcmp(w->account, account) && !strcmp(w->queue, queue) &&
		    !strcmp(w->size, size))
			return w;
	}
	w = g_new0(struct row, 1);
	w->account = g_strdup(account);
	w->queue = g_strdup(queue);
	w->size = g_strdup(size);
	w->taken_ms = g_array_new(FALSE, FALSE, sizeof(double));
	g_ptr_array_add(rows, w);
	return w;
}

static void add_to_row(struct row *w, const struct job_history *j)
{
	double taken = j->ended_ms - j->first_ms;

	w->jobs++;
	w->outcomes[j->outcome]++;
	w->priority = j->facts ? j->facts->priority : -1;
	if (j->outcome == OUTCOME_IN_TIME || j->outcome == OUTCOME_LATE)
		g_array_append_val(w->taken_ms, taken);
	for (int c = 0; c < CAUSES_COUNT; c++)
		w->by_cause_ms[c] += j->by_cause_ms[c];
}

static gint compare_rows(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(struct row *const *)a,
			 *y = *(struct row *const *)b;
	int order = strcmp(x->account, y->account);

	if (!order)
		order = strcmp(x->queue, y->queue);
	return order ? order : strcmp(x->size, y->size);
}

/* Return an object with the time of each cause. */
static json_t *causes_json(const int64_t by_cause_ms[CAUSES_COUNT])
{
	json_t *o = json_object();

	for (int c = 0; c < CAUSES_COUNT; c++)
		json_object_set_new(o, cause_name(c),
				    json_integer(by_cause_ms[c]));
	return o;
}

static void print_row(const struct report *r, const struct row *w)
{
	uint32_t missed =
		w->outcomes[OUTCOME_FAILED] + w->outcomes[OUTCOME_OPEN];
	json_t *o;

	if (!r->json) {
		fprintf(r->out,
			"%-14s %-10s %-7s %5u %7u %5u %6u %9u %7.0f %7.0f  ",
			w->account, w->queue, w->size, w->jobs,
			w->outcomes[OUTCOME_IN_TIME], w->outcomes[OUTCOME_LATE],
			missed, w->outcomes[OUTCOME_CANCELLED],
			doubles_quantile(w->taken_ms, 0.5),
			doubles_quantile(w->taken_ms, 0.99));
		for (int c = 0; c < CAUSES_COUNT; c++)
			if (w->by_cause_ms[c] >= 50)
				fprintf(r->out, " %s %.1f", cause_name(c),
					w->by_cause_ms[c] / 1000.0);
		fputc('\n', r->out);
		return;
	}
	o = json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:f,s:o}", "record",
		      "summary", "account", w->account, "queue", w->queue,
		      "size", w->size, "priority", (int)w->priority, "jobs",
		      (int)w->jobs, "median_ms",
		      doubles_quantile(w->taken_ms, 0.5), "p99_ms",
		      doubles_quantile(w->taken_ms, 0.99), "by_cause_ms",
		      causes_json(w->by_cause_ms));
	for (int i = 0; i < OUTCOMES_COUNT; i++)
		json_object_set_new(o, outcome_name(i),
				    json_integer(w->outcomes[i]));
	print_json(r, o);
}

/*
 * Print a row for each queue, and for each account and size class with jobs
 * in it. Times by cause are sums over the jobs.
 */
static void print_summary(const struct report *r)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(row_free);
	GHashTable *works = work_by_queue(r);

	for (guint i = 0; i < r->history->jobs->len; i++) {
		const struct job_history *j =
			g_ptr_array_index(r->history->jobs, i);
		const char *queue = "-", *account = "-", *size = "-";

		if (!report_includes(r, j))
			continue;
		if (j->facts) {
			queue = g_quark_to_string(j->facts->queue);
			account = g_quark_to_string(j->facts->account);
			size = size_names[size_class_of(works, j->facts)];
		}
		queue = queue ? queue : "-";
		account = account ? account : "-";
		add_to_row(row_for(rows, "all", "all", "all"), j);
		add_to_row(row_for(rows, "all", queue, "all"), j);
		add_to_row(row_for(rows, "all", queue, size), j);
		add_to_row(row_for(rows, account, queue, "all"), j);
	}
	g_ptr_array_sort(rows, compare_rows);
	if (!r->json)
		fprintf(r->out,
			"%-14s %-10s %-7s %5s %7s %5s %6s %9s %7s %7s   %s\n",
			"ACCOUNT", "QUEUE", "SIZE", "JOBS", "IN_TIME", "LATE",
			"MISSED", "CANCELLED", "P50_MS", "P99_MS",
			"SECONDS_BY_CAUSE");
	for (guint i = 0; i < rows->len; i++) {
		struct row *w = g_ptr_array_index(rows, i);

		doubles_sort(w->taken_ms);
		print_row(r, w);
	}
	g_hash_table_destroy(works);
	g_ptr_array_free(rows, TRUE);
}

/* Print where the time of the jobs went that were not served in time. */
static void print_losses(const struct report *r)
{
	int64_t sum[CAUSES_COUNT] = {0};
	uint32_t first[CAUSES_COUNT] = {0}, jobs = 0;

	for (guint i = 0; i < r->history->jobs->len; i++) {
		const struct job_history *j =
			g_ptr_array_index(r->history->jobs, i);
		int largest = CAUSE_SUBMITTING;

		if (!job_history_missed(j) || !report_includes(r, j))
			continue;
		jobs++;
		for (int c = 0; c < CAUSES_COUNT; c++) {
			sum[c] += j->by_cause_ms[c];
			if (c != CAUSE_RUNNING &&
			    j->by_cause_ms[c] > j->by_cause_ms[largest])
				largest = c;
		}
		first[largest]++;
	}
	if (!r->json)
		fprintf(r->out, "\n%u jobs not served in time\n%-13s %8s %s\n",
			jobs, "CAUSE", "SECONDS", "JOBS_MOSTLY_BY_IT");
	for (int c = 0; c < CAUSES_COUNT; c++) {
		if (!sum[c])
			continue;
		if (r->json)
			print_json(r, json_pack("{s:s,s:s,s:I,s:i}", "record",
						"loss", "cause", cause_name(c),
						"ms", (json_int_t)sum[c],
						"jobs", (int)first[c]));
		else
			fprintf(r->out, "%-13s %8.1f %u\n", cause_name(c),
				sum[c] / 1000.0, first[c]);
	}
}

static gint compare_windows(gconstpointer a, gconstpointer b)
{
	const struct window *x = a, *y = b;

	if (x->lost_ms != y->lost_ms)
		return x->lost_ms > y->lost_ms ? -1 : 1;
	return x->from_ms < y->from_ms ? -1 : x->from_ms > y->from_ms;
}

static void print_moment(const struct report *r, const struct window *w)
{
	double at_s = (w->from_ms - r->history->first_ms) / 1000.0;
	json_t *events;

	if (!r->json) {
		fprintf(r->out, "%8.1f %8.1f  ", at_s, w->lost_ms / 1000.0);
		for (int c = 0; c < CAUSES_COUNT; c++)
			if (w->by_cause_ms[c] * 10 >= w->lost_ms)
				fprintf(r->out, " %s %.1f", cause_name(c),
					w->by_cause_ms[c] / 1000.0);
		fputs(";", r->out);
		for (int k = 0; k < EVENT_KINDS_COUNT; k++)
			if (w->events[k] && event_is_notable(k))
				fprintf(r->out, " %s %u", event_kind_name(k),
					w->events[k]);
		fputc('\n', r->out);
		return;
	}
	events = json_object();
	for (int k = 0; k < EVENT_KINDS_COUNT; k++)
		if (w->events[k] && event_is_notable(k))
			json_object_set_new(events, event_kind_name(k),
					    json_integer(w->events[k]));
	print_json(r,
		   json_pack("{s:s,s:I,s:I,s:o,s:o}", "record", "moment",
			     "at_ms",
			     (json_int_t)(w->from_ms - r->history->first_ms),
			     "lost_ms", (json_int_t)w->lost_ms, "by_cause_ms",
			     causes_json(w->by_cause_ms), "events", events));
}

/* Print the windows in which most time was lost. */
static void print_moments(const struct report *r)
{
	GArray *a = windows_create(r);

	g_array_sort(a, compare_windows);
	if (!r->json)
		fprintf(r->out, "\n%8s %8s   %s\n", "AT_S", "LOST_S",
			"CAUSES; EVENTS");
	for (guint i = 0; i < MIN(a->len, MOMENTS_MAX); i++)
		if (g_array_index(a, struct window, i).lost_ms)
			print_moment(r, &g_array_index(a, struct window, i));
	g_array_unref(a);
}

/* Print what the input lacks and what was found about clocks. */
static void print_input(const struct report *r)
{
	const struct record_stats *t = &r->set->stats;
	uint32_t missing = 0;

	for (guint i = 0; i < r->history->jobs->len; i++)
		missing += ((struct job_history *)g_ptr_array_index(
				    r->history->jobs, i))
				   ->submission_missing;
	if (r->json)
		print_json(r,
			   json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i}",
				     "record", "input", "lines",
				     (json_int_t)t->lines, "records",
				     (json_int_t)t->records, "foreign",
				     (json_int_t)t->foreign, "malformed",
				     (json_int_t)t->malformed, "unknown",
				     (json_int_t)t->unknown, "duplicates",
				     (json_int_t)t->duplicates, "dropped",
				     (json_int_t)t->dropped,
				     "jobs_without_submission", (int)missing));
	else
		fprintf(r->out,
			"%" PRIu64 " lines: %" PRIu64 " records, %" PRIu64
			" foreign, %" PRIu64 " malformed, %" PRIu64
			" of unknown events, %" PRIu64 " duplicates; %" PRIu64
			" records were dropped when written; %u jobs without "
			"a record of their submission\n",
			t->lines, t->records, t->foreign, t->malformed,
			t->unknown, t->duplicates, t->dropped, missing);
	for (guint i = 0; i < r->clocks->len; i++) {
		const struct clock_note *n =
			&g_array_index(r->clocks, struct clock_note, i);
		const char *name = g_quark_to_string(n->instance);

		if (!n->offset_ms && !n->steps)
			continue;
		if (r->json)
			print_json(r, json_pack("{s:s,s:s,s:I,s:i}", "record",
						"clock", "instance", name,
						"offset_ms",
						(json_int_t)n->offset_ms,
						"steps", (int)n->steps));
		else
			fprintf(r->out,
				"%s: clock ahead by %" PRId64
				" ms, set %u times\n",
				name, n->offset_ms, n->steps);
	}
}

/* Print the whole report. */
void report_print(const struct report *r)
{
	print_input(r);
	if (!r->json)
		fputc('\n', r->out);
	print_summary(r);
	print_losses(r);
	print_moments(r);
}

/* Print the work that ended without use, the most first. */
void report_print_waste(const struct report *r)
{
	const GArray *a = r->history->wastes;

	if (!r->json)
		fprintf(r->out, "%-10s %-14s %-10s %6s %11s %12s\n", "QUEUE",
			"CAUSE", "FOR", "RUNS", "CHECKPOINTS", "CORE_SECONDS");
	for (guint i = 0; i < a->len; i++) {
		const struct waste *w = &g_array_index(a, struct waste, i);
		const char *other =
			w->for_queue ? g_quark_to_string(w->for_queue) : "-";

		if (r->json)
			print_json(r,
				   json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:f}",
					     "record", "waste", "queue",
					     g_quark_to_string(w->queue),
					     "cause",
					     g_quark_to_string(w->cause), "for",
					     other, "runs", (int)w->runs,
					     "with_checkpoints",
					     (int)w->with_checkpoints,
					     "core_seconds", w->core_seconds));
		else
			fprintf(r->out, "%-10s %-14s %-10s %6u %11u %12.0f\n",
				g_quark_to_string(w->queue),
				g_quark_to_string(w->cause), other, w->runs,
				w->with_checkpoints, w->core_seconds);
	}
}

static const struct job_history *find_history(const struct report *r,
					      const char *id)
{
	GQuark q = g_quark_try_string(id);

	for (guint i = 0; q && i < r->history->jobs->len; i++) {
		const struct job_history *j =
			g_ptr_array_index(r->history->jobs, i);

		if (j->id == q)
			return j;
	}
	return NULL;
}

static const char *text_or_empty(GQuark q)
{
	return q ? g_quark_to_string(q) : "";
}

static void print_job_record(const struct report *r, const struct record *x)
{
	int64_t at_ms = x->time_ms - r->history->first_ms;
	char *task = record_task_name(x);

	if (r->json)
		print_json(r, json_pack("{s:s,s:I,s:s,s:s,s:s,s:s,s:i,s:s,s:i}",
					"record", "event", "at_ms",
					(json_int_t)at_ms, "instance",
					text_or_empty(x->instance), "event",
					event_kind_name(x->kind), "task", task,
					"upstream", text_or_empty(x->upstream),
					"run", (int)x->run, "text",
					text_or_empty(x->text), "value",
					(int)x->value));
	else
		fprintf(r->out, "%9.3f  %-18s %-16s %-26s %3d  %-14s %s %s\n",
			at_ms / 1000.0, text_or_empty(x->instance),
			event_kind_name(x->kind), task, x->run,
			text_or_empty(x->upstream), text_or_empty(x->text),
			text_or_empty(x->other));
	g_free(task);
}

/*
 * Print the time line of a job over all instances and the cause of each part
 * of its time. Returns false if no record names it.
 */
bool report_print_job(const struct report *r, const char *id)
{
	const struct job_history *j = find_history(r, id);

	if (!j)
		return false;
	for (guint i = 0; i < r->set->records->len; i++) {
		const struct record *x =
			&g_array_index(r->set->records, struct record, i);

		if (x->job == j->id && x->kind != EVENT_OTHER)
			print_job_record(r, x);
	}
	for (guint i = 0; i < j->spans->len; i++) {
		const struct span *s = &g_array_index(j->spans, struct span, i);
		int64_t at_ms = s->from_ms - r->history->first_ms;

		if (r->json)
			print_json(
				r,
				json_pack("{s:s,s:s,s:I,s:I}", "record", "span",
					  "cause", cause_name(s->cause),
					  "at_ms", (json_int_t)at_ms, "ms",
					  (json_int_t)(s->to_ms - s->from_ms)));
		else
			fprintf(r->out, "%9.3f  %8.3f s  %s\n", at_ms / 1000.0,
				(s->to_ms - s->from_ms) / 1000.0,
				cause_name(s->cause));
	}
	if (r->json)
		print_json(r, json_pack("{s:s,s:s,s:s,s:I,s:I}", "record",
					"job", "job", id, "outcome",
					outcome_name(j->outcome), "taken_ms",
					(json_int_t)(j->ended_ms - j->first_ms),
					"objective_ms",
					(json_int_t)j->objective_ms));
	else
		fprintf(r->out, "%s: %s after %.3f s, objective %.3f s\n", id,
			outcome_name(j->outcome),
			(j->ended_ms - j->first_ms) / 1000.0,
			j->objective_ms / 1000.0);
	if (j->submission_missing)
		fprintf(stderr,
			"lacewingctl: %s: no record of its submission; "
			"the log of the instance asked is missing\n",
			id);
	if (!j->facts)
		fprintf(stderr,
			"lacewingctl: %s: no job_known record; the "
			"leader's log is missing or it dropped some\n",
			id);
	if (r->set->stats.dropped)
		fprintf(stderr,
			"lacewingctl: the instances dropped %" PRIu64
			" records, so this may be incomplete\n",
			r->set->stats.dropped);
	return true;
}
