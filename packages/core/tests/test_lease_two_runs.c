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

/* The entry, which remembers the lost cancel, is frozen. */
START_TEST(test_two_runs_after_a_cancel_was_lost_and_its_entry_froze)
{
	check_one_run("1 2 0 0 0 0 1300:partition(1,1) 1300:hang_up(0,0) "
		      "1400:freeze(1,3000)");
}
END_TEST

/* The entry, which remembers the lost cancel, does not reach the next leader.
 */
START_TEST(test_two_runs_after_a_cancel_was_lost_between_two_cuts)
{
	check_one_run("1 2 0 0 0 0 1300:partition(4,2) 1400:partition(1,1) "
		      "1400:hang_up(0,0)");
}
END_TEST

/* The leader that read the cancel had just lost its claim, and is cut off. */
START_TEST(test_two_runs_after_a_cancel_was_lost_in_a_change_of_the_leader)
{
	check_one_run("1 0 1 0 0 1 700:freeze(0,700) 800:hang_up(0,0) "
		      "1500:partition(1,2)");
}
END_TEST

/* No instance sees that the entry's link is lost: it is silent, then ends. */
START_TEST(test_two_runs_after_a_silent_entry_was_lost)
{
	check_one_run("1 2 0 0 0 0 300:partition(2,0) 310:kill(1,0) "
		      "900:partition(1,1)");
}
END_TEST

/*
 * The other side's leader, not heard for longer than CLOSED_MS, goes on; then
 * it loses the entry, too.
 */
START_TEST(test_two_runs_after_the_entry_was_lost_long_after_a_cut)
{
	check_one_run("1 2 0 0 0 0 300:partition(4,2) 4000:cut_link(1,0) "
		      "4050:kill(1,0)");
}
END_TEST

int main(void)
{
	return RUN_CASE(
		"lease_two_runs", NULL, NULL,
		test_two_runs_after_a_cancel_was_lost_and_its_entry_froze,
		test_two_runs_after_a_cancel_was_lost_between_two_cuts,
		test_two_runs_after_a_cancel_was_lost_in_a_change_of_the_leader,
		test_two_runs_after_a_silent_entry_was_lost,
		test_two_runs_after_the_entry_was_lost_long_after_a_cut);
}
