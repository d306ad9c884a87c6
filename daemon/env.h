/* The resources that all tasks of an instance share. */
#ifndef DAEMON_ENV_H
#define DAEMON_ENV_H

#include "config/config.h"
#include "daemon/message.h"
#include "daemon/settings.h"
#include "lib/counter.h"
#include "lib/event.h"
#include "lib/http.h"
#include "lib/loop.h"

struct env {
	const struct settings *settings;
	struct loop *loop;
	struct http_client *http;
	struct bus *bus;
	struct counters *counters;
	struct event_ring *events;
};

#endif
