/* Ideal and bound in cases computed by hand, and the trace's distribution. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "ctl/load_bound.h"

static const struct trace_target targets[] = { { "x", "a", 1 },
					       { "y", "b", 3 } };
static const struct trace_team teams[] = { { "t", 1 } };
static const struct trace_options options = {
	.seed = 1,
	.seconds = 20,
	.jobs_per_s = 200,
	.tasks_min = 1,
	.tasks_max = 580,
	.tasks_alpha = 1.2,
	.run_median_ms = 100,
	.run_sigma = 0.5,
	.run_max_ms = 1000,
	.burst_at_s = 10,
	.burst_for_s = 5,
	.burst_factor = 10,
	.burst_share = 0.7,
	.resubmit = 0.2,
	.targets = targets,
	.target_count = 2,
	.teams = teams,
	.team_count = 1,
};

static TALLOC_CTX *mem;

static void setup(void)
{
	mem = talloc_new(NULL);
}

static void teardown(void)
{
	talloc_free(mem);
}

/* Two workers of one slot: speeds 1 and 1/2. Times below are in ms. */
static const struct trace_workers two = { "a", 2, 1, 2 };

START_TEST(test_ideal)
{
	struct bound_slots *slots = bound_slots_create(mem, &two);
	float three[] = { 10, 30, 20 };

	ck_assert_double_eq(bound_ideal_ms(slots, three, 1), 10);
	/* 30 on the fast slot; 10 takes 20 on the slow one. */
	ck_assert_double_eq(bound_ideal_ms(slots, three, 2), 30);
	/* The fast slot runs 30 and 10 until 40, the slow one 20 until 40. */
	ck_assert_double_eq(bound_ideal_ms(slots, three, 3), 40);
}
END_TEST

static struct trace *make_trace(const uint64_t *at_ms, const uint32_t *tasks,
				size_t count, float run_ms)
{
	struct trace *trace = talloc_zero(mem, struct trace);

	trace->count = count;
	trace->jobs =
		talloc_zero_array(trace, struct trace_job, (unsigned)count);
	for (size_t i = 0; i < count; i++) {
		struct trace_job *job = &trace->jobs[i];

		job->at_us = at_ms[i] * 1000;
		job->tasks = tasks[i];
		job->run_ms = talloc_array(trace, float, tasks[i]);
		for (uint32_t t = 0; t < tasks[i]; t++)
			job->run_ms[t] = run_ms;
	}
	return trace;
}

START_TEST(test_ideal_waits_for_a_fast_slot)
{
	static const struct trace_workers unequal = { "a", 2, 1, 4 };
	struct bound_slots *slots = bound_slots_create(mem, &unequal);
	float twice[] = { 10, 10 };

	ck_assert_double_eq(bound_ideal_ms(slots, twice, 2), 20);
}
END_TEST

START_TEST(test_bound_serves_least_remaining_work)
{
	static const struct trace_workers one = { "a", 1, 1, 1 };
	static const uint64_t at_ms[] = { 0, 15 };
	static const uint32_t tasks[] = { 3, 2 };
	struct trace *trace = make_trace(at_ms, tasks, 2, 10);

	bound_replay(trace, &options, &one);
	ck_assert_double_eq(trace->jobs[0].bound_ms, 30);
	ck_assert_double_eq(trace->jobs[1].bound_ms, 35);
}
END_TEST

START_TEST(test_bound)
{
	static const uint64_t at_ms[] = { 0, 5, 6 };
	static const uint32_t tasks[] = { 4, 1, 1 };
	struct trace *trace = make_trace(at_ms, tasks, 3, 10);

	/*
	 * Job 0: fast 0-10, slow 0-20. Jobs 1 and 2 are shorter and take the
	 * fast slot 10-20 and 20-30; the slow one is free at 20, after the
	 * fast one: job 0 takes it 20-40, and the fast one 30-40.
	 */
	bound_replay(trace, &options, &two);
	ck_assert_double_eq(trace->jobs[1].bound_ms, 15);
	ck_assert_double_eq(trace->jobs[2].bound_ms, 24);
	ck_assert_double_eq(trace->jobs[0].bound_ms, 40);
	ck_assert_double_eq(trace->jobs[0].ideal_ms, 30);
}
END_TEST

START_TEST(test_bound_leaves_other_data_centres_out)
{
	static const uint64_t at_ms[] = { 0, 0 };
	static const uint32_t tasks[] = { 1, 1 };
	struct trace *trace = make_trace(at_ms, tasks, 2, 10);

	trace->jobs[1].target = 1;
	bound_replay(trace, &options, &two);
	ck_assert_double_eq(trace->jobs[0].bound_ms, 10);
	ck_assert_double_eq(trace->jobs[1].bound_ms, 0);
}
END_TEST

START_TEST(test_trace_matches_options)
{
	struct trace *trace = trace_create(mem, &options);
	struct trace *again = trace_create(mem, &options);
	size_t burst = 0, burst_first = 0, first = 0, resubmitted = 0;

	ck_assert_uint_eq(trace->count, again->count);
	for (size_t i = 0; i < trace->count; i++) {
		const struct trace_job *j = &trace->jobs[i];
		bool in = j->at_us >= 10000000 && j->at_us < 15000000;

		ck_assert_uint_eq(j->at_us, again->jobs[i].at_us);
		ck_assert(!i || j->at_us >= trace->jobs[i - 1].at_us);
		ck_assert(j->tasks >= 1 && j->tasks <= 580);
		burst += in;
		burst_first += in && !j->target;
		first += !in && !j->target;
		resubmitted += j->resubmit_after_us != 0;
	}
	ck_assert_double_eq_tol((double)burst, 10000, 500);
	ck_assert_double_eq_tol((double)burst_first, 7000, 500);
	ck_assert_double_eq_tol((double)first, 750, 150);
	ck_assert_double_eq_tol((double)resubmitted / (double)trace->count, 0.2,
				0.02);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("load_bound");
	TCase *tc = tcase_create("load_bound");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_ideal);
	tcase_add_test(tc, test_ideal_waits_for_a_fast_slot);
	tcase_add_test(tc, test_bound_serves_least_remaining_work);
	tcase_add_test(tc, test_bound);
	tcase_add_test(tc, test_bound_leaves_other_data_centres_out);
	tcase_add_test(tc, test_trace_matches_options);
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
