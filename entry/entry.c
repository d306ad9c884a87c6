/*
 * Handles callers' requests. Each request gets one answer. A transaction that
 * was not answered is retried until its outcome is known. A caller whose
 * deadline expires first gets 504, which says nothing about the outcome.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/jobcache.h"
#include "lead/admissionrow.h"
#include "entry/entry.h"
#include "lead/record.h"
#include "lib/log.h"
#include "lib/ratelimit.h"
#include "platform/decode.h"
#include "platform/ingress.h"
#include "platform/rows.h"
#include "sched/footprint.h"

/* Timeout of a request whose caller does not state one. */
#define CALLER_TIMEOUT_DEFAULT_MS 3000
/* An answer is sent this long before the caller's deadline. */
#define REPLY_MARGIN_MS 150
/*
 * Minimum timeout of a write before it is retried. With a shorter one a store
 * that is only slow would execute the write twice, and waiting costs little:
 * the job starts whether its caller has been answered or not.
 */
#define WRITE_TIMEOUT_MIN_MS 800
/* A call that the store refuses is retried for at most this long. */
#define REFUSED_RETRY_MAX_MS 150
#define REFUSED_RETRY_DELAY_MS 60
/* Retry-After of a request that fails because of the store. */
#define STORE_RETRY_AFTER_MS 1000
/*
 * Maximum wait of a state request for a newer state: a state that is not final
 * may have changed just now, and the replica of the table may not show it yet.
 */
#define STATE_WAIT_MAX_MS 80
/*
 * Delays between reads of the feed of states. The first applies while a request
 * waits for a change, the second at all other times.
 */
#define STATES_POLL_DELAY_AWAITED_MS 5
#define STATES_POLL_DELAY_MS 300
/* The store counts as silent after it has not answered for this long. */
#define STORE_SILENT_MIN_MS 1300
/*
 * Minimum stall of the whole process after which the policy is read again,
 * because keys and queues may have been withdrawn during the stall. It is half
 * of the shortest time within which a configuration must take effect.
 */
#define STALL_REVALIDATE_MIN_MS 1000
/*
 * Maximum wait for that read. After it requests are served with the known
 * policy, because the store may be unreachable.
 */
#define REVALIDATE_TIMEOUT_MS 600
/*
 * Retry-After of a job for which the leader has no memory. When other jobs end
 * is not known; most run for some seconds.
 */
#define MEMORY_RETRY_AFTER_MS 5000
/* What callers are told with 429. */
#define MEMORY_TEXT                                                            \
	"no memory for more jobs; it was not accepted and never runs"
#define OVERLOAD_TEXT "overload; it was not accepted and never runs"
#define JOB_ID_DIGITS_COUNT 16
/*
 * A job is refused for overload only if accepted jobs were listed this recently,
 * so that one that was accepted before is recognised.
 */
#define ADMISSION_JOBS_AGE_MAX_MS 1500
/*
 * A cancel request for an ID without a job is stored as long as an ended job.
 * These bounds keep a caller that cancels IDs at random from filling the table,
 * and from taking the writes of the store: rows of all instances, and how many
 * of them one instance writes in the long run and at once.
 */
#define REFUSED_IDS_MAX 10000
#define REFUSED_IDS_PER_S_MAX 20
#define REFUSED_IDS_BURST_MAX 40

struct entry {
	struct entry_env env;
	struct http_server *server;
	struct job_cache *job_cache;
	GHashTable *state_waiters; /* state requests that wait for a change */
	const struct policy *policy;
	/* Start of the policy read that follows a stall, or 0 if none runs. */
	uint64_t revalidating_since_ms;
	GPtrArray *deferred; /* requests that wait for that read */
	struct timer revalidate_timer;
	struct rate_limit refused_ids;
	/* The leader's decision on admission, NULL: none, and its time. */
	struct admission *admission;
	uint64_t admission_written_ms; /* on the store's clock */
	struct job_memory *job_memory;
};

enum entry_request_kind {
	ENTRY_REQUEST_SUBMIT,
	ENTRY_REQUEST_STATE,
	ENTRY_REQUEST_CANCEL,
	ENTRY_REQUEST_COUNT,
};

/* Why a submission is refused with 429. */
struct refusal {
	const char *why;     /* logged */
	const char *counter; /* counts such refusals */
	const char *text;    /* for the caller */
	uint32_t retry_after_ms;
};

/* A request that waits for the store. */
struct request {
	struct entry *entry;
	struct http_exchange *exchange;
	enum entry_request_kind kind;
	char id[JOB_ID_BYTES];
	const char *account; /* a held text */
	/* encoded submission; NULL: none, or it does not fit into memory */
	char *write;
	bool counted; /* job_memory counts it because of this request */
	struct refusal refusal; /* of a submission without a write */
	uint64_t received_ms;
	uint64_t deadline_ms;
	bool write_uncertain; /* an unanswered write may have been executed */
	bool job_found;	      /* the job is known to exist */
	struct timer timer;
};

