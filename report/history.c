/*
 * Replays the records in order of time. Between two records of a job its time
 * has one cause, which follows from the states of its tasks.
 */
#include <stdlib.h>
#include <string.h>

#include "report/speeds.h"
#include "report/history.h"

/* Tasks of a step with a higher index share a state. */
#define TASK_INDEX_MAX 100000

static const char *const cause_names[CAUSES_COUNT] = {
	"submitting",  "unknown",      "resources",  "stops",
	"order",       "running",      "slow",	     "failed",
	"broken",      "stopped",      "lapsed",     "lost",
	"not_started", "not_recorded", "store_away", "no_leader"};

static const char *const outcome_names[OUTCOMES_COUNT] = {
	"in_time", "late", "failed", "open", "cancelled", "refused", "endless"};

/* The cause of time lost by a run that ended so; "done" has none. */
static const struct {
	const char *how;
	enum cause cause;
} end_causes[] = {{"failed", CAUSE_FAILED},
		  {"broken", CAUSE_BROKEN},
		  {"alone", CAUSE_BROKEN},
		  {"stopped", CAUSE_STOPPED},
		  {"lapsed", CAUSE_LAPSED},
		  {"lost", CAUSE_LOST},
		  {"never_started", CAUSE_NOT_STARTED}};

/* Bound of the time that a job's slack allows, about 30,000 years. */
#define SLACK_MAX_MS 1000000000000000

enum task_phase { TASK_WAITS, TASK_ACTIVE, TASK_ENDED };

struct task_state {
	enum task_phase phase;
	int64_t placed_ms;
	GQuark upstream;    /* where its newest run was placed */
	GQuark stopped_why; /* reason of the stop of its active run */
	GQuark stopped_for;
};

/* The tasks of one step of a job. */
struct step_state {
	uint32_t count;
	uint32_t active;
	uint32_t done;
	GArray *tasks; /* struct task_state, by index */
	/* longest run that ended as done, at the speed of a mean upstream */
	int64_t longest_ms;
	int64_t restarted_ms; /* since when a gang's present run is placed */
};

/* A job during the replay. */
struct job_replay {
	struct job_history *history;
	struct step_state *steps;
	uint32_t steps_len;
	int64_t since_ms;   /* up to here the spans are complete */
	enum cause restart; /* cause of the last run that was of no use */
	bool has_restart;
	bool known;
	bool waits_for_stops;
	bool over;
	GQuark state;
};

struct replay {
	const struct record_set *set;
	struct history *out;
	GHashTable *jobs;	 /* quark to struct job_replay */
	GHashTable *slow;	 /* quarks of upstreams that are slow */
	GHashTable *speeds;	 /* see speeds_collect */
	GHashTable *heard_ms;	 /* quark of an instance to its last record */
	GHashTable *lost_tables; /* tables that the leader cannot read */
	GQuark leader;
	int32_t epoch;		     /* of that leader */
	int64_t leaderless_since_ms; /* 0: there is a leader */
	int64_t store_lost_ms;	     /* 0: the store answers */
	GQuark q_done, q_submit, q_stops, q_completed, q_failed, q_cancelled;
};

const char *cause_name(enum cause c)
{
	return cause_names[c];
}

const char *outcome_name(enum outcome o)
{
	return outcome_names[o];
}

/* Report whether the caller of j was not served in time. */
bool job_history_missed(const struct job_history *j)
{
	switch (j->outcome) {
	case OUTCOME_LATE:
	case OUTCOME_FAILED:
	case OUTCOME_OPEN:
	case OUTCOME_REFUSED:
		return true;
	case OUTCOME_IN_TIME:
	case OUTCOME_CANCELLED:
	case OUTCOME_ENDLESS:
	case OUTCOMES_COUNT:
		break;
	}
	return false;
}

static void job_replay_free(void *p)
{
	struct job_replay *j = p;

	for (uint32_t i = 0; i < j->steps_len; i++)
		g_array_unref(j->steps[i].tasks);
	g_free(j->steps);
	g_free(j);
}

static void job_history_free(void *p)
{
	struct job_history *j = p;

	g_array_unref(j->spans);
	g_free(j);
}

