/*
 * Every write of the leader replaces the owner row on condition that it
 * still has the version the leader saw last, and only one write is in
 * flight. A delayed write, or one of a deposed leader, therefore fails. A
 * write that was not answered is retried, and exactly one copy takes
 * effect.
 */
#include <stdlib.h>
#include <string.h>

#include "lead/election.h"
#include "lib/log.h"

/* Maximum interval between two writes of the leader. */
#define WRITE_INTERVAL_MAX_MS 300
/*
 * A follower claims the leadership when the row has not changed for this
 * long while the store answered: five write intervals.
 */
#define TAKEOVER_TIMEOUT_MS 1500
/* The leader steps down after this long without a successful write. */
#define STEP_DOWN_TIMEOUT_MS 10000
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
/* Clocks of upstreams may run slow by at most 1/50. */
#define CLOCK_DRIFT_DIVISOR 50

enum role { ROLE_FOLLOWER, ROLE_CANDIDATE, ROLE_LEADER };

struct election {
	struct loop *loop;
	struct rows *rows;
	struct counters *counters;
	struct election_events ev;
	void *arg;
	enum role role;
	struct owner_record
		self; /* this instance's record while it is candidate or leader */
	struct owner_record row; /* the row */
	uint64_t row_version;	 /* version of the row as last seen */
	uint64_t row_changed_ms; /* when the row was last seen to change */
	bool row_exists;	 /* the row exists */
	uint32_t
		claim_delay_ms; /* delay of claims, longer for a weak instance */
	uint64_t
		answered_since_ms; /* start of unbroken answers; 0: last call failed */
	bool replicas_complete; /* the replicas that a leader needs are complete */
	uint64_t
		predecessor_seen_ms; /* last sign of life of the previous leader */
	bool predecessor_ended; /* the previous leader has certainly ended */
	bool resigning;
	bool yielding; /* the next write gives the leadership away for a while */
	uint64_t rest_until_ms; /* no claim is made before this time */
	char *write_text;	/* text of the write in flight; NULL: none */
	uint64_t write_number;	/* matches answers to the write in flight */
	uint64_t write_first_sent_ms;
	uint64_t
		last_write_sent_ms; /* when the last successful write was first sent */
	bool write_resigns;	    /* the write in flight names no leader */
	uint32_t write_failures;
	uint64_t write_sent_ms; /* when the write was last sent */
	uint32_t
		write_duration_ms; /* duration of the last attempt that succeeded */
	struct timer timer;	   /* next write, retry, or scheduled claim */
};

/* A write that was sent. */
struct write_call {
	struct election *election;
	uint64_t number;
};

static void on_timer(void *arg);
static void consider_claim(struct election *o);

/*
 * Create the election for this process, which delays its claims by
 * claim_delay_ms.
 */
struct election *election_create(struct loop *l, struct rows *r,
				 struct counters *c, const char *instance,
				 uint64_t incarnation, uint32_t claim_delay_ms,
				 const struct election_events *ev, void *arg)
{
	struct election *o = g_new0(struct election, 1);

	o->loop = l;
	o->rows = r;
	o->counters = c;
	o->ev = *ev;
	o->arg = arg;
	g_strlcpy(o->self.instance, instance, sizeof(o->self.instance));
	o->self.incarnation = incarnation;
	o->claim_delay_ms = claim_delay_ms;
	timer_init(&o->timer, on_timer, o);
	return o;
}

/* Free o. */
void election_destroy(struct election *o)
{
	if (!o)
		return;
	timer_stop(o->loop, &o->timer);
	free(o->write_text);
	g_free(o);
}

/* Report whether this process leads. */
bool election_is_leader(const struct election *o)
{
	return o->role == ROLE_LEADER;
}

/* Report whether a write is in flight. */
bool election_write_in_flight(const struct election *o)
{
	return o->write_text != NULL;
}

/*
 * Return the duration of the last successful write attempt, in
 * milliseconds.
 */
uint32_t election_last_write_ms(const struct election *o)
{
	return o->write_duration_ms;
}

/* Return the epoch of this process's leadership. */
uint64_t election_epoch(const struct election *o)
{
	return o->self.epoch;
}

/*
 * Return the time on the local monotonic clock at which the last lease
 * extended by an earlier leader ends. A lease lasts at most lease_ms on the
 * upstream's clock, which may run slow.
 */
uint64_t election_earlier_leases_end_ms(const struct election *o,
					uint32_t lease_ms)
{
	uint64_t renews = o->predecessor_ended ? 0 : STEP_DOWN_TIMEOUT_MS;

	return o->predecessor_seen_ms + renews + lease_ms +
	       lease_ms / (CLOCK_DRIFT_DIVISOR - 1);
}

