/* JSON encoding of the row values. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "config/policy.h"
#include "lead/record.h"
#include "lead/tenure.h"
#include "lib/address.h"
#include "lib/log.h"
#include "lib/loop.h"
#include "lib/schema.h"
#include "platform/bounds.h"
#include "sched/fleet.h"
#include "sched/footprint.h"

/* A job that takes more memory was not accepted. */
#define JOB_BYTES_MAX (64 << 20)

/* A higher number of a run or of failures was not written by a leader. */
#define RUN_NUMBER_MAX INT32_MAX

const char *const job_parts[JOB_PARTS + 1] = {"0", "1", "2", "3", "4",
					      "5", "6", "7", NULL};

/*
 * Return the part that holds the rows of a job in the tables that any
 * instance may write.
 */
const char *job_part(const char *id)
{
	return job_parts[(unsigned char)id[0] % JOB_PARTS];
}

/*
 * Encode v, which is released, as the value of a row; release with free().
 * Returns NULL if v is NULL or cannot be encoded.
 */
static char *encode_value(json_t *v, const char *table, const char *id)
{
	char *s = v ? json_dumps(v, JSON_COMPACT) : NULL;

	if (!s)
		log_fields(LOG_ERROR, "row_not_encoded", "{s:s,s:s}", "table",
			   table, "job", id);
	json_decref(v);
	return s;
}

/* Encode the owner record; release with free(). */
char *owner_encode(const struct owner_record *o)
{
	json_t *v = json_pack("{s:s,s:I,s:I,s:I,s:I}", "instance", o->instance,
			      "incarnation", (json_int_t)o->incarnation,
			      "epoch", (json_int_t)o->epoch, "sequence",
			      (json_int_t)o->sequence, "earlier_ms",
			      (json_int_t)o->earlier_ms);

	return encode_value(v, OWNER_TABLE, "");
}

/*
 * Decode the owner record; returns false for a malformed value. A row of a
 * version that did not write earlier_ms gets the maximum.
 */
bool owner_decode(const char *text, struct owner_record *o)
{
	json_t *v = json_loads(text, 0, NULL);
	const json_t *instance = json_object_get(v, "instance");
	int64_t epoch = json_int_or(v, "epoch", -1);
	int64_t earlier_ms = json_int_or(v, "earlier_ms", TENURE_MS);
	bool ok = json_is_string(instance) &&
		  json_string_length(instance) < sizeof(o->instance) &&
		  epoch >= 0 && epoch <= COUNTER_MAX;

	memset(o, 0, sizeof(*o));
	if (ok) {
		g_strlcpy(o->instance, json_string_value(instance),
			  sizeof(o->instance));
		o->incarnation = json_int_or(v, "incarnation", 0);
		o->epoch = epoch;
		o->sequence = json_int_or(v, "sequence", 0);
		o->earlier_ms = CLAMP(earlier_ms, 0, TENURE_MS);
	}
	json_decref(v);
	return ok;
}

/* A flag of a step, encoded as a letter. */
struct step_flag {
	char letter;
	size_t offset;
};

static const struct step_flag step_flags[] = {
	{'c', offsetof(struct step, checkpoints)},
	{'g', offsetof(struct step, gang)},
	{'r', offsetof(struct step, rack_sensitive)},
	{'p', offsetof(struct step, speculative)},
	{'l', offsetof(struct step, long_running)},
	{'f', offsetof(struct step, best_effort_cpu)},
};

/* Returns NULL if a text of s is not valid UTF-8. */
static json_t *step_encode(const struct step *s)
{
	char letters[G_N_ELEMENTS(step_flags) + 1];
	json_t *after = json_array();
	size_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(step_flags); i++)
		if (*((const bool *)((const char *)s + step_flags[i].offset)))
			letters[n++] = step_flags[i].letter;
	letters[n] = '\0';
	for (uint32_t i = 0; i < s->after_len; i++)
		json_array_append_new(after, json_integer(s->after[i]));
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:o,s:s,s:I,s:I,s:I,s:s,s:s,"
		"s:s}",
		"count", (json_int_t)s->count, "cpu_milli",
		(json_int_t)s->need.cpu_milli, "memory_mb",
		(json_int_t)s->need.memory_mb, "accelerators",
		(json_int_t)s->need.accelerators, "estimate_ms",
		(json_int_t)s->estimate_ms, "after", after, "flags", letters,
		"spread", (json_int_t)s->max_tasks_per_upstream,
		"max_unavailable", (json_int_t)s->max_unavailable, "target_ms",
		(json_int_t)s->target_ms, "label", s->label, "data_rack",
		s->data_rack, "image", s->image);
}

