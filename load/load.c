/*
 * Load generator: sends quick checks to an instance at a constant rate.  The
 * latency of a check counts from its scheduled time, not from when it was
 * sent, so that a slow response cannot hide the delay of later checks.  With
 * --direct the checks go directly to a worker.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "lib/counter.h"
#include "lib/http.h"

#define CONNECTION_MAX 256
#define TIMEOUT_MS 5000

struct load_generator {
	struct loop *loop;
	struct http_pool *pool;
	char *account;
	bool direct;
	gint rate;
	gint seconds;
	gint run_ms;
	uint64_t start_us;
	uint64_t sent_count;
	uint64_t in_flight_count;
	uint64_t ran_count;
	uint64_t did_not_run_count;
	uint64_t may_have_run_count;
	uint64_t skipped_count; /* all connections in use */
	struct histogram latency;
};

struct check {
	struct load_generator *generator;
	uint64_t due_us;
};

/* Count a response by outcome; after a 504 the check may have run. */
static void record_response(void *arg, const struct http_result *r)
{
	struct check *o = arg;
	struct load_generator *l = o->generator;

	l->in_flight_count--;
	if (verdict_is_ran(r->verdict) && r->status == 200) {
		l->ran_count++;
		histogram_add(&l->latency, clock_mono_us() - o->due_us);
	} else if (verdict_is_ran(r->verdict) && r->status != 504) {
		l->did_not_run_count++;
	} else {
		l->may_have_run_count++;
	}
	g_free(o);
}

static char *check_body(const struct load_generator *l)
{
	if (l->direct)
		return g_strdup_printf(
			"{\"lease\":\"load-%" G_GUINT64_FORMAT
			"\",\"request\":\"load-%" G_GUINT64_FORMAT
			"\",\"payload\":\"p\",\"run_ms\":%d}",
			l->sent_count, l->sent_count, l->run_ms);
	return g_strdup_printf("{\"account\":\"%s\",\"payload\":\"p\","
			       "\"run_ms\":%d}",
			       l->account, l->run_ms);
}

/* Send one check; skip it if all connections are in use. */
static void send_check(struct load_generator *l, uint64_t due_us)
{
	struct check *o = g_new0(struct check, 1);
	char *body = check_body(l);

	o->generator = l;
	o->due_us = due_us;
	l->sent_count++;
	l->in_flight_count++;
	if (!http_call_start(l->pool, "POST", l->direct ? "/run" : "/v1/checks",
			     body, TIMEOUT_MS, record_response, o)) {
		l->in_flight_count--;
		l->skipped_count++;
		g_free(o);
	}
	g_free(body);
}

/* Send all checks at their scheduled times and wait for the responses. */
static void send_checks(struct load_generator *l)
{
	uint64_t total = (uint64_t)l->rate * (uint64_t)l->seconds;
	uint64_t n = 0;

	l->start_us = clock_mono_us();
	while (n < total || l->in_flight_count) {
		uint64_t now = clock_mono_us();

		while (n < total) {
			uint64_t due =
				l->start_us + n * 1000000 / (uint64_t)l->rate;

			if (due > now)
				break;
			n++;
			send_check(l, due);
		}
		loop_step(l->loop, n < total ? 0 : 10);
	}
}

static void print_result(const struct load_generator *l)
{
	printf("sent %llu ran %llu did_not_run %llu may_have_run %llu "
	       "skipped %llu p50_us %llu p99_us %llu max_us %llu\n",
	       (unsigned long long)l->sent_count,
	       (unsigned long long)l->ran_count,
	       (unsigned long long)l->did_not_run_count,
	       (unsigned long long)l->may_have_run_count,
	       (unsigned long long)l->skipped_count,
	       (unsigned long long)histogram_quantile_us(&l->latency, 0.5),
	       (unsigned long long)histogram_quantile_us(&l->latency, 0.99),
	       (unsigned long long)l->latency.max_us);
}

int main(int argc, char **argv)
{
	struct load_generator l = {.rate = 500, .seconds = 5, .run_ms = 0};
	gboolean direct = FALSE;
	char *to = NULL;
	GOptionEntry entries[] = {
		{"to", 't', 0, G_OPTION_ARG_STRING, &to,
		 "address of the instance or worker", "IP:PORT"},
		{"account", 'a', 0, G_OPTION_ARG_STRING, &l.account,
		 "client account of the checks", "NAME"},
		{"rate", 'r', 0, G_OPTION_ARG_INT, &l.rate, "checks per second",
		 "N"},
		{"seconds", 's', 0, G_OPTION_ARG_INT, &l.seconds, "duration",
		 "N"},
		{"run-ms", 0, 0, G_OPTION_ARG_INT, &l.run_ms,
		 "run time of each check", "MS"},
		{"direct", 'd', 0, G_OPTION_ARG_NONE, &direct,
		 "the address is that of a worker", NULL},
		{0}};
	GOptionContext *o =
		g_option_context_new("- send quick checks at a constant rate");
	struct http_client *http = NULL;
	struct sockaddr_in a;
	GError *err = NULL;
	int rc = 2;

	signal(SIGPIPE, SIG_IGN);
	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err) ||
	    !address_parse(to, &a) || l.rate < 1 || l.seconds < 1) {
		fprintf(stderr, "load: %s\n",
			err ? err->message
			    : "--to, --rate or --seconds is missing or "
			      "invalid");
		goto out;
	}
	l.direct = direct;
	if (!l.account)
		l.account = g_strdup("damodar");
	l.loop = loop_create();
	http = http_client_create(l.loop);
	l.pool = http_pool_create(http, &a, CONNECTION_MAX);
	send_checks(&l);
	print_result(&l);
	http_pool_destroy(l.pool);
	http_client_destroy(http);
	loop_destroy(l.loop);
	rc = 0;
out:
	g_clear_error(&err);
	g_option_context_free(o);
	g_free(l.account);
	g_free(to);
	return rc;
}
