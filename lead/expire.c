/* Finds the rows that are no longer needed in the replicas of the tables. */
#include <stdlib.h>
#include <string.h>

#include "lead/expire.h"
#include "lead/record.h"
#include "lib/log.h"
#include "peer/roster.h"

/*
 * Entries of a transaction beyond which no job is added to it. The platform
 * accepts 100, and a job adds up to three rows and their conditions.
 */
#define PART_ENTRIES_MAX 94

/* Removals of one pass, by the part that holds the rows. */
struct removal {
	const struct expiry *expiry;
	struct rows_tx *states;
	struct rows_tx *parts[JOB_PARTS];
};

/*
 * Return the removals from the part that holds the rows of this job, or NULL
 * if they are full.
 */
static struct rows_tx *part_transaction(struct removal *r, const char *id)
{
	const char *part = job_part(id);
	uint32_t n = 0;

	while (job_parts[n] != part)
		n++;
	if (!r->parts[n])
		r->parts[n] = rows_tx_create(part);
	return rows_tx_count_entries(r->parts[n]) < PART_ENTRIES_MAX
		       ? r->parts[n]
		       : NULL;
}

/*
 * Remove a row if the copy of its table holds it. Returns whether it is known
 * to be gone; a copy older than min_version may lack a row that exists. The
 * removal is conditional: carried out late, it would remove the row of a later
 * job or cancel request of the same ID.
 */
static bool remove_row(struct rows_tx *t, const struct replica *copy,
		       const char *table, const char *key, uint64_t min_version)
{
	uint64_t version;

	if (!replica_get(copy, key, &version))
		return replica_version(copy) >= min_version;
	rows_tx_expect_version(t, table, key, version);
	rows_tx_remove(t, table, key);
	return false;
}

/* Remove the row job/ID; returns whether it is known to be gone. */
static bool remove_job_row(struct rows_tx *t, const struct expiry *e,
			   const char *id, uint64_t min_version)
{
	char *key = g_strconcat(KEY_JOB, id, NULL);
	bool gone = remove_row(t, e->jobs, JOB_TABLE, key, min_version);

	g_free(key);
	return gone;
}

/*
 * Report whether a cancel request was made so long ago that no submission of
 * the same ID can still be under way.
 */
static bool cancel_has_expired(const struct expiry *e, const char *value)
{
	struct cancel_record c;

	cancel_decode(value, &c);
	return c.at_ms < e->before_ms;
}

/* The same as remove_job_row for a cancel request, which may be repeated. */
static bool remove_cancel_row(struct rows_tx *t, const struct expiry *e,
			      const char *id, uint64_t min_version)
{
	char *key = g_strconcat(KEY_CANCEL, id, NULL);
	const char *value = replica_get(e->jobs, key, NULL);
	bool gone = false;

	if (!value || cancel_has_expired(e, value))
		gone = remove_row(t, e->jobs, JOB_TABLE, key, min_version);
	g_free(key);
	return gone;
}

/*
 * Remove the rows of a job that has ended. Its state row is the last: without
 * it, the others would be those of a new job.
 */
static void remove_ended_job(void *arg, const char *id, const char *value,
			     uint64_t version)
{
	struct removal *r = arg;
	const struct expiry *e = r->expiry;
	struct state_record s;
	struct rows_tx *t;
	bool gone;

	if (!state_decode(value, &s) || !job_state_is_final(s.state) ||
	    model_find_job(e->model, id))
		return;
	t = part_transaction(r, id);
	if (!t)
		return;
	gone = remove_row(t, e->specs, SPEC_TABLE, id, version);
	if (!state_expired(&s, e->before_ms))
		return;
	gone &= remove_job_row(t, e, id, version);
	gone &= remove_cancel_row(t, e, id, version);
	if (gone && rows_tx_count_entries(r->states) < EXPIRE_ROWS_MAX)
		rows_tx_remove(r->states, STATE_TABLE, id);
}

/* Report whether rows of a job with this ID may exist. */
static bool job_may_exist(const struct expiry *e, const char *id)
{
	char *key = g_strconcat(KEY_JOB, id, NULL);
	bool found = replica_get(e->jobs, key, NULL) ||
		     replica_get(e->states, id, NULL) ||
		     model_find_job(e->model, id);

	g_free(key);
	return found;
}

/*
 * Remove a cancel request for an ID without a job, once it has expired. No job
 * of that ID can be accepted before.
 */
static void remove_refused_id(void *arg, const char *key, const char *value,
			      uint64_t version)
{
	struct removal *r = arg;
	const char *id = key + strlen(KEY_CANCEL);
	struct rows_tx *t;

	(void)version;
	if (!cancel_has_expired(r->expiry, value) ||
	    job_may_exist(r->expiry, id))
		return;
	t = part_transaction(r, id);
	if (t)
		remove_row(t, r->expiry->jobs, JOB_TABLE, key, 0);
}

static void on_removed(void *arg, const struct rows_answer *a)
{
	(void)arg;
	/* The state rows remain, so the next pass finds these again. */
	if (a->outcome != ROWS_OK)
		log_fields(LOG_WARN, "removal_failed", "{s:s}", "outcome",
			   rows_outcome_name(a->outcome));
}

/*
 * Remove the specs of ended jobs, the remaining rows of those that can no
 * longer be queried, and old cancel requests for IDs without a job. Removals of
 * the leader's rows are added to `states`. The others may be removed at any
 * time and by any instance, as each is conditional on its row.
 */
void expire_rows(const struct expiry *e, struct rows_tx *states)
{
	struct removal r = {.expiry = e, .states = states};

	replica_for_each(e->states, "", remove_ended_job, &r);
	/* a copy that is being read may show a request without its job */
	if (replica_is_complete(e->jobs))
		replica_for_each(e->jobs, KEY_CANCEL, remove_refused_id, &r);
	for (uint32_t i = 0; i < JOB_PARTS; i++) {
		char *text;

		if (!r.parts[i])
			continue;
		text = rows_tx_encode(r.parts[i]);
		if (rows_tx_count_entries(r.parts[i]))
			rows_commit(e->rows, text,
				    rows_call_timeout_ms(e->rows), on_removed,
				    NULL);
		free(text);
		rows_tx_destroy(r.parts[i]);
	}
}

struct instance_removal {
	const struct replica *owners;
	struct rows_tx *tx;
};

static void remove_instance(void *arg, const char *key, const char *value,
			    uint64_t version)
{
	struct instance_removal *r = arg;
	struct peer_record p = {.domain = NULL};

	(void)version;
	if (rows_tx_count_entries(r->tx) < EXPIRE_ROWS_MAX &&
	    (!peer_record_decode(key + strlen(KEY_INSTANCE), value, &p) ||
	     peer_record_is_expired(&p, replica_answer_clock_ms(r->owners))))
		rows_tx_remove(r->tx, OWNER_TABLE, key);
	peer_record_clear(&p);
}

/*
 * Add to t the removal of instance rows that are malformed or were not
 * renewed for too long when the copy was read.
 */
void expire_instances(const struct replica *owners, struct rows_tx *t)
{
	struct instance_removal r = {owners, t};

	replica_for_each(owners, KEY_INSTANCE, remove_instance, &r);
}
