/*
 * Forwards calls to a stand-in of the platform's store, and refuses with 413 a
 * transaction beyond the limits of PROTOCOL.md ("The platform's metadata
 * store"): 100 entries, 1 MB, and rowBytes of a value.
 *
 *	storelimits LISTEN STORE ROW-BYTES
 *
 * Prints one line for each refused transaction to standard output.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/http.h"
#include "lib/log.h"
#include "lib/schema.h"

#define ENTRIES_MAX 100
#define TX_MAX_BYTES (1u << 20)
#define BODY_MAX_BYTES (64u << 20)
#define CALL_TIMEOUT_MS 40000
#define CONNECTIONS_MAX 400

static struct http_pool *store;
static size_t row_max_bytes;

static const char *const query_names[] = {"table", "part",  "from",  "target",
					  "limit", "after", "waitMs"};

static void on_answer(void *arg, const struct http_result *r)
{
	struct http_exchange *x = arg;

	if (verdict_is_ran(r->verdict))
		exchange_reply(x, r->status, "application/json", r->body, 0);
	else
		exchange_abort(x);
}

/* Return why the store refuses a transaction, or NULL. */
static const char *refusal(const char *body, size_t len)
{
	json_t *v = json_loadb(body, len, 0, NULL);
	const json_t *puts = json_object_get(v, "puts"), *item;
	size_t entries = json_array_size(json_object_get(v, "expected")) +
			 json_array_size(puts) +
			 json_array_size(json_object_get(v, "remove"));
	const char *why = NULL;
	size_t i;

	if (len > TX_MAX_BYTES)
		why = "bytes of the call";
	else if (entries > ENTRIES_MAX)
		why = "entries";
	json_array_foreach(puts, i, item)
	{
		const char *text = json_str_or(item, "value", "");

		/* the reading that allows more: rowBytes of the decoded value */
		if (!why && strlen(text) / 4 * 3 > row_max_bytes + 3)
			why = "bytes of a row";
	}
	if (why) {
		printf("%llu refused: %s, %zu bytes, %zu entries, %zu rows\n",
		       (unsigned long long)clock_wall_ms(), why, len, entries,
		       json_array_size(puts));
		fflush(stdout);
	}
	json_decref(v);
	return why;
}

static void on_request(void *arg, struct http_exchange *x)
{
	GString *path = g_string_new(exchange_path(x));
	const char *body;
	char sep = '?';
	size_t len;

	(void)arg;
	body = exchange_body(x, &len);
	if (!strcmp(exchange_path(x), "/-/rows-tx") && refusal(body, len)) {
		exchange_reply_json(x, 413, json_object(), 0);
		goto out;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(query_names); i++) {
		char *v = exchange_query(x, query_names[i]);
		char *e = v ? g_uri_escape_string(v, NULL, FALSE) : NULL;

		if (v) {
			g_string_append_printf(path, "%c%s=%s", sep,
					       query_names[i], e);
			sep = '&';
		}
		g_free(e);
		g_free(v);
	}
	if (!http_call_start(store, exchange_method(x), path->str,
			     len ? body : NULL, CALL_TIMEOUT_MS, on_answer, x))
		exchange_reply_json(x, 503, json_object(), 0);
out:
	g_string_free(path, TRUE);
}

int main(int argc, char **argv)
{
	struct sockaddr_in listen_at, store_at;
	struct loop *l;

	if (argc != 4 || !address_parse(argv[1], &listen_at) ||
	    !address_parse(argv[2], &store_at)) {
		fprintf(stderr, "usage: storelimits LISTEN STORE ROW-BYTES\n");
		return 2;
	}
	row_max_bytes = strtoul(argv[3], NULL, 10);
	signal(SIGPIPE, SIG_IGN);
	log_open("storelimits", "storelimits", LOG_INFO);
	l = loop_create();
	store = http_pool_create(http_client_create(l), &store_at,
				 CONNECTIONS_MAX);
	if (!http_server_create(l, &listen_at, BODY_MAX_BYTES, on_request,
				NULL)) {
		fprintf(stderr, "storelimits: the address is in use\n");
		return 1;
	}
	loop_run(l);
	return 0;
}
