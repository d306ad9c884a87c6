/*
 * h2o doubles an input buffer when it is full. The pages of a large buffer that
 * have not been written take no memory.
 */
#include <malloc.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "lib/sockbuf.h"

#define PAGE_BYTES 4096
/*
 * The kernel doubles this value, which allows a window of 64 KB: what Linux
 * begins with. It would otherwise grow to megabytes for each connection.
 */
#define RECEIVE_BUFFER_BYTES (64 << 10)
/* As much for answers that the client has not acknowledged. */
#define SEND_BUFFER_BYTES (64 << 10)

/* Have large buffers returned to the system when they are freed. */
void sockbuf_init_process(void)
{
	mallopt(M_MMAP_THRESHOLD, SOCKBUF_MAPPED_MIN_BYTES);
}

/* Bound what the kernel holds for each connection accepted from now on. */
void sockbuf_limit_kernel_buffers(h2o_socket_t *listener)
{
	int fd = h2o_socket_get_fd(listener);
	int in = RECEIVE_BUFFER_BYTES, out = SEND_BUFFER_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &in, sizeof(in));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &out, sizeof(out));
}

/* Return the memory that the input buffer of sock takes, in bytes. */
uint64_t sockbuf_held_bytes(const h2o_socket_t *sock)
{
	const h2o_buffer_t *b = sock->input;

	if (!b->bytes)
		return 0;
	if (b->capacity < SOCKBUF_MAPPED_MIN_BYTES)
		return b->capacity;
	return (uint64_t)(b->bytes - b->_buf) + b->size + PAGE_BYTES;
}

/* Return how many received bytes the process has not read. */
uint64_t sockbuf_unread_bytes(h2o_socket_t *sock)
{
	int n = 0;

	if (ioctl(h2o_socket_get_fd(sock), FIONREAD, &n) || n < 0)
		return 0;
	return n;
}
