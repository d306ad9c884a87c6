/* Configuration snapshots, their file format, and binding of guarantees. */
#include <glib.h>
#include <string.h>

#include "config/config.h"
#include "lib/http.h"

#define KEY_ACCOUNT "config/account/"
#define KEY_UPSTREAM "config/upstream/"
#define KEY_BINDING "config/binding/"
#define KEY_LIMITS "config/limits"

static const char *const cell_names[] = {"accelerator", "half", "upstream",
					 "rack", NULL};

static const struct field guarantee_fields[] = {
	{"cell", FIELD_CHOICE, true, .choices = cell_names},
	{"count", FIELD_INTEGER, true, 1, 100000, "cells"},
	{"domain", FIELD_NAME, false, 1, 60, "characters"},
	{0}};

static const struct field account_fields[] = {
	{"name", FIELD_NAME, true, 1, 60, "characters"},
	{"weight", FIELD_INTEGER, false, 1, 1000, "shares"},
	{"queue_limit", FIELD_INTEGER, false, 1, 100000, "jobs"},
	{"check_limit", FIELD_INTEGER, false, 1, 100000, "checks"},
	{"headroom", FIELD_INTEGER, false, 0, 1024, "accelerators"},
	{"guarantee", FIELD_ARRAY, false, 0, 64, .fields = guarantee_fields},
	{"answers", FIELD_ANY},
	{0}};

static const struct field upstream_fields[] = {
	{"name", FIELD_NAME, true, 1, 60, "characters"},
	{"domain", FIELD_NAME, true, 1, 60, "characters"},
	{"rack", FIELD_NAME, true, 1, 47, "characters"},
	{"address", FIELD_ADDRESS, true},
	{"accelerators", FIELD_INTEGER, true, 0, UPSTREAM_ACCELERATORS_MAX,
	 "accelerators"},
	{"slots", FIELD_INTEGER, true, 1, 4096, "slots"},
	{0}};

static const struct field limit_fields[] = {
	{"quick_slots", FIELD_INTEGER, false, 0, 4096, "slots"},
	{"lease_term_ms", FIELD_INTEGER, false, 500, 600000, "milliseconds"},
	{"renew_ms", FIELD_INTEGER, false, 100, 200000, "milliseconds"},
	{"grace_ms", FIELD_INTEGER, false, 0, 600000, "milliseconds"},
	{"hold_after_ms", FIELD_INTEGER, false, 0, 86400000, "milliseconds"},
	{"check_deadline_ms", FIELD_INTEGER, false, 50, 600000, "milliseconds"},
	{"retry_percent", FIELD_INTEGER, false, 0, 100, "percent"},
	{"job_tries", FIELD_INTEGER, false, 1, 10, "upstreams"},
	{0}};

const struct field config_file_fields[] = {
	{"accounts", FIELD_ARRAY, false, 0, 10000, .fields = account_fields},
	{"upstreams", FIELD_ARRAY, false, 0, 100000, .fields = upstream_fields},
	{"limits", FIELD_OBJECT, .fields = limit_fields},
	{"remove", FIELD_ARRAY, false, 0, 10000, .item = FIELD_NAME},
	{"base", FIELD_INTEGER, false, 0, INT64_MAX, "version"},
	{0}};

/* Add a reference to c. */
struct config *config_ref(struct config *c)
{
	c->refs++;
	return c;
}

/* Drop a reference to c, and free c with the last one. */
void config_unref(struct config *c)
{
	if (!c || --c->refs)
		return;
	for (uint32_t i = 0; i < c->accounts_len; i++)
		g_free(c->accounts[i].guarantees);
	g_free(c->accounts);
	g_free(c->upstreams);
	g_free(c->bindings);
	g_free(c);
}

