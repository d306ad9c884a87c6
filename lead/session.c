/*
 * A session has at most one list call in flight. The upstream holds the
 * call until a run ends, so the leader learns of an end without delay; each
 * call also extends the leases.
 */
#include <string.h>

#include "lead/contact.h"
#include "lead/delivery.h"
#include "lead/departure.h"
#include "lead/domainorders.h"
#include "lead/incarnation.h"
#include "lead/session.h"
#include "lead/leaseclock.h"
#include "lead/loss.h"
#include "lib/address.h"
#include "lib/log.h"
#include "sched/reach.h"

/*
 * Maximum time for which the upstream holds a list call. Leases are
 * extended once per call, so this interval shortens the lease that remains
 * during a network partition.
 */
#define LISTS_WAIT_MAX_MS 600
/*
 * An upstream answers at once while it lists ends that are not
 * acknowledged, so the next call waits for them to be recorded, but at most
 * this long.
 */
#define RECORD_WAIT_MAX_MS 300
/* Timeout of a list call, beyond the time for which it may be held. */
#define ANSWER_TIMEOUT_MS 400
/* Delay before the next list call after a failed one. */
#define LISTS_RETRY_DELAY_MS 120
/* Timeout of an order, after which it is retried. */
#define ORDER_TIMEOUT_MS 250
/*
 * Delay before an order is retried; the longer one applies to an upstream
 * that does not answer list calls either.
 */
#define ORDER_RETRY_DELAY_MS 30
#define ORDER_RETRY_SILENT_DELAY_MS 200
/*
 * The platform removes no entry within this many heartbeat intervals of its
 * last write. It waits for three.
 */
#define ENTRY_TIMEOUT_HEARTBEATS 2
/*
 * Time for which no work is placed on an upstream that did not answer or
 * reported itself unhealthy.
 */
#define AVOID_SILENT_MS 1000

struct session {
	const struct session_env *env;
	struct upstream *upstream;
	struct orders *orders;
	struct sockaddr_in address;
	/* The start time that was listed or recorded with the address. */
	uint64_t address_started_wall_ms;
	struct incarnation incarnation;
	/* Time of the newest answer to any order; 0: none. */
	uint64_t answered_ms;
	/* What calls may carry, and the numbers of ended runs. */
	struct contact contact;
	/*
	 * A call that asks the incarnation to name itself is in flight, sent at
	 * ask_sent_ms; starts wait for it.
	 */
	bool ask_in_flight;
	uint64_t ask_sent_ms;
	struct call_terms ask_terms;
	bool starts_wait;
	/*
	 * A list call is in flight, which was sent at call_sent_ms, in time or
	 * by a process that had been suspended.
	 */
	bool call_in_flight;
	uint64_t call_sent_ms;
	struct call_terms call_terms;
	bool call_sent_late;
	struct lease_clock leases;
	struct departure departure;
	/* Count of list calls that failed in a row. */
	uint32_t failure_count;
	struct timer call_timer;
	/* Runs until orders that were not answered are retried. */
	struct timer order_retry_timer;
};

/*
 * An order in flight. It names its task, as the task may have been freed by
 * the time the answer arrives.
 */
struct order {
	struct session *session;
	uint64_t sent_ms;
	struct call_terms terms;
	char task[TASK_NAME_BYTES];
	uint32_t run;
	bool was_sent; /* an earlier start order of the run was sent */
};

static void request_lists(struct session *k);
static void on_stray_stopped(void *arg, const struct order_answer *a);
static void schedule_order_retry(struct session *k, struct task *t);
static void await_incarnation(struct session *k, struct task *t);
static void give_up_start(struct session *k, struct task *t,
			  enum order_outcome why);

static void on_call_timer(void *arg)
{
	request_lists(arg);
}

/*
 * Report whether this leader may call the upstream at now_ms. A session whose
 * tenure has ended makes no call and schedules none: it is about to be freed.
 */
static bool may_act(const struct session *k, uint64_t now_ms)
{
	return tenure_allows(k->env->tenure, now_ms);
}

/*
 * Report whether the start of t, which waits for a retry, is to be settled by a
 * stop: a suspect whose order was not answered may have ended its upstream, and
 * would end the next incarnation as well.
 */
static bool must_not_start_again(const struct task *t)
{
	return t->state == TASK_PLACED && t->uncertain && task_is_suspect(t);
}

/* Report whether an entry names a later start that is not confirmed. */
static bool restart_is_listed(const struct session *k)
{
	return k->address_started_wall_ms > k->upstream->started_wall_ms;
}

/*
 * Report whether the newest run of t was placed on an earlier incarnation than
 * the present one, whose labels and resources may differ.
 */
static bool is_placed_on_earlier_incarnation(const struct task *t)
{
	return t->placed_started_wall_ms != t->at->started_wall_ms;
}

/* Report whether a start may be sent by what is known of the upstreams. */
static bool is_known_well(const struct session *k, const struct task *t)
{
	const struct session_events *ev = &k->env->events;

	return !restart_is_listed(k) &&
	       (!ev->may_start || ev->may_start(k->env->arg, t));
}

/* Report whether the operators allow no start of t on its upstream. */
static bool is_forbidden(const struct session *k, const struct task *t)
{
	const struct session_events *ev = &k->env->events;

	return ev->is_forbidden && ev->is_forbidden(k->env->arg, t);
}

/*
 * Do not send the start of t again. An earlier order may have been carried out
 * or still be, so that it is settled by a stop.
 */
static void withhold_start(struct session *k, struct task *t)
{
	if (t->uncertain) {
		t->state = TASK_STOPPING;
		session_stop_run(k, t);
	} else {
		task_end_run(t, RUN_NEVER_STARTED, NULL, clock_mono_ms());
	}
	k->env->events.model_changed(k->env->arg);
}

