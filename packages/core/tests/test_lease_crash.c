/*
 * A task that crashes the workers that start it: after three crashes it is
 * started no more, whatever leads meanwhile, and no other job suffers for it.
 */
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/tests/run_suite.h"
#include "fake_orders.h"
#include "fake_site.h"

#define ID "00000000000000a1"
#define TASK ID ".0.0.0"
#define MAX_CRASHES 3
#define MAX_ALONE_CRASHES 2 /* of workers that ran nothing else */
/* With lost answers, some crashes are doubtful (BUDGET: two more starts). */
#define MAX_DOUBTFUL_CRASHES 5
#define RUN_MS 50 /* until the worker crashes */
#define DOWN_MS 300
#define RETRY_MS 1000 /* longest time until a silent worker's next hold */
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

/* The other workers, which run nothing, answer holds. */
static void answer_mates(const char *except)
{
	for (int i = 1; i <= 4; i++) {
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		if (strcmp(id, except) != 0)
			fake_orders_answer_hold(fake, id, NULL, 0, NULL, 0);
	}
}

/* The worker crashes, and answers holds as a new process. */
static void crash(const char *worker)
{
	fake_orders_restart_worker(fake, worker, fake->now_ms);
	fake_orders_advance(fake, DOWN_MS);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	answer_mates(worker);
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

/* Each start is acknowledged; returns the worker of the last one of a task. */
static const char *acknowledge(const char *task)
{
	const struct fake_orders_order *start = fake_orders_started(fake, task);

	ck_assert_ptr_nonnull(start);
	fake_orders_answer_start(fake, start, POOL_OK);
	return start->worker;
}

/*
 * A worker goes with a run of each of two jobs. Both tasks are tried alone, one
 * after the other: the neighbour completes, in any order.
 */
START_TEST(test_neighbour_of_a_crash_completes)
{
	static const char other_task[] = "00000000000000a2.0.0.0";
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission other =
		fake_orders_submission("00000000000000a2", 1);
	struct pool_listed_end end = { 1, other_task, 2, POOL_DONE };
	const struct fake_orders_order *start;
	uint32_t crashes = 1;
	char worker[32];

	job.remaining_ms = other.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	fake_orders_submit(fake, &other);
	snprintf(worker, sizeof(worker), "%s", acknowledge(TASK));
	ck_assert_str_eq(acknowledge(other_task), worker);
	crash(worker);
	fake_orders_advance(fake, 20);
	ck_assert_uint_eq(fake->start_count, 3);
	while (!strcmp(fake->starts[fake->start_count - 1].task, TASK)) {
		snprintf(worker, sizeof(worker), "%s", acknowledge(TASK));
		crash(worker);
		ck_assert_uint_le(++crashes, MAX_CRASHES);
		fake_orders_advance(fake, 20);
	}
	start = fake_orders_started(fake, other_task);
	ck_assert_uint_eq(start->number, 2);
	fake_orders_answer_start(fake, start, POOL_OK);
	fake_orders_answer_hold(fake, start->worker, NULL, 0, &end, 1);
	fake_orders_advance(fake, 20);
	if (crashes < MAX_CRASHES)
		crashes += crash_all(TASK);
	ck_assert_uint_eq(crashes, MAX_CRASHES);
	ck_assert_uint_eq(fake->answer_count, 2);
	for (int i = 0; i < 2; i++)
		if (fake->answers[i].waiter.request != job.waiter.request)
			ck_assert_int_eq(fake->answers[i].end, LEASE_COMPLETED);
		else
			ck_assert_int_eq(fake->answers[i].reason,
					 LEASE_CRASHES);
}
END_TEST

/* No other task starts beside a suspect. */
START_TEST(test_start_beside_a_suspect)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission other =
		fake_orders_submission("00000000000000a2", 20);
	char worker[32];

	job.remaining_ms = other.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	snprintf(worker, sizeof(worker), "%s", acknowledge(TASK));
	crash(worker);
	fake_orders_advance(fake, 20);
	snprintf(worker, sizeof(worker), "%s", acknowledge(TASK));
	fake_orders_submit(fake, &other);
	fake_orders_advance(fake, 20);
	for (size_t i = 0; i < fake->start_count; i++)
		if (strcmp(fake->starts[i].task, TASK) != 0)
			ck_assert_str_ne(fake->starts[i].worker, worker);
	ck_assert_uint_gt(fake->start_count, 2);
}
END_TEST

