/*
 * TWICE: the leader tells the entries of a job of each start with the order,
 * and of its outcome once that is known; tasks whose start an entry hands on
 * wait.
 */
#include "base/tests/run_suite.h"
#include "core/lease_pool.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define FENCE 5
#define ENTRY 2 /* another one than that of fake_orders_submission */
#define PATIENT_MS 60000
#define OVER_MS 16000

static struct fake_orders *fake;

static void set_up(void)
{
	fake = fake_orders_create();
	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_lead(fake, FENCE);
}

static void tear_down(void)
{
	talloc_free(fake);
}

static struct lease_submission patient_job(void)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	job.remaining_ms = job.objective_ms = PATIENT_MS;
	return job;
}

/* Starts the only task of a job. */
static const struct fake_orders_order *start(void)
{
	struct lease_submission job = patient_job();
	const struct fake_orders_order *order;

	fake_orders_submit(fake, &job);
	order = fake_orders_started(fake, TASK);
	ck_assert_ptr_nonnull(order);
	return order;
}

static struct pool_listed_run listed(const struct fake_orders_order *order)
{
	return (struct pool_listed_run){
		.task = TASK,
		.number = order->number,
	};
}

START_TEST(test_start_is_told_with_the_order)
{
	const struct fake_orders_order *order = start();

	ck_assert_uint_eq(fake->open.count, 1);
	ck_assert_uint_eq(fake->open.rows[0].number, order->number);
	ck_assert_uint_gt(fake->open.rows[0].over_ms, fake->now_ms + 13000);
}
END_TEST

START_TEST(test_answered_start_is_settled)
{
	fake_orders_answer_start(fake, start(), POOL_OK);
	ck_assert_uint_eq(fake->open.count, 0);
}
END_TEST

START_TEST(test_refused_start_is_settled)
{
	fake_orders_answer_start(fake, start(), POOL_DOES_NOT_FIT);
	ck_assert_uint_eq(fake->open.count, 0);
}
END_TEST

START_TEST(test_listed_start_is_settled)
{
	const struct fake_orders_order *order = start();
	struct pool_listed_run run = listed(order);

	fake_orders_answer_start(fake, order, POOL_NO_ANSWER);
	ck_assert_uint_eq(fake->open.count, 1);
	fake_orders_answer_hold(fake, "w1", &run, 1, NULL, 0);
	ck_assert_uint_eq(fake->open.count, 0);
}
END_TEST

START_TEST(test_start_whose_end_is_listed_is_settled)
{
	const struct fake_orders_order *order = start();
	struct pool_listed_end end = {
		.number_of_end = 1,
		.task = TASK,
		.number = order->number,
		.how = POOL_FAILED,
	};

	fake_orders_answer_start(fake, order, POOL_NO_ANSWER);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	for (uint32_t i = 0; i < fake->open.count; i++)
		ck_assert_uint_ne(fake->open.rows[i].number, order->number);
}
END_TEST

START_TEST(test_repeated_start_stays_open)
{
	const struct fake_orders_order *order = start();
	struct pool_listed_run run = listed(order);

	fake_orders_advance(fake, 20);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert(fake->open.rows[0].is_repeated);
	fake_orders_answer_hold(fake, "w1", &run, 1, NULL, 0);
	ck_assert_uint_eq(fake->open.count, 1);
}
END_TEST

/* Another entry is sent the job by its caller. */
START_TEST(test_new_waiter_is_told_of_open_starts)
{
	struct lease_submission job = patient_job();

	start();
	fake->open.count = 0;
	job.waiter.entry = ENTRY;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->open.count, 1);
	ck_assert_uint_eq(fake->open_told_to, ENTRY);
}
END_TEST

/* It knows of a start with the same number, under a lost leader. */
START_TEST(test_new_waiter_keeps_the_start_of_another_leader)
{
	struct lease_submission job = patient_job();
	struct open_start other = { .number = 1,
				    .over_ms = fake->now_ms + OVER_MS };

	fake_orders_answer_start(fake, start(), POOL_OK);
	open_starts_add(fake, &fake->open, &other, fake->now_ms);
	job.waiter.entry = ENTRY;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->open_told_to, ENTRY);
	ck_assert_uint_eq(fake->open.count, 1);
}
END_TEST

/* The same once the first job was given up, for as long as its start counts. */
START_TEST(test_entry_is_told_of_starts_before_its_job)
{
	struct lease_submission job = patient_job();

	fake_orders_answer_start(fake, start(), POOL_NO_ANSWER);
	lease_cancel(fake->dispatch, &job.waiter, ID, fake->now_ms);
	fake->open.count = 0;
	fake_orders_advance(fake, 3000);
	job.waiter.entry = ENTRY;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->open.count, 1);
	ck_assert_uint_eq(fake->open.rows[0].number, 0);
	ck_assert_uint_eq(fake->open_told_to, ENTRY);
}
END_TEST

static void submit_with_start(void)
{
	struct lease_submission job = patient_job();
	struct open_start open = {
		.number = 1,
		.over_ms = fake->now_ms + OVER_MS,
	};

	job.handed = 1;
	job.open = (struct open_starts){ &open, 1 };
	fake_orders_submit(fake, &job);
}

