/* The bus: a queue of messages, delivered between event loop iterations. */
#include <glib.h>

#include "config/config.h"
#include "daemon/message.h"

struct bus {
	GArray *queue;
	receive_fn receive[TASK_COUNT];
	void *tasks[TASK_COUNT];
};

/* Create a bus without tasks. */
struct bus *bus_create(void)
{
	struct bus *b = g_new0(struct bus, 1);

	b->queue = g_array_new(FALSE, FALSE, sizeof(struct message));
	return b;
}

/* Free what the message still owns after its receiver took its part. */
static void message_clear(struct message *m)
{
	switch (m->tag) {
	case MSG_CHECK:
		json_decref(m->check.request);
		break;
	case MSG_CHECK_DONE:
		g_free(m->check_result.upstream);
		json_decref(m->check_result.answer);
		break;
	case MSG_TXN:
	case MSG_READ:
	case MSG_UPSTREAM_LEAVING:
	case MSG_JOB_ROW:
	case MSG_JOB_UPDATE:
	case MSG_JOB_SAVED:
		json_decref(m->json);
		break;
	case MSG_TXN_DONE:
	case MSG_READ_DONE:
		json_decref(m->txn.conflict);
		break;
	case MSG_ROWS:
	case MSG_ROWS_FORWARD:
		json_decref(m->rows.list);
		break;
	case MSG_MEMBERS:
		json_decref(m->members.list);
		break;
	case MSG_CONFIG:
		config_unref(m->config);
		break;
	case MSG_PEERS:
		g_free(m->peers);
		break;
	case MSG_ROLE:
		json_decref(m->role.leaving);
		break;
	case MSG_REQUEST:
		g_free(m->request.name);
		json_decref(m->request.body);
		break;
	case MSG_RESPONSE:
		json_decref(m->response.body);
		break;
	case MSG_ROWS_REQUEST:
	case MSG_CAUGHT_UP:
	case MSG_TABLE_STATE:
	case MSG_REFRESH:
	case MSG_DRAIN:
		break;
	}
}

/* Free b and the messages that were not delivered. */
void bus_destroy(struct bus *b)
{
	if (!b)
		return;
	for (guint i = 0; i < b->queue->len; i++)
		message_clear(&g_array_index(b->queue, struct message, i));
	g_array_free(b->queue, TRUE);
	g_free(b);
}

/* Register fn(task, message) as the receiver of messages to id. */
void bus_attach(struct bus *b, enum task_id id, receive_fn fn, void *task)
{
	b->receive[id] = fn;
	b->tasks[id] = task;
}

/* Queue a copy of m; the bus takes ownership of what it points to. */
void bus_post(struct bus *b, const struct message *m)
{
	g_array_append_val(b->queue, *m);
}

/*
 * Deliver all queued messages, including those posted during delivery.  A
 * receiver takes ownership of what it sets to NULL in the message.
 */
void bus_deliver(struct bus *b)
{
	for (guint i = 0; i < b->queue->len; i++) {
		struct message m = g_array_index(b->queue, struct message, i);

		if (b->receive[m.to])
			b->receive[m.to](b->tasks[m.to], &m);
		message_clear(&m);
	}
	g_array_set_size(b->queue, 0);
}

/* Request that the platform task apply ops atomically; takes ops. */
void post_txn(struct bus *b, enum task_id from, uint64_t ticket, json_t *ops)
{
	struct message m = {.tag = MSG_TXN,
			    .from = from,
			    .to = TASK_PLATFORM,
			    .ticket = ticket};

	m.json = ops;
	bus_post(b, &m);
}

/* Request that the platform task read the row called key. */
void post_read(struct bus *b, enum task_id from, uint64_t ticket,
	       const char *key)
{
	struct message m = {.tag = MSG_READ,
			    .from = from,
			    .to = TASK_PLATFORM,
			    .ticket = ticket};

	m.json = json_string(key);
	bus_post(b, &m);
}

static void post_response_status(struct bus *b, const struct message *request,
				 int status, struct verdict v, json_t *body)
{
	struct message m = {.tag = MSG_RESPONSE,
			    .from = request->to,
			    .to = request->from,
			    .ticket = request->ticket};

	m.response.verdict = v;
	m.response.status = status;
	m.response.body = body;
	bus_post(b, &m);
}

/* Respond to a request with a verdict and a body, which is taken. */
void post_response(struct bus *b, const struct message *request,
		   struct verdict v, json_t *body)
{
	post_response_status(b, request, 0, v, body);
}

/* Respond with HTTP status 202: the job is recorded, and not finished. */
void post_accepted_response(struct bus *b, const struct message *request,
			    json_t *body)
{
	post_response_status(b, request, 202, verdict_ran(), body);
}

/* Post a message that contains one JSON value, which is taken. */
void post_json(struct bus *b, enum message_tag tag, enum task_id from,
	       enum task_id to, json_t *v)
{
	struct message m = {.tag = tag, .from = from, .to = to};

	m.json = v;
	bus_post(b, &m);
}
