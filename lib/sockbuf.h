/* Memory that h2o's input buffers take. */
#ifndef LIB_SOCKBUF_H
#define LIB_SOCKBUF_H

#include <stdint.h>

#include "lib/loop.h"

/*
 * Blocks of this size and more are mapped by themselves, so that they are
 * returned to the system when they are freed. It is the initial value of glibc,
 * which raises it when such a block is freed unless it is set.
 */
#define SOCKBUF_MAPPED_MIN_BYTES (128 << 10)

void sockbuf_init_process(void);
void sockbuf_limit_kernel_buffers(h2o_socket_t *listener);
uint64_t sockbuf_held_bytes(const h2o_socket_t *sock);
uint64_t sockbuf_unread_bytes(h2o_socket_t *sock);

#endif
