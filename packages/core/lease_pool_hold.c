#include "core/lease_pool_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"

/*
 * A hold waits for as long as the next end is expected to take, so that a lost
 * answer is noticed soon. The maximum leaves time for a second hold before the
 * shortest lease (1 s) lapses.
 */
#define MAX_WAIT_MS 500
#define MIN_WAIT_MS 60 /* what the shortest tasks take */
#define WAIT_FACTOR 1.1 /* low: an early hold costs less than a lost answer */
#define WAIT_SLACK_MS 30 /* for the start and the answer in flight */
#define OVERDUE_DIVISOR 4 /* an overdue task: waits its run time / 4 */
#define HOLD_TIMEOUT_MS 75 /* on top of the wait, as for a start */
#define IDLE_PROBE_MS 5000 /* keeps the clock's drift (2%) under 0.1 s */
/*
 * A start that is unanswered for this long, or for the mean answer time and a
 * multiple of its deviation, is looked up in the worker's lists. Where many
 * starts have no answer, answers may be slow: a probe would add load.
 */
#define MIN_ANSWER_LIMIT_MS 12
#define ANSWER_DEVIATIONS 4
#define UNANSWERED_BACKOFF 6 /* multiple of the limit if none has an answer */
/*
 * Least time between two probes of all workers, and more for a large site: jobs
 * that arrive from several entry instances meanwhile share the next probe.
 */
#define PROBE_PERIOD_MS 40
#define PROBED_WORKERS_PER_MS 4
#define FIRST_RETRY_MS 100 /* doubled for each failed hold in a row */
#define MAX_RETRY_MS 1000
#define CLOCK_DRIFT_PERCENT 2 /* a worker's clock may be slow by this */
/*
 * A run of an earlier leader is kept for this long for its job, which an entry
 * instance resubmits within this time.
 */
#define ORPHAN_KEEP_MS 400
/* An end is kept for longer: an entry may be paused, and ends use no worker. */
#define FOUND_END_KEEP_MS 30000

uint64_t pool_worker_clock(const struct pool_worker *worker, uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - worker->clock_at_ms;

	return worker->clock_ms +
	       elapsed_ms * (100 - CLOCK_DRIFT_PERCENT) / 100;
}

static uint64_t lapsed_ms(uint64_t lease_ms, uint64_t now_ms)
{
	return now_ms + lease_ms * 100 / (100 - CLOCK_DRIFT_PERCENT) +
	       POOL_LAPSE_SLACK_MS;
}

uint64_t pool_lapse_ms(const struct lease_pool *pool, uint64_t now_ms)
{
	return lapsed_ms(pool->options.lease_ms, now_ms);
}

/* Returns the length of a lease that lapses by a time. */
static uint64_t shorten_lease(uint64_t lease_ms, uint64_t limit_ms,
			      uint64_t now_ms)
{
	uint64_t left_ms = limit_ms > now_ms + POOL_LAPSE_SLACK_MS
				   ? limit_ms - now_ms - POOL_LAPSE_SLACK_MS
				   : 0;

	if (left_ms < lease_ms * 100 / (100 - CLOCK_DRIFT_PERCENT))
		return left_ms * (100 - CLOCK_DRIFT_PERCENT) / 100;
	return lease_ms;
}

/*
 * Returns the length of a lease that lapses by the limit of each run, and
 * before an order without an answer may be carried out late.
 */
static uint64_t find_lease_ms(const struct lease_pool *pool,
			      const struct pool_worker *worker, uint64_t now_ms)
{
	uint64_t lease_ms = pool->options.lease_ms;
	uint64_t limit_ms;
	const struct pool_run *run;

	lease_ms = shorten_lease(lease_ms, pool_grant_limit_ms(worker), now_ms);
#ifdef BREAK_RUN_LIMIT
	return lease_ms;
#endif
	if (!pool->options.find_run_limit)
		return lease_ms;
	LIST_FOREACH(run, &worker->runs, in_worker) {
		if (run->stopped_ms)
			continue;
		limit_ms = pool->options.find_run_limit(pool->options.ctx, run,
							now_ms);
		lease_ms = shorten_lease(lease_ms, limit_ms, now_ms);
	}
	return lease_ms;
}

