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
	struct fake_orders_report row = { .id = id,
					  .born_ms = born_ms,
					  .milli = milli };

	fake_orders_report(fake, &row);
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

/* Returns a job that may wait for long. */
static struct lease_submission patient(const char *id, uint32_t tasks)
{
	struct lease_submission job = fake_orders_submission(id, tasks);

	job.objective_ms = 4000;
	job.remaining_ms = 20000;
	return job;
}

/* A start that is on its way, or whose answer is lost, uses its demand. */
START_TEST(test_start_beyond_capacity_that_shrank_during_a_start)
{
	struct lease_submission job = patient(ID, 2);
	struct lease_submission other = patient(OTHER_ID, 2);

	fake_orders_add_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 2);
	report("w1", 2000, 1);
	fake_orders_submit(fake, &other);
	ck_assert_uint_eq(fake->start_count, 2);
	fake_orders_advance(fake, 10);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_NO_ANSWER);
	fake_orders_answer_start(fake, &fake->starts[1], POOL_NO_ANSWER);
	fake_orders_advance(fake, 20);
	ck_assert_uint_eq(fake->start_count, 2);
	/* Neither is listed: both may still begin and are started again. */
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	ck_assert_uint_eq(fake->start_count, 4);
	ck_assert_ptr_null(fake_orders_started(fake, OTHER_ID ".0.0.0"));
	ck_assert_ptr_null(fake_orders_started(fake, OTHER_ID ".0.0.1"));
	report("w1", 3000, 1);
	ck_assert_uint_eq(fake->start_count, 5);
}
END_TEST

/* What is being stopped counts until its end is listed. */
START_TEST(test_start_beyond_capacity_that_shrank_during_a_stop)
{
	struct lease_submission job = patient(ID, 2);
	struct lease_submission other = patient(OTHER_ID, 1);
	struct pool_listed_run row = { ID ".0.0.1", 1, 50 };
	struct pool_listed_end ends[] = { { 1, TASK, 1, POOL_STOPPED },
					  { 2, ID ".0.0.1", 1, POOL_STOPPED } };

	fake_orders_add_worker(fake, "w1", 2000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	fake_orders_answer_start(fake, &fake->starts[1], POOL_OK);
	fake_orders_submit(fake, &other);
	lease_cancel(fake->dispatch, &job.waiter, ID, fake->now_ms);
	fake_orders_answer_stop(fake, fake_orders_stopped(fake, TASK), POOL_OK);
	fake_orders_answer_stop(fake, fake_orders_stopped(fake, ID ".0.0.1"),
				POOL_OK);
	report("w1", 1000, 1);
	fake_orders_advance(fake, FAKE_ORDERS_STOP_MS);
	ck_assert_uint_eq(fake->start_count, 2);
	fake_orders_answer_hold(fake, "w1", &row, 1, ends, 1);
	ck_assert_uint_eq(fake->start_count, 2);
	fake_orders_advance(fake, 10);
	fake_orders_answer_hold(fake, "w1", NULL, 0, ends, 2);
	ck_assert_uint_eq(fake->start_count, 3);
}
END_TEST

START_TEST(test_start_beyond_capacity_that_shrank_below_what_runs)
{
	struct lease_submission job = patient(ID, 3);
	struct lease_submission other = patient(OTHER_ID, 1);
	struct pool_listed_run row = { ID ".0.0.2", 1, 50 };
	struct pool_listed_end ends[] = { { 1, TASK, 1, POOL_DONE },
					  { 2, ID ".0.0.1", 1, POOL_DONE },
					  { 3, ID ".0.0.2", 1, POOL_DONE } };

	fake_orders_add_worker(fake, "w1", 3000);
	fake_orders_add_worker(fake, "w2", 0);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 3);
	for (int i = 0; i < 3; i++)
		fake_orders_answer_start(fake, &fake->starts[i], POOL_OK);
	fake_orders_submit(fake, &other);
	report("w1", 999, 1);
	fake_orders_answer_hold(fake, "w1", &row, 1, ends, 2);
	ck_assert_uint_eq(fake->start_count, 3);
	fake_orders_advance(fake, 10);
	fake_orders_answer_hold(fake, "w1", NULL, 0, ends, 3);
	ck_assert_uint_eq(fake->start_count, 3);
	report("w1", 0, 1);
	fake_orders_advance(fake, 50);
	ck_assert_uint_eq(fake->start_count, 3);
	report("w1", 1000, 1);
	ck_assert_uint_eq(fake->start_count, 4);
}
END_TEST

/* Other demands than processor time shrink, too. */
START_TEST(test_start_beyond_capacity_of_memory_and_accelerators)
{
	struct lease_submission job = patient(ID, 2);
	struct job_step step = job.steps[0];
	struct pool_registration registration = {
		.id = "w1",
		.address = "127.0.0.1:1",
		.service = "s",
		.data_centre = "dc",
		.capacity = { 8000, 128, 1 },
		.born_ms = 1,
	};

	step.demand.accelerators = 1;
	job.steps = &step;
	pool_register_worker(lease_pool(fake->dispatch), &registration,
			     fake->now_ms);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 1);
	registration.capacity = (struct step_job_demand){ 8000, 64, 2 };
	pool_register_worker(lease_pool(fake->dispatch), &registration,
			     fake->now_ms);
	fake_orders_advance(fake, 10);
	ck_assert_uint_eq(fake->start_count, 1);
	registration.capacity = (struct step_job_demand){ 8000, 128, 2 };
	pool_register_worker(lease_pool(fake->dispatch), &registration,
			     fake->now_ms);
	fake_orders_advance(fake, 10);
	ck_assert_uint_eq(fake->start_count, 2);
}
END_TEST

