/* lacewingd: runs one instance of the scheduler. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "daemon/caller.h"
#include "daemon/check.h"
#include "daemon/coordinator.h"
#include "daemon/joint.h"
#include "daemon/jobs.h"
#include "daemon/peer.h"
#include "daemon/config_store.h"
#include "daemon/platform_client.h"

#define STOP_POLL_INTERVAL_MS 20

struct instance {
	struct env env;
	struct settings *settings;
	struct caller *caller;
	struct checks *checks;
	struct jobs *jobs;
	struct coordinator *coordinator;
	struct platform_client *platform_client;
	struct peers *peers;
	struct config_store *config_store;
	struct timer stop_timer;
	uint64_t stop_started_ms; /* 0 while not stopping */
	bool accept_stopped;
};

/*
 * Accept connections for drain_ms, until the load balancer has noticed the
 * stop, then wait at most stop_ms for the open requests, and end the loop.
 */
static void on_stop_timer(void *arg)
{
	struct instance *in = arg;
	uint64_t elapsed_ms = clock_mono_ms() - in->stop_started_ms;
	const struct settings *s = in->settings;

	if (elapsed_ms >= s->drain_ms && !in->accept_stopped) {
		in->accept_stopped = true;
		caller_stop_accepting(in->caller);
	}
	if ((in->accept_stopped && !caller_count_open_requests(in->caller)) ||
	    elapsed_ms >= (uint64_t)s->drain_ms + s->stop_ms) {
		loop_stop(in->env.loop);
		return;
	}
	timer_start(in->env.loop, &in->stop_timer, STOP_POLL_INTERVAL_MS);
}

static void on_signal(void *arg, int signo)
{
	struct instance *in = arg;
	struct message m = {
		.tag = MSG_DRAIN, .from = TASK_CALLER, .to = TASK_CALLER};

	if (signo == SIGHUP) {
		log_line(LOG_WARN, "reload",
			 "SIGHUP ignored: settings are read only at start");
		return;
	}
	if (in->stop_started_ms) {
		log_line(LOG_WARN, "stopping_now",
			 "second signal %d; dropping open requests", signo);
		loop_stop(in->env.loop);
		return;
	}
	in->stop_started_ms = clock_mono_ms();
	bus_post(in->env.bus, &m);
	timer_start(in->env.loop, &in->stop_timer, STOP_POLL_INTERVAL_MS);
}

static void deliver_messages(void *arg)
{
	bus_deliver(arg);
}

static void on_loop_iteration(void *arg, const struct loop_timing *t)
{
	struct instance *in = arg;

	(void)t;
	caller_note_iteration(in->caller);
}

static void instance_destroy(struct instance *in)
{
	coordinator_destroy(in->coordinator);
	jobs_destroy(in->jobs);
	checks_destroy(in->checks);
	platform_client_destroy(in->platform_client);
	peers_destroy(in->peers);
	config_store_destroy(in->config_store);
	caller_destroy(in->caller);
	http_client_destroy(in->env.http);
	bus_destroy(in->env.bus);
	counters_destroy(in->env.counters);
	event_ring_destroy(in->env.events);
	loop_destroy(in->env.loop);
}

/*
 * Create all tasks.  Return false, with a message on standard error, if the
 * instance cannot listen on an address.
 */
static bool instance_create(struct instance *in, struct settings *s)
{
	struct env *e = &in->env;

	in->settings = s;
	e->settings = s;
	e->loop = loop_create();
	e->bus = bus_create();
	e->counters = counters_create();
	e->events = event_ring_create(s->events);
	e->http = http_client_create(e->loop);
	timer_init(&in->stop_timer, on_stop_timer, in);
	loop_on_signal(e->loop, on_signal, in);
	loop_on_iteration_end(e->loop, deliver_messages, e->bus);
	in->caller = caller_create(e);
	in->peers = peers_create(e);
	if (!in->caller || !in->peers) {
		fprintf(stderr, "lacewingd: cannot listen on the %s address\n",
			in->caller ? "peer" : "http");
		return false;
	}
	loop_on_timing(e->loop, on_loop_iteration, in);
	in->config_store = config_store_create(e);
	in->jobs = jobs_create(e);
	in->checks = checks_create(e);
	in->coordinator = coordinator_create(e);
	in->platform_client = platform_client_create(e);
	return true;
}

static int run_instance(struct settings *s)
{
	struct instance in = {0};
	int rc = 1;

	signal(SIGPIPE, SIG_IGN);
	log_open("lacewingd", s->name, s->log_level);
	if (!instance_create(&in, s))
		goto out;
	log_line(LOG_INFO, "started", "domain %s", s->domain);
	event_add(in.env.events, "started", s->name, NULL, "domain %s",
		  s->domain);
	loop_run(in.env.loop);
	log_line(LOG_INFO, "stopped", "%u requests open",
		 caller_count_open_requests(in.caller));
	rc = 0;
out:
	instance_destroy(&in);
	return rc;
}

static const char summary[] =
	"One entry instance of the lacewingspur scheduler.  It serves callers "
	"over HTTP, talks to its peers, to the upstreams of its failure "
	"domain and to the platform, and keeps nothing on disk.";

int main(int argc, char **argv)
{
	GOptionContext *o = g_option_context_new("- scheduler instance");
	struct problems *p = NULL;
	struct settings *s = NULL;
	struct joint_settings *joint = NULL;
	char *file = NULL, *text;
	gboolean check = FALSE;
	GError *err = NULL;
	int rc = 2;
	GOptionEntry entries[] = {
		{"settings", 's', 0, G_OPTION_ARG_FILENAME, &file,
		 "read the process's settings from FILE", "FILE"},
		{"check", 'c', 0, G_OPTION_ARG_NONE, &check,
		 "check the settings, print any problems, and exit", NULL},
		{0}};

	g_option_context_set_summary(o, summary);
	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err) || !file) {
		fprintf(stderr, "lacewingd: %s\n",
			err ? err->message : "--settings is missing");
		goto out;
	}
	p = problems_create(file);
	if (joint_settings_present(file))
		joint = joint_settings_load(file, p);
	else
		s = settings_load(file, p);
	if (!s && !joint) {
		text = problems_text(p);
		fprintf(stderr, "%s", text);
		g_free(text);
		goto out;
	}
	if (check)
		rc = 0;
	else
		rc = joint ? joint_run(joint, file) : run_instance(s);
out:
	joint_settings_destroy(joint);
	settings_destroy(s);
	problems_destroy(p);
	g_clear_error(&err);
	g_free(file);
	g_option_context_free(o);
	return rc;
}
