/*
 * A keeper has at most one call for the lists open.  The upstream holds
 * it until something ends, so an end is known at once; the next call
 * extends the leases again.
 */
#include <string.h>

#include "lead/delivery.h"
#include "lead/departure.h"
#include "lead/keeper.h"
#include "lead/leaseclock.h"
#include "lib/log.h"

/* The longest that a call for the lists is held: leases are extended at
 * this interval, so it is taken off what is left of them in a cut. */
#define HOLD_WAIT_MS 600
/* With ends that are not recorded yet an upstream answers at once; wait
 * for the record, but not for longer than this. */
#define RECORD_WAIT_MS 300
/* Time for an answer beyond that. */
#define ANSWER_MS 400
/* Pause before the next call after a failed one. */
#define RETRY_MS 120
/* Time for the answer to an order; it is then sent again. */
#define ORDER_MS 250
/* The lease that comes with a start; the next call for lists extends it. */
#define START_LEASE_MS 3000
/* Pause before an order is sent again, also to an upstream that does not
 * answer calls for its lists either. */
#define ORDER_RETRY_MS 30
#define ORDER_RETRY_SILENT_MS 200
/* Heartbeats of silence for which no entry is removed yet: the platform
 * waits for three, and the last one is up to one interval old. */
#define LAPSE_BEATS 2
/* No new work is placed on an upstream that did not answer, refused for
 * want of room, or called itself unhealthy. */
#define AVOID_SILENT_MS 1000
#define AVOID_FULL_MS 100

struct keeper {
	const struct keeper_env *env;
	struct upstream *upstream;
	struct orders *orders;
	struct sockaddr_in address;
	bool open;	       /* a call for the lists is in flight */
	uint64_t sent_ms;      /* when it was sent */
	uint64_t seen;	       /* newest end that the model knows */
	uint64_t marked;       /* newest end in the write in flight */
	uint64_t acknowledged; /* newest end that the rows know */
	struct lease_clock leases;
	struct departure departure;
	uint32_t failures;
	struct timer timer;
	struct timer retry; /* of orders that were not answered */
};

/* An order in flight, by name: its task may be gone when it returns. */
struct order {
	struct keeper *keeper;
	char task[TASK_NAME_BYTES];
	uint32_t run;
};

static void call_lists(struct keeper *k);

static void on_timer(void *arg)
{
	call_lists(arg);
}

/* Send again the orders that were not answered. */
static void on_retry(void *arg)
{
	struct keeper *k = arg;
	GPtrArray *list = upstream_take_retry_tasks(k->upstream);

	for (guint i = 0; i < list->len; i++) {
		struct task *t = g_ptr_array_index(list, i);

		if (t->state == TASK_PLACED)
			keeper_start(k, t);
		else if (t->state == TASK_STOPPING && !t->stop_answered_ms)
			keeper_stop(k, t);
	}
	g_ptr_array_free(list, TRUE);
}

static void order_again(struct keeper *k, struct task *t)
{
	t->retry = true;
	if (!timer_running(&k->retry))
		timer_start(k->env->loop, &k->retry,
			    k->failures ? ORDER_RETRY_SILENT_MS
					: ORDER_RETRY_MS);
}

static void forget_life(struct keeper *k)
{
	k->seen = 0;
	k->marked = 0;
	k->acknowledged = 0;
	lease_clock_reset(&k->leases, 0);
	k->upstream->synced = false;
}

static void connect_to(struct keeper *k, const struct sockaddr_in *at)
{
	k->address = *at;
	orders_destroy(k->orders);
	k->open = false;
	k->orders = orders_create(k->env->http, k->upstream->id, at);
}

static void apply_entry(struct keeper *k, const struct upstream_entry *e)
{
	struct upstream *u = k->upstream;
	uint64_t now = clock_mono_ms();

	upstream_describe(u, e->service, e->domain, e->kind, e->rack);
	u->resources = e->resources;
	u->state = e->draining ? UPSTREAM_DRAINING : UPSTREAM_READY;
	if (e->draining && e->drain_remaining_ms)
		u->leaves_ms = now + e->drain_remaining_ms;
}