struct pool_grant pool_grant_lease(const struct lease_pool *pool,
				   const struct pool_worker *worker,
				   uint64_t now_ms)
{
	uint64_t ahead_ms =
		(now_ms - worker->clock_at_ms) * CLOCK_DRIFT_PERCENT / 100 +
		POOL_LAPSE_SLACK_MS;
	uint64_t lease_ms = find_lease_ms(pool, worker, now_ms);
	struct pool_grant grant = {
		.deadline_ms = pool_worker_clock(worker, now_ms) + lease_ms,
		.lapsed_ms = lapsed_ms(lease_ms, now_ms),
		.held_until_ms = now_ms,
	};

	if (lease_ms > ahead_ms)
		grant.held_until_ms += lease_ms - ahead_ms;
	return grant;
}

void pool_note_grant(struct pool_worker *worker, const struct pool_grant *grant)
{
	if (grant->lapsed_ms > worker->lease_until_ms)
		worker->lease_until_ms = grant->lapsed_ms;
}

/*
 * A worker that has restarted numbers its ends anew: acknowledging our number
 * would drop ends that nobody has read. So only a hold that follows an answer
 * at once acknowledges ends.
 */
static uint64_t ends_to_acknowledge(const struct pool_worker *worker,
				    uint64_t now_ms)
{
#ifdef BREAK_PROBE_ACK
	return worker->ends_read;
#endif
	return worker->state == POOL_HELD && !worker->failures &&
			       worker->answered_ms == now_ms
		       ? worker->ends_read
		       : 0;
}

bool pool_may_renew(const struct pool_worker *worker)
{
#ifdef BREAK_RENEW
	return true;
#endif
	return worker->state == POOL_HELD && !worker->unwanted_count;
}

void pool_send_hold(struct lease_pool *pool, struct pool_worker *worker,
		    uint32_t wait_ms, uint64_t now_ms)
{
	struct pool_hold_call call = {
		.worker = worker->id,
		.address = worker->address,
		.data_centre = worker->data_centre,
		.serial = ++pool->next_number,
		.fence = pool_fence_of(pool, worker),
		.ends_read = ends_to_acknowledge(worker, now_ms),
		.wait_ms = wait_ms,
		.timeout_ms = wait_ms + HOLD_TIMEOUT_MS,
	};
	struct pool_grant grant;

	worker->hold_lease_ms = worker->hold_held_ms = 0;
	worker->hold_renews =
		worker->clock_ms && worker->run_count && pool_may_renew(worker);
	if (worker->hold_renews) {
		grant = pool_grant_lease(pool, worker, now_ms);
		call.deadline_ms = grant.deadline_ms;
		worker->former_lease_ms = worker->lease_until_ms;
		pool_note_grant(worker, &grant);
		worker->hold_lease_ms = worker->lease_until_ms;
		worker->hold_held_ms = grant.held_until_ms;
	}
	if (call.ends_read > worker->ends_acked)
		worker->ends_acked = call.ends_read;
	worker->replaced_holds += worker->hold_pending;
	worker->hold_pending = true;
	worker->hold_serial = call.serial;
	worker->hold_fence = call.fence;
	worker->hold_sent_ms = now_ms;
	pool_note_order(pool, worker, call.serial, worker->hold_renews,
			call.timeout_ms, now_ms);
	counter_add(COUNTER_WORKER_HOLDS, 1);
	pool->ports->hold(pool->ports->ctx, &call);
}

/* Returns the time in ms after which a run has most likely ended. */
static uint64_t expected_run_ms(const struct pool_run *run)
{
	if (!run->estimate_ms)
		return MAX_WAIT_MS;
	return (uint64_t)(run->estimate_ms * WAIT_FACTOR / run->worker->speed) +
	       WAIT_SLACK_MS;
}

/* Returns the time in ms until the run is expected to end. */
static uint64_t expected_end_in_ms(const struct pool_run *run, uint64_t now_ms)
{
	uint64_t ran_ms = run->answered_ms ? now_ms - run->answered_ms : 0;
	uint64_t takes_ms = expected_run_ms(run);

	return takes_ms > ran_ms ? takes_ms - ran_ms : ran_ms / OVERDUE_DIVISOR;
}

