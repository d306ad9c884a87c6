/*
 * State of the check task and of one quick check; shared by check.c and
 * intent.c only.
 */
#ifndef DAEMON_QUICK_H
#define DAEMON_QUICK_H

#include <glib.h>

#include "daemon/check.h"
#include "daemon/roster.h"

/* Maximum attempts of one check; refusals by upstreams do not count. */
#define TRIED_UPSTREAMS_MAX 4

struct checks {
	struct env *env;
	struct config *config;
	struct roster *roster;
	GHashTable *open_checks; /* ticket to struct quick_check */
	GPtrArray *queues;  /* GQueue of waiting checks, by account index */
	guint next_account; /* index of the account to be served next */
	uint32_t waiting_count;
	uint32_t *in_flight; /* count of open checks, by account */
	uint32_t accounts_len;
	uint64_t next_ticket;
	uint64_t next_lease;
	double retry_tokens;	/* what remains of the retry budget */
	double mean_service_us; /* exponential moving average */
	bool remote_available;	/* a peer of another domain takes checks */
	struct timer queue_timer;
};

enum quick_state {
	QUICK_WAITING,	      /* queued for a slot */
	QUICK_WRITING_INTENT, /* the intent row is being written */
	QUICK_READING_INTENT, /* the intent row is being read */
	QUICK_SENT,	      /* a run request is in flight */
	QUICK_QUERYING,	      /* an upstream is queried about a lease */
	QUICK_FORWARDED,      /* a peer in another domain runs it */
};

struct quick_check {
	struct checks *checks;
	struct message check_message; /* the request to reply to */
	uint64_t ticket;
	enum quick_state state;
	json_t *request;
	const char *request_id;
	const char *idempotency_key; /* NULL: the check is idempotent */
	uint32_t account;
	uint64_t started_us;
	uint64_t sent_us;
	uint64_t deadline_ms;
	bool forwarded;	   /* from a peer: must not be forwarded again */
	bool may_have_run; /* an earlier attempt was not answered */
	struct roster_upstream *upstream;
	char *ran_on; /* the upstream, if another attempt or a peer ran it */
	char *lease;
	/* The upstreams on which an attempt has failed. */
	struct roster_upstream *tried[TRIED_UPSTREAMS_MAX];
	uint32_t tried_len;
	struct http_call *call;
	struct timer timer;

	/*
	 * Only for checks that are not idempotent: the intent row, and the
	 * lease that is queried after an attempt without an answer.
	 */
	char *row_key;
	char *nonce;
	uint64_t row_version;
	/* of the upstream, in the intent row; 0 if the check is idempotent */
	uint64_t incarnation;
	uint64_t queried_incarnation;
	bool refused; /* the upstream has refused the recorded lease */
	char *queried_lease;
	struct roster_upstream *queried_upstream;
	bool queried_own_lease; /* the queried lease is this check's */
};

void quick_send(struct quick_check *q);
void quick_dispatch(struct quick_check *q);
void quick_finish(struct quick_check *q, struct verdict v, json_t *answer);
uint32_t quick_remaining_ms(const struct quick_check *q);
void quick_assign_lease(struct quick_check *q);
json_t *quick_parse_answer(struct quick_check *q, const struct http_result *r,
			   const char *lease);

void intent_begin(struct quick_check *q);
void intent_write(struct quick_check *q);
void intent_handle_write(struct quick_check *q, const struct txn_result *t);
void intent_handle_read(struct quick_check *q, const struct txn_result *t);
void intent_finish_answered(struct quick_check *q, json_t *answer);
void intent_finish_not_run(struct quick_check *q, struct verdict v);
void intent_handle_refusal(struct quick_check *q);
void intent_resolve(struct quick_check *q);
void intent_free(struct quick_check *q);

#endif