START_TEST(test_task_waits_for_a_start_that_is_handed_on)
{
	submit_with_start();
	fake_orders_advance(fake, OVER_MS - 100);
	ck_assert_uint_eq(fake->start_count, 0);
	fake_orders_advance(fake, 110);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/* The job has ended at an entry, and is sent again through another one. */
START_TEST(test_task_waits_for_a_start_of_an_ended_job)
{
	struct lease_submission job = patient_job();
	struct open_start open = {
		.number = 1,
		.over_ms = fake->now_ms + OVER_MS,
	};
	struct open_starts starts = { &open, 1 };

	lease_note_open_starts(fake->dispatch, ENTRY, ID, &starts,
			       fake->now_ms);
	fake_orders_submit(fake, &job);
	fake_orders_advance(fake, OVER_MS - 100);
	ck_assert_uint_eq(fake->start_count, 0);
	/* Its entry is told of it, too. */
	ck_assert_uint_eq(fake->open.count, 1);
	fake_orders_advance(fake, 110);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/* A start that is handed on has been carried out: its run counts. */
START_TEST(test_run_of_a_start_that_is_handed_on_is_found)
{
	struct pool_listed_run run = { .task = TASK, .number = 1 };
	struct pool_listed_end end = {
		.number_of_end = 1,
		.task = TASK,
		.number = 1,
		.how = POOL_DONE,
	};

	submit_with_start();
	pool_probe_all(lease_pool(fake->dispatch), fake->now_ms);
	fake_orders_advance(fake, 100);
	fake_orders_answer_hold(fake, "w1", &run, 1, NULL, 0);
	fake_orders_advance(fake, 100);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->start_count, 0);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
}
END_TEST

/* The entry knows of one start; the leader waits for another, longer. */
START_TEST(test_entry_is_told_of_another_start_of_its_task)
{
	struct lease_submission job = patient_job();
	struct open_start open = {
		.number = 1,
		.over_ms = fake->now_ms + OVER_MS - 1000 * (_i == 1),
	};
	struct open_start other = {
		.number = 5,
		.over_ms = fake->now_ms + OVER_MS,
	};
	struct open_starts others = { &other, 1 };

	lease_note_open_starts(fake->dispatch, ENTRY, ID, &others,
			       fake->now_ms);
	job.handed = 1;
	job.open = (struct open_starts){ &open, 1 };
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->open.count, 1);
	ck_assert_uint_eq(fake->open.rows[0].number, other.number);
}
END_TEST

/*
 * A job is joined whose start by a lost leader has the number of this leader's
 * own run: the task waits for it once that run is over.
 */
START_TEST(test_start_with_the_number_of_an_own_run)
{
	struct lease_submission job = patient_job();
	struct open_start open = {
		.number = start()->number,
		.over_ms = fake->now_ms + OVER_MS,
	};

	job.waiter.entry = ENTRY;
	job.handed = 1;
	job.closed_in_ms = 1000;
	job.open = (struct open_starts){ &open, 1 };
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, fake_orders_started(fake, TASK),
				 POOL_UNHEALTHY);
	fake_orders_advance(fake, 5000);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/* The run of the only start is found and fails: nothing is late any more. */
START_TEST(test_task_whose_start_was_found_is_tried_again_at_once)
{
	struct pool_listed_run run = { .task = TASK, .number = 1 };
	struct pool_listed_end end = {
		.number_of_end = 1,
		.task = TASK,
		.number = 1,
		.how = POOL_FAILED,
	};
	struct open_start told = { .number = 1, .over_ms = OVER_MS };

	open_starts_add(fake, &fake->open, &told, 0); /* by a former leader */
	submit_with_start();
	pool_probe_all(lease_pool(fake->dispatch), fake->now_ms);
	fake_orders_advance(fake, 100);
	if (_i) {
		fake_orders_answer_hold(fake, "w1", &run, 1, NULL, 0);
		ck_assert_uint_eq(fake->open.count, 0);
		fake_orders_advance(fake, 100);
	}
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	fake_orders_advance(fake, 1000);
	ck_assert_uint_eq(fake->answer_count, 0);
	ck_assert_uint_ge(fake->start_count, 1);
}
END_TEST

static void add_loop(TCase *tc, const TTest *test)
{
	tcase_add_loop_test(tc, test, 0, 2);
}

static Suite *create_loops(void)
{
	Suite *suite = suite_create("lease_open_starts_loops");
	TCase *tc = tcase_create("lease_open_starts_loops");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	add_loop(tc, test_entry_is_told_of_another_start_of_its_task);
	add_loop(tc, test_task_whose_start_was_found_is_tried_again_at_once);
	suite_add_tcase(suite, tc);
	return suite;
}

int main(void)
{
	if (run_suite(create_loops()))
		return 1;
	return RUN_CASE("lease_open_starts", set_up, tear_down,
			test_start_is_told_with_the_order,
			test_answered_start_is_settled,
			test_refused_start_is_settled,
			test_listed_start_is_settled,
			test_start_whose_end_is_listed_is_settled,
			test_repeated_start_stays_open,
			test_new_waiter_is_told_of_open_starts,
			test_new_waiter_keeps_the_start_of_another_leader,
			test_entry_is_told_of_starts_before_its_job,
			test_task_waits_for_a_start_that_is_handed_on,
			test_task_waits_for_a_start_of_an_ended_job,
			test_start_with_the_number_of_an_own_run,
			test_run_of_a_start_that_is_handed_on_is_found);
}
