/*
 * Ownership.  Every write of the leader replaces the owner row under the
 * version that the leader saw last, and only one is in flight.  So a
 * write that is late, or of a deposed leader, fails; a write that was
 * not answered is sent again, and exactly one copy takes effect.
 */
#include <stdlib.h>
#include <string.h>

#include "lead/owner.h"
#include "lib/log.h"

/* The leader writes at least so often. */
#define BEAT_MS 300
/* A follower claims when nothing was written for this long while the
 * store answered: five beats. */
#define TAKEOVER_MS 1500
/* Without a successful write for this long the leader gives up. */
#define RENEW_WITHOUT_STORE_MS 10000
/* Instances that would claim at the same moment spread over this time. */
#define CLAIM_SPREAD_MS 150
/* Pause after a refused write. */
#define REFUSED_PAUSE_MS 40
#define REFUSED_PAUSE_MAX_MS 250
/* After it has given the leadership away an instance lets others claim for
 * this long: the latest claim of an instance that is a little stronger. */
#define REST_MS 5000
/* A clock may be slow by one part in this many. */
#define CLOCK_SLOW_PART 50

enum role { ROLE_FOLLOWS, ROLE_CLAIMS, ROLE_LEADS };

struct owner {
	struct loop *loop;
	struct rows *rows;
	struct counters *counters;
	struct owner_events ev;
	void *arg;
	enum role role;
	struct owner_record self;   /* while it claims or leads */
	struct owner_record seen;   /* the row */
	uint64_t version;	    /* of the row as seen */
	uint64_t changed_ms;	    /* when it was seen to change */
	bool any;		    /* the row exists */
	uint32_t handicap_ms;	    /* a weak instance claims later */
	uint64_t answered_since_ms; /* the store answers since; 0: no */
	bool complete;		    /* all that a leader needs was read */
	uint64_t before_ms;	    /* last sign of the leader before us */
	bool before_gone;	    /* it has certainly ended */
	bool retiring;
	bool yielding;	       /* with the next write */
	uint64_t rests_ms;     /* it claims nothing before then */
	char *writing;	       /* the text of the write in flight, or NULL */
	uint64_t write_number; /* tells its answer from an earlier one's */
	uint64_t first_sent_ms;
	uint64_t written_ms; /* when the last successful write was sent */
	bool retired;	     /* the write in flight names nobody */
	uint32_t refused;
	uint64_t sent_ms;   /* when the write was sent last */
	uint32_t took_ms;   /* its answer, from then on */
	struct timer timer; /* beat, retry, or a claim to come */
};

/* A write that was sent. */
struct write_call {
	struct owner *owner;
	uint64_t number;
};

static void on_timer(void *arg);
static void consider(struct owner *o);

/*
 * Create the follower of the owner row for this process, which claims
 * handicap_ms later than a strong one.
 */
struct owner *owner_create(struct loop *l, struct rows *r, struct counters *c,
			   const char *instance, uint64_t incarnation,
			   uint32_t handicap_ms, const struct owner_events *ev,
			   void *arg)
{
	struct owner *o = g_new0(struct owner, 1);

	o->loop = l;
	o->rows = r;
	o->counters = c;
	o->ev = *ev;
	o->arg = arg;
	g_strlcpy(o->self.instance, instance, sizeof(o->self.instance));
	o->self.incarnation = incarnation;
	o->handicap_ms = handicap_ms;
	timer_init(&o->timer, on_timer, o);
	return o;
}

/* Free o. */
void owner_destroy(struct owner *o)
{
	if (!o)
		return;
	timer_stop(o->loop, &o->timer);
	free(o->writing);
	g_free(o);
}

/* Report whether this process leads. */
bool owner_leads(const struct owner *o)
{
	return o->role == ROLE_LEADS;
}

/* Report whether a write is in flight. */
bool owner_writing(const struct owner *o)
{
	return o->writing != NULL;
}

/* Return how long the store took for the last write. */
uint32_t owner_write_ms(const struct owner *o)
{
	return o->took_ms;
}

/* Return the epoch of this process's leadership. */
uint64_t owner_epoch(const struct owner *o)
{
	return o->self.epoch;
}

/*
 * Return until when, on our clock, leases can last that earlier leaders
 * have extended; each lasts lease_ms at most on a clock that may be slow.
 */
uint64_t owner_earlier_leases_ms(const struct owner *o, uint32_t lease_ms)
{
	uint64_t renews = o->before_gone ? 0 : RENEW_WITHOUT_STORE_MS;

	return o->before_ms + renews + lease_ms +
	       lease_ms / (CLOCK_SLOW_PART - 1);
}

