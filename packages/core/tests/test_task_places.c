/*
 * TWICE: a leader is handed a job with the workers that may run its tasks for
 * an earlier leader; a task waits for the list of its worker, or until the run
 * has lapsed.
 */
#include "base/tests/run_suite.h"
#include "core/crash_record.h"
#include "core/lease_pool.h"
#include "core/task_places.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define OTHER_TASK ID ".0.0.1"
#define FENCE 5
#define CLOSED_IN_MS 1100
#define PATIENT_MS 60000

static struct fake_orders *fake;

static void set_up(void)
{
	fake = fake_orders_create();
	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_add_worker(fake, "w2", 4000);
	fake_orders_lead(fake, FENCE);
}

static void tear_down(void)
{
	talloc_free(fake);
}

/* A job of two tasks, the first of which an earlier leader ran on a worker. */
static void submit(const char *worker, uint32_t count)
{
	struct lease_submission job = fake_orders_submission(ID, 2);
	uint64_t workers[] = { crash_worker_key(worker), 0, 0 };

	job.remaining_ms = job.objective_ms = PATIENT_MS;
	job.handed = 1;
	job.closed_in_ms = CLOSED_IN_MS;
	job.places = (struct task_places){ workers, count };
	fake_orders_submit(fake, &job);
}

static void answer_all_holds(void)
{
	fake_orders_advance(fake, 60);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	fake_orders_advance(fake, 20);
}

START_TEST(test_task_of_an_unlisted_worker_waits_for_the_lapse)
{
	uint64_t begin_ms = fake->now_ms;

	submit("w3", 2);
	answer_all_holds();
	ck_assert_ptr_null(fake_orders_started(fake, TASK));
	ck_assert_ptr_nonnull(fake_orders_started(fake, OTHER_TASK));
	fake_orders_advance(fake, begin_ms + CLOSED_IN_MS - 10 - fake->now_ms);
	ck_assert_ptr_null(fake_orders_started(fake, TASK));
	fake_orders_advance(fake, 30);
	ck_assert_ptr_nonnull(fake_orders_started(fake, TASK));
}
END_TEST

START_TEST(test_task_of_a_worker_that_lists_no_run_starts)
{
	submit("w1", 2);
	answer_all_holds();
	ck_assert_ptr_nonnull(fake_orders_started(fake, TASK));
}
END_TEST

START_TEST(test_task_of_a_worker_that_is_listed_late_is_found)
{
	struct pool_listed_run run = { .task = TASK, .number = 1 };

	submit("w3", 2);
	answer_all_holds();
	fake_orders_add_worker(fake, "w3", 4000);
	fake_orders_advance(fake, 20);
	fake_orders_answer_hold(fake, "w3", &run, 1, NULL, 0);
	fake_orders_advance(fake, CLOSED_IN_MS);
	ck_assert_ptr_null(fake_orders_started(fake, TASK));
}
END_TEST

START_TEST(test_places_of_another_number_of_tasks_are_dropped)
{
	submit("w3", 3);
	answer_all_holds();
	ck_assert_ptr_nonnull(fake_orders_started(fake, TASK));
}
END_TEST

START_TEST(test_places_are_set_by_step)
{
	struct job_step steps[] = { { .count = 2 }, { .count = 3 } };
	struct step_job job = { .steps = steps, .step_count = 2 };
	struct task_places places = { NULL, 0 };

	task_places_set(fake, &places, &job, 1, 2, 0, false);
	ck_assert_uint_eq(places.count, 0);
	task_places_set(fake, &places, &job, 1, 2, 7, false);
	ck_assert_uint_eq(places.count, 5);
	ck_assert_uint_eq(places.workers[4], 7);
	task_places_set(fake, &places, &job, 1, 2, 8, true);
	ck_assert_uint_eq(places.workers[4], 7);
	task_places_set(fake, &places, &job, 0, 1, 8, true);
	ck_assert_uint_eq(places.workers[1], 8);
	task_places_set(fake, &places, &job, 1, 2, 0, false);
	ck_assert_uint_eq(places.workers[4], 0);
}
END_TEST

int main(void)
{
	return RUN_CASE("task_places", set_up, tear_down,
			test_task_of_an_unlisted_worker_waits_for_the_lapse,
			test_task_of_a_worker_that_lists_no_run_starts,
			test_task_of_a_worker_that_is_listed_late_is_found,
			test_places_of_another_number_of_tasks_are_dropped,
			test_places_are_set_by_step);
}
