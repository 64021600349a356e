#include "core/dispatch.h"

#include <string.h>

#include "base/counter.h"
#include "core/admission.h"
#include "core/dispatch_state.h"

/* A stop request has normally reached the worker after this delay. */
#define USAGE_DELAY_MS 100
#define RUN_TIME_RESOLUTION_US 1000 /* of observed run times */
#define STRAGGLER_FACTOR 3 /* times the service's mean run time */
#define RETRY_BURST 100 /* retried tasks allowed at once */

struct placement_context
dispatch_placement_context(const struct dispatch *dispatch, uint64_t now_ms)
{
	struct placement_context context = {
		.random = dispatch->options.random,
		.now_ms = now_ms,
		.breakers = dispatch->options.breakers,
	};

	return context;
}

static void event(struct dispatch *dispatch, const char *name,
		  const struct attempt *a, const char *detail)
{
	const struct ports *ports = dispatch->options.ports;

	if (ports->event)
		ports->event(ports->ctx, name, a->text, (int)a->number,
			     a->worker->name, detail);
}

/* uthash does not allocate its tables with talloc. */
static int destroy(struct dispatch *dispatch)
{
	struct dispatch_service *s, *next;

	HASH_ITER(hh, dispatch->services, s, next)
		placement_set_clear(&s->set);
	HASH_CLEAR(hh, dispatch->services);
	HASH_CLEAR(hh, dispatch->attempts);
	return 0;
}

struct dispatch *dispatch_create(TALLOC_CTX *mem,
				 const struct dispatch_options *options)
{
	struct dispatch *dispatch = talloc_zero(mem, struct dispatch);

	talloc_set_destructor(dispatch, destroy);
	dispatch->options = *options;
	dispatch->by_deadline = heap_create(dispatch);
	dispatch->unknown = heap_create(dispatch);
	dispatch->retry_tokens_milli = RETRY_BURST * 1000;
	return dispatch;
}

/* Mean time between two ends of tasks while all slots are busy. */
static uint64_t task_interval_us(const struct dispatch_service *s)
{
	uint32_t slots = placement_slots(&s->set);

	return slots ? s->set.mean_us / slots : s->set.mean_us;
}

/* Starting */

/* Each start adds retry_percent of a retry token. */
static void add_retry_tokens(struct dispatch *dispatch)
{
	dispatch->retry_tokens_milli += dispatch->options.retry_percent * 10;
	if (dispatch->retry_tokens_milli > RETRY_BURST * 1000)
		dispatch->retry_tokens_milli = RETRY_BURST * 1000;
}

static bool take_retry_token(struct dispatch *dispatch)
{
	if (dispatch->retry_tokens_milli < 1000)
		return false;
	dispatch->retry_tokens_milli -= 1000;
	return true;
}

static struct attempt *add_attempt(struct dispatch *dispatch,
				   struct dispatch_service *s,
				   struct placement_worker *w, struct job *job,
				   uint64_t now_ms)
{
	const struct ports *ports = dispatch->options.ports;
	struct attempt *a = talloc_zero(dispatch, struct attempt);

	a->token = ports->random_id(ports->ctx);
	a->job = job;
	memcpy(a->text, job->text, sizeof(a->text));
	a->serial = job->id.serial;
	a->task = (uint32_t)job_start_next(job);
	a->number = job->tasks[a->task].number;
	a->worker = w;
	a->service = s;
	a->sent_ms = now_ms;
	a->lease_end_ms = job->deadline_ms;
	LIST_INSERT_HEAD(&job->attempts, a, of_job);
	HASH_ADD(hh, dispatch->attempts, token, sizeof(a->token), a);
	return a;
}

static void start_task(struct dispatch *dispatch, struct dispatch_service *s,
		       struct placement_worker *w, struct job *job,
		       uint64_t now_ms)
{
	const struct ports *ports = dispatch->options.ports;
	struct attempt *a = add_attempt(dispatch, s, w, job, now_ms);
	struct port_start start = {
		.token = a->token,
		.job = job->text,
		.task = job->tasks[a->task].number,
		.service = s->name,
		.worker = w->name,
		.address = w->address,
		.lease_ms = job->deadline_ms - now_ms,
		.body = job->tasks[a->task].body,
	};

	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);

	w->running++;
	breaker_task_sent(&w->breaker, now_ms);
	placement_refresh(w, &context);
	s->backlog_tasks--;
	dispatch->backlog_tasks--;
	add_retry_tokens(dispatch);
	counter_add(COUNTER_TASKS_STARTED, 1);
	event(dispatch, "task_start", a, NULL);
	ports->start(ports->ctx, &start);
	if (!job->pending)
		job_order_remove(s->queue, job);
	job_order_charge(s->queue, job);
}

