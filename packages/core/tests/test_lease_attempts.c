/*
 * BUDGET: no start of a task after `attempts` runs of it have ended failed,
 * whichever leader has read these ends.
 */
#include <stdio.h>

#include "base/tests/run_suite.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define WORKERS 4
#define RUN_MS 50
#define STEP_MS 100
#define BUDGET_MS 30000

static struct fake_orders *fake;

static void set_up(void)
{
	fake = fake_orders_create();
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
	fake_orders_submit(fake, &job);
}

/* BUDGET: failed ends that a former leader has read count at the next one. */
START_TEST(test_failed_ends_count_across_leaders)
{
	uint64_t last_token = 0;
	uint32_t starts = 0;
	uint64_t end_number[WORKERS + 1] = { 0 };

	submit(0); /* attempts: 2 */
	for (int i = 0; i < BUDGET_MS && !fake->answer_count; i += STEP_MS) {
		const struct fake_orders_order *start =
			fake_orders_started(fake, TASK);
		struct pool_listed_end end;
		char worker[32];

		if (!start || start->token == last_token) {
			fake_orders_advance(fake, STEP_MS);
			continue;
		}
		last_token = start->token;
		starts++;
		snprintf(worker, sizeof(worker), "%s", start->worker);
		fake_orders_answer_start(fake, start, POOL_OK);
		fake_orders_advance(fake, RUN_MS);
		end = (struct pool_listed_end){
			.number_of_end = ++end_number[worker[1] - '0'],
			.task = TASK,
			.number = start->number,
			.how = POOL_FAILED,
		};
		fake_orders_answer_hold(fake, worker, NULL, 0, &end, 1);
		if (starts != 1)
			continue;
		/* The next leader; the entry sends the job there. */
		lease_release(fake->dispatch);
		fake_orders_advance(fake, STEP_MS);
		fake_orders_lead(fake, 6);
		submit(1);
	}
	ck_assert_uint_le(starts, 2);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_attempts", set_up, tear_down,
			test_failed_ends_count_across_leaders);
}