/* Return the replay of a job, which begins at now_ms if it is new. */
static struct job_replay *job_replay_of(struct replay *p, GQuark id,
					int64_t now_ms)
{
	gpointer key = GUINT_TO_POINTER(id);
	struct job_replay *j = g_hash_table_lookup(p->jobs, key);
	const struct job_facts *f;

	if (j)
		return j;
	f = record_set_find_job(p->set, id);
	j = g_new0(struct job_replay, 1);
	j->steps_len = f ? f->steps_len : 1;
	j->steps = g_new0(struct step_state, j->steps_len);
	for (uint32_t i = 0; i < j->steps_len; i++) {
		j->steps[i].count = f ? f->counts[i] : 0;
		j->steps[i].tasks =
			g_array_new(FALSE, TRUE, sizeof(struct task_state));
	}
	j->since_ms = now_ms;
	j->history = g_new0(struct job_history, 1);
	j->history->id = id;
	j->history->facts = f;
	j->history->first_ms = now_ms;
	j->history->spans = g_array_new(FALSE, FALSE, sizeof(struct span));
	g_ptr_array_add(p->out->jobs, j->history);
	g_hash_table_insert(p->jobs, key, j);
	return j;
}

/* Return the cause of a job's time from now on. */
static enum cause current_cause(const struct job_replay *j)
{
	uint32_t i;

	if (!j->history->accepted)
		return CAUSE_SUBMITTING;
	if (!j->known)
		return CAUSE_UNKNOWN;
	for (i = 0; i < j->steps_len; i++)
		if (j->steps[i].done < j->steps[i].count)
			break;
	if (i == j->steps_len)
		return CAUSE_NOT_RECORDED;
	if (j->steps[i].active + j->steps[i].done >= j->steps[i].count)
		return CAUSE_RUNNING;
	if (j->has_restart)
		return j->restart;
	return j->waits_for_stops ? CAUSE_STOPS : CAUSE_RESOURCES;
}

/* Append a span that ends at to_ms, joined with the last one if equal. */
static void append_span(struct job_replay *j, int64_t to_ms, enum cause c)
{
	GArray *a = j->history->spans;
	struct span s = {j->since_ms, to_ms, c};

	if (to_ms <= j->since_ms)
		return;
	j->since_ms = to_ms;
	if (a->len && g_array_index(a, struct span, a->len - 1).cause == c)
		g_array_index(a, struct span, a->len - 1).to_ms = to_ms;
	else
		g_array_append_val(a, s);
}

/* Account for the time of j up to now_ms. */
static void advance(struct job_replay *j, int64_t now_ms)
{
	if (!j->over)
		append_span(j, now_ms, current_cause(j));
}

/*
 * Change the cause of the spans of j from from_ms on: those that are running
 * or on order become `to`.
 */
static void reassign(struct job_replay *j, int64_t from_ms, int64_t until_ms,
		     enum cause to)
{
	GArray *a = j->history->spans;

	for (guint i = 0; i < a->len; i++) {
		struct span *s = &g_array_index(a, struct span, i);
		struct span rest = *s;

		if ((s->cause != CAUSE_RUNNING && s->cause != CAUSE_ORDER) ||
		    s->to_ms <= from_ms || s->from_ms >= until_ms)
			continue;
		if (s->from_ms < from_ms) {
			s->to_ms = from_ms;
			rest.from_ms = from_ms;
			g_array_insert_val(a, i + 1, rest);
			continue;
		}
		if (s->to_ms > until_ms) {
			rest.from_ms = until_ms;
			s->to_ms = until_ms;
			s->cause = to;
			g_array_insert_val(a, i + 1, rest);
			continue;
		}
		s->cause = to;
	}
}

/* Return the state of the task that r names, and set *step to its step. */
static struct task_state *find_task(struct job_replay *j,
				    const struct record *r,
				    struct step_state **step)
{
	uint32_t index = MIN(r->task, TASK_INDEX_MAX);

	*step = &j->steps[MIN(r->step, j->steps_len - 1)];
	if (index >= (*step)->tasks->len)
		g_array_set_size((*step)->tasks, index + 1);
	return &g_array_index((*step)->tasks, struct task_state, index);
}

