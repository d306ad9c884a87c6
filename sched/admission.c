/* Admission of new jobs while capacity is short. */
#include <string.h>

#include "sched/admission.h"

/* A late job has value up to this multiple of its objective. */
#define LATE_OBJECTIVE_FACTOR 3
/*
 * Waits are rounded down to this, so that a decision does not change, and is
 * not written, with every job that comes and goes. Clients come back after
 * whole seconds.
 */
#define WAIT_STEP_MS 1000
/*
 * A refused job is to come back after this at least, and no later than this: a
 * longer forecast is worth nothing, as clients and upstreams come and go.
 */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 60000
/*
 * Share of the upstreams that is assumed to remain for a queue below others, so
 * that a burst of urgent work does not make all waits endless.
 */
#define REMAINING_SHARE_MIN 0.2
/* An account may hold this multiple of an equal share before it pays. */
#define SHARE_TOLERANCE 1.25
/* Tasks assumed to fit on one upstream at most. */
#define TASKS_PER_UPSTREAM_MAX 1000

/* The work of an account, in milliseconds of one upstream. */
struct account_work {
	const char *name;
	double work_ms;
};

/* The upstreams of a service and the work for it. */
struct service_load {
	GQuark service;
	struct resources mean; /* of an upstream */
	double upstreams;
};

/* A queue with unfinished work. */
struct queue_load {
	const char *name;
	GQuark service;
	uint32_t priority;
	uint64_t hopeless_ms; /* shortest wait that leaves a job no value */
};

/* Work of one job. */
struct job_load {
	double waiting_ms; /* in milliseconds of one upstream */
	double active;	   /* upstreams that it takes now */
};

static void admission_queue_clear(void *p)
{
	text_clear(&((struct admission_queue *)p)->name);
}

/* Create a decision that refuses nothing. */
struct admission *admission_create(void)
{
	struct admission *a = g_new0(struct admission, 1);

	a->queues = g_array_new(FALSE, FALSE, sizeof(struct admission_queue));
	g_array_set_clear_func(a->queues, admission_queue_clear);
	a->accounts = g_ptr_array_new_with_free_func(g_free);
	return a;
}

/* Free a; NULL is allowed. */
void admission_destroy(struct admission *a)
{
	if (!a)
		return;
	g_array_unref(a->queues);
	g_ptr_array_free(a->accounts, TRUE);
	g_free(a);
}

/* Return the longest chain of submitted run times of j, in milliseconds. */
uint64_t admission_path_ms(const struct job *j)
{
	uint64_t end_ms[JOB_STEPS_MAX], longest_ms = 0;

	for (uint32_t i = 0; i < j->steps_len; i++) {
		const struct step *s = &j->steps[i];

		end_ms[i] = 0;
		for (uint32_t k = 0; k < s->after_len; k++)
			end_ms[i] = MAX(end_ms[i], end_ms[s->after[k]]);
		end_ms[i] += s->estimate_ms;
		longest_ms = MAX(longest_ms, end_ms[i]);
	}
	return longest_ms;
}

/* Return the wait from which a job has no value any more. */
static uint64_t hopeless_wait_ms(uint64_t path_ms, uint64_t objective_ms)
{
	uint64_t end_ms = LATE_OBJECTIVE_FACTOR * objective_ms;

	return end_ms - MIN(path_ms, end_ms);
}

/* Return the load of a service, measured on first use. */
static struct service_load *service_of(GArray *services, const struct fleet *f,
				       GQuark service)
{
	struct service_load s = {.service = service};

	for (guint i = 0; i < services->len; i++)
		if (g_array_index(services, struct service_load, i).service ==
		    service)
			return &g_array_index(services, struct service_load, i);
	for (guint i = 0; i < f->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(f->list, i);

		if (u->service_quark != service || u->state != UPSTREAM_READY ||
		    u->evacuated)
			continue;
		resources_add(&s.mean, &u->resources, 1);
		s.upstreams++;
	}
	if (s.upstreams > 0) {
		s.mean.cpu_milli /= s.upstreams;
		s.mean.memory_mb /= s.upstreams;
		s.mean.accelerators /= s.upstreams;
	}
	g_array_append_val(services, s);
	return &g_array_index(services, struct service_load, services->len - 1);
}

