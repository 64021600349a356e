/*
 * BUDGET: no start of a task after `attempts` runs of it have ended failed,
 * whichever leader has read these ends.
 */
#include <stdio.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define WORKERS 4
#define RUN_MS 50
#define STEP_MS 100
#define TICK_MS 10
#define BUDGET_MS 30000
#define JOB_AGE_MS 2000 /* since the caller sent it */
#define MAX_ENDS 8 /* of a worker */

static struct fake_orders *fake;
static size_t handled; /* starts whose runs have ended, or of a lost leader */
/* By worker; each lists its ends until they are read. */
static struct pool_listed_end ends[WORKERS + 1][MAX_ENDS];
static size_t end_count[WORKERS + 1];

static void set_up(void)
{
	fake = fake_orders_create();
	handled = 0;
	memset(end_count, 0, sizeof(end_count));
	for (int i = 1; i <= WORKERS; i++) {
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		fake_orders_add_worker(fake, id, 4000);
	}
	fake_orders_lead(fake, 5);
}

static void tear_down(void)
{
	talloc_free(fake);
}

static void submit(uint32_t earlier_leaders)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	job.handed = earlier_leaders;
	job.remaining_ms = BUDGET_MS;
	job.age_ms = JOB_AGE_MS;
	/* As the entry does, which was told of them. */
	job.failed = fake->failed;
	fake_orders_submit(fake, &job);
}

/* A run of the task ends as failed on a worker, which lists it from then on. */
static void add_end(int worker, uint32_t number)
{
	size_t count = end_count[worker]++;

	ck_assert_uint_lt(count, MAX_ENDS);
	ends[worker][count] = (struct pool_listed_end){
		.number_of_end = count + 1,
		.task = TASK,
		.number = number,
		.how = POOL_FAILED,
	};
}

/* Answers the worker's hold, if one is pending. */
static void answer_hold(int worker)
{
	char id[16];

	snprintf(id, sizeof(id), "w%d", worker);
	fake_orders_answer_hold(fake, id, NULL, 0, ends[worker],
				end_count[worker]);
}

static void answer_holds(void)
{
	for (int i = 1; i <= WORKERS; i++)
		answer_hold(i);
}

/* The next leader, which has not been sent the job. */
static void change_leader(void)
{
	lease_release(fake->dispatch);
	fake_orders_advance(fake, STEP_MS);
	lease_lead(fake->dispatch, 6, fake->now_ms);
	handled = fake->start_count;
}

/* The worker begins the run, which fails. */
static void fail_run(const struct fake_orders_order *start)
{
	int worker = start->worker[1] - '0';

	fake_orders_answer_start(fake, start, POOL_OK);
	fake_orders_advance(fake, RUN_MS);
	add_end(worker, start->number);
	handled = fake->start_count;
	answer_hold(worker);
}

/* Waits for the next start of the task. */
static const struct fake_orders_order *await_start(void)
{
	for (int i = 0; i < BUDGET_MS && fake->start_count == handled;
	     i += TICK_MS) {
		fake_orders_advance(fake, TICK_MS);
		answer_holds();
	}
	ck_assert_uint_eq(fake->start_count, handled + 1);
	return fake_orders_started(fake, TASK);
}

static void fail_next_run(void)
{
	fail_run(await_start());
}

static void assert_failed(void)
{
	ck_assert_uint_gt(fake->answer_count, 0);
	for (size_t i = 0; i < fake->answer_count; i++) {
		ck_assert_int_eq(fake->answers[i].end, LEASE_FAILED);
		ck_assert_int_eq(fake->answers[i].reason, LEASE_ATTEMPTS);
	}
}

/* BUDGET: failed ends that a former leader has read count at the next one. */
START_TEST(test_failed_ends_count_across_leaders)
{
	uint64_t last_token = 0;
	uint32_t starts = 0;

	submit(0); /* attempts: 2 */
	for (int i = 0; i < BUDGET_MS && !fake->answer_count; i += STEP_MS) {
		const struct fake_orders_order *start =
			fake_orders_started(fake, TASK);

		if (!start || start->token == last_token) {
			fake_orders_advance(fake, STEP_MS);
			answer_holds();
			continue;
		}
		last_token = start->token;
		starts++;
		fail_run(start);
		if (starts != 1)
			continue;
		/* The entry sends the job to the next leader. */
		change_leader();
		answer_holds();
		submit(1);
	}
	ck_assert_uint_le(starts, 2);
	assert_failed();
}
END_TEST

/* A start that is on its way when the leader goes is never carried out. */
START_TEST(test_failed_end_is_told_to_the_next_leader)
{
	submit(0);
	fail_next_run();
	ck_assert_uint_eq(fake->failed.count, 1);
	/* Its end was read, and is listed no more. */
	memset(end_count, 0, sizeof(end_count));
	change_leader();
	answer_holds();
	submit(1);
	fail_next_run();
	assert_failed();
	ck_assert_uint_eq(fake->failed.count, 2);
}
END_TEST

/* The next leader reads an end in a worker's list before the job arrives. */
START_TEST(test_failed_end_read_before_the_job_counts)
{
	add_end(1, 1);
	change_leader();
	answer_holds();
	submit(1);
	fail_next_run();
	assert_failed();
}
END_TEST

START_TEST(test_failed_end_read_after_the_job_counts)
{
	add_end(1, 1);
	change_leader();
	submit(1);
	answer_holds();
	fail_next_run();
	assert_failed();
}
END_TEST

/* A task that has failed as often as is allowed does not start. */
START_TEST(test_spent_task_is_not_started)
{
	add_end(1, 1);
	add_end(2, 2);
	change_leader();
	answer_holds();
	submit(1);
	assert_failed();
	ck_assert_uint_eq(fake->start_count, 0);
}
END_TEST

