/*
 * Parses texts from the platform, its workers and callers: the result is a
 * valid value or a message. The first byte of the input selects the parser.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/wire_text.h"

#define MAX_TASKS 1000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void must(bool holds)
{
	if (!holds)
		abort();
}

static void read_config(TALLOC_CTX *mem, const char *text, size_t len)
{
	const char *message = NULL;
	struct queue_config *config =
		wire_text_config(mem, text, len, &message);

	must(config ? !message : message != NULL);
	if (!config)
		return;
	must(config->version && config->text_len == len);
	for (size_t i = 0; i < config->queue_count; i++) {
		const struct queue_config_queue *q = &config->queues[i];

		must(q->name && q->host && q->prefix && q->service);
		must(q->stretch >= 0);
		must(queue_config_find(config, q->host, q->prefix) != NULL);
	}
	for (size_t i = 0; i < config->service_count; i++)
		must(config->services[i].name != NULL);
}

static void read_worker(TALLOC_CTX *mem, const char *text, size_t len)
{
	const char *message = NULL;
	struct pool_registration registration;

	if (!wire_text_worker(mem, "id", text, len, &registration, &message)) {
		must(message != NULL);
		return;
	}
	must(registration.address && registration.service &&
	     registration.data_centre);
	must(registration.born_ms <= INT64_MAX);
	for (const char *const *l = registration.labels; *l; l++)
		must(strlen(*l) <= len);
}

static void read_job(TALLOC_CTX *mem, const char *text, size_t len)
{
	const char *message = NULL;
	struct step_job *job =
		wire_text_job(mem, "0123456789abcdef", text, len, &message);
	uint32_t tasks = 0;

	if (!job) {
		must(message != NULL);
		return;
	}
	must(job->step_count <= STEP_JOB_MAX_STEPS && job->text != NULL);
	if (step_job_check(job, MAX_TASKS, &message) != STEP_JOB_OK) {
		must(message != NULL);
		return;
	}
	for (uint32_t s = 0; s < job->step_count; s++) {
		const struct job_step *step = &job->steps[s];

		must(step->count > 0);
		tasks += step->count;
		for (uint32_t i = 0; i < step->after_count; i++)
			must(step->after[i] < s);
	}
	must(tasks == step_job_tasks(job) && tasks <= MAX_TASKS);
}

static void read_reply(TALLOC_CTX *mem, const char *text, size_t len,
		       long status)
{
	struct http_client_answer answer = {
		.status = HTTP_CLIENT_ANSWERED,
		.http_status = status,
		.body = talloc_strndup(mem, text, len),
		.body_len = len,
	};
	struct pool_reply reply;
	struct pool_lists lists;

	wire_text_reply(mem, &answer, &reply, &lists);
	must(reply.answer <= POOL_NO_ANSWER);
	must(reply.clock_ms <= INT64_MAX && reply.born_ms <= INT64_MAX);
	must(reply.answer == POOL_OK ||
	     (!lists.running_count && !lists.ended_count));
	for (size_t i = 0; i < lists.running_count; i++)
		must(strlen(lists.running[i].task) < STEP_JOB_TASK_BYTES);
	for (size_t i = 0; i < lists.ended_count; i++) {
		must(strlen(lists.ended[i].task) < STEP_JOB_TASK_BYTES);
		must(lists.ended[i].number_of_end <= INT64_MAX);
		must(lists.ended[i].how < POOL_END_COUNT);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const long statuses[] = { 200, 409, 400, 421, 503, 500 };
	TALLOC_CTX *mem = talloc_new(NULL);
	const char *text = (const char *)data + 1;

	if (!size) {
		talloc_free(mem);
		return 0;
	}
	switch (data[0] % 4) {
	case 0:
		read_config(mem, text, size - 1);
		break;
	case 1:
		read_worker(mem, text, size - 1);
		break;
	case 2:
		read_job(mem, text, size - 1);
		break;
	case 3:
		read_reply(mem, text, size - 1,
			   statuses[data[0] / 4 %
				    (sizeof(statuses) / sizeof(statuses[0]))]);
		break;
	}
	talloc_free(mem);
	return 0;
}
