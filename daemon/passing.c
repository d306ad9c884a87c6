/*
 * Checks that one instance runs for another, whose domain has no room.
 * Answers are matched by ticket and link; one that comes late, or over
 * another link, is dropped and counted.
 */
#include <string.h>

#include "daemon/link.h"

static struct link *link_find(const struct peers *p, const char *name)
{
	for (guint i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (l->hello_received && !strcmp(l->name, name))
			return l;
	}
	return NULL;
}

/* Free a check that was passed on, or to us. */
void forward_free(void *v)
{
	struct forwarded_check *f = v;

	timer_stop(f->peers->env->loop, &f->timer);
	g_free(f);
}

static void check_done(struct peers *p, uint64_t ticket, struct verdict v,
		       const char *upstream, json_t *answer)
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

/* End a check that we passed on and that no answer will come for. */
static void sent_lost(struct forwarded_check *f, enum reason why)
{
	struct peers *p = f->peers;
	uint64_t local_ticket = f->local_ticket;

	check_done(p, local_ticket, verdict_may_have_run(why), "", NULL);
	g_hash_table_remove(p->forwarded_checks, &local_ticket);
}

static void sent_timeout(void *arg)
{
	sent_lost(arg, REASON_DEADLINE);
}

static struct forwarded_check *passed_new(struct peers *p, struct link *l,
					  uint64_t ticket,
					  uint64_t local_ticket)
{
	struct forwarded_check *f = g_new0(struct forwarded_check, 1);

	f->peers = p;
	f->link = l;
	f->ticket = ticket;
	f->local_ticket = local_ticket;
	timer_init(&f->timer, sent_timeout, f);
	return f;
}

/* Return a link into another domain that takes checks, or NULL. */
static struct link *link_for_check(const struct peers *p)
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
		l = link_find(p, st->name);
		if (l)
			return l;
	}
	return NULL;
}

/* Pass a check on to an instance of another domain. */
void forward_send_check(struct peers *p, struct message *m)
{
	struct link *l = link_for_check(p);
	uint64_t now = clock_mono_ms();
	Lacewing__Check c = LACEWING__CHECK__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	struct forwarded_check *f;
	char *text;

	if (!l || m->check.deadline_ms <= now) {
		check_done(p, m->ticket,
			   verdict_did_not_run(REASON_NO_UPSTREAM), "", NULL);
		return;
	}
	text = json_dumps(m->check.request, JSON_COMPACT);
	f = passed_new(p, l, m->ticket, m->ticket);
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

/* Take a check that a peer has passed on. */
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
	f = passed_new(p, l, c->ticket, m.ticket);
	g_hash_table_insert(p->received_checks, &f->local_ticket, f);
	bus_post(p->env->bus, &m);
}

/* Send the answer of a check back to the peer that it came from. */
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

/* Take a peer's answer to a check that was passed on. */
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
	check_done(p, ticket, v, a->upstream,
		   *a->answer ? json_loads(a->answer, 0, NULL) : NULL);
	g_hash_table_remove(p->forwarded_checks, &ticket);
}

/* The link l has gone: no answer can come or go over it. */
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
		sent_lost(lost, REASON_CUT);
	}
}
