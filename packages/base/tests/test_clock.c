/*
 * tevent timers follow the monotonic clock, not the time of day, and the clock
 * includes time in which the machine was suspended.
 */
#include <stdlib.h>
#include <sys/syscall.h>
#include <tevent.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/tests/run_suite.h"

#define TOLERANCE_S 10 /* for a busy machine */

/*
 * tevent_timeval_current_ofs calls tevent_timeval_current within the library,
 * so this fails if the definition in clock.c does not replace the library's
 * own.
 */
START_TEST(test_loop_time_is_monotonic)
{
	struct timeval in_a_minute = tevent_timeval_current_ofs(60, 0);
	int64_t now_s = (int64_t)(clock_now_us() / 1000000);

	ck_assert_int_le(llabs(in_a_minute.tv_sec - now_s - 60), TOLERANCE_S);
}
END_TEST

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	*(bool *)private_data = true;
}

START_TEST(test_timer_fires)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	uint64_t begin_ms = clock_now_ms();
	bool fired = false;

	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, 50000), on_timer,
			 &fired);
	while (!fired)
		ck_assert_int_eq(tevent_loop_once(ev), 0);
	ck_assert_uint_ge(clock_now_ms() - begin_ms, 49);
	talloc_free(ev);
}
END_TEST

static time_t suspended_s;

/*
 * Replaces the library's function in this program: CLOCK_BOOTTIME includes
 * suspended time, CLOCK_MONOTONIC does not.
 */
int clock_gettime(clockid_t id, struct timespec *ts)
{
	int status = (int)syscall(SYS_clock_gettime, id, ts);

	if (id == CLOCK_BOOTTIME)
		ts->tv_sec += suspended_s;
	return status;
}

START_TEST(test_suspension_is_not_noticed)
{
	uint64_t begin_ms = clock_now_ms();

	suspended_s = 5;
	ck_assert_uint_ge(clock_now_ms() - begin_ms, 5000);
}
END_TEST

int main(void)
{
	return RUN_CASE("clock", NULL, NULL, test_loop_time_is_monotonic,
			test_timer_fires, test_suspension_is_not_noticed);
}
