/* Commands for instances, upstreams, stuck jobs and the time line. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "ctl/ctl.h"

static const struct column instance_columns[] = {{"INSTANCE", "name"},
						 {"DOMAIN", "domain"},
						 {"ADDRESS", "http"},
						 {"REACHABLE", "reachable"},
						 {"READY", "ready"},
						 {"LEAVING", "leaving"},
						 {"DECIDES", "deciding"},
						 {"CONFIG", "config_version"},
						 {0}};

static const struct column upstream_columns[] = {
	{"UPSTREAM", "name"},	 {"RACK", "rack"},
	{"STATE", "state"},	 {"ACCELERATORS", "accelerators"},
	{"USED", "used"},	 {"BORROWED", "borrowed"},
	{"HELD", "held"},	 {"SLOTS", "slots"},
	{"TAKEN", "slots_used"}, {0}};

static const struct column stuck_columns[] = {{"KIND", "kind"},
					      {"NAME", "name"},
					      {"CAUSE", "cause"},
					      {"REMEDY", "remedy"},
					      {0}};

/* instances: show the instances known to the server. */
int cmd_instances(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return ctl_call_and_print(c, "GET", "/v1/instances", NULL,
				  instance_columns, "instances");
}

/* drain: make the server refuse new work. */
int cmd_drain(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return ctl_call_and_print(c, "POST", "/v1/drain", NULL, NULL, NULL);
}

/*
 * Get path from the server and every coordinator, and join the arrays named
 * list of the replies.  A coordinator that fails is named on standard error.
 */
static json_t *collect_from_coordinators(struct ctl *c, const char *path,
					 const char *list)
{
	json_t *instances = ctl_get_instances(c), *all = json_array();
	json_t *v;
	size_t i;

	json_array_foreach(instances, i, v)
	{
		const char *http = json_str_or(v, "http", "");
		bool self = json_is_true(json_object_get(v, "self"));
		struct reply r;

		if (!self && !json_is_true(json_object_get(v, "deciding")))
			continue;
		r = ctl_call(c, http, "GET", path, NULL);
		if (ctl_exit_code(&r) == EXIT_RAN)
			json_array_extend(all, json_object_get(r.body, list));
		else if (!self)
			fprintf(stderr, "lacewingctl: %s did not answer\n",
				http);
		json_decref(r.body);
	}
	json_decref(instances);
	return all;
}

/* Print rows and release them; empty_text replaces an empty table. */
static int print_rows(struct ctl *c, json_t *all, const struct column *columns,
		      const char *empty_text)
{
	if (c->json)
		json_dumpf(all, stdout, JSON_INDENT(1));
	else if (json_array_size(all) || !empty_text)
		table_print(all, columns);
	else
		printf("%s\n", empty_text);
	json_decref(all);
	return EXIT_RAN;
}

/* upstreams: show the upstreams of every domain, from its coordinator. */
int cmd_upstreams(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return print_rows(
		c, collect_from_coordinators(c, "/v1/upstreams", "upstreams"),
		upstream_columns, NULL);
}

/*
 * stuck: show what needs an operator's attention, with cause and remedy.  The
 * list of the coordinators is followed by the parked jobs.
 */
int cmd_stuck(struct ctl *c, int argc, char **argv)
{
	json_t *all = collect_from_coordinators(c, "/v1/stuck", "stuck");
	struct reply r =
		ctl_call(c, c->server, "GET", "/v1/jobs?state=parked", NULL);
	json_t *v;
	size_t i;

	(void)argc;
	(void)argv;
	json_array_foreach(json_object_get(r.body, "jobs"), i, v)
		json_array_append_new(
			all,
			json_pack("{s:s,s:s,s:s,s:s}", "kind", "parked", "name",
				  json_str_or(v, "job", ""), "cause",
				  json_str_or(v, "why", ""), "remedy",
				  "mend the job and submit it under a "
				  "new key"));
	json_decref(r.body);
	return print_rows(c, all, stuck_columns, "Nothing is stuck.");
}

/* Events */

struct event_query {
	char *job;
	char *account;
	gint64 since_s; /* seconds before now; 0: from the start */
	char *svg;
};

/* Return the request path; its time stamps are milliseconds << 16. */
static char *events_path(const struct event_query *q)
{
	guint64 now_ms = g_get_real_time() / 1000;
	guint64 since = q->since_s > 0 ? (now_ms - q->since_s * 1000) << 16 : 0;
	GString *s = g_string_new(NULL);

	g_string_printf(s, "/v1/events?since=%" G_GUINT64_FORMAT, since);
	if (q->job)
		g_string_append_printf(s, "&job=%s", q->job);
	if (q->account)
		g_string_append_printf(s, "&account=%s", q->account);
	return g_string_free(s, FALSE);
}

static int compare_stamps(const void *a, const void *b)
{
	json_int_t x = json_int_or(*(json_t *const *)a, "stamp", 0);
	json_int_t y = json_int_or(*(json_t *const *)b, "stamp", 0);

	return x < y ? -1 : x > y;
}

