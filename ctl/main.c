/* lacewingctl: command line tool for operators. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "lib/log.h"

#define DEFAULT_SERVER "127.0.0.1:7400"
#define DEFAULT_TIMEOUT_MS 5000

struct command {
	const char *name;
	int (*run)(struct ctl *c, int argc, char **argv);
	const char *help;
};

static const struct command commands[] = {
	{"check", cmd_check, "run a quick check and wait for its answer"},
	{"submit", cmd_submit, "submit a batch or gang job"},
	{"get", cmd_get, "show one job"},
	{"list", cmd_list, "show all jobs or those in one STATE"},
	{"watch", cmd_watch, "follow a job until it has ended"},
	{"cancel", cmd_cancel, "cancel a job"},
	{"why", cmd_why, "show why a job is waiting"},
	{"stuck", cmd_stuck, "show what needs an operator's attention"},
	{"account", cmd_account, "show client accounts and their cells"},
	{"config", cmd_config, "get, check, diff or apply configuration"},
	{"new", cmd_new, "write a new account's configuration from answers"},
	{"instances", cmd_instances, "show entry instances"},
	{"upstreams", cmd_upstreams, "show upstreams and their usage"},
	{"events", cmd_events, "show the time line of all instances"},
	{"drain", cmd_drain, "make the server refuse new work"},
	{"report", cmd_report, "show from logs where jobs and time were lost"},
};

static char *help_summary(void)
{
	GString *s = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(s, "  %-10s %s\n", commands[i].name,
				       commands[i].help);
	g_string_append(s, "\nExit codes: 0 it ran, 1 it did not run, 2 usage "
			   "error, 3 it may have run,\n4 server unreachable. "
			   "See `lacewingctl COMMAND --help` for a command's "
			   "options.");
	return g_string_free(s, FALSE);
}

static int run_command(struct ctl *c, int argc, char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, argv[0]))
			return commands[i].run(c, argc, argv);
	fprintf(stderr, "lacewingctl: %s: no such command, see --help\n",
		argv[0]);
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	struct ctl c = {.timeout_ms = DEFAULT_TIMEOUT_MS};
	gboolean json = FALSE;
	GOptionEntry entries[] = {
		{"server", 's', 0, G_OPTION_ARG_STRING, &c.server,
		 "ask this instance (or $LACEWING_SERVER)", "IP:PORT"},
		{"json", 'j', 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL},
		{"timeout-ms", 't', 0, G_OPTION_ARG_INT, &c.timeout_ms,
		 "timeout of a request", "MS"},
		{0}};
	GOptionContext *o = g_option_context_new("COMMAND [ARGUMENTS]");
	const char *env = getenv("LACEWING_SERVER");
	GError *err = NULL;
	char *text = help_summary();
	struct sockaddr_in a;
	int rc = EXIT_USAGE;

	signal(SIGPIPE, SIG_IGN);
	log_open("lacewingctl", "ctl", LOG_WARN);
	g_option_context_set_summary(o, text);
	g_option_context_set_strict_posix(o, TRUE);
	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err) || argc < 2) {
		fprintf(stderr, "lacewingctl: %s\n",
			err ? err->message : "missing command, see --help");
		goto out;
	}
	c.json = json;
	if (!c.server)
		c.server = g_strdup(env ? env : DEFAULT_SERVER);
	if (!address_parse(c.server, &a)) {
		fprintf(stderr,
			"lacewingctl: --server: found \"%s\", expected "
			"an address such as %s\n",
			c.server, DEFAULT_SERVER);
		goto out;
	}
	c.loop = loop_create();
	c.http = http_client_create(c.loop);
	rc = run_command(&c, argc - 1, argv + 1);
	http_client_destroy(c.http);
	loop_destroy(c.loop);
out:
	g_clear_error(&err);
	g_option_context_free(o);
	g_free(text);
	g_free(c.server);
	return rc;
}
