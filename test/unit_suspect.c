/*
 * Tests of tasks that crash the upstreams that start them, on simulated sites:
 * a crashed upstream is silent, and seconds later another answers in its place.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "lead/delivery.h"
#include "lead/model.h"
#include "lead/record.h"
#include "sched/reach.h"

#define TICK_MS 20
#define RETURN_MS 3200 /* from a crash until a new upstream answers */
#define RACK_UPSTREAMS 4

/* An upstream that has crashed and when its machine is back. */
struct crash {
	struct upstream *upstream;
	uint64_t back_ms;
};

struct simulation {
	struct model *model;
	uint64_t now_ms;
	uint32_t jobs;
	uint32_t upstreams; /* ever added */
	uint32_t incarnations_ended;
	uint64_t run_ms; /* of each task */
	GArray *crashes;
	/* the longest time that a task waited for its next run */
	uint64_t longest_wait_ms;
};

static struct upstream *add_upstream(struct simulation *sim, uint32_t host)
{
	char id[16], rack[16], name[16];
	struct upstream *u;

	snprintf(id, sizeof(id), "i%u", sim->upstreams++);
	snprintf(rack, sizeof(rack), "r%u", host / RACK_UPSTREAMS);
	snprintf(name, sizeof(name), "h%u", host);
	u = fleet_add_upstream(sim->model->fleet, id);
	upstream_describe(u, "s", "d", "a", rack);
	u->host_quark = g_quark_from_string(name);
	u->resources = (struct resources){32000, 65536, 8};
	u->started_wall_ms = sim->now_ms;
	u->synced = true;
	return u;
}

static void simulation_create(struct simulation *sim, uint32_t upstreams)
{
	*sim = (struct simulation){.now_ms = 1000000, .run_ms = 5000};
	sim->model = model_create();
	sim->crashes = g_array_new(FALSE, FALSE, sizeof(struct crash));
	for (uint32_t i = 0; i < upstreams; i++)
		add_upstream(sim, i);
}

static void simulation_destroy(struct simulation *sim)
{
	g_array_unref(sim->crashes);
	model_destroy(sim->model);
}

static struct upstream *upstream(const struct simulation *sim, uint32_t i)
{
	return g_ptr_array_index(sim->model->fleet->list, i);
}

/* Add a job of one step; the payload "deadly N" makes its task N deadly. */
static struct job *add_job(struct simulation *sim, uint32_t count,
			   int64_t accelerators, bool gang, const char *payload)
{
	char id[JOB_ID_BYTES];
	struct job *j;
	struct step *s;

	snprintf(id, sizeof(id), "%016x", ++sim->jobs);
	j = job_create(id);
	text_set(&j->account, "account");
	text_set(&j->queue, "q");
	job_set_service(j, "s");
	j->payload = g_strdup(payload);
	j->queue_known = true;
	j->priority = 1;
	j->max_attempts = 3;
	j->slack_factor = 3;
	j->target_ms = 1000;
	j->since_ms = sim->now_ms;
	s = job_add_step(j);
	s->count = count;
	s->need = (struct resources){2000, 4000, accelerators};
	s->estimate_ms = sim->run_ms;
	s->gang = gang;
	job_create_stages(j);
	model_add_job(sim->model, j);
	return j;
}

static bool is_deadly(const struct task *t)
{
	uint32_t index;
	const char *payload = t->stage->job->payload;

	if (!strcmp(payload, "deadly"))
		return true;
	return sscanf(payload, "deadly %u", &index) == 1 && index == t->index;
}

static bool is_crashed(const struct simulation *sim, const struct upstream *u)
{
	for (guint i = 0; i < sim->crashes->len; i++)
		if (g_array_index(sim->crashes, struct crash, i).upstream == u)
			return true;
	return false;
}

static void crash(struct simulation *sim, struct upstream *u)
{
	struct crash c = {u, sim->now_ms + RETURN_MS};

	if (is_crashed(sim, u))
		return;
	reach_record_silence(u);
	suspect_note_silence(u, sim->now_ms);
	u->avoid_until_ms = sim->now_ms + RETURN_MS;
	g_array_append_val(sim->crashes, c);
	sim->incarnations_ended++;
}

