/*
 * Load: sends quick checks to an instance at a steady rate and measures
 * each from the moment that it was due, so that a slow answer does not
 * hide the ones behind it.  With --direct the same checks go straight
 * to a worker.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "lib/counter.h"
#include "lib/http.h"

#define CONNECTIONS 256
#define TIMEOUT_MS 5000

struct load {
	struct loop *loop;
	struct http_pool *pool;
	char *account;
	bool direct;
	gint rate;
	gint seconds;
	gint run_ms;
	uint64_t began_us;
	uint64_t sent;
	uint64_t open;
	uint64_t ran;
	uint64_t did_not_run;
	uint64_t may_have_run;
	uint64_t skipped; /* all connections were in use */
	struct histogram latency;
};

struct one {
	struct load *load;
	uint64_t due_us;
};

static void on_answer(void *arg, const struct http_result *r)
{
	struct one *o = arg;
	struct load *l = o->load;

	l->open--;
	if (verdict_is_ran(r->verdict) && r->status == 200) {
		l->ran++;
		histogram_add(&l->latency, clock_mono_us() - o->due_us);
	} else if (verdict_is_ran(r->verdict) && r->status != 504) {
		l->did_not_run++;
	} else {
		l->may_have_run++;
	}
	g_free(o);
}

static char *body_of(const struct load *l)
{
	if (l->direct)
		return g_strdup_printf(
			"{\"lease\":\"load-%" G_GUINT64_FORMAT
			"\",\"request\":\"load-%" G_GUINT64_FORMAT
			"\",\"payload\":\"p\",\"run_ms\":%d}",
			l->sent, l->sent, l->run_ms);
	return g_strdup_printf("{\"account\":\"%s\",\"payload\":\"p\","
			       "\"run_ms\":%d}",
			       l->account, l->run_ms);
}

static void send_due(struct load *l, uint64_t due_us)
{
	struct one *o = g_new0(struct one, 1);
	char *body = body_of(l);

	o->load = l;
	o->due_us = due_us;
	l->sent++;
	l->open++;
	if (!http_call_start(l->pool, "POST", l->direct ? "/run" : "/v1/checks",
			     body, TIMEOUT_MS, on_answer, o)) {
		l->open--;
		l->skipped++;
		g_free(o);
	}
	g_free(body);
}

static void run(struct load *l)
{
	uint64_t total = (uint64_t)l->rate * (uint64_t)l->seconds;
	uint64_t n = 0;

	l->began_us = clock_mono_us();
	while (n < total || l->open) {
		uint64_t now = clock_mono_us();

		while (n < total) {
			uint64_t due =
				l->began_us + n * 1000000 / (uint64_t)l->rate;

			if (due > now)
				break;
			n++;
			send_due(l, due);
		}
		loop_step(l->loop, n < total ? 0 : 10);
	}
}

static void print(const struct load *l)
{
	printf("sent %llu ran %llu did_not_run %llu may_have_run %llu "
	       "skipped %llu p50_us %llu p99_us %llu max_us %llu\n",
	       (unsigned long long)l->sent, (unsigned long long)l->ran,
	       (unsigned long long)l->did_not_run,
	       (unsigned long long)l->may_have_run,
	       (unsigned long long)l->skipped,
	       (unsigned long long)histogram_quantile_us(&l->latency, 0.5),
	       (unsigned long long)histogram_quantile_us(&l->latency, 0.99),
	       (unsigned long long)l->latency.max_us);
}

int main(int argc, char **argv)
{
	struct load l = {.rate = 500, .seconds = 5, .run_ms = 0};
	gboolean direct = FALSE;
	char *to = NULL;
	GOptionEntry entries[] = {
		{"to", 't', 0, G_OPTION_ARG_STRING, &to,
		 "send to this instance, or worker", "IP:PORT"},
		{"account", 'a', 0, G_OPTION_ARG_STRING, &l.account,
		 "client account that asks", "NAME"},
		{"rate", 'r', 0, G_OPTION_ARG_INT, &l.rate, "checks a second",
		 "N"},
		{"seconds", 's', 0, G_OPTION_ARG_INT, &l.seconds,
		 "for this long", "N"},
		{"run-ms", 0, 0, G_OPTION_ARG_INT, &l.run_ms,
		 "run time of each check", "MS"},
		{"direct", 'd', 0, G_OPTION_ARG_NONE, &direct,
		 "to is a worker, not an instance", NULL},
		{0}};
	GOptionContext *o = g_option_context_new("- load of quick checks");
	struct http_client *http = NULL;
	struct sockaddr_in a;
	GError *err = NULL;
	int rc = 2;

	signal(SIGPIPE, SIG_IGN);
	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err) ||
	    !address_parse(to, &a) || l.rate < 1 || l.seconds < 1) {
		fprintf(stderr, "load: %s\n",
			err ? err->message : "--to, --rate or --seconds");
		goto out;
	}
	l.direct = direct;
	if (!l.account)
		l.account = g_strdup("damodar");
	l.loop = loop_create();
	http = http_client_create(l.loop);
	l.pool = http_pool_create(http, &a, CONNECTIONS);
	run(&l);
	print(&l);
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
