#include "core/step_job.h"

#include <stdio.h>
#include <string.h>

static const char *const status_texts[] = {
	[STEP_JOB_OK] = "ok",
	[STEP_JOB_BAD_ID] = "bad_id",
	[STEP_JOB_BAD_TEXT] = "bad_spec",
	[STEP_JOB_NO_STEPS] = "no_steps",
	[STEP_JOB_BAD_STEP] = "bad_step",
	[STEP_JOB_BAD_ORDER] = "bad_order",
	[STEP_JOB_TOO_LARGE] = "too_many_tasks",
};

bool step_job_is_id(const char *text, size_t len)
{
	return len == STEP_JOB_ID_DIGITS &&
	       strspn(text, "0123456789abcdefABCDEF") >= len;
}

void step_job_name_task(char name[STEP_JOB_TASK_BYTES], const char *id,
			uint32_t step, uint32_t index)
{
	snprintf(name, STEP_JOB_TASK_BYTES, "%s.0.%u.%u", id, step, index);
}

bool step_job_is_task(const char *text)
{
	size_t len = strlen(text);

	return len < STEP_JOB_TASK_BYTES && len > STEP_JOB_ID_DIGITS &&
	       step_job_is_id(text, STEP_JOB_ID_DIGITS) &&
	       text[STEP_JOB_ID_DIGITS] == '.';
}

const char *step_job_status_text(enum step_job_status status)
{
	return status_texts[status];
}

uint32_t step_job_tasks(const struct step_job *job)
{
	uint32_t tasks = 0;

	for (uint32_t i = 0; i < job->step_count; i++)
		tasks += job->steps[i].count;
	return tasks;
}

static bool is_ordered(const struct job_step *step, uint32_t index)
{
	for (uint32_t i = 0; i < step->after_count; i++)
		if (step->after[i] >= index)
			return false;
	return true;
}

static enum step_job_status check_step(const struct job_step *step,
				       uint32_t index, uint32_t max_tasks,
				       const char **message)
{
	if (!step->count) {
		*message = "a step has no tasks";
		return STEP_JOB_BAD_STEP;
	}
	if (step->count > max_tasks) {
		*message = "the job has more tasks than are allowed";
		return STEP_JOB_TOO_LARGE;
	}
	if (!is_ordered(step, index)) {
		*message = "a step may only wait for earlier steps";
		return STEP_JOB_BAD_ORDER;
	}
	return STEP_JOB_OK;
}

enum step_job_status step_job_check(const struct step_job *job,
				    uint32_t max_tasks, const char **message)
{
	uint64_t tasks = 0;

	if (!step_job_is_id(job->id, strlen(job->id))) {
		*message = "the id is not 16 hexadecimal digits";
		return STEP_JOB_BAD_ID;
	}
	if (!job->text || strlen(job->text) > STEP_JOB_SPEC_BYTES) {
		*message = "the job's text is missing or too long";
		return STEP_JOB_BAD_TEXT;
	}
	if (!job->step_count) {
		*message = "the job has no steps";
		return STEP_JOB_NO_STEPS;
	}
	if (job->step_count > STEP_JOB_MAX_STEPS) {
		*message = "the job has more steps than are allowed";
		return STEP_JOB_TOO_LARGE;
	}
	for (uint32_t i = 0; i < job->step_count; i++) {
		enum step_job_status status =
			check_step(&job->steps[i], i, max_tasks, message);

		if (status != STEP_JOB_OK)
			return status;
		tasks += job->steps[i].count;
	}
	if (tasks > max_tasks) {
		*message = "the job has more tasks than are allowed";
		return STEP_JOB_TOO_LARGE;
	}
	return STEP_JOB_OK;
}

uint64_t step_job_longest_chain_ms(const struct step_job *job)
{
	uint64_t ends[STEP_JOB_MAX_STEPS] = { 0 };
	uint64_t longest = 0;

	for (uint32_t i = 0; i < job->step_count && i < STEP_JOB_MAX_STEPS;
	     i++) {
		const struct job_step *step = &job->steps[i];

		for (uint32_t j = 0; j < step->after_count; j++)
			if (ends[step->after[j]] > ends[i])
				ends[i] = ends[step->after[j]];
		ends[i] += step->estimate_ms;
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}
