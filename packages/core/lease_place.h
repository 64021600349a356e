#ifndef CORE_LEASE_PLACE_H
#define CORE_LEASE_PLACE_H

#include "core/lease_pool.h"

/*
 * Which leased worker takes the next task. A task takes processor and memory
 * of a worker, so that placement is packing; workers differ in speed, which is
 * learned from ends.
 */

struct place_request {
	const char *service;
	const struct job_step *step;
	double far_factor; /* run time on another rack than the step's */
	const char *avoid; /* worker where the task failed last, or NULL */
	/* Counts the step's open tasks on a worker; for max_per_worker. */
	uint32_t (*count)(void *ctx, const struct pool_worker *worker);
	void *ctx;
	uint64_t now_ms;
};

struct place_ops {
	const char *name;
	/* Compares two workers with room; true when a is better than b. */
	bool (*is_better)(const struct place_request *request,
			  const struct pool_worker *a,
			  const struct pool_worker *b);
};

/* The policy of that name: fastest, best_fit, first; NULL for another. */
const struct place_ops *place_find(const char *name);

/* The worker to start on; NULL when none has room. */
struct pool_worker *place_pick(const struct place_ops *ops,
			       const struct pool_worker_list *workers,
			       const struct place_request *request);

/* Could the step ever run on a registered worker of the service? */
bool place_may_ever_fit(const struct pool_worker_list *workers,
			const char *service, const struct job_step *step);

/* Expected run time of a task of the step on the worker. */
uint64_t place_expected_ms(const struct place_request *request,
			   const struct pool_worker *worker);

#endif