/* Encode the queue, account and memory of j; release with free(). */
char *job_encode(const struct job *j)
{
	json_t *v =
		json_pack("{s:s,s:s,s:I}", "queue", j->queue, "account",
			  j->account, "bytes", (json_int_t)footprint_bytes(j));

	return encode_value(v, JOB_TABLE, j->id);
}

/*
 * Hold the string called name in o, empty if there is none, as *to. Returns false
 * if it is of another type.
 */
static bool read_text(const json_t *o, const char *name, const char **to)
{
	const json_t *v = json_object_get(o, name);

	text_set(to, json_str_or(o, name, ""));
	return !v || json_is_string(v);
}

/*
 * Decode a value of job_encode; returns false for a malformed value. The texts
 * of r are released with job_record_clear.
 */
bool job_decode(const char *text, struct job_record *r)
{
	json_t *v = json_loads(text, 0, NULL);
	int64_t bytes = JOB_BYTES_DEFAULT;
	bool ok;

	memset(r, 0, sizeof(*r));
	ok = read_text(v, "queue", &r->queue) &&
	     read_text(v, "account", &r->account) && *r->queue;
	if (!json_read_int(v, "bytes", 0, JOB_BYTES_MAX, &bytes))
		bytes = JOB_BYTES_DEFAULT;
	r->bytes = bytes;
	if (!ok)
		job_record_clear(r);
	json_decref(v);
	return ok;
}

/* Let go of the texts of r. */
void job_record_clear(struct job_record *r)
{
	text_clear(&r->queue);
	text_clear(&r->account);
}

/* Encode a cancel request; release with free(). */
char *cancel_encode(const struct cancel_record *r)
{
	return encode_value(json_pack("{s:I}", "at_ms", (json_int_t)r->at_ms),
			    JOB_TABLE, "");
}

/*
 * Decode a cancel request. Its presence alone counts, so that of a version that
 * did not write its time, or a malformed one, is of an unknown time.
 */
void cancel_decode(const char *text, struct cancel_record *r)
{
	json_t *v = json_loads(text, 0, NULL);
	int64_t at_ms = 0;

	json_read_int(v, "at_ms", 0, COUNTER_MAX, &at_ms);
	r->at_ms = at_ms;
	json_decref(v);
}

/* Encode the state of j; release with free(). */
char *state_encode(const struct job *j)
{
	json_t *v = json_pack("{s:s,s:I}", "state", job_state_name(j->state),
			      "ended_ms", (json_int_t)j->ended_ms);

	return encode_value(v, STATE_TABLE, j->id);
}

/* Decode a value of state_encode; returns false for a malformed value. */
bool state_decode(const char *text, struct state_record *r)
{
	json_t *v = json_loads(text, 0, NULL);
	int64_t ended_ms = 0;
	bool ok = job_state_parse(json_str_or(v, "state", ""), &r->state) &&
		  json_read_int(v, "ended_ms", 0, COUNTER_MAX, &ended_ms);

	r->ended_ms = ended_ms;
	json_decref(v);
	return ok;
}

/*
 * Report whether a job reached its final state before before_ms on the
 * store's clock; a job without a recorded time never expires.
 */
bool state_expired(const struct state_record *r, uint64_t before_ms)
{
	return job_state_is_final(r->state) && r->ended_ms &&
	       r->ended_ms < before_ms;
}

/*
 * Encode the settings of j's queue; NULL if they are not known or cannot be
 * encoded.
 */
static json_t *settings_encode(const struct job *j)
{
	if (!j->queue_known)
		return NULL;
	return json_pack("{s:s,s:I,s:I,s:f,s:I}", "service", j->service,
			 "priority", (json_int_t)j->priority, "max_attempts",
			 (json_int_t)j->max_attempts, "slack_factor",
			 j->slack_factor, "target_ms",
			 (json_int_t)j->target_ms);
}

