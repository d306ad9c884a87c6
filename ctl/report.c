/* report: where jobs and time were lost, from the logs of the instances. */
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "report/prediction.h"
#include "report/print.h"

/* A longer line is cut off and counted as malformed. */
#define LINE_BYTES_MAX 65536

/* The options of the command. */
struct report_options {
	char *job;
	char *svg;
	char *account;
	char *queue;
	double since_s;
	double until_s;
	gboolean waste;
	gboolean predictions;
	gboolean json;
};

/* Read all lines of f. Returns false with errno set after a read error. */
static bool read_lines(struct record_set *s, FILE *f)
{
	char *line = g_malloc(LINE_BYTES_MAX);
	bool in_line = false; /* the start of this line was read before */

	while (fgets(line, LINE_BYTES_MAX, f)) {
		size_t n = strlen(line);
		bool complete = n && line[n - 1] == '\n';

		if (!in_line)
			record_set_add_line(s, line, n);
		in_line = !complete;
	}
	g_free(line);
	return !ferror(f);
}

/* Read a file, "-" for standard input; complains and returns false if not. */
static bool read_file(struct record_set *s, const char *name)
{
	FILE *f = strcmp(name, "-") ? fopen(name, "r") : stdin;
	bool read = f && read_lines(s, f);

	if (!read)
		fprintf(stderr, "lacewingctl: reading %s: %s\n", name,
			strerror(errno));
	if (f && f != stdin)
		fclose(f);
	return read;
}

/* Print what the options ask for. */
static int print_report(const struct report *r, const struct report_options *o)
{
	if (o->svg && !report_write_svg(r, o->svg)) {
		fprintf(stderr, "lacewingctl: writing %s: %s\n", o->svg,
			strerror(errno));
		return EXIT_DID_NOT_RUN;
	}
	if (o->job) {
		if (report_print_job(r, o->job))
			return EXIT_RAN;
		fprintf(stderr, "lacewingctl: %s: no record names this job\n",
			o->job);
		return EXIT_DID_NOT_RUN;
	}
	if (o->predictions)
		predictions_print(r);
	else if (o->waste)
		report_print_waste(r);
	else
		report_print(r);
	return EXIT_RAN;
}

/* Read the files and print the report. */
static int run_report(const struct ctl *c, const struct report_options *o,
		      int files_len, char **files)
{
	struct record_set *s = record_set_create();
	struct report r = {.set = s,
			   .filter = {.account = o->account,
				      .queue = o->queue,
				      .since_s = o->since_s,
				      .until_s = o->until_s},
			   .json = c->json || o->json,
			   .out = stdout};
	struct history *h = NULL;
	GArray *clocks = NULL;
	int rc = EXIT_DID_NOT_RUN;

	if (!files_len && !read_file(s, "-"))
		goto out;
	for (int i = 0; i < files_len; i++)
		if (!read_file(s, files[i]))
			goto out;
	if (!s->records->len) {
		fprintf(stderr,
			"lacewingctl: no records in %" PRIu64 " lines\n",
			s->stats.lines);
		goto out;
	}
	clocks = clocks_align(s);
	h = history_create(s);
	r.history = h;
	r.clocks = clocks;
	rc = print_report(&r, o);
out:
	history_destroy(h);
	if (clocks)
		g_array_unref(clocks);
	record_set_destroy(s);
	return rc;
}

/* report: report where jobs and time were lost. */
int cmd_report(struct ctl *c, int argc, char **argv)
{
	struct report_options o = {0};
	GOptionEntry entries[] = {
		{"job", 'j', 0, G_OPTION_ARG_STRING, &o.job,
		 "print the time line of a job", "ID"},
		{"waste", 'w', 0, G_OPTION_ARG_NONE, &o.waste,
		 "print the work that was lost, by cause", NULL},
		{"predictions", 'p', 0, G_OPTION_ARG_NONE, &o.predictions,
		 "print how well durations of runs can be predicted", NULL},
		{"svg", 0, 0, G_OPTION_ARG_FILENAME, &o.svg,
		 "draw lost time over the time line", "FILE"},
		{"account", 'a', 0, G_OPTION_ARG_STRING, &o.account,
		 "only jobs of a client account", "NAME"},
		{"queue", 'q', 0, G_OPTION_ARG_STRING, &o.queue,
		 "only jobs of a queue", "NAME"},
		{"since", 0, 0, G_OPTION_ARG_DOUBLE, &o.since_s,
		 "only jobs submitted after this time of the records", "S"},
		{"until", 0, 0, G_OPTION_ARG_DOUBLE, &o.until_s,
		 "only jobs submitted before it", "S"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &o.json,
		 "print an object a line", NULL},
		{0}};
	GOptionContext *x = g_option_context_new("[FILE...]");
	int rc = EXIT_USAGE;

	g_option_context_set_summary(
		x, "Read log records of any number of instances, from files or "
		   "standard input, and print\nwhere jobs and time were lost.");
	if (ctl_parse_options("lacewingctl: report", x, entries, &argc, &argv))
		rc = run_report(c, &o, argc - 1, argv + 1);
	g_free(o.job);
	g_free(o.svg);
	g_free(o.account);
	g_free(o.queue);
	return rc;
}
