#ifndef CORE_LEASE_POOL_STATE_H
#define CORE_LEASE_POOL_STATE_H

#include "core/late_task.h"
#include "core/lease_pool.h"

/*
 * The state that the parts of a pool of leased workers share; for four files
 * only. lease_pool.c keeps registrations and checks timeouts, lease_pool_hold.c
 * sends holds and applies the lists in their answers, lease_pool_run.c starts,
 * stops and closes runs, lease_pool_order.c keeps orders without an answer.
 */

/*
 * Unanswered holds in a row after which no task starts on a worker. A single
 * lost answer proves nothing.
 */
#define POOL_LOST_HOLDS 2
#define POOL_FOREIGN_RETRY_MS 1000
#define POOL_LAPSE_SLACK_MS 30 /* for a late timer and a message in flight */

/* An end as done or failed that was found on a worker. */
struct found_end {
	LIST_ENTRY(found_end) entry;
	char task[STEP_JOB_TASK_BYTES];
	uint32_t number;
	enum pool_end how;
	uint64_t read_ms;
};

/* Ends that were found of a job which has not been submitted to us yet. */
struct found_job {
	UT_hash_handle hh;
	char job[STEP_JOB_ID_BYTES];
	uint64_t until_ms; /* in the order of the table */
	LIST_HEAD(, found_end) ends;
};

/*
 * A start without an answer whose run was closed, as the worker's process would
 * refuse it. A later process might carry it out.
 */
struct late_start {
	LIST_ENTRY(late_start) entry;
	struct pool_run run; /* as it was closed */
};

/* A start or a hold that the worker has not answered. */
struct pool_order {
	UT_hash_handle hh;
	TAILQ_ENTRY(pool_order) entry; /* of its worker, the oldest one first */
	struct pool_worker *worker;
	uint64_t number; /* the run's token or the hold's serial */
	uint64_t fence;
	uint64_t sent_ms;
	uint64_t due_ms; /* it counts as given up then */
	bool grants; /* a lease */
	bool is_lost; /* it was given up, and may be carried out late */
};

struct lease_pool {
	struct pool_options options;
	const struct pool_ports *ports;
	struct pool_worker *by_id;
	struct pool_worker *by_key;
	struct pool_worker_list workers;
	struct pool_run *by_token;
	struct found_job *found;
	struct late_tasks *late_tasks;
	struct pool_order *orders; /* by number */
	LIST_HEAD(, pool_run) taskless; /* runs that no task needs */
	struct pool_slot *slots; /* one for each worker */
	size_t slot_count;
	uint64_t room_version;
	uint64_t next_number; /* of a run's token or a hold's serial */
	uint64_t fence; /* 0: this instance does not lead */
	uint64_t probed_ms; /* when all workers were last probed */
	uint64_t highest_fence; /* that was used under this claim */
	uint64_t probe_due_ms; /* of the next such probe; 0: none */
	uint64_t first_lists_until_ms; /* tasks wait no longer; 0: no wait */
	uint64_t ticked_ms;
	/* Moving averages over starts; the first two over answered ones. */
	double mean_answer_ms;
	double answer_deviation_ms; /* mean absolute deviation */
	double unanswered_share;
	/* All changes of registrations were read since; 0: not read. */
	uint64_t list_followed_ms;
	uint64_t list_current_ms; /* all changes up to then were applied */
};

/* lease_pool.c */

struct pool_worker *pool_find_worker(struct lease_pool *pool, const char *id);

/* Returns the fencing token of orders to a worker. */
uint64_t pool_fence_of(const struct lease_pool *pool,
		       const struct pool_worker *worker);

/* Gives later orders to a worker a higher token than all before. */
void pool_raise_fence(struct lease_pool *pool, struct pool_worker *worker);

/* To be called when the worker's speed, capacity or reservations change. */
void pool_update_slot(struct lease_pool *pool, struct pool_worker *worker);

enum pool_life { POOL_LIFE_SAME, POOL_LIFE_NEWER, POOL_LIFE_OLDER };

