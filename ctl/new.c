/*
 * The questionnaire: asks a new team about its workload, how urgent it is and
 * which resources it needs guaranteed.  Makes a client account from the
 * answers, and records with each value the answer that it comes from.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/config.h"
#include "ctl/ctl.h"

enum question_id {
	Q_NAME,
	Q_WORK,
	Q_WAITS,
	Q_PEOPLE,
	Q_GUARANTEED,
	Q_TOGETHER,
	Q_DOMAIN,
	Q_HEADROOM,
	Q_QUEUE,
	Q_SHARE,
	Q_COUNT,
};

enum answer_kind { ANSWER_TEXT, ANSWER_NAME, ANSWER_NUMBER, ANSWER_CHOICE };

struct question {
	const char *id;
	const char *wording;
	enum answer_kind kind;
	long min;
	long max;
	const char *const *choices;
	const char *default_answer; /* for an empty answer; NULL: none */
};

static const char *const yes_no[] = {"yes", "no", NULL};
static const char *const placements[] = {"anywhere", "half", "upstream", "rack",
					 NULL};

static const struct question questions[Q_COUNT] = {
	[Q_NAME] = {"name", "What is your team called, in one word?",
		    ANSWER_NAME, 1, 60},
	[Q_WORK] = {"work", "What does your work do, in a sentence?",
		    ANSWER_TEXT, 0, 200, .default_answer = ""},
	[Q_WAITS] = {"waits", "Does somebody wait while it runs?",
		     ANSWER_CHOICE, .choices = yes_no, .default_answer = "yes"},
	[Q_PEOPLE] = {"people",
		      "At the busiest moment, how many people wait at once?",
		      ANSWER_NUMBER, 0, 100000, .default_answer = "20"},
	[Q_GUARANTEED] = {"guaranteed",
			  "How many accelerators must be there whenever you "
			  "ask for them?",
			  ANSWER_NUMBER, 0, 8192, .default_answer = "0"},
	[Q_TOGETHER] = {"together",
			"How close must they be to each other: anywhere, on "
			"half an upstream, one upstream, or one rack?",
			ANSWER_CHOICE, .choices = placements,
			.default_answer = "anywhere"},
	[Q_DOMAIN] = {"domain",
		      "In which failure domain must they be? (empty: any)",
		      ANSWER_NAME, 0, 60, .default_answer = ""},
	[Q_HEADROOM] = {"headroom",
			"How many of them should stay free, so that urgent "
			"work starts at once?",
			ANSWER_NUMBER, 0, 1024, .default_answer = "0"},
	[Q_QUEUE] = {"queue", "How many of your jobs may wait in line?",
		     ANSWER_NUMBER, 1, 100000, .default_answer = "200"},
	[Q_SHARE] = {"share",
		     "Of what others leave free, how large a share is yours, "
		     "where 1 is usual?",
		     ANSWER_NUMBER, 1, 1000, .default_answer = "1"},
};

static bool is_choice(const struct question *q, const char *s)
{
	for (const char *const *c = q->choices; *c; c++)
		if (!strcmp(*c, s))
			return true;
	return false;
}

/* Check an answer; return its problem, to be freed with g_free, or NULL. */
static char *answer_problem(const struct question *q, const char *s)
{
	char *end, *all, *problem;
	long n;

	switch (q->kind) {
	case ANSWER_TEXT:
	case ANSWER_NAME:
		if ((long)strlen(s) < q->min || (long)strlen(s) > q->max)
			return g_strdup_printf("expected %ld to %ld characters",
					       q->min, q->max);
		for (; q->kind == ANSWER_NAME && *s; s++)
			if (!g_ascii_isalnum(*s) && !strchr("-_.", *s))
				return g_strdup("expected letters, digits, "
						"'-', '_' and '.' only");
		return NULL;
	case ANSWER_NUMBER:
		n = strtol(s, &end, 10);
		if (*end || end == s || n < q->min || n > q->max)
			return g_strdup_printf("expected a number from %ld "
					       "to %ld",
					       q->min, q->max);
		return NULL;
	case ANSWER_CHOICE:
		if (is_choice(q, s))
			return NULL;
		all = g_strjoinv(", ", (char **)q->choices);
		problem = g_strdup_printf("expected one of %s", all);
		g_free(all);
		return problem;
	}
	return NULL;
}

/* Read a line from standard input without surrounding space; NULL at EOF. */
static char *read_line(void)
{
	char buf[512];

	if (!fgets(buf, sizeof(buf), stdin))
		return NULL;
	return g_strdup(g_strstrip(buf));
}

