#ifndef BASE_HOST_PORT_H
#define BASE_HOST_PORT_H

#include <stddef.h>

/*
 * Checks the text of a network address before it is dialled or becomes part of
 * a URL. Addresses to listen at, which may have port 0, are checked with the
 * settings.
 */

#define HOST_PORT_BYTES 128 /* of an address, with the final NUL */

enum host_port_kind {
	HOST_PORT_INVALID,
	HOST_PORT_NAME, /* NAME:PORT, needs a look-up */
	HOST_PORT_NUMERIC, /* IPV4:PORT or [IPV6]:PORT */
};

/* Classifies the len bytes of text; the port must be 1 to 65535. */
enum host_port_kind host_port_classify(const char *text, size_t len);

#endif
