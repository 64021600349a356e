/*
 * The dispatcher with fake ports: each task of a job starts at most once, each
 * job ends as complete or failed, and jobs survive refusals by workers and
 * workers that fail.
 */
#include <stdlib.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/dispatch.h"

#define MAX_STARTS 4096

struct start {
	uint64_t token;
	char worker[16];
	uint32_t task;
	bool has_result;
};

static TALLOC_CTX *mem;
static struct dispatch *dispatch;
static struct random_generator generator;
static uint64_t now_ms, next_token, next_serial;
static struct start starts[MAX_STARTS];
static int start_count, stop_count, ask_count, done_count;
static struct outcome last_outcome;

static void on_start(void *ctx, const struct port_start *s)
{
	struct start *out = &starts[start_count++];

	(void)ctx;
	ck_assert_int_le(start_count, MAX_STARTS);
	*out = (struct start){ .token = s->token, .task = s->task };
	snprintf(out->worker, sizeof(out->worker), "%s", s->worker);
}

static void on_stop(void *ctx, const struct port_stop *s)
{
	(void)ctx;
	(void)s;
	stop_count++;
}

static void on_query_usage(void *ctx, const char *worker, const char *address)
{
	(void)ctx;
	(void)worker;
	(void)address;
	ask_count++;
}

static uint64_t next_random_id(void *ctx)
{
	(void)ctx;
	return ++next_token;
}

static void on_done(void *ctx, struct job *job, const struct outcome *outcome)
{
	(void)ctx;
	(void)job;
	done_count++;
	last_outcome = *outcome;
	last_outcome.results = NULL;
}

static const struct ports ports = { .start = on_start,
				    .stop = on_stop,
				    .query_usage = on_query_usage,
				    .random_id = next_random_id };

static bool owns_all(void *ctx, const struct config_worker *worker)
{
	(void)worker;
	return !ctx;
}

/* If ctx is not NULL, the workers are assigned to another dispatcher. */
static void configure(int workers, int slots, void *ctx)
{
	char *text = talloc_strdup(mem, "{\"version\":1,\"services\":[{"
					"\"name\":\"s\"}],\"teams\":[],"
					"\"workers\":[");
	struct config_document *doc;
	enum config_status status;
	char *message;

	for (int i = 0; i < workers; i++)
		text = talloc_asprintf_append(
			text,
			"%s{\"name\":\"w%d\",\"address\":\"127.0.0.1:%d\","
			"\"data_centre\":\"a\",\"service\":\"s\","
			"\"slots\":%d}",
			i ? "," : "", i, i + 1, slots);
	text = talloc_strdup_append(text, "]}");
	doc = config_parse(mem, text, strlen(text), &status, &message);
	ck_assert_msg(doc != NULL, "%s", message);
	dispatch_configure(dispatch, doc, owns_all, ctx, now_ms);
}

static void setup(void)
{
	struct dispatch_options options = {
		.ports = &ports,
		.placement = placement_find("dispatcher"),
		.order = job_order_find("least_remaining"),
		.random = &generator,
		.breakers = true,
		.breaker_open_percent = 30,
		.retry_percent = 10,
		.backlog_tasks = 100000,
		.done = on_done,
	};

	mem = talloc_new(NULL);
	random_seed(&generator, 1);
	dispatch = dispatch_create(mem, &options);
	now_ms = 1000;
}

static void teardown(void)
{
	talloc_free(mem);
}

static struct job *submit(uint32_t tasks, uint64_t deadline_ms)
{
	struct job_request *r = talloc_zero(NULL, struct job_request);
	struct job_id id = { .serial = ++next_serial };
	struct job_options options = { .id = &id,
				       .text = "job",
				       .request = r,
				       .now_ms = now_ms,
				       .deadline_ms = deadline_ms };
	struct job *job;

	r->service = talloc_strdup(r, "s");
	r->team = talloc_strdup(r, "t");
	r->tasks = talloc_zero_array(r, struct job_request_task, tasks);
	r->task_count = tasks;
	for (uint32_t i = 0; i < tasks; i++)
		r->tasks[i].body = "{}";
	job = job_create(mem, &options);
	dispatch_submit(dispatch, job, now_ms);
	return job;
}

static void send_result(int i, enum port_result_kind kind)
{
	struct port_result result = { .token = starts[i].token, .kind = kind };

	starts[i].has_result = true;
	if (kind == PORT_DONE)
		result.body = talloc_strdup(NULL, "1");
	dispatch_result(dispatch, &result, now_ms);
}

