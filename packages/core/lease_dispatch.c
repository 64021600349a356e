#include "core/lease_dispatch_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"

/*
 * An entry instance resubmits a job until its deadline. Results are kept until
 * then, but at least and at most for:
 */
#define MIN_FINISHED_KEEP_MS 3000
#define MAX_FINISHED_KEEP_MS 30000
#define ANSWER_MARGIN_MS 15 /* for the answer to reach the caller */
/* A round of starts ends after this many steps that found no worker. */
#define MAX_UNPLACED_STEPS 6
/* With room for this many tasks, a wider job may begin in part. */
#define MAX_BEGIN_TASKS 8
/*
 * A run may be hung if it takes longer than HUNG_FACTOR times its expected time
 * plus HUNG_SLACK_MS: estimates are off by up to 40% and the speeds of workers
 * differ by a factor of up to 2.7.
 */
#define HUNG_FACTOR 4
#define ESTIMATE_ERROR_PERCENT 140 /* true run time, of the estimate */
#define HUNG_SLACK_MS 150
/* A new leader's workers have answered their first hold, or are silent. */
#define FIRST_LISTS_MS 300
/* Each leader numbers a task's runs above those of earlier leaders. */
#define RUN_NUMBERS_PER_LEADER 16
#define OLD_RUN_NUMBER_SKIP 8 /* added after a refusal with POOL_OLD */

static const char *const end_texts[LEASE_END_COUNT] = {
	[LEASE_COMPLETED] = "completed",
	[LEASE_FAILED] = "failed",
	[LEASE_REFUSED] = "refused",
	[LEASE_GIVEN_UP] = "given_up",
};

static const char *const reason_texts[LEASE_REASON_COUNT] = {
	[LEASE_NO_REASON] = "none",	    [LEASE_OVERLOADED] = "overloaded",
	[LEASE_DEADLINE] = "deadline",	    [LEASE_NEVER_FITS] = "never_fits",
	[LEASE_NO_WORKERS] = "no_workers",  [LEASE_ATTEMPTS] = "attempts",
	[LEASE_NO_LEADER] = "no_leader",    [LEASE_STOPPING] = "stopping",
	[LEASE_CRASHES] = "worker_crashes",
};

const char *lease_end_text(enum lease_end end)
{
	return end_texts[end];
}

const char *lease_reason_text(enum lease_reason reason)
{
	return reason_texts[reason];
}

/* Order */

static bool is_earlier(const struct lease_job *a, const struct lease_job *b)
{
	return a->received_ms < b->received_ms;
}

static bool has_less_slack(const struct lease_job *a, const struct lease_job *b)
{
	return a->slack_ms < b->slack_ms;
}

static bool is_more_urgent(const struct lease_job *a, const struct lease_job *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return is_earlier(a, b);
}

/* Puts late jobs behind all jobs that can still end on time. */
static bool is_less_late(const struct lease_job *a, const struct lease_job *b)
{
	if (a->lateness != b->lateness)
		return a->lateness < b->lateness;
	if (a->lateness && a->begun != b->begun)
		return a->begun;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->begun != b->begun)
		return a->begun;
	return has_less_slack(a, b);
}

static bool is_shorter(const struct lease_job *a, const struct lease_job *b)
{
	if (a->lateness != b->lateness)
		return a->lateness < b->lateness;
	if (a->remaining_ms != b->remaining_ms)
		return a->remaining_ms < b->remaining_ms;
	return has_less_slack(a, b);
}

static const struct lease_order orders[] = {
	{ "late_last", is_less_late },	{ "shortest", is_shorter },
	{ "priority", is_more_urgent }, { "slack", has_less_slack },
	{ "arrival", is_earlier },
};

const struct lease_order *lease_find_order(const char *name)
{
	for (size_t i = 0; i < sizeof(orders) / sizeof(orders[0]); i++)
		if (!strcmp(orders[i].name, name))
			return &orders[i];
	return NULL;
}

/* Ends of jobs */

static struct lease_job *find_job(struct lease_dispatch *dispatch,
				  const char *id)
{
	struct lease_job *job;

	HASH_FIND_STR(dispatch->jobs, id, job);
	return job;
}

static void abandon_runs(struct lease_dispatch *dispatch, struct lease_job *job,
			 uint64_t now_ms)
{
	for (uint32_t s = 0; s < job->step_count; s++)
		for (uint32_t i = 0; i < job->steps[s].count; i++) {
			struct task *task = &job->states[s].tasks[i];

			if (task->run)
				pool_abandon(dispatch->pool, task->run, now_ms);
			task->run = NULL;
		}
}

static void free_job(struct lease_dispatch *dispatch, struct lease_job *job)
{
	dispatch->waiting_tasks -= job->waiting;
	dispatch->running_tasks -= job->running;
	HASH_DEL(dispatch->jobs, job);
	talloc_free(job);
}

static void add_finished(struct lease_dispatch *dispatch,
			 const struct lease_job *job, enum lease_end end,
			 enum lease_reason reason, uint64_t now_ms)
{
	struct finished *f = talloc_zero(dispatch, struct finished);

	memcpy(f->id, job->id, sizeof(f->id));
	f->end = end;
	f->reason = reason;
	f->earlier_runs_over_ms = job->earlier_runs_over_ms;
	f->until_ms = job->deadline_ms;
	if (f->until_ms < now_ms + MIN_FINISHED_KEEP_MS)
		f->until_ms = now_ms + MIN_FINISHED_KEEP_MS;
	if (f->until_ms > now_ms + MAX_FINISHED_KEEP_MS)
		f->until_ms = now_ms + MAX_FINISHED_KEEP_MS;
	HASH_ADD_STR(dispatch->finished, id, f);
}

/* Keeps the time by which other leaders' runs of a job have ended. */
static void keep_note(struct lease_dispatch *dispatch, const char *id,
		      uint64_t over_ms, uint64_t now_ms)
{
	struct finished *f;

	HASH_FIND_STR(dispatch->finished, id, f);
	if (!f) {
		f = talloc_zero(dispatch, struct finished);
		snprintf(f->id, sizeof(f->id), "%s", id);
		f->end = LEASE_GIVEN_UP;
		f->is_note = true;
	} else {
		HASH_DEL(dispatch->finished, f);
	}
	if (over_ms > f->earlier_runs_over_ms)
		f->earlier_runs_over_ms = over_ms;
	f->until_ms = now_ms + MAX_FINISHED_KEEP_MS;
	HASH_ADD_STR(dispatch->finished, id, f);
}

static void send_answer(struct lease_dispatch *dispatch,
			const struct lease_waiter *waiter, const char *id,
			enum lease_end end, enum lease_reason reason,
			uint64_t retry_after_ms)
{
	struct lease_answer answer = {
		.waiter = *waiter,
		.id = id,
		.end = end,
		.reason = reason,
		.retry_after_ms = (uint32_t)retry_after_ms,
	};

	dispatch->options.answer(dispatch->options.ctx, &answer);
}

