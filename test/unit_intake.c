/* Tests of the accounting of what connections hold. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>

#include "daemon/intakes.h"
#include "lib/intake.h"

#define KB 1024
#define MB (1024 * KB)
#define CONN_COUNT 8
#define NOW_MS 100000

static const struct intake_limits limits = {.bytes = 4 * MB,
					    .reserve_bytes = 1 * MB,
					    .connections = CONN_COUNT,
					    .request_ms = 10000,
					    .reply_ms = 30000};

struct fixture {
	struct intake *in;
	struct intake_conn conns[CONN_COUNT];
};

static void open_all(struct fixture *f)
{
	f->in = intake_create(&limits);
	for (uint32_t i = 0; i < CONN_COUNT; i++)
		intake_open(f->in, &f->conns[i], NOW_MS);
}

static void set(struct fixture *f, uint32_t i, enum intake_state s,
		uint64_t bytes, uint64_t now_ms)
{
	intake_update(f->in, &f->conns[i], s, bytes, true, now_ms);
}

static void bytes_are_counted_until_a_connection_closes(void **state)
{
	struct fixture f;

	(void)state;
	open_all(&f);
	set(&f, 0, INTAKE_READING, 100 * KB, NOW_MS);
	set(&f, 1, INTAKE_READING, 10 * KB, NOW_MS);
	set(&f, 0, INTAKE_READING, 200 * KB, NOW_MS);
	intake_hold(f.in, 50 * KB);
	assert_int_equal(intake_bytes(f.in), 260 * KB);
	intake_close(f.in, &f.conns[0]);
	assert_int_equal(intake_bytes(f.in), 60 * KB);
	intake_release(f.in, 50 * KB);
	intake_close(f.in, &f.conns[1]);
	assert_int_equal(intake_bytes(f.in), 0);
	assert_int_equal(intake_connections(f.in), CONN_COUNT - 2);
	for (uint32_t i = 2; i < CONN_COUNT; i++)
		intake_close(f.in, &f.conns[i]);
	assert_int_equal(intake_connections(f.in), 0);
	intake_destroy(f.in);
}

/* Guards against a crowd of large requests that shuts small ones out. */
static void the_reserve_is_left_to_small_requests(void **state)
{
	struct fixture f;

	(void)state;
	open_all(&f);
	for (uint32_t i = 0; i < 4; i++)
		set(&f, i, INTAKE_HANDED, 800 * KB, NOW_MS);
	set(&f, 4, INTAKE_READING, 8 * KB, NOW_MS);
	assert_true(intake_has_excess_bytes(f.in));
	assert_true(intake_allows(f.in, 8 * KB));
	assert_false(intake_allows(f.in, 800 * KB));
	/* what exceeds the part for large requests is not a small one's fault
	 */
	assert_null(intake_pick_for_bytes(f.in, NOW_MS));
	for (uint32_t i = 0; i < 4; i++)
		set(&f, i, INTAKE_HANDED, 1100 * KB, NOW_MS);
	assert_false(intake_allows(f.in, 8 * KB));
	assert_ptr_equal(intake_pick_for_bytes(f.in, NOW_MS), &f.conns[4]);
	intake_destroy(f.in);
}

static void one_large_request_is_within_the_smallest_budget(void **state)
{
	struct joint_settings s = {.memory_mb = 1, .descriptors = 1};
	struct intake_limits l = intakes_limits(&s, 1024, INTAKE_CALLERS);
	struct intake *in = intake_create(&l);
	struct intake_conn c;

	(void)state;
	intake_open(in, &c, NOW_MS);
	intake_update(in, &c, INTAKE_HANDED, 280 * KB, true, NOW_MS);
	intake_hold(in, 4 * 256 * KB + 8 * KB);
	assert_true(intake_allows(in, 280 * KB));
	assert_false(intake_has_excess_bytes(in));
	assert_false(intake_is_full(in));
	intake_destroy(in);
}

static void the_most_bytes_without_progress_are_closed(void **state)
{
	struct fixture f;

	(void)state;
	open_all(&f);
	/* the second has as much, but has moved just now */
	set(&f, 0, INTAKE_READING, 1200 * KB, NOW_MS);
	set(&f, 1, INTAKE_READING, 1200 * KB, NOW_MS);
	set(&f, 2, INTAKE_READING, 1100 * KB, NOW_MS);
	set(&f, 1, INTAKE_READING, 1210 * KB, NOW_MS + 900);
	assert_true(intake_has_excess_bytes(f.in));
	assert_ptr_equal(intake_pick_for_bytes(f.in, NOW_MS + 1000),
			 &f.conns[0]);
	intake_destroy(f.in);
}

/* Guards against a client that gets no answer to a request that has run. */
static void an_unanswered_request_is_never_closed(void **state)
{
	struct fixture f;
	enum intake_reason why;

	(void)state;
	open_all(&f);
	for (uint32_t i = 0; i < CONN_COUNT; i++)
		set(&f, i, INTAKE_HANDED, 1 * MB, NOW_MS);
	assert_null(intake_pick_for_bytes(f.in, NOW_MS + 1000000));
	assert_null(intake_pick_for_room(f.in, NOW_MS + 1000000));
	assert_null(intake_pick_overdue(f.in, NOW_MS + 1000000, &why));
	set(&f, 5, INTAKE_REPLYING, 1 * MB, NOW_MS);
	assert_ptr_equal(intake_pick_for_bytes(f.in, NOW_MS), &f.conns[5]);
	assert_ptr_equal(intake_pick_for_room(f.in, NOW_MS), &f.conns[5]);
	intake_destroy(f.in);
}

