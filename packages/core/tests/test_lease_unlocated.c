/*
 * TWICE: a worker restarts under its id, and its new process acknowledges a
 * start before the leader knows of it. Only lists of runs and registrations
 * tell the start time of a process: once the later one is read, the run there
 * must not count as one of the former process.
 */
#include <stdio.h>

#include "base/tests/run_suite.h"
#include "core/crash_record.h"
#include "core/lease_pool.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define FENCE 5
#define PATIENT_MS 60000
#define LAPSE_MS 1100

static struct fake_orders *fake;
static struct lease_waiter waiter; /* for the job */
static char worker[32]; /* that has the run */

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

/* Starts the task; the start is acknowledged. */
static void start(void)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	job.remaining_ms = job.objective_ms = PATIENT_MS;
	waiter = job.waiter;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 1);
	snprintf(worker, sizeof(worker), "%s", fake->starts[0].worker);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	fake_orders_advance(fake, 20);
}

/* The registration of the worker's new process is read. */
static void read_restart(void)
{
	struct fake_orders_report report = { .id = worker,
					     .born_ms = fake->now_ms,
					     .milli = 4000 };

	fake_orders_restart_worker(fake, worker, fake->now_ms);
	fake_orders_report(fake, &report);
	fake_orders_advance(fake, 20);
}

/* The worker's pending hold is answered; it lists the run, or nothing. */
static void list(bool has_run)
{
	struct pool_listed_run run = { .task = TASK, .number = 1 };

	fake_orders_answer_hold(fake, worker, &run, has_run, NULL, 0);
}

static const struct crash_record *record(void)
{
	return crash_find(lease_crashes(fake->dispatch), TASK);
}

START_TEST(test_run_of_the_new_process_goes_on)
{
	struct pool_listed_end end = { 1, TASK, 1, POOL_DONE };

	start();
	read_restart();
	ck_assert_uint_eq(fake->start_count, 1);
	list(true);
	fake_orders_advance(fake, 100);
	fake_orders_answer_hold(fake, worker, NULL, 0, &end, 1);
	fake_orders_advance(fake, 20);
	ck_assert_uint_eq(fake->start_count, 1);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
}
END_TEST

/* No crash was under the task. */
START_TEST(test_run_of_the_new_process_is_not_charged)
{
	start();
	read_restart();
	list(true);
	ck_assert_ptr_null(record());
}
END_TEST

/* Its end is listed before it was ever listed as running. */
START_TEST(test_run_that_has_ended_in_the_new_process)
{
	struct pool_listed_end end = { 1, TASK, 1, POOL_DONE };

	start();
	read_restart();
	fake_orders_answer_hold(fake, worker, NULL, 0, &end, 1);
	fake_orders_advance(fake, 20);
	ck_assert_ptr_null(record());
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
}
END_TEST

START_TEST(test_run_that_the_new_process_does_not_list)
{
	start();
	read_restart();
	ck_assert_ptr_null(record());
	list(false);
	fake_orders_advance(fake, 20);
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_ptr_nonnull(record());
	ck_assert(record()->crashes[0].is_confirmed);
	ck_assert_uint_eq(record()->crashes[0].born_ms, 1);
}
END_TEST

/* The new process is out of reach: its lease, too, has lapsed by then. */
START_TEST(test_run_of_a_new_process_that_is_silent)
{
	uint64_t restart_ms;

	start();
	read_restart();
	restart_ms = fake->now_ms;
	while (fake->now_ms < restart_ms + LAPSE_MS + 100) {
		fake_orders_lose_hold(fake, worker);
		fake_orders_advance(fake, 10);
		if (fake->start_count > 1)
			break;
	}
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_uint_ge(fake->now_ms, restart_ms + LAPSE_MS - 100);
	ck_assert_ptr_nonnull(record());
}
END_TEST

/* The former process listed it, or was asked for its list after the answer. */
START_TEST(test_run_of_the_former_process_ends_at_once)
{
	start();
	fake_orders_advance(fake, 100);
	list(true);
	if (_i) {
		fake_orders_advance(fake, 10);
		list(true);
	}
	read_restart();
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_ptr_nonnull(record());
}
END_TEST

/* Its stop may have been acknowledged by the former process. */
START_TEST(test_run_of_the_new_process_is_stopped_again)
{
	size_t stops;

	start();
	lease_cancel(fake->dispatch, &waiter, ID, fake->now_ms);
	fake_orders_answer_stop(fake, fake_orders_stopped(fake, TASK), POOL_OK);
	stops = fake->stop_count;
	read_restart();
	fake_orders_advance(fake, 20);
	ck_assert_uint_gt(fake->stop_count, stops);
}
END_TEST

START_TEST(test_stopped_run_that_the_new_process_does_not_list)
{
	const struct pool_worker *w;

	start();
	lease_cancel(fake->dispatch, &waiter, ID, fake->now_ms);
	read_restart();
	w = pool_find_by_key(lease_pool(fake->dispatch),
			     crash_worker_key(worker));
	ck_assert_uint_eq(w->run_count, 1);
	list(false);
	ck_assert_uint_eq(w->run_count, 0);
}
END_TEST

/* The next leader learns of the crash, and finds out what it concerned. */
START_TEST(test_restart_is_announced_with_the_former_start_time)
{
	const struct crash_record *ahead;

	start();
	read_restart();
	lease_release(fake->dispatch);
	ahead = crash_find(lease_crashes_ahead(fake->dispatch), TASK);
	ck_assert_ptr_nonnull(ahead);
	ck_assert_uint_eq(ahead->crashes[0].born_ms, 1);
	ck_assert(!ahead->crashes[0].is_confirmed);
	ck_assert(ahead->crashes[0].is_doubtful);
}
END_TEST

static Suite *create_loops(void)
{
	Suite *suite = suite_create("lease_unlocated_loops");
	TCase *tc = tcase_create("lease_unlocated_loops");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_loop_test(tc, test_run_of_the_former_process_ends_at_once, 0,
			    2);
	suite_add_tcase(suite, tc);
	return suite;
}

int main(void)
{
	if (run_suite(create_loops()))
		return 1;
	return RUN_CASE("lease_unlocated", set_up, tear_down,
			test_run_of_the_new_process_goes_on,
			test_run_of_the_new_process_is_not_charged,
			test_run_that_has_ended_in_the_new_process,
			test_run_that_the_new_process_does_not_list,
			test_run_of_a_new_process_that_is_silent,
			test_run_of_the_new_process_is_stopped_again,
			test_stopped_run_that_the_new_process_does_not_list,
			test_restart_is_announced_with_the_former_start_time);
}
