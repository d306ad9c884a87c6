/*
 * Which tasks are blamed for the end of an upstream's incarnation. A run that
 * had just begun is suspected after the first end, one that had lasted only
 * after several, as it shares them with whatever began beside it.
 */
#include <string.h>

#include "sched/ending.h"
#include "sched/suspect.h"

/* Ends late in its runs after which a task is a suspect. */
#define LATE_ENDS_MIN 3
/* Longest time that a suspect has to last to be cleared. */
#define TRIAL_MAX_MS 10000
/*
 * An end this soon after a start was hardly by chance: a task that ends what
 * starts it does so at once.
 */
#define QUICK_MS 250
/*
 * Ends that fail a task's job if the last one left no other explanation: quick
 * ones, and other early ones. Late ends take one more than those that raise the
 * suspicion. It takes one more of each if the upstream may have been at fault.
 */
#define QUICK_ENDS_CONCLUSIVE 2
#define EARLY_ENDS_CONCLUSIVE 3
/* Early ends that fail a task's job, whatever ran beside it. */
#define ENDS_MAX 5
/* The longest wait for what became of a suspect's upstream. */
#define OUTCOME_WAIT_MAX_MS 4000
/* Return the name of c in logs. */
const char *end_cause_name(enum end_cause c)
{
	switch (c) {
	case CAUSE_RUNS:
		return "runs";
	case CAUSE_COMMON:
		return "common";
	case CAUSE_PLANNED:
		return "planned";
	case CAUSE_NOT_STARTED:
		return "not_started";
	}
	return "";
}

/* Report whether the ends that t itself was blamed for make it a suspect. */
static bool is_blamed(const struct task *t)
{
	return t->suspicion.early_ends ||
	       t->suspicion.late_ends >= LATE_ENDS_MIN;
}

/*
 * Report whether t may have ended upstreams and is not cleared. The members of
 * a gang run together, so one that is blamed makes suspects of all.
 */
bool task_is_suspect(const struct task *t)
{
	const struct stage *st = t->stage;

	if (is_blamed(t))
		return true;
	for (uint32_t i = 0; st->step->gang && i < st->step->count; i++)
		if (is_blamed(&st->tasks[i]))
			return true;
	return false;
}

/* Return the longest run of t, or of its gang, at an end that was late. */
static uint32_t longest_late_ms(const struct task *t)
{
	const struct stage *st = t->stage;
	uint32_t first = st->step->gang ? 0 : t->index, longest_ms = 0;
	uint32_t end = st->step->gang ? st->step->count : t->index + 1;

	for (uint32_t i = first; i < end; i++)
		if (st->tasks[i].suspicion.late_ends >= LATE_ENDS_MIN)
			longest_ms = MAX(longest_ms,
					 st->tasks[i].suspicion.longest_ms);
	return longest_ms;
}

/* Return how long a run of the suspect t has to last to clear it. */
uint32_t suspect_trial_ms(const struct task *t)
{
	uint32_t longest_ms = longest_late_ms(t);

	return CLAMP(longest_ms + longest_ms / 4, SUSPECT_EARLY_MS,
		     TRIAL_MAX_MS);
}

/*
 * Return how long the waiting task t, or its gang, has waited for the next
 * run.
 */
uint64_t suspect_waited_ms(const struct task *t, uint64_t now_ms)
{
	const struct stage *st = t->stage;
	uint64_t since_ms = MAX(t->ended_ms, st->since_ms);

	for (uint32_t i = 0; st->step->gang && i < st->step->count; i++)
		since_ms = MAX(since_ms, st->tasks[i].ended_ms);
	return now_ms - MIN(since_ms, now_ms);
}

/*
 * Report whether the waiting task t is to be kept apart from other runs. A
 * suspect is not, once it has waited for SUSPECT_WAIT_MAX_MS.
 */
bool suspect_is_isolated(const struct task *t, uint64_t now_ms)
{
	return task_is_suspect(t) &&
	       suspect_waited_ms(t, now_ms) < SUSPECT_WAIT_MAX_MS;
}

/*
 * Report whether among the single tasks of st waits a suspect of several ends:
 * such tasks never share an upstream, as the next end must tell them apart.
 */
bool stage_spreads_suspects(const struct stage *st)
{
	for (uint32_t i = 0; !st->step->gang && i < st->step->count; i++)
		if (st->tasks[i].state == TASK_WAITING &&
		    st->tasks[i].suspicion.early_ends >= QUICK_ENDS_CONCLUSIVE)
			return true;
	return false;
}

