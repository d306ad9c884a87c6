/*
 * Checks that are forwarded between instances: a domain without an available
 * upstream lets an instance of another domain run them.  Answers are matched
 * by ticket and link; one that arrives after the deadline or over another
 * link is dropped and counted.
 */
#include <string.h>

#include "daemon/link.h"

/* Return the link to a peer that has sent its hello, or NULL. */
static struct link *find_link_by_name(const struct peers *p, const char *name)
{
	for (guint i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (l->hello_received && !strcmp(l->name, name))
			return l;
	}
	return NULL;
}

/* Stop the timer of a forwarded check and free it. */
void forward_free(void *v)
{
	struct forwarded_check *f = v;

	timer_stop(f->peers->env->loop, &f->timer);
	g_free(f);
}

/* Post the result of a forwarded check to the check task; takes answer. */
static void post_check_result(struct peers *p, uint64_t ticket,
			      struct verdict v, const char *upstream,
			      json_t *answer)
{
	struct message m = {.tag = MSG_CHECK_DONE,
			    .from = TASK_PEER,
			    .to = TASK_CHECK,
			    .ticket = ticket};

	m.check_result.verdict = v;
	m.check_result.upstream = g_strdup(upstream);
	m.check_result.answer = answer;
	bus_post(p->env->bus, &m);
}

/* End a forwarded check that gets no answer: it may have run at the peer. */
static void fail_forwarded_check(struct forwarded_check *f, enum reason reason)
{
	struct peers *p = f->peers;
	uint64_t local_ticket = f->local_ticket;

	post_check_result(p, local_ticket, verdict_may_have_run(reason), "",
			  NULL);
	g_hash_table_remove(p->forwarded_checks, &local_ticket);
}

/* End a check whose peer has not answered by the deadline. */
static void on_forward_timeout(void *arg)
{
	fail_forwarded_check(arg, REASON_DEADLINE);
}

/*
 * Create the record of a check forwarded over l. Messages on the link carry
 * ticket, and messages between the tasks of this instance carry local_ticket.
 */
static struct forwarded_check *create_forwarded_check(struct peers *p,
						      struct link *l,
						      uint64_t ticket,
						      uint64_t local_ticket)
{
	struct forwarded_check *f = g_new0(struct forwarded_check, 1);

	f->peers = p;
	f->link = l;
	f->ticket = ticket;
	f->local_ticket = local_ticket;
	timer_init(&f->timer, on_forward_timeout, f);
	return f;
}

/* Return a link to a ready instance of another domain, or NULL. */
static struct link *choose_forwarding_link(const struct peers *p)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->states);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct peer_state *st = v;
		struct link *l;

		if (!st->reachable || !st->ready || st->leaving ||
		    !strcmp(st->domain, p->env->settings->domain))
			continue;
		l = find_link_by_name(p, st->name);
		if (l)
			return l;
	}
	return NULL;
}

/*
 * Forward a check to an instance of another domain.  If there is no such
 * instance or the deadline has passed, the result is that it did not run.
 */
void forward_send_check(struct peers *p, struct message *m)
{
	struct link *l = choose_forwarding_link(p);
	uint64_t now = clock_mono_ms();
	Lacewing__Check c = LACEWING__CHECK__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	struct forwarded_check *f;
	char *text;

	if (!l || m->check.deadline_ms <= now) {
		post_check_result(p, m->ticket,
				  verdict_did_not_run(REASON_NO_UPSTREAM), "",
				  NULL);
		return;
	}
	text = json_dumps(m->check.request, JSON_COMPACT);
	f = create_forwarded_check(p, l, m->ticket, m->ticket);
	g_hash_table_insert(p->forwarded_checks, &f->local_ticket, f);
	c.ticket = m->ticket;
	c.clock = event_clock_advance(p->env->events);
	c.request = text;
	c.budget_ms = m->check.deadline_ms - now;
	timer_start(p->env->loop, &f->timer, c.budget_ms);
	e.body_case = LACEWING__ENVELOPE__BODY_CHECK;
	e.check = &c;
	frame_send(l->conn, &e);
	free(text);
	counter_add(p->env->counters, "checks_passed_on", NULL, 1);
}

