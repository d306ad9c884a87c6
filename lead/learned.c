/*
 * Reads the rows of an earlier leader once, and writes the changed ones with
 * the leader's other rows, in turn over the lists and their rows.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lead/learned.h"
#include "lead/record.h"
#include "lib/log.h"
#include "lib/schema.h"

/* Format of the rows; those of another format are not read. */
#define ROW_FORMAT 1
/* Minimum time between two writes that take rows along. */
#define WRITE_INTERVAL_MS 2000
/*
 * Maximum number of rows, and their maximum length, in one write: half of the
 * machines' speeds at a time, with which a successor places work.
 */
#define ROWS_PER_WRITE_MAX 8
#define ROW_MAX_BYTES 8192
/* A row takes at most this share of what the store accepts, as a divisor. */
#define ROW_BYTES_DIVISOR 4
/*
 * A write with more entries than this has no room: the platform accepts 100
 * and 1 MB, and those of jobs come first.
 */
#define WRITE_ENTRIES_MAX 60
/* A row is written again after this time even if nothing has changed much. */
#define RENEW_MS (UINT64_C(60) * 60 * 1000)
/* A row that is older than this says nothing about the present clients. */
#define AGE_MAX_MS (UINT64_C(24) * 60 * 60 * 1000)
/*
 * Nothing is written before the rows of the earlier leader were read, but not
 * longer than this: what was learned since is worth more then.
 */
#define READ_MAX_MS 30000
/* Maximum time for which the store holds a feed call; none is expected. */
#define FEED_WAIT_MS 1000
/*
 * Maximum number of entries whose saved values are kept: far more than a list
 * has. Then all count as changed once.
 */
#define SAVED_NAMES_MAX 8192
/* Space for the key of a row. */
#define KEY_BYTES 64
/* Significant digits of the numbers in a row. */
#define VALUE_DIGITS 7

/* Space for the text of a row beside its entries: format and time. */
#define ROW_FRAME_BYTES 80
/* Number of rows into which the durations are divided. */
#define DURATION_ROWS 16
#define DURATION_VALUES 7

struct learned {
	struct loop *loop;
	struct rows *rows;
	struct counters *counters;
	const struct joint_settings *settings;
	struct learned_list lists[LEARNED_LISTS_MAX];
	uint64_t *written_ms[LEARNED_LISTS_MAX]; /* by row; 0: never */
	/* of lists without note_saved: names to values; NULL for others */
	GHashTable *saved[LEARNED_LISTS_MAX];
	uint32_t lists_len;
	struct replica *replica; /* NULL: the rows were read */
	bool started;		 /* the lists were added */
	struct timer read_timer; /* ends the attempt to read them */
	uint64_t last_write_ms;
	/* list, and row of each, at which the next write begins */
	uint32_t next_list;
	uint32_t next_row[LEARNED_LISTS_MAX];
};

static void on_answer(void *arg);
static void give_up_reading(void *arg);

static void ignore_row(void *arg, const char *key, const char *value,
		       uint64_t version)
{
	(void)arg;
	(void)key;
	(void)value;
	(void)version;
}

/* Begin to read the rows of the earlier leader. */
struct learned *learned_create(struct loop *l, struct rows *r,
			       struct counters *c,
			       const struct joint_settings *s)
{
	struct learned *k = g_new0(struct learned, 1);
	struct replica_events ev = {.changed = ignore_row,
				    .answered = on_answer};

	k->loop = l;
	k->rows = r;
	k->counters = c;
	k->settings = s;
	k->replica = replica_create(l, r, LEARNED_TABLE, replica_single_part,
				    FEED_WAIT_MS, &ev, k);
	timer_init(&k->read_timer, give_up_reading, k);
	return k;
}

/* Free k; NULL is allowed. */
void learned_destroy(struct learned *k)
{
	if (!k)
		return;
	timer_stop(k->loop, &k->read_timer);
	replica_destroy(k->replica);
	for (uint32_t i = 0; i < k->lists_len; i++) {
		g_free(k->written_ms[i]);
		if (k->saved[i])
			g_hash_table_destroy(k->saved[i]);
	}
	g_free(k);
}

/* Add a list, whose arg must outlive k, before learned_start. */
void learned_add_list(struct learned *k, struct learned_list list)
{
	g_assert(k->lists_len < LEARNED_LISTS_MAX);
	g_assert(list.values_len <= LEARNED_VALUES_MAX);
	k->written_ms[k->lists_len] = g_new0(uint64_t, list.rows);
	if (!list.note_saved)
		k->saved[k->lists_len] = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
	k->lists[k->lists_len++] = list;
}

