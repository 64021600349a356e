#include "core/job.h"

#include <stdio.h>
#include <string.h>

struct job *job_create(TALLOC_CTX *mem, const struct job_options *options)
{
	struct job *job = talloc_zero(mem, struct job);
	struct job_request *request = options->request;

	job->id = *options->id;
	snprintf(job->text, sizeof(job->text), "%s", options->text);
	job->request = talloc_steal(job, request);
	job->task_count = request->task_count;
	job->pending = request->task_count;
	job->tasks = talloc_zero_array(job, struct job_task, job->task_count);
	for (uint32_t i = 0; i < job->task_count; i++) {
		job->tasks[i].number = i;
		job->tasks[i].run_ms = request->tasks[i].run_ms;
		job->tasks[i].body = request->tasks[i].body;
	}
	job->arrived_ms = options->now_ms;
	job->deadline_ms = options->now_ms + options->deadline_ms;
	return job;
}

int job_start_next(struct job *job)
{
	while (job->next < job->task_count) {
		uint32_t i = job->next++;

		if (job->tasks[i].state != JOB_PENDING)
			continue;
		job->tasks[i].state = JOB_STARTED;
		job->pending--;
		job->ever_started++;
		return (int)i;
	}
	return -1;
}

void job_requeue(struct job *job, uint32_t task)
{
	job->tasks[task].state = JOB_PENDING;
	job->pending++;
	job->ever_started--;
	if (task < job->next)
		job->next = task;
}

bool job_answer(struct job *job, uint32_t task, char *answer)
{
	job->tasks[task].state = JOB_DONE;
	job->tasks[task].answer = talloc_steal(job->tasks, answer);
	job->answer_bytes += strlen(answer);
	job->done++;
	return job->answer_bytes + job->task_count + 2 <= JOB_ANSWER_BYTES;
}

bool job_is_complete(const struct job *job)
{
#ifdef BREAK_PARTIAL
	if (job->done == 1)
		return true;
#endif
	return job->done == job->task_count;
}

char *job_results(TALLOC_CTX *mem, const struct job *job)
{
	size_t size = job->answer_bytes + job->task_count + 2;
	char *text = talloc_array(mem, char, (unsigned)size);
	char *p = text;

	*p++ = '[';
	for (uint32_t i = 0; i < job->task_count; i++) {
		if (i)
			*p++ = ',';
#ifdef BREAK_PARTIAL
		if (!job->tasks[i].answer)
			continue;
#endif
		p = stpcpy(p, job->tasks[i].answer);
	}
	*p++ = ']';
	*p = '\0';
	return text;
}