/* Decode the settings of j's queue; v is NULL if they are not recorded. */
static void settings_decode(const json_t *v, struct job *j)
{
	const char *service = json_str_or(v, "service", "");

	if (!*service)
		return;
	j->queue_known = true;
	job_set_service(j, service);
	j->priority =
		CLAMP(json_int_or(v, "priority", 0), 0, QUEUE_PRIORITY_MAX);
	j->max_attempts =
		CLAMP(json_int_or(v, "max_attempts", 1), 1, QUEUE_ATTEMPTS_MAX);
	j->slack_factor = json_number_within(json_object_get(v, "slack_factor"),
					     0, QUEUE_SLACK_FACTOR_MAX);
	j->target_ms =
		CLAMP(json_int_or(v, "target_ms", 0), 0, QUEUE_TARGET_MAX_MS);
}

/*
 * Encode the submitted spec with the settings of its queue, which may be
 * removed before a later leader reads it; release with free().
 */
char *spec_encode(const struct job *j)
{
	json_t *steps = json_array(), *settings = settings_encode(j);
	json_t *v = NULL;
	bool ok = settings || !j->queue_known;

	for (uint32_t i = 0; ok && i < j->steps_len; i++)
		ok = !json_array_append_new(steps, step_encode(&j->steps[i]));
	if (ok)
		v = json_pack("{s:s,s:s,s:O*,s:I,s:I,s:I,s:I,s:s,s:O}", "queue",
			      j->queue, "account", j->account, "settings",
			      settings, "received_ms",
			      (json_int_t)j->received_ms, "start_at_wall_ms",
			      (json_int_t)j->start_at_wall_ms, "interval_ms",
			      (json_int_t)j->interval_ms, "repeat",
			      (json_int_t)j->repeat, "payload", j->payload,
			      "steps", steps);
	json_decref(settings);
	json_decref(steps);
	return encode_value(v, SPEC_TABLE, j->id);
}

/* Read an integer that fits; returns false for another value. */
static bool read_uint32(const json_t *v, const char *name, uint32_t *out)
{
	int64_t n = *out;
	bool ok = json_read_int(v, name, 0, UINT32_MAX, &n);

	*out = n;
	return ok;
}

/* Read the time called name, at least 0; 0 if there is none. */
static uint64_t read_time_ms(const json_t *v, const char *name)
{
	return CLAMP(json_int_or(v, name, 0), 0, COUNTER_MAX);
}

/* Read the earlier steps that s waits for. */
static bool after_decode(const json_t *list, struct step *s)
{
	const json_t *n;
	size_t i;

	s->after = g_new0(uint32_t, json_array_size(list) + 1);
	json_array_foreach(list, i, n)
	{
		if (!json_is_integer(n) || json_integer_value(n) < 0 ||
		    json_integer_value(n) > UINT32_MAX)
			return false;
		s->after[s->after_len++] = json_integer_value(n);
	}
	return true;
}

/* Read the name of an image; returns false if it is no text. */
static bool image_decode(const json_t *v, struct step *s)
{
	const json_t *image = json_object_get(v, "image");

	if (!image)
		return true;
	if (!json_is_string(image))
		return false;
	step_set_image(s, json_string_value(image));
	return true;
}

static bool step_decode(const json_t *v, struct step *s)
{
	const char *letters = json_str_or(v, "flags", "");

	s->count = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(step_flags); i++)
		*((bool *)((char *)s + step_flags[i].offset)) =
			strchr(letters, step_flags[i].letter) != NULL;
	return json_is_object(v) && read_uint32(v, "count", &s->count) &&
	       json_read_int(v, "cpu_milli", 0, INT64_MAX,
			     &s->need.cpu_milli) &&
	       json_read_int(v, "memory_mb", 0, INT64_MAX,
			     &s->need.memory_mb) &&
	       json_read_int(v, "accelerators", 0, INT64_MAX,
			     &s->need.accelerators) &&
	       read_uint32(v, "estimate_ms", &s->estimate_ms) &&
	       read_uint32(v, "spread", &s->max_tasks_per_upstream) &&
	       read_uint32(v, "max_unavailable", &s->max_unavailable) &&
	       read_uint32(v, "target_ms", &s->target_ms) &&
	       read_text(v, "label", &s->label) &&
	       read_text(v, "data_rack", &s->data_rack) && image_decode(v, s) &&
	       after_decode(json_object_get(v, "after"), s);
}

