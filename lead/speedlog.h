/* Logs and metrics of the learned speeds of upstreams. */
#ifndef LEAD_SPEEDLOG_H
#define LEAD_SPEEDLOG_H

#include "lead/model.h"
#include "lib/counter.h"

void speedlog_update(struct model *m, struct counters *c);

#endif
