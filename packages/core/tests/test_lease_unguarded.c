/*
 * As test_lease_node, with workers that start whatever they are told to, take
 * up to stop_ms to stop a run, and have more or less capacity from time to
 * time, also after a restart. Instances read some of their reports late. No
 * start brings a worker over its capacity, a smaller one from contact_ms and a
 * report after it shrank; no task has two runs at once.
 *
 * Plays the seeds 1 to LAST_SEED and those of failed, or that in BERGAMOT_SEED
 * only.
 */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "fake_site.h"

/* Sanitized builds take up to 25 times as long. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define LAST_SEED 15
#else
#define LAST_SEED 60
#endif
#define LONG_TASK_MS 900

/* Seeds that once showed a start beyond a capacity, or two runs of a task. */
static const uint64_t failed[] = { 194, 965 };

#define FAILED_COUNT ((int)(sizeof(failed) / sizeof(*failed)))

/* Plays the seed at an index from 0 on. */
static void play(int index, uint32_t task_ms, uint32_t direct_workers)
{
	const char *only = getenv("BERGAMOT_SEED");
	uint64_t seed = index < LAST_SEED ? (uint64_t)index + 1
					  : failed[index - LAST_SEED];
	struct fake_site_options options = {
		.workers = 8,
		.direct_workers = direct_workers,
		.length_ms = 20000,
		.jobs_per_s = task_ms ? 8 : 20,
		.task_ms = task_ms,
		.faults_per_s = 3,
		.is_unguarded = true,
		.seed = only ? strtoull(only, NULL, 10) : seed,
	};
	struct fake_site_result r;

	if (only && index)
		return;
	options.instances = 3 + (uint32_t)(options.seed % 3);
	options.first_start = options.seed % 2 == 0;
	fake_site_run(&options, &r);
	ck_assert_msg(!r.over_capacity && !r.duplicate_runs &&
			      !r.repeated_runs && !r.wrong_answers,
		      "seed %d: %s", (int)options.seed, r.first_error);
	ck_assert_uint_eq(r.unanswered, 0);
	ck_assert_uint_eq(r.leaders, 1);
}

START_TEST(test_start_beyond_capacity)
{
	play(_i, 0, 0);
}
END_TEST

/* The same with relays that make the leader's calls to workers. */
START_TEST(test_start_beyond_capacity_with_relays)
{
	play(_i, 0, 1);
}
END_TEST

/* The same with tasks that outlast a change of the leader. */
START_TEST(test_start_beyond_capacity_with_long_tasks)
{
	play(_i, LONG_TASK_MS, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_unguarded");
	TCase *tc = tcase_create("lease_unguarded");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_start_beyond_capacity, 0,
			    LAST_SEED + FAILED_COUNT);
	tcase_add_loop_test(tc, test_start_beyond_capacity_with_relays, 0,
			    LAST_SEED + FAILED_COUNT);
	tcase_add_loop_test(tc, test_start_beyond_capacity_with_long_tasks, 0,
			    LAST_SEED + FAILED_COUNT);
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
