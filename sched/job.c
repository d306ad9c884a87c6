/*
 * The state machine of a job: which stages may run, how the end of a run
 * changes its task, and when the job ends.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/fleet.h"
#include "sched/progress.h"
#include "sched/job.h"

#define JOB_TASKS_MAX 4000
#define STEP_CPU_MAX_MILLI 10000000
#define STEP_MEMORY_MAX_MB 100000000
#define STEP_ACCELERATORS_MAX 1024
#define JOB_OCCURRENCES_MAX 1000

static const char *const state_names[] = {
	[JOB_QUEUED] = "queued",       [JOB_RUNNING] = "running",
	[JOB_COMPLETED] = "completed", [JOB_FAILED] = "failed",
	[JOB_CANCELLED] = "cancelled",
};

/* Create a job without steps. */
struct job *job_create(const char *id)
{
	struct job *j = g_new0(struct job, 1);

	g_strlcpy(j->id, id, sizeof(j->id));
	text_set(&j->queue, "");
	text_set(&j->account, "");
	j->service = "";
	j->max_attempts = 1;
	j->slack_factor = 1;
	return j;
}

/* Free the tasks of st. */
void stage_free_tasks(struct stage *st)
{
	for (uint32_t k = 0; k < st->step->count; k++)
		g_free(st->tasks[k].checkpoint);
	g_free(st->tasks);
}

/* Free j; none of its tasks may be active. NULL is allowed. */
void job_destroy(struct job *j)
{
	if (!j)
		return;
	for (uint32_t i = 0; i < j->stages_len; i++)
		stage_free_tasks(&j->stages[i]);
	for (uint32_t i = 0; i < j->steps_len; i++) {
		g_free(j->steps[i].after);
		g_free(j->steps[i].image);
		text_clear(&j->steps[i].label);
		text_clear(&j->steps[i].data_rack);
	}
	text_clear(&j->queue);
	text_clear(&j->account);
	g_free(j->stages);
	g_free(j->steps);
	g_free(j->payload);
	g_free(j);
}

/* Append a step to a job that has no stages yet; its fields are 0 or empty. */
struct step *job_add_step(struct job *j)
{
	j->steps = g_renew(struct step, j->steps, j->steps_len + 1);
	memset(&j->steps[j->steps_len], 0, sizeof(struct step));
	j->steps[j->steps_len].image = g_strdup("");
	text_set(&j->steps[j->steps_len].label, "");
	text_set(&j->steps[j->steps_len].data_rack, "");
	return &j->steps[j->steps_len++];
}

/* Set the name of what the tasks of s run. */
void step_set_image(struct step *s, const char *image)
{
	g_free(s->image);
	s->image = g_strdup(image);
}

/*
 * Return the quark of a label that a caller names: 0 if it is empty, LABEL_UNUSED
 * if no upstream has ever had it. A quark is never freed, so callers make none.
 */
GQuark label_quark(const char *label)
{
	GQuark q;

	if (!*label)
		return 0;
	q = g_quark_try_string(label);
	return q ? q : LABEL_UNUSED;
}

/* Return how many times the steps run. */
uint32_t job_occurrences(const struct job *j)
{
	return j->repeat ? j->repeat : 1;
}

/*
 * Return NULL if step i of j is valid, otherwise a description of the error, to
 * be freed with g_free.
 */
static char *validate_step(const struct job *j, uint32_t i)
{
	const struct step *s = &j->steps[i];

	if (!s->count)
		return g_strdup_printf("steps[%u].count: expected 1 or more",
				       i);
	if (s->need.cpu_milli < 0 || s->need.cpu_milli > STEP_CPU_MAX_MILLI ||
	    s->need.memory_mb < 0 || s->need.memory_mb > STEP_MEMORY_MAX_MB ||
	    s->need.accelerators < 0 ||
	    s->need.accelerators > STEP_ACCELERATORS_MAX)
		return g_strdup_printf("steps[%u]: resources out of bounds", i);
	if (s->after_len > i)
		return g_strdup_printf(
			"steps[%u].after: found %u, expected each earlier "
			"step once at most",
			i, s->after_len);
	for (uint32_t k = 0; k < s->after_len; k++)
		if (s->after[k] >= i)
			return g_strdup_printf(
				"steps[%u].after: found %u, expected the "
				"number of an earlier step",
				i, s->after[k]);
	return NULL;
}

