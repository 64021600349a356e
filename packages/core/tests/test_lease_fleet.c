/*
 * A whole fleet on one clock: 1,100 workers and 100 instances, 40 in sanitized
 * builds, or as many as BERGAMOT_INSTANCES says, up to 150. All lose power: one
 * leads within the time in which the shortest jobs are of use, and jobs are
 * completed again long before the site's recovery_s. No task has two runs at
 * once, every caller is answered, and one instance leads at the end; also with
 * other faults, generated from the seed.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "fake_site.h"

#define SHORTEST_USE_MS 468 /* three times the objective of a task of 60 ms */
#define POWER_ON_MS 400 /* until all instances are back */
#define RECOVERY_MS 15000
#define JOBS_PER_S 300
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define INSTANCES 40
#else
#define INSTANCES 100
#endif

static struct fake_site_result play(uint32_t faults_per_s, uint64_t seed)
{
	const char *instances = getenv("BERGAMOT_INSTANCES");
	struct fake_site_options options = {
		.instances = instances ? (uint32_t)atoi(instances) : INSTANCES,
		.workers = 1100,
		.is_fleet = true,
		.length_ms = 5000,
		/* Callers wait for 4 s, an instance is frozen for up to 6 s. */
		.settle_ms = 7000,
		.kill_all_ms = 2000,
		.jobs_per_s = JOBS_PER_S,
		.faults_per_s = faults_per_s,
		.seed = seed,
	};
	struct fake_site_result r;

	fake_site_run(&options, &r);
	if (r.first_error[0] || getenv("BERGAMOT_SHOW"))
		printf("seed %d: %u jobs, %u completed, %u refused, %u given "
		       "up, %u lost, %u faults; leader after %u ms, completed "
		       "after %u ms; %s\n",
		       (int)seed, r.jobs, r.completed, r.refused, r.given_up,
		       r.lost, r.faults, r.leader_after_ms,
		       r.completed_after_ms, r.first_error);
	ck_assert_uint_eq(r.duplicate_runs + r.resent_runs, 0);
	ck_assert_uint_eq(r.repeated_runs, 0);
	ck_assert_uint_eq(r.wrong_answers, 0);
	ck_assert_uint_eq(r.unanswered, 0);
	ck_assert_uint_eq(r.leaders, 1);
	ck_assert_uint_gt(r.leader_after_ms, 0);
	ck_assert_uint_gt(r.completed_after_ms, 0);
	ck_assert_uint_le(r.completed_after_ms, RECOVERY_MS);
	return r;
}

/* Jobs that come once all instances are back for a second are all completed. */
START_TEST(test_fleet_loses_all_power)
{
	struct fake_site_result r = play(0, 1);

	ck_assert_uint_le(r.leader_after_ms, POWER_ON_MS + SHORTEST_USE_MS);
	/* Others came before: in 0.5 s without a leader, or their entry was
	 * lost. */
	ck_assert_uint_le(r.refused + r.given_up,
			  JOBS_PER_S * (POWER_ON_MS + SHORTEST_USE_MS) / 1000);
}
END_TEST

START_TEST(test_fleet_with_faults)
{
	play(2, (uint64_t)_i + 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_fleet");
	TCase *tc = tcase_create("lease_fleet");

	tcase_set_timeout(tc, 600);
	tcase_add_test(tc, test_fleet_loses_all_power);
	tcase_add_loop_test(tc, test_fleet_with_faults, 0, 1);
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
