#include "core/failed_runs.h"

static bool is_same(const struct failed_run *a, const struct failed_run *b)
{
	return a->step == b->step && a->index == b->index &&
	       a->number == b->number;
}

enum failed_run_added failed_runs_add(TALLOC_CTX *mem, struct failed_runs *runs,
				      const struct failed_run *run)
{
	for (uint32_t i = 0; i < runs->count; i++)
		if (is_same(&runs->rows[i], run))
			return FAILED_RUN_KNOWN;
	if (runs->count >= FAILED_RUNS_MAX)
		return FAILED_RUN_NO_ROOM;
	if (talloc_array_length(runs->rows) == runs->count)
		runs->rows = talloc_realloc(mem, runs->rows, struct failed_run,
					    runs->count ? runs->count * 2 : 4);
	runs->rows[runs->count++] = *run;
	return FAILED_RUN_NEW;
}

const char *failed_run_find_fault(const struct failed_run *run,
				  const struct job_step *steps,
				  uint32_t step_count)
{
	if (run->step >= step_count)
		return "the job has no such step";
	if (run->index >= steps[run->step].count)
		return "the step has no such task";
	if (!run->number || run->number > FAILED_RUN_MAX_NUMBER)
		return "no run has such a number";
	return NULL;
}
