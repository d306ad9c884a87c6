/*
 * Names that the pages give no bound, by real processes: those of accounts and
 * routes in a change of the configuration.
 */
#include <glib.h>
#include <stdlib.h>

#include "test/jointsite.h"

/* The time in which a configuration comes into force, and some more. */
#define IN_FORCE_TIMEOUT_MS 5000

/* 75 bytes in UTF-8; both accounts and both routes begin with it. */
#define STEM "পশ্চিমবঙ্গ জল সংরক্ষণ পর্ষদ"
#define ROUTE                                                                  \
	"{\"name\": \"" STEM "%s%u\", \"host\": \"127.%u.9.%u\", "             \
	"\"pathPrefix\": \"/%s/\", \"service\": \"service\", "                 \
	"\"priority\": %u, \"maxAttempts\": 3, \"slackFactor\": 1.5, "         \
	"\"targetRuntimeMs\": 250, \"timeoutMs\": 3000}"
#define CONFIG                                                                 \
	"{\"version\": 8, \"routes\": [%s], \"services\": [{\"name\": "        \
	"\"service\", \"enforcesCapacity\": true}], \"limits\": "              \
	"{\"maxBodyBytes\": 262144}, \"tenants\": ["                           \
	"{\"name\": \"" STEM " ক\", \"apiKeys\": [\"key-c\"]},"              \
	"{\"name\": \"" STEM " খ\", \"apiKeys\": [\"key-d\"]}]}"
#define BODY                                                                   \
	"{\"spec\":\"200\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":"    \
	"1000,\"estimateMs\":200}]}"

/* Puts a configuration in which all names begin alike. */
static void put_long_names(struct joint_site *s)
{
	GString *routes = g_string_new(NULL);
	char *config;

	for (uint32_t i = 0; i < s->instance_count; i++)
		g_string_append_printf(routes, "%s" ROUTE ", " ROUTE,
				       i ? ", " : "", "a", i, s->net, 10 + i,
				       "a", 0u, "b", i, s->net, 10 + i, "b",
				       1u);
	config = g_strdup_printf(CONFIG, routes->str);
	joint_put_config_text(s, config);
	g_free(config);
	g_string_free(routes, TRUE);
}

static int submit_as(struct joint_site *s, uint32_t i, const char *key,
		     const char *path)
{
	return joint_request_as(s, s->callers[i], key, "POST", path, BODY,
				NULL);
}

/* Submits until the configuration is in force; fails after its time. */
static void submit_when_in_force(struct joint_site *s, uint32_t i,
				 const char *key, const char *path)
{
	uint64_t deadline_ms = clock_mono_ms() + IN_FORCE_TIMEOUT_MS;
	int status;

	while ((status = submit_as(s, i, key, path)) != 200) {
		if (clock_mono_ms() > deadline_ms)
			fail_msg("instance %u: POST %s with %s: %d", i, path,
				 key, status);
		joint_run_for(s, 100);
	}
}

/*
 * Guards against accounts and routes of the configuration that are left out for
 * the length of their names, so that callers get 401 and 404 for good, and
 * against two that become one as their names begin alike.
 */
static void accounts_and_routes_with_long_names_are_in_force(void **state)
{
	static const char *const keys[] = {"key-c", "key-d"};
	struct joint_site *s = joint_start(131);

	(void)state;
	put_long_names(s);
	for (uint32_t i = 0; i < s->instance_count; i++) {
		for (uint32_t k = 0; k < G_N_ELEMENTS(keys); k++) {
			char *path = g_strdup_printf("/%s/0000000000000%u%uc",
						     k ? "b" : "a", i, k);

			submit_when_in_force(s, i, keys[k], path);
			/* the same caller again, and the other account */
			assert_int_equal(submit_as(s, i, keys[k], path), 200);
			assert_int_equal(submit_as(s, i, keys[!k], path), 409);
			g_free(path);
		}
	}
	joint_wait_count(s, "starts", 2 * (int)s->instance_count,
			 WAIT_TIMEOUT_MS);
	joint_check_record(s);
	joint_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			accounts_and_routes_with_long_names_are_in_force),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
