/* HTTP client, whose results carry verdicts, and server, built on h2o. */
#ifndef LIB_HTTP_H
#define LIB_HTTP_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/address.h"
#include "lib/intake.h"
#include "lib/loop.h"
#include "lib/verdict.h"

/* Client */

struct http_client;
struct http_pool;
struct http_call;

struct http_result {
	struct verdict verdict; /* VERDICT_RAN after a complete answer */
	int status;
	const char *body; /* ends in NUL; valid during the callback */
	size_t len;
	bool opened; /* over a connection that no call had used before */
};

typedef void (*http_done_fn)(void *arg, const struct http_result *r);

struct http_client *http_client_create(struct loop *l);
void http_client_destroy(struct http_client *c);
uint64_t http_client_bytes_transferred(const struct http_client *c);

struct http_pool *http_pool_create(struct http_client *c,
				   const struct sockaddr_in *peer,
				   uint32_t max_connections);
void http_pool_destroy(struct http_pool *p);
uint32_t http_pool_in_flight(const struct http_pool *p);
void http_pool_retire_connections(struct http_pool *p);
bool http_pool_has_open_connection(const struct http_pool *p);

struct http_call *http_call_start(struct http_pool *p, const char *method,
				  const char *path, const char *body,
				  uint32_t timeout_ms, http_done_fn done,
				  void *arg);
struct http_call *
http_call_start_with_headers(struct http_pool *p, const char *method,
			     const char *path, const char *headers,
			     const char *body, uint32_t timeout_ms,
			     http_done_fn done, void *arg);
struct http_call *
http_call_start_on_open_connection(struct http_pool *p, const char *method,
				   const char *path, const char *headers,
				   const char *body, uint32_t timeout_ms,
				   http_done_fn done, void *arg);
void http_call_cancel(struct http_call *call);

/* Server */

struct http_server;
struct http_exchange;

typedef void (*http_handler_fn)(void *arg, struct http_exchange *x);

struct http_server *http_server_create(struct loop *l,
				       const struct sockaddr_in *at,
				       size_t max_body, http_handler_fn fn,
				       void *arg);
void http_server_set_intake(struct http_server *s, struct intake *in);
void http_server_destroy(struct http_server *s);
void http_server_stop_accepting(struct http_server *s);
void http_server_close_after_reply(struct http_server *s);
uint32_t http_server_count_open_requests(const struct http_server *s);

const char *exchange_method(const struct http_exchange *x);
const char *exchange_path(const struct http_exchange *x);
const char *exchange_body(const struct http_exchange *x, size_t *len);
char *exchange_query(const struct http_exchange *x, const char *name);
char *exchange_header(const struct http_exchange *x, const char *name);
char *exchange_host(const struct http_exchange *x);
void exchange_reply(struct http_exchange *x, int status, const char *type,
		    const char *body, uint32_t retry_after_ms);
void exchange_reply_json(struct http_exchange *x, int status, json_t *v,
			 uint32_t retry_after_ms);
void exchange_abort(struct http_exchange *x);

#endif
