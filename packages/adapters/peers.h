#ifndef ADAPTERS_PEERS_H
#define ADAPTERS_PEERS_H

#include "base/mailbox.h"

/*
 * Links between instances: a traffic thread that listens, dials, and frames
 * messages on TCP. Two instances dial each other, so that a pair has up to two
 * connections; either carries messages both ways. A peer is up from its first
 * open connection to the end of its last.
 */

struct peers_options {
	struct mailbox *control;
	const char *listen;
	/* A packed Hello frame, sent first on every link. */
	const uint8_t *hello;
	size_t hello_len;
	const char *cluster; /* links of another cluster are closed */
	size_t queue_bytes; /* of one link, to be sent; 0 means 64 MB */
	/*
	 * A connection is closed when its Hello, or the receipt of what was
	 * sent, takes longer; 0 means 5000. A dialled one is tried again.
	 */
	uint32_t silence_ms;
};

/* For struct thread_options: arg is a struct peers_options. */
void *peers_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
void peers_handle(void *state, struct mailbox_message *msg);

#endif
