/* The row by which the leader tells all instances which jobs to refuse. */
#ifndef LEAD_ADMISSIONROW_H
#define LEAD_ADMISSIONROW_H

#include "sched/admission.h"

/* The row is in the table of the owner row, which every instance follows. */
#define KEY_ADMISSION "admission"
/*
 * The leader renews the row after ADMISSION_RENEW_MS, and a row that is older
 * than ADMISSION_AGE_MAX_MS refuses nobody: no leader has renewed it, or the
 * instance that reads it is cut off.
 */
#define ADMISSION_RENEW_MS 1000
#define ADMISSION_AGE_MAX_MS 4000

char *admission_row_encode(const struct admission *a, uint64_t written_ms);
struct admission *admission_row_decode(const char *text, uint64_t *written_ms);
bool admission_row_is_valid(uint64_t written_ms, uint64_t store_ms);

#endif
