/* The values of our rows, as JSON. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "lead/record.h"
#include "lib/schema.h"
#include "sched/fleet.h"

/* Encode who leads; free with free. */
char *owner_encode(const struct owner_record *o)
{
	json_t *v = json_pack("{s:s,s:I,s:I,s:I}", "instance", o->instance,
			      "incarnation", (json_int_t)o->incarnation,
			      "epoch", (json_int_t)o->epoch, "sequence",
			      (json_int_t)o->sequence);
	char *s = json_dumps(v, JSON_COMPACT);

	json_decref(v);
	return s;
}

/* Decode who leads; false when the value is not of the form. */
bool owner_decode(const char *text, struct owner_record *o)
{
	json_t *v = json_loads(text, 0, NULL);
	bool ok = json_is_object(v);

	memset(o, 0, sizeof(*o));
	g_strlcpy(o->instance, json_str_or(v, "instance", ""),
		  sizeof(o->instance));
	o->incarnation = json_int_or(v, "incarnation", 0);
	o->epoch = json_int_or(v, "epoch", 0);
	o->sequence = json_int_or(v, "sequence", 0);
	json_decref(v);
	return ok;
}

struct step_flag {
	char letter;
	size_t at;
};

static const struct step_flag flags[] = {
	{'c', offsetof(struct step, checkpoints)},
	{'g', offsetof(struct step, gang)},
	{'r', offsetof(struct step, one_rack)},
	{'p', offsetof(struct step, copies)},
	{'l', offsetof(struct step, lasting)},
	{'f', offsetof(struct step, fills)},
};

static json_t *step_encode(const struct step *s)
{
	char letters[G_N_ELEMENTS(flags) + 1];
	json_t *after = json_array();
	size_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++)
		if (*((const bool *)((const char *)s + flags[i].at)))
			letters[n++] = flags[i].letter;
	letters[n] = '\0';
	for (uint32_t i = 0; i < s->after_len; i++)
		json_array_append_new(after, json_integer(s->after[i]));
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:o,s:s,s:I,s:I,s:I,s:s,s:s,"
			 "s:s}",
			 "count", (json_int_t)s->count, "cpu_milli",
			 (json_int_t)s->need.cpu_milli, "memory_mb",
			 (json_int_t)s->need.memory_mb, "accelerators",
			 (json_int_t)s->need.accelerators, "estimate_ms",
			 (json_int_t)s->estimate_ms, "after", after, "flags",
			 letters, "spread", (json_int_t)s->spread,
			 "max_unavailable", (json_int_t)s->max_unavailable,
			 "target_ms", (json_int_t)s->target_ms, "label",
			 s->label, "data_rack", s->data_rack, "image",
			 s->image);
}

/* Encode what was submitted; free with free. */
char *job_encode(const struct job *j)
{
	json_t *steps = json_array();
	json_t *v;
	char *s;

	for (uint32_t i = 0; i < j->steps_len; i++)
		json_array_append_new(steps, step_encode(&j->steps[i]));
	v = json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:s,s:o}", "queue", j->queue,
		      "account", j->account, "received_ms",
		      (json_int_t)j->received_ms, "start_at_wall_ms",
		      (json_int_t)j->start_at_wall_ms, "interval_ms",
		      (json_int_t)j->interval_ms, "repeat",
		      (json_int_t)j->repeat, "payload", j->payload, "steps",
		      steps);
	s = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	return s;
}

static void copy(char *to, size_t len, const json_t *o, const char *name)
{
	g_strlcpy(to, json_str_or(o, name, ""), len);
}

static void step_decode(const json_t *v, struct step *s)
{
	const json_t *after = json_object_get(v, "after"), *n;
	const char *letters = json_str_or(v, "flags", "");
	size_t i;

	s->count = json_int_or(v, "count", 1);
	s->need.cpu_milli = json_int_or(v, "cpu_milli", 0);
	s->need.memory_mb = json_int_or(v, "memory_mb", 0);
	s->need.accelerators = json_int_or(v, "accelerators", 0);
	s->estimate_ms = json_int_or(v, "estimate_ms", 0);
	s->spread = json_int_or(v, "spread", 0);
	s->max_unavailable = json_int_or(v, "max_unavailable", 0);
	s->target_ms = json_int_or(v, "target_ms", 0);
	copy(s->label, sizeof(s->label), v, "label");
	copy(s->data_rack, sizeof(s->data_rack), v, "data_rack");
	copy(s->image, sizeof(s->image), v, "image");
	for (i = 0; i < G_N_ELEMENTS(flags); i++)
		*((bool *)((char *)s + flags[i].at)) =
			strchr(letters, flags[i].letter) != NULL;
	s->after = g_new0(uint32_t, json_array_size(after) + 1);
	json_array_foreach(after, i, n) s->after[s->after_len++] =
		json_integer_value(n);
}

