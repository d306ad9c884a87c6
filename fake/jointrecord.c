/*
 * Records the starts of tasks that ran elsewhere, or had a run that is done,
 * with both runs and the epochs of the leaders that started them.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "fake/jointrecord.h"
#include "lib/log.h"
#include "lib/loop.h"

/* A run that ended as done. */
struct done_run {
	char *upstream;
	uint64_t end; /* its number among the ends of the upstream */
	uint32_t number;
	uint64_t epoch;
	uint64_t ended_ms;
	uint64_t acknowledged_ms; /* 0: not yet */
};

struct joint_record {
	GHashTable *done; /* task to GPtrArray of struct done_run */
	uint32_t starts;
	uint32_t duplicate_starts;
	uint32_t starts_after_done;
	uint32_t void_ends;
	json_t *breaches;
	json_t *last_starts;	/* job to the time of its last start */
	json_t *last_starts_at; /* the same by upstream */
};

static void free_done_run(void *arg)
{
	struct done_run *d = arg;

	g_free(d->upstream);
	g_free(d);
}

struct joint_record *joint_record_create(void)
{
	struct joint_record *c = g_new0(struct joint_record, 1);

	c->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					(GDestroyNotify)g_ptr_array_unref);
	c->breaches = json_array();
	c->last_starts = json_object();
	c->last_starts_at = json_object();
	return c;
}

/* Log a breach and keep it; v is taken over. */
static void add_breach(struct joint_record *c, const char *what,
		       const struct joint_run *r, json_t *v)
{
	char *text;

	json_object_set_new(v, "what", json_string(what));
	json_object_set_new(v, "ms", json_integer(clock_mono_ms()));
	json_object_set_new(v, "task", json_string(r->task));
	json_object_set_new(v, "upstream", json_string(r->upstream));
	json_object_set_new(v, "run", json_integer(r->number));
	json_object_set_new(v, "epoch", json_integer((json_int_t)r->epoch));
	text = json_dumps(v, JSON_COMPACT | JSON_SORT_KEYS);
	log_fields(LOG_ERROR, what, "{s:s}", "breach", text);
	free(text);
	json_array_append_new(c->breaches, v);
}

/* Keep the time of the start of r as the last one of its job and upstream. */
static void note_last_start(struct joint_record *c, const struct joint_run *r)
{
	char *job = g_strndup(r->task, strcspn(r->task, "."));

	json_object_set_new(c->last_starts, job, json_integer(clock_mono_ms()));
	json_object_set_new(c->last_starts_at, r->upstream,
			    json_integer(clock_mono_ms()));
	g_free(job);
}

/* Record the start of r, whose task `other` runs already, unless NULL. */
void joint_record_start(struct joint_record *c, const struct joint_run *r,
			const struct joint_run *other)
{
	const GPtrArray *list = g_hash_table_lookup(c->done, r->task);
	const struct done_run *d;

	c->starts++;
	note_last_start(c, r);
	if (other) {
		c->duplicate_starts++;
		add_breach(c, "twice", r,
			   json_pack("{s:s,s:i,s:I,s:I}", "other_upstream",
				     other->upstream, "other_run",
				     (int)other->number, "other_epoch",
				     (json_int_t)other->epoch,
				     "other_started_ms",
				     (json_int_t)other->started_ms));
	}
	if (!list || !list->len)
		return;
	d = g_ptr_array_index(list, 0);
	c->starts_after_done++;
	add_breach(c, "after_done", r,
		   json_pack("{s:s,s:i,s:I,s:I,s:I}", "other_upstream",
			     d->upstream, "other_run", (int)d->number,
			     "other_epoch", (json_int_t)d->epoch,
			     "other_ended_ms", (json_int_t)d->ended_ms,
			     "other_acknowledged_ms",
			     (json_int_t)d->acknowledged_ms));
}

/* Record that r is done, the end with this number of its upstream. */
void joint_record_done(struct joint_record *c, const struct joint_run *r,
		       uint64_t end)
{
	GPtrArray *list = g_hash_table_lookup(c->done, r->task);
	struct done_run *d = g_new0(struct done_run, 1);

	if (!list) {
		list = g_ptr_array_new_with_free_func(free_done_run);
		g_hash_table_insert(c->done, g_strdup(r->task), list);
	}
	d->upstream = g_strdup(r->upstream);
	d->end = end;
	d->number = r->number;
	d->epoch = r->epoch;
	d->ended_ms = clock_mono_ms();
	g_ptr_array_add(list, d);
}

/* Return an end that was not acknowledged, NULL if there is none. */
static struct done_run *find_done_run(struct joint_record *c, const char *task,
				      const char *upstream, uint64_t end)
{
	const GPtrArray *list = g_hash_table_lookup(c->done, task);

	for (guint i = 0; list && i < list->len; i++) {
		struct done_run *d = g_ptr_array_index(list, i);

		if (d->end == end && !d->acknowledged_ms &&
		    !strcmp(d->upstream, upstream))
			return d;
	}
	return NULL;
}

/* Record that an end was acknowledged, which makes it binding for good. */
void joint_record_acknowledge(struct joint_record *c, const char *task,
			      const char *upstream, uint64_t end)
{
	struct done_run *d = find_done_run(c, task, upstream, end);

	if (d)
		d->acknowledged_ms = clock_mono_ms();
}

/* Forget an end that was not acknowledged before the lease expired. */
void joint_record_void(struct joint_record *c, const char *task,
		       const char *upstream, uint64_t end)
{
	struct done_run *d = find_done_run(c, task, upstream, end);

	if (!d)
		return;
	c->void_ends++;
	g_ptr_array_remove(g_hash_table_lookup(c->done, task), d);
}

/* Add the counts and the breaches to an object. */
void joint_record_add_to(const struct joint_record *c, json_t *v)
{
	json_object_set_new(v, "starts", json_integer(c->starts));
	json_object_set_new(v, "twice", json_integer(c->duplicate_starts));
	json_object_set_new(v, "after_done",
			    json_integer(c->starts_after_done));
	json_object_set_new(v, "void", json_integer(c->void_ends));
	json_object_set(v, "last_starts", c->last_starts);
	json_object_set(v, "last_starts_at", c->last_starts_at);
	json_object_set(v, "breaches", c->breaches);
}
