#ifndef CORE_FAILED_RUNS_H
#define CORE_FAILED_RUNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/step_job.h"

/*
 * The runs of a job's tasks that have ended as failed. The leader sends them to
 * the entries, which hand them on with the job to the next leader, so that they
 * count there. A run is known by its number: an end that is reported twice
 * counts once.
 */

/* More failed runs of a job count at one leader only. */
#define FAILED_RUNS_MAX 1024
/* Higher than those of MAX_HANDED leaders; no number is beyond it. */
#define FAILED_RUN_MAX_NUMBER (UINT32_C(1) << 20)

struct failed_run {
	uint32_t step;
	uint32_t index;
	uint32_t number;
};

struct failed_runs {
	/*
	 * Numbers begin anew when the caller sends a job again: runs of another
	 * attempt don't count. 0: not known.
	 */
	uint64_t attempt;
	struct failed_run *rows; /* owned by the job; NULL: none */
	uint32_t count;
};

enum failed_run_added {
	FAILED_RUN_NEW,
	FAILED_RUN_KNOWN,
	FAILED_RUN_NO_ROOM,
};

/* Adds a run unless it is known; mem owns the rows. */
enum failed_run_added failed_runs_add(TALLOC_CTX *mem, struct failed_runs *runs,
				      const struct failed_run *run);

/* Returns NULL, or why a run of a job with these steps cannot exist. */
const char *failed_run_find_fault(const struct failed_run *run,
				  const struct job_step *steps,
				  uint32_t step_count);

#endif
