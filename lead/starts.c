/*
 * A decision to start a run can wait for its record for seconds while the store
 * is away. The resources of its upstream may shrink in that time.
 */
#include "lead/starts.h"
#include "lib/log.h"

/* Return the task of s if its start is still to be sent, otherwise NULL. */
struct task *starts_find_unsent(const struct planned_start *s,
				const struct model *m)
{
	struct task *t = model_find_task(m, s->task);

	if (!t || t->run != s->run || t->state != TASK_PLACED || t->sent)
		return NULL;
	return t;
}

/* End a run whose start will not be sent, so that it is placed again. */
static void drop_start(struct task *t, const struct planned_start *s,
		       uint64_t now_ms)
{
	log_fields(LOG_INFO, "start_failed", "{s:s,s:s,s:I,s:s,s:s,s:b}", "job",
		   t->stage->job->id, "task", s->task, "run",
		   (json_int_t)s->run, "upstream", t->at->id, "outcome",
		   "shrunk", "uncertain", 0);
	task_end_run(t, RUN_NEVER_STARTED, NULL, now_ms);
}

/* Report whether t belongs to a gang of which a member has no place. */
static bool gang_is_broken(const struct task *t)
{
	return t->stage->step->gang && stage_waiting_count(t->stage);
}

/*
 * Drop those of the starts, an array of struct planned_start, whose upstream
 * has too few resources by now, and those of the gangs that lack them.
 */
void starts_drop_excess(const GArray *starts, const struct model *m,
			uint64_t now_ms)
{
	const struct planned_start *s;
	struct task *t;

	for (guint i = 0; i < starts->len; i++) {
		s = &g_array_index(starts, struct planned_start, i);
		t = starts_find_unsent(s, m);
		if (t && upstream_is_overcommitted(t->at))
			drop_start(t, s, now_ms);
	}
	for (guint i = 0; i < starts->len; i++) {
		s = &g_array_index(starts, struct planned_start, i);
		t = starts_find_unsent(s, m);
		if (t && gang_is_broken(t))
			drop_start(t, s, now_ms);
	}
}