/* The entries of one row while it is encoded. */
struct row_writer {
	const struct learned_list *list;
	uint32_t row;
	size_t max_bytes;
	GString *text;
	GPtrArray *names;  /* of its entries */
	GHashTable *saved; /* where their values are kept; may be NULL */
	uint32_t left_out; /* entries that do not fit into the row */
};

static uint32_t row_of(const struct learned_list *list, const char *name)
{
	return g_str_hash(name) % list->rows;
}

/* Return the text of an entry; NULL if it cannot be encoded. */
static char *encode_entry(const struct learned_entry *e)
{
	json_t *v = json_pack("[s]", e->name);
	char *text;

	for (uint32_t i = 0; v && i < e->values_len; i++)
		json_array_append_new(v, json_real(e->values[i]));
	/* json_real gives NULL for a value that is not finite */
	text = v && json_array_size(v) == e->values_len + 1
		       ? json_dumps(v, JSON_COMPACT | JSON_REAL_PRECISION(
							      VALUE_DIGITS))
		       : NULL;
	json_decref(v);
	return text;
}

/* Keep the values of an entry that is saved; saved may be NULL. */
static void save_values(GHashTable *saved, const char *name,
			const double *values, uint32_t len)
{
	if (!saved)
		return;
	/* names that are gone are forgotten with all others */
	if (g_hash_table_size(saved) >= SAVED_NAMES_MAX)
		g_hash_table_remove_all(saved);
	g_hash_table_replace(saved, g_strdup(name),
			     g_memdup2(values, len * sizeof(*values)));
}

/*
 * Add an entry of the row that is encoded, if there is room for it. One that is
 * left out counts as saved too, or its row would be written again and again.
 */
static void write_entry(void *arg, const struct learned_entry *e)
{
	struct row_writer *w = arg;
	char *text;

	if (row_of(w->list, e->name) != w->row)
		return;
	g_ptr_array_add(w->names, g_strdup(e->name));
	save_values(w->saved, e->name, e->values, e->values_len);
	text = encode_entry(e);
	if (text &&
	    w->text->len + strlen(text) + ROW_FRAME_BYTES <= w->max_bytes)
		g_string_append_printf(w->text, "%s%s", w->text->len ? "," : "",
				       text);
	else
		w->left_out++;
	free(text);
}

/* Collect the entries of a row. */
static struct row_writer collect_row(const struct learned_list *list,
				     uint32_t row, size_t max_bytes,
				     GHashTable *saved)
{
	struct row_writer w = {.list = list,
			       .saved = saved,
			       .row = row,
			       .max_bytes = max_bytes,
			       .text = g_string_new(""),
			       .names = g_ptr_array_new_with_free_func(g_free)};

	list->for_each(list->arg, write_entry, &w);
	return w;
}

/* Return the value of the row, to be freed, and release w. */
static char *finish_row(struct row_writer *w, uint64_t store_ms)
{
	char *value =
		g_strdup_printf("{\"format\":%d,\"at_ms\":%" G_GUINT64_FORMAT
				",\"entries\":[%s]}",
				ROW_FORMAT, store_ms, w->text->str);

	g_string_free(w->text, TRUE);
	g_ptr_array_free(w->names, TRUE);
	return value;
}

/* Restore an entry; returns false for a malformed one. */
static bool decode_entry(const struct learned_list *list, const json_t *v,
			 GHashTable *saved)
{
	double values[LEARNED_VALUES_MAX];
	const char *name = json_string_value(json_array_get(v, 0));

	if (!name || json_array_size(v) != list->values_len + 1)
		return false;
	for (uint32_t i = 0; i < list->values_len; i++) {
		const json_t *number = json_array_get(v, i + 1);

		if (!json_is_number(number))
			return false;
		values[i] = json_number_value(number);
	}
	if (!list->restore(list->arg, name, values))
		return false;
	save_values(saved, name, values, list->values_len);
	return true;
}

/*
 * Restore the entries of a row that was read at store_ms on the store's clock,
 * and add them to the result. Keeps their values in `saved` if it is not NULL.
 */
