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
 * Which worker takes the next task. The set holds the workers of one service
 * that this dispatcher may start on; a policy picks among them.
 */

struct placement_worker {
	TAILQ_ENTRY(placement_worker) in_set;
	UT_hash_handle hh; /* in set->by_name */
	struct heap_node node; /* in set->idle or set->held, or in neither */
	struct placement_set *set;
	char *name;
	char *address;
	char *rack;
	uint32_t slots;
	/* Starts of ours without a result, those of unknown fate included. */
	uint32_t running;
	uint32_t foreign; /* tasks another dispatcher still runs there */
	uint64_t mean_us; /* observed run time per task, decaying; 0: none */
	struct breaker breaker;
	uint32_t refusals; /* in a row */
	uint64_t blocked_until_ms; /* after a refusal */
	uint64_t answered_ms; /* its last answer to a start; 0: none */
	bool leaving; /* gets no new work */
	/*
	 * Another dispatcher's since released_ms; used on for the jobs that
	 * were admitted here while this dispatcher has no other worker.
	 */
	bool released;
	uint64_t released_ms;
	uint32_t reported_running; /* to the other dispatcher */
	bool uncertain_use; /* its usage is to be requested */
	bool present; /* mark while a new configuration is taken over */
	/* placement_refresh's own. */
	bool is_idle;
	uint32_t counted_slots;
	uint32_t counted_own;
};

TAILQ_HEAD(placement_worker_list, placement_worker);

struct placement_set {
	struct placement_worker_list workers;
	struct placement_worker *by_name;
	uint32_t count;
	uint64_t mean_us; /* observed over all workers; 0: none */
	uint32_t usable_slots; /* as of the last placement_wake */
	uint32_t own_slots; /* of these, without the released workers' */
	struct heap *idle; /* usable with an idle slot, best first */
	struct heap *held; /* not usable before a time, soonest first */
};

struct placement_context {
	struct random_generator *random;
	uint64_t now_ms;
	bool breakers; /* heed them */
};

/* An empty set; mem owns its heaps. */
void placement_set_init(struct placement_set *set, TALLOC_CTX *mem);

/* Frees what the set holds beside its workers. */
void placement_set_clear(struct placement_set *set);

/* The worker has a name that no other one of the set has. */
void placement_set_add(struct placement_set *set,
		       struct placement_worker *worker);
void placement_set_remove(struct placement_worker *worker);

/* The worker of that name, NULL when there is none. */
struct placement_worker *placement_set_find(const struct placement_set *set,
					    const char *name);

/* Takes a change of the worker's fields over into the set's order. */
void placement_refresh(struct placement_worker *worker,
		       const struct placement_context *context);

/* Takes over what time alone has changed; to be called before a pick. */
void placement_wake(struct placement_set *set,
		    const struct placement_context *context);

/* Slots that tasks may be started on, idle or not. */
uint32_t placement_slots(const struct placement_set *set);

/*
 * A policy. shares_workers: every instance of a data centre starts on all of
 * its workers; otherwise each worker has one dispatcher. pick returns NULL
 * when the task has to wait.
 */
struct placement_ops {
	const char *name;
	bool shares_workers;
	bool every_member; /* each live instance is a dispatcher */
	struct placement_worker *(*pick)(
		struct placement_set *set,
		const struct placement_context *context);
};

/* The policy of that name: random, two_choices, partition, dispatcher. */
const struct placement_ops *placement_find(const char *name);

/* May the worker be sent a task at all now? */
bool placement_is_usable(const struct placement_worker *worker,
			 const struct placement_context *context);

/* Idle slots over the set's usable workers, without another dispatcher's. */
uint32_t placement_idle_slots(const struct placement_set *set,
			      const struct placement_context *context);

/* A refusal: the worker is left alone for a time that doubles each time. */
void placement_refused(struct placement_worker *worker,
		       const struct placement_context *context);

/*
 * May a failure open the worker's breaker? Not while open_percent of the set's
 * breakers are open, and not when the others fail about as often.
 */
bool placement_may_open(const struct placement_worker *worker,
			uint32_t open_percent);

/* Takes an observed run time into the means of the worker and of its set. */
void placement_observe(struct placement_worker *worker, uint64_t run_us);

/*
 * The owner of a key among members, by rendezvous hashing: index into
 * incarnations, of which there is at least one.
 */
size_t placement_rendezvous(const char *key, const uint64_t *incarnations,
			    size_t count);

#endif
