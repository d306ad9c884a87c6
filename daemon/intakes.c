/*
 * Each group of listeners has a fixed share of the memory and the descriptors
 * of the process, so that a crowd at one does not close connections at another.
 */
#include <glib.h>
#include <sys/resource.h>

#include "daemon/intakes.h"
#include "lib/log.h"
#include "lib/loop.h"

/* Assumed where the settings do not state the memory: the smallest machine. */
#define MEMORY_DEFAULT_MB 120
#define BYTES_PER_MB (UINT64_C(1) << 20)
/*
 * A share of the memory is at least this: two requests with the largest body
 * and their copies, or two frames of the largest size.
 */
#define CALLERS_MIN_BYTES (4 * BYTES_PER_MB)
#define PEERS_MIN_BYTES (8 * BYTES_PER_MB)
#define PROBES_MIN_BYTES (1 * BYTES_PER_MB)
#define CONNECTIONS_MIN 4
/* The part of each share that is left to small requests. */
#define RESERVE_DIVISOR 4
/*
 * A caller sends a request and reads the answer within its deadline of 3 s. A
 * peer sends the largest frame in 4 s at 8 Mbit/s.
 */
#define REQUEST_MAX_MS 10000
#define REPLY_MAX_MS 30000
#define LOG_INTERVAL_MS 1000

/* Parts of the limits of the process, in 64ths. */
#define SHARE_UNITS 64

struct share {
	const char *name;
	uint32_t memory;
	uint32_t descriptors;
	uint64_t min_bytes;
};

/*
 * The rest of the memory is for jobs and replicas. Half of the descriptors are
 * for connections to upstreams, of which a leader has about four each, peers and
 * the store.
 */
static const struct share shares[INTAKE_GROUP_COUNT] = {
	[INTAKE_CALLERS] = {"callers", 16, 24, CALLERS_MIN_BYTES},
	[INTAKE_PEERS] = {"peers", 8, 6, PEERS_MIN_BYTES},
	[INTAKE_PROBES] = {"probes", 2, 2, PROBES_MIN_BYTES},
};

struct intakes {
	struct intake *list[INTAKE_GROUP_COUNT];
	uint64_t logged[INTAKE_GROUP_COUNT][INTAKE_REASON_COUNT];
	uint64_t logged_ms;
};

/*
 * Return the limits of a group. process_descriptors is the system's limit,
 * which applies too.
 */
struct intake_limits intakes_limits(const struct joint_settings *s,
				    uint64_t process_descriptors,
				    enum intake_group g)
{
	uint64_t memory = (s->memory_mb ? s->memory_mb : MEMORY_DEFAULT_MB) *
			  BYTES_PER_MB;
	uint64_t descriptors =
		s->descriptors ? MIN(s->descriptors, process_descriptors)
			       : process_descriptors;
	uint64_t connections = MIN(descriptors, INT32_MAX) *
			       shares[g].descriptors / SHARE_UNITS;
	uint64_t bytes = MAX(memory / SHARE_UNITS * shares[g].memory,
			     shares[g].min_bytes);

	return (struct intake_limits){
		.bytes = bytes,
		.reserve_bytes = bytes / RESERVE_DIVISOR,
		.connections = MAX(connections, CONNECTIONS_MIN),
		.request_ms = REQUEST_MAX_MS,
		.reply_ms = REPLY_MAX_MS,
	};
}

static uint64_t process_descriptors(void)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) || r.rlim_cur == RLIM_INFINITY)
		return INT32_MAX;
	return r.rlim_cur;
}

struct intakes *intakes_create(const struct joint_settings *s)
{
	struct intakes *n = g_new0(struct intakes, 1);

	for (int g = 0; g < INTAKE_GROUP_COUNT; g++) {
		struct intake_limits l =
			intakes_limits(s, process_descriptors(), g);

		n->list[g] = intake_create(&l);
	}
	return n;
}

void intakes_destroy(struct intakes *n)
{
	if (!n)
		return;
	for (int g = 0; g < INTAKE_GROUP_COUNT; g++)
		intake_destroy(n->list[g]);
	g_free(n);
}

/* Apply limits that a reload has changed. */
void intakes_update_settings(struct intakes *n, const struct joint_settings *s)
{
	for (int g = 0; g < INTAKE_GROUP_COUNT; g++) {
		struct intake_limits l =
			intakes_limits(s, process_descriptors(), g);

		intake_set_limits(n->list[g], &l);
	}
}

struct intake *intakes_get(struct intakes *n, enum intake_group g)
{
	return n->list[g];
}

/* Log what was closed or refused since the last line, once a second at most. */
void intakes_log_closed(struct intakes *n)
{
	uint64_t now = clock_mono_ms();

	if (now < n->logged_ms + LOG_INTERVAL_MS)
		return;
	n->logged_ms = now;
	for (int g = 0; g < INTAKE_GROUP_COUNT; g++) {
		for (int why = 0; why < INTAKE_REASON_COUNT; why++) {
			uint64_t count = intake_counted(n->list[g], why);
			uint64_t fresh = count - n->logged[g][why];

			n->logged[g][why] = count;
			if (!fresh)
				continue;
			log_fields(LOG_WARN, "connections_closed",
				   "{s:s,s:s,s:I,s:I,s:i}", "listener",
				   shares[g].name, "why",
				   intake_reason_name(why), "count",
				   (json_int_t)fresh, "bytes",
				   (json_int_t)intake_bytes(n->list[g]),
				   "connections",
				   (int)intake_connections(n->list[g]));
		}
	}
}

/* Return the metrics of all intakes; free with g_free. */
char *intakes_metrics_text(const struct intakes *n)
{
	GString *s = g_string_new(NULL);

	for (int g = 0; g < INTAKE_GROUP_COUNT; g++) {
		g_string_append_printf(
			s,
			"lacewing_intake_bytes{listener=\"%s\"} %llu\n"
			"lacewing_intake_connections{listener=\"%s\"} %u\n",
			shares[g].name,
			(unsigned long long)intake_bytes(n->list[g]),
			shares[g].name, intake_connections(n->list[g]));
		for (int why = 0; why < INTAKE_REASON_COUNT; why++)
			g_string_append_printf(
				s,
				"lacewing_connections_closed{listener=\"%s\","
				"why=\"%s\"} %llu\n",
				shares[g].name, intake_reason_name(why),
				(unsigned long long)intake_counted(n->list[g],
								   why));
	}
	return g_string_free(s, FALSE);
}
