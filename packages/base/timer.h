#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * Timer service: parts subscribe to a period and are called with the time of
 * one clock reading. One tevent timer drives all subscriptions of a thread.
 *
 * A call that comes far later than it was due means that the process was
 * paused; loop_timer_gap_ms tells, so that a part can distrust what it knew.
 */

struct loop_timer;
struct loop_timer_subscription;

/* Called from the loop, with the monotonic time. */
typedef void loop_timer_handler(void *ctx, uint64_t now_ms);

/* Owned by mem, with its subscriptions. */
struct loop_timer *loop_timer_create(TALLOC_CTX *mem,
				     struct tevent_context *ev);

/*
 * Calls handler about every period_ms until the subscription is freed with
 * talloc_free.
 */
struct loop_timer_subscription *
loop_timer_subscribe(struct loop_timer *loop_timer, uint64_t period_ms,
		     loop_timer_handler *handler, void *ctx);

/* Changes a subscription's period, counted from now. */
void loop_timer_set_period(struct loop_timer_subscription *subscription,
			   uint64_t period_ms);

/* Milliseconds by which the last call came later than it was due. */
uint64_t loop_timer_gap_ms(const struct loop_timer *loop_timer);

#endif