/*
 * Report whether j is valid. Otherwise *why describes the error and must be
 * freed with g_free.
 */
bool job_validate(const struct job *j, char **why)
{
	uint64_t tasks = 0;

	*why = NULL;
	if (!j->steps_len || j->steps_len > JOB_STEPS_MAX)
		*why = g_strdup_printf("steps: expected 1 to %d",
				       JOB_STEPS_MAX);
	for (uint32_t i = 0; i < j->steps_len && !*why; i++) {
		*why = validate_step(j, i);
		tasks += j->steps[i].count;
	}
	if (!*why && job_occurrences(j) > JOB_OCCURRENCES_MAX)
		*why = g_strdup_printf("occurrences: expected at most %d",
				       JOB_OCCURRENCES_MAX);
	if (!*why && tasks * job_occurrences(j) > JOB_TASKS_MAX)
		*why = g_strdup_printf("tasks: expected at most %d",
				       JOB_TASKS_MAX);
	return !*why;
}

static bool is_same_step(const struct step *a, const struct step *b)
{
	return a->count == b->count && a->need.cpu_milli == b->need.cpu_milli &&
	       a->need.memory_mb == b->need.memory_mb &&
	       a->need.accelerators == b->need.accelerators &&
	       a->estimate_ms == b->estimate_ms &&
	       a->after_len == b->after_len &&
	       (!a->after_len || !memcmp(a->after, b->after,
					 a->after_len * sizeof(*a->after))) &&
	       a->checkpoints == b->checkpoints && a->gang == b->gang &&
	       a->rack_sensitive == b->rack_sensitive &&
	       a->speculative == b->speculative &&
	       a->long_running == b->long_running &&
	       a->best_effort_cpu == b->best_effort_cpu &&
	       a->max_tasks_per_upstream == b->max_tasks_per_upstream &&
	       a->max_unavailable == b->max_unavailable &&
	       a->target_ms == b->target_ms && !strcmp(a->label, b->label) &&
	       !strcmp(a->data_rack, b->data_rack) &&
	       !strcmp(a->image, b->image);
}

/* Settings without a service count as unknown, as a job cannot run by them. */
static bool has_same_queue_settings(const struct job *a, const struct job *b)
{
	bool known = a->queue_known && *a->service;

	return known == (b->queue_known && *b->service) &&
	       (!known || (!strcmp(a->service, b->service) &&
			   a->priority == b->priority &&
			   a->max_attempts == b->max_attempts &&
			   a->slack_factor == b->slack_factor &&
			   a->target_ms == b->target_ms));
}

/*
 * Report whether a and b were submitted alike: by the same account to the same
 * queue with the same settings, at the same time. Their states are not compared.
 */
bool job_is_same_submission(const struct job *a, const struct job *b)
{
	bool same = !strcmp(a->id, b->id) && !strcmp(a->queue, b->queue) &&
		    !strcmp(a->account, b->account) &&
		    !strcmp(a->payload, b->payload) &&
		    a->steps_len == b->steps_len &&
		    a->start_at_wall_ms == b->start_at_wall_ms &&
		    a->interval_ms == b->interval_ms &&
		    a->repeat == b->repeat &&
		    a->received_ms == b->received_ms &&
		    has_same_queue_settings(a, b);

	for (uint32_t i = 0; same && i < a->steps_len; i++)
		same = is_same_step(&a->steps[i], &b->steps[i]);
	return same;
}

/* Report whether all tasks of st are done. */
bool stage_is_complete(const struct stage *st)
{
	return st->done == st->step->count;
}

/* Set the service whose upstreams run j. */
void job_set_service(struct job *j, const char *service)
{
	j->service_quark = g_quark_from_string(service);
	j->service = g_quark_to_string(j->service_quark);
}

/* Report whether a job in state s has ended and never changes its state. */
bool job_state_is_final(enum job_state s)
{
	switch (s) {
	case JOB_QUEUED:
	case JOB_RUNNING:
		return false;
	case JOB_COMPLETED:
	case JOB_FAILED:
	case JOB_CANCELLED:
		return true;
	}
	return true;
}

/* Report whether j has reached a final state. */
bool job_is_final(const struct job *j)
{
	return job_state_is_final(j->state);
}

