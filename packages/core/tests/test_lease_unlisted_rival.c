/*
 * TWICE: two leaders lead at the same time for longer than a worker's
 * registration is remembered; after that, one hands its job to the other, which
 * has dropped the worker that runs the task.
 *
 * BERGAMOT_SHOW prints what happens.
 */
#include "base/tests/run_suite.h"
#include "fake_scenario.h"

static const char *const orders[] = {
	/* The leader of the smaller side gives up its claim at the heal. */
	"0 0 0 0 0 0 0:cut_store(0,0) 0:partition(1,1) 0:unregister(0,33500) "
	"0:wait(0,32000) 300:heal(0,0)",
	"0 0 1 0 0 0 0:cut_store(0,0) 0:partition(1,1) 0:unregister(0,33500) "
	"0:wait(0,32000) 300:heal(0,0)",
	/* The worker is listed again before its lease has lapsed. */
	"0 0 0 0 0 0 0:cut_store(0,0) 0:partition(1,1) 0:unregister(0,32800) "
	"0:wait(0,32000) 300:heal(0,0)",
	/* The next leader is lost before it has listed the worker. */
	"0 0 0 0 0 0 0:cut_store(0,0) 0:partition(1,1) 0:unregister(0,33500) "
	"0:wait(0,32000) 300:heal(0,0) 700:kill(1,0)",
	/* Only the worker and its leader are cut off from the store. */
	"1 1 0 0 0 0 0:cut_store(0,0) 0:unregister(0,35000) 0:wait(0,32000) "
	"300:kill(0,0)",
	"1 1 0 0 0 0 0:cut_store(0,0) 0:unregister(0,35000) 0:wait(0,32000) "
	"300:stop(0,0)",
	"1 1 1 0 0 0 0:cut_store(0,0) 0:unregister(0,35000) 0:wait(0,32000) "
	"300:freeze(0,1500)",
	"0 0 0 0 0 0 0:cut_store(0,0) 0:unregister(0,35000) 0:wait(0,32000) "
	"300:stop(0,0)",
	/* The entry has joined the job after its task had started. */
	"1 2 0 0 0 0 0:cut_store(0,0) 0:unregister(0,36000) 0:wait(0,32000) "
	"200:hang_up(0,0) 1600:kill(0,0)",
};

START_TEST(test_two_runs_on_a_worker_that_the_next_leader_has_dropped)
{
	struct scenario_result result;

	ck_assert(scenario_play_text(orders[_i], &result));
	ck_assert(!result.without_effect);
	ck_assert(!result.no_start);
	ck_assert_msg(!result.two_runs, "%s: %s", orders[_i], result.text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_unlisted_rival");
	TCase *tc = tcase_create("lease_unlisted_rival");

	tcase_add_loop_test(
		tc, test_two_runs_on_a_worker_that_the_next_leader_has_dropped,
		0, sizeof(orders) / sizeof(orders[0]));
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