/* Decode a job and lay it out; NULL when the value is not of the form. */
struct job *job_decode(const char *id, const char *text)
{
	json_t *v = json_loads(text, 0, NULL);
	const json_t *item;
	struct job *j = NULL;
	char *why = NULL;
	size_t i;

	if (!json_is_object(v))
		goto out;
	j = job_create(id);
	copy(j->queue, sizeof(j->queue), v, "queue");
	copy(j->account, sizeof(j->account), v, "account");
	j->received_ms = json_int_or(v, "received_ms", 0);
	j->start_at_wall_ms = json_int_or(v, "start_at_wall_ms", 0);
	j->interval_ms = json_int_or(v, "interval_ms", 0);
	j->repeat = json_int_or(v, "repeat", 0);
	j->payload = g_strdup(json_str_or(v, "payload", ""));
	json_array_foreach(json_object_get(v, "steps"), i, item)
		step_decode(item, job_add_step(j));
	if (job_check(j, &why)) {
		job_lay_out(j);
	} else {
		job_destroy(j);
		j = NULL;
	}
out:
	g_free(why);
	json_decref(v);
	return j;
}

static json_t *task_encode(const struct task *t, born_fn born, void *arg)
{
	const struct stage *st = t->stage;
	const struct upstream *u = task_active(t) ? t->at : NULL;

	if (t->state == TASK_DONE)
		return json_pack("[i,i,i,I]", (int)st->occurrence,
				 (int)st->step_index, (int)t->index,
				 (json_int_t)t->run);
	return json_pack("[i,i,i,I,I,s,s,I]", (int)st->occurrence,
			 (int)st->step_index, (int)t->index, (json_int_t)t->run,
			 (json_int_t)t->failures,
			 t->checkpoint ? t->checkpoint : "", u ? u->id : "",
			 u ? (json_int_t)born(arg, u) : 0);
}

/* Encode the state of j and of the runs of its tasks; free with free. */
char *run_encode(const struct job *j, born_fn born, void *arg)
{
	json_t *tasks = json_array(), *gangs = json_array(), *v;
	char *s;

	for (uint32_t i = 0; i < j->stages_len; i++) {
		const struct stage *st = &j->stages[i];

		if (st->failures)
			json_array_append_new(
				gangs, json_pack("[i,I]", (int)i,
						 (json_int_t)st->failures));
		for (uint32_t k = 0; k < st->step->count; k++)
			if (st->tasks[k].run)
				json_array_append_new(
					tasks, task_encode(&st->tasks[k], born,
							   arg));
	}
	v = json_pack("{s:s,s:I,s:o,s:o}", "state", job_state_name(j->state),
		      "ended_ms", (json_int_t)j->ended_ms, "gangs", gangs,
		      "tasks", tasks);
	s = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	return s;
}

/* Decode only a job's state; false when the value is not of the form. */
bool run_decode_state(const char *text, enum job_state *state)
{
	json_t *v = json_loads(text, 0, NULL);
	bool ok = job_state_parse(json_str_or(v, "state", ""), state);

	json_decref(v);
	return ok;
}

static void task_decode(struct job *j, const json_t *v, active_fn active,
			void *arg)
{
	struct task *t = job_task(j, json_integer_value(json_array_get(v, 0)),
				  json_integer_value(json_array_get(v, 1)),
				  json_integer_value(json_array_get(v, 2)));
	const char *s;

	if (!t)
		return;
	t->run = json_integer_value(json_array_get(v, 3));
	if (json_array_size(v) == 4) {
		t->state = TASK_DONE;
		t->stage->done++;
		return;
	}
	t->failures = json_integer_value(json_array_get(v, 4));
	s = json_string_value(json_array_get(v, 5));
	if (s && *s)
		t->checkpoint = g_strdup(s);
	s = json_string_value(json_array_get(v, 6));
	if (s && *s)
		active(arg, t, s, json_integer_value(json_array_get(v, 7)));
}

/*
 * Decode the state of j and of its runs; tasks that may still run are
 * handed to active.  False when the value is not of the form.
 */
bool run_decode(struct job *j, const char *text, active_fn active, void *arg)
{
	json_t *v = json_loads(text, 0, NULL);
	const json_t *item;
	bool ok = job_state_parse(json_str_or(v, "state", ""), &j->state);
	size_t i;

	j->ended_ms = json_int_or(v, "ended_ms", 0);
	json_array_foreach(json_object_get(v, "gangs"), i, item)
	{
		uint32_t n = json_integer_value(json_array_get(item, 0));

		if (n < j->stages_len)
			j->stages[n].failures =
				json_integer_value(json_array_get(item, 1));
	}
	json_array_foreach(json_object_get(v, "tasks"), i, item)
		task_decode(j, item, active, arg);
	json_decref(v);
	return ok;
}