/* Decode the fields of a spec; returns false for a malformed value. */
static bool spec_fields_decode(const json_t *v, struct job *j)
{
	const json_t *item;
	bool ok = json_is_object(v);
	size_t i;

	settings_decode(json_object_get(v, "settings"), j);
	j->received_ms = read_time_ms(v, "received_ms");
	j->start_at_wall_ms = read_time_ms(v, "start_at_wall_ms");
	j->interval_ms = read_time_ms(v, "interval_ms");
	j->payload = g_strdup(json_str_or(v, "payload", ""));
	ok = ok && read_text(v, "queue", &j->queue) &&
	     read_text(v, "account", &j->account) &&
	     read_uint32(v, "repeat", &j->repeat);
	json_array_foreach(json_object_get(v, "steps"), i, item)
	{
		if (!ok || i >= JOB_STEPS_MAX)
			return false;
		ok = step_decode(item, job_add_step(j));
	}
	return ok;
}

/* Report whether id stands for a job in the names of its tasks. */
static bool job_id_is_valid(const char *id)
{
	size_t n = strcspn(id, ".");

	return n && !id[n] && n < JOB_ID_BYTES;
}

/*
 * Decode a job without its stages. Returns NULL for a malformed or invalid
 * value, or an id of another form.
 */
static struct job *submission_decode(const char *id, const char *text)
{
	json_t *v = json_loads(text, 0, NULL);
	struct job *j = NULL;
	char *why = NULL;

	if (!job_id_is_valid(id))
		goto out;
	j = job_create(id);
	if (!spec_fields_decode(v, j) || !job_validate(j, &why)) {
		job_destroy(j);
		j = NULL;
	}
out:
	g_free(why);
	json_decref(v);
	return j;
}

/*
 * Decode a job and create its stages. Returns NULL for a malformed or
 * invalid value, or an id of another form.
 */
struct job *spec_decode(const char *id, const char *text)
{
	struct job *j = submission_decode(id, text);

	if (j)
		job_create_stages(j);
	return j;
}

/* Report whether the value of a spec row is read as what was submitted as j. */
bool spec_matches(const char *text, const struct job *j)
{
	struct job *again = submission_decode(j->id, text);
	bool same = again && job_is_same_submission(again, j);

	job_destroy(again);
	return same;
}

/* The upstream incarnations that a row refers to, each once. */
struct incarnation_list {
	GPtrArray *upstreams;
	json_t *names;	   /* "ID@STARTED_WALL_MS", as strings */
	json_t *addresses; /* of the same incarnations; "": unknown */
};

/* Return the index of u's incarnation in the list, adding it if needed. */
static uint32_t incarnation_index(struct incarnation_list *l,
				  const struct upstream *u)
{
	char *name;

	for (guint i = 0; i < l->upstreams->len; i++)
		if (g_ptr_array_index(l->upstreams, i) == u)
			return i;
	name = g_strdup_printf("%s@%llu", u->id,
			       (unsigned long long)u->started_wall_ms);
	json_array_append_new(l->names, json_string(name));
	json_array_append_new(l->addresses, json_string(u->address));
	g_ptr_array_add(l->upstreams, (gpointer)u);
	g_free(name);
	return l->upstreams->len - 1;
}

/*
 * Maximum length of a run row with details; a longer one is written without
 * checkpoints, and if need be without addresses, as the store refuses values
 * over 64 KB.
 */
#define RUN_ROW_MAX_BYTES 48000
/* Longest text of a released stage: a number of tasks and "*=1". */
#define STAGE_TEXT_BYTES 16

/* Append a checkpoint; spaces, which separate tasks, are escaped in it. */
static void checkpoint_encode(GString *s, const char *checkpoint)
{
	char *escaped = NULL;

	if (strpbrk(checkpoint, " %"))
		escaped = g_uri_escape_string(checkpoint, NULL, TRUE);
	g_string_append_printf(s, ",%s", escaped ? escaped : checkpoint);
	g_free(escaped);
}

/*
 * Return the text of a checkpoint; free with g_free. One that was not escaped
 * by checkpoint_encode is taken as it is.
 */
static char *checkpoint_decode(const char *text)
{
	char *checkpoint = NULL;

	if (strchr(text, '%'))
		checkpoint = g_uri_unescape_string(text, NULL);
	if (checkpoint && g_utf8_validate(checkpoint, -1, NULL))
		return checkpoint;
	g_free(checkpoint);
	return g_strdup(text);
}

/*
 * Append the tasks of st to s, separated by spaces. A task that is done is
 * written as `=` and its run, any other as RUN,FAILURES,INCARNATION,CHECKPOINT.
 * INCARNATION is an index into the list and empty if the task is not active;
 * CHECKPOINT is left out with its comma if there is none. The prefix N*
 * stands for N equal tasks in a row.
 */
