/* Synchronous requests to entry instances, and printing of the replies. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define LOOP_STEP_MS 50

struct pending_call {
	struct reply reply;
	bool done;
};

static void record_reply(void *arg, const struct http_result *r)
{
	struct pending_call *w = arg;

	w->done = true;
	w->reply.verdict = r->verdict;
	w->reply.status = r->status;
	if (verdict_is_ran(r->verdict))
		w->reply.body = json_loadb(r->body, r->len, 0, NULL);
}

/*
 * Send one request to server and wait for the reply.  The caller releases the
 * reply's body, which is NULL without a valid JSON answer.  The verdict is that
 * of the HTTP exchange; it is did-not-run when server is not an address.
 */
struct reply ctl_call(struct ctl *c, const char *server, const char *method,
		      const char *path, const json_t *body)
{
	struct pending_call w = {.reply.verdict =
					 verdict_did_not_run(REASON_CONNECT)};
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct http_pool *pool;
	struct sockaddr_in a;

	if (!address_parse(server, &a))
		goto out;
	pool = http_pool_create(c->http, &a, 1);
	http_call_start(pool, method, path, text, c->timeout_ms, record_reply,
			&w);
	while (!w.done)
		loop_step(c->loop, LOOP_STEP_MS);
	http_pool_destroy(pool);
out:
	free(text);
	return w.reply;
}

/* Return the exit code for a reply. */
int ctl_exit_code(const struct reply *r)
{
	enum verdict_tag t;

	if (r->verdict.tag == VERDICT_DID_NOT_RUN)
		return EXIT_UNREACHABLE;
	if (r->verdict.tag == VERDICT_MAY_HAVE_RUN)
		return EXIT_MAY_HAVE_RUN;
	if (r->status < 300)
		return EXIT_RAN;
	if (verdict_parse(json_str_or(r->body, "verdict", ""), &t) &&
	    t == VERDICT_MAY_HAVE_RUN)
		return EXIT_MAY_HAVE_RUN;
	return EXIT_DID_NOT_RUN;
}

static void print_problems(const json_t *list)
{
	json_t *v;
	size_t i;

	json_array_foreach((json_t *)list, i, v) if (json_is_string(v))
		fprintf(stderr, "  %s\n", json_string_value(v));
}

/* Print the reason why a request failed to standard error. */
void ctl_print_error(const struct ctl *c, const struct reply *r)
{
	if (!verdict_is_ran(r->verdict)) {
		fprintf(stderr, "lacewingctl: %s: %s: %s\n", c->server,
			verdict_name(r->verdict.tag),
			reason_text(r->verdict.reason));
		return;
	}
	fprintf(stderr, "lacewingctl: %s: %s: %s: %s\n", c->server,
		json_str_or(r->body, "verdict", "refused"),
		json_str_or(r->body, "reason", "unknown"),
		json_str_or(r->body, "text", ""));
	print_problems(json_object_get(r->body, "problems"));
	print_problems(json_object_get(json_object_get(r->body, "detail"),
				       "problems"));
}

/*
 * Send one request and print the reply: as JSON with --json, as a table of the
 * array named list (the whole body if NULL), or as a record when columns is
 * NULL.  Return the exit code.
 */
int ctl_call_and_print(struct ctl *c, const char *method, const char *path,
		       const json_t *body, const struct column *columns,
		       const char *list)
{
	struct reply r = ctl_call(c, c->server, method, path, body);
	int rc = ctl_exit_code(&r);

	if (c->json && r.body) {
		json_dumpf(r.body, stdout, JSON_INDENT(1));
		printf("\n");
	} else if (rc) {
		ctl_print_error(c, &r);
	} else if (columns) {
		table_print(list ? json_object_get(r.body, list) : r.body,
			    columns);
	} else {
		record_print(r.body);
	}
	json_decref(r.body);
	return rc;
}

/*
 * Return the instances known to the server, for the caller to release; NULL
 * after printing an error.
 */
json_t *ctl_get_instances(struct ctl *c)
{
	struct reply r = ctl_call(c, c->server, "GET", "/v1/instances", NULL);
	json_t *list = json_incref(json_object_get(r.body, "instances"));

	if (!list)
		ctl_print_error(c, &r);
	json_decref(r.body);
	return list;
}

/*
 * Return the HTTP address of the coordinator of domain, or of the server's own
 * domain when domain is NULL; free with g_free.  NULL if there is none.
 */
char *ctl_find_coordinator(struct ctl *c, const char *domain)
{
	json_t *list = ctl_get_instances(c);
	char *found = NULL;
	json_t *v;
	size_t i;

	json_array_foreach(list, i, v)
	{
		bool self = json_is_true(json_object_get(v, "self"));

		if (self && !domain)
			domain = json_str_or(v, "domain", "");
		if (json_is_true(json_object_get(v, "deciding")) && domain &&
		    !strcmp(json_str_or(v, "domain", ""), domain)) {
			g_free(found);
			found = g_strdup(json_str_or(v, "http", ""));
		}
	}
	json_decref(list);
	return found;
}
