/*
 * No task has two runs at once: orders of faults, found by test_lease_orders,
 * that once started a second run. BERGAMOT_SHOW prints what
 * happens in each.
 */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "fake_scenario.h"

static void check_one_run(const char *text)
{
	struct scenario scenario;
	struct scenario_result result;

	ck_assert(scenario_read(&scenario, text));
	scenario.trace = getenv("BERGAMOT_SHOW") != NULL;
	scenario_play(&scenario, &result);
	ck_assert(!result.without_effect);
	ck_assert_msg(!result.two_runs, "%s: %s", text, result.text);
}

/* One list of a worker shows another leader's run, and ours to have ended. */
START_TEST(test_two_runs_after_a_run_was_found_in_place_of_ours)
{
	check_one_run("1 0 0 0 0 0 300:partition(2,3) 1000:heal(0,0)");
}
END_TEST

START_TEST(test_two_runs_after_a_run_was_found_by_another_relay)
{
	check_one_run("1 0 1 0 0 0 300:partition(2,2) 1000:heal(0,0)");
}
END_TEST

/* Ours ends after the stop of the other one, and before its end. */
START_TEST(test_two_runs_while_a_found_run_is_being_stopped)
{
	check_one_run("1 0 1 0 0 0 1300:cut_link(2,0) 2000:freeze(1,700)");
}
END_TEST

/* Its entry is lost behind a cut, where the former leader goes on. */
START_TEST(test_two_runs_after_the_entry_was_lost_in_a_cut)
{
	check_one_run("1 2 0 0 0 1 1300:partition(1,1) 1400:kill(1,0)");
}
END_TEST

START_TEST(test_two_runs_after_a_cancel_was_lost_in_a_cut)
{
	check_one_run("1 1 0 1 0 1 1300:partition(1,1) 1400:hang_up(0,0)");
}
END_TEST

/* Its stop was acknowledged by the worker's former process. */
START_TEST(test_two_runs_after_a_late_start_on_a_restarted_worker)
{
	check_one_run("1 0 0 0 1 1 0:delay_start(0,0) "
		      "100:restart_worker(0,0)");
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_two_runs", NULL, NULL,
			test_two_runs_after_a_run_was_found_in_place_of_ours,
			test_two_runs_after_a_run_was_found_by_another_relay,
			test_two_runs_while_a_found_run_is_being_stopped,
			test_two_runs_after_the_entry_was_lost_in_a_cut,
			test_two_runs_after_a_cancel_was_lost_in_a_cut,
			test_two_runs_after_a_late_start_on_a_restarted_worker);
}
