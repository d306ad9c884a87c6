/*
 * Runs an instance on the joint platform: creates its tasks, keeps replicas
 * of the store's tables, reports readiness, and stops gracefully.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/intakes.h"
#include "daemon/joint.h"
#include "entry/entry.h"
#include "lead/admissionrow.h"
#include "lead/leader.h"
#include "lead/succession.h"
#include "lead/record.h"
#include "lib/log.h"
#include "lib/sockbuf.h"
#include "peer/relay.h"
#include "platform/decode.h"

/* Maximum time that the store waits for a change before it answers a feed. */
#define FEED_LONG_POLL_MS 500
/*
 * Maximum time that the store waits on the feed of the operators' policy. A
 * call that gets no answer times out early enough for a change to be in force
 * within two seconds.
 */
#define POLICY_LONG_POLL_MS 1000
/*
 * Maximum time that the store waits on the feed of the owner row: one heartbeat
 * of the leader.
 */
#define OWNER_LONG_POLL_MS 300
/*
 * Delay between an answer of the feed of the owner row, which changes all the
 * time, and the next call. An instance of full strength polls often, to claim
 * leadership as soon as the leader is lost; a weak one claims only when no
 * strong instance does.
 */
#define OWNER_POLL_DELAY_MS 150
#define OWNER_POLL_DELAY_WEAK_MS 900
/* Timeout of the write of this instance's own row. */
#define REGISTER_TIMEOUT_MS 1000
/*
 * Delay between an answer of the feed of jobs and the next call. Counts of jobs
 * may be up to two seconds old.
 */
#define JOBS_POLL_DELAY_MS 1000
/* Maximum age of the newest store answer of an instance that is ready. */
#define READY_STORE_AGE_MAX_MS 1300
#define STOP_POLL_INTERVAL_MS 20
/*
 * An iteration of the event loop that takes longer is logged, because answers
 * are delayed meanwhile, and on a leader the renewal of leases.
 */
#define SLOW_ITERATION_LEADER_US 20000
#define SLOW_ITERATION_US 100000
/*
 * After SIGTERM the instance accepts connections for drain_ms, in which the
 * load balancer notices, and for this long after it.
 */
#define DRAIN_MARGIN_MS 400
/* Time before SIGKILL (grace_ms) that a stop leaves unused. */
#define GRACE_MARGIN_MS 500

struct joint {
	struct joint_settings *settings;
	const char *file;
	struct loop *loop;
	struct http_client *http;
	struct counters *counters;
	struct intakes *intakes;
	struct relay *relay;
	struct rows *rows;
	uint64_t incarnation;
	uint64_t registered_ms; /* last write of the own row, 0: none yet */
	bool registering;
	struct replica *owners;
	struct replica *jobs;
	struct replica *states;
	struct replica *policies;
	struct policy *policy;
	struct entry *entry;
	struct leader *leader;
	struct http_server *readiness;
	struct http_server *metrics;
	struct timer stop_timer;
	uint64_t stop_started_ms; /* 0 while not stopping */
	bool accept_stopped;
	bool was_ready;
};

static void on_job_row(void *arg, const char *key, const char *value,
		       uint64_t version)
{
	struct joint *j = arg;

	(void)version;
	entry_apply_job_row(j->entry, key, value);
	leader_apply_job_row(j->leader, key, value);
}

static void on_owner_row(void *arg, const char *key, const char *value,
			 uint64_t version)
{
	struct joint *j = arg;
	struct peer_record p = {.domain = NULL};
	const char *name = key + strlen(KEY_INSTANCE);

	if (!strcmp(key, KEY_OWNER))
		leader_apply_owner_row(j->leader, value, version);
	else if (!strcmp(key, KEY_ADMISSION))
		entry_apply_admission_row(j->entry, value);
	else if (g_str_has_prefix(key, KEY_INSTANCE))
		relay_update_peer(j->relay, name,
				  value && peer_record_decode(name, value, &p)
					  ? &p
					  : NULL);
	peer_record_clear(&p);
}

static void on_registered(void *arg, const struct rows_answer *a)
{
	struct joint *j = arg;

	j->registering = false;
	if (a->outcome == ROWS_OK)
		j->registered_ms = clock_mono_ms();
	else
		log_fields(LOG_WARN, "registration_failed", "{s:s}", "outcome",
			   rows_outcome_name(a->outcome));
}

static uint32_t own_strength(const struct joint *j)
{
	return succession_strength(j->settings->processor_share,
				   j->settings->link_mbps);
}

/*
 * Write this instance's row, which tells peers its address, at the start and
 * again each ROSTER_INTERVAL_MS.
 */
