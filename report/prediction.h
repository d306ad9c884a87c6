/*
 * How well the durations of runs can be predicted: the runs of the records are
 * learned from in the order of their ends, as a leader does.
 */
#ifndef REPORT_PREDICTION_H
#define REPORT_PREDICTION_H

#include "report/print.h"

/* Errors are of the logarithm, in absolute value, and the median of all runs. */
struct prediction_error {
	GQuark queue;
	uint32_t runs;
	double estimate; /* of the submitted estimate */
	double mean;	 /* of the mean of the queue's earlier runs */
	double learned;	 /* of what was learned before the run ended */
	/* share of the runs within the time that 90 % should need */
	double within_90;
};

GArray *predictions_evaluate(const struct report *r);
void predictions_print(const struct report *r);

#endif