static const char *request_kind_name(enum entry_request_kind k)
{
	switch (k) {
	case ENTRY_REQUEST_SUBMIT:
		return "submit";
	case ENTRY_REQUEST_STATE:
		return "state";
	case ENTRY_REQUEST_CANCEL:
		return "cancel";
	case ENTRY_REQUEST_COUNT:
		return "count";
	}
	return "";
}

static void count_answer(struct entry *n, enum entry_request_kind k, int status)
{
	char label[64];

	g_snprintf(label, sizeof(label), "kind=\"%s\",status=\"%d\"",
		   request_kind_name(k), status);
	counter_add(n->env.counters, "requests", label, 1);
}

/*
 * Return the age of the newest answer about jobs and states, in milliseconds.
 */
static uint64_t jobs_age_ms(const struct entry *n)
{
	return MIN(replica_age_ms(n->env.jobs), replica_age_ms(n->env.states));
}

/* Return the age of the newest answer of the store, in milliseconds. */
uint64_t entry_store_age_ms(const struct entry *n)
{
	return MIN(jobs_age_ms(n), replica_age_ms(n->env.policies));
}

/*
 * Report whether calls to the store fail and none has been answered for
 * STORE_SILENT_MIN_MS. The table of states is read most often, so its calls
 * fail first; the other tables may show earlier that the store is back.
 */
static bool store_is_silent(const struct entry *n)
{
	return replica_is_unanswered(n->env.states, STORE_SILENT_MIN_MS) &&
	       entry_store_age_ms(n) > STORE_SILENT_MIN_MS;
}

static void reply_error(struct http_exchange *x, int status, const char *why,
			uint32_t retry_after_ms)
{
	exchange_reply_json(x, status, json_pack("{s:s}", "error", why),
			    retry_after_ms);
}

static bool is_job_id(const char *s)
{
	size_t n = 0;

	for (; s[n]; n++)
		if (!g_ascii_isxdigit(s[n]))
			return false;
	return n == JOB_ID_DIGITS_COUNT;
}

/* Reject x at once. An id of another form may be any bytes: it is not logged. */
static void reject_request(struct entry *n, struct http_exchange *x,
			   enum entry_request_kind k, const char *id,
			   int status, const char *why, uint32_t retry_after_ms)
{
	log_fields(LOG_INFO, "request_refused", "{s:s,s:s,s:i,s:s,s:I}", "job",
		   is_job_id(id) ? id : "", "kind", request_kind_name(k),
		   "status", status, "why", why, "policy",
		   (json_int_t)(n->policy ? n->policy->version : 0));
	count_answer(n, k, status);
	reply_error(x, status, why, retry_after_ms);
}

static struct job_memory_limits memory_limits(const struct entry *n)
{
	return n->env.memory_limits ? n->env.memory_limits(n->env.arg)
				    : (struct job_memory_limits){0};
}

/* Return the memory of the jobs that have not ended, in bytes. */
uint64_t entry_job_memory_bytes(const struct entry *n)
{
	return job_cache_live_bytes(n->job_cache);
}

/* Return how much memory jobs may take, in bytes; 0: no bound. */
uint64_t entry_job_memory_bound_bytes(const struct entry *n)
{
	return job_memory_bound_bytes(memory_limits(n).least_mb);
}

static void request_free(struct request *r)
{
	timer_stop(r->entry->env.loop, &r->timer);
	free(r->write);
	text_clear(&r->account);
	g_free(r);
}

/* Answer r and free it. */
static void finish_request(struct request *r, int status, const char *why,
			   uint32_t retry_after_ms)
{
	struct entry *n = r->entry;

	log_fields(status < 400 ? LOG_INFO : LOG_WARN, "request_ended",
		   "{s:s,s:s,s:i,s:s,s:I,s:b,s:I}", "job", r->id, "kind",
		   request_kind_name(r->kind), "status", status, "why", why,
		   "took_ms", (json_int_t)(clock_mono_ms() - r->received_ms),
		   "uncertain", r->write_uncertain, "table_age_ms",
		   (json_int_t)jobs_age_ms(n));
	if (r->counted && status >= 400 && !r->write_uncertain)
		job_memory_remove(n->job_memory, r->id);
	count_answer(n, r->kind, status);
	latency_add(n->env.counters, request_kind_name(r->kind),
		    (clock_mono_ms() - r->received_ms) * 1000);
	if (status < 300)
		exchange_reply(r->exchange, status, "application/json", "{}",
			       0);
	else
		reply_error(r->exchange, status, why, retry_after_ms);
	request_free(r);
}

/* Answer r, whose deadline has passed, and free it. */
static void finish_timed_out(struct request *r)
{
	if (r->write_uncertain || r->kind == ENTRY_REQUEST_STATE)
		finish_request(r, 504, "the store did not answer in time", 0);
	else
		finish_request(r, 503, "out of time; nothing was done",
			       STORE_RETRY_AFTER_MS);
}

