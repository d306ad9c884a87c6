/*
 * A replica reads the whole table once, then follows the change feed. If
 * the feed's history has been compacted, it reads the table again. A full read
 * is not older than what was known of the store as it began, so the copy never
 * goes back: a row that a complete read lacks has been removed.
 * Connections may stall silently, so each call has a timeout slightly above
 * its wait time.
 */
#include <string.h>

#include "lead/replica.h"
#include "lib/log.h"

/*
 * Timeout of an answer beyond the wait time: sixty times the store's usual
 * time for a call.
 */
#define ANSWER_TIMEOUT_MS 600
/*
 * The timeout doubles with each failure, at most twice, for a table with
 * large rows. Other tables keep the short timeout so that they notice early
 * when the store is back.
 */
#define ANSWER_TIMEOUT_DOUBLINGS_MAX 2
/* Delay after a failed call, doubled up to the maximum. */
#define RETRY_DELAY_MS 60
#define RETRY_DELAY_MAX_MS 250
/* Maximum number of rows in one page of a full read. */
#define PAGE_ROWS_MAX 500
/*
 * A call that times out in an iteration of the event loop that began this late
 * proves nothing about the store: the process was suspended.
 */
#define PROCESS_STALL_MIN_MS 300

struct stored_row {
	char *value;
	uint64_t version;
	/* Number of the last full read that contained the row. */
	uint32_t seen_in_read;
};

struct replica {
	struct loop *loop;
	struct rows *rows;
	char *table;
	/* Parts of the table, NULL-terminated; not owned. */
	const char *const *parts;
	/* Index of the part that a full read is at. */
	uint32_t part_index;
	/* Maximum time for which the store holds a feed call. */
	uint32_t wait_ms;
	/* A further limit of that time. */
	uint32_t wait_limit_ms;
	/* Delay between an answer and the next feed call. */
	uint32_t poll_delay_ms;
	struct replica_events ev;
	void *arg;
	/* Maps keys to struct stored_row, in order of the keys. */
	GTree *copy;
	/* The table has been read and its feed can be followed. */
	bool complete;
	/* The feed has answered since the table was read. */
	bool feed_answered;
	/* Number of the current or last full read of the table. */
	uint32_t read_number;
	/* A full read is due, and its first call was not sent yet. */
	bool read_due;
	/*
	 * No older page is accepted: what was known as that read began, which
	 * does not rise while reads stay behind the store.
	 */
	uint64_t read_min_version;
	/* Table version at the first page of that read. */
	uint64_t read_version;
	/* The next page of that read starts at this key. */
	char *next_key;
	/* Table version that the replica has reached. */
	uint64_t version;
	/* Time of the newest answer; 0 if there was none. */
	uint64_t answered_ms;
	/* The store answers every call since then; 0 if the last failed. */
	uint64_t answered_since_ms;
	/* The store's clock at answered_ms. */
	uint64_t store_ms;
	/* Count of calls that failed since the newest answer. */
	uint32_t failure_count;
	/* When the call in flight was sent, and what was known then. */
	uint64_t call_sent_ms;
	uint64_t call_known_version;
	/* When the first call of the current or last full read was sent. */
	uint64_t read_sent_ms;
	/* The copy holds all changes until then. */
	uint64_t current_at_ms;
	/* When the feed call before it was sent; 0 if that was no feed call. */
	uint64_t feed_call_sent_ms;
	/* The changes that are being applied were made after this time. */
	uint64_t changes_after_ms;
	/* Rows may take long on a narrow link. */
	bool large_rows;
	/* The next call asks for an immediate answer. */
	bool refresh;
	bool call_in_flight;
	/* The replica is freed when the call in flight returns. */
	bool destroyed;
	struct timer timer;
};

const char *const replica_single_part[] = {"", NULL};

static void send_next_call(void *arg);