/* Let the machine of a crashed upstream answer as another one. */
static void return_crashed(struct simulation *sim)
{
	for (guint i = sim->crashes->len; i-- > 0;) {
		struct crash c = g_array_index(sim->crashes, struct crash, i);
		const char *host = g_quark_to_string(c.upstream->host_quark);
		uint32_t n;

		if (c.back_ms > sim->now_ms)
			continue;
		model_lose_upstream(sim->model, c.upstream, sim->now_ms,
				    INCARNATION_ENDED, "replaced");
		c.upstream->state = UPSTREAM_GONE;
		g_array_remove_index(sim->crashes, i);
		if (sscanf(host, "h%u", &n) == 1)
			add_upstream(sim, n);
	}
}

/* Let u list its runs; those that have lasted run_ms are done. */
static void answer_lists(struct simulation *sim, struct upstream *u)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct run_report *running = g_new0(struct run_report, u->tasks->len);
	struct run_end_report *ended =
		g_new0(struct run_end_report, u->tasks->len);
	char(*names)[TASK_NAME_BYTES] =
		g_malloc0_n(u->tasks->len + 1, TASK_NAME_BYTES);
	struct order_answer a = {.outcome = ORDER_DONE,
				 .has_lists = true,
				 .clock_ms = sim->now_ms,
				 .running = running,
				 .ended = ended};

	for (guint i = 0; i < u->tasks->len; i++) {
		const struct task *t = g_ptr_array_index(u->tasks, i);

		task_format_name(t, names[i], TASK_NAME_BYTES);
		if (t->state != TASK_STOPPING &&
		    sim->now_ms >= t->placed_ms + sim->run_ms)
			ended[a.ended_len++] = (struct run_end_report){
				.number = a.ended_len + 1,
				.task = names[i],
				.run = t->run,
				.end_reason = RUN_DONE,
				.checkpoint = ""};
		else
			running[a.running_len++] =
				(struct run_report){.task = names[i],
						    .run = t->run,
						    .checkpoint = ""};
	}
	reach_record_answer(u, sim->now_ms);
	model_apply_lists(sim->model, u, &a, sim->now_ms, sim->now_ms, 0,
			  strays);
	g_array_unref(strays);
	g_free(running);
	g_free(ended);
	g_free(names);
}

static void carry_out(struct simulation *sim, const struct action *a)
{
	struct task *t = a->task;
	uint64_t waited_ms = sim->now_ms - MAX(t->ended_ms, t->stage->since_ms);

	switch (a->tag) {
	case ACTION_START:
		sim->longest_wait_ms = MAX(sim->longest_wait_ms, waited_ms);
		t->sent = true;
		task_confirm(t, sim->now_ms);
		if (is_deadly(t))
			crash(sim, t->at);
		break;
	case ACTION_STOP:
		if (!is_crashed(sim, t->at))
			task_end_run(t, RUN_STOPPED, NULL, sim->now_ms);
		break;
	case ACTION_WAIT:
		break;
	}
}

/* Play for ms milliseconds. */
static void play(struct simulation *sim, uint64_t ms)
{
	uint64_t until_ms = sim->now_ms + ms;

	while (sim->now_ms < until_ms) {
		struct dispatch_input v = {.jobs = sim->model->job_list,
					   .fleet = sim->model->fleet,
					   .now_ms = sim->now_ms,
					   .estimator = sim->model->estimator,
					   .checkpoint_ms = 2000,
					   .stop_ms = 900,
					   .reclaim_ms = 3400,
					   .lease_ms = 6000};
		GArray *actions = dispatch(&v);

		for (guint i = 0; i < actions->len; i++)
			carry_out(sim,
				  &g_array_index(actions, struct action, i));
		g_array_unref(actions);
		sim->now_ms += TICK_MS;
		return_crashed(sim);
		for (guint i = 0; i < sim->model->fleet->list->len; i++) {
			struct upstream *u = upstream(sim, i);

			if (u->state != UPSTREAM_GONE && !is_crashed(sim, u))
				answer_lists(sim, u);
		}
		model_update_job_states(sim->model, sim->now_ms);
	}
}