static void stage_encode(GString *s, const struct stage *st,
			 bool with_checkpoints,
			 struct incarnation_list *incarnations)
{
	GString *current = g_string_new(NULL), *previous = g_string_new(NULL);
	uint32_t repeat_count = 0;

	for (uint32_t i = 0; i <= st->step->count; i++) {
		const struct task *t = &st->tasks[i];

		g_string_truncate(current, 0);
		if (i == st->step->count)
			g_string_append(current, "end");
		else if (t->state == TASK_DONE)
			g_string_append_printf(current, "=%u", t->run);
		else if (task_is_active(t))
			g_string_append_printf(
				current, "%u,%u,%u", t->run, t->failures,
				incarnation_index(incarnations, t->at));
		else
			g_string_append_printf(current, "%u,%u,", t->run,
					       t->failures);
		if (i < st->step->count && t->state != TASK_DONE &&
		    t->checkpoint && with_checkpoints)
			checkpoint_encode(current, t->checkpoint);
		if (repeat_count && g_string_equal(current, previous)) {
			repeat_count++;
			continue;
		}
		if (repeat_count > 1)
			g_string_append_printf(s, "%u*%s ", repeat_count,
					       previous->str);
		else if (repeat_count)
			g_string_append_printf(s, "%s ", previous->str);
		g_string_assign(previous, current->str);
		repeat_count = 1;
	}
	g_string_free(current, TRUE);
	g_string_free(previous, TRUE);
}

/* Return the index in a run row of the first open stage of j. */
static uint32_t first_stage_index(const struct job *j)
{
	return j->first_occurrence * j->steps_len;
}

/*
 * Append the stages of the released occurrences of j, which are complete, to
 * the list. Versions that keep all occurrences need an entry for each. The
 * numbers of their last runs are forgotten, and failures are left out, so that
 * an entry is no longer than those of stages that have not started were.
 */
static bool append_released_stages(const struct job *j, json_t *list)
{
	bool ok = true;

	for (uint32_t i = 0; ok && i < first_stage_index(j); i++) {
		uint32_t n = j->steps[i % j->steps_len].count;
		char tasks[STAGE_TEXT_BYTES];

		if (n > 1)
			g_snprintf(tasks, sizeof(tasks), "%u*=1", n);
		else
			g_strlcpy(tasks, "=1", sizeof(tasks));
		ok = !json_array_append_new(list, json_pack("[i,s]", 0, tasks));
	}
	return ok;
}

/*
 * Encode the ends of upstreams that tasks of j are suspected of, each as
 * [stage, index, early, late, longest in ms, quick]. A row without them is left
 * as it was before they were recorded.
 */
static json_t *suspicions_encode(const struct job *j)
{
	uint32_t first = first_stage_index(j);
	json_t *list = json_array();

	for (uint32_t i = 0; i < j->stages_len; i++) {
		for (uint32_t k = 0; k < j->stages[i].step->count; k++) {
			const struct suspicion *s =
				&j->stages[i].tasks[k].suspicion;

			if (!s->early_ends && !s->late_ends)
				continue;
			json_array_append_new(
				list,
				json_pack("[i,i,i,i,i,i]", (int)(first + i),
					  (int)k, (int)s->early_ends,
					  (int)s->late_ends, (int)s->longest_ms,
					  (int)s->quick_ends));
		}
	}
	return list;
}

/*
 * Decode the suspicions of a row that name tasks of the open occurrences from
 * number `from` on.
 */
static void suspicions_decode(struct job *j, const json_t *list, uint32_t from)
{
	json_int_t first = first_stage_index(j);
	const json_t *item;
	size_t n;

	json_array_foreach(list, n, item)
	{
		json_int_t v[6] = {0};
		struct suspicion *s;

		v[0] = json_integer_value(json_array_get(item, 0));
		if (v[0] < (json_int_t)from * j->steps_len ||
		    v[0] - first >= j->stages_len)
			continue;
		for (size_t i = 1; i < G_N_ELEMENTS(v); i++)
			v[i] = json_integer_value(json_array_get(item, i));
		v[0] -= first;
		if (v[1] < 0 || v[1] >= j->stages[v[0]].step->count)
			continue;
		s = &j->stages[v[0]].tasks[v[1]].suspicion;
		s->early_ends = CLAMP(v[2], 0, INT32_MAX);
		s->late_ends = CLAMP(v[3], 0, INT32_MAX);
		s->longest_ms = CLAMP(v[4], 0, INT32_MAX);
		s->quick_ends = CLAMP(v[5], 0, INT32_MAX);
	}
}