/*
 * Report whether a suspect of st is on an upstream that has just become silent.
 * Its other tasks wait for the outcome, which may fail the job.
 */
bool stage_awaits_trial(const struct stage *st, uint64_t now_ms)
{
	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct task *t = &st->tasks[i];

		if (task_is_active(t) && task_is_suspect(t) &&
		    t->at->silent_since_ms &&
		    now_ms < t->at->silent_since_ms + OUTCOME_WAIT_MAX_MS)
			return true;
	}
	return false;
}

/* Return how long the run of t had lasted at at_ms; 0 if it is unknown. */
static uint32_t run_age_ms(const struct task *t, uint64_t at_ms)
{
	if (t->inherited || !t->confirmed_ms || t->confirmed_ms < t->placed_ms)
		return 0;
	return MIN(at_ms - MIN(t->confirmed_ms, at_ms), UINT32_MAX);
}

/*
 * Report whether the upstream of t lived when it was given the order: it has
 * confirmed the run, or was heard shortly before or since. After an order that
 * was not carried out the run may only have started by one without an answer.
 */
static bool started_in_incarnation(const struct task *t)
{
	const struct upstream *u = t->at;

	if (t->confirmed_ms && t->confirmed_ms >= t->placed_ms)
		return true;
	if (t->refused && !t->uncertain)
		return false;
	if (u->silent_since_ms && u->silent_since_ms < t->placed_ms)
		return false;
	return t->sent && u->heard_ms &&
	       u->heard_ms + SUSPECT_EARLY_MS >= t->placed_ms;
}

/* Report whether the active run of t has just begun. */
bool run_is_unproven(const struct task *t, uint64_t now_ms)
{
	return run_age_ms(t, now_ms) < SUSPECT_EARLY_MS;
}

/* Report whether a suspect is active on u, which then gets no other work. */
bool upstream_has_suspect(const struct upstream *u)
{
	for (guint i = 0; i < u->tasks->len; i++)
		if (task_is_suspect(g_ptr_array_index(u->tasks, i)))
			return true;
	return false;
}

/* Note that u has not answered a call, begun before now_ms. */
void suspect_note_silence(struct upstream *u, uint64_t now_ms)
{
	if (!u->silent_since_ms)
		u->silent_since_ms = now_ms;
}

/* Report whether two runs are blamed together: in a gang all members are. */
static bool is_same_unit(const struct task *a, const struct task *b)
{
	return a == b || (a->stage == b->stage && a->stage->step->gang);
}

/*
 * Report whether the run of t may have started in the incarnation of its
 * upstream that has ended. An order that was refused, or that has no answer
 * yet, may have come after the end, unless the upstream was heard shortly
 * before.
 */
bool run_may_have_started(const struct task *t)
{
	return !t->in_newer_incarnation &&
	       (t->inherited || t->uncertain || started_in_incarnation(t));
}

/* Forget what was concluded from an earlier end of u's incarnation. */
static void reset_blamed(struct upstream *u)
{
	if (u->blamed)
		g_array_set_size(u->blamed, 0);
	else
		u->blamed =
			g_array_new(FALSE, FALSE, sizeof(struct blamed_run));
}

/*
 * Note at now_ms that an upstream without runs has ended its incarnation,
 * unless that end is known.
 */
void suspect_note_idle_end(struct upstream *u, uint64_t now_ms)
{
	if (u->leaving ||
	    (u->incarnation_ended_ms && u->heard_ms <= u->incarnation_ended_ms))
		return;
	reset_blamed(u);
	u->incarnation_ended_ms =
		u->silent_since_ms ? u->silent_since_ms : now_ms;
	u->end_timed = u->silent_since_ms;
	u->end_explained = false;
	u->ended_without_candidate = true;
	u->silent_since_ms = 0;
}

/* Mark the ends that the task of this name was blamed for as explained. */
static void explain_ends(struct fleet *f, const char *task)
{
	for (guint i = 0; i < f->list->len; i++) {
		struct upstream *u = g_ptr_array_index(f->list, i);

		for (guint k = 0; u->blamed && k < u->blamed->len; k++)
			if (!strcmp(g_array_index(u->blamed, struct blamed_run,
						  k)
					    .task,
				    task))
				u->end_explained = true;
	}
}

