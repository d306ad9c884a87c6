/*
 * Texts that the platform's pages give no bound: each is kept whole, and two
 * that begin alike stay two, or it is refused or left out, logged and counted.
 */
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <glib.h>

#include "lead/admissionrow.h"
#include "lead/record.h"
#include "lib/log.h"
#include "peer/roster.h"
#include "platform/decode.h"
#include "platform/settings.h"

#define WALL_MS UINT64_C(1796421697614)

/* Two texts that begin alike, in letters of three bytes. */
struct pair {
	char *a;
	char *b;
};

/* Lengths of the part that two texts share; buffers of many sizes end there. */
static const size_t stem_letters[] = {0, 20, 21, 22, 42, 85, 170, 341, 3000};

static struct pair pair_create(size_t letters)
{
	GString *s = g_string_new(NULL);
	struct pair p;

	for (size_t i = 0; i < letters; i++)
		g_string_append(s, "\u0997");
	p.a = g_strconcat(s->str, "a", NULL);
	p.b = g_strconcat(s->str, "b", NULL);
	g_string_free(s, TRUE);
	return p;
}

static void pair_clear(struct pair *p)
{
	g_free(p->a);
	g_free(p->b);
}

/* Return format with each "%a" and "%b" replaced by a text of p. */
static char *fill_in(const char *format, const struct pair *p)
{
	GString *s = g_string_new(format);

	g_string_replace(s, "%a", p->a, 0);
	g_string_replace(s, "%b", p->b, 0);
	return g_string_free(s, FALSE);
}

static const char policy_format[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"%a\",\"host\":\"h%a\",\"pathPrefix\":\"/%a/\","
	"\"service\":\"%b\"},"
	"{\"name\":\"%b\",\"host\":\"h%b\",\"pathPrefix\":\"/%b/\","
	"\"service\":\"%a\"}],"
	"\"services\":[{\"name\":\"%a\",\"enforcesCapacity\":true},"
	"{\"name\":\"%b\"}],"
	"\"tenants\":[{\"name\":\"%a\",\"apiKeys\":[\"k%a\"]},"
	"{\"name\":\"%b\",\"apiKeys\":[\"k%b\"]}]}";

static void assert_queue(const struct policy *p, const char *host,
			 const char *path, const char *name)
{
	const struct queue *q = policy_match_queue(p, host, path);

	assert_non_null(q);
	assert_string_equal(q->name, name);
	assert_ptr_equal(policy_find_queue(p, name), q);
}

/*
 * Guards against accounts, routes and services that are left out of the
 * configuration, or are taken for each other, for the length of a name.
 */
static void long_texts_of_a_configuration_are_kept(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(stem_letters); i++) {
		struct pair n = pair_create(stem_letters[i]);
		char *text = fill_in(policy_format, &n);
		struct policy *p = decode_policy(text);
		char *host = g_strconcat("h", n.a, NULL);
		char *path = g_strconcat("/", n.a, "/0", NULL);
		char *key = g_strconcat("k", n.b, NULL);

		assert_non_null(p);
		assert_int_equal(p->refused_parts, 0);
		assert_int_equal(p->queues_len, 2);
		assert_queue(p, host, path, n.a);
		assert_string_equal(p->queues[1].service, n.a);
		assert_true(policy_enforces_capacity(p, n.a));
		assert_false(policy_enforces_capacity(p, n.b));
		assert_string_equal(policy_find_account(p, key)->name, n.b);
		g_free(key);
		g_free(path);
		g_free(host);
		policy_destroy(p);
		g_free(text);
		pair_clear(&n);
	}
}

/* Guards against a part of the configuration that is left out unseen. */
static void refused_parts_of_a_configuration_are_counted(void **state)
{
	struct policy *p = decode_policy(
		"{\"version\":7,\"routes\":[7,{\"host\":[]},{\"name\":\"q\"}],"
		"\"tenants\":[{\"name\":7},{\"name\":\"t\",\"apiKeys\":"
		"[\"k\",7,\"\"]}],\"services\":[null],"
		"\"limits\":{\"maxBodyBytes\":-1}}");

	(void)state;
	assert_non_null(p);
	assert_int_equal(p->queues_len, 1);
	assert_int_equal(p->accounts_len, 1);
	assert_int_equal(p->refused_parts, 7);
	policy_destroy(p);
}

static const char entry_format[] =
	"{\"service\":\"s%a\",\"zone\":\"z%a\",\"state\":\"ready\","
	"\"version\":\"v%a\",\"machine\":\"m%a\",\"slots\":8,\"seq\":1,"
	"\"born\":77,\"coldLeftMs\":0,\"addr\":\"10.3.64.16:8248\","
	"\"labels\":[\"%a\",\"%b\"],\"capacity\":{\"cpu\":1,\"memMb\":1}}";

/*
 * Guards against an upstream that is not used, or gets the work for another kind
 * or rack, for the length of one of its texts.
 */
