/*
 * Fuzz of what other programs leave in rows, entries and answers. The input
 * becomes a document in which some fields are missing or odd, a row whose key
 * and value are any bytes, or plain text; whatever comes, what is accepted is
 * within its bounds, and sound rows beside it are read.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lead/learned.h"
#include "lead/record.h"
#include "lib/address.h"
#include "lib/log.h"
#include "lib/loop.h"
#include "lib/schema.h"
#include "peer/roster.h"
#include "platform/answer.h"
#include "platform/bounds.h"
#include "platform/decode.h"
#include "platform/lists.h"
#include "platform/rows.h"
#include "sched/fleet.h"

#define NESTING_MAX 5
#define TASKS_MAX 4000

/*
 * Bytes of the input that were not used yet; after them come random ones, which
 * the input determines.
 */
struct input {
	const uint8_t *data;
	size_t len;
	uint64_t random; /* not 0 */
};

/* A field of a document and its value in a sound one. */
struct doc_field {
	const char *name;
	const char *sound;
};

static const struct doc_field entry_doc[] = {
	{"service", "\"s\""},
	{"addr", "\"10.3.64.16:8248\""},
	{"zone", "\"z\""},
	{"version", "\"v1\""},
	{"slots", "8"},
	{"state", "\"ready\""},
	{"seq", "1"},
	{"coldLeftMs", "0"},
	{"born", "1796421690000"},
	{"capacity", "{\"cpu\":128000,\"memMb\":524288,\"gpu\":8}"},
	{"labels", "[\"a\",\"r3-2\"]"},
	{"clockMs", "7687143"},
	{"machine", "\"m-5afb2\""},
	{"remainingMs", "500"},
	{0}};
static const struct doc_field policy_doc[] = {
	{"version", "7"},
	{"routes", "[{\"name\":\"q\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
		   "\"service\":\"s\",\"priority\":1,\"maxAttempts\":3,"
		   "\"slackFactor\":1.5}]"},
	{"services", "[{\"name\":\"s\",\"enforcesCapacity\":true}]"},
	{"tenants", "[{\"name\":\"t\",\"apiKeys\":[\"k\"],"
		    "\"guaranteed\":{\"gpu\":8}}]"},
	{"limits", "{\"maxBodyBytes\":1000}"},
	{0}};
static const struct doc_field spec_doc[] = {
	{"queue", "\"q\""},
	{"account", "\"t\""},
	{"settings", "{\"service\":\"s\",\"priority\":1,\"slack_factor\":1.5}"},
	{"received_ms", "5"},
	{"start_at_wall_ms", "6"},
	{"interval_ms", "7"},
	{"repeat", "2"},
	{"payload", "\"x\""},
	{"steps", "[{\"count\":3,\"cpu_milli\":5},{\"count\":2,"
		  "\"after\":[0],\"flags\":\"g\"}]"},
	{0}};
static const struct doc_field step_doc[] = {{"count", "3"},
					    {"cpu_milli", "5"},
					    {"memory_mb", "6"},
					    {"accelerators", "1"},
					    {"estimate_ms", "700"},
					    {"after", "[]"},
					    {"flags", "\"cgl\""},
					    {"spread", "2"},
					    {"max_unavailable", "1"},
					    {"target_ms", "9"},
					    {"label", "\"a\""},
					    {"data_rack", "\"r\""},
					    {"image", "\"image-name\""},
					    {0}};
static const struct doc_field run_doc[] = {
	{"state", "\"running\""},
	{"ended_ms", "0"},
	{"lives", "[\"u1@77\",\"u2@1796421690000\"]"},
	{"addresses", "[\"10.3.64.16:8248\",\"\"]"},
	{"stages", "[[0,\"4,0,0 =5 6,1,1,abc\",0],[1,\"2*0,0,\",3]]"},
	{"suspicions", "[[0,1,2,3,400,5]]"},
	{0}};
static const struct doc_field small_doc[] = {{"state", "\"completed\""},
					     {"ended_ms", "9"},
					     {"queue", "\"q\""},
					     {"account", "\"t\""},
					     {"domain", "\"d\""},
					     {"address", "\"10.1.0.19:7000\""},
					     {"strength", "100"},
					     {"written_ms", "5"},
					     {"instance", "\"i\""},
					     {"incarnation", "3"},
					     {"epoch", "4"},
					     {"sequence", "5"},
					     {"earlier_ms", "6"},
					     {0}};