/* What speaks against a task after an end that was counted for it. */
struct evidence {
	bool only;     /* no other run was unproven in the last end */
	bool doubtful; /* that end is presumed, or the machine is in doubt */
	bool others;   /* upstreams end by other causes as well */
};

/* Report whether the ends counted for t fail its job. */
static bool is_conclusive(const struct task *t, struct evidence e)
{
	const struct suspicion *s = &t->suspicion;
	uint32_t others = e.others, more = e.doubtful || e.others;

	if (s->early_ends >= ENDS_MAX)
		return true;
	return e.only &&
	       (s->quick_ends >= QUICK_ENDS_CONCLUSIVE + more ||
		s->early_ends >= EARLY_ENDS_CONCLUSIVE + more ||
		s->early_ends + s->late_ends > LATE_ENDS_MIN + others);
}

/* Fail the job of t, unless it has ended. */
static bool fail_job(struct fleet *f, struct task *t)
{
	char name[TASK_NAME_BYTES];

	if (job_is_final(t->stage->job))
		return false;
	task_format_name(t, name, sizeof(name));
	explain_ends(f, name);
	t->stage->job->state = JOB_FAILED;
	t->stage->job->dirty = true;
	return true;
}

/*
 * Report whether no other unit's run on u could have ended it as well: none
 * had just begun, or, for a run that had lasted, none was there at all.
 */
static bool is_only_candidate(const struct upstream *u, const struct task *t,
			      uint64_t at_ms, bool early)
{
	if (t->inherited || !started_in_incarnation(t))
		return false;
	for (guint i = 0; i < u->tasks->len; i++) {
		const struct task *o = g_ptr_array_index(u->tasks, i);

		if (!is_same_unit(o, t) && run_may_have_started(o) &&
		    (!early || run_is_unproven(o, at_ms)))
			return false;
	}
	return true;
}

/* Count the runs of other units on u. */
static uint32_t count_beside(const struct upstream *u, const struct task *t)
{
	uint32_t n = 0;

	for (guint i = 0; i < u->tasks->len; i++)
		n += !is_same_unit(g_ptr_array_index(u->tasks, i), t);
	return n;
}

/* Remember on u that the run of t was blamed for its end. */
static void add_blamed(struct upstream *u, const struct suspect_finding *x,
		       bool presumed)
{
	struct blamed_run b = {.early = x->early,
			       .quick = x->quick,
			       .only = x->only,
			       .presumed = presumed};

	task_format_name(x->task, b.task, sizeof(b.task));
	g_array_append_val(u->blamed, b);
}

/* Count the end of u for the run of t; returns false if it was counted. */
static bool count_end(struct upstream *u, struct task *t,
		      enum incarnation_end end, uint64_t at_ms,
		      struct suspect_finding *out)
{
	struct suspicion *s = &t->suspicion;
	bool early = run_is_unproven(t, at_ms);

	if (s->counted_run == t->run)
		return false;
	s->counted_run = t->run;
	*out = (struct suspect_finding){
		.task = t,
		.ran_ms = run_age_ms(t, at_ms),
		.beside = count_beside(u, t),
		.early = early,
		.only = is_only_candidate(u, t, at_ms, early),
	};
	out->quick = early && !t->inherited && out->ran_ms < QUICK_MS;
	s->early_ends += early;
	s->quick_ends += out->quick;
	s->late_ends += !early;
	s->longest_ms = MAX(s->longest_ms, out->ran_ms);
	t->stage->job->dirty = true;
	add_blamed(u, out, end == INCARNATION_PRESUMED_ENDED);
	out->is_suspect = task_is_suspect(t);
	return true;
}

/*
 * Judge the end of u's incarnation at now_ms, before its runs are ended: count
 * it for the tasks that may be its cause and fail the jobs of those that
 * certainly are. What was found is appended to findings, one for each task.
 */
