#include "base/timer.h"

#include <stdbool.h>
#include <sys/queue.h>

#include "base/clock.h"

struct loop_timer_subscription {
	TAILQ_ENTRY(loop_timer_subscription) entry;
	struct loop_timer *loop_timer;
	uint64_t period_ms;
	uint64_t due_ms;
	loop_timer_handler *handler;
	void *ctx;
};

struct loop_timer {
	TAILQ_HEAD(, loop_timer_subscription) subscriptions;
	/*
	 * The subscription to visit after the one whose handler runs. If it is
	 * freed by that handler, unsubscribe() advances this pointer.
	 */
	struct loop_timer_subscription *next;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	uint64_t expiry_ms; /* when the timer is due */
	uint64_t gap_ms; /* how late the timer last fired */
};

static void arm(struct loop_timer *loop_timer);

static void call_due(struct loop_timer *loop_timer, uint64_t now_ms)
{
	struct loop_timer_subscription *s =
		TAILQ_FIRST(&loop_timer->subscriptions);

	for (; s; s = loop_timer->next) {
		loop_timer->next = TAILQ_NEXT(s, entry);
		if (s->due_ms > now_ms)
			continue;
		s->due_ms += s->period_ms;
		if (s->due_ms <= now_ms)
			s->due_ms = now_ms + s->period_ms;
		s->handler(s->ctx, now_ms);
	}
	loop_timer->next = NULL;
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	struct loop_timer *loop_timer = private_data;
	uint64_t now_ms = clock_now_ms();

	(void)ev;
	(void)te;
	(void)now;
	loop_timer->timer = NULL;
	loop_timer->gap_ms = now_ms > loop_timer->expiry_ms
				     ? now_ms - loop_timer->expiry_ms
				     : 0;
	call_due(loop_timer, now_ms);
	arm(loop_timer);
}

/* Sets the tevent timer to the earliest due time of all subscriptions. */
static void arm(struct loop_timer *loop_timer)
{
	struct loop_timer_subscription *s;
	uint64_t now_ms = clock_now_ms();
	uint64_t due_ms = UINT64_MAX;
	uint64_t wait_ms;
	struct timeval at;

	TALLOC_FREE(loop_timer->timer);
	TAILQ_FOREACH(s, &loop_timer->subscriptions, entry)
		if (s->due_ms < due_ms)
			due_ms = s->due_ms;
	if (due_ms == UINT64_MAX)
		return;
	wait_ms = due_ms > now_ms ? due_ms - now_ms : 0;
	loop_timer->expiry_ms = now_ms + wait_ms;
	at = tevent_timeval_current_ofs((uint32_t)(wait_ms / 1000),
					(uint32_t)(wait_ms % 1000 * 1000));
	loop_timer->timer = tevent_add_timer(loop_timer->ev, loop_timer, at,
					     on_timer, loop_timer);
}

struct loop_timer *loop_timer_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loop_timer *loop_timer = talloc_zero(mem, struct loop_timer);

	TAILQ_INIT(&loop_timer->subscriptions);
	loop_timer->ev = ev;
	return loop_timer;
}

static int unsubscribe(struct loop_timer_subscription *s)
{
	if (s->loop_timer->next == s)
		s->loop_timer->next = TAILQ_NEXT(s, entry);
	TAILQ_REMOVE(&s->loop_timer->subscriptions, s, entry);
	return 0;
}

struct loop_timer_subscription *
loop_timer_subscribe(struct loop_timer *loop_timer, uint64_t period_ms,
		     loop_timer_handler *handler, void *ctx)
{
	struct loop_timer_subscription *s =
		talloc_zero(loop_timer, struct loop_timer_subscription);

	s->loop_timer = loop_timer;
	s->period_ms = period_ms ? period_ms : 1;
	s->due_ms = clock_now_ms() + s->period_ms;
	s->handler = handler;
	s->ctx = ctx;
	TAILQ_INSERT_TAIL(&loop_timer->subscriptions, s, entry);
	talloc_set_destructor(s, unsubscribe);
	arm(loop_timer);
	return s;
}

void loop_timer_set_period(struct loop_timer_subscription *s,
			   uint64_t period_ms)
{
	if (s->period_ms == period_ms)
		return;
	s->period_ms = period_ms;
	s->due_ms = clock_now_ms() + period_ms;
	arm(s->loop_timer);
}

uint64_t loop_timer_gap_ms(const struct loop_timer *loop_timer)
{
	return loop_timer->gap_ms;
}
