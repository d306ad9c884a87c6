/* Reads log lines into records, whatever else the lines hold. */
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "lib/schema.h"
#include "report/record.h"

/* Bounds on what a job_known record may say. */
#define JOB_TASKS_MAX 100000
#define JOB_STEPS_MAX 64
/* An accelerator counts as this many cores. */
#define ACCELERATOR_CORES 8

/*
 * How the fields of an event are kept; NULL: not kept. The names are those of
 * the log records, see docs/OPERATIONS.md.
 */
struct event_format {
	const char *name;
	const char *text;
	const char *other;
	const char *value;
	const char *code;
	const char *flag;
};

static const struct event_format formats[EVENT_KINDS_COUNT] = {
	[EVENT_REQUEST_ENDED] = {"request_ended", "why", "kind", "took_ms",
				 "status", "uncertain"},
	[EVENT_REQUEST_REFUSED] = {"request_refused", "why", "kind", NULL,
				   "status", NULL},
	[EVENT_JOB_KNOWN] = {"job_known", "queue", "account", "age_ms",
			     "priority", "gang"},
	[EVENT_STAGE_WAITS] = {"stage_waits", "why", NULL, "slack_ms", "step",
			       NULL},
	[EVENT_START_DECIDED] = {"start_decided", "rack", NULL, "waited_ms",
				 "priority", NULL},
	[EVENT_START_FAILED] = {"start_failed", "outcome", NULL, NULL, NULL,
				"uncertain"},
	[EVENT_STOP_DECIDED] = {"stop_decided", "why", "for", NULL, NULL, NULL},
	[EVENT_RUN_ENDED] = {"run_ended", "how", NULL, "after_ms",
			     "confirmed_after_ms", "stopping"},
	[EVENT_JOB_STATE] = {"job_state", "state", "account", "age_ms", NULL,
			     NULL},
	[EVENT_LEADING] = {"leading", NULL, NULL, "epoch", "jobs", NULL},
	[EVENT_LEADERSHIP_LOST] = {"leadership_lost", "why", NULL, "epoch",
				   NULL, NULL},
	[EVENT_STORE_LOST] = {"store_lost", "outcome", "table", "version", NULL,
			      NULL},
	[EVENT_STORE_REGAINED] = {"store_regained", NULL, "table", NULL, NULL,
				  NULL},
	[EVENT_STARTED] = {"started", "domain", NULL, NULL, NULL, NULL},
	[EVENT_STOPPING] = {"stopping", NULL, NULL, NULL, "signal", NULL},
	[EVENT_STOOD_STILL] = {"stood_still", NULL, "table", NULL, NULL, NULL},
	[EVENT_POLICY] = {"policy", NULL, NULL, "version", NULL, NULL},
	[EVENT_UPSTREAM_PACE] = {"upstream_pace", NULL, NULL, NULL, "tasks",
				 "slow"},
	[EVENT_UPSTREAM_SILENT] = {"upstream_silent", "outcome", NULL, NULL,
				   NULL, NULL},
	[EVENT_UPSTREAM_LOST] = {"upstream_lost", "why", NULL, NULL, "tasks",
				 NULL},
	[EVENT_UPSTREAM_STATE] = {"upstream_state", NULL, NULL, NULL, "to",
				  NULL},
	[EVENT_UPSTREAM_SPEED] = {"upstream_speed", NULL, NULL,
				  "slowdown_permille", "sd_permille", NULL},
};

/* Events of the product that the report does not use. */
static const char *const other_events[] = {"stopped",
					   "reload",
					   "ready",
					   "feed_compacted",
					   "table_read_again",
					   "stale_answer",
					   "store_way",
					   "peer_refused",
					   "registration_failed",
					   "pass_slow",
					   "write_slow",
					   "loop_slow",
					   "doubt",
					   "doubt_ended",
					   "leadership_yielded",
					   "leadership_claim",
					   "leadership_gained",
					   "write_failed",
					   "stop_failed",
					   "run_done_after_all",
					   "job_cancelled",
					   "upstream_commanded",
					   "upstream_reborn",
					   "upstream_answers",
					   "upstream_unlisted",
					   "upstream_doubted",
					   "speeds_used",
					   "epoch_refused",
					   "stray_run",
					   "bad_row",
					   "job_row_missing",
					   "bad_upstream_entry",
					   "removal_failed",
					   "policy_refused",
					   "order_answer",
					   "store_answer",
					   "store_busy",
					   "listen_failed",
					   "learned_read",
					   "learned_not_read",
					   NULL};

