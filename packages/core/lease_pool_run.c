#include "core/lease_pool_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"

/* Many times the usual answer time, and half the slack of short tasks. */
#define START_TIMEOUT_MS 75
#define STOP_TIMEOUT_MS 75
/* Weight of the newest answer; several hundred come a second. */
#define MEAN_ANSWER_WEIGHT 0.05
/* After a refusal: the worker counts its free room differently. */
#define ROOM_BLOCK_MS 100
#define UNHEALTHY_BLOCK_MS 500
/* Failures of so many different jobs in a row point to the worker. */
#define BREAKER_STREAK 3
#define BREAKER_MS 1500
#define MAX_BREAKER_ROUNDS 3 /* doublings of BREAKER_MS */
#define MAX_REPEATS 3 /* of a start without an answer */
#define REPEAT_MS 1000 /* since the last start: later, routes may differ */
#define SPEED_WEIGHT 0.2 /* of the newest observation */
#define MIN_SPEED 0.05
#define MAX_SPEED 20.0

static const char *const end_texts[POOL_END_COUNT] = {
	[POOL_DONE] = "done",	    [POOL_FAILED] = "failed",
	[POOL_STOPPED] = "stopped", [POOL_LAPSED] = "lapsed",
	[POOL_NO_ROOM] = "no_room", [POOL_OLD] = "old",
	[POOL_NOT_RUN] = "not_run", [POOL_CRASHED] = "crashed",
};

const char *pool_end_text(enum pool_end how)
{
	return end_texts[how];
}

const char *pool_answer_text(enum pool_answer answer)
{
	static const char *const texts[POOL_ANSWER_COUNT] = {
		[POOL_OK] = "ok",
		[POOL_FENCED] = "fenced",
		[POOL_RUN_OLD] = "run number too low",
		[POOL_DEADLINE_PASSED] = "deadline passed",
		[POOL_DOES_NOT_FIT] = "no room",
		[POOL_INVALID] = "invalid call",
		[POOL_UNHEALTHY] = "unhealthy",
		[POOL_RESTARTED] = "another process",
		[POOL_REFUSED] = "connection refused",
		[POOL_NO_ANSWER] = "timeout",
		[POOL_CLOSED] = "connection closed",
		[POOL_NOT_SENT] = "no connection",
	};

	return texts[answer];
}

bool pool_is_unsent(enum pool_answer answer)
{
	return answer == POOL_REFUSED || answer == POOL_NOT_SENT;
}

bool pool_shows_end(enum pool_answer answer)
{
	return answer == POOL_CLOSED || answer == POOL_REFUSED ||
	       answer == POOL_RESTARTED;
}

bool pool_may_be_late(enum pool_answer answer)
{
	return answer == POOL_NO_ANSWER || answer == POOL_CLOSED;
}

static void reserve_demand(struct lease_pool *pool, struct pool_worker *worker,
			   const struct step_job_demand *d)
{
	worker->used.cpu_milli += d->cpu_milli;
	worker->used.mem_mb += d->mem_mb;
	worker->used.accelerators += d->accelerators;
	pool_update_slot(pool, worker);
}

static void release_demand(struct lease_pool *pool, struct pool_worker *worker,
			   const struct step_job_demand *d)
{
	worker->used.cpu_milli -= d->cpu_milli;
	worker->used.mem_mb -= d->mem_mb;
	worker->used.accelerators -= d->accelerators;
	pool_update_slot(pool, worker);
}

/* To be called when is_taskless or stopped_ms has changed. */
static void update_unwanted(struct lease_pool *pool, struct pool_run *run)
{
	struct pool_worker *worker = run->worker;
	bool is_unwanted = run->is_taskless && !run->stopped_ms;

	if (run->is_unwanted == is_unwanted)
		return;
	run->is_unwanted = is_unwanted;
	if (is_unwanted)
		worker->unwanted_count++;
	else if (!--worker->unwanted_count)
		pool->room_version++;
}

