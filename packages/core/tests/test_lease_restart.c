/*
 * As test_lease_long, with workers whose clocks start anew when they restart:
 * an order that was delayed for seconds has not expired there.
 *
 * Plays the seeds and orders of faults that failed. BERGAMOT_SHOW prints what
 * happens in an order.
 */
#include "base/tests/run_suite.h"
#include "fake_scenario.h"
#include "fake_site.h"

static const struct {
	uint64_t seed;
	uint32_t direct_workers;
	bool more_resends;
} failed[] = {
	{ 182, 0, false }, { 545, 0, false }, { 175, 0, true },
	{ 358, 1, true },  { 523, 1, true },  { 205, 0, false },
	{ 266, 1, true },  { 406, 1, false }, { 650, 1, false },
};

START_TEST(test_two_runs_after_a_delayed_order)
{
	struct fake_site_options options = {
		.instances = 3 + (uint32_t)(failed[_i].seed % 3),
		.workers = 8,
		.direct_workers = failed[_i].direct_workers,
		.length_ms = 20000,
		.jobs_per_s = 8,
		.task_ms = 900,
		.faults_per_s = 2,
		.more_resends = failed[_i].more_resends,
		.worker_clocks = true,
		.first_start = failed[_i].seed % 2 == 0,
		.seed = failed[_i].seed,
	};
	struct fake_site_result r;

	fake_site_run(&options, &r);
	ck_assert_msg(!r.duplicate_runs && !r.resent_runs && !r.repeated_runs,
		      "seed %d: %s", (int)failed[_i].seed, r.first_error);
}
END_TEST

/* By one leader; and under a later leader, which does not know of the start. */
static const char *const orders[] = {
	"0 0 0 0 0 0 701:silence(1,500) 1461:delay_start(1,0) "
	"2803:restart_worker(1,500)",
	"0 0 0 0 0 0 19:delay_start(0,0) 359:kill(0,0) "
	"1795:restart_worker(0,0)",
	"0 0 1 0 0 0 775:delay_start(1,0) 1516:partition(1,3) "
	"2258:restart_worker(1,500)",
	"0 0 1 0 0 0 334:partition(2,0) 1075:delay_start(1,0) "
	"1817:restart_worker(1,500)",
	/* The next leader knows of the start only if it was told. */
	"0 1 0 0 0 0 0:delay_start(0,5000) 400:kill(0,0) "
	"1500:restart_worker(0,3450)",
	"1 1 0 0 0 0 0:delay_start(0,5000) 650:kill(0,0) "
	"1500:restart_worker(0,3450)",
	"1 1 0 0 0 0 0:delay_start(0,5000) 900:stop(0,0) "
	"1500:restart_worker(0,3450)",
	/* The same before the start is kept in the store. */
	"0 1 0 0 0 0 0:delay_start(0,5000) 40:kill(0,0) "
	"1500:restart_worker(0,3450)",
	"1 1 0 0 0 0 0:delay_start(0,5000) 40:kill(0,0) "
	"1500:restart_worker(0,3450)",
};

START_TEST(test_two_runs_after_a_delayed_start_and_a_restart)
{
	struct scenario_result result;

	ck_assert(scenario_play_text(orders[_i], &result));
	ck_assert(!result.without_effect);
	ck_assert_msg(!result.two_runs, "%s: %s", orders[_i], result.text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_restart");
	TCase *tc = tcase_create("lease_restart");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_two_runs_after_a_delayed_order, 0,
			    (int)(sizeof(failed) / sizeof(failed[0])));
	tcase_add_loop_test(tc,
			    test_two_runs_after_a_delayed_start_and_a_restart,
			    0, (int)(sizeof(orders) / sizeof(orders[0])));
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
