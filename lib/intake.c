/*
 * Holders of more than SMALL_BYTES are large. They share the budget without
 * the reserve, so that small requests are read and answered while large ones
 * are refused.
 */
#include <glib.h>

#include "lib/intake.h"

/* The connection of an ordinary request of some KB holds less. */
#define SMALL_BYTES 32768
/*
 * Longest time without progress that weighs in the choice of what is closed: an
 * idle connection holds little, however long it is idle.
 */
#define STALL_WEIGHT_MAX_MS 10000

struct intake {
	struct intake_limits limits;
	GPtrArray *conns;
	uint64_t bytes;	      /* of connections and of handed requests */
	uint64_t large_bytes; /* the part of large holders */
	/* the parts of connections that close soon */
	uint64_t closing_bytes;
	uint64_t closing_large_bytes;
	uint64_t counts[INTAKE_REASON_COUNT];
};

/* Create an intake without connections. */
struct intake *intake_create(const struct intake_limits *l)
{
	struct intake *in = g_new0(struct intake, 1);

	in->limits = *l;
	in->conns = g_ptr_array_new();
	return in;
}

/* Free in, but not the connections, which their owners hold. */
void intake_destroy(struct intake *in)
{
	if (!in)
		return;
	g_ptr_array_free(in->conns, TRUE);
	g_free(in);
}

/* Change the limits; what exceeds them is closed by the next checks. */
void intake_set_limits(struct intake *in, const struct intake_limits *l)
{
	in->limits = *l;
}

/* Count bytes that a handed request holds besides its connection. */
void intake_hold(struct intake *in, uint64_t bytes)
{
	in->bytes += bytes;
	if (bytes > SMALL_BYTES)
		in->large_bytes += bytes;
}

/* End what intake_hold has counted. */
void intake_release(struct intake *in, uint64_t bytes)
{
	in->bytes -= bytes;
	if (bytes > SMALL_BYTES)
		in->large_bytes -= bytes;
}

/* Count what c holds. */
static void add_conn_bytes(struct intake *in, const struct intake_conn *c)
{
	intake_hold(in, c->bytes);
	if (c->state != INTAKE_CLOSING)
		return;
	in->closing_bytes += c->bytes;
	if (c->bytes > SMALL_BYTES)
		in->closing_large_bytes += c->bytes;
}

static void subtract_conn_bytes(struct intake *in, const struct intake_conn *c)
{
	intake_release(in, c->bytes);
	if (c->state != INTAKE_CLOSING)
		return;
	in->closing_bytes -= c->bytes;
	if (c->bytes > SMALL_BYTES)
		in->closing_large_bytes -= c->bytes;
}

/* Add an idle connection, which holds nothing yet. */
void intake_open(struct intake *in, struct intake_conn *c, uint64_t now_ms)
{
	*c = (struct intake_conn){.state = INTAKE_IDLE,
				  .state_ms = now_ms,
				  .progress_ms = now_ms,
				  .slot = in->conns->len};
	g_ptr_array_add(in->conns, c);
}

/* Remove a connection and what it holds. */
void intake_close(struct intake *in, struct intake_conn *c)
{
	struct intake_conn *last;

	subtract_conn_bytes(in, c);
	last = g_ptr_array_index(in->conns, in->conns->len - 1);
	last->slot = c->slot;
	g_ptr_array_index(in->conns, c->slot) = last;
	g_ptr_array_set_size(in->conns, (int)in->conns->len - 1);
}

/* Note what c does and holds now, and whether bytes have arrived. */
void intake_update(struct intake *in, struct intake_conn *c,
		   enum intake_state state, uint64_t bytes, bool progress,
		   uint64_t now_ms)
{
	subtract_conn_bytes(in, c);
	if (state != c->state)
		c->state_ms = now_ms;
	if (progress)
		c->progress_ms = now_ms;
	c->state = state;
	c->bytes = bytes;
	add_conn_bytes(in, c);
	c->served |= state == INTAKE_HANDED;
}

static uint64_t large_limit(const struct intake *in)
{
	return in->limits.bytes - in->limits.reserve_bytes;
}

/*
 * Report whether the budget, or its part for large holders, is exceeded by
 * other connections than those that close already.
 */
bool intake_has_excess_bytes(const struct intake *in)
{
	return in->bytes - in->closing_bytes > in->limits.bytes ||
	       in->large_bytes - in->closing_large_bytes > large_limit(in);
}

/*
 * Report whether a holder of so many bytes, which are counted already, is
 * within its part of the budget.
 */
bool intake_allows(const struct intake *in, uint64_t bytes)
{
	return in->bytes <= in->limits.bytes &&
	       (bytes <= SMALL_BYTES || in->large_bytes <= large_limit(in));
}

/* The owner of an unanswered request is never closed. */
static bool can_close(const struct intake_conn *c)
{
	return c->state != INTAKE_HANDED && c->state != INTAKE_CLOSING;
}

/*
 * Report whether the budget is kept if all connections close that can: if not,
 * no connection need be closed for a request that is refused in any case.
 */