static void set_taskless(struct lease_pool *pool, struct pool_run *run,
			 bool is_taskless)
{
	if (run->is_taskless == is_taskless)
		return;
	run->is_taskless = is_taskless;
	if (is_taskless)
		LIST_INSERT_HEAD(&pool->taskless, run, in_taskless);
	else
		LIST_REMOVE(run, in_taskless);
	update_unwanted(pool, run);
}

struct pool_run *pool_add_run(struct lease_pool *pool,
			      struct pool_worker *worker,
			      const struct pool_run *from)
{
	struct pool_run *run = talloc(worker, struct pool_run);

	*run = *from;
	run->worker = worker;
	run->token = ++pool->next_number;
	LIST_INSERT_HEAD(&worker->runs, run, in_worker);
	HASH_ADD(hh, pool->by_token, token, sizeof(run->token), run);
	worker->run_count++;
	worker->unsized_count += run->is_unsized;
	reserve_demand(pool, worker, &run->demand);
	return run;
}

void pool_free_run(struct lease_pool *pool, struct pool_run *run)
{
	run->worker->unsized_count -= run->is_unsized;
	release_demand(pool, run->worker, &run->demand);
	set_taskless(pool, run, false);
	run->worker->run_count--;
	LIST_REMOVE(run, in_worker);
	HASH_REMOVE(pool->by_token, run);
	talloc_free(run);
}

static void note_failure(struct pool_worker *worker, const struct pool_run *run,
			 uint64_t now_ms)
{
	if (!strcmp(worker->failed_job, run->job))
		return;
	memcpy(worker->failed_job, run->job, sizeof(run->job));
	if (++worker->failed_streak < BREAKER_STREAK)
		return;
	worker->blocked_until_ms =
		now_ms + ((uint64_t)BREAKER_MS << worker->open_rounds);
	if (worker->open_rounds < MAX_BREAKER_ROUNDS)
		worker->open_rounds++;
	/* Once it closes, a single failure opens the breaker again. */
	worker->failed_streak = BREAKER_STREAK - 1;
	log_warning(LOG_TARGET,
		    "worker %s: breaker open for %" PRIu64
		    " ms after failed tasks of %d jobs in a row, last job %s",
		    worker->id, worker->blocked_until_ms - now_ms,
		    BREAKER_STREAK, run->job);
}

void pool_note_hung(struct pool_run *run, uint64_t now_ms)
{
	note_failure(run->worker, run, now_ms);
}

static void note_success(struct pool_worker *worker, const struct pool_run *run,
			 uint64_t now_ms)
{
	double ran_ms = (double)(now_ms - run->answered_ms);
	double speed;

	worker->failed_streak = 0;
	worker->open_rounds = 0;
	worker->failed_job[0] = '\0';
	if (!run->started_here || !run->answered_ms || !run->estimate_ms)
		return;
	histogram_observe_ms(HISTOGRAM_TASK_RUN, now_ms - run->answered_ms);
	speed = run->estimate_ms / (ran_ms < 1 ? 1 : ran_ms);
	if (speed < MIN_SPEED)
		speed = MIN_SPEED;
	if (speed > MAX_SPEED)
		speed = MAX_SPEED;
	worker->speed += SPEED_WEIGHT * (speed - worker->speed);
}

/* Returns when the last start without an answer was sent; 0: there is none. */
static uint64_t unanswered_start_ms(const struct pool_run *run)
{
	return run->answered_ms ? run->late_ms : run->sent_ms;
}

/* Returns true if a start of the run may yet be carried out late. */
static bool may_start_late(const struct pool_run *run, uint64_t now_ms)
{
	uint64_t since_ms = unanswered_start_ms(run);

	return since_ms && now_ms - since_ms < POOL_LATEST_ORDER_MS;
}

static void forget_late_start(struct late_start *start)
{
	LIST_REMOVE(start, entry);
	talloc_free(start);
}

