/*
 * An instance on the joint platform: it wires the tasks, follows the
 * three tables, says whether it is ready, and stops gracefully.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/joint.h"
#include "entry/entry.h"
#include "lead/lead.h"
#include "lead/succession.h"
#include "lead/record.h"
#include "lib/log.h"
#include "peer/relay.h"
#include "platform/decode.h"

/* How long one call of a feed is held by the store. */
#define FEED_WAIT_MS 500
/* The same of the operators' configuration: a call that goes silent is
 * given up in time for the change to be in force within two seconds. */
#define OPERATORS_WAIT_MS 1000
#define OWNER_WAIT_MS 300 /* a beat of the leader */
/* Pause between an answer of the feed of the owner row, which changes all
 * the time, and the next call: a strong instance is to claim as soon as
 * the leader is lost, others only when no strong one does. */
#define OWNER_GAP_MS 150
#define OWNER_GAP_WEAK_MS 900
/* Time for an answer to the write of our own row. */
#define ENROL_MS 1000
/* Pause between an answer of the feed of jobs and the next call: counts of
 * jobs may be two seconds old. */
#define JOBS_GAP_MS 1000
/* An instance whose newest answer of the store is older is not ready. */
#define READY_AGE_MS 1300
#define STOP_POLL_MS 20
/* A round of the loop that takes longer is logged: answers wait meanwhile,
 * and the leases that a leader extends. */
#define LONG_TURN_LEADER_US 20000
#define LONG_TURN_US 100000
/* After SIGTERM, listen for this long beyond the time in which the
 * balancer notices. */
#define DRAIN_SLACK_MS 400
/* Leave this much of the time before SIGKILL unused. */
#define GRACE_SLACK_MS 500

struct joint {
	struct joint_settings *settings;
	const char *file;
	struct loop *loop;
	struct http_client *http;
	struct counters *counters;
	struct relay *relay;
	struct rows *rows;
	uint64_t incarnation;
	uint64_t enrolled_ms; /* when our row was written; 0: not yet */
	bool enrolling;
	struct follower *owners;
	struct follower *jobs;
	struct follower *states;
	struct follower *operators;
	struct policy *policy;
	struct entry *entry;
	struct lead *lead;
	struct http_server *readiness;
	struct http_server *metrics;
	struct timer stop_timer;
	uint64_t leave_ms; /* when the stop began, or 0 */
	bool closed;
	bool was_ready;
};

static void job_row(void *arg, const char *key, const char *value,
		    uint64_t version)
{
	struct joint *j = arg;

	(void)version;
	entry_job_row(j->entry, key, value);
	lead_job_row(j->lead, key, value);
}

static void owner_row(void *arg, const char *key, const char *value,
		      uint64_t version)
{
	struct joint *j = arg;
	struct peer_record p;
	const char *name = key + strlen(KEY_INSTANCE);

	if (!strcmp(key, KEY_OWNER))
		lead_owner_row(j->lead, value, version);
	else if (g_str_has_prefix(key, KEY_INSTANCE))
		relay_peer(j->relay, name,
			   value && peer_decode(value, &p) ? &p : NULL);
}

static void on_enrolled(void *arg, const struct rows_answer *a)
{
	struct joint *j = arg;

	j->enrolling = false;
	if (a->outcome == ROWS_OK)
		j->enrolled_ms = clock_mono_ms();
	else
		log_fields(LOG_WARN, "enrol_failed", "{s:s}", "outcome",
			   rows_outcome_name(a->outcome));
}

static uint32_t strength(const struct joint *j)
{
	return succession_strength(j->settings->processor_share,
				   j->settings->link_mbps);
}

