/* The upstreams: resources, active tasks and health. */
#include <string.h>

#include "sched/fleet.h"

/*
 * Backoff after consecutive failures of different jobs on one upstream, doubled
 * with each further failure up to the maximum.
 */
#define AVOID_INITIAL_MS 1500
#define AVOID_MAX_MS 12000
/*
 * Backoff of an upstream that refused a start for lack of room, and of one that
 * refused several in a row.
 */
#define AVOID_FULL_MS 100
#define AVOID_FULL_AGAIN_MS 2000

/* Free the upstream p; the free function of the fleet's list. */
static void upstream_free(void *p)
{
	struct upstream *u = p;

	g_ptr_array_free(u->tasks, TRUE);
	if (u->blamed)
		g_array_unref(u->blamed);
	g_free(u);
}

/* Create a fleet without upstreams. */
struct fleet *fleet_create(void)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->list = g_ptr_array_new_with_free_func(upstream_free);
	f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return f;
}

/* Free f and its upstreams. */
void fleet_destroy(struct fleet *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->by_id);
	g_ptr_array_free(f->list, TRUE);
	g_free(f);
}

/* Find an upstream by its id; NULL when there is none. */
struct upstream *fleet_find_upstream(struct fleet *f, const char *id)
{
	return g_hash_table_lookup(f->by_id, id);
}

/* Add an upstream without resources; the fleet owns it. */
struct upstream *fleet_add_upstream(struct fleet *f, const char *id)
{
	struct upstream *u = g_new0(struct upstream, 1);

	g_strlcpy(u->id, id, sizeof(u->id));
	u->service = u->domain = u->kind = u->rack = "";
	u->tasks = g_ptr_array_new();
	g_ptr_array_add(f->list, u);
	g_hash_table_insert(f->by_id, u->id, u);
	return u;
}

/* Set the service, domain, kind and rack of u. */
void upstream_describe(struct upstream *u, const char *service,
		       const char *domain, const char *kind, const char *rack)
{
	u->service_quark = g_quark_from_string(service);
	u->kind_quark = g_quark_from_string(kind);
	u->rack_quark = g_quark_from_string(rack);
	u->domain_quark = g_quark_from_string(domain);
	u->service = g_quark_to_string(u->service_quark);
	u->domain = g_quark_to_string(u->domain_quark);
	u->kind = g_quark_to_string(u->kind_quark);
	u->rack = g_quark_to_string(u->rack_quark);
}

/* Return how many times `need` fits into `have`, which is not negative. */
uint32_t resources_fit_count(const struct resources *have,
			     const struct resources *need)
{
	int64_t n = INT32_MAX;

	if (need->cpu_milli > 0)
		n = MIN(n, have->cpu_milli / need->cpu_milli);
	if (need->memory_mb > 0)
		n = MIN(n, have->memory_mb / need->memory_mb);
	if (need->accelerators > 0)
		n = MIN(n, have->accelerators / need->accelerators);
	return n;
}

/*
 * Return the duration of a run on u divided by that on a mean upstream; 1 if
 * speeds are not in use.
 */
double upstream_slowdown(const struct upstream *u)
{
	return u->slowdown > 0 ? u->slowdown : 1;
}

/* Return the resources that t reserves. */
struct resources task_resources(const struct task *t)
{
	struct resources r = t->stage->step->need;

	if (t->stage->step->best_effort_cpu)
		r.cpu_milli = 0;
	return r;
}

/* Make t active on u and reserve its resources there. */
void fleet_occupy(struct upstream *u, struct task *t)
{
	struct resources r = task_resources(t);

	t->at = u;
	g_ptr_array_add(u->tasks, t);
	resources_add(&u->used, &r, 1);
}

/* Release the resources of t, which is no longer active on its upstream. */
void fleet_release(struct task *t)
{
	struct resources r = task_resources(t);

	resources_add(&t->at->used, &r, -1);
	g_ptr_array_remove_fast(t->at->tasks, t);
	t->at = NULL;
}

/*
 * Return the tasks on u whose order must be sent again, and clear their retry
 * flag. The list is a copy, because sending may end a task and remove it from
 * u. Free it with g_ptr_array_free.
 */
GPtrArray *upstream_take_retry_tasks(struct upstream *u)
{
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);

		if (t->retry)
			g_ptr_array_add(list, t);
		t->retry = false;
	}
	return list;
}

/* Report whether u has this label as kind or rack; label 0 matches any. */
bool upstream_has_label(const struct upstream *u, GQuark label)
{
	return !label || u->kind_quark == label || u->rack_quark == label;
}

/*
 * Report whether new work may be placed on u: it is ready, has accepted our
 * epoch, is not in backoff after failed orders, seems reachable, and is not in an
 * evacuated domain.
 */
bool upstream_is_usable(const struct upstream *u, uint64_t now_ms)
{
	return u->state == UPSTREAM_READY && u->synced && !u->doubted &&
	       !u->evacuated && u->avoid_until_ms <= now_ms;
}

/* Report whether u is slow after a start. */
bool upstream_is_cold(const struct upstream *u, uint64_t now_ms)
{
	return u->cold_until_ms > now_ms;
}

/* Report whether the active tasks of u need more resources than it has. */
bool upstream_is_overcommitted(const struct upstream *u)
{
	return !resources_contain(&u->resources, &u->used);
}

/*
 * Count a failed run of j against u. From the second counted failure on, u gets
 * no new work for a backoff, unless many others fail as well. A job that fails
 * twice in a row counts once: it may be the job's own fault.
 */
void upstream_record_failure(struct upstream *u, const struct job *j,
			     uint64_t now_ms)
{
	uint64_t backoff_ms;

	if (u->last_failed_job == j)
		return;
	u->last_failed_job = j;
	u->consecutive_failures++;
	if (u->consecutive_failures < 2)
		return;
	backoff_ms = (uint64_t)AVOID_INITIAL_MS
		     << MIN(u->consecutive_failures - 2, 3);
	u->failing_until_ms = now_ms + MIN(backoff_ms, AVOID_MAX_MS);
}

/* Record a successful run on u: clear its failures and backoff. */
void upstream_record_success(struct upstream *u)
{
	u->consecutive_failures = 0;
	u->last_failed_job = NULL;
	u->failing_until_ms = 0;
	u->avoid_until_ms = 0;
}

/* Place no new work on u for ms milliseconds from now_ms. */
void upstream_avoid_for(struct upstream *u, uint32_t ms, uint64_t now_ms)
{
	u->avoid_until_ms = MAX(u->avoid_until_ms, now_ms + ms);
}

/*
 * Record that u has refused a start for lack of room: the model overrates its
 * room. A pause that is over when the other members of a refused gang have
 * stopped would give them to u again, so further refusals cost a longer one.
 * Starts that are refused during a pause were sent before it.
 */
void upstream_record_full(struct upstream *u, uint64_t now_ms)
{
	if (u->avoid_until_ms > now_ms)
		return;
	upstream_avoid_for(u,
			   u->consecutive_refusals ? AVOID_FULL_AGAIN_MS
						   : AVOID_FULL_MS,
			   now_ms);
	u->consecutive_refusals++;
}

/*
 * Forget the refusals of u, which has started a run or changed its resources.
 */
void upstream_clear_refusals(struct upstream *u)
{
	u->consecutive_refusals = 0;
}