/* Return the name of s as written in rows and logs. */
const char *job_state_name(enum job_state s)
{
	return state_names[s];
}

/* Parse the name of a state. Returns false if it is unknown. */
bool job_state_parse(const char *s, enum job_state *out)
{
	for (int i = JOB_QUEUED; i <= JOB_CANCELLED; i++) {
		if (!strcmp(s, state_names[i])) {
			*out = i;
			return true;
		}
	}
	return false;
}

/* Return a task of an open occurrence of j, or NULL. */
struct task *job_find_task(struct job *j, uint32_t occurrence, uint32_t step,
			   uint32_t index)
{
	struct stage *st;

	if (occurrence < j->first_occurrence || occurrence >= job_open_end(j) ||
	    step >= j->steps_len)
		return NULL;
	occurrence -= j->first_occurrence;
	st = &j->stages[occurrence * j->steps_len + step];
	return index < st->step->count ? &st->tasks[index] : NULL;
}

/* Write the name of t, JOB.OCCURRENCE.STEP.INDEX, into buf. */
void task_format_name(const struct task *t, char *buf, size_t len)
{
	const struct stage *st = t->stage;

	snprintf(buf, len, "%s.%u.%u.%u", st->job->id, st->occurrence,
		 st->step_index, t->index);
}

/*
 * Read the number at *p, up to its end, and step over both. Returns false if
 * there is none, or not as it is formatted.
 */
static bool parse_number(const char **p, char end, uint32_t *out)
{
	const char *s = *p;
	uint64_t n = 0;

	while (g_ascii_isdigit(**p) && n <= UINT32_MAX)
		n = n * 10 + (uint64_t)(*(*p)++ - '0');
	if (*p == s || (*s == '0' && *p > s + 1) || n > UINT32_MAX ||
	    **p != end)
		return false;
	*out = n;
	if (end)
		(*p)++;
	return true;
}

/*
 * Parse a task's name; id has JOB_ID_BYTES. Returns false if it is
 * malformed: no other name than that of task_format_name stands for a task.
 */
bool task_parse_name(const char *name, char *id, uint32_t *occurrence,
		     uint32_t *step, uint32_t *index)
{
	size_t len = strcspn(name, ".");

	if (!len || len >= JOB_ID_BYTES || !name[len])
		return false;
	memcpy(id, name, len);
	id[len] = '\0';
	name += len + 1;
	return parse_number(&name, '.', occurrence) &&
	       parse_number(&name, '.', step) &&
	       parse_number(&name, '\0', index);
}

/* Report whether t holds resources on an upstream. */
bool task_is_active(const struct task *t)
{
	return t->state == TASK_PLACED || t->state == TASK_RUNNING ||
	       t->state == TASK_STOPPING;
}

/* Return when st is due, in wall-clock milliseconds; 0: at once. */
uint64_t stage_due_wall_ms(const struct stage *st)
{
	const struct job *j = st->job;

	return j->repeat ? j->start_at_wall_ms + st->occurrence * j->interval_ms
			 : 0;
}

/* Report whether st is due and its dependencies are complete at wall_ms. */
bool stage_is_ready(const struct stage *st, uint64_t wall_ms)
{
	const struct job *j = st->job;
	uint32_t open = st->occurrence - j->first_occurrence;
	const struct stage *first = &j->stages[open * j->steps_len];

	if (job_is_final(j) || j->cancel_wanted || stage_is_complete(st) ||
	    stage_due_wall_ms(st) > wall_ms)
		return false;
	for (uint32_t i = 0; i < st->step->after_len; i++)
		if (!stage_is_complete(&first[st->step->after[i]]))
			return false;
	return true;
}

/* Report whether no task of st is active. */
bool stage_is_idle(const struct stage *st)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		if (task_is_active(&st->tasks[i]))
			return false;
	return true;
}

/* Report whether any task of j is active. */
bool job_has_active_tasks(const struct job *j)
{
	for (uint32_t i = 0; i < j->stages_len; i++)
		if (!stage_is_idle(&j->stages[i]))
			return true;
	return false;
}

/* Report whether any task of st was ever placed. */
bool stage_has_started(const struct stage *st)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		if (st->tasks[i].run)
			return true;
	return false;
}