static void send_request(struct request *r);

/* Send r again, unless the process was paused beyond its deadline. */
static void on_retry_timer(void *arg)
{
	struct request *r = arg;

	if (clock_mono_ms() >= r->deadline_ms)
		finish_timed_out(r);
	else
		send_request(r);
}

/*
 * Retry r, unless its deadline has passed or the store has refused it for too
 * long.
 */
static void retry_request(struct request *r, bool refused)
{
	uint64_t now = clock_mono_ms();

	if (now >= r->deadline_ms) {
		finish_timed_out(r);
		return;
	}
	if (refused && !r->write_uncertain &&
	    now >= r->received_ms + REFUSED_RETRY_MAX_MS) {
		finish_request(r, 503, "the store refuses; nothing was done",
			       STORE_RETRY_AFTER_MS);
		return;
	}
	timer_start(r->entry->env.loop, &r->timer,
		    refused ? REFUSED_RETRY_DELAY_MS : 0);
}

/* Return the value of the row of this kind of r's job, or NULL. */
static const char *find_value(const struct request *r,
			      const struct rows_answer *a, const char *kind)
{
	char key[JOB_KEY_BYTES];

	g_snprintf(key, sizeof(key), "%s%s", kind, r->id);
	for (uint32_t i = 0; i < a->len; i++)
		if (!strcmp(a->list[i].key, key))
			return a->list[i].value;
	return NULL;
}

/*
 * Answer a submission whose ID is in use: by a job, which is an earlier attempt
 * if it is of the same account, or by a cancel request that came first.
 */
static void on_submit_conflict(struct request *r, const struct rows_answer *a)
{
	const char *job = find_value(r, a, KEY_JOB);
	struct job_record j = {0};
	bool own = job && job_decode(job, &j) && !strcmp(j.account, r->account);

	job_record_clear(&j);
	if (own)
		finish_request(r, 200, "was accepted before", 0);
	else if (job)
		finish_request(r, 409, "the id belongs to another job", 0);
	else if (find_value(r, a, KEY_CANCEL))
		finish_request(r, 409, "the id was cancelled", 0);
	else
		retry_request(r, false);
}

/* Continue r after a write that may have been executed. */
static void on_unknown_write(struct request *r)
{
	r->write_uncertain = true;
	/* another instance may reach the store before the deadline */
	if (store_is_silent(r->entry))
		finish_request(r, 504,
			       "the store does not answer; it may be accepted",
			       STORE_RETRY_AFTER_MS);
	else
		retry_request(r, false);
}

/*
 * Answer a submission that is refused, after its job was looked up: an earlier
 * attempt may have been accepted.
 */
static void refuse_submission(struct request *r, const struct rows_answer *a)
{
	struct entry *n = r->entry;

	if (find_value(r, a, KEY_JOB)) {
		on_submit_conflict(r, a);
		return;
	}
	log_fields(LOG_INFO, "request_refused", "{s:s,s:s,s:i,s:s,s:s,s:I,s:I}",
		   "job", r->id, "kind", request_kind_name(r->kind), "status",
		   429, "why", r->refusal.why, "account", r->account, "bytes",
		   (json_int_t)entry_job_memory_bytes(n), "bound",
		   (json_int_t)entry_job_memory_bound_bytes(n));
	counter_add(n->env.counters, r->refusal.counter, NULL, 1);
	count_answer(n, r->kind, 429);
	reply_error(r->exchange, 429, r->refusal.text,
		    r->refusal.retry_after_ms);
	request_free(r);
}

static void on_submit_write(void *arg, const struct rows_answer *a)
{
	struct request *r = arg;

	switch (a->outcome) {
	case ROWS_OK:
		finish_request(r, 200, "accepted", 0);
		return;
	case ROWS_CONFLICT:
		on_submit_conflict(r, a);
		return;
	case ROWS_UNKNOWN:
		on_unknown_write(r);
		return;
	case ROWS_REFUSED:
	case ROWS_COMPACTED:
		retry_request(r, true);
		return;
	}
}

/*
 * Continue a cancel request after its write. That for an ID without a job is
 * conditional: a conflict shows that the job has been accepted since.
 */
static void on_cancel_write(void *arg, const struct rows_answer *a)
{
	struct request *r = arg;

	switch (a->outcome) {
	case ROWS_OK:
		if (r->job_found)
			finish_request(r, 200, "cancelled", 0);
		else
			finish_request(r, 410, "no such job", 0);
		return;
	case ROWS_CONFLICT:
		r->job_found = true;
		retry_request(r, false);
		return;
	case ROWS_UNKNOWN:
		on_unknown_write(r);
		return;
	case ROWS_REFUSED:
	case ROWS_COMPACTED:
		retry_request(r, true);
		return;
	}
}

