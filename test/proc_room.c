/* Process tests of upstreams whose room changes while they run. */
#include <glib.h>
#include <stdlib.h>

#include "test/jointsite.h"

/* Interval of the upstreams' heartbeats. */
#define HEARTBEAT_MS 1500
/* Time for which a room that has shrunk still counts, once it is listed. */
#define CONTACT_MS 3000
/* Time within which the leader uses a room that is listed. */
#define REACTION_MS 1000
/* Delay of the leader's calls to the store, in each direction. */
#define STORE_DELAY_MS 400

/* Sets the room of all upstreams and waits until their entries show it. */
static void set_all_rooms(struct joint_site *s, uint32_t room)
{
	uint64_t deadline_ms = clock_mono_ms() + WAIT_TIMEOUT_MS;

	for (uint32_t u = 0; u < UPSTREAM_COUNT; u++)
		joint_set_room(s, u, room);
	while (joint_count(s, "unlisted")) {
		if (clock_mono_ms() > deadline_ms)
			fail_msg("a room is not listed");
		loop_step(s->loop, 10);
	}
}

/*
 * The rooms shrink below what runs, and still count for a while. The work that
 * comes after that time waits until enough has ended.
 */
static void shrunk_upstreams_get_no_start_beyond_their_room(void **state)
{
	struct joint_site *s = joint_start_unguarded(110);

	(void)state;
	assert_int_equal(joint_submit(s, 0, 1, 4 * UPSTREAM_ROOM, 5000), 200);
	joint_wait_count(s, "running", 4 * UPSTREAM_ROOM, WAIT_TIMEOUT_MS);
	set_all_rooms(s, 3);
	joint_run_for(s, CONTACT_MS);
	for (uint32_t n = 2; n < 5; n++)
		assert_int_equal(joint_submit(s, 0, n, UPSTREAM_ROOM, 200),
				 200);
	for (uint32_t n = 1; n < 5; n++)
		joint_wait_completed(s, 1, n);
	joint_stop(s);
}

static void upstreams_are_filled_again_once_their_room_grows(void **state)
{
	struct joint_site *s = joint_start_unguarded(111);

	(void)state;
	set_all_rooms(s, 1);
	joint_run_for(s, REACTION_MS);
	assert_int_equal(joint_submit(s, 0, 1, 4 * UPSTREAM_ROOM, 3000), 200);
	joint_wait_count(s, "running", 4, REACTION_MS);
	set_all_rooms(s, UPSTREAM_ROOM);
	joint_wait_count(s, "running", 4 * UPSTREAM_ROOM, REACTION_MS);
	joint_stop(s);
}

static void gang_starts_soon_after_the_room_for_it_is_back(void **state)
{
	struct joint_site *s = joint_start_unguarded(112);

	(void)state;
	set_all_rooms(s, 1);
	joint_run_for(s, REACTION_MS);
	assert_int_equal(joint_submit_gang(s, 0, 1, 2 * UPSTREAM_ROOM, 500),
			 200);
	joint_run_for(s, REACTION_MS);
	assert_int_equal(joint_count(s, "starts"), 0);
	set_all_rooms(s, UPSTREAM_ROOM);
	joint_wait_count(s, "starts", 2 * UPSTREAM_ROOM, REACTION_MS);
	joint_wait_completed(s, 1, 1);
	joint_stop(s);
}

/*
 * Guards against starts by rooms of before an outage of the store.  The rooms
 * shrink just before the store hangs, for longer than a room that has shrunk
 * counts.  The leader's calls take longer than it waits for them, so it
 * learns of the job through a peer, but not of the rooms.
 */
static void start_after_an_outage_fits_the_room_listed_before_it(void **state)
{
	struct joint_site *s = joint_start_unguarded(114);
	uint32_t leader = joint_wait_leader(s);
	uint32_t other = (leader + 1) % INSTANCE_COUNT;
	uint64_t shrinks_ms;

	(void)state;
	set_all_rooms(s, UPSTREAM_ROOM - 1);
	shrinks_ms = clock_mono_ms() + HEARTBEAT_MS;
	joint_set_store_link(s, leader, "pass", STORE_DELAY_MS);
	for (uint32_t u = 0; u < UPSTREAM_COUNT; u++)
		joint_set_room(s, u, 1);
	joint_run_for(s, shrinks_ms - STORE_DELAY_MS / 4 - clock_mono_ms());
	assert_int_equal(joint_submit(s, other, 1, 4 * UPSTREAM_ROOM, 300),
			 200);
	set_all_rooms(s, 1);
	joint_control_platform(s, "{\"store\": \"hang\"}");
	joint_run_for(s, CONTACT_MS + STORE_DELAY_MS);
	joint_set_store_link(s, leader, "pass", 0);
	joint_control_platform(s, "{\"store\": \"ok\"}");
	joint_wait_completed(s, other, 1);
	joint_stop(s);
}

/* Guards against room that is used while the run in it is being stopped. */
static void stopping_runs_count_until_their_end_is_listed(void **state)
{
	struct joint_site *s = joint_start_unguarded(113);

	(void)state;
	for (uint32_t n = 1; n < 6; n += 2) {
		char *path = joint_job_path(n);

		assert_int_equal(
			joint_submit(s, 0, n, 4 * UPSTREAM_ROOM, 60000), 200);
		joint_wait_count(s, "running", 4 * UPSTREAM_ROOM,
				 WAIT_TIMEOUT_MS);
		assert_int_equal(
			joint_submit(s, 0, n + 1, 4 * UPSTREAM_ROOM, 100), 200);
		assert_int_equal(joint_request(s, s->callers[0], "DELETE", path,
					       NULL, NULL),
				 200);
		joint_wait_completed(s, 1, n + 1);
		g_free(path);
	}
	joint_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			shrunk_upstreams_get_no_start_beyond_their_room),
		cmocka_unit_test(
			upstreams_are_filled_again_once_their_room_grows),
		cmocka_unit_test(
			gang_starts_soon_after_the_room_for_it_is_back),
		cmocka_unit_test(
			start_after_an_outage_fits_the_room_listed_before_it),
		cmocka_unit_test(stopping_runs_count_until_their_end_is_listed),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
