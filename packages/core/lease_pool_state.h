#ifndef CORE_LEASE_POOL_STATE_H
#define CORE_LEASE_POOL_STATE_H

#include "core/lease_pool.h"

/*
 * The state that the parts of a pool of leased workers share; for three files
 * alone. lease_pool.c knows the workers by their registrations and keeps time,
 * lease_hold.c holds them and reads their lists, lease_run.c starts and stops
 * runs and closes them.
 */

#define POOL_LOST_HOLDS 2 /* in a row: one lost answer says nothing */
#define POOL_FOREIGN_RETRY_MS 1000
#define POOL_LAPSE_SLACK_MS 30 /* a late timer, a message on its way */

/* An end that was found on a worker taken over, of a job not yet known. */
struct found_end {
	LIST_ENTRY(found_end) entry;
	char task[STEP_JOB_TASK_BYTES];
	char job[STEP_JOB_ID_BYTES];
	uint64_t until_ms;
};

struct lease_pool {
	struct pool_options options;
	const struct pool_ports *ports;
	struct pool_worker *by_id;
	struct pool_worker_list workers;
	struct pool_run *by_token;
	LIST_HEAD(, found_end) found;
	uint64_t next_token;
	uint64_t next_serial;
	uint64_t fence; /* 0: does not lead */
	uint64_t probed_ms; /* at all workers */
	uint64_t ticked_ms;
	double mean_answer_ms; /* what answers to starts take, decaying */
	uint64_t list_read_ms; /* 0: not yet */
};

/* lease_pool.c */

struct pool_worker *pool_find_worker(struct lease_pool *pool, const char *id);

enum pool_life { POOL_LIFE_SAME, POOL_LIFE_NEWER, POOL_LIFE_OLDER };

/* Takes clock and life over from an answer; tells whose it is. */
enum pool_life pool_apply_reply(struct lease_pool *pool,
				struct pool_worker *worker,
				const struct pool_reply *reply,
				uint64_t now_ms);

/* Nothing of what was known of the worker's runs and clock holds any more. */
void pool_reset_worker(struct lease_pool *pool, struct pool_worker *worker,
		       uint64_t now_ms);

/* Another instance rules the worker: what runs there is not ours to judge. */
void pool_mark_foreign(struct lease_pool *pool, struct pool_worker *worker,
		       uint64_t now_ms);

/* lease_hold.c */

/* The worker's clock now, or earlier: never later. */
uint64_t pool_worker_clock(const struct pool_worker *worker, uint64_t now_ms);

/* Our time at which a lease granted now has surely lapsed. */
uint64_t pool_lapse_ms(const struct lease_pool *pool, uint64_t now_ms);

void pool_send_hold(struct lease_pool *pool, struct pool_worker *worker,
		    uint32_t wait_ms, uint64_t now_ms);

/* Sends the next hold where one is due. */
void pool_send_due_hold(struct lease_pool *pool, struct pool_worker *worker,
			uint64_t now_ms);

void pool_hold_failed(struct pool_worker *worker, enum pool_answer answer,
		      uint64_t now_ms);

/* Asks for the lists where a start has no answer yet. */
void pool_probe_unanswered(struct lease_pool *pool, struct pool_worker *worker,
			   uint64_t now_ms);

/* lease_run.c */

/* Copies a run under its worker, with a token of its own. */
struct pool_run *pool_add_run(struct lease_pool *pool,
			      struct pool_worker *worker,
			      const struct pool_run *from);
void pool_free_run(struct lease_pool *pool, struct pool_run *run);
struct pool_run *pool_find_run(struct pool_worker *worker, const char *task,
			       uint32_t number);

/* A run is over: its worker is judged by it and its task hears of it. */
void pool_close_run(struct lease_pool *pool, struct pool_run *run,
		    enum pool_end how, uint64_t now_ms);
void pool_close_all(struct lease_pool *pool, struct pool_worker *worker,
		    uint64_t now_ms);

/*
 * A worker has started anew. Acknowledged runs went with its former life; a
 * start without an answer may reach the new one, where no former stop counts.
 */
void pool_close_previous_runs(struct lease_pool *pool,
			      struct pool_worker *worker, uint64_t now_ms);

/* Offers an open run to the dispatcher; stops it where it is not wanted. */
void pool_offer_run(struct lease_pool *pool, struct pool_run *run,
		    uint64_t now_ms);

void pool_tick_run(struct lease_pool *pool, struct pool_run *run,
		   uint64_t now_ms);

#endif
