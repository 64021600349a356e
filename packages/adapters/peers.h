#ifndef ADAPTERS_PEERS_H
#define ADAPTERS_PEERS_H

#include "base/mailbox.h"

/*
 * Links between instances: a traffic thread that listens, dials, and exchanges
 * framed messages over TCP. Two instances dial each other, so a pair has up to
 * two connections; each carries messages in both directions. A peer is up while
 * at least one connection to it is open.
 */

struct peers_options {
	struct mailbox *control;
	const char *listen;
	/* A packed Hello frame, sent first on each connection. */
	const uint8_t *hello;
	size_t hello_len;
	const char *cluster; /* connections of other clusters are closed */
	size_t queue_bytes; /* unsent bytes allowed per link; 0 means 64 MB */
	/*
	 * Closes a connection whose Hello, or whose acknowledgement of sent
	 * data, takes longer than this; 0 means 5000. Dialled connections are
	 * then opened again.
	 */
	uint32_t silence_ms;
};

/* Functions for struct thread_options; arg is a struct peers_options. */
void *peers_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
void peers_handle(void *state, struct mailbox_message *msg);

#endif