static const struct doc_field learned_doc[] = {
	{"format", "1"},
	{"at_ms", "1000"},
	{"entries", "[[\"q\",5.5,8,8,1,1,0.2,0],[\"q\\na\",2,7,8,1,1,0.2,0]]"},
	{0}};
static const struct doc_field lists_doc[] = {
	{"clockMs", "482113"},
	{"born", "1796421690000"},
	{"running", "[[\"a.0.1.17\",2,\"00000bb87a21d94b\",41]]"},
	{"finished", "[[58,\"a.0.1.9\",1,\"done\",\"\"]]"},
	{"state", "\"draining\""},
	{"remainingMs", "9"},
	{0}};

static const struct doc_field submission_doc[] = {
	{"spec", "\"x\""},
	{"steps", "[{\"count\":3,\"cpu\":5,\"image\":\"i\"},{\"count\":2,"
		  "\"after\":[0],\"gang\":true,\"requires\":\"a\"}]"},
	{"startAtMs", "1796421690000"},
	{"intervalMs", "7"},
	{"repeatCount", "2"},
	{"longRunning", "false"},
	{0}};
static const struct doc_field submitted_step_doc[] = {
	{"count", "3"},
	{"cpu", "5"},
	{"memMb", "6"},
	{"gpu", "1"},
	{"estimateMs", "700"},
	{"after", "[]"},
	{"gang", "true"},
	{"checkpointing", "true"},
	{"speculative", "true"},
	{"rackSensitive", "false"},
	{"longRunning", "true"},
	{"fills", "true"},
	{"antiAffinity", "2"},
	{"maxUnavailable", "1"},
	{"targetMs", "9"},
	{"requires", "\"a\""},
	{"dataRack", "\"r\""},
	{"image", "\"image-name\""},
	{0}};

static const char *const odd_values[] = {
	"-1",
	"0",
	"1e400",
	"1e300",
	"1.5",
	"4294967296",
	"4294967297",
	"9007199254740993",
	"9223372036854775807",
	"-9223372036854775808",
	"18446744073709551616",
	"\"\"",
	"\"a.0.1.17\"",
	"\"10.0.0.1:80\"",
	"\"10.0.0.1:+80\"",
	"\"0.0.0.0:65535\"",
	"\"a\\u0000b\"",
	"\"\\ud800\"",
	"\"done\"",
	"\"running\"",
	"\"u1@77\"",
	"\"u1@99999999999999999\"",
	"\"18446744073709551615*=1\"",
	"\"1,0,0,a%20b 2*0,0,\"",
	"{}",
	"[]",
	"null",
	"true",
	"",
};
static const char *const names[] = {
	"name",	      "host",	 "pathPrefix", "cpu",	      "memMb",
	"gpu",	      "apiKeys", "count",      "slackFactor", "after",
	"guaranteed", "key",	 "value",      "rowVersion"};
/* What the tasks of a run row consist of. */
static const char task_letters[] = "0123456789,,,**== @ax%-";

__attribute__((noreturn)) static void fail(const char *why)
{
	fprintf(stderr, "oracle: %s\n", why);
	abort();
}

static void check(bool ok, const char *why)
{
	if (!ok)
		fail(why);
}

static uint8_t take(struct input *in)
{
	if (in->len) {
		in->len--;
		return *in->data++;
	}
	/* xorshift64 */
	in->random ^= in->random << 13;
	in->random ^= in->random >> 7;
	in->random ^= in->random << 17;
	return in->random >> 32;
}

/* Append a string of bytes, of which JSON's own are escaped. */
static void add_bytes(GString *s, struct input *in, uint32_t n)
{
	g_string_append_c(s, '"');
	for (; n; n--) {
		uint8_t c = take(in);

		if (c < ' ')
			g_string_append_printf(s, "\\u%04x", c);
		else if (c == '"' || c == '\\')
			g_string_append_printf(s, "\\%c", c);
		else
			g_string_append_c(s, (char)c);
	}
	g_string_append_c(s, '"');
}

/* Append a text of letters of one to four bytes, some of them escaped. */
static void add_text(GString *s, struct input *in)
{
	static const char *const letters[] = {
		"x",	   "\u00e9",  "\u0997", "\U0001F600",
		"\\u0997", "\\u0001", "\\\"",	"%"};
	uint32_t n = take(in) * (take(in) % 8 ? 1 : 4);

	g_string_append_c(s, '"');
	for (; n; n--)
		g_string_append(s, letters[take(in) % G_N_ELEMENTS(letters)]);
	g_string_append_c(s, '"');
}

