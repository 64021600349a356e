/*
 * A task that crashes the workers that start it: after three crashes it is
 * started no more, whatever leads meanwhile, and no other job suffers for it.
 */
#include <stdio.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define MAX_CRASHES 3
#define RUN_MS 50 /* until the worker crashes */
#define DOWN_MS 300
#define BUDGET_MS 30000

static struct fake_orders *fake;

static void set_up(void)
{
	fake = fake_orders_create();
	for (int i = 1; i <= 4; i++) {
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

/* The worker crashes, and answers holds as a new process. */
static void crash(const char *worker)
{
	fake_orders_restart_worker(fake, worker, fake->now_ms);
	fake_orders_advance(fake, DOWN_MS);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
}

/* Crashes each worker that starts the task; returns the number of crashes. */
static uint32_t crash_all(const char *task)
{
	uint64_t end_ms = fake->now_ms + BUDGET_MS;
	uint64_t last_token = 0;
	uint32_t crashes = 0;

	while (fake->now_ms < end_ms) {
		const struct fake_orders_order *start =
			fake_orders_started(fake, task);

		if (start && start->token != last_token) {
			char worker[32];

			last_token = start->token;
			memcpy(worker, start->worker, sizeof(worker));
			fake_orders_answer_start(fake, start, POOL_OK);
			fake_orders_advance(fake, RUN_MS);
			crash(worker);
			crashes++;
		}
		fake_orders_advance(fake, 10);
	}
	return crashes;
}

START_TEST(test_task_crashes_worker_after_worker)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	ck_assert_uint_le(crash_all(TASK), MAX_CRASHES);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_FAILED);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_crash", set_up, tear_down,
			test_task_crashes_worker_after_worker);
}