static void on_start_decided(struct job_replay *j, const struct record *r)
{
	struct step_state *s;
	struct task_state *t = find_task(j, r, &s);

	if (t->phase == TASK_ENDED)
		return;
	if (t->phase != TASK_ACTIVE)
		s->active++;
	t->phase = TASK_ACTIVE;
	t->placed_ms = r->time_ms;
	t->upstream = r->upstream;
	t->stopped_why = t->stopped_for = 0;
	s->restarted_ms = r->time_ms;
	j->known = true;
	j->history->accepted = true;
	if (s->active + s->done >= s->count) {
		j->has_restart = false;
		j->waits_for_stops = false;
	}
}

/* Return the cause that stands for a run that ended so. */
static enum cause end_cause(GQuark how)
{
	const char *name = g_quark_to_string(how);

	for (size_t i = 0; i < G_N_ELEMENTS(end_causes); i++)
		if (!g_strcmp0(end_causes[i].how, name))
			return end_causes[i].cause;
	return CAUSE_LOST;
}

/* Return the entry of wastes for these keys, added if it is missing. */
static struct waste *waste_for(GArray *wastes, GQuark queue, GQuark cause,
			       GQuark for_queue)
{
	struct waste w = {queue, cause, for_queue, 0, 0, 0};

	for (guint i = 0; i < wastes->len; i++) {
		struct waste *x = &g_array_index(wastes, struct waste, i);

		if (x->queue == queue && x->cause == cause &&
		    x->for_queue == for_queue)
			return x;
	}
	g_array_append_val(wastes, w);
	return &g_array_index(wastes, struct waste, wastes->len - 1);
}

/* Count the work of a run that ended without being done. */
static void add_waste(struct replay *p, const struct job_replay *j,
		      const struct task_state *t, const struct record *r)
{
	const struct job_facts *f = j->history->facts, *other = NULL;
	struct waste *w;

	if (!f)
		return;
	if (t->stopped_for)
		other = record_set_find_job(p->set, t->stopped_for);
	w = waste_for(p->out->wastes, f->queue,
		      t->stopped_why ? t->stopped_why : r->text,
		      other ? other->queue : 0);
	w->runs++;
	w->with_checkpoints += f->checkpoints;
	w->core_seconds += MAX(r->value, 0) / 1000.0 * job_facts_cores(f);
}

/* Complete the tasks of a gang, as one that is done counts for all. */
static void complete_gang(struct step_state *s)
{
	s->active = 0;
	s->done = s->count;
	for (guint i = 0; i < s->tasks->len; i++)
		g_array_index(s->tasks, struct task_state, i).phase =
			TASK_ENDED;
}

/*
 * Return the slowdown of the upstream where a run ended, in a gang that of the
 * slowest member.
 */
static double run_slowdown(const struct replay *p, const struct step_state *s,
			   const struct record *r, bool gang)
{
	double slowest = speeds_slowdown(p->speeds, r->upstream);

	for (guint i = 0; gang && i < s->tasks->len; i++) {
		const struct task_state *t =
			&g_array_index(s->tasks, struct task_state, i);

		if (t->phase == TASK_ACTIVE)
			slowest = MAX(slowest,
				      speeds_slowdown(p->speeds, t->upstream));
	}
	return slowest;
}

static void on_run_done(struct replay *p, struct job_replay *j,
			struct step_state *s, struct task_state *t,
			const struct record *r)
{
	/* an inherited run was placed by an earlier leader */
	int64_t placed = t->phase == TASK_ACTIVE
				 ? MIN(t->placed_ms, r->time_ms - r->value)
				 : r->time_ms - r->value;
	bool gang = j->history->facts && j->history->facts->gang;

	if (r->code > 0)
		reassign(j, placed, placed + r->code, CAUSE_ORDER);
	if (g_hash_table_contains(p->slow, GUINT_TO_POINTER(r->upstream)))
		reassign(j, placed + MAX(r->code, 0), r->time_ms,
			 CAUSE_RUNNING_SLOW);
	s->longest_ms = MAX(s->longest_ms, (r->time_ms - placed) /
						   run_slowdown(p, s, r, gang));
	if (gang) {
		complete_gang(s);
		return;
	}
	if (t->phase == TASK_ACTIVE)
		s->active--;
	t->phase = TASK_ENDED;
	s->done++;
}

