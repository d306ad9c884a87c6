/*
 * Tests of the bound on the memory of accepted jobs, and of claims after a
 * leader was killed. Without them a burst of large jobs kills every leader, and
 * the same instance claims and is killed again and again.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "entry/jobcache.h"
#include "entry/jobmemory.h"
#include "lead/election.h"
#include "lead/record.h"
#include "lib/http.h"
#include "peer/roster.h"
#include "sched/footprint.h"

#define MB (UINT64_C(1) << 20)
/* The weakest instance of the deployments, and their number. */
#define SMALLEST_MB 120
#define INSTANCES 40
#define NOW_MS 1000000

static uint64_t now_ms = NOW_MS;

/* Replaces the C library's function. */
int clock_gettime(clockid_t id, struct timespec *ts)
{
	(void)id;
	ts->tv_sec = now_ms / 1000;
	ts->tv_nsec = now_ms % 1000 * 1000000;
	return 0;
}

static uint64_t batch_bytes(uint32_t tasks)
{
	struct job *j = job_create("a000000000000001");
	uint64_t bytes;

	j->payload = g_strnfill(200, 'p');
	job_add_step(j)->count = tasks;
	bytes = footprint_bytes(j);
	job_destroy(j);
	return bytes;
}

/*
 * Fails if clients inside the limits meet the bound: a thousand jobs alive at
 * once, half of them batches of 39 tasks, while each of 40 instances accepts as
 * many in two seconds as the whole site gets.
 */
static void test_usual_clients_do_not_meet_the_bound(void **state)
{
	struct job_memory_limits l = {SMALLEST_MB, INSTANCES};
	uint64_t batch = batch_bytes(39), gang = batch_bytes(13);
	uint64_t alive = 500 * (batch + gang);
	struct job_memory *m = job_memory_create();

	(void)state;
	for (uint32_t i = 0; i < 20; i++) {
		char id[JOB_ID_BYTES];

		snprintf(id, sizeof(id), "%016x", i);
		assert_true(job_memory_allows(m, &l, alive, batch, NOW_MS));
		job_memory_add(m, id, batch, NOW_MS);
	}
	job_memory_destroy(m);
}

/* Fails if jobs are bounded where the memory of no instance is known. */
static void test_no_bound_without_known_memory(void **state)
{
	struct job_memory_limits l = {0, INSTANCES};
	struct job_memory *m = job_memory_create();

	(void)state;
	assert_int_equal(job_memory_bound_bytes(0), 0);
	assert_true(job_memory_allows(m, &l, 1000 * MB, MB, NOW_MS));
	job_memory_destroy(m);
}

/*
 * Fails if the jobs that instances accept before they see each other's exceed
 * the bound, or if nothing is accepted.
 */
static void test_instances_leave_room_for_each_other(void **state)
{
	struct job_memory_limits l = {SMALLEST_MB, INSTANCES};
	uint64_t bound = job_memory_bound_bytes(SMALLEST_MB), sum = 0;
	const uint64_t bytes = 16384, seen = bound / 2;

	(void)state;
	assert_in_range(bound, SMALLEST_MB * MB / 8, SMALLEST_MB * MB / 2);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct job_memory *m = job_memory_create();
		uint32_t n = 0;

		while (job_memory_allows(m, &l, seen, bytes, NOW_MS)) {
			char id[JOB_ID_BYTES];

			snprintf(id, sizeof(id), "%016x", n++);
			job_memory_add(m, id, bytes, NOW_MS);
			sum += bytes;
		}
		assert_in_range(n, 10, 100);
		job_memory_destroy(m);
	}
	assert_in_range(seen + sum, 0, bound);
}

/*
 * Fails if a submission counts on after its row was seen or it was refused, if
 * one is not counted, or if one of unknown outcome counts for good.
 */