static void reply_state(struct request *r, enum job_state s)
{
	struct entry *n = r->entry;
	char *body = encode_job_state(s);

	count_answer(n, ENTRY_REQUEST_STATE, 200);
	exchange_reply(r->exchange, 200, "application/json", body, 0);
	g_free(body);
	request_free(r);
}

/*
 * Return the state to report for a job whose row exists: one with a recorded
 * cancel request is cancelled unless its state is final.
 */
static enum job_state effective_state(const struct cached_job *j)
{
	if (!j)
		return JOB_QUEUED;
	if (j->cancelled && !job_state_is_final(j->state))
		return JOB_CANCELLED;
	return j->state;
}

/* Read the feed of states faster while requests wait for a change. */
static void set_states_poll_delay(struct entry *n)
{
	replica_set_poll_delay(n->env.states,
			       g_hash_table_size(n->state_waiters)
				       ? STATES_POLL_DELAY_AWAITED_MS
				       : STATES_POLL_DELAY_MS);
}

static void on_state_wait_timeout(void *arg)
{
	struct request *r = arg;

	g_hash_table_remove(r->entry->state_waiters, r);
	set_states_poll_delay(r->entry);
	reply_state(
		r, effective_state(job_cache_find(r->entry->job_cache, r->id)));
}

/*
 * Delay the answer to r, whose job exists, until its state becomes final, for
 * at most STATE_WAIT_MAX_MS.
 */
static void wait_for_state(struct request *r)
{
	struct entry *n = r->entry;

	timer_init(&r->timer, on_state_wait_timeout, r);
	timer_start(n->env.loop, &r->timer, STATE_WAIT_MAX_MS);
	g_hash_table_add(n->state_waiters, r);
	set_states_poll_delay(n);
}

/*
 * Return how long to wait for the store, in milliseconds: at least least_ms,
 * but at most the time that remains to r, so that its caller gets an answer
 * before the deadline.
 */
static uint32_t store_timeout_ms(const struct request *r, uint32_t least_ms)
{
	uint64_t now = clock_mono_ms();
	uint64_t remaining_ms = r->deadline_ms - MIN(r->deadline_ms, now);
	uint32_t ms = MAX(rows_call_timeout_ms(r->entry->env.rows), least_ms);

	return MAX(MIN(ms, remaining_ms), 1);
}

/*
 * Encode a cancel request made at at_ms on the store's clock. One for an ID
 * without a job is conditional on that, so that either it or a submission takes
 * effect, also if that is written late. Release with free().
 */
static char *encode_cancel_tx(const char *id, uint64_t at_ms, bool job_found)
{
	struct cancel_record c = {.at_ms = at_ms};
	struct rows_tx *t = rows_tx_create(job_part(id));
	char *job = g_strconcat(KEY_JOB, id, NULL);
	char *key = g_strconcat(KEY_CANCEL, id, NULL);
	char *value = cancel_encode(&c);
	char *text;

	if (!job_found)
		rows_tx_expect_version(t, JOB_TABLE, job, 0);
	rows_tx_put(t, JOB_TABLE, key, value);
	text = rows_tx_encode(t);
	free(value);
	g_free(key);
	g_free(job);
	rows_tx_destroy(t);
	return text;
}

static void write_cancel(struct request *r, uint64_t at_ms)
{
	char *text = encode_cancel_tx(r->id, at_ms, r->job_found);

	rows_commit(r->entry->env.rows, text,
		    store_timeout_ms(r, WRITE_TIMEOUT_MIN_MS), on_cancel_write,
		    r);
	free(text);
}

/*
 * Store the cancel request of r, whose job did not exist at now_ms on the
 * store's clock. A write of its submission may be carried out later, or the
 * caller's submission may arrive again: both are refused then.
 */
static void refuse_id(struct request *r, uint64_t now_ms)
{
	struct entry *n = r->entry;

	if (job_cache_count_refused_ids(n->job_cache) >= REFUSED_IDS_MAX ||
	    !rate_limit_allow(&n->refused_ids, clock_mono_us())) {
		counter_add(n->env.counters, "cancels_over_limit", NULL, 1);
		finish_request(r, 503, "too many unknown ids were cancelled",
			       STORE_RETRY_AFTER_MS);
		return;
	}
	write_cancel(r, now_ms);
}

static void on_job_row_read(void *arg, const struct rows_answer *a)
{
	struct request *r = arg;
	const struct cached_job *j =
		job_cache_find_accepted(r->entry->job_cache, r->id);

	if (a->outcome != ROWS_OK && (!j || r->kind == ENTRY_REQUEST_SUBMIT)) {
		retry_request(r, a->outcome == ROWS_REFUSED);
		return;
	}
	r->job_found = j || find_value(r, a, KEY_JOB);
	switch (r->kind) {
	case ENTRY_REQUEST_STATE:
		if (r->job_found) /* the replica may lack its last change */
			wait_for_state(r);
		else
			finish_request(r, 410, "no such job", 0);
		return;
	case ENTRY_REQUEST_CANCEL:
		if (r->job_found)
			send_request(r);
		else
			refuse_id(r, a->now_ms);
		return;
	case ENTRY_REQUEST_SUBMIT:
		refuse_submission(r, a);
		return;
	case ENTRY_REQUEST_COUNT:
		return;
	}
}