static void step_down(struct owner *o, const char *why)
{
	log_fields(LOG_WARN, "leadership_lost", "{s:s,s:I,s:s,s:I}", "why", why,
		   "epoch", (json_int_t)o->self.epoch, "owner",
		   o->seen.instance, "owner_epoch", (json_int_t)o->seen.epoch);
	o->role = ROLE_FOLLOWS;
	free(o->writing);
	o->writing = NULL;
	timer_stop(o->loop, &o->timer);
	o->changed_ms = clock_mono_ms();
	o->ev.lost(o->arg, why);
}

static bool is_self(const struct owner *o, const struct owner_record *r)
{
	return !strcmp(r->instance, o->self.instance) &&
	       r->incarnation == o->self.incarnation &&
	       r->epoch == o->self.epoch;
}

/* Take in the owner row as the feed shows it; value NULL: removed. */
void owner_row(struct owner *o, const char *value, uint64_t version)
{
	struct owner_record r;

	if (version < o->version)
		return;
	memset(&r, 0, sizeof(r));
	o->any = value && owner_decode(value, &r);
	if (o->role == ROLE_LEADS) {
		if (o->any && !is_self(o, &r) && r.epoch > o->self.epoch) {
			o->seen = r;
			o->version = version;
			step_down(o, "another instance has claimed");
		}
		return; /* own writes are known by their answers */
	}
	o->seen = r;
	if (version != o->version)
		o->changed_ms = clock_mono_ms();
	o->version = version;
}

static void claimed_or_committed(struct owner *o, uint64_t version)
{
	enum role before = o->role;

	free(o->writing);
	o->writing = NULL;
	o->version = version;
	o->seen = o->self;
	o->any = true;
	o->refused = 0;
	o->written_ms = o->first_sent_ms;
	o->role = ROLE_LEADS;
	timer_start(o->loop, &o->timer, BEAT_MS);
	if (o->retired) {
		o->rests_ms = clock_mono_ms() + (o->yielding ? REST_MS : 0);
		o->yielding = false;
		step_down(o, "given away");
		return;
	}
	if (before == ROLE_CLAIMS) {
		log_fields(LOG_INFO, "leadership_gained", "{s:I,s:I}", "epoch",
			   (json_int_t)o->self.epoch, "version",
			   (json_int_t)version);
		o->ev.gained(o->arg, version);
	} else {
		o->ev.committed(o->arg);
	}
}

static void give_up_claim(struct owner *o)
{
	o->role = ROLE_FOLLOWS;
	free(o->writing);
	o->writing = NULL;
	o->changed_ms = clock_mono_ms();
	timer_stop(o->loop, &o->timer);
}

