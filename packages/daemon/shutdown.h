#ifndef DAEMON_SHUTDOWN_H
#define DAEMON_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"
#include "base/thread.h"
#include "core/node.h"

/*
 * A graceful shutdown. First the core closes admission, finishes its jobs and
 * hands over its records, while callers are still served. Then no new
 * connections are accepted, and the process ends once the open ones have
 * closed.
 */

struct shutdown {
	const struct settings *settings;
	struct node *node;
	struct thread *callers;
	uint64_t began_ms; /* 0: not begun */
	uint64_t quiesced_ms; /* when accepting ended; 0: still accepting */
	uint64_t idle_since_ms; /* 0: something is in flight */
	bool drained; /* the callers' connections have closed */
	bool finished;
};

/* Begins a graceful shutdown; a second call does nothing. */
void shutdown_begin(struct shutdown *shutdown, uint64_t now_ms);

/* Takes the next step when it is due; to be called on every tick. */
void shutdown_tick(struct shutdown *shutdown, uint64_t now_ms);

/* Returns true once all is done or stop.limit_ms has passed. */
bool shutdown_is_finished(const struct shutdown *shutdown);

#endif