static void read_job_row(struct request *r)
{
	char key[JOB_KEY_BYTES];

	g_snprintf(key, sizeof(key), "%s%s", KEY_JOB, r->id);
	rows_read_range(r->entry->env.rows, JOB_TABLE, job_part(r->id), key, 1,
			rows_newest_version(r->entry->env.rows),
			store_timeout_ms(r, 0), on_job_row_read, r);
}

/* Send the store call that r waits for. */
static void send_request(struct request *r)
{
	switch (r->kind) {
	case ENTRY_REQUEST_SUBMIT:
		if (!r->write) {
			read_job_row(r);
			break;
		}
		rows_commit(r->entry->env.rows, r->write,
			    store_timeout_ms(r, WRITE_TIMEOUT_MIN_MS),
			    on_submit_write, r);
		break;
	case ENTRY_REQUEST_CANCEL:
		if (r->job_found)
			write_cancel(
				r, replica_store_clock_ms(r->entry->env.jobs));
		else
			read_job_row(r);
		break;
	case ENTRY_REQUEST_STATE:
		read_job_row(r);
		break;
	case ENTRY_REQUEST_COUNT:
		break;
	}
}

static uint64_t compute_deadline_ms(const struct http_exchange *x, uint64_t now)
{
	uint64_t ms = ingress_timeout_ms(x);

	if (!ms)
		ms = CALLER_TIMEOUT_DEFAULT_MS;
	return now + (ms > 2 * REPLY_MARGIN_MS ? ms - REPLY_MARGIN_MS : ms / 2);
}

static struct request *request_create(struct entry *n, struct http_exchange *x,
				      enum entry_request_kind k, const char *id,
				      const char *account)
{
	struct request *r = g_new0(struct request, 1);

	r->entry = n;
	r->exchange = x;
	r->kind = k;
	r->received_ms = clock_mono_ms();
	r->deadline_ms = compute_deadline_ms(x, r->received_ms);
	g_strlcpy(r->id, id, sizeof(r->id));
	text_set(&r->account, account);
	timer_init(&r->timer, on_retry_timer, r);
	return r;
}

/*
 * Encode the acceptance of j, whose spec row has this value. It is conditional
 * on an ID that is neither in use nor cancelled, however late it is carried out.
 * Release with free().
 */
static char *encode_submit_tx(const struct job *j, const char *spec)
{
	struct rows_tx *t = rows_tx_create(job_part(j->id));
	char *key = g_strconcat(KEY_JOB, j->id, NULL);
	char *cancel = g_strconcat(KEY_CANCEL, j->id, NULL);
	char *value = job_encode(j), *text = NULL;

	if (!value)
		goto out;
	rows_tx_expect_version(t, JOB_TABLE, key, 0);
	rows_tx_expect_version(t, JOB_TABLE, cancel, 0);
	rows_tx_put(t, JOB_TABLE, key, value);
	rows_tx_put(t, SPEC_TABLE, j->id, spec);
	text = rows_tx_encode(t);
out:
	free(value);
	g_free(cancel);
	g_free(key);
	rows_tx_destroy(t);
	return text;
}

/*
 * Encode the write that accepts j; release with free(). A job is accepted only
 * if its row fits and is read as this job again. Otherwise returns NULL and sets
 * *why, to be freed with g_free.
 */
static char *encode_submission(const struct entry *n, const struct job *j,
			       char **why)
{
	size_t max = n->env.settings->value_max_bytes;
	char *spec = spec_encode(j), *text = NULL;

	if (spec && strlen(spec) > max)
		*why = g_strdup_printf("the job takes %zu bytes, expected at "
				       "most %zu",
				       strlen(spec), max);
	else if (spec && spec_matches(spec, j))
		text = encode_submit_tx(j, spec);
	if (!text && !*why)
		*why = g_strdup("the job cannot be stored as it is");
	free(spec);
	return text;
}

/* Report whether j is urgent and fits into the guarantee of its account. */
static bool is_covered(const struct entry *n, const struct job *j)
{
	int64_t need = 0, guaranteed = 0;

	for (uint32_t i = 0; i < j->steps_len; i++)
		need = MAX(need,
			   j->steps[i].count * j->steps[i].need.accelerators);
	for (uint32_t i = 0; i < n->policy->accounts_len; i++)
		if (!strcmp(n->policy->accounts[i].name, j->account))
			guaranteed = n->policy->accounts[i].guaranteed;
	return !j->priority && guaranteed > 0 && need <= guaranteed;
}

