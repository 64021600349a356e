/* The timer service: periods, unsubscribing in a handler, gaps. */
#include <unistd.h>

#include "base/tests/run_suite.h"
#include "base/clock.h"
#include "base/timer.h"

struct fixture {
	struct tevent_context *ev;
	struct loop_timer *loop_timer;
	struct loop_timer_subscription *a, *b;
	int calls;
	uint64_t last_ms;
};

static void count(void *ctx, uint64_t now_ms)
{
	struct fixture *f = ctx;

	ck_assert_uint_ge(now_ms, f->last_ms);
	f->last_ms = now_ms;
	f->calls++;
}

static void free_both(void *ctx, uint64_t now_ms)
{
	struct fixture *f = ctx;

	count(ctx, now_ms);
	TALLOC_FREE(f->a);
	TALLOC_FREE(f->b);
}

static struct fixture *create(void)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->ev = tevent_context_init(f);
	f->loop_timer = loop_timer_create(f, f->ev);
	return f;
}

START_TEST(test_period)
{
	struct fixture *f = create();
	uint64_t began_ms = clock_now_ms();

	loop_timer_subscribe(f->loop_timer, 10, count, f);
	while (f->calls < 5)
		tevent_loop_once(f->ev);
	/* Never early; the delay depends on the load of the machine. */
	ck_assert_uint_ge(clock_now_ms() - began_ms, 50);
	talloc_free(f);
}
END_TEST

/* A handler may free its own subscription and the one after it. */
START_TEST(test_end_within_handler)
{
	struct fixture *f = create();
	struct fixture other = { 0 };

	f->a = loop_timer_subscribe(f->loop_timer, 1, free_both, f);
	f->b = loop_timer_subscribe(f->loop_timer, 1, free_both, f);
	loop_timer_subscribe(f->loop_timer, 1, count, &other);
	while (other.calls < 3)
		tevent_loop_once(f->ev);
	ck_assert_int_eq(f->calls, 1);
	talloc_free(f);
}
END_TEST

/* A pause of the loop leads to one call, not one per missed period. */
START_TEST(test_gap)
{
	struct fixture *f = create();

	loop_timer_subscribe(f->loop_timer, 1, count, f);
	usleep(100000);
	while (!f->calls)
		tevent_loop_once(f->ev);
	ck_assert_int_eq(f->calls, 1);
	ck_assert_uint_ge(loop_timer_gap_ms(f->loop_timer), 90);
	talloc_free(f);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("timer");
	TCase *tc = tcase_create("timer");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, test_period);
	tcase_add_test(tc, test_end_within_handler);
	tcase_add_test(tc, test_gap);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