/* Say where peers find this instance, now and then again. */
static void enrol(struct joint *j)
{
	struct peer_record p = {.incarnation = j->incarnation,
				.address = j->settings->peers};
	struct rows_tx *t;
	char *value, *key, *text;

	if (j->enrolling || !follower_complete(j->owners) ||
	    (j->enrolled_ms &&
	     clock_mono_ms() < j->enrolled_ms + ROSTER_EVERY_MS))
		return;
	j->enrolling = true;
	g_strlcpy(p.domain, j->settings->domain, sizeof(p.domain));
	p.written_ms = follower_store_ms(j->owners);
	p.strength = strength(j);
	value = peer_encode(&p);
	key = g_strconcat(KEY_INSTANCE, j->settings->instance, NULL);
	t = rows_tx_create(LEADER_PART);
	rows_tx_put(t, OWNER_TABLE, key, value);
	text = rows_tx_text(t);
	rows_commit(j->rows, text, ENROL_MS, on_enrolled, j);
	free(text);
	rows_tx_destroy(t);
	g_free(key);
	free(value);
}

static uint32_t stronger(void *arg)
{
	struct joint *j = arg;

	return relay_stronger(j->relay, strength(j));
}

static void owner_answered(void *arg)
{
	struct joint *j = arg;

	lead_owner_answered(j->lead);
	enrol(j);
}

static void state_row(void *arg, const char *id, const char *value,
		      uint64_t version)
{
	(void)version;
	entry_state_row(((struct joint *)arg)->entry, id, value);
}

static void operator_row(void *arg, const char *key, const char *value,
			 uint64_t version)
{
	struct joint *j = arg;
	struct policy *p, *before = j->policy;

	(void)version;
	if (strcmp(key, OPERATOR_POLICY) || !value)
		return;
	p = decode_policy(value);
	if (!p || (before && p->version <= before->version)) {
		log_fields(LOG_WARN, "policy_refused", "{s:I,s:I}", "version",
			   (json_int_t)(p ? p->version : 0), "present",
			   (json_int_t)(before ? before->version : 0));
		policy_destroy(p);
		return;
	}
	j->policy = p;
	entry_policy(j->entry, p);
	lead_policy(j->lead, p);
	log_fields(LOG_INFO, "policy", "{s:I,s:I,s:i,s:i}", "version",
		   (json_int_t)p->version, "before",
		   (json_int_t)(before ? before->version : 0), "queues",
		   (int)p->queues_len, "accounts", (int)p->accounts_len);
	policy_destroy(before);
}

static void operators_answered(void *arg)
{
	entry_policies_answered(((struct joint *)arg)->entry);
}

/* Return how old the newest answer of the store is. */
static uint64_t store_age_ms(const struct joint *j)
{
	return MIN(entry_store_age_ms(j->entry), follower_age_ms(j->operators));
}

static bool ready(const struct joint *j)
{
	return !j->leave_ms && j->policy && follower_complete(j->jobs) &&
	       follower_complete(j->states) && store_age_ms(j) < READY_AGE_MS;
}

static void on_readiness(void *arg, struct http_exchange *x)
{
	struct joint *j = arg;
	bool is = ready(j);

	if (is != j->was_ready)
		log_fields(LOG_INFO, "ready", "{s:b,s:I,s:I,s:b}", "ready", is,
			   "policy",
			   (json_int_t)(j->policy ? j->policy->version : 0),
			   "table_age_ms", (json_int_t)store_age_ms(j),
			   "leaving", j->leave_ms != 0);
	j->was_ready = is;
	exchange_reply(x, is ? 200 : 503, "text/plain", is ? "ready\n" : "no\n",
		       0);
}

/* Count what a round of the loop took, and say so of a long one. */
static void on_turn(void *arg, const struct loop_timing *t)
{
	struct joint *j = arg;
	uint64_t us = t->sockets_us + t->timers_us;

	latency_add(j->counters, "turn", us);
	entry_stood_still(j->entry, MAX(us, t->late_us) / 1000);
	if (MAX(us, t->late_us) >
	    (lead_leads(j->lead) ? LONG_TURN_LEADER_US : LONG_TURN_US))
		log_fields(LOG_INFO, "turn_long", "{s:I,s:I,s:I,s:b}",
			   "sockets_us", (json_int_t)t->sockets_us, "timers_us",
			   (json_int_t)t->timers_us, "late_us",
			   (json_int_t)t->late_us, "leads",
			   lead_leads(j->lead));
}