/*
 * A raised claim does not free what starts under the former one use, nor does
 * a worker that was taken back from another leader.
 */
START_TEST(test_start_beyond_capacity_after_a_change_of_the_leader)
{
	struct lease_submission job = patient(ID, 1);
	struct lease_submission other = patient(OTHER_ID, 1);
	struct pool_listed_run rows[] = { { TASK, 1, 50 },
					  { "00000000000000a3.0.0.0", 1, 1 } };
	struct pool_listed_end end = { 1, "00000000000000a3.0.0.0", 1,
				       POOL_STOPPED };

	fake_orders_add_worker(fake, "w1", 2000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 1);
	lease_lead(fake->dispatch, 6, fake->now_ms);
	report("w1", 1000, 1);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_submit(fake, &other);
	ck_assert_uint_eq(fake->start_count, 1);
	/* Another leader's run fills the room that has grown again. */
	report("w1", 2000, 1);
	ck_assert_uint_eq(fake->start_count, 2);
	fake_orders_answer_start(fake, &fake->starts[1], POOL_FENCED);
	fake_orders_advance(fake, 1000);
	fake_orders_answer_hold(fake, "w1", rows, 2, NULL, 0);
	fake_orders_advance(fake, 420);
	ck_assert_uint_eq(fake->start_count, 2);
	fake_orders_answer_stop(
		fake, fake_orders_stopped(fake, "00000000000000a3.0.0.0"),
		POOL_OK);
	fake_orders_advance(fake, 20);
	ck_assert_uint_eq(fake->start_count, 2);
	fake_orders_answer_hold(fake, "w1", rows, 1, &end, 1);
	ck_assert_uint_eq(fake->start_count, 3);
}
END_TEST

/*
 * A worker that was cut off for longer than its lease may run what another
 * leader has started there.
 */
START_TEST(test_start_beyond_capacity_after_a_cut)
{
	struct lease_submission job = patient(ID, 1);
	struct pool_listed_run row = { "00000000000000a3.0.0.0", 1, 1 };
	uint64_t begin_ms = fake->now_ms;

	fake_orders_add_worker(fake, "w1", 1000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_NO_ANSWER);
	while (worker("w1")->run_count) { /* until its lease has lapsed */
		ck_assert_uint_lt(fake->now_ms, begin_ms + 10000);
		fake_orders_advance(fake, 90); /* a hold times out */
		fake_orders_lose_hold(fake, "w1");
	}
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_advance(fake, 1000);
	fake_orders_answer_hold(fake, "w1", &row, 1, NULL, 0);
	fake_orders_advance(fake, 50);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/* A worker whose report cannot be read is unregistered until the next one. */
START_TEST(test_start_beyond_capacity_that_is_missing)
{
	struct lease_submission job = patient(ID, 1);

	fake_orders_add_worker(fake, "w1", 1000);
	fake_orders_add_worker(fake, "w2", 1000);
	fake_orders_lead(fake, 5);
	report("w2", 0, 1);
	pool_unregister_worker(lease_pool(fake->dispatch), "w1", fake->now_ms);
	report("w2", 500, 1);
	lease_submit(fake->dispatch, &job, fake->now_ms);
	fake_orders_advance(fake, 50);
	ck_assert_uint_eq(fake->start_count, 0);
}
END_TEST

/*
 * A start without an answer may be carried out by the worker's next process,
 * which does not know that the run was stopped.
 */
START_TEST(test_two_runs_after_a_late_start_on_a_restarted_worker)
{
	struct lease_submission job = patient(ID, 1);
	struct lease_submission other = patient(OTHER_ID, 1);

	fake_orders_add_worker(fake, "w1", 1000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_advance(fake, 10);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_NO_ANSWER);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	lease_cancel(fake->dispatch, &job.waiter, ID, fake->now_ms);
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_uint_eq(fake->stop_count, 1);
	fake_orders_answer_stop(fake, &fake->stops[0], POOL_OK);
	fake_orders_advance(fake, 10);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	ck_assert_uint_eq(worker("w1")->run_count, 0);
	fake_orders_advance(fake, 6000);
	fake_orders_restart_worker(fake, "w1", 2);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	report("w1", 1000, 2);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_submit(fake, &other);
	fake_orders_advance(fake, 20);
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_uint_eq(fake->stop_count, 2);
	ck_assert_uint_eq(fake->stops[1].number, 1);
	fake_orders_answer_stop(fake, &fake->stops[1], POOL_OK);
	fake_orders_advance(fake, 10);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	ck_assert_uint_eq(fake->start_count, 3);
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
		test_start_beyond_capacity_when_demands_wrap,
		test_start_beyond_capacity_that_shrank_during_a_start,
		test_start_beyond_capacity_that_shrank_during_a_stop,
		test_start_beyond_capacity_that_shrank_below_what_runs,
		test_start_beyond_capacity_of_memory_and_accelerators,
		test_start_beyond_capacity_after_a_change_of_the_leader,
		test_start_beyond_capacity_after_a_cut,
		test_start_beyond_capacity_that_is_missing,
		test_two_runs_after_a_late_start_on_a_restarted_worker);
}
