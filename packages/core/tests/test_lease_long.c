/*
 * As test_lease_node, with tasks that outlast a change of the leader: no task
 * is started again while another leader renews the lease of its run, nor while
 * a run of its caller's first attempt is live, if the caller lost its
 * connection and sends the job again to any instance.
 *
 * Plays the seeds 1 to LAST_SEED and those of failed, or those in
 * BERGAMOT_SEEDS, numbers separated by spaces.
 */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "fake_site.h"

/* Sanitized builds take up to 25 times as long. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define LAST_SEED 20
#else
#define LAST_SEED 60
#endif
#define TASK_MS 900
/* A job sent again waits until no start of its former tasks can be late. */
#define SETTLE_MS 30000

/* Seeds that once showed two runs of a task (issues 26, 30). */
static const uint64_t failed[] = { 394,	 403,  1502, 1668, 2101, 2180, 2943,
				   3241, 5743, 5978, 5999, 6871, 8096 };

/* The same where callers resend more, with relays. */
static const uint64_t failed_resends[] = { 1027, 1970, 2849, 3857, 4577, 5003 };

#define COUNT(list) ((int)(sizeof(list) / sizeof((list)[0])))

static bool is_listed(const char *list, uint64_t seed)
{
	char *end = (char *)list;

	while (list && *list) {
		if (strtoull(list, &end, 10) == seed && end != list)
			return true;
		list = *end ? end + 1 : end;
	}
	return false;
}

/* Returns the seed at an index from 0 on: 1 to LAST_SEED, then those listed. */
static uint64_t seed_at(int index, const uint64_t *listed)
{
	return index < LAST_SEED ? (uint64_t)index + 1
				 : listed[index - LAST_SEED];
}

static void play(uint64_t seed, uint32_t direct_workers, bool more_resends)
{
	const char *only = getenv("BERGAMOT_SEEDS");
	struct fake_site_options options = {
		.instances = 3 + (uint32_t)(seed % 3),
		.workers = 8,
		.direct_workers = direct_workers,
		.length_ms = 20000,
		.settle_ms = SETTLE_MS,
		.jobs_per_s = 8,
		.task_ms = TASK_MS,
		.faults_per_s = 2,
		.more_resends = more_resends,
		.first_start = seed % 2 == 0,
		.seed = seed,
	};
	struct fake_site_result r;

	if (only && !is_listed(only, seed))
		return;
	fake_site_run(&options, &r);
	ck_assert_msg(!r.duplicate_runs && !r.resent_runs && !r.repeated_runs &&
			      !r.wrong_answers,
		      "seed %d: %s", (int)seed, r.first_error);
	ck_assert_uint_eq(r.unanswered, 0);
	ck_assert_uint_eq(r.leaders, 1);
}

START_TEST(test_two_runs_of_long_tasks)
{
	play(seed_at(_i, failed), 0, false);
}
END_TEST

/* The same with relays that make the leader's calls to workers. */
START_TEST(test_two_runs_of_long_tasks_with_relays)
{
	play(seed_at(_i, failed), 1, false);
}
END_TEST

/*
 * Callers also resend after answers that tasks may have run, and after the loss
 * of their connections.
 */
START_TEST(test_two_runs_of_resent_jobs)
{
	play(seed_at(_i, failed_resends), 0, true);
}
END_TEST

START_TEST(test_two_runs_of_resent_jobs_with_relays)
{
	play(seed_at(_i, failed_resends), 1, true);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_long");
	TCase *tc = tcase_create("lease_long");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_two_runs_of_long_tasks, 0,
			    LAST_SEED + COUNT(failed));
	tcase_add_loop_test(tc, test_two_runs_of_long_tasks_with_relays, 0,
			    LAST_SEED + COUNT(failed));
	tcase_add_loop_test(tc, test_two_runs_of_resent_jobs, 0,
			    LAST_SEED + COUNT(failed_resends));
	tcase_add_loop_test(tc, test_two_runs_of_resent_jobs_with_relays, 0,
			    LAST_SEED + COUNT(failed_resends));
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