/* Return the name of k in logs. */
const char *event_kind_name(enum event_kind k)
{
	return formats[k].name ? formats[k].name : "";
}

static void job_facts_free(void *p)
{
	struct job_facts *f = p;

	g_free(f->counts);
	g_free(f);
}

/* List the kinds of all events of the product by name. */
static GHashTable *index_kinds(void)
{
	GHashTable *t = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t k = 0; k < EVENT_KINDS_COUNT; k++)
		if (formats[k].name)
			g_hash_table_insert(t, (gpointer)formats[k].name,
					    GUINT_TO_POINTER(k));
	for (uint32_t k = 0; other_events[k]; k++)
		g_hash_table_insert(t, (gpointer)other_events[k],
				    GUINT_TO_POINTER(EVENT_OTHER));
	return t;
}

/* Create a set without records. */
struct record_set *record_set_create(void)
{
	struct record_set *s = g_new0(struct record_set, 1);

	s->records = g_array_new(FALSE, FALSE, sizeof(struct record));
	s->jobs = g_hash_table_new_full(NULL, NULL, NULL, job_facts_free);
	s->seen = g_hash_table_new(NULL, NULL);
	s->kinds = index_kinds();
	return s;
}

/* Free s; NULL is allowed. */
void record_set_destroy(struct record_set *s)
{
	if (!s)
		return;
	g_array_unref(s->records);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->seen);
	g_hash_table_destroy(s->kinds);
	g_free(s);
}

/* Return the quark of a text field of o, 0 if it has none. */
static GQuark text_field(const json_t *o, const char *name)
{
	const char *text = name ? json_str_or(o, name, NULL) : NULL;

	return text && *text ? g_quark_from_string(text) : 0;
}

static int64_t int_field(const json_t *o, const char *name)
{
	return name ? json_int_or(o, name, 0) : 0;
}

/* Keep what a job asks for; a later record of a new leader changes nothing. */
static void add_job_facts(struct record_set *s, GQuark id, const json_t *o)
{
	const json_t *counts = json_object_get(o, "counts");
	struct job_facts *f;
	uint32_t n = json_array_size(counts);

	if (!id || g_hash_table_contains(s->jobs, GUINT_TO_POINTER(id)))
		return;
	f = g_new0(struct job_facts, 1);
	f->queue = text_field(o, "queue");
	f->account = text_field(o, "account");
	f->priority = int_field(o, "priority");
	f->gang = json_is_true(json_object_get(o, "gang"));
	f->checkpoints = json_is_true(json_object_get(o, "checkpoints"));
	f->endless = json_is_true(json_object_get(o, "long_running")) ||
		     json_int_or(o, "occurrences", 1) > 1;
	f->slack_factor = json_number_value(json_object_get(o, "slack_factor"));
	f->target_ms = int_field(o, "target_ms");
	f->estimate_ms = int_field(o, "estimate_ms");
	f->cpu_milli = int_field(o, "cpu_milli");
	f->accelerators = int_field(o, "accelerators");
	f->steps_len = CLAMP(n, 1, JOB_STEPS_MAX);
	f->counts = g_new0(uint32_t, f->steps_len);
	f->counts[0] = CLAMP(int_field(o, "tasks"), 0, JOB_TASKS_MAX);
	for (uint32_t i = 0; i < MIN(n, f->steps_len); i++)
		f->counts[i] =
			CLAMP(json_integer_value(json_array_get(counts, i)), 0,
			      JOB_TASKS_MAX);
	g_hash_table_insert(s->jobs, GUINT_TO_POINTER(id), f);
}

/*
 * Set the task of r by its name, JOB.OCCURRENCE.STEP.INDEX; a name of another
 * form is ignored.
 */