void pool_forget_late_starts(struct pool_worker *worker)
{
	while (!LIST_EMPTY(&worker->late_starts))
		forget_late_start(LIST_FIRST(&worker->late_starts));
}

void pool_note_late_task(struct lease_pool *pool, const struct pool_run *run,
			 bool waits)
{
	uint64_t sent_ms = unanswered_start_ms(run);

#ifdef BREAK_LATE_TASK
	return;
#endif
	if (run->started_here && sent_ms)
		late_note(pool->late_tasks, run->name, run->worker->key,
			  pool_late_over_ms(pool, sent_ms), waits);
}

void pool_note_carried_out(struct lease_pool *pool, const struct pool_run *run)
{
	if (!run->started_here || run->repeats)
		return;
	late_withdraw(pool->late_tasks, run->name);
	if (run->task && pool->options.start_settled)
		pool->options.start_settled(pool->options.ctx, run);
}

uint64_t pool_late_until_ms(const struct lease_pool *pool, const char *task)
{
	return late_until_ms(pool->late_tasks, task);
}

static void remember_late_start(struct lease_pool *pool,
				const struct pool_run *run, uint64_t now_ms)
{
	struct pool_worker *worker = run->worker;
	struct late_start *start = LIST_FIRST(&worker->late_starts);
	struct late_start *next;

	for (; start; start = next) {
		next = LIST_NEXT(start, entry);
		if (!may_start_late(&start->run, now_ms))
			forget_late_start(start);
	}
	if (!may_start_late(run, now_ms))
		return;
	pool_note_late_task(pool, run, true);
#ifdef BREAK_LATE_START
	return;
#endif
	start = talloc(worker, struct late_start);
	start->run = *run;
	LIST_INSERT_HEAD(&worker->late_starts, start, entry);
}

void pool_reopen_late_starts(struct lease_pool *pool,
			     struct pool_worker *worker, uint64_t now_ms)
{
	struct late_start *start;

	while ((start = LIST_FIRST(&worker->late_starts))) {
		struct pool_run run = start->run;
		bool late = may_start_late(&run, now_ms);

		forget_late_start(start);
		if (!late)
			continue;
		run.task = NULL;
		run.state = POOL_STOPPING;
		run.close_at_ms = run.stop_at_ms = run.stopped_ms = 0;
		run.stop_retry_ms = now_ms;
		run.listed_serial = run.answered_ms = 0;
		run.is_taskless = run.is_unwanted = false;
		set_taskless(pool, pool_add_run(pool, worker, &run), true);
	}
}

void pool_close_run(struct lease_pool *pool, struct pool_run *run,
		    enum pool_end how, uint64_t now_ms)
{
	pool_locate_run(pool, run, POOL_IN_EITHER_PROCESS);
	if (run->late_ms ||
	    (!run->answered_ms && (how == POOL_STOPPED || how == POOL_LAPSED)))
		remember_late_start(pool, run, now_ms);
	if (how == POOL_FAILED)
		note_failure(run->worker, run, now_ms);
	else if (how == POOL_DONE)
		note_success(run->worker, run, now_ms);
	if (run->task)
		pool->options.closed(pool->options.ctx, run, how, now_ms);
	pool_free_run(pool, run);
}

void pool_close_all(struct lease_pool *pool, struct pool_worker *worker,
		    uint64_t now_ms)
{
	struct pool_run *run;

	while ((run = LIST_FIRST(&worker->runs)))
		pool_close_run(pool, run, POOL_LAPSED, now_ms);
}

/*
 * Returns true if the process that answered the worker's last hold had begun
 * the run, by the order of calls. The answer to the start shows only that some
 * process had.
 */
static bool was_in_listed_process(const struct pool_run *run)
{
	const struct pool_worker *worker = run->worker;

#ifdef BREAK_LOCATE
	return true;
#endif
	return (run->listed_serial &&
		run->listed_serial == worker->answered_serial) ||
	       run->answered_ms < worker->probed_ms;
}

