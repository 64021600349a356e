#ifndef CORE_LEASE_DISPATCH_H
#define CORE_LEASE_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "core/crash_record.h"
#include "core/failed_runs.h"
#include "core/lease_place.h"
#include "core/lease_pool.h"
#include "core/open_starts.h"
#include "core/step_job.h"
#include "core/task_places.h"

/*
 * The leader's job dispatcher: orders waiting jobs, starts their tasks on
 * leased workers and decides how each job ends. All leased workers share one
 * queue; a job that cannot be served in time is refused before any of its tasks
 * starts.
 *
 * A job is identified by the caller's id. A second submission with the same id
 * joins the first; the answer goes to every waiter of the job.
 */

struct lease_dispatch;
struct lease_job;

/* An answer later than this multiple of the objective is useless to callers. */
#define LEASE_MAX_OBJECTIVE_FACTOR 3

enum lease_end {
	LEASE_COMPLETED,
	LEASE_FAILED,
	LEASE_REFUSED, /* no task has started, nor ever will */
	LEASE_GIVEN_UP, /* some of its tasks may have run */
	LEASE_END_COUNT,
};

enum lease_reason {
	LEASE_NO_REASON,
	LEASE_OVERLOADED, /* the job would end too late to be of use */
	LEASE_DEADLINE, /* the caller's deadline has passed */
	LEASE_NEVER_FITS, /* a step is too large for any registered worker */
	LEASE_NO_WORKERS, /* no worker of the service is usable */
	LEASE_ATTEMPTS, /* a task has failed as often as the queue allows */
	LEASE_NO_LEADER,
	LEASE_STOPPING, /* the entry instance shuts down before the answer */
	LEASE_CRASHES, /* a task has crashed the workers that started it */
	LEASE_REASON_COUNT,
};

/*
 * A waiter for a job's answer: the entry instance, which accepted the caller's
 * request, by its incarnation, and its number of the request.
 */
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
	uint64_t objective_ms; /* from the caller's request, not from now */
	uint64_t remaining_ms; /* from now until the caller's deadline */
	uint64_t age_ms; /* since the caller's request */
	uint32_t handed; /* number of earlier leaders that had the job */
	uint64_t closed_in_ms; /* until none of their runs can be open */
	uint64_t waited_ms; /* its caller has waited for it then or later */
	uint64_t no_start_in_ms; /* until none of them starts a task of it */
	struct failed_runs failed; /* under these leaders, as far as known */
	struct open_starts open; /* under these leaders */
	struct task_places places; /* under these leaders */
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

/* Runs of a waiter's job that have ended as failed, to be handed on with it. */
struct lease_failures {
	struct lease_waiter waiter;
	const char *id;
	struct failed_runs runs; /* the entry may have some of them */
};

/*
 * A start of a waiter's job, or with over_ms 0 that its outcome is known or its
 * run has ended.
 */
struct lease_start {
	struct lease_waiter waiter;
	const char *id;
	struct open_start row;
};

/* Order of waiting jobs; is_before returns true if a starts before b. */
struct lease_order {
	const char *name;
	bool (*is_before)(const struct lease_job *a, const struct lease_job *b);
};

struct lease_options {
	struct pool_ports ports; /* send calls to workers */
	const struct lease_order *order;
	const struct place_ops *place;
	uint32_t lease_ms; /* longest lease of a worker */
	uint32_t stop_ms; /* longest time a worker takes to stop a run */
	double far_factor; /* multiple of run time outside a step's rack */
	bool admission; /* refuse jobs that would end too late */
	uint64_t seed; /* of the random part of retry_after_ms */
	void (*answer)(void *ctx, const struct lease_answer *answer);
	/* Sends failed runs to a waiter's entry. NULL: none are sent. */
	void (*failed)(void *ctx, const struct lease_failures *failures);
	/*
	 * Notes a start for a waiter's entry; send_starts sends these notes.
	 * NULL: none are sent.
	 */
	void (*start_noted)(void *ctx, const struct lease_start *start);
	void (*send_starts)(void *ctx);
	/*
	 * Reads what has changed in the list of workers; then
	 * pool_note_list_current is called. NULL: the list is always current.
	 */
	void (*refresh_workers)(void *ctx);
	/*
	 * Returns a time then or after which the callers of an entry instance
	 * waited for those of its jobs that it has not cancelled. NULL: they
	 * wait now.
	 */
	uint64_t (*last_waited_ms)(void *ctx, uint64_t entry, uint64_t now_ms);
	void *ctx;
};