static void parse_task(const char *name, struct record *r)
{
	const char *p = strchr(name, '.');
	uint64_t n[3];
	char *end;

	for (int i = 0; i < 3; i++) {
		if (!p || *p != '.')
			return;
		n[i] = g_ascii_strtoull(p + 1, &end, 10);
		p = end;
	}
	r->occurrence = MIN(n[0], UINT16_MAX);
	r->step = MIN(n[1], UINT16_MAX);
	r->task = MIN(n[2], UINT32_MAX);
	r->has_task = true;
}

/* Return the name of the task of r, empty if it has none; to be freed. */
char *record_task_name(const struct record *r)
{
	if (!r->has_task || !r->job)
		return g_strdup("");
	return g_strdup_printf("%s.%u.%u.%u", g_quark_to_string(r->job),
			       r->occurrence, r->step, r->task);
}

/* Add the record in o; returns false if it lacks what every record has. */
static bool add_record(struct record_set *s, const json_t *o)
{
	const char *event = json_str_or(o, "event", NULL);
	const json_t *time = json_object_get(o, "time_ms");
	const struct event_format *f;
	gpointer k;
	struct record r = {0};

	r.instance = text_field(o, "instance");
	if (!event || !json_is_integer(time) || !r.instance)
		return false;
	s->stats.dropped += MAX(json_int_or(o, "dropped", 0), 0);
	if (!g_hash_table_lookup_extended(s->kinds, event, NULL, &k)) {
		s->stats.unknown++;
		k = GUINT_TO_POINTER(EVENT_OTHER);
	}
	r.kind = GPOINTER_TO_UINT(k);
	f = &formats[r.kind];
	r.time_ms = json_integer_value(time);
	r.mono_ms = json_int_or(o, "mono_ms", 0);
	r.job = text_field(o, "job");
	parse_task(json_str_or(o, "task", ""), &r);
	r.upstream = text_field(o, "upstream");
	r.text = text_field(o, f->text);
	r.other = text_field(o, f->other);
	r.run = int_field(o, "run");
	r.value = CLAMP(int_field(o, f->value), INT32_MIN, INT32_MAX);
	r.code = int_field(o, f->code);
	r.flag = f->flag && json_is_true(json_object_get(o, f->flag));
	if (r.kind == EVENT_JOB_KNOWN)
		add_job_facts(s, r.job, o);
	g_array_append_val(s->records, r);
	s->stats.records++;
	return true;
}

/*
 * Add the record of a line, which may have a prefix before the JSON object and
 * may be cut off or of another program: such lines are counted.
 */
void record_set_add_line(struct record_set *s, const char *line, size_t len)
{
	const char *start = memchr(line, '{', len);
	json_t *o;
	uint64_t hash;

	s->stats.lines++;
	if (!start) {
		s->stats.foreign++;
		return;
	}
	len -= start - line;
	hash = XXH3_64bits(start, len);
	if (!g_hash_table_add(s->seen, (gpointer)(uintptr_t)hash)) {
		s->stats.duplicates++;
		return;
	}
	o = json_loadb(start, len, JSON_DISABLE_EOF_CHECK, NULL);
	if (!o || !add_record(s, o))
		s->stats.malformed++;
	json_decref(o);
}

/* Free what is needed only while lines are added. */
void record_set_end_input(struct record_set *s)
{
	g_hash_table_remove_all(s->seen);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct record *x = a, *y = b;

	return x->time_ms < y->time_ms ? -1 : x->time_ms > y->time_ms;
}

/* Sort the records by time; the order of the input decides between equals. */
void record_set_sort(struct record_set *s)
{
	g_array_sort(s->records, compare_times);
}

/* Return what is known of a job; NULL if no record says what it asks for. */
const struct job_facts *record_set_find_job(const struct record_set *s,
					    GQuark id)
{
	return g_hash_table_lookup(s->jobs, GUINT_TO_POINTER(id));
}

/* Return the cores that a task of the job takes, with its accelerators. */
double job_facts_cores(const struct job_facts *f)
{
	return f->cpu_milli / 1000.0 +
	       (double)f->accelerators * ACCELERATOR_CORES;
}