static void log_start_of_earlier_incarnation(const struct session *k,
					     const struct task *t)
{
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	counter_add(k->env->counters, "starts_of_earlier_incarnations", NULL,
		    1);
	log_fields(LOG_INFO, "start_withheld", "{s:s,s:s,s:I,s:s,s:I,s:I,s:b}",
		   "job", t->stage->job->id, "task", name, "run",
		   (json_int_t)t->run, "upstream", t->at->id, "placed_on",
		   (json_int_t)t->placed_started_wall_ms, "started",
		   (json_int_t)t->at->started_wall_ms, "uncertain",
		   t->uncertain);
}

/*
 * Send the start of t again, settle it, or wait for the list of upstreams. The
 * upstream may have less room by now, or be about to leave.
 */
static void retry_start(struct session *k, struct task *t)
{
	if (is_forbidden(k, t)) {
		domain_orders_log_withheld(t);
		withhold_start(k, t);
	} else if (is_placed_on_earlier_incarnation(t)) {
		log_start_of_earlier_incarnation(k, t);
		withhold_start(k, t);
	} else if (!delivery_may_send_again(t, clock_mono_ms())) {
		give_up_start(k, t, ORDER_NOT_SENT);
	} else if (t->at->state != UPSTREAM_READY ||
		   upstream_is_overcommitted(t->at)) {
		give_up_start(k, t, ORDER_NO_CAPACITY);
	} else if (is_known_well(k, t)) {
		session_start_run(k, t);
	} else {
		schedule_order_retry(k, t);
	}
}

/* Retry the orders that were not answered. */
static void on_retry_timer(void *arg)
{
	struct session *k = arg;
	GPtrArray *list = upstream_take_retry_tasks(k->upstream);

	k->starts_wait = false;
	for (guint i = 0; i < list->len; i++) {
		struct task *t = g_ptr_array_index(list, i);

		if (must_not_start_again(t))
			t->state = TASK_STOPPING;
		if (t->state == TASK_PLACED)
			retry_start(k, t);
		else if (t->state == TASK_STOPPING && !t->stop_answered_ms)
			session_stop_run(k, t);
	}
	g_ptr_array_free(list, TRUE);
}

static void schedule_order_retry(struct session *k, struct task *t)
{
	t->retry = true;
	if (!timer_running(&k->order_retry_timer))
		timer_start(k->env->loop, &k->order_retry_timer,
			    k->failure_count ? ORDER_RETRY_SILENT_DELAY_MS
					     : ORDER_RETRY_DELAY_MS);
}

/*
 * Return when the last lease in an incarnation of the upstream that begins now
 * has ended, for the runs that it may have started.
 */
static uint64_t first_leases_end_ms(const struct session *k)
{
	const GPtrArray *tasks = k->upstream->tasks;
	uint64_t end_ms;

	if (!tasks->len)
		return 0;
	end_ms = lease_clock_latest_end(k->env->settings->lease_max_ms,
					clock_mono_ms());
	for (guint i = 0; i < tasks->len; i++) {
		const struct task *t = g_ptr_array_index(tasks, i);

		if (t->placed_by_earlier)
			end_ms = MAX(end_ms,
				     k->env->model->earlier_leases_end_ms);
	}
	return end_ms;
}

/*
 * Send the stops again that an earlier incarnation has answered: a run that the
 * present one may have begun does not end by them.
 */
static void repeat_answered_stops(struct session *k)
{
	for (guint i = 0; i < k->upstream->tasks->len; i++) {
		struct task *t = g_ptr_array_index(k->upstream->tasks, i);

		if (t->state != TASK_STOPPING || !t->stop_answered_ms)
			continue;
		t->stop_answered_ms = 0;
		schedule_order_retry(k, t);
	}
}

/* Forget all that holds only for the upstream's previous incarnation. */
static void reset_incarnation(struct session *k)
{
	orders_disconnect(k->orders);
	upstream_clear_refusals(k->upstream);
	k->upstream->cold_until_ms = 0;
	lease_clock_reset(&k->leases, first_leases_end_ms(k));
	k->upstream->synced = false;
	repeat_answered_stops(k);
}

/*
 * Send the orders again whose answers will not arrive: their calls were
 * cancelled, or they were decided before the session began. Starts that an
 * earlier leader has sent are settled by the lists.
 */
static void retry_orders(struct session *k)
{
	for (guint i = 0; i < k->upstream->tasks->len; i++) {
		struct task *t = g_ptr_array_index(k->upstream->tasks, i);

		if (t->state == TASK_PLACED && t->sent && !t->inherited) {
			t->uncertain = true;
			schedule_order_retry(k, t);
		} else if (t->state == TASK_STOPPING && !t->stop_answered_ms) {
			schedule_order_retry(k, t);
		}
	}
}

/* Note the address of the present incarnation, for the rows of its runs. */
static void note_address(struct session *k)
{
	struct upstream *u = k->upstream;

	*u->address = '\0';
	if (k->address_started_wall_ms == u->started_wall_ms)
		address_format(&k->address, u->address, sizeof(u->address));
}

static bool is_same_address(const struct sockaddr_in *a,
			    const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/*
 * Use this address from now on, which was listed or recorded with this start
 * time. If either is new, calls in flight are cancelled: they may belong to a
 * process that has ended.
 */
static void set_address(struct session *k, const struct sockaddr_in *at,
			uint64_t started_wall_ms)
{
	bool same = k->orders && is_same_address(at, &k->address) &&
		    started_wall_ms <= k->address_started_wall_ms;

	k->address_started_wall_ms = started_wall_ms;
	k->address = *at;
	note_address(k);
	if (same)
		return;
	if (k->orders)
		contact_drop_calls(&k->contact);
	orders_destroy(k->orders);
	k->call_in_flight = false;
	k->ask_in_flight = false;
	k->orders = orders_create(k->env->http, k->upstream->id, at);
	retry_orders(k);
}

/*
 * Place no work on the upstream unless its present incarnation is described by
 * an entry of its own.
 */
static void apply_state(struct session *k)
{
	struct upstream *u = k->upstream;

	if (!incarnation_is_described(&k->incarnation, u->started_wall_ms))
		u->state = UPSTREAM_GONE;
	else
		u->state = u->leaving ? UPSTREAM_DRAINING : UPSTREAM_READY;
}

/*
 * Stop the runs that the present incarnation may have begun, although they were
 * placed on an earlier one, and that it does not suit.
 */
static void stop_unsuited_runs(struct session *k)
{
	struct upstream *u = k->upstream;

	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);
		const struct job *j = t->stage->job;

		if (t->state == TASK_STOPPING || !t->sent || t->inherited ||
		    (upstream_has_label(u,
					label_quark(t->stage->step->label)) &&
		     (!j->queue_known || j->service_quark == u->service_quark)))
			continue;
		log_start_of_earlier_incarnation(k, t);
		t->state = TASK_STOPPING;
		schedule_order_retry(k, t);
	}
}

