/*
 * A job is shown as failed for crashes only if workers crashed while they ran
 * one of its tasks: a worker that was silent may have crashed after the run.
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
#define RUN_MS 50 /* until a worker crashes or is cut off */
#define SILENT_MS 3500 /* longer than a lease */
#define DOWN_MS 2500 /* longer than a lease, until a worker is back */
#define STEP_MS 100
#define MAX_ALONE_CRASHES 2 /* that are seen */
#define CUTS MAX_ALONE_CRASHES
#define MAX_CRASHES 5 /* BUDGET: two starts after three crashes */
/* For so many starts, each of which may be carried out late. */
#define LONG_BUDGET_MS (MAX_CRASHES * 20000)

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

static void submit_for(const char *id, uint64_t budget_ms)
{
	struct lease_submission job = fake_orders_submission(id, 1);
	struct job_step step = job.steps[0];

	step.estimate_ms = TASK_MS;
	job.steps = &step;
	job.remaining_ms = budget_ms;
	fake_orders_submit(fake, &job);
}

static void submit(const char *id)
{
	submit_for(id, BUDGET_MS);
}

/* The last start of the task is acknowledged; returns its worker. */
static const char *acknowledge(void)
{
	const struct fake_orders_order *start = fake_orders_started(fake, TASK);

	ck_assert_ptr_nonnull(start);
	fake_orders_answer_start(fake, start, POOL_OK);
	return start->worker;
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

/* The worker does not answer holds, the others do. */
static void stay_silent(const char *worker, uint64_t ms)
{
	for (uint64_t i = 0; i < ms; i += STEP_MS) {
		fake_orders_lose_hold(fake, worker);
		answer_mates(worker);
		fake_orders_advance(fake, STEP_MS);
	}
}

/* It answers as a new process, which began at born_ms. */
static void restart(const char *worker, uint64_t born_ms)
{
	struct fake_orders_report report = { .id = worker,
					     .born_ms = born_ms,
					     .milli = 4000 };

	fake_orders_restart_worker(fake, worker, born_ms);
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

static bool has_failed(void)
{
	return fake->answer_count && fake->answers[0].end == LEASE_FAILED;
}

/* A worker is cut off, outlives its lease and restarts behind the cut. */
START_TEST(test_restart_long_after_the_lease_is_no_crash)
{
	submit(ID);
	for (int i = 0; i < WORKERS; i++) {
		char worker[32];

		snprintf(worker, sizeof(worker), "%s", acknowledge());
		fake_orders_advance(fake, RUN_MS);
		stay_silent(worker, SILENT_MS);
		restart(worker, fake->now_ms);
		ck_assert_uint_eq(count_charges(), 0);
		ck_assert_msg(!fake->answer_count, "cut %d: the job has ended",
			      i);
	}
	ck_assert_uint_gt(fake->start_count, WORKERS);
}
END_TEST

/* As above, and the registration of the new process is read first. */
START_TEST(test_registration_read_before_the_lapse_is_no_crash)
{
	submit(ID);
	for (int i = 0; i < WORKERS; i++) {
		char worker[32];

		snprintf(worker, sizeof(worker), "%s", acknowledge());
		fake_orders_advance(fake, RUN_MS);
		stay_silent(worker, FAKE_ORDERS_LEASE_MS - STEP_MS);
		restart(worker, fake->now_ms);
		ck_assert_uint_eq(count_charges(), 0);
		ck_assert_uint_eq(fake->answer_count, 0);
	}
}
END_TEST

/* The answer to a hold, which may have listed the run's end, is lost. */
START_TEST(test_crash_after_a_lost_answer_is_no_crash_of_the_task)
{
	submit(ID);
	for (int i = 0; i < WORKERS; i++) {
		char worker[32];

		snprintf(worker, sizeof(worker), "%s", acknowledge());
		fake_orders_advance(fake, RUN_MS);
		fake_orders_lose_hold(fake, worker);
		fake_orders_advance(fake, STEP_MS);
		fake_orders_close_hold(fake, worker);
		fake_orders_advance(fake, STEP_MS);
		restart(worker, fake->now_ms);
		ck_assert_uint_eq(count_charges(), 0);
		ck_assert_uint_eq(fake->answer_count, 0);
	}
}
END_TEST

/* Starts without an answer were perhaps not carried out. */
START_TEST(test_crash_under_a_start_without_an_answer_is_not_charged)
{
	struct lease_submission other = fake_orders_submission(OTHER_ID, 1);
	char worker[32];

	submit(ID);
	other.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &other);
	snprintf(worker, sizeof(worker), "%s",
		 fake_orders_started(fake, TASK)->worker);
	fake_orders_answer_start(fake, fake_orders_started(fake, OTHER_TASK),
				 POOL_OK);
	fake_orders_advance(fake, RUN_MS);
	fake_orders_close_hold(fake, worker);
	for (int i = 0; i < DOWN_MS; i += STEP_MS) {
		fake_orders_refuse_hold(fake, worker);
		answer_mates(worker);
		fake_orders_advance(fake, STEP_MS);
	}
	restart(worker, fake->now_ms);
	ck_assert_ptr_nonnull(crash_find(lease_crashes(fake->dispatch), TASK));
	ck_assert_uint_eq(count_charges(), 0);
}
END_TEST

/* Runs that a lost leader announced may have ended before the crash. */
START_TEST(test_announced_runs_of_a_lost_leader_fail_no_job)
{
	struct crash_note run = {
		.noted_ms = fake->now_ms,
		.born_ms = 1,
		.is_alone = true,
		.is_doubtful = true,
	};

	for (int i = 1; i <= WORKERS; i++) {
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		run.worker = crash_worker_key(id);
		crash_note(lease_crashes(fake->dispatch), TASK, &run);
		restart(id, fake->now_ms);
	}
	submit(ID);
	fake_orders_advance(fake, STEP_MS);
	ck_assert_uint_eq(count_charges(), 0);
	ck_assert_uint_eq(fake->answer_count, 0);
	ck_assert_ptr_nonnull(fake_orders_started(fake, TASK));
}
END_TEST

/* A leader announces its runs, which another one must not take for crashes. */
START_TEST(test_announced_runs_are_doubtful)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	const struct crash_record *ahead;

	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	acknowledge();
	lease_release(fake->dispatch);
	ahead = crash_find(lease_crashes_ahead(fake->dispatch), TASK);
	ck_assert_ptr_nonnull(ahead);
	for (uint32_t i = 0; i < ahead->count; i++)
		ck_assert(ahead->crashes[i].is_doubtful);
}
END_TEST

