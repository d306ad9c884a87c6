/*
 * Plays random sites whose upstreams fail, slow down, shrink, refuse and crash,
 * and checks that once these are sound again no ready stage waits for long on a
 * service that is mostly free.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lead/model.h"
#include "sched/reach.h"

/* Seeds 1 to this are played; STARVE_SITES sets another number. */
#define SITE_COUNT 300
#define TICK_MS 100
/* Upstreams and work are disturbed for this time, and then watched. */
#define DISTURBED_MS 7000
#define CALM_AFTER_MS 4000
#define WATCHED_MS 12000
#define RETURN_MS 2500 /* from a crash until a new upstream answers */
#define FAILURE_MS 200 /* from a start until its failure */
#define STOP_MS 900
/* A ready stage must start within this time. */
#define WAIT_MAX_MS 3000
/* That of a step that lasts, after its last run. */
#define LONG_RUNNING_WAIT_MAX_MS 6000

/* What is wrong with an upstream for a while. */
enum trouble {
	TROUBLE_NONE,
	TROUBLE_FAILS,	 /* its runs fail */
	TROUBLE_SLOW,	 /* its runs go on at a tenth of their pace */
	TROUBLE_SHRINKS, /* it lists less than is in use */
	TROUBLE_REFUSES, /* it refuses starts for lack of room */
	TROUBLE_CRASHES,
};

struct machine {
	struct upstream *upstream;
	enum trouble trouble;
	uint64_t trouble_ends_ms;
	uint64_t back_ms; /* when it is back after a crash; 0: it is up */
};

struct site {
	GRand *rand;
	struct model *model;
	GArray *machines;
	GHashTable *stop_ends; /* task to the time at which its stop ends */
	GHashTable *held;      /* task to the time for which it was held up */
	struct account_guarantee guarantee;
	uint64_t now_ms;
	uint32_t jobs;
	uint32_t upstreams; /* ever added */
	uint32_t checks;    /* stages that had room and waited */
	uint32_t longest_wait_ms;
	const struct stage *longest_waiting;
};

static const struct resources sound = {32000, 65536, 8};

static int random_in_range(struct site *s, int from, int to)
{
	return g_rand_int_range(s->rand, from, to + 1);
}

static bool is_one_in(struct site *s, int n)
{
	return !random_in_range(s, 0, n - 1);
}

static struct upstream *add_upstream(struct site *s, uint32_t host,
				     const char *service, const char *kind)
{
	char id[16], rack[16], name[16];
	struct upstream *u;

	snprintf(id, sizeof(id), "u%u", s->upstreams++);
	snprintf(rack, sizeof(rack), "r%u", host / 4);
	snprintf(name, sizeof(name), "h%u", host);
	u = fleet_add_upstream(s->model->fleet, id);
	upstream_describe(u, service, "d", kind, rack);
	u->host_quark = g_quark_from_string(name);
	u->resources = sound;
	u->started_wall_ms = s->now_ms;
	u->heard_ms = s->now_ms;
	u->synced = true;
	return u;
}

static void site_create_random(struct site *s, uint32_t seed)
{
	int n;

	*s = (struct site){.rand = g_rand_new_with_seed(seed),
			   .model = model_create(),
			   .stop_ends = g_hash_table_new(NULL, NULL),
			   .held = g_hash_table_new(NULL, NULL),
			   .now_ms = 1000000};
	s->machines = g_array_new(FALSE, TRUE, sizeof(struct machine));
	n = random_in_range(s, 4, 24);
	s->guarantee = (struct account_guarantee){"account0",
						  random_in_range(s, 0, 60)};
	for (int i = 0; i < n; i++) {
		struct machine m = {.trouble = TROUBLE_NONE};
		const char *service = is_one_in(s, 4) ? "other" : "s";
		const char *kind = is_one_in(s, 3) ? "b" : "a";

		m.upstream = add_upstream(s, i, service, kind);
		g_array_append_val(s->machines, m);
	}
}

