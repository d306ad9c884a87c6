/* Tests of decoding what the joint platform and its upstreams send. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include <unistd.h>

#include "lead/record.h"
#include "lib/address.h"
#include "lib/http.h"
#include "platform/decode.h"
#include "platform/orders.h"
#include "platform/settings.h"

/* A text that is longer than a label. */
#define LONG_LABEL                                                             \
	"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

/*
 * Set a to an address on loopback that only this process uses: runs of the
 * tests at the same time share the ports.
 */
static void own_address(struct sockaddr_in *a, uint32_t port)
{
	uint32_t pid = (uint32_t)getpid();
	char *text = g_strdup_printf("127.42.%u.%u:%u", pid >> 8 & 0xff,
				     pid & 0xff, port);

	assert_true(address_parse(text, a));
	g_free(text);
}

static void answer_with_runs(void *arg, struct http_exchange *x)
{
	(void)arg;
	exchange_reply(x, 200, "application/json",
		       "{\"running\": [[\"a\", 1, \"\", -5], "
		       "[\"a\", 1, \"\", 1e300], [\"a\", 1, \"\", 40.7], "
		       "[\"a\", 1, \"\", null]]}",
		       0);
}

struct listed_progress {
	uint32_t percent[4];
	uint32_t len;
};

static void copy_progress(void *arg, const struct order_answer *a)
{
	struct listed_progress *p = arg;

	for (uint32_t i = 0; i < MIN(a->running_len, 4); i++)
		p->percent[i] = a->running[i].percent;
	p->len = a->running_len;
}

/*
 * Guards against progress that the processor converts to an integer in its own
 * way: -5 is 0 on arm64 and 4294967291 on x86-64.
 */
static void listed_progress_is_between_0_and_100_percent(void **state)
{
	static const uint32_t expected[] = {0, 100, 40, 0};
	struct loop *l = loop_create();
	struct http_client *c = http_client_create(l);
	struct listed_progress p = {0};
	struct http_server *s;
	struct sockaddr_in at;
	struct orders *o;

	(void)state;
	own_address(&at, 7435);
	s = http_server_create(l, &at, 1024, answer_with_runs, NULL);
	assert_non_null(s);
	o = orders_create(c, "u1", &at);
	orders_renew(o, &(struct renewal){.token = 1}, 2000, copy_progress, &p);
	for (int i = 0; i < 200 && !p.len; i++)
		loop_step(l, 10);
	assert_int_equal(p.len, G_N_ELEMENTS(expected));
	for (uint32_t i = 0; i < p.len; i++)
		assert_int_equal(p.percent[i], expected[i]);
	orders_destroy(o);
	http_server_destroy(s);
	http_client_destroy(c);
	loop_destroy(l);
}

/* An answer that an upstream gives, and what is made of it. */
struct listed {
	const char *body;
	struct order_answer answer; /* without the lists */
	GString *text; /* TASK/RUN of each run, =NUMBER/TASK/RUN of each end */
};

static void answer_with_body(void *arg, struct http_exchange *x)
{
	exchange_reply(x, 200, "application/json", ((struct listed *)arg)->body,
		       0);
}

static void copy_lists(void *arg, const struct order_answer *a)
{
	struct listed *l = arg;

	l->answer = *a;
	for (uint32_t i = 0; i < a->running_len; i++)
		g_string_append_printf(l->text, "%s/%u ", a->running[i].task,
				       a->running[i].run);
	for (uint32_t i = 0; i < a->ended_len; i++)
		g_string_append_printf(l->text, "=%llu/%s/%u ",
				       (unsigned long long)a->ended[i].number,
				       a->ended[i].task, a->ended[i].run);
}

/* Renew the leases of an upstream that answers l->body. */
static void decode_lists(struct listed *l)
{
	struct loop *loop = loop_create();
	struct http_client *c = http_client_create(loop);
	struct http_server *s;
	struct sockaddr_in at;
	struct orders *o;

	own_address(&at, 7436);
	s = http_server_create(loop, &at, 1024, answer_with_body, l);
	assert_non_null(s);
	o = orders_create(c, "u1", &at);
	l->text = g_string_new(NULL);
	l->answer.outcome = ORDER_INVALID;
	orders_renew(o, &(struct renewal){.token = 1}, 2000, copy_lists, l);
	for (int i = 0; i < 200 && l->answer.outcome == ORDER_INVALID; i++)
		loop_step(loop, 10);
	orders_destroy(o);
	http_server_destroy(s);
	http_client_destroy(c);
	loop_destroy(loop);
}