/* Create the keeper of u, which calls for the lists at once. */
struct keeper *keeper_create(const struct keeper_env *e, struct upstream *u,
			     const struct upstream_entry *entry)
{
	struct keeper *k = g_new0(struct keeper, 1);

	k->env = e;
	k->upstream = u;
	k->departure.lapse_ms =
		(uint64_t)LAPSE_BEATS * e->settings->heartbeat_ms;
	timer_init(&k->timer, on_timer, k);
	timer_init(&k->retry, on_retry, k);
	/* what an earlier leader has recorded may be of an earlier life */
	model_meet_life(e->model, u, entry->born_wall_ms, clock_mono_ms());
	connect_to(k, &entry->address);
	apply_entry(k, entry);
	lease_clock_reset(&k->leases, e->earlier_leases_ms);
	timer_start(e->loop, &k->timer, 0);
	return k;
}

/* Drop all calls and free k. */
void keeper_destroy(struct keeper *k)
{
	if (!k)
		return;
	timer_stop(k->env->loop, &k->timer);
	timer_stop(k->env->loop, &k->retry);
	orders_destroy(k->orders);
	g_free(k);
}

/* Take in a life that the upstream shows; true when it is a new one. */
static bool meet_life(struct keeper *k, uint64_t born_wall_ms)
{
	if (!model_meet_life(k->env->model, k->upstream, born_wall_ms,
			     clock_mono_ms()))
		return false;
	forget_life(k);
	k->env->events.changed(k->env->arg);
	return true;
}

/* Take in a newer entry of the platform's list. */
void keeper_entry(struct keeper *k, const struct upstream_entry *entry)
{
	enum upstream_state before = k->upstream->state;

	departure_listed(&k->departure);
	meet_life(k, entry->born_wall_ms);
	if (entry->address.sin_addr.s_addr != k->address.sin_addr.s_addr ||
	    entry->address.sin_port != k->address.sin_port)
		connect_to(k, &entry->address);
	apply_entry(k, entry);
	if (k->upstream->state != before)
		log_fields(LOG_INFO, "upstream_state", "{s:s,s:i,s:i}",
			   "upstream", k->upstream->id, "from", (int)before,
			   "to", (int)k->upstream->state);
	keeper_poke(k);
}

/* The platform's list has no entry of the upstream any more. */
void keeper_unlisted(struct keeper *k)
{
	departure_unlisted(&k->departure,
			   k->upstream->state == UPSTREAM_DRAINING,
			   clock_mono_ms());
	k->upstream->state = UPSTREAM_GONE;
	keeper_poke(k);
}

/* A write that is about to be sent holds all ends seen so far. */
void keeper_mark(struct keeper *k)
{
	k->marked = k->seen;
}

/* That write has taken effect: the ends may be forgotten there. */
void keeper_recorded(struct keeper *k)
{
	if (k->marked <= k->acknowledged)
		return;
	k->acknowledged = k->marked;
	if (!k->open && k->acknowledged == k->seen)
		timer_start(k->env->loop, &k->timer, 0);
}

static bool has_work(const struct keeper *k)
{
	const struct upstream *u = k->upstream;

	return u->tasks->len || k->seen > k->acknowledged ||
	       (!u->synced && u->state != UPSTREAM_GONE);
}

static void stray_answer(void *arg, const struct order_answer *a)
{
	(void)a; /* asked again when it is listed again */
	g_free(arg);
}