static void site_destroy(struct site *s)
{
	g_array_unref(s->machines);
	g_hash_table_destroy(s->stop_ends);
	g_hash_table_destroy(s->held);
	model_destroy(s->model);
	g_rand_free(s->rand);
}

static void choose_placement(struct site *s, struct step *step)
{
	static const char *const places[] = {"a", "b", "r0", "r1"};

	if (is_one_in(s, 3)) {
		text_set(&step->label, places[random_in_range(s, 0, 3)]);
	}
	if (is_one_in(s, 5)) {
		text_set(&step->data_rack, "r1");
	}
	if (is_one_in(s, 5))
		step->max_tasks_per_upstream = random_in_range(s, 1, 3);
}

static void add_step(struct site *s, struct job *j)
{
	struct step *step = job_add_step(j);

	step->count = random_in_range(s, 1, 6);
	step->need.cpu_milli = random_in_range(s, 1, 8) * 1000;
	step->need.memory_mb = random_in_range(s, 1, 8) * 1000;
	step->need.accelerators =
		is_one_in(s, 3) ? 8 : random_in_range(s, 0, 4);
	step->estimate_ms = random_in_range(s, 200, 4000);
	if (is_one_in(s, 8))
		step->estimate_ms = 60000;
	step->gang = is_one_in(s, 2);
	step->rack_sensitive = is_one_in(s, 2);
	step->checkpoints = is_one_in(s, 2);
	if (!step->gang && is_one_in(s, 6)) {
		step->long_running = true;
		step->count = 2;
		step->need.accelerators = 1;
		step->max_unavailable = random_in_range(s, 0, 1);
	}
	choose_placement(s, step);
	if (j->steps_len > 1) {
		step->after = g_new0(uint32_t, 1);
		step->after_len = 1;
	}
}

/*
 * Add a random job. All runs of a "fail" job fail, and those of a "deadly" one
 * crash their upstreams.
 */
static void add_job(struct site *s)
{
	static const char *const payloads[] = {"fail", "fail", "deadly"};
	char id[JOB_ID_BYTES];
	struct job *j;

	snprintf(id, sizeof(id), "%016x", ++s->jobs);
	j = job_create(id);
	text_set_format(&j->account, "account%d", random_in_range(s, 0, 1));
	job_set_service(j, is_one_in(s, 6) ? "other" : "s");
	j->payload = g_strdup(
		is_one_in(s, 3) ? payloads[random_in_range(s, 0, 2)] : "sound");
	j->queue_known = true;
	j->priority = random_in_range(s, 0, 2);
	text_set_format(&j->queue, "q%u", j->priority);
	j->max_attempts = random_in_range(s, 2, 4);
	j->slack_factor = 2;
	j->target_ms = 1000;
	j->since_ms = s->now_ms;
	add_step(s, j);
	if (is_one_in(s, 4) && !j->steps[0].long_running)
		add_step(s, j);
	job_create_stages(j);
	model_add_job(s->model, j);
}

static bool has_payload(const struct task *t, const char *payload)
{
	return !strcmp(t->stage->job->payload, payload);
}

static struct machine *machine_of(struct site *s, const struct upstream *u)
{
	for (guint i = 0; i < s->machines->len; i++) {
		struct machine *m =
			&g_array_index(s->machines, struct machine, i);

		if (m->upstream == u)
			return m;
	}
	return NULL;
}

static void crash(struct site *s, struct machine *m)
{
	if (m->back_ms)
		return;
	reach_record_silence(m->upstream);
	suspect_note_silence(m->upstream, s->now_ms);
	upstream_avoid_for(m->upstream, RETURN_MS, s->now_ms);
	m->back_ms = s->now_ms + RETURN_MS;
}

/* Let another upstream answer in the place of the one that has crashed. */
static void return_crashed(struct site *s, struct machine *m)
{
	struct upstream *u = m->upstream;

	model_lose_upstream(s->model, u, s->now_ms, INCARNATION_ENDED,
			    "replaced");
	u->state = UPSTREAM_GONE;
	m->upstream = add_upstream(
		s, (uint32_t)atoi(g_quark_to_string(u->host_quark) + 1),
		u->service, u->kind);
	m->back_ms = 0;
}

