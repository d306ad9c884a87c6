/* The table store of the simulated joint platform, with its feed of changes. */
#ifndef FAKE_JOINTSTORE_H
#define FAKE_JOINTSTORE_H

#include <jansson.h>
#include <stdbool.h>

#include "lib/http.h"

struct joint_store;

struct joint_store *joint_store_create(void);
void joint_store_handle(struct joint_store *s, struct http_exchange *x);
void joint_store_control(struct joint_store *s, const json_t *command);
void joint_store_update(struct joint_store *s);
bool joint_store_is_available(const struct joint_store *s);
void joint_store_put(struct joint_store *s, const char *table, const char *key,
		     const json_t *value);
void joint_store_remove(struct joint_store *s, const char *table,
			const char *key);

#endif
