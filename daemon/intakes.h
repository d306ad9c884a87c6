/* The intakes of an instance's listeners, and their shares of its limits. */
#ifndef DAEMON_INTAKES_H
#define DAEMON_INTAKES_H

#include "lib/intake.h"
#include "platform/settings.h"

enum intake_group {
	INTAKE_CALLERS,
	INTAKE_PEERS,
	INTAKE_PROBES, /* readiness and metrics */
	INTAKE_GROUP_COUNT,
};

struct intakes;

struct intakes *intakes_create(const struct joint_settings *s);
void intakes_destroy(struct intakes *n);
void intakes_update_settings(struct intakes *n, const struct joint_settings *s);
struct intake *intakes_get(struct intakes *n, enum intake_group g);
void intakes_log_closed(struct intakes *n);
char *intakes_metrics_text(const struct intakes *n);

struct intake_limits intakes_limits(const struct joint_settings *s,
				    uint64_t process_descriptors,
				    enum intake_group g);

#endif