static uint32_t next_wait_ms(const struct lease_pool *pool,
			     const struct pool_worker *worker, uint64_t now_ms)
{
	/* Time for a second hold before the lease lapses. */
	uint64_t wait_ms = find_lease_ms(pool, worker, now_ms) / 2;
	const struct pool_run *run;

	if (wait_ms > MAX_WAIT_MS)
		wait_ms = MAX_WAIT_MS;
	LIST_FOREACH(run, &worker->runs, in_worker)
		if (expected_end_in_ms(run, now_ms) < wait_ms)
			wait_ms = expected_end_in_ms(run, now_ms);
	return (uint32_t)(wait_ms > MIN_WAIT_MS ? wait_ms : MIN_WAIT_MS);
}

static bool needs_hold(const struct pool_worker *worker)
{
	return worker->run_count || worker->lost_orders ||
	       worker->ends_read > worker->ends_acked;
}

/*
 * Returns true if a run should have ended that the pending hold was not sent
 * for: it was sent for longer runs, and its answer may be lost.
 */
static bool is_end_overdue(const struct pool_worker *worker, uint64_t now_ms)
{
	const struct pool_run *run;

	LIST_FOREACH(run, &worker->runs, in_worker) {
		uint64_t due_ms = run->answered_ms + expected_run_ms(run);

		if (run->state == POOL_ACTIVE && due_ms <= now_ms &&
		    worker->hold_sent_ms < due_ms)
			return true;
	}
	return false;
}

void pool_probe_overdue(struct lease_pool *pool, struct pool_worker *worker,
			uint64_t now_ms)
{
	if (worker->hold_pending && worker->state == POOL_HELD &&
	    !worker->failures && is_end_overdue(worker, now_ms))
		pool_send_hold(pool, worker, next_wait_ms(pool, worker, now_ms),
			       now_ms);
}

void pool_renew_lease(struct lease_pool *pool, struct pool_worker *worker,
		      uint64_t now_ms)
{
	if (worker->hold_pending && !worker->hold_renews && worker->run_count &&
	    !worker->failures && pool_may_renew(worker))
		pool_send_hold(pool, worker, next_wait_ms(pool, worker, now_ms),
			       now_ms);
}

void pool_send_due_hold(struct lease_pool *pool, struct pool_worker *worker,
			uint64_t now_ms)
{
	if (!pool->fence || worker->hold_pending || worker->retry_ms > now_ms ||
	    !worker->address)
		return;
	if (worker->state != POOL_HELD || worker->failures) {
		if (worker->registered || worker->run_count)
			pool_send_hold(pool, worker, 0, now_ms);
		return;
	}
	if (needs_hold(worker))
		pool_send_hold(pool, worker, next_wait_ms(pool, worker, now_ms),
			       now_ms);
	else if (worker->registered &&
		 now_ms - worker->answered_ms >= IDLE_PROBE_MS)
		pool_send_hold(pool, worker, 0, now_ms);
}

void pool_lead(struct lease_pool *pool, uint64_t fence, uint64_t now_ms)
{
	struct pool_worker *worker;

	pool->fence = pool->highest_fence = fence;
	pool->probed_ms = now_ms;
	pool->probe_due_ms = 0;
	pool->first_lists_until_ms = now_ms + POOL_FIRST_LISTS_MS;
	TAILQ_FOREACH(worker, &pool->workers, entry) {
		worker->state = POOL_UNHELD;
		worker->owes_first_list = true;
		worker->raised_by = 0;
		pool_forget_holds(pool, worker);
		worker->failures = 0;
		worker->lost_ms = 0;
		worker->mates_probed = false;
		worker->retry_ms = 0;
		/* Another leader may have renewed it up to now. */
		worker->lease_until_ms = pool_lapse_ms(pool, now_ms);
		worker->held_until_ms = 0;
		pool_send_due_hold(pool, worker, now_ms);
	}
}

bool pool_awaits_first_lists(const struct lease_pool *pool, uint64_t now_ms)
{
	const struct pool_worker *worker;

#ifdef BREAK_FIRST_LISTS
	return false;
#endif
	if (now_ms >= pool->first_lists_until_ms)
		return false;
	TAILQ_FOREACH(worker, &pool->workers, entry)
		if (worker->registered && worker->owes_first_list &&
		    worker->failures < POOL_LOST_HOLDS)
			return true;
	return false;
}

