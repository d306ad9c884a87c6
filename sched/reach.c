/*
 * Only upstreams with work are called, so an idle one in a failure domain that
 * is cut off looks sound, and a gang that is placed on it hangs until its lease
 * has ended. The upstreams that are called speak for the others of their
 * domain: while several are silent and none answers, the domain is in doubt.
 */
#include "sched/reach.h"

/* Silent upstreams of a domain that put it in doubt. */
#define SILENT_MIN 2
/* An answer within this time shows that the domain is reachable. */
#define HEARD_RECENTLY_MS 400
/*
 * An upstream that has never answered, and is silent for this long, is listed
 * by mistake: the platform removes those that are gone earlier.
 */
#define NEVER_HEARD_MAX_MS 10000

/* What the upstreams of a domain show. */
struct domain_state {
	GQuark domain;
	uint32_t silent;
	uint32_t heard_recently;
};

/* Record that u has answered a call. */
void reach_record_answer(struct upstream *u, uint64_t now_ms)
{
	u->heard_ms = now_ms;
	u->silent = false;
	u->silent_since_ms = 0;
	u->doubted = false;
}

/* Record that u has not answered a call in time. */
void reach_record_silence(struct upstream *u)
{
	u->silent = true;
}

static bool is_heard_recently(const struct upstream *u, uint64_t now_ms)
{
	return u->heard_ms && u->heard_ms + HEARD_RECENTLY_MS > now_ms;
}

/* Report whether u is silent in a way that speaks for its domain. */
static bool is_silent(const struct upstream *u, uint64_t now_ms)
{
	bool never_heard = !u->heard_ms && u->silent_since_ms &&
			   u->silent_since_ms + NEVER_HEARD_MAX_MS < now_ms;

	return u->silent && !never_heard;
}

/* Return the state of a domain, added if it is missing. */
static struct domain_state *state_of(GArray *states, GQuark domain)
{
	struct domain_state s = {.domain = domain};

	for (guint i = 0; i < states->len; i++) {
		struct domain_state *x =
			&g_array_index(states, struct domain_state, i);

		if (x->domain == domain)
			return x;
	}
	g_array_append_val(states, s);
	return &g_array_index(states, struct domain_state, states->len - 1);
}

/* Count the silent and the heard upstreams of each domain. */
static GArray *count_by_domain(const struct fleet *f, uint64_t now_ms)
{
	GArray *states = g_array_new(FALSE, FALSE, sizeof(struct domain_state));

	for (guint i = 0; i < f->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(f->list, i);
		struct domain_state *s;

		if (u->state == UPSTREAM_GONE)
			continue;
		s = state_of(states, u->domain_quark);
		s->silent += is_silent(u, now_ms);
		s->heard_recently += is_heard_recently(u, now_ms);
	}
	return states;
}

/*
 * Mark the upstreams of the domains that are in doubt, which get no new work.
 * Returns true if more are marked than before: they should be called, as one
 * that answers clears the doubt of its domain.
 */
bool reach_update(struct fleet *f, uint64_t now_ms)
{
	GArray *states = count_by_domain(f, now_ms);
	bool more = false;

	for (guint i = 0; i < f->list->len; i++) {
		struct upstream *u = g_ptr_array_index(f->list, i);
		const struct domain_state *s =
			state_of(states, u->domain_quark);
		bool doubted = u->state != UPSTREAM_GONE &&
			       s->silent >= SILENT_MIN && !s->heard_recently;

		more |= doubted && !u->doubted;
		u->doubted = doubted;
	}
	g_array_unref(states);
	return more;
}