static void register_instance(struct joint *j)
{
	struct peer_record p = {.incarnation = j->incarnation,
				.address = j->settings->peers};
	struct rows_tx *t;
	char *value, *key, *text;

	if (j->registering || !replica_is_complete(j->owners) ||
	    (j->registered_ms &&
	     clock_mono_ms() < j->registered_ms + ROSTER_INTERVAL_MS))
		return;
	j->registering = true;
	p.domain = j->settings->domain;
	p.written_ms = replica_store_clock_ms(j->owners);
	p.strength = own_strength(j);
	p.memory_mb = j->settings->memory_mb;
	value = peer_record_encode(&p);
	key = g_strconcat(KEY_INSTANCE, j->settings->instance, NULL);
	t = rows_tx_create(LEADER_PART);
	rows_tx_put(t, OWNER_TABLE, key, value);
	text = rows_tx_encode(t);
	rows_commit(j->rows, text, REGISTER_TIMEOUT_MS, on_registered, j);
	free(text);
	rows_tx_destroy(t);
	g_free(key);
	free(value);
}

static uint32_t count_stronger_peers(void *arg)
{
	struct joint *j = arg;

	return relay_count_stronger_peers(j->relay, own_strength(j));
}

/*
 * Return how many peers have more memory; 0 if that of this instance is not
 * known.
 */
static uint32_t count_larger_peers(void *arg)
{
	struct joint *j = arg;
	uint32_t own_mb = j->settings->memory_mb;

	return own_mb ? relay_count_larger_peers(j->relay, own_mb) : 0;
}

/*
 * Return the memory of the weakest instance, this one included. Its peers are
 * known from their rows, which may lack it.
 */
static struct job_memory_limits memory_limits(void *arg)
{
	struct joint *j = arg;
	uint32_t own_mb = j->settings->memory_mb;
	uint32_t peers_mb = relay_least_memory_mb(j->relay);

	return (struct job_memory_limits){
		.least_mb = own_mb && peers_mb ? MIN(own_mb, peers_mb)
					       : MAX(own_mb, peers_mb),
		.instances = relay_count_peers(j->relay) + 1};
}

static void on_owner_feed_answer(void *arg)
{
	struct joint *j = arg;

	leader_note_owner_answer(j->leader);
	register_instance(j);
}

static void on_state_row(void *arg, const char *id, const char *value,
			 uint64_t version)
{
	(void)version;
	entry_apply_state_row(((struct joint *)arg)->entry, id, value);
}

static void on_policy_row(void *arg, const char *key, const char *value,
			  uint64_t version)
{
	struct joint *j = arg;
	struct policy *p, *before = j->policy;
	const char *evacuated = decode_evacuation_key(key);

	(void)version;
	if (evacuated)
		leader_apply_evacuation_row(j->leader, evacuated,
					    value != NULL);
	if (strcmp(key, OPERATOR_POLICY_KEY) || !value)
		return;
	p = decode_policy(value);
	if (!p || (before && p->version <= before->version)) {
		log_fields(LOG_WARN, "policy_refused", "{s:I,s:I}", "version",
			   (json_int_t)(p ? p->version : 0), "present",
			   (json_int_t)(before ? before->version : 0));
		policy_destroy(p);
		return;
	}
	counter_add(j->counters, "policy_parts_refused", NULL,
		    p->refused_parts);
	j->policy = p;
	entry_set_policy(j->entry, p);
	leader_apply_policy(j->leader, p);
	log_fields(LOG_INFO, "policy", "{s:I,s:I,s:i,s:i}", "version",
		   (json_int_t)p->version, "before",
		   (json_int_t)(before ? before->version : 0), "queues",
		   (int)p->queues_len, "accounts", (int)p->accounts_len);
	policy_destroy(before);
}

static void on_policy_feed_answer(void *arg)
{
	entry_note_policy_read(((struct joint *)arg)->entry);
}

static bool is_ready(const struct joint *j)
{
	return !j->stop_started_ms && j->policy &&
	       replica_is_complete(j->jobs) && replica_is_complete(j->states) &&
	       entry_store_age_ms(j->entry) < READY_STORE_AGE_MAX_MS;
}

static void on_readiness(void *arg, struct http_exchange *x)
{
	struct joint *j = arg;
	bool ready_now = is_ready(j);

	if (ready_now != j->was_ready)
		log_fields(LOG_INFO, "ready", "{s:b,s:I,s:I,s:b}", "ready",
			   ready_now, "policy",
			   (json_int_t)(j->policy ? j->policy->version : 0),
			   "table_age_ms",
			   (json_int_t)entry_store_age_ms(j->entry), "leaving",
			   j->stop_started_ms != 0);
	j->was_ready = ready_now;
	exchange_reply(x, ready_now ? 200 : 503, "text/plain",
		       ready_now ? "ready\n" : "no\n", 0);
}

