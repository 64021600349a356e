/*
 * A job is shown as failed for crashes only if workers crashed while they ran
 * one of its tasks. Orders of events in which that cannot be told: a restart is
 * read before the pending hold has failed, a connection is reset before a cut,
 * a start finds nobody while a hold's answer is lost, a planned leave is not
 * read, members are not told that a worker lives.
 */
#include <stdio.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "fake_orders.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define OTHER_ID "00000000000000a2"
#define OTHER_TASK OTHER_ID ".0.0.0"
#define WORKERS 4
#define BUDGET_MS 30000
#define TASK_MS 3000
#define RUN_MS 50
#define SILENT_MS 3500 /* longer than a lease */
#define DOWN_MS 2500
#define STEP_MS 100
#define CUTS 2 /* as many as prove the guilt of a task that ran alone */
#define MAX_CRASHES 5 /* BUDGET: two starts after three crashes */

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

static void submit(const char *id)
{
	struct lease_submission job = fake_orders_submission(id, 1);
	struct job_step step = job.steps[0];

	step.estimate_ms = TASK_MS;
	job.steps = &step;
	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
}

/* The last start of the task is acknowledged; fills in its worker. */
static void acknowledge(char worker[32])
{
	const struct fake_orders_order *start = fake_orders_started(fake, TASK);

	ck_assert_ptr_nonnull(start);
	snprintf(worker, 32, "%s", start->worker);
	fake_orders_answer_start(fake, start, POOL_OK);
	fake_orders_advance(fake, RUN_MS);
}

/* The other workers answer; one of them may run the task by now. */
static void answer_mates(const char *except)
{
	const struct fake_orders_order *start = fake_orders_started(fake, TASK);
	struct pool_listed_run run = { TASK, start ? start->number : 0, 1 };

	for (int i = 1; i <= WORKERS; i++) {
		bool runs;
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		if (!strcmp(id, except))
			continue;
		runs = start && !strcmp(id, start->worker);
		if (runs)
			fake_orders_answer_start(fake, start, POOL_OK);
		fake_orders_answer_hold(fake, id, &run, runs, NULL, 0);
	}
}

static void pass(const char *worker, uint64_t ms,
		 void (*report)(struct fake_orders *f, const char *worker))
{
	for (uint64_t i = 0; i < ms; i += STEP_MS) {
		if (report)
			report(fake, worker);
		answer_mates(worker);
		fake_orders_advance(fake, STEP_MS);
	}
}

/* No connection to the worker comes about in time. */
static void fail_to_connect(struct fake_orders *f, const char *worker)
{
	struct pool_reply none = { .answer = POOL_NOT_SENT };

	for (size_t i = 0; i < f->hold_count && i < FAKE_ORDERS_MAX; i++) {
		struct fake_orders_hold *hold = &f->holds[i];

		if (hold->answered || strcmp(hold->worker, worker) != 0)
			continue;
		hold->answered = true;
		pool_hold_answered(lease_pool(f->dispatch), worker,
				   hold->serial, &none, NULL, f->now_ms);
	}
}

/* The registration of a new process is read, which then answers holds. */
static void restart(const char *worker)
{
	struct fake_orders_report report = { .id = worker,
					     .born_ms = fake->now_ms,
					     .milli = 4000 };

	fake_orders_restart_worker(fake, worker, fake->now_ms);
	fake_orders_report(fake, &report);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	answer_mates(worker);
	fake_orders_advance(fake, STEP_MS);
}

/* Returns how many confirmed crashes count against the task. */
static uint32_t count_charges(void)
{
	const struct crash_record *record =
		crash_find(lease_crashes(fake->dispatch), TASK);
	uint32_t count = 0;

	for (uint32_t i = 0; record && i < record->count; i++)
		count += record->crashes[i].is_confirmed &&
			 !record->crashes[i].is_doubtful;
	return count;
}