static void long_texts_of_an_upstream_are_kept(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(stem_letters); i++) {
		struct pair n = pair_create(stem_letters[i]);
		char *text = fill_in(entry_format, &n);
		char *c = g_strconcat(n.a, "c", NULL);
		struct fleet *f = fleet_create();
		struct upstream *u = fleet_add_upstream(f, "u1");
		struct upstream_entry e;

		/* those that are not described share no rack and no domain */
		assert_int_equal(u->rack_quark, 0);
		assert_int_equal(u->domain_quark, 0);
		assert_true(decode_upstream("u1", text, WALL_MS, &e));
		assert_string_equal(e.kind, n.a);
		assert_string_equal(e.rack, n.b);
		assert_string_equal(e.service + 1, n.a);
		assert_string_equal(e.domain + 1, n.a);
		assert_string_equal(e.machine + 1, n.a);
		/* a label that only a caller names takes no memory for good */
		assert_int_equal(label_quark(c), LABEL_UNUSED);
		assert_int_equal(g_quark_try_string(c), 0);
		upstream_describe(u, e.service, e.domain, e.kind, e.rack);
		assert_true(upstream_has_label(u, label_quark(n.a)));
		assert_true(upstream_has_label(u, label_quark(n.b)));
		assert_false(upstream_has_label(u, label_quark(c)));
		upstream_describe(u, e.service, e.domain, e.kind, e.kind);
		assert_false(upstream_has_label(u, label_quark(n.b)));
		fleet_destroy(f);
		g_free(c);
		g_free(text);
		pair_clear(&n);
	}
}

/*
 * Guards against a job whose row names another queue or account than it was
 * submitted to.
 */
static void long_names_are_in_the_rows_of_a_job(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(stem_letters); i++) {
		struct pair n = pair_create(stem_letters[i]);
		struct job *j = job_create("00000000000000a1"), *again;
		struct job_record r;
		char *text;

		text_set(&j->queue, n.a);
		text_set(&j->account, n.b);
		j->payload = g_strdup("x");
		job_add_step(j)->count = 1;
		text = job_encode(j);
		assert_true(job_decode(text, &r));
		assert_string_equal(r.queue, n.a);
		assert_string_equal(r.account, n.b);
		job_record_clear(&r);
		free(text);
		text = spec_encode(j);
		assert_true(spec_matches(text, j));
		again = spec_decode(j->id, text);
		assert_string_equal(again->queue, n.a);
		assert_string_equal(again->account, n.b);
		text_set(&again->account, n.a);
		assert_false(spec_matches(text, again));
		free(text);
		job_destroy(again);
		job_destroy(j);
		pair_clear(&n);
	}
}

/* Guards against the wait of one queue that is taken for that of another. */
static void long_names_are_in_the_admission_row(void **state)
{
	struct pair n = pair_create(100);
	struct admission *a = admission_create(), *b;
	struct admission_queue q[2] = {
		{.wait_ms = 60000, .fair_wait_ms = 60000}, {.wait_ms = 1}};
	struct admission_request r = {.queue = n.b, .account = "x"};
	uint64_t written_ms;
	char *row;

	(void)state;
	text_set(&q[0].name, n.a);
	text_set(&q[1].name, n.b);
	g_array_append_vals(a->queues, q, 2);
	row = admission_row_encode(a, 5);
	b = admission_row_decode(row, &written_ms);
	assert_true(admission_is_equal(a, b));
	assert_int_equal(admission_retry_after_ms(b, &r), 0);
	r.queue = n.a;
	assert_true(admission_retry_after_ms(b, &r) > 0);
	free(row);
	admission_destroy(a);
	admission_destroy(b);
	pair_clear(&n);
}

/* Guards against an instance without peers, as its domain has a long name. */
static void long_domains_are_in_the_rows_of_instances(void **state)
{
	struct pair n = pair_create(300);
	struct peer_record p = {.domain = n.a, .strength = 1}, q;
	char *text;

	(void)state;
	p.address.sin_family = AF_INET;
	p.address.sin_addr.s_addr = htonl(0x0a010013);
	p.address.sin_port = htons(80);
	text = peer_record_encode(&p);
	assert_true(peer_record_decode("i", text, &q));
	assert_true(peer_record_rank(&q, "i", n.a, "j") >
		    peer_record_rank(&q, "i", n.b, "j"));
	peer_record_clear(&q);
	free(text);
	pair_clear(&n);
}

static const char settings_format[] =
	"{\"instance\":\"%a\",\"domain\":\"%b\",\"joint\":{"
	"\"callers\":\"127.0.0.1:1\",\"readiness\":\"127.0.0.1:2\","
	"\"metrics\":\"127.0.0.1:3\",\"peers\":\"127.0.0.1:4\","
	"\"store\":\"127.0.0.1:5\",\"processor_share\":0.25,"
	"\"link_mbps\":200,\"lease_ms\":6000,\"heartbeat_ms\":1500,"
	"\"stop_ms\":200,\"reclaim_ms\":2700,\"gang_wait_ms\":4000,"
	"\"checkpoint_s\":2,\"remote_factor\":3,\"keep_ended_s\":120,"
	"\"drain_ms\":3000,\"grace_s\":6,\"history_s\":20}}";

