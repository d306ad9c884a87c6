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
 * The kernel doubles these values. The first allows a window of 64 KB, what
 * Linux begins with; it would otherwise grow to megabytes for each connection.
 */
#define RECEIVE_BUFFER_BYTES (64 << 10)
#define SEND_BUFFER_BYTES (64 << 10)
/*
 * While a large request arrives. With the first value a request of 256 KB took
 * up to 0.4 s on a loopback connection, whose segments have 64 KB.
 */
#define RECEIVE_BUFFER_WIDE_BYTES (256 << 10)

/* Have large buffers returned to the system when they are freed. */
void sockbuf_init_process(void)
{
	mallopt(M_MMAP_THRESHOLD, SOCKBUF_MAPPED_MIN_BYTES);
}

/*
 * Return free pages between smaller blocks to the system. It takes some
 * milliseconds.
 */
void sockbuf_return_memory(void)
{
	malloc_trim(0);
}

static void set_receive_buffer(h2o_socket_t *sock, int bytes)
{
	setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_RCVBUF, &bytes,
		   sizeof(bytes));
}

/*
 * Bound what the kernel holds for an accepted connection. Set on a listener,
 * the receive buffer would bound the window for good.
 */
void sockbuf_limit_kernel_buffers(h2o_socket_t *sock)
{
	int out = SEND_BUFFER_BYTES;

	set_receive_buffer(sock, RECEIVE_BUFFER_BYTES);
	setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_SNDBUF, &out,
		   sizeof(out));
}

/* Let more bytes of a large request arrive at a time. */
void sockbuf_widen_kernel_buffer(h2o_socket_t *sock)
{
	set_receive_buffer(sock, RECEIVE_BUFFER_WIDE_BYTES);
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
