/*
 * What is late: a start is carried out by the process that took its connection,
 * or never; any other call by whichever incarnation is there. A start that a
 * later incarnation than that could carry out cannot be told from one that is
 * lost, whatever the leader does.
 */
#include <glib.h>

#include "lead/contact.h"
#include "test/callworld.h"

#define ENDS_MAX 4096
#define LATE_MAX 24
#define RUNS_MAX 12
/* Rounds without faults after which all ends must be acknowledged. */
#define SETTLE_ROUNDS 40

/* A call that was sent. */
struct sent_call {
	enum call_kind kind;
	struct call_terms terms;
	uint32_t taken_by; /* the incarnation that took its connection */
	uint32_t epoch;	   /* of its leader */
	uint32_t sequence; /* counts the calls of all leaders */
	/* The newest call when this one was given up. */
	uint32_t given_up_at;
	uint32_t pool; /* the connections that it may leave open */
};

struct end {
	uint32_t number;
	uint32_t id;
};

struct call_world {
	struct call_world_source source;
	/* the upstream */
	bool closes; /* each connection after its answer */
	uint32_t incarnation;
	bool synced; /* the leader has called this incarnation by its name */
	uint64_t max_token;
	uint32_t newest_call; /* that it has carried out, but for stops */
	uint32_t runs;
	uint32_t end_count;
	struct end ends[ENDS_MAX];
	uint32_t ends_len;
	uint32_t next_id;
	bool recorded[ENDS_MAX];
	/* the leader */
	uint32_t leader;
	struct contact contact;
	bool connected;
	uint32_t connected_to;
	uint32_t pool;	  /* counts the times when connections were given up */
	GArray *seen;	  /* ids that the leader knows */
	GArray *in_write; /* ids that its write covers */
	struct sent_call lists;
	bool lists_in_flight;
	struct sent_call start;
	bool start_in_flight;
	uint32_t call_count; /* of all leaders */
	/* calls that may be carried out later */
	struct sent_call late[LATE_MAX];
	uint32_t late_len;
	uint32_t leases; /* list calls that renewed leases */
};

static uint32_t choose(struct call_world *w, uint32_t n)
{
	return w->source.choose(w->source.arg, n);
}

static bool chance(struct call_world *w, uint32_t percent)
{
	return choose(w, 100) < percent;
}

/* Use no connection again that is open or in use. */
static void close_connections(struct call_world *w)
{
	w->connected = false;
	w->pool++;
}

static void begin_leader(struct call_world *w)
{
	w->leader++;
	contact_init(&w->contact, w->leader * EPOCH_STEP);
	close_connections(w);
	w->lists_in_flight = w->start_in_flight = false;
	g_array_set_size(w->seen, 0);
	g_array_set_size(w->in_write, 0);
}

/* Create an upstream without runs and its first leader. */
struct call_world *call_world_create(const struct call_world_source *s)
{
	struct call_world *w = g_new0(struct call_world, 1);

	w->source = *s;
	w->incarnation = 1;
	w->seen = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	w->in_write = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	w->closes = chance(w, 30);
	begin_leader(w);
	return w;
}

/* Free w. */
void call_world_destroy(struct call_world *w)
{
	g_array_unref(w->seen);
	g_array_unref(w->in_write);
	g_free(w);
}

static void restart_upstream(struct call_world *w)
{
	w->incarnation++;
	w->synced = false;
	w->max_token = 0;
	w->newest_call = 0;
	w->runs = 0;
	w->end_count = 0;
	w->ends_len = 0;
}

static void end_run(struct call_world *w)
{
	if (!w->runs || w->ends_len == ENDS_MAX || w->next_id == ENDS_MAX)
		return;
	w->runs--;
	w->ends[w->ends_len++] = (struct end){++w->end_count, w->next_id++};
}

/* Discard the ends up to the cursor; each must be recorded. */
static void acknowledge(struct call_world *w, uint64_t cursor)
{
	uint32_t n = 0;

	while (n < w->ends_len && w->ends[n].number <= cursor) {
		if (!w->recorded[w->ends[n].id])
			w->source.breach(w->source.arg,
					 "an end was discarded before it was "
					 "recorded");
		n++;
	}
	w->ends_len -= n;
	memmove(w->ends, w->ends + n, w->ends_len * sizeof(*w->ends));
}