/*
 * Report whether j starts at once and ends by itself: only then does the present
 * load tell when it ends.
 */
static bool depends_on_present_load(const struct job *j)
{
	for (uint32_t i = 0; i < j->steps_len; i++)
		if (j->steps[i].long_running)
			return false;
	return !j->start_at_wall_ms && !j->repeat;
}

/*
 * Return 0 if j is admitted, else the time in milliseconds after which its
 * caller is to come back. A job that was accepted before is admitted, so that
 * its caller is told so, and so is every job while the list of accepted jobs is
 * not current.
 */
static uint64_t overload_retry_after_ms(const struct entry *n,
					const struct job *j)
{
	struct admission_request r = {.queue = j->queue,
				      .account = j->account,
				      .path_ms = admission_path_ms(j),
				      .covered = is_covered(n, j)};

	if (!n->admission || !depends_on_present_load(j) ||
	    !admission_row_is_valid(n->admission_written_ms,
				    replica_store_clock_ms(n->env.jobs)) ||
	    replica_age_ms(n->env.jobs) > ADMISSION_JOBS_AGE_MAX_MS ||
	    job_cache_find_accepted(n->job_cache, j->id) ||
	    job_memory_has(n->job_memory, j->id))
		return 0;
	r.objective_ms = r.path_ms * j->slack_factor + j->target_ms;
	return admission_retry_after_ms(n->admission, &r);
}

/*
 * Report whether a job of this many bytes fits into the memory of the instances.
 * One that is known to be accepted counts already, as does one whose earlier
 * write got no answer: it may be carried out, so that no refusal would be true.
 */
static bool fits_into_memory(struct entry *n, const char *id, uint64_t bytes)
{
	struct job_memory_limits l = memory_limits(n);

	return job_cache_find_accepted(n->job_cache, id) ||
	       job_memory_has(n->job_memory, id) ||
	       job_memory_allows(n->job_memory, &l, entry_job_memory_bytes(n),
				 bytes, clock_mono_ms());
}

static void submit_job(struct entry *n, struct http_exchange *x,
		       const struct queue *q, const char *account,
		       const char *id)
{
	struct request *r;
	struct job *j;
	size_t len;
	const char *body = exchange_body(x, &len);
	uint64_t retry_after_ms;
	char *text, *why;
	uint64_t bytes;

	if (store_is_silent(n)) {
		reject_request(n, x, ENTRY_REQUEST_SUBMIT, id, 503,
			       "the store does not answer; nothing was done",
			       STORE_RETRY_AFTER_MS);
		return;
	}
	j = decode_submission(id, body, len, &why);
	if (!j) {
		reject_request(n, x, ENTRY_REQUEST_SUBMIT, id, 400, why, 0);
		g_free(why);
		return;
	}
	queue_configure_job(q, j);
	text_set(&j->account, account);
	j->received_ms = replica_store_clock_ms(n->env.jobs);
	retry_after_ms = overload_retry_after_ms(n, j);
	j->submitted_wall_ms = clock_wall_ms();
	text = encode_submission(n, j, &why);
	bytes = footprint_bytes(j);
	job_destroy(j);
	if (!text) {
		reject_request(n, x, ENTRY_REQUEST_SUBMIT, id, 400, why, 0);
		g_free(why);
		return;
	}
	r = request_create(n, x, ENTRY_REQUEST_SUBMIT, id, account);
	if (retry_after_ms)
		r->refusal = (struct refusal){"overload", "overload_refused",
					      OVERLOAD_TEXT, retry_after_ms};
	else if (!fits_into_memory(n, id, bytes))
		r->refusal =
			(struct refusal){"memory", "jobs_over_memory",
					 MEMORY_TEXT, MEMORY_RETRY_AFTER_MS};
	else
		r->write = text;
	if (!r->write)
		free(text);
	r->counted = r->write && !job_memory_has(n->job_memory, id) &&
		     !job_cache_find_accepted(n->job_cache, id);
	if (r->counted)
		job_memory_add(n->job_memory, id, bytes, r->received_ms);
	send_request(r);
}

/*
 * Answer with the state of a job. A state that is not final may have changed
 * just now, so the answer waits until the replica shows a final state, for at
 * most STATE_WAIT_MAX_MS. If the store does not answer, the cached state is
 * reported at once.
 */
static void report_state(struct entry *n, struct http_exchange *x,
			 const char *account, const char *id)
{
	const struct cached_job *j = job_cache_find_accepted(n->job_cache, id);
	struct request *r =
		request_create(n, x, ENTRY_REQUEST_STATE, id, account);

	if (!j) {
		read_job_row(r);
	} else if (job_state_is_final(effective_state(j)) ||
		   jobs_age_ms(n) > STORE_SILENT_MIN_MS) {
		reply_state(r, effective_state(j));
	} else {
		wait_for_state(r);
	}
}

