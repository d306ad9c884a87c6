/*
 * Answers to operators' queries: how the upstreams are used, why a job waits,
 * and what needs attention.  Only the domain's coordinator answers.
 */
#include <string.h>

#include "daemon/coordinator-internal.h"

static const char *upstream_state_name(const struct upstream_control *c)
{
	if (upstream_control_is_gone(c))
		return "gone";
	if (c->leaving || c->listed_leaving)
		return "leaving";
	if (c->health.quarantined)
		return "quarantined";
	if (!c->claimed)
		return "silent";
	return "open";
}

/*
 * Describe every configured upstream of the domain and the fragmentation of
 * its accelerators.  NULL if this instance is not the coordinator.
 */
json_t *explain_upstreams(struct coordinator *d)
{
	json_t *list;
	struct fragmentation f;

	if (d->role != ROLE_LEADER)
		return NULL;
	list = json_array();
	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);
		const struct upstream *u;

		if (!c->configured)
			continue;
		u = inventory_upstream(sched_inventory(d->sched), c->index);
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i}",
				  "name", c->name, "rack", c->rack, "state",
				  upstream_state_name(c), "accelerators",
				  __builtin_popcount(u->all), "used",
				  __builtin_popcount(u->used), "borrowed",
				  __builtin_popcount(u->borrowed), "held",
				  __builtin_popcount(u->held), "slots",
				  (int)u->slots, "slots_used",
				  (int)u->slots_used));
	}
	inventory_measure_fragmentation(sched_inventory(d->sched), &f);
	return json_pack("{s:s,s:I,s:o,s:{s:i,s:i,s:i,s:i}}", "domain",
			 d->env->settings->domain, "epoch",
			 (json_int_t)d->epoch, "upstreams", list,
			 "fragmentation", "accelerators", (int)f.accelerators,
			 "free", (int)f.free, "free_on_whole_upstreams",
			 (int)f.free_whole, "largest_whole_run",
			 (int)f.largest_whole_run);
}

static uint32_t count_bound_accelerators(const struct coordinator *d,
					 uint32_t account)
{
	const struct inventory *s = sched_inventory(d->sched);
	uint32_t n = 0;

	for (uint32_t i = 0; i < inventory_upstream_count(s); i++)
		n += __builtin_popcount(
			upstream_bound_mask(inventory_upstream(s, i), account));
	return n;
}

static uint32_t count_free_accelerators(const struct coordinator *d)
{
	const struct inventory *s = sched_inventory(d->sched);
	uint32_t n = 0;

	for (uint32_t i = 0; i < inventory_upstream_count(s); i++) {
		const struct upstream *u = inventory_upstream(s, i);

		if (u->usable)
			n += __builtin_popcount(u->all & ~u->used & ~u->held);
	}
	return n;
}

/* Describe what a waiting gang needs and what would let it start. */
static char *explain_waiting(struct coordinator *d, const struct gang *g)
{
	const struct job *j = g->job_handle == NO_JOB_HANDLE
				      ? NULL
				      : sched_job(d->sched, g->job_handle);
	uint32_t need = g->shape.parts * g->shape.accelerators;

	if (!d->settled)
		return g_strdup("The decider has just taken over and must see "
				"the table once before it starts anything; "
				"it goes on when the table answers.");
	if (!j)
		return g_strdup("It enters the queue with the next decision.");
	if (j->state == JOB_CLAIMING)
		return g_strdup_printf(
			"It needs %u accelerators in %u parts. Places are "
			"held for it, and work that is in them is %s.",
			need, g->shape.parts,
			j->usage == USAGE_BORROWED ? "awaited"
						   : "being stopped");
	return g_strdup_printf(
		"It needs %u accelerators in %u parts of %u. Its account has "
		"%u bound in this domain, and they are in use by its own work "
		"or do not have this shape; %u are free in the domain, but "
		"not in this shape. It starts when other work ends, or when "
		"the account's guarantee is enlarged.",
		need, g->shape.parts, g->shape.accelerators,
		count_bound_accelerators(d, j->spec.shape.account),
		count_free_accelerators(d));
}

static char *explain_state(struct coordinator *d, const struct gang *g)
{
	switch (g->state) {
	case GANG_WAITING:
		return explain_waiting(d, g);
	case GANG_RECORDING:
		return g_strdup("Its start is being recorded in the table; it "
				"goes on when the table answers.");
	case GANG_RESERVING:
		return g_strdup("Its parts are being reserved.");
	case GANG_STARTING:
		return g_strdup("Its parts are being started.");
	case GANG_RUNNING:
		return g_strdup("It runs.");
	case GANG_RELEASING:
		return g_strdup_printf("Its parts are being stopped: %s. It "
				       "goes on when each has stopped or its "
				       "lease has lapsed.",
				       g->reason);
	case GANG_ENDED:
		return g_strdup("It has ended, and its end is being recorded "
				"in the table.");
	}
	return g_strdup("");
}