static void on_metrics(void *arg, struct http_exchange *x)
{
	struct joint *j = arg;
	char *s = counters_text(j->counters);
	char *all = g_strdup_printf(
		"%slacewing_leads %d\nlacewing_ready %d\n"
		"lacewing_peers %u\n"
		"lacewing_store_by_peers %d\n"
		"lacewing_log_lost %llu\n",
		s, lead_leads(j->lead), ready(j), relay_peers(j->relay),
		relay_indirect(j->relay), (unsigned long long)log_lost());

	exchange_reply(x, 200, "text/plain", all, 0);
	g_free(all);
	g_free(s);
}

/* Wait out the balancer, then the open requests, then end the loop. */
static void on_stopping(void *arg)
{
	struct joint *j = arg;
	const struct joint_settings *s = j->settings;
	uint64_t gone = clock_mono_ms() - j->leave_ms;
	uint64_t most = s->grace_ms > 2 * GRACE_SLACK_MS
				? s->grace_ms - GRACE_SLACK_MS
				: s->grace_ms / 2;

	if (gone >= s->drain_ms + DRAIN_SLACK_MS && !j->closed) {
		j->closed = true;
		entry_close(j->entry);
	}
	if ((j->closed && !entry_open(j->entry)) || gone >= most) {
		loop_stop(j->loop);
		return;
	}
	timer_start(j->loop, &j->stop_timer, STOP_POLL_MS);
}

/* Read the settings again; addresses cannot change in a process. */
static void reload(struct joint *j)
{
	struct problems *p = problems_create(j->file);
	struct joint_settings *s = joint_settings_load(j->file, p);
	char *text = problems_text(p);

	if (s) {
		log_open("lacewingd", j->settings->instance, s->log_level);
		j->settings->lease_ms = s->lease_ms;
		j->settings->stop_ms = s->stop_ms;
		j->settings->reclaim_ms = s->reclaim_ms;
		j->settings->gang_wait_ms = s->gang_wait_ms;
		j->settings->checkpoint_ms = s->checkpoint_ms;
		j->settings->remote_factor = s->remote_factor;
		j->settings->keep_ended_ms = s->keep_ended_ms;
		j->settings->drain_ms = s->drain_ms;
		j->settings->grace_ms = s->grace_ms;
	}
	log_fields(s ? LOG_INFO : LOG_ERROR, "reload", "{s:b,s:s}", "taken",
		   s != NULL, "problems", text);
	joint_settings_destroy(s);
	g_free(text);
	problems_destroy(p);
}

static void on_signal(void *arg, int signo)
{
	struct joint *j = arg;

	if (signo == SIGHUP) {
		reload(j);
		return;
	}
	if (j->leave_ms)
		return;
	log_fields(LOG_INFO, "stopping", "{s:i,s:i,s:b}", "signal", signo,
		   "open", (int)entry_open(j->entry), "leads",
		   lead_leads(j->lead));
	j->leave_ms = clock_mono_ms();
	entry_drain(j->entry);
	lead_retire(j->lead);
	timer_start(j->loop, &j->stop_timer, STOP_POLL_MS);
}

static void follow(struct joint *j)
{
	struct follower_events owners = {.changed = owner_row,
					 .answered = owner_answered};
	struct follower_events jobs = {.changed = job_row};
	struct follower_events states = {.changed = state_row};
	struct follower_events op = {.changed = operator_row,
				     .answered = operators_answered};

	j->owners =
		follower_create(j->loop, j->rows, OWNER_TABLE,
				follower_one_part, OWNER_WAIT_MS, &owners, j);
	follower_set_gap(j->owners, strength(j) == STRENGTH_FULL
					    ? OWNER_GAP_MS
					    : OWNER_GAP_WEAK_MS);
	j->jobs = follower_create(j->loop, j->rows, JOB_TABLE, job_parts,
				  FEED_WAIT_MS, &jobs, j);
	j->states =
		follower_create(j->loop, j->rows, STATE_TABLE,
				follower_one_part, FEED_WAIT_MS, &states, j);
	follower_set_gap(j->jobs, JOBS_GAP_MS);
	j->operators =
		follower_create(j->loop, j->rows, OPERATOR_TABLE,
				follower_one_part, OPERATORS_WAIT_MS, &op, j);
	follower_expect_large(j->operators);
}

