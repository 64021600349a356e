#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * Timer service: modules subscribe with a period, and all handlers that are
 * due get the same clock reading. One tevent timer drives all subscriptions of
 * a thread.
 *
 * When the timer fires much later than it was due, the process was paused.
 * loop_timer_gap_ms returns the delay, so that a module can discard state that
 * may be stale.
 */

struct loop_timer;
struct loop_timer_subscription;

/* Called from the loop, with the monotonic time in milliseconds. */
typedef void loop_timer_handler(void *ctx, uint64_t now_ms);

/* Creates a timer service, owned by mem; it owns its subscriptions. */
struct loop_timer *loop_timer_create(TALLOC_CTX *mem,
				     struct tevent_context *ev);

/*
 * Calls handler about every period_ms until the subscription is freed with
 * talloc_free. Missed periods are skipped.
 */
struct loop_timer_subscription *
loop_timer_subscribe(struct loop_timer *loop_timer, uint64_t period_ms,
		     loop_timer_handler *handler, void *ctx);

/* Changes a subscription's period; the new one starts now. */
void loop_timer_set_period(struct loop_timer_subscription *subscription,
			   uint64_t period_ms);

/* Returns how late the timer last fired, in milliseconds. */
uint64_t loop_timer_gap_ms(const struct loop_timer *loop_timer);

#endif
