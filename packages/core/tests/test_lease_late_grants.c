/*
 * No task has two runs at once after an order whose lease counts from its
 * arrival, seconds late: it prolongs the lease of runs that are taken to have
 * lapsed, or starts one.
 *
 * BERGAMOT_SHOW prints what happens.
 */
#include "base/tests/run_suite.h"
#include "core/late_task.h"
#include "fake_orders.h"
#include "fake_scenario.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define OTHER_ID "00000000000000a2"
#define OTHER_TASK OTHER_ID ".0.0.0"
#define FENCE 5
#define EARLIEST_LATE_MS 2000 /* an order is carried out late no sooner */
#define CLOCK_AHEAD_MS 5000 /* a fake worker's */
#define STEP_MS 10

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
	struct scenario_result result;

	ck_assert(scenario_play_text(orders[_i], &result));
	ck_assert(!result.without_effect);
	ck_assert_msg(!result.two_runs, "%s: %s", orders[_i], result.text);
}
END_TEST

static struct fake_orders *fake;

static void set_up(void)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	fake = fake_orders_create();
	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_lead(fake, FENCE);
	job.remaining_ms = job.objective_ms = 60000;
	fake_orders_submit(fake, &job);
}

static void tear_down(void)
{
	talloc_free(fake);
}

static const struct fake_orders_hold *last_hold(void)
{
	return &fake->holds[(fake->hold_count - 1) % FAKE_ORDERS_MAX];
}

/* A worker does nothing for a lower token than one that it has seen. */
START_TEST(test_token_rises_after_an_order_without_an_answer)
{
	fake_orders_answer_start(fake, fake_orders_started(fake, TASK),
				 POOL_OK);
	ck_assert_uint_eq(last_hold()->fence, FENCE);
	fake_orders_lose_hold(fake, "w1");
	ck_assert_uint_gt(last_hold()->fence, FENCE);
	/* It is still this leader's: the low bits tell leaders apart. */
	ck_assert_uint_eq(last_hold()->fence % POOL_FENCE_STEP, FENCE);
	ck_assert_uint_eq(pool_highest_fence(lease_pool(fake->dispatch)),
			  last_hold()->fence);
}
END_TEST

/* A hold that later orders have overtaken is refused for its lower token. */
START_TEST(test_own_token_is_not_another_leaders)
{
	const struct pool_worker *worker;

	fake_orders_advance(fake, 20);
	ck_assert_uint_eq(last_hold()->fence, FENCE);
	fake_orders_answer_start(fake, fake_orders_started(fake, TASK),
				 POOL_NO_ANSWER);
	fake_orders_fail_hold(fake, "w1", POOL_FENCED);
	worker = TAILQ_FIRST(pool_workers(lease_pool(fake->dispatch)));
	ck_assert_int_eq(worker->state, POOL_HELD);
	ck_assert_uint_gt(last_hold()->fence, FENCE);
	ck_assert(!last_hold()->answered);
}
END_TEST

/* All answers are lost: no lease lapses after an order that may be late. */
START_TEST(test_no_lease_outlasts_a_late_order)
{
	uint64_t limit_ms = fake->now_ms + CLOCK_AHEAD_MS + EARLIEST_LATE_MS;

	fake_orders_answer_start(fake, fake_orders_started(fake, TASK),
				 POOL_OK);
	for (int i = 0; i < 8000; i += STEP_MS) {
		ck_assert_uint_le(last_hold()->deadline_ms, limit_ms);
		fake_orders_advance(fake, STEP_MS);
		if (i % 100 == 0)
			fake_orders_lose_hold(fake, "w1");
	}
}
END_TEST

/* A start may be carried out for longer than the caller waits. */
START_TEST(test_job_that_waits_for_a_late_start_is_given_up_at_once)
{
	struct lease_submission job = fake_orders_submission(OTHER_ID, 1);
	struct late_tasks *late = pool_late_tasks(lease_pool(fake->dispatch));

	late_merge(late, OTHER_TASK, 1, fake->now_ms + 5000);
	job.remaining_ms = 1500;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_GIVEN_UP);
	ck_assert_ptr_null(fake_orders_started(fake, OTHER_TASK));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_late_grants");
	TCase *tc = tcase_create("lease_late_grants");
	TCase *units = tcase_create("orders");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(units, set_up, tear_down);
	tcase_add_test(units,
		       test_token_rises_after_an_order_without_an_answer);
	tcase_add_test(units, test_own_token_is_not_another_leaders);
	tcase_add_test(units, test_no_lease_outlasts_a_late_order);
	tcase_add_test(
		units,
		test_job_that_waits_for_a_late_start_is_given_up_at_once);
	suite_add_tcase(suite, units);
	tcase_add_loop_test(tc, test_two_runs_after_a_lease_was_granted_late, 0,
			    (int)(sizeof(orders) / sizeof(orders[0])));
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
