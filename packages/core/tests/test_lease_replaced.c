/*
 * Another process, with an id of its own, listens at a worker's address: it
 * refuses all calls to the former one.
 */
#include <string.h>

#include "base/tests/run_suite.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define BUDGET_MS 30000
#define STEP_MS 10
#define MAX_STOPS 10 /* of one run, until its lease has lapsed */
#define LATE_MS 16000 /* a late start may have begun an open run */

static struct fake_orders *fake;

static void set_up(void)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	fake = fake_orders_create();
	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_add_worker(fake, "w2", 4000);
	fake_orders_lead(fake, 5);
	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
}

static void tear_down(void)
{
	talloc_free(fake);
}

/*
 * A start without an answer does not keep the task from starting elsewhere,
 * once it can no longer be carried out.
 */
START_TEST(test_task_waits_forever_for_a_replaced_worker)
{
	const struct fake_orders_order *start = fake_orders_started(fake, TASK);
	const char *worker = start->worker;
	const struct fake_orders_order *stop;
	uint64_t answered = 0;
	size_t starts;

	fake_orders_answer_start(fake, start, POOL_NO_ANSWER);
	for (int i = 0; i < 3 * FAKE_ORDERS_LEASE_MS; i += STEP_MS) {
		fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
		if (fake_orders_stopped(fake, TASK))
			break;
		fake_orders_advance(fake, STEP_MS);
	}
	starts = fake->start_count;
	for (size_t i = 0; i < starts; i++) {
		ck_assert_uint_eq(fake->starts[i].number, 1);
		ck_assert_str_eq(fake->starts[i].worker, worker);
	}
	for (int i = 0; i < LATE_MS + 3 * FAKE_ORDERS_LEASE_MS; i += STEP_MS) {
		fake_orders_fail_hold(fake, worker, POOL_RESTARTED);
		stop = fake_orders_stopped(fake, TASK);
		if (fake->stop_count > answered) {
			answered = fake->stop_count;
			fake_orders_answer_stop(fake, stop, POOL_RESTARTED);
		}
		fake_orders_advance(fake, STEP_MS);
	}
	ck_assert_uint_le(fake->stop_count, MAX_STOPS);
	ck_assert_uint_eq(fake->start_count, starts + 1);
	ck_assert_uint_eq(fake_orders_started(fake, TASK)->number, 2);
	ck_assert_str_ne(fake_orders_started(fake, TASK)->worker, worker);
}
END_TEST

/* A start that was refused was not carried out: the task starts elsewhere. */
START_TEST(test_start_refused_by_another_process_starts_elsewhere)
{
	const struct fake_orders_order *start = fake_orders_started(fake, TASK);
	const char *worker = start->worker;

	fake_orders_answer_start(fake, start, POOL_RESTARTED);
	fake_orders_advance(fake, STEP_MS);
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_str_ne(fake_orders_started(fake, TASK)->worker, worker);
	ck_assert_uint_eq(fake->stop_count, 0);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_replaced", set_up, tear_down,
			test_task_waits_forever_for_a_replaced_worker,
			test_start_refused_by_another_process_starts_elsewhere);
}
