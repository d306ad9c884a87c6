/*
 * The peer task. An instance keeps a link to every instance of its own domain,
 * but opens only a few into each other domain, so that its cost does not grow
 * with the fleet. A link without traffic is closed and reconnected.
 */
#include <string.h>
#include <xxhash.h>

#include "daemon/link.h"

#define PROTOCOL_VERSION 1
#define HEARTBEAT_INTERVAL_MS 400
/* A link or peer that sends nothing for this long is lost. */
#define SILENCE_TIMEOUT_MS 1600
/* The state of a peer is dropped this long after its last heartbeat. */
#define PEER_STATE_EXPIRY_MS 60000
#define LINKS_PER_OTHER_DOMAIN_COUNT 2
#define GOSSIP_ADDRESSES_MAX 64
#define GOSSIP_INTERVAL_HEARTBEATS 10

static const struct frame_events link_events;

static void post_peer_states(struct peers *p)
{
	static const enum task_id listeners[] = {TASK_CALLER, TASK_CHECK,
						 TASK_COORDINATOR};
	uint32_t n = g_hash_table_size(p->states);

	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		struct message m = {.tag = MSG_PEERS,
				    .from = TASK_PEER,
				    .to = listeners[i]};
		GHashTableIter it;
		gpointer v;

		m.peers = g_malloc0(sizeof(*m.peers) +
				    n * sizeof(struct peer_state));
		g_hash_table_iter_init(&it, p->states);
		while (g_hash_table_iter_next(&it, NULL, &v))
			m.peers->peers[m.peers->len++] =
				*(struct peer_state *)v;
		bus_post(p->env->bus, &m);
	}
}

static void add_endpoint(struct peers *p, const char *address,
			 const char *domain)
{
	struct endpoint *t = g_hash_table_lookup(p->endpoints, address);
	struct sockaddr_in a;

	if (!strcmp(address, p->own_address) || !address_parse(address, &a))
		return;
	if (!t) {
		t = g_new0(struct endpoint, 1);
		g_strlcpy(t->address, address, sizeof(t->address));
		g_hash_table_insert(p->endpoints, t->address, t);
	}
	if (*domain)
		g_strlcpy(t->domain, domain, sizeof(t->domain));
}

/* Sending */

static void send_hello(struct link *l)
{
	const struct settings *s = l->peers->env->settings;
	char http[ADDRESS_TEXT_BYTES];
	Lacewing__Hello h = LACEWING__HELLO__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;

	address_format(&s->http, http, sizeof(http));
	h.protocol = PROTOCOL_VERSION;
	h.name = (char *)s->name;
	h.domain = (char *)s->domain;
	h.incarnation = s->incarnation;
	h.peer_address = l->peers->own_address;
	h.http_address = http;
	e.body_case = LACEWING__ENVELOPE__BODY_HELLO;
	e.hello = &h;
	frame_send(l->conn, &e);
}

/*
 * Return at most GOSSIP_ADDRESSES_MAX known addresses as "domain|address"; the
 * caller frees them with g_strfreev().
 */
static char **list_known_peers(const struct peers *p)
{
	GPtrArray *a = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->endpoints);
	while (g_hash_table_iter_next(&it, NULL, &v) &&
	       a->len < GOSSIP_ADDRESSES_MAX) {
		const struct endpoint *t = v;

		if (*t->domain)
			g_ptr_array_add(a, g_strdup_printf("%s|%s", t->domain,
							   t->address));
	}
	g_ptr_array_add(a, NULL);
	return (char **)g_ptr_array_free(a, FALSE);
}

static void send_heartbeat(struct link *l, char **known)
{
	struct peers *p = l->peers;
	size_t n = json_array_size(p->role.leaving);
	char **names = g_new0(char *, n + 1);
	Lacewing__Heartbeat h = LACEWING__HEARTBEAT__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;

	for (size_t i = 0; i < n; i++)
		names[i] = (char *)json_string_value(
			json_array_get(p->role.leaving, i));
	h.clock = event_clock_advance(p->env->events);
	h.epoch = p->role.epoch;
	h.deciding = p->role.is_leader;
	h.claiming = p->role.is_candidate;
	h.leaving = p->leaving;
	h.ready = p->config != NULL;
	h.config_version = p->config ? p->config->version : 0;
	h.n_leaving_upstreams = n;
	h.leaving_upstreams = names;
	h.n_known_peers = g_strv_length(known);
	h.known_peers = known;
	e.body_case = LACEWING__ENVELOPE__BODY_HEARTBEAT;
	e.heartbeat = &h;
	frame_send(l->conn, &e);
	g_free(names);
}

