#ifndef BASE_LOOP_LAG_H
#define BASE_LOOP_LAG_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "base/timer.h"

/*
 * Measures how long a readable descriptor waits for a busy event loop. tevent
 * runs due timers before it serves readable descriptors, and serves those one
 * at a time in turn, so a busy loop delays descriptors but not timers. The
 * module writes a byte to a pipe and measures the time until the loop reads
 * it.
 */

struct loop_lag;

struct loop_lag_options {
	struct tevent_context *ev;
	struct loop_timer *timers;
	uint32_t period_ms;
	/* Returns true if a measurement may start. */
	bool (*is_enabled)(void *ctx);
	/* Reports the lag, or the age of a byte that is still unread. */
	void (*on_measured)(void *ctx, uint64_t lag_ms);
	void *ctx;
};

/*
 * Starts periodic measurements, which end when the result is freed with
 * talloc_free. Returns NULL when the pipe cannot be created.
 */
struct loop_lag *loop_lag_create(TALLOC_CTX *mem,
				 const struct loop_lag_options *options);

#endif
