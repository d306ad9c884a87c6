/* Commands for checks and jobs. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "ctl/ctl.h"

#define WATCH_INTERVAL_MS 200

static const struct column job_columns[] = {
	{"JOB", "job"},		  {"ACCOUNT", "account"},
	{"CLASS", "class"},	  {"STATE", "state"},
	{"DOMAIN", "domain"},	  {"PARTS", "parts"},
	{"EACH", "accelerators"}, {"WHERE", "where"},
	{"WHY", "why"},		  {0}};

/* Set a member of v unless s is NULL. */
static void set_string(json_t *v, const char *name, const char *s)
{
	if (s)
		json_object_set_new(v, name, json_string(s));
}

/* Set a member of v unless n is negative, which stands for not given. */
static void set_number(json_t *v, const char *name, gint64 n)
{
	if (n >= 0)
		json_object_set_new(v, name, json_integer(n));
}

/* check: send a quick check and print its answer. */
int cmd_check(struct ctl *c, int argc, char **argv)
{
	char *account = NULL, *payload = NULL, *key = NULL;
	gint run_ms = -1, deadline_ms = -1;
	GOptionEntry entries[] = {
		{"account", 'a', 0, G_OPTION_ARG_STRING, &account,
		 "client account of the check", "NAME"},
		{"payload", 'p', 0, G_OPTION_ARG_STRING, &payload,
		 "payload of the check", "TEXT"},
		{"run-ms", 'r', 0, G_OPTION_ARG_INT, &run_ms,
		 "expected run time", "MS"},
		{"deadline-ms", 'd', 0, G_OPTION_ARG_INT, &deadline_ms,
		 "time limit for the answer", "MS"},
		{"once", 'o', 0, G_OPTION_ARG_STRING, &key,
		 "not idempotent: run at most once under KEY", "KEY"},
		{0}};
	json_t *body;
	int rc;

	if (!ctl_parse_options("lacewingctl",
			       g_option_context_new("- run a quick check"),
			       entries, &argc, &argv))
		return EXIT_USAGE;
	body = json_object();
	set_string(body, "account", account);
	set_string(body, "payload", payload);
	set_string(body, "key", key);
	set_number(body, "run_ms", run_ms);
	set_number(body, "deadline_ms", deadline_ms);
	if (key)
		json_object_set_new(body, "idempotent", json_false());
	rc = ctl_call_and_print(c, "POST", "/v1/checks", body, NULL, NULL);
	json_decref(body);
	g_free(account);
	g_free(payload);
	g_free(key);
	return rc;
}

/* submit: submit a batch or gang job. */
int cmd_submit(struct ctl *c, int argc, char **argv)
{
	char *account = NULL, *class = NULL, *key = NULL, *domain = NULL;
	char *payload = NULL;
	gint parts = -1, accelerators = -1, slots = -1;
	gint64 run_ms = -1;
	gboolean once = FALSE;
	GOptionEntry entries[] = {
		{"account", 'a', 0, G_OPTION_ARG_STRING, &account,
		 "client account of the job", "NAME"},
		{"class", 'c', 0, G_OPTION_ARG_STRING, &class,
		 "urgent, batch or quiet", "CLASS"},
		{"key", 'k', 0, G_OPTION_ARG_STRING, &key,
		 "the job's name; resubmitting returns the first job", "KEY"},
		{"parts", 'n', 0, G_OPTION_ARG_INT, &parts,
		 "parts that start together", "N"},
		{"accelerators", 'g', 0, G_OPTION_ARG_INT, &accelerators,
		 "accelerators per part", "N"},
		{"slots", 's', 0, G_OPTION_ARG_INT, &slots,
		 "slots per part, for parts without accelerators", "N"},
		{"run-ms", 'r', 0, G_OPTION_ARG_INT64, &run_ms,
		 "expected run time", "MS"},
		{"domain", 'D', 0, G_OPTION_ARG_STRING, &domain,
		 "failure domain to run in", "NAME"},
		{"payload", 'p', 0, G_OPTION_ARG_STRING, &payload,
		 "passed to the upstream unchanged", "TEXT"},
		{"once", 'o', 0, G_OPTION_ARG_NONE, &once,
		 "not idempotent: never start it twice", NULL},
		{0}};
	json_t *body;
	int rc;

	if (!ctl_parse_options("lacewingctl",
			       g_option_context_new("- submit a job"), entries,
			       &argc, &argv))
		return EXIT_USAGE;
	body = json_object();
	set_string(body, "account", account);
	set_string(body, "class", class);
	set_string(body, "key", key);
	set_string(body, "domain", domain);
	set_string(body, "payload", payload);
	set_number(body, "parts", parts);
	set_number(body, "accelerators", accelerators);
	set_number(body, "slots", slots);
	set_number(body, "run_ms", run_ms);
	if (once)
		json_object_set_new(body, "idempotent", json_false());
	rc = ctl_call_and_print(c, "POST", "/v1/jobs", body, NULL, NULL);
	json_decref(body);
	g_free(account);
	g_free(class);
	g_free(key);
	g_free(domain);
	g_free(payload);
	return rc;
}

