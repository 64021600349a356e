#ifndef CORE_JOB_ORDER_H
#define CORE_JOB_ORDER_H

#include <stdint.h>

#include "core/job.h"

/*
 * The order of jobs waiting for a service: teams by deficit round robin on
 * their weights, and within a team by a policy's key, the least first. Each
 * call takes logarithmic time in a team's jobs.
 */

struct job_order_ops {
	const char *name;
	/* drain_us: the service works off one waiting task in so long. */
	uint64_t (*key)(const struct job *job, uint64_t drain_us);
};

/* The policy of that name: fifo or least_remaining. */
const struct job_order_ops *job_order_find(const char *name);

struct job_order_queue;

/* An empty queue of that order, owned by mem. */
struct job_order_queue *job_order_create(TALLOC_CTX *mem,
					 const struct job_order_ops *ops);

/* Sets a team's weight for the fair order; 0 is read as 1. */
void job_order_set_weight(struct job_order_queue *queue, const char *team,
			  uint32_t weight);

/*
 * Adds a job with pending tasks; nothing happens when it waits already.
 * drain_us is the service's observed run time over its slots.
 */
void job_order_add(struct job_order_queue *queue, struct job *job,
		   uint64_t drain_us);

/* Nothing happens when the job does not wait. */
void job_order_remove(struct job_order_queue *queue, struct job *job);

/*
 * The job whose task is to start next, NULL when none waits. job_order_charge
 * tells that one of its tasks was started.
 */
struct job *job_order_next(struct job_order_queue *queue);
void job_order_charge(struct job_order_queue *queue, struct job *job);

#endif
