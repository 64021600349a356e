/*
 * A leader that is cut off from the next one can't tell it of a start without
 * an answer, and the next one does not reach the worker.
 *
 * BERGAMOT_SHOW prints what happens.
 */
#include "base/tests/run_suite.h"
#include "fake_scenario.h"

static const char *const orders[] = {
	/* The sender lives and leads, behind a cut; its worker restarts. */
	"0 1 0 0 0 0 0:partition(1,1) 0:delay_start(0,5000) 400:hang_up(0,0) "
	"3000:restart_worker(0,1950)",
	"0 1 0 0 0 0 0:cut_link(1,0) 0:cut_link(2,0) 0:delay_start(0,5000) "
	"400:hang_up(0,0) 3000:restart_worker(0,1950)",
	/* The same attempt: the entry is on the other side. */
	"1 1 0 0 0 0 0:delay_start(0,5000) 8:partition(1,1) "
	"3000:restart_worker(0,1950)",
	/* Without a restart: the sender loses the worker, too. */
	"0 1 0 0 0 0 0:partition(1,1) 0:delay_start(0,4000) "
	"20:cut_worker(0,0) 400:hang_up(0,0)",
};

START_TEST(test_two_runs_after_a_start_behind_a_cut)
{
	struct scenario_result result;

	ck_assert(scenario_play_text(orders[_i], &result));
	ck_assert(!result.without_effect);
	ck_assert_msg(!result.two_runs, "%s: %s", orders[_i], result.text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_late_cut_off");
	TCase *tc = tcase_create("lease_late_cut_off");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_two_runs_after_a_start_behind_a_cut, 0,
			    (int)(sizeof(orders) / sizeof(orders[0])));
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
