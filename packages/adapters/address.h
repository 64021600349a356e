#ifndef ADAPTERS_ADDRESS_H
#define ADAPTERS_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* Numeric socket addresses such as 127.0.0.1:7400 or [::1]:7400. */

struct address {
	struct sockaddr_storage storage;
	socklen_t len;
};

/*
 * Parses a numeric address; returns false when text is not one. Host names are
 * not resolved.
 */
bool address_parse(struct address *address, const char *text);

/* Opens a non-blocking listening socket; returns -1 and sets errno on error. */
int address_listen(const struct address *address, int backlog);

/* Returns the port that a socket is bound to, 0 when it is not bound. */
uint16_t address_local_port(int fd);

#endif
