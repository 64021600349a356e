/* Loop lag is detected on a busy loop whose timers still fire on time. */
#include <unistd.h>

#include "base/clock.h"
#include "base/loop_lag.h"
#include "base/tests/run_suite.h"

#define BUSY_FDS 20
#define BUSY_MS 5 /* per descriptor: 100 ms to serve all of them */

struct fixture {
	struct tevent_context *ev;
	struct loop_timer *timers;
	uint64_t measurements;
	uint64_t longest_ms;
	bool enabled;
};

static struct fixture *f;

static bool is_enabled(void *ctx)
{
	(void)ctx;
	return f->enabled;
}

static void on_measured(void *ctx, uint64_t lag_ms)
{
	(void)ctx;
	f->measurements++;
	if (lag_ms > f->longest_ms)
		f->longest_ms = lag_ms;
}

static void set_up(void)
{
	struct loop_lag_options options = {
		.period_ms = 10,
		.is_enabled = is_enabled,
		.on_measured = on_measured,
	};

	f = talloc_zero(NULL, struct fixture);
	f->enabled = true;
	options.ev = f->ev = tevent_context_init(f);
	options.timers = f->timers = loop_timer_create(f, f->ev);
	ck_assert_ptr_nonnull(loop_lag_create(f, &options));
}

static void tear_down(void)
{
	talloc_free(f);
}

static void run(uint64_t ms)
{
	uint64_t until_ms = clock_now_ms() + ms;

	while (clock_now_ms() < until_ms)
		ck_assert_int_eq(tevent_loop_once(f->ev), 0);
}

/* Handles a descriptor that is always readable, for BUSY_MS. */
static void on_busy(struct tevent_context *ev, struct tevent_fd *fde,
		    uint16_t flags, void *private_data)
{
	uint64_t until_us = clock_now_us() + BUSY_MS * 1000;

	(void)ev;
	(void)fde;
	(void)flags;
	(void)private_data;
	while (clock_now_us() < until_us)
		;
}

START_TEST(test_idle_loop)
{
	run(300);
	ck_assert_uint_gt(f->measurements, 2);
}
END_TEST

START_TEST(test_busy_loop)
{
	int fds[2];

	ck_assert_int_eq(pipe(fds), 0);
	ck_assert_int_eq(write(fds[1], "", 1), 1);
	for (int i = 0; i < BUSY_FDS; i++)
		tevent_add_fd(f->ev, f, dup(fds[0]), TEVENT_FD_READ, on_busy,
			      NULL);
	run(1000);
	ck_assert_uint_gt(f->measurements, 2);
	ck_assert_uint_ge(f->longest_ms, 50);
}
END_TEST

START_TEST(test_disabled)
{
	f->enabled = false;
	run(100);
	ck_assert_uint_eq(f->measurements, 0);
}
END_TEST

int main(void)
{
	return RUN_CASE("loop_lag", set_up, tear_down, test_idle_loop,
			test_busy_loop, test_disabled);
}