void pool_mark_unlocated(struct pool_worker *worker)
{
	struct pool_run *run;

	LIST_FOREACH(run, &worker->runs, in_worker) {
		if (!run->answered_ms || was_in_listed_process(run))
			continue;
		log_info(LOG_TARGET,
			 "job %s: worker %s has restarted; task %s run %u was "
			 "acknowledged after its last list of runs, and stays "
			 "open until the next one",
			 run->job, worker->id, run->name, run->number);
		run->is_unlocated = true;
	}
}

void pool_locate_run(struct lease_pool *pool, struct pool_run *run,
		     enum pool_location location)
{
	static const char *const texts[] = {
		[POOL_IN_FORMER_PROCESS] = "went with the former process",
		[POOL_IN_NEXT_PROCESS] = "is one of the new process",
		[POOL_IN_EITHER_PROCESS] = "has ended in either process",
	};

	if (!run->is_unlocated)
		return;
	log_info(LOG_TARGET, "job %s: task %s run %u on worker %s %s", run->job,
		 run->name, run->number, run->worker->id, texts[location]);
	run->is_unlocated = false;
	if (pool->options.run_located)
		pool->options.run_located(pool->options.ctx, run, location);
}

struct pool_run *pool_find_run(struct pool_worker *worker, const char *task,
			       uint32_t number)
{
	struct pool_run *run;

	LIST_FOREACH(run, &worker->runs, in_worker)
		if (run->number == number && !strcmp(run->name, task))
			return run;
	return NULL;
}

static struct pool_run *find_run_by_token(struct lease_pool *pool,
					  uint64_t token)
{
	struct pool_run *run;

	HASH_FIND(hh, pool->by_token, &token, sizeof(token), run);
	return run;
}

void pool_close_previous_runs(struct lease_pool *pool,
			      struct pool_worker *worker, enum pool_end how,
			      uint64_t now_ms)
{
	struct pool_run *run = LIST_FIRST(&worker->runs);
	struct pool_run *next;

	for (; run; run = next) {
		next = LIST_NEXT(run, in_worker);
#ifndef BREAK_RESTART
		if (run->answered_ms && !run->is_unlocated)
#endif
		{
			pool_close_run(pool, run, how, now_ms);
			continue;
		}
		run->close_at_ms = run->stopped_ms = 0;
		run->stop_retry_ms = now_ms;
		update_unwanted(pool, run);
	}
}

void pool_offer_run(struct lease_pool *pool, struct pool_run *run,
		    uint64_t now_ms)
{
	struct pool_worker *worker = run->worker;
	bool job_found;

	release_demand(pool, worker, &run->demand);
	job_found = pool->options.found_run(pool->options.ctx, run);
	if (run->task && run->is_unsized) {
		run->is_unsized = false;
		worker->unsized_count--;
	}
	reserve_demand(pool, worker, &run->demand);
	set_taskless(pool, run, !run->task);
	if (run->task)
		run->stop_at_ms = 0;
	else if (job_found)
		pool_stop(pool, run, now_ms);
}

static void send_stop(struct lease_pool *pool, struct pool_run *run,
		      uint64_t now_ms)
{
	struct pool_stop_call call = {
		.token = run->token,
		.worker = run->worker->id,
		.address = run->worker->address,
		.data_centre = run->worker->data_centre,
		.task = run->name,
		.number = run->number,
		.fence = pool_fence_of(pool, run->worker),
		.timeout_ms = STOP_TIMEOUT_MS,
	};

	run->fence = call.fence;
	run->stop_at_ms = 0;
	run->stop_retry_ms = now_ms + STOP_TIMEOUT_MS * 2;
	counter_add(COUNTER_TASKS_STOPPED, 1);
	pool->ports->stop(pool->ports->ctx, &call);
}

