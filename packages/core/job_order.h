#ifndef CORE_JOB_ORDER_H
#define CORE_JOB_ORDER_H

#include <stdint.h>

#include "core/job.h"

/*
 * The order of the jobs that wait for a service: deficit round robin by weight
 * among teams, and within a team ascending by the policy's key. Each call takes
 * logarithmic time in the number of the team's jobs.
 */

struct job_order_ops {
	const char *name;
	/* task_interval_us: mean time between two ends of tasks */
	uint64_t (*key)(const struct job *job, uint64_t task_interval_us);
};

/* The policy named fifo or least_remaining; NULL for any other name. */
const struct job_order_ops *job_order_find(const char *name);

struct job_order_queue;

/* Creates an empty queue owned by mem. */
struct job_order_queue *job_order_create(TALLOC_CTX *mem,
					 const struct job_order_ops *ops);

/* Sets a team's round robin weight; 0 means 1. */
void job_order_set_weight(struct job_order_queue *queue, const char *team,
			  uint32_t weight);

/*
 * Adds a job with pending tasks; does nothing if the queue contains it already.
 * task_interval_us is the service's mean run time divided by its slots.
 */
void job_order_add(struct job_order_queue *queue, struct job *job,
		   uint64_t task_interval_us);

/* Removes a job; does nothing if the queue does not contain it. */
void job_order_remove(struct job_order_queue *queue, struct job *job);

/* The job whose task is to start next; NULL if the queue is empty. */
struct job *job_order_next(struct job_order_queue *queue);

/* Counts a started task of the job against its team's deficit. */
void job_order_charge(struct job_order_queue *queue, struct job *job);

#endif