void lease_finish(struct lease_dispatch *dispatch, struct lease_job *job,
		  enum lease_end end, enum lease_reason reason, uint64_t now_ms)
{
	struct waiter_link *w;

	log_info(LOG_JOB,
		 "job %s: %s (%s) after %" PRIu64 " ms, objective %" PRIu64
		 " ms, %u of %u tasks done, %u running",
		 job->id, end_texts[end], reason_texts[reason],
		 now_ms - job->received_ms, job->objective_ms, job->done,
		 job->tasks, job->running);
	LIST_FOREACH(w, &job->waiters, entry)
		send_answer(dispatch, &w->waiter, job->id, end, reason,
			    random_below(&dispatch->random, RETRY_SPREAD_MS));
	if (end != LEASE_REFUSED)
		add_finished(dispatch, job, end, reason, now_ms);
	else if (job->earlier_runs_over_ms > now_ms)
		keep_note(dispatch, job->id, job->earlier_runs_over_ms, now_ms);
	abandon_runs(dispatch, job, now_ms);
	free_job(dispatch, job);
}

/* Changes of a task's state */

static void end_waiting(struct task *task)
{
	struct lease_job *job = task->job;

	job->waiting--;
	job->states[task->step].waiting--;
	job->dispatch->waiting_tasks--;
	job->begun = true;
}

static void begin_running(struct task *task)
{
	end_waiting(task);
	task->state = TASK_RUNNING;
	task->job->running++;
	task->job->dispatch->running_tasks++;
}

static void end_running(struct task *task)
{
	task->run = NULL;
	task->job->running--;
	task->job->dispatch->running_tasks--;
}

static void forget_crashes(struct lease_dispatch *dispatch,
			   const struct task *task)
{
	char name[STEP_JOB_TASK_BYTES];

	lease_name_task(name, task);
	lease_clear_suspect(dispatch, name);
}

/* Ends the job if this was its last task. */
static void note_done(struct task *task, uint64_t now_ms)
{
	struct lease_job *job = task->job;

	task->state = TASK_DONE;
	if (task->verdict != CRASH_NONE)
		forget_crashes(job->dispatch, task);
	job->states[task->step].done++;
	if (++job->done == job->tasks)
		lease_finish(job->dispatch, job, LEASE_COMPLETED,
			     LEASE_NO_REASON, now_ms);
}

/*
 * Gives a job up if a task can't end in time, as one of its starts may be
 * carried out late. Returns false if it has not.
 */
static bool give_up_late(struct lease_job *job, const struct task *task,
			 uint64_t now_ms)
{
	struct lease_dispatch *dispatch = job->dispatch;
	char name[STEP_JOB_TASK_BYTES];
	uint64_t until_ms;

	lease_name_task(name, task);
	until_ms = pool_late_until_ms(dispatch->pool, name);
	if (task->state != TASK_WAITING || until_ms <= now_ms ||
	    until_ms + job->steps[task->step].estimate_ms <= job->deadline_ms)
		return false;
	log_info(LOG_JOB,
		 "job %s: a start of task %s has no answer; it waits for "
		 "%" PRIu64 " ms, its caller for %" PRIu64 " ms",
		 job->id, name, until_ms - now_ms, job->deadline_ms - now_ms);
	lease_finish(dispatch, job, LEASE_GIVEN_UP, LEASE_DEADLINE, now_ms);
	return true;
}

static bool give_up_late_job(struct lease_job *job, uint64_t now_ms)
{
	if (!pool_has_unneeded_runs(job->dispatch->pool))
		return false;
	for (uint32_t s = 0; s < job->step_count; s++)
		for (uint32_t i = 0; i < job->steps[s].count; i++)
			if (give_up_late(job, &job->states[s].tasks[i], now_ms))
				return true;
	return false;
}

/* Tells the entry of a waiter, so that it hands the runs on with the job. */
static void tell_failures(struct lease_job *job,
			  const struct lease_waiter *waiter,
			  const struct failed_runs *runs)
{
	struct lease_dispatch *dispatch = job->dispatch;
	struct lease_failures failures = {
		.waiter = *waiter,
		.id = job->id,
		.runs = *runs,
	};

#ifdef BREAK_TELL_FAILED
	return;
#endif
	if (dispatch->options.failed)
		dispatch->options.failed(dispatch->options.ctx, &failures);
}

/*
 * Counts a failed run of a task once. Returns false, and counts nothing,
 * without room to note its number.
 */
static bool count_failure(struct task *task, uint32_t number)
{
	struct lease_job *job = task->job;
	struct failed_run run = { task->step, task->index, number };
	enum failed_run_added added = failed_runs_add(job, &job->failed, &run);

#ifdef BREAK_COUNT_ONCE
	added = FAILED_RUN_NEW;
#endif
	if (added != FAILED_RUN_NEW)
		return added == FAILED_RUN_KNOWN;
	task->failures++;
	if (number >= task->next_number)
		task->next_number = number + 1;
	return true;
}

/* The same, and tells all waiters' entries. */
static bool note_failed(struct task *task, uint32_t number)
{
	struct lease_job *job = task->job;
	struct failed_run run = { task->step, task->index, number };
	struct failed_runs runs = { job->failed.attempt, &run, 1 };
	struct waiter_link *w;

	if (!count_failure(task, number))
		return false;
	LIST_FOREACH(w, &job->waiters, entry)
		tell_failures(job, &w->waiter, &runs);
	return true;
}

/* Ends the job if a task would start that has failed too often. */
static bool fail_if_spent(struct task *task, uint64_t now_ms)
{
	struct lease_job *job = task->job;

	if (task->state != TASK_WAITING || task->failures < job->attempts)
		return false;
	lease_finish(job->dispatch, job, LEASE_FAILED, LEASE_ATTEMPTS, now_ms);
	return true;
}

static bool fail_spent_job(struct lease_job *job, uint64_t now_ms)
{
	for (uint32_t i = 0; i < job->failed.count; i++) {
		const struct failed_run *run = &job->failed.rows[i];

		if (fail_if_spent(&job->states[run->step].tasks[run->index],
				  now_ms))
			return true;
	}
	return false;
}