/*
 * Guards against a row that hides the others, that becomes one of another run,
 * or that nobody can acknowledge.
 */
static void odd_rows_of_lists_cost_themselves_alone(void **state)
{
	static const char *const rows[][2] = {
		{"[\"b\",2,\"\",7]", "b/2 "},
		{"[\"b\",4294967297,\"\",7]", ""},
		{"[\"b\",-1,\"\",7]", ""},
		{"[\"b\",0,\"\",7]", ""},
		{"[\"b\",1e400,\"\",7]", ""},
		{"[\"b\",18446744073709551616,\"\",7]", ""},
		{"[\"b\",\"2\",\"\",7]", ""},
		{"[\"b\\u0000\",2,\"\",7]", ""},
		{"[\"b\\ud800\",2,\"\",7]", ""},
		{"[\"b\xff\",2,\"\",7]", ""},
		{"[7,2,\"\",7]", ""},
		{"[\"\",2,\"\",7]", ""},
		{"[\"" LONG_LABEL "\",2,\"\",7]", ""},
		{"[]", ""},
		{"{}", ""},
		{"7", ""},
		{"null", ""},
		{"[[[[]]]]", ""},
		/* a checkpoint that cannot be read costs the checkpoint */
		{"[\"b\",2,\"\\u0000\",7]", "b/2 "},
		{"[\"b\",2,{},{}]", "b/2 "},
	};
	struct listed l = {0};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *body = g_strdup_printf(
			"{\"clockMs\":9,\"born\":7,\"running\":"
			"[[\"a\",1,\"\",0],%s,[\"z\",3,\"\",0]],"
			"\"finished\":[[1,\"y\",1,\"done\",\"\"]]}",
			rows[i][0]);
		char *expected =
			g_strdup_printf("a/1 %sz/3 =1/y/1 ", rows[i][1]);

		l.body = body;
		decode_lists(&l);
		assert_int_equal(l.answer.outcome, ORDER_DONE);
		assert_string_equal(l.text->str, expected);
		assert_int_equal(l.answer.refused, !*rows[i][1]);
		assert_int_equal(l.answer.clock_ms, 9);
		g_string_free(l.text, TRUE);
		g_free(expected);
		g_free(body);
	}
}

static void odd_ends_can_be_acknowledged(void **state)
{
	static const char *const rows[][2] = {
		{"[2,\"b\",1,\"done\",\"\"]", "=2/b/1 "},
		{"[2,\"b\",1,\"gone\",\"\"]", "=2//1 "},
		{"[2,\"b\",1]", "=2//1 "},
		{"[2,\"b\",-1,\"done\",\"\"]", "=2//0 "},
		{"[2,7,1,\"done\",\"\"]", "=2//1 "},
		{"[-2,\"b\",1,\"done\",\"\"]", ""},
		{"[9223372036854775807,\"b\",1,\"done\",\"\"]", ""},
		{"[\"2\",\"b\",1,\"done\",\"\"]", ""},
		{"[1e300,\"b\",1,\"done\",\"\"]", ""},
		{"{}", ""},
		{"7", ""},
	};
	struct listed l = {0};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *body = g_strdup_printf(
			"{\"clockMs\":9,\"running\":[],\"finished\":["
			"[1,\"a\",1,\"done\",\"\"],%s,"
			"[3,\"c\",1,\"failed\",\"\"]]}",
			rows[i][0]);
		char *expected =
			g_strdup_printf("=1/a/1 %s=3/c/1 ", rows[i][1]);

		l.body = body;
		decode_lists(&l);
		assert_string_equal(l.text->str, expected);
		assert_int_equal(l.answer.refused, i != 0);
		g_string_free(l.text, TRUE);
		g_free(expected);
		g_free(body);
	}
}

