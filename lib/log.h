/* Structured logs: one JSON record a line on standard error. */
#ifndef LIB_LOG_H
#define LIB_LOG_H

#include <stdbool.h>

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

void log_open(const char *program, const char *instance, enum log_level min);
bool log_level_parse(const char *s, enum log_level *lv);
void log_line(enum log_level lv, const char *what, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
