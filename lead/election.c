/*
 * Every write of the leader replaces the owner row on condition that it
 * still has the version the leader saw last, and only one write is in
 * flight. A delayed write, or one of a deposed leader, therefore fails. A
 * write that was not answered is retried, and exactly one copy takes
 * effect.
 */
#include <stdlib.h>
#include <string.h>

#include "lead/contact.h"
#include "lead/election.h"
#include "lead/succession.h"
#include "lib/log.h"

/*
 * Maximum interval between two writes of the leader. An empty write serves
 * as heartbeat.
 */
#define WRITE_INTERVAL_MAX_MS 300
/*
 * Maximum of the per-instance delay that keeps instances from claiming at
 * the same moment.
 */
#define CLAIM_JITTER_MAX_MS 150
/* Delay before a refused write is retried; doubles up to the maximum. */
#define REFUSED_RETRY_DELAY_MS 40
#define REFUSED_RETRY_DELAY_MAX_MS 250
/*
 * After yielding, an instance does not claim for this long, which covers
 * the latest claim of an instance that is slightly stronger.
 */
#define YIELD_REST_MS 5000

/*
 * A leadership with fewer writes than this did not last: the process ended
 * within some seconds, while it read the rows of its predecessor or soon after
 * it. A leader that lacks memory for them is killed in that time, each time.
 */
#define LASTING_WRITES_MIN 30

enum role { ROLE_FOLLOWER, ROLE_CANDIDATE, ROLE_LEADER };

struct election {
	struct loop *loop;
	struct rows *rows;
	struct counters *counters;
	struct election_events ev;
	void *arg;
	enum role role;
	/* This instance's record while it is candidate or leader. */
	struct owner_record self;
	/* The owner row as last seen, and when it was last seen to change. */
	struct owner_record row;
	uint64_t row_version;
	uint64_t row_changed_ms;
	bool row_exists;
	/* The row could be decoded; false if it is absent. */
	bool row_valid;
	/* Highest epoch that was seen in the row or claimed here. */
	uint64_t highest_epoch;
	/* Delay of claims, which is longer for a weak instance. */
	uint32_t claim_delay_ms;
	/* Peers are known that have more memory than this instance. */
	bool has_larger_peers;
	/* The store answers every call since then; 0 if the last failed. */
	uint64_t answered_since_ms;
	/* The replicas that a leader needs are complete. */
	bool replicas_complete;
	/* Until when this process and its predecessors may act. */
	struct tenure tenure;
	/* The next write gives the leadership away; no claim follows. */
	bool resigning;
	/* The next write gives the leadership away for a while. */
	bool yielding;
	/* No claim is made before this time. */
	uint64_t rest_until_ms;
	/* The write in flight as sent to the store; NULL if there is none. */
	char *write_text;
	/* Distinguishes the answers to the write in flight from earlier ones. */
	uint64_t write_number;
	/* When the write in flight was sent first. */
	uint64_t write_first_sent_ms;
	/* The write in flight names no leader. */
	bool write_resigns;
	/* Count of failed attempts of the write in flight. */
	uint32_t write_failures;
	/* When the write in flight was sent last. */
	uint64_t write_sent_ms;
	/* Duration of the last attempt that succeeded. */
	uint32_t write_duration_ms;
	/* Runs until the next write, a retry, or a scheduled claim. */
	struct timer timer;
	/* Runs until the tenure ends, also while a write is in flight. */
	struct timer tenure_timer;
};

/* One attempt of a write, for its answer. */
struct write_call {
	struct election *election;
	uint64_t number;
};

static void on_timer(void *arg);
static void on_tenure_timer(void *arg);
static void consider_claim(struct election *e);

/*
 * Create the election for this process, which delays its claims by
 * claim_delay_ms.
 */