static void stop_strays(struct keeper *k, const GArray *strays)
{
	for (guint i = 0; i < strays->len; i++) {
		const struct stray *s = &g_array_index(strays, struct stray, i);
		struct order *o = g_new0(struct order, 1);

		log_fields(LOG_WARN, "stray_run", "{s:s,s:I,s:s}", "task",
			   s->task, "run", (json_int_t)s->run, "upstream",
			   k->upstream->id);
		orders_stop(k->orders, s->task, s->run, k->env->epoch, ORDER_MS,
			    stray_answer, o);
	}
}

static void apply_lists(struct keeper *k, const struct order_answer *a)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray));
	uint64_t now = clock_mono_ms();

	k->seen = model_apply_lists(k->env->model, k->upstream, a, k->sent_ms,
				    now, k->seen, strays);
	stop_strays(k, strays);
	g_array_unref(strays);
	if (!k->upstream->synced) {
		k->upstream->synced = true;
		lease_clock_commanded(&k->leases, k->env->settings->lease_ms,
				      now);
		log_fields(LOG_INFO, "upstream_commanded", "{s:s,s:I,s:i}",
			   "upstream", k->upstream->id, "epoch",
			   (json_int_t)k->env->epoch, "running",
			   (int)a->running_len);
	}
}

static void note_clock(struct keeper *k, const struct order_answer *a)
{
	if (a->clock_ms)
		lease_clock_answer(&k->leases, a->clock_ms, clock_mono_ms());
}

/*
 * Take in what any answer says of the upstream itself.  Returns false
 * when the call's own meaning is void: another life has answered.
 */
static bool note_answer(struct keeper *k, const struct order_answer *a)
{
	switch (a->outcome) {
	case ORDER_STALE_EPOCH:
		log_fields(LOG_WARN, "epoch_refused", "{s:s,s:I}", "upstream",
			   k->upstream->id, "epoch", (json_int_t)k->env->epoch);
		k->env->events.stale(k->env->arg);
		return false;
	case ORDER_REPLACED:
		model_lose_upstream(k->env->model, k->upstream, clock_mono_ms(),
				    "replaced");
		forget_life(k);
		k->upstream->state = UPSTREAM_GONE;
		k->env->events.changed(k->env->arg);
		return false;
	case ORDER_DONE:
	case ORDER_OLD_RUN:
	case ORDER_LEASE_EXPIRED:
	case ORDER_NO_CAPACITY:
	case ORDER_NO_TICKET:
	case ORDER_INVALID:
	case ORDER_UNAVAILABLE:
	case ORDER_NOT_SENT:
	case ORDER_UNKNOWN:
		break;
	}
	if (meet_life(k, a->born_wall_ms))
		return false;
	if (a->born_wall_ms && a->born_wall_ms < k->upstream->born_wall_ms)
		return false; /* an answer of the life before */
	if (a->clock_ms)
		departure_answered(&k->departure, clock_mono_ms());
	note_clock(k, a);
	return true;
}

static void avoid(struct keeper *k, uint32_t ms)
{
	uint64_t until = clock_mono_ms() + ms;

	k->upstream->avoid_until_ms = MAX(k->upstream->avoid_until_ms, until);
}

static void lose(struct keeper *k, const char *why)
{
	model_lose_upstream(k->env->model, k->upstream, clock_mono_ms(), why);
	k->env->events.changed(k->env->arg);
}

/* The lists could not be had: see whether the leases have ended. */
static void lists_failed(struct keeper *k, const struct order_answer *a)
{
	uint64_t now = clock_mono_ms();

	if (!k->failures++)
		log_fields(LOG_WARN, "upstream_silent", "{s:s,s:s,s:I}",
			   "upstream", k->upstream->id, "outcome",
			   order_outcome_name(a->outcome), "leases_end_in_ms",
			   (json_int_t)k->leases.end_ms - (json_int_t)now);
	lease_clock_silent(&k->leases);
	avoid(k, AVOID_SILENT_MS);
	/* a call from before the leases ended says nothing: this process may
	 * have stood still, and the upstream lists how its runs have ended */
	if (k->upstream->tasks->len && a->connection_refused &&
	    departure_certain(&k->departure, k->sent_ms))
		lose(k, "has left");
	else if (k->upstream->tasks->len &&
		 lease_clock_over(&k->leases, k->sent_ms))
		lose(k, "leases ended");
	if (has_work(k))
		timer_start(k->env->loop, &k->timer, RETRY_MS);
}