static void on_run_ended(struct replay *p, struct job_replay *j,
			 const struct record *r)
{
	struct step_state *s;
	struct task_state *t = find_task(j, r, &s);

	if (t->phase == TASK_ENDED)
		return;
	if (r->text == p->q_done) {
		on_run_done(p, j, s, t, r);
		return;
	}
	add_waste(p, j, t, r);
	/* the first member that ends says why a gang runs again */
	if (!j->has_restart) {
		j->has_restart = true;
		j->restart = end_cause(r->text);
		if (j->history->facts && j->history->facts->gang)
			reassign(j, s->restarted_ms, r->time_ms, j->restart);
	}
	if (t->phase == TASK_ACTIVE)
		s->active--;
	t->phase = TASK_WAITS;
}

/* Return the objective of a job by the runs that completed it. */
static int64_t objective_ms(const struct job_replay *j)
{
	const struct job_facts *f = j->history->facts;
	int64_t chain = 0;

	if (!f)
		return 0;
	for (uint32_t i = 0; i < j->steps_len; i++)
		chain += j->steps[i].longest_ms ? j->steps[i].longest_ms
						: f->estimate_ms;
	return (int64_t)CLAMP(chain * f->slack_factor, 0, SLACK_MAX_MS) +
	       f->target_ms;
}

static void on_job_state(struct replay *p, struct job_replay *j,
			 const struct record *r)
{
	if (j->over)
		return;
	j->state = r->text;
	if (r->text != p->q_completed && r->text != p->q_failed &&
	    r->text != p->q_cancelled)
		return;
	j->over = true;
	j->history->ended_ms = r->time_ms;
}

static void on_submission(struct replay *p, struct job_replay *j,
			  const struct record *r)
{
	if (r->other != p->q_submit)
		return;
	if (r->code >= 200 && r->code < 300)
		j->history->accepted = true;
	j->history->submission_missing = false;
}

/* Return the time at which a record says that a job began to be asked for. */
static int64_t begin_ms(const struct record *r)
{
	switch ((enum event_kind)r->kind) {
	case EVENT_REQUEST_ENDED:
	case EVENT_JOB_KNOWN:
		return r->time_ms - CLAMP(r->value, 0, INT32_MAX);
	default:
		return r->time_ms;
	}
}

/* Apply a record that names a job. */
static void replay_job_record(struct replay *p, const struct record *r)
{
	bool is_new = !g_hash_table_contains(p->jobs, GUINT_TO_POINTER(r->job));
	struct step_state *s;
	struct task_state *t;
	struct job_replay *j;

	if (is_new &&
	    (r->kind == EVENT_REQUEST_ENDED ||
	     r->kind == EVENT_REQUEST_REFUSED) &&
	    r->other != p->q_submit)
		return; /* a question about a job that nobody submitted */
	j = job_replay_of(p, r->job, begin_ms(r));
	if (is_new)
		j->history->submission_missing = true;
	advance(j, r->time_ms);
	switch ((enum event_kind)r->kind) {
	case EVENT_REQUEST_ENDED:
	case EVENT_REQUEST_REFUSED:
		on_submission(p, j, r);
		break;
	case EVENT_JOB_KNOWN:
		j->known = true;
		j->history->accepted = true;
		break;
	case EVENT_STAGE_WAITS:
		j->waits_for_stops = r->text == p->q_stops;
		break;
	case EVENT_START_DECIDED:
		on_start_decided(j, r);
		break;
	case EVENT_STOP_DECIDED:
		t = find_task(j, r, &s);
		t->stopped_why = r->text;
		t->stopped_for = r->other;
		break;
	case EVENT_RUN_ENDED:
		on_run_ended(p, j, r);
		break;
	case EVENT_JOB_STATE:
		on_job_state(p, j, r);
		break;
	default:
		break;
	}
}

static void append_outage(struct replay *p, int64_t from, int64_t to,
			  enum cause c)
{
	struct span s = {from, to, c};

	if (to > from)
		g_array_append_val(p->out->outages, s);
}

/* The leader has changed or answers again: its store outage is over. */
static void end_store_outage(struct replay *p, int64_t now_ms)
{
	if (p->store_lost_ms)
		append_outage(p, p->store_lost_ms, now_ms, CAUSE_STORE_AWAY);
	p->store_lost_ms = 0;
	g_hash_table_remove_all(p->lost_tables);
}