/* Apply the entry that describes the known incarnation, or an earlier one. */
static void apply_entry(struct session *k, const struct upstream_entry *e)
{
	struct upstream *u = k->upstream;
	uint64_t now = clock_mono_ms();

	upstream_describe(u, e->service, e->domain, e->kind, e->rack);
	if (memcmp(&u->resources, &e->resources, sizeof(u->resources)))
		upstream_clear_refusals(u);
	u->leaving = e->draining;
	u->resources = e->resources;
	apply_state(k);
	u->cold_until_ms =
		e->cold_remaining_ms ? now + e->cold_remaining_ms : 0;
	if (e->draining && e->drain_remaining_ms)
		u->leaves_ms = now + e->drain_remaining_ms;
	else if (!e->draining)
		u->leaves_ms = 0;
	model_note_machine(k->env->model, u, e->machine, now);
}

/* Create the session with u at an address; schedule the first list call. */
static struct session *create(const struct session_env *e, struct upstream *u,
			      const struct sockaddr_in *at,
			      uint64_t started_wall_ms)
{
	struct session *k = g_new0(struct session, 1);

	k->env = e;
	k->upstream = u;
	k->departure.entry_timeout_ms =
		(uint64_t)ENTRY_TIMEOUT_HEARTBEATS * e->settings->heartbeat_ms;
	timer_init(&k->call_timer, on_call_timer, k);
	timer_init(&k->order_retry_timer, on_retry_timer, k);
	contact_init(&k->contact, e->epoch);
	if (!u->started_wall_ms)
		u->started_wall_ms = started_wall_ms;
	set_address(k, at, started_wall_ms);
	lease_clock_reset(&k->leases, e->model->earlier_leases_end_ms);
	timer_start(e->loop, &k->call_timer, 0);
	return k;
}

/* Apply an entry that is not outdated, or keep it until the upstream answers. */
static enum entry_use use_entry(struct session *k,
				const struct upstream_entry *e)
{
	enum entry_use use = incarnation_note_entry(
		&k->incarnation, e, k->upstream->started_wall_ms);

	switch (use) {
	case ENTRY_DESCRIBES:
		apply_entry(k, e);
		break;
	case ENTRY_AWAITS_ANSWER:
	case ENTRY_OF_EARLIER_ONE:
	case ENTRY_DENIED:
		break;
	}
	return use;
}

/* Create the session with u, which is listed. */
struct session *session_create(const struct session_env *e, struct upstream *u,
			       const struct upstream_entry *entry)
{
	struct session *k =
		create(e, u, &entry->address, entry->started_wall_ms);

	use_entry(k, entry);
	return k;
}

/*
 * Create the session with u, which is not listed, at the address that an
 * earlier leader recorded for its present incarnation. It gets no work.
 */
struct session *session_create_unlisted(const struct session_env *e,
					struct upstream *u,
					const struct sockaddr_in *at)
{
	return create(e, u, at, u->started_wall_ms);
}

/* Cancel all calls and free k. */
void session_destroy(struct session *k)
{
	if (!k)
		return;
	timer_stop(k->env->loop, &k->call_timer);
	timer_stop(k->env->loop, &k->order_retry_timer);
	orders_destroy(k->orders);
	g_free(k);
}

/* Return what else is known of the upstream when its end is judged. */
static struct loss_facts collect_facts(const struct session *k)
{
	return (struct loss_facts){
		.now_ms = clock_mono_ms(),
		.answered_ms = k->answered_ms,
		.leases_end_ms = k->leases.leases_end_ms,
		.runs_started_wall_ms =
			MAX(k->incarnation.answered_started_wall_ms,
			    k->upstream->recorded_started_wall_ms)};
}

/* Judge the evidence, and apply it to the model. */
static enum loss_outcome settle(struct session *k,
				const struct loss_evidence *e)
{
	struct loss_facts f = collect_facts(k);
	enum loss_outcome o = loss_settle(k->env->model, k->upstream, e, &f);

	if (o == LOSS_ENDED)
		k->env->events.model_changed(k->env->arg);
	return o;
}

/*
 * Note that an entry names a later start than the known one. The upstream gets
 * no work until it has answered. The later incarnation may have granted a lease
 * to a run that the earlier one has never listed.
 */
static void ask_about_restart(struct session *k, uint64_t started_wall_ms)
{
	struct loss_evidence e = {.tag = LOSS_LISTED_ANEW,
				  .at_ms = clock_mono_ms(),
				  .u.listed_anew.started_wall_ms =
					  started_wall_ms};

	settle(k, &e);
	k->upstream->synced = false;
	if (model_may_run_after_restart(k->env->model, k->upstream, e.at_ms))
		lease_clock_extend(&k->leases, first_leases_end_ms(k));
	timer_start(k->env->loop, &k->call_timer, 0);
}

/*
 * Report whether the entry is of an incarnation before the recorded one, which
 * counts unless it is silent.
 */
static bool is_before_recorded(const struct session *k,
			       const struct upstream_entry *entry)
{
	uint64_t recorded = k->upstream->recorded_started_wall_ms;

	return entry->started_wall_ms < recorded && !k->failure_count &&
	       k->address_started_wall_ms == recorded;
}

