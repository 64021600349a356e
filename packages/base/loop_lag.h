#ifndef BASE_LOOP_LAG_H
#define BASE_LOOP_LAG_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "base/timer.h"

/*
 * Measures how long what has arrived waits in front of an event loop. tevent
 * runs timers before it reads descriptors, one at a time and in turn: a busy
 * loop is late for these and for no timer. A byte through a pipe takes its turn
 * among them.
 */

struct loop_lag;

struct loop_lag_options {
	struct tevent_context *ev;
	struct loop_timer *timers;
	uint32_t every_ms;
	/* Is it worth measuring now? */
	bool (*wanted)(void *ctx);
	void (*measured)(void *ctx, uint64_t lag_ms);
	void *ctx;
};

/* NULL when there is no descriptor left. */
struct loop_lag *loop_lag_create(TALLOC_CTX *mem,
				 const struct loop_lag_options *options);

#endif