static void check_not_charged(int cut)
{
	ck_assert_msg(
		!fake->answer_count || fake->answers[0].reason != LEASE_CRASHES,
		"cut %d: the job is shown as failed, worker_crashes", cut);
	ck_assert_msg(!count_charges(), "cut %d: %u crashes are charged", cut,
		      count_charges());
}

/*
 * For 0.3 s the worker is cut off: its run ends, the answer that lists the end
 * is lost, and it restarts. Its registration is read before the hold fails.
 */
START_TEST(test_restart_read_while_a_hold_is_pending)
{
	submit(ID);
	for (int i = 0; i < CUTS; i++) {
		char worker[32];

		acknowledge(worker);
		pass(worker, 300, NULL);
		restart(worker);
	}
	check_not_charged(CUTS);
}
END_TEST

/*
 * The worker's connections are reset, then it is cut off, outlives its lease
 * and restarts behind the cut.
 */
START_TEST(test_reset_before_a_cut)
{
	submit(ID);
	for (int i = 0; i < CUTS; i++) {
		char worker[32];

		acknowledge(worker);
		fake_orders_close_hold(fake, worker);
		pass(worker, SILENT_MS, fake_orders_lose_hold);
		restart(worker);
	}
	check_not_charged(CUTS);
}
END_TEST

/*
 * The connections are reset; the answer to the next hold, which lists the end,
 * is lost; after that the process ends, within the lease.
 */
START_TEST(test_lost_answer_after_a_reset)
{
	submit(ID);
	for (int i = 0; i < CUTS; i++) {
		char worker[32];

		acknowledge(worker);
		fake_orders_close_hold(fake, worker);
		pass(worker, STEP_MS, fake_orders_lose_hold);
		pass(worker, DOWN_MS, fake_orders_refuse_hold);
		restart(worker);
	}
	check_not_charged(CUTS);
}
END_TEST

/*
 * The run ends and the answer to the pending hold, which lists that, is lost.
 * Then the process ends, and a start of another task finds nobody before the
 * hold has timed out.
 */
START_TEST(test_refused_start_while_a_hold_is_pending)
{
	const struct fake_orders_order *other;
	char worker[32];

	for (int i = 2; i <= WORKERS; i++) {
		char id[8];
		struct fake_orders_report report = {
			.id = id, .born_ms = 1, .milli = 1000, .draining = true
		};

		snprintf(id, sizeof(id), "w%d", i);
		fake_orders_report(fake, &report);
	}
	submit(ID);
	acknowledge(worker);
	ck_assert_str_eq(worker, "w1");
	submit(OTHER_ID);
	other = fake_orders_started(fake, OTHER_TASK);
	ck_assert_ptr_nonnull(other);
	ck_assert_str_eq(other->worker, worker);
	fake_orders_answer_start(fake, other, POOL_REFUSED);
	fake_orders_advance(fake, STEP_MS);
	fake_orders_lose_hold(fake, worker);
	for (int i = 0; i < DOWN_MS; i += STEP_MS) {
		fake_orders_refuse_hold(fake, worker);
		fake_orders_advance(fake, STEP_MS);
	}
	restart(worker);
	check_not_charged(1);
}
END_TEST

/*
 * The run's end is in the lost answer to the pending hold, as above, and a
 * start is answered by another process at the worker's address (421).
 */
START_TEST(test_another_process_while_a_hold_is_pending)
{
	const struct fake_orders_order *other;
	char worker[32];

	for (int i = 2; i <= WORKERS; i++) {
		char id[8];
		struct fake_orders_report report = {
			.id = id, .born_ms = 1, .milli = 1000, .draining = true
		};

		snprintf(id, sizeof(id), "w%d", i);
		fake_orders_report(fake, &report);
	}
	submit(ID);
	acknowledge(worker);
	submit(OTHER_ID);
	other = fake_orders_started(fake, OTHER_TASK);
	ck_assert_ptr_nonnull(other);
	ck_assert_str_eq(other->worker, worker);
	fake_orders_answer_start(fake, other, POOL_RESTARTED);
	check_not_charged(1);
}
END_TEST