/*
 * Apply a newer entry of the platform's list of upstreams. One that names a
 * later start is followed, as the upstream may be there, but ends no run.
 */
void session_apply_entry(struct session *k, const struct upstream_entry *entry)
{
	enum upstream_state before = k->upstream->state;
	uint64_t address_started = k->address_started_wall_ms;
	enum entry_use use = is_before_recorded(k, entry) ? ENTRY_OF_EARLIER_ONE
							  : use_entry(k, entry);

	if (use == ENTRY_OF_EARLIER_ONE || use == ENTRY_DENIED) {
		log_fields(LOG_INFO, "entry_outdated", "{s:s,s:I,s:I,s:b}",
			   "upstream", k->upstream->id, "started",
			   (json_int_t)entry->started_wall_ms, "known",
			   (json_int_t)k->upstream->started_wall_ms, "denied",
			   use == ENTRY_DENIED);
		return;
	}
	departure_note_listed(&k->departure);
	set_address(k, &entry->address, entry->started_wall_ms);
	if (use == ENTRY_AWAITS_ANSWER &&
	    entry->started_wall_ms > address_started)
		ask_about_restart(k, entry->started_wall_ms);
	if (k->upstream->state != before)
		log_fields(LOG_INFO, "upstream_state", "{s:s,s:i,s:i}",
			   "upstream", k->upstream->id, "from", (int)before,
			   "to", (int)k->upstream->state);
	session_schedule_call(k);
}

/*
 * Note that an earlier leader recorded this address for the present incarnation
 * of the upstream, which an entry of an earlier one does not name.
 */
void session_note_recorded(struct session *k, const struct sockaddr_in *at)
{
	uint64_t started = k->upstream->started_wall_ms;

	if (k->address_started_wall_ms < started)
		set_address(k, at, started);
}

/* Note that the upstream's entry was last written after this local time. */
void session_note_entry_written(struct session *k, uint64_t after_ms)
{
	departure_note_written(&k->departure, after_ms);
}

/*
 * Note that the platform's list no longer has an entry of the upstream: it was
 * removed, or another writer has left one that is malformed.
 */
void session_note_unlisted(struct session *k, bool removed)
{
	incarnation_note_unlisted(&k->incarnation);
	departure_note_unlisted(&k->departure,
				removed &&
					k->upstream->state == UPSTREAM_DRAINING,
				clock_mono_ms());
	k->upstream->state = UPSTREAM_GONE;
	k->upstream->incarnations_compared = false;
	session_schedule_call(k);
}

/* Note that the write about to be sent covers all ends seen so far. */
void session_note_write_sent(struct session *k)
{
	contact_note_write_sent(&k->contact);
}

/*
 * Note that the write has been committed: the upstream may discard the ends
 * that it covers.
 */
void session_note_write_committed(struct session *k)
{
	if (contact_note_write_committed(&k->contact) && !k->call_in_flight &&
	    !contact_has_unrecorded_ends(&k->contact))
		timer_start(k->env->loop, &k->call_timer, 0);
}

/*
 * Report whether list calls are needed: for runs, for ends that are not
 * acknowledged, to make the upstream obey this leader's epoch, or to learn
 * whether its failure domain is cut off or its machine has restarted.
 */
static bool needs_calls(const struct session *k)
{
	const struct upstream *u = k->upstream;

	return u->tasks->len || u->doubted ||
	       contact_has_unrecorded_ends(&k->contact) ||
	       ((u->superseded_ms || !u->synced ||
		 contact_has_unacknowledged_ends(&k->contact)) &&
		incarnation_is_listed(&k->incarnation));
}

/* Return the terms of a call that is about to be sent. */
static struct call_terms begin_call(struct session *k, enum call_kind kind)
{
	return contact_begin_call(&k->contact, kind,
				  orders_is_connected(k->orders));
}

static void stop_stray_runs(struct session *k, const GArray *strays)
{
	for (guint i = 0; i < strays->len && may_act(k, clock_mono_ms()); i++) {
		const struct stray_run *s =
			&g_array_index(strays, struct stray_run, i);
		struct order *o = g_new0(struct order, 1);

		log_fields(LOG_WARN, "stray_run", "{s:s,s:I,s:s}", "task",
			   s->task, "run", (json_int_t)s->run, "upstream",
			   k->upstream->id);
		o->session = k;
		o->sent_ms = clock_mono_ms();
		o->terms = begin_call(k, CALL_STOP);
		orders_stop(k->orders, s->task, s->run, o->terms.token,
			    ORDER_TIMEOUT_MS, on_stray_stopped, o);
	}
}

/*
 * Note the ends that an answer lists, of which newest is the last. If any were
 * discarded before they were listed, their runs are counted as never started.
 */
static void note_ends(struct session *k, const struct order_answer *a,
		      uint64_t newest)
{
	uint64_t first = a->ended_len ? a->ended[0].number : 0;
	uint64_t unseen = contact_note_ends(&k->contact, first, newest);

	if (!unseen)
		return;
	counter_add(k->env->counters, "ends_unseen", NULL, unseen);
	log_fields(LOG_ERROR, "ends_unseen", "{s:s,s:I,s:I,s:I,s:i}",
		   "upstream", k->upstream->id, "started",
		   (json_int_t)k->upstream->started_wall_ms, "count",
		   (json_int_t)unseen, "next", (json_int_t)first, "refused",
		   (int)a->refused);
}

static void apply_lists(struct session *k, const struct order_answer *a)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	uint64_t now = clock_mono_ms();

	note_ends(k, a,
		  model_apply_lists(k->env->model, k->upstream, a,
				    k->call_sent_ms, now,
				    k->contact.newest_end_seen, strays));
	stop_stray_runs(k, strays);
	g_array_unref(strays);
	if (!k->upstream->synced) {
		k->upstream->synced = true;
		lease_clock_note_token_accepted(
			&k->leases, k->env->settings->lease_max_ms, now);
		log_fields(LOG_INFO, "upstream_commanded", "{s:s,s:I,s:i}",
			   "upstream", k->upstream->id, "epoch",
			   (json_int_t)k->env->epoch, "running",
			   (int)a->running_len);
	}
}