enum end_cause suspect_judge_end(struct fleet *f, struct upstream *u,
				 enum incarnation_end end, uint64_t now_ms,
				 GArray *findings)
{
	uint64_t at_ms = u->silent_since_ms ? u->silent_since_ms : now_ms;
	bool doubtful = end != INCARNATION_ENDED ||
			ending_host_is_doubtful(f, u, now_ms);
	guint first = findings->len;
	bool any_early = false;
	enum end_cause cause = CAUSE_RUNS;

	u->earlier_ends =
		ending_speaks_against_host(u, now_ms) ? u->earlier_ends + 1 : 0;
	reset_blamed(u);
	u->incarnation_ended_ms = at_ms;
	u->end_timed = u->silent_since_ms;
	if (end == INCARNATION_LEFT || u->leaving)
		cause = CAUSE_PLANNED;
	else if (ending_has_common_cause(f, u, at_ms, u->end_timed))
		cause = CAUSE_COMMON;
	u->end_explained = cause != CAUSE_RUNS;
	if (cause != CAUSE_RUNS)
		goto out;
	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);
		struct suspect_finding finding;

		if (!run_may_have_started(t) ||
		    !count_end(u, t, end, at_ms, &finding))
			continue;
		g_array_append_val(findings, finding);
		any_early |= finding.early;
	}
	for (guint i = first; i < findings->len; i++) {
		struct suspect_finding *x =
			&g_array_index(findings, struct suspect_finding, i);
		struct evidence e = {.only = x->only,
				     .doubtful = doubtful,
				     .others = ending_other_causes_are_likely(
					     f, x->task->stage->job, now_ms)};

		x->confirmed =
			is_conclusive(x->task, e) && fail_job(f, x->task);
	}
	if (findings->len == first)
		cause = CAUSE_NOT_STARTED;
out:
	u->ended_without_candidate = !any_early && cause != CAUSE_PLANNED;
	if (end == INCARNATION_ENDED)
		u->silent_since_ms = 0;
	return cause;
}

/*
 * Note that a presumed end of u's incarnation, which t was blamed for, is now
 * known. Returns true if the job of t fails for it.
 */
bool suspect_confirm_presumed(struct fleet *f, struct upstream *u,
			      struct task *t, const struct blamed_run *b,
			      uint64_t now_ms)
{
	struct evidence e = {.only = b->only,
			     .doubtful = ending_host_is_doubtful(f, u, now_ms),
			     .others = ending_other_causes_are_likely(
				     f, t->stage->job, now_ms)};

	return is_conclusive(t, e) && fail_job(f, t);
}

/* Take back the blame b of t: the upstream's incarnation has not ended. */
void suspect_withdraw(struct task *t, const struct blamed_run *b)
{
	struct suspicion *s = &t->suspicion;
	uint32_t *ends = b->early ? &s->early_ends : &s->late_ends;

	if (!*ends)
		return;
	(*ends)--;
	s->quick_ends -= b->quick && s->quick_ends;
	t->stage->job->dirty = true;
}

/*
 * Count for t, whose run an earlier leader recorded, that the upstream's
 * incarnation has ended since. How long it had run and what ran beside it is
 * unknown, so this makes a suspect of it but proves nothing.
 */
void suspect_note_inherited_end(struct task *t)
{
	struct suspicion *s = &t->suspicion;

	if (s->counted_run == t->run || job_is_final(t->stage->job))
		return;
	s->counted_run = t->run;
	s->early_ends = MIN(s->early_ends + 1, ENDS_MAX - 1);
	t->stage->job->dirty = true;
}

/* Forget what t, or its gang, was suspected of; false if it was no suspect. */
bool suspect_clear(struct task *t)
{
	struct stage *st = t->stage;
	uint32_t first = st->step->gang ? 0 : t->index;
	uint32_t end = st->step->gang ? st->step->count : t->index + 1;

	if (!task_is_suspect(t))
		return false;
	for (uint32_t i = first; i < end; i++)
		st->tasks[i].suspicion = (struct suspicion){
			.counted_run = st->tasks[i].suspicion.counted_run};
	st->trials_passed++;
	st->job->dirty = true;
	return true;
}

/*
 * Note that t was listed as running by its upstream. Returns true if that
 * clears it: its run, or each run of its gang, had lasted long enough when its
 * upstream last answered.
 */
bool suspect_note_running(struct task *t)
{
	const struct stage *st = t->stage;
	uint32_t trial_ms, first = t->index, last = t->index;

	if (!task_is_suspect(t))
		return false;
	trial_ms = suspect_trial_ms(t);
	if (st->step->gang) {
		first = 0;
		last = st->step->count - 1;
	}
	for (uint32_t i = first; i <= last; i++) {
		const struct task *m = &st->tasks[i];

		if (m->state != TASK_RUNNING ||
		    run_age_ms(m, m->at->heard_ms) < trial_ms)
			return false;
	}
	return suspect_clear(t);
}
