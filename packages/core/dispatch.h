#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "base/random.h"
#include "core/config.h"
#include "core/job.h"
#include "core/job_order.h"
#include "core/placement.h"
#include "core/ports.h"

/*
 * The dispatcher queues admitted jobs, starts their tasks on the workers
 * assigned to this instance, and ends each job as complete or failed. It sends
 * a task's start once; only proof that the task did not start makes the task
 * pending again.
 */

struct dispatch;

struct dispatch_options {
	const struct ports *ports;
	const struct placement_ops *placement;
	const struct job_order_ops *order;
	struct random_generator *random;
	bool breakers;
	/* The most breakers open at once, as part of a service's workers. */
	uint32_t breaker_open_percent;
	uint32_t retry_percent; /* retries allowed, as part of the starts */
	uint64_t backlog_tasks; /* limit of waiting tasks over all services */
	/*
	 * Returns the idle slots of dispatchers that tasks may be delegated
	 * to; may be NULL.
	 */
	uint32_t (*remote_slots)(void *ctx, const char *service);
	/* Called once when a job ends; the job is freed after the call. */
	void (*done)(void *ctx, struct job *job, const struct outcome *outcome);
	void *ctx;
	/*
	 * Returns true if a worker is leaving for another reason than being
	 * drained; NULL if none ever is.
	 */
	bool (*is_leaving)(void *ctx, const char *worker);
	/* Called when a worker's answer says it is leaving; may be NULL. */
	void (*on_worker_leaving)(void *ctx, const char *worker);
};

/*
 * Creates a dispatcher owned by mem; copies the options. It has no workers
 * until dispatch_configure is called.
 */
struct dispatch *dispatch_create(TALLOC_CTX *mem,
				 const struct dispatch_options *options);

/*
 * Applies a configuration. owns returns true for the workers assigned to this
 * instance. A worker that is assigned to another dispatcher now is released:
 * it runs only jobs admitted here, and only while this instance has no other
 * worker.
 */
void dispatch_configure(struct dispatch *dispatch,
			const struct config_document *doc,
			bool (*owns)(void *ctx,
				     const struct config_worker *worker),
			void *ctx, uint64_t now_ms);

/*
 * Returns OUTCOME_NONE_REASON if a job may be admitted, else the reason for
 * refusing it. deadline_ms counts from now. Stores nothing about the job.
 */
enum outcome_reason dispatch_admit(struct dispatch *dispatch,
				   const struct job_request *request,
				   uint64_t deadline_ms, uint64_t now_ms);

/*
 * Queues an admitted job and starts the tasks that have a slot. Takes ownership
 * of the job.
 */
void dispatch_submit(struct dispatch *dispatch, struct job *job,
		     uint64_t now_ms);

/* Ends a job at once: stops started tasks and drops waiting ones. */
void dispatch_cancel(struct dispatch *dispatch, struct job *job,
		     enum outcome_reason reason, uint64_t now_ms);

/* Handles the result of a start; takes ownership of result->body. */
void dispatch_result(struct dispatch *dispatch, struct port_result *result,
		     uint64_t now_ms);

/*
 * Handles a worker's usage report. As the report lags behind, it serves only
 * to count other dispatchers' tasks on the worker and to detect that tasks of
 * unknown fate have ended, never to decide the fate of one start.
 */
void dispatch_usage(struct dispatch *dispatch, const struct port_usage *usage,
		    uint64_t now_ms);

/*
 * The time in ms at which a worker last answered a start (an answer can say
 * that the worker is leaving); 0 if it never did.
 */
uint64_t dispatch_answered_ms(const struct dispatch *dispatch,
			      const struct config_worker *worker);

/*
 * Handles a report by a worker's former dispatcher: it still runs this many
 * tasks on a worker that is assigned to this instance now.
 */
void dispatch_set_foreign_tasks(struct dispatch *dispatch, const char *worker,
				uint32_t running, uint64_t now_ms);

/* Marks a worker as leaving or not, as the instance list says. */
void dispatch_set_leaving(struct dispatch *dispatch, const char *worker,
			  bool leaving, uint64_t now_ms);

/*
 * Calls report for each worker that is assigned to another dispatcher now, if
 * the number of this instance's tasks on it differs from the last number
 * reported to that dispatcher. report returns true if it sent the number.
 */
void dispatch_each_released_worker(struct dispatch *dispatch,
				   bool (*report)(void *ctx, const char *worker,
						  uint32_t running),
				   void *ctx);

/* Spill-over */

/* A job and the number of its waiting tasks to delegate. */
struct dispatch_excess {
	struct job *job;
	uint32_t tasks;
};

/*
 * Finds waiting tasks to delegate. Returns false if every service's backlog is
 * small enough to be kept here.
 */
bool dispatch_find_excess(struct dispatch *dispatch,
			  struct dispatch_excess *excess, uint64_t now_ms);

/*
 * Removes up to count waiting tasks of a job from the queue, for delegation.
 * Stores their indexes in tasks and returns their number.
 */
uint32_t dispatch_dequeue_tasks(struct dispatch *dispatch, struct job *job,
				uint32_t *tasks, uint32_t count);

/* Handles the result of a delegated task; takes ownership of body. */
void dispatch_delegated_result(struct dispatch *dispatch, struct job *job,
			       uint32_t task, enum port_result_kind kind,
			       char *body, uint64_t now_ms);

/* The idle slots on this instance's own workers for a service. */
uint32_t dispatch_idle_slots(struct dispatch *dispatch, const char *service,
			     uint64_t now_ms);

/* Ends jobs past their deadline and starts tasks that have a slot. */
void dispatch_tick(struct dispatch *dispatch, uint64_t now_ms);

/* Pauses or resumes the starting of tasks. */
void dispatch_pause_starts(struct dispatch *dispatch, bool paused);

struct dispatch_load {
	uint32_t slots;
	uint32_t idle_slots;
	uint32_t backlog_tasks;
	uint32_t running_tasks;
	uint32_t jobs;
};

struct dispatch_load dispatch_load(struct dispatch *dispatch, uint64_t now_ms);

/* The number of jobs admitted and not ended. */
uint64_t dispatch_jobs(const struct dispatch *dispatch);

/* Calls visit for each worker that is or was assigned to this instance. */
void dispatch_each_worker(struct dispatch *dispatch,
			  void (*visit)(void *ctx, const char *service,
					const struct placement_worker *worker),
			  void *ctx);

#endif