static void begin_trouble(struct site *s, struct machine *m,
			  enum trouble trouble)
{
	m->trouble = trouble;
	m->trouble_ends_ms = s->now_ms + random_in_range(s, 500, 3000);
	if (trouble == TROUBLE_SHRINKS)
		m->upstream->resources = (struct resources){4000, 8000, 1};
	if (trouble == TROUBLE_CRASHES)
		crash(s, m);
}

static void end_trouble(struct machine *m)
{
	m->trouble = TROUBLE_NONE;
	m->upstream->resources = sound;
}

/* Return when the run of t ends on m. */
static uint64_t run_ends_ms(const struct machine *m, const struct task *t)
{
	uint64_t pace = m->trouble == TROUBLE_SLOW ? 10 : 1;

	if (has_payload(t, "fail") || m->trouble == TROUBLE_FAILS)
		return t->placed_ms + FAILURE_MS;
	if (t->stage->step->long_running)
		return UINT64_MAX;
	return t->placed_ms + pace * t->stage->step->estimate_ms;
}

/* Say how the run of t has ended on m; false if it goes on. */
static bool find_end(struct site *s, const struct machine *m, struct task *t,
		     enum run_end *how)
{
	uint64_t stop_ends_ms =
		GPOINTER_TO_SIZE(g_hash_table_lookup(s->stop_ends, t));

	if (t->state == TASK_STOPPING) {
		*how = RUN_STOPPED;
		return s->now_ms >= stop_ends_ms;
	}
	*how = has_payload(t, "fail") || m->trouble == TROUBLE_FAILS
		       ? RUN_FAILED
		       : RUN_DONE;
	return s->now_ms >= run_ends_ms(m, t);
}

/* Return the progress of t on m in percent. */
static uint32_t progress_of(const struct site *s, const struct machine *m,
			    const struct task *t)
{
	uint64_t ends_ms = run_ends_ms(m, t);

	if (ends_ms == UINT64_MAX || ends_ms <= t->placed_ms)
		return 0;
	return MIN(99,
		   100 * (s->now_ms - t->placed_ms) / (ends_ms - t->placed_ms));
}

/* Let m list its runs. */
static void answer_lists(struct site *s, struct machine *m)
{
	struct upstream *u = m->upstream;
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct run_report *running = g_new0(struct run_report, u->tasks->len);
	struct run_end_report *ended =
		g_new0(struct run_end_report, u->tasks->len);
	char(*names)[TASK_NAME_BYTES] =
		g_malloc0_n(u->tasks->len + 1, TASK_NAME_BYTES);
	struct order_answer a = {.outcome = ORDER_DONE,
				 .has_lists = true,
				 .clock_ms = s->now_ms,
				 .running = running,
				 .ended = ended};

	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);
		enum run_end how;

		task_format_name(t, names[i], TASK_NAME_BYTES);
		if (find_end(s, m, t, &how))
			ended[a.ended_len++] = (struct run_end_report){
				.number = a.ended_len + 1,
				.task = names[i],
				.run = t->run,
				.end_reason = how,
				.checkpoint = ""};
		else
			running[a.running_len++] = (struct run_report){
				.task = names[i],
				.run = t->run,
				.percent = progress_of(s, m, t),
				.checkpoint = ""};
	}
	reach_record_answer(u, s->now_ms);
	model_apply_lists(s->model, u, &a, s->now_ms, s->now_ms, 0, strays);
	g_array_unref(strays);
	g_free(running);
	g_free(ended);
	g_free(names);
}

static void carry_out_start(struct site *s, struct task *t)
{
	struct machine *m = machine_of(s, t->at);

	t->sent = true;
	if (m->trouble == TROUBLE_REFUSES) {
		upstream_record_full(t->at, s->now_ms);
		task_end_run(t, RUN_NEVER_STARTED, NULL, s->now_ms);
		return;
	}
	upstream_clear_refusals(t->at);
	task_confirm(t, s->now_ms);
	if (has_payload(t, "deadly"))
		crash(s, m);
}

