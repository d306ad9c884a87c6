/*
 * A start order is sent only after a write with its job's row is committed. A
 * write holds a limited number of jobs, so a start may wait for a later one. A
 * job that changes again meanwhile does not undo what was recorded.
 */
#include "lead/starts.h"
#include "lib/log.h"

/* A start, which names its task, as the task may have been freed since. */
struct start {
	char task[TASK_NAME_BYTES];
	uint32_t run;
};

struct starts {
	GArray *planned;  /* struct start, in no write yet */
	GArray *in_write; /* struct start, in the write in flight */
};

/* Create an empty list. */
struct starts *starts_create(void)
{
	struct starts *s = g_new0(struct starts, 1);

	s->planned = g_array_new(FALSE, FALSE, sizeof(struct start));
	s->in_write = g_array_new(FALSE, FALSE, sizeof(struct start));
	return s;
}

/* Free s; NULL is allowed. */
void starts_destroy(struct starts *s)
{
	if (!s)
		return;
	g_array_unref(s->planned);
	g_array_unref(s->in_write);
	g_free(s);
}

/* Forget all starts. */
void starts_clear(struct starts *s)
{
	g_array_set_size(s->planned, 0);
	g_array_set_size(s->in_write, 0);
}

/* Add the newest run of t, which was placed. */
void starts_plan(struct starts *s, const struct task *t)
{
	struct start x = {.run = t->run};

	task_format_name(t, x.task, sizeof(x.task));
	g_array_append_val(s->planned, x);
}

/* Report whether the newest run of t still waits for its order. */
static bool is_unsent(const struct task *t)
{
	return t->state == TASK_PLACED && !t->sent;
}

/* Return the task of a start if its run still waits for the order. */
static struct task *find_waiting_task(const struct start *x,
				      const struct model *m)
{
	struct task *t = model_find_task(m, x->task);

	return t && t->run == x->run && is_unsent(t) ? t : NULL;
}

/*
 * Note that a write is about to be sent that holds every job that is not dirty.
 * The starts of other jobs wait for the next write.
 */
void starts_note_write_sent(struct starts *s, const struct model *m)
{
	GArray *later = s->in_write;

	g_array_set_size(later, 0);
	s->in_write = g_array_new(FALSE, FALSE, sizeof(struct start));
	for (guint i = 0; i < s->planned->len; i++) {
		const struct start *x =
			&g_array_index(s->planned, struct start, i);
		const struct task *t = find_waiting_task(x, m);

		if (t)
			g_array_append_vals(t->stage->job->dirty ? later
								 : s->in_write,
					    x, 1);
	}
	g_array_unref(s->planned);
	s->planned = later;
}

/*
 * Return the tasks whose starts were in the write that was committed, and
 * forget these; free with g_ptr_array_free.
 */
GPtrArray *starts_take_recorded(struct starts *s, const struct model *m)
{
	GPtrArray *tasks = g_ptr_array_new();

	for (guint i = 0; i < s->in_write->len; i++) {
		struct task *t = find_waiting_task(
			&g_array_index(s->in_write, struct start, i), m);

		if (t)
			g_ptr_array_add(tasks, t);
	}
	g_array_set_size(s->in_write, 0);
	return tasks;
}

/*
 * End a run whose start will not be sent, so that it is placed again; outcome
 * says why in logs.
 */
static void drop_start(struct task *t, const char *outcome, uint64_t now_ms)
{
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	log_fields(LOG_INFO, "start_failed", "{s:s,s:s,s:I,s:s,s:s,s:b}", "job",
		   t->stage->job->id, "task", name, "run", (json_int_t)t->run,
		   "upstream", t->at->id, "outcome", outcome, "uncertain", 0);
	task_end_run(t, RUN_NEVER_STARTED, NULL, now_ms);
}

/* Report whether t belongs to a gang of which a member has no place. */
static bool gang_is_broken(const struct task *t)
{
	return t->stage->step->gang && stage_waiting_count(t->stage);
}

/*
 * Drop the starts of those of the tasks whose upstream has too few resources by
 * now or is about to leave, and of the gangs that lack them. A start can wait
 * for its record for seconds while the store is away, and the list of upstreams
 * may change in that time.
 */
void starts_drop_excess(const GPtrArray *tasks, uint64_t now_ms)
{
	for (guint i = 0; i < tasks->len; i++) {
		struct task *t = g_ptr_array_index(tasks, i);

		if (is_unsent(t) && t->at->state != UPSTREAM_READY)
			drop_start(t, "leaving", now_ms);
		else if (is_unsent(t) && upstream_is_overcommitted(t->at))
			drop_start(t, "shrunk", now_ms);
	}
	for (guint i = 0; i < tasks->len; i++) {
		struct task *t = g_ptr_array_index(tasks, i);

		if (is_unsent(t) && gang_is_broken(t))
			drop_start(t, "gang", now_ms);
	}
}
