/* One quick check under way; shared by check.c and intent.c only. */
#ifndef DAEMON_QUICK_H
#define DAEMON_QUICK_H

#include <glib.h>

#include "daemon/check.h"
#include "daemon/roster.h"

#define TRIED_MOST 4

struct checks {
	struct env *env;
	struct config *config;
	struct roster *roster;
	GHashTable *open;  /* ticket to struct quick */
	GPtrArray *queues; /* GQueue of waiting checks, by account */
	guint turn;	   /* the account that is served next */
	uint32_t waiting;
	uint32_t *in_flight; /* by account */
	uint32_t accounts_len;
	uint64_t next_ticket;
	uint64_t next_lease;
	double retry_tokens;
	double service_us; /* moving average */
	bool remote;	   /* a peer in another domain takes checks */
	struct timer queue_timer;
};

enum quick_state {
	QUICK_WAITING, /* for a slot */
	QUICK_INTENT,  /* its intent is being recorded */
	QUICK_READING, /* its intent is being read back */
	QUICK_SENT,
	QUICK_ASKING, /* an upstream is asked what became of a lease */
	QUICK_PASSED, /* a peer runs it */
};

struct quick {
	struct checks *checks;
	struct message asked;
	uint64_t ticket;
	enum quick_state state;
	json_t *request;
	const char *id;
	const char *key; /* NULL: idempotent */
	uint32_t account;
	uint64_t started_us;
	uint64_t sent_us;
	uint64_t deadline_ms;
	bool forwarded;
	bool may_have_run; /* an earlier send was not answered */
	struct roster_upstream *upstream;
	char *ran_at; /* another attempt, or instance, ran it here */
	char *lease;
	struct roster_upstream *tried[TRIED_MOST];
	uint32_t tried_len;
	struct http_call *call;
	struct timer timer;
	/* requests that are not idempotent */
	char *row_key;
	char *nonce;
	uint64_t row_version;
	uint64_t incarnation; /* of the upstream that it is sent to */
	uint64_t asked_incarnation;
	char *asked_lease;
	struct roster_upstream *asked_upstream;
	bool own_lease; /* the lease asked about is this check's */
};

void quick_send(struct quick *q);
void quick_choose(struct quick *q);
void quick_finish(struct quick *q, struct verdict v, json_t *answer);
uint32_t quick_left_ms(const struct quick *q);
void quick_new_lease(struct quick *q);
json_t *quick_check_answer(struct quick *q, const struct http_result *r,
			   const char *lease);

void intent_begin(struct quick *q);
void intent_start(struct quick *q);
void intent_txn_done(struct quick *q, const struct txn_result *t);
void intent_read_done(struct quick *q, const struct txn_result *t);
void intent_answered(struct quick *q, json_t *answer);
void intent_did_not_run(struct quick *q, struct verdict v);
void intent_ambiguous(struct quick *q);
void intent_free(struct quick *q);

#endif
