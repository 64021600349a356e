#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "base/hash_table.h"
#include "base/heap.h"
#include "base/random.h"
#include "core/breaker.h"

/*
 * Chooses the worker for the next task. A set contains the workers of one
 * service on which this dispatcher may start tasks; a policy picks among them.
 */

struct placement_worker {
	TAILQ_ENTRY(placement_worker) in_set;
	UT_hash_handle hh; /* in set->by_name */
	struct heap_node node; /* in set->idle, set->blocked or neither */
	struct placement_set *set;
	char *name;
	char *address;
	char *rack;
	uint32_t slots;
	/* This dispatcher's starts without a result or of unknown fate. */
	uint32_t running;
	uint32_t foreign_tasks; /* tasks of other dispatchers on the worker */
	uint64_t mean_us; /* decaying mean of tasks' run times; 0: none */
	struct breaker breaker;
	uint32_t refusals; /* consecutive */
	uint64_t blocked_until_ms; /* after a refusal */
	uint64_t answered_ms; /* time of its last answer to a start; 0: none */
	bool leaving; /* gets no new tasks */
	/*
	 * Assigned to another dispatcher since released_ms. Still runs jobs
	 * that were admitted here, if this dispatcher has no other worker.
	 */
	bool released;
	uint64_t released_ms;
	uint32_t reported_running; /* to the other dispatcher */
	bool usage_uncertain; /* its usage is to be requested */
	bool present; /* in the configuration, and not yet to be removed */
	/* Private to placement_refresh. */
	bool is_idle;
	uint32_t counted_slots;
	uint32_t counted_own_slots;
};

TAILQ_HEAD(placement_worker_list, placement_worker);

struct placement_set {
	struct placement_worker_list workers;
	struct placement_worker *by_name;
	uint32_t count;
	uint64_t mean_us; /* decaying mean over all workers; 0: none */
	uint32_t usable_slots; /* as of the last placement_refresh_due */
	uint32_t own_slots; /* of these, those of workers not released */
	struct heap *idle; /* usable with an idle slot, best first */
	struct heap *blocked; /* not usable before a time, soonest first */
};

struct placement_context {
	struct random_generator *random;
	uint64_t now_ms;
	bool breakers; /* false: ignore them */
};

/* Makes an empty set; mem owns its heaps. */
void placement_set_init(struct placement_set *set, TALLOC_CTX *mem);

/* Frees the set's hash table; the workers stay allocated. */
void placement_set_clear(struct placement_set *set);

/* Adds a worker, whose name must be unique in the set. */
void placement_set_add(struct placement_set *set,
		       struct placement_worker *worker);
void placement_set_remove(struct placement_worker *worker);

/* The worker of that name; NULL if there is none. */
struct placement_worker *placement_set_find(const struct placement_set *set,
					    const char *name);

/* Updates the set's heaps and sums after a change of the worker's fields. */
void placement_refresh(struct placement_worker *worker,
		       const struct placement_context *context);

/*
 * Refreshes workers whose block or backoff has ended. To be called before a
 * pick.
 */
void placement_refresh_due(struct placement_set *set,
			   const struct placement_context *context);

/*
 * Slots, idle or not, of the usable own workers; without any, of the usable
 * released ones.
 */
uint32_t placement_slots(const struct placement_set *set);

/*
 * A policy. If shares_workers is set, every instance of a data centre starts
 * tasks on all of its workers; otherwise each worker has one dispatcher. pick
 * returns NULL if the task has to wait.
 */
struct placement_ops {
	const char *name;
	bool shares_workers;
	bool every_member; /* each live instance is a dispatcher */
	struct placement_worker *(*pick)(
		struct placement_set *set,
		const struct placement_context *context);
};

/*
 * The policy named random, two_choices, partition or dispatcher; NULL for any
 * other name.
 */
const struct placement_ops *placement_find(const char *name);

/* Returns true if a task may be sent to the worker now, given a slot. */
bool placement_is_usable(const struct placement_worker *worker,
			 const struct placement_context *context);

/* Idle slots of the usable workers that are not released. */
uint32_t placement_idle_slots(const struct placement_set *set,
			      const struct placement_context *context);

/*
 * Records that the worker refused a task: it gets no tasks for a jittered time,
 * which doubles with each consecutive refusal.
 */
void placement_refused(struct placement_worker *worker,
		       const struct placement_context *context);

/*
 * Returns true if a failure may open the worker's breaker: no more than
 * open_percent of the set's breakers are open then, and the worker fails
 * clearly more often than the others.
 */
bool placement_may_open(const struct placement_worker *worker,
			uint32_t open_percent);

/* Adds an observed run time to the means of the worker and of its set. */
void placement_observe(struct placement_worker *worker, uint64_t run_us);

/*
 * Returns the index of the member that owns a key, by rendezvous hashing. count
 * must be at least 1.
 */
size_t placement_rendezvous(const char *key, const uint64_t *incarnations,
			    size_t count);

#endif