/* Record the duration of a loop iteration, and log a slow one. */
static void on_loop_iteration(void *arg, const struct loop_timing *t)
{
	struct joint *j = arg;
	uint64_t us = t->sockets_us + t->timers_us;

	latency_add(j->counters, "turn", us);
	intakes_log_closed(j->intakes);
	entry_note_stall(j->entry, MAX(us, t->late_us) / 1000);
	if (MAX(us, t->late_us) > (leader_is_active(j->leader)
					   ? SLOW_ITERATION_LEADER_US
					   : SLOW_ITERATION_US))
		log_fields(LOG_INFO, "loop_slow", "{s:I,s:I,s:I,s:b}",
			   "sockets_us", (json_int_t)t->sockets_us, "timers_us",
			   (json_int_t)t->timers_us, "late_us",
			   (json_int_t)t->late_us, "leads",
			   leader_is_active(j->leader));
}

static void on_metrics(void *arg, struct http_exchange *x)
{
	struct joint *j = arg;
	char *s = counters_text(j->counters);
	char *intakes = intakes_metrics_text(j->intakes);
	char *all = g_strdup_printf(
		"%s%slacewing_leads %d\nlacewing_ready %d\n"
		"lacewing_learned_groups %u\n"
		"lacewing_peers %u\n"
		"lacewing_store_by_peers %d\n"
		"lacewing_log_lost %llu\n"
		"lacewing_log_shortened %llu\n"
		"lacewing_evacuated_domains %u\n"
		"lacewing_job_memory_bytes %llu\n"
		"lacewing_job_memory_bound_bytes %llu\n",
		s, intakes, leader_is_active(j->leader), is_ready(j),
		leader_count_learned_groups(j->leader),
		relay_count_peers(j->relay), relay_uses_peers(j->relay),
		(unsigned long long)log_lost(),
		(unsigned long long)log_shortened(),
		leader_count_evacuated(j->leader),
		(unsigned long long)entry_job_memory_bytes(j->entry),
		(unsigned long long)entry_job_memory_bound_bytes(j->entry));

	exchange_reply(x, 200, "text/plain", all, 0);
	g_free(all);
	g_free(intakes);
	g_free(s);
}

/*
 * Accept connections until the load balancer has noticed the stop, then wait
 * for the open requests, and end the loop when none is left or grace_ms is
 * nearly over.
 */
static void on_stop_timer(void *arg)
{
	struct joint *j = arg;
	const struct joint_settings *s = j->settings;
	uint64_t elapsed_ms = clock_mono_ms() - j->stop_started_ms;
	uint64_t stop_max_ms = s->grace_ms > 2 * GRACE_MARGIN_MS
				       ? s->grace_ms - GRACE_MARGIN_MS
				       : s->grace_ms / 2;

	if (elapsed_ms >= s->drain_ms + DRAIN_MARGIN_MS && !j->accept_stopped) {
		j->accept_stopped = true;
		entry_stop_accepting(j->entry);
	}
	if ((j->accept_stopped && !entry_count_open_requests(j->entry)) ||
	    elapsed_ms >= stop_max_ms) {
		loop_stop(j->loop);
		return;
	}
	timer_start(j->loop, &j->stop_timer, STOP_POLL_INTERVAL_MS);
}

/* Read the settings file again. */
static void reload_settings(struct joint *j)
{
	struct problems *p = problems_create(j->file);
	struct joint_settings *s = joint_settings_load(j->file, p);
	char *text = problems_text(p);

	if (s) {
		joint_settings_update(j->settings, s);
		intakes_update_settings(j->intakes, j->settings);
		log_open("lacewingd", j->settings->instance, s->log_level);
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
		reload_settings(j);
		return;
	}
	if (j->stop_started_ms)
		return;
	log_fields(LOG_INFO, "stopping", "{s:i,s:i,s:b}", "signal", signo,
		   "open", (int)entry_count_open_requests(j->entry), "leads",
		   leader_is_active(j->leader));
	j->stop_started_ms = clock_mono_ms();
	entry_drain(j->entry);
	leader_resign(j->leader);
	timer_start(j->loop, &j->stop_timer, STOP_POLL_INTERVAL_MS);
}

static void create_replicas(struct joint *j)
{
	struct replica_events owners = {.changed = on_owner_row,
					.answered = on_owner_feed_answer};
	struct replica_events jobs = {.changed = on_job_row};
	struct replica_events states = {.changed = on_state_row};
	struct replica_events op = {.changed = on_policy_row,
				    .answered = on_policy_feed_answer};

	j->owners = replica_create(j->loop, j->rows, OWNER_TABLE,
				   replica_single_part, OWNER_LONG_POLL_MS,
				   &owners, j);
	replica_set_poll_delay(j->owners,
			       own_strength(j) == STRENGTH_FULL_PERCENT
				       ? OWNER_POLL_DELAY_MS
				       : OWNER_POLL_DELAY_WEAK_MS);
	j->jobs = replica_create(j->loop, j->rows, JOB_TABLE, job_parts,
				 FEED_LONG_POLL_MS, &jobs, j);
	j->states = replica_create(j->loop, j->rows, STATE_TABLE,
				   replica_single_part, FEED_LONG_POLL_MS,
				   &states, j);
	replica_set_poll_delay(j->jobs, JOBS_POLL_DELAY_MS);
	j->policies = replica_create(j->loop, j->rows, OPERATOR_TABLE,
				     replica_single_part, POLICY_LONG_POLL_MS,
				     &op, j);
	replica_expect_large_rows(j->policies);
}