static void on_run_closed(void *ctx, struct pool_run *run, enum pool_end how,
			  uint64_t now_ms)
{
	struct lease_dispatch *dispatch = ctx;
	struct task *task = run->task;
	struct lease_job *job = task->job;

	end_running(task);
	if (task->verdict != CRASH_NONE || job->handed)
		lease_announce_end(dispatch, run, how, now_ms);
	if (how == POOL_DONE) {
		counter_add(COUNTER_TASKS_DONE, 1);
		note_done(task, now_ms);
		return;
	}
	task->state = TASK_WAITING;
	job->waiting++;
	job->states[task->step].waiting++;
	dispatch->waiting_tasks++;
	if (how == POOL_OLD)
		task->next_number += OLD_RUN_NUMBER_SKIP;
	if (how == POOL_FAILED || how == POOL_LAPSED || how == POOL_STOPPED ||
	    how == POOL_CRASHED) {
		talloc_free(task->avoid);
		task->avoid = talloc_strdup(job, run->worker->id);
	}
	log_info(LOG_JOB, "job %s: task %s run %u on worker %s ended: %s",
		 job->id, run->name, run->number, run->worker->id,
		 pool_end_text(how));
	/* A run closes once: it counts also without room to note its number. */
	if (how == POOL_FAILED && !note_failed(task, run->number))
		task->failures++;
	lease_on_run_ended(task, run->number);
	if (!fail_if_spent(task, now_ms))
		give_up_late(job, task, now_ms);
}

/* Submission */

static bool is_same_waiter(const struct lease_waiter *a,
			   const struct lease_waiter *b)
{
	return a->entry == b->entry && a->request == b->request;
}

static void add_waiter(struct lease_job *job, const struct lease_waiter *waiter)
{
	struct waiter_link *w;

	job->abandon_at_ms = 0;
	LIST_FOREACH(w, &job->waiters, entry)
		if (is_same_waiter(&w->waiter, waiter))
			return;
	w = talloc_zero(job, struct waiter_link);
	w->waiter = *waiter;
	LIST_INSERT_HEAD(&job->waiters, w, entry);
}

static uint64_t last_waited_ms(const struct lease_dispatch *dispatch,
			       uint64_t entry, uint64_t now_ms)
{
	const struct lease_options *options = &dispatch->options;

	return options->last_waited_ms
		       ? options->last_waited_ms(options->ctx, entry, now_ms)
		       : now_ms;
}

static void note_waited(struct lease_job *job, uint64_t waited_ms)
{
	if (waited_ms > job->waited_ms)
		job->waited_ms = waited_ms;
}

/*
 * The caller may have lost its connection just after it was last known to wait,
 * and then sends the job again, perhaps to a leader that knows nothing of us.
 */
static uint64_t find_run_limit(void *ctx, const struct pool_run *run,
			       uint64_t now_ms)
{
	const struct lease_dispatch *dispatch = ctx;
	const struct task *task = run->task;
	const struct waiter_link *w;
	uint64_t waited_ms, last_ms;

	if (!task)
		return UINT64_MAX;
	last_ms = task->job->waited_ms;
	LIST_FOREACH(w, &task->job->waiters, entry) {
		waited_ms = last_waited_ms(dispatch, w->waiter.entry, now_ms);
		if (waited_ms > last_ms)
			last_ms = waited_ms;
	}
	return last_ms + LEASE_RESEND_MS;
}

static void create_tasks(struct lease_job *job, uint32_t first_number)
{
	job->states =
		talloc_zero_array(job, struct step_state, job->step_count);
	for (uint32_t s = 0; s < job->step_count; s++) {
		struct step_state *state = &job->states[s];
		uint32_t count = job->steps[s].count;

		state->tasks = talloc_zero_array(job, struct task, count);
		state->waiting = count;
		job->tasks += count;
		for (uint32_t i = 0; i < count; i++) {
			state->tasks[i].job = job;
			state->tasks[i].step = s;
			state->tasks[i].index = i;
			state->tasks[i].next_number = first_number;
		}
	}
	job->waiting = job->tasks;
}

static void copy_steps(struct lease_job *job,
		       const struct lease_submission *from)
{
	job->step_count = from->step_count;
	job->steps = talloc_memdup(job, from->steps,
				   from->step_count * sizeof(*from->steps));
	for (uint32_t s = 0; s < job->step_count; s++) {
		struct job_step *step = &job->steps[s];

		step->label = talloc_strdup(job, step->label);
		step->rack = talloc_strdup(job, step->rack);
		step->after =
			talloc_memdup(job, step->after,
				      step->after_count * sizeof(*step->after));
	}
}

/*
 * Forgets that a job has ended: its caller has sent it again. Returns the time
 * by which the runs of leaders before this one have ended.
 */
static uint64_t forget_finished(struct lease_dispatch *dispatch, const char *id)
{
	uint64_t over_ms;
	struct finished *f;

	HASH_FIND_STR(dispatch->finished, id, f);
	if (!f)
		return 0;
	over_ms = f->earlier_runs_over_ms;
	HASH_DEL(dispatch->finished, f);
	talloc_free(f);
	return over_ms;
}

/* Returns the time by which other leaders' runs of a new job have ended. */
static uint64_t runs_over_ms(struct lease_dispatch *dispatch,
			     const struct lease_submission *from,
			     uint64_t now_ms)
{
	uint64_t over_ms = now_ms + from->closed_in_ms;
	uint64_t before_ms = forget_finished(dispatch, from->id);

	if (before_ms > over_ms)
		over_ms = before_ms;
	return over_ms;
}

/*
 * Counts the failed runs that an entry hands on with its job. Those of another
 * attempt don't count: the caller has sent the job again since.
 */
static void merge_failed(struct lease_job *job, const struct failed_runs *runs)
{
#ifndef BREAK_ATTEMPT
	if (runs->attempt != job->failed.attempt)
		return;
#endif
	for (uint32_t i = 0; i < runs->count; i++) {
		const struct failed_run *run = &runs->rows[i];
		const char *fault =
			failed_run_find_fault(run, job->steps, job->step_count);

		if (!fault)
			count_failure(&job->states[run->step].tasks[run->index],
				      run->number);
		else
			log_warning(LOG_JOB,
				    "job %s: dropped a failed run that its "
				    "entry tells: %s",
				    job->id, fault);
	}
}

/*
 * Returns the attempt of a new job: another one for each time that a caller
 * sends it.
 */
static uint64_t find_attempt(const struct lease_submission *from)
{
	if (from->handed && from->failed.attempt)
		return from->failed.attempt;
	return from->waiter.entry + from->waiter.request;
}