/* Registers a worker anew, as a store would after it has restarted. */
static void register_again(const char *id, uint64_t born_ms, bool draining)
{
	struct fake_orders_report report = { .id = id,
					     .born_ms = born_ms,
					     .milli = 4000,
					     .draining = draining };

	fake_orders_report(fake, &report);
}

static struct crash_record *record_of(const char *task)
{
	return crash_find(lease_crashes(fake->dispatch), task);
}

/* A worker that leaves as planned crashes under nobody. */
START_TEST(test_planned_leave_is_no_crash)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	char worker[32];

	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	snprintf(worker, sizeof(worker), "%s", acknowledge(TASK));
	register_again(worker, 1, true);
	fake_orders_advance(fake, 100);
	fake_orders_restart_worker(fake, worker, fake->now_ms);
	register_again(worker, fake->now_ms, true);
	ck_assert_ptr_null(record_of(TASK));
	fake_orders_advance(fake, 20);
	/* The new process may have acknowledged the start. */
	ck_assert_uint_eq(fake->start_count, 1);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	ck_assert_ptr_null(record_of(TASK));
	ck_assert_uint_eq(fake->start_count, 2);
}
END_TEST

/* Workers of a rack that are lost together crash under nobody. */
START_TEST(test_lost_rack_is_no_crash)
{
	struct lease_submission job = fake_orders_submission(ID, 16);

	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 16);
	for (size_t i = 0; i < 16; i++)
		fake_orders_answer_start(fake, &fake->starts[i], POOL_OK);
	for (int i = 0; i < 4; i++)
		for (int w = 1; w <= 4; w++) {
			char id[8];

			snprintf(id, sizeof(id), "w%d", w);
			fake_orders_lose_hold(fake, id);
			fake_orders_advance(fake, 10);
		}
	fake_orders_advance(fake, 500);
	fake_orders_restart_worker(fake, "w1", fake->now_ms);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	fake_orders_advance(fake, 1500);
	for (int i = 0; i < 16; i++) {
		char task[STEP_JOB_TASK_BYTES];

		snprintf(task, sizeof(task), "%s.0.0.%d", ID, i);
		ck_assert_ptr_null(record_of(task));
	}
}
END_TEST

/*
 * Starts the task, and cuts its worker off until the lease has lapsed and the
 * task has started elsewhere.
 */
static void lapse_behind_a_cut(char *worker, size_t size)
{
	struct lease_submission job = fake_orders_submission(ID, 1);

	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	snprintf(worker, size, "%s", acknowledge(TASK));
	for (int i = 0; i < 100 && fake->start_count < 2; i++) {
		fake_orders_lose_hold(fake, worker);
		answer_mates(worker);
		fake_orders_advance(fake, 130);
	}
	ck_assert_uint_eq(fake->start_count, 2);
}

/* The worker's lease lapses while it is out of reach, and it returns. */
START_TEST(test_lapse_behind_a_cut_is_no_crash)
{
	char worker[32];

	lapse_behind_a_cut(worker, sizeof(worker));
	ck_assert_ptr_nonnull(record_of(TASK));
	ck_assert_int_eq(crash_judge(record_of(TASK)), CRASH_SUSPECT);
	fake_orders_advance(fake, RETRY_MS);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	fake_orders_advance(fake, 20);
	ck_assert_ptr_null(record_of(TASK));
}
END_TEST

/*
 * As above, and its registration lapses meanwhile, as the worker is cut off
 * from the store, too: it answers as the process that it was.
 */
START_TEST(test_lapsed_registration_behind_a_cut_is_no_crash)
{
	char worker[32];

	lapse_behind_a_cut(worker, sizeof(worker));
	pool_unregister_worker(lease_pool(fake->dispatch), worker,
			       fake->now_ms);
	fake_orders_advance(fake, 300);
	register_again(worker, 1, false);
	fake_orders_advance(fake, RETRY_MS);
	fake_orders_answer_hold(fake, worker, NULL, 0, NULL, 0);
	fake_orders_advance(fake, 100);
	ck_assert(POOL_HELD == pool_find_by_key(lease_pool(fake->dispatch),
						crash_worker_key(worker))
				       ->state);
	ck_assert_ptr_null(record_of(TASK));
}
END_TEST

/*
 * Runs that former leaders announced when they gave up their claims; the
 * registrations lapsed with the store. The workers live, and are not asked.
 */