/* Answer the requests that wait for a job's state if it is final now. */
static void answer_state_waiters(struct entry *n, const char *id)
{
	const struct cached_job *j = job_cache_find(n->job_cache, id);
	GHashTableIter it;
	gpointer k;

	if (!j || !job_state_is_final(effective_state(j)))
		return;
	g_hash_table_iter_init(&it, n->state_waiters);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		struct request *r = k;

		if (strcmp(r->id, id))
			continue;
		g_hash_table_iter_remove(&it);
		reply_state(r, effective_state(j));
	}
	set_states_poll_delay(n);
}

static void cancel_job(struct entry *n, struct http_exchange *x,
		       const char *account, const char *id)
{
	const struct cached_job *j = job_cache_find_accepted(n->job_cache, id);
	struct request *r =
		request_create(n, x, ENTRY_REQUEST_CANCEL, id, account);

	if (j && (j->cancelled || job_state_is_final(j->state))) {
		finish_request(r, 200, "over already", 0);
		return;
	}
	r->job_found = j != NULL;
	send_request(r);
}

static void report_queued_count(struct entry *n, struct http_exchange *x,
				const struct queue *q)
{
	char *body =
		encode_pending(job_cache_count_queued(n->job_cache, q->name));

	count_answer(n, ENTRY_REQUEST_COUNT, 200);
	exchange_reply(x, 200, "application/json", body, 0);
	g_free(body);
}

/*
 * Find the caller's account by its API key and set *account to its name, which
 * belongs to the policy, or to "" if the caller has no known key. Returns false
 * if the caller is not admitted: it has no known key and the queue does not allow
 * anonymous callers.
 */
static bool authenticate_caller(const struct entry *n,
				const struct http_exchange *x,
				const struct queue *q, const char **account)
{
	char *key = ingress_api_key(x);
	const struct account *a =
		key ? policy_find_account(n->policy, key) : NULL;

	*account = a ? a->name : "";
	g_free(key);
	return a || q->allows_anonymous;
}

static void dispatch_request(struct entry *n, struct http_exchange *x,
			     enum entry_request_kind kind,
			     const struct queue *q, const char *account,
			     const char *id)
{
	switch (kind) {
	case ENTRY_REQUEST_SUBMIT:
		submit_job(n, x, q, account, id);
		break;
	case ENTRY_REQUEST_STATE:
		report_state(n, x, account, id);
		break;
	case ENTRY_REQUEST_CANCEL:
		cancel_job(n, x, account, id);
		break;
	case ENTRY_REQUEST_COUNT:
		report_queued_count(n, x, q);
		break;
	}
}

/*
 * Derive the kind of a request from its method. Returns false if the method is
 * not supported.
 */
static bool parse_request_kind(const char *method, const char *id,
			       enum entry_request_kind *k)
{
	if (!strcmp(method, "POST"))
		*k = ENTRY_REQUEST_SUBMIT;
	else if (!strcmp(method, "DELETE"))
		*k = ENTRY_REQUEST_CANCEL;
	else if (!strcmp(method, "GET"))
		*k = *id ? ENTRY_REQUEST_STATE : ENTRY_REQUEST_COUNT;
	else
		return false;
	return true;
}

static void handle_request(struct entry *n, struct http_exchange *x)
{
	const char *path = exchange_path(x), *id = path;
	char *host = exchange_host(x);
	const char *account;
	const struct queue *q = NULL;
	enum entry_request_kind kind = ENTRY_REQUEST_STATE;
	bool known;

	if (n->policy)
		q = policy_match_queue(n->policy, host, path);
	if (q)
		id = path + strlen(q->prefix);
	known = parse_request_kind(exchange_method(x), q ? id : "", &kind);
	if (!n->policy)
		reject_request(n, x, kind, id, 503, "no configuration yet",
			       STORE_RETRY_AFTER_MS);
	else if (!q)
		reject_request(n, x, kind, id, 404, "no such queue", 0);
	else if (!authenticate_caller(n, x, q, &account))
		reject_request(n, x, kind, id, 401, "unknown key", 0);
	else if (!known)
		reject_request(n, x, kind, id, 405, "no such method", 0);
	else if (kind != ENTRY_REQUEST_COUNT && !is_job_id(id))
		reject_request(n, x, kind, id,
			       kind == ENTRY_REQUEST_SUBMIT ? 400 : 410,
			       "an id has 16 hexadecimal digits", 0);
	else
		dispatch_request(n, x, kind, q, account, id);
	g_free(host);
}

