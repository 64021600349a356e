#include "core/lease_dispatch_state.h"

#include <inttypes.h>

#include "base/log.h"
#include "core/late_task.h"

static void tell_entry(const struct lease_job *job,
		       const struct lease_waiter *waiter,
		       const struct open_start *start)
{
	const struct lease_options *options = &job->dispatch->options;
	struct lease_start note = {
		.waiter = *waiter,
		.id = job->id,
		.row = *start,
	};

#ifdef BREAK_TELL_START
	return;
#endif
	if (options->start_noted)
		options->start_noted(options->ctx, &note);
}

/* Notes a start for the entries of all waiters. */
static void tell_start(const struct lease_job *job,
		       const struct open_start *start)
{
	const struct waiter_link *w;

	LIST_FOREACH(w, &job->waiters, entry)
		tell_entry(job, &w->waiter, start);
}

static struct open_start describe_start(const struct task *task,
					const struct pool_run *run)
{
	return (struct open_start){
		.step = task->step,
		.index = task->index,
		.number = run->number,
		.over_ms = pool_late_over_ms(task->job->dispatch->pool,
					     run->sent_ms),
		.is_repeated = run->repeats != 0,
		.worker = run->worker->key,
	};
}

void lease_on_start_sent(void *ctx, const struct pool_run *run)
{
	const struct task *task = run->task;
	struct open_start start = describe_start(task, run);

	(void)ctx;
	tell_start(task->job, &start);
}

void lease_on_run_ended(const struct task *task, uint32_t number)
{
	struct open_start start = {
		.step = task->step,
		.index = task->index,
		.number = number,
		.has_ended = true,
	};

	tell_start(task->job, &start);
}

static void tell_settled(const struct task *task, uint32_t number)
{
	struct open_start start = {
		.step = task->step,
		.index = task->index,
		.number = number,
	};

	tell_start(task->job, &start);
}

void lease_on_found(const struct task *task, uint32_t number)
{
	char name[STEP_JOB_TASK_BYTES];

	lease_name_task(name, task);
	late_settle(pool_late_tasks(task->job->dispatch->pool), name, number);
	tell_settled(task, number);
}

void lease_on_start_settled(void *ctx, const struct pool_run *run)
{
	(void)ctx;
	tell_settled(run->task, run->number);
}

/* Tells the entry of a new waiter of a run, and of its start. */
static void tell_waiter_of_run(const struct task *task,
			       const struct lease_waiter *waiter)
{
	const struct pool_run *run = task->run;
	struct open_start start = describe_start(task, run);

	/* Without a number it says nothing of starts under other leaders. */
	if (!run->started_here || (run->answered_ms && !run->repeats))
		start.over_ms = start.number = 0;
	tell_entry(task->job, waiter, &start);
}

/*
 * Notes a start for the entry of a new waiter only: the tasks wait for it, or
 * it has no answer so far.
 */
static void tell_waiter_of_task(const struct task *task,
				const struct lease_waiter *waiter,
				const struct open_starts *known,
				uint64_t now_ms)
{
	struct lease_pool *pool = task->job->dispatch->pool;
	const struct late_task *late;
	char name[STEP_JOB_TASK_BYTES];
	struct open_start waiting_for = {
		.step = task->step,
		.index = task->index,
	};

	if (task->run)
		tell_waiter_of_run(task, waiter);
	lease_name_task(name, task);
	late = late_find(pool_late_tasks(pool), name);
	if (!late || !late->waits || late->until_ms <= now_ms)
		return;
	waiting_for.over_ms = late->until_ms;
	waiting_for.number = late->number;
	if (!open_starts_have(known, &waiting_for))
		tell_entry(task->job, waiter, &waiting_for);
}

void lease_tell_waiter(const struct lease_job *job,
		       const struct lease_waiter *waiter,
		       const struct open_starts *known, uint64_t now_ms)
{
	if (!job->running &&
	    !late_has_waiting(pool_late_tasks(job->dispatch->pool)))
		return;
	for (uint32_t s = 0; s < job->step_count; s++)
		for (uint32_t i = 0; i < job->steps[s].count; i++)
			tell_waiter_of_task(&job->states[s].tasks[i], waiter,
					    known, now_ms);
}