void learned_decode_row(const struct learned_list *list, const char *text,
			uint64_t store_ms, GHashTable *saved,
			struct learned_result *result)
{
	json_t *v = json_loads(text, 0, NULL);
	const json_t *entries = json_object_get(v, "entries"), *entry;
	int64_t at_ms = json_int_or(v, "at_ms", -1);
	size_t i;

	if (json_int_or(v, "format", 0) != ROW_FORMAT || at_ms < 0 ||
	    !json_is_array(entries)) {
		result->malformed++;
		json_decref(v);
		return;
	}
	/* a row that is newer than the store was written before its restart */
	if ((uint64_t)at_ms <= store_ms &&
	    store_ms - (uint64_t)at_ms > AGE_MAX_MS) {
		result->old_rows++;
		json_decref(v);
		return;
	}
	result->rows++;
	json_array_foreach(entries, i, entry)
	{
		if (decode_entry(list, entry, saved))
			result->entries++;
		else
			result->malformed++;
	}
	json_decref(v);
}

/* The rows of a table while they are restored. */
struct restoring {
	const struct learned *learned;
	struct learned_result result;
};

static void restore_row(void *arg, const char *key, const char *value,
			uint64_t version)
{
	struct restoring *r = arg;
	const struct learned *k = r->learned;

	(void)version;
	for (uint32_t i = 0; i < k->lists_len; i++)
		if (g_str_has_prefix(key, k->lists[i].prefix))
			learned_decode_row(&k->lists[i], value,
					   replica_store_clock_ms(k->replica),
					   k->saved[i], &r->result);
}

static void end_reading(struct learned *k)
{
	timer_stop(k->loop, &k->read_timer);
	replica_destroy(k->replica);
	k->replica = NULL;
}

/* Restore the rows, and stop to follow them, once all were read. */
static void on_answer(void *arg)
{
	struct learned *k = arg;
	struct restoring r = {.learned = k};

	if (!k->started || !k->replica || !replica_is_complete(k->replica))
		return;
	replica_for_each(k->replica, "", restore_row, &r);
	log_fields(LOG_INFO, "learned_read", "{s:i,s:i,s:i,s:i}", "rows",
		   (int)r.result.rows, "entries", (int)r.result.entries,
		   "old_rows", (int)r.result.old_rows, "malformed",
		   (int)r.result.malformed);
	end_reading(k);
}

/* Go on without the rows of the earlier leader: they cannot be read. */
static void give_up_reading(void *arg)
{
	struct learned *k = arg;

	log_fields(LOG_WARN, "learned_not_read", "{s:i}", "after_ms",
		   READ_MAX_MS);
	end_reading(k);
}

/*
 * Restore the lists, which were added, from the rows of the earlier leader: now
 * if these were read, or else when they arrive.
 */
void learned_start(struct learned *k)
{
	k->started = true;
	timer_start(k->loop, &k->read_timer, READ_MAX_MS);
	on_answer(k);
}

/* Marks the rows of a list that hold a changed entry. */
struct row_marks {
	const struct learned_list *list;
	GHashTable *saved; /* NULL: the list tells itself what has changed */
	bool *marked;
};

/* Report whether an entry differs from its saved values. */
static bool has_changed(const struct row_marks *m,
			const struct learned_entry *e)
{
	const double *saved =
		m->saved ? g_hash_table_lookup(m->saved, e->name) : NULL;

	if (!m->saved)
		return e->changed;
	for (uint32_t i = 0; saved && i < e->values_len; i++)
		if (!(fabs(e->values[i] - saved[i]) <= m->list->change))
			return true;
	return !saved;
}

static void mark_row(void *arg, const struct learned_entry *e)
{
	struct row_marks *m = arg;

	if (has_changed(m, e))
		m->marked[row_of(m->list, e->name)] = true;
}

/* Add a row to a write; returns whether it has entries. */
static bool add_row(struct learned *k, struct rows_tx *t, uint32_t list_index,
		    uint32_t row, uint64_t store_ms)
{
	const struct learned_list *list = &k->lists[list_index];
	struct row_writer w =
		collect_row(list, row,
			    MIN(ROW_MAX_BYTES, k->settings->value_max_bytes /
						       ROW_BYTES_DIVISOR),
			    k->saved[list_index]);
	bool any = w.text->len;
	char key[KEY_BYTES], *value;

	for (guint i = 0; list->note_saved && i < w.names->len; i++)
		list->note_saved(list->arg, g_ptr_array_index(w.names, i));
	if (w.left_out) {
		log_fields(LOG_WARN, "learned_entries_left_out",
			   "{s:s,s:i,s:i,s:i}", "list", list->prefix, "row",
			   (int)row, "entries", (int)w.left_out, "bound_bytes",
			   (int)w.max_bytes);
		counter_add(k->counters, "learned_entries_left_out", NULL,
			    w.left_out);
	}
	value = finish_row(&w, store_ms);
	if (any) {
		g_snprintf(key, sizeof(key), "%s%u", list->prefix, row);
		rows_tx_put(t, LEARNED_TABLE, key, value);
		counter_add(k->counters, "learned_rows_written", NULL, 1);
	}
	g_free(value);
	return any;
}