/*
 * Returns true if waiting for another worker's slot is expected to end the task
 * sooner than starting it on this worker now. All faster slots are busy when
 * this worker is picked.
 */
static bool is_straggler(const struct dispatch_service *s,
			 const struct placement_worker *w)
{
	uint64_t wait_us = s->backlog_tasks * task_interval_us(s);

	return w->mean_us > STRAGGLER_FACTOR * s->set.mean_us +
				    RUN_TIME_RESOLUTION_US &&
	       w->mean_us > s->set.mean_us + wait_us &&
	       placement_slots(&s->set) > w->slots;
}

void dispatch_start_tasks(struct dispatch *dispatch, struct dispatch_service *s,
			  uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct job *job;

	placement_refresh_due(&s->set, &context);
	while (!dispatch->starts_paused && (job = job_order_next(s->queue))) {
		struct placement_worker *w;

		if (job->deadline_ms <= now_ms)
			return; /* the next tick ends the job */
		w = dispatch->options.placement->pick(&s->set, &context);
		if (!w || is_straggler(s, w))
			return;
		start_task(dispatch, s, w, job, now_ms);
	}
}

void dispatch_pause_starts(struct dispatch *dispatch, bool paused)
{
	dispatch->starts_paused = paused;
}

/* Ending */

static void detach_attempts(struct dispatch *dispatch, struct job *job)
{
	const struct ports *ports = dispatch->options.ports;
	struct attempt *a;

	while ((a = LIST_FIRST(&job->attempts))) {
		struct port_stop stop = {
			.token = a->token,
			.job = a->text,
			.task = a->number,
			.worker = a->worker->name,
			.address = a->worker->address,
		};

		LIST_REMOVE(a, of_job);
		a->job = NULL;
		counter_add(COUNTER_TASKS_STOPPED, 1);
		event(dispatch, "task_stop", a, NULL);
		ports->stop(ports->ctx, &stop);
	}
}

static void end_job(struct dispatch *dispatch, struct job *job,
		    const struct outcome *outcome)
{
	struct dispatch_service *s =
		dispatch_find_service(dispatch, job->request->service);

	job_order_remove(s->queue, job);
	s->backlog_tasks -= job->pending;
	dispatch->backlog_tasks -= job->pending;
	heap_remove(dispatch->by_deadline, &job->by_deadline);
	LIST_REMOVE(job, in_service);
	dispatch->jobs--;
	detach_attempts(dispatch, job);
	dispatch->options.done(dispatch->options.ctx, job, outcome);
	talloc_free(job);
}

static void complete_job(struct dispatch *dispatch, struct job *job)
{
	struct outcome outcome = {
		.kind = OUTCOME_COMPLETE,
		.started = job->ever_started,
		.results = job_results(job, job),
	};

	end_job(dispatch, job, &outcome);
}

/* A job for which no start was sent ends as not run. */
static void fail_job(struct dispatch *dispatch, struct job *job,
		     enum outcome_reason reason)
{
	struct outcome outcome = {
		.kind = job->ever_started ? OUTCOME_FAILED : OUTCOME_NOT_RUN,
		.reason = reason,
		.started = job->ever_started,
	};

	end_job(dispatch, job, &outcome);
}

void dispatch_cancel(struct dispatch *dispatch, struct job *job,
		     enum outcome_reason reason, uint64_t now_ms)
{
	struct dispatch_service *s =
		dispatch_find_service(dispatch, job->request->service);

	fail_job(dispatch, job, reason);
	dispatch_start_tasks(dispatch, s, now_ms);
}

/* Results */

