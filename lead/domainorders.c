/*
 * The rows are the operators'; this instance's replica of them is all that is
 * kept. A replica that was not answered for a while may lack a row, so the
 * leader sends no start by it.
 */
#include "lead/domainorders.h"
#include "lib/log.h"
#include "sched/evacuation.h"

/*
 * The store holds a feed call of the leader for at most this share of the
 * bound: between two answers, the copy becomes up to two such waits old.
 */
#define WAIT_DIVISOR 10

struct domain_orders {
	const struct joint_settings *settings;
	struct replica *rows; /* not owned */
	struct evacuation *evacuation;
	bool outdated; /* the rows were too old when last asked for */
};

/*
 * Create orders that follow the rows of a replica, which outlives them; without
 * one there are none. The setting may change while they exist.
 */
struct domain_orders *domain_orders_create(const struct joint_settings *s,
					   struct replica *rows)
{
	struct domain_orders *o = g_new0(struct domain_orders, 1);

	o->settings = s;
	o->rows = rows;
	o->evacuation = evacuation_create();
	return o;
}

/* Free o; NULL is allowed. */
void domain_orders_destroy(struct domain_orders *o)
{
	if (!o)
		return;
	evacuation_destroy(o->evacuation);
	g_free(o);
}

/* Report whether evacuation is in use. */
static bool is_in_use(const struct domain_orders *o)
{
	return o->rows && o->settings->evacuate_ms;
}

/*
 * Apply the row of a domain, which was written or removed. Returns whether the
 * orders have changed.
 */
bool domain_orders_apply_row(struct domain_orders *o, const char *domain,
			     bool present)
{
	if (!evacuation_set(o->evacuation, domain, present))
		return false;
	if (is_in_use(o))
		log_fields(LOG_INFO,
			   present ? "domain_evacuated" : "domain_restored",
			   "{s:s,s:i}", "domain", domain, "evacuated",
			   (int)evacuation_count(o->evacuation));
	return true;
}

/*
 * Ask the store often for the rows, as the leader must, or as often as any
 * other instance.
 */
void domain_orders_follow_closely(struct domain_orders *o, bool closely)
{
	if (o->rows)
		replica_limit_wait(o->rows, closely && is_in_use(o)
						    ? o->settings->evacuate_ms /
							      WAIT_DIVISOR
						    : UINT32_MAX);
}

/* Mark the upstreams that get no work. */
void domain_orders_mark(const struct domain_orders *o, struct fleet *f)
{
	evacuation_mark(o->evacuation, f, is_in_use(o));
}

/* Return the number of evacuated domains. */
uint32_t domain_orders_count(const struct domain_orders *o)
{
	return is_in_use(o) ? evacuation_count(o->evacuation) : 0;
}

/*
 * Report whether the copy of the rows is new enough to order a start by it. A
 * change to an outdated one is logged, as all starts wait from then on.
 */
bool domain_orders_are_current(struct domain_orders *o)
{
	uint64_t age_ms;
	bool outdated;

	if (!is_in_use(o))
		return true;
	age_ms = replica_age_max_ms(o->rows);
	outdated = age_ms > evacuation_age_max_ms(
				    o->settings->evacuate_ms,
				    MIN(START_LEASE_MS, o->settings->lease_ms));
	if (outdated && !o->outdated)
		log_fields(LOG_WARN, "start_withheld", "{s:s,s:I}", "why",
			   "rows_outdated", "age_ms",
			   age_ms == UINT64_MAX ? (json_int_t)-1
						: (json_int_t)age_ms);
	o->outdated = outdated;
	return !outdated;
}

/* Report whether u is in an evacuated domain. */
bool domain_orders_forbid(const struct domain_orders *o,
			  const struct upstream *u)
{
	return is_in_use(o) && evacuation_includes(o->evacuation, u->domain);
}

/* Log that the start of t is not sent, or not sent again. */
void domain_orders_log_withheld(const struct task *t)
{
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	log_fields(LOG_INFO, "start_withheld", "{s:s,s:s,s:s,s:I,s:s,s:s,s:b}",
		   "why", "domain_evacuated", "job", t->stage->job->id, "task",
		   name, "run", (json_int_t)t->run, "upstream", t->at->id,
		   "domain", t->at->domain, "uncertain", t->uncertain);
}

/*
 * End those of the tasks as never started whose orders were not sent and whose
 * domains are evacuated.
 */
void domain_orders_withhold(const struct domain_orders *o,
			    const GPtrArray *tasks, uint64_t now_ms)
{
	for (guint i = 0; i < tasks->len; i++) {
		struct task *t = g_ptr_array_index(tasks, i);

		if (t->state != TASK_PLACED || t->sent ||
		    !domain_orders_forbid(o, t->at))
			continue;
		domain_orders_log_withheld(t);
		task_end_run(t, RUN_NEVER_STARTED, NULL, now_ms);
	}
}

/* Return the lease to ask for with a start order. */
uint32_t domain_orders_start_lease_ms(const struct joint_settings *s)
{
	return evacuation_start_lease_ms(s->evacuate_ms,
					 MIN(START_LEASE_MS, s->lease_ms));
}