/* What a run row holds; the upstreams list the rest of their active runs. */
enum run_detail {
	RUN_DETAIL_ALL,
	RUN_DETAIL_NO_CHECKPOINTS,
	RUN_DETAIL_NO_ADDRESSES, /* and no checkpoints */
};

static char *encode_runs(const struct job *j, enum run_detail detail)
{
	struct incarnation_list incarnations = {.upstreams = g_ptr_array_new(),
						.names = json_array(),
						.addresses = json_array()};
	json_t *stages = json_array(), *suspicions, *v = NULL;
	bool ok = append_released_stages(j, stages);

	for (uint32_t i = 0; ok && i < j->stages_len; i++) {
		const struct stage *st = &j->stages[i];
		GString *tasks = g_string_new(NULL);

		if (stage_has_started(st))
			stage_encode(tasks, st, detail == RUN_DETAIL_ALL,
				     &incarnations);
		ok = !json_array_append_new(
			stages,
			json_pack("[I,s,I]", (json_int_t)st->failures,
				  tasks->str, (json_int_t)st->failed_run));
		g_string_free(tasks, TRUE);
	}
	if (ok &&
	    json_array_size(incarnations.names) == incarnations.upstreams->len)
		v = json_pack("{s:s,s:I,s:O,s:O}", "state",
			      job_state_name(j->state), "ended_ms",
			      (json_int_t)j->ended_ms, "lives",
			      incarnations.names, "stages", stages);
	json_decref(incarnations.names);
	json_decref(stages);
	if (detail != RUN_DETAIL_NO_ADDRESSES)
		json_object_set(v, "addresses", incarnations.addresses);
	json_decref(incarnations.addresses);
	suspicions = suspicions_encode(j);
	if (json_array_size(suspicions))
		json_object_set(v, "suspicions", suspicions);
	json_decref(suspicions);
	g_ptr_array_free(incarnations.upstreams, TRUE);
	return encode_value(v, RUN_TABLE, j->id);
}

/*
 * Encode the state of j and the runs of its tasks, which is all that a new
 * leader needs besides the spec; release with free().
 */
char *run_encode(const struct job *j)
{
	char *s = encode_runs(j, RUN_DETAIL_ALL);

	if (s && strlen(s) > RUN_ROW_MAX_BYTES) {
		free(s);
		s = encode_runs(j, RUN_DETAIL_NO_CHECKPOINTS);
	}
	if (s && strlen(s) > RUN_ROW_MAX_BYTES) {
		free(s);
		s = encode_runs(j, RUN_DETAIL_NO_ADDRESSES);
	}
	return s;
}

/* What the decoding of one run row needs. */
struct run_decoder {
	const json_t *incarnations;
	const json_t *addresses;
	const json_t *suspicions;
	active_task_fn active;
	void *arg;
};

/* Read a number up to max that is all of text. */
static bool parse_number(const char *text, uint64_t max, uint64_t *out)
{
	return g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL);
}

/*
 * Decode a recorded address. One that no upstream can have, or that a row of an
 * earlier version lacks, counts as unknown.
 */
static void decode_address(const json_t *v, struct sockaddr_in *address)
{
	struct sockaddr_in a;

	if (json_is_string(v) && address_parse(json_string_value(v), &a) &&
	    address_is_unicast(&a) && a.sin_port)
		*address = a;
}

/*
 * Report a task that may still run, given its index of an incarnation. Returns
 * false if that names none.
 */
static bool decode_active_task(const struct run_decoder *r, struct task *t,
			       const char *incarnation_text)
{
	uint64_t start_max = clock_wall_ms() + START_AHEAD_MAX_MS;
	struct run_place place = {0};
	const char *name, *at;
	char *upstream;
	uint64_t n;

	if (!parse_number(incarnation_text, UINT32_MAX, &n))
		return false;
	name = json_string_value(json_array_get(r->incarnations, n));
	at = name ? strrchr(name, '@') : NULL;
	if (!at || at == name || at - name >= UPSTREAM_ID_BYTES ||
	    !parse_number(at + 1, start_max, &place.started_wall_ms))
		return false;
	place.upstream = upstream = g_strndup(name, at - name);
	decode_address(json_array_get(r->addresses, n), &place.address);
	r->active(r->arg, t, &place);
	g_free(upstream);
	return true;
}