static json_t *placement_json(const struct gang *g)
{
	json_t *list = json_array();

	for (uint32_t i = 0; g->parts && i < g->shape.parts; i++)
		json_array_append_new(
			list,
			json_pack("{s:i,s:s,s:I}", "part", (int)i, "upstream",
				  g->parts[i].control
					  ? g->parts[i].control->name
					  : "",
				  "mask", (json_int_t)g->parts[i].mask));
	return list;
}

/*
 * Explain a job's state.  NULL if the job is unknown or this instance is not
 * the coordinator.
 */
json_t *explain_job(struct coordinator *d, const char *job)
{
	struct gang *g = g_hash_table_lookup(d->gangs, job);
	char *text;
	json_t *v;

	if (!g || d->role != ROLE_LEADER)
		return NULL;
	text = explain_state(d, g);
	v = json_pack("{s:s,s:s,s:s,s:I,s:s,s:o}", "job", job, "state",
		      gang_state_name(g->state), "account", g->account,
		      "waited_ms",
		      (json_int_t)(clock_mono_ms() - g->submitted_ms), "why",
		      text, "where", placement_json(g));
	g_free(text);
	return v;
}

static void add_stuck_item(json_t *list, const char *kind, const char *name,
			   const char *cause, const char *remedy)
{
	json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:s}", "kind", kind,
					      "name", name, "cause", cause,
					      "remedy", remedy));
}

static void add_stuck_upstream(json_t *list, const struct upstream_control *c)
{
	const char *state = upstream_state_name(c);

	if (!strcmp(state, "quarantined"))
		add_stuck_item(
			list, "upstream", c->name,
			"it failed three different jobs in a row",
			"look at the upstream; it is probed by itself and "
			"comes back after a success");
	else if (!strcmp(state, "silent"))
		add_stuck_item(
			list, "upstream", c->name,
			"it does not answer but is listed as live",
			"restart it, or take it off the platform's list");
	else if (!strcmp(state, "gone"))
		add_stuck_item(
			list, "upstream", c->name,
			"it is configured but not on the platform's list",
			"bring it back, or remove it: config apply with "
			"\"remove\"");
}

static uint32_t count_guaranteed_cells(const struct config_account *a,
				       const char *domain)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < a->guarantees_len; i++)
		if (!strcmp(a->guarantees[i].domain, domain))
			n += a->guarantees[i].count;
	return n;
}

static uint32_t count_bound_cells(const struct config *c, const char *account,
				  const char *domain)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->bindings_len; i++)
		n += !strcmp(c->bindings[i].account, account) &&
		     !strcmp(c->bindings[i].domain, domain);
	return n;
}

static void add_unmet_guarantees(const struct coordinator *d, json_t *list)
{
	const struct config *c = d->config;
	const char *domain = d->env->settings->domain;

	for (uint32_t i = 0; i < c->accounts_len; i++) {
		const char *name = c->accounts[i].name;

		if (count_bound_cells(c, name, domain) <
		    count_guaranteed_cells(&c->accounts[i], domain))
			add_stuck_item(
				list, "guarantee", name,
				"fewer cells are bound than guaranteed, "
				"since upstreams are lost",
				"bring upstreams back or add some; cells "
				"are bound again by themselves");
	}
}

/*
 * List what needs an operator's attention.  NULL if this instance is not the
 * coordinator.
 */
json_t *explain_stuck(struct coordinator *d)
{
	json_t *list;
	GHashTableIter it;
	gpointer v;

	if (d->role != ROLE_LEADER)
		return NULL;
	list = json_array();
	if (!d->table_reachable)
		add_stuck_item(list, "platform", "table",
			       "the table does not answer",
			       "nothing is lost: running work and idempotent "
			       "checks go on; new jobs are refused until it is "
			       "back");
	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);

		if (c->configured)
			add_stuck_upstream(list, c);
	}
	add_unmet_guarantees(d, list);
	g_hash_table_iter_init(&it, d->gangs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct gang *g = v;
		char *text;

		if (g->state == GANG_RUNNING ||
		    clock_mono_ms() - g->state_since_ms <
			    d->config->limits.hold_after_ms)
			continue;
		text = explain_state(d, g);
		add_stuck_item(list, "job", g->name, text,
			       "lacewingctl why, or cancel");
		g_free(text);
	}
	return json_pack("{s:s,s:o}", "domain", d->env->settings->domain,
			 "stuck", list);
}
