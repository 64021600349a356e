/*
 * A start that is known to have been carried out, as its answer came late or
 * its worker lists its run, can't be carried out again. Its task must not wait
 * for 13.5 s under the next leader, nor its job be given up for that.
 */
#include "base/tests/run_suite.h"
#include "core/lease_pool.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define FENCE 5
#define SLOW_MS 30 /* an answer that is late, but within the call's timeout */

static struct fake_orders *fake;

static void set_up(void)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	fake = fake_orders_create();
	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_lead(fake, FENCE);
	job.remaining_ms = job.objective_ms = 5000;
	fake_orders_submit(fake, &job);
	ck_assert_ptr_nonnull(fake_orders_started(fake, TASK));
	fake_orders_advance(fake, SLOW_MS);
}

static void tear_down(void)
{
	talloc_free(fake);
}

/* Leads again, and gets the job again. */
static void check_it_starts(void)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	size_t starts = fake->start_count;

	lease_release(fake->dispatch);
	ck_assert_uint_eq(pool_late_until_ms(lease_pool(fake->dispatch), TASK),
			  0);
	fake_orders_advance(fake, 2000);
	fake_orders_lead(fake, FENCE + POOL_FENCE_STEP);
	job.remaining_ms = job.objective_ms = 5000;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->answer_count, 0);
	ck_assert_uint_gt(fake->start_count, starts);
}

START_TEST(test_start_that_is_answered_slowly)
{
	fake_orders_answer_start(fake, fake_orders_started(fake, TASK),
				 POOL_OK);
	check_it_starts();
}
END_TEST

START_TEST(test_start_whose_run_is_listed)
{
	struct pool_listed_run run = { TASK,
				       fake_orders_started(fake, TASK)->number,
				       1 };

	fake_orders_answer_hold(fake, "w1", &run, 1, NULL, 0);
	check_it_starts();
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_late_known", set_up, tear_down,
			test_start_that_is_answered_slowly,
			test_start_whose_run_is_listed);
}