static void add_number(GString *s, struct input *in)
{
	uint64_t n = 0;

	for (uint8_t bytes = take(in) % 9; bytes; bytes--)
		n = n << 8 | take(in);
	g_string_append_printf(s, "%lld", (long long)n);
}

static void add_tasks(GString *s, struct input *in)
{
	g_string_append_c(s, '"');
	for (uint8_t n = take(in) % 80; n; n--)
		g_string_append_c(
			s, task_letters[take(in) % (sizeof(task_letters) - 1)]);
	g_string_append_c(s, '"');
}

static void add_nesting(GString *s, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		g_string_append_c(s, '[');
	for (uint32_t i = 0; i < n; i++)
		g_string_append_c(s, ']');
}

/* Append any value, which is mostly JSON. */
static void add_value(GString *s, struct input *in, uint32_t depth)
{
	uint8_t n;

	switch (take(in) % 16) {
	case 0:
		/* an incarnation whose name is too long */
		g_string_append_printf(s, "\"%0*u@7\"", UPSTREAM_ID_BYTES, 0u);
		break;
	case 1:
	case 8:
	case 9:
	case 10:
		g_string_append(
			s, odd_values[take(in) % G_N_ELEMENTS(odd_values)]);
		break;
	case 2:
	case 11:
		add_bytes(s, in, take(in) % 80);
		break;
	case 3:
	case 12:
		add_number(s, in);
		break;
	case 4:
	case 13:
	case 14:
	case 15:
		add_tasks(s, in);
		break;
	case 5:
		add_nesting(s, 1 + take(in) * 9);
		break;
	case 6:
		n = depth < NESTING_MAX ? take(in) % 6 : 0;
		g_string_append_c(s, '[');
		for (uint8_t i = 0; i < n; i++) {
			g_string_append(s, i ? "," : "");
			add_value(s, in, depth + 1);
		}
		g_string_append_c(s, ']');
		break;
	case 7:
		n = depth < NESTING_MAX ? take(in) % 6 : 0;
		g_string_append_c(s, '{');
		for (uint8_t i = 0; i < n; i++) {
			g_string_append_printf(
				s, "%s\"%s\":", i ? "," : "",
				names[take(in) % G_N_ELEMENTS(names)]);
			add_value(s, in, depth + 1);
		}
		g_string_append_c(s, '}');
		break;
	}
}

static uint32_t doc_len(const struct doc_field *doc)
{
	uint32_t n = 0;

	while (doc[n].name)
		n++;
	return n;
}

/*
 * Return the end of the string, number or word that begins at p, or p if none
 * does.
 */
static const char *scalar_end(const char *p)
{
	const char *end = p;

	if (*p == '"') {
		for (end++; *end != '"'; end++)
			end += *end == '\\';
		return end + 1;
	}
	while (g_ascii_isalnum(*end) || *end == '-' || *end == '.')
		end++;
	return end;
}

/*
 * Replace one of the strings, numbers and words of a sound document by any
 * value; nth counts them from 0, without the names of fields. Returns how many
 * there are.
 */
static uint32_t replace_scalar(GString *s, struct input *in, uint32_t nth)
{
	char *text = g_strdup(s->str);
	uint32_t n = 0;

	g_string_truncate(s, 0);
	for (const char *p = text; *p;) {
		const char *end = scalar_end(p);

		if (end > p && *end != ':' && n++ == nth) {
			add_value(s, in, 0);
			p = end;
			continue;
		}
		end = MAX(end, p + 1);
		g_string_append_len(s, p, end - p);
		p = end;
	}
	g_free(text);
	return n;
}

/* Append a document of which one or two fields are odd or missing. */
static void add_doc(GString *s, struct input *in, const struct doc_field *doc)
{
	uint32_t len = MAX(doc_len(doc), 1);
	uint32_t first = take(in) % len, second = take(in) % (4 * len);
	const char *comma = "";

	g_string_append_c(s, '{');
	for (uint32_t i = 0; i < len; i++) {
		bool odd = i == first || i == second;

		if (odd && take(in) % 8 == 1)
			continue;
		g_string_append_printf(s, "%s\"%s\":", comma, doc[i].name);
		comma = ",";
		if (odd)
			add_value(s, in, 0);
		else
			g_string_append(s, doc[i].sound);
	}
	g_string_append_c(s, '}');
}

