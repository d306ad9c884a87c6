/* Commands for the configuration and client accounts. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "config/config.h"
#include "ctl/ctl.h"

/* Load a configuration file; print its problems and return NULL on error. */
static json_t *load_config_file(const char *file)
{
	struct problems *p = problems_create(file);
	json_t *v = schema_load(config_file_fields, file, p);
	char *text;

	if (!v) {
		text = problems_text(p);
		fprintf(stderr, "%s", text);
		g_free(text);
	}
	problems_destroy(p);
	return v;
}

/*
 * Get the configuration from the server and set *rc to the exit code; NULL
 * after printing an error.
 */
static json_t *get_config(struct ctl *c, int *rc)
{
	struct reply r = ctl_call(c, c->server, "GET", "/v1/config", NULL);

	*rc = ctl_exit_code(&r);
	if (!*rc)
		return r.body;
	ctl_print_error(c, &r);
	json_decref(r.body);
	return NULL;
}

static int run_config_get(struct ctl *c)
{
	int rc;
	json_t *v = get_config(c, &rc);

	if (v) {
		json_dumpf(v, stdout, JSON_INDENT(1));
		printf("\n");
	}
	json_decref(v);
	return rc;
}

/*
 * Check a file without a server: its fields, its limits, and, if it lists
 * upstreams, that the guarantees of all accounts fit on them.
 */
static int run_config_check(const char *file)
{
	json_t *v = load_config_file(file), *rows = NULL, *bindings = NULL;
	struct problems *p = problems_create(file);
	struct config *c = NULL;
	int rc = EXIT_DID_NOT_RUN;
	char *text;

	if (!v)
		goto out;
	rows = config_file_to_rows(v);
	c = config_build(rows, 0);
	config_validate(c, p);
	if (c->upstreams_len)
		bindings = config_bind_guarantees(c, NULL, p);
	text = problems_text(p);
	fprintf(stderr, "%s", text);
	g_free(text);
	if (!problems_count(p)) {
		printf("%s: good\n", file);
		rc = EXIT_RAN;
	}
out:
	json_decref(bindings);
	json_decref(rows);
	config_unref(c);
	problems_destroy(p);
	json_decref(v);
	return rc;
}

/* Return the rows by key of the parts of file that an apply may change. */
static json_t *file_rows_by_key(const json_t *file)
{
	json_t *settings = json_object();
	const char *const names[] = {"accounts", "upstreams", "limits",
				     "remove"};
	json_t *rows;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		json_t *v = json_object_get(file, names[i]);

		if (v)
			json_object_set(settings, names[i], v);
	}
	rows = config_file_to_rows(settings);
	json_decref(settings);
	return rows;
}

/* Print the rows that an apply would add (+), change (~) or remove (-). */
static int run_config_diff(struct ctl *c, const char *file)
{
	json_t *v = load_config_file(file), *current_rows, *new_rows, *current;
	const char *key;
	json_t *value;
	int rc;

	if (!v)
		return EXIT_DID_NOT_RUN;
	current = get_config(c, &rc);
	if (!current)
		goto out;
	current_rows = file_rows_by_key(current);
	new_rows = file_rows_by_key(v);
	json_object_foreach(new_rows, key, value)
	{
		const json_t *old = json_object_get(current_rows, key);

		if (json_is_null(value) && old)
			printf("- %s\n", key);
		else if (!old && !json_is_null(value))
			printf("+ %s\n", key);
		else if (old && !json_equal((json_t *)old, value))
			printf("~ %s\n", key);
	}
	json_decref(current_rows);
	json_decref(new_rows);
	json_decref(current);
out:
	json_decref(v);
	return rc;
}

static int run_config_apply(struct ctl *c, const char *file)
{
	json_t *v = load_config_file(file);
	int rc;

	if (!v)
		return EXIT_DID_NOT_RUN;
	rc = ctl_call_and_print(c, "POST", "/v1/config", v, NULL, NULL);
	json_decref(v);
	return rc;
}

/* config: get, check, diff or apply. */
int cmd_config(struct ctl *c, int argc, char **argv)
{
	const char *subcommand = argc > 1 ? argv[1] : "";

	if (!strcmp(subcommand, "get") && argc == 2)
		return run_config_get(c);
	if (!strcmp(subcommand, "check") && argc == 3)
		return run_config_check(argv[2]);
	if (!strcmp(subcommand, "diff") && argc == 3)
		return run_config_diff(c, argv[2]);
	if (!strcmp(subcommand, "apply") && argc == 3)
		return run_config_apply(c, argv[2]);
	fprintf(stderr, "usage: lacewingctl config get\n"
			"       lacewingctl config check|diff|apply FILE\n");
	return EXIT_USAGE;
}

static const struct column account_columns[] = {
	{"ACCOUNT", "name"}, {"WEIGHT", "weight"}, {"GUARANTEED", "guaranteed"},
	{"BOUND", "bound"},  {"AT", "at"},	   {0}};

/* Return the table row of an account: its guaranteed and its bound cells. */
static json_t *describe_account(const json_t *account, const json_t *bindings)
{
	const char *name = json_str_or(account, "name", "");
	json_t *at = json_array(), *g, *cell, *domain;
	json_int_t cells = 0;
	const char *key;
	size_t i;

	json_array_foreach(json_object_get(account, "guarantee"), i, g) cells +=
		json_int_or(g, "count", 0);
	json_object_foreach((json_t *)bindings, key, domain)
	{
		json_array_foreach(
			json_object_get(domain, "cells"), i,
			cell) if (!strcmp(json_str_or(cell, "account", ""),
					  name))
			json_array_append(at, json_object_get(cell, "at"));
	}
	return json_pack("{s:s,s:I,s:I,s:I,s:o}", "name", name, "weight",
			 (json_int_t)json_int_or(account, "weight", 1),
			 "guaranteed", cells, "bound",
			 (json_int_t)json_array_size(at), "at", at);
}

/* account: show all client accounts or one, with guarantees and cells. */
int cmd_account(struct ctl *c, int argc, char **argv)
{
	json_t *config, *rows = json_array(), *a;
	size_t i;
	int rc;

	config = get_config(c, &rc);
	json_array_foreach(json_object_get(config, "accounts"), i,
			   a) if (argc < 2 ||
				  !strcmp(argv[1], json_str_or(a, "name", "")))
		json_array_append_new(
			rows, describe_account(
				      a, json_object_get(config, "bindings")));
	if (rc)
		goto out;
	if (c->json)
		json_dumpf(rows, stdout, JSON_INDENT(1));
	else
		table_print(rows, account_columns);
out:
	json_decref(rows);
	json_decref(config);
	return rc;
}