/*
 * Applies the clock and the start time in an answer to a call that was sent at
 * sent_ms. Returns whether it comes from the worker's known process, from a
 * newer one or from an older one. Does not apply an older one's answer; resets
 * the worker for a newer one's.
 */
enum pool_life pool_apply_reply(struct lease_pool *pool,
				struct pool_worker *worker,
				const struct pool_reply *reply,
				uint64_t sent_ms, uint64_t now_ms);

/*
 * Resets a worker whose process has ended: its runs but those that are
 * unlocated, clock, hold and breaker. It gets no task until a new process has
 * registered its capacity.
 */
void pool_reset_worker(struct lease_pool *pool, struct pool_worker *worker,
		       uint64_t now_ms);

/*
 * Marks a worker that obeys another instance. That one renews the lease of all
 * runs, also of ours, and may find them late: they stay open until the worker
 * is held again and lists what runs.
 */
void pool_mark_foreign(struct lease_pool *pool, struct pool_worker *worker,
		       uint64_t now_ms);

/* lease_pool_hold.c */

/*
 * Returns a lower bound of the worker's clock in ms: the time since its last
 * answer is reduced by the largest drift.
 */
uint64_t pool_worker_clock(const struct pool_worker *worker, uint64_t now_ms);

/* Returns our time by which a lease granted now has lapsed on the worker. */
uint64_t pool_lapse_ms(const struct lease_pool *pool, uint64_t now_ms);

/* A lease that covers all runs on a worker. */
struct pool_grant {
	uint64_t deadline_ms; /* on the worker's clock; 0: no lease */
	uint64_t lapsed_ms; /* our time by which it has lapsed there */
	uint64_t held_until_ms; /* our time until which it has not */
};

/*
 * Returns the longest lease that may be granted now, which lapses by the limit
 * of each run on the worker.
 */
struct pool_grant pool_grant_lease(const struct lease_pool *pool,
				   const struct pool_worker *worker,
				   uint64_t now_ms);

/* Notes that a lease may have been granted, or one that lapses later before. */
void pool_note_grant(struct pool_worker *worker,
		     const struct pool_grant *grant);

/* Sends a hold; the worker waits for up to wait_ms for the end of a run. */
void pool_send_hold(struct lease_pool *pool, struct pool_worker *worker,
		    uint32_t wait_ms, uint64_t now_ms);

/*
 * Returns true if the lease of the worker's runs may be renewed: all of them
 * are known, and none is unwanted.
 */
bool pool_may_renew(const struct pool_worker *worker);

/* Renews the lease if the pending hold did not and it may be renewed now. */
void pool_renew_lease(struct lease_pool *pool, struct pool_worker *worker,
		      uint64_t now_ms);

/* Ignores the answers to all holds that were sent so far. */
void pool_forget_holds(struct lease_pool *pool, struct pool_worker *worker);

/* Returns true if a call fails so once its worker's process has ended. */
bool pool_shows_end(enum pool_answer answer);

/* Sends the worker's next hold if it is due. */
void pool_send_due_hold(struct lease_pool *pool, struct pool_worker *worker,
			uint64_t now_ms);

/* Logs the end of the wait for first lists, see pool_awaits_first_lists. */
void pool_note_first_lists(struct lease_pool *pool, uint64_t now_ms);

/* Sends the probe that pool_probe_all has scheduled, if it is due. */
void pool_send_due_probes(struct lease_pool *pool, uint64_t now_ms);

/* Notes how a call failed, if that shows that the worker's process ended. */
void pool_note_closed(struct pool_worker *worker, enum pool_answer answer,
		      uint64_t now_ms);

void pool_hold_failed(struct pool_worker *worker, enum pool_answer answer,
		      uint64_t now_ms);

/* Sends another hold if an end should have been listed by now. */
void pool_probe_overdue(struct lease_pool *pool, struct pool_worker *worker,
			uint64_t now_ms);

/* Probes a worker that has not answered a start for longer than limit_ms. */
void pool_probe_unanswered(struct lease_pool *pool, struct pool_worker *worker,
			   double limit_ms, uint64_t now_ms);

