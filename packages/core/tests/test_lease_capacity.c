/*
 * No start brings a worker over its capacity, whichever of its reports and
 * answers are lost or late and whoever led before: a worker may start whatever
 * it is told to.
 */
#include <string.h>

#include "base/tests/run_suite.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define OTHER_ID "00000000000000a2"

static struct fake_orders *fake;

static void set_up(void)
{
	fake = fake_orders_create();
}

static void tear_down(void)
{
	talloc_free(fake);
}

static const struct pool_worker *worker(const char *id)
{
	const struct pool_worker *w;

	TAILQ_FOREACH(w, pool_workers(lease_pool(fake->dispatch)), entry)
		if (!strcmp(w->id, id))
			return w;
	return NULL;
}

/*
 * The demand of a run whose job is not known is not known either: it may use
 * the whole worker until its end is listed, also when its stop is acknowledged.
 */
START_TEST(test_start_beyond_capacity_beside_a_found_run_being_stopped)
{
	struct lease_submission job = fake_orders_submission(OTHER_ID, 1);
	struct pool_listed_run row = { TASK, 1, 10 };
	struct pool_listed_end end = { 1, TASK, 1, POOL_STOPPED };

	fake_orders_add_worker(fake, "w1", 1000);
	lease_lead(fake->dispatch, 5, fake->now_ms);
	fake_orders_answer_hold(fake, "w1", &row, 1, NULL, 0);
	fake_orders_submit(fake, &job);
	fake_orders_advance(fake, 450);
	ck_assert_uint_eq(fake->stop_count, 1);
	fake_orders_answer_stop(fake, &fake->stops[0], POOL_OK);
	fake_orders_advance(fake, FAKE_ORDERS_STOP_MS);
	ck_assert_uint_eq(fake->start_count, 0);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/* The same for a run of a known job whose task has another run. */
START_TEST(test_start_beyond_capacity_beside_a_second_run_being_stopped)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission other = fake_orders_submission(OTHER_ID, 1);
	struct pool_listed_run row = { TASK, 9, 10 };
	struct pool_listed_end end = { 1, TASK, 9, POOL_STOPPED };

	fake_orders_add_worker(fake, "w1", 1000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_add_worker(fake, "w2", 1000);
	fake_orders_advance(fake, 10);
	fake_orders_answer_hold(fake, "w2", &row, 1, NULL, 0);
	ck_assert_uint_eq(fake->stop_count, 1);
	fake_orders_submit(fake, &other);
	fake_orders_answer_stop(fake, &fake->stops[0], POOL_OK);
	fake_orders_advance(fake, FAKE_ORDERS_STOP_MS);
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_answer_hold(fake, "w2", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->start_count, 2);
}
END_TEST

/* An adopted run has the demand of its task, also once it is given up. */
START_TEST(test_adopted_run_uses_its_demand)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission other = fake_orders_submission(OTHER_ID, 1);
	struct pool_listed_run row = { TASK, 1, 10 };

	job.handed = 1;
	job.closed_in_ms = 1100;
	fake_orders_add_worker(fake, "w1", 1500);
	lease_lead(fake->dispatch, 5, fake->now_ms);
	fake_orders_answer_hold(fake, "w1", &row, 1, NULL, 0);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(worker("w1")->used.cpu_milli, 1000);
	fake_orders_submit(fake, &other);
	lease_cancel(fake->dispatch, &job.waiter, ID, fake->now_ms);
	fake_orders_answer_stop(fake, fake_orders_stopped(fake, TASK), POOL_OK);
	fake_orders_advance(fake, FAKE_ORDERS_STOP_MS);
	ck_assert_uint_eq(worker("w1")->used.cpu_milli, 1000);
	ck_assert_uint_eq(fake->start_count, 0);
}
END_TEST

/* Reports the capacity of a worker's process that started at born_ms. */
static void report(const char *id, uint32_t milli, uint64_t born_ms)
{
	static const char *const labels[] = { "a", NULL };
	struct pool_registration registration = {
		.id = id,
		.address = "127.0.0.1:1",
		.service = "s",
		.data_centre = "dc",
		.labels = labels,
		.capacity = { milli, 32768, 0 },
		.born_ms = born_ms,
	};

	pool_register_worker(lease_pool(fake->dispatch), &registration,
			     fake->now_ms);
	lease_run(fake->dispatch, fake->now_ms);
}

/*
 * A worker's answers tell of its restart before its registration tells of the
 * new process's capacity.
 */
START_TEST(test_start_beyond_capacity_of_a_restarted_worker)
{
	struct lease_submission job = fake_orders_submission(ID, 3);

	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_advance(fake, 6000);
	fake_orders_restart_worker(fake, "w1", 2);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	ck_assert_int_eq(worker("w1")->state, POOL_HELD);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 0);
	/* The previous process's report, read late. */
	report("w1", 4000, 1);
	ck_assert_uint_eq(fake->start_count, 0);
	report("w1", 2000, 2);
	ck_assert_uint_eq(fake->start_count, 2);
}
END_TEST

/* A registration that tells of the restart first tells of the capacity, too. */
START_TEST(test_registration_of_a_restarted_worker_has_its_capacity)
{
	struct lease_submission job = fake_orders_submission(ID, 3);

	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	report("w1", 2000, 2);
	fake_orders_restart_worker(fake, "w1", 2);
	fake_orders_advance(fake, 10);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 2);
}
END_TEST

/* Sums of demands do not wrap: a report may give any 32-bit capacity. */
START_TEST(test_start_beyond_capacity_when_demands_wrap)
{
	struct lease_submission job = fake_orders_submission(ID, 2);
	struct job_step step = job.steps[0];
	struct pool_registration registration = {
		.id = "w1",
		.address = "127.0.0.1:1",
		.service = "s",
		.data_centre = "dc",
		.capacity = { 4000, UINT32_MAX, 0 },
		.born_ms = 1,
	};

	step.demand.mem_mb = 3000000000u;
	job.steps = &step;
	pool_register_worker(lease_pool(fake->dispatch), &registration,
			     fake->now_ms);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

int main(void)
{
	return RUN_CASE(
		"lease_capacity", set_up, tear_down,
		test_start_beyond_capacity_beside_a_found_run_being_stopped,
		test_start_beyond_capacity_beside_a_second_run_being_stopped,
		test_adopted_run_uses_its_demand,
		test_start_beyond_capacity_of_a_restarted_worker,
		test_registration_of_a_restarted_worker_has_its_capacity,
		test_start_beyond_capacity_when_demands_wrap);
}
