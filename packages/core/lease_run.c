#include "core/lease_pool_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"

/* Many times a worker's usual answer, and half the slack of short tasks. */
#define START_TIMEOUT_MS 75
#define STOP_TIMEOUT_MS 75
#define ANSWER_WEIGHT 0.05 /* of the newest answer, some hundred a second */
#define ROOM_BLOCK_MS 100 /* the worker's own view of its room differs */
#define UNHEALTHY_BLOCK_MS 500
/* Failed ends of so many unlike jobs in a row speak of the worker. */
#define BREAKER_STREAK 3
#define BREAKER_MS 1500
#define MAX_BREAKER_ROUNDS 3 /* doublings of BREAKER_MS */
#define SPEED_WEIGHT 0.2 /* of the newest observation */
#define MIN_SPEED 0.05
#define MAX_SPEED 20.0

static const char *const end_texts[LPL_END_COUNT] = {
	[LPL_DONE] = "done",	   [LPL_FAILED] = "failed",
	[LPL_STOPPED] = "stopped", [LPL_LAPSED] = "lapsed",
	[LPL_NO_ROOM] = "no_room", [LPL_OLD] = "old",
	[LPL_NOT_RUN] = "not_run",
};

const char *lpl_end_text(enum lpl_end how)
{
	return end_texts[how];
}

static void reserve(struct lpl_worker *worker, const struct sjb_demand *d)
{
	worker->used.cpu_milli += d->cpu_milli;
	worker->used.mem_mb += d->mem_mb;
	worker->used.accelerators += d->accelerators;
}

static void give_back(struct lpl_worker *worker, const struct sjb_demand *d)
{
	worker->used.cpu_milli -= d->cpu_milli;
	worker->used.mem_mb -= d->mem_mb;
	worker->used.accelerators -= d->accelerators;
}

struct lpl_run *lpl_add_run(struct lpl *lpl, struct lpl_worker *worker,
			    const struct lpl_run *from)
{
	struct lpl_run *run = talloc(worker, struct lpl_run);

	*run = *from;
	run->worker = worker;
	run->token = ++lpl->next_token;
	LIST_INSERT_HEAD(&worker->runs, run, in_worker);
	HASH_ADD(hh, lpl->by_token, token, sizeof(run->token), run);
	worker->run_count++;
	reserve(worker, &run->demand);
	return run;
}

void lpl_free_run(struct lpl *lpl, struct lpl_run *run)
{
	give_back(run->worker, &run->demand);
	run->worker->run_count--;
	LIST_REMOVE(run, in_worker);
	HASH_REMOVE(lpl->by_token, run);
	talloc_free(run);
}

static void note_failure(struct lpl_worker *worker, const struct lpl_run *run,
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
	worker->failed_streak = BREAKER_STREAK - 1; /* one probe decides */
	log_warning(LOG_TARGET,
		    "worker %s: breaker open for %" PRIu64
		    " ms: failed tasks of %d jobs in a row, last %s",
		    worker->id, worker->blocked_until_ms - now_ms,
		    BREAKER_STREAK, run->job);
}

void lpl_note_hung(struct lpl_run *run, uint64_t now_ms)
{
	note_failure(run->worker, run, now_ms);
}

static void note_success(struct lpl_worker *worker, const struct lpl_run *run,
			 uint64_t now_ms)
{
	double ran_ms = (double)(now_ms - run->answered_ms);
	double speed;

	worker->failed_streak = 0;
	worker->open_rounds = 0;
	worker->failed_job[0] = '\0';
	if (!run->fresh || !run->answered_ms || !run->estimate_ms)
		return;
	hst_observe_ms(HST_TASK_RUN, now_ms - run->answered_ms);
	speed = run->estimate_ms / (ran_ms < 1 ? 1 : ran_ms);
	if (speed < MIN_SPEED)
		speed = MIN_SPEED;
	if (speed > MAX_SPEED)
		speed = MAX_SPEED;
	worker->speed += SPEED_WEIGHT * (speed - worker->speed);
}

void lpl_close_run(struct lpl *lpl, struct lpl_run *run, enum lpl_end how,
		   uint64_t now_ms)
{
	if (how == LPL_FAILED)
		note_failure(run->worker, run, now_ms);
	else if (how == LPL_DONE)
		note_success(run->worker, run, now_ms);
	if (run->task)
		lpl->options.closed(lpl->options.ctx, run, how, now_ms);
	lpl_free_run(lpl, run);
}

void lpl_close_all(struct lpl *lpl, struct lpl_worker *worker, uint64_t now_ms)
{
	struct lpl_run *run;

	while ((run = LIST_FIRST(&worker->runs)))
		lpl_close_run(lpl, run, LPL_LAPSED, now_ms);
}

