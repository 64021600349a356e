/*
 * The leader's jobs: no task has two open runs, whatever answers are lost and
 * whoever led before; a refusal means that nothing has run.
 */
#include <stdio.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"

static struct fake_orders *fake;

static void set_up(void)
{
	fake = fake_orders_create();
}

static void tear_down(void)
{
	talloc_free(fake);
}

START_TEST(test_serves)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_end end = { 1, TASK, 1, POOL_DONE };

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 1);
	ck_assert_str_eq(fake->starts[0].task, TASK);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
	/* The end is told to be seen. */
	ck_assert_uint_eq(fake->holds[fake->hold_count - 1].ends_read, 1);
}
END_TEST

/* A former leader's run is found after its job was submitted again. */
START_TEST(test_adopts_a_run_found_later)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_run row = { TASK, 1, 10 };
	struct pool_listed_end end = { 1, TASK, 1, POOL_DONE };

	job.handed = 1;
	job.closed_in_ms = 1100;
	fake_orders_worker(fake, "w1", 4000);
	fake_orders_worker(fake, "w2", 4000);
	lease_lead(fake->dispatch, 5, fake->now_ms);
	fake_orders_submit(fake, &job);
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	ck_assert_uint_eq(fake->start_count, 0);
	fake_orders_answer_hold(fake, "w1", &row, 1, NULL, 0);
	fake_orders_pass(fake, 50);
	ck_assert_uint_eq(fake->start_count, 0);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
}
END_TEST

/* The same of an end that nobody has taken note of. */
START_TEST(test_adopts_an_end_found_later)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_end end = { 1, TASK, 1, POOL_DONE };

	job.handed = 1;
	job.closed_in_ms = 1100;
	fake_orders_worker(fake, "w1", 4000);
	lease_lead(fake->dispatch, 5, fake->now_ms);
	fake_orders_submit(fake, &job);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->start_count, 0);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_COMPLETED);
}
END_TEST

/* A run found after its task was started anew is stopped at once. */
START_TEST(test_stops_a_second_run)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_run row = { TASK, 1, 10 };

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_worker(fake, "w2", 4000);
	fake_orders_pass(fake, 10);
	row.number = 9;
	fake_orders_answer_hold(fake, "w2", &row, 1, NULL, 0);
	fake_orders_pass(fake, 10);
	ck_assert_uint_eq(fake->stop_count, 1);
	ck_assert_str_eq(fake->stops[0].worker, "w2");
	ck_assert_uint_eq(fake->stops[0].number, 9);
}
END_TEST

/* An unanswered start: nothing starts elsewhere before it is closed. */
START_TEST(test_unanswered_start)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	const struct fake_orders_order *stop;

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_worker(fake, "w2", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_pass(fake, 150);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_NO_ANSWER);
	fake_orders_answer_hold(fake, fake->starts[0].worker, NULL, 0, NULL, 0);
	stop = fake_orders_stopped(fake, TASK);
	ck_assert_ptr_nonnull(stop);
	fake_orders_pass(fake, 20);
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_answer_stop(fake, stop, POOL_OK);
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_pass(fake, 100);
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_uint_gt(fake->starts[1].number, fake->starts[0].number);
	ck_assert_str_ne(fake->starts[1].worker, fake->starts[0].worker);
}
END_TEST

/* A worker that answers nothing any more: its runs end with their lease. */
START_TEST(test_silent_worker)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	const char *worker;

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_worker(fake, "w2", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	worker = fake->starts[0].worker;
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	fake_orders_pass(fake, 900);
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_pass(fake, 300);
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_str_ne(fake->starts[1].worker, worker);
}
END_TEST

START_TEST(test_attempts)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_end end = { 1, TASK, 1, POOL_FAILED };

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->start_count, 2);
	end.number_of_end = 2;
	end.number = fake->starts[1].number;
	fake_orders_answer_start(fake, &fake->starts[1], POOL_OK);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->start_count, 2);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_FAILED);
	ck_assert_int_eq(fake->answers[0].reason, LEASE_ATTEMPTS);
}
END_TEST

/* Refused before anything starts: too large for any worker, or too late. */
START_TEST(test_refusals)
{
	struct lease_submission big = fake_orders_submission(ID, 1);
	struct lease_submission many =
		fake_orders_submission("00000000000000a2", 200);
	struct lease_submission late =
		fake_orders_submission("00000000000000a3", 1);

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	((struct job_step *)big.steps)->demand.cpu_milli = 5000;
	fake_orders_submit(fake, &big);
	ck_assert_int_eq(fake->answers[0].end, LEASE_REFUSED);
	ck_assert_int_eq(fake->answers[0].reason, LEASE_NEVER_FITS);
	fake_orders_submit(fake, &many);
	ck_assert_uint_eq(fake->start_count, 4);
	fake_orders_submit(fake, &late);
	ck_assert_uint_eq(fake->answer_count, 2);
	ck_assert_int_eq(fake->answers[1].end, LEASE_REFUSED);
	ck_assert_int_eq(fake->answers[1].reason, LEASE_OVERLOADED);
	ck_assert_uint_gt(fake->answers[1].retry_after_ms, 0);
}
END_TEST