/* Record the upstream's clock, unless it may be that of another incarnation. */
static void note_clock(struct session *k, const struct order_answer *a)
{
	if (a->clock_ms && (a->started_wall_ms || !a->new_connection))
		lease_clock_note_answer(&k->leases, a->clock_ms,
					clock_mono_ms());
}

/* Apply the entry that was kept until its incarnation answered. */
static void apply_kept_entry(struct session *k)
{
	apply_entry(k, &k->incarnation.newest);
	stop_unsuited_runs(k);
}

/*
 * Apply the start time that the upstream names; a is the answer. Returns false
 * if the rest of the answer must be ignored: it is of an earlier incarnation,
 * or lists the runs of a later one for a cursor of an earlier one.
 */
static bool note_started(struct session *k, const struct order_answer *a)
{
	struct loss_evidence e = {
		.tag = LOSS_RESTARTED,
		.at_ms = clock_mono_ms(),
		.u.restarted = {a->started_wall_ms, a->has_lists ? a : NULL}};
	uint64_t started = a->started_wall_ms;
	struct upstream *u = k->upstream;
	bool restarted = started > u->started_wall_ms;
	bool lowered = started < u->started_wall_ms, describes;

	if (started < k->incarnation.answered_started_wall_ms) {
		orders_disconnect(k->orders);
		return false;
	}
	if (k->address_started_wall_ms > started ||
	    u->started_wall_ms > started)
		log_fields(LOG_WARN, "start_denied", "{s:s,s:I,s:I,s:I}",
			   "upstream", u->id, "started", (json_int_t)started,
			   "listed", (json_int_t)k->address_started_wall_ms,
			   "recorded", (json_int_t)u->recorded_started_wall_ms);
	if (restarted)
		settle(k, &e);
	u->started_wall_ms = started;
	describes = incarnation_note_answer(&k->incarnation, started);
	k->address_started_wall_ms = started;
	note_address(k);
	contact_note_incarnation(&k->contact, started);
	if (restarted)
		reset_incarnation(k);
	if (describes)
		apply_kept_entry(k);
	else if (restarted || (lowered && !u->superseded_ms))
		apply_state(k);
	return !restarted || !a->has_lists;
}

/*
 * Handle that another upstream has answered a call that was sent at sent_ms. It
 * gets no work until it is listed again.
 */
static void handle_replaced(struct session *k, uint64_t sent_ms)
{
	struct loss_evidence e = {.tag = LOSS_REPLACED,
				  .at_ms = sent_ms,
				  .u.replaced = {k->address_started_wall_ms}};

	/* it has not answered, so no further lease may be requested */
	lease_clock_note_timeout(&k->leases);
	if (settle(k, &e) == LOSS_ENDED) {
		contact_forget_incarnation(&k->contact);
		reset_incarnation(k);
		incarnation_note_unlisted(&k->incarnation);
	} else {
		k->failure_count++;
	}
	k->upstream->state = UPSTREAM_GONE;
	k->env->events.model_changed(k->env->arg);
}

/*
 * Report whether a call was refused only because a later one of this leader has
 * voided it. It was not carried out, and may be sent again.
 */
static bool was_overtaken(const struct session *k, const struct order_answer *a,
			  const struct call_terms *t)
{
	return a->outcome == ORDER_STALE_EPOCH &&
	       contact_is_overtaken(&k->contact, t);
}

/*
 * Apply what every answer to a call that was sent at sent_ms says about the
 * upstream itself. Returns false if the rest of the answer must be ignored
 * because the upstream refuses the token, was replaced, or lists the runs of
 * another incarnation.
 */
static bool note_sender(struct session *k, const struct order_answer *a,
			uint64_t sent_ms, const struct call_terms *t)
{
	bool refused =
		a->outcome == ORDER_STALE_EPOCH || a->outcome == ORDER_REPLACED;

	/* who has refused is not looked at, so that it is not known */
	if (refused && a->new_connection)
		orders_disconnect(k->orders);
	switch (a->outcome) {
	case ORDER_STALE_EPOCH:
		if (was_overtaken(k, a, t)) {
			counter_add(k->env->counters, "calls_overtaken", NULL,
				    1);
			return false;
		}
		log_fields(LOG_WARN, "epoch_refused", "{s:s,s:I}", "upstream",
			   k->upstream->id, "epoch", (json_int_t)k->env->epoch);
		k->env->events.epoch_refused(k->env->arg);
		return false;
	case ORDER_REPLACED:
		handle_replaced(k, sent_ms);
		return false;
	case ORDER_DONE:
	case ORDER_OLD_RUN:
	case ORDER_LEASE_EXPIRED:
	case ORDER_NO_CAPACITY:
	case ORDER_NO_TICKET:
		if (a->clock_ms)
			k->answered_ms = clock_mono_ms();
		break;
	case ORDER_INVALID:
	case ORDER_UNAVAILABLE:
	case ORDER_NOT_SENT:
	case ORDER_UNKNOWN:
		break;
	}
	if (a->started_wall_ms && !note_started(k, a))
		return false;
	if (a->clock_ms)
		departure_note_answer(&k->departure, clock_mono_ms());
	note_clock(k, a);
	/* lists that name no incarnation may be those of a later one */
	return !a->has_lists || a->started_wall_ms || !a->new_connection;
}

