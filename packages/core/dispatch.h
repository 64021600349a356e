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
 * The dispatcher's part of the core: queues admitted jobs, starts their tasks
 * on the workers that are this instance's own, and ends each job complete or
 * failed. A task's start is sent once; only a proof that it did not start
 * makes it pending again.
 */

struct dispatch;

struct dispatch_options {
	const struct ports *ports;
	const struct placement_ops *placement;
	const struct job_order_ops *order;
	struct random_generator *random;
	bool breakers;
	uint32_t breaker_open_percent; /* of a service's workers */
	uint32_t retry_percent; /* of the starts */
	uint64_t backlog_tasks; /* limit */
	/* Idle slots of other dispatchers that would take tasks; or NULL. */
	uint32_t (*remote_slots)(void *ctx, const char *service);
	/* Told once for each job, which is freed when it returns. */
	void (*done)(void *ctx, struct job *job, const struct outcome *outcome);
	void *ctx;
	/* Is a worker leaving, besides being drained? NULL: none is. */
	bool (*is_leaving)(void *ctx, const char *worker);
	/* Told of a worker's own word in an answer; may be NULL. */
	void (*said_leaving)(void *ctx, const char *worker);
};

/*
 * Copies the options; owned by mem. It has no workers before
 * dispatch_configure.
 */
struct dispatch *dispatch_create(TALLOC_CTX *mem,
				 const struct dispatch_options *options);

/*
 * Takes over a configuration: owns tells which workers are this instance's.
 * Workers that are no longer so get no new work.
 */
void dispatch_configure(struct dispatch *dispatch,
			const struct config_document *doc,
			bool (*owns)(void *ctx,
				     const struct config_worker *worker),
			void *ctx, uint64_t now_ms);

/*
 * Judges whether a job may be admitted. A reason other than OUTCOME_NONE_REASON
 * means that nothing of it was kept.
 */
enum outcome_reason dispatch_admit(struct dispatch *dispatch,
				   const struct job_request *request,
				   uint64_t deadline_ms, uint64_t now_ms);

/* Queues an admitted job and starts what can start. Takes the job over. */
void dispatch_submit(struct dispatch *dispatch, struct job *job,
		     uint64_t now_ms);

/* Ends a job at once: started tasks are stopped, the others dropped. */
void dispatch_cancel(struct dispatch *dispatch, struct job *job,
		     enum outcome_reason reason, uint64_t now_ms);

/* The result of a start; takes result->body over. */
void dispatch_result(struct dispatch *dispatch, struct port_result *result,
		     uint64_t now_ms);

/*
 * A worker's own report. It lags: it tells what others run there, and that
 * tasks of unknown fate have ended; it never steers a single start.
 */
void dispatch_usage(struct dispatch *dispatch, const struct port_usage *usage,
		    uint64_t now_ms);

/* When a worker last answered a start, and so had a say; 0: never. */
uint64_t dispatch_answered_ms(const struct dispatch *dispatch,
			      const struct config_worker *worker);

/* A former dispatcher's word on what it still runs on a worker of ours. */
void dispatch_foreign(struct dispatch *dispatch, const char *worker,
		      uint32_t running, uint64_t now_ms);

/* Marks a worker as leaving, or not, from a hint of the instance list. */
void dispatch_set_leaving(struct dispatch *dispatch, const char *worker,
			  bool leaving, uint64_t now_ms);

/*
 * Calls tell for each worker that is another dispatcher's now and runs another
 * number of our tasks than it was told; tell returns whether it is told now.
 */
void dispatch_each_use(struct dispatch *dispatch,
		       bool (*tell)(void *ctx, const char *worker,
				    uint32_t running),
		       void *ctx);

/* Spill-over */

/* Waiting tasks that another dispatcher should run. */
struct dispatch_excess {
	struct job *job;
	uint32_t tasks;
};

/* False when the waiting tasks of each service are no more than its slots. */
bool dispatch_find_excess(struct dispatch *dispatch,
			  struct dispatch_excess *excess, uint64_t now_ms);

/* Takes up to count waiting tasks of a job; returns how many. */
uint32_t dispatch_take_tasks(struct dispatch *dispatch, struct job *job,
			     uint32_t *tasks, uint32_t count);

/* The result of a task so taken; takes body over. */
void dispatch_delegated_result(struct dispatch *dispatch, struct job *job,
			       uint32_t task, enum port_result_kind kind,
			       char *body, uint64_t now_ms);

/* Idle slots of a service. */
uint32_t dispatch_idle_slots(struct dispatch *dispatch, const char *service,
			     uint64_t now_ms);

/* Ends jobs past their deadline and starts what can start. */
void dispatch_tick(struct dispatch *dispatch, uint64_t now_ms);

/* While held, nothing new is started. */
void dispatch_hold(struct dispatch *dispatch, bool held);

struct dispatch_load {
	uint32_t slots;
	uint32_t idle_slots;
	uint32_t backlog_tasks;
	uint32_t running_tasks;
	uint32_t jobs;
};

struct dispatch_load dispatch_load(struct dispatch *dispatch, uint64_t now_ms);

/* Jobs admitted and not ended. */
uint64_t dispatch_jobs(const struct dispatch *dispatch);

/* Calls visit for each worker that is or was this instance's own. */
void dispatch_each_worker(struct dispatch *dispatch,
			  void (*visit)(void *ctx, const char *service,
					const struct placement_worker *worker),
			  void *ctx);

#endif
