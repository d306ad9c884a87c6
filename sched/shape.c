/* How many free accelerators usual work can still use. */
#include "sched/shape.h"

/* Report whether a and b are the same. */
static bool is_equal(const struct resources *a, const struct resources *b)
{
	return resources_contain(a, b) && resources_contain(b, a);
}

/*
 * Add work of tasks with this need to the mix; equal needs are summed. A full
 * mix drops the lightest.
 */
void shape_mix_add(struct shape_mix *m, const struct resources *need,
		   double weight)
{
	struct shape *lightest = NULL;

	for (uint32_t i = 0; i < m->len; i++) {
		struct shape *s = &m->shapes[i];

		if (is_equal(&s->need, need)) {
			s->weight += weight;
			return;
		}
		if (!lightest || s->weight < lightest->weight)
			lightest = s;
	}
	if (m->len < SHAPES_MAX)
		lightest = &m->shapes[m->len++];
	else if (lightest->weight >= weight)
		return;
	*lightest = (struct shape){.need = *need, .weight = weight};
}

/*
 * Prepare the mix for upstreams like this one. It is uneven if some work leaves
 * accelerators behind that other work could use, had it cores or memory: then
 * free accelerators do not tell how full an upstream is.
 */
void shape_mix_finish(struct shape_mix *m, const struct resources *upstream)
{
	m->uneven = false;
	for (uint32_t i = 0; i < m->len; i++) {
		const struct resources *need = &m->shapes[i].need;

		m->uneven |=
			m->len > 1 && need->accelerators > 0 &&
			resources_fit_count(upstream, need) <
				upstream->accelerators / need->accelerators;
	}
}

/*
 * Return how many of the free accelerators of `have` tasks of one usual kind can
 * use, at most.
 */
int64_t shape_usable(const struct shape_mix *m, const struct resources *have)
{
	int64_t most = 0;

	for (uint32_t i = 0; i < m->len && most < have->accelerators; i++) {
		const struct resources *need = &m->shapes[i].need;

		if (need->accelerators > 0 && resources_contain(have, need))
			most = MAX(most, resources_fit_count(have, need) *
						 need->accelerators);
	}
	return most;
}