static void run_pass(struct site *s)
{
	struct dispatch_input v = {.jobs = s->model->job_list,
				   .fleet = s->model->fleet,
				   .guarantees = &s->guarantee,
				   .guarantees_len = 1,
				   .now_ms = s->now_ms,
				   .estimator = s->model->estimator,
				   .checkpoint_ms = 2000,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = 3400,
				   .lease_ms = 6000};
	GArray *actions = dispatch(&v);

	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		switch (a->tag) {
		case ACTION_START:
			carry_out_start(s, a->task);
			break;
		case ACTION_STOP:
			g_hash_table_insert(s->stop_ends, a->task,
					    GSIZE_TO_POINTER(s->now_ms + 300));
			break;
		case ACTION_WAIT:
			break;
		}
	}
	g_array_unref(actions);
}

/* Play one tick; upstreams and work are disturbed if asked for. */
static void play_tick(struct site *s, bool disturbed)
{
	if (disturbed && is_one_in(s, 3))
		add_job(s);
	for (guint i = 0; i < s->machines->len; i++) {
		struct machine *m =
			&g_array_index(s->machines, struct machine, i);

		if (m->trouble && s->now_ms >= m->trouble_ends_ms)
			end_trouble(m);
		if (m->back_ms && s->now_ms >= m->back_ms)
			return_crashed(s, m);
		if (disturbed && !m->trouble && is_one_in(s, 50))
			begin_trouble(s, m,
				      random_in_range(s, TROUBLE_FAILS,
						      TROUBLE_CRASHES));
	}
	run_pass(s);
	s->now_ms += TICK_MS;
	for (guint i = 0; i < s->machines->len; i++) {
		struct machine *m =
			&g_array_index(s->machines, struct machine, i);

		if (!m->back_ms)
			answer_lists(s, m);
	}
	model_update_job_states(s->model, s->now_ms);
}

/* Reference rules */

/* Report whether m answers and its upstream may run tasks of st. */
static bool is_sound_for(const struct machine *m, const struct stage *st)
{
	const struct upstream *u = m->upstream;

	return !m->back_ms && u->state == UPSTREAM_READY &&
	       u->service_quark == st->job->service_quark &&
	       (!*st->step->label ||
		upstream_has_label(u, label_quark(st->step->label)));
}

/* Return how many tasks of st fit on u now, of st alone. */
static uint64_t fit_count(const struct upstream *u, const struct stage *st)
{
	uint32_t max = st->step->max_tasks_per_upstream, there = 0;
	struct resources have = u->resources;
	uint64_t n;

	resources_add(&have, &u->used, -1);
	if (!resources_contain(&have, &st->step->need))
		return 0;
	n = resources_fit_count(&have, &st->step->need);
	for (uint32_t i = 0; i < st->step->count; i++)
		there += st->tasks[i].at == u;
	return max ? MIN(n, max - MIN(max, there)) : n;
}

/*
 * Report whether st fits twice over, a gang as a whole and other work with one
 * task, and less than half of its service is in use.
 */
static bool could_run(const struct site *s, const struct stage *st)
{
	uint64_t want = st->step->gang ? st->step->count : 1, fits = 0;
	struct resources used = {0}, all = {0};

	for (guint i = 0; i < s->machines->len; i++) {
		const struct machine *m =
			&g_array_index(s->machines, struct machine, i);
		const struct upstream *u = m->upstream;

		if (is_sound_for(m, st))
			fits += fit_count(u, st);
		if (u->service_quark != st->job->service_quark || m->back_ms)
			continue;
		resources_add(&used, &u->used, 1);
		resources_add(&all, &u->resources, 1);
	}
	return fits >= 2 * want && 2 * used.cpu_milli < all.cpu_milli &&
	       2 * used.accelerators < all.accelerators;
}

