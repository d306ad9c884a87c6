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
	/* Poll delay of the jobs replica while this instance does not lead. */
	uint32_t jobs_poll_delay_ms;
	/* Replica of the owner row and the instance rows. */
	struct replica *owners;
	/* Replica of the accepted jobs and cancel requests. */
	struct replica *jobs;
	/* Replica of the state of every job. */
	struct replica *states;
	/* Replica of the operators' rows; NULL: no domain is evacuated. */
	struct replica *policies;
	uint64_t incarnation;
	/* Election strength of this instance, in percent. */
	uint32_t strength;
	/* Returns the number of peers with at least twice that strength. */
	uint32_t (*count_stronger_peers)(void *arg);
	/* Returns the number of peers with more memory; NULL: none is known. */
	uint32_t (*count_larger_peers)(void *arg);
	void *arg;
};

struct leader *leader_create(const struct leader_env *e);
void leader_destroy(struct leader *d);
void leader_apply_owner_row(struct leader *d, const char *value,
			    uint64_t version);
void leader_note_owner_answer(struct leader *d);
void leader_apply_job_row(struct leader *d, const char *key, const char *value);
void leader_apply_policy(struct leader *d, const struct policy *p);
void leader_apply_evacuation_row(struct leader *d, const char *domain,
				 bool present);
uint32_t leader_count_evacuated(const struct leader *d);
void leader_resign(struct leader *d);
bool leader_is_active(const struct leader *d);
uint32_t leader_count_learned_groups(const struct leader *d);

#endif
