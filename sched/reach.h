/* Which failure domains seem cut off, by who answers there. */
#ifndef SCHED_REACH_H
#define SCHED_REACH_H

#include "sched/fleet.h"

void reach_record_answer(struct upstream *u, uint64_t now_ms);
void reach_record_silence(struct upstream *u);
bool reach_update(struct fleet *f, uint64_t now_ms);

#endif