/* Apply a record of the leadership or of the leader's store. */
static void replay_leader_record(struct replay *p, const struct record *r)
{
	int64_t *heard;

	switch ((enum event_kind)r->kind) {
	case EVENT_LEADING:
		if (r->value < p->epoch)
			break; /* it has been overtaken and does not know */
		p->epoch = r->value;
		heard = g_hash_table_lookup(p->heard_ms,
					    GUINT_TO_POINTER(p->leader));
		/* a leader that has gone was last heard before */
		if (!p->leaderless_since_ms && p->leader != r->instance &&
		    heard)
			p->leaderless_since_ms = *heard;
		if (p->leaderless_since_ms)
			append_outage(p, p->leaderless_since_ms, r->time_ms,
				      CAUSE_NO_LEADER);
		p->leaderless_since_ms = 0;
		end_store_outage(p, r->time_ms);
		p->leader = r->instance;
		break;
	case EVENT_LEADERSHIP_LOST:
	case EVENT_STARTED:
		if (r->instance == p->leader && !p->leaderless_since_ms)
			p->leaderless_since_ms = r->time_ms;
		break;
	case EVENT_STORE_LOST:
		if (r->instance != p->leader)
			break;
		g_hash_table_add(p->lost_tables, GUINT_TO_POINTER(r->other));
		if (!p->store_lost_ms)
			p->store_lost_ms = r->time_ms;
		break;
	case EVENT_STORE_REGAINED:
		if (r->instance != p->leader)
			break;
		g_hash_table_remove(p->lost_tables, GUINT_TO_POINTER(r->other));
		if (!g_hash_table_size(p->lost_tables))
			end_store_outage(p, r->time_ms);
		break;
	case EVENT_UPSTREAM_PACE:
		if (r->flag)
			g_hash_table_add(p->slow,
					 GUINT_TO_POINTER(r->upstream));
		else
			g_hash_table_remove(p->slow,
					    GUINT_TO_POINTER(r->upstream));
		break;
	default:
		break;
	}
}

static void note_heard(struct replay *p, const struct record *r)
{
	gpointer key = GUINT_TO_POINTER(r->instance);
	int64_t *t = g_hash_table_lookup(p->heard_ms, key);

	if (!t) {
		t = g_new0(int64_t, 1);
		g_hash_table_insert(p->heard_ms, key, t);
	}
	*t = r->time_ms;
}

/* Report whether a job that waits so is affected by an outage. */
static bool outage_explains(enum cause c)
{
	return c != CAUSE_RUNNING && c != CAUSE_RUNNING_SLOW &&
	       c != CAUSE_STORE_AWAY && c != CAUSE_NO_LEADER;
}

/* Give the parts of the waits of a job that lie in an outage to the outage. */
static void overlay_outage(GArray *spans, const struct span *o)
{
	for (guint i = 0; i < spans->len; i++) {
		struct span s = g_array_index(spans, struct span, i);
		struct span part = {MAX(s.from_ms, o->from_ms),
				    MIN(s.to_ms, o->to_ms), o->cause};

		if (!outage_explains(s.cause) || part.from_ms >= part.to_ms)
			continue;
		g_array_remove_index(spans, i);
		if (s.to_ms > part.to_ms) {
			struct span after = {part.to_ms, s.to_ms, s.cause};

			g_array_insert_val(spans, i, after);
		}
		g_array_insert_val(spans, i, part);
		if (s.from_ms < part.from_ms) {
			struct span before = {s.from_ms, part.from_ms, s.cause};

			g_array_insert_val(spans, i, before);
			i++;
		}
	}
}

static enum outcome decide_outcome(const struct replay *p,
				   const struct job_replay *j)
{
	const struct job_history *h = j->history;

	if (!h->accepted)
		return OUTCOME_REFUSED;
	if (h->facts && h->facts->endless)
		return OUTCOME_ENDLESS;
	if (j->state == p->q_cancelled)
		return OUTCOME_CANCELLED;
	if (j->state == p->q_failed)
		return OUTCOME_FAILED;
	if (j->state != p->q_completed)
		return OUTCOME_OPEN;
	return h->facts && h->ended_ms - h->first_ms > h->objective_ms
		       ? OUTCOME_LATE
		       : OUTCOME_IN_TIME;
}