static void heartbeat_all(struct peers *p)
{
	char **known = p->heartbeat_count++ % GOSSIP_INTERVAL_HEARTBEATS
			       ? g_new0(char *, 1)
			       : list_known_peers(p);

	for (guint i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (l->hello_received)
			send_heartbeat(l, known);
	}
	g_strfreev(known);
}

/* Send rows to a peer; a value is JSON text in a protobuf message. */
static void send_rows(struct link *l, const struct rows *r)
{
	size_t n = json_array_size(r->list);
	Lacewing__Row *rows = g_new0(Lacewing__Row, n + 1);
	Lacewing__Row **refs = g_new0(Lacewing__Row *, n + 1);
	Lacewing__Rows out = LACEWING__ROWS__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	json_t *row;
	size_t i;

	json_array_foreach(r->list, i, row)
	{
		lacewing__row__init(&rows[i]);
		rows[i].key = (char *)json_str_or(row, "key", "");
		rows[i].version = json_int_or(row, "version", 0);
		rows[i].value = json_dumps(json_object_get(row, "value"),
					   JSON_COMPACT | JSON_ENCODE_ANY);
		refs[i] = &rows[i];
	}
	out.n_rows = n;
	out.rows = refs;
	out.complete = r->complete;
	e.body_case = LACEWING__ENVELOPE__BODY_ROWS;
	e.rows = &out;
	frame_send(l->conn, &e);
	for (i = 0; i < n; i++)
		free(rows[i].value);
	g_free(rows);
	g_free(refs);
}

static void broadcast_rows(struct peers *p, const struct rows *r)
{
	for (guint i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (l->hello_received)
			send_rows(l, r);
	}
}

/* Links */

static void free_link(struct peers *p, struct link *l)
{
	forward_drop_link(p, l);
	g_ptr_array_remove_fast(p->links, l);
	g_free(l);
}

static struct link *find_link(struct peers *p, struct frame_conn *c)
{
	for (guint i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (l->conn == c)
			return l;
	}
	return NULL;
}

static struct link *add_link(struct peers *p, struct frame_conn *c,
			     const char *address)
{
	struct link *l = g_new0(struct link, 1);

	l->peers = p;
	l->conn = c;
	l->opened_ms = clock_mono_ms();
	l->heard_ms = l->opened_ms;
	l->outgoing = *address != '\0';
	g_strlcpy(l->address, address, sizeof(l->address));
	g_ptr_array_add(p->links, l);
	return l;
}

static void on_opened(void *arg, struct frame_conn *c)
{
	struct peers *p = arg;
	struct link *l = find_link(p, c);

	if (!l)
		l = add_link(p, c, "");
	send_hello(l);
}

static void on_closed(void *arg, struct frame_conn *c, const char *why)
{
	struct peers *p = arg;
	struct link *l = find_link(p, c);

	if (!l)
		return;
	if (l->hello_received || !l->outgoing)
		log_line(LOG_INFO, "peer_closed", "%s (%s): %s",
			 *l->name ? l->name : "unknown",
			 *l->address ? l->address : "incoming", why);
	counter_add(p->env->counters, "peer_links_closed", NULL, 1);
	free_link(p, l);
}

static bool is_silent(const struct link *l, uint64_t now)
{
	return now - l->heard_ms > SILENCE_TIMEOUT_MS;
}

static void drop_link(struct peers *p, struct link *l, const char *why)
{
	struct frame_conn *c = l->conn;

	on_closed(p, c, why);
	frame_close(c);
}