/* Creates a dispatcher, owned by mem. Copies the options. */
struct lease_dispatch *lease_create(TALLOC_CTX *mem,
				    const struct lease_options *options);

/* Returns the order with that name; NULL if there is none. */
const struct lease_order *lease_find_order(const char *name);

/* Returns the dispatcher's workers. */
struct lease_pool *lease_pool(struct lease_dispatch *dispatch);

/*
 * lease_lead makes this instance the leader, with a fencing token higher than
 * any before. lease_release ends that and drops all jobs without an answer.
 */
void lease_lead(struct lease_dispatch *dispatch, uint64_t fence,
		uint64_t now_ms);
void lease_release(struct lease_dispatch *dispatch);

/*
 * Admits or refuses a job, or adds the waiter to a job with the same id. The
 * answer option is called with the result, now or later.
 */
void lease_submit(struct lease_dispatch *dispatch,
		  const struct lease_submission *submission, uint64_t now_ms);

/* Removes a waiter; stops the job if no other waiter is left. */
void lease_cancel(struct lease_dispatch *dispatch,
		  const struct lease_waiter *waiter, const char *id,
		  uint64_t now_ms);

/*
 * An entry instance that was paused for a moment has resubmitted its jobs by
 * then. If it has not, their stops are acknowledged before the lease has lapsed
 * that covers them and other runs.
 */
#define LEASE_ABANDON_MS 400
/*
 * An entry instance whose link broke has opened it again by then. If it has
 * ended, its callers send their jobs again, to any instance and perhaps another
 * leader, from LEASE_RESEND_MS after the loss on: by then the lease of each run
 * has lapsed.
 */
#define LEASE_RELINK_MS 200
#define LEASE_RESEND_MS 1300

/*
 * Removes all waiters of an entry instance that is lost since lost_ms, which
 * may have passed. Jobs without another waiter are given up keep_ms after that,
 * LEASE_ABANDON_MS at most: the entry tells the next leader so. An entry that
 * resubmits one later learns that it was given up: its tasks may have run, and
 * run again only for a caller that sends the job again.
 */
void lease_remove_entry(struct lease_dispatch *dispatch, uint64_t entry,
			uint64_t lost_ms, uint64_t keep_ms);

/*
 * Gives up the jobs of lost entries that are due. lease_tick does so, too; to
 * be called first after a pause, before an answer to a hold renews a lease.
 */
void lease_abandon_due(struct lease_dispatch *dispatch, uint64_t now_ms);

/*
 * Notes that a job which its caller may send again can have open runs of other
 * leaders until over_ms.
 */
void lease_note_open_runs(struct lease_dispatch *dispatch, const char *id,
			  uint64_t over_ms, uint64_t now_ms);

/*
 * The tasks of a job that has ended at an entry wait for starts under earlier
 * leaders, if its caller sends it again.
 */
void lease_note_open_starts(struct lease_dispatch *dispatch, uint64_t entry,
			    const char *id, const struct open_starts *starts,
			    uint64_t now_ms);

/* Starts no task before until_ms; called after the process was paused. */
void lease_defer_starts(struct lease_dispatch *dispatch, uint64_t until_ms);

/* Starts waiting tasks; call it after any event that may free a worker. */
void lease_run(struct lease_dispatch *dispatch, uint64_t now_ms);

/* Ends jobs that are past their time, stops hung runs and calls pool_tick. */
void lease_tick(struct lease_dispatch *dispatch, uint64_t now_ms);

/*
 * Calls visit for each job of which no task has begun, with its queue and a
 * count of 1.
 */
void lease_each_waiting(struct lease_dispatch *dispatch,
			void (*visit)(void *ctx, const char *queue,
				      uint32_t waiting),
			void *ctx);

/* Returns the records of tasks that crashed workers. */
struct crash_records *lease_crashes(struct lease_dispatch *dispatch);

/*
 * Returns the runs that are to be announced to members which may lead next, as
 * unconfirmed crashes; to be cleared then.
 */
struct crash_records *lease_crashes_ahead(struct lease_dispatch *dispatch);

/* Judges the tasks of open jobs anew, after another member changed a record. */
void lease_apply_crashes(struct lease_dispatch *dispatch, uint64_t now_ms);

struct lease_load {
	uint32_t jobs;
	uint32_t waiting_tasks;
	uint32_t running_tasks;
};

struct lease_load lease_load(const struct lease_dispatch *dispatch);

/* Stable words for logs and answers. */
const char *lease_end_text(enum lease_end end);
const char *lease_reason_text(enum lease_reason reason);

#endif