/* Complete the history of a job. */
static void finish_job(struct replay *p, struct job_replay *j)
{
	struct job_history *h = j->history;

	if (!j->over) {
		/* nobody waits any more for a job that was never accepted */
		if (h->accepted)
			advance(j, p->out->last_ms);
		h->ended_ms = j->since_ms;
	}
	h->objective_ms = objective_ms(j);
	h->outcome = decide_outcome(p, j);
	for (guint i = 0; i < p->out->outages->len; i++)
		overlay_outage(h->spans,
			       &g_array_index(p->out->outages, struct span, i));
	for (guint i = 0; i < h->spans->len; i++) {
		const struct span *s = &g_array_index(h->spans, struct span, i);

		h->by_cause_ms[s->cause] += s->to_ms - s->from_ms;
	}
}

static gint compare_wastes(gconstpointer a, gconstpointer b)
{
	const struct waste *x = a, *y = b;

	return x->core_seconds > y->core_seconds   ? -1
	       : x->core_seconds < y->core_seconds ? 1
						   : 0;
}

static gint compare_jobs(gconstpointer a, gconstpointer b)
{
	const struct job_history *x = *(struct job_history *const *)a,
				 *y = *(struct job_history *const *)b;

	if (x->first_ms != y->first_ms)
		return x->first_ms < y->first_ms ? -1 : 1;
	return strcmp(g_quark_to_string(x->id), g_quark_to_string(y->id));
}

/* Replay all records of s, which are on one time line and sorted. */
struct history *history_create(const struct record_set *s)
{
	struct history *h = g_new0(struct history, 1);
	struct replay p = {
		.set = s,
		.out = h,
		.jobs = g_hash_table_new_full(NULL, NULL, NULL,
					      job_replay_free),
		.slow = g_hash_table_new(NULL, NULL),
		.speeds = speeds_collect(s),
		.heard_ms = g_hash_table_new_full(NULL, NULL, NULL, g_free),
		.lost_tables = g_hash_table_new(NULL, NULL),
		.q_done = g_quark_from_static_string("done"),
		.q_submit = g_quark_from_static_string("submit"),
		.q_stops = g_quark_from_static_string("stops"),
		.q_completed = g_quark_from_static_string("completed"),
		.q_failed = g_quark_from_static_string("failed"),
		.q_cancelled = g_quark_from_static_string("cancelled"),
	};
	GHashTableIter it;
	gpointer j;

	h->jobs = g_ptr_array_new_with_free_func(job_history_free);
	h->outages = g_array_new(FALSE, FALSE, sizeof(struct span));
	h->wastes = g_array_new(FALSE, FALSE, sizeof(struct waste));
	for (guint i = 0; i < s->records->len; i++) {
		const struct record *r =
			&g_array_index(s->records, struct record, i);

		if (!i)
			h->first_ms = r->time_ms;
		h->last_ms = r->time_ms;
		replay_leader_record(&p, r);
		if (r->job)
			replay_job_record(&p, r);
		note_heard(&p, r);
	}
	if (p.leaderless_since_ms)
		append_outage(&p, p.leaderless_since_ms, h->last_ms,
			      CAUSE_NO_LEADER);
	end_store_outage(&p, h->last_ms);
	g_hash_table_iter_init(&it, p.jobs);
	while (g_hash_table_iter_next(&it, NULL, &j))
		finish_job(&p, j);
	g_ptr_array_sort(h->jobs, compare_jobs);
	g_array_sort(h->wastes, compare_wastes);
	g_hash_table_destroy(p.jobs);
	g_hash_table_destroy(p.slow);
	g_hash_table_destroy(p.speeds);
	g_hash_table_destroy(p.heard_ms);
	g_hash_table_destroy(p.lost_tables);
	return h;
}

/* Free h; NULL is allowed. */
void history_destroy(struct history *h)
{
	if (!h)
		return;
	g_ptr_array_free(h->jobs, TRUE);
	g_array_unref(h->outages);
	g_array_unref(h->wastes);
	g_free(h);
}