/* Repeat a question until its answer is valid; NULL at the end of input. */
static char *ask_question(const struct question *q)
{
	for (;;) {
		char *s, *problem;

		printf("%s", q->wording);
		if (q->default_answer && *q->default_answer)
			printf(" [%s]", q->default_answer);
		printf(" ");
		fflush(stdout);
		s = read_line();
		if (!s)
			return NULL;
		if (!*s && q->default_answer) {
			g_free(s);
			s = g_strdup(q->default_answer);
		}
		problem = answer_problem(q, s);
		if (!problem)
			return s;
		printf("  %s\n", problem);
		g_free(problem);
		g_free(s);
	}
}

static bool ask_all_questions(json_t *answers)
{
	for (int i = 0; i < Q_COUNT; i++) {
		char *s = ask_question(&questions[i]);

		if (!s) {
			fprintf(stderr, "\nlacewingctl: new: the input ends "
					"before the last question\n");
			return false;
		}
		json_object_set_new(answers, questions[i].id, json_string(s));
		g_free(s);
	}
	return true;
}

/* Load the answers from a JSON file: an object of strings by question id. */
static bool load_answers(const char *file, json_t *answers)
{
	json_error_t err;
	json_t *v = json_load_file(file, 0, &err);
	bool ok = json_is_object(v);
	const char *name;
	json_t *item;

	if (!ok)
		fprintf(stderr, "%s: line %d: %s\n", file, err.line,
			v ? "expected an object" : err.text);
	json_object_foreach(v, name, item)
	{
		bool known = false;

		for (int i = 0; i < Q_COUNT; i++)
			known = known || !strcmp(questions[i].id, name);
		if (known)
			continue;
		fprintf(stderr, "%s: %s: no such question\n", file, name);
		ok = false;
	}
	for (int i = 0; i < Q_COUNT && json_is_object(v); i++) {
		const struct question *q = &questions[i];
		const char *s = json_str_or(v, q->id, q->default_answer);
		char *problem =
			s ? answer_problem(q, s) : g_strdup("no answer given");

		if (problem) {
			fprintf(stderr, "%s: %s: found \"%s\", %s\n", file,
				q->id, s ? s : "", problem);
			ok = false;
		} else {
			json_object_set_new(answers, q->id, json_string(s));
		}
		g_free(problem);
	}
	json_decref(v);
	return ok;
}

static long number_answer(const json_t *answers, enum question_id q)
{
	return strtol(json_str_or(answers, questions[q].id, "0"), NULL, 10);
}

static const char *text_answer(const json_t *answers, enum question_id q)
{
	return json_str_or(answers, questions[q].id, "");
}

/* Record the answer that the value of field comes from. */
static void record_source(json_t *why, const char *field, const json_t *answers,
			  enum question_id q)
{
	char *s = g_strdup_printf("\"%s\" to: %s", text_answer(answers, q),
				  questions[q].wording);

	json_object_set_new(why, field, json_string(s));
	g_free(s);
}

/* Return the guarantee: accelerators rounded up to cells of the asked kind. */
static json_t *build_guarantee(const json_t *answers, long per_upstream)
{
	long n = number_answer(answers, Q_GUARANTEED);
	const char *placement = text_answer(answers, Q_TOGETHER);
	const char *cell = "accelerator";
	long size = 1;
	json_t *g;

	if (!n)
		return json_array();
	if (!strcmp(placement, "half")) {
		cell = "half";
		size = per_upstream / 2;
	} else if (!strcmp(placement, "upstream")) {
		cell = "upstream";
		size = per_upstream;
	} else if (!strcmp(placement, "rack")) {
		cell = "rack";
		size = n;
	}
	g = json_pack("{s:s,s:I}", "cell", cell, "count",
		      (json_int_t)((n + size - 1) / size));
	if (*text_answer(answers, Q_DOMAIN))
		json_object_set_new(
			g, "domain",
			json_string(text_answer(answers, Q_DOMAIN)));
	return json_pack("[o]", g);
}

/* Return the account for these answers. */
static json_t *build_account(const json_t *answers, long per_upstream)
{
	bool waits = !strcmp(text_answer(answers, Q_WAITS), "yes");
	json_t *why = json_object();
	long checks = waits ? number_answer(answers, Q_PEOPLE) : 1;

	record_source(why, "name", answers, Q_NAME);
	record_source(why, "weight", answers, Q_SHARE);
	record_source(why, "queue_limit", answers, Q_QUEUE);
	record_source(why, "check_limit", answers, waits ? Q_PEOPLE : Q_WAITS);
	record_source(why, "headroom", answers, Q_HEADROOM);
	record_source(why, "guarantee.count", answers, Q_GUARANTEED);
	record_source(why, "guarantee.cell", answers, Q_TOGETHER);
	record_source(why, "guarantee.domain", answers, Q_DOMAIN);
	record_source(why, "purpose", answers, Q_WORK);
	return json_pack(
		"{s:s,s:I,s:I,s:I,s:I,s:o,s:o}", "name",
		text_answer(answers, Q_NAME), "weight",
		(json_int_t)number_answer(answers, Q_SHARE), "queue_limit",
		(json_int_t)number_answer(answers, Q_QUEUE), "check_limit",
		(json_int_t)(checks > 0 ? checks : 1), "headroom",
		(json_int_t)number_answer(answers, Q_HEADROOM), "guarantee",
		build_guarantee(answers, per_upstream), "answers", why);
}

