#include "adapters/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static bool split_host_port(const char *text, char *host, size_t size,
			    long *port)
{
	const char *colon = strrchr(text, ':');
	char *end;
	size_t len;

	if (!colon || colon == text || !colon[1])
		return false;
	len = (size_t)(colon - text);
	if (text[0] == '[' && colon[-1] == ']') {
		text++;
		len -= 2;
	}
	if (len >= size)
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	*port = strtol(colon + 1, &end, 10);
	return !*end && *port >= 0 && *port <= UINT16_MAX;
}

bool address_parse(struct address *address, const char *text)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&address->storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&address->storage;
	char host[INET6_ADDRSTRLEN];
	long port;

	memset(address, 0, sizeof(*address));
	if (!split_host_port(text, host, sizeof(host), &port))
		return false;
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons((uint16_t)port);
		address->len = sizeof(*v4);
		return true;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons((uint16_t)port);
		address->len = sizeof(*v6);
		return true;
	}
	return false;
}

int address_listen(const struct address *address, int backlog)
{
	const int on = 1;
	int fd = socket(address->storage.ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int err;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind(fd, (const struct sockaddr *)&address->storage,
		  address->len) &&
	    !listen(fd, backlog))
		return fd;
	err = errno;
	close(fd);
	errno = err;
	return -1;
}

uint16_t address_local_port(int fd)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} local = { 0 };
	socklen_t len = sizeof(local);

	if (getsockname(fd, &local.any, &len))
		return 0;
	return ntohs(local.any.sa_family == AF_INET ? local.v4.sin_port
						    : local.v6.sin6_port);
}