static void test_unseen_submissions_count_until_they_are_seen(void **state)
{
	struct job_memory_limits l = {SMALLEST_MB, 1};
	uint64_t bound = job_memory_bound_bytes(SMALLEST_MB);
	struct job_memory *m = job_memory_create();

	(void)state;
	job_memory_add(m, "a", bound, NOW_MS);
	assert_true(job_memory_has(m, "a"));
	assert_false(job_memory_has(m, "b"));
	assert_false(job_memory_allows(m, &l, 0, 1000, NOW_MS));
	job_memory_remove(m, "a");
	assert_true(job_memory_allows(m, &l, 0, 1000, NOW_MS));
	job_memory_add(m, "b", bound, NOW_MS);
	job_memory_add(m, "b", bound, NOW_MS);
	assert_false(job_memory_allows(m, &l, 0, 1000, NOW_MS + 9000));
	assert_true(job_memory_allows(m, &l, 0, 1000, NOW_MS + 10000));
	job_memory_destroy(m);
}

/*
 * Fails if large jobs take all, so that the usual jobs of other clients are
 * refused, and if a single job of the largest size is refused.
 */
static void test_large_jobs_leave_room_for_usual_ones(void **state)
{
	struct job_memory_limits l = {SMALLEST_MB, INSTANCES};
	uint64_t largest = batch_bytes(4000), accepted = 0;
	struct job_memory *m = job_memory_create();

	(void)state;
	while (job_memory_allows(m, &l, accepted, largest, NOW_MS))
		accepted += largest;
	assert_in_range(accepted / largest, 10, 100);
	assert_true(
		job_memory_allows(m, &l, accepted, batch_bytes(39), NOW_MS));
	job_memory_destroy(m);
}

/*
 * Fails if the sum over the rows misses a job that may run, or keeps one that
 * has ended or was removed. The row of an earlier version counts a default.
 */
static void test_cache_sums_jobs_that_have_not_ended(void **state)
{
	struct job_cache *c = job_cache_create();
	const char *row = "{\"queue\":\"q\",\"account\":\"\",\"bytes\":1000}";

	(void)state;
	job_cache_apply_job_row(c, KEY_JOB "a", row);
	job_cache_apply_job_row(c, KEY_JOB "a", row);
	job_cache_apply_job_row(c, KEY_JOB "b", row);
	assert_int_equal(job_cache_live_bytes(c), 2000);
	job_cache_apply_state_row(c, "a", "{\"state\":\"running\"}");
	job_cache_apply_job_row(c, KEY_CANCEL "a", "{}");
	assert_int_equal(job_cache_live_bytes(c), 2000);
	job_cache_apply_state_row(c, "a", "{\"state\":\"cancelled\"}");
	assert_int_equal(job_cache_live_bytes(c), 1000);
	job_cache_apply_job_row(c, KEY_JOB "a", NULL);
	job_cache_apply_job_row(c, KEY_JOB "b", NULL);
	assert_int_equal(job_cache_live_bytes(c), 0);
	/* a copy that is read again may show the state before the job */
	job_cache_apply_state_row(c, "d", "{\"state\":\"completed\"}");
	job_cache_apply_job_row(c, KEY_JOB "d", row);
	assert_int_equal(job_cache_live_bytes(c), 0);
	job_cache_apply_job_row(c, KEY_JOB "e",
				"{\"queue\":\"q\",\"account\":\"\"}");
	job_cache_apply_job_row(c, KEY_JOB "f",
				"{\"queue\":\"q\",\"account\":\"\","
				"\"bytes\":-1}");
	assert_int_equal(job_cache_live_bytes(c), 2 * JOB_BYTES_DEFAULT);
	job_cache_destroy(c);
}

