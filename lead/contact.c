/*
 * An open connection leads to the process that has answered on it. What belongs
 * to an incarnation goes over such a connection only; over another one goes a
 * bare call, which asks who is there. An upstream that closes its connections
 * leaves no such choice: it gets leases and starts all the same, and numbers of
 * ends while no start can have reached a later incarnation.
 */
#include <glib.h>

#include "lead/contact.h"

/*
 * So many answers in a row after which no connection is open show that the
 * upstream keeps none.
 */
#define UNUSED_ANSWERS_MAX 3

/* Begin with no incarnation known, for a leader of this epoch. */
void contact_init(struct contact *c, uint64_t epoch)
{
	*c = (struct contact){.epoch = epoch, .token = epoch - EPOCH_STEP + 1};
}

/* Void the calls sent so far, unless this leader's tokens are used up. */
static void raise_token(struct contact *c)
{
	c->unsettled = false;
	if (c->token < c->epoch)
		c->token++;
}

/* Report whether the upstream answers and keeps no connection open. */
bool contact_keeps_no_connection(const struct contact *c)
{
	return c->unused_answers >= UNUSED_ANSWERS_MAX;
}

/* Report whether no incarnation after the known one can have taken a start. */
bool contact_starts_are_settled(const struct contact *c)
{
	return !c->blind_starts_in_flight &&
	       c->blind_starts_settled == c->blind_starts;
}

static void count_start(struct contact *c, const struct call_terms *t)
{
	if (t->connected)
		return;
	c->blind_starts++;
	c->blind_starts_in_flight++;
}

/*
 * Return the terms of a call that is about to be sent, and count it as in
 * flight; connected tells whether a connection is open on which the incarnation
 * has named itself. A call over another connection may reach a later one, so it
 * voids the earlier calls that were not answered.
 */
struct call_terms contact_begin_call(struct contact *c, enum call_kind kind,
				     bool connected)
{
	bool blind = !connected && contact_keeps_no_connection(c);
	struct call_terms t = {.connected = connected};

	if (connected)
		c->unused_answers = 0;
	if (!connected && kind != CALL_STOP && c->unsettled)
		raise_token(c);
	t.token = c->token;
	t.settles = c->blind_starts_in_flight ? c->blind_starts_settled
					      : c->blind_starts;
	switch (kind) {
	case CALL_ASK:
		t.bare = t.harmless = true;
		return t;
	case CALL_STOP:
		t.harmless = true;
		return t;
	case CALL_START:
		count_start(c, &t);
		break;
	case CALL_LISTS:
		t.bare = t.harmless = !connected && !blind;
		if (connected || (blind && contact_has_unacknowledged_ends(c) &&
				  contact_starts_are_settled(c)))
			t.ack_cursor = c->newest_end_recorded;
		break;
	}
	if (!t.bare)
		t.started_wall_ms = c->started_wall_ms;
	return t;
}

/*
 * Report whether a start must wait: until the incarnation has named itself over
 * a connection that stays open or, at an upstream that keeps none, while ends
 * are acknowledged.
 */
bool contact_start_must_wait(const struct contact *c, bool connected)
{
	if (connected)
		return false;
	return !contact_keeps_no_connection(c) ||
	       contact_has_unacknowledged_ends(c);
}

/* Report whether a later call of this leader has voided the one with t. */
bool contact_is_overtaken(const struct contact *c, const struct call_terms *t)
{
	return t->token < c->token;
}

/* Apply what an answer that names the known incarnation says of a call. */
static void settle_call(struct contact *c, enum call_kind kind,
			const struct call_terms *t)
{
	if (kind != CALL_LISTS && kind != CALL_ASK)
		return;
	if (!t->connected)
		c->unused_answers++;
	c->blind_starts_settled = MAX(c->blind_starts_settled, t->settles);
	if (t->started_wall_ms == c->started_wall_ms)
		c->newest_end_acknowledged =
			MAX(c->newest_end_acknowledged, t->ack_cursor);
}

/* Note how a call has ended; its incarnation must have been noted before. */
void contact_end_call(struct contact *c, enum call_kind kind,
		      const struct call_terms *t, enum call_end end)
{
	if (kind == CALL_START && !t->connected && c->blind_starts_in_flight)
		c->blind_starts_in_flight--;
	switch (end) {
	case CALL_NAMED:
		settle_call(c, kind, t);
		break;
	case CALL_ANSWERED:
		break;
	case CALL_UNANSWERED:
		c->unused_answers = 0;
		if (!t->harmless && t->token == c->token)
			c->unsettled = true;
		break;
	}
}

/* Note that the calls in flight were given up; they may be carried out. */
void contact_drop_calls(struct contact *c)
{
	c->unsettled = true;
	c->unused_answers = 0;
	c->blind_starts_in_flight = 0;
}

/* Forget what belongs to the known incarnation, and void the calls to it. */
void contact_forget_incarnation(struct contact *c)
{
	raise_token(c);
	c->started_wall_ms = 0;
	c->newest_end_seen = c->newest_end_in_write = 0;
	c->newest_end_recorded = c->newest_end_acknowledged = 0;
	c->ends_are_complete = false;
	c->unused_answers = 0;
}

/*
 * Note that the upstream has named this incarnation. Returns true if another one
 * was known: no other leader has acknowledged an end of the later one.
 */
bool contact_note_incarnation(struct contact *c, uint64_t started_wall_ms)
{
	bool is_later =
		c->started_wall_ms && c->started_wall_ms != started_wall_ms;

	if (is_later) {
		contact_forget_incarnation(c);
		c->ends_are_complete = true;
	}
	c->started_wall_ms = started_wall_ms;
	return is_later;
}

/*
 * Note the lists of the known incarnation: the number of the first end that they
 * hold, 0 if they hold none, and of the newest one that was ever listed. Returns
 * how many ends before the first one were discarded before they were listed.
 */
uint64_t contact_note_ends(struct contact *c, uint64_t first_number,
			   uint64_t newest_number)
{
	uint64_t unseen = 0;

	if (c->ends_are_complete && first_number > c->newest_end_seen + 1)
		unseen = first_number - c->newest_end_seen - 1;
	c->ends_are_complete = true;
	c->newest_end_seen = MAX(c->newest_end_seen, newest_number);
	return unseen;
}

/* Note that the write about to be sent covers all ends seen so far. */
void contact_note_write_sent(struct contact *c)
{
	c->newest_end_in_write = c->newest_end_seen;
}

/*
 * Note that the write has been committed: the upstream may discard the ends that
 * it covers. Returns whether there are any.
 */
bool contact_note_write_committed(struct contact *c)
{
	if (c->newest_end_in_write <= c->newest_end_recorded)
		return false;
	c->newest_end_recorded = c->newest_end_in_write;
	return true;
}

/* Report whether ends have been listed that no row covers. */
bool contact_has_unrecorded_ends(const struct contact *c)
{
	return c->newest_end_seen > c->newest_end_recorded;
}

/* Report whether the upstream may still list ends that are recorded. */
bool contact_has_unacknowledged_ends(const struct contact *c)
{
	return c->newest_end_recorded > c->newest_end_acknowledged;
}
