/*
 * An accepted configuration comes into force on all instances and never goes
 * back to an older version, also when instances are killed, a domain is cut
 * off, or the platform is down or loses an answer.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/judge.h"

#define IN_FORCE_TIMEOUT_MS 5000
#define CHANGE_COUNT 100

static const char accounts[] = "[{\"name\": \"damodar\"}]";

static json_int_t version_at(struct test_site *s, uint32_t d, uint32_t i)
{
	json_t *v =
		ask(s, at_instance(s, d, i), "GET", "/v1/config", NULL, NULL);
	json_int_t n = json_int_or(v, "version", 0);

	json_decref(v);
	return n;
}

/* Apply change n; return the version that was accepted, or 0. */
static json_int_t apply_change(struct test_site *s, uint32_t d, uint32_t i,
			       int n)
{
	char *body = g_strdup_printf("{\"accounts\": [{\"name\": \"team%d\", "
				     "\"weight\": %d}]}",
				     n % 90, n % 9 + 1);
	json_t *v =
		ask(s, at_instance(s, d, i), "POST", "/v1/config", body, NULL);
	json_int_t version = json_int_or(v, "version", 0);

	json_decref(v);
	g_free(body);
	return version;
}

/*
 * Return whether all instances, except those of skipped_domain (-1: none), have
 * this version or a newer one.
 */
static bool is_in_force(struct test_site *s, uint32_t domains,
			json_int_t version, int skipped_domain)
{
	for (uint32_t d = 0; d < domains; d++)
		for (uint32_t i = 0; i < 2; i++)
			if ((int)d != skipped_domain &&
			    version_at(s, d, i) < version)
				return false;
	return true;
}

/* Record the version of each instance; fail if one is older than before. */
static void check_versions_never_decrease(struct test_site *s, uint32_t domains,
					  json_int_t max_seen[MAX_DOMAINS][2])
{
	for (uint32_t d = 0; d < domains; d++) {
		for (uint32_t i = 0; i < 2; i++) {
			json_int_t v = version_at(s, d, i);

			if (v && v < max_seen[d][i])
				fail_msg("instance %u-%u reverted from version "
					 "%lld to %lld",
					 d, i, (long long)max_seen[d][i],
					 (long long)v);
			if (v)
				max_seen[d][i] = v;
		}
	}
}

static void config_never_reverts_under_kills_and_cut_domain(void **state)
{
	struct site_options o = {.net = 61,
				 .domains = 3,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts,
				 .cut_platform = true};
	struct test_site *s = site_start(&o);
	json_int_t max_seen[MAX_DOMAINS][2] = {{0}}, last = 0;

	(void)state;
	for (int n = 0; n < CHANGE_COUNT; n++) {
		json_int_t v = apply_change(s, 0, n % 2, n);

		if (v) {
			assert_true(v > last);
			last = v;
		}
		check_versions_never_decrease(s, 3, max_seen);
		if (n % 25 == 12) {
			instance_kill(s, 1, n / 25 % 2);
			max_seen[1][n / 25 % 2] = 0; /* it stores nothing */
			instance_start(s, 1, n / 25 % 2);
		}
		if (n == 40)
			command(s, at_platform_cutter(s, 2), "/control",
				"{\"mode\": \"freeze\"}");
		if (n == 80)
			command(s, at_platform_cutter(s, 2), "/control",
				"{\"mode\": \"pass\"}");
	}
	assert_true(last > 0);
	wait_for(s, IN_FORCE_TIMEOUT_MS, is_in_force(s, 3, last, -1));
	check_versions_never_decrease(s, 3, max_seen);
	site_stop(s);
}

/* A domain that is cut off from the platform gets the change from peers. */
static void config_reaches_domain_cut_from_platform_via_peers(void **state)
{
	struct site_options o = {.net = 62,
				 .domains = 2,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts,
				 .cut_platform = true};
	struct test_site *s = site_start(&o);
	json_int_t last;

	(void)state;
	command(s, at_platform_cutter(s, 1), "/control",
		"{\"mode\": \"freeze\"}");
	last = apply_change(s, 0, 0, 1);
	assert_true(last > 0);
	wait_for(s, IN_FORCE_TIMEOUT_MS, is_in_force(s, 2, last, -1));
	site_stop(s);
}