START_TEST(test_announced_runs_on_unlisted_workers_fail_no_job)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct crash_note crash = {
		.noted_ms = fake->now_ms,
		.born_ms = 1,
		.is_alone = true,
	};

	ck_assert_uint_eq(pool_find_by_key(lease_pool(fake->dispatch),
					   crash_worker_key("w1"))
				  ->born_ms,
			  crash.born_ms);
	pool_release(lease_pool(fake->dispatch));
	pool_unregister_worker(lease_pool(fake->dispatch), "w1", fake->now_ms);
	pool_unregister_worker(lease_pool(fake->dispatch), "w2", fake->now_ms);
	crash.worker = crash_worker_key("w1");
	crash_note(lease_crashes(fake->dispatch), TASK, &crash);
	crash.worker = crash_worker_key("w2");
	crash_note(lease_crashes(fake->dispatch), TASK, &crash);
	fake_orders_lead(fake, 6);
	fake_orders_advance(fake, 100);
	register_again("w1", 1, false);
	register_again("w2", 1, false);
	fake_orders_advance(fake, 100);
	answer_mates("none");
	fake_orders_submit(fake, &job);
	fake_orders_advance(fake, 100);
	ck_assert_uint_eq(fake->answer_count, 0);
}
END_TEST

/* Workers whose ids are in gone refuse holds, the others answer. */
static void answer_unless_gone(const char *gone)
{
	for (int i = 1; i <= 4; i++) {
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		if (strstr(gone, id))
			fake_orders_refuse_hold(fake, id);
		else
			fake_orders_answer_hold(fake, id, NULL, 0, NULL, 0);
	}
}

/*
 * Workers fall silent under a task, each time with the rest of the rack, which
 * returns: whether they crash is not known, and the second start alone is the
 * last.
 */
START_TEST(test_task_goes_with_silent_workers)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	char gone[MAX_ALONE_CRASHES * 8 + 1] = "";

	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	for (size_t started = 1; started <= MAX_ALONE_CRASHES; started++) {
		ck_assert_uint_eq(fake->start_count, started);
		strncat(gone, acknowledge(TASK), 7);
		for (int i = 0; i < FAKE_ORDERS_LEASE_MS + 100; i += 20) {
			answer_unless_gone("w1w2w3w4");
			fake_orders_advance(fake, 20);
		}
		for (int i = 0; i < 30 && fake->start_count == started; i++) {
			fake_orders_advance(fake, 100);
			answer_unless_gone(gone);
		}
	}
	ck_assert_uint_eq(fake->start_count, MAX_ALONE_CRASHES);
	ck_assert_int_eq(crash_judge(record_of(TASK)), CRASH_UNDECIDED);
}
END_TEST

/* Nothing listens at the worker's address: holds are not sent, nor renewed. */
START_TEST(test_lease_of_a_lost_worker_lapses)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	char worker[32];

	job.remaining_ms = BUDGET_MS;
	fake_orders_submit(fake, &job);
	snprintf(worker, sizeof(worker), "%s", acknowledge(TASK));
	for (int i = 0; i < FAKE_ORDERS_LEASE_MS + 100; i += 20) {
		fake_orders_refuse_hold(fake, worker);
		answer_mates(worker);
		fake_orders_advance(fake, 20);
	}
	ck_assert_uint_eq(fake_orders_started(fake, TASK)->number, 2);
	ck_assert_str_ne(fake_orders_started(fake, TASK)->worker, worker);
}
END_TEST

/* A job that crashed workers under the former leader fails at once. */
START_TEST(test_resent_job_of_a_guilty_task)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct crash_note crash = {
		.noted_ms = fake->now_ms,
		.born_ms = 1,
		.is_alone = true,
		.is_confirmed = true,
	};

	for (crash.worker = 1; crash.worker <= 2; crash.worker++)
		crash_note(lease_crashes(fake->dispatch), TASK, &crash);
	fake_orders_submit(fake, &job);
	ck_assert_uint_eq(fake->start_count, 0);
	ck_assert_uint_eq(fake->answer_count, 1);
	ck_assert_int_eq(fake->answers[0].end, LEASE_FAILED);
	ck_assert_int_eq(fake->answers[0].reason, LEASE_CRASHES);
}
END_TEST