/* Carry out a call at the present incarnation; false if it is refused. */
static bool carry_out(struct call_world *w, const struct sent_call *c)
{
	const struct call_terms *t = &c->terms;

	if (t->token < w->max_token)
		return false;
	if (!t->bare && t->started_wall_ms != w->incarnation && w->synced &&
	    c->kind == CALL_LISTS)
		w->source.breach(w->source.arg,
				 "a call to an earlier incarnation was carried "
				 "out");
	w->max_token = t->token;
	if (c->kind != CALL_STOP)
		w->newest_call = MAX(w->newest_call, c->sequence);
	switch (c->kind) {
	case CALL_START:
		w->runs = MIN(w->runs + 1, RUNS_MAX);
		break;
	case CALL_LISTS:
		if (c->epoch == w->leader && !t->bare)
			w->leases++;
		acknowledge(w, t->ack_cursor);
		/* fall through */
	case CALL_ASK:
		if (c->epoch == w->leader &&
		    w->contact.started_wall_ms == w->incarnation &&
		    t->token == w->contact.token)
			w->synced = true;
		break;
	case CALL_STOP:
		break;
	}
	return true;
}

/* Keep a call that was not answered, as it may be carried out later. */
static void keep_late(struct call_world *w, const struct sent_call *c)
{
	if (w->late_len == LATE_MAX)
		return;
	w->late[w->late_len] = *c;
	w->late[w->late_len++].given_up_at = w->call_count;
}

/* Report whether the upstream still obeys a call that a newer one has voided. */
static bool is_obeyed_in_vain(const struct call_world *w,
			      const struct sent_call *c)
{
	return !c->terms.harmless && c->terms.token >= w->max_token &&
	       w->newest_call > c->given_up_at;
}

/* Carry out one of the calls that were not answered, perhaps not for good. */
static void carry_out_late(struct call_world *w)
{
	const struct sent_call *c;
	uint32_t i;

	if (!w->late_len)
		return;
	i = choose(w, w->late_len);
	c = &w->late[i];
	if (is_obeyed_in_vain(w, c))
		w->source.breach(w->source.arg,
				 "a call was obeyed after the one that voids "
				 "it");
	if (c->kind != CALL_START || c->taken_by == w->incarnation)
		carry_out(w, c);
	if (c->kind == CALL_START || chance(w, 70))
		w->late[i] = w->late[--w->late_len];
}

/* Send a call: over the open connection, or to whoever is there. */
static struct sent_call send_call(struct call_world *w, enum call_kind kind)
{
	struct sent_call c = {
		.kind = kind, .epoch = w->leader, .pool = w->pool};

	c.sequence = ++w->call_count;
	c.terms = contact_begin_call(&w->contact, kind, w->connected);
	c.taken_by = c.terms.connected ? w->connected_to : w->incarnation;
	return c;
}

static void lose_answer(struct call_world *w, const struct sent_call *c)
{
	close_connections(w);
	contact_end_call(&w->contact, c->kind, &c->terms, CALL_UNANSWERED);
}

/* Apply the lists of the present incarnation. */
static void read_lists(struct call_world *w)
{
	uint32_t first = w->ends_len ? w->ends[0].number : 0;

	if (contact_note_ends(&w->contact, first, w->end_count))
		w->source.breach(w->source.arg,
				 "an end was discarded before it was listed");
	for (uint32_t i = 0; i < w->ends_len; i++)
		g_array_append_val(w->seen, w->ends[i].id);
}

/* Take in the answer of the present incarnation, which names itself or not. */
static void take_answer(struct call_world *w, const struct sent_call *c,
			bool carried_out)
{
	bool names = c->kind == CALL_LISTS || c->kind == CALL_ASK;
	bool later = false;

	if (c->pool == w->pool && (names || c->terms.connected)) {
		w->connected = !w->closes;
		w->connected_to = w->incarnation;
	}
	if (carried_out && names)
		later = contact_note_incarnation(&w->contact, w->incarnation);
	if (later)
		close_connections(w);
	contact_end_call(&w->contact, c->kind, &c->terms,
			 carried_out && names ? CALL_NAMED : CALL_ANSWERED);
	if (carried_out && c->kind == CALL_LISTS && !later)
		read_lists(w);
}