/* Return how many tasks of st wait to be placed. */
uint32_t stage_waiting_count(const struct stage *st)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < st->step->count; i++)
		n += st->tasks[i].state == TASK_WAITING;
	return n;
}

/* Return the next run number of a gang, above those of all its members. */
uint32_t stage_next_run_number(const struct stage *st)
{
	uint32_t run = 0;

	for (uint32_t i = 0; i < st->step->count; i++)
		run = MAX(run, st->tasks[i].run);
	return run + 1;
}

/* Place the next run of t, with this run number, on u; reserves resources. */
void task_place(struct task *t, struct upstream *u, uint32_t run,
		uint64_t now_ms)
{
	t->state = TASK_PLACED;
	t->run = run;
	t->placed_ms = now_ms;
	t->placed_started_wall_ms = u->started_wall_ms;
	t->percent = 0;
	progress_reset(t);
	t->speed = (struct speed_evidence){0};
	t->percent_listed_ms = now_ms;
	t->first_percent = 0;
	/* a run without a checkpoint begins at 0 percent */
	t->first_percent_ms = t->checkpoint ? 0 : now_ms;
	t->placed_by_earlier = false;
	t->inherited = false;
	t->sent = false;
	t->uncertain = false;
	t->refused = false;
	t->retry = false;
	t->stop_answered_ms = 0;
	fleet_occupy(u, t);
	t->stage->job->dirty = true;
	if (t->stage->job->state == JOB_QUEUED)
		t->stage->job->state = JOB_RUNNING;
}

/* Record that the upstream has confirmed at now_ms that it runs t. */
void task_confirm(struct task *t, uint64_t now_ms)
{
	if (t->state == TASK_PLACED)
		t->state = TASK_RUNNING;
	if (!t->confirmed_ms || t->confirmed_ms < t->placed_ms)
		t->confirmed_ms = now_ms;
	t->inherited = false;
}

/* Record the progress of t in percent as listed by its upstream at now_ms. */
void task_record_progress(struct task *t, uint32_t percent, uint64_t now_ms)
{
	t->percent = percent;
	t->percent_listed_ms = now_ms;
	if (t->first_percent_ms)
		return;
	t->first_percent = percent;
	t->first_percent_ms = now_ms;
}

/*
 * Keep the checkpoint of a run for the next run of t; in a gang all members
 * resume from it. NULL or an empty string keeps the earlier one.
 */
static void store_checkpoint(struct task *t, const char *checkpoint)
{
	struct stage *st = t->stage;
	uint32_t first = t->index, last = t->index;

	if (!checkpoint || !*checkpoint)
		return;
	if (st->step->gang) {
		first = 0;
		last = st->step->count - 1;
	}
	for (uint32_t i = first; i <= last; i++) {
		g_free(st->tasks[i].checkpoint);
		st->tasks[i].checkpoint = g_strdup(checkpoint);
	}
}

/*
 * Let all members of a gang resume from one checkpoint: that of the member
 * which was listed with the most progress.
 */
void stage_share_checkpoint(struct stage *st)
{
	struct task *best = NULL;
	char *checkpoint;

	for (uint32_t i = 0; i < st->step->count; i++) {
		struct task *t = &st->tasks[i];

		if (t->checkpoint && (!best || t->percent > best->percent))
			best = t;
	}
	if (!best)
		return;
	checkpoint = g_strdup(best->checkpoint);
	store_checkpoint(best, checkpoint);
	g_free(checkpoint);
}

/* Complete all members of a gang: one member's completion counts for all. */
static void complete_gang(struct stage *st, uint64_t now_ms)
{
	for (uint32_t i = 0; i < st->step->count; i++) {
		struct task *t = &st->tasks[i];

		if (t->at)
			fleet_release(t);
		t->state = TASK_DONE;
		t->ended_ms = now_ms;
	}
	st->done = st->step->count;
}

/*
 * Count a failed run of t and fail the job at max_attempts failures. A gang
 * counts as one, and long-running work is retried without end.
 */
static void count_failure(struct task *t)
{
	struct stage *st = t->stage;
	uint32_t *failures = st->step->gang ? &st->failures : &t->failures;

	t->last_failed_on = t->at;
	if (st->step->gang && st->failed_run == t->run)
		return; /* another member's failure was counted for this run */
	st->failed_run = t->run;
	(*failures)++;
	if (*failures >= st->job->max_attempts && !st->step->long_running)
		st->job->state = JOB_FAILED;
}