static void send_start(struct lease_pool *pool, struct pool_run *run,
		       uint64_t now_ms)
{
	struct pool_worker *worker = run->worker;
	struct pool_grant grant = pool_grant_lease(pool, worker, now_ms);
	struct pool_start_call call = {
		.token = run->token,
		.worker = worker->id,
		.address = worker->address,
		.data_centre = worker->data_centre,
		.task = run->name,
		.number = run->number,
		.text = run->text,
		.deadline_ms = grant.deadline_ms,
		.fence = pool_fence_of(pool, worker),
		.timeout_ms = START_TIMEOUT_MS,
	};

	run->fence = call.fence;
	run->state = POOL_STARTING;
	run->sent_ms = now_ms;
	run->held_until_ms = grant.held_until_ms;
	run->started_here = true;
	pool_note_grant(worker, &grant);
	pool_note_order(pool, worker, run->token, true, call.timeout_ms,
			now_ms);
	if (run->task && pool->options.start_sent)
		pool->options.start_sent(pool->options.ctx, run);
	pool->ports->start(pool->ports->ctx, &call);
}

struct pool_run *pool_start(struct lease_pool *pool, struct pool_worker *worker,
			    const struct pool_run *from, const char *text,
			    uint64_t now_ms)
{
	struct pool_run *run = pool_add_run(pool, worker, from);

	run->text = text;
	counter_add(COUNTER_TASKS_STARTED, 1);
	send_start(pool, run, now_ms);
	return run;
}

void pool_stop(struct lease_pool *pool, struct pool_run *run, uint64_t now_ms)
{
	if (run->state == POOL_STOPPING)
		return;
	if (run->state == POOL_STARTING)
		pool_note_late_task(pool, run, false);
	run->state = POOL_STOPPING;
	send_stop(pool, run, now_ms);
}

void pool_abandon(struct lease_pool *pool, struct pool_run *run,
		  uint64_t now_ms)
{
	run->task = NULL;
	set_taskless(pool, run, true);
	pool_stop(pool, run, now_ms);
}

static enum pool_end refusal_end(enum pool_answer answer)
{
	switch (answer) {
	case POOL_DOES_NOT_FIT:
		return POOL_NO_ROOM;
	case POOL_RUN_OLD:
		return POOL_OLD;
	default:
		return POOL_NOT_RUN;
	}
}

static void start_refused(struct lease_pool *pool, struct pool_run *run,
			  enum pool_answer answer, uint64_t now_ms)
{
	struct pool_worker *worker = run->worker;

	log_info(LOG_TARGET,
		 "job %s: worker %s refused the start of task %s run %u, "
		 "answer: %s",
		 run->job, worker->id, run->name, run->number,
		 pool_answer_text(answer));
	counter_add(COUNTER_TASKS_REFUSED, 1);
	if (answer == POOL_DOES_NOT_FIT)
		worker->blocked_until_ms = now_ms + ROOM_BLOCK_MS;
	else if (answer == POOL_UNHEALTHY)
		worker->blocked_until_ms = now_ms + UNHEALTHY_BLOCK_MS;
	else if (pool_is_unsent(answer))
		pool_hold_failed(worker, answer, now_ms);
	pool_note_carried_out(pool, run);
	pool_close_run(pool, run, refusal_end(answer), now_ms);
}

static void note_answer_time(struct lease_pool *pool,
			     const struct pool_run *run,
			     enum pool_answer answer, uint64_t now_ms)
{
	double error_ms =
		(double)(now_ms - run->sent_ms) - pool->mean_answer_ms;
	bool unanswered = pool_may_be_late(answer);

	pool->unanswered_share +=
		MEAN_ANSWER_WEIGHT * (unanswered - pool->unanswered_share);
	if (unanswered)
		return;
	pool->mean_answer_ms += MEAN_ANSWER_WEIGHT * error_ms;
	if (error_ms < 0)
		error_ms = -error_ms;
	pool->answer_deviation_ms +=
		MEAN_ANSWER_WEIGHT * (error_ms - pool->answer_deviation_ms);
}

