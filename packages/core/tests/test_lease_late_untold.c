/*
 * The next leader is not told of a start without an answer, though its sender
 * lived on for long after it gave the start up, and starts the task elsewhere.
 *
 * BERGAMOT_SHOW prints what happens.
 */
#include "base/tests/run_suite.h"
#include "fake_scenario.h"

static const char *const orders[] = {
	/*
	 * The job is cancelled before its start counts as lost: the run is
	 * being stopped, and is told of only once it has been closed.
	 */
	"1 2 0 0 0 0 0:delay_start(0,3000) 5:hang_up(0,0) 6:partition(0,1) "
	"900:kill(0,0)",
	/*
	 * A member that has a link, but is no candidate yet (0.4 s after its
	 * start), is not told, nor later, once it is one.
	 */
	"1 0 0 0 1 0 300:kill(1,0) 300:kill(2,0) 600:restart_worker(0,0) "
	"1590:delay_start(0,3500) 1610:partition(0,1) 1690:kill(0,0)",
};

START_TEST(test_two_runs_after_a_start_that_was_not_told)
{
	struct scenario_result result;

	ck_assert(scenario_play_text(orders[_i], &result));
	ck_assert(!result.without_effect);
	ck_assert_msg(!result.two_runs, "%s: %s", orders[_i], result.text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_late_untold");
	TCase *tc = tcase_create("lease_late_untold");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_two_runs_after_a_start_that_was_not_told,
			    0, (int)(sizeof(orders) / sizeof(orders[0])));
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
