/*
 * The decider's state, shared by decider.c (who decides), control.c
 * (claims and leases at one upstream), gang.c (one job's attempts) and
 * explain.c (answers for operators).
 */
#ifndef DAEMON_DOMAIN_H
#define DAEMON_DOMAIN_H

#include <glib.h>

#include "daemon/decider.h"
#include "sched/health.h"
#include "sched/sched.h"

#define NO_HANDLE UINT32_MAX
#define CALL_TIMEOUT_MS 1000
#define LEASE_MARGIN_MS 200

enum role_state { ROLE_FOLLOWING, ROLE_CLAIMING, ROLE_DECIDING };

struct decider {
	struct env *env;
	struct config *config;
	enum role_state role;
	uint64_t epoch;	     /* own, when claiming or deciding */
	uint64_t epoch_seen; /* highest known in the domain */
	uint64_t attempts;   /* made under this epoch */
	uint64_t claimed_ms; /* when every upstream was claimed */
	uint64_t caught_up_ms;
	uint64_t vacant_ms; /* since when nobody decides, 0: somebody does */
	uint64_t started_ms;
	bool leaving;
	bool table_answers;
	bool members_known;
	struct sched *sched; /* while deciding */
	GPtrArray *controls; /* by the index of the upstream in the site */
	GHashTable *gangs;   /* name to struct gang */
	struct peer_list *peers;
	struct timer tick;
	uint64_t renewed_ms;
	uint64_t lost_since_ms;
	uint32_t lost_told;
	bool rows_changed;  /* some gang may have to enter the queue */
	uint32_t releasing; /* gangs that are being released */
};

/* One upstream of the domain, as the decider controls it. */
struct control {
	struct decider *decider;
	char name[64];
	char rack[48];
	struct sockaddr_in address;
	uint32_t index; /* in the site */
	struct http_pool *pool;
	struct health health;
	bool claimed;	 /* at the decider's epoch */
	bool claiming;	 /* a claim is under way */
	bool renewing;	 /* a renewal is under way */
	bool leaving;	 /* by its own word */
	bool listed;	 /* in the platform's list */
	bool listed_off; /* there, but not live */
	bool configured;
	uint64_t known; /* version of the last report */
	uint64_t incarnation;
	uint64_t confirmed_ms; /* sending time of the last renewal granted */
	uint64_t call_ms;      /* sending time of the call under way */
	uint64_t refused_ms;   /* when it last refused a reservation */
	GHashTable *except;    /* leases not to be renewed */
	GHashTable *acks;      /* ended leases to be forgotten */
	json_t *leases;	       /* as last reported */
};

enum gang_state {
	GANG_WAITING,
	GANG_RECORDING, /* not idempotent: its start is being recorded */
	GANG_RESERVING,
	GANG_STARTING,
	GANG_RUNNING,
	GANG_RELEASING,
	GANG_ENDED, /* its end is being recorded */
};

/* What becomes of a gang once all its parts are released. */
enum gang_after { AFTER_REQUEUE, AFTER_CANCEL, AFTER_PARK };

struct gang_part {
	struct control *at;
	uint32_t mask;
	bool answered;	      /* the present step's call */
	bool ended;	      /* done, or released */
	bool done;	      /* ran to its end */
	uint64_t incarnation; /* of the upstream that it was reserved at */
	uint64_t version;     /* reports below it are older than the start */
};

struct gang {
	struct decider *decider;
	char *name;
	char account[64];
	enum job_class job_class;
	struct shape shape;
	uint64_t run_ms;
	bool idempotent;
	char *payload;
	uint64_t submitted_ms; /* monotonic */
	char row_state[16];
	bool has_row;
	uint32_t handle; /* in the scheduler */
	enum gang_state state;
	enum gang_after after;
	const char *why;   /* of the release */
	bool may_have_run; /* a start of this attempt was sent */
	uint64_t attempt;
	uint64_t progress_ms;
	uint64_t gone_by_ms;	 /* releasing: every lease has lapsed by then */
	uint64_t state_ms;	 /* when the present state began */
	uint64_t told_ms;	 /* when releases were last sent */
	uint64_t reclaim_ms;	 /* when it began to reclaim its places, or 0 */
	struct gang_part *parts; /* shape.parts of them when placed */
	json_t *failed_on;
};

/* control.c */
struct control *control_create(struct decider *d,
			       const struct config_upstream *u);
void control_destroy(struct control *c);
bool control_gone(const struct control *c);
bool control_usable(struct control *c);
void control_claim(struct control *c);
void control_renew(struct control *c);
void control_unclaim(struct control *c);
bool control_call(struct control *c, const char *path, json_t *body,
		  http_done_fn done, void *arg);
json_t *control_body(const struct control *c);

/* gang.c */
struct gang *gang_create(struct decider *d, const char *name);
void gang_destroy(struct gang *g);
void gang_take_row(struct gang *g, const json_t *row);
void gang_start(struct gang *g, const struct part *parts);
void gang_release(struct gang *g, enum gang_after after, const char *why,
		  uint32_t grace_ms);
void gang_saved(struct gang *g, const json_t *update);
void gang_report(struct gang *g, struct control *c, GHashTable *by_id);
void gang_lost_upstream(struct gang *g, struct control *c);
void gang_tick(struct gang *g, uint64_t now_ms);
void gang_end(struct gang *g, const char *state, const char *why);
void gang_forget(struct gang *g);
void gang_job_spec(const struct gang *g, struct job_spec *spec);
bool gang_active(const struct gang *g);
struct gang *gang_adopt(struct decider *d, const char *name, json_t *leases);
char *gang_lease(const struct gang *g, uint32_t part);
const char *gang_state_name(enum gang_state s);

/* decider.c */
void decider_stale(struct decider *d, uint64_t epoch);
void decider_report(struct decider *d, struct control *c);
struct control *decider_control(struct decider *d, const char *name);

/* explain.c */
json_t *explain_upstreams(struct decider *d);
json_t *explain_why(struct decider *d, const char *job);
json_t *explain_stuck(struct decider *d);

#endif