struct election *election_create(struct loop *l, struct rows *r,
				 struct counters *c, const char *instance,
				 uint64_t incarnation, uint32_t claim_delay_ms,
				 const struct election_events *ev, void *arg)
{
	struct election *e = g_new0(struct election, 1);

	e->loop = l;
	e->rows = r;
	e->counters = c;
	e->ev = *ev;
	e->arg = arg;
	g_strlcpy(e->self.instance, instance, sizeof(e->self.instance));
	e->self.incarnation = incarnation;
	e->claim_delay_ms = claim_delay_ms;
	timer_init(&e->timer, on_timer, e);
	timer_init(&e->tenure_timer, on_tenure_timer, e);
	return e;
}

/* Free e. */
void election_destroy(struct election *e)
{
	if (!e)
		return;
	timer_stop(e->loop, &e->timer);
	timer_stop(e->loop, &e->tenure_timer);
	free(e->write_text);
	g_free(e);
}

/* Report whether this process leads. */
bool election_is_leader(const struct election *e)
{
	return e->role == ROLE_LEADER;
}

/* Report whether a write is in flight. */
bool election_write_in_flight(const struct election *e)
{
	return e->write_text != NULL;
}

/*
 * Return the duration of the last successful write attempt, in
 * milliseconds.
 */
uint32_t election_last_write_ms(const struct election *e)
{
	return e->write_duration_ms;
}

/* Return the epoch of this process's leadership. */
uint64_t election_epoch(const struct election *e)
{
	return e->self.epoch;
}

/*
 * Return the tenure of this process, which every act of the leader has to ask;
 * it is valid as long as e.
 */
const struct tenure *election_tenure(const struct election *e)
{
	return &e->tenure;
}

/* Give up the leadership without a write. */
static void step_down(struct election *e, const char *why)
{
	log_fields(
		LOG_WARN, "leadership_lost", "{s:s,s:I,s:s,s:I,s:I}", "why",
		why, "epoch", (json_int_t)e->self.epoch, "owner",
		e->row.instance, "owner_epoch", (json_int_t)e->row.epoch,
		"unwritten_ms",
		(json_int_t)tenure_unwritten_ms(&e->tenure, clock_mono_ms()));
	e->role = ROLE_FOLLOWER;
	e->yielding = false;
	tenure_end(&e->tenure);
	free(e->write_text);
	e->write_text = NULL;
	timer_stop(e->loop, &e->timer);
	timer_stop(e->loop, &e->tenure_timer);
	e->row_changed_ms = clock_mono_ms();
	e->ev.lost(e->arg, why);
}

static bool is_own_record(const struct election *e,
			  const struct owner_record *r)
{
	return !strcmp(r->instance, e->self.instance) &&
	       r->incarnation == e->self.incarnation &&
	       r->epoch == e->self.epoch;
}

/*
 * Restart the timer that ends the tenure. It fires after the last millisecond
 * in which the leader may act.
 */
static void schedule_tenure_end(struct election *e)
{
	uint64_t left = tenure_remaining_ms(&e->tenure, clock_mono_ms());

	timer_start(e->loop, &e->tenure_timer, left + 1);
}

static void on_tenure_timer(void *arg)
{
	struct election *e = arg;

	if (e->role == ROLE_LEADER)
		step_down(e, "no write succeeded for too long");
}

/* Note that the owner row was committed at this version by this process. */
static void note_own_row(struct election *e, uint64_t version)
{
	free(e->write_text);
	e->write_text = NULL;
	e->row_version = version;
	e->row = e->self;
	if (e->write_resigns)
		e->row.instance[0] = '\0';
	e->row_exists = e->row_valid = true;
	e->write_failures = 0;
}