/* Guards against a start time that makes all later answers older. */
static void odd_numbers_of_an_answer_are_unknown(void **state)
{
	static const char *const numbers[] = {"-1", "9223372036854775807",
					      "\"7\"", "null", "1e300"};
	struct listed l = {0};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		char *body = g_strdup_printf(
			"{\"clockMs\":%s,\"born\":%s,\"remainingMs\":%s,"
			"\"running\":[[\"a\",1,\"\",0]],\"finished\":[]}",
			numbers[i], numbers[i], numbers[i]);

		l.body = body;
		decode_lists(&l);
		assert_int_equal(l.answer.outcome, ORDER_DONE);
		assert_string_equal(l.text->str, "a/1 ");
		assert_int_equal(l.answer.clock_ms, 0);
		assert_int_equal(l.answer.started_wall_ms, 0);
		assert_int_equal(l.answer.drain_remaining_ms, 0);
		g_string_free(l.text, TRUE);
		g_free(body);
	}
}

/*
 * Guards against an objective in milliseconds that is undefined: the longest
 * chain of a job times the factor is converted to an integer.
 */
static void slack_factor_of_a_queue_is_bounded(void **state)
{
	static const double expected[] = {0, 1000, 1.5, 0};
	struct policy *p = decode_policy(
		"{\"version\": 1, \"routes\": [{\"slackFactor\": -2}, "
		"{\"slackFactor\": 1e300}, {\"slackFactor\": 1.5}, {}]}");

	(void)state;
	assert_non_null(p);
	assert_int_equal(p->queues_len, G_N_ELEMENTS(expected));
	for (uint32_t i = 0; i < p->queues_len; i++)
		assert_true(p->queues[i].slack_factor == expected[i]);
	policy_destroy(p);
}

/* Leases of the longer kind may last, whatever the settings say by now. */
static void reloaded_settings_keep_the_longest_lease(void **state)
{
	struct joint_settings s = {
		.instance = "i", .lease_ms = 6000, .lease_max_ms = 6000};
	struct joint_settings newer = {.instance = "j",
				       .lease_ms = 1000,
				       .lease_max_ms = 1000,
				       .stop_ms = 5};

	(void)state;
	joint_settings_update(&s, &newer);
	assert_int_equal(s.lease_ms, 1000);
	assert_int_equal(s.lease_max_ms, 6000);
	assert_int_equal(s.stop_ms, 5);
	assert_string_equal(s.instance, "i");
	newer.lease_ms = 8000;
	joint_settings_update(&s, &newer);
	assert_int_equal(s.lease_max_ms, 8000);
}

/*
 * Guards against a configuration that replaces a sound one and serves nobody,
 * or that no later one replaces.
 */
static void odd_configurations_are_refused(void **state)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{}",
		"{\"version\":1}",
		"{\"version\":\"1\",\"routes\":[]}",
		"{\"version\":-1,\"routes\":[]}",
		"{\"version\":9223372036854775807,\"routes\":[]}",
		"{\"version\":18446744073709551616,\"routes\":[]}",
		"{\"version\":1e400,\"routes\":[]}",
		"{\"version\":1,\"routes\":7}",
		"{\"version\":1,\"routes\":{}}",
		"{\"version\":1,\"routes\":null}",
		"{\"version\":1,\"routes\":[],\"tenants\":{}}",
		"{\"version\":1,\"routes\":[],\"services\":7}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		if (decode_policy(texts[i]))
			fail_msg("%s", texts[i]);
}

