#include "core/task_places.h"

uint32_t task_places_count_tasks(const struct job_step *steps,
				 uint32_t step_count)
{
	uint32_t count = 0;

	for (uint32_t s = 0; s < step_count; s++)
		count += steps[s].count;
	return count;
}

void task_places_set(TALLOC_CTX *mem, struct task_places *places,
		     const struct step_job *job, uint32_t step, uint32_t index,
		     uint64_t worker, bool only_new)
{
	uint32_t task = task_places_count_tasks(job->steps, step) + index;

	if (!places->count) {
		if (!worker)
			return;
		places->count =
			task_places_count_tasks(job->steps, job->step_count);
		places->workers =
			talloc_zero_array(mem, uint64_t, places->count);
	}
	if (!only_new || !places->workers[task])
		places->workers[task] = worker;
}