/* Fails if an instance's memory is lost in its row, or if it must have one. */
static void test_instance_row_carries_memory(void **state)
{
	struct peer_record p = {.domain = "d", .memory_mb = SMALLEST_MB}, q;
	char *text;

	(void)state;
	p.address.sin_family = AF_INET;
	p.address.sin_port = htons(7000);
	p.address.sin_addr.s_addr = htonl(0x7f000001);
	text = peer_record_encode(&p);
	assert_true(peer_record_decode("i", text, &q));
	assert_int_equal(q.memory_mb, SMALLEST_MB);
	free(text);
	p.memory_mb = 0;
	text = peer_record_encode(&p);
	assert_null(strstr(text, "memory_mb"));
	assert_true(peer_record_decode("i", text, &q));
	assert_int_equal(q.memory_mb, 0);
	free(text);
}

static bool send_nowhere(void *arg, const char *method, const char *path,
			 const char *body, uint32_t timeout_ms,
			 http_done_fn done, void *done_arg)
{
	(void)method;
	(void)path;
	(void)body;
	(void)timeout_ms;
	(void)done;
	(void)done_arg;
	++*(uint32_t *)arg;
	return true;
}

static void ignore_gained(void *arg, uint64_t version)
{
	(void)arg;
	(void)version;
}

static void ignore_lost(void *arg, const char *why)
{
	(void)arg;
	(void)why;
}

static void ignore_event(void *arg)
{
	(void)arg;
}

/*
 * Return after how many milliseconds instance i claims if the owner row names
 * an earlier process of it, or another instance, after this many writes.
 */
static uint64_t claim_after_ms(const char *owner, uint64_t writes,
			       bool larger_peers)
{
	struct owner_record r = {.incarnation = 6, .epoch = 3};
	struct election_events ev = {.gained = ignore_gained,
				     .lost = ignore_lost,
				     .committed = ignore_event,
				     .write_due = ignore_event};
	struct loop *l = loop_create();
	struct counters *c = counters_create();
	uint32_t sent = 0;
	struct rows *rows = rows_create(send_nowhere, &sent);
	struct election *e = election_create(l, rows, c, "i", 7, 0, &ev, NULL);
	uint64_t from_ms = now_ms;
	char *value;

	g_strlcpy(r.instance, owner, sizeof(r.instance));
	r.sequence = writes;
	value = owner_encode(&r);
	election_apply_row(e, value, 5);
	election_note_larger_peers(e, larger_peers);
	for (; !sent && now_ms < from_ms + 20000; now_ms += 10)
		election_consider_claim(e, 1, true);
	assert_int_equal(sent, 1);
	free(value);
	election_destroy(e);
	rows_destroy(rows);
	counters_destroy(c);
	loop_destroy(l);
	return now_ms - from_ms;
}

/*
 * Fails if a process that was killed soon after its claim claims again before
 * larger peers can, or never; and if a planned restart or the first kill of a
 * lasting leader takes longer than before.
 */
static void test_short_leadership_lets_larger_peers_claim(void **state)
{
	uint64_t other_ms = claim_after_ms("other", 2, true);

	(void)state;
	assert_in_range(claim_after_ms("i", 2, false), 0, 10);
	assert_in_range(claim_after_ms("i", 1000, true), 0, 10);
	assert_in_range(claim_after_ms("i", 30, true), 0, 10);
	assert_in_range(other_ms, TAKEOVER_TIMEOUT_MS,
			TAKEOVER_TIMEOUT_MS + 200);
	assert_in_range(claim_after_ms("i", 2, true), other_ms + 3500,
			other_ms + 4500);
	/* a leader that has resigned names nobody in the row */
	assert_in_range(claim_after_ms("", 2, true), 0, 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_usual_clients_do_not_meet_the_bound),
		cmocka_unit_test(test_no_bound_without_known_memory),
		cmocka_unit_test(test_instances_leave_room_for_each_other),
		cmocka_unit_test(
			test_unseen_submissions_count_until_they_are_seen),
		cmocka_unit_test(test_large_jobs_leave_room_for_usual_ones),
		cmocka_unit_test(test_cache_sums_jobs_that_have_not_ended),
		cmocka_unit_test(test_instance_row_carries_memory),
		cmocka_unit_test(test_short_leadership_lets_larger_peers_claim),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