/* An empty key must give access to nobody, and a number has a bound. */
static void odd_parts_of_a_configuration_cost_themselves_alone(void **state)
{
	struct policy *p = decode_policy(
		"{\"version\":7,\"routes\":[7,[],{\"name\":7},{\"name\":\"q\","
		"\"priority\":-1,\"maxAttempts\":-1,\"timeoutMs\":\"x\","
		"\"targetRuntimeMs\":-1,\"slackFactor\":\"x\"}],"
		"\"tenants\":[null,{\"name\":[]},{\"name\":\"t\",\"apiKeys\":"
		"[7,\"\",\"k\"],\"guaranteed\":{\"gpu\":9223372036854775807}},"
		"{\"name\":\"u\",\"apiKeys\":7,\"guaranteed\":-1}],"
		"\"services\":[{\"name\":{}},{\"name\":\"s\","
		"\"enforcesCapacity\":true}],\"limits\":"
		"{\"maxBodyBytes\":-1}}");

	(void)state;
	assert_non_null(p);
	assert_int_equal(p->version, 7);
	assert_int_equal(p->queues_len, 1);
	assert_string_equal(p->queues[0].name, "q");
	assert_int_equal(p->queues[0].priority, 0);
	assert_int_equal(p->queues[0].max_attempts, 0);
	assert_int_equal(p->queues[0].target_ms, 0);
	assert_int_equal(p->accounts_len, 2);
	assert_null(policy_find_account(p, ""));
	assert_string_equal(policy_find_account(p, "k")->name, "t");
	assert_in_range(p->accounts[0].guaranteed, 0, 1000000);
	assert_int_equal(p->accounts[1].guaranteed, 0);
	assert_int_equal(p->services_len, 1);
	assert_true(policy_enforces_capacity(p, "s"));
	assert_int_equal(p->max_body_bytes, 262144);
	policy_destroy(p);
}

#define WALL_MS UINT64_C(1796421697614)

/* A field of an entry and its value as JSON; NULL for none. */
struct entry_field {
	const char *name;
	const char *value;
};

/* What sound upstreams write; the last two of them may be absent. */
static const struct entry_field sound_fields[] = {
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
};

/* Decode a sound entry in which one field is replaced, added or left out. */
static bool decode_with(const struct entry_field *changed,
			struct upstream_entry *e)
{
	GString *s = g_string_new("{\"other\":[{}]");
	bool found = false, ok;

	for (size_t i = 0; i < G_N_ELEMENTS(sound_fields); i++) {
		const struct entry_field *f = &sound_fields[i];

		if (!strcmp(f->name, changed->name)) {
			f = changed;
			found = true;
		}
		if (f->value)
			g_string_append_printf(s, ",\"%s\":%s", f->name,
					       f->value);
	}
	if (!found)
		g_string_append_printf(s, ",\"%s\":%s", changed->name,
				       changed->value);
	g_string_append_c(s, '}');
	ok = decode_upstream("i-7f3a91c2", s->str, WALL_MS, e);
	g_string_free(s, TRUE);
	return ok;
}

/* Guards against an upstream that is not used, as its entry is refused. */
static void sound_upstream_entries_are_accepted(void **state)
{
	static const struct entry_field changes[] = {
		{"other", "7"},
		{"state", "\"draining\""},
		{"remainingMs", "0"},
		{"remainingMs", "6000"},
		{"seq", "0"},
		{"slots", "0"},
		{"coldLeftMs", "4000"},
		{"born", "1796421700000"},
		{"born", "1"},
		{"clockMs", NULL},
		{"clockMs", "0"},
		{"machine", NULL},
		{"machine", "\"\""},
		{"capacity", "{\"cpu\":16000,\"memMb\":32768}"},
		{"capacity", "{\"cpu\":0,\"memMb\":0,\"gpu\":0}"},
		{"labels", "[]"},
		{"labels", "[\"a\"]"},
		{"addr", "\"10.128.0.9:65535\""},
		{"addr", "\"127.0.0.1:1\""},
		{"addr", "\"223.255.255.254:80\""},
	};
	struct upstream_entry e;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		if (!decode_with(&changes[i], &e))
			fail_msg("%s: %s", changes[i].name, changes[i].value);
	}
	assert_true(decode_with(&changes[0], &e));
	assert_string_equal(e.service, "s");
	assert_string_equal(e.domain, "z");
	assert_string_equal(e.kind, "a");
	assert_string_equal(e.rack, "r3-2");
	assert_string_equal(e.machine, "m-5afb2");
	assert_int_equal(e.started_wall_ms, UINT64_C(1796421690000));
	assert_int_equal(e.clock_ms, 7687143);
	assert_int_equal(e.resources.cpu_milli, 128000);
	assert_int_equal(e.resources.memory_mb, 524288);
	assert_int_equal(e.resources.accelerators, 8);
	assert_int_equal(ntohs(e.address.sin_port), 8248);
	assert_true(decode_with(&changes[3], &e));
	assert_int_equal(e.drain_remaining_ms, 6000);
	assert_int_equal(e.cold_remaining_ms, 0);
	assert_true(decode_with(&changes[6], &e));
	assert_int_equal(e.cold_remaining_ms, 4000);
}