void pool_note_first_lists(struct lease_pool *pool, uint64_t now_ms)
{
	const struct pool_worker *worker, *silent = NULL;
	uint32_t count = 0;

	if (!pool->first_lists_until_ms ||
	    pool_awaits_first_lists(pool, now_ms))
		return;
	TAILQ_FOREACH(worker, &pool->workers, entry)
		if (worker->registered && worker->owes_first_list) {
			silent = worker;
			count++;
		}
	log_info(LOG_TARGET,
		 "tasks start: waited %" PRIu64 " ms for the workers' first "
		 "lists of runs; %u workers have not answered%s%s",
		 now_ms + POOL_FIRST_LISTS_MS - pool->first_lists_until_ms,
		 count, silent ? ", one is " : "", silent ? silent->id : "");
	pool->first_lists_until_ms = 0;
}

void pool_send_due_probes(struct lease_pool *pool, uint64_t now_ms)
{
	struct pool_worker *worker;

	if (!pool->fence || !pool->probe_due_ms || pool->probe_due_ms > now_ms)
		return;
	pool->probe_due_ms = 0;
	pool->probed_ms = now_ms;
	TAILQ_FOREACH(worker, &pool->workers, entry)
		if (worker->registered && worker->state == POOL_HELD &&
		    !worker->failures)
			pool_send_hold(pool, worker, 0, now_ms);
}

void pool_probe_all(struct lease_pool *pool, uint64_t now_ms)
{
	uint64_t due_ms = pool->probed_ms + PROBE_PERIOD_MS +
			  pool->slot_count / PROBED_WORKERS_PER_MS;

	if (!pool->probe_due_ms)
		pool->probe_due_ms = due_ms > now_ms ? due_ms : now_ms;
	pool_send_due_probes(pool, now_ms);
}

/* Copies the job's id from the start of a task's name. */
static void copy_job_id(char id[STEP_JOB_ID_BYTES], const char *task)
{
	snprintf(id, STEP_JOB_ID_BYTES, "%.*s", (int)strcspn(task, "."), task);
}

static void add_orphan(struct lease_pool *pool, struct pool_worker *worker,
		       const struct pool_listed_run *row, uint64_t now_ms)
{
	struct pool_run orphan = {
		.number = row->number,
		.state = POOL_ACTIVE,
		.sent_ms = now_ms,
		.answered_ms = now_ms,
		.stop_at_ms = now_ms + ORPHAN_KEEP_MS,
		.listed_serial = worker->hold_serial,
		.is_unsized = true,
	};

	/* An earlier leader may have renewed its lease up to now. */
	worker->lease_until_ms = pool_lapse_ms(pool, now_ms);
	snprintf(orphan.name, sizeof(orphan.name), "%s", row->task);
	copy_job_id(orphan.job, row->task);
	log_info(LOG_TARGET, "job %s: found run %u of task %s on worker %s",
		 orphan.job, row->number, row->task, worker->id);
	pool_offer_run(pool, pool_add_run(pool, worker, &orphan), now_ms);
}

static void apply_running(struct lease_pool *pool, struct pool_worker *worker,
			  const struct pool_listed_run *row, uint64_t now_ms)
{
	struct pool_run *run = pool_find_run(worker, row->task, row->number);

	if (!run) {
		add_orphan(pool, worker, row, now_ms);
		return;
	}
	run->listed_serial = worker->hold_serial;
	run->percent = row->percent;
	pool_locate_run(pool, run, POOL_IN_NEXT_PROCESS);
	if (run->state != POOL_STARTING && run->state != POOL_UNCONFIRMED)
		return;
	run->state = POOL_ACTIVE;
	if (!run->answered_ms)
		run->answered_ms = now_ms;
	pool_note_carried_out(pool, run);
	/* Any of its starts may have begun it. */
	if (run->repeats)
		run->late_ms = run->sent_ms;
}

static void keep_end(struct lease_pool *pool, const char *job,
		     const struct pool_listed_end *row, uint64_t now_ms)
{
	struct found_end *end;
	struct found_job *found;

#ifdef BREAK_KEEP_END
	return;
#endif
	HASH_FIND_STR(pool->found, job, found);
	if (!found) {
		found = talloc_zero(pool, struct found_job);
		snprintf(found->job, sizeof(found->job), "%s", job);
		found->until_ms = now_ms + FOUND_END_KEEP_MS;
		HASH_ADD_STR(pool->found, job, found);
	}
	end = talloc_zero(found, struct found_end);
	snprintf(end->task, sizeof(end->task), "%s", row->task);
	end->number = row->number;
	end->how = row->how;
	end->read_ms = now_ms;
	LIST_INSERT_HEAD(&found->ends, end, entry);
}

