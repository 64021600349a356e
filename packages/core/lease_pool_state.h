#ifndef CORE_LEASE_POOL_STATE_H
#define CORE_LEASE_POOL_STATE_H

#include "core/lease_pool.h"

/*
 * The state that the parts of a pool of leased workers share; for three files
 * alone. lease_pool.c knows the workers by their registrations and keeps time,
 * lease_hold.c holds them and reads their lists, lease_run.c starts and stops
 * runs and closes them.
 */

#define LPL_LOST_HOLDS 2 /* in a row: one lost answer says nothing */
#define LPL_FOREIGN_RETRY_MS 1000
#define LPL_LAPSE_SLACK_MS 30 /* a late timer, a message on its way */

/* An end that was found on a worker taken over, of a job not yet known. */
struct found_end {
	LIST_ENTRY(found_end) entry;
	char task[SJB_TASK_BYTES];
	char job[SJB_ID_BYTES];
	uint64_t until_ms;
};

struct lpl {
	struct lpl_options options;
	const struct lpl_ports *ports;
	struct lpl_worker *by_id;
	struct lpl_worker_list workers;
	struct lpl_run *by_token;
	LIST_HEAD(, found_end) found;
	uint64_t next_token;
	uint64_t next_serial;
	uint64_t fence; /* 0: does not lead */
	uint64_t looked_ms; /* at all workers */
	uint64_t ticked_ms;
	double answer_ms; /* what answers to starts take, decaying */
	uint64_t list_read_ms; /* 0: not yet */
};

/* lease_pool.c */

struct lpl_worker *lpl_find_worker(struct lpl *lpl, const char *id);

enum lpl_life { LPL_LIFE_SAME, LPL_LIFE_NEWER, LPL_LIFE_FORMER };

/* Takes clock and life over from an answer; tells whose it is. */
enum lpl_life lpl_take_reply(struct lpl *lpl, struct lpl_worker *worker,
			     const struct lpl_reply *reply, uint64_t now_ms);

/* Nothing of what was known of the worker's runs and clock holds any more. */
void lpl_forget_life(struct lpl *lpl, struct lpl_worker *worker,
		     uint64_t now_ms);

/* Another instance rules the worker: what runs there is not ours to judge. */
void lpl_lose_worker(struct lpl *lpl, struct lpl_worker *worker,
		     uint64_t now_ms);

/* lease_hold.c */

/* The worker's clock now, or earlier: never later. */
uint64_t lpl_worker_clock(const struct lpl_worker *worker, uint64_t now_ms);

/* Our time at which a lease granted now has surely lapsed. */
uint64_t lpl_lapse_ms(const struct lpl *lpl, uint64_t now_ms);

void lpl_send_hold(struct lpl *lpl, struct lpl_worker *worker, uint32_t wait_ms,
		   uint64_t now_ms);

/* Sends the next hold where one is due. */
void lpl_pump(struct lpl *lpl, struct lpl_worker *worker, uint64_t now_ms);

void lpl_hold_failed(struct lpl_worker *worker, enum lpl_answer answer,
		     uint64_t now_ms);

/* Asks for the lists where a start has no answer yet. */
void lpl_look_early(struct lpl *lpl, struct lpl_worker *worker,
		    uint64_t now_ms);

/* lease_run.c */

/* Copies a run under its worker, with a token of its own. */
struct lpl_run *lpl_add_run(struct lpl *lpl, struct lpl_worker *worker,
			    const struct lpl_run *from);
void lpl_free_run(struct lpl *lpl, struct lpl_run *run);
struct lpl_run *lpl_find_run(struct lpl_worker *worker, const char *task,
			     uint32_t number);

/* A run is over: its worker is judged by it and its task hears of it. */
void lpl_close_run(struct lpl *lpl, struct lpl_run *run, enum lpl_end how,
		   uint64_t now_ms);
void lpl_close_all(struct lpl *lpl, struct lpl_worker *worker, uint64_t now_ms);

/*
 * A worker has started anew. Acknowledged runs went with its former life; a
 * start without an answer may reach the new one, where no former stop counts.
 */
void lpl_close_former_life(struct lpl *lpl, struct lpl_worker *worker,
			   uint64_t now_ms);

/* Offers an open run to the dispatcher; stops it where it is not wanted. */
void lpl_offer_run(struct lpl *lpl, struct lpl_run *run, uint64_t now_ms);

void lpl_tick_run(struct lpl *lpl, struct lpl_run *run, uint64_t now_ms);

#endif
