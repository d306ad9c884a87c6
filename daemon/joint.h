/* Runs an instance on the joint platform. */
#ifndef DAEMON_JOINT_H
#define DAEMON_JOINT_H

#include "platform/settings.h"

int joint_run(struct joint_settings *s, const char *file);

#endif
