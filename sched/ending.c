/*
 * Causes of the ends of upstreams' incarnations other than a task: power, the
 * machine, restarts all over the site. They are told by what else ends at the
 * time.
 */
#include "sched/ending.h"
#include "sched/suspect.h"

/* Ends this close to each other may have a common cause. */
#define COMMON_CAUSE_MS 700
/*
 * The fewest upstreams that show a common cause, and their share, as a
 * divisor, of a rack or domain and of all.
 */
#define COMMON_CAUSE_MIN 3
#define COMMON_PLACE_DIVISOR 2
#define COMMON_FLEET_DIVISOR 4
/* An unexplained end speaks against the machine for this time. */
#define HOST_HISTORY_MS 60000
/* So many such ends put a machine in doubt. */
#define HOST_ENDS_MIN 2
/* So many ends without a run that had just begun put all others in doubt. */
#define OTHER_CAUSE_MIN 3
#define OTHER_CAUSE_MS 10000

/* Report whether a time that is set is close to another one. */
static bool is_close(uint64_t a_ms, uint64_t b_ms)
{
	return a_ms && a_ms + COMMON_CAUSE_MS >= b_ms &&
	       b_ms + COMMON_CAUSE_MS >= a_ms;
}

/*
 * Report whether the incarnation of v ended, or seems to end, close to at_ms.
 * An end whose time was not seen is compared with others of this kind only:
 * they were found at the same time.
 */
static bool ends_with(const struct upstream *v, uint64_t at_ms, bool timed)
{
	/* its end was explained by a task */
	if (v->end_explained && v->blamed->len)
		return false;
	if (v->leaving)
		return false;
	if (timed && is_close(v->silent_since_ms, at_ms))
		return true;
	return v->end_timed == timed &&
	       is_close(v->incarnation_ended_ms, at_ms);
}

/* Report whether a task name belongs to j. */
static bool name_is_of_job(const char *name, const struct job *j)
{
	return g_str_has_prefix(name, j->id);
}

/*
 * Report whether v, whose incarnation ends too, was starting runs of j as well.
 */
static bool shares_job(const struct upstream *v, const struct job *j,
		       uint64_t at_ms)
{
	for (guint i = 0; i < v->tasks->len; i++) {
		const struct task *t = g_ptr_array_index(v->tasks, i);

		if (t->stage->job == j && run_may_have_started(t) &&
		    run_is_unproven(t, at_ms))
			return true;
	}
	for (guint i = 0; v->blamed && i < v->blamed->len; i++) {
		const struct blamed_run *b =
			&g_array_index(v->blamed, struct blamed_run, i);

		if (b->early && name_is_of_job(b->task, j))
			return true;
	}
	return false;
}

/* Report whether one job may explain the ends of both u and v. */
static bool one_job_explains(const struct upstream *u, const struct upstream *v,
			     uint64_t at_ms)
{
	for (guint i = 0; i < u->tasks->len; i++) {
		const struct task *t = g_ptr_array_index(u->tasks, i);

		if (run_may_have_started(t) && run_is_unproven(t, at_ms) &&
		    shares_job(v, t->stage->job, at_ms))
			return true;
	}
	return false;
}

/* Numbers of upstreams in a rack, in a domain and in all. */
struct extent {
	uint32_t rack;
	uint32_t domain;
	uint32_t all;
};

/* Count v in the extents that it shares with u. */
static void extent_add(struct extent *e, const struct upstream *u,
		       const struct upstream *v)
{
	e->rack += u->rack_quark && v->rack_quark == u->rack_quark;
	e->domain += u->domain_quark && v->domain_quark == u->domain_quark;
	e->all++;
}

/* Report whether n upstreams that ended are enough to show a common cause. */
static bool is_common(uint32_t n, uint32_t all, uint32_t divisor)
{
	return n >= COMMON_CAUSE_MIN && n * divisor >= all;
}

/*
 * Report whether u ended together with so many upstreams of its rack, its
 * domain or all that no run explains it, unless they ran the same job.
 */
bool ending_has_common_cause(const struct fleet *f, const struct upstream *u,
			     uint64_t at_ms, bool timed)
{
	struct extent ended = {0}, all = {0};

	for (guint i = 0; i < f->list->len; i++) {
		const struct upstream *v = g_ptr_array_index(f->list, i);
		bool ends = v == u || ends_with(v, at_ms, timed);

		if (v->state != UPSTREAM_GONE || ends)
			extent_add(&all, u, v);
		if (v == u || (ends && !upstream_has_suspect(v) &&
			       !one_job_explains(u, v, at_ms)))
			extent_add(&ended, u, v);
	}
	return is_common(ended.rack, all.rack, COMMON_PLACE_DIVISOR) ||
	       is_common(ended.domain, all.domain, COMMON_PLACE_DIVISOR) ||
	       is_common(ended.all, all.all, COMMON_FLEET_DIVISOR);
}

/*
 * Report whether the last end of u was recent and is no more likely to be one
 * task's doing than the machine's.
 */
bool ending_speaks_against_host(const struct upstream *u, uint64_t now_ms)
{
	if (!u->incarnation_ended_ms || u->end_explained ||
	    u->incarnation_ended_ms + HOST_HISTORY_MS <= now_ms)
		return false;
	for (guint i = 0; u->blamed && i < u->blamed->len; i++) {
		const struct blamed_run *b =
			&g_array_index(u->blamed, struct blamed_run, i);

		if (b->early && b->only)
			return false;
	}
	return true;
}

/*
 * Report whether the machine of u seems to end incarnations by itself: it has
 * ended several lately that no task explains.
 */
bool ending_host_is_doubtful(const struct fleet *f, const struct upstream *u,
			     uint64_t now_ms)
{
	uint32_t ends = 0;

	for (guint i = 0; i < f->list->len; i++) {
		const struct upstream *v = g_ptr_array_index(f->list, i);

		if ((v == u ||
		     (u->host_quark && v->host_quark == u->host_quark)) &&
		    ending_speaks_against_host(v, now_ms))
			ends += 1 + v->earlier_ends;
	}
	return ends >= HOST_ENDS_MIN;
}

/* Report whether a run of j was blamed for the last end of u. */
static bool was_ended_by(const struct upstream *u, const struct job *j)
{
	for (guint i = 0; u->blamed && i < u->blamed->len; i++)
		if (name_is_of_job(
			    g_array_index(u->blamed, struct blamed_run, i).task,
			    j))
			return true;
	return false;
}

/*
 * Report whether upstreams have lately ended by other causes than runs of j and
 * runs that had just begun: then one of these may have begun in time by chance.
 */
bool ending_other_causes_are_likely(const struct fleet *f, const struct job *j,
				    uint64_t now_ms)
{
	uint32_t ends = 0;

	for (guint i = 0; i < f->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(f->list, i);

		ends += u->ended_without_candidate && !u->leaving &&
			u->incarnation_ended_ms + OTHER_CAUSE_MS > now_ms &&
			!was_ended_by(u, j);
	}
	return ends >= OTHER_CAUSE_MIN;
}

/*
 * Return the set of machines whose end under a suspect of j would prove little:
 * they have ended an incarnation that no task explains, or one under j already.
 */
GHashTable *ending_doubtful_hosts(const struct fleet *f, const struct job *j,
				  uint64_t now_ms)
{
	GHashTable *hosts = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < f->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(f->list, i);

		if (u->host_quark && (ending_speaks_against_host(u, now_ms) ||
				      was_ended_by(u, j)))
			g_hash_table_add(hosts,
					 GUINT_TO_POINTER(u->host_quark));
	}
	return hosts;
}