static void add_sound_doc(GString *s, const struct doc_field *doc)
{
	const char *comma = "{";

	for (; doc->name; doc++, comma = ",")
		g_string_append_printf(s, "%s\"%s\":%s", comma, doc->name,
				       doc->sound);
	g_string_append_c(s, '}');
}

static void check_name(const char *name, const json_t *v)
{
	const char *written = json_string_value(v);

	check(!strcmp(name, written ? written : ""),
	      "a name that is not as it was written");
}

/* The texts of an entry are as its upstream wrote them, in any length. */
static void check_entry_texts(const char *text, const struct upstream_entry *e)
{
	json_t *v = json_loads(text, 0, NULL);
	const json_t *labels = json_object_get(v, "labels");

	check_name(e->service, json_object_get(v, "service"));
	check_name(e->domain, json_object_get(v, "zone"));
	check_name(e->machine, json_object_get(v, "machine"));
	check_name(e->kind, json_array_get(labels, 0));
	check_name(e->rack, json_array_get(labels, 1));
	json_decref(v);
}

static void check_entry(const char *text)
{
	const uint64_t wall_ms = UINT64_C(1796421697614);
	struct upstream_entry e;

	if (!decode_upstream("u1", text, wall_ms, &e))
		return;
	check(*e.service && *e.domain, "an entry without names");
	check(e.started_wall_ms && e.started_wall_ms <= wall_ms + DAY_MS,
	      "a start time out of bounds");
	check(e.clock_ms <= UPSTREAM_CLOCK_MAX_MS &&
		      e.drain_remaining_ms <= DRAIN_REMAINING_MAX_MS,
	      "a time out of bounds");
	check(e.resources.cpu_milli >= 0 &&
		      e.resources.cpu_milli <= CAPACITY_CPU_MAX_MILLI &&
		      e.resources.memory_mb >= 0 &&
		      e.resources.memory_mb <= CAPACITY_MEMORY_MAX_MB &&
		      e.resources.accelerators >= 0 &&
		      e.resources.accelerators <= CAPACITY_ACCELERATORS_MAX,
	      "a capacity out of bounds");
	check(e.address.sin_port && address_is_unicast(&e.address),
	      "an address of no host");
	check_entry_texts(text, &e);
}

/* Report whether the text called name of an item is one, or absent. */
static bool is_text(const json_t *item, const char *name)
{
	const json_t *v = json_object_get(item, name);

	return json_is_object(item) && (!v || json_is_string(v));
}

/*
 * Each item of a configuration whose texts are texts is kept, in order and with
 * its whole name; each other one is counted.
 */
static void check_policy_texts(const char *text, const struct policy *p)
{
	json_t *v = json_loads(text, 0, NULL);
	const json_t *item;
	uint32_t queues = 0, services = 0, accounts = 0, odd = 0;
	size_t i;

	json_array_foreach(json_object_get(v, "routes"), i, item)
	{
		if (!is_text(item, "name") || !is_text(item, "host") ||
		    !is_text(item, "pathPrefix") || !is_text(item, "service")) {
			odd++;
			continue;
		}
		check(queues < p->queues_len, "a route that is left out");
		check_name(p->queues[queues].host,
			   json_object_get(item, "host"));
		check_name(p->queues[queues].service,
			   json_object_get(item, "service"));
		check_name(p->queues[queues++].name,
			   json_object_get(item, "name"));
	}
	json_array_foreach(json_object_get(v, "services"), i, item)
	{
		if (!is_text(item, "name")) {
			odd++;
			continue;
		}
		check(services < p->services_len, "a service that is left out");
		check_name(p->services[services++].name,
			   json_object_get(item, "name"));
	}
	json_array_foreach(json_object_get(v, "tenants"), i, item)
	{
		if (!is_text(item, "name")) {
			odd++;
			continue;
		}
		check(accounts < p->accounts_len,
		      "an account that is left out");
		check_name(p->accounts[accounts++].name,
			   json_object_get(item, "name"));
	}
	check(queues == p->queues_len && services == p->services_len &&
		      accounts == p->accounts_len,
	      "an item that nobody wrote");
	check(p->refused_parts >= odd, "an item that is left out unseen");
	json_decref(v);
}

