/*
 * Process tests of clients outside the limits: a crowd of connections to one
 * instance, which states a small limit on its memory and its descriptors. Each
 * test checks that the process lives, that it has stayed within these limits,
 * and that a submission is answered while the crowd is still connected. No
 * test checks a time or how many of the crowd's requests are served.
 */
#define _GNU_SOURCE /* prlimit */
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "test/jointsite.h"

/* Limits that the settings of the instance state. */
#define MEMORY_MB 64
#define DESCRIPTORS 512
#define DESCRIPTORS_FEW 192
/* The smallest machine of the pages, for settings that state no memory. */
#define MEMORY_SMALLEST_MB 120
#define DESCRIPTORS_MANY 4096
#define KB_PER_MB 1024

/* Largest body that the configuration allows (limits.maxBodyBytes). */
#define BODY_MAX_BYTES 262144
/* A spec that fits into a row of the store. */
#define SPEC_BYTES 30000
/* A spec that does not. */
#define SPEC_LARGE_BYTES 200000
/* Largest frame of a peer. */
#define FRAME_BYTES (4u << 20)

/* Sizes of the crowds. */
#define BODIES_COUNT 320
#define WHOLE_BODIES_COUNT 440
/* Bodies of more than MEMORY_SMALLEST_MB together. */
#define MANY_BODIES_COUNT 900
#define HEADERS_COUNT 300
#define NON_READERS_COUNT 120
#define FRAMES_COUNT 48

#define PIECE_BYTES 1500
#define HEADER_BYTES 6000
#define PIPELINED_BYTES (1u << 20)
/* A crowd's connections are pumped until none has made progress for so long. */
#define STILL_MS 400
#define PUMP_MAX_MS 12000
/* A client that reads nothing offers this receive buffer. */
#define NON_READER_RCVBUF_BYTES 4096

#define PORT_CALLERS 7000
#define PORT_READINESS 7001
#define PORT_METRICS 7002
#define PORT_PEERS 7003

/* Connections that send the same bytes, and read nothing. */
struct crowd {
	int *fds; /* -1 once closed by the instance */
	size_t *sent;
	uint32_t count;
	char *bytes;
	size_t len;
	size_t piece; /* maximum bytes of one send */
};

static struct sockaddr_in address_of(const struct joint_site *s, uint32_t port)
{
	char *text = g_strdup_printf("127.%u.9.10:%u", s->net, port);
	struct sockaddr_in at;

	assert_true(address_parse(text, &at));
	g_free(text);
	return at;
}

