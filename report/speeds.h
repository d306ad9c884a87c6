/* The speeds of upstreams that the leaders have logged. */
#ifndef REPORT_SPEEDS_H
#define REPORT_SPEEDS_H

#include "report/record.h"

GHashTable *speeds_collect(const struct record_set *s);
double speeds_slowdown(GHashTable *speeds, GQuark upstream);

#endif
