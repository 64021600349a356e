/* Teams share slots by weight, small jobs go first, and no job starves. */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "core/job_order.h"

#define TASK_INTERVAL_US 10000

static TALLOC_CTX *mem;
static struct job_order_queue *queue;

static struct job *add(const char *team, uint32_t tasks, uint64_t arrived_ms)
{
	struct job *job = talloc_zero(mem, struct job);

	job->request = talloc_zero(job, struct job_request);
	job->request->team = talloc_strdup(job, team);
	job->pending = tasks;
	job->arrived_ms = arrived_ms;
	job_order_add(queue, job, TASK_INTERVAL_US);
	return job;
}

/* Starts one task as the dispatcher does. */
static struct job *start(void)
{
	struct job *job = job_order_next(queue);

	if (!job)
		return NULL;
	job->pending--;
	if (!job->pending)
		job_order_remove(queue, job);
	job_order_charge(queue, job);
	return job;
}

static void setup_order(const char *name)
{
	mem = talloc_new(NULL);
	queue = job_order_create(mem, job_order_find(name));
}

static void setup(void)
{
	setup_order("least_remaining");
}

static void teardown(void)
{
	talloc_free(mem);
}

START_TEST(test_teams_share_by_weight)
{
	struct job *heavy = add("heavy", 100000, 0);
	struct job *light = add("light", 100000, 0);
	int starts = 0;

	job_order_set_weight(queue, "heavy", 3);
	for (int i = 0; i < 4000; i++)
		starts += start() == heavy;
	ck_assert_int_eq(starts, 3000);
	ck_assert_uint_eq(light->pending, 100000 - 1000);
}
END_TEST

START_TEST(test_new_team_waits_one_round_at_most)
{
	struct job *small;

	job_order_set_weight(queue, "big", 5);
	for (int i = 0; i < 50; i++)
		add("big", 100, 0);
	for (int i = 0; i < 33; i++)
		start();
	small = add("small", 1, 10000);
	for (int i = 0; i < 5; i++)
		if (start() == small)
			return;
	ck_assert_ptr_eq(start(), small);
}
END_TEST

START_TEST(test_least_remaining_first)
{
	struct job *large = add("t", 50, 0);
	struct job *small = add("t", 2, 1);

	ck_assert_ptr_eq(start(), small);
	ck_assert_ptr_eq(start(), small);
	for (int i = 0; i < 45; i++)
		ck_assert_ptr_eq(start(), large);
	/* With 5 tasks left, it precedes a new job of 6, but not one of 1. */
	add("t", 6, 2);
	ck_assert_ptr_eq(start(), large);
	ck_assert_ptr_eq(job_order_next(queue), large);
	small = add("t", 1, 3);
	ck_assert_ptr_eq(start(), small);
}
END_TEST

START_TEST(test_large_job_is_overtaken_for_a_bounded_time)
{
	struct job *large = add("t", 100, 0); /* 1 s of work */
	uint64_t now_ms = 0;

	while (now_ms < 60000) {
		add("t", 1, now_ms += 10);
		if (start() == large)
			break;
	}
	/* Waiting 16 s makes up for the large job's 1 s of work. */
	ck_assert_uint_gt(now_ms, 14000);
	ck_assert_uint_lt(now_ms, 16400);
}
END_TEST

START_TEST(test_fifo)
{
	struct job *first, *second;

	teardown();
	setup_order("fifo");
	first = add("t", 50, 1);
	second = add("t", 1, 2);
	for (int i = 0; i < 50; i++)
		ck_assert_ptr_eq(start(), first);
	ck_assert_ptr_eq(start(), second);
	ck_assert_ptr_null(start());
}
END_TEST

START_TEST(test_removed_job_is_not_started)
{
	struct job *a = add("a", 5, 0);
	struct job *b = add("b", 5, 0);

	ck_assert_ptr_eq(start(), a);
	job_order_remove(queue, b);
	job_order_remove(queue, b);
	for (int i = 0; i < 4; i++)
		ck_assert_ptr_eq(start(), a);
	ck_assert_ptr_null(start());
	job_order_add(queue, b, TASK_INTERVAL_US);
	job_order_add(queue, b, TASK_INTERVAL_US);
	ck_assert_ptr_eq(start(), b);
}
END_TEST

int main(void)
{
	return RUN_CASE("job_order", setup, teardown,
			test_teams_share_by_weight,
			test_new_team_waits_one_round_at_most,
			test_least_remaining_first,
			test_large_job_is_overtaken_for_a_bounded_time,
			test_fifo, test_removed_job_is_not_started);
}
