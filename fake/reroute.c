/*
 * A library to preload into a process, whose connections then go through a
 * proxy, such as cutter, that can break them for this process alone.
 *
 *	REROUTE="FIRST COUNT TO"
 *
 * A connection to one of COUNT consecutive IPs from FIRST on goes to the IP at
 * the same distance from TO; the port stays.
 */
#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

/* Replace the IP of a by that of the proxy if REROUTE names it. */
static void replace_ip(struct sockaddr_in *a)
{
	const char *text = getenv("REROUTE");
	char first[INET_ADDRSTRLEN], to[INET_ADDRSTRLEN];
	struct in_addr f, t;
	uint32_t count, distance;

	if (!text || sscanf(text, "%15s %u %15s", first, &count, to) != 3 ||
	    inet_pton(AF_INET, first, &f) != 1 ||
	    inet_pton(AF_INET, to, &t) != 1)
		return;
	distance = ntohl(a->sin_addr.s_addr) - ntohl(f.s_addr);
	if (distance < count)
		a->sin_addr.s_addr = htonl(ntohl(t.s_addr) + distance);
}

/* Connect as the function of the C library does, after replacing the IP. */
int connect(int fd, const struct sockaddr *address, socklen_t len)
{
	struct sockaddr_in a;

	if (address->sa_family != AF_INET || len != sizeof(a))
		return (int)syscall(SYS_connect, fd, address, len);
	memcpy(&a, address, sizeof(a));
	replace_ip(&a);
	return (int)syscall(SYS_connect, fd, &a, len);
}