/* Load settings with these names; returns NULL if they are refused. */
static struct joint_settings *load_settings(const char *instance,
					    const char *domain)
{
	struct pair n = {(char *)instance, (char *)domain};
	char *text = fill_in(settings_format, &n), *file;
	struct problems *p;
	struct joint_settings *s;
	int fd = g_file_open_tmp("names-XXXXXX", &file, NULL);

	assert_true(fd >= 0);
	close(fd);
	assert_true(g_file_set_contents(file, text, -1, NULL));
	p = problems_create(file);
	s = joint_settings_load(file, p);
	assert_int_equal(problems_count(p) > 0, !s);
	problems_destroy(p);
	unlink(file);
	g_free(file);
	g_free(text);
	return s;
}

/* Guards against a process that does not start for the name of its place. */
static void settings_take_names_in_any_script(void **state)
{
	struct pair n = pair_create(63); /* 190 bytes */
	char *longer = g_strconcat(n.a, "xx", NULL);
	struct joint_settings *s = load_settings(n.a, n.b);

	(void)state;
	assert_non_null(s);
	assert_string_equal(s->instance, n.a);
	assert_string_equal(s->domain, n.b);
	joint_settings_destroy(s);
	assert_null(load_settings(longer, "d"));
	assert_null(load_settings("", "d"));
	assert_null(load_settings("i", ""));
	g_free(longer);
	pair_clear(&n);
}

/* Guards against a cut name of an instance that passes for that of another. */
static void owner_row_with_a_long_name_is_malformed(void **state)
{
	struct pair n = pair_create(63);
	struct owner_record o = {.epoch = 1}, p;
	char *text, *longer = g_strdup_printf("{\"instance\":\"%sxx\","
					      "\"epoch\":1,\"sequence\":1}",
					      n.a);

	(void)state;
	g_strlcpy(o.instance, n.a, sizeof(o.instance));
	text = owner_encode(&o);
	assert_true(owner_decode(text, &p));
	assert_string_equal(p.instance, n.a);
	assert_false(owner_decode(longer, &p));
	free(text);
	g_free(longer);
	pair_clear(&n);
}

/* Return what a record of this text writes to standard output. */
static char *logged(const char *name, const char *other)
{
	char buf[8192];
	int out = dup(STDOUT_FILENO), pipes[2];
	ssize_t n;

	fflush(stdout);
	assert_int_equal(pipe(pipes), 0);
	dup2(pipes[1], STDOUT_FILENO);
	log_fields(LOG_ERROR, "names", "{s:s,s:s}", "name", name, "other",
		   other);
	dup2(out, STDOUT_FILENO);
	close(out);
	close(pipes[1]);
	n = read(pipes[0], buf, sizeof(buf) - 1);
	close(pipes[0]);
	assert_true(n > 0);
	buf[n] = '\0';
	return g_strdup(buf);
}

/*
 * Guards against a record that is cut, so that it cannot be read, or that names
 * two accounts alike.
 */
static void long_texts_of_a_record_are_told_apart(void **state)
{
	uint64_t shortened = log_shortened();

	(void)state;
	log_open("test", "i", LOG_INFO);
	for (size_t i = 0; i < G_N_ELEMENTS(stem_letters); i++) {
		struct pair n = pair_create(stem_letters[i]);
		char *a = logged(n.a, n.b), *b = logged(n.b, n.b);
		json_t *v = json_loads(a, 0, NULL), *w = json_loads(b, 0, NULL);
		bool whole = !strcmp(json_str_or(v, "name", ""), n.a);

		assert_non_null(v);
		assert_non_null(w);
		assert_string_not_equal(json_str_or(v, "name", ""),
					json_str_or(w, "name", ""));
		assert_string_equal(json_str_or(v, "other", ""),
				    json_str_or(w, "other", ""));
		assert_int_equal(whole, log_shortened() == shortened);
		shortened = log_shortened();
		json_decref(v);
		json_decref(w);
		g_free(a);
		g_free(b);
		pair_clear(&n);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(long_texts_of_a_configuration_are_kept),
		cmocka_unit_test(refused_parts_of_a_configuration_are_counted),
		cmocka_unit_test(long_texts_of_an_upstream_are_kept),
		cmocka_unit_test(long_names_are_in_the_rows_of_a_job),
		cmocka_unit_test(long_names_are_in_the_admission_row),
		cmocka_unit_test(long_domains_are_in_the_rows_of_instances),
		cmocka_unit_test(settings_take_names_in_any_script),
		cmocka_unit_test(owner_row_with_a_long_name_is_malformed),
		cmocka_unit_test(long_texts_of_a_record_are_told_apart),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