static int count_starts_on(const char *name)
{
	int count = 0;

	for (int i = 0; i < start_count; i++)
		count += !strcmp(starts[i].worker, name);
	return count;
}

START_TEST(test_each_task_once)
{
	bool seen[100] = { false };

	configure(3, 4, NULL);
	submit(100, 10000);
	ck_assert_int_eq(start_count, 12);
	for (int i = 0; i < start_count; i++) {
		ck_assert(!seen[starts[i].task]);
		seen[starts[i].task] = true;
		send_result(i, PORT_DONE);
		send_result(i, PORT_DONE); /* a second answer is ignored */
	}
	ck_assert_int_eq(start_count, 100);
	ck_assert_int_eq(done_count, 1);
	ck_assert_int_eq(last_outcome.kind, OUTCOME_COMPLETE);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 12);
}
END_TEST

START_TEST(test_refused_start_is_sent_to_another_worker)
{
	configure(2, 1, NULL);
	submit(1, 10000);
	send_result(0, PORT_NOT_STARTED);
	ck_assert_int_eq(start_count, 2);
	ck_assert_str_ne(starts[0].worker, starts[1].worker);
	send_result(1, PORT_DONE);
	ck_assert_int_eq(last_outcome.kind, OUTCOME_COMPLETE);
	ck_assert_uint_eq(last_outcome.started, 1);
}
END_TEST

START_TEST(test_refusing_worker_is_blocked_for_a_time)
{
	configure(1, 2, NULL);
	submit(1, 10000);
	send_result(0, PORT_NOT_STARTED);
	ck_assert_int_eq(start_count, 1);
	now_ms += 50;
	dispatch_tick(dispatch, now_ms);
	ck_assert_int_eq(start_count, 2);
}
END_TEST

START_TEST(test_retries_have_a_budget)
{
	configure(1, 1, NULL);
	submit(1, 3600000);
	for (int i = 0; i < start_count && !done_count; i++) {
		send_result(i, PORT_NOT_STARTED);
		now_ms += 3000;
		dispatch_tick(dispatch, now_ms);
	}
	ck_assert_int_eq(last_outcome.kind, OUTCOME_NOT_RUN);
	ck_assert_int_eq(last_outcome.reason, OUTCOME_NO_WORKER_REASON);
	ck_assert_int_gt(start_count, 100);
	ck_assert_int_lt(start_count, 120);
}
END_TEST

START_TEST(test_failure_ends_the_job_and_stops_the_rest)
{
	configure(1, 4, NULL);
	submit(10, 10000);
	send_result(1, PORT_FAILED);
	ck_assert_int_eq(last_outcome.kind, OUTCOME_FAILED);
	ck_assert_int_eq(last_outcome.reason, OUTCOME_TASK_FAILED_REASON);
	ck_assert_int_eq(stop_count, 3);
	ck_assert_int_eq(start_count, 4);
	send_result(0, PORT_DONE);
	send_result(2, PORT_FAILED);
	send_result(3, PORT_DONE);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 4);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).backlog_tasks, 0);
}
END_TEST

START_TEST(test_unknown_fate_keeps_its_slot_until_the_lease_ends)
{
	configure(1, 2, NULL);
	submit(2, 5000);
	send_result(0, PORT_UNKNOWN);
	ck_assert_int_eq(last_outcome.reason, OUTCOME_TASK_UNKNOWN_REASON);
	ck_assert_int_eq(stop_count, 2);
	send_result(1, PORT_FAILED);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 1);
	now_ms += 4999;
	dispatch_tick(dispatch, now_ms);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 1);
	now_ms++;
	dispatch_tick(dispatch, now_ms);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 2);
}
END_TEST

START_TEST(test_usage_frees_the_slot_of_an_unknown_fate)
{
	struct port_usage usage = { .worker = "w0", .running = 1 };
	char service[] = "s", name[] = "w0";
	struct config_worker worker = { .name = name, .service = service };

	configure(1, 2, NULL);
	submit(1, 5000);
	send_result(0, PORT_UNKNOWN);
	ck_assert_uint_eq(dispatch_answered_ms(dispatch, &worker), 0);
	ask_count = 0;
	now_ms += 200;
	dispatch_tick(dispatch, now_ms);
	ck_assert_int_eq(ask_count, 1);
	dispatch_usage(dispatch, &usage, now_ms); /* the task still runs */
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 1);
	usage.running = 0;
	dispatch_usage(dispatch, &usage, now_ms);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 2);
	submit(1, 5000);
	send_result(1, PORT_DONE);
	ck_assert_uint_eq(dispatch_answered_ms(dispatch, &worker), now_ms);
}
END_TEST