static void count_failure(struct dispatch *dispatch, const struct attempt *a,
			  uint64_t now_ms)
{
	static const struct breaker_options defaults;
	struct breaker *breaker = &a->worker->breaker;

	if (!breaker_failure(breaker, &defaults, a->serial))
		return;
	if (breaker->state != BREAKER_HALF_OPEN &&
	    !placement_may_open(a->worker,
				dispatch->options.breaker_open_percent))
		return;
	breaker_open(breaker, &defaults, now_ms);
	event(dispatch, "breaker_open", a, NULL);
}

static void on_done(struct dispatch *dispatch, struct attempt *a,
		    struct port_result *result, uint64_t now_ms)
{
	(void)dispatch;
	counter_add(COUNTER_TASKS_DONE, 1);
	breaker_success(&a->worker->breaker);
	placement_observe(a->worker, (now_ms - a->sent_ms) * 1000);
	if (!a->job) {
		counter_add(COUNTER_ANSWERS_LATE, 1);
		return;
	}
	if (!job_answer(a->job, a->task, result->body))
		result->kind = PORT_TOO_LARGE;
	result->body = NULL;
}

static void on_failed(struct dispatch *dispatch, struct attempt *a,
		      struct port_result *result, uint64_t now_ms)
{
	(void)result;
	/* The failure of a task stopped on request is not the worker's. */
	if (a->job)
		count_failure(dispatch, a, now_ms);
	else
		breaker_undecided(&a->worker->breaker, now_ms);
}

static void requeue_task(struct dispatch *dispatch, struct dispatch_service *s,
			 struct job *job, uint32_t task)
{
	job_requeue(job, task);
	s->backlog_tasks++;
	dispatch->backlog_tasks++;
	job_order_add(s->queue, job, task_interval_us(s));
}

/* A refusal does not count as a failure: the worker may just be full. */
static void on_not_started(struct dispatch *dispatch, struct attempt *a,
			   struct port_result *result, uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);

	(void)result;
	counter_add(COUNTER_TASKS_REFUSED, 1);
	placement_refused(a->worker, &context);
	breaker_undecided(&a->worker->breaker, now_ms);
	if (a->job && take_retry_token(dispatch))
		requeue_task(dispatch, a->service, a->job, a->task);
}

#ifndef BREAK_RETRY_UNKNOWN
static void on_unknown(struct dispatch *dispatch, struct attempt *a,
		       struct port_result *result, uint64_t now_ms)
{
	(void)result;
	counter_add(COUNTER_TASKS_UNKNOWN, 1);
	count_failure(dispatch, a, now_ms);
}

#endif

/*
 * How each kind of result is handled. ends_job is the reason with which the
 * result fails its job, OUTCOME_NONE_REASON if it does not.
 */
static const struct {
	const char *name;
	void (*handle)(struct dispatch *dispatch, struct attempt *a,
		       struct port_result *result, uint64_t now_ms);
	enum outcome_reason ends_job;
} result_kinds[] = {
	[PORT_DONE] = { "done", on_done, OUTCOME_NONE_REASON },
	[PORT_FAILED] = { "failed", on_failed, OUTCOME_TASK_FAILED_REASON },
	[PORT_NOT_STARTED] = { "not_started", on_not_started,
			       OUTCOME_NONE_REASON },
	[PORT_TOO_LARGE] = { "too_large", on_failed,
			     OUTCOME_ANSWER_TOO_LARGE_REASON },
#ifdef BREAK_RETRY_UNKNOWN
	[PORT_UNKNOWN] = { "unknown", on_not_started, OUTCOME_NONE_REASON },
#else
	[PORT_UNKNOWN] = { "unknown", on_unknown, OUTCOME_TASK_UNKNOWN_REASON },
#endif
};

void dispatch_release(struct dispatch *dispatch, struct attempt *a,
		      uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct placement_worker *w = a->worker;

	w->running--;
	heap_remove(dispatch->unknown, &a->by_lease);
	/* attempts contains a; the condition is for the static analyser. */
	if (dispatch->attempts)
		HASH_DEL(dispatch->attempts, a);
	if (a->job)
		LIST_REMOVE(a, of_job);
	if (w->present || w->running) {
		placement_refresh(w, &context);
	} else {
		placement_set_remove(w);
		talloc_free(w);
	}
	talloc_free(a);
}