/* Find the owner row among the rows of a conflict. */
static bool find_owner(const struct rows_answer *a, struct owner_record *r,
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

/* A write met another version than expected: whose is it? */
static void conflict(struct owner *o, const struct rows_answer *a)
{
	struct owner_record r;
	uint64_t version = 0;

	if (find_owner(a, &r, &version) && is_self(o, &r) &&
	    r.sequence == o->self.sequence) {
		/* the same write, sent before, has taken effect */
		claimed_or_committed(o, version);
		return;
	}
	if (version) {
		o->seen = r;
		o->version = version;
		o->any = true;
	}
	if (o->role == ROLE_CLAIMS)
		give_up_claim(o);
	else
		step_down(o, "the owner row has changed");
}

static void write_answered(struct owner *o, const struct rows_answer *a)
{
	uint64_t took = clock_mono_ms() - o->first_sent_ms;
	uint32_t pause = 0;

	switch (a->outcome) {
	case ROWS_OK:
		latency_add(o->counters, "store_write", took * 1000);
		o->took_ms = clock_mono_ms() - o->sent_ms;
		claimed_or_committed(o, a->version);
		return;
	case ROWS_CONFLICT:
		conflict(o, a);
		return;
	case ROWS_REFUSED:
		pause = MIN(REFUSED_PAUSE_MS << MIN(o->refused, 3),
			    REFUSED_PAUSE_MAX_MS);
		break;
	case ROWS_UNKNOWN:
	case ROWS_COMPACTED:
		break;
	}
	if (!o->refused++)
		log_fields(LOG_WARN, "write_failed", "{s:s,s:I,s:I}", "outcome",
			   rows_outcome_name(a->outcome), "epoch",
			   (json_int_t)o->self.epoch, "sequence",
			   (json_int_t)o->self.sequence);
	counter_add(o->counters, "store_write_failed", NULL, 1);
	timer_start(o->loop, &o->timer, pause);
}

static void on_written(void *arg, const struct rows_answer *a)
{
	struct write_call *c = arg;
	struct owner *o = c->owner;

	/* the leadership may have ended meanwhile */
	if (o->writing && c->number == o->write_number)
		write_answered(o, a);
	g_free(c);
}

/* Send the present write, again if need be. */
static void send_write(struct owner *o)
{
	struct write_call *c = g_new0(struct write_call, 1);

	c->owner = o;
	c->number = o->write_number;
	o->sent_ms = clock_mono_ms();
	rows_commit(o->rows, o->writing, rows_call_timeout_ms(o->rows),
		    on_written, c);
}

static void on_timer(void *arg)
{
	struct owner *o = arg;
	uint64_t now = clock_mono_ms();

	if (o->role == ROLE_FOLLOWS) {
		consider(o);
		return;
	}
	if (o->role == ROLE_LEADS &&
	    now > o->written_ms + RENEW_WITHOUT_STORE_MS) {
		step_down(o, "no write succeeded for too long");
		return;
	}
	if (o->writing)
		send_write(o);
	else if (o->role == ROLE_LEADS)
		o->ev.beat(o->arg);
}

static void write_row(struct owner *o, struct rows_tx *t)
{
	struct owner_record r = o->self;
	char *value;

	r.sequence = ++o->self.sequence;
	o->retired = o->retiring || o->yielding;
	if (o->retired)
		r.instance[0] = '\0';
	value = owner_encode(&r);
	rows_tx_expect_version(t, OWNER_TABLE, KEY_OWNER,
			       o->any ? o->version : 0);
	rows_tx_put(t, OWNER_TABLE, KEY_OWNER, value);
	free(value);
	o->writing = rows_tx_encode(t);
	o->write_number++;
	o->first_sent_ms = clock_mono_ms();
	rows_tx_destroy(t);
	send_write(o);
}

/* Write t, which is taken; no write may be in flight. */
void owner_commit(struct owner *o, struct rows_tx *t)
{
	timer_stop(o->loop, &o->timer);
	write_row(o, t);
}

/* Give the leadership away with the next write. */
void owner_retire(struct owner *o)
{
	o->retiring = true;
}

/* Let another instance lead, from the next write on. */
void owner_yield(struct owner *o)
{
	o->yielding = true;
}

static void claim(struct owner *o, bool before_gone)
{
	log_fields(LOG_INFO, "leadership_claim", "{s:s,s:I,s:I,s:b}", "from",
		   o->seen.instance, "epoch", (json_int_t)o->seen.epoch,
		   "unchanged_ms",
		   (json_int_t)(clock_mono_ms() - o->changed_ms), "ended",
		   before_gone);
	o->before_gone = before_gone;
	o->before_ms = before_gone ? clock_mono_ms() : o->changed_ms;
	o->role = ROLE_CLAIMS;
	o->self.epoch = o->seen.epoch + 1;
	o->self.sequence = 0;
	write_row(o, rows_tx_create(LEADER_PART));
}

static void consider(struct owner *o)
{
	uint64_t now = clock_mono_ms();
	uint64_t quiet_since = MAX(o->changed_ms, o->answered_since_ms);
	bool nobody = !o->any || !*o->seen.instance;
	bool self = !nobody && !strcmp(o->seen.instance, o->self.instance);
	uint64_t spread =
		g_str_hash(o->self.instance) % CLAIM_SPREAD_MS + o->handicap_ms;

	if (o->role != ROLE_FOLLOWS || !o->complete || o->retiring ||
	    !o->answered_since_ms || now < o->rests_ms)
		return;
	if (self && o->seen.incarnation != o->self.incarnation)
		claim(o, true);
	else if (nobody && now >= quiet_since + spread)
		claim(o, true);
	else if (nobody && !timer_running(&o->timer))
		timer_start(o->loop, &o->timer, quiet_since + spread - now);
	else if (!nobody && now >= quiet_since + TAKEOVER_MS + spread)
		claim(o, false);
}

/*
 * Decide whether to claim the leadership, after an answer of the store;
 * it has answered every call since answered_since_ms.
 */
void owner_consider(struct owner *o, uint64_t answered_since_ms, bool complete)
{
	o->answered_since_ms = answered_since_ms;
	o->complete = complete;
	consider(o);
}
