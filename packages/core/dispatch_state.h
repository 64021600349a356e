#ifndef CORE_DISPATCH_STATE_H
#define CORE_DISPATCH_STATE_H

#include "base/hash_table.h"

#include "core/dispatch.h"

/*
 * The dispatcher's state, private to dispatch*.c. dispatch.c queues, starts
 * and ends jobs; dispatch_config.c maintains the services and their workers.
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
 * One start without a result. It outlives its job, whose end sets job to NULL.
 * If the task's fate is unknown, the attempt keeps its slot until the worker
 * reports fewer running tasks or until its lease ends.
 */
struct attempt {
	UT_hash_handle hh;
	LIST_ENTRY(attempt) of_job;
	struct heap_node by_lease; /* in dispatch->unknown, or in none */
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
	uint64_t request_usage_at_ms;
	uint64_t backlog_tasks;
	uint64_t jobs;
	uint64_t retry_tokens_milli;
	bool starts_paused;
};

struct placement_context
dispatch_placement_context(const struct dispatch *dispatch, uint64_t now_ms);

struct dispatch_service *dispatch_find_service(struct dispatch *dispatch,
					       const char *name);

/* Starts a service's waiting tasks while it has idle slots. */
void dispatch_start_tasks(struct dispatch *dispatch, struct dispatch_service *s,
			  uint64_t now_ms);

/*
 * Frees an attempt and its slot. A worker that was removed from the
 * configuration is freed with its last attempt.
 */
void dispatch_release(struct dispatch *dispatch, struct attempt *a,
		      uint64_t now_ms);

/*
 * Removes workers that were released to another dispatcher once no job here
 * needs them.
 */
void dispatch_remove_released(struct dispatch *dispatch,
			      struct dispatch_service *s, uint64_t now_ms);

/* Requests usage from the workers whose number of tasks is uncertain. */
void dispatch_request_usage(struct dispatch *dispatch, uint64_t now_ms);

#endif