static int connect_client(const struct sockaddr_in *at)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int size = NON_READER_RCVBUF_BYTES;

	assert_true(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(fd, (const struct sockaddr *)at, sizeof(*at)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends the next piece of connection i. Returns true if it made progress. */
static bool pump_connection(struct crowd *c, uint32_t i)
{
	ssize_t n;

	if (c->fds[i] < 0 || c->sent[i] == c->len)
		return false;
	n = send(c->fds[i], c->bytes + c->sent[i],
		 MIN(c->piece, c->len - c->sent[i]), MSG_NOSIGNAL);
	if (n > 0) {
		c->sent[i] += n;
		return true;
	}
	if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
		return false;
	close(c->fds[i]);
	c->fds[i] = -1;
	return false;
}

/* Sends until all is sent or nothing can be sent for STILL_MS. */
static void pump_crowd(struct joint_site *s, struct crowd *c)
{
	uint64_t began_ms = clock_mono_ms(), last_ms = began_ms, now = began_ms;

	while (now < last_ms + STILL_MS && now < began_ms + PUMP_MAX_MS) {
		bool progress = false;

		for (uint32_t i = 0; i < c->count; i++)
			progress |= pump_connection(c, i);
		loop_step(s->loop, progress ? 0 : 5);
		now = clock_mono_ms();
		if (progress)
			last_ms = now;
	}
}

/* Connects a crowd; each connection sends len bytes of `bytes`, which it owns.
 */
static struct crowd *crowd_create(struct joint_site *s, uint32_t port,
				  uint32_t count, char *bytes, size_t len,
				  size_t piece)
{
	struct crowd *c = g_new0(struct crowd, 1);
	struct sockaddr_in at = address_of(s, port);

	c->fds = g_new(int, count);
	c->sent = g_new0(size_t, count);
	c->count = count;
	c->bytes = bytes;
	c->len = len;
	c->piece = piece;
	for (uint32_t i = 0; i < count; i++)
		c->fds[i] = connect_client(&at);
	pump_crowd(s, c);
	return c;
}

static void crowd_destroy(struct crowd *c)
{
	for (uint32_t i = 0; i < c->count; i++)
		if (c->fds[i] >= 0)
			close(c->fds[i]);
	g_free(c->fds);
	g_free(c->sent);
	g_free(c->bytes);
	g_free(c);
}

/* Returns a submission with this body, without its last `less` bytes. */
static char *request_text(uint32_t net, const char *body, size_t less,
			  size_t *len)
{
	char *text = g_strdup_printf(
		"POST /u/00000000000000aa HTTP/1.1\r\nHost: 127.%u.9.10\r\n"
		"Authorization: Bearer key\r\n"
		"Lacewingspur-Deadline-Ms: 3000\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		net, strlen(body), body);

	*len = strlen(text) - less;
	return text;
}

/*
 * Returns a submission of exactly BODY_MAX_BYTES, whose spec has spec_bytes.
 * The rest is white space.
 */
static char *body_text(uint32_t spec_bytes)
{
	char *spec = g_strnfill(spec_bytes, '1');
	char *job = g_strdup_printf(
		"{\"spec\": \"%s\", \"steps\": [{\"count\": 1, \"cpu\": 1000, "
		"\"memMb\": 100, \"gpu\": 1, \"estimateMs\": 100}]}",
		spec);
	char *rest = g_strnfill(BODY_MAX_BYTES - strlen(job), ' ');
	char *text = g_strconcat(job, rest, NULL);

	g_free(rest);
	g_free(job);
	g_free(spec);
	return text;
}

/* Starts a site whose settings state this memory, 0: none, and descriptors. */
static struct joint_site *start_with(uint32_t net, uint32_t memory_mb,
				     uint32_t descriptors)
{
	struct joint_shape shape = {.instances = INSTANCE_COUNT,
				    .upstreams = UPSTREAM_COUNT,
				    .domains = 1,
				    .lease_ms = LEASE_MS,
				    .real_clocks = true,
				    .memory_mb = memory_mb,
				    .descriptors = descriptors};
	struct joint_site *s = joint_start_shape(net, &shape);
	struct rlimit r = {descriptors, descriptors};

	assert_int_equal(prlimit(s->instances[0], RLIMIT_NOFILE, &r, NULL), 0);
	joint_wait_leader(s);
	joint_wait_peers(s, 0);
	return s;
}

static struct joint_site *start_limited(uint32_t net, uint32_t descriptors)
{
	return start_with(net, MEMORY_MB, descriptors);
}

/* Returns the bound on the memory of an instance, in KB. */
static uint64_t memory_bound_kb(const struct joint_site *s)
{
	return (s->memory_mb ? s->memory_mb : MEMORY_SMALLEST_MB) * KB_PER_MB;
}

/* Returns the largest memory that instance 0 has had resident, in KB. */
static uint64_t resident_max_kb(const struct joint_site *s)
{
	char *file = g_strdup_printf("/proc/%d/status", s->instances[0]);
	char *text = NULL;
	const char *at;
	uint64_t kb = 0;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		at = strstr(text, "VmHWM:");
		kb = at ? g_ascii_strtoull(at + strlen("VmHWM:"), NULL, 10) : 0;
	}
	g_free(text);
	g_free(file);
	return kb;
}

static uint32_t count_descriptors(const struct joint_site *s)
{
	char *name = g_strdup_printf("/proc/%d/fd", s->instances[0]);
	GDir *d = g_dir_open(name, 0, NULL);
	uint32_t n = 0;

	while (d && g_dir_read_name(d))
		n++;
	if (d)
		g_dir_close(d);
	g_free(name);
	return n;
}

/* Checks that instance 0 lives, is within its limits, and serves a client. */
static void check_serves_within_limits(struct joint_site *s)
{
	uint64_t kb = resident_max_kb(s);
	uint32_t descriptors = count_descriptors(s);
	struct sockaddr_in at = address_of(s, PORT_CALLERS);
	struct http_pool *p = http_pool_create(s->http, &at, 1);
	char *path = joint_job_path(1);
	int status, end = 0;

	print_message("resident %llu KB of %llu, %u descriptors of %u\n",
		      (unsigned long long)kb,
		      (unsigned long long)memory_bound_kb(s), descriptors,
		      s->descriptors);
	assert_int_equal(waitpid(s->instances[0], &end, WNOHANG), 0);
	assert_in_range(kb, 1, memory_bound_kb(s));
	assert_in_range(descriptors, 1, s->descriptors);
	status = joint_request(
		s, p, "POST", path,
		"{\"spec\": \"100\", \"steps\": [{\"count\": 1, \"cpu\": "
		"1000, \"memMb\": 100, \"gpu\": 1, \"estimateMs\": 100}]}",
		NULL);
	http_pool_destroy(p);
	g_free(path);
	assert_int_equal(status, 200);
	assert_int_equal(waitpid(s->instances[0], &end, WNOHANG), 0);
	assert_in_range(resident_max_kb(s), 1, memory_bound_kb(s));
}

/* Has a crowd send these bytes, checks the instance, and stops the site. */
static void check_crowd(struct joint_site *s, uint32_t port, uint32_t count,
			char *bytes, size_t len, size_t piece)
{
	struct crowd *c = crowd_create(s, port, count, bytes, len, piece);

	check_serves_within_limits(s);
	crowd_destroy(c);
	joint_stop(s);
}

static void check_bodies(uint32_t net, size_t piece)
{
	char *body = body_text(SPEC_LARGE_BYTES);
	size_t len;
	char *text = request_text(net, body, 1, &len);

	g_free(body);
	check_crowd(start_limited(net, DESCRIPTORS), PORT_CALLERS, BODIES_COUNT,
		    text, len, piece);
}

/* Guards against bodies of legal size that fill the memory and never end. */
static void bodies_that_stop_one_byte_short_are_bounded(void **state)
{
	(void)state;
	check_bodies(140, BODY_MAX_BYTES);
}

/* As above; the bytes arrive in small pieces, so that buffers grow often. */
static void bodies_in_small_pieces_are_bounded(void **state)
{
	(void)state;
	check_bodies(141, PIECE_BYTES);
}

/*
 * Guards against a bound that a single client inside the limits meets: the
 * largest body, whole and in pieces, with and without a stated memory.
 */
static void largest_legal_body_is_served_in_calm(void **state)
{
	static const uint32_t memory_mb[] = {MEMORY_MB, 0};

	(void)state;
	for (uint32_t i = 0; i < G_N_ELEMENTS(memory_mb); i++) {
		struct joint_site *s =
			start_with(152 + i, memory_mb[i], DESCRIPTORS);
		char *body = body_text(SPEC_BYTES);
		size_t len;
		char *text = request_text(152 + i, body, 0, &len);
		struct crowd *c;

		assert_int_equal(joint_request(s, s->callers[0], "POST",
					       "/u/00000000000000ab", body,
					       NULL),
				 200);
		c = crowd_create(s, PORT_CALLERS, 1, text, len, PIECE_BYTES);
		joint_wait_count(s, "starts", 2, WAIT_TIMEOUT_MS);
		check_serves_within_limits(s);
		crowd_destroy(c);
		joint_stop(s);
		g_free(body);
	}
}

/* Guards against whole large bodies that arrive at once and are refused. */
static void whole_bodies_at_once_are_bounded(void **state)
{
	char *body = body_text(SPEC_LARGE_BYTES);
	size_t len;
	char *text = request_text(142, body, 0, &len);

	(void)state;
	g_free(body);
	check_crowd(start_limited(142, DESCRIPTORS), PORT_CALLERS,
		    WHOLE_BODIES_COUNT, text, len, BODY_MAX_BYTES);
}

/*
 * The store hangs, so that whole requests of legal size wait for it. Guards
 * against requests that fill the memory while they wait.
 */
static void whole_bodies_that_wait_for_the_store_are_bounded(void **state)
{
	struct joint_site *s = start_limited(143, DESCRIPTORS);
	char *body = body_text(SPEC_BYTES);
	struct crowd *c;
	size_t len;
	char *text = request_text(143, body, 0, &len);

	(void)state;
	g_free(body);
	joint_control_platform(s, "{\"store\": \"hang\"}");
	c = crowd_create(s, PORT_CALLERS, BODIES_COUNT, text, len,
			 BODY_MAX_BYTES);
	joint_control_platform(s, "{\"store\": \"ok\"}");
	joint_wait_ready(s, 0);
	check_serves_within_limits(s);
	crowd_destroy(c);
	joint_stop(s);
}

static char *endless_header(size_t *len)
{
	char *fill = g_strnfill(HEADER_BYTES, 'x');
	char *text = g_strconcat("GET /u/00000000000000aa HTTP/1.1\r\nHost: "
				 "127.0.0.1\r\nX-Fill: ",
				 fill, NULL);

	g_free(fill);
	*len = strlen(text);
	return text;
}

/* Guards against headers without an end that take all descriptors. */
static void headers_without_an_end_are_bounded(void **state)
{
	size_t len;
	char *text = endless_header(&len);

	(void)state;
	check_crowd(start_limited(144, DESCRIPTORS_FEW), PORT_CALLERS,
		    HEADERS_COUNT, text, len, len);
}

/* Returns many small requests for one path. */
static char *pipelined_requests(const char *path, size_t *len)
{
	GString *text = g_string_new(NULL);

	while (text->len < PIPELINED_BYTES)
		g_string_append_printf(text,
				       "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
				       "Authorization: Bearer key\r\n\r\n",
				       path);
	*len = text->len;
	return g_string_free(text, FALSE);
}

/* Guards against requests whose responses nobody reads. */
static void clients_that_read_no_response_are_bounded(void **state)
{
	size_t len;
	char *text = pipelined_requests("/none/x", &len);

	(void)state;
	check_crowd(start_limited(145, DESCRIPTORS), PORT_CALLERS,
		    NON_READERS_COUNT, text, len, len);
}

/* As headers_without_an_end_are_bounded, on the readiness listener. */
static void crowd_at_the_readiness_listener_is_bounded(void **state)
{
	size_t len;
	char *text = endless_header(&len);

	(void)state;
	check_crowd(start_limited(146, DESCRIPTORS_FEW), PORT_READINESS,
		    HEADERS_COUNT, text, len, len);
}

/* As clients_that_read_no_response_are_bounded, on the metrics listener. */
static void crowd_at_the_metrics_listener_is_bounded(void **state)
{
	size_t len;
	char *text = pipelined_requests("/metrics", &len);

	(void)state;
	check_crowd(start_limited(147, DESCRIPTORS), PORT_METRICS,
		    NON_READERS_COUNT, text, len, len);
}

/* The first frame of a connection, which names a known instance. */
static const char hello[] = {0,	   0,	 0,    8, 0x0a, 6,
			     0x08, 0x02, 0x12, 2, 'i',	'1'};

/* Returns a frame of FRAME_BYTES without its last byte, after a prefix. */
static char *unfinished_frame(const char *prefix, size_t prefix_len,
			      size_t *len)
{
	static const char length[] = {0, 0x40, 0, 0};
	char *bytes = g_malloc0(prefix_len + sizeof(length) + FRAME_BYTES);

	if (prefix_len)
		memcpy(bytes, prefix, prefix_len);
	memcpy(bytes + prefix_len, length, sizeof(length));
	*len = prefix_len + sizeof(length) + FRAME_BYTES - 1;
	return bytes;
}

/*
 * The settings state no memory; bodies come to the callers' port and frames in
 * the name of an instance to the peers' port. Guards against crowds that fill a small machine,
 * as the memory of a large one was assumed.
 */
static void crowds_without_a_stated_memory_are_bounded(void **state)
{
	struct rlimit r = {DESCRIPTORS_MANY, DESCRIPTORS_MANY};
	struct joint_site *s;
	char *body = body_text(SPEC_LARGE_BYTES), *frame;
	size_t len, frame_len;
	char *text = request_text(151, body, 1, &len);
	struct crowd *c;

	(void)state;
	g_free(body);
	setrlimit(RLIMIT_NOFILE, &r);
	s = start_with(151, 0, DESCRIPTORS_MANY);
	c = crowd_create(s, PORT_CALLERS, MANY_BODIES_COUNT, text, len,
			 BODY_MAX_BYTES);
	frame = unfinished_frame(hello, sizeof(hello), &frame_len);
	check_crowd(s, PORT_PEERS, FRAMES_COUNT, frame, frame_len, frame_len);
	crowd_destroy(c);
}

/* Guards against strangers whose frames fill the memory at the peers' port. */
static void frames_without_a_hello_are_bounded(void **state)
{
	size_t len;
	char *bytes = unfinished_frame(NULL, 0, &len);

	(void)state;
	check_crowd(start_limited(148, DESCRIPTORS), PORT_PEERS, FRAMES_COUNT,
		    bytes, len, len);
}

/* As above; each connection first names itself as a known instance. */
static void frames_after_a_hello_are_bounded(void **state)
{
	size_t len;
	char *bytes = unfinished_frame(hello, sizeof(hello), &len);

	(void)state;
	check_crowd(start_limited(149, DESCRIPTORS), PORT_PEERS, FRAMES_COUNT,
		    bytes, len, len);
}

/* Guards against connections to the peers' port that take all descriptors. */
static void idle_connections_of_strangers_are_bounded(void **state)
{
	char *bytes = g_malloc0(1);

	(void)state;
	check_crowd(start_limited(150, DESCRIPTORS_FEW), PORT_PEERS,
		    HEADERS_COUNT, bytes, 1, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bodies_that_stop_one_byte_short_are_bounded),
		cmocka_unit_test(bodies_in_small_pieces_are_bounded),
		cmocka_unit_test(largest_legal_body_is_served_in_calm),
		cmocka_unit_test(whole_bodies_at_once_are_bounded),
		cmocka_unit_test(
			whole_bodies_that_wait_for_the_store_are_bounded),
		cmocka_unit_test(headers_without_an_end_are_bounded),
		cmocka_unit_test(clients_that_read_no_response_are_bounded),
		cmocka_unit_test(crowd_at_the_readiness_listener_is_bounded),
		cmocka_unit_test(crowd_at_the_metrics_listener_is_bounded),
		cmocka_unit_test(crowds_without_a_stated_memory_are_bounded),
		cmocka_unit_test(frames_without_a_hello_are_bounded),
		cmocka_unit_test(frames_after_a_hello_are_bounded),
		cmocka_unit_test(idle_connections_of_strangers_are_bounded),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