START_TEST(test_tasks_of_other_dispatchers_use_slots)
{
	struct port_usage usage = { .worker = "w0", .running = 3 };

	configure(1, 4, NULL);
	dispatch_usage(dispatch, &usage, now_ms);
	submit(10, 10000);
	ck_assert_int_eq(start_count, 1);
	dispatch_set_foreign_tasks(dispatch, "w0", 1, now_ms);
	ck_assert_int_eq(start_count, 3);
}
END_TEST

START_TEST(test_deadline)
{
	configure(1, 1, NULL);
	submit(2, 100);
	submit(1, 50);
	now_ms += 50;
	dispatch_tick(dispatch, now_ms);
	ck_assert_int_eq(last_outcome.kind, OUTCOME_NOT_RUN);
	ck_assert_int_eq(last_outcome.reason, OUTCOME_TOO_LATE_REASON);
	now_ms += 50;
	dispatch_tick(dispatch, now_ms);
	ck_assert_int_eq(last_outcome.kind, OUTCOME_FAILED);
	ck_assert_int_eq(last_outcome.reason, OUTCOME_DEADLINE_REASON);
	ck_assert_int_eq(start_count, 1);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).jobs, 0);
}
END_TEST

START_TEST(test_many_cancellations)
{
	struct job *jobs[50];

	configure(2, 4, NULL);
	for (int i = 0; i < 50; i++)
		jobs[i] = submit(4, 10000);
	for (int i = 0; i < 50; i += 2)
		dispatch_cancel(dispatch, jobs[i], OUTCOME_CANCELLED_REASON,
				now_ms);
	ck_assert_int_eq(done_count, 25);
	for (int i = 0; i < start_count; i++)
		send_result(i, PORT_DONE);
	ck_assert_int_eq(done_count, 50);
	ck_assert_int_le(start_count, 25 * 4 + 8);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 8);
}
END_TEST

START_TEST(test_leaving_worker_gets_no_task)
{
	struct port_result result = { .kind = PORT_DONE,
				      .worker_leaving = true };

	configure(2, 1, NULL);
	submit(10, 10000);
	result.token = starts[0].token;
	result.body = talloc_strdup(NULL, "1");
	dispatch_result(dispatch, &result, now_ms);
	ck_assert_int_eq(start_count, 2);
	send_result(1, PORT_DONE);
	ck_assert_str_eq(starts[2].worker, starts[1].worker);
	dispatch_set_leaving(dispatch, starts[0].worker, false, now_ms);
	dispatch_tick(dispatch, now_ms);
	ck_assert_int_eq(start_count, 4);
}
END_TEST

/* One of ten workers fails every task at once; the others take 100 ms. */
START_TEST(test_fast_failing_worker_does_not_attract_work)
{
	int first = 0;

	configure(10, 4, NULL);
	for (int round = 0; round < 60; round++) {
		int end;

		for (int i = 0; i < 38; i++) /* the nine others have 36 slots */
			submit(1, 100000);
		/* The failures arrive before the other tasks end. */
		for (end = start_count; first < end; first++)
			if (!strcmp(starts[first].worker, "w3"))
				send_result(first, PORT_FAILED);
		now_ms += 100;
		for (int i = 0; i < end; i++)
			if (!starts[i].has_result)
				send_result(i, PORT_DONE);
		dispatch_tick(dispatch, now_ms);
	}
	ck_assert_int_le(count_starts_on("w3"), 20);
	ck_assert_int_gt(count_starts_on("w3"), 0);
}
END_TEST

/* One of two workers is slow. A short queue waits for the fast one. */
START_TEST(test_straggler_is_not_used_while_waiting_is_better)
{
	int slow;

	configure(2, 2, NULL);
	for (int i = 0; i < 40; i++) {
		submit(1, 100000);
		now_ms += strcmp(starts[i].worker, "w0") ? 10 : 1000;
		send_result(i, PORT_DONE);
	}
	slow = count_starts_on("w0");
	for (int i = 0; i < 4; i++)
		submit(1, 100000);
	ck_assert_int_eq(count_starts_on("w0"), slow);
	ck_assert_int_eq(start_count, 42);
	/* A long queue uses the slow worker, too. */
	for (int i = 0; i < 400; i++)
		submit(1, 100000);
	ck_assert_int_eq(count_starts_on("w0"), slow + 2);
}
END_TEST

