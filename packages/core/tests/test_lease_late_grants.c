/*
 * No task has two runs at once after an order whose lease counts from its
 * arrival, seconds late: it prolongs the lease of runs that are taken to have
 * lapsed, or starts one.
 *
 * BERGAMOT_SHOW prints what happens.
 */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "fake_scenario.h"

/* Orders of faults that once started a second run (issue 46). */
static const char *const orders[] = {
	"0 2 0 1 0 0 729:delay_start(0,4000) 1106:partition(4,1) 1248:kill(0,0)",
	"1 2 0 1 0 0 110:partition(4,1) 441:delay_start(0,4000) 1183:kill(1,0)",
	"1 0 0 1 0 0 164:delay_start(1,3000) 1519:cut_worker(1,0) "
	"1561:partition(2,3)",
	"1 2 0 0 0 1 787:freeze(1,3000) 2134:partition(4,1) "
	"2876:delay_start(0,3000)",
	"0 1 1 1 0 0 24:stop(0,0) 198:partition(2,1) 1540:delay_hold(0,4000)",
	"1 0 0 1 0 0 725:silence(2,500) 1044:partition(2,2) "
	"2386:delay_start(1,4000)",
	"1 0 0 1 0 0 188:delay_start(1,3000) 494:silence(20,500) "
	"636:partition(2,2)",
	"1 0 0 1 0 0 1317:cut_worker(1,1) 2696:delay_start(0,3000) "
	"4038:partition(2,3)",
};

START_TEST(test_two_runs_after_a_lease_was_granted_late)
{
	struct scenario scenario;
	struct scenario_result result;

	ck_assert(scenario_read(&scenario, orders[_i]));
	scenario.trace = getenv("BERGAMOT_SHOW") != NULL;
	scenario_play(&scenario, &result);
	ck_assert(!result.without_effect);
	ck_assert_msg(!result.two_runs, "%s: %s", orders[_i], result.text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_late_grants");
	TCase *tc = tcase_create("lease_late_grants");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_two_runs_after_a_lease_was_granted_late, 0,
			    (int)(sizeof(orders) / sizeof(orders[0])));
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
