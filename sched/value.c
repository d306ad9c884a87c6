/* The worth of jobs, and of the work in their runs. */
#include <string.h>

#include "sched/value.h"

/* By priority: an urgent job, the next, all others. */
#define VALUE_URGENT 4.0
#define VALUE_SECOND 3.0
#define VALUE_OTHER 1.0
/* The part that is fixed; the rest grows with the job's work. */
#define VALUE_FIXED 0.3
#define SIZE_MOST 4.0
/* What remains of the value after the objective, up to three times it. */
#define LATE_SHARE 0.25
#define LATE_TIMES 3
/* What a second of a whole upstream is worth to other work. */
#define MACHINE_SECOND 0.1
/* What a second of a core costs that is thrown away, an accelerator
 * counting as ACCELERATOR_CORES: the users pay a thousandth of a quiet
 * job for each. */
#define CORE_SECOND 0.001
#define ACCELERATOR_CORES 8
/* No upstream is taken to hold more tasks than this. */
#define TASKS_MOST 1000
/* Progress of less than this many percent tells nothing yet. */
#define PERCENT_LEAST 4

/*
 * Work out for each step of j the expected time from its start to the end
 * of the job.  A step comes after earlier ones only, so one way back over
 * them is enough.
 */
static void rests_ms(const struct value_view *v, const struct job *j,
		     uint64_t rest[JOB_STEPS_MOST])
{
	memset(rest, 0, j->steps_len * sizeof(*rest));
	for (uint32_t i = j->steps_len; i-- > 0;) {
		const struct step *s = &j->steps[i];

		rest[i] += learn_duration_ms(v->learn, j, i);
		for (uint32_t k = 0; k < s->after_len; k++)
			rest[s->after[k]] = MAX(rest[s->after[k]], rest[i]);
	}
}

static uint64_t begun_ms(const struct stage *st)
{
	/* the objective of an occurrence counts from its own time */
	return st->job->repeat ? st->since_ms : st->job->since_ms;
}

/*
 * The share of a mean upstream that a task of st takes: what is left over
 * when no more tasks like it fit is of little use to others.
 */
static double share(const struct value_view *v, const struct stage *st)
{
	uint32_t fit = room_count(&v->machine, &st->step->need);

	return 1.0 / CLAMP(fit, 1, TASKS_MOST);
}

static double worth(const struct value_view *v, const struct job *j)
{
	double base = j->priority == 0	 ? VALUE_URGENT
		      : j->priority == 1 ? VALUE_SECOND
					 : VALUE_OTHER;
	double size = VALUE_FIXED + (1 - VALUE_FIXED) * learn_size(v->learn, j);

	return base * MIN(size, SIZE_MOST);
}

/* Return what is known of st in this pass. */
static const struct stage_value *value_of(const struct value_view *v,
					  struct stage *st)
{
	const struct job *j = st->job;
	uint64_t rest[JOB_STEPS_MOST], longest = 0;
	struct stage_value *k = &st->value;

	if (k->pass == v->pass)
		return k;
	rests_ms(v, j, rest);
	for (uint32_t i = 0; i < j->steps_len; i++)
		longest = MAX(longest, rest[i]);
	k->pass = v->pass;
	k->run_ms = learn_duration_ms(v->learn, j, st->step_index);
	k->objective_ms = longest * j->slack + j->target_ms;
	k->rest_ms = rest[st->step_index];
	k->spare_ms = (int64_t)(begun_ms(st) + k->objective_ms) -
		      (int64_t)(v->now_ms + k->rest_ms);
	k->in_time = worth(v, j);
	k->late = k->in_time * LATE_SHARE;
	k->share = share(v, st);
	k->gang_loss = -1;
	return k;
}

/* Return for how long st can wait and its job still end in time. */
int64_t value_spare_ms(const struct value_view *v, struct stage *st)
{
	return value_of(v, st)->spare_ms;
}

/* Return what is gained by starting st now rather than too late. */
double value_gain(const struct value_view *v, struct stage *st)
{
	const struct stage_value *k = value_of(v, st);
	double gain = k->in_time - k->late;

	if (k->spare_ms >= (int64_t)v->stop_ms)
		return gain;
	/* durations are uncertain: it may end in time nevertheless */
	if (k->spare_ms + (int64_t)k->run_ms / 4 >= (int64_t)v->stop_ms)
		return gain / 3;
	return 0;
}

/* Return the value that st can still earn for a second of an upstream. */
double value_density(const struct value_view *v, struct stage *st)
{
	const struct stage_value *k = value_of(v, st);
	uint64_t late = begun_ms(st) + LATE_TIMES * k->objective_ms;
	double seconds =
		MAX(k->rest_ms, 1) / 1000.0 * k->share * st->step->count;

	if (k->spare_ms >= 0)
		return k->in_time / seconds;
	if (v->now_ms + k->rest_ms <= late)
		return k->late / seconds;
	return 0;
}

/* Return for how long the run of t is expected to go on. */
uint64_t value_left_ms(const struct value_view *v, const struct task *t)
{
	uint64_t ran = v->now_ms - MIN(t->placed_ms, v->now_ms);
	uint64_t whole = value_of(v, t->stage)->run_ms;
	uint64_t since = v->now_ms - MIN(t->percent_ms, v->now_ms);
	uint32_t made = t->percent - MIN(t->percent_first, t->percent);
	uint64_t left;

	if (made < PERCENT_LEAST)
		return whole > ran ? whole - ran : whole / 4;
	left = (t->percent_ms - t->percent_first_ms) * (100 - t->percent) /
	       made;
	return left > since ? left - since : 0;
}

/* Return what is lost by stopping t, without the rest of its gang. */
static double task_loss(const struct value_view *v, const struct task *t)
{
	const struct stage_value *k = value_of(v, t->stage);
	const struct room *need = &t->stage->step->need;
	uint64_t ran = v->now_ms - MIN(t->placed_ms, v->now_ms);
	uint64_t ms = ran;
	double loss;

	if (t->stage->step->checkpoints)
		ms = MIN(ms, v->checkpoint_ms);
	ms += v->stop_ms;
	loss = ms / 1000.0 *
	       (MACHINE_SECOND * k->share +
		CORE_SECOND * (need->cpu_milli / 1000.0 +
			       need->accelerators * ACCELERATOR_CORES));
	/* a job that then ends late loses most of its value */
	if (!t->stage->step->lasting && k->spare_ms < (int64_t)v->stop_ms &&
	    k->spare_ms + (int64_t)ran >= 0)
		loss += (k->in_time - k->late) / t->stage->step->count;
	return loss;
}

/* Return what is lost by stopping t and the rest of its gang. */
double value_whole_loss(const struct value_view *v, const struct task *t)
{
	struct stage *st = t->stage;
	double sum = 0;

	if (!st->step->gang)
		return task_loss(v, t);
	if (value_of(v, st)->gang_loss >= 0)
		return st->value.gang_loss;
	for (uint32_t i = 0; i < st->step->count; i++)
		if (task_active(&st->tasks[i]))
			sum += task_loss(v, &st->tasks[i]);
	st->value.gang_loss = sum;
	return sum;
}
