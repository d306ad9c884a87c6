/* Statistics of arrays of doubles. */
#ifndef REPORT_DOUBLES_H
#define REPORT_DOUBLES_H

#include <glib.h>

void doubles_sort(GArray *a);
double doubles_median(const GArray *a);
double doubles_quantile(const GArray *a, double q);

#endif
