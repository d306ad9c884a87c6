/*
 * A run's pace is what it has made in the last window.  The tasks of a
 * step take about as long as each other, so a run is compared with the
 * fastest of its step, and with what it made itself before; only then with
 * the expectation, which may be far off.
 */
#include "sched/pace.h"

/* Percentages are whole numbers and come with the lists, so a window has
 * to be long enough to tell a third of the usual pace from it. */
#define WINDOW_MS 500
/* In a window in which this much was made the pace is known well. */
#define MADE_LEAST 4
/* A run that would take so many times as long lags behind. */
#define LAG_TIMES 3
#define LAG_EXPECTED_TIMES 4
/* A run that is nearly done tells nothing: it may end any time. */
#define NEARLY_DONE 95
/* An upstream is taken for slow until so long after its runs have shown
 * it; its own runs show when that is over. */
#define SLOW_MS 2000

/* A new run of t begins. */
void pace_begin(struct task *t)
{
	t->pace = (struct pace){0};
}

/* Note that a list which has come at now_ms shows t at this percentage. */
void pace_note(struct task *t, uint32_t percent, uint64_t now_ms)
{
	struct pace *p = &t->pace;
	uint64_t took;
	uint32_t made;

	if (!p->since_ms || percent < p->percent) {
		p->percent = percent;
		p->since_ms = now_ms;
		return;
	}
	took = now_ms - p->since_ms;
	if (took < WINDOW_MS)
		return;
	made = percent - p->percent;
	p->whole_ms = took * 100 / MAX(made, 1);
	if (made >= MADE_LEAST &&
	    (!t->stage->fastest_ms || p->whole_ms < t->stage->fastest_ms))
		t->stage->fastest_ms = p->whole_ms;
	p->percent = percent;
	p->since_ms = now_ms;
}

/* Report whether t goes far slower than it should. */
bool pace_lags(const struct task *t, uint64_t expected_ms)
{
	const struct pace *p = &t->pace;

	if (!p->whole_ms || t->percent >= NEARLY_DONE)
		return false;
	if (t->stage->fastest_ms)
		return p->whole_ms >= LAG_TIMES * t->stage->fastest_ms;
	return p->whole_ms >= LAG_EXPECTED_TIMES * expected_ms;
}

/* Judge u by its runs: gangs tell nothing, as one member holds up all. */
void pace_judge(struct upstream *u, uint64_t now_ms)
{
	uint32_t lagging = 0, known = 0;

	for (guint k = 0; k < u->tasks->len; k++) {
		const struct task *t = g_ptr_array_index(u->tasks, k);

		if (t->stage->step->gang || t->state != TASK_RUNNING ||
		    !t->pace.whole_ms || !t->stage->fastest_ms)
			continue;
		known++;
		lagging += pace_lags(t, 0);
	}
	if (lagging && 2 * lagging >= known)
		u->slow_until_ms = now_ms + SLOW_MS;
	else if (known)
		u->slow_until_ms = 0;
}