/*
 * Record the end of the newest run of t. The caller ensures that the end
 * belongs to that run and that the run cannot start any more.
 */
void task_end_run(struct task *t, enum run_end how, const char *checkpoint,
		  uint64_t now_ms)
{
	struct stage *st = t->stage;
	struct job *j = st->job;

	if (t->state == TASK_DONE)
		return;
	if (t->earlier_run_done)
		how = RUN_DONE;
	j->dirty = true;
	store_checkpoint(t, checkpoint);
	if (how == RUN_FAILED && !job_is_final(j))
		count_failure(t);
	if (how == RUN_DONE && !st->step->long_running) {
		if (st->step->gang) {
			complete_gang(st, now_ms);
			return;
		}
		st->done++;
		t->state = TASK_DONE;
	} else {
		t->state = TASK_WAITING;
	}
	if (t->at)
		fleet_release(t);
	t->ended_ms = now_ms;
	t->inherited = false;
}

/*
 * Record that an earlier run of t or of its gang, which was taken for lost, has
 * completed. Its active runs must be stopped and count as done when they end.
 * Returns false if nothing changes.
 */
bool task_record_earlier_done(struct task *t, uint64_t now_ms)
{
	struct stage *st = t->stage;
	uint32_t first = t->index, last = t->index;
	bool active = false;

	if (t->state == TASK_DONE || t->earlier_run_done ||
	    st->step->long_running || job_is_final(st->job))
		return false;
	if (st->step->gang) {
		first = 0;
		last = st->step->count - 1;
	}
	for (uint32_t i = first; i <= last; i++) {
		st->tasks[i].earlier_run_done = task_is_active(&st->tasks[i]);
		active |= st->tasks[i].earlier_run_done;
	}
	st->earlier_run_done |= active;
	if (!active)
		task_end_run(t, RUN_DONE, NULL, now_ms);
	return true;
}

/*
 * Complete j if all stages of all occurrences are complete, and set its end time on the
 * store's clock.
 */
void job_update_completion(struct job *j, uint64_t store_now_ms)
{
	uint32_t i;

	for (i = 0; i < j->stages_len; i++)
		if (!stage_is_complete(&j->stages[i]))
			break;
	if (i == j->stages_len && job_open_end(j) == job_occurrences(j) &&
	    !job_is_final(j)) {
		j->state = JOB_COMPLETED;
		j->dirty = true;
	}
	if (job_is_final(j) && !j->ended_ms) {
		j->ended_ms = store_now_ms;
		j->dirty = true;
	}
}

/* Cancel j unless it has ended; its active runs must be stopped. */
void job_cancel(struct job *j, uint64_t store_now_ms)
{
	j->cancel_wanted = true;
	if (job_is_final(j))
		return;
	j->state = JOB_CANCELLED;
	j->ended_ms = store_now_ms;
	j->dirty = true;
}

/* Return the name of a run's end. */
const char *run_end_name(enum run_end how)
{
	switch (how) {
	case RUN_DONE:
		return "done";
	case RUN_FAILED:
		return "failed";
	case RUN_STOPPED:
		return "stopped";
	case RUN_LEASE_EXPIRED:
		return "lapsed";
	case RUN_GANG_BROKEN:
		return "broken";
	case RUN_GANG_INCOMPLETE:
		return "alone";
	case RUN_NEVER_STARTED:
		return "never_started";
	case RUN_UPSTREAM_GONE:
		return "lost";
	}
	return "";
}

/* Return the name of w in logs. */
const char *wait_reason_name(enum wait_reason w)
{
	switch (w) {
	case WAIT_NONE:
		return "none";
	case WAIT_STOPS:
		return "stops";
	case WAIT_NOT_URGENT:
		return "not_urgent";
	case WAIT_TOO_LATE:
		return "too_late";
	case WAIT_LOSS:
		return "loss";
	case WAIT_PLAN_LATER:
		return "plan_later";
	case WAIT_NO_UPSTREAM:
		return "no_upstream";
	case WAIT_EVACUATED:
		return "evacuated";
	case WAIT_AVOIDED:
		return "avoided";
	case WAIT_RESERVED:
		return "reserved";
	case WAIT_ISOLATION:
		return "isolation";
	}
	return "";
}
