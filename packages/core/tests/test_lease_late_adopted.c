/*
 * A new leader gets a former leader's job before its workers have answered. A
 * start of its task had no answer, as its answer was lost, but its run is open.
 * The job must not be given up before the workers can list that run.
 */
#include "base/tests/run_suite.h"
#include "core/late_task.h"
#include "core/lease_pool.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define FENCE 5
#define RUN_NUMBER 1
#define LATE_MS 13000 /* as a member tells */
#define CALLER_MS 5000

static struct fake_orders *fake;

static void set_up(void)
{
	fake = fake_orders_create();
	fake_orders_add_worker(fake, "w1", 4000);
}

static void tear_down(void)
{
	talloc_free(fake);
}

START_TEST(test_open_run_is_found_after_a_change_of_the_leader)
{
	struct late_tasks *late = pool_late_tasks(lease_pool(fake->dispatch));
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_run run = { TASK, RUN_NUMBER, 1 };
	struct pool_listed_end end = { 1, TASK, RUN_NUMBER, POOL_DONE };

	late_merge(late, TASK, 1, fake->now_ms + LATE_MS);
	lease_lead(fake->dispatch, FENCE, fake->now_ms);
	job.handed = 1;
	job.remaining_ms = job.objective_ms = CALLER_MS;
	fake_orders_submit(fake, &job);
	ck_assert_msg(!fake->answer_count, "the job has ended: %s",
		      lease_end_text(fake->answers[0].end));
	fake_orders_answer_hold(fake, "w1", &run, 1, NULL, 0);
	fake_orders_advance(fake, 50);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
}
END_TEST

/* As a control: its caller waits for longer than the start may be late. */
START_TEST(test_open_run_is_found_for_a_patient_caller)
{
	struct late_tasks *late = pool_late_tasks(lease_pool(fake->dispatch));
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_run run = { TASK, RUN_NUMBER, 1 };
	struct pool_listed_end end = { 1, TASK, RUN_NUMBER, POOL_DONE };

	late_merge(late, TASK, 1, fake->now_ms + LATE_MS);
	lease_lead(fake->dispatch, FENCE, fake->now_ms);
	job.handed = 1;
	job.remaining_ms = job.objective_ms = LATE_MS + CALLER_MS;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->answer_count, 0);
	fake_orders_answer_hold(fake, "w1", &run, 1, NULL, 0);
	fake_orders_advance(fake, 50);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_late_adopted", set_up, tear_down,
			test_open_run_is_found_after_a_change_of_the_leader,
			test_open_run_is_found_for_a_patient_caller);
}