/* Guards against other keys that evacuate a domain, or one that does not. */
static void evacuation_keys_name_their_domain(void **state)
{
	static const char *const others[] = {
		"",	     "config",	    "evacuate",
		"evacuate/", "evacuated/z", "Evacuate/z"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++)
		assert_null(decode_evacuation_key(others[i]));
	assert_string_equal(decode_evacuation_key("evacuate/z"), "z");
	assert_string_equal(decode_evacuation_key("evacuate/a/b"), "a/b");
}

/* Values that no number field of an entry may have; NULL: it is missing. */
static const char *const odd_numbers[] = {
	"-1",
	"9223372036854775807",
	"9223372036854775808",
	"-9223372036854775808",
	"18446744073709551616",
	"1e400",
	"1e300",
	"1.5",
	"\"7\"",
	"null",
	"true",
	"[1]",
	"{}",
};

/* Guards against numbers that become valid ones of another meaning. */
static void upstream_entries_with_odd_numbers_are_refused(void **state)
{
	static const char *const names[] = {
		"born", "clockMs", "remainingMs", "slots", "coldLeftMs", "seq"};
	static const char *const capacities[] = {
		"{\"cpu\":%s,\"memMb\":1,\"gpu\":1}",
		"{\"cpu\":1,\"memMb\":%s,\"gpu\":1}",
		"{\"cpu\":1,\"memMb\":1,\"gpu\":%s}"};
	struct upstream_entry e;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd_numbers); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(names); k++) {
			struct entry_field f = {names[k], odd_numbers[i]};

			if (decode_with(&f, &e))
				fail_msg("%s: %s", f.name, f.value);
		}
		for (size_t k = 0; k < G_N_ELEMENTS(capacities); k++) {
			char *value =
				g_strdup_printf(capacities[k], odd_numbers[i]);
			struct entry_field f = {"capacity", value};

			if (decode_with(&f, &e))
				fail_msg("%s: %s", f.name, f.value);
			g_free(value);
		}
	}
}

/* Guards against entries of other writers that are drawn upon for work. */
static void odd_upstream_entries_are_refused(void **state)
{
	static const struct entry_field changes[] = {
		/* a start that lies days ahead makes all later ones older */
		{"born", "1797421697614"},
		{"born", "0"},
		{"born", NULL},
		{"seq", NULL},
		{"slots", NULL},
		{"coldLeftMs", NULL},
		{"version", NULL},
		{"version", "7"},
		{"version", "\"v\\u00001\""},
		{"service", NULL},
		{"service", "7"},
		{"service", "\"\""},
		{"zone", NULL},
		{"zone", "[]"},
		{"machine", "7"},
		{"machine", "null"},
		{"state", NULL},
		{"state", "\"gone\""},
		{"state", "7"},
		{"labels", NULL},
		{"labels", "{}"},
		{"labels", "\"a\""},
		{"labels", "[1,2]"},
		{"labels", "[null,\"r\"]"},
		{"labels", "[\"a\",\"r\",7]"},
		{"labels", "[[\"a\"]]"},
		{"capacity", NULL},
		{"capacity", "7"},
		{"capacity", "[]"},
		{"capacity", "{}"},
		{"capacity", "{\"cpu\":1}"},
		{"capacity", "{\"memMb\":1}"},
		{"capacity", "{\"cpu\":100000001,\"memMb\":1}"},
		{"addr", NULL},
		{"addr", "7"},
		{"addr", "\"10.0.0.1\""},
		{"addr", "\"10.0.0.1:70000\""},
		{"addr", "\"10.0.0.1:-1\""},
		{"addr", "\"10.0.0.1:0\""},
		{"addr", "\"0.0.0.0:80\""},
		{"addr", "\"0.1.2.3:80\""},
		{"addr", "\"224.0.0.1:80\""},
		{"addr", "\"255.255.255.255:80\""},
	};
	struct upstream_entry e;
	GString *labels = g_string_new("[\"a\"");
	struct entry_field many = {"labels", NULL};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++)
		if (decode_with(&changes[i], &e))
			fail_msg("%s: %s", changes[i].name, changes[i].value);
	for (uint32_t i = 0; i < 100000; i++)
		g_string_append(labels, ",\"a\"");
	g_string_append_c(labels, ']');
	many.value = labels->str;
	assert_false(decode_with(&many, &e));
	g_string_free(labels, TRUE);
}

