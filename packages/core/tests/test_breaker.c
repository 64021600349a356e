/* A breaker opens on failures of different jobs and allows one probe. */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "core/breaker.h"

static const struct breaker_options options = { .first_backoff_ms = 100,
						.longest_backoff_ms = 300 };
static struct breaker breaker;

static void fail_until_open(uint64_t first_job, uint64_t now_ms)
{
	ck_assert(!breaker_failure(&breaker, &options, first_job));
	ck_assert(!breaker_failure(&breaker, &options, first_job + 1));
	ck_assert(breaker_failure(&breaker, &options, first_job + 2));
	breaker_open(&breaker, &options, now_ms);
}

static void setup(void)
{
	breaker = (struct breaker){ 0 };
}

START_TEST(test_one_job_does_not_open)
{
	for (int i = 0; i < 100; i++)
		ck_assert(!breaker_failure(&breaker, &options, 7));
	ck_assert(breaker_allows(&breaker, 0));
}
END_TEST

START_TEST(test_failures_between_successes_do_not_open)
{
	for (uint64_t job = 0; job < 100; job++) {
		ck_assert(!breaker_failure(&breaker, &options, job));
		if (job % 2)
			breaker_success(&breaker);
	}
}
END_TEST

START_TEST(test_probe_and_backoff)
{
	static const uint64_t backoffs_ms[] = { 100, 200, 300, 300 };
	uint64_t now_ms = 1000;

	fail_until_open(1, now_ms);
	for (size_t i = 0; i < 4; i++) {
		now_ms += backoffs_ms[i];
		ck_assert(!breaker_allows(&breaker, now_ms - 1));
		ck_assert(breaker_allows(&breaker, now_ms));
		breaker_task_sent(&breaker, now_ms);
		ck_assert(!breaker_allows(&breaker, now_ms));
		ck_assert(breaker_failure(&breaker, &options, 10 + i));
		breaker_open(&breaker, &options, now_ms);
	}
	breaker_task_sent(&breaker, now_ms + 300);
	breaker_success(&breaker);
	ck_assert(breaker_allows(&breaker, now_ms + 300));
	fail_until_open(50, now_ms);
	ck_assert(breaker_allows(&breaker, now_ms + 100));
}
END_TEST

START_TEST(test_undecided_probe_is_repeated)
{
	fail_until_open(1, 0);
	breaker_task_sent(&breaker, 100);
	ck_assert(!breaker_allows(&breaker, 100000));
	breaker_undecided(&breaker, 150);
	ck_assert(breaker_allows(&breaker, 150));
}
END_TEST

START_TEST(test_rate_decays)
{
	for (uint64_t job = 0; job < 40; job++)
		breaker_failure(&breaker, &options, job);
	ck_assert_uint_gt(breaker.rate_milli, 950);
	for (int i = 0; i < 40; i++)
		breaker_success(&breaker);
	ck_assert_uint_lt(breaker.rate_milli, 50);
}
END_TEST

int main(void)
{
	return RUN_CASE("breaker", setup, NULL, test_one_job_does_not_open,
			test_failures_between_successes_do_not_open,
			test_probe_and_backoff,
			test_undecided_probe_is_repeated, test_rate_decays);
}
