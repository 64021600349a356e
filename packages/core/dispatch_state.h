#ifndef CORE_DISPATCH_STATE_H
#define CORE_DISPATCH_STATE_H

#include "base/hash_table.h"

#include "core/dispatch.h"

/*
 * The dispatcher's state; for dispatch*.c alone. dispatch.c queues, starts
 * and ends; dispatch_config.c keeps the services and their workers.
 */

struct dispatch_service {
	UT_hash_handle hh;
	char *name;
	uint32_t deadline_ms;
	uint32_t max_tasks;
	bool present;
	struct placement_set set;
	struct job_order_queue *queue;
	LIST_HEAD(, job) jobs;
	uint64_t backlog_tasks;
};

/*
 * One start on its way. It outlives its job, whose end makes job NULL. With an
 * unknown fate it keeps its slot until the worker no longer reports it, or
 * until its lease ends.
 */
struct attempt {
	UT_hash_handle hh;
	LIST_ENTRY(attempt) of_job;
	struct heap_node by_lease; /* once its fate is unknown */
	uint64_t token;
	struct job *job;
	char text[JOB_ID_TEXT_BYTES];
	uint64_t serial;
	uint32_t task; /* index in job */
	uint32_t number; /* in the caller's job */
	struct placement_worker *worker;
	struct dispatch_service *service;
	uint64_t sent_ms;
	uint64_t lease_end_ms;
};

struct dispatch {
	struct dispatch_options options;
	struct dispatch_service *services;
	struct attempt *attempts;
	struct heap *unknown; /* attempts of unknown fate, by lease */
	struct heap *by_deadline; /* jobs */
	uint64_t ask_usage_at_ms;
	uint64_t backlog_tasks;
	uint64_t jobs;
	uint64_t retry_tokens_milli;
	bool held; /* nothing new is started */
};

struct placement_context
dispatch_placement_context(const struct dispatch *dispatch, uint64_t now_ms);

struct dispatch_service *dispatch_find_service(struct dispatch *dispatch,
					       const char *name);

/* Starts what can start of a service. */
void dispatch_start_what_can(struct dispatch *dispatch,
			     struct dispatch_service *s, uint64_t now_ms);

/* Ends an attempt and frees its slot; a worker no longer ours goes with it. */
void dispatch_release(struct dispatch *dispatch, struct attempt *a,
		      uint64_t now_ms);

/* Drops workers of another dispatcher's once nothing here needs them. */
void dispatch_drop_released(struct dispatch *dispatch,
			    struct dispatch_service *s, uint64_t now_ms);

/* Asks the workers whose use is in doubt. */
void dispatch_ask_usage(struct dispatch *dispatch, uint64_t now_ms);

#endif
