/* JSON encoding of the admission row. */
#include <jansson.h>

#include "lead/admissionrow.h"
#include "lib/schema.h"

/* Return the queues of a as JSON. */
static json_t *encode_queues(const struct admission *a)
{
	json_t *list = json_array();

	for (guint i = 0; i < a->queues->len; i++) {
		const struct admission_queue *q =
			&g_array_index(a->queues, struct admission_queue, i);

		json_array_append_new(
			list,
			json_pack("{s:s,s:I,s:I}", "queue", q->name, "wait_ms",
				  (json_int_t)q->wait_ms, "fair_wait_ms",
				  (json_int_t)q->fair_wait_ms));
	}
	return list;
}

/*
 * Encode the row, written at written_ms on the store's clock; release with
 * free(). Returns NULL if a name is not valid UTF-8.
 */
char *admission_row_encode(const struct admission *a, uint64_t written_ms)
{
	json_t *accounts = json_array(), *v;
	char *text;

	for (guint i = 0; i < a->accounts->len; i++)
		json_array_append_new(accounts, json_string(g_ptr_array_index(
							a->accounts, i)));
	v = json_pack("{s:I,s:o,s:o}", "written_ms", (json_int_t)written_ms,
		      "queues", encode_queues(a), "above_share", accounts);
	text = v ? json_dumps(v, JSON_COMPACT) : NULL;
	json_decref(v);
	return text;
}

/* Add a queue of the row to a; one that cannot be read is left out. */
static void decode_queue(const json_t *v, struct admission *a)
{
	struct admission_queue q = {.wait_ms = 0};
	int64_t wait_ms = json_int_or(v, "wait_ms", -1);
	int64_t fair_wait_ms = json_int_or(v, "fair_wait_ms", -1);

	if (wait_ms < 0 || fair_wait_ms < 0)
		return;
	text_set(&q.name, json_str_or(v, "queue", ""));
	q.wait_ms = wait_ms;
	q.fair_wait_ms = MIN(fair_wait_ms, wait_ms);
	g_array_append_val(a->queues, q);
}

/*
 * Decode the row and set *written_ms to when it was written, on the store's
 * clock. Returns NULL for a malformed row; release with admission_destroy.
 */
struct admission *admission_row_decode(const char *text, uint64_t *written_ms)
{
	json_t *v = json_loads(text, 0, NULL);
	int64_t at_ms = json_int_or(v, "written_ms", -1);
	const json_t *item;
	struct admission *a = NULL;
	size_t i;

	if (at_ms < 0)
		goto out;
	a = admission_create();
	*written_ms = at_ms;
	json_array_foreach(json_object_get(v, "queues"), i, item)
		decode_queue(item, a);
	json_array_foreach(json_object_get(v, "above_share"), i,
			   item) if (json_is_string(item) &&
				     a->accounts->len < ADMISSION_ACCOUNTS_MAX)
		g_ptr_array_add(a->accounts, g_strdup(json_string_value(item)));
out:
	json_decref(v);
	return a;
}

/*
 * Report whether a row written at written_ms is to be followed at store_ms,
 * both on the store's clock, which may have begun anew.
 */
bool admission_row_is_valid(uint64_t written_ms, uint64_t store_ms)
{
	return store_ms <= written_ms + ADMISSION_AGE_MAX_MS &&
	       written_ms <= store_ms + ADMISSION_AGE_MAX_MS;
}