static struct lease_job *create_job(struct lease_dispatch *dispatch,
				    const struct lease_submission *from,
				    uint64_t now_ms)
{
	struct lease_job *job = talloc_zero(dispatch, struct lease_job);

	job->dispatch = dispatch;
	snprintf(job->id, sizeof(job->id), "%s", from->id);
	job->origin = from->waiter;
	job->handed = from->handed;
	job->queue = talloc_strdup(job, from->queue);
	job->service = talloc_strdup(job, from->service);
	job->text = talloc_strdup(job, from->text);
	job->priority = from->priority;
	job->attempts = from->attempts ? from->attempts : 1;
	job->received_ms = now_ms > from->age_ms ? now_ms - from->age_ms : 0;
	job->objective_ms = from->objective_ms;
	job->deadline_ms = now_ms + from->remaining_ms;
	job->earlier_runs_over_ms = runs_over_ms(dispatch, from, now_ms);
	job->begun = job->is_resumed = from->handed != 0;
	job->failed.attempt = find_attempt(from);
	copy_steps(job, from);
	create_tasks(job, 1 + from->handed * RUN_NUMBERS_PER_LEADER);
	merge_failed(job, &from->failed);
	LIST_INIT(&job->waiters);
	add_waiter(job, &from->waiter);
	note_waited(job, from->waited_ms);
	HASH_ADD_STR(dispatch->jobs, id, job);
	dispatch->waiting_tasks += job->waiting;
	lease_tell_waiter(job, &from->waiter, &from->open, now_ms);
	lease_merge_starts(job, from, now_ms);
	lease_merge_places(job, from, now_ms);
	return job;
}

void lease_name_task(char name[STEP_JOB_TASK_BYTES], const struct task *task)
{
	step_job_name_task(name, task->job->id, task->step, task->index);
}

/* Returns the task named ID.0.STEP.INDEX; NULL if the job has none. */
static struct task *find_task(struct lease_job *job, const char *name)
{
	uint32_t step, index;

	if (sscanf(name + strlen(job->id), ".0.%" SCNu32 ".%" SCNu32, &step,
		   &index) != 2 ||
	    step >= job->step_count || index >= job->steps[step].count)
		return NULL;
	return &job->states[step].tasks[index];
}

struct task *lease_find_task(struct lease_dispatch *dispatch, const char *name)
{
	char id[STEP_JOB_ID_BYTES];
	struct lease_job *job;

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(name, "."), name);
	job = find_job(dispatch, id);
	return job ? find_task(job, name) : NULL;
}

/*
 * Attaches a run that an earlier leader started to its task. Returns false if
 * the job is not known; leaves run->task unset if the task needs no run.
 */
static bool adopt_run(void *ctx, struct pool_run *run)
{
	struct lease_job *job = find_job(ctx, run->job);
	struct task *task = job ? find_task(job, run->name) : NULL;

	if (!job)
		return false;
	if (!task || task->state != TASK_WAITING)
		return true; /* a second run of its task: the pool stops it */
	begin_running(task);
	task->run = run;
	task->former_worker = 0;
	/* Each number stands for one run: a failed one counts by it. */
	if (run->number >= task->next_number)
		task->next_number = run->number + 1;
	run->task = task;
	run->demand = job->steps[task->step].demand;
	run->estimate_ms = job->steps[task->step].estimate_ms;
	lease_on_found(task, run->number);
	lease_announce_start(job->dispatch, run->name, run->worker, false,
			     run->answered_ms);
	return true;
}

static void adopt_done(struct task *task, uint64_t now_ms)
{
	struct lease_dispatch *dispatch = task->job->dispatch;

	if (task->state == TASK_RUNNING) {
		pool_abandon(dispatch->pool, task->run, now_ms);
		end_running(task);
	} else {
		end_waiting(task);
	}
	note_done(task, now_ms);
}

/*
 * Returns true if a run that this leader has not seen open counts for a job.
 * One that ended before the caller sent the job is of an earlier attempt, and
 * may be so also if no earlier leader has had the job.
 */
static bool is_of_attempt(const struct lease_job *job, uint64_t read_ms)
{
#ifdef BREAK_ATTEMPT
	return true;
#endif
	return job->is_resumed && read_ms >= job->received_ms;
}

static void adopt_failed(struct task *task, uint32_t number, uint64_t read_ms,
			 uint64_t now_ms)
{
	struct lease_job *job = task->job;
	struct failed_run run = { task->step, task->index, number };

	if (!is_of_attempt(job, read_ms) ||
	    failed_run_find_fault(&run, job->steps, job->step_count))
		return;
	log_info(LOG_JOB,
		 "job %s: run %u of task %u.%u was found to have failed",
		 job->id, number, task->step, task->index);
	if (note_failed(task, number))
		fail_if_spent(task, now_ms);
}

static bool adopt_end(void *ctx, const char *id,
		      const struct pool_listed_end *end, uint64_t read_ms,
		      uint64_t now_ms)
{
	struct lease_job *job = find_job(ctx, id);
	struct task *task = job ? find_task(job, end->task) : NULL;

	if (!job)
		return false;
	if (!task || task->state == TASK_DONE)
		return true;
	lease_on_found(task, end->number);
	if (end->how == POOL_DONE)
		adopt_done(task, now_ms);
	else
		adopt_failed(task, end->number, read_ms, now_ms);
	return true;
}

static struct finished *find_finished(struct lease_dispatch *dispatch,
				      const struct lease_submission *from)
{
	struct finished *f;

	HASH_FIND_STR(dispatch->finished, from->id, f);
	if (!f || f->is_note)
		return NULL;
	/* A job that the caller has sent again may run again. */
	return f->end == LEASE_GIVEN_UP && !from->handed ? NULL : f;
}

/*
 * Returns true if another leader may have had the job since it was submitted
 * here. After a mere reset of the link its entry has taken it back once, from
 * this instance.
 */
static bool was_elsewhere(const struct lease_job *job,
			  const struct lease_submission *from)
{
#ifdef BREAK_RETURN
	return false;
#endif
	if (!is_same_waiter(&job->origin, &from->waiter))
		return from->handed != 0;
	return from->handed > job->handed + 1;
}

/*
 * Probes all workers now, or at after_ms. An earlier probe proves nothing: a
 * worker that has restarted since may have obeyed the job's former leader
 * again, and one that joins meanwhile may obey it.
 */
static void probe_for(struct lease_dispatch *dispatch, struct lease_job *job,
		      uint64_t after_ms, uint64_t now_ms)
{
	if (after_ms < now_ms)
		after_ms = now_ms;
	if (after_ms > job->probe_after_ms)
		job->probe_after_ms = after_ms;
	job->is_probe_due = job->probe_after_ms > now_ms;
	if (job->is_probe_due)
		return;
#ifdef BREAK_PROBE_AGE
	job->probe_after_ms = 0;
#endif
	pool_probe_all(dispatch->pool, now_ms);
	if (dispatch->options.refresh_workers)
		dispatch->options.refresh_workers(dispatch->options.ctx);
}

