/*
 * A new leader starts no task before the workers have listed what they run: a
 * start that no member could tell it of may have been carried out late.
 */
#include "base/tests/run_suite.h"
#include "core/lease_pool.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define OTHER_ID "00000000000000a2"
#define OTHER_TASK OTHER_ID ".0.0.0"
#define FENCE 5
#define LATE_RUN 1 /* of a leader that was lost */

static struct fake_orders *fake;

/* Leads over two workers, with a job that its caller has sent again. */
static void set_up(void)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	fake = fake_orders_create();
	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_add_worker(fake, "w2", 4000);
	lease_lead(fake->dispatch, FENCE, fake->now_ms);
	job.remaining_ms = job.objective_ms = 5000;
	fake_orders_submit(fake, &job);
}

static void tear_down(void)
{
	talloc_free(fake);
}

static void submit_other_job(void)
{
	struct lease_submission job = fake_orders_submission(OTHER_ID, 1);

	fake_orders_submit(fake, &job);
}

/* The task waits for w1's list, and does not start beside the run in it. */
static void check_waits_for_late_run(void)
{
	struct pool_listed_run run = { TASK, LATE_RUN, 1 };

	fake_orders_advance(fake, 20);
	ck_assert_ptr_null(fake_orders_started(fake, TASK));
	fake_orders_answer_hold(fake, "w1", &run, 1, NULL, 0);
	ck_assert_ptr_null(fake_orders_started(fake, TASK));
	fake_orders_advance(fake, POOL_FIRST_LISTS_MS);
	ck_assert_ptr_null(fake_orders_started(fake, TASK));
}

START_TEST(test_two_runs_before_all_workers_have_listed_theirs)
{
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	check_waits_for_late_run();
}
END_TEST

START_TEST(test_two_runs_after_the_first_answer_was_lost)
{
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	fake_orders_lose_hold(fake, "w1");
	check_waits_for_late_run();
}
END_TEST

START_TEST(test_two_runs_before_a_draining_worker_has_listed_its)
{
	struct fake_orders_report report = { .id = "w1",
					     .born_ms = 1,
					     .number = 2,
					     .milli = 4000,
					     .draining = true };

	fake_orders_report(fake, &report);
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	check_waits_for_late_run();
}
END_TEST

/* A leader that is elected before it has read the list of workers. */
START_TEST(test_two_runs_before_listed_workers_have_answered)
{
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	fake_orders_advance(fake, POOL_FIRST_LISTS_MS);
	fake_orders_add_worker(fake, "w3", 4000);
	pool_note_list_read(lease_pool(fake->dispatch), fake->now_ms);
	submit_other_job();
	fake_orders_advance(fake, 20);
	ck_assert_ptr_null(fake_orders_started(fake, OTHER_TASK));
	fake_orders_answer_hold(fake, "w3", NULL, 0, NULL, 0);
	ck_assert_ptr_nonnull(fake_orders_started(fake, OTHER_TASK));
}
END_TEST

START_TEST(test_starts_once_all_have_answered)
{
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	ck_assert_ptr_nonnull(fake_orders_started(fake, TASK));
}
END_TEST

START_TEST(test_worker_that_is_lost_delays_no_task_for_long)
{
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	fake_orders_lose_hold(fake, "w1");
	fake_orders_lose_hold(fake, "w1");
	fake_orders_advance(fake, 20);
	ck_assert_ptr_nonnull(fake_orders_started(fake, TASK));
}
END_TEST

START_TEST(test_worker_without_any_answer_delays_no_task_for_long)
{
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	fake_orders_advance(fake, POOL_FIRST_LISTS_MS);
	ck_assert_ptr_nonnull(fake_orders_started(fake, TASK));
}
END_TEST

/* Workers restart all the time; no other task waits for one of them. */
START_TEST(test_worker_that_restarts_later_delays_no_task)
{
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_restart_worker(fake, "w1", 2);
	submit_other_job();
	ck_assert_ptr_nonnull(fake_orders_started(fake, OTHER_TASK));
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_first_lists", set_up, tear_down,
			test_two_runs_before_all_workers_have_listed_theirs,
			test_two_runs_after_the_first_answer_was_lost,
			test_two_runs_before_a_draining_worker_has_listed_its,
			test_two_runs_before_listed_workers_have_answered,
			test_starts_once_all_have_answered,
			test_worker_that_is_lost_delays_no_task_for_long,
			test_worker_without_any_answer_delays_no_task_for_long,
			test_worker_that_restarts_later_delays_no_task);
}
