/*
 * Names of any length: of queues, client accounts, services and labels. A text
 * is kept once, however many hold it, and is freed with its last holder.
 */
#ifndef SCHED_TEXT_H
#define SCHED_TEXT_H

void text_set(const char **to, const char *s);
void text_set_format(const char **to, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void text_clear(const char **t);

#endif