/* Check that a command has one argument; print its usage otherwise. */
static bool has_one_argument(int argc, const char *usage)
{
	if (argc == 2)
		return true;
	fprintf(stderr, "usage: lacewingctl %s\n", usage);
	return false;
}

static int call_job(struct ctl *c, const char *method, const char *job)
{
	char *path = g_strdup_printf("/v1/jobs/%s", job);
	int rc = ctl_call_and_print(c, method, path, NULL, NULL, NULL);

	g_free(path);
	return rc;
}

/* get: show one job. */
int cmd_get(struct ctl *c, int argc, char **argv)
{
	if (!has_one_argument(argc, "get JOB"))
		return EXIT_USAGE;
	return call_job(c, "GET", argv[1]);
}

/* cancel: cancel one job. */
int cmd_cancel(struct ctl *c, int argc, char **argv)
{
	if (!has_one_argument(argc, "cancel JOB"))
		return EXIT_USAGE;
	return call_job(c, "DELETE", argv[1]);
}

/* list: show all jobs or those in one state. */
int cmd_list(struct ctl *c, int argc, char **argv)
{
	char *path = argc > 1 ? g_strdup_printf("/v1/jobs?state=%s", argv[1])
			      : g_strdup("/v1/jobs");
	int rc = ctl_call_and_print(c, "GET", path, NULL, job_columns, "jobs");

	g_free(path);
	return rc;
}

static bool is_final_state(const char *state)
{
	return !strcmp(state, "done") || !strcmp(state, "cancelled") ||
	       !strcmp(state, "parked");
}

static void pause_ms(long ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

/* watch: print each change of a job's state until it has ended. */
int cmd_watch(struct ctl *c, int argc, char **argv)
{
	char last_state[32] = "", *path;
	int rc = EXIT_RAN;

	if (!has_one_argument(argc, "watch JOB"))
		return EXIT_USAGE;
	path = g_strdup_printf("/v1/jobs/%s", argv[1]);
	while (!is_final_state(last_state)) {
		struct reply r = ctl_call(c, c->server, "GET", path, NULL);
		const char *state = json_str_or(r.body, "state", "");

		rc = ctl_exit_code(&r);
		if (rc) {
			ctl_print_error(c, &r);
			json_decref(r.body);
			break;
		}
		if (strcmp(state, last_state)) {
			printf("%s %s\n", argv[1], state);
			fflush(stdout);
			g_strlcpy(last_state, state, sizeof(last_state));
		}
		json_decref(r.body);
		if (!is_final_state(last_state))
			pause_ms(WATCH_INTERVAL_MS);
	}
	g_free(path);
	return rc;
}

/* why: ask the coordinator of the job's domain why the job is waiting. */
int cmd_why(struct ctl *c, int argc, char **argv)
{
	char *path, *coordinator = NULL;
	struct reply r = {0};
	int rc;

	if (!has_one_argument(argc, "why JOB"))
		return EXIT_USAGE;
	path = g_strdup_printf("/v1/jobs/%s", argv[1]);
	r = ctl_call(c, c->server, "GET", path, NULL);
	rc = ctl_exit_code(&r);
	if (rc) {
		ctl_print_error(c, &r);
		goto out;
	}
	if (is_final_state(json_str_or(r.body, "state", ""))) {
		printf("%s is %s. %s\n", argv[1],
		       json_str_or(r.body, "state", ""),
		       json_str_or(r.body, "why", ""));
		goto out;
	}
	coordinator =
		ctl_find_coordinator(c, json_str_or(r.body, "domain", ""));
	if (!coordinator) {
		printf("%s is %s. Domain %s has no coordinator at present. "
		       "This lasts a few seconds after an instance is lost, "
		       "or until an upstream that is listed but does not "
		       "answer is removed from the list.\n",
		       argv[1], json_str_or(r.body, "state", ""),
		       json_str_or(r.body, "domain", ""));
		goto out;
	}
	json_decref(r.body);
	g_free(path);
	path = g_strdup_printf("/v1/jobs/%s/why", argv[1]);
	r = ctl_call(c, coordinator, "GET", path, NULL);
	rc = ctl_exit_code(&r);
	if (rc)
		ctl_print_error(c, &r);
	else if (c->json)
		json_dumpf(r.body, stdout, JSON_INDENT(1));
	else
		printf("%s is %s. %s\n", argv[1],
		       json_str_or(r.body, "state", ""),
		       json_str_or(r.body, "why", ""));
out:
	json_decref(r.body);
	g_free(coordinator);
	g_free(path);
	return rc;
}