/* Return how a call has ended, for what the next ones may carry. */
static enum call_end judge_end(const struct session *k,
			       const struct order_answer *a,
			       const struct call_terms *t)
{
	switch (a->outcome) {
	case ORDER_UNKNOWN:
		return CALL_UNANSWERED;
	case ORDER_DONE:
		if (a->started_wall_ms
			    ? a->started_wall_ms == k->contact.started_wall_ms
			    : t->connected)
			return CALL_NAMED;
		return CALL_ANSWERED;
	case ORDER_STALE_EPOCH:
	case ORDER_OLD_RUN:
	case ORDER_LEASE_EXPIRED:
	case ORDER_NO_CAPACITY:
	case ORDER_NO_TICKET:
	case ORDER_INVALID:
	case ORDER_UNAVAILABLE:
	case ORDER_REPLACED:
	case ORDER_NOT_SENT:
		return CALL_ANSWERED;
	}
	return CALL_ANSWERED;
}

/*
 * Apply what every answer says about the upstream and about later calls to it.
 * Returns false if the rest of the answer must be ignored.
 */
static bool note_answer(struct session *k, enum call_kind kind,
			const struct order_answer *a, uint64_t sent_ms,
			const struct call_terms *t)
{
	bool usable = note_sender(k, a, sent_ms, t);

	contact_end_call(&k->contact, kind, t, judge_end(k, a, t));
	return usable;
}

/* The stop is sent again if the run is listed again. */
static void on_stray_stopped(void *arg, const struct order_answer *a)
{
	struct order *o = arg;

	note_answer(o->session, CALL_STOP, a, o->sent_ms, &o->terms);
	g_free(o);
}

/* Report whether the present iteration of the event loop began late. */
static bool is_late(const struct session *k)
{
	return loop_wakeup_delay_ms(k->env->loop) > LOSS_LATE_MIN_MS;
}

/* Note that the upstream is silent, which does not say that it has ended. */
static void note_silence(struct session *k, const struct order_answer *a)
{
	uint64_t now = clock_mono_ms();

	reach_record_silence(k->upstream);
	suspect_note_silence(k->upstream, now);
	if (!k->failure_count++)
		log_fields(LOG_WARN, "upstream_silent", "{s:s,s:s,s:I}",
			   "upstream", k->upstream->id, "outcome",
			   order_outcome_name(a->outcome), "leases_end_in_ms",
			   (json_int_t)k->leases.leases_end_ms -
				   (json_int_t)now);
	upstream_avoid_for(k->upstream, AVOID_SILENT_MS, now);
}

/*
 * Handle a failed list call. One for which no connection was left did not ask
 * the upstream; nor did one of a process that was suspended meanwhile.
 */
static void handle_lists_failure(struct session *k,
				 const struct order_answer *a)
{
	struct loss_evidence e = {.tag = LOSS_UNANSWERED,
				  .at_ms = k->call_sent_ms};

	if (a->connections_in_use)
		goto out;
	lease_clock_note_timeout(&k->leases);
	e.u.unanswered.late = k->call_sent_late || is_late(k);
	e.u.unanswered.has_left =
		a->connection_refused &&
		k->address_started_wall_ms == k->upstream->started_wall_ms &&
		departure_is_certain(&k->departure, k->call_sent_ms);
	if (!e.u.unanswered.late)
		note_silence(k, a);
	if (k->upstream->tasks->len)
		settle(k, &e);
out:
	if (needs_calls(k))
		timer_start(k->env->loop, &k->call_timer, LISTS_RETRY_DELAY_MS);
}

/*
 * Note that the upstream itself answers a call that was sent after an entry of
 * a later incarnation of its machine was read: that entry is odd.
 */
static void deny_supersession(struct session *k)
{
	struct upstream *u = k->upstream;

	if (!u->superseded_ms || k->call_sent_ms <= u->superseded_ms)
		return;
	u->superseded_ms = 0;
	apply_state(k);
	log_fields(LOG_WARN, "supersession_denied", "{s:s,s:i}", "upstream",
		   u->id, "tasks", (int)u->tasks->len);
	k->env->events.model_changed(k->env->arg);
}

/*
 * Return the delay of the next list call after the answer a: an end that cannot
 * be acknowledged yet would be answered at once. At an upstream that keeps no
 * connection that also depends on the starts in flight.
 */
static uint32_t next_call_delay_ms(const struct session *k,
				   const struct order_answer *a)
{
	const struct contact *c = &k->contact;

	if (a->refused || contact_has_unrecorded_ends(c))
		return RECORD_WAIT_MAX_MS;
	return contact_keeps_no_connection(c) && !contact_starts_are_settled(c)
		       ? ORDER_RETRY_DELAY_MS
		       : 0;
}

static void on_lists_answer(void *arg, const struct order_answer *a)
{
	struct session *k = arg;
	const struct session_env *env = k->env;
	uint64_t before = k->contact.newest_end_seen;
	bool usable = k->upstream->synced && !k->upstream->doubted;

	k->call_in_flight = false;
	if (a->unconfirmed) {
		contact_end_call(&k->contact, CALL_LISTS, &k->call_terms,
				 CALL_ANSWERED);
		if (needs_calls(k))
			timer_start(env->loop, &k->call_timer,
				    orders_is_connected(k->orders)
					    ? LISTS_RETRY_DELAY_MS
					    : 0);
		return;
	}
	if (!note_answer(k, CALL_LISTS, a, k->call_sent_ms, &k->call_terms)) {
		bool restarted =
			a->has_lists &&
			a->started_wall_ms ==
				k->incarnation.answered_started_wall_ms;

		/* the lists of a new incarnation are asked for at once */
		if ((a->outcome != ORDER_STALE_EPOCH ||
		     was_overtaken(k, a, &k->call_terms)) &&
		    needs_calls(k))
			timer_start(env->loop, &k->call_timer,
				    restarted ? 0 : LISTS_RETRY_DELAY_MS);
		return;
	}
	if (a->outcome != ORDER_DONE || !a->has_lists) {
		handle_lists_failure(k, a);
		return;
	}
	if (k->failure_count) {
		k->env->model->regained_ms = clock_mono_ms();
		log_fields(LOG_INFO, "upstream_answers", "{s:s,s:i}",
			   "upstream", k->upstream->id, "failures",
			   (int)k->failure_count);
	}
	k->failure_count = 0;
	k->upstream->loss_why = NULL;
	reach_record_answer(k->upstream, clock_mono_ms());
	deny_supersession(k);
	apply_lists(k, a);
	if (needs_calls(k))
		timer_start(env->loop, &k->call_timer,
			    next_call_delay_ms(k, a));
	if (k->starts_wait && contact_keeps_no_connection(&k->contact) &&
	    !contact_has_unacknowledged_ends(&k->contact))
		timer_start(env->loop, &k->order_retry_timer, 0);
	if (k->contact.newest_end_seen != before || !usable)
		env->events.model_changed(env->arg);
}