/* The caller has left: what runs is stopped, its room kept until it ends. */
START_TEST(test_cancel)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission next =
		fake_orders_submission("00000000000000a2", 1);
	struct pool_listed_end end = { 1, TASK, 1, POOL_STOPPED };

	fake_orders_worker(fake, "w1", 1000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	lease_cancel(fake->dispatch, &job.waiter, ID, fake->now_ms);
	ck_assert_uint_eq(fake->stop_count, 1);
	fake_orders_submit(fake, &next);
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->start_count, 2);
}
END_TEST

/* A higher fencing token rules a worker: what ran there is not run twice. */
START_TEST(test_fenced)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_reply fenced = { .answer = POOL_FENCED };

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	fake_orders_worker(fake, "w2", 4000);
	fake_orders_pass(fake, 10);
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	for (size_t i = fake->hold_count; i-- > 0;)
		if (!strcmp(fake->holds[i].worker, "w1"))
			pool_hold_answered(lease_pool(fake->dispatch), "w1",
					   fake->holds[i].serial, &fenced, NULL,
					   fake->now_ms);
	fake_orders_pass(fake, 1500);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/*
 * A worker that was held and has been cut off since may run what another
 * leader has started there: a job that comes from that leader waits.
 */
START_TEST(test_waits_for_a_worker_cut_off)
{
	struct lease_submission first = fake_orders_submission(ID, 1);
	struct lease_submission job =
		fake_orders_submission("00000000000000a2", 1);
	struct pool_reply none = { .answer = POOL_NO_ANSWER };

	fake_orders_worker(fake, "w1", 1000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &first);
	fake_orders_worker(fake, "w2", 4000);
	fake_orders_pass(fake, 10);
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	for (size_t i = fake->hold_count; i-- > 0;)
		if (!strcmp(fake->holds[i].worker, "w1"))
			pool_hold_answered(lease_pool(fake->dispatch), "w1",
					   fake->holds[i].serial, &none, NULL,
					   fake->now_ms);
	job.handed = 1;
	job.closed_in_ms = 1100;
	fake_orders_submit(fake, &job);
	fake_orders_pass(fake, 1000);
	ck_assert_ptr_null(fake_orders_started(fake, "00000000000000a2.0.0.0"));
	fake_orders_pass(fake, 150);
	ck_assert_ptr_nonnull(
		fake_orders_started(fake, "00000000000000a2.0.0.0"));
}
END_TEST

/*
 * The registration of a worker that is cut off lapses, while another leader
 * goes on using it.
 */
START_TEST(test_waits_for_a_lapsed_worker)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission next =
		fake_orders_submission("00000000000000a2", 1);

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_worker(fake, "w2", 4000);
	fake_orders_lead(fake, 5);
	pool_entry_gone(lease_pool(fake->dispatch), "w1", fake->now_ms);
	fake_orders_pass(fake, 100);
	job.handed = 1;
	job.closed_in_ms = 1100;
	fake_orders_submit(fake, &job);
	fake_orders_pass(fake, 1000);
	ck_assert_uint_eq(fake->start_count, 0);
	fake_orders_pass(fake, 150);
	ck_assert_uint_eq(fake->start_count, 1);
	/* It is not waited for when it left by plan, or long ago. */
	fake_orders_pass(fake, 30000);
	next.handed = 1;
	next.closed_in_ms = 1100;
	fake_orders_submit(fake, &next);
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	ck_assert_ptr_nonnull(
		fake_orders_started(fake, "00000000000000a2.0.0.0"));
}
END_TEST

/* A start reaches a worker that has started anew: its run lives. */
START_TEST(test_start_reaches_a_new_life)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_reply reply = { POOL_OK, 500, 2 };

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	pool_start_answered(lease_pool(fake->dispatch), fake->starts[0].token,
			    &reply, fake->now_ms);
	fake_orders_pass(fake, 50);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/*
 * Another leader gives up late: since its worker started anew, without a
 * fencing token, it could start tasks there though we held the worker before.
 */
