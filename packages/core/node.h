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
 * holds records, and wires membership, configuration and the dispatcher
 * together. It has no I/O, no threads and no clock: everything comes in by
 * these calls, each with the time of one clock reading, and goes out by the
 * ports. One thread owns it.
 */

struct node;

struct node_options {
	const struct ports *ports;
	const struct settings *settings;
	uint64_t incarnation; /* 64 random bits, never 0 */
	uint64_t seed; /* of jitter and sampling */
	uint64_t now_ms;
};

/* Copies the options; owned by mem. */
struct node *node_create(TALLOC_CTX *mem, const struct node_options *options);

/* Time passes: to be called every few milliseconds. */
void node_tick(struct node *node, uint64_t now_ms);

/*
 * The process was paused for gap_ms: expired work is dropped, and nothing new
 * starts before peers were heard.
 */
void node_paused(struct node *node, uint64_t gap_ms, uint64_t now_ms);

/* Callers. Each request is answered once through the reply port. */

/* Writes the text of up to count fresh ids; returns how many. */
size_t node_issue_ids(struct node *node, char (*ids)[JOB_ID_TEXT_BYTES],
		      size_t count, uint64_t now_ms);

/*
 * Submits a job; takes it over. id is the caller's, or NULL to take a fresh
 * one: the reply names it.
 */
void node_submit(struct node *node, uint64_t request, const char *id,
		 struct job_request *job, uint64_t now_ms);

/* The same under an idempotency key of the caller's choosing. */
void node_submit_keyed(struct node *node, uint64_t request, const char *key,
		       struct job_request *job, uint64_t now_ms);

void node_fetch(struct node *node, uint64_t request, const char *id,
		uint64_t now_ms);
void node_cancel(struct node *node, uint64_t request, const char *id,
		 uint64_t now_ms);

/* Targets. */

/* Takes result->body over. */
void node_result(struct node *node, struct port_result *result,
		 uint64_t now_ms);
void node_usage(struct node *node, const struct port_usage *usage,
		uint64_t now_ms);

/* Peers. */

void node_peer_up(struct node *node, const Bergamot__Hello *hello,
		  uint64_t now_ms);
void node_peer_down(struct node *node, uint64_t incarnation, uint64_t now_ms);
void node_peer_message(struct node *node, uint64_t incarnation,
		       const Bergamot__Peer *msg, uint64_t now_ms);

/* What this instance says of itself when a link opens; shallow. */
void node_hello(const struct node *node, Bergamot__Hello *hello);

/* Platform. */

void node_config_read(struct node *node, enum port_platform_status status,
		      const char *document, size_t len, uint64_t now_ms);
void node_config_written(struct node *node, uint64_t request,
			 enum port_platform_status status, uint64_t now_ms);
void node_key_claimed(struct node *node, uint64_t request,
		      enum port_platform_status status, const char *value,
		      uint64_t now_ms);
/* One instance of the lagging list. */
void node_listed(struct node *node, const char *address, bool leaving,
		 uint64_t now_ms);
/* One worker of the lagging list. */
void node_worker_listed(struct node *node, const char *worker, bool leaving,
			uint64_t now_ms);

/* Operators. */

/* True once a configuration is in force and the instance is not stopping. */
bool node_is_ready(const struct node *node);

/* Members, versions in force, workers and load as JSON. */
char *node_status_json(TALLOC_CTX *mem, struct node *node, uint64_t now_ms);

/*
 * Makes a plan of an operator's intent, answered by the operator_reply port.
 * A plan changes nothing: it is shown, and confirmed by node_confirm.
 */
void node_plan(struct node *node, uint64_t request, const char *intent,
	       uint64_t now_ms);

/* Confirms a plan: any instance may, and a repeat of it is safe. */
void node_confirm(struct node *node, uint64_t request, const char *plan,
		  uint64_t now_ms);

/* True while no job runs or waits here and no request is forwarded. */
bool node_is_idle(const struct node *node);

/* Logs the ids of jobs and requests that are still in flight. */
void node_log_unfinished(struct node *node);

/* Begins a graceful shutdown. */
void node_begin_stop(struct node *node, uint64_t now_ms);

/* True once all jobs have ended and all records are handed over. */
bool node_has_handed_over(const struct node *node);

/* True once nothing is in flight and all records are handed over. */
bool node_is_stopped(const struct node *node);

#endif
