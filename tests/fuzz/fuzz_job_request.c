/* Parses a job: the result is a valid job that parses again, or a message. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/job_request.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct job_request_limits limits = { .tasks = 8,
							  .depth = 6 };
	const char *text = (const char *)data;
	enum job_request_status status;
	char *message;
	struct job_request *job =
		job_request_parse(NULL, text, size, &limits, &status, &message);
	struct job_request *again;

	if (!job) {
		if (status == JOB_REQUEST_OK || !message)
			abort();
		talloc_free(message);
		return 0;
	}
	if (!job->task_count || job->task_count > 8 || !*job->service ||
	    !*job->team)
		abort();
	for (uint32_t i = 0; i < job->task_count; i++)
		if (!job->tasks[i].body ||
		    job->tasks[i].run_ms > JOB_REQUEST_MAX_RUN_MS)
			abort();
	again = job_request_parse(NULL, job->raw, job->raw_len, &limits,
				  &status, &message);
	if (!again || again->hash != job->hash)
		abort();
	talloc_free(again);
	talloc_free(job);
	return 0;
}
