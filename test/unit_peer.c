/*
 * Tests the choice of the path to the store, and the records and ranking of
 * peers.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>

#include "lib/address.h"
#include "peer/roster.h"
#include "peer/storepath.h"

static void test_store_path_changes_after_two_failures(void **state)
{
	struct store_path w = {0};

	(void)state;
	assert_false(store_path_record(&w, true, 1000));
	assert_false(store_path_record(&w, false, 1100));
	assert_false(store_path_is_relayed(&w));
	assert_false(store_path_record(&w, true, 1200));
	assert_false(store_path_record(&w, false, 1300));
	assert_true(store_path_record(&w, false, 1400));
	assert_true(store_path_is_relayed(&w));
	/* Further failures do not change the path, but an answer does. */
	assert_false(store_path_record(&w, false, 1500));
	assert_true(store_path_record(&w, true, 1600));
	assert_false(store_path_is_relayed(&w));
}

/*
 * Guards against calls forwarded from peer to peer: during an outage of the
 * store for all instances, none serves the calls of its peers.
 */
static void test_peer_calls_are_served_only_while_store_answers(void **state)
{
	struct store_path w = {0};

	(void)state;
	assert_false(store_path_can_serve(&w, 1000));
	store_path_record(&w, true, 1000);
	assert_true(store_path_can_serve(&w, 1500));
	assert_false(store_path_can_serve(&w, 9000));
	store_path_record(&w, false, 1600);
	assert_false(store_path_can_serve(&w, 1600));
}

static void test_peer_record_decodes_as_encoded(void **state)
{
	struct peer_record p = {.domain = "durgapur",
				.incarnation = 7,
				.strength = 40,
				.written_ms = 5000},
			   q;
	char *text;

	(void)state;
	assert_true(address_parse("10.1.0.19:7000", &p.address));
	text = peer_record_encode(&p);
	assert_true(peer_record_decode("i", text, &q));
	assert_string_equal(q.domain, "durgapur");
	assert_int_equal(q.incarnation, 7);
	assert_int_equal(q.strength, 40);
	assert_int_equal(q.address.sin_port, p.address.sin_port);
	assert_int_equal(q.address.sin_addr.s_addr, p.address.sin_addr.s_addr);
	assert_false(peer_record_is_expired(&q, 5000 + ROSTER_INTERVAL_MS));
	assert_true(peer_record_is_expired(&q, 5001 + 3 * ROSTER_INTERVAL_MS));
	assert_false(peer_record_decode("i", "{\"domain\": \"durgapur\"}", &q));
	assert_false(peer_record_decode("i", "nonsense", &q));
	free(text);
}

/* A row that was written after the end of all times. */
#define WRITTEN_LATE                                                           \
	"{\"address\":\"10.1.0.19:80\",\"written_ms\":9223372036854775807}"

/*
 * Guards against a peer that never goes, or that is always stronger, and
 * against a name that is another one once it is cut.
 */
static void test_odd_peer_records_are_refused(void **state)
{
	static const char *const odd[] = {
		"",
		"[]",
		"{}",
		"{\"address\":7}",
		"{\"address\":\"10.1.0.19:70000\"}",
		"{\"address\":\"10.1.0.19:+80\"}",
		"{\"address\":\"0.0.0.0:80\"}",
		"{\"address\":\"10.1.0.19:80\",\"domain\":7}",
		"{\"address\":\"10.1.0.19:80\",\"incarnation\":-1}",
		"{\"address\":\"10.1.0.19:80\",\"strength\":-1}",
		"{\"address\":\"10.1.0.19:80\",\"strength\":4294967396}",
		"{\"address\":\"10.1.0.19:80\",\"strength\":101}",
		"{\"address\":\"10.1.0.19:80\",\"written_ms\":-1}",
		WRITTEN_LATE,
	};
	const char *sound = "{\"address\":\"10.1.0.19:80\",\"strength\":100,"
			    "\"written_ms\":9007199254740992}";
	char *name = g_strnfill(PEER_NAME_BYTES, 'x');
	struct peer_record p;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++)
		if (peer_record_decode("i", odd[i], &p))
			fail_msg("%s", odd[i]);
	assert_false(peer_record_decode(name, sound, &p));
	assert_false(peer_record_decode("", sound, &p));
	assert_true(peer_record_decode(name + 1, sound, &p));
	assert_true(peer_record_is_expired(&p, 5000));
	g_free(name);
}

/*
 * Guards against an overload of one peer when the store refuses thirty
 * instances of a domain: they rank peers of their domain first, and spread over
 * them.
 */
static void test_refused_instances_rank_domain_first_and_spread(void **state)
{
	struct peer_record near = {.domain = "durgapur", .strength = 100};
	struct peer_record far = {.domain = "siliguri", .strength = 100};
	uint32_t chosen[5] = {0};

	(void)state;
	assert_true(peer_record_rank(&near, "n", "durgapur", "i1") >
		    peer_record_rank(&far, "f", "durgapur", "i1"));
	for (uint32_t i = 0; i < 30; i++) {
		uint64_t best = 0;
		uint32_t at = 0;
		char *self = g_strdup_printf("front-durgapur-%u", i + 10);

		for (uint32_t k = 0; k < 5; k++) {
			char *name = g_strdup_printf("front-durgapur-%u", k);
			uint64_t p =
				peer_record_rank(&near, name, "durgapur", self);

			if (p > best) {
				best = p;
				at = k;
			}
			g_free(name);
		}
		chosen[at]++;
		g_free(self);
	}
	for (uint32_t k = 0; k < 5; k++)
		assert_in_range(chosen[k], 1, 15);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_store_path_changes_after_two_failures),
		cmocka_unit_test(
			test_peer_calls_are_served_only_while_store_answers),
		cmocka_unit_test(test_peer_record_decodes_as_encoded),
		cmocka_unit_test(test_odd_peer_records_are_refused),
		cmocka_unit_test(
			test_refused_instances_rank_domain_first_and_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