/* Handle a committed write, which left the owner row at this version. */
static void handle_write_success(struct election *e, uint64_t version)
{
	enum role before = e->role;

	note_own_row(e, version);
	e->role = ROLE_LEADER;
	if (e->write_resigns) {
		e->rest_until_ms =
			clock_mono_ms() + (e->yielding ? YIELD_REST_MS : 0);
		step_down(e, "given away");
		return;
	}
	/* Calls that were due since the end of the tenure were left out. */
	if (!tenure_allows(&e->tenure, clock_mono_ms())) {
		step_down(e, "the write took too long");
		return;
	}
	tenure_extend(&e->tenure, e->write_first_sent_ms);
	schedule_tenure_end(e);
	timer_start(e->loop, &e->timer, WRITE_INTERVAL_MAX_MS);
	if (before == ROLE_CANDIDATE) {
		log_fields(LOG_INFO, "leadership_gained", "{s:I,s:I,s:I}",
			   "epoch", (json_int_t)e->self.epoch, "version",
			   (json_int_t)version, "earlier_ms",
			   (json_int_t)tenure_earlier_remaining_ms(
				   &e->tenure, clock_mono_ms()));
		e->ev.gained(e->arg, version);
	} else {
		e->ev.committed(e->arg);
	}
}

/*
 * Report whether r is the row that the write in flight leaves: the write has
 * been committed, even if its answer is late or lost.
 */
static bool row_confirms_write(const struct election *e,
			       const struct owner_record *r)
{
	return e->write_text && !e->write_resigns && is_own_record(e, r) &&
	       r->sequence == e->self.sequence;
}

/* Take over the owner row as read at this version; value is NULL if absent. */
static void note_row(struct election *e, const char *value, uint64_t version,
		     const struct owner_record *r, bool valid)
{
	e->row = *r;
	e->row_version = version;
	e->row_exists = value != NULL;
	e->row_valid = valid;
	if (valid)
		e->highest_epoch = MAX(e->highest_epoch, r->epoch);
}

/*
 * Decode the owner row; value is NULL if it is absent. Returns false for an
 * absent row, and for a malformed one, which is logged.
 */
static bool decode_row(const char *value, struct owner_record *r)
{
	memset(r, 0, sizeof(*r));
	if (!value)
		return false;
	if (owner_decode(value, r))
		return true;
	log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "table", OWNER_TABLE,
		   "key", KEY_OWNER);
	return false;
}

/*
 * Apply the owner row as received from the feed; value is NULL when it was
 * removed.
 */
void election_apply_row(struct election *e, const char *value, uint64_t version)
{
	struct owner_record r;
	bool valid;

	if (version < e->row_version)
		return;
	valid = decode_row(value, &r);
	if (valid && row_confirms_write(e, &r)) {
		handle_write_success(e, version);
		return;
	}
	if (e->role == ROLE_LEADER) {
		if (valid && !is_own_record(e, &r) && r.epoch > e->self.epoch) {
			note_row(e, value, version, &r, valid);
			step_down(e, "another instance has claimed");
		}
		/* The answers to own writes report their versions. */
		return;
	}
	if (version != e->row_version)
		e->row_changed_ms = clock_mono_ms();
	note_row(e, value, version, &r, valid);
}

/* Give up a claim that another instance has overtaken. */
static void abandon_claim(struct election *e)
{
	e->role = ROLE_FOLLOWER;
	tenure_end(&e->tenure);
	free(e->write_text);
	e->write_text = NULL;
	e->row_changed_ms = clock_mono_ms();
	timer_stop(e->loop, &e->timer);
}

/* Return the owner row among the rows of a conflict; NULL if it is absent. */
static const struct row *find_owner_row(const struct rows_answer *a)
{
	for (uint32_t i = 0; i < a->len; i++)
		if (!strcmp(a->list[i].key, KEY_OWNER) && a->list[i].value)
			return &a->list[i];
	return NULL;
}

/*
 * Handle a write that found another version of the owner row than
 * expected. That version may come from an earlier attempt of this write.
 */
static void handle_conflict(struct election *e, const struct rows_answer *a)
{
	const struct row *row = find_owner_row(a);
	const char *value = row ? row->value : NULL;
	struct owner_record r;
	bool valid = decode_row(value, &r);

	if (valid && is_own_record(e, &r) && r.sequence == e->self.sequence) {
		handle_write_success(e, row->version);
		return;
	}
	note_row(e, value, row ? row->version : 0, &r, valid);
	if (e->role == ROLE_CANDIDATE)
		abandon_claim(e);
	else
		step_down(e, "the owner row has changed");
}