/* Return a value that is nested n deep; free with g_free. */
static char *nest(uint32_t n)
{
	char *open = g_strnfill(n, '['), *shut = g_strnfill(n, ']');
	char *text = g_strconcat(open, shut, NULL);

	g_free(open);
	g_free(shut);
	return text;
}

static void upstream_entries_that_are_no_objects_are_refused(void **state)
{
	static const char *const texts[] = {
		"", "null", "7", "\"x\"", "[]", "[{}]", "{}", "{", "{\"a\":}"};
	struct upstream_entry e;
	char *deep = nest(100000);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_false(decode_upstream("i-1", texts[i], WALL_MS, &e));
	assert_false(decode_upstream("i-1", deep, WALL_MS, &e));
	g_free(deep);
}

/*
 * An id is sent in a header, and is the key of a row, of at most 200 bytes. Guards
 * against an entry that adds another upstream each time it is written, as its id
 * is cut, and against an upstream that is not used, as its id is long.
 */
static void upstream_entries_under_odd_ids_are_refused(void **state)
{
	static const char *const ids[] = {"",	    " ",    "a ",    " b",
					  "a\r\nb", "a\tb", "a\x7f", "a\xffz"};
	static const char *const sound[] = {"i", "a b", LONG_LABEL,
					    "\u0997\u09cd\u09b0"};
	char *longest = g_strnfill(200, 'x'), *longer = g_strnfill(201, 'x');
	struct upstream_entry e;
	GString *text = g_string_new("{\"other\":0");

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sound_fields); i++)
		g_string_append_printf(text, ",\"%s\":%s", sound_fields[i].name,
				       sound_fields[i].value);
	g_string_append_c(text, '}');
	assert_true(decode_upstream("i-1", text->str, WALL_MS, &e));
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		assert_false(decode_upstream(ids[i], text->str, WALL_MS, &e));
	for (size_t i = 0; i < G_N_ELEMENTS(sound); i++)
		assert_true(decode_upstream(sound[i], text->str, WALL_MS, &e));
	assert_true(decode_upstream(longest, text->str, WALL_MS, &e));
	assert_false(decode_upstream(longer, text->str, WALL_MS, &e));
	g_free(longer);
	g_free(longest);
	g_string_free(text, TRUE);
}

/* Texts of a step and what holds them. */
static const struct step_text {
	const char *name;
	size_t offset;
} step_texts[] = {
	{"requires", offsetof(struct step, label)},
	{"dataRack", offsetof(struct step, data_rack)},
	{"image", offsetof(struct step, image)},
};
/* Lengths that the test goes through, in bytes, far above those of names. */
#define STEP_TEXT_BYTES 1200

static const char *get_step_text(const struct step *s,
				 const struct step_text *t)
{
	return *(char *const *)((const char *)s + t->offset);
}

/* Decode a submission of one step with one more field of this value. */
static struct job *decode_step(const char *name, const char *value, char **why)
{
	char *body = g_strdup_printf(
		"{\"spec\":\"x\",\"steps\":[{\"count\":1,\"%s\":%s}]}", name,
		value);
	struct job *j =
		decode_submission("00000000000000a1", body, strlen(body), why);

	g_free(body);
	return j;
}

