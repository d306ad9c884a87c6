/* The upstreams of the simulated joint platform, which run tasks. */
#ifndef FAKE_JOINTUPSTREAM_H
#define FAKE_JOINTUPSTREAM_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "fake/jointstore.h"

struct joint_upstreams;

struct joint_upstreams *
joint_upstreams_create(struct loop *l, struct joint_store *s, uint32_t domains);
bool joint_upstreams_add(struct joint_upstreams *us, struct sockaddr_in address,
			 struct sockaddr_in listed);
void joint_upstreams_control(struct joint_upstreams *us, const json_t *command);
void joint_upstreams_update(struct joint_upstreams *us);
json_t *joint_upstreams_record(const struct joint_upstreams *us);

#endif
