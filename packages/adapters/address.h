#ifndef ADAPTERS_ADDRESS_H
#define ADAPTERS_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* Addresses of the form 127.0.0.1:7400 or [::1]:7400, by IP number. */

struct address {
	struct sockaddr_storage storage;
	socklen_t len;
};

/* Reads an address; false when it is none. Names are not looked up. */
bool address_parse(struct address *address, const char *text);

/* Opens a non-blocking listening socket; -1 with errno on failure. */
int address_listen(const struct address *address, int backlog);

/* The port a socket is bound to; 0 when there is none. */
uint16_t address_local_port(int fd);

#endif