static void
instance_starting_in_platform_outage_gets_config_from_peer(void **state)
{
	struct site_options o = {.net = 63,
				 .domains = 1,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	json_int_t last = apply_change(s, 0, 0, 1);
	json_t *v;
	int status;

	(void)state;
	wait_for(s, IN_FORCE_TIMEOUT_MS, is_in_force(s, 1, last, -1));
	instance_kill(s, 0, 1);
	command(s, at_platform(s), "/control", "{\"outage\": \"refuse\"}");
	instance_start(s, 0, 1);
	wait_for(s, IN_FORCE_TIMEOUT_MS,
		 (v = ask(s, at_instance(s, 0, 1), "GET", "/ready", NULL,
			  &status),
		  json_decref(v), status == 200));
	assert_int_equal(version_at(s, 0, 1), last);
	site_stop(s);
}

static void instance_without_config_is_not_ready(void **state)
{
	struct site_options o = {.net = 64,
				 .domains = 1,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	json_t *v;
	int status;

	(void)state;
	command(s, at_platform(s), "/control", "{\"outage\": \"refuse\"}");
	instance_kill(s, 0, 0);
	instance_kill(s, 0, 1);
	instance_start(s, 0, 1);
	wait_for(s, 5000,
		 (v = ask(s, at_instance(s, 0, 1), "GET", "/health", NULL,
			  &status),
		  json_decref(v), status == 200));
	json_decref(
		ask(s, at_instance(s, 0, 1), "GET", "/ready", NULL, &status));
	assert_int_equal(status, 503);
	v = ask(s, at_instance(s, 0, 1), "POST", "/v1/checks",
		"{\"account\": \"damodar\"}", &status);
	assert_string_equal(json_str_or(v, "verdict", ""), "did_not_run");
	json_decref(v);
	command(s, at_platform(s), "/control", "{\"outage\": \"\"}");
	wait_for(s, IN_FORCE_TIMEOUT_MS,
		 (v = ask(s, at_instance(s, 0, 1), "GET", "/ready", NULL,
			  &status),
		  json_decref(v), status == 200));
	site_stop(s);
}

static void second_of_two_changes_on_one_base_conflicts(void **state)
{
	struct site_options o = {.net = 65,
				 .domains = 1,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	json_t *v;
	char *body;
	int status;

	(void)state;
	v = ask(s, at_instance(s, 0, 0), "GET", "/v1/config", NULL, NULL);
	body = g_strdup_printf("{\"base\": %lld, \"accounts\": [{\"name\": "
			       "\"x\", \"weight\": 2}]}",
			       (long long)json_int_or(v, "head", 0));
	json_decref(v);
	/* The second conflicts whether or not it has seen the first. */
	v = ask(s, at_instance(s, 0, 0), "POST", "/v1/config", body, &status);
	assert_int_equal(status, 200);
	json_decref(v);
	v = ask(s, at_instance(s, 0, 1), "POST", "/v1/config", body, &status);
	assert_int_equal(status, 409);
	assert_string_equal(json_str_or(v, "reason", ""), "conflict");
	assert_string_equal(json_str_or(v, "verdict", ""), "did_not_run");
	json_decref(v);
	g_free(body);
	site_stop(s);
}

static void change_with_lost_platform_answer_is_accepted(void **state)
{
	struct site_options o = {.net = 66,
				 .domains = 1,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	json_int_t last;

	(void)state;
	command(s, at_platform(s), "/control", "{\"lose_answers\": 1}");
	last = apply_change(s, 0, 0, 3);
	assert_true(last > 0);
	wait_for(s, IN_FORCE_TIMEOUT_MS, is_in_force(s, 1, last, -1));
	site_stop(s);
}

/* Send a change to the last instance; return the status. */
static int change_status(struct test_site *s, const char *body)
{
	int status;

	json_decref(ask(s, at_instance(s, 0, 1), "POST", "/v1/config", body,
			&status));
	return status;
}

/* Return the name of the upstream that runs the only job. */
static char *name_used_upstream(struct test_site *s)
{
	json_t *list = records(s, 0);
	char *name =
		g_strdup(json_str_or(json_array_get(list, 0), "worker", ""));

	json_decref(list);
	return name;
}

/* An upstream that is removed while it is used is unknown to a successor. */
static void used_upstream_stays_in_the_configuration(void **state)
{
	struct site_options o = {.net = 79,
				 .domains = 1,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	uint32_t d = coordinator_of(s, 0);
	char *name, *removal, *move, *leave;
	int status;

	(void)state;
	submit(s, 0, d,
	       "{\"account\": \"damodar\", \"key\": \"reindex\", "
	       "\"accelerators\": 8, \"run_ms\": 12000}");
	wait_for(s, 8000, job_in_state(s, "reindex", "running"));
	name = name_used_upstream(s);
	removal = g_strdup_printf("{\"remove\": [\"upstream/%s\"]}", name);
	move = g_strdup_printf("{\"upstreams\": [{\"name\": \"%s\", "
			       "\"domain\": \"kolkata\", \"rack\": "
			       "\"kolkata-r1\", \"address\": "
			       "\"127.79.101.9:9000\", \"accelerators\": 8, "
			       "\"slots\": 8}]}",
			       name);
	leave = g_strdup_printf("{\"member\": {\"name\": \"%s\", "
				"\"state\": \"gone\"}}",
				name);
	status = change_status(s, removal);
	instance_kill(s, 0, d);
	instance_start(s, 0, d);
	wait_for(s, 30000, job_in_state(s, "reindex", "done"));
	judge_gang(s, 1, "reindex", 1);
	assert_int_equal(status, 400);
	assert_int_equal(change_status(s, move), 400);
	command(s, at_platform(s), "/control", leave);
	wait_for(s, 5000, change_status(s, removal) == 200);
	g_free(leave);
	g_free(move);
	g_free(removal);
	g_free(name);
	site_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			config_never_reverts_under_kills_and_cut_domain),
		cmocka_unit_test(
			config_reaches_domain_cut_from_platform_via_peers),
		cmocka_unit_test(
			instance_starting_in_platform_outage_gets_config_from_peer),
		cmocka_unit_test(instance_without_config_is_not_ready),
		cmocka_unit_test(second_of_two_changes_on_one_base_conflicts),
		cmocka_unit_test(change_with_lost_platform_answer_is_accepted),
		cmocka_unit_test(used_upstream_stays_in_the_configuration),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