/* Count the time for which t, which stands for what waits, is held up. */
static void check_waiting(struct site *s, const struct task *t, bool held_up,
			  uint32_t max_ms)
{
	uint32_t held_ms;

	if (!held_up) {
		g_hash_table_remove(s->held, t);
		return;
	}
	s->checks++;
	held_ms = GPOINTER_TO_UINT(g_hash_table_lookup(s->held, t)) + TICK_MS;
	g_hash_table_insert(s->held, (gpointer)t, GUINT_TO_POINTER(held_ms));
	if (held_ms <= max_ms || held_ms - max_ms <= s->longest_wait_ms)
		return;
	s->longest_wait_ms = held_ms - max_ms;
	s->longest_waiting = t->stage;
}

/*
 * Report whether j may be given up: two upstreams have ended under a task of it
 * that ends them. Such a job is not missed.
 */
static bool may_be_given_up(const struct job *j)
{
	for (uint32_t i = 0; i < j->stages_len; i++) {
		for (uint32_t k = 0; k < j->stages[i].step->count; k++) {
			const struct task *t = &j->stages[i].tasks[k];

			if (has_payload(t, "deadly") &&
			    t->suspicion.early_ends >= 2)
				return true;
		}
	}
	return false;
}

/*
 * Check each task of a step that lasts, and other steps while nothing of their
 * job runs.
 */
static void check_stage(struct site *s, struct stage *st)
{
	bool ready = stage_is_ready(st, 0) && could_run(s, st) &&
		     !may_be_given_up(st->job);

	for (uint32_t i = 0; st->step->long_running && i < st->step->count; i++)
		check_waiting(s, &st->tasks[i],
			      ready && st->tasks[i].state == TASK_WAITING,
			      LONG_RUNNING_WAIT_MAX_MS);
	if (!st->step->long_running)
		check_waiting(s, &st->tasks[0],
			      ready && !job_has_active_tasks(st->job),
			      WAIT_MAX_MS);
}

static void check_all(struct site *s)
{
	for (guint i = 0; i < s->model->job_list->len; i++) {
		struct job *j = g_ptr_array_index(s->model->job_list, i);

		for (uint32_t k = 0; k < j->stages_len; k++)
			check_stage(s, &j->stages[k]);
	}
}

/* Print what waits on the site of this seed. */
static void print_waiting(const struct site *s, uint32_t seed)
{
	const struct stage *st = s->longest_waiting;

	print_error("seed %u: step %u of job %s (%s, priority %u, %u tasks%s) "
		    "waits, %u ms too long: %s\n",
		    seed, st->step_index, st->job->id, st->job->payload,
		    st->job->priority, st->step->count,
		    st->step->gang ? " in a gang" : "", s->longest_wait_ms,
		    wait_reason_name(st->wait_reason));
}

static void ready_stages_start_on_sites_that_are_mostly_free(void **state)
{
	const char *text = getenv("STARVE_SITES");
	uint32_t sites = text ? (uint32_t)atoi(text) : SITE_COUNT;
	uint32_t checks = 0, held_up = 0;

	(void)state;
	assert_true(sites > 0);
	for (uint32_t seed = 1; seed <= sites; seed++) {
		uint64_t calm_ms, watched_ms;
		struct site s;

		site_create_random(&s, seed);
		calm_ms = s.now_ms + DISTURBED_MS;
		watched_ms = calm_ms + CALM_AFTER_MS;
		while (s.now_ms < watched_ms + WATCHED_MS) {
			play_tick(&s, s.now_ms < calm_ms);
			if (s.now_ms >= watched_ms)
				check_all(&s);
		}
		if (s.longest_waiting)
			print_waiting(&s, seed);
		held_up += s.longest_waiting != NULL;
		checks += s.checks;
		site_destroy(&s);
	}
	assert_true(checks > sites);
	assert_int_equal(held_up, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			ready_stages_start_on_sites_that_are_mostly_free),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