static json_t *sort_events(const json_t *list)
{
	size_t n = json_array_size(list);
	json_t **v = g_new0(json_t *, n + 1);
	json_t *out = json_array();

	for (size_t i = 0; i < n; i++)
		v[i] = json_array_get(list, i);
	qsort(v, n, sizeof(*v), compare_stamps);
	for (size_t i = 0; i < n; i++)
		json_array_append(out, v[i]);
	g_free(v);
	return out;
}

/*
 * Collect the events of all instances, sorted by time stamp.  Instances that
 * cannot be reached are named on standard error.
 */
static json_t *collect_events(struct ctl *c, const char *path)
{
	json_t *instances = ctl_get_instances(c), *all = json_array();
	json_t *out, *v, *e;
	size_t i, k;

	json_array_foreach(instances, i, v)
	{
		const char *name = json_str_or(v, "name", "");
		struct reply r = ctl_call(c, json_str_or(v, "http", ""), "GET",
					  path, NULL);

		if (ctl_exit_code(&r) != EXIT_RAN)
			fprintf(stderr,
				"lacewingctl: %s: unreachable, its "
				"events are missing\n",
				name);
		json_array_foreach(json_object_get(r.body, "events"), k, e)
		{
			json_object_set_new(e, "instance", json_string(name));
			json_array_append(all, e);
		}
		json_decref(r.body);
	}
	out = sort_events(all);
	json_decref(all);
	json_decref(instances);
	return out;
}

static void print_event(const json_t *e)
{
	json_int_t ms = json_int_or(e, "time_ms", 0);
	time_t s = ms / 1000;
	struct tm tm;
	char t[32];

	localtime_r(&s, &tm);
	strftime(t, sizeof(t), "%H:%M:%S", &tm);
	printf("%s.%03d  %-14s %-16s %-20s %s\n", t, (int)(ms % 1000),
	       json_str_or(e, "instance", ""), json_str_or(e, "kind", ""),
	       json_str_or(e, "subject", ""), json_str_or(e, "text", ""));
}

#define SVG_ROW_PX 18
#define SVG_LEFT_PX 150
#define SVG_WIDTH_PX 1000

/* Draw the events: one line per event, time from left to right. */
static void draw_svg(const json_t *events, FILE *f)
{
	json_t *e;
	size_t i, n = json_array_size(events);
	json_int_t first = json_int_or(json_array_get(events, 0), "time_ms", 0);
	json_int_t span =
		n ? json_int_or(json_array_get(events, n - 1), "time_ms", 0) -
				first + 1
		  : 1;

	fprintf(f,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%zu\" font-family=\"monospace\" font-size=\"10\">\n",
		SVG_LEFT_PX + SVG_WIDTH_PX + 20, (n + 3) * SVG_ROW_PX);
	json_array_foreach((json_t *)events, i, e)
	{
		const char *who = json_str_or(e, "instance", "");
		double x = SVG_LEFT_PX +
			   (double)(json_int_or(e, "time_ms", 0) - first) *
				   SVG_WIDTH_PX * 0.7 / span;
		double y = (i + 1) * SVG_ROW_PX;

		fprintf(f,
			"<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\"/>"
			"<text x=\"4\" y=\"%.1f\">%s</text>"
			"<text x=\"%.1f\" y=\"%.1f\">+%lld ms %s %s</text>\n",
			x, y, y + 3, who, x + 6, y + 3,
			(long long)(json_int_or(e, "time_ms", 0) - first),
			json_str_or(e, "kind", ""),
			json_str_or(e, "subject", ""));
	}
	fprintf(f, "</svg>\n");
}

static int print_events(struct ctl *c, json_t *events, const char *svg)
{
	json_t *e;
	size_t i;
	FILE *f;

	if (svg) {
		f = fopen(svg, "w");
		if (!f) {
			perror(svg);
			return EXIT_USAGE;
		}
		draw_svg(events, f);
		fclose(f);
	} else if (c->json) {
		json_dumpf(events, stdout, JSON_INDENT(1));
	} else {
		json_array_foreach(events, i, e) print_event(e);
	}
	return EXIT_RAN;
}

/* events: show the time line of all instances, in causal order. */
int cmd_events(struct ctl *c, int argc, char **argv)
{
	struct event_query q = {0};
	GOptionEntry entries[] = {
		{"job", 'j', 0, G_OPTION_ARG_STRING, &q.job,
		 "only events of this job, upstream or instance", "NAME"},
		{"account", 'a', 0, G_OPTION_ARG_STRING, &q.account,
		 "only events of this client account", "NAME"},
		{"since", 's', 0, G_OPTION_ARG_INT64, &q.since_s,
		 "only events of the last SECONDS", "SECONDS"},
		{"svg", 0, 0, G_OPTION_ARG_FILENAME, &q.svg,
		 "draw the time line to FILE", "FILE"},
		{0}};
	json_t *events;
	char *path;
	int rc = EXIT_USAGE;

	if (!ctl_parse_options("lacewingctl: events",
			       g_option_context_new("- show the time line"),
			       entries, &argc, &argv))
		goto out;
	path = events_path(&q);
	events = collect_events(c, path);
	rc = print_events(c, events, q.svg);
	json_decref(events);
	g_free(path);
out:
	g_free(q.job);
	g_free(q.account);
	g_free(q.svg);
	return rc;
}