static void await_start(struct lease_dispatch *dispatch, uint64_t entry,
			const char *task, const struct open_start *start,
			uint64_t now_ms)
{
	log_info(LOG_JOB,
		 "task %s: entry %016" PRIx64
		 " hands on a start, run %u, whose outcome it does not know; "
		 "waits %" PRIu64 " ms at most",
		 task, entry, start->number, start->over_ms - now_ms);
	late_note_handed(pool_late_tasks(dispatch->pool), task, entry,
			 start->is_repeated ? 0 : start->number,
			 start->over_ms);
}

void lease_merge_starts(struct lease_job *job,
			const struct lease_submission *from, uint64_t now_ms)
{
	char name[STEP_JOB_TASK_BYTES];

	for (uint32_t i = 0; i < from->open.count; i++) {
		const struct open_start *start = &from->open.rows[i];
		const char *fault = open_start_find_fault(start, job->steps,
							  job->step_count);
		const struct task *task;

		if (fault) {
			log_warning(LOG_JOB,
				    "job %s: dropped a start that its entry "
				    "hands on: %s",
				    job->id, fault);
			continue;
		}
		task = &job->states[start->step].tasks[start->index];
		if (task->state == TASK_DONE || start->over_ms <= now_ms ||
		    (task->run && !task->run->started_here &&
		     task->run->number == start->number))
			continue;
		lease_name_task(name, task);
		await_start(job->dispatch, from->waiter.entry, name, start,
			    now_ms);
	}
}

/* Returns the task at a place in the order of the steps. */
static struct task *find_nth_task(struct lease_job *job, uint32_t n)
{
	uint32_t s = 0;

	for (; n >= job->steps[s].count; s++)
		n -= job->steps[s].count;
	return &job->states[s].tasks[n];
}

void lease_merge_places(struct lease_job *job,
			const struct lease_submission *from, uint64_t now_ms)
{
	const struct lease_pool *pool = job->dispatch->pool;
	uint32_t known = 0, unlisted = 0;

	if (from->places.count && from->places.count != job->tasks) {
		log_warning(LOG_JOB,
			    "job %s: dropped the workers that its entry hands "
			    "on: there are %u of them for %u tasks",
			    job->id, from->places.count, job->tasks);
		return;
	}
	for (uint32_t i = 0; i < from->places.count; i++) {
		uint64_t worker = from->places.workers[i];
		struct task *task = find_nth_task(job, i);

		if (!worker || task->state != TASK_WAITING)
			continue;
		task->former_worker = worker;
		known++;
		unlisted += !pool_has_listed(pool, worker, 0);
	}
	if (known)
		log_info(LOG_JOB,
			 "job %s: entry %016" PRIx64
			 " names the workers of %u tasks, %u of which are not "
			 "held here; these tasks wait %" PRIu64
			 " ms at most for the lists of their workers",
			 job->id, from->waiter.entry, known, unlisted,
			 job->earlier_runs_over_ms > now_ms
				 ? job->earlier_runs_over_ms - now_ms
				 : 0);
}

void lease_note_open_starts(struct lease_dispatch *dispatch, uint64_t entry,
			    const char *id, const struct open_starts *starts,
			    uint64_t now_ms)
{
	char name[STEP_JOB_TASK_BYTES];

	for (uint32_t i = 0; i < starts->count; i++) {
		const struct open_start *start = &starts->rows[i];

		const char *fault = open_start_find_fault(start, NULL, 0);

		if (fault) {
			log_warning(LOG_JOB,
				    "job %s: dropped a start that its entry "
				    "tells: %s",
				    id, fault);
			continue;
		}
		if (start->over_ms <= now_ms)
			continue;
		step_job_name_task(name, id, start->step, start->index);
		await_start(dispatch, entry, name, start, now_ms);
	}
}