static void receive_hello(struct link *l, const Lacewing__Hello *h)
{
	struct peers *p = l->peers;
	struct peer_state *st;

	if (h->protocol != PROTOCOL_VERSION) {
		log_line(LOG_WARN, "peer_protocol",
			 "%s uses protocol version %u, expected %d", h->name,
			 h->protocol, PROTOCOL_VERSION);
		counter_add(p->env->counters, "peer_refused", NULL, 1);
		drop_link(p, l, "unsupported protocol version");
		return;
	}
	g_strlcpy(l->name, h->name, sizeof(l->name));
	g_strlcpy(l->address, h->peer_address, sizeof(l->address));
	l->hello_received = true;
	add_endpoint(p, h->peer_address, h->domain);
	st = g_hash_table_lookup(p->states, h->name);
	if (!st) {
		st = g_new0(struct peer_state, 1);
		g_strlcpy(st->name, h->name, sizeof(st->name));
		g_hash_table_insert(p->states, st->name, st);
	}
	if (h->incarnation < st->incarnation)
		return;
	st->heard_ms = clock_mono_ms();
	st->incarnation = h->incarnation;
	g_strlcpy(st->domain, h->domain, sizeof(st->domain));
	g_strlcpy(st->http_address, h->http_address, sizeof(st->http_address));
}

static void request_rows(struct link *l)
{
	struct peers *p = l->peers;
	Lacewing__RowsWanted w = LACEWING__ROWS_WANTED__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;

	w.after = p->config ? p->config->complete : 0;
	e.body_case = LACEWING__ENVELOPE__BODY_ROWS_WANTED;
	e.rows_wanted = &w;
	frame_send(l->conn, &e);
}

static void add_gossiped_endpoints(struct peers *p,
				   const Lacewing__Heartbeat *h)
{
	for (size_t i = 0; i < h->n_known_peers; i++) {
		char **v = g_strsplit(h->known_peers[i], "|", 2);

		if (v[0] && v[1])
			add_endpoint(p, v[1], v[0]);
		g_strfreev(v);
	}
}

static void post_leaving_upstreams(struct peers *p,
				   const Lacewing__Heartbeat *h)
{
	for (size_t i = 0; i < h->n_leaving_upstreams; i++)
		post_json(p->env->bus, MSG_UPSTREAM_LEAVING, TASK_PEER,
			  TASK_CHECK,
			  json_pack("{s:s,s:s}", "name",
				    h->leaving_upstreams[i], "why", "leaving"));
}

static void receive_heartbeat(struct link *l, const Lacewing__Heartbeat *h)
{
	struct peers *p = l->peers;
	struct peer_state *st = g_hash_table_lookup(p->states, l->name);
	bool changed;

	if (!st)
		return;
	event_clock_observe(p->env->events, h->clock);
	changed = !st->reachable || st->is_leader != h->deciding ||
		  st->leaving != h->leaving || st->epoch != h->epoch;
	if (!st->reachable)
		event_add(p->env->events, "peer_reachable", st->name, NULL,
			  "in domain %s", st->domain);
	st->heard_ms = clock_mono_ms();
	st->reachable = true;
	st->epoch = h->epoch;
	st->is_leader = h->deciding;
	st->is_candidate = h->claiming;
	st->leaving = h->leaving;
	st->ready = h->ready;
	st->config_version = h->config_version;
	if (h->config_version > (p->config ? p->config->version : 0))
		request_rows(l);
	add_gossiped_endpoints(p, h);
	if (!strcmp(st->domain, p->env->settings->domain))
		post_leaving_upstreams(p, h);
	if (changed)
		post_peer_states(p);
}

static void receive_rows(struct link *l, const Lacewing__Rows *r)
{
	static const enum task_id listeners[] = {TASK_CONFIG, TASK_JOB};
	json_t *list = json_array();

	for (size_t i = 0; i < r->n_rows; i++) {
		const Lacewing__Row *row = r->rows[i];
		json_t *v = json_loads(row->value, JSON_DECODE_ANY, NULL);

		json_array_append_new(
			list, json_pack("{s:s,s:I,s:o}", "key", row->key,
					"version", (json_int_t)row->version,
					"value", v ? v : json_null()));
	}
	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		struct message m = {
			.tag = MSG_ROWS, .from = TASK_PEER, .to = listeners[i]};

		m.rows.list = json_incref(list);
		m.rows.complete = r->complete;
		bus_post(l->peers->env->bus, &m);
	}
	json_decref(list);
}

static void receive_rows_wanted(struct link *l, const Lacewing__RowsWanted *w)
{
	struct message m = {
		.tag = MSG_ROWS_REQUEST, .from = TASK_PEER, .to = TASK_CONFIG};

	/* send_requested_rows() finds the link by this hash of its name. */
	m.ticket = XXH64(l->name, strlen(l->name), 0);
	m.number = w->after;
	bus_post(l->peers->env->bus, &m);
}