/*
 * Crashes each worker that starts the task, until the job has ended; returns
 * the number of crashes.
 */
static uint32_t crash_all(void (*go_down)(const char *worker))
{
	uint64_t end_ms = fake->now_ms + BUDGET_MS;
	uint64_t last_token = 0;
	uint32_t crashes = 0;

	while (fake->now_ms < end_ms && !fake->answer_count) {
		const struct fake_orders_order *start =
			fake_orders_started(fake, TASK);
		char worker[32];

		if (start->token == last_token) {
			answer_mates("");
			fake_orders_advance(fake, STEP_MS);
			continue;
		}
		last_token = start->token;
		snprintf(worker, sizeof(worker), "%s", acknowledge());
		fake_orders_advance(fake, RUN_MS);
		go_down(worker);
		restart(worker, fake->now_ms);
		crashes++;
	}
	return crashes;
}

static void close_connections(const char *worker)
{
	fake_orders_close_hold(fake, worker);
	for (int i = 0; i < DOWN_MS; i += STEP_MS) {
		fake_orders_refuse_hold(fake, worker);
		answer_mates(worker);
		fake_orders_advance(fake, STEP_MS);
	}
}

/* The worker's machine loses power: nothing closes its connections. */
static void lose_power(const char *worker)
{
	stay_silent(worker, DOWN_MS);
}

START_TEST(test_worker_down_for_longer_than_its_lease_has_crashed)
{
	submit(ID);
	ck_assert_uint_eq(crash_all(close_connections), MAX_ALONE_CRASHES);
	ck_assert(has_failed());
	ck_assert_int_eq(fake->answers[0].reason, LEASE_CRASHES);
}
END_TEST

START_TEST(test_task_that_silences_workers_is_bounded)
{
	submit(ID);
	ck_assert_uint_le(crash_all(lose_power), MAX_CRASHES);
	ck_assert(has_failed());
	ck_assert_int_eq(fake->answers[0].reason, LEASE_CRASHES);
}
END_TEST

/* Orders of events that leave open whether the run had ended before. */