/* Measure the work of j that waits to start, and what runs of it. */
static struct job_load measure_job(const struct admission_input *in,
				   const struct service_load *s, struct job *j)
{
	struct job_load load = {0};

	for (uint32_t i = 0; i < j->stages_len; i++) {
		struct stage *st = &j->stages[i];
		uint32_t fit = resources_fit_count(&s->mean, &st->step->need);
		double share = 1.0 / CLAMP(fit, 1, TASKS_PER_UPSTREAM_MAX);
		uint32_t waiting;

		if (st->step->long_running ||
		    (j->repeat && !stage_is_ready(st, in->wall_ms)))
			continue;
		/* what waits for an upstream that is not there delays nothing */
		waiting = j->cancel_wanted ||
					  st->wait_reason == WAIT_NO_UPSTREAM ||
					  !fit
				  ? 0
				  : stage_waiting_count(st);
		load.waiting_ms +=
			share * waiting *
			estimator_duration_ms(in->estimator, j, st->step_index);
		load.active += share * (st->step->count - waiting - st->done);
	}
	return load;
}

/* Add work of an account. */
static void add_account_work(GArray *accounts, const char *name, double work_ms)
{
	struct account_work a = {name, work_ms};

	for (guint i = 0; i < accounts->len; i++) {
		struct account_work *k =
			&g_array_index(accounts, struct account_work, i);

		if (strcmp(k->name, name))
			continue;
		k->work_ms += work_ms;
		return;
	}
	g_array_append_val(accounts, a);
}

/* Note that the queue of j has unfinished work. */
static void note_queue(GArray *queues, const struct job *j)
{
	uint64_t path_ms = admission_path_ms(j);
	struct queue_load q = {
		j->queue, j->service_quark, j->priority,
		hopeless_wait_ms(path_ms,
				 path_ms * j->slack_factor + j->target_ms)};

	for (guint i = 0; i < queues->len; i++) {
		struct queue_load *k =
			&g_array_index(queues, struct queue_load, i);

		if (strcmp(k->name, q.name))
			continue;
		k->hopeless_ms = MIN(k->hopeless_ms, q.hopeless_ms);
		return;
	}
	g_array_append_val(queues, q);
}

/* Order accounts by their work, the most first. */
static gint compare_work(gconstpointer a, gconstpointer b)
{
	const struct account_work *x = a, *y = b;

	return (x->work_ms < y->work_ms) - (x->work_ms > y->work_ms);
}

/*
 * Return the share of an account, in milliseconds of one upstream: what all may
 * hold so that the sum is `capacity_ms`, if those who need less get what they
 * need.
 */
static double fair_share_ms(GArray *accounts, double capacity_ms)
{
	double left_ms = capacity_ms;

	g_array_sort(accounts, compare_work);
	for (guint i = accounts->len; i-- > 0;) {
		double need_ms =
			g_array_index(accounts, struct account_work, i).work_ms;
		double equal_ms = left_ms / (i + 1);

		if (need_ms > equal_ms)
			return equal_ms;
		left_ms -= need_ms;
	}
	return left_ms;
}

/* The work ahead of a new job of a queue. */
struct queue_wait {
	double waiting_ms; /* at its priority and above */
	double above;	   /* upstreams that run work above its priority */
	GArray *accounts;  /* struct account_work, parts of waiting_ms */
};

/* Measure what is ahead of a new job of q. */
static struct queue_wait measure_queue(const struct admission_input *in,
				       const struct queue_load *q,
				       const struct job_load *loads)
{
	struct queue_wait w = {
		.accounts =
			g_array_new(FALSE, FALSE, sizeof(struct account_work))};

	for (guint i = 0; i < in->jobs->len; i++) {
		const struct job *j = g_ptr_array_index(in->jobs, i);

		if (job_is_final(j) || !j->queue_known ||
		    j->service_quark != q->service)
			continue;
		if (j->priority < q->priority)
			w.above += loads[i].active;
		if (j->priority > q->priority || loads[i].waiting_ms <= 0)
			continue;
		w.waiting_ms += loads[i].waiting_ms;
		add_account_work(w.accounts, j->account, loads[i].waiting_ms);
	}
	return w;
}

/*
 * Return the work of w within the shares of the accounts: what an account holds
 * beyond its share is not ahead of the others.
 */
static double fair_work_ms(const struct queue_wait *w, double share_ms)
{
	double sum_ms = 0;

	for (guint i = 0; i < w->accounts->len; i++)
		sum_ms += MIN(g_array_index(w->accounts, struct account_work, i)
				      .work_ms,
			      share_ms);
	return sum_ms;
}

/* Name the accounts of w that are above their share in the decision. */
static void name_accounts(const struct queue_wait *w, double share_ms,
			  struct admission *a)
{
	for (guint i = 0; i < w->accounts->len; i++) {
		const struct account_work *k =
			&g_array_index(w->accounts, struct account_work, i);

		if (a->accounts->len < ADMISSION_ACCOUNTS_MAX &&
		    k->work_ms > SHARE_TOLERANCE * share_ms &&
		    !g_ptr_array_find_with_equal_func(a->accounts, k->name,
						      g_str_equal, NULL))
			g_ptr_array_add(a->accounts, g_strdup(k->name));
	}
}