/* A worker that crashes by itself, under one task after the other. */
START_TEST(test_worker_that_crashes_by_itself_fails_no_job)
{
	for (int i = 0; i < 12; i++) {
		char id[STEP_JOB_ID_BYTES], task[STEP_JOB_TASK_BYTES];
		struct lease_submission job = fake_orders_submission(id, 1);
		struct pool_listed_end end = { 1, task, 1, POOL_DONE };
		const struct fake_orders_order *start;

		snprintf(id, sizeof(id), "%016x", 100 + i);
		snprintf(task, sizeof(task), "%s.0.0.0", id);
		job.remaining_ms = BUDGET_MS;
		fake_orders_submit(fake, &job);
		while (!strcmp(acknowledge(task), "w1")) {
			crash("w1");
			fake_orders_advance(fake, 20);
		}
		start = fake_orders_started(fake, task);
		end.number = start->number;
		end.number_of_end = (uint64_t)i + 1;
		fake_orders_answer_hold(fake, start->worker, NULL, 0, &end, 1);
		ck_assert_uint_eq(fake->answer_count, (size_t)i + 1);
		ck_assert_int_eq(fake->answers[i].end, LEASE_COMPLETED);
	}
}
END_TEST

/* Many workers crash within seconds, whatever they run. */

#define WAVE_WORKERS 20
#define WAVE_MATES 3 /* that crash with each worker of the task */
#define WAVE_LENGTH_MS 3000
#define CALM_MS 5000 /* by when a wave is over */
#define MAX_CRASHES_IN_WAVE 5

static void add_workers(void)
{
	for (int i = 5; i <= WAVE_WORKERS; i++) {
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		fake_orders_add_worker(fake, id, 4000);
	}
	fake_orders_lead(fake, 10);
}

static void answer_all(const bool crashed[], bool are_crashed)
{
	for (int i = 1; i <= WAVE_WORKERS; i++) {
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		if (crashed[i] == are_crashed)
			fake_orders_answer_hold(fake, id, NULL, 0, NULL, 0);
	}
}

/* Workers answer starts of the task at once. */
static void advance_with_starts(const char *task, uint64_t ms)
{
	static uint64_t answered_token;

	for (uint64_t t = 0; t < ms; t += 10) {
		const struct fake_orders_order *start;

		fake_orders_advance(fake, 10);
		start = fake_orders_started(fake, task);
		if (!start || start->token == answered_token)
			continue;
		answered_token = start->token;
		fake_orders_answer_start(fake, start, POOL_OK);
	}
}

/* The worker crashes, and with it the mates after next. */
static void crash_with_mates(const char *task, const char *worker, int *next)
{
	bool crashed[WAVE_WORKERS + 1] = { false };

	crashed[atoi(worker + 1)] = true;
	for (int i = 0; i < WAVE_MATES; i++)
		crashed[1 + (*next)++ % WAVE_WORKERS] = true;
	for (int i = 1; i <= WAVE_WORKERS; i++) {
		char id[8];

		snprintf(id, sizeof(id), "w%d", i);
		if (!crashed[i])
			continue;
		fake_orders_restart_worker(fake, id, fake->now_ms);
		if (strcmp(id, worker) != 0)
			register_again(id, fake->now_ms, false);
	}
	advance_with_starts(task, DOWN_MS);
	for (int i = 0; i < 2; i++) {
		answer_all(crashed, false);
		answer_all(crashed, true);
	}
	register_again(worker, fake->now_ms - DOWN_MS, false);
}

/* Returns the number of crashes of workers that ran the task. */
static uint32_t run_wave(const char *task)
{
	uint64_t end_ms = fake->now_ms + WAVE_LENGTH_MS;
	uint64_t last_token = 0;
	uint32_t crashes = 0;
	int next = 0;

	while (fake->now_ms < end_ms) {
		const struct fake_orders_order *start =
			fake_orders_started(fake, task);
		char worker[32] = "w1";

		if (start && start->token != last_token) {
			last_token = start->token;
			memcpy(worker, start->worker, sizeof(worker));
			crashes++;
		}
		advance_with_starts(task, RUN_MS);
		crash_with_mates(task, worker, &next);
		advance_with_starts(task, 20);
	}
	return crashes;
}

/* No worker crashes for a while. */
static void stay_calm(void)
{
	static const bool none[WAVE_WORKERS + 1];

	for (int i = 0; i < CALM_MS; i += 100) {
		fake_orders_advance(fake, 100);
		answer_all(none, false);
	}
}

/* The task meets crashes alone, or first with a neighbour. */
static uint32_t submit_into_wave(bool with_neighbour,
				 struct lease_waiter *waiter)
{
	struct lease_submission job = fake_orders_submission(ID, 1);
	struct lease_submission other =
		fake_orders_submission("00000000000000a2", 1);

