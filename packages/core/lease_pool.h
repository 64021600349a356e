#ifndef CORE_LEASE_POOL_H
#define CORE_LEASE_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "base/hash_table.h"
#include "core/step_job.h"

/*
 * Workers that run tasks under a lease, seen by the instance that leads: which
 * of them it holds, what runs on them, and what may still run there.
 *
 * A worker obeys the highest fencing token that it has seen. A hold renews the
 * lease of all that runs on the worker, waits for the next end and lists runs
 * and ends, so that the lists of a worker taken over are the truth about it. A
 * start without an answer may be carried out later; its run stays open until
 * the worker has confirmed a stop, lists its end, or must have let its lease
 * lapse. A task is never started again while one of its runs is open.
 *
 * Not for choosing jobs or workers: see core/lease_dispatch.h.
 */

struct lease_pool;

/* What a worker says of itself where it registers. */
struct pool_entry {
	const char *id;
	const char *address;
	const char *service;
	const char *data_centre;
	const char *const *labels; /* its kind and rack; NULL at the end */
	struct step_job_demand capacity;
	uint64_t born_ms; /* identifies this life; 0: not told */
	bool draining;
};

enum pool_hold_state {
	POOL_UNHELD, /* not yet answered under our fencing token */
	POOL_HELD,
	POOL_FOREIGN, /* it obeys another instance */
};

/* How a run ended, or that it never began. */
enum pool_end {
	POOL_DONE,
	POOL_FAILED, /* by the task's own fault or the worker's */
	POOL_STOPPED,
	POOL_LAPSED, /* with its lease, or with the worker's life */
	POOL_NO_ROOM, /* refused: does not fit */
	POOL_OLD, /* refused: the worker knows as high a run number */
	POOL_NOT_RUN, /* refused, or proof that it never began */
	POOL_END_COUNT,
};

enum pool_run_state {
	POOL_STARTING, /* sent, without an answer so far */
	POOL_ACTIVE,
	POOL_UNCONFIRMED, /* the start's answer is lost */
	POOL_STOPPING,
};

struct pool_worker {
	UT_hash_handle hh;
	TAILQ_ENTRY(pool_worker) entry;
	char *id;
	char *address;
	char *service;
	char *data_centre;
	char **labels; /* NULL at the end */
	struct step_job_demand capacity;
	struct step_job_demand used; /* by open runs */
	uint64_t born_ms;
	bool draining;
	bool listed; /* registered */
	uint64_t unregistered_ms; /* when its registration went */
	enum pool_hold_state state;
	uint64_t foreign_ms; /* since when it obeys another */
	bool hold_pending; /* a hold is under way */
	uint64_t hold_serial;
	uint64_t hold_sent_ms;
	uint64_t ends_read; /* highest end that was read */
	uint64_t ends_acked; /* highest end told to be seen */
	uint64_t clock_ms; /* the worker's, as of clock_at_ms; 0: unknown */
	uint64_t clock_at_ms;
	uint64_t lease_until_ms; /* whatever we started has ended by then */
	uint32_t failures; /* holds without an answer, in a row */
	uint64_t retry_ms; /* no hold before */
	uint64_t answered_ms;
	uint64_t probed_ms; /* when the last answered hold was sent */
	uint64_t blocked_until_ms; /* no start before */
	double speed; /* estimate / observed run time, decaying */
	uint32_t failed_streak; /* failed ends of unlike jobs in a row */
	uint32_t open_rounds; /* times the breaker opened since a success */
	char failed_job[STEP_JOB_ID_BYTES];
	LIST_HEAD(, pool_run) runs;
	uint32_t run_count;
};