static bool create(struct joint *j)
{
	const struct joint_settings *s = j->settings;
	struct entry_env ee;
	struct lead_env le;
	struct relay_env re;

	j->loop = loop_create();
	j->counters = counters_create();
	j->http = http_client_create(j->loop);
	j->incarnation = clock_wall_ms() ^ g_random_int();
	re = (struct relay_env){.loop = j->loop,
				.http = j->http,
				.counters = j->counters,
				.instance = s->instance,
				.domain = s->domain,
				.incarnation = j->incarnation,
				.store = s->store,
				.listen = s->peers,
				.probe_path = ROWS_PROBE_PATH};
	j->relay = relay_create(&re);
	if (!j->relay)
		return false;
	j->rows = rows_create(relay_call, j->relay);
	timer_init(&j->stop_timer, on_stopping, j);
	loop_on_timing(j->loop, on_turn, j);
	loop_on_signal(j->loop, on_signal, j);
	follow(j);
	ee = (struct entry_env){.loop = j->loop,
				.rows = j->rows,
				.counters = j->counters,
				.settings = s,
				.policies = j->operators,
				.jobs = j->jobs,
				.states = j->states};
	le = (struct lead_env){.loop = j->loop,
			       .http = j->http,
			       .rows = j->rows,
			       .counters = j->counters,
			       .settings = s,
			       .jobs_gap_ms = JOBS_GAP_MS,
			       .owners = j->owners,
			       .jobs = j->jobs,
			       .states = j->states,
			       .incarnation = j->incarnation,
			       .strength = strength(j),
			       .stronger = stronger,
			       .arg = j};
	j->lead = lead_create(&le);
	j->entry = entry_create(&ee);
	j->readiness = http_server_create(j->loop, &s->readiness, 1024,
					  on_readiness, j);
	j->metrics =
		http_server_create(j->loop, &s->metrics, 1024, on_metrics, j);
	return j->entry && j->readiness && j->metrics;
}

static void destroy(struct joint *j)
{
	relay_destroy(j->relay);
	entry_destroy(j->entry);
	lead_destroy(j->lead);
	http_server_destroy(j->readiness);
	http_server_destroy(j->metrics);
	follower_destroy(j->owners);
	follower_destroy(j->jobs);
	follower_destroy(j->states);
	follower_destroy(j->operators);
	rows_destroy(j->rows);
	policy_destroy(j->policy);
	http_client_destroy(j->http);
	counters_destroy(j->counters);
	loop_destroy(j->loop);
}

/*
 * Run an instance until it is told to stop; s was read from file.
 * Returns the exit status.
 */
int joint_run(struct joint_settings *s, const char *file)
{
	struct joint j = {.settings = s, .file = file};
	int rc = 1;

	signal(SIGPIPE, SIG_IGN);
	log_open("lacewingd", s->instance, s->log_level);
	if (!create(&j)) {
		log_line(LOG_ERROR, "listen_failed", "an address is in use");
		goto out;
	}
	log_fields(LOG_INFO, "started", "{s:s,s:I}", "domain", s->domain,
		   "lease_ms", (json_int_t)s->lease_ms);
	loop_run(j.loop);
	log_fields(LOG_INFO, "stopped", "{s:i,s:I}", "open",
		   (int)entry_open(j.entry), "log_lost",
		   (json_int_t)log_lost());
	rc = 0;
out:
	destroy(&j);
	return rc;
}
