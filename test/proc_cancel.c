/*
 * Randomized test of submissions and cancel requests, sent again and in any
 * order to any instance, while the store carries writes out late and instances
 * are killed and paused. CANCEL_SEEDS gives the seeds to run, separated by
 * spaces.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/jointsite.h"

#define NET_FIRST 230
#define NET_COUNT 10
#define RUN_MS 9000
#define STEP_MS 60
#define JOBS_MAX 60
#define LATE_MIN_MS 300
#define LATE_MAX_MS 6000
#define TASK_MS 300
#define DEFAULT_SEEDS "1 2"
/* Callers do not wait for a second attempt of a write. */
#define HEADERS                                                                \
	"Authorization: Bearer key\r\n"                                        \
	"Lacewingspur-Deadline-Ms: 700\r\n"
#define CALL_TIMEOUT_MS 2500

/* What callers were told of a job. */
struct told {
	bool accepted;	  /* a submission got 200 */
	bool cancelled;	  /* a cancel request got 200 */
	bool denied;	  /* a cancel request got 410 */
	bool cancel_sent; /* one was sent, whatever became of it */
	bool unsettled;	  /* the last submission got no 200 */
};

/* A request that was sent. */
struct sent {
	struct run *run;
	uint32_t job;
	bool cancel;
};

struct run {
	struct joint_site *site;
	GRand *random;
	struct told told[JOBS_MAX];
	uint32_t jobs_len;
	uint64_t restart_ms[INSTANCE_COUNT]; /* of a killed one, or 0 */
	uint64_t resume_ms[INSTANCE_COUNT];  /* of a paused one, or 0 */
	uint64_t store_until_ms; /* the store refuses calls until then, or 0 */
	uint32_t denied, late, in_flight;
};

static uint32_t below(struct run *r, uint32_t n)
{
	return g_rand_int_range(r->random, 0, (int)n);
}

/* Return a random instance that answers, or INSTANCE_COUNT. */
static uint32_t choose_instance(struct run *r)
{
	uint32_t first = below(r, INSTANCE_COUNT);

	for (uint32_t k = 0; k < INSTANCE_COUNT; k++) {
		uint32_t i = (first + k) % INSTANCE_COUNT;

		if (r->site->instances[i] && !r->resume_ms[i])
			return i;
	}
	return INSTANCE_COUNT;
}

/* Note what a caller was told. */
static void on_reply(void *arg, const struct http_result *res)
{
	struct sent *e = arg;
	struct run *r = e->run;
	struct told *w = &r->told[e->job];
	int status = verdict_is_ran(res->verdict) ? res->status : 0;

	r->in_flight--;
	if (e->cancel) {
		w->cancelled |= status == 200;
		w->denied |= status == 410;
		r->denied += status == 410;
	} else {
		w->accepted |= status == 200;
		w->unsettled = status != 200;
	}
	if (w->accepted && w->denied)
		fail_msg("job %u was accepted, and its caller was told that it "
			 "does not exist",
			 e->job + 1);
	g_free(e);
}

static void send_request(struct run *r, uint32_t n, bool cancel)
{
	uint32_t i = choose_instance(r);
	struct sent *e;
	char *path, *body;

	if (i == INSTANCE_COUNT)
		return;
	e = g_new0(struct sent, 1);
	*e = (struct sent){r, n, cancel};
	path = joint_job_path(n + 1);
	body = g_strdup_printf("{\"spec\":\"%d\",\"steps\":[{\"count\":1,"
			       "\"cpu\":1000,\"memMb\":100,\"gpu\":1,"
			       "\"estimateMs\":%d}]}",
			       TASK_MS, TASK_MS);
	r->told[n].cancel_sent |= cancel;
	if (http_call_start_with_headers(r->site->callers[i],
					 cancel ? "DELETE" : "POST", path,
					 HEADERS, cancel ? NULL : body,
					 CALL_TIMEOUT_MS, on_reply, e))
		r->in_flight++;
	else
		g_free(e);
	g_free(body);
	g_free(path);
}

/* Submit or cancel a job; one without an answer is often cancelled next. */
static void send_any_request(struct run *r)
{
	uint32_t n = r->jobs_len ? below(r, r->jobs_len) : 0;

	for (uint32_t k = 0; k < r->jobs_len; k++)
		if (r->told[k].unsettled && !r->told[k].cancel_sent &&
		    below(r, 3)) {
			send_request(r, k, true);
			return;
		}
	if (r->jobs_len < JOBS_MAX && below(r, 2))
		send_request(r, r->jobs_len++, false);
	else if (r->jobs_len)
		send_request(r, n, !below(r, 3));
}