struct pool_run {
	LIST_ENTRY(pool_run) in_worker;
	UT_hash_handle hh; /* by token */
	uint64_t token; /* of its calls */
	struct pool_worker *worker;
	void *task; /* the dispatcher's; NULL: nobody wants it any more */
	char name[STEP_JOB_TASK_BYTES];
	char job[STEP_JOB_ID_BYTES];
	uint32_t number;
	enum pool_run_state state;
	struct step_job_demand demand;
	uint32_t estimate_ms;
	uint64_t sent_ms;
	uint64_t answered_ms; /* when the start was acknowledged */
	uint64_t close_at_ms; /* over for certain by then; 0: not known */
	uint64_t stop_at_ms; /* an orphan is stopped then; 0: not due */
	uint64_t stop_retry_ms;
	uint64_t stopped_ms; /* when a stop was acknowledged; 0: not yet */
	uint64_t listed_serial; /* the last hold whose lists had it */
	uint32_t percent; /* done, as last listed */
	bool started_here; /* started by this leader; its run time counts */
};

TAILQ_HEAD(pool_worker_list, pool_worker);

/* Calls to workers. */

struct pool_hold_call {
	const char *worker;
	const char *address;
	const char *data_centre;
	uint64_t serial; /* echoed with the answer */
	uint64_t fence;
	uint64_t ends_read;
	uint64_t deadline_ms; /* on the worker's clock; 0: renews nothing */
	uint32_t wait_ms; /* for an end */
	uint32_t timeout_ms;
};

struct pool_start_call {
	uint64_t token;
	const char *worker;
	const char *address;
	const char *data_centre;
	const char *task;
	uint32_t number;
	const char *text;
	uint64_t deadline_ms;
	uint64_t fence;
	uint32_t timeout_ms;
};

struct pool_stop_call {
	uint64_t token;
	const char *worker;
	const char *address;
	const char *data_centre;
	const char *task;
	uint32_t number;
	uint64_t fence;
	uint32_t timeout_ms;
};

struct pool_ports {
	void *ctx;
	void (*hold)(void *ctx, const struct pool_hold_call *call);
	void (*start)(void *ctx, const struct pool_start_call *call);
	void (*stop)(void *ctx, const struct pool_stop_call *call);
};

enum pool_answer {
	POOL_OK,
	POOL_FENCED, /* a higher fencing token rules */
	POOL_RUN_OLD,
	POOL_LATE, /* its deadline has passed at the worker */
	POOL_ROOM,
	POOL_INVALID, /* the worker cannot read the order */
	POOL_UNHEALTHY, /* nothing was done */
	POOL_OTHER_LIFE, /* the worker has started anew */
	POOL_NOT_SENT, /* no connection */
	POOL_NO_ANSWER, /* it may be carried out, also later */
};

struct pool_reply {
	enum pool_answer answer;
	uint64_t clock_ms; /* the worker's; 0: not told */
	uint64_t born_ms; /* 0: not told */
};

struct pool_listed_run {
	const char *task;
	uint32_t number;
	uint32_t percent;
};

struct pool_listed_end {
	uint64_t number_of_end;
	const char *task;
	uint32_t number;
	enum pool_end how;
};

struct pool_lists {
	const struct pool_listed_run *running;
	size_t running_count;
	const struct pool_listed_end *ended;
	size_t ended_count;
};

struct pool_options {
	const struct pool_ports *ports;
	uint32_t lease_ms; /* longest lease of a worker */
	uint32_t stop_ms; /* longest time a stop takes */
	/*
	 * A run with a task is over: the task may start again. It must not free
	 * runs; it may stop others.
	 */
	void (*closed)(void *ctx, struct pool_run *run, enum pool_end how,
		       uint64_t now_ms);
	/*
	 * A run that was found on a worker taken over. Gives it a task, or
	 * returns false when its job is not known; one that is known and does
	 * not want it has it stopped.
	 */
	bool (*found_run)(void *ctx, struct pool_run *run);
	/* The same for a task that was found to have ended as done. */
	bool (*found_done)(void *ctx, const char *job, const char *task,
			   uint64_t now_ms);
	void *ctx;
};

struct lease_pool *pool_create(TALLOC_CTX *mem,
			       const struct pool_options *options);

/*
 * A worker that is cut off goes on under another leader when its registration
 * has lapsed. An instance that has read the list for less than this time, which
 * is longer than cuts last, may not know all such workers.
 */