/* The task may still run, so its slot stays busy. */
static void keep_unknown_attempt(struct dispatch *dispatch, struct attempt *a,
				 uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);

	if (!a->by_lease.index)
		heap_add(dispatch->unknown, &a->by_lease, a->lease_end_ms);
	placement_refresh(a->worker, &context);
	dispatch->request_usage_at_ms = now_ms + USAGE_DELAY_MS;
}

static void expire_unknown(struct dispatch *dispatch, uint64_t now_ms)
{
	struct heap_node *node;

	while ((node = heap_first(dispatch->unknown)) && node->key <= now_ms)
		dispatch_release(dispatch,
				 HEAP_ENTRY(node, struct attempt, by_lease),
				 now_ms);
}

/*
 * Returns true if a task did not start and was not queued again, because there
 * was no retry token. The job then has to end, as the task would never run.
 */
static bool is_out_of_retries(const struct job *job,
			      const struct port_result *result, uint32_t task)
{
	return result->kind == PORT_NOT_STARTED &&
	       job->tasks[task].state == JOB_STARTED;
}

static void settle_job(struct dispatch *dispatch, struct job *job,
		       const struct port_result *result, uint32_t task)
{
	if (result_kinds[result->kind].ends_job)
		fail_job(dispatch, job, result_kinds[result->kind].ends_job);
	else if (job_is_complete(job))
		complete_job(dispatch, job);
	else if (is_out_of_retries(job, result, task)) {
		job->ever_started--;
		fail_job(dispatch, job, OUTCOME_NO_WORKER_REASON);
	}
}

void dispatch_result(struct dispatch *dispatch, struct port_result *result,
		     uint64_t now_ms)
{
	struct attempt *a;
	struct dispatch_service *s;
	struct job *job;
	uint32_t task;

	HASH_FIND(hh, dispatch->attempts, &result->token, sizeof(result->token),
		  a);
	if (!a) {
		talloc_free(result->body);
		return;
	}
	s = a->service;
	job = a->job;
	task = a->task;
	event(dispatch, "task_result", a, result_kinds[result->kind].name);
	if (result->worker_leaving)
		a->worker->leaving = true;
	if (result->worker_leaving && dispatch->options.on_worker_leaving)
		dispatch->options.on_worker_leaving(dispatch->options.ctx,
						    a->worker->name);
	if (result->kind == PORT_DONE || result->kind == PORT_FAILED)
		a->worker->answered_ms = now_ms;
	result_kinds[result->kind].handle(dispatch, a, result, now_ms);
	talloc_free(result->body);
	/*
	 * A task of unknown fate may still run: its attempt stays, so that
	 * the end of the job stops it.
	 */
	if (result->kind == PORT_UNKNOWN && a->lease_end_ms > now_ms)
		keep_unknown_attempt(dispatch, a, now_ms);
	else
		dispatch_release(dispatch, a, now_ms);
	if (job)
		settle_job(dispatch, job, result, task);
	dispatch_start_tasks(dispatch, s, now_ms);
}

/* Admission */

static uint32_t remote_slots(const struct dispatch *dispatch,
			     const struct dispatch_service *s)
{
	if (!dispatch->options.remote_slots)
		return 0;
	return dispatch->options.remote_slots(dispatch->options.ctx, s->name);
}

enum outcome_reason dispatch_admit(struct dispatch *dispatch,
				   const struct job_request *request,
				   uint64_t deadline_ms, uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct dispatch_service *s =
		dispatch_find_service(dispatch, request->service);
	struct admission_view view = {
		.service_known = s && s->present,
		.tasks = request->task_count,
		.deadline_ms = deadline_ms,
		.backlog_limit = dispatch->options.backlog_tasks,
		.all_backlog_tasks = dispatch->backlog_tasks,
	};

	if (s) {
		placement_refresh_due(&s->set, &context);
		view.max_tasks = s->max_tasks;
		view.slots =
			placement_slots(&s->set) + remote_slots(dispatch, s);
		view.backlog_tasks = s->backlog_tasks;
		view.mean_run_us = s->set.mean_us;
	}
	return admission_decide(&view);
}

void dispatch_submit(struct dispatch *dispatch, struct job *job,
		     uint64_t now_ms)
{
	struct dispatch_service *s =
		dispatch_find_service(dispatch, job->request->service);

	talloc_steal(dispatch, job);
	dispatch->jobs++;
	s->backlog_tasks += job->pending;
	dispatch->backlog_tasks += job->pending;
	heap_add(dispatch->by_deadline, &job->by_deadline, job->deadline_ms);
	LIST_INSERT_HEAD(&s->jobs, job, in_service);
	job_order_add(s->queue, job, task_interval_us(s));
	dispatch_start_tasks(dispatch, s, now_ms);
}