/*
 * Send a list call, which also extends the leases and acknowledges recorded
 * ends, as far as its terms allow. The upstream must not hold the call if its
 * lists were never read, the last call failed, no lease can be requested, ends
 * that it lists are not recorded yet, or starts wait for the answer.
 */
static void request_lists(struct session *k)
{
	uint64_t now = clock_mono_ms();
	struct renewal r = {.wait_ms = LISTS_WAIT_MAX_MS};
	struct call_terms *t = &k->call_terms;

	if (k->call_in_flight || !may_act(k, now))
		return;
	*t = begin_call(k, CALL_LISTS);
	r.token = t->token;
	r.ack_cursor = t->ack_cursor;
	r.open_only = t->connected;
	if (!t->bare)
		r.lease_end_clock_ms = lease_clock_request(
			&k->leases, k->env->settings->lease_ms, now);
	if (!k->upstream->synced || k->failure_count || !r.lease_end_clock_ms ||
	    contact_has_unrecorded_ends(&k->contact) ||
	    (contact_keeps_no_connection(&k->contact) &&
	     contact_has_unacknowledged_ends(&k->contact)))
		r.wait_ms = 0;
	k->call_in_flight = true;
	k->call_sent_ms = now;
	k->call_sent_late = is_late(k);
	counter_add(k->env->counters, "upstream_lists", NULL, 1);
	orders_renew(k->orders, &r, r.wait_ms + ANSWER_TIMEOUT_MS,
		     on_lists_answer, k);
}

/* Schedule a list call unless one is pending or none is needed. */
void session_schedule_call(struct session *k)
{
	if (!k->call_in_flight && !timer_running(&k->call_timer) &&
	    needs_calls(k))
		timer_start(k->env->loop, &k->call_timer, 0);
}

/*
 * Return the task of an order, or NULL if its run is no longer active on
 * this upstream.
 */
static struct task *find_order_task(const struct order *o)
{
	struct task *t = model_find_task(o->session->env->model, o->task);

	if (!t || t->run != o->run || !task_is_active(t) ||
	    t->at != o->session->upstream)
		return NULL;
	return t;
}

static struct order *order_create(struct session *k, const struct task *t)
{
	struct order *o = g_new0(struct order, 1);

	o->session = k;
	o->run = t->run;
	o->sent_ms = clock_mono_ms();
	task_format_name(t, o->task, sizeof(o->task));
	return o;
}

static void report_start_failure(struct session *k, struct task *t,
				 const struct order *o,
				 enum order_outcome outcome)
{
	log_fields(LOG_WARN, "start_failed", "{s:s,s:s,s:I,s:s,s:s,s:b}", "job",
		   t->stage->job->id, "task", o->task, "run",
		   (json_int_t)o->run, "upstream", k->upstream->id, "outcome",
		   order_outcome_name(outcome), "uncertain", t->uncertain);
	k->env->events.model_changed(k->env->arg);
}