struct lpl_run *lpl_find_run(struct lpl_worker *worker, const char *task,
			     uint32_t number)
{
	struct lpl_run *run;

	LIST_FOREACH(run, &worker->runs, in_worker)
		if (run->number == number && !strcmp(run->name, task))
			return run;
	return NULL;
}

static struct lpl_run *find_token(struct lpl *lpl, uint64_t token)
{
	struct lpl_run *run;

	HASH_FIND(hh, lpl->by_token, &token, sizeof(token), run);
	return run;
}

void lpl_close_former_life(struct lpl *lpl, struct lpl_worker *worker,
			   uint64_t now_ms)
{
	struct lpl_run *run = LIST_FIRST(&worker->runs);
	struct lpl_run *next;

	for (; run; run = next) {
		next = LIST_NEXT(run, in_worker);
		if (run->answered_ms) {
			lpl_close_run(lpl, run, LPL_LAPSED, now_ms);
			continue;
		}
		run->close_at_ms = 0;
		run->stop_retry_ms = now_ms;
	}
}

void lpl_offer_run(struct lpl *lpl, struct lpl_run *run, uint64_t now_ms)
{
	struct lpl_worker *worker = run->worker;
	bool known;

	give_back(worker, &run->demand);
	known = lpl->options.found_run(lpl->options.ctx, run);
	reserve(worker, &run->demand);
	if (run->task)
		run->stop_at_ms = 0;
	else if (known)
		lpl_stop(lpl, run, now_ms);
}

static void send_stop(struct lpl *lpl, struct lpl_run *run, uint64_t now_ms)
{
	struct lpl_stop_call call = {
		.token = run->token,
		.worker = run->worker->id,
		.address = run->worker->address,
		.data_centre = run->worker->data_centre,
		.task = run->name,
		.number = run->number,
		.fence = lpl->fence,
		.timeout_ms = STOP_TIMEOUT_MS,
	};

	run->stop_at_ms = 0;
	run->stop_retry_ms = now_ms + STOP_TIMEOUT_MS * 2;
	ctr_add(CTR_TASKS_STOPPED, 1);
	lpl->ports->stop(lpl->ports->ctx, &call);
}

struct lpl_run *lpl_start(struct lpl *lpl, struct lpl_worker *worker,
			  const struct lpl_run *from, const char *text,
			  uint64_t now_ms)
{
	struct lpl_run *run = lpl_add_run(lpl, worker, from);
	struct lpl_start_call call = {
		.token = run->token,
		.worker = worker->id,
		.address = worker->address,
		.data_centre = worker->data_centre,
		.task = run->name,
		.number = run->number,
		.text = text,
		.deadline_ms = lpl_worker_clock(worker, now_ms) +
			       lpl->options.lease_ms,
		.fence = lpl->fence,
		.timeout_ms = START_TIMEOUT_MS,
	};

	run->state = LPL_STARTING;
	run->sent_ms = now_ms;
	run->fresh = true;
	worker->lease_until_ms = lpl_lapse_ms(lpl, now_ms);
	ctr_add(CTR_TASKS_STARTED, 1);
	lpl->ports->start(lpl->ports->ctx, &call);
	return run;
}

void lpl_stop(struct lpl *lpl, struct lpl_run *run, uint64_t now_ms)
{
	if (run->state == LPL_STOPPING)
		return;
	run->state = LPL_STOPPING;
	send_stop(lpl, run, now_ms);
}

void lpl_drop(struct lpl *lpl, struct lpl_run *run, uint64_t now_ms)
{
	run->task = NULL;
	lpl_stop(lpl, run, now_ms);
}

static enum lpl_end refusal_of(enum lpl_answer answer)
{
	switch (answer) {
	case LPL_ROOM:
		return LPL_NO_ROOM;
	case LPL_RUN_OLD:
		return LPL_OLD;
	default:
		return LPL_NOT_RUN;
	}
}

static void start_refused(struct lpl *lpl, struct lpl_run *run,
			  enum lpl_answer answer, uint64_t now_ms)
{
	struct lpl_worker *worker = run->worker;

	log_info(LOG_TARGET, "job %s: worker %s refused task %s run %u (%d)",
		 run->job, worker->id, run->name, run->number, (int)answer);
	ctr_add(CTR_TASKS_REFUSED, 1);
	if (answer == LPL_ROOM)
		worker->blocked_until_ms = now_ms + ROOM_BLOCK_MS;
	else if (answer == LPL_UNHEALTHY)
		worker->blocked_until_ms = now_ms + UNHEALTHY_BLOCK_MS;
	else if (answer == LPL_NOT_SENT)
		lpl_hold_failed(worker, answer, now_ms);
	lpl_close_run(lpl, run, refusal_of(answer), now_ms);
}