/* The last start of the task is acknowledged; fills in its worker. */
static void run_on(char worker[32])
{
	snprintf(worker, 32, "%s", acknowledge());
	fake_orders_advance(fake, RUN_MS);
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

/* Tasks start on the first worker only. */
static void drain_mates(void)
{
	for (int i = 2; i <= WORKERS; i++) {
		char id[8];
		struct fake_orders_report report = {
			.id = id, .born_ms = 1, .milli = 1000, .draining = true
		};

		snprintf(id, sizeof(id), "w%d", i);
		fake_orders_report(fake, &report);
	}
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

		run_on(worker);
		pass(worker, 300, NULL);
		restart(worker, fake->now_ms);
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

		run_on(worker);
		fake_orders_close_hold(fake, worker);
		pass(worker, SILENT_MS, fake_orders_lose_hold);
		restart(worker, fake->now_ms);
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

		run_on(worker);
		fake_orders_close_hold(fake, worker);
		pass(worker, STEP_MS, fake_orders_lose_hold);
		pass(worker, DOWN_MS, fake_orders_refuse_hold);
		restart(worker, fake->now_ms);
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

	drain_mates();
	submit(ID);
	run_on(worker);
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
	restart(worker, fake->now_ms);
	check_not_charged(1);
}
END_TEST

/* The run ends and its process does, before the next hold arrives there. */
START_TEST(test_crash_between_two_holds)
{
	submit(ID);
	for (int i = 0; i < CUTS; i++) {
		char worker[32];

		run_on(worker);
		for (int t = 0; t < TASK_MS; t += STEP_MS) {
			answer_mates("");
			fake_orders_advance(fake, STEP_MS);
		}
		pass(worker, DOWN_MS, fake_orders_refuse_hold);
		restart(worker, fake->now_ms);
	}
	check_not_charged(CUTS);
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

	drain_mates();
	submit(ID);
	run_on(worker);
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

		run_on(worker);
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
	run_on(worker);
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

/* No worker runs anything. */
static void pass_idle(uint64_t ms)
{
	for (int i = 1; i <= WORKERS; i++) {
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		fake_orders_answer_hold(fake, id, NULL, 0, NULL, 0);
	}
	fake_orders_advance(fake, ms);
}

/* BUDGET: a task that crashes workers before its start is acknowledged. */
START_TEST(test_crash_before_the_answer_is_bounded)
{
	uint64_t last_token = 0;
	uint32_t crashes = 0;

	submit_for(ID, LONG_BUDGET_MS);
	for (int i = 0; i < LONG_BUDGET_MS && !fake->answer_count;
	     i += STEP_MS) {
		const struct fake_orders_order *start =
			fake_orders_started(fake, TASK);
		char worker[32];

		if (start->token == last_token) {
			pass_idle(STEP_MS);
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
		restart(worker, fake->now_ms);
		crashes++;
	}
	ck_assert_uint_gt(crashes, 0);
	ck_assert_uint_le(crashes, MAX_CRASHES);
	ck_assert(fake->answer_count && fake->answers[0].end == LEASE_FAILED);
}
END_TEST

/* A cut that resets connections, of several workers at a time. */

#define CUT_WORKERS 5 /* one of them runs the task */
#define ALL_WORKERS 12
#define OTHER_BUDGET_MS 2000
#define SERVE_MS 10

/* Each worker has a rack of its own. */
static void add_workers(void)
{
	for (int i = 1; i <= ALL_WORKERS; i++) {
		char id[8];
		struct fake_orders_report report = {
			.id = id, .label = id, .born_ms = 1, .milli = 4000
		};

		snprintf(id, sizeof(id), "w%d", i);
		fake_orders_report(fake, &report);
	}
	fake_orders_lead(fake, 10);
}

static void submit_wide(const char *id, uint32_t budget_ms)
{
	struct lease_submission job = fake_orders_submission(id, 1);
	struct job_step step = job.steps[0];

	step.estimate_ms = budget_ms / 2;
	step.demand.cpu_milli = 4000;
	job.steps = &step;
	job.objective_ms = job.remaining_ms = budget_ms;
	fake_orders_submit(fake, &job);
}

/* The last start on a worker, which fills it; NULL if it was stopped. */
static const struct fake_orders_order *find_run(const char *worker)
{
	for (size_t i = fake->start_count; i-- > 0;) {
		const struct fake_orders_order *start = &fake->starts[i];
		const struct fake_orders_order *stop;

		if (strcmp(start->worker, worker) != 0)
			continue;
		stop = fake_orders_stopped(fake, start->task);
		return stop && stop->token == start->token ? NULL : start;
	}
	return NULL;
}

/* All workers that are not cut off answer. */
static void serve(char cut[CUT_WORKERS][32], uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += SERVE_MS) {
		for (size_t i = 0; i < fake->stop_count; i++)
			fake_orders_answer_stop(fake, &fake->stops[i], POOL_OK);
		for (int i = 1; i <= ALL_WORKERS; i++) {
			const struct fake_orders_order *start;
			struct pool_listed_run run;
			bool is_cut = false;
			char id[8];

			snprintf(id, sizeof(id), "w%d", i);
			for (int c = 0; cut && c < CUT_WORKERS; c++)
				is_cut |= !strcmp(cut[c], id);
			if (is_cut) {
				fake_orders_refuse_hold(fake, id);
				continue;
			}
			start = find_run(id);
			if (start) {
				run = (struct pool_listed_run){ start->task,
								start->number,
								1 };
				fake_orders_answer_start(fake, start, POOL_OK);
			}
			fake_orders_answer_hold(fake, id, &run, start != NULL,
						NULL, 0);
		}
		fake_orders_advance(fake, SERVE_MS);
	}
}

/* The workers are cut off, outlive their leases and restart. */
static void cut_off(char workers[CUT_WORKERS][32])
{
	for (int i = 0; i < CUT_WORKERS; i++)
		fake_orders_close_hold(fake, workers[i]);
	serve(workers, DOWN_MS);
	for (int i = 0; i < CUT_WORKERS; i++) {
		struct fake_orders_report report = { .id = workers[i],
						     .label = workers[i],
						     .born_ms = fake->now_ms,
						     .milli = 4000 };

		fake_orders_restart_worker(fake, workers[i], fake->now_ms);
		fake_orders_report(fake, &report);
		fake_orders_answer_hold(fake, workers[i], NULL, 0, NULL, 0);
		fake_orders_answer_hold(fake, workers[i], NULL, 0, NULL, 0);
	}
}

/* The other jobs end at their deadlines: no task is known to be innocent. */
START_TEST(test_cuts_that_reset_connections_fail_no_job)
{
	uint64_t jobs = 1000;

	add_workers();
	submit_wide(ID, BUDGET_MS);
	for (int cut = 0; cut < MAX_ALONE_CRASHES; cut++) {
		char workers[CUT_WORKERS][32];
		int count = 0;

		for (int i = 0; i < ALL_WORKERS; i++) {
			char id[STEP_JOB_ID_BYTES];

			snprintf(id, sizeof(id), "%016x", (int)jobs++);
			submit_wide(id, OTHER_BUDGET_MS);
		}
		serve(NULL, RUN_MS);
		snprintf(workers[count++], 32, "%s",
			 fake_orders_started(fake, TASK)->worker);
		for (int i = 1; i <= ALL_WORKERS && count < CUT_WORKERS; i++) {
			char id[8];

			snprintf(id, sizeof(id), "w%d", i);
			if (find_run(id) && strcmp(workers[0], id) != 0)
				snprintf(workers[count++], 32, "%s", id);
		}
		ck_assert_int_eq(count, CUT_WORKERS);
		cut_off(workers);
		serve(NULL, OTHER_BUDGET_MS);
	}
	ck_assert_uint_ge(count_charges(), MAX_ALONE_CRASHES);
	for (size_t i = 0; i < fake->answer_count; i++)
		ck_assert_int_ne(fake->answers[i].reason, LEASE_CRASHES);
}
END_TEST

int main(void)
{
	return RUN_CASE(
		"lease_crash_charge", set_up, tear_down,
		test_restart_long_after_the_lease_is_no_crash,
		test_registration_read_before_the_lapse_is_no_crash,
		test_crash_after_a_lost_answer_is_no_crash_of_the_task,
		test_crash_under_a_start_without_an_answer_is_not_charged,
		test_announced_runs_of_a_lost_leader_fail_no_job,
		test_announced_runs_are_doubtful,
		test_worker_down_for_longer_than_its_lease_has_crashed,
		test_task_that_silences_workers_is_bounded,
		test_cuts_that_reset_connections_fail_no_job,
		test_restart_read_while_a_hold_is_pending,
		test_reset_before_a_cut, test_lost_answer_after_a_reset,
		test_refused_start_while_a_hold_is_pending,
		test_crash_between_two_holds,
		test_another_process_while_a_hold_is_pending,
		test_planned_leave_that_is_not_read,
		test_members_learn_that_a_worker_lives,
		test_crash_before_the_answer_is_bounded);
}
