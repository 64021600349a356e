#ifndef CORE_LEASE_PLACE_H
#define CORE_LEASE_PLACE_H

#include "core/lease_pool.h"

/*
 * Chooses the leased worker for the next task. A task reserves processor and
 * memory of its worker, so that placement is bin packing. Workers differ in
 * speed, which is estimated from the run times of ended tasks.
 */

struct place_request {
	const char *service;
	const struct job_step *step;
	double far_factor; /* multiple of run time outside the step's rack */
	const char *avoid; /* worker where the task failed last, or NULL */
	uint64_t limit_ms; /* for the expected run time */
	/* Returns the step's open tasks on a worker; for max_per_worker. */
	uint32_t (*count)(void *ctx, const struct pool_worker *worker);
	void *ctx;
	uint64_t now_ms;
};

struct place_ops {
	const char *name;
	/* Returns true if a is better than b; both have room for the task. */
	bool (*is_better)(const struct place_request *request,
			  const struct pool_slot *a, const struct pool_slot *b);
	bool by_speed; /* a worker of a lower speed is never better */
};

/* Returns the policy fastest, best_fit or first; NULL for another name. */
const struct place_ops *place_find(const char *name);

/*
 * Returns the worker to start a task on; NULL if none has room. Returns the
 * worker to avoid only if no other one has room.
 */
struct pool_worker *place_pick(const struct place_ops *ops,
			       const struct lease_pool *pool,
			       const struct place_request *request);

/*
 * Returns true if the task could start on the worker if that ran nothing else.
 */
bool place_suits_empty(const struct place_request *request,
		       const struct pool_slot *slot);

/*
 * Returns true if a registered worker of the service is large enough for a task
 * of the step and has its label.
 */
bool place_may_ever_fit(const struct pool_worker_list *workers,
			const char *service, const struct job_step *step);

#endif