bool pool_repeat_start(struct lease_pool *pool, struct pool_run *run,
		       uint64_t now_ms)
{
	static const struct step_job_demand nothing;

#ifdef BREAK_REPEAT_START
	return false;
#endif
	if (!run->task || !run->text || run->repeats >= MAX_REPEATS ||
	    now_ms - run->sent_ms >= REPEAT_MS ||
	    !pool_is_usable(run->worker, now_ms) ||
	    !pool_fits(run->worker, &nothing))
		return false;
	log_info(LOG_TARGET,
		 "job %s: worker %s does not list task %s run %u; starting it "
		 "there again",
		 run->job, run->worker->id, run->name, run->number);
	note_answer_time(pool, run, POOL_NO_ANSWER, now_ms);
	/* An answer to the former start proves nothing of this one. */
	HASH_REMOVE(pool->by_token, run);
	run->token = ++pool->next_number;
	HASH_ADD(hh, pool->by_token, token, sizeof(run->token), run);
	run->repeats++;
	run->late_ms = run->sent_ms;
	send_start(pool, run, now_ms);
	return true;
}

/*
 * The process that we called has ended. Its runs without an answer are stopped
 * until their lease lapses, as the worker may restart under its id.
 */
static void note_replaced(struct lease_pool *pool, struct pool_worker *worker,
			  uint64_t now_ms)
{
#ifndef BREAK_REPLACED
	if (worker->is_replaced)
		return;
#endif
	pool_reset_worker(pool, worker, now_ms);
	worker->is_replaced = true;
}

void pool_start_answered(struct lease_pool *pool, uint64_t token,
			 const struct pool_reply *reply, uint64_t now_ms)
{
	struct pool_run *run = find_run_by_token(pool, token);
	struct pool_worker *worker;

	pool_settle_order(pool, token, reply, now_ms);
	if (!run)
		return;
	worker = run->worker;
	note_answer_time(pool, run, reply->answer, now_ms);
	if (pool_apply_reply(pool, worker, reply, run->sent_ms, now_ms) ==
	    POOL_LIFE_OLDER) {
		pool_close_run(pool, run, POOL_LAPSED, now_ms);
		pool_send_due_hold(pool, worker, now_ms);
		return;
	}
	switch (reply->answer) {
	case POOL_OK:
		histogram_observe_ms(HISTOGRAM_WORKER_START,
				     now_ms - run->sent_ms);
		if (!run->answered_ms)
			run->answered_ms = now_ms;
		pool_note_carried_out(pool, run);
		if (run->held_until_ms > worker->held_until_ms)
			worker->held_until_ms = run->held_until_ms;
		if (run->state == POOL_STARTING ||
		    run->state == POOL_UNCONFIRMED)
			run->state = POOL_ACTIVE;
		break;
	case POOL_NO_ANSWER:
	case POOL_CLOSED:
		log_warning(LOG_TARGET,
			    "job %s: worker %s did not answer the start of "
			    "task %s run %u: %s; the run counts as open "
			    "until the worker lists its end or stops it, or "
			    "its lease lapses",
			    run->job, worker->id, run->name, run->number,
			    pool_answer_text(reply->answer));
		counter_add(COUNTER_TASKS_UNKNOWN, 1);
		pool_note_closed(worker, reply->answer, now_ms);
		if (run->state != POOL_STARTING)
			break;
		run->state = POOL_UNCONFIRMED;
		pool_note_late_task(pool, run, false);
		if (worker->state == POOL_HELD)
			pool_send_hold(pool, worker, 0, now_ms);
		break;
	case POOL_FENCED:
		if (run->state == POOL_STOPPING)
			break; /* the answer to the stop decides */
		if (run->fence == pool_fence_of(pool, worker))
			pool_mark_foreign(pool, worker, now_ms);
		pool_note_carried_out(pool, run);
		pool_close_run(pool, run, POOL_NOT_RUN, now_ms);
		break;
	case POOL_RESTARTED:
		start_refused(pool, run, reply->answer, now_ms);
		note_replaced(pool, worker, now_ms);
		break;
	default:
		start_refused(pool, run, reply->answer, now_ms);
	}
	pool_send_due_hold(pool, worker, now_ms);
}

