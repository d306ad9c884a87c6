/*
 * What the calls to one upstream may carry. A call is read by whichever
 * incarnation takes it, perhaps seconds after newer calls, and an incarnation
 * that has just begun obeys any fencing token. Numbers of ends and times on the
 * upstream's clock mean something else to it than to the one before. All calls
 * of a session get their terms here. Does no I/O.
 */
#ifndef LEAD_CONTACT_H
#define LEAD_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The epochs of two leaders differ by this at least. A leader uses the tokens up
 * to its epoch, and raises the one for an upstream to void its own earlier calls.
 * So the next epoch exceeds them also if it is greater by 1, as that of an
 * instance of an earlier version is.
 */
#define EPOCH_STEP (UINT64_C(1) << 20)

enum call_kind {
	CALL_LISTS, /* renews leases, acknowledges ends, reads the lists */
	CALL_ASK,   /* asks the incarnation to name itself */
	CALL_START,
	CALL_STOP,
};

/* How a call has ended. */
enum call_end {
	CALL_NAMED,	 /* its answer names the incarnation that is known */
	CALL_ANSWERED,	 /* by whom is not known, or it was not carried out */
	CALL_UNANSWERED, /* it may be carried out later */
};

struct contact {
	uint64_t epoch; /* of this leader, its highest token */
	uint64_t token; /* of the next call */
	/*
	 * A call with this token, which is not harmless to another incarnation,
	 * was not answered, so that it may be carried out later.
	 */
	bool unsettled;
	/* The incarnation of the numbers below; 0: none has named itself. */
	uint64_t started_wall_ms;
	/*
	 * Numbers of ended runs in its list: the newest one that was applied to
	 * the model, that the write in flight covers, that is recorded, and that
	 * it has been told to discard by a call that was answered.
	 */
	uint64_t newest_end_seen;
	uint64_t newest_end_in_write;
	uint64_t newest_end_recorded;
	uint64_t newest_end_acknowledged;
	/* No end before newest_end_seen can have escaped this leader. */
	bool ends_are_complete;
	/*
	 * Answers in a row that named the incarnation and left no connection
	 * open.
	 */
	uint32_t unused_answers;
	/*
	 * Starts over connections on which the incarnation had not named itself:
	 * all, those in flight, and those before the newest answer to a list
	 * call, which no later incarnation can have taken.
	 */
	uint32_t blind_starts;
	uint32_t blind_starts_in_flight;
	uint32_t blind_starts_settled;
};

/* What a call may carry, and over which connections it may go. */
struct call_terms {
	uint64_t token;
	/* The incarnation that it is meant for; 0: any. */
	uint64_t started_wall_ms;
	uint64_t ack_cursor;
	/* A connection is open on which that incarnation has named itself. */
	bool connected;
	/* It carries no lease and no cursor. */
	bool bare;
	/* No incarnation that carries it out late does harm by that. */
	bool harmless;
	/* Count of the blind starts that an answer which names it settles. */
	uint32_t settles;
};

void contact_init(struct contact *c, uint64_t epoch);
struct call_terms contact_begin_call(struct contact *c, enum call_kind kind,
				     bool connected);
bool contact_start_must_wait(const struct contact *c, bool connected);
bool contact_is_overtaken(const struct contact *c, const struct call_terms *t);
void contact_end_call(struct contact *c, enum call_kind kind,
		      const struct call_terms *t, enum call_end end);
void contact_drop_calls(struct contact *c);

bool contact_note_incarnation(struct contact *c, uint64_t started_wall_ms);
void contact_forget_incarnation(struct contact *c);
uint64_t contact_note_ends(struct contact *c, uint64_t first_number,
			   uint64_t newest_number);
void contact_note_write_sent(struct contact *c);
bool contact_note_write_committed(struct contact *c);
bool contact_has_unrecorded_ends(const struct contact *c);
bool contact_has_unacknowledged_ends(const struct contact *c);
bool contact_keeps_no_connection(const struct contact *c);
bool contact_starts_are_settled(const struct contact *c);

#endif