bool intake_can_make_room(const struct intake *in)
{
	uint64_t bytes = in->bytes, large_bytes = in->large_bytes;

	for (guint i = 0; i < in->conns->len; i++) {
		const struct intake_conn *c = g_ptr_array_index(in->conns, i);

		if (!can_close(c))
			continue;
		bytes -= c->bytes;
		if (c->bytes > SMALL_BYTES)
			large_bytes -= c->bytes;
	}
	return bytes <= in->limits.bytes && large_bytes <= large_limit(in);
}

/* Report whether no further connection is allowed. */
bool intake_is_full(const struct intake *in)
{
	return in->conns->len >= in->limits.connections;
}

/* Return for how long c has made no progress, in milliseconds, at least 1. */
static uint64_t stalled_ms(const struct intake_conn *c, uint64_t now_ms)
{
	uint64_t since_ms = MAX(c->state_ms, c->progress_ms);

	return now_ms > since_ms ? now_ms - since_ms : 1;
}

/*
 * Return the connection to close for the bytes that it holds: that with the
 * most bytes, weighted by the time without progress. Small ones are left alone
 * if only the part for large ones is exceeded. Returns NULL if there is none.
 */
struct intake_conn *intake_pick_for_bytes(const struct intake *in,
					  uint64_t now_ms)
{
	bool large_only = in->bytes - in->closing_bytes <= in->limits.bytes;
	struct intake_conn *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < in->conns->len; i++) {
		struct intake_conn *c = g_ptr_array_index(in->conns, i);
		uint64_t weight = c->bytes * MIN(stalled_ms(c, now_ms),
						 STALL_WEIGHT_MAX_MS);

		if (!can_close(c) || !c->bytes ||
		    (large_only && c->bytes <= SMALL_BYTES))
			continue;
		if (!best || best->trusted > c->trusted ||
		    (best->trusted == c->trusted && weight > best_weight)) {
			best = c;
			best_weight = weight;
		}
	}
	return best;
}

/* Compare by how little is lost when a connection is closed. */
static bool is_better_to_close(const struct intake_conn *c,
			       const struct intake_conn *best, uint64_t now_ms)
{
	if (c->trusted != best->trusted)
		return best->trusted;
	if (c->served != best->served)
		return best->served;
	return stalled_ms(c, now_ms) > stalled_ms(best, now_ms);
}

/*
 * Return the connection to close to make room for another: one that has never
 * had a request served, and the longest without progress. Returns NULL if all
 * have unanswered requests.
 */
struct intake_conn *intake_pick_for_room(const struct intake *in,
					 uint64_t now_ms)
{
	struct intake_conn *best = NULL;

	for (guint i = 0; i < in->conns->len; i++) {
		struct intake_conn *c = g_ptr_array_index(in->conns, i);

		if (can_close(c) &&
		    (!best || is_better_to_close(c, best, now_ms)))
			best = c;
	}
	return best;
}

/* Return a connection that exceeds a time limit and set *why, or NULL. */
struct intake_conn *intake_pick_overdue(const struct intake *in,
					uint64_t now_ms,
					enum intake_reason *why)
{
	for (guint i = 0; i < in->conns->len; i++) {
		struct intake_conn *c = g_ptr_array_index(in->conns, i);
		/* a link between peers may be busy without a pause */
		uint64_t since_ms = c->trusted
					    ? MAX(c->state_ms, c->progress_ms)
					    : c->state_ms;

		if (c->state == INTAKE_READING &&
		    now_ms > since_ms + in->limits.request_ms) {
			*why = INTAKE_SLOW_REQUEST;
			return c;
		}
		if (c->state == INTAKE_REPLYING &&
		    now_ms > since_ms + in->limits.reply_ms) {
			*why = INTAKE_SLOW_READER;
			return c;
		}
	}
	return NULL;
}

/* Count a closed connection or a refused request. */
void intake_count(struct intake *in, enum intake_reason why)
{
	in->counts[why]++;
}

/* Return how many were counted for this reason. */
uint64_t intake_counted(const struct intake *in, enum intake_reason why)
{
	return in->counts[why];
}

const char *intake_reason_name(enum intake_reason why)
{
	switch (why) {
	case INTAKE_BYTES:
		return "bytes";
	case INTAKE_CONNECTIONS:
		return "connections";
	case INTAKE_SLOW_REQUEST:
		return "slow_request";
	case INTAKE_SLOW_READER:
		return "slow_reader";
	case INTAKE_REFUSED:
		return "refused";
	case INTAKE_REASON_COUNT:
		break;
	}
	return "";
}

/* Return the bytes that connections and handed requests hold. */
uint64_t intake_bytes(const struct intake *in)
{
	return in->bytes;
}

/* Return the number of open connections. */
uint32_t intake_connections(const struct intake *in)
{
	return in->conns->len;
}

/* Return connection i of those that are open, in no order. */
struct intake_conn *intake_connection_at(const struct intake *in, uint32_t i)
{
	return g_ptr_array_index(in->conns, i);
}