START_TEST(test_only_worker_is_used_though_slow)
{
	configure(1, 2, NULL);
	submit(1, 100000);
	now_ms += 5000;
	send_result(0, PORT_DONE);
	submit(2, 100000);
	ck_assert_int_eq(start_count, 3);
}
END_TEST

START_TEST(test_jobs_that_fail_everywhere_open_few_breakers)
{
	configure(10, 4, NULL);
	for (int i = 0; i < 200; i++) {
		submit(1, 10000);
		send_result(i, PORT_FAILED);
		now_ms += 5;
	}
	ck_assert_int_eq(start_count, 200);
	ck_assert_uint_ge(dispatch_load(dispatch, now_ms).idle_slots, 28);
}
END_TEST

START_TEST(test_released_worker_finishes_admitted_jobs)
{
	configure(1, 2, NULL);
	submit(6, 10000);
	configure(1, 2, mem);
	/* Only the other dispatcher advertises the worker's slots. */
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).slots, 0);
	send_result(0, PORT_DONE);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).idle_slots, 0);
	for (int i = 0; i < start_count; i++)
		send_result(i, PORT_DONE);
	ck_assert_int_eq(last_outcome.kind, OUTCOME_COMPLETE);
	now_ms += 20000;
	dispatch_tick(dispatch, now_ms);
	ck_assert_uint_eq(dispatch_load(dispatch, now_ms).slots, 0);
}
END_TEST

/* Tasks run beyond lowered slots until they end, but none starts there. */
START_TEST(test_start_beyond_lowered_slots)
{
	configure(1, 4, NULL);
	submit(8, 10000);
	ck_assert_int_eq(start_count, 4);
	configure(1, 2, NULL);
	send_result(0, PORT_DONE);
	send_result(1, PORT_DONE);
	ck_assert_int_eq(start_count, 4);
	send_result(2, PORT_DONE);
	ck_assert_int_eq(start_count, 5);
	configure(1, 3, NULL);
	ck_assert_int_eq(start_count, 6);
}
END_TEST

/* Its former dispatcher goes on with the jobs that it has admitted. */
START_TEST(test_start_beyond_lowered_slots_of_a_released_worker)
{
	configure(1, 4, NULL);
	submit(8, 10000);
	ck_assert_int_eq(start_count, 4);
	configure(1, 2, mem);
	send_result(0, PORT_DONE);
	send_result(1, PORT_DONE);
	ck_assert_int_eq(start_count, 4);
	send_result(2, PORT_DONE);
	ck_assert_int_eq(start_count, 5);
	configure(1, 3, mem);
	ck_assert_int_eq(start_count, 6);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("dispatch");
	TCase *tc = tcase_create("dispatch");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_each_task_once);
	tcase_add_test(tc, test_refused_start_is_sent_to_another_worker);
	tcase_add_test(tc, test_refusing_worker_is_blocked_for_a_time);
	tcase_add_test(tc, test_retries_have_a_budget);
	tcase_add_test(tc, test_failure_ends_the_job_and_stops_the_rest);
	tcase_add_test(tc,
		       test_unknown_fate_keeps_its_slot_until_the_lease_ends);
	tcase_add_test(tc, test_usage_frees_the_slot_of_an_unknown_fate);
	tcase_add_test(tc, test_tasks_of_other_dispatchers_use_slots);
	tcase_add_test(tc, test_deadline);
	tcase_add_test(tc, test_many_cancellations);
	tcase_add_test(tc, test_leaving_worker_gets_no_task);
	tcase_add_test(tc, test_fast_failing_worker_does_not_attract_work);
	tcase_add_test(tc, test_straggler_is_not_used_while_waiting_is_better);
	tcase_add_test(tc, test_only_worker_is_used_though_slow);
	tcase_add_test(tc, test_jobs_that_fail_everywhere_open_few_breakers);
	tcase_add_test(tc, test_released_worker_finishes_admitted_jobs);
	tcase_add_test(tc, test_start_beyond_lowered_slots);
	tcase_add_test(tc,
		       test_start_beyond_lowered_slots_of_a_released_worker);
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