/* Tasks that wait do not start while another leader's runs may be open. */
static void wait_for_earlier_runs(struct lease_dispatch *dispatch,
				  struct lease_job *job,
				  const struct lease_submission *from,
				  uint64_t now_ms)
{
	uint64_t over_ms = now_ms + from->closed_in_ms;

	if (!from->closed_in_ms || !was_elsewhere(job, from))
		return;
	if (over_ms > job->earlier_runs_over_ms)
		job->earlier_runs_over_ms = over_ms;
	probe_for(dispatch, job, now_ms + from->no_start_in_ms, now_ms);
}

static bool join_job(struct lease_dispatch *dispatch,
		     const struct lease_submission *from, uint64_t now_ms)
{
	struct lease_job *job = find_job(dispatch, from->id);
	struct finished *f = find_finished(dispatch, from);

	if (job) {
		wait_for_earlier_runs(dispatch, job, from, now_ms);
		lease_tell_waiter(job, &from->waiter, &from->open, now_ms);
		/* Of our own starts we know more than the entry. */
		if (was_elsewhere(job, from)) {
			lease_merge_starts(job, from, now_ms);
			lease_merge_places(job, from, now_ms);
		}
		if (is_same_waiter(&job->origin, &from->waiter))
			job->handed = from->handed;
		log_info(LOG_JOB,
			 "job %s: joined by entry %016" PRIx64
			 ", earlier leaders %u; waits %" PRIu64
			 " ms at most for their runs",
			 job->id, from->waiter.entry, from->handed,
			 job->earlier_runs_over_ms > now_ms
				 ? job->earlier_runs_over_ms - now_ms
				 : 0);
		counter_add(COUNTER_JOBS_JOINED, 1);
		add_waiter(job, &from->waiter);
		note_waited(job, from->waited_ms);
		merge_failed(job, &from->failed);
		/* Without rows it tells the entry to forget another attempt. */
		if (job->failed.count || from->failed.count)
			tell_failures(job, &from->waiter, &job->failed);
		fail_spent_job(job, now_ms); /* may free the submission */
		return true;
	}
	if (!f)
		return false;
	log_info(LOG_JOB, "job %s: had ended before, as %s (%s)", f->id,
		 end_texts[f->end], reason_texts[f->reason]);
	send_answer(dispatch, &from->waiter, f->id, f->end, f->reason, 0);
	return true;
}

void lease_submit(struct lease_dispatch *dispatch,
		  const struct lease_submission *from, uint64_t now_ms)
{
	char id[STEP_JOB_ID_BYTES]; /* answering may free the submission */
	enum lease_reason reason;
	uint64_t retry_ms = 0;
	bool was_full = dispatch->is_full;
	struct lease_job *job;

	snprintf(id, sizeof(id), "%s", from->id);
	if (join_job(dispatch, from, now_ms))
		return;
	reason = from->handed ? LEASE_NO_REASON
			      : lease_check_admission(dispatch, from, &retry_ms,
						      now_ms);
	if (reason != LEASE_NO_REASON) {
		log_info(LOG_JOB,
			 "job %s: refused (%s), %u tasks waiting, retry after "
			 "%" PRIu64 " ms",
			 from->id, reason_texts[reason],
			 dispatch->waiting_tasks, retry_ms);
		send_answer(dispatch, &from->waiter, from->id, LEASE_REFUSED,
			    reason, retry_ms);
		return;
	}
	job = create_job(dispatch, from, now_ms);
	if (!from->handed)
		lease_note_arrival(dispatch, job, now_ms);
	if (job->earlier_runs_over_ms > now_ms)
		probe_for(dispatch, job, now_ms + from->no_start_in_ms, now_ms);
	counter_add(COUNTER_JOBS_ADMITTED, 1);
	log_info(LOG_JOB,
		 "job %s: admitted from entry %016" PRIx64
		 ", queue %s, priority %u, %u tasks, earlier leaders %u; "
		 "%u tasks waiting in total",
		 job->id, from->waiter.entry, job->queue, job->priority,
		 job->tasks, from->handed, dispatch->waiting_tasks);
	pool_offer_found(dispatch->pool, id, now_ms); /* may free the job */
	job = find_job(dispatch, id);
	if (job && (fail_spent_job(job, now_ms) ||
		    !lease_judge_job(dispatch, job, now_ms)))
		return;
	/* A new leader's workers may yet list the run of the late start. */
	if (job && pool_has_unanswered(dispatch->pool, now_ms))
		job->late_check_ms = now_ms + FIRST_LISTS_MS;
	else if (job && give_up_late_job(job, now_ms))
		return;
	dispatch->is_full = false;
	/* Behind a backlog it waits for the next round. */
	if (!was_full)
		lease_run(dispatch, now_ms);
	job = find_job(dispatch, id);
	if (job)
		lease_note_waiting(dispatch, job);
}

static void remove_waiters(struct lease_job *job, uint64_t entry,
			   const uint64_t *request)
{
	struct waiter_link *w = LIST_FIRST(&job->waiters);
	struct waiter_link *next;

	for (; w; w = next) {
		next = LIST_NEXT(w, entry);
		if (w->waiter.entry != entry ||
		    (request && w->waiter.request != *request))
			continue;
		LIST_REMOVE(w, entry);
		talloc_free(w);
	}
}

void lease_cancel(struct lease_dispatch *dispatch,
		  const struct lease_waiter *waiter, const char *id,
		  uint64_t now_ms)
{
	struct lease_job *job = find_job(dispatch, id);

	if (!job)
		return;
	remove_waiters(job, waiter->entry, &waiter->request);
	if (!LIST_EMPTY(&job->waiters) || job->abandon_at_ms)
		return;
	log_info(LOG_JOB, "job %s: cancelled, no caller waits for it", id);
	lease_finish(dispatch, job, LEASE_GIVEN_UP, LEASE_DEADLINE, now_ms);
	lease_run(dispatch, now_ms);
}

void lease_remove_entry(struct lease_dispatch *dispatch, uint64_t entry,
			uint64_t lost_ms, uint64_t keep_ms)
{
	uint64_t waited_ms = last_waited_ms(dispatch, entry, lost_ms);
	struct lease_job *job, *next;
	uint32_t count = 0;

	HASH_ITER(hh, dispatch->jobs, job, next) {
		if (LIST_EMPTY(&job->waiters))
			continue;
		remove_waiters(job, entry, NULL);
		if (!LIST_EMPTY(&job->waiters))
			continue;
		note_waited(job, waited_ms);
		job->abandon_at_ms = lost_ms + keep_ms;
#ifdef BREAK_ABANDON
		job->abandon_at_ms = lost_ms;
#endif
		count++;
	}
	if (count)
		log_info(LOG_JOB,
			 "entry %016" PRIx64
			 " lost: %u jobs are given up %" PRIu64
			 " ms later unless they are submitted again",
			 entry, count, keep_ms);
}