static void check_policy(const char *text)
{
	struct policy *p = decode_policy(text);

	if (!p)
		return;
	check(p->version <= COUNTER_MAX, "a version out of bounds");
	check(!policy_find_account(p, ""), "an empty key");
	for (uint32_t i = 0; i < p->queues_len; i++)
		check(p->queues[i].slack_factor >= 0 &&
			      p->queues[i].slack_factor <=
				      QUEUE_SLACK_FACTOR_MAX &&
			      p->queues[i].target_ms <= QUEUE_TARGET_MAX_MS,
		      "a setting out of bounds");
	for (uint32_t i = 0; i < p->accounts_len; i++)
		check(p->accounts[i].guaranteed >= 0, "a negative guarantee");
	check_policy_texts(text, p);
	policy_destroy(p);
}

/* A job that is accepted must be the same once it is written and read. */
static void check_spec(const char *text)
{
	struct job *j = spec_decode("a", text), *again;
	char *row, *row_again;
	uint64_t tasks = 0;

	if (!j)
		return;
	for (uint32_t i = 0; i < j->stages_len; i++)
		tasks += j->stages[i].step->count;
	check(tasks && tasks <= TASKS_MAX, "a number of tasks out of bounds");
	row = spec_encode(j);
	again = spec_decode("a", row);
	check(again != NULL, "a job cannot be read again");
	row_again = spec_encode(again);
	check(!strcmp(row, row_again), "a job changes when it is read again");
	free(row);
	free(row_again);
	job_destroy(j);
	job_destroy(again);
}

/* Compare a text of a step as it was submitted with what was decoded. */
static void check_step_text(const json_t *step, const char *name,
			    const char *text)
{
	check(!strcmp(json_str_or(step, name, ""), text),
	      "a text that is not as it was submitted");
}

/* Compare a flag or number of a submission; what is left out is 0. */
static void check_step_value(const json_t *step, const char *name,
			     uint64_t value)
{
	const json_t *v = json_object_get(step, name);

	check(value == (json_is_boolean(v) ? (uint64_t)json_is_true(v)
					   : (uint64_t)json_integer_value(v)),
	      "a value that is not as it was submitted");
}

static void check_submitted_step(const json_t *v, const struct step *s,
				 bool long_running)
{
	const json_t *after = json_object_get(v, "after");

	check_step_text(v, "requires", s->label);
	check_step_text(v, "dataRack", s->data_rack);
	check_step_text(v, "image", s->image);
	check_step_value(v, "count", s->count);
	check_step_value(v, "cpu", s->need.cpu_milli);
	check_step_value(v, "memMb", s->need.memory_mb);
	check_step_value(v, "gpu", s->need.accelerators);
	check_step_value(v, "estimateMs", s->estimate_ms);
	check_step_value(v, "antiAffinity", s->max_tasks_per_upstream);
	check_step_value(v, "maxUnavailable", s->max_unavailable);
	check_step_value(v, "targetMs", s->target_ms);
	check_step_value(v, "checkpointing", s->checkpoints);
	check_step_value(v, "gang", s->gang);
	check_step_value(v, "rackSensitive", s->rack_sensitive);
	check_step_value(v, "speculative", s->speculative);
	check_step_value(v, "fills", s->best_effort_cpu);
	check(s->long_running == (long_running || json_is_true(json_object_get(
							  v, "longRunning"))),
	      "a value that is not as it was submitted");
	check(s->after_len == json_array_size(after),
	      "a step that waits for others than submitted");
	for (uint32_t i = 0; i < s->after_len; i++)
		check(s->after[i] == (uint64_t)json_integer_value(
					     json_array_get(after, i)),
		      "a step that waits for others than submitted");
}

/*
 * A submission that is accepted is stored, and read again, as it was submitted:
 * each step of it, with each of its texts and values.
 */
static void check_submission(const char *text)
{
	char *why = NULL, *row;
	struct job *j =
		decode_submission("00000000000000a1", text, strlen(text), &why);
	struct job *again;
	json_t *v, *steps;
	bool all;

	check(!j == !!why, "a refusal without a reason");
	g_free(why);
	if (!j)
		return;
	v = json_loads(text, 0, NULL);
	steps = json_object_get(v, "steps");
	all = json_is_true(json_object_get(v, "longRunning"));
	row = spec_encode(j);
	check(row != NULL, "an accepted job that cannot be stored");
	check(spec_matches(row, j), "an accepted job that changes");
	again = spec_decode(j->id, row);
	check(again && again->steps_len == json_array_size(steps),
	      "an accepted job without some of its steps");
	check(!strcmp(again->payload, json_str_or(v, "spec", "")),
	      "a text that is not as it was submitted");
	check_step_value(v, "startAtMs", again->start_at_wall_ms);
	check_step_value(v, "intervalMs", again->interval_ms);
	check_step_value(v, "repeatCount", again->repeat);
	for (uint32_t i = 0; i < again->steps_len; i++)
		check_submitted_step(json_array_get(steps, i), &again->steps[i],
				     all);
	free(row);
	json_decref(v);
	job_destroy(j);
	job_destroy(again);
}

