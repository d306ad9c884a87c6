/*
 * The leader's session with one upstream: raises the epoch there, renews
 * the leases of its runs, reads its lists and sends orders.
 */
#ifndef LEAD_SESSION_H
#define LEAD_SESSION_H

#include "lead/model.h"
#include "lead/tenure.h"
#include "lib/counter.h"
#include "platform/decode.h"
#include "platform/settings.h"

struct session;

/* Callbacks of the sessions to the leader, called from the event loop. */
struct session_events {
	/* The session has changed the model. */
	void (*model_changed)(void *arg);
	/* An upstream obeys a higher epoch than this leader's. */
	void (*epoch_refused)(void *arg);
	/*
	 * Returns whether a start may be sent by the list of upstreams; NULL:
	 * always.
	 */
	bool (*may_start)(void *arg, const struct task *t);
	/*
	 * Returns whether the operators allow no start on the upstream of the
	 * task; NULL: they always do.
	 */
	bool (*is_forbidden)(void *arg, const struct task *t);
};

/* Environment shared by all sessions of a leader. */
struct session_env {
	struct loop *loop;
	struct http_client *http;
	struct counters *counters;
	const struct joint_settings *settings;
	struct model *model;
	uint64_t epoch;
	/* Until when this leader may call upstreams; asked before each call. */
	const struct tenure *tenure;
	struct session_events events;
	void *arg;
};

struct session *session_create(const struct session_env *e, struct upstream *u,
			       const struct upstream_entry *entry);
struct session *session_create_unlisted(const struct session_env *e,
					struct upstream *u,
					const struct sockaddr_in *at);
void session_destroy(struct session *k);
void session_apply_entry(struct session *k, const struct upstream_entry *entry);
void session_note_recorded(struct session *k, const struct sockaddr_in *at);
void session_note_entry_written(struct session *k, uint64_t after_ms);
void session_note_unlisted(struct session *k, bool removed);
void session_schedule_call(struct session *k);
void session_start_run(struct session *k, struct task *t);
void session_stop_run(struct session *k, struct task *t);
void session_note_write_sent(struct session *k);
void session_note_write_committed(struct session *k);

#endif
