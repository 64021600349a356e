#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "base/heap.h"
#include "core/job_id.h"
#include "core/job_request.h"
#include "core/outcome.h"

/*
 * A job while it runs at its owner: records which tasks are pending, started
 * and answered, and when the job is complete. The dispatcher starts the tasks.
 */

enum job_task_state {
	JOB_PENDING,
	JOB_STARTED, /* sent to a worker, or delegated to a peer */
	JOB_DONE,
};

struct job_task {
	enum job_task_state state;
	uint32_t number; /* in the caller's job */
	uint32_t run_ms; /* declared run time; 0 if not declared */
	char *body;
	char *answer; /* JSON */
};

struct attempt;
struct delegate_batch;
struct delegate_received_batch;

struct job {
	struct job_id id;
	char text[JOB_ID_TEXT_BYTES];
	struct job_request *request;
	struct job_task *tasks;
	uint32_t task_count;
	uint32_t pending;
	uint32_t done;
	uint32_t ever_started; /* tasks whose start was sent */
	uint32_t next; /* index; no task before it is pending */
	size_t answer_bytes;
	uint64_t arrived_ms;
	uint64_t deadline_ms; /* on this instance's clock */
	LIST_HEAD(, attempt) attempts; /* starts without a result */
	LIST_ENTRY(job) in_service; /* in dispatch_service.jobs */
	LIST_HEAD(, delegate_batch) batches; /* with results missing */
	/* Not NULL if the job is a batch of another dispatcher's job. */
	struct delegate_received_batch *received_batch;
	struct heap_node in_team; /* in the team's jobs in job_order.c */
	struct heap_node by_deadline; /* in dispatch.by_deadline */
};

struct job_options {
	const struct job_id *id;
	const char *text;
	struct job_request *request; /* the job takes ownership */
	uint64_t now_ms;
	uint64_t deadline_ms; /* from now */
};

/* Creates a job whose tasks are all pending. */
struct job *job_create(TALLOC_CTX *mem, const struct job_options *options);

/*
 * Marks the next pending task as started and returns its index; -1 if there is
 * none.
 */
int job_start_next(struct job *job);

/* Makes a task pending again that provably did not start. */
void job_requeue(struct job *job, uint32_t task);

#define JOB_ANSWER_BYTES (8u << 20) /* all answers must fit one peer frame */

/*
 * Stores a task's answer and takes ownership of it. Returns false if the
 * answers exceed JOB_ANSWER_BYTES; the job must then fail.
 */
bool job_answer(struct job *job, uint32_t task, char *answer);

/* Returns true if every task has been answered. */
bool job_is_complete(const struct job *job);

/* Returns all answers as a JSON array, in the order of the tasks. */
char *job_results(TALLOC_CTX *mem, const struct job *job);

#endif