static void on_lists(void *arg, const struct order_answer *a)
{
	struct keeper *k = arg;
	const struct keeper_env *env = k->env;
	uint64_t before = k->seen;
	bool synced = k->upstream->synced;

	k->open = false;
	if (!note_answer(k, a)) {
		if (a->outcome != ORDER_STALE_EPOCH && has_work(k))
			timer_start(env->loop, &k->timer, RETRY_MS);
		return;
	}
	if (a->outcome != ORDER_DONE || !a->has_lists) {
		lists_failed(k, a);
		return;
	}
	if (k->failures)
		log_fields(LOG_INFO, "upstream_answers", "{s:s,s:i}",
			   "upstream", k->upstream->id, "failures",
			   (int)k->failures);
	k->failures = 0;
	apply_lists(k, a);
	if (has_work(k))
		timer_start(env->loop, &k->timer,
			    k->seen > k->acknowledged ? RECORD_WAIT_MS : 0);
	if (k->seen != before || !synced)
		env->events.changed(env->arg);
}

static void call_lists(struct keeper *k)
{
	uint64_t lease;
	uint32_t wait = HOLD_WAIT_MS;

	if (k->open)
		return;
	lease = lease_clock_ask(&k->leases, k->env->settings->lease_ms,
				clock_mono_ms());
	if (!k->upstream->synced || k->failures || !lease ||
	    k->seen > k->acknowledged)
		wait = 0;
	k->open = true;
	k->sent_ms = clock_mono_ms();
	counter_add(k->env->counters, "upstream_lists", NULL, 1);
	orders_renew(k->orders, lease, k->env->epoch, k->acknowledged, wait,
		     wait + ANSWER_MS, on_lists, k);
}

/* Make sure that the lists are called for as long as there is work. */
void keeper_poke(struct keeper *k)
{
	if (!k->open && !timer_running(&k->timer) && has_work(k))
		timer_start(k->env->loop, &k->timer, 0);
}

/* Return the task of an order if it still has the same run on k. */
static struct task *order_task(const struct order *o)
{
	struct task *t = model_task(o->keeper->env->model, o->task);

	if (!t || t->run != o->run || !task_is_active(t) ||
	    t->at != o->keeper->upstream)
		return NULL;
	return t;
}

static struct order *order_create(struct keeper *k, const struct task *t)
{
	struct order *o = g_new0(struct order, 1);

	o->keeper = k;
	o->run = t->run;
	task_format_name(t, o->task, sizeof(o->task));
	return o;
}

static void start_failed(struct keeper *k, struct task *t,
			 const struct order *o, enum order_outcome outcome)
{
	log_fields(LOG_WARN, "start_failed", "{s:s,s:s,s:I,s:s,s:s,s:b}", "job",
		   t->stage->job->id, "task", o->task, "run",
		   (json_int_t)o->run, "upstream", k->upstream->id, "outcome",
		   order_outcome_name(outcome), "uncertain", t->uncertain);
	k->env->events.changed(k->env->arg);
}

/* An upstream that refuses gets no new work for a while. */
static void avoid_after(struct keeper *k, enum order_outcome outcome)
{
	switch (outcome) {
	case ORDER_NO_CAPACITY:
		avoid(k, AVOID_FULL_MS);
		break;
	case ORDER_UNAVAILABLE:
	case ORDER_UNKNOWN:
	case ORDER_NOT_SENT:
		avoid(k, AVOID_SILENT_MS);
		break;
	case ORDER_DONE:
	case ORDER_STALE_EPOCH:
	case ORDER_OLD_RUN:
	case ORDER_LEASE_EXPIRED:
	case ORDER_NO_TICKET:
	case ORDER_INVALID:
	case ORDER_REPLACED:
		break;
	}
}