void lpl_start_answered(struct lpl *lpl, uint64_t token,
			const struct lpl_reply *reply, uint64_t now_ms)
{
	struct lpl_run *run = find_token(lpl, token);
	struct lpl_worker *worker;

	if (!run)
		return;
	worker = run->worker;
	lpl->answer_ms += ANSWER_WEIGHT *
			  ((double)(now_ms - run->sent_ms) - lpl->answer_ms);
	if (lpl_take_reply(lpl, worker, reply, now_ms) == LPL_LIFE_FORMER) {
		lpl_close_run(lpl, run, LPL_LAPSED, now_ms);
		lpl_pump(lpl, worker, now_ms);
		return;
	}
	switch (reply->answer) {
	case LPL_OK:
		hst_observe_ms(HST_WORKER_START, now_ms - run->sent_ms);
		if (!run->answered_ms)
			run->answered_ms = now_ms;
		if (run->state == LPL_STARTING || run->state == LPL_UNSURE)
			run->state = LPL_ACTIVE;
		break;
	case LPL_NO_ANSWER:
		log_warning(LOG_TARGET,
			    "job %s: worker %s did not answer the start of "
			    "task %s run %u; its lists decide",
			    run->job, worker->id, run->name, run->number);
		ctr_add(CTR_TASKS_UNKNOWN, 1);
		if (run->state != LPL_STARTING)
			break;
		run->state = LPL_UNSURE;
		if (worker->state == LPL_HELD)
			lpl_send_hold(lpl, worker, 0, now_ms);
		break;
	case LPL_FENCED:
		lpl_close_run(lpl, run, LPL_NOT_RUN, now_ms);
		lpl_lose_worker(lpl, worker, now_ms);
		break;
	case LPL_OTHER_LIFE:
		lpl_forget_life(lpl, worker, now_ms);
		break;
	default:
		start_refused(lpl, run, reply->answer, now_ms);
	}
	lpl_pump(lpl, worker, now_ms);
}

void lpl_stop_answered(struct lpl *lpl, uint64_t token,
		       const struct lpl_reply *reply, uint64_t now_ms)
{
	struct lpl_run *run = find_token(lpl, token);
	struct lpl_worker *worker;

	if (!run)
		return;
	worker = run->worker;
	if (lpl_take_reply(lpl, worker, reply, now_ms) == LPL_LIFE_FORMER)
		return; /* the new life has to be told, too */
	if (!find_token(lpl, token))
		return; /* it went with the former life */
	if (reply->answer == LPL_OK) {
		/* Closed for good; what ran ends within stop_ms. */
		run->close_at_ms =
			now_ms + lpl->options.stop_ms + LPL_LAPSE_SLACK_MS;
		run->stop_retry_ms = UINT64_MAX;
		run->stopped_ms = now_ms;
		if (!run->answered_ms && worker->state == LPL_HELD)
			lpl_send_hold(lpl, worker, 0, now_ms);
	} else if (reply->answer == LPL_FENCED) {
		lpl_lose_worker(lpl, worker, now_ms);
	} else if (reply->answer == LPL_OTHER_LIFE) {
		lpl_forget_life(lpl, worker, now_ms);
	}
	lpl_pump(lpl, worker, now_ms);
}

void lpl_offer(struct lpl *lpl, const char *job, uint64_t now_ms)
{
	struct found_end *found = LIST_FIRST(&lpl->found);
	struct found_end *next;
	struct lpl_worker *worker;
	struct lpl_run *run;

	TAILQ_FOREACH(worker, &lpl->workers, entry)
		LIST_FOREACH(run, &worker->runs, in_worker)
			if (!run->task && !strcmp(run->job, job))
				lpl_offer_run(lpl, run, now_ms);
	for (; found; found = next) {
		next = LIST_NEXT(found, entry);
		if (strcmp(found->job, job))
			continue;
		LIST_REMOVE(found, entry);
		lpl->options.found_done(lpl->options.ctx, job, found->task,
					now_ms);
		talloc_free(found);
	}
}

void lpl_tick_run(struct lpl *lpl, struct lpl_run *run, uint64_t now_ms)
{
	struct lpl_worker *worker = run->worker;

	if (run->close_at_ms && run->close_at_ms <= now_ms) {
		lpl_close_run(lpl, run, LPL_STOPPED, now_ms);
		return;
	}
	if (worker->state == LPL_FOREIGN)
		return;
	if (run->stop_at_ms && run->stop_at_ms <= now_ms)
		lpl_stop(lpl, run, now_ms);
	else if (run->state == LPL_STOPPING && run->stop_retry_ms <= now_ms)
		send_stop(lpl, run, now_ms);
}