/*
 * Add up to max rows of a list that have changed, or are old, to a write;
 * returns how many these were. The list continues where it ended last time.
 */
static uint32_t add_list_rows(struct learned *k, struct rows_tx *t,
			      uint32_t list_index, uint32_t max,
			      uint64_t now_ms, uint64_t store_ms)
{
	const struct learned_list *list = &k->lists[list_index];
	uint64_t *written_ms = k->written_ms[list_index];
	struct row_marks m = {list, k->saved[list_index],
			      g_new0(bool, list->rows)};
	uint32_t added = 0, first = k->next_row[list_index];

	list->for_each(list->arg, mark_row, &m);
	for (uint32_t i = 0; i < list->rows && added < max; i++) {
		uint32_t row = (first + i) % list->rows;

		if (!m.marked[row] &&
		    (!written_ms[row] || now_ms < written_ms[row] + RENEW_MS))
			continue;
		if (!add_row(k, t, list_index, row, store_ms))
			continue;
		written_ms[row] = now_ms;
		k->next_row[list_index] = (row + 1) % list->rows;
		added++;
	}
	g_free(m.marked);
	return added;
}

/*
 * Add changed rows to a write of the leader, which has its other entries, at
 * most ROWS_PER_WRITE_MAX once in WRITE_INTERVAL_MS. A write that fails loses
 * them until they change again.
 */
void learned_add_rows(struct learned *k, struct rows_tx *t, uint64_t now_ms,
		      uint64_t store_ms)
{
	uint32_t added = 0;

	if (k->replica || rows_tx_count_entries(t) > WRITE_ENTRIES_MAX ||
	    (k->last_write_ms && now_ms < k->last_write_ms + WRITE_INTERVAL_MS))
		return;
	/* looking for changes costs time too, so it is as rare */
	k->last_write_ms = now_ms;
	for (uint32_t i = 0; i < k->lists_len; i++)
		added += add_list_rows(k, t, (k->next_list + i) % k->lists_len,
				       ROWS_PER_WRITE_MAX - added, now_ms,
				       store_ms);
	if (k->lists_len)
		k->next_list = (k->next_list + 1) % k->lists_len;
}

/* Passes the groups of durations on as entries. */
struct group_visit {
	learned_entry_fn fn;
	void *arg;
};

static void visit_group(void *arg, const char *name,
			const struct duration_moments *m, bool changed)
{
	const struct group_visit *v = arg;
	const double values[DURATION_VALUES] = {
		m->runs,   m->mean_x,	m->mean_y,    m->sum_xx,
		m->sum_xy, m->variance, m->tail_share};
	struct learned_entry e = {name, values, DURATION_VALUES, changed};

	v->fn(v->arg, &e);
}

static void for_each_group(void *arg, learned_entry_fn fn, void *fn_arg)
{
	struct group_visit v = {fn, fn_arg};

	duration_for_each_group(estimator_durations(arg), visit_group, &v);
}

static bool restore_group(void *arg, const char *name, const double *values)
{
	struct duration_moments m = {values[0], values[1], values[2], values[3],
				     values[4], values[5], values[6]};

	estimator_note_restored(arg);
	return duration_restore_group(estimator_durations(arg), name, &m);
}

static void note_group_saved(void *arg, const char *name)
{
	duration_note_saved(estimator_durations(arg), name);
}

/* Return the list of the durations that e has learned. */
struct learned_list learned_durations(struct estimator *e)
{
	return (struct learned_list){.prefix = "durations/",
				     .rows = DURATION_ROWS,
				     .values_len = DURATION_VALUES,
				     .for_each = for_each_group,
				     .restore = restore_group,
				     .note_saved = note_group_saved,
				     .arg = e};
}