/* A submission whose first step has long texts, and an odd or missing field. */
static void check_submitted_texts(struct input *in)
{
	static const char *const texts[] = {"requires", "dataRack", "image"};
	GString *s = g_string_new("{\"spec\":");

	add_text(s, in);
	g_string_append(s, ",\"steps\":[");
	if (take(in) & 1)
		add_doc(s, in, submitted_step_doc);
	else
		add_sound_doc(s, submitted_step_doc);
	g_string_truncate(s, s->len - 1);
	/* the last of two fields with one name counts */
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		if (take(in) & 1)
			continue;
		g_string_append_printf(s, ",\"%s\":", texts[i]);
		add_text(s, in);
	}
	g_string_append(s, "},{\"count\":1,\"after\":[0]}]}");
	check_submission(s->str);
	g_string_free(s, TRUE);
}

/* Append ,"name": and a long text. */
static void add_named_text(GString *s, struct input *in, const char *name)
{
	g_string_append_printf(s, ",\"%s\":", name);
	add_text(s, in);
}

/* A configuration and an entry whose names are long. */
static void check_long_names(struct input *in)
{
	GString *s = g_string_new("{\"version\":7");

	g_string_append(s, ",\"routes\":[{\"priority\":1");
	add_named_text(s, in, "name");
	add_named_text(s, in, "host");
	add_named_text(s, in, "pathPrefix");
	add_named_text(s, in, "service");
	g_string_append(s, "}],\"services\":[{\"standby\":true");
	add_named_text(s, in, "name");
	g_string_append(s, "}],\"tenants\":[{\"apiKeys\":[\"k\"]");
	add_named_text(s, in, "name");
	g_string_append(s, "}]}");
	check_policy(s->str);
	g_string_assign(s, "");
	add_sound_doc(s, entry_doc);
	g_string_truncate(s, s->len - 1);
	/* the last of two fields with one name counts */
	add_named_text(s, in, "machine");
	g_string_append(s, ",\"labels\":[");
	add_text(s, in);
	g_string_append_c(s, ',');
	add_text(s, in);
	g_string_append(s, "]}");
	check_entry(s->str);
	check(decode_upstream("u1", s->str, UINT64_C(1796421697614),
			      &(struct upstream_entry){.service = NULL}),
	      "an entry that is refused for its texts");
	g_string_free(s, TRUE);
}

static void place_run(void *arg, struct task *t, const struct run_place *at)
{
	struct fleet *f = arg;
	struct upstream *u = fleet_find_upstream(f, at->upstream);

	check(*at->upstream && strlen(at->upstream) < UPSTREAM_ID_BYTES,
	      "a name of an upstream out of bounds");
	check(!at->address.sin_port || address_is_unicast(&at->address),
	      "an address that no upstream can have");
	if (!u)
		u = fleet_add_upstream(f, at->upstream);
	if (!u->started_wall_ms) {
		u->started_wall_ms = at->started_wall_ms;
		if (at->address.sin_port)
			address_format(&at->address, u->address,
				       sizeof(u->address));
	}
	if (u->started_wall_ms == at->started_wall_ms)
		task_place(t, u, t->run, 1000);
}

static struct job *create_job(void)
{
	return spec_decode("a", "{\"queue\":\"q\",\"steps\":[{\"count\":3},"
				"{\"count\":2,\"after\":[0]}]}");
}

static void release_job(struct job *j)
{
	for (uint32_t i = 0; i < j->stages_len; i++)
		for (uint32_t k = 0; k < j->stages[i].step->count; k++)
			if (j->stages[i].tasks[k].at)
				fleet_release(&j->stages[i].tasks[k]);
	job_destroy(j);
}

static void check_same_stage(const struct stage *a, const struct stage *b)
{
	check(a->done == b->done && a->done <= a->step->count,
	      "a number of ended tasks that changes");
	for (uint32_t k = 0; k < a->step->count; k++) {
		const struct task *t = &a->tasks[k], *u = &b->tasks[k];

		check(t->run == u->run && t->failures == u->failures &&
			      t->state == u->state && !t->at == !u->at,
		      "a task changes when its row is read again");
		check(!t->at || !strcmp(t->at->address, u->at->address),
		      "an address changes when its row is read again");
		check(!t->run || t->state == TASK_DONE ||
			      !g_strcmp0(t->checkpoint, u->checkpoint),
		      "a checkpoint changes when its row is read again");
	}
}

