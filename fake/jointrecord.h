/* What the upstreams of the simulated joint platform record of task starts. */
#ifndef FAKE_JOINTRECORD_H
#define FAKE_JOINTRECORD_H

#include <jansson.h>
#include <stdint.h>

struct joint_record;

/* A run of a task; the texts are not owned. */
struct joint_run {
	const char *task;
	const char *upstream;
	uint32_t number;
	uint64_t epoch; /* of the leader that started it */
	uint64_t started_ms;
};

struct joint_record *joint_record_create(void);
void joint_record_start(struct joint_record *c, const struct joint_run *r,
			const struct joint_run *other);
void joint_record_done(struct joint_record *c, const struct joint_run *r,
		       uint64_t end);
void joint_record_acknowledge(struct joint_record *c, const char *task,
			      const char *upstream, uint64_t end);
void joint_record_void(struct joint_record *c, const char *task,
		       const char *upstream, uint64_t end);
void joint_record_add_to(const struct joint_record *c, json_t *v);

#endif