void lease_note_open_runs(struct lease_dispatch *dispatch, const char *id,
			  uint64_t over_ms, uint64_t now_ms)
{
	struct lease_job *job = find_job(dispatch, id);

	if (job) {
		if (over_ms <= job->earlier_runs_over_ms)
			return;
		job->earlier_runs_over_ms = over_ms;
		probe_for(dispatch, job, now_ms, now_ms);
		return;
	}
	keep_note(dispatch, id, over_ms, now_ms);
	log_info(LOG_JOB,
		 "job %s: has ended at its entry; another leader's runs may be "
		 "open for %" PRIu64 " ms",
		 id, over_ms - now_ms);
}

/* Rounds of starts */

static bool is_step_ready(const struct lease_job *job, uint32_t s)
{
	const struct job_step *step = &job->steps[s];

	for (uint32_t i = 0; i < step->after_count; i++) {
		uint32_t before = step->after[i];

		if (job->states[before].done < job->steps[before].count)
			return false;
	}
	return true;
}

/* Finding out walks through all workers: only for a job that needs it. */
#define HELD_UNKNOWN UINT64_MAX

/* As pool_all_held_since; logs when the reason changes. */
static uint64_t find_held_since(struct lease_dispatch *dispatch,
				uint64_t now_ms)
{
	const struct pool_worker *worker;
	enum pool_gap gap;
	uint64_t since_ms =
		pool_all_held_since(dispatch->pool, now_ms, &gap, &worker);

	if (gap != dispatch->gap)
		log_info(LOG_DISPATCH,
			 "tasks that earlier leaders may run %s: %s%s%s",
			 gap == POOL_NO_GAP
				 ? "need not wait until their runs have lapsed"
				 : "wait until their runs have lapsed",
			 pool_gap_text(gap), worker ? ", " : "",
			 worker ? worker->id : "");
	dispatch->gap = gap;
	return since_ms;
}

/*
 * Returns true while runs of earlier leaders may be open on workers that this
 * instance does not hold.
 */
static bool is_deferred(struct lease_dispatch *dispatch,
			const struct lease_job *job, uint64_t *held_since_ms,
			uint64_t now_ms)
{
#ifdef BREAK_DEFER
	return false;
#endif
	if (now_ms >= job->earlier_runs_over_ms)
		return false;
	if (*held_since_ms == HELD_UNKNOWN)
		*held_since_ms = find_held_since(dispatch, now_ms);
	return !*held_since_ms || *held_since_ms < job->probe_after_ms;
}

static int compare_jobs(const void *a, const void *b, void *arg)
{
	const struct lease_order *order = arg;
	const struct lease_job *job_a = *(struct lease_job *const *)a;
	const struct lease_job *job_b = *(struct lease_job *const *)b;

	if (order->is_before(job_a, job_b))
		return -1;
	return order->is_before(job_b, job_a);
}

/* Puts the jobs that may start now into dispatch->sorted, in no order. */
static size_t collect_jobs(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	uint64_t held_since_ms = HELD_UNKNOWN;
	size_t room = talloc_array_length(dispatch->sorted);
	size_t count = 0;
	struct lease_job *job;

	if (room < HASH_COUNT(dispatch->jobs))
		dispatch->sorted = talloc_realloc(
			dispatch, dispatch->sorted, struct lease_job *,
			HASH_COUNT(dispatch->jobs) * 2);
	for (job = dispatch->jobs; job; job = job->hh.next) {
		if (!job->waiting || job->abandon_at_ms ||
		    job->deadline_ms <= now_ms ||
		    is_deferred(dispatch, job, &held_since_ms, now_ms))
			continue;
		lease_refresh_key(job, now_ms);
		dispatch->sorted[count++] = job;
	}
	return count;
}

size_t lease_sort_jobs(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	size_t count = collect_jobs(dispatch, now_ms);

	if (count)
		qsort_r(dispatch->sorted, count, sizeof(struct lease_job *),
			compare_jobs, (void *)dispatch->options.order);
	return count;
}

/*
 * A binary heap with the next job first: a round of starts takes a few of many
 * waiting jobs, so that sorting all of them would be wasted.
 */

static void sift_down(struct lease_dispatch *dispatch, size_t count, size_t i)
{
	const struct lease_order *order = dispatch->options.order;
	struct lease_job **heap = dispatch->sorted;
	struct lease_job *job = heap[i];
	size_t child;

	for (; (child = 2 * i + 1) < count; i = child) {
		if (child + 1 < count &&
		    order->is_before(heap[child + 1], heap[child]))
			child++;
		if (!order->is_before(heap[child], job))
			break;
		heap[i] = heap[child];
	}
	heap[i] = job;
}

static size_t heap_jobs(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	size_t count = collect_jobs(dispatch, now_ms);

	for (size_t i = count / 2; i--;)
		sift_down(dispatch, count, i);
	return count;
}

static struct lease_job *pop_job(struct lease_dispatch *dispatch, size_t *count)
{
	struct lease_job *first = dispatch->sorted[0];

	dispatch->sorted[0] = dispatch->sorted[--*count];
	if (*count)
		sift_down(dispatch, *count, 0);
	return first;
}

struct step_ref {
	const struct lease_job *job;
	uint32_t step;
};

static uint32_t count_open_tasks(void *ctx, const struct pool_worker *worker)
{
	const struct step_ref *of = ctx;
	const struct step_state *state = &of->job->states[of->step];
	uint32_t count = 0;

	for (uint32_t i = 0; i < of->job->steps[of->step].count; i++)
		if (state->tasks[i].run &&
		    state->tasks[i].run->worker == worker)
			count++;
	return count;
}

/*
 * Returns true while an earlier leader's run of the task may be open at a
 * worker that has not listed its runs to this instance since the job came.
 */
static bool awaits_former_worker(const struct lease_dispatch *dispatch,
				 const struct task *task, uint64_t now_ms)
{
	const struct lease_job *job = task->job;

#ifdef BREAK_FORMER_WORKER
	return false;
#endif
	return task->former_worker && now_ms < job->earlier_runs_over_ms &&
	       !pool_has_listed(dispatch->pool, task->former_worker,
				job->probe_after_ms);
}

static bool may_start_task(const struct lease_dispatch *dispatch,
			   const struct task *task, uint64_t now_ms)
{
	char name[STEP_JOB_TASK_BYTES];

	if (task->state != TASK_WAITING ||
	    awaits_former_worker(dispatch, task, now_ms))
		return false;
	if (!pool_has_unneeded_runs(dispatch->pool))
		return true;
	lease_name_task(name, task);
	return !pool_has_unneeded_run(dispatch->pool, name);
}

static void start_task(struct lease_dispatch *dispatch, struct task *task,
		       struct pool_worker *worker, uint64_t now_ms)
{
	struct lease_job *job = task->job;
	struct pool_run run = {
		.task = task,
		.number = task->next_number++,
		.demand = job->steps[task->step].demand,
		.estimate_ms = job->steps[task->step].estimate_ms,
	};