/*
 * Offers an end of a run that no task is waiting for: a former leader started
 * it, or its lease was taken to have lapsed while the worker did not answer. A
 * former leader's end is kept for its job, which may be submitted later.
 */
static void offer_end(struct lease_pool *pool,
		      const struct pool_listed_end *row, bool keep,
		      uint64_t now_ms)
{
	char job[STEP_JOB_ID_BYTES];

	copy_job_id(job, row->task);
	if (!pool->options.found_end(pool->options.ctx, job, row, now_ms,
				     now_ms) &&
	    keep)
		keep_end(pool, job, row, now_ms);
}

static bool counts_for_task(enum pool_end how)
{
#ifdef BREAK_FOUND_FAILED
	return how == POOL_DONE;
#endif
	return how == POOL_DONE || how == POOL_FAILED;
}

static void apply_ended(struct lease_pool *pool, struct pool_worker *worker,
			const struct pool_listed_end *row, uint64_t now_ms)
{
	struct pool_run *run = pool_find_run(worker, row->task, row->number);

	bool offered = counts_for_task(row->how) && !(run && run->task);
	bool foreign = !run || !run->started_here;

	if (row->number_of_end <= worker->ends_read)
		return;
	worker->ends_read = row->number_of_end;
	if (run && counts_for_task(row->how))
		pool_note_carried_out(pool, run);
	if (run) {
		pool_locate_run(pool, run, POOL_IN_NEXT_PROCESS);
		pool_close_run(pool, run, row->how, now_ms);
	}
	if (offered)
		offer_end(pool, row, foreign, now_ms);
}

/*
 * Returns true if an unlisted run never began: its start has no answer and its
 * stop was acknowledged before the hold was sent. A run that is being stopped
 * would still be listed.
 */
static bool has_never_begun(const struct pool_run *run)
{
	return run->state == POOL_STOPPING && !run->answered_ms &&
	       run->stopped_ms && run->stopped_ms <= run->worker->hold_sent_ms;
}

/*
 * Handles open runs that a hold's lists do not contain. One that the worker
 * acknowledged before the hold was sent has been lost. One whose start has no
 * answer may still begin and is stopped.
 */
static void close_unlisted(struct lease_pool *pool, struct pool_worker *worker,
			   uint64_t serial, uint64_t now_ms)
{
	struct pool_run *run = LIST_FIRST(&worker->runs);
	struct pool_run *next;
	bool may_start_anew = false;

	for (; run; run = next) {
		next = LIST_NEXT(run, in_worker);
		if (run->listed_serial == serial)
			continue;
		if (run->state == POOL_UNCONFIRMED &&
		    run->sent_ms < worker->hold_sent_ms) {
			if (!pool_repeat_start(pool, run, now_ms))
				pool_stop(pool, run, now_ms);
		} else if (has_never_begun(run)) {
			pool_close_run(pool, run, POOL_STOPPED, now_ms);
			continue;
		}
		if ((run->state != POOL_ACTIVE && !run->is_unlocated) ||
		    run->answered_ms >= worker->hold_sent_ms)
			continue;
		log_warning(LOG_TARGET,
			    "worker %s: run %u of task %s is not listed, "
			    "acknowledged %" PRIu64
			    " ms before a hold that was sent %" PRIu64
			    " ms ago; closing it",
			    worker->id, run->number, run->name,
			    worker->hold_sent_ms - run->answered_ms,
			    now_ms - worker->hold_sent_ms);
		may_start_anew |= run->is_unlocated && run->late_ms;
		pool_locate_run(pool, run, POOL_IN_FORMER_PROCESS);
		pool_close_run(pool, run, POOL_LAPSED, now_ms);
	}
	/* Another start of such a run may yet reach this process. */
	if (may_start_anew)
		pool_reopen_late_starts(pool, worker, now_ms);
}