/* Spill-over */

/*
 * The backlog that is not delegated, as part of a service's slots. These tasks
 * start here within a fraction of a task's run time.
 */
#define KEPT_BACKLOG_PERCENT 25

static struct job *find_largest_backlog(struct dispatch_service *s)
{
	struct job *job, *largest = NULL;

	LIST_FOREACH(job, &s->jobs, in_service)
		if (!job->received_batch && job->pending &&
		    (!largest || job->pending > largest->pending))
			largest = job;
	return largest;
}

bool dispatch_find_excess(struct dispatch *dispatch,
			  struct dispatch_excess *excess, uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct dispatch_service *s, *next;

	HASH_ITER(hh, dispatch->services, s, next) {
		uint64_t tasks, limit;

		placement_refresh_due(&s->set, &context);
		limit = placement_slots(&s->set) * KEPT_BACKLOG_PERCENT / 100;
		if (s->backlog_tasks <= limit)
			continue;
		excess->job = find_largest_backlog(s);
		if (!excess->job || excess->job->deadline_ms <= now_ms)
			continue;
		tasks = s->backlog_tasks - limit;
		excess->tasks = tasks < excess->job->pending
					? (uint32_t)tasks
					: excess->job->pending;
		return true;
	}
	return false;
}

uint32_t dispatch_dequeue_tasks(struct dispatch *dispatch, struct job *job,
				uint32_t *tasks, uint32_t count)
{
	struct dispatch_service *s =
		dispatch_find_service(dispatch, job->request->service);
	uint32_t removed = 0;

	while (removed < count && job->pending)
		tasks[removed++] = (uint32_t)job_start_next(job);
	s->backlog_tasks -= removed;
	dispatch->backlog_tasks -= removed;
	if (!job->pending)
		job_order_remove(s->queue, job);
	return removed;
}

void dispatch_delegated_result(struct dispatch *dispatch, struct job *job,
			       uint32_t task, enum port_result_kind kind,
			       char *body, uint64_t now_ms)
{
	struct dispatch_service *s =
		dispatch_find_service(dispatch, job->request->service);

	if (kind != PORT_DONE)
		talloc_free(body);
	else if (!job_answer(job, task, body))
		kind = PORT_TOO_LARGE;
	if (kind == PORT_NOT_STARTED)
		requeue_task(dispatch, s, job, task);
	else if (result_kinds[kind].ends_job)
		fail_job(dispatch, job, result_kinds[kind].ends_job);
	else if (job_is_complete(job))
		complete_job(dispatch, job);
	dispatch_start_tasks(dispatch, s, now_ms);
}

uint32_t dispatch_idle_slots(struct dispatch *dispatch, const char *service,
			     uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct dispatch_service *s = dispatch_find_service(dispatch, service);

	return s ? placement_idle_slots(&s->set, &context) : 0;
}

/* Time */

static void expire_jobs(struct dispatch *dispatch, uint64_t now_ms)
{
	struct heap_node *node;

	while ((node = heap_first(dispatch->by_deadline)) &&
	       node->key <= now_ms) {
		struct job *job = HEAP_ENTRY(node, struct job, by_deadline);

		fail_job(dispatch, job,
			 job->ever_started ? OUTCOME_DEADLINE_REASON
					   : OUTCOME_TOO_LATE_REASON);
	}
}

void dispatch_tick(struct dispatch *dispatch, uint64_t now_ms)
{
	struct dispatch_service *s, *next;

	expire_jobs(dispatch, now_ms);
	expire_unknown(dispatch, now_ms);
	if (dispatch->request_usage_at_ms <= now_ms)
		dispatch_request_usage(dispatch, now_ms);
	HASH_ITER(hh, dispatch->services, s, next) {
		dispatch_start_tasks(dispatch, s, now_ms);
		dispatch_remove_released(dispatch, s, now_ms);
	}
}

uint64_t dispatch_jobs(const struct dispatch *dispatch)
{
	return dispatch->jobs;
}
