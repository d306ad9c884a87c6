/* Tests of decoding what the joint platform and its upstreams send. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <unistd.h>

#include "lib/address.h"
#include "lib/http.h"
#include "platform/decode.h"
#include "platform/orders.h"
#include "platform/settings.h"

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
	orders_renew(o, 0, 1, 0, 0, 2000, copy_progress, &p);
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reloaded_settings_keep_the_longest_lease),
		cmocka_unit_test(listed_progress_is_between_0_and_100_percent),
		cmocka_unit_test(slack_factor_of_a_queue_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