/* Return the accelerators of the site's largest upstream, 8 if unknown. */
static long max_upstream_accelerators(const json_t *site)
{
	const json_t *list = json_object_get(site, "upstreams");
	long most = 0;
	json_t *u;
	size_t i;

	json_array_foreach((json_t *)list, i,
			   u) if (json_int_or(u, "accelerators", 0) > most)
		most = json_int_or(u, "accelerators", 0);
	return most ? most : 8;
}

/*
 * Check that the guarantees of the account fit on the site's upstreams beside
 * those of the other accounts; print the problems to standard error.
 */
static bool check_guarantees_fit(const json_t *site, const json_t *account)
{
	struct problems *p = problems_create("answers");
	json_t *file = json_pack("{s:O,s:O}", "accounts",
				 json_object_get(site, "accounts"), "upstreams",
				 json_object_get(site, "upstreams"));
	json_t *rows, *bindings, *all;
	struct config *c;
	char *s;
	bool ok;

	all = json_copy(json_object_get(file, "accounts"));
	json_array_append(all, (json_t *)account);
	json_object_set_new(file, "accounts", all);
	rows = config_file_to_rows(file);
	c = config_build(rows, 0);
	bindings = config_bind_guarantees(c, NULL, p);
	ok = !problems_count(p);
	s = problems_text(p);
	fprintf(stderr, "%s", s);
	g_free(s);
	json_decref(bindings);
	config_unref(c);
	json_decref(rows);
	json_decref(file);
	problems_destroy(p);
	return ok;
}

static void print_sources(const json_t *account)
{
	const char *field;
	json_t *v;

	json_object_foreach(json_object_get(account, "answers"), field, v)
		fprintf(stderr, "%-18s from %s\n", field, json_string_value(v));
}

/* new: ask a team about its workload and write its account's configuration. */
int cmd_new(struct ctl *c, int argc, char **argv)
{
	char *file = NULL, *out = NULL;
	gboolean why = FALSE, offline = FALSE;
	GOptionEntry entries[] = {
		{"answers", 'a', 0, G_OPTION_ARG_FILENAME, &file,
		 "read the answers from FILE, a JSON object", "FILE"},
		{"output", 'o', 0, G_OPTION_ARG_FILENAME, &out,
		 "write the configuration to FILE", "FILE"},
		{"explain", 'e', 0, G_OPTION_ARG_NONE, &why,
		 "show the answer that each value comes from", NULL},
		{"offline", 0, 0, G_OPTION_ARG_NONE, &offline,
		 "do not check the answers against the site", NULL},
		{0}};
	json_t *answers = json_object(), *account = NULL, *config = NULL;
	struct reply r = {0};
	int rc = EXIT_USAGE;

	if (!ctl_parse_options(
		    "lacewingctl: new",
		    g_option_context_new("- create the account of a new team"),
		    entries, &argc, &argv))
		goto out;
	if (!offline) {
		r = ctl_call(c, c->server, "GET", "/v1/config", NULL);
		rc = ctl_exit_code(&r);
		if (rc) {
			ctl_print_error(c, &r);
			goto out;
		}
	}
	rc = EXIT_DID_NOT_RUN;
	if (file ? !load_answers(file, answers) : !ask_all_questions(answers))
		goto out;
	account = build_account(answers, max_upstream_accelerators(r.body));
	if (r.body && !check_guarantees_fit(r.body, account))
		goto out;
	config = json_pack("{s:[O]}", "accounts", account);
	if (why)
		print_sources(account);
	if (out ? json_dump_file(config, out, JSON_INDENT(1)) != 0
		: json_dumpf(config, stdout, JSON_INDENT(1)) != 0) {
		fprintf(stderr, "lacewingctl: new: %s: cannot write\n",
			out ? out : "standard output");
		goto out;
	}
	if (!out)
		printf("\n");
	rc = EXIT_RAN;
out:
	json_decref(config);
	json_decref(account);
	json_decref(answers);
	json_decref(r.body);
	g_free(file);
	g_free(out);
	return rc;
}
