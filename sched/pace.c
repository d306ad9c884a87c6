/*
 * A run's pace is what it has made in the last window.  Runs of one step
 * take from a third to twice their mean, so an upstream is judged by all
 * of its runs together, against what they are expected to take.
 */
#include "sched/pace.h"

/* Percentages are whole numbers and come with the lists: in a shorter
 * window a slow run cannot be told from one that stands still. */
#define WINDOW_MS 500
/* An upstream whose runs go at less than this part of the expected pace on
 * average is slow; one run alone has to be slower yet. */
#define SLOW_PACE 0.33
#define SLOW_PACE_ALONE 0.2
/* A run counts as no more than so many times faster than expected. */
#define PACE_MOST 3.0
/* A run that is nearly done tells nothing: it may end any time. */
#define NEARLY_DONE 95
/* The runs have to be slow for so long before the upstream is taken for
 * slow, and it is until so long after they were. */
#define SLOW_AFTER_MS 1000
#define SLOW_MS 2000

/* A new run of t begins. */
void pace_begin(struct task *t)
{
	t->pace = (struct pace){.resumed = t->checkpoint != NULL};
}

/*
 * Note that the upstream lists t at this percentage when its own clock
 * shows clock_ms.  When the list was read says nothing: this process may
 * have been late.
 */
void pace_note(struct task *t, uint32_t percent, uint64_t clock_ms)
{
	struct pace *p = &t->pace;

	if (!p->since_ms || percent < p->percent || clock_ms < p->since_ms) {
		p->percent = percent;
		p->since_ms = clock_ms;
		return;
	}
	if (clock_ms < p->since_ms + WINDOW_MS)
		return;
	p->whole_ms =
		(clock_ms - p->since_ms) * 100 / MAX(percent - p->percent, 1);
	p->percent = percent;
	p->since_ms = clock_ms;
}

/*
 * Report whether the pace of t tells of its upstream.  One member of a
 * gang holds up all, work far from its data is slower by nature, and a run
 * from a checkpoint jumps to it.
 */
static bool tells(const struct task *t)
{
	return t->state == TASK_RUNNING && t->pace.whole_ms &&
	       !t->pace.resumed && !t->stage->step->gang &&
	       !*t->stage->step->data_rack && t->percent < NEARLY_DONE;
}

static bool slow_now(const struct upstream *u, const struct learn *l,
		     uint32_t *known)
{
	double sum = 0;

	*known = 0;
	for (guint k = 0; k < u->tasks->len; k++) {
		const struct task *t = g_ptr_array_index(u->tasks, k);
		const struct stage *st = t->stage;
		double expected;

		if (!tells(t))
			continue;
		expected = learn_duration_ms(l, st->job, st->step_index);
		sum += MIN(expected / t->pace.whole_ms, PACE_MOST);
		++*known;
	}
	return sum < *known * (*known > 1 ? SLOW_PACE : SLOW_PACE_ALONE);
}

/* Judge u by its runs, after its lists have come. */
void pace_judge(struct upstream *u, const struct learn *l, uint64_t now_ms)
{
	uint32_t known;
	bool slow = slow_now(u, l, &known);

	if (!known)
		return;
	if (!slow) {
		u->lags_since_ms = 0;
		u->slow_until_ms = 0;
		return;
	}
	if (!u->lags_since_ms)
		u->lags_since_ms = now_ms;
	if (now_ms >= u->lags_since_ms + SLOW_AFTER_MS)
		u->slow_until_ms = now_ms + SLOW_MS;
}