/* End the wait for the policy and serve the deferred requests. */
static void finish_revalidation(struct entry *n)
{
	GPtrArray *requests = n->deferred;

	if (!n->revalidating_since_ms)
		return;
	log_fields(LOG_INFO, "doubt_ended", "{s:I,s:i,s:b,s:I}", "took_ms",
		   (json_int_t)(clock_mono_ms() - n->revalidating_since_ms),
		   "requests", (int)requests->len, "asked",
		   replica_current_at_ms(n->env.policies) >
			   n->revalidating_since_ms,
		   "policy", (json_int_t)(n->policy ? n->policy->version : 0));
	n->revalidating_since_ms = 0;
	timer_stop(n->env.loop, &n->revalidate_timer);
	n->deferred = g_ptr_array_new();
	for (guint i = 0; i < requests->len; i++)
		handle_request(n, g_ptr_array_index(requests, i));
	g_ptr_array_free(requests, TRUE);
}

static void on_revalidate_timeout(void *arg)
{
	finish_revalidation(arg);
}

/*
 * Note that the store has answered a read of the configuration. One that was
 * sent in the millisecond in which the stall was noticed may be older, so it is
 * read once more.
 */
void entry_note_policy_read(struct entry *n)
{
	if (!n->revalidating_since_ms)
		return;
	if (replica_current_at_ms(n->env.policies) > n->revalidating_since_ms)
		finish_revalidation(n);
	else
		replica_refresh(n->env.policies);
}

/*
 * Note that this process has stalled for ms milliseconds. A key may have been
 * withdrawn during the stall, so requests wait until the configuration has been
 * read again.
 */
void entry_note_stall(struct entry *n, uint64_t ms)
{
	if (ms < STALL_REVALIDATE_MIN_MS || n->revalidating_since_ms)
		return;
	log_fields(LOG_WARN, "doubt", "{s:I}", "stood_still_ms",
		   (json_int_t)ms);
	n->revalidating_since_ms = clock_mono_ms();
	timer_start(n->env.loop, &n->revalidate_timer, REVALIDATE_TIMEOUT_MS);
	replica_refresh(n->env.policies);
}

static void on_request(void *arg, struct http_exchange *x)
{
	struct entry *n = arg;

	entry_note_stall(n, loop_wakeup_delay_ms(n->env.loop));
	if (n->revalidating_since_ms)
		g_ptr_array_add(n->deferred, x);
	else
		handle_request(n, x);
}

/* Listen for callers. Returns NULL if the address is not available. */
struct entry *entry_create(const struct entry_env *e)
{
	struct entry *n = g_new0(struct entry, 1);

	n->env = *e;
	n->job_cache = job_cache_create();
	n->job_memory = job_memory_create();
	n->state_waiters = g_hash_table_new(NULL, NULL);
	n->deferred = g_ptr_array_new();
	n->refused_ids = (struct rate_limit){
		.per_s_max = REFUSED_IDS_PER_S_MAX,
		.burst_max = REFUSED_IDS_BURST_MAX,
	};
	timer_init(&n->revalidate_timer, on_revalidate_timeout, n);
	n->server = http_server_create(e->loop, &e->settings->callers,
				       256 << 10, on_request, n);
	if (!n->server) {
		entry_destroy(n);
		return NULL;
	}
	if (e->intake)
		http_server_set_intake(n->server, e->intake);
	return n;
}

/* Stop listening and free n. Open requests are not answered. */
void entry_destroy(struct entry *n)
{
	if (!n)
		return;
	http_server_destroy(n->server);
	job_cache_destroy(n->job_cache);
	admission_destroy(n->admission);
	job_memory_destroy(n->job_memory);
	g_hash_table_destroy(n->state_waiters);
	timer_stop(n->env.loop, &n->revalidate_timer);
	g_ptr_array_free(n->deferred, TRUE);
	g_free(n);
}

/* Apply a row of the table of jobs; value is NULL if it was removed. */
void entry_apply_job_row(struct entry *n, const char *key, const char *value)
{
	job_cache_apply_job_row(n->job_cache, key, value);
	if (g_str_has_prefix(key, KEY_JOB))
		job_memory_remove(n->job_memory, key + strlen(KEY_JOB));
}

/* Apply a row of the table of states; value is NULL if it was removed. */
void entry_apply_state_row(struct entry *n, const char *id, const char *value)
{
	job_cache_apply_state_row(n->job_cache, id, value);
	answer_state_waiters(n, id);
}

/* Apply the leader's row on admission; value is NULL if it was removed. */
void entry_apply_admission_row(struct entry *n, const char *value)
{
	admission_destroy(n->admission);
	n->admission =
		value ? admission_row_decode(value, &n->admission_written_ms)
		      : NULL;
}

/* Set the policy, which must stay valid until the next call. */
void entry_set_policy(struct entry *n, const struct policy *p)
{
	n->policy = p;
}

/* Close each connection after its next answer. */
void entry_drain(struct entry *n)
{
	http_server_close_after_reply(n->server);
}

/* Stop accepting connections. */
void entry_stop_accepting(struct entry *n)
{
	http_server_stop_accepting(n->server);
}

/* Return how many requests are open. */
uint32_t entry_count_open_requests(const struct entry *n)
{
	return http_server_count_open_requests(n->server);
}