static void start_answered(struct keeper *k, struct task *t,
			   const struct order *o, enum order_outcome outcome)
{
	uint64_t now = clock_mono_ms();

	switch (delivery_next(t, outcome, now)) {
	case DELIVERY_NONE:
		break;
	case DELIVERY_CONFIRMED:
		task_confirm(t, now);
		latency_add(k->env->counters, "start",
			    (now - t->placed_ms) * 1000);
		if (t->state == TASK_STOPPING)
			keeper_stop(k, t);
		break;
	case DELIVERY_AGAIN:
		order_again(k, t);
		break;
	case DELIVERY_FORBID:
		start_failed(k, t, o, outcome);
		t->state = TASK_STOPPING;
		avoid_after(k, outcome);
		keeper_stop(k, t);
		break;
	case DELIVERY_SETTLED:
		/* the next lists show its end, or that it never was */
		t->state = TASK_STOPPING;
		t->stop_answered_ms = now;
		keeper_poke(k);
		break;
	case DELIVERY_NEVER:
		start_failed(k, t, o, outcome);
		avoid_after(k, outcome);
		task_end_run(t, RUN_NEVER_STARTED, NULL, now);
		break;
	case DELIVERY_FAILED:
		start_failed(k, t, o, outcome);
		task_end_run(t, RUN_FAILED, NULL, now);
		break;
	}
}

static void on_start(void *arg, const struct order_answer *a)
{
	struct order *o = arg;
	struct keeper *k = o->keeper;
	struct task *t;

	if (note_answer(k, a)) {
		t = order_task(o);
		if (t)
			start_answered(k, t, o, a->outcome);
	}
	g_free(o);
}

/* Order the upstream to start the newest run of t, which is recorded. */
void keeper_start(struct keeper *k, struct task *t)
{
	struct order *o = order_create(k, t);
	struct start_order s = {
		.task = o->task,
		.run = t->run,
		.payload = t->stage->job->payload,
		.checkpoint = t->checkpoint,
		.lease_end_clock_ms = lease_clock_ask(
			&k->leases,
			MIN(START_LEASE_MS, k->env->settings->lease_ms),
			clock_mono_ms()),
		.epoch = k->env->epoch,
	};

	t->sent = true;
	if (!s.lease_end_clock_ms) {
		/* the upstream has to show its clock first */
		start_answered(k, t, o, ORDER_NOT_SENT);
		g_free(o);
		keeper_poke(k);
		return;
	}
	counter_add(k->env->counters, "orders", "kind=\"start\"", 1);
	orders_start(k->orders, &s, ORDER_MS, on_start, o);
	keeper_poke(k);
}

static void on_stop(void *arg, const struct order_answer *a)
{
	struct order *o = arg;
	struct keeper *k = o->keeper;
	struct task *t = NULL;

	if (note_answer(k, a))
		t = order_task(o);
	if (t && a->outcome == ORDER_DONE) {
		t->stop_answered_ms = clock_mono_ms();
		keeper_poke(k);
	} else if (t) {
		order_again(k, t);
		if (!k->failures)
			log_fields(LOG_WARN, "stop_failed", "{s:s,s:s,s:s}",
				   "task", o->task, "upstream", k->upstream->id,
				   "outcome", order_outcome_name(a->outcome));
		keeper_poke(k);
	}
	g_free(o);
}

/* Order the upstream to stop the newest run of t, and never start it. */
void keeper_stop(struct keeper *k, struct task *t)
{
	struct order *o = order_create(k, t);

	counter_add(k->env->counters, "orders", "kind=\"stop\"", 1);
	orders_stop(k->orders, o->task, o->run, k->env->epoch, ORDER_MS,
		    on_stop, o);
	keeper_poke(k);
}