/* Runs that are accepted must be the same once written and read. */
static void check_run(const char *text)
{
	struct job *j = create_job(), *again = create_job();
	struct fleet *f = fleet_create(), *other = fleet_create();
	char *row;

	run_decode(j, text, place_run, f);
	row = run_encode(j);
	check(run_decode(again, row, place_run, other),
	      "runs cannot be read again");
	check(j->state == again->state && j->ended_ms == again->ended_ms,
	      "a state changes when it is read again");
	for (uint32_t i = 0; i < j->stages_len; i++)
		check_same_stage(&j->stages[i], &again->stages[i]);
	free(row);
	release_job(j);
	release_job(again);
	fleet_destroy(f);
	fleet_destroy(other);
}

static void check_small_rows(const char *text)
{
	struct state_record s;
	struct owner_record o;
	struct peer_record p = {.domain = NULL};
	struct job_record j = {.queue = NULL};

	if (state_decode(text, &s))
		check(s.ended_ms <= COUNTER_MAX, "an end out of bounds");
	if (job_decode(text, &j))
		check(*j.queue, "a job without a queue");
	job_record_clear(&j);
	if (peer_record_decode("i", text, &p))
		check(p.strength <= PEER_STRENGTH_MAX && p.address.sin_port,
		      "a peer out of bounds");
	peer_record_clear(&p);
	if (owner_decode(text, &o))
		check(o.epoch <= COUNTER_MAX, "an epoch out of bounds");
}

/* Whatever was restored, predictions are numbers. */
static void check_learned(const char *text)
{
	const uint64_t estimates_ms[] = {0, 1, 1000, UINT32_MAX};
	struct estimator *e = estimator_create();
	struct learned_list list = learned_durations(e);
	struct learned_result r = {0};

	learned_decode_row(&list, text, 2000, NULL, &r);
	for (size_t i = 0; i < G_N_ELEMENTS(estimates_ms); i++) {
		struct duration_key k = {"q", "a", 0, estimates_ms[i]};
		struct duration_estimate d =
			duration_predict(estimator_durations(e), &k);

		check(isfinite(d.mean_ms) && isfinite(d.median_ms) &&
			      isfinite(d.log_sd) && d.median_ms >= 0,
		      "a prediction that is no number");
		check(isfinite(duration_quantile_ms(&d, 0.9)) &&
			      isfinite(duration_remaining_ms(&d, 5000)),
		      "a quantile that is no number");
		duration_record_run(estimator_durations(e), &k, 1000, 1);
		duration_record_stopped(estimator_durations(e), &k, 900, 1);
		d = duration_predict(estimator_durations(e), &k);
		check(isfinite(d.mean_ms), "a run made a prediction unusable");
	}
	estimator_destroy(e);
}

static void check_lists(const char *text)
{
	json_t *body = answer_parse(text, strlen(text));
	struct order_answer a = {.outcome = ORDER_DONE};

	lists_decode(body, &a);
	check(a.clock_ms <= UPSTREAM_CLOCK_MAX_MS &&
		      a.started_wall_ms <= clock_wall_ms() + DAY_MS,
	      "a time of an answer out of bounds");
	for (uint32_t i = 0; i < a.running_len; i++)
		check(a.running[i].run && *a.running[i].task &&
			      strlen(a.running[i].task) < TASK_NAME_BYTES &&
			      a.running[i].checkpoint &&
			      a.running[i].percent <= 100,
		      "a run out of bounds");
	for (uint32_t i = 0; i < a.ended_len; i++)
		check(a.ended[i].number && a.ended[i].number <= COUNTER_MAX &&
			      a.ended[i].task && a.ended[i].checkpoint &&
			      (a.ended[i].run || !*a.ended[i].task),
		      "an end out of bounds");
	lists_clear(&a);
	json_decref(body);
}

/* A call of the store, whose answer is given at once. */
struct store {
	http_done_fn done;
	void *arg;
	enum rows_outcome outcome;
	bool found_first, found_last;
};

static bool keep_call(void *arg, const char *method, const char *path,
		      const char *body, uint32_t timeout_ms, http_done_fn done,
		      void *done_arg)
{
	struct store *s = arg;

	(void)method;
	(void)path;
	(void)body;
	(void)timeout_ms;
	s->done = done;
	s->arg = done_arg;
	return true;
}