	add_workers();
	job.remaining_ms = other.remaining_ms = BUDGET_MS;
	*waiter = job.waiter;
	fake_orders_submit(fake, &job);
	if (with_neighbour) {
		fake_orders_submit(fake, &other);
		acknowledge("00000000000000a2.0.0.0");
	}
	return run_wave(TASK);
}

static struct lease_answer answer_to(struct lease_waiter waiter)
{
	for (size_t i = 0; i < fake->answer_count; i++)
		if (fake->answers[i].waiter.request == waiter.request)
			return fake->answers[i];
	ck_abort_msg("not answered");
}

START_TEST(test_wave_of_crashes_fails_no_job)
{
	struct pool_listed_end end = { 1, TASK, 0, POOL_DONE };
	struct lease_waiter waiter;
	uint32_t crashes = submit_into_wave(_i, &waiter);
	const struct fake_orders_order *start;

	ck_assert_uint_ge(crashes, MAX_ALONE_CRASHES);
	ck_assert_msg(!fake->answer_count, "%u crashes: ended, %s", crashes,
		      lease_reason_text(fake->answers[0].reason));
	stay_calm();
	start = fake_orders_started(fake, TASK);
	ck_assert_uint_gt(start->number, crashes);
	fake_orders_answer_start(fake, start, POOL_OK);
	end.number = start->number;
	fake_orders_answer_hold(fake, start->worker, NULL, 0, &end, 1);
	ck_assert_int_eq(answer_to(waiter).end, LEASE_COMPLETED);
}
END_TEST

START_TEST(test_task_that_crashes_workers_in_a_wave_is_bounded)
{
	struct lease_waiter waiter;
	uint32_t crashes = submit_into_wave(_i, &waiter);

	stay_calm();
	crashes += crash_all(TASK);
	ck_assert_uint_le(crashes, MAX_CRASHES_IN_WAVE);
	ck_assert_int_eq(answer_to(waiter).reason, LEASE_CRASHES);
}
END_TEST

/* Whole instances, with neighbours on each worker. */

/* Sanitized builds take up to 25 times as long. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define LAST_SEED 6
#else
#define LAST_SEED 12
#endif

/*
 * A leader that is killed before it has seen a task's first crash leaves no
 * record of it: that crash is one more. On each side of a cut a leader counts
 * by itself.
 */
static const uint32_t unseen_crashes[] = {
	[FAKE_SITE_KILLED] = 1,
	[FAKE_SITE_CUT_OFF] = MAX_CRASHES,
};

static void play(uint64_t seed, struct fake_site_options options)
{
	uint32_t unseen = options.faults_per_s
				  ? MAX_CRASHES
				  : unseen_crashes[options.reaction];
	uint32_t most =
		options.answers_arrive ? MAX_CRASHES : MAX_DOUBTFUL_CRASHES;
	struct fake_site_result r;

	options.instances = 5;
	options.workers = 12;
	options.length_ms = 20000;
	options.settle_ms = 40000;
	options.jobs_per_s = 8;
	options.deadline_ms = BUDGET_MS;
	options.deadly_percent = 4;
	options.worker_closes = true;
	options.seed = seed;
	fake_site_run(&options, &r);
	ck_assert_msg(!r.duplicate_runs && !r.repeated_runs && !r.wrong_answers,
		      "seed %d: %s", (int)seed, r.first_error);
	ck_assert_uint_gt(r.crashes, 0);
	ck_assert_msg(!r.false_charges, "seed %d: %s", (int)seed,
		      r.first_error);
	ck_assert_msg(r.most_crashes_by_one <= most,
		      "seed %d: %u crashes by one leader", (int)seed,
		      r.most_crashes_by_one);
	ck_assert_msg(r.most_crashes <= most + unseen,
		      "seed %d: %u crashes by one task", (int)seed,
		      r.most_crashes);
	if (options.react_at == 2)
		ck_assert_uint_le(r.reacted_crashes, most);
	ck_assert_msg(!r.innocent_failed, "seed %d: %u other jobs failed",
		      (int)seed, r.innocent_failed);
	ck_assert_uint_eq(r.unanswered, 0);
}