#define POOL_DOUBT_MS 30000

/* The list of registrations was read in whole for the first time. */
void pool_list_read(struct lease_pool *pool, uint64_t now_ms);

/* The list is no longer read; it counts as read anew when it is. */
void pool_list_dropped(struct lease_pool *pool);

/* Registrations, whether this instance leads or not. */
void pool_take_entry(struct lease_pool *pool, const struct pool_entry *entry,
		     uint64_t now_ms);
void pool_entry_gone(struct lease_pool *pool, const char *id, uint64_t now_ms);

/* Begins to take all workers over; fence is higher than any before. */
void pool_lead(struct lease_pool *pool, uint64_t fence, uint64_t now_ms);

/* Forgets all runs: another instance leads, or will. */
void pool_release(struct lease_pool *pool);

bool pool_leads(const struct lease_pool *pool);

/*
 * Has each worker answered a look since then under our fencing token? One that
 * does not answer now, or whose registration has lapsed, may have been taken
 * over by another instance.
 */
bool pool_all_held(const struct lease_pool *pool, uint64_t since_ms,
		   uint64_t now_ms);

/*
 * Has a registered worker not answered yet since this instance leads, or only
 * just told that it obeys another one?
 */
bool pool_has_unanswered(const struct lease_pool *pool, uint64_t now_ms);

/*
 * Is a first answer awaited, or has a worker just told that it obeys another
 * instance? How many workers there are to use is not known then.
 */
bool pool_is_settling(const struct lease_pool *pool, uint64_t now_ms);

/*
 * Looks at all workers, unless that was done just now. Returns the time from
 * which pool_all_held has to count: a worker that started anew has forgotten
 * our fencing token, so that another leader may have used it since its last
 * look.
 */
uint64_t pool_probe_all(struct lease_pool *pool, uint64_t now_ms);

/* Longest time for which a worker has obeyed another instance; 0: none does. */
uint64_t pool_foreign_ms(const struct lease_pool *pool, uint64_t now_ms);

/* Starts a run on a held worker. */
struct pool_run *pool_start(struct lease_pool *pool, struct pool_worker *worker,
			    const struct pool_run *run, const char *text,
			    uint64_t now_ms);

/* Stops a run that its task wants no more; closed is not called for it. */
void pool_abandon(struct lease_pool *pool, struct pool_run *run,
		  uint64_t now_ms);

/* Stops a run; closed follows once it is over. */
void pool_stop(struct lease_pool *pool, struct pool_run *run, uint64_t now_ms);

/* A run takes far too long: counts against its worker as a failed end does. */
void pool_note_hung(struct pool_run *run, uint64_t now_ms);

/* Offers what was found of a job that has become known since. */
void pool_offer_found(struct lease_pool *pool, const char *job,
		      uint64_t now_ms);

/* Answers to calls. */
void pool_start_answered(struct lease_pool *pool, uint64_t token,
			 const struct pool_reply *reply, uint64_t now_ms);
void pool_stop_answered(struct lease_pool *pool, uint64_t token,
			const struct pool_reply *reply, uint64_t now_ms);
void pool_hold_answered(struct lease_pool *pool, const char *worker,
			uint64_t serial, const struct pool_reply *reply,
			const struct pool_lists *lists, uint64_t now_ms);

/* Renews, retries and closes what is due; every few ms. */
void pool_tick(struct lease_pool *pool, uint64_t now_ms);

const struct pool_worker_list *pool_workers(const struct lease_pool *pool);

/* May a task be started on the worker now? */
bool pool_is_usable(const struct pool_worker *worker, uint64_t now_ms);

/* Was it asked just now, for the first time since this instance leads? */
bool pool_awaits_first_answer(const struct pool_worker *worker);

/* Does a task fit beside what runs there? */
bool pool_fits(const struct pool_worker *worker,
	       const struct step_job_demand *demand);

/* A word for an end, for logs. */
const char *pool_end_text(enum pool_end how);

#endif