/*
 * A connection that writes an answer closes only when the loop goes on. Guards
 * against closing all others meanwhile, and against using its bytes twice.
 */
static void a_closing_connection_is_not_chosen_again(void **state)
{
	struct fixture f;

	(void)state;
	open_all(&f);
	set(&f, 0, INTAKE_REPLYING, 1600 * KB, NOW_MS);
	set(&f, 1, INTAKE_REPLYING, 1600 * KB, NOW_MS);
	assert_true(intake_has_excess_bytes(f.in));
	set(&f, 0, INTAKE_CLOSING, 1600 * KB, NOW_MS);
	assert_false(intake_has_excess_bytes(f.in));
	assert_false(intake_allows(f.in, 100 * KB));
	assert_ptr_not_equal(intake_pick_for_room(f.in, NOW_MS), &f.conns[0]);
	intake_close(f.in, &f.conns[0]);
	assert_true(intake_allows(f.in, 100 * KB));
	intake_destroy(f.in);
}

/* Guards against strangers who push out clients that are served. */
static void room_is_made_by_those_that_were_never_served(void **state)
{
	struct fixture f;

	(void)state;
	open_all(&f);
	assert_true(intake_is_full(f.in));
	for (uint32_t i = 0; i < CONN_COUNT; i++)
		set(&f, i, INTAKE_READING, 1 * KB, NOW_MS);
	set(&f, 0, INTAKE_HANDED, 1 * KB, NOW_MS);
	set(&f, 0, INTAKE_IDLE, 0, NOW_MS);
	set(&f, 3, INTAKE_READING, 1 * KB, NOW_MS + 10);
	for (uint32_t i = 4; i < CONN_COUNT; i++)
		f.conns[i].trusted = true;
	set(&f, 1, INTAKE_READING, 1 * KB, NOW_MS + 20);
	assert_ptr_equal(intake_pick_for_room(f.in, NOW_MS + 1000),
			 &f.conns[2]);
	for (uint32_t i = 1; i < 4; i++)
		intake_close(f.in, &f.conns[i]);
	assert_false(intake_is_full(f.in));
	assert_ptr_equal(intake_pick_for_room(f.in, NOW_MS + 1000),
			 &f.conns[0]);
	intake_close(f.in, &f.conns[0]);
	assert_true(intake_pick_for_room(f.in, NOW_MS + 1000)->trusted);
	intake_destroy(f.in);
}

static void slow_requests_and_readers_are_overdue(void **state)
{
	struct fixture f;
	enum intake_reason why = INTAKE_REASON_COUNT;

	(void)state;
	open_all(&f);
	set(&f, 1, INTAKE_READING, 1 * KB, NOW_MS);
	set(&f, 2, INTAKE_REPLYING, 1 * KB, NOW_MS);
	/* progress does not extend the time of a request */
	set(&f, 1, INTAKE_READING, 2 * KB, NOW_MS + 9000);
	assert_null(intake_pick_overdue(f.in, NOW_MS + 10000, &why));
	assert_ptr_equal(intake_pick_overdue(f.in, NOW_MS + 10001, &why),
			 &f.conns[1]);
	assert_int_equal(why, INTAKE_SLOW_REQUEST);
	intake_close(f.in, &f.conns[1]);
	assert_null(intake_pick_overdue(f.in, NOW_MS + 30000, &why));
	assert_ptr_equal(intake_pick_overdue(f.in, NOW_MS + 30001, &why),
			 &f.conns[2]);
	assert_int_equal(why, INTAKE_SLOW_READER);
	intake_close(f.in, &f.conns[2]);
	/* idle connections stay */
	assert_null(intake_pick_overdue(f.in, NOW_MS + 1000000, &why));
	intake_destroy(f.in);
}

/* The listeners' shares leave memory and descriptors for everything else. */
static void shares_leave_room_for_the_rest(void **state)
{
	struct joint_settings s = {.memory_mb = 120, .descriptors = 3075};
	uint64_t bytes = 0;
	uint32_t conns = 0;

	(void)state;
	for (int g = 0; g < INTAKE_GROUP_COUNT; g++) {
		struct intake_limits l = intakes_limits(&s, 1 << 20, g);

		bytes += l.bytes;
		conns += l.connections;
	}
	assert_in_range(bytes, 1, UINT64_C(120) * MB / 2);
	/* a leader has 1,400 connections to 350 upstreams, see CAPACITY.md */
	assert_in_range(conns, 1, 3075 - 1500);
	/* the system's own limit applies as well */
	assert_in_range(intakes_limits(&s, 256, INTAKE_CALLERS).connections, 1,
			256);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bytes_are_counted_until_a_connection_closes),
		cmocka_unit_test(the_reserve_is_left_to_small_requests),
		cmocka_unit_test(
			one_large_request_is_within_the_smallest_budget),
		cmocka_unit_test(the_most_bytes_without_progress_are_closed),
		cmocka_unit_test(an_unanswered_request_is_never_closed),
		cmocka_unit_test(a_closing_connection_is_not_chosen_again),
		cmocka_unit_test(room_is_made_by_those_that_were_never_served),
		cmocka_unit_test(slow_requests_and_readers_are_overdue),
		cmocka_unit_test(shares_leave_room_for_the_rest),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