/* Decode one task. Returns false, and leaves t as it was, if it is odd. */
static bool task_decode(const struct run_decoder *r, struct task *t,
			const char *text)
{
	char **field = g_strsplit(text, ",", 4);
	guint len = g_strv_length(field);
	uint64_t run = 0, failures = 0;
	bool ok;

	if (*text == '=') {
		ok = parse_number(text + 1, RUN_NUMBER_MAX, &run) && run;
		if (ok) {
			t->run = run;
			t->state = TASK_DONE;
			t->stage->done++;
		}
		goto out;
	}
	ok = len && parse_number(field[0], RUN_NUMBER_MAX, &run) &&
	     (len < 2 || parse_number(field[1], RUN_NUMBER_MAX, &failures)) &&
	     (run || !failures);
	if (!ok)
		goto out;
	t->run = run;
	t->failures = failures;
	if (len > 3)
		t->checkpoint = checkpoint_decode(field[3]);
	if (len > 2 && *field[2])
		ok = run && decode_active_task(r, t, field[2]);
out:
	g_strfreev(field);
	return ok;
}

/* Decode the tasks of st. Returns false if any is odd. */
static bool stage_decode(const struct run_decoder *r, struct stage *st,
			 const char *text)
{
	char **list = g_strsplit(text, " ", -1);
	uint32_t index = 0;
	bool ok = true;

	for (char **p = list; *p; p++) {
		size_t digits = strspn(*p, "0123456789");
		bool repeated = digits && (*p)[digits] == '*';
		const char *task = repeated ? *p + digits + 1 : *p;
		uint64_t n = repeated ? g_ascii_strtoull(*p, NULL, 10) : 1;

		if (!**p)
			continue;
		for (; n && index < st->step->count; n--)
			ok &= task_decode(r, &st->tasks[index++], task);
	}
	g_strfreev(list);
	return ok;
}

/* Return the integer at i of a row, from 0 to RUN_NUMBER_MAX. */
static uint32_t count_at(const json_t *row, size_t i)
{
	return CLAMP(json_integer_value(json_array_get(row, i)), 0,
		     RUN_NUMBER_MAX);
}

/*
 * Decode item i of the list of stages of j. Opens its occurrence if the stage
 * has started; at the end of each occurrence, releases those before that are
 * complete, so that a long list takes no more memory than its open part.
 */
static bool stage_item_decode(const struct run_decoder *r, struct job *j,
			      size_t i, const json_t *item)
{
	const char *tasks = json_string_value(json_array_get(item, 1));
	uint32_t occurrence = i / j->steps_len, end;
	struct stage *st;

	if (occurrence >= job_occurrences(j))
		return true;
	if (i % j->steps_len == 0)
		job_release_complete(j, UINT64_MAX);
	end = job_open_end(j);
	if (occurrence >= end && (!tasks || !*tasks) && !count_at(item, 0) &&
	    !count_at(item, 2))
		return true;
	if (occurrence >= end) {
		job_open_occurrences(j, occurrence + 1);
		suspicions_decode(j, r->suspicions, end);
	}
	st = &j->stages[i - first_stage_index(j)];
	st->failures = count_at(item, 0);
	st->failed_run = count_at(item, 2);
	return stage_decode(r, st, tasks ? tasks : "");
}

/*
 * Decode the state of j and its runs; calls `active` for each task that may
 * still run. Returns false for a malformed value, of which what can be read is
 * applied.
 */
bool run_decode(struct job *j, const char *text, active_task_fn active,
		void *arg)
{
	json_t *v = json_loads(text, 0, NULL);
	struct run_decoder r = {.incarnations = json_object_get(v, "lives"),
				.addresses = json_object_get(v, "addresses"),
				.suspicions = json_object_get(v, "suspicions"),
				.active = active,
				.arg = arg};
	const json_t *item;
	bool ok = job_state_parse(json_str_or(v, "state", ""), &j->state);
	size_t i;

	j->ended_ms = read_time_ms(v, "ended_ms");
	suspicions_decode(j, r.suspicions, 0);
	json_array_foreach(json_object_get(v, "stages"), i, item) ok &=
		stage_item_decode(&r, j, i, item);
	job_release_complete(j, UINT64_MAX);
	json_decref(v);
	return ok;
}