static void read_account(struct config_account *a, const json_t *v)
{
	const json_t *list = json_object_get(v, "guarantee");
	json_t *g;
	size_t i;

	g_strlcpy(a->name, json_str_or(v, "name", ""), sizeof(a->name));
	a->weight = json_int_or(v, "weight", 1);
	a->queue_limit = json_int_or(v, "queue_limit", 1000);
	a->check_limit = json_int_or(v, "check_limit", 1000);
	a->headroom = json_int_or(v, "headroom", 0);
	a->guarantees_len = json_array_size(list);
	a->guarantees = g_new0(struct guarantee, a->guarantees_len + 1);
	json_array_foreach(list, i, g)
	{
		cell_kind_parse(json_str_or(g, "cell", "accelerator"),
				&a->guarantees[i].kind);
		a->guarantees[i].count = json_int_or(g, "count", 0);
		g_strlcpy(a->guarantees[i].domain, json_str_or(g, "domain", ""),
			  sizeof(a->guarantees[i].domain));
	}
}

static void read_upstream(struct config_upstream *u, const json_t *v)
{
	g_strlcpy(u->name, json_str_or(v, "name", ""), sizeof(u->name));
	g_strlcpy(u->domain, json_str_or(v, "domain", ""), sizeof(u->domain));
	g_strlcpy(u->rack, json_str_or(v, "rack", ""), sizeof(u->rack));
	address_parse(json_str_or(v, "address", ""), &u->address);
	u->accelerators = json_int_or(v, "accelerators", 0);
	u->slots = json_int_or(v, "slots", 1);
}

static void read_bindings(struct config *c, const char *domain, const json_t *v)
{
	const json_t *list = json_object_get(v, "cells");
	json_t *b;
	size_t i;

	c->bindings = g_renew(struct config_binding, c->bindings,
			      c->bindings_len + json_array_size(list) + 1);
	json_array_foreach(list, i, b)
	{
		struct config_binding *o = &c->bindings[c->bindings_len++];

		g_strlcpy(o->domain, domain, sizeof(o->domain));
		g_strlcpy(o->account, json_str_or(b, "account", ""),
			  sizeof(o->account));
		g_strlcpy(o->at, json_str_or(b, "at", ""), sizeof(o->at));
		o->mask = json_int_or(b, "mask", 0);
		o->kind = CELL_ACCELERATOR;
		cell_kind_parse(json_str_or(b, "cell", ""), &o->kind);
	}
}

static void read_limits(struct config_limits *l, const json_t *v)
{
	l->quick_slots = json_int_or(v, "quick_slots", 2);
	l->lease_term_ms = json_int_or(v, "lease_term_ms", 3000);
	l->renew_ms = json_int_or(v, "renew_ms", 1000);
	l->grace_ms = json_int_or(v, "grace_ms", 500);
	l->hold_after_ms = json_int_or(v, "hold_after_ms", 60000);
	l->check_deadline_ms = json_int_or(v, "check_deadline_ms", 1800);
	l->retry_percent = json_int_or(v, "retry_percent", 20);
	l->job_tries = json_int_or(v, "job_tries", 3);
}

