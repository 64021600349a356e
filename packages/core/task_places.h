#ifndef CORE_TASK_PLACES_H
#define CORE_TASK_PLACES_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "core/step_job.h"

/*
 * Where the tasks of a job run, as its entry knows from its leaders: for each
 * task the key of the last worker that was ordered to run it, unless the run
 * has ended. A next leader may not have that worker on its list, and starts the
 * task elsewhere only once the worker has listed its runs, or the run's lease
 * has lapsed.
 *
 * Not for starts without an answer: see core/open_starts.h.
 */

struct task_places {
	uint64_t *workers; /* by task, in the order of the steps */
	uint32_t count; /* of tasks; 0: no place is known */
};

/*
 * Sets the worker of a task; 0: none. only_new: unless one is known. mem owns
 * the rows. The job must have the task.
 */
void task_places_set(TALLOC_CTX *mem, struct task_places *places,
		     const struct step_job *job, uint32_t step, uint32_t index,
		     uint64_t worker, bool only_new);

/* Returns the number of tasks of a job. */
uint32_t task_places_count_tasks(const struct job_step *steps,
				 uint32_t step_count);

#endif