void pool_note_closed(struct pool_worker *worker, enum pool_answer answer,
		      uint64_t now_ms)
{
	if (pool_shows_end(answer) && !worker->closed_ms)
		worker->closed_ms = now_ms;
}

void pool_hold_failed(struct pool_worker *worker, enum pool_answer answer,
		      uint64_t now_ms)
{
	uint64_t wait_ms = FIRST_RETRY_MS;

	for (uint32_t i = 0; i < worker->failures && wait_ms < MAX_RETRY_MS;
	     i++)
		wait_ms *= 2;
	if (wait_ms > MAX_RETRY_MS)
		wait_ms = MAX_RETRY_MS;
	/* The first retry is immediate: the lease may lapse soon. */
	worker->retry_ms = worker->failures ? now_ms + wait_ms : now_ms;
	if (!worker->failures) {
		worker->silent_ms = worker->lost_ms = now_ms;
		worker->lost_by = answer;
	}
	if (!pool_shows_end(answer) && !pool_is_unsent(answer))
		worker->answer_lost = true;
	pool_note_closed(worker, answer, now_ms);
	if (pool_is_unsent(answer))
		worker->silent_ms = 0;
	/* Nothing listens there: no task starts on it from now on. */
	if (pool_is_unsent(answer) && worker->failures < POOL_LOST_HOLDS)
		worker->failures = POOL_LOST_HOLDS - 1;
	if (++worker->failures == POOL_LOST_HOLDS)
		log_warning(LOG_TARGET,
			    "worker %s: holds not answered (%s, the first one "
			    "%" PRIu64 " ms ago: %s), last answer "
			    "%" PRIu64 " ms ago, %u open runs; starting no "
			    "tasks on it",
			    worker->id, pool_answer_text(answer),
			    now_ms - worker->lost_ms,
			    pool_answer_text(worker->lost_by),
			    worker->answered_ms ? now_ms - worker->answered_ms
						: 0,
			    worker->run_count);
	counter_add(COUNTER_WORKER_HOLD_FAILURES, 1);
}

void pool_doubt_worker(struct lease_pool *pool, const char *id, uint64_t now_ms)
{
	struct pool_worker *worker = pool_find_worker(pool, id);

	if (!worker || worker->state != POOL_HELD ||
	    worker->failures >= POOL_LOST_HOLDS)
		return;
	if (!worker->failures) {
		worker->silent_ms = worker->lost_ms = now_ms;
		worker->lost_by = POOL_NO_ANSWER;
	}
	worker->answer_lost = true;
	worker->failures = POOL_LOST_HOLDS;
	worker->retry_ms = now_ms;
}

static void hold_succeeded(struct lease_pool *pool, struct pool_worker *worker,
			   const struct pool_lists *lists, uint64_t now_ms)
{
	uint64_t serial = worker->hold_serial;

	if (worker->failures >= POOL_LOST_HOLDS)
		log_info(LOG_TARGET, "worker %s: answers holds again",
			 worker->id);
	if (worker->failures)
		pool->room_version++;
	worker->owes_first_list = false;
	worker->failures = 0;
	worker->lost_ms = 0;
	worker->is_replaced = false;
	worker->replaced_holds = 0;
	worker->closed_ms = 0;
	worker->answer_lost = false;
	worker->answered_serial = serial;
	if (worker->went_born_ms == worker->born_ms)
		worker->went_ms = worker->went_born_ms = 0;
	worker->mates_probed = false;
	worker->retry_ms = 0;
	worker->answered_ms = now_ms;
	worker->probed_ms = worker->hold_sent_ms;
	if (worker->hold_held_ms > worker->held_until_ms)
		worker->held_until_ms = worker->hold_held_ms;
	for (size_t i = 0; i < lists->running_count; i++)
		apply_running(pool, worker, &lists->running[i], now_ms);
	for (size_t i = 0; i < lists->ended_count; i++)
		apply_ended(pool, worker, &lists->ended[i], now_ms);
	close_unlisted(pool, worker, serial, now_ms);
	if (worker->state != POOL_HELD) {
		pool->room_version++;
		/* As in pool_lead: this hold renewed nothing. */
		worker->lease_until_ms = pool_lapse_ms(pool, now_ms);
	}
	worker->state = POOL_HELD;
}