static void inject_fault(struct run *r)
{
	uint32_t i = choose_instance(r), kind = below(r, 8);
	uint64_t until_ms = clock_mono_ms() + 200 + below(r, 1500);
	char *body;

	switch (kind) {
	case 0:
		if (i < INSTANCE_COUNT) {
			joint_instance_kill(r->site, i, SIGKILL);
			r->restart_ms[i] = until_ms;
		}
		break;
	case 1:
		if (i < INSTANCE_COUNT) {
			kill(r->site->instances[i], SIGSTOP);
			r->resume_ms[i] = until_ms;
		}
		break;
	case 2:
		joint_control_platform(r->site, "{\"store\": \"refuse\"}");
		r->store_until_ms = until_ms;
		break;
	case 3:
		joint_control_platform(r->site, "{\"forget\": true}");
		break;
	default:
		/* that of the jobs, with or without their cancel requests */
		body = g_strdup_printf(
			"{\"late_writes\": %u, \"late_write_ms\": %u, "
			"\"late_table\": \"lacewingspur-%s\"}",
			1 + below(r, 4),
			LATE_MIN_MS + below(r, LATE_MAX_MS - LATE_MIN_MS),
			below(r, 2) ? "jobs" : "specs");
		joint_control_platform(r->site, body);
		g_free(body);
		r->late++;
		break;
	}
}

static bool is_due(uint64_t *until_ms, bool all)
{
	if (!*until_ms || (!all && clock_mono_ms() < *until_ms))
		return false;
	*until_ms = 0;
	return true;
}

/* End the faults whose time is over, or every one with `all`. */
static void end_faults(struct run *r, bool all)
{
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++) {
		if (is_due(&r->resume_ms[i], all))
			kill(r->site->instances[i], SIGCONT);
		if (is_due(&r->restart_ms[i], all))
			joint_instance_start(r->site, i);
	}
	if (is_due(&r->store_until_ms, all))
		joint_control_platform(r->site, "{\"store\": \"ok\"}");
	if (all)
		joint_control_platform(r->site, "{\"late_writes\": 0}");
}

/* Check what was said of job n once no write is under way. */
static void check_job(struct run *r, uint32_t n, const json_t *last_starts)
{
	const struct told *w = &r->told[n];
	char *path = joint_job_path(n + 1), *id = strrchr(path, '/') + 1;
	int status = joint_request(r->site, r->site->callers[n % 3], "GET",
				   path, NULL, NULL);

	if (w->denied && json_object_get(last_starts, id))
		fail_msg("job %u ran, which does not exist", n + 1);
	if (w->denied && status != 410)
		fail_msg("job %u is shown with %d, which does not exist", n + 1,
			 status);
	if (w->accepted && !w->denied && status != 200)
		fail_msg("accepted job %u is answered with %d", n + 1, status);
	if (w->accepted && !w->cancel_sent)
		joint_wait_completed(r->site, n % 3, n + 1);
	g_free(path);
}

static void run_seed(uint32_t seed)
{
	struct run r = {.random = g_rand_new_with_seed(seed)};
	uint64_t until_ms;
	json_t *record;

	r.site = joint_start(NET_FIRST + seed % NET_COUNT);
	until_ms = clock_mono_ms() + RUN_MS;
	while (clock_mono_ms() < until_ms) {
		uint64_t step_end_ms = clock_mono_ms() + STEP_MS;

		send_any_request(&r);
		if (!below(&r, 6))
			inject_fault(&r);
		end_faults(&r, false);
		joint_check_record(r.site);
		while (clock_mono_ms() < step_end_ms)
			loop_step(r.site->loop, 10);
	}
	end_faults(&r, true);
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		joint_wait_ready(r.site, i);
	joint_run_for(r.site, LATE_MAX_MS);
	assert_int_equal(r.in_flight, 0);
	record = joint_record(r.site);
	print_message("seed %u: %u jobs, %u times denied, %u times late\n",
		      seed, r.jobs_len, r.denied, r.late);
	for (uint32_t n = 0; n < r.jobs_len; n++)
		check_job(&r, n, json_object_get(record, "last_starts"));
	json_decref(record);
	joint_stop(r.site);
	g_rand_free(r.random);
}

/*
 * Guards against a job that runs, or is accepted, after its caller was told that
 * it does not exist, and against an accepted job that is lost.
 */
static void cancelled_jobs_stay_away_under_late_writes(void **state)
{
	const char *text = getenv("CANCEL_SEEDS");
	char **seeds = g_strsplit(text ? text : DEFAULT_SEEDS, " ", -1);

	(void)state;
	for (char **s = seeds; *s; s++)
		if (**s)
			run_seed(g_ascii_strtoull(*s, NULL, 10));
	g_strfreev(seeds);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cancelled_jobs_stay_away_under_late_writes),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
