/* The settings of a process, read from a JSON file. */
#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <netinet/in.h>
#include <stdint.h>

#include "lib/log.h"
#include "lib/schema.h"

struct settings {
	char name[64];
	char domain[64];
	struct sockaddr_in http;
	struct sockaddr_in peer;
	struct sockaddr_in *platform;
	uint32_t platform_len;
	struct sockaddr_in *seeds;
	uint32_t seeds_len;
	enum log_level log_level;
	uint32_t max_body_bytes;
	uint32_t max_checks;	       /* maximum quick checks in flight */
	uint32_t upstream_connections; /* maximum to each, for quick checks */
	uint32_t drain_ms;	       /* accept for this long after SIGTERM */
	uint32_t stop_ms;	       /* timeout of open requests after it */
	uint32_t scan_ms;	       /* interval of table scans */
	uint32_t events;	       /* capacity of the time line */
	uint64_t incarnation;
};

extern const struct field settings_fields[];

struct settings *settings_load(const char *file, struct problems *p);
void settings_destroy(struct settings *s);

#endif
