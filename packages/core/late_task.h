#ifndef CORE_LATE_TASK_H
#define CORE_LATE_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "base/hash_table.h"
#include "core/step_job.h"

/*
 * Tasks one of whose starts has no answer: a worker may carry it out seconds
 * late, also the next process of a worker that restarts. Such a task waits
 * until that start can have begun no run that is still open.
 *
 * The leader sends them to the members that may lead next, as no other list
 * shows such a start, and to the store for those that it does not reach. While
 * its run is open at this instance, the pool handles the task, and the table
 * only keeps it for the others. Others who know of a lost leader's start do so,
 * too.
 *
 * Not for the orders to a worker, see core/lease_pool_state.h, nor for what the
 * entry of a job hands on with it, see core/open_starts.h.
 */

#define LATE_TASK_MAX 65536
#define LATE_ELSEWHERE UINT64_MAX /* a worker that only others know */

enum late_channel { LATE_TO_MEMBERS, LATE_TO_STORE, LATE_CHANNEL_COUNT };

struct late_tasks;

struct late_task {
	UT_hash_handle hh; /* by name, in the order of their notes */
	struct {
		TAILQ_ENTRY(late_task) entry; /* while is_unsent */
		bool is_unsent;
		bool was_sent;
	} channels[LATE_CHANNEL_COUNT];
	char name[STEP_JOB_TASK_BYTES];
	/* Key of the last start's worker, or LATE_ELSEWHERE; 0: not ours */
	uint64_t worker;
	uint64_t from; /* incarnation of the member it came from, see late_merge
			*/
	uint64_t until_ms; /* 0: withdrawn, and not sent so far */
	uint64_t forget_ms; /* then a withdrawn task is removed, sent or not */
	bool waits; /* else its run is open here */
	bool is_ahead; /* its start may still be answered in time */
	bool was_linked; /* it came from another member, over a link */
	uint32_t number; /* of the run of its only start; 0: not known */
};

TAILQ_HEAD(late_task_list, late_task);

struct late_tasks *late_create(TALLOC_CTX *mem);

/*
 * Notes that a start of the task at a worker may be carried out late, and that
 * its run has ended by until_ms. waits is false if the run is open here. The
 * task that was noted first makes room for one beyond LATE_TASK_MAX.
 */
void late_note(struct late_tasks *late, const char *task, uint64_t worker,
	       uint64_t until_ms, bool waits);

/*
 * The same for a start that is being sent, for the members only: if it is left
 * without an answer, late_note is called.
 */
void late_note_ahead(struct late_tasks *late, const char *task, uint64_t worker,
		     uint64_t until_ms);

/*
 * The same for a start under another leader, which the entry of its job hands
 * on: this instance tells the others of it. number is that of its run, or 0.
 */
void late_note_handed(struct late_tasks *late, const char *task, uint64_t entry,
		      uint32_t number, uint64_t until_ms);

/*
 * The run of a start that was handed on has been found, or its outcome is
 * known: forgets the task, unless it waits for another start.
 */
void late_settle(struct late_tasks *late, const char *task, uint32_t number);

/*
 * The start has been carried out or refused after all: forgets the task, unless
 * it waits here for another start.
 */
void late_withdraw(struct late_tasks *late, const char *task);

/*
 * The same as late_note for a task that another member has sent, or
 * late_withdraw if until_ms is 0. A task of several members stays. Returns it;
 * NULL if it is withdrawn or not known.
 */
struct late_task *late_merge(struct late_tasks *late, const char *task,
			     uint64_t from, uint64_t until_ms);

/* All tasks wait: the runs that were open here are no longer known. */
void late_forget_runs(struct late_tasks *late);

/*
 * Removes tasks whose time has passed; returns true if there were any. extend
 * returns a later time for a task, or one that has passed.
 */
bool late_expire(struct late_tasks *late, uint64_t now_ms,
		 uint64_t (*extend)(void *ctx, const struct late_task *task),
		 void *ctx);

/* Returns the time until which the task waits; 0 if it does not. */
uint64_t late_until_ms(const struct late_tasks *late, const char *task);

/* Returns a task; NULL if it is not known. */
const struct late_task *late_find(const struct late_tasks *late,
				  const char *task);

bool late_is_empty(const struct late_tasks *late);

/* Returns true if a task waits. */
bool late_has_waiting(const struct late_tasks *late);

/* The first task; the next ones follow in hh.next. NULL: none. */
struct late_task *late_first(const struct late_tasks *late);

/* Tasks noted here that have changed since they were sent over the channel. */
const struct late_task_list *late_unsent(const struct late_tasks *late,
					 enum late_channel channel);

/* The first count unsent tasks, or all if there are fewer, were sent. */
void late_mark_sent(struct late_tasks *late, enum late_channel channel,
		    size_t count);

/*
 * All tasks noted here are to be sent over the channel again, as what was sent
 * may not have arrived.
 */
void late_mark_unsent(struct late_tasks *late, enum late_channel channel);

#endif