static bool create_tasks(struct joint *j)
{
	const struct joint_settings *s = j->settings;
	struct entry_env ee;
	struct leader_env le;
	struct relay_env re;

	j->loop = loop_create();
	j->counters = counters_create();
	j->intakes = intakes_create(s);
	j->http = http_client_create(j->loop);
	j->incarnation = clock_wall_ms() ^ g_random_int();
	re = (struct relay_env){.loop = j->loop,
				.http = j->http,
				.counters = j->counters,
				.intake = intakes_get(j->intakes, INTAKE_PEERS),
				.instance = s->instance,
				.domain = s->domain,
				.incarnation = j->incarnation,
				.store = s->store,
				.listen = s->peers,
				.probe_path = ROWS_PROBE_PATH};
	j->relay = relay_create(&re);
	if (!j->relay)
		return false;
	j->rows = rows_create(relay_send_call, j->relay);
	timer_init(&j->stop_timer, on_stop_timer, j);
	loop_on_timing(j->loop, on_loop_iteration, j);
	loop_on_signal(j->loop, on_signal, j);
	create_replicas(j);
	ee = (struct entry_env){.loop = j->loop,
				.rows = j->rows,
				.counters = j->counters,
				.intake =
					intakes_get(j->intakes, INTAKE_CALLERS),
				.settings = s,
				.policies = j->policies,
				.jobs = j->jobs,
				.states = j->states,
				.memory_limits = memory_limits,
				.arg = j};
	le = (struct leader_env){.loop = j->loop,
				 .http = j->http,
				 .rows = j->rows,
				 .counters = j->counters,
				 .settings = s,
				 .jobs_poll_delay_ms = JOBS_POLL_DELAY_MS,
				 .owners = j->owners,
				 .jobs = j->jobs,
				 .states = j->states,
				 .policies = j->policies,
				 .incarnation = j->incarnation,
				 .strength = own_strength(j),
				 .count_stronger_peers = count_stronger_peers,
				 .count_larger_peers = count_larger_peers,
				 .arg = j};
	j->leader = leader_create(&le);
	j->entry = entry_create(&ee);
	j->readiness = http_server_create(j->loop, &s->readiness, 1024,
					  on_readiness, j);
	j->metrics =
		http_server_create(j->loop, &s->metrics, 1024, on_metrics, j);
	if (!j->entry || !j->readiness || !j->metrics)
		return false;
	http_server_set_intake(j->readiness,
			       intakes_get(j->intakes, INTAKE_PROBES));
	http_server_set_intake(j->metrics,
			       intakes_get(j->intakes, INTAKE_PROBES));
	return true;
}

static void destroy_tasks(struct joint *j)
{
	relay_destroy(j->relay);
	entry_destroy(j->entry);
	leader_destroy(j->leader);
	http_server_destroy(j->readiness);
	http_server_destroy(j->metrics);
	replica_destroy(j->owners);
	replica_destroy(j->jobs);
	replica_destroy(j->states);
	replica_destroy(j->policies);
	rows_destroy(j->rows);
	policy_destroy(j->policy);
	http_client_destroy(j->http);
	counters_destroy(j->counters);
	loop_destroy(j->loop);
	intakes_destroy(j->intakes);
}

/*
 * Run an instance with the settings s, read from file, until a signal stops it.
 * Returns the exit status: 0, or 1 if it cannot listen on an address.
 */
int joint_run(struct joint_settings *s, const char *file)
{
	struct joint j = {.settings = s, .file = file};
	int rc = 1;

	signal(SIGPIPE, SIG_IGN);
	sockbuf_init_process();
	log_open("lacewingd", s->instance, s->log_level);
	if (!create_tasks(&j)) {
		log_line(LOG_ERROR, "listen_failed",
			 "a listen address is not available");
		goto out;
	}
	log_fields(LOG_INFO, "started", "{s:s,s:I}", "domain", s->domain,
		   "lease_ms", (json_int_t)s->lease_ms);
	loop_run(j.loop);
	log_fields(LOG_INFO, "stopped", "{s:i,s:I}", "open",
		   (int)entry_count_open_requests(j.entry), "log_lost",
		   (json_int_t)log_lost());
	rc = 0;
out:
	destroy_tasks(&j);
	return rc;
}