/* Return a wait rounded down. */
static uint64_t round_wait_ms(double ms)
{
	return (uint64_t)MIN(ms, 1e9) / WAIT_STEP_MS * WAIT_STEP_MS;
}

/* Add the queue to the decision if some of its new jobs had no value. */
static void decide_queue(const struct admission_input *in,
			 const struct queue_load *q,
			 const struct service_load *s,
			 const struct job_load *loads, struct admission *a)
{
	struct queue_wait w = measure_queue(in, q, loads);
	double speed =
		MAX(s->upstreams - w.above, REMAINING_SHARE_MIN * s->upstreams);
	double share_ms = fair_share_ms(w.accounts, speed * q->hopeless_ms);
	struct admission_queue d = {.wait_ms = 0};

	if (speed <= 0) /* that none is listed says nothing of the load */
		goto out;
	d.wait_ms = round_wait_ms(w.waiting_ms / speed);
	d.fair_wait_ms = round_wait_ms(fair_work_ms(&w, share_ms) / speed);
	if (d.wait_ms <= q->hopeless_ms)
		goto out;
	text_set(&d.name, q->name);
	g_array_append_val(a->queues, d);
	name_accounts(&w, share_ms, a);
out:
	g_array_unref(w.accounts);
}

/*
 * Decide which new jobs are refused at present. A queue is named if a job like
 * the shortest-lived of its unfinished ones would wait until it has no value.
 * Returns a decision to be freed with admission_destroy.
 */
struct admission *admission_decide(const struct admission_input *in)
{
	struct admission *a = admission_create();
	GArray *services =
		g_array_new(FALSE, FALSE, sizeof(struct service_load));
	GArray *queues = g_array_new(FALSE, FALSE, sizeof(struct queue_load));
	struct job_load *loads = g_new0(struct job_load, in->jobs->len + 1);

	for (guint i = 0; i < in->jobs->len; i++) {
		struct job *j = g_ptr_array_index(in->jobs, i);
		struct service_load *s;

		if (job_is_final(j) || !j->queue_known)
			continue;
		s = service_of(services, in->fleet, j->service_quark);
		loads[i] = measure_job(in, s, j);
		if (loads[i].waiting_ms > 0)
			note_queue(queues, j);
	}
	for (guint i = 0; i < queues->len; i++) {
		const struct queue_load *q =
			&g_array_index(queues, struct queue_load, i);

		decide_queue(in, q, service_of(services, in->fleet, q->service),
			     loads, a);
	}
	g_array_unref(services);
	g_array_unref(queues);
	g_free(loads);
	return a;
}

/* Report whether a and b refuse the same jobs. */
bool admission_is_equal(const struct admission *a, const struct admission *b)
{
	if (a->queues->len != b->queues->len ||
	    a->accounts->len != b->accounts->len)
		return false;
	for (guint i = 0; i < a->queues->len; i++) {
		const struct admission_queue *x =
			&g_array_index(a->queues, struct admission_queue, i);
		const struct admission_queue *y =
			&g_array_index(b->queues, struct admission_queue, i);

		if (strcmp(x->name, y->name) || x->wait_ms != y->wait_ms ||
		    x->fair_wait_ms != y->fair_wait_ms)
			return false;
	}
	for (guint i = 0; i < a->accounts->len; i++)
		if (strcmp(g_ptr_array_index(a->accounts, i),
			   g_ptr_array_index(b->accounts, i)))
			return false;
	return true;
}

/*
 * Return 0 if the job of r is admitted. Otherwise it is to be refused, and the
 * result is the time in milliseconds after which it can be expected to start in
 * time.
 */
uint64_t admission_retry_after_ms(const struct admission *a,
				  const struct admission_request *r)
{
	bool above = g_ptr_array_find_with_equal_func(a->accounts, r->account,
						      g_str_equal, NULL);
	uint64_t wait_ms = 0, slack_ms;

	if (r->covered)
		return 0;
	for (guint i = 0; i < a->queues->len; i++) {
		const struct admission_queue *q =
			&g_array_index(a->queues, struct admission_queue, i);

		if (!strcmp(q->name, r->queue))
			wait_ms = above ? q->wait_ms : q->fair_wait_ms;
	}
	if (wait_ms <= hopeless_wait_ms(r->path_ms, r->objective_ms))
		return 0;
	slack_ms = r->objective_ms - MIN(r->path_ms, r->objective_ms);
	return CLAMP(wait_ms - MIN(slack_ms, wait_ms), RETRY_MIN_MS,
		     RETRY_MAX_MS);
}
