/*
 * The leader task. On every instance it follows the owner row; on the
 * instance that leads it holds the model, schedules, records decisions and
 * sends orders.
 */
#ifndef LEAD_LEADER_H
#define LEAD_LEADER_H

#include "config/policy.h"
#include "lead/replica.h"
#include "lib/counter.h"
#include "platform/settings.h"

struct leader;

struct leader_env {
	struct loop *loop;
	struct http_client *http;
	struct rows *rows;
	struct counters *counters;
	const struct joint_settings *settings;
	uint32_t jobs_poll_delay_ms; /* of the jobs replica while not leading */
	struct replica *owners;	     /* owner row and instance rows */
	struct replica *jobs;	     /* accepted jobs and cancel requests */
	struct replica *states;	     /* the state of every job */
	uint64_t incarnation;
	uint32_t strength; /* election strength of this instance, in percent */
	/* returns the number of peers with at least twice that strength */
	uint32_t (*count_stronger_peers)(void *arg);
	void *arg;
};

struct leader *leader_create(const struct leader_env *e);
void leader_destroy(struct leader *d);
void leader_apply_owner_row(struct leader *d, const char *value,
			    uint64_t version);
void leader_note_owner_answer(struct leader *d);
void leader_apply_job_row(struct leader *d, const char *key, const char *value);
void leader_apply_policy(struct leader *d, const struct policy *p);
void leader_resign(struct leader *d);
bool leader_is_active(const struct leader *d);

#endif
