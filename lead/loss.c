/*
 * Absence is no end: what is not listed, not answered, or read from an old
 * entry may run. An upstream's own answers end its runs at once. All else waits
 * until the leases have ended and a call that was sent after that has failed,
 * unless a second witness confirms it.
 */
#include "lead/loss.h"
#include "lib/log.h"

static struct loss_verdict ended(enum incarnation_end end, const char *why)
{
	return (struct loss_verdict){LOSS_ENDED, end, why};
}

static struct loss_verdict open_verdict(enum loss_outcome outcome,
					const char *why)
{
	return (struct loss_verdict){.outcome = outcome, .why = why};
}

static bool leases_ended_before(const struct loss_facts *f, uint64_t at_ms)
{
	return at_ms > f->leases_end_ms;
}

/* Judge a list call that failed, which was sent at at_ms. */
static struct loss_verdict judge_unanswered(const struct model *m,
					    const struct upstream *u,
					    const struct loss_evidence *e,
					    const struct loss_facts *f)
{
	if (e->u.unanswered.late)
		return open_verdict(LOSS_ASK, "this process was suspended");
	if (f->answered_ms > e->at_ms)
		return open_verdict(LOSS_ASK, "it has answered since");
	if (e->u.unanswered.has_left)
		return ended(INCARNATION_LEFT, "has left");
	if (u->superseded_ms && e->at_ms > u->superseded_ms &&
	    model_machine_has_restarted(m, u))
		return ended(INCARNATION_ENDED, "its machine has restarted");
	if (leases_ended_before(f, e->at_ms))
		return ended(INCARNATION_PRESUMED_ENDED, "leases ended");
	return open_verdict(LOSS_WAIT, "leases last");
}

/*
 * Judge that another upstream answers at the address: that ends the incarnation
 * that has this address. A later one may be at another address, where an earlier
 * leader starts the same runs, unless the machine is another upstream by now.
 */
static struct loss_verdict judge_replaced(const struct model *m,
					  const struct upstream *u,
					  const struct loss_evidence *e,
					  const struct loss_facts *f)
{
	if (f->answered_ms > e->at_ms)
		return open_verdict(LOSS_ASK, "it has answered since");
	if (e->u.replaced.address_started_wall_ms == f->runs_started_wall_ms &&
	    (!model_earlier_leader_may_start(m, u, f->now_ms) ||
	     model_machine_has_restarted(m, u)))
		return ended(INCARNATION_ENDED, "replaced");
	if (leases_ended_before(f, e->at_ms))
		return ended(INCARNATION_PRESUMED_ENDED, "leases ended");
	return open_verdict(LOSS_WAIT, "a later incarnation may run them");
}

/*
 * Judge that the list of upstreams, as it was at at_ms, has no entry.
 * Whether the upstream runs is not known otherwise, so the list must have been
 * read since the leases ended, and the entry must have had time to return.
 */
static struct loss_verdict judge_unlisted(const struct loss_evidence *e,
					  const struct loss_facts *f)
{
	uint64_t since_ms = e->u.unlisted.returning_since_ms;

	if (!leases_ended_before(f, f->now_ms))
		return open_verdict(LOSS_WAIT, "leases last");
	if (f->now_ms > f->leases_end_ms + LOSS_UNLISTED_WAIT_MAX_MS)
		return ended(INCARNATION_PRESUMED_ENDED,
			     "not listed for long, leases ended");
	if (!leases_ended_before(f, e->at_ms))
		return open_verdict(LOSS_WAIT, "the list is old");
	if (!since_ms || e->at_ms < since_ms + LOSS_ENTRY_RETURN_MS)
		return open_verdict(LOSS_WAIT, "entries return");
	return ended(INCARNATION_PRESUMED_ENDED, "not listed, leases ended");
}

/* Judge whether e shows that the runs on u have ended. Changes nothing. */
struct loss_verdict loss_judge(const struct model *m, const struct upstream *u,
			       const struct loss_evidence *e,
			       const struct loss_facts *f)
{
	switch (e->tag) {
	case LOSS_RESTARTED:
		return ended(INCARNATION_ENDED, "restarted");
	case LOSS_REPLACED:
		return judge_replaced(m, u, e, f);
	case LOSS_UNANSWERED:
		return judge_unanswered(m, u, e, f);
	case LOSS_LISTED_ANEW:
		/* the entry may be odd, and the upstream answer as before */
		return open_verdict(LOSS_ASK, "only an entry says so");
	case LOSS_UNLISTED:
		return judge_unlisted(e, f);
	}
	return open_verdict(LOSS_WAIT, "");
}

static const char *tag_name(enum loss_tag t)
{
	switch (t) {
	case LOSS_RESTARTED:
		return "restarted";
	case LOSS_REPLACED:
		return "replaced";
	case LOSS_UNANSWERED:
		return "unanswered";
	case LOSS_LISTED_ANEW:
		return "listed_anew";
	case LOSS_UNLISTED:
		return "unlisted";
	}
	return "";
}

static const char *outcome_name(enum loss_outcome o)
{
	switch (o) {
	case LOSS_ENDED:
		return "ended";
	case LOSS_ASK:
		return "ask";
	case LOSS_WAIT:
		return "wait";
	}
	return "";
}

static void log_decision(const struct upstream *u,
			 const struct loss_evidence *e,
			 const struct loss_facts *f,
			 const struct loss_verdict *v)
{
	log_fields(LOG_INFO, "loss_judged",
		   "{s:s,s:s,s:I,s:s,s:s,s:i,s:I,s:I,s:I,s:b}", "upstream",
		   u->id, "evidence", tag_name(e->tag), "age_ms",
		   (json_int_t)(f->now_ms - MIN(e->at_ms, f->now_ms)),
		   "outcome", outcome_name(v->outcome), "why", v->why, "tasks",
		   (int)u->tasks->len, "unheard_ms",
		   f->answered_ms ? (json_int_t)(f->now_ms - f->answered_ms)
				  : (json_int_t)-1,
		   "leases_end_in_ms",
		   (json_int_t)f->leases_end_ms - (json_int_t)f->now_ms,
		   "started", (json_int_t)u->started_wall_ms, "listed",
		   u->state != UPSTREAM_GONE);
}

/*
 * Judge e, log what follows, and end the runs on u if they have ended. Silence
 * that proves nothing yet is logged once, when it begins.
 */
enum loss_outcome loss_settle(struct model *m, struct upstream *u,
			      const struct loss_evidence *e,
			      const struct loss_facts *f)
{
	struct loss_verdict v = loss_judge(m, u, e, f);

	if (v.outcome == LOSS_ENDED || u->loss_why != v.why) {
		log_decision(u, e, f, &v);
		u->loss_why = v.why;
	}
	if (v.outcome != LOSS_ENDED)
		return v.outcome;
	u->loss_why = NULL;
	if (e->tag == LOSS_RESTARTED)
		model_note_incarnation(m, u, e->u.restarted.started_wall_ms,
				       f->now_ms, e->u.restarted.lists);
	else
		model_lose_upstream(m, u, f->now_ms, v.end, v.why);
	return v.outcome;
}