static void note_rows(void *arg, const struct rows_answer *a)
{
	struct store *s = arg;

	s->outcome = a->outcome;
	for (uint32_t i = 0; i < a->len; i++) {
		const struct row *r = &a->list[i];

		check(*r->key && r->version <= INT64_MAX,
		      "a row out of bounds");
		s->found_first |= !strcmp(r->key, "first") && r->value;
		s->found_last |= !strcmp(r->key, "last") && r->value;
	}
}

static void read_page(struct store *s, const char *text, size_t len)
{
	struct http_result r = {.verdict = verdict_ran(),
				.status = 200,
				.body = text,
				.len = len};
	struct rows *rows = rows_create(keep_call, s);

	rows_read_range(rows, "t", "", "", 500, 0, 100, note_rows, s);
	s->done(s->arg, &r);
	rows_destroy(rows);
}

/* A row of any bytes between two sound ones leaves them as they are. */
static void check_page(struct input *in)
{
	static const char sound[] = "{\"key\":\"%s\",\"value\":\"eA==\","
				    "\"rowVersion\":3}";
	GString *s = g_string_new("{\"rows\":[");
	struct store store = {0};

	g_string_append_printf(s, sound, "first");
	g_string_append(s, ",{\"key\":");
	add_bytes(s, in, take(in));
	g_string_append(s, ",\"value\":");
	add_bytes(s, in, take(in));
	g_string_append(s, "},");
	if (take(in) & 1) {
		add_nesting(s, 1 + take(in) * 9);
		g_string_append_c(s, ',');
	}
	g_string_append_printf(s, sound, "last");
	g_string_append(s, "],\"rowVersion\":9}");
	read_page(&store, s->str, s->len);
	check(store.outcome == ROWS_OK, "a page that cannot be read");
	check(store.found_first && store.found_last,
	      "a sound row that is lost");
	g_string_free(s, TRUE);
}

/* Give text as it is to each decoder. */
static void check_text(const struct input *in)
{
	char *text = g_strndup((const char *)in->data, in->len);
	struct store store = {0};

	check_entry(text);
	check_policy(text);
	check_spec(text);
	check_submission(text);
	check_run(text);
	check_small_rows(text);
	check_lists(text);
	read_page(&store, (const char *)in->data, in->len);
	g_free(text);
}

/* A spec whose only step is odd. */
static void check_step(struct input *in)
{
	GString *s = g_string_new("{\"queue\":\"q\",\"steps\":[");

	add_doc(s, in, step_doc);
	g_string_append(s, "]}");
	check_spec(s->str);
	g_string_free(s, TRUE);
}

/* A kind of document and what decodes it. */
struct doc {
	const struct doc_field *fields;
	void (*check)(const char *text);
};

static const struct doc docs[] = {
	{entry_doc, check_entry},      {policy_doc, check_policy},
	{spec_doc, check_spec},	       {run_doc, check_run},
	{lists_doc, check_lists},      {learned_doc, check_learned},
	{small_doc, check_small_rows}, {submission_doc, check_submission}};

static void check_doc(struct input *in, const struct doc *doc)
{
	GString *s = g_string_new(NULL);
	uint32_t n;

	if (take(in) & 1) {
		add_doc(s, in, doc->fields);
	} else {
		add_sound_doc(s, doc->fields);
		n = replace_scalar(s, in, UINT32_MAX);
		replace_scalar(s, in, n ? take(in) % n : 0);
	}
	doc->check(s->str);
	g_string_free(s, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct input in = {data, len, UINT64_C(0xcbf29ce484222325)};
	uint8_t choice;

	for (size_t i = 0; i < len; i++)
		in.random = (in.random ^ data[i]) * UINT64_C(0x100000001b3);
	in.random |= 1;
	choice = take(&in) % (G_N_ELEMENTS(docs) + 5);

	log_open("fuzz", "", (enum log_level)(LOG_ERROR + 1));
	if (choice < G_N_ELEMENTS(docs))
		check_doc(&in, &docs[choice]);
	else if (choice == G_N_ELEMENTS(docs))
		check_step(&in);
	else if (choice == G_N_ELEMENTS(docs) + 1)
		check_page(&in);
	else if (choice == G_N_ELEMENTS(docs) + 2)
		check_submitted_texts(&in);
	else if (choice == G_N_ELEMENTS(docs) + 3)
		check_long_names(&in);
	else
		check_text(&in);
	return 0;
}