static void send_requested_rows(struct peers *p, const struct message *m)
{
	for (guint i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (l->hello_received &&
		    XXH64(l->name, strlen(l->name), 0) == m->ticket) {
			send_rows(l, &m->rows);
			return;
		}
	}
}

/*
 * Handle a message.  A link that fell silent is closed even if the silence ends
 * before the timer fires, as after a pause of this process: the peer has given
 * up the link, and the checks that it forwarded over it.
 */
static void on_received(void *arg, struct frame_conn *c,
			const Lacewing__Envelope *e)
{
	struct peers *p = arg;
	struct link *l = find_link(p, c);
	uint64_t now = clock_mono_ms();

	if (!l)
		return;
	if (is_silent(l, now)) {
		drop_link(p, l, "no message within timeout");
		return;
	}
	l->heard_ms = now;
	if (!l->hello_received &&
	    e->body_case != LACEWING__ENVELOPE__BODY_HELLO) {
		drop_link(p, l, "message before hello");
		return;
	}
	switch (e->body_case) {
	case LACEWING__ENVELOPE__BODY_HELLO:
		receive_hello(l, e->hello);
		break;
	case LACEWING__ENVELOPE__BODY_HEARTBEAT:
		receive_heartbeat(l, e->heartbeat);
		break;
	case LACEWING__ENVELOPE__BODY_ROWS:
		receive_rows(l, e->rows);
		break;
	case LACEWING__ENVELOPE__BODY_ROWS_WANTED:
		receive_rows_wanted(l, e->rows_wanted);
		break;
	case LACEWING__ENVELOPE__BODY_CHECK:
		forward_receive_check(l, e->check);
		break;
	case LACEWING__ENVELOPE__BODY_CHECK_ANSWER:
		forward_receive_answer(l, e->check_answer);
		break;
	case LACEWING__ENVELOPE__BODY_STORE_CALL:
	case LACEWING__ENVELOPE__BODY_STORE_ANSWER:
	case LACEWING__ENVELOPE__BODY__NOT_SET:
	case _LACEWING__ENVELOPE__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

static const struct frame_events link_events = {on_opened, on_received,
						on_closed};

/* Membership */

static bool is_linked(const struct peers *p, const char *address)
{
	for (guint i = 0; i < p->links->len; i++) {
		const struct link *l = g_ptr_array_index(p->links, i);

		if (!strcmp(l->address, address))
			return true;
	}
	return false;
}

/* Return a hash that ranks the endpoints differently on each instance. */
static uint64_t link_rank(const struct peers *p, const struct endpoint *t)
{
	return XXH64(t->address, strlen(t->address),
		     XXH64(p->own_address, strlen(p->own_address), 0));
}

/*
 * Report whether this instance connects to t.  It connects to all endpoints of
 * its own or an unknown domain, and to the LINKS_PER_OTHER_DOMAIN_COUNT
 * endpoints of lowest rank in each other domain.
 */
static bool is_link_wanted(const struct peers *p, const struct endpoint *t)
{
	uint32_t before = 0;
	GHashTableIter it;
	gpointer v;

	if (!*t->domain || !strcmp(t->domain, p->env->settings->domain))
		return true;
	g_hash_table_iter_init(&it, p->endpoints);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct endpoint *o = v;

		if (o != t && !strcmp(o->domain, t->domain) &&
		    link_rank(p, o) < link_rank(p, t))
			before++;
	}
	return before < LINKS_PER_OTHER_DOMAIN_COUNT;
}

static void connect_wanted_endpoints(struct peers *p)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->endpoints);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct endpoint *t = v;
		struct frame_conn *c;
		struct sockaddr_in a;

		if (is_linked(p, t->address) || !is_link_wanted(p, t))
			continue;
		address_parse(t->address, &a);
		c = frame_connect(p->env->loop, &a, &link_events, p);
		if (c)
			add_link(p, c, t->address);
	}
}

static void close_silent_links(struct peers *p, uint64_t now)
{
	for (guint i = p->links->len; i-- > 0;) {
		struct link *l;

		if (i >= p->links->len)
			continue;
		l = g_ptr_array_index(p->links, i);
		if (is_silent(l, now))
			drop_link(p, l, "no message within timeout");
	}
}