static void stored_row_free(void *p)
{
	struct stored_row *s = p;

	g_free(s->value);
	g_free(s);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

/*
 * Create a replica of a table with these parts. The store holds each feed
 * call for at most wait_ms. The callbacks are never called from within this
 * function.
 */
struct replica *replica_create(struct loop *l, struct rows *r,
			       const char *table, const char *const *parts,
			       uint32_t wait_ms,
			       const struct replica_events *ev, void *arg)
{
	struct replica *f = g_new0(struct replica, 1);

	f->loop = l;
	f->rows = r;
	f->table = g_strdup(table);
	f->parts = parts;
	f->wait_ms = wait_ms;
	f->wait_limit_ms = UINT32_MAX;
	f->ev = *ev;
	f->arg = arg;
	f->copy = g_tree_new_full(compare_keys, NULL, g_free, stored_row_free);
	f->next_key = g_strdup("");
	f->read_due = true;
	timer_init(&f->timer, send_next_call, f);
	timer_start(l, &f->timer, 0);
	return f;
}

static void replica_free(struct replica *f)
{
	g_tree_destroy(f->copy);
	g_free(f->next_key);
	g_free(f->table);
	g_free(f);
}

/* Destroy the replica; no callback is called afterwards. */
void replica_destroy(struct replica *f)
{
	if (!f)
		return;
	timer_stop(f->loop, &f->timer);
	f->destroyed = true;
	if (!f->call_in_flight)
		replica_free(f);
}

/* Report whether the whole table has been read. */
bool replica_is_complete(const struct replica *f)
{
	return f->complete;
}

/*
 * Return the time since the newest answer was read in milliseconds; UINT64_MAX
 * if there was none. The copy may be older.
 */
uint64_t replica_age_ms(const struct replica *f)
{
	return f->answered_ms ? clock_mono_ms() - f->answered_ms : UINT64_MAX;
}

/*
 * Return an upper bound on the age of the copy, in milliseconds; UINT64_MAX if
 * there is none. The newest answer may have been read after a pause, but it is
 * newer than its call.
 */
uint64_t replica_age_max_ms(const struct replica *f)
{
	return f->current_at_ms ? clock_mono_ms() - f->current_at_ms
				: UINT64_MAX;
}

/*
 * Return a time until which the copy holds all changes; 0 if it is incomplete.
 */
uint64_t replica_current_at_ms(const struct replica *f)
{
	return f->current_at_ms;
}

/*
 * Return a local time after which the change was made that the `changed`
 * callback is told; 0 if it is unknown or there is none.
 */
uint64_t replica_changes_after_ms(const struct replica *f)
{
	return f->changes_after_ms;
}

/* Allow longer timeouts for rows that take long on a narrow link. */
void replica_expect_large_rows(struct replica *f)
{
	f->large_rows = true;
}

/* Send the next call soon and let the store answer it at once. */
void replica_refresh(struct replica *f)
{
	f->refresh = true;
	if (timer_running(&f->timer) && !f->failure_count)
		timer_start(f->loop, &f->timer, 0);
}

/* Report whether calls fail and none was answered for ms milliseconds. */
bool replica_is_unanswered(const struct replica *f, uint32_t ms)
{
	return f->failure_count && replica_age_ms(f) > ms;
}

/* Return since when every call was answered; 0 if the last one failed. */
uint64_t replica_answered_since_ms(const struct replica *f)
{
	return f->answered_since_ms;
}

/* Return the table version that the replica has reached. */
uint64_t replica_version(const struct replica *f)
{
	return f->version;
}

/*
 * Return the store's monotonic clock, extrapolated from the last answer; 0
 * if there was none.
 */
uint64_t replica_store_clock_ms(const struct replica *f)
{
	if (!f->answered_ms)
		return 0;
	return f->store_ms + (clock_mono_ms() - f->answered_ms);
}

/*
 * Return the store's monotonic clock at the newest answer, which bounds what
 * the copy shows; 0 if there was none.
 */
uint64_t replica_answer_clock_ms(const struct replica *f)
{
	return f->store_ms;
}

/* Set the delay between an answer and the next feed call. */
void replica_set_poll_delay(struct replica *f, uint32_t poll_delay_ms)
{
	if (poll_delay_ms < f->poll_delay_ms && timer_running(&f->timer) &&
	    !f->failure_count)
		timer_start(f->loop, &f->timer, poll_delay_ms);
	f->poll_delay_ms = poll_delay_ms;
}

/* Let the store hold feed calls for at most wait_ms, from the next one on. */
void replica_limit_wait(struct replica *f, uint32_t wait_ms)
{
	f->wait_limit_ms = wait_ms;
}

/* Return the value of a row, or NULL; version may be NULL. */
const char *replica_get(const struct replica *f, const char *key,
			uint64_t *version)
{
	const struct stored_row *s = g_tree_lookup(f->copy, key);

	if (version)
		*version = s ? s->version : 0;
	return s ? s->value : NULL;
}

struct visit {
	const char *prefix;
	replica_row_fn fn;
	void *arg;
};

static gboolean visit_row(gpointer key, gpointer value, gpointer arg)
{
	const struct visit *v = arg;
	const struct stored_row *s = value;

	if (g_str_has_prefix(key, v->prefix))
		v->fn(v->arg, key, s->value, s->version);
	return FALSE;
}

/* Call fn for each row whose key starts with prefix. */
void replica_for_each(const struct replica *f, const char *prefix,
		      replica_row_fn fn, void *arg)
{
	struct visit v = {prefix, fn, arg};

	g_tree_foreach(f->copy, visit_row, &v);
}

/*
 * Apply a row unless the copy has a newer version; NULL removes it. The version
 * of a removal is 0 if it is unknown.
 */
static void apply_row(struct replica *f, const struct row *row)
{
	struct stored_row *s = g_tree_lookup(f->copy, row->key);

	if (!row->value) {
		if (!s || (row->version && row->version < s->version))
			return;
		f->ev.changed(f->arg, row->key, NULL, row->version);
		g_tree_remove(f->copy, row->key);
		return;
	}
	if (s && s->version >= row->version) {
		s->seen_in_read = f->read_number;
		return;
	}
	s = g_new0(struct stored_row, 1);
	s->value = g_strdup(row->value);
	s->version = row->version;
	s->seen_in_read = f->read_number;
	g_tree_replace(f->copy, g_strdup(row->key), s);
	f->ev.changed(f->arg, row->key, s->value, s->version);
}

/* Collects the keys that a full read did not contain. */
struct unseen {
	uint32_t number;
	GPtrArray *keys;
};

static gboolean collect_unseen(gpointer key, gpointer value, gpointer arg)
{
	struct unseen *u = arg;

	if (((struct stored_row *)value)->seen_in_read != u->number)
		g_ptr_array_add(u->keys, g_strdup(key));
	return FALSE;
}

/*
 * Remove the rows that a complete read did not contain; returns how many these
 * were.
 */
static uint32_t remove_unseen(struct replica *f)
{
	struct unseen u = {f->read_number,
			   g_ptr_array_new_with_free_func(g_free)};

	uint32_t removed;

	g_tree_foreach(f->copy, collect_unseen, &u);
	removed = u.keys->len;
	for (guint i = 0; i < removed; i++) {
		struct row gone = {.key = g_ptr_array_index(u.keys, i)};

		apply_row(f, &gone);
	}
	g_ptr_array_free(u.keys, TRUE);
	return removed;
}

static void set_next_key(struct replica *f, char *key)
{
	g_free(f->next_key);
	f->next_key = key;
}

/*
 * Report whether the page after this one begins after it; no page does if no
 * key of this one could be read.
 */
static bool page_can_be_passed(const struct replica *f,
			       const struct rows_answer *a)
{
	return !a->more ||
	       (a->last_key && strcmp(a->last_key, f->next_key) >= 0);
}

/* Advance a full read by one page; the last page completes the replica. */
static void apply_page(struct replica *f, const struct rows_answer *a)
{
	uint32_t removed;

	if (!*f->next_key && !f->part_index)
		f->read_version = f->read_min_version = a->version;
	if (a->more) {
		/* The smallest key above the last one read. */
		set_next_key(f, g_strconcat(a->last_key, "\001", NULL));
		return;
	}
	set_next_key(f, g_strdup(""));
	if (f->parts[++f->part_index])
		return;
	f->part_index = 0;
	removed = remove_unseen(f);
	f->complete = true;
	if (f->version)
		log_fields(LOG_INFO, "table_read_again",
			   "{s:s,s:I,s:I,s:i,s:i}", "table", f->table,
			   "version", (json_int_t)f->read_version, "before",
			   (json_int_t)f->version, "rows",
			   (int)g_tree_nnodes(f->copy), "removed",
			   (int)removed);
	f->version = f->read_version;
	f->current_at_ms = f->read_sent_ms;
}

/* Handle a call that failed, and schedule the next one. */
static void note_failure(struct replica *f, enum rows_outcome o)
{
	uint32_t delay = MIN(RETRY_DELAY_MS << MIN(f->failure_count, 4),
			     RETRY_DELAY_MAX_MS);
	uint64_t late_ms = loop_wakeup_delay_ms(f->loop);

	if (late_ms > PROCESS_STALL_MIN_MS) {
		log_fields(LOG_WARN, "stood_still", "{s:s,s:I}", "table",
			   f->table, "late_ms", (json_int_t)late_ms);
		f->answered_since_ms = 0;
		timer_start(f->loop, &f->timer, 0);
		return;
	}
	if (!f->failure_count++)
		log_fields(LOG_WARN, "store_lost", "{s:s,s:s,s:I}", "table",
			   f->table, "outcome", rows_outcome_name(o), "version",
			   (json_int_t)f->version);
	f->answered_since_ms = 0;
	timer_start(f->loop, &f->timer, delay);
}

/*
 * Apply the rows of an answer. The changes in an answer of the feed are newer
 * than the answer before it, which is newer than its call.
 */
static void apply_rows(struct replica *f, const struct rows_answer *a)
{
	f->changes_after_ms = f->complete ? f->feed_call_sent_ms : 0;
	for (uint32_t i = 0; i < a->len; i++)
		apply_row(f, &a->list[i]);
	f->changes_after_ms = 0;
	f->feed_call_sent_ms = f->complete ? f->call_sent_ms : 0;
}

/*
 * Note that the copy is complete up to an answer of the feed, which may be behind
 * what was known when its call was sent.
 */
static void note_feed_answer(struct replica *f, const struct rows_answer *a)
{
	f->version = a->version;
	f->feed_answered = true;
	if (a->version >= f->call_known_version)
		f->current_at_ms = f->call_sent_ms;
}

static void on_answer(void *arg, const struct rows_answer *a)
{
	struct replica *f = arg;

	f->call_in_flight = false;
	if (f->destroyed) {
		replica_free(f);
		return;
	}
	/* Only the feed has a history that can be dropped. */
	if (a->outcome == ROWS_COMPACTED && f->complete) {
		log_fields(LOG_WARN, "feed_compacted", "{s:s,s:I}", "table",
			   f->table, "version", (json_int_t)f->version);
		f->complete = false;
		f->read_number++;
		f->read_due = true;
		/* a read that is itself older than the history fails again */
		timer_start(f->loop, &f->timer,
			    f->feed_answered ? 0 : RETRY_DELAY_MAX_MS);
		f->feed_answered = false;
		return;
	}
	if (a->outcome != ROWS_OK) {
		note_failure(f, a->outcome);
		return;
	}
	if (!f->complete && !page_can_be_passed(f, a)) {
		note_failure(f, ROWS_UNKNOWN);
		return;
	}
	if (a->refused)
		log_fields(LOG_WARN, "rows_refused", "{s:s,s:i,s:I}", "table",
			   f->table, "rows", (int)a->refused, "version",
			   (json_int_t)a->version);
	if (f->failure_count)
		log_fields(LOG_INFO, "store_regained", "{s:s,s:i}", "table",
			   f->table, "failures", (int)f->failure_count);
	f->failure_count = 0;
	f->answered_ms = clock_mono_ms();
	f->store_ms = a->now_ms;
	if (!f->answered_since_ms)
		f->answered_since_ms = f->answered_ms;
	apply_rows(f, a);
	if (!f->complete)
		apply_page(f, a);
	else
		note_feed_answer(f, a);
	timer_start(f->loop, &f->timer,
		    f->complete && !f->refresh ? f->poll_delay_ms : 0);
	if (f->ev.answered)
		f->ev.answered(f->arg);
}

/* Call the feed, or read the next page while the replica is incomplete. */
static void send_next_call(void *arg)
{
	struct replica *f = arg;
	/* A call that is lost when the store is back must not cost the wait
	 * as well: a change of the policy has to be in force soon after. */
	uint32_t wait = f->refresh || f->failure_count
				? 0
				: MIN(f->wait_ms, f->wait_limit_ms);
	uint32_t answer_timeout =
		ANSWER_TIMEOUT_MS
		<< (f->large_rows ? MIN(f->failure_count,
					ANSWER_TIMEOUT_DOUBLINGS_MAX)
				  : 0);

	f->call_in_flight = true;
	f->refresh = false;
	f->call_sent_ms = clock_mono_ms();
	f->call_known_version = rows_newest_version(f->rows);
	if (f->read_due) {
		f->read_min_version = f->call_known_version;
		f->read_sent_ms = f->call_sent_ms;
	}
	f->read_due = false;
	if (f->complete)
		rows_read_feed(f->rows, f->table, f->version, wait,
			       wait + answer_timeout, on_answer, f);
	else
		rows_read_range(f->rows, f->table, f->parts[f->part_index],
				f->next_key, PAGE_ROWS_MAX, f->read_min_version,
				answer_timeout, on_answer, f);
}
