/*
 * The lead task.  On every instance it follows the owner row; on the one
 * that leads it holds the model, decides, records and gives orders.
 */
#ifndef LEAD_LEAD_H
#define LEAD_LEAD_H

#include "config/policy.h"
#include "lead/follower.h"
#include "lib/counter.h"
#include "platform/settings.h"

struct lead;

struct lead_env {
	struct loop *loop;
	struct http_client *http;
	struct rows *rows;
	struct counters *counters;
	const struct joint_settings *settings;
	uint32_t jobs_gap_ms;	 /* of the next, when it does not lead */
	struct follower *owners; /* the owner row, and where instances are */
	struct follower *jobs;	 /* accepted jobs and wishes to cancel */
	struct follower *states; /* the state of every job */
	uint64_t incarnation;
	uint32_t strength; /* of this instance, in percent */
	/* how many peers have twice that */
	uint32_t (*stronger)(void *arg);
	void *arg;
};

struct lead *lead_create(const struct lead_env *e);
void lead_destroy(struct lead *d);
void lead_owner_row(struct lead *d, const char *value, uint64_t version);
void lead_owner_answered(struct lead *d);
void lead_job_row(struct lead *d, const char *key, const char *value);
void lead_policy(struct lead *d, const struct policy *p);
void lead_retire(struct lead *d);
bool lead_leads(const struct lead *d);

#endif
