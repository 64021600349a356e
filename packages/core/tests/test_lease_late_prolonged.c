/*
 * A run that a late start begins is taken to have ended one lease after the
 * last moment at which the start may be carried out (12.5 s and a lease). Other
 * late orders to that worker prolong its lease: it is open for longer, and its
 * task starts elsewhere. No delay is longer than 12 s.
 *
 * BERGAMOT_SHOW prints what happens.
 */
#include "base/tests/run_suite.h"
#include "fake_scenario.h"

static const char *const orders[] = {
	/* A hold 0.9 s after the start, both late; the worker is cut off. */
	"0 0 0 0 0 0 0:delay_start(0,12000) 10:partition(0,1) "
	"700:heal_workers(0,0) 701:delay_hold(0,12000) 1200:partition(0,1) "
	"12000:kill(2,0)",
	/* Any later hold, if the worker restarts behind the cut. */
	"0 0 0 0 0 0 0:delay_start(0,11700) 3000:delay_hold(0,9600) "
	"3100:partition(0,1) 3200:restart_worker(0,500) 10000:kill(2,0)",
};

START_TEST(test_two_runs_after_a_late_run_was_prolonged)
{
	struct scenario_result result;

	ck_assert(scenario_play_text(orders[_i], &result));
	ck_assert(!result.without_effect);
	ck_assert_msg(!result.two_runs, "%s: %s", orders[_i], result.text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_late_prolonged");
	TCase *tc = tcase_create("lease_late_prolonged");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_two_runs_after_a_late_run_was_prolonged, 0,
			    (int)(sizeof(orders) / sizeof(orders[0])));
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