START_TEST(test_looks_again_before_a_job_of_another_leader)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_run row = { TASK, 1, 10 };
	struct pool_reply reply = { POOL_OK, 500, 2 };
	size_t holds;

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_worker(fake, "w2", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_pass(fake, 1000);
	holds = fake->hold_count;
	job.handed = 1;
	job.closed_in_ms = 1100;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 0);
	ck_assert_uint_eq(fake->hold_count, holds + 2);
	fake_orders_answer_hold(fake, "w2", NULL, 0, NULL, 0);
	ck_assert_uint_eq(fake->start_count, 0);
	/* The new life of w1 is asked for its lists. */
	for (size_t i = holds; i < fake->hold_count; i++)
		if (!strcmp(fake->holds[i].worker, "w1") &&
		    !fake->holds[i].answered) {
			fake->holds[i].answered = true;
			pool_hold_answered(lease_pool(fake->dispatch), "w1",
					   fake->holds[i].serial, &reply, NULL,
					   fake->now_ms);
			break;
		}
	fake_orders_worker_reborn(fake, "w1", 2);
	fake_orders_answer_hold(fake, "w1", &row, 1, NULL, 0);
	fake_orders_pass(fake, 50);
	ck_assert_uint_eq(fake->start_count, 0);
}
END_TEST

/* Two claimed at once: the lower one hands its jobs on in a moment. */
START_TEST(test_just_fenced_refuses_nothing)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_reply fenced = { .answer = POOL_FENCED };

	fake_orders_worker(fake, "w1", 4000);
	lease_lead(fake->dispatch, 5, fake->now_ms);
	pool_hold_answered(lease_pool(fake->dispatch), "w1",
			   fake->holds[0].serial, &fenced, NULL, fake->now_ms);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->answer_count, 0);
}
END_TEST

/* Workers that are about to be held count when a new leader judges jobs. */
START_TEST(test_takeover_refuses_nothing)
{
	struct lease_submission many = fake_orders_submission(ID, 40);
	struct lease_submission job =
		fake_orders_submission("00000000000000a2", 1);

	fake_orders_worker(fake, "w1", 1000);
	fake_orders_worker(fake, "w2", 16000);
	lease_lead(fake->dispatch, 5, fake->now_ms);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_submit(fake, &many);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->answer_count, 0);
}
END_TEST

/* Jobs that are handed on come all at once: they are no rush of arrivals. */
START_TEST(test_jobs_handed_on_are_no_rush)
{
	struct lease_submission next =
		fake_orders_submission("00000000000000b1", 1);
	char id[STEP_JOB_ID_BYTES];

	fake_orders_worker(fake, "w1", 16000);
	lease_lead(fake->dispatch, 5, fake->now_ms);
	for (int i = 0; i < 4; i++) {
		struct lease_submission job = fake_orders_submission(id, 16);

		snprintf(id, sizeof(id), "%016x", 0xa0 + i);
		job.handed = 1;
		job.closed_in_ms = 1100;
		fake_orders_submit(fake, &job);
	}
	fake_orders_pass(fake, 30);
	fake_orders_submit(fake, &next);
	ck_assert_uint_eq(fake->answer_count, 0);
}
END_TEST

/*
 * All workers obey another leader, whose claim has not been heard yet: that is
 * no overload.
 */
START_TEST(test_fenced_off_is_no_overload)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission next =
		fake_orders_submission("00000000000000a2", 1);
	struct pool_reply fenced = { .answer = POOL_FENCED };

	job.objective_ms = next.objective_ms = 1000;
	fake_orders_worker(fake, "w1", 4000);
	lease_lead(fake->dispatch, 5, fake->now_ms);
	fake_orders_submit(fake, &job);
	fake_orders_submit(fake, &next);
	pool_hold_answered(lease_pool(fake->dispatch), "w1",
			   fake->holds[0].serial, &fenced, NULL, fake->now_ms);
	fake_orders_pass(fake, 1200);
	ck_assert_uint_eq(fake->answer_count, 0);
}
END_TEST

/* A leader that has just started may not know a worker that is cut off. */
START_TEST(test_young_leader_waits)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	fake->now_ms -= POOL_DOUBT_MS;
	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	job.handed = 1;
	job.closed_in_ms = 1100;
	fake_orders_submit(fake, &job);
	fake_orders_pass(fake, 1050);
	ck_assert_uint_eq(fake->start_count, 0);
	fake_orders_pass(fake, 100);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/* A job whose deadline has passed, say while the process was paused. */
START_TEST(test_nothing_starts_after_the_deadline)
{
	struct lease_submission first = fake_orders_submission(ID, 1);
	struct lease_submission job =
		fake_orders_submission("00000000000000a2", 1);
	struct pool_listed_end end = { 1, TASK, 1, POOL_DONE };

	fake_orders_worker(fake, "w1", 1000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &first);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 1);
	fake->now_ms += 5000;
	fake_orders_answer_hold(fake, "w1", NULL, 0, &end, 1);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/* A hold that waits for an end is lost: what it would have told is not known.
 */
