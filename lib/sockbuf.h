/* Memory that h2o's input buffers take. */
#ifndef LIB_SOCKBUF_H
#define LIB_SOCKBUF_H

#include <stdint.h>

#include "lib/loop.h"

/*
 * Blocks of this size and more are mapped by themselves, so that they are
 * returned to the system when they are freed. Unless it is set, glibc raises its
 * limit of 128 KB when such a block is freed.
 */
#define SOCKBUF_MAPPED_MIN_BYTES (64 << 10)

void sockbuf_init_process(void);
void sockbuf_return_memory(void);
void sockbuf_limit_kernel_buffers(h2o_socket_t *sock);
void sockbuf_widen_kernel_buffer(h2o_socket_t *sock);
uint64_t sockbuf_held_bytes(const h2o_socket_t *sock);
uint64_t sockbuf_unread_bytes(h2o_socket_t *sock);

#endif