/* Let a call reach its end: answered, lost, or late. */
static void deliver(struct call_world *w, const struct sent_call *c, bool calm)
{
	bool done;

	if (c->terms.connected && c->taken_by != w->incarnation) {
		/* the connection is found closed, or breaks under the call */
		if (calm || chance(w, 50)) {
			w->connected = false;
			contact_end_call(&w->contact, c->kind, &c->terms,
					 CALL_ANSWERED);
		} else {
			keep_late(w, c);
			lose_answer(w, c);
		}
		return;
	}
	if (!calm && chance(w, 25)) {
		keep_late(w, c);
		lose_answer(w, c);
		return;
	}
	done = carry_out(w, c);
	if (!calm && chance(w, 15)) {
		keep_late(w, c);
		lose_answer(w, c);
	} else {
		take_answer(w, c, done);
	}
}

static void send_lists(struct call_world *w)
{
	if (w->lists_in_flight)
		return;
	w->lists = send_call(w, CALL_LISTS);
	w->lists_in_flight = true;
}

static void send_start(struct call_world *w)
{
	struct sent_call ask;

	if (w->start_in_flight || !w->contact.started_wall_ms)
		return;
	if (contact_start_must_wait(&w->contact, w->connected)) {
		ask = send_call(w, CALL_ASK);
		deliver(w, &ask, false);
		return;
	}
	w->start = send_call(w, CALL_START);
	w->start_in_flight = true;
}

static void send_stop(struct call_world *w)
{
	struct sent_call c = send_call(w, CALL_STOP);

	deliver(w, &c, false);
}

static void deliver_lists(struct call_world *w, bool calm)
{
	if (!w->lists_in_flight)
		return;
	w->lists_in_flight = false;
	deliver(w, &w->lists, calm);
}

static void deliver_start(struct call_world *w, bool calm)
{
	if (!w->start_in_flight)
		return;
	w->start_in_flight = false;
	deliver(w, &w->start, calm);
}

static void send_write(struct call_world *w)
{
	contact_note_write_sent(&w->contact);
	g_array_set_size(w->in_write, 0);
	g_array_append_vals(w->in_write, w->seen->data, w->seen->len);
}

static void commit_write(struct call_world *w)
{
	for (guint i = 0; i < w->in_write->len; i++)
		w->recorded[g_array_index(w->in_write, uint32_t, i)] = true;
	contact_note_write_committed(&w->contact);
}

/* Let one thing happen. */
void call_world_step(struct call_world *w)
{
	switch (choose(w, 14)) {
	case 0:
	case 1:
		send_lists(w);
		break;
	case 2:
	case 3:
		deliver_lists(w, false);
		break;
	case 4:
		send_start(w);
		break;
	case 5:
		deliver_start(w, false);
		break;
	case 6:
	case 7:
		end_run(w);
		break;
	case 8:
		send_write(w);
		break;
	case 9:
		commit_write(w);
		break;
	case 10:
		carry_out_late(w);
		break;
	case 11:
		if (chance(w, 25))
			restart_upstream(w);
		break;
	case 12:
		if (chance(w, 10))
			begin_leader(w);
		else
			w->connected = w->connected && chance(w, 70);
		break;
	case 13:
		send_stop(w);
		break;
	}
}

/*
 * End all faults; then every end must be recorded and acknowledged, and leases
 * be renewed.
 */
void call_world_settle(struct call_world *w)
{
	uint32_t leases = w->leases;

	deliver_start(w, true);
	for (uint32_t i = 0; i < SETTLE_ROUNDS; i++) {
		end_run(w);
		send_lists(w);
		deliver_lists(w, true);
		send_write(w);
		commit_write(w);
	}
	if (w->ends_len)
		w->source.breach(w->source.arg, "ends are not acknowledged");
	if (w->leases == leases)
		w->source.breach(w->source.arg, "leases are not renewed");
}