/* Assert that no job of another payload than "deadly" has failed. */
static void assert_innocent_jobs_are_done(const struct simulation *sim)
{
	for (guint i = 0; i < sim->model->job_list->len; i++) {
		const struct job *j =
			g_ptr_array_index(sim->model->job_list, i);

		if (!g_str_has_prefix(j->payload, "deadly"))
			assert_int_equal(j->state, JOB_COMPLETED);
	}
}

/* BUDGET: one task crashed an upstream every three seconds, all day. */
static void
test_deadly_task_ends_two_incarnations_and_neighbours_end_done(void **state)
{
	struct simulation sim;
	struct job *deadly;

	(void)state;
	simulation_create(&sim, 8);
	for (uint32_t i = 0; i < 4; i++)
		add_job(&sim, 3, 1, false, "");
	play(&sim, 3000);
	deadly = add_job(&sim, 4, 1, false, "deadly 2");
	for (uint32_t i = 0; i < 4; i++)
		add_job(&sim, 5, 1, false, "");
	play(&sim, 40000);
	assert_int_equal(deadly->state, JOB_FAILED);
	assert_int_equal(sim.incarnations_ended, 2);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

static void test_many_deadly_tasks_end_two_incarnations_each(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 24);
	for (uint32_t i = 0; i < 40; i++) {
		add_job(&sim, 4, 1, false, i % 8 ? "" : "deadly 0");
		play(&sim, 200);
	}
	play(&sim, 40000);
	for (guint i = 0; i < 40; i += 8)
		assert_int_equal(((struct job *)g_ptr_array_index(
					  sim.model->job_list, i))
					 ->state,
				 JOB_FAILED);
	assert_in_range(sim.incarnations_ended, 5, 10);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

static void test_full_site_has_room_for_suspects_in_time(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 8);
	for (uint32_t i = 0; i < 30; i++) {
		add_job(&sim, 4, 1, false, "");
		play(&sim, 200);
	}
	add_job(&sim, 4, 1, false, "deadly 3");
	play(&sim, 500);
	sim.longest_wait_ms = 0;
	play(&sim, 60000);
	assert_in_range(sim.incarnations_ended, 1, 3);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

/* On a full site some run has always just begun on each upstream. */
static void test_suspects_on_a_full_site_run_apart(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 8);
	for (uint32_t i = 0; i < 120; i++) {
		if (i % 40 == 20)
			add_job(&sim, 2, 1, false, "deadly 0");
		add_job(&sim, 8, 1, false, "");
		play(&sim, 300);
	}
	play(&sim, 120000);
	assert_int_equal(sim.incarnations_ended, 6);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

/* LOST: suspects that wait for an empty upstream must not wait for good. */
static void
test_suspects_are_started_in_time_without_empty_upstream(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 12);
	sim.run_ms = 30000;
	add_job(&sim, 12, 5, false, "");
	play(&sim, 4000);
	add_job(&sim, 30, 1, false, "");
	play(&sim, 100);
	sim.longest_wait_ms = 0;
	for (uint32_t i = 0; i < 2; i++)
		crash(&sim, upstream(&sim, i));
	play(&sim, 10000);
	assert_in_range(sim.longest_wait_ms, 1, 2900);
	play(&sim, 60000);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

static void test_suspects_leave_upstreams_to_other_work(void **state)
{
	struct simulation sim;
	struct job *wide;

	(void)state;
	simulation_create(&sim, 12);
	add_job(&sim, 24, 4, false, "");
	play(&sim, 100);
	for (uint32_t i = 0; i < 2; i++)
		crash(&sim, upstream(&sim, i));
	play(&sim, RETURN_MS + 2500);
	wide = add_job(&sim, 16, 4, false, "");
	play(&sim, 200);
	assert_int_equal(stage_waiting_count(&wide->stages[0]), 0);
	play(&sim, 40000);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

static void test_power_cut_of_a_rack_raises_no_suspect(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 12);
	for (uint32_t i = 0; i < 12; i++)
		add_job(&sim, 4, 1, false, "");
	for (uint32_t round = 0; round < 3; round++) {
		play(&sim, 300);
		for (guint i = 0; i < sim.model->fleet->list->len; i++) {
			struct upstream *u = upstream(&sim, i);

			if (u->state != UPSTREAM_GONE && !strcmp(u->rack, "r1"))
				crash(&sim, u);
		}
		play(&sim, RETURN_MS + 100);
		for (guint i = 0; i < sim.model->job_list->len; i++) {
			const struct job *j =
				g_ptr_array_index(sim.model->job_list, i);

			for (uint32_t k = 0; k < 4; k++)
				assert_false(task_is_suspect(
					&j->stages[0].tasks[k]));
		}
	}
	play(&sim, 40000);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

/*
 * BUDGET: a new leader found crashed upstreams while a domain was cut off, and
 * took both for one event.
 */
static void test_cut_domain_excuses_no_end_found_by_a_new_leader(void **state)
{
	struct simulation sim;
	struct job *j;

	(void)state;
	simulation_create(&sim, 16);
	j = add_job(&sim, 2, 4, false, "");
	play(&sim, 100);
	for (uint32_t i = 8; i < 16; i++)
		suspect_note_silence(upstream(&sim, i), sim.now_ms);
	model_lose_upstream(sim.model, j->stages[0].tasks[0].at, sim.now_ms,
			    INCARNATION_ENDED, "replaced");
	assert_true(task_is_suspect(&j->stages[0].tasks[0]));
	simulation_destroy(&sim);
}

/* LOST: a run that never started was taken for the cause of a restart. */
static void
test_order_to_an_upstream_that_has_restarted_blames_nobody(void **state)
{
	struct simulation sim;
	struct task *t;

	(void)state;
	simulation_create(&sim, 1);
	t = &add_job(&sim, 1, 1, false, "")->stages[0].tasks[0];
	t->stage->since_ms = sim.now_ms;
	task_place(t, upstream(&sim, 0), 1, sim.now_ms);
	t->sent = true;
	model_lose_upstream(sim.model, upstream(&sim, 0), sim.now_ms + 12,
			    INCARNATION_ENDED, "replaced");
	assert_false(task_is_suspect(t));
	/* the upstream was heard lately, but not since it became silent */
	reach_record_answer(upstream(&sim, 0), sim.now_ms + 20);
	suspect_note_silence(upstream(&sim, 0), sim.now_ms + 100);
	task_place(t, upstream(&sim, 0), 2, sim.now_ms + 1000);
	t->sent = true;
	model_lose_upstream(sim.model, upstream(&sim, 0), sim.now_ms + 1012,
			    INCARNATION_ENDED, "replaced");
	assert_false(task_is_suspect(t));
	simulation_destroy(&sim);
}

/*
 * End the first run of t beside another, at once after its start, and place the
 * next one, alone, on an upstream that was heard a second before.
 */
static struct upstream *place_after_quick_end(struct simulation *sim,
					      struct task *t)
{
	struct upstream *u = upstream(sim, 1);

	for (uint32_t i = 0; i < 2; i++) {
		struct task *m = &t->stage->tasks[i];

		task_place(m, upstream(sim, 0), 1, sim->now_ms);
		m->sent = true;
		task_confirm(m, sim->now_ms + 10);
	}
	suspect_note_silence(upstream(sim, 0), sim->now_ms + 80);
	reach_record_answer(u, sim->now_ms);
	sim->now_ms += 600;
	model_lose_upstream(sim->model, upstream(sim, 0), sim->now_ms,
			    INCARNATION_ENDED, "replaced");
	assert_int_equal(t->suspicion.early_ends, 1);
	sim->now_ms += 400;
	task_place(t, u, 2, sim->now_ms);
	t->sent = true;
	return u;
}

/*
 * LOST: a start order that had certainly not been carried out counted as a run
 * that had ended its upstream.
 */
static void test_order_that_was_not_carried_out_is_not_blamed(void **state)
{
	static const enum order_outcome outcomes[] = {
		ORDER_NOT_SENT, ORDER_LEASE_EXPIRED, ORDER_REPLACED};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		struct simulation sim;
		struct upstream *u;
		struct task *t;

		simulation_create(&sim, 2);
		t = &add_job(&sim, 2, 1, false, "")->stages[0].tasks[0];
		u = place_after_quick_end(&sim, t);
		delivery_decide(t, outcomes[i], sim.now_ms + 12);
		if (outcomes[i] != ORDER_REPLACED)
			suspect_note_silence(u, sim.now_ms + 13);
		model_lose_upstream(sim.model, u, sim.now_ms + 137,
				    INCARNATION_ENDED, "replaced");
		assert_int_equal(t->state, TASK_WAITING);
		assert_int_equal(t->suspicion.early_ends, 1);
		assert_int_equal(t->stage->job->state, JOB_RUNNING);
		assert_true(u->ended_without_candidate);
		simulation_destroy(&sim);
	}
}

/* LOST: upstreams that restart one after another failed innocent jobs. */
static void test_wave_of_restarts_fails_no_job(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 80);
	for (uint32_t i = 0; i < 300; i++) {
		uint32_t n = i * 7919 % sim.upstreams;

		add_job(&sim, 3, 1 + i % 4, false, "");
		play(&sim, 60);
		if (i % 100 > 20 && i % 2 &&
		    upstream(&sim, n)->state != UPSTREAM_GONE)
			crash(&sim, upstream(&sim, n));
	}
	play(&sim, 60000);
	assert_in_range(sim.incarnations_ended, 40, 150);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

static void test_planned_leave_raises_no_suspect(void **state)
{
	struct simulation sim;
	struct job *j;

	(void)state;
	simulation_create(&sim, 1);
	j = add_job(&sim, 2, 1, false, "");
	play(&sim, 100);
	upstream(&sim, 0)->leaving = true;
	suspect_note_silence(upstream(&sim, 0), sim.now_ms);
	model_lose_upstream(sim.model, upstream(&sim, 0), sim.now_ms + 6000,
			    INCARNATION_PRESUMED_ENDED, "leases ended");
	assert_false(task_is_suspect(&j->stages[0].tasks[0]));
	simulation_destroy(&sim);
}

static void
test_answer_of_the_same_incarnation_withdraws_suspicion(void **state)
{
	struct simulation sim;
	struct task *t;

	(void)state;
	simulation_create(&sim, 1);
	t = &add_job(&sim, 1, 1, false, "")->stages[0].tasks[0];
	play(&sim, 100);
	suspect_note_silence(upstream(&sim, 0), sim.now_ms);
	model_lose_upstream(sim.model, upstream(&sim, 0), sim.now_ms + 6000,
			    INCARNATION_PRESUMED_ENDED, "leases ended");
	assert_true(task_is_suspect(t));
	answer_lists(&sim, upstream(&sim, 0));
	assert_false(task_is_suspect(t));
	simulation_destroy(&sim);
}

/* A partition proves no end; the restart that is seen later does. */
static void test_presumed_ends_fail_a_job_only_once_known(void **state)
{
	struct simulation sim;
	struct job *j;

	(void)state;
	simulation_create(&sim, 3);
	j = add_job(&sim, 1, 1, false, "");
	for (uint32_t i = 0; i < 2; i++) {
		struct upstream *u;

		play(&sim, 100);
		u = j->stages[0].tasks[0].at;
		suspect_note_silence(u, sim.now_ms);
		model_lose_upstream(sim.model, u, sim.now_ms,
				    INCARNATION_PRESUMED_ENDED, "leases ended");
		u->state = UPSTREAM_GONE;
		assert_int_equal(j->state, JOB_RUNNING);
		if (i == 1)
			model_note_incarnation(sim.model, u,
					       u->started_wall_ms + 1,
					       sim.now_ms, NULL);
	}
	assert_int_equal(j->state, JOB_FAILED);
	simulation_destroy(&sim);
}

static void test_flapping_upstream_fails_no_job(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 8);
	sim.run_ms = 1200;
	for (uint32_t i = 0; i < 120; i++) {
		for (guint k = 0; i % 8 == 7 && k < sim.model->fleet->list->len;
		     k++) {
			struct upstream *u = upstream(&sim, k);

			if (u->state != UPSTREAM_GONE &&
			    u->host_quark == g_quark_from_string("h2"))
				crash(&sim, u);
		}
		add_job(&sim, 6, 1, false, "");
		play(&sim, 500);
	}
	play(&sim, 40000);
	assert_in_range(sim.incarnations_ended, 8, 15);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

/* The members that started elsewhere do not count as other causes. */
static void test_gang_with_a_deadly_member_is_given_up(void **state)
{
	struct simulation sim;
	struct job *gang;

	(void)state;
	simulation_create(&sim, 16);
	for (uint32_t i = 0; i < 6; i++)
		add_job(&sim, 4, 1, false, "");
	gang = add_job(&sim, 4, 4, true, "deadly 1");
	play(&sim, 40000);
	assert_int_equal(gang->state, JOB_FAILED);
	assert_in_range(sim.incarnations_ended, 1, 2);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

static void test_innocent_gang_beside_a_deadly_task_ends_done(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 8);
	add_job(&sim, 4, 3, true, "");
	add_job(&sim, 6, 1, false, "deadly 0");
	play(&sim, 60000);
	assert_int_equal(sim.incarnations_ended, 2);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

/* Once a suspect of a step is tried, its others wait for the outcome. */
static void
test_job_of_deadly_tasks_ends_one_incarnation_after_the_first(void **state)
{
	struct simulation sim;
	struct job *deadly;
	uint32_t first;

	(void)state;
	simulation_create(&sim, 16);
	deadly = add_job(&sim, 24, 1, false, "deadly");
	play(&sim, 100);
	first = sim.incarnations_ended;
	play(&sim, 40000);
	assert_int_equal(deadly->state, JOB_FAILED);
	assert_int_equal(sim.incarnations_ended, first + 1);
	simulation_destroy(&sim);
}

static void test_long_running_deadly_task_is_given_up(void **state)
{
	struct simulation sim;
	struct job *deadly;

	(void)state;
	simulation_create(&sim, 8);
	deadly = add_job(&sim, 3, 1, false, "deadly 0");
	deadly->steps[0].long_running = true;
	play(&sim, 40000);
	assert_int_equal(deadly->state, JOB_FAILED);
	assert_int_equal(sim.incarnations_ended, 2);
	simulation_destroy(&sim);
}

/* A task that ends upstreams late shares the ends with what came after it. */
static void test_late_ends_make_a_suspect_that_then_runs_alone(void **state)
{
	struct simulation sim;
	struct job *late;
	struct task *t;

	(void)state;
	simulation_create(&sim, 8);
	sim.run_ms = 9000;
	late = add_job(&sim, 1, 1, false, "deadly late");
	t = &late->stages[0].tasks[0];
	for (uint32_t i = 0; i < 400 && !job_is_final(late); i++) {
		if (i % 20 == 0)
			add_job(&sim, 2, 1, false, "");
		play(&sim, 200);
		if (t->state == TASK_RUNNING &&
		    sim.now_ms >= t->placed_ms + 4000)
			crash(&sim, t->at);
	}
	assert_int_equal(late->state, JOB_FAILED);
	assert_int_equal(sim.incarnations_ended, 4);
	play(&sim, 40000);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

static void ignore_active(void *arg, struct task *t, const struct run_place *at)
{
	model_inherit_run(arg, t, at->upstream, at->started_wall_ms, 5000);
}

/* Build the model of a successor from the row of j. */
static struct job *succeed(struct simulation *next, const char *row)
{
	struct job *j;

	simulation_create(next, 3);
	j = add_job(next, 2, 1, false, "");
	assert_true(run_decode(j, row, ignore_active, next->model));
	return j;
}

static void test_suspicion_survives_a_change_of_leader(void **state)
{
	struct simulation sim, next;
	struct job *j;
	char *row;

	(void)state;
	simulation_create(&sim, 3);
	j = add_job(&sim, 2, 1, false, "deadly 1");
	play(&sim, RETURN_MS + 40);
	assert_true(task_is_suspect(&j->stages[0].tasks[1]));
	row = run_encode(j);
	j = succeed(&next, row);
	free(row);
	assert_int_equal(j->stages[0].tasks[1].suspicion.early_ends, 1);
	assert_true(task_is_suspect(&j->stages[0].tasks[1]));
	simulation_destroy(&sim);
	simulation_destroy(&next);
}

/* Nobody saw the end that fell into the change of leader. */
static void
test_successor_counts_incarnations_that_ended_meanwhile(void **state)
{
	struct simulation sim, next;
	struct job *j;
	char *row;

	(void)state;
	simulation_create(&sim, 1);
	j = add_job(&sim, 2, 1, false, "");
	play(&sim, 100);
	row = run_encode(j);
	simulation_create(&next, 1);
	upstream(&next, 0)->started_wall_ms = sim.now_ms + 5000;
	j = add_job(&next, 2, 1, false, "");
	assert_true(run_decode(j, row, ignore_active, next.model));
	free(row);
	assert_int_equal(j->stages[0].tasks[0].state, TASK_WAITING);
	assert_true(task_is_suspect(&j->stages[0].tasks[0]));
	assert_int_equal(j->state, JOB_RUNNING);
	simulation_destroy(&sim);
	simulation_destroy(&next);
}

static void test_rows_without_suspicions_are_read(void **state)
{
	struct simulation next;
	struct job *j;

	(void)state;
	j = succeed(&next,
		    "{\"state\":\"running\",\"ended_ms\":0,"
		    "\"incarnations\":[],\"stages\":[[0,\"1,0, 2,1, \"]]}");
	assert_int_equal(j->stages[0].tasks[1].run, 2);
	assert_false(task_is_suspect(&j->stages[0].tasks[1]));
	simulation_destroy(&next);
}

static void test_rows_with_malformed_suspicions_are_read(void **state)
{
	struct simulation next;
	struct job *j;

	(void)state;
	j = succeed(&next, "{\"state\":\"running\",\"ended_ms\":0,"
			   "\"incarnations\":[],\"stages\":[[0,\"2*1,0, \"]],"
			   "\"suspicions\":[[7,0,1,0,0],[0,9,1,0,0],\"x\","
			   "[-1,0,1,0,0],[0,0,-4,0,0],[0,1]]}");
	assert_false(task_is_suspect(&j->stages[0].tasks[0]));
	assert_false(task_is_suspect(&j->stages[0].tasks[1]));
	simulation_destroy(&next);
}

/* Guards against a sound gang that is given up for ends under other members. */
static void test_gang_outlives_ends_under_different_members(void **state)
{
	struct simulation sim;
	struct job *gang;

	(void)state;
	simulation_create(&sim, 24);
	sim.run_ms = 20000;
	gang = add_job(&sim, 4, 8, true, "");
	for (uint32_t i = 0; i < 4; i++) {
		struct task *t = &gang->stages[0].tasks[i];
		uint32_t run = t->run;

		for (uint32_t k = 0;
		     k < 400 && (t->state != TASK_RUNNING || t->run == run);
		     k++)
			play(&sim, TICK_MS);
		assert_int_equal(t->state, TASK_RUNNING);
		crash(&sim, t->at);
		play(&sim, RETURN_MS + TICK_MS);
	}
	assert_int_equal(sim.incarnations_ended, 4);
	play(&sim, 60000);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

/* A suspect of two ends shares no upstream with another of its step. */
static void test_suspects_of_several_ends_are_spread(void **state)
{
	struct simulation sim;
	struct job *j;

	(void)state;
	simulation_create(&sim, 4);
	j = add_job(&sim, 3, 1, false, "");
	for (uint32_t i = 0; i < 3; i++) {
		struct task *t = &j->stages[0].tasks[i];

		t->run = 2;
		t->suspicion.early_ends = 2;
	}
	j->state = JOB_RUNNING;
	j->stages[0].since_ms = sim.now_ms - SUSPECT_WAIT_MAX_MS;
	play(&sim, TICK_MS);
	for (uint32_t i = 0; i < 4; i++)
		assert_in_range(upstream(&sim, i)->tasks->len, 0, 1);
	play(&sim, 60000);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

/* Guards against held up suspects of two jobs that share an upstream. */
static void test_held_up_suspects_share_no_upstream(void **state)
{
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 1);
	for (uint32_t i = 0; i < 2; i++) {
		struct job *j = add_job(&sim, 1, 1, false, "");
		struct task *t = &j->stages[0].tasks[0];

		t->run = 2;
		t->suspicion.early_ends = 2;
		j->state = JOB_RUNNING;
		j->stages[0].since_ms = sim.now_ms - 2 * SUSPECT_WAIT_MAX_MS;
	}
	for (uint32_t i = 0; i < SUSPECT_EARLY_MS / TICK_MS - 1; i++) {
		play(&sim, TICK_MS);
		assert_in_range(upstream(&sim, 0)->tasks->len, 0, 1);
	}
	play(&sim, 60000);
	assert_innocent_jobs_are_done(&sim);
	simulation_destroy(&sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_deadly_task_ends_two_incarnations_and_neighbours_end_done),
		cmocka_unit_test(
			test_many_deadly_tasks_end_two_incarnations_each),
		cmocka_unit_test(test_full_site_has_room_for_suspects_in_time),
		cmocka_unit_test(test_suspects_on_a_full_site_run_apart),
		cmocka_unit_test(
			test_suspects_are_started_in_time_without_empty_upstream),
		cmocka_unit_test(test_suspects_leave_upstreams_to_other_work),
		cmocka_unit_test(test_power_cut_of_a_rack_raises_no_suspect),
		cmocka_unit_test(
			test_cut_domain_excuses_no_end_found_by_a_new_leader),
		cmocka_unit_test(
			test_order_to_an_upstream_that_has_restarted_blames_nobody),
		cmocka_unit_test(
			test_order_that_was_not_carried_out_is_not_blamed),
		cmocka_unit_test(test_wave_of_restarts_fails_no_job),
		cmocka_unit_test(test_planned_leave_raises_no_suspect),
		cmocka_unit_test(
			test_answer_of_the_same_incarnation_withdraws_suspicion),
		cmocka_unit_test(test_presumed_ends_fail_a_job_only_once_known),
		cmocka_unit_test(test_flapping_upstream_fails_no_job),
		cmocka_unit_test(test_gang_with_a_deadly_member_is_given_up),
		cmocka_unit_test(
			test_innocent_gang_beside_a_deadly_task_ends_done),
		cmocka_unit_test(
			test_job_of_deadly_tasks_ends_one_incarnation_after_the_first),
		cmocka_unit_test(test_long_running_deadly_task_is_given_up),
		cmocka_unit_test(
			test_late_ends_make_a_suspect_that_then_runs_alone),
		cmocka_unit_test(
			test_gang_outlives_ends_under_different_members),
		cmocka_unit_test(test_suspects_of_several_ends_are_spread),
		cmocka_unit_test(test_held_up_suspects_share_no_upstream),
		cmocka_unit_test(test_suspicion_survives_a_change_of_leader),
		cmocka_unit_test(
			test_successor_counts_incarnations_that_ended_meanwhile),
		cmocka_unit_test(test_rows_without_suspicions_are_read),
		cmocka_unit_test(test_rows_with_malformed_suspicions_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
