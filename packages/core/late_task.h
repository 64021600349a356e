#ifndef CORE_LATE_TASK_H
#define CORE_LATE_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "base/hash_table.h"
#include "core/step_job.h"

/*
 * Tasks one of whose starts has no answer: a worker may carry it out seconds
 * late, also the next process of a worker that restarts. Such a task waits
 * until that start can have begun no run that is still open.
 *
 * The leader tells the members that may lead next, as no other list shows such
 * a start. While its run is open at this instance, the pool handles the task,
 * and the table only keeps it for the others.
 *
 * Not for the orders to a worker: see core/lease_pool_state.h.
 */

#define LATE_TASK_MAX 16384

struct late_tasks;

struct late_task {
	UT_hash_handle hh; /* by name, in the order of their notes */
	char name[STEP_JOB_TASK_BYTES];
	uint64_t until_ms;
	bool waits; /* else its run is open here */
	bool is_unsent;
};

struct late_tasks *late_create(TALLOC_CTX *mem);

/*
 * Notes that a start of the task may be carried out late, and that its run has
 * ended by until_ms. waits is false if the run is open here. The task that was
 * noted first makes room for one beyond LATE_TASK_MAX.
 */
void late_note(struct late_tasks *late, const char *task, uint64_t until_ms,
	       bool waits);

/* The same for a note of another member, which is not sent on. */
void late_merge(struct late_tasks *late, const char *task, uint64_t until_ms);

/* All tasks wait: the runs that were open here are no longer known. */
void late_forget_runs(struct late_tasks *late);

/* Removes tasks whose time has passed; returns true if there were any. */
bool late_expire(struct late_tasks *late, uint64_t now_ms);

/* Returns the time until which the task waits; 0 if it does not. */
uint64_t late_until_ms(const struct late_tasks *late, const char *task);

bool late_is_empty(const struct late_tasks *late);

/* The first task; the next ones follow in hh.next. NULL: none. */
struct late_task *late_first(const struct late_tasks *late);

/* Returns true if any task was noted since late_mark_sent. */
bool late_has_unsent(const struct late_tasks *late);
void late_mark_sent(struct late_tasks *late);

#endif