/* Twice each seed: no answer to an order is lost, or some are. */
#define PLAY(name, ...)                                                        \
	START_TEST(name)                                                       \
	{                                                                      \
		struct fake_site_options options = { __VA_ARGS__ };            \
                                                                               \
		options.answers_arrive = _i % 2;                               \
		play((uint64_t)_i / 2, options);                               \
	}                                                                      \
	END_TEST

PLAY(test_neighbours_complete, .down_ms = 300)
PLAY(test_neighbours_complete_without_crashed_workers, .down_ms = 2500)
PLAY(test_neighbours_complete_with_relays, .down_ms = 300, .direct_workers = 1)
PLAY(test_neighbours_complete_among_other_faults, .down_ms = 2500,
     .faults_per_s = 1)
PLAY(test_hand_over_after_the_first_crash, .down_ms = 300, .react_at = 1,
     .react_ms = 400, .reaction = FAKE_SITE_STOPPED)
PLAY(test_hand_over_after_the_second_crash, .down_ms = 2500, .react_at = 2,
     .react_ms = 400, .reaction = FAKE_SITE_STOPPED)
PLAY(test_leader_killed_at_the_first_crash, .down_ms = 300, .react_at = 1,
     .reaction = FAKE_SITE_KILLED)
PLAY(test_leader_killed_at_the_second_crash, .down_ms = 300, .react_at = 2,
     .reaction = FAKE_SITE_KILLED)
PLAY(test_leader_killed_before_the_worker_is_back, .down_ms = 2500,
     .react_at = 2, .reaction = FAKE_SITE_KILLED)
PLAY(test_leader_on_each_side_of_a_cut, .down_ms = 300, .react_at = 1,
     .reaction = FAKE_SITE_CUT_OFF)

/*
 * Writes the log lines of all instances to the path in BERGAMOT_LOG, if set.
 * Needs CK_FORK=no, and CK_RUN_CASE with the name of a play.
 */
static void open_log(void)
{
	struct log_options options = {
		.path = getenv("BERGAMOT_LOG"),
		.level = LOG_LEVEL_INFO,
		.queue_lines = 1000000,
	};

	if (options.path && !log_open(&options))
		printf("%s cannot be written\n", options.path);
}

int main(void)
{
	const TTest *const plays[] = {
		test_neighbours_complete,
		test_neighbours_complete_without_crashed_workers,
		test_neighbours_complete_with_relays,
		test_neighbours_complete_among_other_faults,
		test_hand_over_after_the_first_crash,
		test_hand_over_after_the_second_crash,
		test_leader_killed_at_the_first_crash,
		test_leader_killed_at_the_second_crash,
		test_leader_killed_before_the_worker_is_back,
		test_leader_on_each_side_of_a_cut,
	};
	Suite *suite = suite_create("lease_crash");
	TCase *alone = tcase_create("one leader");
	int status;

	tcase_add_checked_fixture(alone, set_up, tear_down);
	tcase_add_test(alone, test_task_crashes_worker_after_worker);
	tcase_add_test(alone, test_neighbour_of_a_crash_completes);
	tcase_add_test(alone, test_start_beside_a_suspect);
	tcase_add_test(alone, test_planned_leave_is_no_crash);
	tcase_add_test(alone, test_lost_rack_is_no_crash);
	tcase_add_test(alone, test_lapse_behind_a_cut_is_no_crash);
	tcase_add_test(alone,
		       test_lapsed_registration_behind_a_cut_is_no_crash);
	tcase_add_test(alone,
		       test_announced_runs_on_unlisted_workers_fail_no_job);
	tcase_add_test(alone, test_lease_of_a_lost_worker_lapses);
	tcase_add_test(alone, test_task_goes_with_silent_workers);
	tcase_add_test(alone, test_resent_job_of_a_guilty_task);
	tcase_add_test(alone, test_worker_that_crashes_by_itself_fails_no_job);
	tcase_add_loop_test(alone, test_wave_of_crashes_fails_no_job, 0, 2);
	tcase_add_loop_test(alone,
			    test_task_that_crashes_workers_in_a_wave_is_bounded,
			    0, 2);
	suite_add_tcase(suite, alone);
	for (size_t i = 0; i < sizeof(plays) / sizeof(plays[0]); i++) {
		TCase *site = tcase_create(plays[i]->name);

		tcase_set_timeout(site, 60);
		tcase_add_loop_test(site, plays[i], 2, 2 * LAST_SEED + 2);
		suite_add_tcase(suite, site);
	}
	open_log();
	status = run_suite(suite);
	log_close();
	return status;
}