	lease_name_task(run.name, task);
	if (!job->begun)
		histogram_observe_ms(HISTOGRAM_JOB_WAIT,
				     now_ms - job->received_ms);
	memcpy(run.job, job->id, sizeof(run.job));
	begin_running(task);
	if (task->verdict != CRASH_NONE || job->handed)
		lease_announce_start(dispatch, run.name, worker,
				     task->verdict != CRASH_NONE, now_ms);
	task->run = pool_start(dispatch->pool, worker, &run, job->text, now_ms);
}

/*
 * Returns the longest expected run time of a task that starts now. A job begins
 * only if it ends before the caller's deadline also when its estimate is low.
 */
static uint64_t run_limit_ms(const struct lease_job *job, uint64_t now_ms)
{
	uint64_t left_ms = job->deadline_ms - now_ms;

	return job->begun ? left_ms : left_ms * 100 / ESTIMATE_ERROR_PERCENT;
}

/*
 * Returns true if a step may start now. Other jobs start before one that is
 * late or of a lower priority. If it began in part, the rest would wait for
 * long while its first tasks have used their workers, and often it would end
 * after the caller's deadline. So it begins once there is room for all of it.
 */
static bool may_begin(const struct lease_dispatch *dispatch,
		      const struct lease_job *job, uint32_t s, uint64_t now_ms)
{
	uint32_t demand_milli = job->steps[s].demand.cpu_milli;
	uint32_t needed = job->states[s].waiting;
	const struct pool_slot *slots;
	uint32_t room = 0;
	size_t count;

	if (job->begun || (!job->lateness && !job->priority) || !demand_milli)
		return true;
	if (needed > MAX_BEGIN_TASKS)
		needed = MAX_BEGIN_TASKS;
	slots = pool_slots(dispatch->pool, &count);
	for (size_t i = 0; i < count && room < needed; i++)
		if (slots[i].spare_milli >= demand_milli &&
		    pool_is_usable(slots[i].worker, now_ms) &&
		    !strcmp(slots[i].worker->service, job->service))
			room += slots[i].spare_milli / demand_milli;
	return room >= needed;
}

/* Starts waiting tasks of a step; returns false if one found no worker. */
static bool start_step(struct lease_dispatch *dispatch, struct lease_job *job,
		       uint32_t s, uint64_t now_ms)
{
	struct step_state *state = &job->states[s];
	struct step_ref of = { job, s };
	struct place_request request = {
		.service = job->service,
		.step = &job->steps[s],
		.far_factor = dispatch->options.far_factor,
		.limit_ms = run_limit_ms(job, now_ms),
		.count = count_open_tasks,
		.ctx = &of,
		.now_ms = now_ms,
	};
	uint32_t started = 0;
	bool placed = true;

	if (!may_begin(dispatch, job, s, now_ms))
		return false;
	for (uint32_t i = 0; i < job->steps[s].count && state->waiting; i++) {
		struct task *task = &state->tasks[i];
		struct pool_worker *worker;

		if (!may_start_task(dispatch, task, now_ms) ||
		    !lease_may_start(dispatch, task, now_ms))
			continue;
		request.avoid = task->avoid;
#ifndef BREAK_TRIAL
		if (task->verdict == CRASH_SUSPECT) {
			worker = lease_pick_alone(dispatch, &request);
			if (!worker) {
				dispatch->unplaced_suspects++;
				continue;
			}
			start_task(dispatch, task, worker, now_ms);
			started++;
			continue;
		}
#endif
		worker = place_pick(dispatch->options.place, dispatch->pool,
				    &request);
		placed = worker != NULL;
		if (!placed)
			break;
		start_task(dispatch, task, worker, now_ms);
		started++;
	}
	if (started)
		log_info(LOG_DISPATCH,
			 "job %s: started %u tasks of step %u, %u waiting, "
			 "slack %" PRId64 " ms; %u tasks waiting in total",
			 job->id, started, s, state->waiting, job->slack_ms,
			 dispatch->waiting_tasks);
	return placed;
}

void lease_defer_starts(struct lease_dispatch *dispatch, uint64_t until_ms)
{
	dispatch->no_start_until_ms = until_ms;
}

static bool may_start(const struct lease_dispatch *dispatch, uint64_t now_ms)
{
	return dispatch->waiting_tasks && pool_leads(dispatch->pool) &&
	       now_ms >= dispatch->no_start_until_ms &&
	       !pool_awaits_first_lists(dispatch->pool, now_ms);
}

static void run_round(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	size_t count = heap_jobs(dispatch, now_ms);
	uint32_t unplaced = 0;

	dispatch->unplaced_suspects = 0;
	dispatch->is_alone_full = false;
	while (count && unplaced < MAX_UNPLACED_STEPS) {
		struct lease_job *job = pop_job(dispatch, &count);

		for (uint32_t s = 0; s < job->step_count; s++)
			if (job->states[s].waiting && is_step_ready(job, s) &&
			    !start_step(dispatch, job, s, now_ms))
				unplaced++;
	}
	dispatch->is_full = unplaced >= MAX_UNPLACED_STEPS;
	dispatch->room_version = pool_room_version(dispatch->pool);
	if (dispatch->options.send_starts)
		dispatch->options.send_starts(dispatch->options.ctx);
}

void lease_run(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	if (may_start(dispatch, now_ms) &&
	    (!dispatch->is_full ||
	     dispatch->room_version != pool_room_version(dispatch->pool)))
		run_round(dispatch, now_ms);
}

/* Time */

/*
 * Returns true if a new run is expected to end before this one. The run time
 * counts up to the worker's last answer: while holds are lost, nothing is known
 * of the run.
 */
static bool is_hung(const struct pool_run *run)
{
	uint64_t last_answer_ms = run->worker->answered_ms;
	uint64_t ran_ms = last_answer_ms > run->answered_ms
				  ? last_answer_ms - run->answered_ms
				  : 0;
	double speed = run->worker->speed < 1 ? run->worker->speed : 1;
	uint64_t expected_ms = (uint64_t)(run->estimate_ms / speed);

	if (run->state != POOL_ACTIVE || !run->started_here ||
	    ran_ms < expected_ms * HUNG_FACTOR + HUNG_SLACK_MS)
		return false;
	return !run->percent || ran_ms * (100 - run->percent) / run->percent >
					run->estimate_ms + HUNG_SLACK_MS;
}

