#ifndef CORE_OPEN_STARTS_H
#define CORE_OPEN_STARTS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "core/step_job.h"

/*
 * The starts of a job's tasks whose outcome its entry does not know: a worker
 * may carry one out seconds late, under any later leader. The leader sends them
 * with the orders, and strikes out those that were answered or listed. The
 * entry, which outlives the leader, hands the rest on with the job.
 *
 * Not for the leader's own runs: see core/lease_pool.h.
 */

/* A job has no more of them at its entry; the first one makes room. */
#define OPEN_STARTS_MAX 4096
#define OPEN_START_MAX_TASKS 100000 /* of a step, if that is not known */
#define OPEN_START_SAME_MS 100 /* by which messages differ on one start */

struct open_start {
	uint32_t step;
	uint32_t index;
	uint32_t number; /* of the run; 0: not known, it is never struck out */
	uint64_t over_ms; /* it can have begun no run that is open then */
	bool is_repeated; /* the outcome of one start says nothing of others */
	uint64_t worker; /* key of the one that runs the task; 0: not told */
	bool has_ended; /* the run has */
};

struct open_starts {
	struct open_start *rows; /* owned by the job; NULL: none */
	uint32_t count;
};

/* Adds a start, or prolongs it if it is known; mem owns the rows. */
void open_starts_add(TALLOC_CTX *mem, struct open_starts *starts,
		     const struct open_start *start, uint64_t now_ms);

/*
 * Strikes out a start whose outcome is known. Returns false if it is not among
 * them, or was repeated.
 */
bool open_starts_settle(struct open_starts *starts,
			const struct open_start *start);

/* Removes those that are over. */
void open_starts_expire(struct open_starts *starts, uint64_t now_ms);

/*
 * Returns true if a start is among them. Without a number it is most likely the
 * one of the same task that is over at about the same time.
 */
bool open_starts_have(const struct open_starts *starts,
		      const struct open_start *like);

/*
 * Returns NULL, or why a job with these steps has no such start; NULL for the
 * steps: they are not known.
 */
const char *open_start_find_fault(const struct open_start *start,
				  const struct job_step *steps,
				  uint32_t step_count);

#endif