/* lease_pool_order.c */

/* An order without an answer is carried out within this time, or never. */
#define POOL_LATEST_ORDER_MS 13000

/* Notes a start or a hold that is sent now; grants: it has a deadline. */
void pool_note_order(struct lease_pool *pool, struct pool_worker *worker,
		     uint64_t number, bool grants, uint32_t timeout_ms,
		     uint64_t now_ms);

/*
 * Notes the answer to an order, or that there is none: then later orders to the
 * worker have a higher token.
 */
void pool_settle_order(struct lease_pool *pool, uint64_t number,
		       const struct pool_reply *reply, uint64_t now_ms);

/* Gives up orders that are overdue, removes those that can no longer arrive. */
void pool_expire_orders(struct lease_pool *pool, struct pool_worker *worker,
			uint64_t now_ms);
void pool_forget_orders(struct lease_pool *pool, struct pool_worker *worker);

/* Returns the last time at which such a run can have begun. */
uint64_t pool_late_begin_ms(const struct lease_pool *pool, uint64_t over_ms);

/*
 * Returns a time by which all leases on the worker must have lapsed: an order
 * without an answer could prolong them later. UINT64_MAX: there is none.
 */
uint64_t pool_grant_limit_ms(const struct pool_worker *worker);

/* Returns true if that leaves time enough for the lease of a start. */
bool pool_may_grant(const struct pool_worker *worker, uint64_t now_ms);

/* lease_pool_run.c */

/* Adds a copy of a run to its worker, with a new token. */
struct pool_run *pool_add_run(struct lease_pool *pool,
			      struct pool_worker *worker,
			      const struct pool_run *from);
void pool_free_run(struct lease_pool *pool, struct pool_run *run);
struct pool_run *pool_find_run(struct pool_worker *worker, const char *task,
			       uint32_t number);

/*
 * Repeats a start without an answer at its worker. Returns false if that is not
 * allowed; the run must be stopped then.
 */
bool pool_repeat_start(struct lease_pool *pool, struct pool_run *run,
		       uint64_t now_ms);

/*
 * Closes a run that has ended: updates the worker's breaker and speed, calls
 * the closed option for its task and frees it.
 */
void pool_close_run(struct lease_pool *pool, struct pool_run *run,
		    enum pool_end how, uint64_t now_ms);
void pool_close_all(struct lease_pool *pool, struct pool_worker *worker,
		    uint64_t now_ms);

/*
 * Marks the acknowledged runs of a worker that has restarted as unlocated,
 * unless its last list shows that the earlier process had them.
 */
void pool_mark_unlocated(struct pool_worker *worker);

/* Notes which process of its worker has the run, if it is unlocated. */
void pool_locate_run(struct lease_pool *pool, struct pool_run *run,
		     enum pool_location location);

/*
 * Closes the runs of a worker's earlier process, as how says. A run stays open
 * if it is unlocated, or if its start has no answer and may reach the new
 * process. A stop of it is sent again: the new process does not know of earlier
 * ones.
 */
void pool_close_previous_runs(struct lease_pool *pool,
			      struct pool_worker *worker, enum pool_end how,
			      uint64_t now_ms);

/* Opens the runs of late starts again, which are stopped at the new process. */
void pool_reopen_late_starts(struct lease_pool *pool,
			     struct pool_worker *worker, uint64_t now_ms);
void pool_forget_late_starts(struct pool_worker *worker);

/*
 * Notes that a start of the run without an answer may be carried out late;
 * waits: the run is not open here, so that its task must wait.
 */
void pool_note_late_task(struct lease_pool *pool, const struct pool_run *run,
			 bool waits);

/* Notes that the run's only start has been carried out or refused. */
void pool_note_carried_out(struct lease_pool *pool, const struct pool_run *run);

/* Calls found_run for an open run; stops the run if its task needs no run. */
void pool_offer_run(struct lease_pool *pool, struct pool_run *run,
		    uint64_t now_ms);

void pool_tick_run(struct lease_pool *pool, struct pool_run *run,
		   uint64_t now_ms);

#endif