static void handle_write_answer(struct election *e, const struct rows_answer *a)
{
	uint64_t took = clock_mono_ms() - e->write_first_sent_ms;
	uint32_t delay = 0;

	switch (a->outcome) {
	case ROWS_OK:
		latency_add(e->counters, "store_write", took * 1000);
		e->write_duration_ms = clock_mono_ms() - e->write_sent_ms;
		handle_write_success(e, a->version);
		return;
	case ROWS_CONFLICT:
		handle_conflict(e, a);
		return;
	case ROWS_REFUSED:
		delay = MIN(REFUSED_RETRY_DELAY_MS << MIN(e->write_failures, 3),
			    REFUSED_RETRY_DELAY_MAX_MS);
		break;
	case ROWS_UNKNOWN:
	case ROWS_COMPACTED:
		break;
	}
	if (!e->write_failures++)
		log_fields(LOG_WARN, "write_failed", "{s:s,s:I,s:I}", "outcome",
			   rows_outcome_name(a->outcome), "epoch",
			   (json_int_t)e->self.epoch, "sequence",
			   (json_int_t)e->self.sequence);
	counter_add(e->counters, "store_write_failed", NULL, 1);
	timer_start(e->loop, &e->timer, delay);
}

static void on_write_answer(void *arg, const struct rows_answer *a)
{
	struct write_call *c = arg;
	struct election *e = c->election;

	/* The leadership may have been lost since the call was sent. */
	if (e->write_text && c->number == e->write_number)
		handle_write_answer(e, a);
	g_free(c);
}

/* Send the current write, for the first time or again. */
static void send_write(struct election *e)
{
	struct write_call *c = g_new0(struct write_call, 1);

	c->election = e;
	c->number = e->write_number;
	e->write_sent_ms = clock_mono_ms();
	rows_commit(e->rows, e->write_text, rows_call_timeout_ms(e->rows),
		    on_write_answer, c);
}

static void on_timer(void *arg)
{
	struct election *e = arg;
	uint64_t now = clock_mono_ms();

	if (e->role == ROLE_FOLLOWER) {
		consider_claim(e);
		return;
	}
	if (e->role == ROLE_LEADER && !e->write_resigns &&
	    !tenure_allows(&e->tenure, now)) {
		on_tenure_timer(e);
		return;
	}
	if (e->write_text)
		send_write(e);
	else if (e->role == ROLE_LEADER)
		e->ev.write_due(e->arg);
}

/*
 * Add the owner row with the next sequence number to t, and send t. The tenure
 * ends with a write that resigns: the successor may see it before its answer
 * arrives here.
 */
static void write_owner_row(struct election *e, struct rows_tx *t)
{
	uint64_t now = clock_mono_ms();
	struct owner_record r;
	char *value;

	e->self.sequence++;
	e->self.earlier_ms = tenure_earlier_remaining_ms(&e->tenure, now);
	e->write_resigns = e->resigning || e->yielding;
	r = e->self;
	if (e->write_resigns) {
		r.instance[0] = '\0';
		tenure_end(&e->tenure);
	}
	value = owner_encode(&r);
	rows_tx_expect_version(t, OWNER_TABLE, KEY_OWNER,
			       e->row_exists ? e->row_version : 0);
	rows_tx_put(t, OWNER_TABLE, KEY_OWNER, value);
	free(value);
	e->write_text = rows_tx_encode(t);
	e->write_number++;
	e->write_first_sent_ms = now;
	rows_tx_destroy(t);
	send_write(e);
}

/* Commit t and take ownership of it; no write may be in flight. */
void election_commit(struct election *e, struct rows_tx *t)
{
	timer_stop(e->loop, &e->timer);
	write_owner_row(e, t);
}

/* Resign the leadership with the next write and never claim it again. */
void election_resign(struct election *e)
{
	e->resigning = true;
}