/*
 * Accept a check that a peer has forwarded.  A request that is not valid JSON
 * is ignored, and the peer's own timeout ends it.
 */
void forward_receive_check(struct link *l, const Lacewing__Check *c)
{
	struct peers *p = l->peers;
	struct message m = {.tag = MSG_CHECK,
			    .from = TASK_PEER,
			    .to = TASK_CHECK,
			    .ticket = ++p->last_ticket};
	struct forwarded_check *f;

	event_clock_observe(p->env->events, c->clock);
	m.check.request = json_loads(c->request, 0, NULL);
	m.check.deadline_ms = clock_mono_ms() + c->budget_ms;
	m.check.forwarded = true;
	if (!m.check.request)
		return;
	f = create_forwarded_check(p, l, c->ticket, m.ticket);
	g_hash_table_insert(p->received_checks, &f->local_ticket, f);
	bus_post(p->env->bus, &m);
}

/* Send the result of a check to the peer that forwarded it. */
void forward_send_answer(struct peers *p, const struct message *m)
{
	struct forwarded_check *f =
		g_hash_table_lookup(p->received_checks, &m->ticket);
	Lacewing__CheckAnswer a = LACEWING__CHECK_ANSWER__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	char *text = NULL;

	if (!f)
		return;
	if (!f->link)
		goto out;
	if (m->check_result.answer)
		text = json_dumps(m->check_result.answer, JSON_COMPACT);
	a.ticket = f->ticket;
	a.verdict = m->check_result.verdict.tag;
	a.reason = m->check_result.verdict.reason;
	a.retry_after_ms = m->check_result.verdict.retry_after_ms;
	a.upstream = m->check_result.upstream ? m->check_result.upstream
					      : (char *)"";
	a.answer = text ? text : (char *)"";
	a.clock = event_clock_advance(p->env->events);
	e.body_case = LACEWING__ENVELOPE__BODY_CHECK_ANSWER;
	e.check_answer = &a;
	frame_send(f->link->conn, &e);
out:
	free(text);
	g_hash_table_remove(p->received_checks, &m->ticket);
}

/*
 * Handle a peer's answer to a check that was forwarded to it.  An answer that
 * is late, comes over another link or has an unknown verdict or reason is
 * dropped and counted.
 */
void forward_receive_answer(struct link *l, const Lacewing__CheckAnswer *a)
{
	struct peers *p = l->peers;
	uint64_t ticket = a->ticket;
	struct forwarded_check *f =
		g_hash_table_lookup(p->forwarded_checks, &ticket);
	struct verdict v = {a->verdict, a->reason, a->retry_after_ms};

	event_clock_observe(p->env->events, a->clock);
	if (!f || f->link != l || a->verdict > VERDICT_MAY_HAVE_RUN ||
	    a->reason >= REASON_COUNT) {
		counter_add(p->env->counters, "late_check_answers", NULL, 1);
		return;
	}
	post_check_result(p, ticket, v, a->upstream,
			  *a->answer ? json_loads(a->answer, 0, NULL) : NULL);
	g_hash_table_remove(p->forwarded_checks, &ticket);
}

/*
 * Handle the loss of a link: checks forwarded over it may have run, and the
 * results of those received over it are dropped.
 */
void forward_drop_link(struct peers *p, const struct link *l)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->received_checks);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((struct forwarded_check *)v)->link == l)
			((struct forwarded_check *)v)->link = NULL;
	for (;;) {
		struct forwarded_check *lost = NULL;

		g_hash_table_iter_init(&it, p->forwarded_checks);
		while (!lost && g_hash_table_iter_next(&it, NULL, &v))
			if (((struct forwarded_check *)v)->link == l)
				lost = v;
		if (!lost)
			break;
		fail_forwarded_check(lost, REASON_CUT);
	}
}