void pool_stop_answered(struct lease_pool *pool, uint64_t token,
			const struct pool_reply *reply, uint64_t now_ms)
{
	struct pool_run *run = find_run_by_token(pool, token);
	struct pool_worker *worker;

	if (!run)
		return;
	worker = run->worker;
	if (pool_apply_reply(pool, worker, reply, 0, now_ms) == POOL_LIFE_OLDER)
		return; /* the new process must get a stop, too */
	if (!find_run_by_token(pool, token))
		return; /* closed with the runs of the older process */
	if (reply->answer == POOL_OK) {
		/*
		 * The run can no longer begin; if it has begun, it ends within
		 * stop_ms.
		 */
		run->close_at_ms =
			now_ms + pool->options.stop_ms + POOL_LAPSE_SLACK_MS;
		run->stop_retry_ms = UINT64_MAX;
		run->stopped_ms = now_ms;
		update_unwanted(pool, run);
		if (!run->answered_ms && worker->state == POOL_HELD)
			pool_send_hold(pool, worker, 0, now_ms);
	} else if (reply->answer == POOL_FENCED) {
		if (run->fence == pool_fence_of(pool, worker))
			pool_mark_foreign(pool, worker, now_ms);
		else
			run->stop_retry_ms = now_ms;
	} else if (reply->answer == POOL_RESTARTED) {
		note_replaced(pool, worker, now_ms);
	}
	pool_send_due_hold(pool, worker, now_ms);
}

bool pool_has_unneeded_runs(const struct lease_pool *pool)
{
	return !LIST_EMPTY(&pool->taskless) ||
	       late_has_waiting(pool->late_tasks);
}

bool pool_has_unneeded_run(const struct lease_pool *pool, const char *task)
{
	const struct pool_run *run;

#ifdef BREAK_UNNEEDED
	return false;
#endif
	LIST_FOREACH(run, &pool->taskless, in_taskless)
		if (!strcmp(run->name, task))
			return true;
	return pool_late_until_ms(pool, task) != 0;
}

void pool_offer_found(struct lease_pool *pool, const char *job, uint64_t now_ms)
{
	struct pool_run *run = LIST_FIRST(&pool->taskless);
	struct pool_run *next;
	struct found_job *found;
	struct found_end *end;

	for (; run; run = next) {
		next = LIST_NEXT(run, in_taskless);
		if (!strcmp(run->job, job))
			pool_offer_run(pool, run, now_ms);
	}
	HASH_FIND_STR(pool->found, job, found);
	if (!found)
		return;
	HASH_DEL(pool->found, found);
	LIST_FOREACH(end, &found->ends, entry) {
		struct pool_listed_end row = {
			.task = end->task,
			.number = end->number,
			.how = end->how,
		};

		pool->options.found_end(pool->options.ctx, job, &row,
					end->read_ms, now_ms);
	}
	talloc_free(found);
}

void pool_tick_run(struct lease_pool *pool, struct pool_run *run,
		   uint64_t now_ms)
{
	struct pool_worker *worker = run->worker;

	if (run->close_at_ms && run->close_at_ms <= now_ms) {
		pool_close_run(pool, run, POOL_STOPPED, now_ms);
		return;
	}
	if (worker->state == POOL_FOREIGN)
		return;
	if (run->stop_at_ms && run->stop_at_ms <= now_ms)
		pool_stop(pool, run, now_ms);
	else if (run->state == POOL_STOPPING && run->stop_retry_ms <= now_ms)
		send_stop(pool, run, now_ms);
}
