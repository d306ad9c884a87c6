/*
 * Simulates the joint platform for tests, by its published protocol: the table
 * store with its feed of changes, and upstreams that run tasks under leases.
 * The payload of a task is its run time in milliseconds, or "crash MS" for a
 * task whose upstream crashes that long after it has started the task.
 *
 *	joint STORE FIRST-UPSTREAM UPSTREAMS [FIRST-LISTED [DOMAINS]]
 *
 * Addresses are IP:PORT; each further upstream increments the IP. The table of
 * servers lists the upstreams from FIRST-LISTED on, the default is
 * FIRST-UPSTREAM; a proxy such as cutter can listen there. Upstream n is in
 * failure domain n modulo DOMAINS, the default is 1.
 *
 * The store's address also serves:
 *	POST /control  {"store": "ok"|"refuse"|"hang"|"down"|"silent",
 *			"lose_answers": N, "late_starts": N, "late_ms": N,
 *			"forget": true, "silence_ms": N, "stale_ms": N,
 *			"stale_table": NAME,
 *			"late_writes": N, "late_write_ms": N, "late_table": NAME,
 *			"crash_ms": N, "guarded": BOOL, "lease_max_ms": N,
 *			"entries_lapse": BOOL, "entry_delay_ms": N,
 *			"upstream": N|"domain": N, "room": N, "silent": BOOL,
 *			"cold_ms": N, "kind": TEXT, "crash": BOOL,
 *			"first_beat_ms": N}
 *	               (down, silent: as refuse and hang, also for the open
 *	               polls of the feed;
 *	               forget: compact the feed's history up to now;
 *	               silence_ms: the feed reports no change for so long, and
 *	               its history is compacted then;
 *	               stale_ms: range reads and the feed show the rows of so
 *	               long ago, with the version of that time; 0: the present;
 *	               stale_table: of this table alone, unless it is empty;
 *	               late_writes, late_write_ms, late_table: leave so many writes of
 *	               this table unanswered and carry each out that much
 *	               later, if its condition holds then;
 *	               crash_ms: time for which a crashed upstream is away;
 *	               guarded: upstreams refuse starts beyond their room;
 *	               entries_lapse: the entries of upstreams lapse also while
 *	               the store is away; entry_delay_ms: a lapsed entry is back
 *	               half of this time to this time after the upstream
 *	               reaches the store again;
 *	               room: accelerators of one upstream, or of each one of a
 *	               domain, one for each run;
 *	               silent: their heartbeats do not reach the store;
 *	               cold_ms: they are listed as cold for so long;
 *	               kind, crash: the kind of an upstream, which crashes now;
 *	               late_calls: leave the next N list calls and stops to it
 *	               unanswered, also over its restarts, and carry each out
 *	               late_ms later, or soon after, whichever incarnation is
 *	               there then;
 *	               first_beat_ms: an upstream that is back sends its first
 *	               heartbeat so long after its start)
 *	GET /record    {"starts": N, "twice": N, "after_done": N,
 *			"running": N, "unlisted": N, "crashes": N,
 *			"over_room": N, "on_other_kind": N, "stopped": N, "void": N,
 *			"crash_tasks": [[TASK, CRASHES, FURTHER-STARTS], ...],
 *			"lapses": [[TASK, UPSTREAM, MS], ...],
 *			"last_starts": {JOB: MS, ...},
 *			"last_starts_at": {UPSTREAM: MS, ...},
 *			"breaches": [{"what": "twice"|"after_done", "ms": MS,
 *			"task": TASK, "upstream": ID, "run": N, "epoch": N,
 *			"other_upstream": ID, "other_run": N, ...}, ...]}
 *	               (twice: starts of a task that was running; after_done:
 *	               starts of a task with a run that is done, unless the
 *	               lease of its upstream lapsed, or it crashed, before the
 *	               end was acknowledged; unlisted: upstreams whose entry
 *	               does not show their last change; over_room: starts that
 *	               brought an upstream over its room; on_other_kind: starts
 *	               of tasks whose payload begins with "kind KIND " on
 *	               upstreams of another; stopped: runs that
 *	               ended on request; void: runs that are done but whose ends
 *	               do not count, as said at after_done; further starts: those
 *	               after three upstreams had crashed under the task; lapses:
 *	               runs that ended with their lease, on the monotonic clock;
 *	               last_starts: of each job, on the same clock;
 *	               last_starts_at: of each upstream, carried out by it;
 *	               breaches: the starts of twice and after_done, each with
 *	               the run before it and the epochs of their leaders)
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/jointupstream.h"
#include "lib/log.h"

#define MAX_BODY_BYTES (4u << 20)
#define UPDATE_INTERVAL_MS 10

struct joint {
	struct loop *loop;
	struct http_server *server;
	struct joint_store *store;
	struct joint_upstreams *upstreams;
	struct timer update_timer;
};

static void handle_control(struct joint *j, struct http_exchange *x)
{
	size_t len;
	const char *body = exchange_body(x, &len);
	json_t *v = json_loadb(body, len, 0, NULL);

	joint_store_control(j->store, v);
	joint_upstreams_control(j->upstreams, v);
	json_decref(v);
	exchange_reply_json(x, 200, json_object(), 0);
}

static void handle_request(void *arg, struct http_exchange *x)
{
	struct joint *j = arg;
	const char *path = exchange_path(x);

	if (!strcmp(path, "/control"))
		handle_control(j, x);
	else if (!strcmp(path, "/record"))
		exchange_reply_json(x, 200,
				    joint_upstreams_record(j->upstreams), 0);
	else
		joint_store_handle(j->store, x);
}

static void update(void *arg)
{
	struct joint *j = arg;

	joint_upstreams_update(j->upstreams);
	joint_store_update(j->store);
	timer_start(j->loop, &j->update_timer, UPDATE_INTERVAL_MS);
}

int main(int argc, char **argv)
{
	struct joint j = {0};
	struct sockaddr_in store_address, first, listed;

	if (argc < 4 || !address_parse(argv[1], &store_address) ||
	    !address_parse(argv[2], &first) ||
	    !address_parse(argv[argc > 4 ? 4 : 2], &listed)) {
		fprintf(stderr, "usage: joint STORE FIRST-UPSTREAM UPSTREAMS "
				"[FIRST-LISTED [DOMAINS]]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	log_open("joint", "joint", LOG_INFO);
	j.loop = loop_create();
	j.store = joint_store_create();
	j.upstreams = joint_upstreams_create(j.loop, j.store,
					     argc > 5 ? atoi(argv[5]) : 1);
	j.server = http_server_create(j.loop, &store_address, MAX_BODY_BYTES,
				      handle_request, &j);
	for (int i = 0; i < atoi(argv[3]); i++) {
		if (!joint_upstreams_add(j.upstreams, first, listed)) {
			fprintf(stderr, "joint: a port is in use\n");
			return 1;
		}
	}
	if (!j.server) {
		fprintf(stderr, "joint: %s is in use\n", argv[1]);
		return 1;
	}
	timer_init(&j.update_timer, update, &j);
	timer_start(j.loop, &j.update_timer, UPDATE_INTERVAL_MS);
	loop_run(j.loop);
	return 0;
}