/* Mark silent peers unreachable; drop states after PEER_STATE_EXPIRY_MS. */
static void expire_peer_states(struct peers *p, uint64_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->states);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct peer_state *st = v;

		if (st->reachable && now - st->heard_ms > SILENCE_TIMEOUT_MS) {
			st->reachable = false;
			event_add(p->env->events, "peer_silent", st->name, NULL,
				  "no heartbeat for %d ms", SILENCE_TIMEOUT_MS);
		}
		if (now - st->heard_ms > PEER_STATE_EXPIRY_MS)
			g_hash_table_iter_remove(&it);
	}
}

static void count_sent_bytes(struct peers *p)
{
	uint64_t total = 0;

	for (guint i = 0; i < p->links->len; i++) {
		const struct link *l = g_ptr_array_index(p->links, i);

		total += frame_bytes_sent(l->conn);
	}
	if (total > p->bytes_reported)
		counter_add(p->env->counters, "peer_bytes_sent", NULL,
			    total - p->bytes_reported);
	p->bytes_reported = total;
}

static void on_heartbeat_timer(void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_mono_ms();

	close_silent_links(p, now);
	expire_peer_states(p, now);
	connect_wanted_endpoints(p);
	heartbeat_all(p);
	count_sent_bytes(p);
	post_peer_states(p);
	timer_start(p->env->loop, &p->timer, HEARTBEAT_INTERVAL_MS);
}

static void add_members(struct peers *p, const json_t *list)
{
	json_t *v;
	size_t i;

	json_array_foreach(list, i,
			   v) if (!strcmp(json_str_or(v, "role", ""), "entry"))
		add_endpoint(p, json_str_or(v, "address", ""),
			     json_str_or(v, "domain", ""));
}

static void receive_message(void *task, struct message *m)
{
	struct peers *p = task;

	switch ((int)m->tag) {
	case MSG_CHECK:
		forward_send_check(p, m);
		break;
	case MSG_CHECK_DONE:
		forward_send_answer(p, m);
		break;
	case MSG_ROWS:
		send_requested_rows(p, m);
		break;
	case MSG_ROWS_FORWARD:
		broadcast_rows(p, &m->rows);
		break;
	case MSG_MEMBERS:
		add_members(p, m->members.list);
		break;
	case MSG_CONFIG:
		config_unref(p->config);
		p->config = m->config;
		m->config = NULL;
		heartbeat_all(p);
		break;
	case MSG_ROLE:
		json_decref(p->role.leaving);
		p->role = m->role;
		m->role.leaving = NULL;
		heartbeat_all(p);
		break;
	case MSG_DRAIN:
		p->leaving = true;
		heartbeat_all(p);
		break;
	}
}

/* Create the task; NULL if it cannot listen on its peer address. */
struct peers *peers_create(struct env *env)
{
	const struct settings *s = env->settings;
	struct peers *p = g_new0(struct peers, 1);
	char address[ADDRESS_TEXT_BYTES];

	p->env = env;
	p->links = g_ptr_array_new();
	p->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	p->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	p->forwarded_checks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, forward_free);
	p->received_checks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, forward_free);
	address_format(&s->peer, p->own_address, sizeof(p->own_address));
	for (uint32_t i = 0; i < s->seeds_len; i++) {
		address_format(&s->seeds[i], address, sizeof(address));
		add_endpoint(p, address, "");
	}
	timer_init(&p->timer, on_heartbeat_timer, p);
	bus_attach(env->bus, TASK_PEER, receive_message, p);
	p->listener = frame_listen(env->loop, &s->peer, &link_events, p);
	if (!p->listener) {
		peers_destroy(p);
		return NULL;
	}
	timer_start(env->loop, &p->timer, 0);
	return p;
}

/* Close all links and free p, which may be NULL. */
void peers_destroy(struct peers *p)
{
	if (!p)
		return;
	timer_stop(p->env->loop, &p->timer);
	bus_attach(p->env->bus, TASK_PEER, NULL, NULL);
	frame_listener_destroy(p->listener);
	while (p->links->len) {
		struct link *l = g_ptr_array_index(p->links, 0);
		struct frame_conn *c = l->conn;

		free_link(p, l);
		frame_close(c);
	}
	g_ptr_array_free(p->links, TRUE);
	g_hash_table_destroy(p->endpoints);
	g_hash_table_destroy(p->states);
	g_hash_table_destroy(p->forwarded_checks);
	g_hash_table_destroy(p->received_checks);
	json_decref(p->role.leaving);
	config_unref(p->config);
	g_free(p);
}