/* Encode a job as a row, decode that, and check a text of its only step. */
static void assert_row_keeps_text(const struct job *j,
				  const struct step_text *t, const char *text)
{
	char *row = spec_encode(j);
	struct job *again;

	assert_non_null(row);
	assert_true(spec_matches(row, j));
	again = spec_decode(j->id, row);
	assert_non_null(again);
	assert_int_equal(again->steps_len, 1);
	assert_string_equal(get_step_text(&again->steps[0], t), text);
	job_destroy(again);
	free(row);
}

/*
 * Guards against a text that is cut, perhaps within a letter, so that the step
 * is another one, or cannot be stored and is lost from an accepted job.
 */
static void texts_of_a_step_are_whole(void **state)
{
	/* letters of one to four bytes */
	static const char *const letters[] = {"x", "\u00e9", "\u0997",
					      "\U0001F600"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(step_texts); i++) {
		const struct step_text *t = &step_texts[i];

		for (size_t n = 0; n < 4 * STEP_TEXT_BYTES; n++) {
			const char *letter = letters[n % 4];
			GString *text = g_string_new(n % 3 ? "a" : "ab");
			char *value, *why = NULL;
			struct job *j;

			for (size_t k = 0; k < n / 4 / strlen(letter); k++)
				g_string_append(text, letter);
			value = g_strdup_printf("\"%s\"", text->str);
			j = decode_step(t->name, value, &why);
			assert_non_null(j);
			assert_null(why);
			assert_row_keeps_text(j, t, text->str);
			job_destroy(j);
			g_free(value);
			g_string_free(text, TRUE);
		}
	}
}

/*
 * Guards against a field of another type that counts as left out: the job would
 * run where it must not, or at another time.
 */
static void odd_fields_of_a_submission_are_refused(void **state)
{
	static const char *const texts[] = {"requires", "dataRack", "image"};
	static const char *const flags[] = {
		"checkpointing", "gang",	"rackSensitive",
		"speculative",	 "longRunning", "fills",
	};
	static const char *const odd_texts[] = {
		"7",	"null",		 "[]",		"{}",
		"true", "\"a\\u0000b\"", "\"\\ud800\"", "\"a\xff\""};
	static const char *const odd_flags[] = {"1", "\"true\"", "null", "[]"};
	static const char *const odd_times[] = {
		"1.5", "-1", "\"5\"", "null", "9007199254740993", "1e300"};
	char *why;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(odd_texts); k++) {
			assert_null(decode_step(texts[i], odd_texts[k], &why));
			g_free(why);
		}
	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(odd_flags); k++) {
			assert_null(decode_step(flags[i], odd_flags[k], &why));
			g_free(why);
		}
	for (size_t k = 0; k < G_N_ELEMENTS(odd_times); k++) {
		char *body = g_strdup_printf("{\"spec\":\"\",\"steps\":[{"
					     "\"count\":1}],\"startAtMs\":%s}",
					     odd_times[k]);

		assert_null(decode_submission("00000000000000a1", body,
					      strlen(body), &why));
		g_free(why);
		g_free(body);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(texts_of_a_step_are_whole),
		cmocka_unit_test(odd_fields_of_a_submission_are_refused),
		cmocka_unit_test(evacuation_keys_name_their_domain),
		cmocka_unit_test(reloaded_settings_keep_the_longest_lease),
		cmocka_unit_test(listed_progress_is_between_0_and_100_percent),
		cmocka_unit_test(odd_rows_of_lists_cost_themselves_alone),
		cmocka_unit_test(odd_ends_can_be_acknowledged),
		cmocka_unit_test(odd_numbers_of_an_answer_are_unknown),
		cmocka_unit_test(slack_factor_of_a_queue_is_bounded),
		cmocka_unit_test(odd_configurations_are_refused),
		cmocka_unit_test(
			odd_parts_of_a_configuration_cost_themselves_alone),
		cmocka_unit_test(sound_upstream_entries_are_accepted),
		cmocka_unit_test(upstream_entries_with_odd_numbers_are_refused),
		cmocka_unit_test(odd_upstream_entries_are_refused),
		cmocka_unit_test(
			upstream_entries_that_are_no_objects_are_refused),
		cmocka_unit_test(upstream_entries_under_odd_ids_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
