#ifndef CORE_LEASE_DISPATCH_H
#define CORE_LEASE_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "core/lease_place.h"
#include "core/lease_pool.h"
#include "core/step_job.h"

/*
 * The leader's jobs: which wait, which tasks run, and how each job ends. One
 * queue for all leased workers; jobs that cannot be served are refused before
 * anything starts.
 *
 * A job is known by the caller's id. A second submission under an id joins the
 * first; the answer goes to all who wait for it.
 */

struct lease_dispatch;
struct lease_job;

enum lease_end {
	LEASE_COMPLETED,
	LEASE_FAILED,
	LEASE_REFUSED, /* nothing of it has started, nor ever will */
	LEASE_GIVEN_UP, /* it may have run in part */
	LEASE_END_COUNT,
};

enum lease_reason {
	LEASE_NO_REASON,
	LEASE_OVERLOADED, /* its turn would come too late */
	LEASE_DEADLINE, /* the caller's time is up */
	LEASE_NEVER_FITS, /* no registered worker could run a step */
	LEASE_NO_WORKERS, /* none of the service is in reach */
	LEASE_ATTEMPTS, /* a task has failed as often as is allowed */
	LEASE_NO_LEADER,
	LEASE_STOPPING, /* the entry instance ends before it could answer */
	LEASE_REASON_COUNT,
};

/* Who waits for a job: an entry instance and its request. */
struct lease_waiter {
	uint64_t entry;
	uint64_t request;
};

struct lease_submission {
	struct lease_waiter waiter;
	const char *id;
	const char *queue;
	const char *service;
	uint32_t priority; /* 0 comes first */
	uint32_t attempts;
	uint64_t objective_ms; /* from the request, not from now */
	uint64_t remaining_ms; /* until the caller stops waiting */
	uint64_t age_ms; /* since the caller's request */
	uint32_t handed; /* earlier leaders that had it */
	uint64_t closed_in_ms; /* until these have surely given it up */
	const char *text;
	const struct job_step *steps;
	uint32_t step_count;
};

struct lease_answer {
	struct lease_waiter waiter;
	const char *id;
	enum lease_end end;
	enum lease_reason reason;
	uint32_t retry_after_ms; /* for LEASE_REFUSED */
};

/* Order of waiting jobs; true when a goes before b. */
struct lease_order {
	const char *name;
	bool (*is_before)(const struct lease_job *a, const struct lease_job *b);
};

struct lease_options {
	struct pool_ports ports; /* to the workers */
	const struct lease_order *order;
	const struct place_ops *place;
	uint32_t lease_ms;
	uint32_t stop_ms;
	double far_factor;
	bool admission; /* refuse what would be far too late */
	uint64_t seed; /* spreads Retry-After */
	void (*answer)(void *ctx, const struct lease_answer *answer);
	void *ctx;
};

/* Copies the options; owned by mem. */
struct lease_dispatch *lease_create(TALLOC_CTX *mem,
				    const struct lease_options *options);

/* The policy of that name; NULL for another. */
const struct lease_order *lease_find_order(const char *name);

/* Its workers. */
struct lease_pool *lease_pool(struct lease_dispatch *dispatch);

/* Begins or ends to lead; at the end all jobs are forgotten unanswered. */
void lease_lead(struct lease_dispatch *dispatch, uint64_t fence,
		uint64_t now_ms);
void lease_release(struct lease_dispatch *dispatch);

/* Answers at once or later, by the answer option. */
void lease_submit(struct lease_dispatch *dispatch,
		  const struct lease_submission *submission, uint64_t now_ms);

/* The caller has left: the job is stopped unless another waits for it. */
void lease_cancel(struct lease_dispatch *dispatch,
		  const struct lease_waiter *waiter, const char *id,
		  uint64_t now_ms);

/* An entry that lost its link has connected and submitted again by then. */
#define LEASE_ABANDON_MS 900

/*
 * An entry instance is lost: its jobs are stopped, or where only its link is
 * down (may_return), after the time it takes to connect and submit them again.
 */
void lease_entry_lost(struct lease_dispatch *dispatch, uint64_t entry,
		      bool may_return, uint64_t now_ms);

/* Nothing starts before that time: the process was paused. */
void lease_hold_back(struct lease_dispatch *dispatch, uint64_t until_ms);

/* Starts what can start; to be called after all that may free a worker. */
void lease_run(struct lease_dispatch *dispatch, uint64_t now_ms);

/* Ends what is over and calls pool_tick. */
void lease_tick(struct lease_dispatch *dispatch, uint64_t now_ms);

/* Calls visit with the number of jobs a queue has of which nothing began. */
void lease_each_waiting(struct lease_dispatch *dispatch,
			void (*visit)(void *ctx, const char *queue,
				      uint32_t waiting),
			void *ctx);

struct lease_load {
	uint32_t jobs;
	uint32_t waiting_tasks;
	uint32_t running_tasks;
};

struct lease_load lease_load(const struct lease_dispatch *dispatch);

/* Words for logs and answers. */
const char *lease_end_text(enum lease_end end);
const char *lease_reason_text(enum lease_reason reason);

#endif
