#ifndef DAEMON_SHUTDOWN_H
#define DAEMON_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"
#include "base/thread.h"
#include "core/node.h"

/*
 * The steps of a graceful shutdown, one after the other: the core closes
 * admission, finishes its jobs and hands over its records, while callers are
 * served on; then no new connections are taken, and the process ends when the
 * open ones have closed.
 */

struct shutdown {
	const struct settings *settings;
	struct node *node;
	struct thread *callers;
	uint64_t began_ms; /* 0 before */
	uint64_t quiesced_ms;
	uint64_t idle_ms; /* since when nothing is in flight */
	bool drained; /* the callers' connections have closed */
	bool over;
};

/* Begins a graceful shutdown; a second call does nothing. */
void shutdown_begin(struct shutdown *shutdown, uint64_t now_ms);

/* Takes the next step when it is due. */
void shutdown_tick(struct shutdown *shutdown, uint64_t now_ms);

/* True when the process may end, its stop limit reached or all done. */
bool shutdown_is_over(const struct shutdown *shutdown);

#endif