START_TEST(test_silence_is_no_hung_task)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	fake_orders_pass(fake, 850);
	ck_assert_uint_eq(fake->stop_count, 0);
}
END_TEST

/* The end of a short task is not waited for as long as a lease lasts. */
START_TEST(test_hold_waits_as_long_as_a_task)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	const struct fake_orders_hold *hold;

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	hold = &fake->holds[fake->hold_count - 1];
	ck_assert_uint_ge(hold->wait_ms, 100);
	/* A task of 100 ms is still on time after 60 ms more than 160 ms. */
	ck_assert_uint_le(hold->timeout_ms, 400);
}
END_TEST

/* One lost answer says nothing about the worker. */
START_TEST(test_one_lost_hold)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission next =
		fake_orders_submission("00000000000000a2", 1);
	size_t holds;

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	holds = fake->hold_count;
	fake_orders_lose_hold(fake, "w1");
	ck_assert_uint_eq(fake->hold_count, holds + 1);
	fake_orders_submit(fake, &next);
	ck_assert_uint_eq(fake->start_count, 2);
	/* Two in a row do. */
	fake_orders_lose_hold(fake, "w1");
	next.id = "00000000000000a3";
	fake_orders_submit(fake, &next);
	ck_assert_uint_eq(fake->start_count, 2);
}
END_TEST

/* The lists tell of a start that is not answered, sooner than its timeout. */
START_TEST(test_unanswered_start_is_looked_up)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	const struct fake_orders_order *stop;

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_worker(fake, "w2", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_pass(fake, 50);
	fake_orders_answer_hold(fake, fake->starts[0].worker, NULL, 0, NULL, 0);
	stop = fake_orders_stopped(fake, TASK);
	ck_assert_ptr_nonnull(stop);
	/* Its answer may come yet; the task waits for the stop all the same. */
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_answer_stop(fake, stop, POOL_OK);
	fake_orders_pass(fake, 100);
	ck_assert_uint_eq(fake->start_count, 2);
}
END_TEST

/* Where all answers are slow, looks would only add to the load. */
START_TEST(test_slow_answers_are_not_looked_up)
{
	size_t holds;

	fake_orders_worker(fake, "w1", 64000);
	fake_orders_lead(fake, 5);
	for (int i = 0; i < 40; i++) {
		char id[STEP_JOB_ID_BYTES];
		struct lease_submission job = fake_orders_submission(id, 1);

		snprintf(id, sizeof(id), "%016x", 0xa0 + i);
		fake_orders_submit(fake, &job);
		holds = fake->hold_count;
		fake_orders_pass(fake, 50);
		if (i == 39)
			ck_assert_uint_eq(fake->hold_count, holds);
		fake_orders_answer_start(
			fake, &fake->starts[fake->start_count - 1], POOL_OK);
		fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
		lease_cancel(fake->dispatch, &job.waiter, id, fake->now_ms);
	}
}
END_TEST

/* The same where the answer was only slow: it runs. */
START_TEST(test_slow_start_goes_on)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct pool_listed_run row = { TASK, 1, 10 };

	fake_orders_worker(fake, "w1", 4000);
	fake_orders_lead(fake, 5);
	fake_orders_submit(fake, &job);
	fake_orders_pass(fake, 50);
	fake_orders_answer_hold(fake, "w1", &row, 1, NULL, 0);
	fake_orders_pass(fake, 50);
	fake_orders_answer_start(fake, &fake->starts[0], POOL_OK);
	ck_assert_uint_eq(fake->stop_count, 0);
}
END_TEST

int main(void)
{
	return RUN_CASE(
		"lease_dispatch", set_up, tear_down, test_serves,
		test_adopts_a_run_found_later, test_adopts_an_end_found_later,
		test_stops_a_second_run, test_unanswered_start,
		test_silent_worker, test_attempts, test_refusals, test_cancel,
		test_fenced, test_waits_for_a_worker_cut_off,
		test_waits_for_a_lapsed_worker, test_start_reaches_a_new_life,
		test_looks_again_before_a_job_of_another_leader,
		test_nothing_starts_after_the_deadline, test_young_leader_waits,
		test_just_fenced_refuses_nothing, test_takeover_refuses_nothing,
		test_silence_is_no_hung_task, test_hold_waits_as_long_as_a_task,
		test_one_lost_hold, test_unanswered_start_is_looked_up,
		test_slow_answers_are_not_looked_up, test_slow_start_goes_on,
		test_jobs_handed_on_are_no_rush,
		test_fenced_off_is_no_overload);
}