/* A hold that was not sent has renewed nothing. */
static void restore_lease(struct pool_worker *worker)
{
	if (worker->hold_lease_ms &&
	    worker->lease_until_ms == worker->hold_lease_ms)
		worker->lease_until_ms = worker->former_lease_ms;
	worker->hold_lease_ms = 0;
}

void pool_forget_holds(struct lease_pool *pool, struct pool_worker *worker)
{
	worker->hold_pending = false;
	worker->hold_serial = 0;
	worker->replaced_holds = 0;
	worker->closed_ms = 0;
	worker->answer_lost = false;
	worker->answered_serial = pool->next_number;
}

static bool lists_new_end(const struct pool_worker *worker,
			  const struct pool_lists *lists)
{
	for (size_t i = 0; i < lists->ended_count; i++)
		if (lists->ended[i].number_of_end > worker->ends_read)
			return true;
	return false;
}

/* The answer to a replaced hold is not applied: a newer one is pending. */
static void replaced_hold_answered(struct pool_worker *worker, uint64_t serial,
				   const struct pool_reply *reply,
				   const struct pool_lists *lists,
				   uint64_t now_ms)
{
	bool is_complete = reply->answer == POOL_OK
				   ? !lists_new_end(worker, lists)
				   : pool_shows_end(reply->answer);

	if (serial <= worker->answered_serial || !worker->replaced_holds ||
	    !is_complete)
		return;
	worker->replaced_holds--;
	pool_note_closed(worker, reply->answer, now_ms);
}

void pool_hold_answered(struct lease_pool *pool, const char *id,
			uint64_t serial, const struct pool_reply *reply,
			const struct pool_lists *lists, uint64_t now_ms)
{
	struct pool_worker *worker = pool_find_worker(pool, id);
	enum pool_life life;

	if (!pool->fence || !worker)
		return;
	pool_settle_order(pool, serial, reply, now_ms);
	if (worker->hold_serial != serial) {
		replaced_hold_answered(worker, serial, reply, lists, now_ms);
		return;
	}
	worker->hold_pending = false;
	life = pool_apply_reply(pool, worker, reply, worker->hold_sent_ms,
				now_ms);
	if (life == POOL_LIFE_OLDER)
		pool_hold_failed(worker, POOL_NO_ANSWER, now_ms);
	/* The hold had the older process's ends_read: ends may be left out. */
	if (life != POOL_LIFE_SAME) {
		pool_send_due_hold(pool, worker, now_ms);
		return;
	}
	if (reply->answer == POOL_OK)
		hold_succeeded(pool, worker, lists, now_ms);
	else if (reply->answer != POOL_FENCED)
		pool_hold_failed(worker, reply->answer, now_ms);
	else if (worker->hold_fence == pool_fence_of(pool, worker))
		pool_mark_foreign(pool, worker, now_ms);
	if (pool_is_unsent(reply->answer))
		restore_lease(worker);
	pool_send_due_hold(pool, worker, now_ms);
}

double pool_answer_limit_ms(const struct lease_pool *pool)
{
	double limit_ms = pool->mean_answer_ms +
			  pool->answer_deviation_ms * ANSWER_DEVIATIONS;

	if (limit_ms < MIN_ANSWER_LIMIT_MS)
		limit_ms = MIN_ANSWER_LIMIT_MS;
	return limit_ms * (1 + pool->unanswered_share * UNANSWERED_BACKOFF);
}

void pool_probe_unanswered(struct lease_pool *pool, struct pool_worker *worker,
			   double limit_ms, uint64_t now_ms)
{
	struct pool_run *run;
	uint32_t overdue = 0;

	if (worker->state != POOL_HELD)
		return;
	LIST_FOREACH(run, &worker->runs, in_worker) {
		if (run->state != POOL_STARTING ||
		    (double)(now_ms - run->sent_ms) < limit_ms)
			continue;
		log_info(LOG_TARGET,
			 "job %s: worker %s has not answered the start of "
			 "task %s run %u for %" PRIu64 " ms; probing it",
			 run->job, worker->id, run->name, run->number,
			 now_ms - run->sent_ms);
		run->state = POOL_UNCONFIRMED;
		pool_note_late_task(pool, run, false);
		overdue++;
	}
	if (overdue)
		pool_send_hold(pool, worker, 0, now_ms);
}
