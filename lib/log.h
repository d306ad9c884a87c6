/* Structured logs: one JSON record per line on standard output. */
#ifndef LIB_LOG_H
#define LIB_LOG_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Length of the name of an instance, with the end. It is part of a row's key,
 * which the platform's store limits to 200 bytes.
 */
#define INSTANCE_NAME_BYTES 192

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

void log_open(const char *program, const char *instance, enum log_level min);
bool log_level_parse(const char *s, enum log_level *lv);
void log_line(enum log_level lv, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Write a record with the fields of a json_pack object, "{s:s,s:I}". */
void log_fields(enum log_level lv, const char *event, const char *fmt, ...);

uint64_t log_lost(void);
uint64_t log_shortened(void);

#endif