/* While a run of it is open, it may still be done. */
START_TEST(test_spent_task_may_still_end_as_done)
{
	const struct fake_orders_order *start;
	struct pool_listed_end done = { 1, TASK, 17, POOL_DONE };

	change_leader();
	answer_holds();
	submit(1);
	start = await_start();
	done.number = start->number;
	fake_orders_answer_start(fake, start, POOL_OK);
	fake_orders_advance(fake, RUN_MS);
	for (int i = 1; i <= WORKERS; i++)
		if (i != start->worker[1] - '0') {
			add_end(i, 1);
			add_end(i, 2);
		}
	pool_probe_all(lease_pool(fake->dispatch), fake->now_ms);
	for (int i = 1; i <= WORKERS; i++)
		if (i != start->worker[1] - '0')
			answer_hold(i);
	ck_assert_uint_eq(fake->failed.count, 2);
	ck_assert_uint_eq(fake->answer_count, 0);
	fake_orders_answer_hold(fake, start->worker, NULL, 0, &done, 1);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
}
END_TEST

/* The entry was told of an end, which the next leader reads as well. */
START_TEST(test_end_that_is_heard_of_twice_counts_once)
{
	submit(0);
	fail_next_run();
	ck_assert_uint_eq(fake->failed.count, 1);
	change_leader();
	answer_hold(1);
	add_end(2, fake->failed.rows[0].number);
	submit(1);
	answer_holds();
	ck_assert_uint_eq(fake->failed.count, 1);
	ck_assert_uint_eq(fake->answer_count, 0);
	fail_next_run();
	assert_failed();
}
END_TEST

/* A run that the next leader finds open and adopts counts by its number. */
START_TEST(test_adopted_run_that_fails_counts_once)
{
	struct pool_listed_run row = { TASK, 1, 10 };

	change_leader();
	submit(1);
	fake_orders_answer_hold(fake, "w1", &row, 1, NULL, 0);
	add_end(1, 1);
	answer_holds();
	ck_assert_uint_eq(fake->failed.count, 1);
	submit(1);
	ck_assert_uint_eq(fake->answer_count, 0);
	/* Its number is not used again: an end counts by it. */
	ck_assert_uint_gt(await_start()->number, 2);
	fail_next_run();
	assert_failed();
}
END_TEST

/* A job that the caller sends again may fail as often as a new one. */
START_TEST(test_resent_job_begins_anew)
{
	add_end(1, 1);
	add_end(2, 2);
	change_leader();
	answer_hold(1);
	submit(0);
	answer_holds();
	fail_next_run();
	ck_assert_uint_eq(fake->answer_count, 0);
	fail_next_run();
	assert_failed();
}
END_TEST

/* So it is at the next leader, which has read an end of before. */
START_TEST(test_end_of_before_the_job_does_not_count)
{
	add_end(1, 1);
	change_leader();
	answer_holds();
	fake_orders_advance(fake, JOB_AGE_MS + STEP_MS);
	submit(1);
	fail_next_run();
	ck_assert_uint_eq(fake->answer_count, 0);
	fail_next_run();
	assert_failed();
}
END_TEST

/* Another entry hands its job on after the caller has sent it again here. */
START_TEST(test_failed_runs_of_another_attempt_do_not_count)
{
	struct failed_run run = { 0, 0, 8 };

	submit(0);
	failed_runs_add(fake, &fake->failed, &run);
	fake->failed.attempt = 77;
	submit(1);
	/* Nor does the entry hand them on any more. */
	ck_assert_uint_eq(fake->failed.count, 0);
	ck_assert_uint_ne(fake->failed.attempt, 77);
	fail_next_run();
	ck_assert_uint_eq(fake->answer_count, 0);
	fail_next_run();
	assert_failed();
}
END_TEST

/* An entry whose job joins another one's is told of all failed runs. */
START_TEST(test_joining_entry_is_told)
{
	submit(0);
	fail_next_run();
	ck_assert_uint_eq(fake->failed_told, 1);
	fake->failed = (struct failed_runs){ 0 };
	submit(0);
	ck_assert_uint_eq(fake->failed_told, 2);
	ck_assert_uint_eq(fake->failed.count, 1);
	ck_assert_uint_eq(fake->failed.rows[0].number, 1);
}
END_TEST

/* Damaged rows of an entry, or of another job with this id. */
START_TEST(test_failed_runs_of_no_task_do_not_count)
{
	static const struct failed_run damaged[] = {
		{ 1, 0, 1 },
		{ 0, 1, 1 },
		{ UINT32_MAX, UINT32_MAX, 1 },
		{ 0, 0, 0 },
		{ 0, 0, UINT32_MAX },
	};

	fake->failed.attempt = 77;
	for (size_t i = 0; i < sizeof(damaged) / sizeof(damaged[0]); i++)
		failed_runs_add(fake, &fake->failed, &damaged[i]);
	submit(1);
	fail_next_run();
	ck_assert_uint_eq(fake->answer_count, 0);
	fail_next_run();
	assert_failed();
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_attempts", set_up, tear_down,
			test_failed_ends_count_across_leaders,
			test_failed_end_is_told_to_the_next_leader,
			test_failed_end_read_before_the_job_counts,
			test_failed_end_read_after_the_job_counts,
			test_spent_task_is_not_started,
			test_spent_task_may_still_end_as_done,
			test_end_that_is_heard_of_twice_counts_once,
			test_adopted_run_that_fails_counts_once,
			test_resent_job_begins_anew,
			test_end_of_before_the_job_does_not_count,
			test_failed_runs_of_another_attempt_do_not_count,
			test_joining_entry_is_told,
			test_failed_runs_of_no_task_do_not_count);
}
