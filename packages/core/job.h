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
 * A job while it runs at its owner: which tasks are pending, started and
 * answered. It decides when the job is complete; it starts nothing itself.
 */

enum job_task_state {
	JOB_PENDING,
	JOB_STARTED, /* sent to a worker, or delegated to a peer */
	JOB_DONE,
};

struct job_task {
	enum job_task_state state;
	uint32_t number; /* in the caller's job */
	uint32_t run_ms; /* declared, 0 when not */
	char *body;
	char *answer; /* JSON */
};

struct attempt;
struct delegate_batch;
struct delegate_guest;

struct job {
	struct job_id id;
	char text[JOB_ID_TEXT_BYTES];
	struct job_request *request;
	struct job_task *tasks;
	uint32_t task_count;
	uint32_t pending;
	uint32_t done;
	uint32_t ever_started; /* tasks a start was sent for */
	uint32_t next; /* no task before it is pending */
	size_t answer_bytes;
	uint64_t arrived_ms;
	uint64_t deadline_ms; /* on this instance's clock */
	LIST_HEAD(, attempt) attempts; /* the dispatcher's, on their way */
	LIST_ENTRY(job) in_service; /* the dispatcher's */
	LIST_HEAD(, delegate_batch)
	batches; /* delegated, without all results */
	struct delegate_guest
		*guest; /* set: a batch of another dispatcher's job */
	struct heap_node in_team; /* of the order of jobs */
	struct heap_node by_deadline; /* the dispatcher's */
};

struct job_options {
	const struct job_id *id;
	const char *text;
	struct job_request *request; /* taken over */
	uint64_t now_ms;
	uint64_t deadline_ms; /* from now */
};

/* Takes options->request over; all tasks are pending. */
struct job *job_create(TALLOC_CTX *mem, const struct job_options *options);

/* Takes the next pending task and marks it started; -1 when there is none. */
int job_take(struct job *job);

/* Makes a started task pending again: it provably did not start. */
void job_put_back(struct job *job, uint32_t task);

#define JOB_ANSWER_BYTES (8u << 20) /* of all tasks: fits a peer's frame */

/*
 * Stores a task's answer, taking over the text; false when the answers grow
 * over JOB_ANSWER_BYTES, so that the job must fail.
 */
bool job_answer(struct job *job, uint32_t task, char *answer);

/* True when each task was answered. */
bool job_is_complete(const struct job *job);

/* All answers in the tasks' order, as a JSON array. */
char *job_results(TALLOC_CTX *mem, const struct job *job);

#endif