/*
 * The leader does not follow the list of workers, cut off from the store. A
 * worker has reported there that it drains, and leaves as planned; a hold is
 * answered by the next process.
 */
START_TEST(test_planned_leave_that_is_not_read)
{
	submit(ID);
	pool_note_list_current(lease_pool(fake->dispatch), fake->now_ms);
	pool_note_list_dropped(lease_pool(fake->dispatch));
	for (int i = 0; i < CUTS; i++) {
		char worker[32];

		acknowledge(worker);
		fake_orders_close_hold(fake, worker);
		pass(worker, DOWN_MS, fake_orders_refuse_hold);
		fake_orders_restart_worker(fake, worker, fake->now_ms);
		fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
		fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
		pass(worker, 2000, NULL);
	}
	check_not_charged(CUTS);
}
END_TEST

/*
 * A worker that was taken for crashed answers again: members that were told of
 * the crash must be told of that, too, or the next leader confirms it when the
 * worker restarts later.
 */
START_TEST(test_members_learn_that_a_worker_lives)
{
	const struct crash_record *ahead;
	const struct crash_record *record;
	bool is_told = false;
	char worker[32];

	submit(ID);
	acknowledge(worker);
	fake_orders_close_hold(fake, worker);
	pass(worker, DOWN_MS, fail_to_connect);
	record = crash_find(lease_crashes(fake->dispatch), TASK);
	ck_assert_ptr_nonnull(record);
	ck_assert(!record->crashes[0].is_doubtful); /* members have this */
	crash_mark_all_sent(lease_crashes(fake->dispatch));
	crash_clear(lease_crashes_ahead(fake->dispatch));
	fake_orders_advance(fake, 1000);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	fake_orders_advance(fake, STEP_MS);
	ck_assert_ptr_null(crash_find(lease_crashes(fake->dispatch), TASK));
	ahead = crash_find(lease_crashes_ahead(fake->dispatch), TASK);
	for (uint32_t i = 0; ahead && i < ahead->count; i++)
		is_told |=
			ahead->crashes[i].worker == crash_worker_key(worker) &&
			ahead->crashes[i].is_withdrawn;
	ck_assert(is_told);
}
END_TEST

/* BUDGET: a task that crashes workers before its start is acknowledged. */
START_TEST(test_crash_before_the_answer_is_bounded)
{
	uint64_t last_token = 0;
	uint32_t crashes = 0;

	submit(ID);
	for (int i = 0; i < 300 && !fake->answer_count; i++) {
		const struct fake_orders_order *start =
			fake_orders_started(fake, TASK);
		char worker[32];

		if (start->token == last_token) {
			answer_mates("");
			fake_orders_advance(fake, STEP_MS);
			continue;
		}
		last_token = start->token;
		snprintf(worker, sizeof(worker), "%s", start->worker);
		fake_orders_answer_start(fake, start, POOL_CLOSED);
		fake_orders_close_hold(fake, worker);
		for (int t = 0; t < DOWN_MS; t += STEP_MS) {
			fake_orders_refuse_hold(fake, worker);
			fake_orders_advance(fake, STEP_MS);
		}
		restart(worker);
		crashes++;
	}
	ck_assert_uint_gt(crashes, 0);
	ck_assert_uint_le(crashes, MAX_CRASHES);
	ck_assert(fake->answer_count && fake->answers[0].end == LEASE_FAILED);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_crash_evidence", set_up, tear_down,
			test_restart_read_while_a_hold_is_pending,
			test_reset_before_a_cut, test_lost_answer_after_a_reset,
			test_refused_start_while_a_hold_is_pending,
			test_another_process_while_a_hold_is_pending,
			test_planned_leave_that_is_not_read,
			test_members_learn_that_a_worker_lives,
			test_crash_before_the_answer_is_bounded);
}