static void stop_hung(struct lease_dispatch *dispatch, struct lease_job *job,
		      uint64_t now_ms)
{
	for (uint32_t s = 0; s < job->step_count; s++)
		for (uint32_t i = 0; i < job->steps[s].count; i++) {
			struct pool_run *run = job->states[s].tasks[i].run;

			if (!run || !is_hung(run))
				continue;
			log_warning(LOG_JOB,
				    "job %s: task %s run %u on worker %s has "
				    "run for %" PRIu64 " ms, estimate %u ms, "
				    "%u%% done: stopping it as hung",
				    job->id, run->name, run->number,
				    run->worker->id, now_ms - run->answered_ms,
				    run->estimate_ms, run->percent);
			pool_note_hung(run, now_ms);
			pool_stop(dispatch->pool, run, now_ms);
		}
}

/*
 * Returns true if no task has begun and the job would end later than
 * LEASE_MAX_OBJECTIVE_FACTOR times its objective.
 */
static bool is_too_late(const struct lease_dispatch *dispatch,
			const struct lease_job *job)
{
	return dispatch->options.admission && !job->begun && job->lateness > 1;
}

/*
 * Returns true if the waiting tasks would end after the caller's deadline even
 * if they started now on the fastest worker.
 */
static bool is_hopeless(const struct lease_dispatch *dispatch,
			const struct lease_job *job, uint64_t now_ms)
{
	if (!dispatch->options.admission || !job->waiting ||
	    dispatch->fastest <= 0)
		return false;
	return (double)job->remaining_ms / dispatch->fastest >
	       (double)run_limit_ms(job, now_ms);
}

static void tick_job(struct lease_dispatch *dispatch, struct lease_job *job,
		     uint64_t now_ms)
{
	if (job->late_check_ms && job->late_check_ms <= now_ms) {
		job->late_check_ms = 0;
		if (give_up_late_job(job, now_ms))
			return;
	}
	lease_refresh_key(job, now_ms);
	if (job->is_probe_due && job->probe_after_ms <= now_ms)
		probe_for(dispatch, job, now_ms, now_ms);
	if (job->abandon_at_ms && job->abandon_at_ms <= now_ms)
		lease_finish(dispatch, job, LEASE_GIVEN_UP, LEASE_NO_REASON,
			     now_ms);
	else if (job->deadline_ms <= now_ms + ANSWER_MARGIN_MS)
		lease_finish(dispatch, job,
			     job->begun ? LEASE_GIVEN_UP : LEASE_REFUSED,
			     LEASE_DEADLINE, now_ms);
	else if (is_too_late(dispatch, job) ||
		 is_hopeless(dispatch, job, now_ms))
		lease_finish(dispatch, job,
			     job->begun ? LEASE_GIVEN_UP : LEASE_REFUSED,
			     LEASE_OVERLOADED, now_ms);
	else if (job->running)
		stop_hung(dispatch, job, now_ms);
}

void lease_abandon_due(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	struct lease_job *job, *next;

	HASH_ITER(hh, dispatch->jobs, job, next)
		if (job->abandon_at_ms && job->abandon_at_ms <= now_ms)
			lease_finish(dispatch, job, LEASE_GIVEN_UP,
				     LEASE_NO_REASON, now_ms);
}

static void expire_finished(struct lease_dispatch *dispatch, uint64_t before_ms)
{
	struct finished *f, *next;

	HASH_ITER(hh, dispatch->finished, f, next) {
		if (f->until_ms > before_ms)
			break;
		HASH_DEL(dispatch->finished, f);
		talloc_free(f);
	}
}

void lease_tick(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	struct lease_job *job, *next;

	if (pool_leads(dispatch->pool)) {
		HASH_ITER(hh, dispatch->jobs, job, next)
			tick_job(dispatch, job, now_ms);
		expire_finished(dispatch, now_ms);
		lease_refresh_loads(dispatch, now_ms);
		lease_shed(dispatch, now_ms);
	}
	pool_tick(dispatch->pool, now_ms);
	dispatch->unplaced_suspects = 0;
	/* Jobs became late, or a worker's breaker closed. */
	if (may_start(dispatch, now_ms))
		run_round(dispatch, now_ms);
	lease_tick_crashes(dispatch, now_ms);
}

/* Leadership */

struct lease_pool *lease_pool(struct lease_dispatch *dispatch)
{
	return dispatch->pool;
}

void lease_lead(struct lease_dispatch *dispatch, uint64_t fence,
		uint64_t now_ms)
{
	pool_lead(dispatch->pool, fence, now_ms);
}

void lease_release(struct lease_dispatch *dispatch)
{
	struct lease_job *job, *next;

	lease_announce_open_runs(dispatch);
	pool_release(dispatch->pool);
	dispatch->reserved = 0;
	HASH_ITER(hh, dispatch->jobs, job, next)
		free_job(dispatch, job);
	expire_finished(dispatch, UINT64_MAX);
}

void lease_each_waiting(struct lease_dispatch *dispatch,
			void (*visit)(void *ctx, const char *queue,
				      uint32_t waiting),
			void *ctx)
{
	struct lease_job *job;

	for (job = dispatch->jobs; job; job = job->hh.next)
		if (!job->begun)
			visit(ctx, job->queue, 1);
}

struct lease_load lease_load(const struct lease_dispatch *dispatch)
{
	struct lease_load load = {
		.jobs = HASH_COUNT(dispatch->jobs),
		.waiting_tasks = dispatch->waiting_tasks,
		.running_tasks = dispatch->running_tasks,
	};

	return load;
}

static int destroy(struct lease_dispatch *dispatch)
{
	HASH_CLEAR(hh, dispatch->jobs);
	HASH_CLEAR(hh, dispatch->finished);
	HASH_CLEAR(hh, dispatch->loads);
	return 0;
}

struct lease_dispatch *lease_create(TALLOC_CTX *mem,
				    const struct lease_options *options)
{
	struct lease_dispatch *dispatch =
		talloc_zero(mem, struct lease_dispatch);
	struct pool_options pool = {
		.ports = &dispatch->options.ports,
		.lease_ms = options->lease_ms,
		.stop_ms = options->stop_ms,
		.list_lags = options->refresh_workers != NULL,
		.closed = on_run_closed,
		.found_run = adopt_run,
		.found_end = adopt_end,
		.worker_gone = lease_on_worker_gone,
		.run_located = lease_on_run_located,
		.find_run_limit = find_run_limit,
		.start_sent = lease_on_start_sent,
		.start_settled = lease_on_start_settled,
		.ctx = dispatch,
	};

	dispatch->options = *options;
	random_seed(&dispatch->random, options->seed);
	dispatch->pool = pool_create(dispatch, &pool);
	dispatch->crashes = crash_records_create(dispatch);
	dispatch->ahead = crash_records_create(dispatch);
	dispatch->unlikely = crash_records_create(dispatch);
	dispatch->unlocated = crash_records_create(dispatch);
	talloc_set_destructor(dispatch, destroy);
	return dispatch;
}
