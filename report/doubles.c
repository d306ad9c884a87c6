/* Statistics of arrays of doubles. */
#include <gsl/gsl_statistics_double.h>

#include "report/doubles.h"

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Sort a, for the functions below. */
void doubles_sort(GArray *a)
{
	g_array_sort(a, compare_doubles);
}

/* Return the median of a, which is sorted and not empty. */
double doubles_median(const GArray *a)
{
	return gsl_stats_median_from_sorted_data(
		(const double *)(const void *)a->data, 1, a->len);
}

/* Return a quantile of a, which is sorted; 0 if a is empty. */
double doubles_quantile(const GArray *a, double q)
{
	if (!a->len)
		return 0;
	return gsl_stats_quantile_from_sorted_data(
		(const double *)(const void *)a->data, 1, a->len, q);
}
