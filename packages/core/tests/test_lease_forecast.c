/*
 * The expected wait from the work ahead and from later arrivals that start
 * first. The load is a burst of high-priority work that lasts for seconds.
 */
#include "base/tests/run_suite.h"
#include "core/lease_forecast.h"

#define USABLE 100000.0 /* 100 cores */
#define BEGIN_MS 5000

static struct lease_forecast forecast;

static void set_up(void)
{
	forecast = (struct lease_forecast){ .decayed_ms = BEGIN_MS };
	forecast_set_usable(&forecast, USABLE);
}

/* Adds two seconds of arrivals that use a share of the processors. */
static uint64_t add_arrivals(uint32_t priority, double share)
{
	uint64_t now_ms = BEGIN_MS;

	for (; now_ms < BEGIN_MS + 2000; now_ms += 10)
		forecast_note_arrival(&forecast, priority, USABLE * share * 10,
				      now_ms);
	return now_ms;
}

START_TEST(test_work_ahead)
{
	ck_assert_uint_eq(forecast_wait_ms(&forecast, 1, false, 0, BEGIN_MS),
			  0);
	ck_assert_uint_eq(
		forecast_wait_ms(&forecast, 1, false, USABLE * 200, BEGIN_MS),
		200);
}
END_TEST

/* With 90% of the processors used by a higher priority, waits are long. */
START_TEST(test_higher_priority_goes_before)
{
	uint64_t now_ms = add_arrivals(0, 0.9);
	double work = USABLE * 100;

	ck_assert_uint_eq(forecast_wait_ms(&forecast, 0, false, work, now_ms),
			  100);
	ck_assert_uint_ge(forecast_wait_ms(&forecast, 1, false, work, now_ms),
			  400);
	/* A late job waits for all arrivals, whatever its priority. */
	ck_assert_uint_ge(forecast_wait_ms(&forecast, 0, true, work, now_ms),
			  400);
}
END_TEST

START_TEST(test_lower_priority_does_not)
{
	uint64_t now_ms = add_arrivals(2, 0.9);

	ck_assert_uint_eq(
		forecast_wait_ms(&forecast, 1, false, USABLE * 100, now_ms),
		100);
}
END_TEST

START_TEST(test_a_burst_is_forgotten)
{
	uint64_t now_ms = add_arrivals(0, 0.9) + 10000;

	ck_assert_uint_le(
		forecast_wait_ms(&forecast, 1, false, USABLE * 100, now_ms),
		101);
}
END_TEST

/* With no processors left the wait is long, but finite and not negative. */
START_TEST(test_overload)
{
	uint64_t now_ms = add_arrivals(0, 3);

	ck_assert_uint_ge(
		forecast_wait_ms(&forecast, 1, false, USABLE * 100, now_ms),
		1000);
	forecast_set_usable(&forecast, 0);
	ck_assert_uint_ge(forecast_wait_ms(&forecast, 1, false, 1, now_ms),
			  100000);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_forecast", set_up, NULL, test_work_ahead,
			test_higher_priority_goes_before,
			test_lower_priority_does_not, test_a_burst_is_forgotten,
			test_overload);
}
