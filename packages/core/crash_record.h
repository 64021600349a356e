#ifndef CORE_CRASH_RECORD_H
#define CORE_CRASH_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "base/hash_table.h"
#include "core/step_job.h"

/*
 * Which workers crashed while they ran a task, by the task's name. The leader
 * notes crashes; each member keeps them, so that the next leader knows them.
 * Records of several members are merged: a crash is identified by the worker
 * and the start time of its process, so that none counts twice.
 *
 * Not for deciding which worker crashed (core/lease_pool.h), nor where a task
 * starts (core/lease_dispatch.h).
 */

/* Crashes that decide a task's fate; further ones are not kept. */
#define CRASH_RECORD_MAX_CRASHES 5
/*
 * Beyond this number of tasks the oldest record is dropped, first of those
 * without a confirmed crash.
 */
#define CRASH_RECORD_MAX_TASKS 4096
/* The longest network partition allowed for. */
#define CRASH_UNCONFIRMED_KEEP_MS 30000
/* The longest time until a caller's deadline. */
#define CRASH_RECORD_KEEP_MS 600000

/* A worker that went while it ran the task. */
struct crash_note {
	uint64_t worker; /* crash_worker_key of its id */
	uint64_t born_ms; /* start time of the process that crashed */
	uint64_t noted_ms;
	bool is_alone; /* it ran nothing else */
	bool is_in_wave; /* many workers crashed then, whatever they ran */
	bool is_confirmed; /* unset: it may still be running, out of reach */
	bool is_doubtful; /* the run may have ended before the worker went */
	bool is_withdrawn; /* the run has ended, the worker has not crashed */
};

struct crash_record {
	UT_hash_handle hh; /* by task, in the order of the first crash */
	char task[STEP_JOB_TASK_BYTES];
	struct crash_note crashes[CRASH_RECORD_MAX_CRASHES];
	uint32_t count;
	uint64_t until_ms;
	bool is_unsent; /* changed here, not sent to other members yet */
};

/* What a task's crashes mean for its next start. */
enum crash_verdict {
	CRASH_NONE,
	CRASH_SUSPECT, /* may start on a worker that runs nothing else */
	CRASH_UNDECIDED, /* waits until the last crashes are confirmed */
	CRASH_IN_WAVE, /* a suspect, but waits until the wave is over */
	CRASH_GUILTY, /* never starts again */
};

struct crash_records;

/* Creates an empty set of records, owned by mem. */
struct crash_records *crash_records_create(TALLOC_CTX *mem);

/* Returns the key of a worker's id; the same at all members. */
uint64_t crash_worker_key(const char *id);

/*
 * Adds a crash to the task's record, or merges it with the same crash noted
 * before; a withdrawn one removes it, unless it is confirmed. Returns false if
 * this changes nothing.
 */
bool crash_note(struct crash_records *records, const char *task,
		const struct crash_note *note);

/* Adds a crash to the task's record, or replaces the same one. */
void crash_put(struct crash_records *records, const char *task,
	       const struct crash_note *note);

/*
 * Removes the crash at index from a record, which is freed with its last one:
 * the worker had not crashed.
 */
void crash_withdraw(struct crash_records *records, struct crash_record *record,
		    uint32_t index);

/* Removes all records. */
void crash_clear(struct crash_records *records);

/* Removes the task's record, if there is one. */
void crash_forget(struct crash_records *records, const char *task);

/*
 * Removes records that have expired, and crashes that nobody could confirm for
 * CRASH_UNCONFIRMED_KEEP_MS.
 */
void crash_expire(struct crash_records *records, uint64_t now_ms);

/* Returns the first record; record->hh.next is the next one. */
struct crash_record *crash_first(const struct crash_records *records);

/* Returns the task's record; NULL if there is none. */
struct crash_record *crash_find(const struct crash_records *records,
				const char *task);

/*
 * Judges a task by its record, which may be NULL. Two crashes of workers that
 * ran nothing else prove its guilt, and so do three crashes: a suspect runs
 * beside others only where another leader did not know of its crashes. Crashes
 * in a wave are weaker evidence: three crashes must include one outside of a
 * wave under which the worker ran nothing else; five prove the guilt anyway. A
 * doubtful crash counts only as the third one beside two others, and among
 * five.
 */
enum crash_verdict crash_judge(const struct crash_record *record);

/* Returns true if the record holds as many crashes as are kept. */
bool crash_is_full(const struct crash_record *record);

/* Marks a record as changed here, so that crash_has_unsent returns true. */
void crash_mark_unsent(struct crash_records *records,
		       struct crash_record *record);
bool crash_has_unsent(const struct crash_records *records);

/* Marks all records as sent to other members. */
void crash_mark_all_sent(struct crash_records *records);

/* Returns a stable word for a verdict, for logs. */
const char *crash_verdict_text(enum crash_verdict verdict);

#endif