static void step_down(struct election *o, const char *why)
{
	log_fields(LOG_WARN, "leadership_lost", "{s:s,s:I,s:s,s:I}", "why", why,
		   "epoch", (json_int_t)o->self.epoch, "owner", o->row.instance,
		   "owner_epoch", (json_int_t)o->row.epoch);
	o->role = ROLE_FOLLOWER;
	free(o->write_text);
	o->write_text = NULL;
	timer_stop(o->loop, &o->timer);
	o->row_changed_ms = clock_mono_ms();
	o->ev.lost(o->arg, why);
}

static bool is_own_record(const struct election *o,
			  const struct owner_record *r)
{
	return !strcmp(r->instance, o->self.instance) &&
	       r->incarnation == o->self.incarnation &&
	       r->epoch == o->self.epoch;
}

/*
 * Apply the owner row as received from the feed; value is NULL when it was
 * removed.
 */
void election_apply_row(struct election *o, const char *value, uint64_t version)
{
	struct owner_record r;

	if (version < o->row_version)
		return;
	memset(&r, 0, sizeof(r));
	o->row_exists = value && owner_decode(value, &r);
	if (o->role == ROLE_LEADER) {
		if (o->row_exists && !is_own_record(o, &r) &&
		    r.epoch > o->self.epoch) {
			o->row = r;
			o->row_version = version;
			step_down(o, "another instance has claimed");
		}
		return; /* the answers to own writes report their versions */
	}
	o->row = r;
	if (version != o->row_version)
		o->row_changed_ms = clock_mono_ms();
	o->row_version = version;
}

static void handle_write_success(struct election *o, uint64_t version)
{
	enum role before = o->role;

	free(o->write_text);
	o->write_text = NULL;
	o->row_version = version;
	o->row = o->self;
	o->row_exists = true;
	o->write_failures = 0;
	o->last_write_sent_ms = o->write_first_sent_ms;
	o->role = ROLE_LEADER;
	timer_start(o->loop, &o->timer, WRITE_INTERVAL_MAX_MS);
	if (o->write_resigns) {
		o->rest_until_ms =
			clock_mono_ms() + (o->yielding ? YIELD_REST_MS : 0);
		o->yielding = false;
		step_down(o, "given away");
		return;
	}
	if (before == ROLE_CANDIDATE) {
		log_fields(LOG_INFO, "leadership_gained", "{s:I,s:I}", "epoch",
			   (json_int_t)o->self.epoch, "version",
			   (json_int_t)version);
		o->ev.gained(o->arg, version);
	} else {
		o->ev.committed(o->arg);
	}
}

static void abandon_claim(struct election *o)
{
	o->role = ROLE_FOLLOWER;
	free(o->write_text);
	o->write_text = NULL;
	o->row_changed_ms = clock_mono_ms();
	timer_stop(o->loop, &o->timer);
}

/* Find the owner row among the rows of a conflict. */
static bool find_owner_row(const struct rows_answer *a, struct owner_record *r,
			   uint64_t *version)
{
	for (uint32_t i = 0; i < a->len; i++) {
		if (strcmp(a->list[i].key, KEY_OWNER) || !a->list[i].value)
			continue;
		*version = a->list[i].version;
		return owner_decode(a->list[i].value, r);
	}
	return false;
}

/*
 * Handle a write that found another version than expected: it may be an
 * earlier attempt of the same write.
 */
static void handle_conflict(struct election *o, const struct rows_answer *a)
{
	struct owner_record r;
	uint64_t version = 0;

	if (find_owner_row(a, &r, &version) && is_own_record(o, &r) &&
	    r.sequence == o->self.sequence) {
		/* an earlier attempt of the same write has taken effect */
		handle_write_success(o, version);
		return;
	}
	if (version) {
		o->row = r;
		o->row_version = version;
		o->row_exists = true;
	}
	if (o->role == ROLE_CANDIDATE)
		abandon_claim(o);
	else
		step_down(o, "the owner row has changed");
}

static void handle_write_answer(struct election *o, const struct rows_answer *a)
{
	uint64_t took = clock_mono_ms() - o->write_first_sent_ms;
	uint32_t delay = 0;

	switch (a->outcome) {
	case ROWS_OK:
		latency_add(o->counters, "store_write", took * 1000);
		o->write_duration_ms = clock_mono_ms() - o->write_sent_ms;
		handle_write_success(o, a->version);
		return;
	case ROWS_CONFLICT:
		handle_conflict(o, a);
		return;
	case ROWS_REFUSED:
		delay = MIN(REFUSED_RETRY_DELAY_MS << MIN(o->write_failures, 3),
			    REFUSED_RETRY_DELAY_MAX_MS);
		break;
	case ROWS_UNKNOWN:
	case ROWS_COMPACTED:
		break;
	}
	if (!o->write_failures++)
		log_fields(LOG_WARN, "write_failed", "{s:s,s:I,s:I}", "outcome",
			   rows_outcome_name(a->outcome), "epoch",
			   (json_int_t)o->self.epoch, "sequence",
			   (json_int_t)o->self.sequence);
	counter_add(o->counters, "store_write_failed", NULL, 1);
	timer_start(o->loop, &o->timer, delay);
}