static void read_row(struct config *c, const char *key, const json_t *v)
{
	if (g_str_has_prefix(key, KEY_ACCOUNT)) {
		c->accounts = g_renew(struct config_account, c->accounts,
				      c->accounts_len + 1);
		read_account(&c->accounts[c->accounts_len++], v);
	} else if (g_str_has_prefix(key, KEY_UPSTREAM)) {
		c->upstreams = g_renew(struct config_upstream, c->upstreams,
				       c->upstreams_len + 1);
		read_upstream(&c->upstreams[c->upstreams_len++], v);
	} else if (g_str_has_prefix(key, KEY_BINDING)) {
		read_bindings(c, key + strlen(KEY_BINDING), v);
	} else if (!strcmp(key, KEY_LIMITS)) {
		read_limits(&c->limits, v);
	}
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Build a snapshot from rows, an object that maps keys to values.
 * Accounts and upstreams are sorted by name, so that they have the same
 * index at every instance.
 */
struct config *config_build(json_t *rows, uint64_t version)
{
	struct config *c = g_new0(struct config, 1);
	GPtrArray *keys = g_ptr_array_new();
	const char *key;
	json_t *v;

	c->refs = 1;
	c->version = version;
	read_limits(&c->limits, NULL);
	json_object_foreach(rows, key, v) g_ptr_array_add(keys, (gpointer)key);
	g_ptr_array_sort(keys, compare_keys);
	for (guint i = 0; i < keys->len; i++) {
		key = g_ptr_array_index(keys, i);
		read_row(c, key, json_object_get(rows, key));
	}
	g_ptr_array_free(keys, TRUE);
	return c;
}

/* Write the index of the named account to *account; false if none. */
bool config_find_account(const struct config *c, const char *name,
			 uint32_t *account)
{
	for (uint32_t i = 0; c && i < c->accounts_len; i++) {
		if (!strcmp(c->accounts[i].name, name)) {
			*account = i;
			return true;
		}
	}
	return false;
}

/* Create an inventory of a domain's upstreams; return their number. */
uint32_t config_create_inventory(const struct config *c, const char *domain,
				 struct inventory **out)
{
	struct inventory *inv = inventory_create();

	for (uint32_t i = 0; i < c->upstreams_len; i++) {
		const struct config_upstream *u = &c->upstreams[i];

		if (strcmp(u->domain, domain))
			continue;
		inventory_add_upstream(
			inv, u->name, u->rack, u->accelerators, u->slots,
			MIN(c->limits.quick_slots, u->slots - 1));
	}
	*out = inv;
	return inventory_upstream_count(inv);
}

static bool find_rack(const struct inventory *inv, const char *name,
		      uint32_t *r)
{
	for (*r = 0; *r < inventory_rack_count(inv); (*r)++)
		if (!strcmp(inventory_rack_name(inv, *r), name))
			return true;
	return false;
}

/*
 * Convert a binding to a cell of inv.  Return false if its account, rack
 * or upstream no longer exists.
 */
static bool resolve_binding(const struct config *c, const struct inventory *inv,
			    const struct config_binding *b, struct cell *out)
{
	out->kind = b->kind;
	out->mask = b->mask;
	if (!config_find_account(c, b->account, &out->account))
		return false;
	if (b->kind == CELL_RACK)
		return find_rack(inv, b->at, &out->index);
	return inventory_find_upstream(inv, b->at, &out->index);
}

/* Replace the bindings of inv by the configured ones of the domain. */
void config_bind_inventory(const struct config *c, const char *domain,
			   struct inventory *inv)
{
	struct cell cell;

	inventory_unbind_all(inv);
	for (uint32_t i = 0; i < c->bindings_len; i++)
		if (!strcmp(c->bindings[i].domain, domain) &&
		    resolve_binding(c, inv, &c->bindings[i], &cell))
			bind_apply_cell(inv, &cell);
}

/* Binding of all guarantees */

struct bind_context {
	const struct config *config;
	GPtrArray *domains;	/* names */
	GPtrArray *inventories; /* by the index of the domain */
	GPtrArray *cell_rows;	/* JSON arrays, by the index of the domain */
	bool *reused;		/* by the index of the current binding */
};

/* Return the index of a domain, which is added if it is new. */
static guint ensure_domain(struct bind_context *b, const char *domain)
{
	struct inventory *inv;

	for (guint i = 0; i < b->domains->len; i++)
		if (!strcmp(g_ptr_array_index(b->domains, i), domain))
			return i;
	g_ptr_array_add(b->domains, g_strdup(domain));
	config_create_inventory(b->config, domain, &inv);
	g_ptr_array_add(b->inventories, inv);
	g_ptr_array_add(b->cell_rows, json_array());
	return b->domains->len - 1;
}

/* Bind a cell in domain d and add its row. */
static void add_binding(struct bind_context *b, guint d,
			const struct cell *cell)
{
	struct inventory *inv = g_ptr_array_index(b->inventories, d);
	const char *at = cell->kind == CELL_RACK
				 ? inventory_rack_name(inv, cell->index)
				 : inventory_upstream(inv, cell->index)->name;

	bind_apply_cell(inv, cell);
	json_array_append_new(g_ptr_array_index(b->cell_rows, d),
			      json_pack("{s:s,s:s,s:s,s:I}", "account",
					b->config->accounts[cell->account].name,
					"cell", cell_kind_name(cell->kind),
					"at", at, "mask",
					(json_int_t)cell->mask));
}

/* Reuse the current bindings that are still valid; return their number. */
static uint32_t reuse_bindings(struct bind_context *b, uint32_t account,
			       const struct guarantee *g)
{
	const struct config *c = b->config;
	uint32_t reused = 0;

	for (uint32_t i = 0; i < c->bindings_len && reused < g->count; i++) {
		const struct config_binding *o = &c->bindings[i];
		struct cell cell;
		guint d;

		if (b->reused[i] || o->kind != g->kind ||
		    strcmp(o->account, c->accounts[account].name) ||
		    (*g->domain && strcmp(g->domain, o->domain)))
			continue;
		d = ensure_domain(b, o->domain);
		if (!resolve_binding(c, g_ptr_array_index(b->inventories, d), o,
				     &cell) ||
		    !bind_cell_is_free(g_ptr_array_index(b->inventories, d),
				       &cell))
			continue;
		b->reused[i] = true;
		add_binding(b, d, &cell);
		reused++;
	}
	return reused;
}

/* Bind one more cell for a guarantee; false if no domain has one left. */
static bool bind_new_cell(struct bind_context *b, uint32_t account,
			  const struct guarantee *g)
{
	struct cell cell;

	for (guint d = 0; d < b->domains->len; d++) {
		if (*g->domain &&
		    strcmp(g->domain, g_ptr_array_index(b->domains, d)))
			continue;
		if (!bind_find_cell(g_ptr_array_index(b->inventories, d),
				    g->kind, account, &cell))
			continue;
		add_binding(b, d, &cell);
		return true;
	}
	return false;
}

/*
 * Bind what guarantee `item` of account lacks beside its bound_count reused
 * cells, and add a problem to p if not all fit.
 */
static void bind_missing_cells(struct bind_context *b, uint32_t account,
			       uint32_t item, uint32_t bound_count,
			       struct problems *p)
{
	const struct config_account *a = &b->config->accounts[account];
	const struct guarantee *g = &a->guarantees[item];
	char *path;

	while (bound_count < g->count && bind_new_cell(b, account, g))
		bound_count++;
	if (bound_count == g->count)
		return;
	path = g_strdup_printf("accounts[%s].guarantee[%u]", a->name, item);
	problem_add(p, path,
		    "found %u cells of kind %s, but only %u fit%s%s beside "
		    "the other guarantees",
		    g->count, cell_kind_name(g->kind), bound_count,
		    *g->domain ? " in domain " : "", g->domain);
	g_free(path);
}

/* Add all domains of c; mark the upstreams named in lost as unusable. */
static void bind_context_init(struct bind_context *b, const struct config *c,
			      const json_t *lost)
{
	json_t *name;
	size_t i;

	b->config = c;
	b->domains = g_ptr_array_new_with_free_func(g_free);
	b->inventories =
		g_ptr_array_new_with_free_func((void *)inventory_destroy);
	b->cell_rows = g_ptr_array_new_with_free_func((void *)json_decref);
	b->reused = g_new0(bool, c->bindings_len + 1);
	for (uint32_t k = 0; k < c->upstreams_len; k++)
		ensure_domain(b, c->upstreams[k].domain);
	json_array_foreach(lost, i, name)
	{
		for (guint d = 0; d < b->inventories->len; d++) {
			struct inventory *inv =
				g_ptr_array_index(b->inventories, d);
			uint32_t u;

			if (inventory_find_upstream(
				    inv, json_string_value(name), &u))
				inventory_set_usable(inv, u, false);
		}
	}
}

static json_t *binding_rows(const struct bind_context *b)
{
	json_t *rows = json_object();

	for (guint d = 0; d < b->domains->len; d++) {
		char *key = g_strconcat(KEY_BINDING,
					g_ptr_array_index(b->domains, d), NULL);

		json_object_set_new(
			rows, key,
			json_pack("{s:O}", "cells",
				  g_ptr_array_index(b->cell_rows, d)));
		g_free(key);
	}
	return rows;
}

/*
 * Bind every guarantee of c to cells.  Current bindings that are still
 * valid are kept, and the upstreams named in lost are left out.  Return
 * the rows of all bindings; add a problem for each guarantee that does not
 * fit.
 */
json_t *config_bind_guarantees(const struct config *c, const json_t *lost,
			       struct problems *p)
{
	struct bind_context b;
	GArray *bound_counts = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	json_t *rows;

	bind_context_init(&b, c, lost);
	for (uint32_t a = 0; a < c->accounts_len; a++) {
		for (uint32_t i = 0; i < c->accounts[a].guarantees_len; i++) {
			uint32_t n = reuse_bindings(
				&b, a, &c->accounts[a].guarantees[i]);

			g_array_append_val(bound_counts, n);
		}
	}
	/* the largest cells first, while whole racks and upstreams are left */
	for (int kind = CELL_RACK; kind >= CELL_ACCELERATOR; kind--) {
		uint32_t at = 0;

		for (uint32_t a = 0; a < c->accounts_len; a++) {
			const struct config_account *ca = &c->accounts[a];

			for (uint32_t i = 0; i < ca->guarantees_len; i++, at++)
				if ((int)ca->guarantees[i].kind == kind)
					bind_missing_cells(
						&b, a, i,
						g_array_index(bound_counts,
							      uint32_t, at),
						p);
		}
	}
	rows = binding_rows(&b);
	g_array_free(bound_counts, TRUE);
	g_ptr_array_free(b.domains, TRUE);
	g_ptr_array_free(b.inventories, TRUE);
	g_ptr_array_free(b.cell_rows, TRUE);
	g_free(b.reused);
	return rows;
}

/* Add a problem to p for each inconsistency between settings of c. */
void config_validate(const struct config *c, struct problems *p)
{
	const struct config_limits *l = &c->limits;

	if (l->renew_ms * 2 > l->lease_term_ms)
		problem_add(p, "limits.renew_ms",
			    "found %u, expected at most half of "
			    "lease_term_ms, which is %u",
			    l->renew_ms, l->lease_term_ms);
	for (uint32_t i = 0; i < c->upstreams_len; i++) {
		char *path = g_strdup_printf("upstreams[%s].slots",
					     c->upstreams[i].name);

		if (c->upstreams[i].slots <= l->quick_slots)
			problem_add(p, path,
				    "found %u, expected more than "
				    "limits.quick_slots, which is %u",
				    c->upstreams[i].slots, l->quick_slots);
		g_free(path);
	}
}

static void add_rows(json_t *rows, const char *prefix, const json_t *list)
{
	json_t *v;
	size_t i;

	json_array_foreach(list, i, v)
	{
		char *key =
			g_strconcat(prefix, json_str_or(v, "name", ""), NULL);

		json_object_set(rows, key, v);
		g_free(key);
	}
}

/*
 * Convert a validated configuration file to rows, an object that maps keys
 * to values.  The value of a removed key is null.
 */
json_t *config_file_to_rows(const json_t *file)
{
	json_t *rows = json_object();
	json_t *limits = json_object_get(file, "limits");
	json_t *name;
	size_t i;

	add_rows(rows, KEY_ACCOUNT, json_object_get(file, "accounts"));
	add_rows(rows, KEY_UPSTREAM, json_object_get(file, "upstreams"));
	if (limits)
		json_object_set(rows, KEY_LIMITS, limits);
	json_array_foreach(json_object_get(file, "remove"), i, name)
	{
		char *key =
			g_strconcat("config/", json_string_value(name), NULL);

		json_object_set_new(rows, key, json_null());
		g_free(key);
	}
	return rows;
}
