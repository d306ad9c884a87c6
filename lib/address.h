/* Text form of socket addresses, and listening sockets. */
#ifndef LIB_ADDRESS_H
#define LIB_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

#define ADDRESS_TEXT_BYTES 32

bool address_parse(const char *s, struct sockaddr_in *a);
bool address_is_unicast(const struct sockaddr_in *a);
void address_format(const struct sockaddr_in *a, char *buf, size_t len);
int address_listen(const struct sockaddr_in *at);

#endif