static void on_write_answer(void *arg, const struct rows_answer *a)
{
	struct write_call *c = arg;
	struct election *o = c->election;

	/* the leadership may have been lost since the call was sent */
	if (o->write_text && c->number == o->write_number)
		handle_write_answer(o, a);
	g_free(c);
}

/* Send the current write; also used for retries. */
static void send_write(struct election *o)
{
	struct write_call *c = g_new0(struct write_call, 1);

	c->election = o;
	c->number = o->write_number;
	o->write_sent_ms = clock_mono_ms();
	rows_commit(o->rows, o->write_text, rows_call_timeout_ms(o->rows),
		    on_write_answer, c);
}

static void on_timer(void *arg)
{
	struct election *o = arg;
	uint64_t now = clock_mono_ms();

	if (o->role == ROLE_FOLLOWER) {
		consider_claim(o);
		return;
	}
	if (o->role == ROLE_LEADER &&
	    now > o->last_write_sent_ms + STEP_DOWN_TIMEOUT_MS) {
		step_down(o, "no write succeeded for too long");
		return;
	}
	if (o->write_text)
		send_write(o);
	else if (o->role == ROLE_LEADER)
		o->ev.write_due(o->arg);
}

static void write_owner_row(struct election *o, struct rows_tx *t)
{
	struct owner_record r = o->self;
	char *value;

	r.sequence = ++o->self.sequence;
	o->write_resigns = o->resigning || o->yielding;
	if (o->write_resigns)
		r.instance[0] = '\0';
	value = owner_encode(&r);
	rows_tx_expect_version(t, OWNER_TABLE, KEY_OWNER,
			       o->row_exists ? o->row_version : 0);
	rows_tx_put(t, OWNER_TABLE, KEY_OWNER, value);
	free(value);
	o->write_text = rows_tx_encode(t);
	o->write_number++;
	o->write_first_sent_ms = clock_mono_ms();
	rows_tx_destroy(t);
	send_write(o);
}

/* Commit t and take ownership of it; no write may be in flight. */
void election_commit(struct election *o, struct rows_tx *t)
{
	timer_stop(o->loop, &o->timer);
	write_owner_row(o, t);
}

/* Resign the leadership with the next write and never claim it again. */
void election_resign(struct election *o)
{
	o->resigning = true;
}

/* Yield the leadership to another instance with the next write. */
void election_yield(struct election *o)
{
	o->yielding = true;
}

static void claim_leadership(struct election *o, bool predecessor_ended)
{
	log_fields(LOG_INFO, "leadership_claim", "{s:s,s:I,s:I,s:b}", "from",
		   o->row.instance, "epoch", (json_int_t)o->row.epoch,
		   "unchanged_ms",
		   (json_int_t)(clock_mono_ms() - o->row_changed_ms), "ended",
		   predecessor_ended);
	o->predecessor_ended = predecessor_ended;
	o->predecessor_seen_ms =
		predecessor_ended ? clock_mono_ms() : o->row_changed_ms;
	o->role = ROLE_CANDIDATE;
	o->self.epoch = o->row.epoch + 1;
	o->self.sequence = 0;
	write_owner_row(o, rows_tx_create(LEADER_PART));
}

static void consider_claim(struct election *o)
{
	uint64_t now = clock_mono_ms();
	uint64_t quiet_since = MAX(o->row_changed_ms, o->answered_since_ms);
	bool nobody = !o->row_exists || !*o->row.instance;
	bool self = !nobody && !strcmp(o->row.instance, o->self.instance);
	uint64_t jitter = g_str_hash(o->self.instance) % CLAIM_JITTER_MAX_MS +
			  o->claim_delay_ms;

	if (o->role != ROLE_FOLLOWER || !o->replicas_complete || o->resigning ||
	    !o->answered_since_ms || now < o->rest_until_ms)
		return;
	if (self && o->row.incarnation != o->self.incarnation)
		claim_leadership(o, true);
	else if (nobody && now >= quiet_since + jitter)
		claim_leadership(o, true);
	else if (nobody && !timer_running(&o->timer))
		timer_start(o->loop, &o->timer, quiet_since + jitter - now);
	else if (!nobody && now >= quiet_since + TAKEOVER_TIMEOUT_MS + jitter)
		claim_leadership(o, false);
}

/*
 * Decide whether to claim the leadership, after an answer of the store,
 * which has answered every call since answered_since_ms.
 */
void election_consider_claim(struct election *o, uint64_t answered_since_ms,
			     bool replicas_complete)
{
	o->answered_since_ms = answered_since_ms;
	o->replicas_complete = replicas_complete;
	consider_claim(o);
}
