/* IPv4 socket addresses in numeric form; host names are not resolved. */
#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/address.h"

#define LISTEN_BACKLOG 4096

#define PORT_DIGITS_MAX 5
/* First octet of multicast, reserved and broadcast addresses. */
#define GROUP_OCTET_MIN 224

/* Parse "IP:port" into *a; return false when s is NULL or malformed. */
bool address_parse(const char *s, struct sockaddr_in *a)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = s ? strrchr(s, ':') : NULL;
	size_t digits;
	unsigned long port;

	memset(a, 0, sizeof(*a));
	a->sin_family = AF_INET;
	if (!colon || colon - s >= (long)sizeof(ip))
		return false;
	memcpy(ip, s, colon - s);
	ip[colon - s] = '\0';
	/* strtoul also accepts spaces and signs, and negates the number */
	digits = strspn(colon + 1, "0123456789");
	if (!digits || digits > PORT_DIGITS_MAX || colon[1 + digits])
		return false;
	port = strtoul(colon + 1, NULL, 10);
	if (!port || port > UINT16_MAX)
		return false;
	a->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &a->sin_addr) == 1;
}

/* Report whether a can be the address of one host. */
bool address_is_unicast(const struct sockaddr_in *a)
{
	uint32_t octet = ntohl(a->sin_addr.s_addr) >> 24;

	return octet && octet < GROUP_OCTET_MIN;
}

/* Format a as "IP:port" into buf of len bytes. */
void address_format(const struct sockaddr_in *a, char *buf, size_t len)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &a->sin_addr, ip, sizeof(ip));
	snprintf(buf, len, "%s:%u", ip, ntohs(a->sin_port));
}

/*
 * Return a non-blocking socket that listens on at, or -1 with errno set
 * when the socket cannot be created or the address cannot be bound.
 */
int address_listen(const struct sockaddr_in *at)
{
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)at, sizeof(*at)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}