/* Yield the leadership to another instance with the next write. */
void election_yield(struct election *e)
{
	e->yielding = true;
}

/*
 * Claim the leadership with the next epoch. last_has_ended tells that the last
 * leader does not act any more; those before it may.
 */
static void claim_leadership(struct election *e, bool last_has_ended)
{
	uint64_t now = clock_mono_ms();
	uint64_t earlier_end_ms = tenure_inherited_end_ms(
		e->row_changed_ms, e->row_valid ? e->row.earlier_ms : TENURE_MS,
		last_has_ended);

	if (!e->row_exists && !e->highest_epoch)
		earlier_end_ms = 0; /* There never was a leader. */
	tenure_begin(&e->tenure, now, earlier_end_ms);
	log_fields(LOG_INFO, "leadership_claim", "{s:s,s:I,s:I,s:b,s:I,s:I}",
		   "from", e->row.instance, "epoch", (json_int_t)e->row.epoch,
		   "unchanged_ms", (json_int_t)(now - e->row_changed_ms),
		   "ended", last_has_ended, "row_earlier_ms",
		   (json_int_t)e->row.earlier_ms, "earlier_ms",
		   (json_int_t)tenure_earlier_remaining_ms(&e->tenure, now));
	e->role = ROLE_CANDIDATE;
	e->self.epoch = MAX(e->row.epoch, e->highest_epoch) + EPOCH_STEP;
	e->highest_epoch = e->self.epoch;
	e->self.sequence = 0;
	write_owner_row(e, rows_tx_create(LEADER_PART));
}

/*
 * Report whether an earlier process of this instance, which the row names, was
 * ended soon after its claim, while there are peers with more memory. These see
 * that the row does not change, and claim after the takeover timeout.
 */
static bool leaves_claim_to_larger_peers(const struct election *e)
{
	return e->has_larger_peers && e->row.sequence < LASTING_WRITES_MIN;
}

/*
 * Claim the leadership at once if the row names an earlier process of this
 * instance, after a delay if it names nobody, and otherwise after the
 * takeover timeout. A process whose predecessor did not last waits for larger
 * peers like the weakest instance.
 */
static void consider_claim(struct election *e)
{
	uint64_t now = clock_mono_ms();
	uint64_t quiet_since = MAX(e->row_changed_ms, e->answered_since_ms);
	bool nobody = !e->row_exists || (e->row_valid && !*e->row.instance);
	bool self = e->row_valid && !strcmp(e->row.instance, e->self.instance);
	bool earlier_self = self && e->row.incarnation != e->self.incarnation;
	bool gives_way = earlier_self && leaves_claim_to_larger_peers(e);
	uint64_t jitter = g_str_hash(e->self.instance) % CLAIM_JITTER_MAX_MS;

	jitter += gives_way ? succession_claim_delay_ms(0) : e->claim_delay_ms;

	if (e->role != ROLE_FOLLOWER || !e->replicas_complete || e->resigning ||
	    !e->answered_since_ms || now < e->rest_until_ms)
		return;
	if (earlier_self && !gives_way)
		claim_leadership(e, true);
	else if (nobody && now >= quiet_since + jitter)
		claim_leadership(e, true);
	else if (nobody && !timer_running(&e->timer))
		timer_start(e->loop, &e->timer, quiet_since + jitter - now);
	else if (!nobody && now >= quiet_since + TAKEOVER_TIMEOUT_MS + jitter)
		claim_leadership(e, earlier_self);
}

/* Note whether peers are known that have more memory than this instance. */
void election_note_larger_peers(struct election *e, bool known)
{
	e->has_larger_peers = known;
}

/*
 * Decide whether to claim the leadership, after an answer of the store,
 * which has answered every call since answered_since_ms (0: the last call
 * failed).
 */
void election_consider_claim(struct election *e, uint64_t answered_since_ms,
			     bool replicas_complete)
{
	e->answered_since_ms = answered_since_ms;
	e->replicas_complete = replicas_complete;
	consider_claim(e);
}
