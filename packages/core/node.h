#ifndef CORE_NODE_H
#define CORE_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "base/settings.h"
#include "core/job_id.h"
#include "core/job_request.h"
#include "core/ports.h"

/*
 * The core of one instance: routes callers' requests to the job's owner,
 * holds records, and connects membership, configuration and the dispatcher.
 * It has no I/O, no threads and no clock. Input arrives by these calls, each
 * with the time of one clock reading in milliseconds; output leaves by the
 * ports. A node is not thread-safe: all calls come from one thread.
 */

struct node;

struct node_options {
	const struct ports *ports;
	const struct settings *settings;
	uint64_t incarnation; /* 64 random bits, never 0 */
	uint64_t seed; /* for jitter and sampling */
	uint64_t now_ms;
};

/* Copies the options. The node is a talloc child of mem. */
struct node *node_create(TALLOC_CTX *mem, const struct node_options *options);

/* Runs all periodic work. To be called every few milliseconds. */
void node_tick(struct node *node, uint64_t now_ms);

/*
 * Reports that the process was paused for gap_ms. Expired work is dropped, and
 * no task starts until each peer has had time to send a heartbeat.
 */
void node_process_paused(struct node *node, uint64_t gap_ms, uint64_t now_ms);

/* Callers. Each request gets one answer, through the reply port. */

/* Writes the text of up to count new job ids; returns how many. */
size_t node_issue_ids(struct node *node, char (*ids)[JOB_ID_TEXT_BYTES],
		      size_t count, uint64_t now_ms);

/*
 * Submits a job and takes ownership of it. id is the caller's, or NULL to use a
 * new one, which the reply then names.
 */
void node_submit(struct node *node, uint64_t request, const char *id,
		 struct job_request *job, uint64_t now_ms);

/* Submits a job under an idempotency key that the caller chose. */
void node_submit_keyed(struct node *node, uint64_t request, const char *key,
		       struct job_request *job, uint64_t now_ms);

/* Requests the state or the outcome of a job. */
void node_fetch(struct node *node, uint64_t request, const char *id,
		uint64_t now_ms);
/* Cancels a job; the answer is its outcome. */
void node_cancel(struct node *node, uint64_t request, const char *id,
		 uint64_t now_ms);

/* Targets. */

/* Reports the result of a task attempt; takes ownership of result->body. */
void node_task_result(struct node *node, struct port_result *result,
		      uint64_t now_ms);
/* Reports how many tasks a worker runs and whether it is leaving. */
void node_worker_usage(struct node *node, const struct port_usage *usage,
		       uint64_t now_ms);

/* Peers. */

void node_peer_up(struct node *node, const Bergamot__Hello *hello,
		  uint64_t now_ms);
void node_peer_down(struct node *node, uint64_t incarnation, uint64_t now_ms);
void node_peer_message(struct node *node, uint64_t incarnation,
		       const Bergamot__Peer *msg, uint64_t now_ms);

/*
 * Fills in the message that introduces this instance when a link opens. Its
 * strings point into the node.
 */
void node_hello(const struct node *node, Bergamot__Hello *hello);

/* Platform. */

/*
 * Answers the read_config port; len is 0 when the document has not changed
 * since the last read.
 */
void node_config_read(struct node *node, enum port_platform_status status,
		      const char *document, size_t len, uint64_t now_ms);
/* Answers the write_config port. */
void node_config_written(struct node *node, uint64_t request,
			 enum port_platform_status status, uint64_t now_ms);
/* Answers the claim_key port; value is what the key holds, or NULL. */
void node_key_claimed(struct node *node, uint64_t request,
		      enum port_platform_status status, const char *value,
		      uint64_t now_ms);
/* Reports one entry of the platform's instance list, which may be stale. */
void node_instance_listed(struct node *node, const char *address, bool leaving,
			  uint64_t now_ms);
/* Reports one entry of the platform's worker list, which may be stale. */
void node_worker_listed(struct node *node, const char *worker, bool leaving,
			uint64_t now_ms);

/* Operators. */

/* Returns true if a configuration is in force and the node not stopping. */
bool node_is_ready(const struct node *node);

/*
 * Returns members, configuration version, workers and load as JSON, allocated
 * under mem.
 */
char *node_status_json(TALLOC_CTX *mem, struct node *node, uint64_t now_ms);

/*
 * Makes a plan from an operator's intent and sends it through the
 * operator_reply port. A plan changes nothing until node_confirm applies it.
 */
void node_plan(struct node *node, uint64_t request, const char *intent,
	       uint64_t now_ms);

/* Applies a plan. Any instance can apply it, and a repeat is safe. */
void node_confirm(struct node *node, uint64_t request, const char *plan,
		  uint64_t now_ms);

/* Returns true if no job runs or waits and no request is in flight. */
bool node_is_idle(const struct node *node);

/* Logs the ids of jobs and requests that are still in flight. */
void node_log_unfinished(struct node *node);

/* Begins a graceful shutdown. */
void node_begin_stop(struct node *node, uint64_t now_ms);

/* Returns true once all jobs have ended and all records are handed over. */
bool node_has_handed_over(const struct node *node);

/* Returns true once nothing is in flight and all records are handed over. */
bool node_is_stopped(const struct node *node);

#endif