/* Place no new work for a while on an upstream that refused an order. */
static void avoid_after_refusal(struct session *k, enum order_outcome outcome)
{
	switch (outcome) {
	case ORDER_NO_CAPACITY:
		upstream_record_full(k->upstream, clock_mono_ms());
		break;
	case ORDER_UNAVAILABLE:
	case ORDER_UNKNOWN:
	case ORDER_NOT_SENT:
		upstream_avoid_for(k->upstream, AVOID_SILENT_MS,
				   clock_mono_ms());
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

static void handle_start_answer(struct session *k, struct task *t,
				const struct order *o,
				enum order_outcome outcome)
{
	uint64_t now = clock_mono_ms();

	switch (delivery_decide(t, outcome, now)) {
	case DELIVERY_NONE:
		break;
	case DELIVERY_CONFIRMED:
		upstream_clear_refusals(k->upstream);
		task_confirm(t, now);
		latency_add(k->env->counters, "start",
			    (now - t->placed_ms) * 1000);
		if (t->state == TASK_STOPPING)
			session_stop_run(k, t);
		break;
	case DELIVERY_RETRY:
		schedule_order_retry(k, t);
		break;
	case DELIVERY_STOP:
		report_start_failure(k, t, o, outcome);
		t->state = TASK_STOPPING;
		avoid_after_refusal(k, outcome);
		session_stop_run(k, t);
		break;
	case DELIVERY_AWAIT_END:
		/* The next lists show how the run ended or lack it. */
		t->state = TASK_STOPPING;
		t->stop_answered_ms = now;
		session_schedule_call(k);
		break;
	case DELIVERY_NOT_STARTED:
		report_start_failure(k, t, o, outcome);
		avoid_after_refusal(k, outcome);
		task_end_run(t, RUN_NEVER_STARTED, NULL, now);
		break;
	case DELIVERY_FAILED:
		report_start_failure(k, t, o, outcome);
		task_end_run(t, RUN_FAILED, NULL, now);
		break;
	}
}

/* End the attempts to start t; the last one had this outcome. */
static void give_up_start(struct session *k, struct task *t,
			  enum order_outcome why)
{
	struct order *o = order_create(k, t);

	handle_start_answer(k, t, o, why);
	g_free(o);
}

/*
 * Retry an order that another upstream has answered, or that a later call has
 * voided, if its run may still be active: the address was that of another
 * incarnation, or the token that of an earlier call.
 */
static void retry_misdirected(const struct order *o,
			      const struct order_answer *a)
{
	struct task *t = find_order_task(o);

	if (t && (a->outcome == ORDER_REPLACED ||
		  was_overtaken(o->session, a, &o->terms)))
		schedule_order_retry(o->session, t);
}

static void on_start_answer(void *arg, const struct order_answer *a)
{
	struct order *o = arg;
	struct session *k = o->session;
	struct task *t = find_order_task(o);

	if (a->unconfirmed) {
		contact_end_call(&k->contact, CALL_START, &o->terms,
				 CALL_ANSWERED);
		if (t) {
			t->sent = o->was_sent;
			await_incarnation(k, t);
		}
		g_free(o);
		return;
	}
	/* the end of the incarnation is judged by what is known of the order */
	if (t)
		delivery_note_outcome(t, a->outcome);
	if (note_answer(k, CALL_START, a, o->sent_ms, &o->terms)) {
		t = find_order_task(o);
		if (t)
			handle_start_answer(k, t, o, a->outcome);
	} else {
		retry_misdirected(o, a);
	}
	/* its connection is open again once this call has returned */
	if (k->starts_wait)
		timer_start(k->env->loop, &k->order_retry_timer, 0);
	g_free(o);
}

/*
 * Note that the upstream has named its incarnation over a connection that starts
 * can use now. Its lists are left to the list calls, whose order is known.
 */
static void on_asked(void *arg, const struct order_answer *a)
{
	struct session *k = arg;

	k->ask_in_flight = false;
	if (!note_answer(k, CALL_ASK, a, k->ask_sent_ms, &k->ask_terms) ||
	    a->outcome != ORDER_DONE ||
	    a->started_wall_ms != k->upstream->started_wall_ms)
		return;
	if (k->starts_wait)
		timer_start(k->env->loop, &k->order_retry_timer, 0);
}

/* Ask the incarnation to name itself. */
static void ask_incarnation(struct session *k)
{
	struct renewal r = {0};

	if (k->ask_in_flight)
		return;
	k->ask_in_flight = true;
	k->ask_sent_ms = clock_mono_ms();
	k->ask_terms = begin_call(k, CALL_ASK);
	r.token = k->ask_terms.token;
	counter_add(k->env->counters, "incarnations_asked", NULL, 1);
	orders_renew(k->orders, &r, ANSWER_TIMEOUT_MS, on_asked, k);
}

/* Let the start of t wait until the incarnation has named itself. */
static void await_incarnation(struct session *k, struct task *t)
{
	schedule_order_retry(k, t);
	k->starts_wait = true;
	ask_incarnation(k);
}

/*
 * Let the start of t wait: until ends are acknowledged at an upstream that keeps
 * no connection, else until the incarnation has named itself.
 */
static void await_turn(struct session *k, struct task *t)
{
	if (!contact_keeps_no_connection(&k->contact)) {
		await_incarnation(k, t);
		return;
	}
	schedule_order_retry(k, t);
	k->starts_wait = true;
	session_schedule_call(k);
}

/*
 * Order the upstream to start the newest run of t, which must be recorded. Does
 * nothing after the end of the tenure.
 */
void session_start_run(struct session *k, struct task *t)
{
	uint64_t now = clock_mono_ms();
	struct start_order s = {
		.run = t->run,
		.payload = t->stage->job->payload,
		.checkpoint = t->checkpoint,
	};
	struct order *o;
	bool connected;

	if (!may_act(k, now))
		return;
	if (restart_is_listed(k) || is_placed_on_earlier_incarnation(t)) {
		schedule_order_retry(k, t);
		return;
	}
	connected = orders_is_connected(k->orders);
	if (contact_start_must_wait(&k->contact, connected)) {
		await_turn(k, t);
		return;
	}
	o = order_create(k, t);
	o->was_sent = t->sent;
	s.task = o->task;
	s.lease_end_clock_ms = lease_clock_request(
		&k->leases, domain_orders_start_lease_ms(k->env->settings),
		now);
	t->sent = true;
	if (!s.lease_end_clock_ms) {
		/* No lease can be requested before the clock is known. */
		handle_start_answer(k, t, o, ORDER_NOT_SENT);
		g_free(o);
		session_schedule_call(k);
		return;
	}
	o->terms = begin_call(k, CALL_START);
	s.token = o->terms.token;
	s.open_only = connected;
	if (!connected)
		counter_add(k->env->counters, "starts_on_new_connections", NULL,
			    1);
	counter_add(k->env->counters, "orders", "kind=\"start\"", 1);
	orders_start(k->orders, &s, ORDER_TIMEOUT_MS, on_start_answer, o);
	session_schedule_call(k);
}

static void on_stop_answer(void *arg, const struct order_answer *a)
{
	struct order *o = arg;
	struct session *k = o->session;
	struct task *t = NULL;

	if (note_answer(k, CALL_STOP, a, o->sent_ms, &o->terms))
		t = find_order_task(o);
	else
		retry_misdirected(o, a);
	if (t && a->outcome == ORDER_DONE) {
		t->stop_answered_ms = clock_mono_ms();
		session_schedule_call(k);
	} else if (t) {
		schedule_order_retry(k, t);
		if (!k->failure_count)
			log_fields(LOG_WARN, "stop_failed", "{s:s,s:s,s:s}",
				   "task", o->task, "upstream", k->upstream->id,
				   "outcome", order_outcome_name(a->outcome));
		session_schedule_call(k);
	}
	g_free(o);
}

/*
 * Order the upstream to stop the newest run of t, or never to start it. Does
 * nothing after the end of the tenure.
 */
void session_stop_run(struct session *k, struct task *t)
{
	struct order *o;

	if (!may_act(k, clock_mono_ms()))
		return;
	o = order_create(k, t);
	counter_add(k->env->counters, "orders", "kind=\"stop\"", 1);
	o->terms = begin_call(k, CALL_STOP);
	orders_stop(k->orders, o->task, o->run, o->terms.token,
		    ORDER_TIMEOUT_MS, on_stop_answer, o);
	session_schedule_call(k);
}
