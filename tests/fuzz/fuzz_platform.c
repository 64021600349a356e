/*
 * Parses texts from the platform, its workers and callers: the result is a
 * valid value or a message. The first byte of the input selects the parser:
 * above 127 those of the product's own platform, and of addresses.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/platform_text.h"
#include "base/host_port.h"
#include "base/json_text.h"
#include "platform/wire_text.h"

#define MAX_TASKS 1000
#define MAX_CAPACITY 1000000000
#define MAX_BORN_MS INT64_C(253402300799999)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void must(bool holds)
{
	if (!holds)
		abort();
}

/* With a NUL behind it, as the body of an answer. */
static char *copy_bytes(TALLOC_CTX *mem, const char *text, size_t len)
{
	char *copy = talloc_zero_size(mem, len + 1);

	memcpy(copy, text, len);
	return copy;
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
	must(host_port_classify(registration.address,
				strlen(registration.address)));
	must(registration.capacity.cpu_milli <= MAX_CAPACITY &&
	     registration.capacity.mem_mb <= MAX_CAPACITY &&
	     registration.capacity.accelerators <= MAX_CAPACITY);
	must(registration.born_ms <= MAX_BORN_MS);
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
		.body = copy_bytes(mem, text, len),
		.body_len = len,
	};
	struct pool_reply reply;
	struct pool_lists lists;

	wire_text_reply(mem, &answer, &reply, &lists);
	must(reply.answer <= POOL_NO_ANSWER);
	must(reply.clock_ms <= INT64_MAX && reply.born_ms <= MAX_BORN_MS);
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

static void check_instance(void *ctx, const struct platform_text_listed *entry)
{
	(void)ctx;
	must(entry->id && *entry->id);
	must(host_port_classify(entry->address, strlen(entry->address)) ==
	     HOST_PORT_NUMERIC);
}

static void check_worker(void *ctx, const struct platform_text_listed *entry)
{
	(void)ctx;
	must(strlen(entry->id) && strlen(entry->id) < 64);
	must(!strpbrk(entry->id, " \r\n\t/:"));
}

/* The parser writes to the text: each gets a copy of its own size. */
static void read_lists(TALLOC_CTX *mem, const char *text, size_t len)
{
	struct http_client_answer answer = {
		.status = HTTP_CLIENT_ANSWERED,
		.http_status = 200,
		.body_len = len,
	};
	struct platform_text_odd odd;
	struct platform_text_value value;

	answer.body = copy_bytes(mem, text, len);
	platform_text_for_each_listed(&answer, PLATFORM_TEXT_INSTANCES,
				      check_instance, NULL, &odd);
	must(strlen(odd.text) < sizeof(odd.text));
	answer.body = copy_bytes(mem, text, len);
	platform_text_for_each_listed(&answer, PLATFORM_TEXT_WORKERS,
				      check_worker, NULL, &odd);
	answer.body = copy_bytes(mem, text, len);
	must(!platform_text_read_value(mem, &answer, &value) || value.index);
}

/* A text without deep elements stays as it is. */
static void blank_deep(TALLOC_CTX *mem, const char *text, size_t len)
{
	char *copy = talloc_memdup(mem, text, len);
	char sample[32] = "";

	if (!json_text_blank_deep(copy, len, 1, 4, sample, sizeof(sample)))
		must(!*sample && !memcmp(copy, text, len));
	else
		must(*sample == '"' && strlen(sample) < sizeof(sample));
}

static void read_address(const char *text, size_t len)
{
	if (host_port_classify(text, len))
		must(len < HOST_PORT_BYTES && !memchr(text, 0, len) &&
		     !memchr(text, '/', len) && !memchr(text, '@', len) &&
		     !memchr(text, '\n', len) && memchr(text, ':', len));
}

static void read_own_platform(TALLOC_CTX *mem, uint8_t kind, const char *text,
			      size_t len)
{
	switch (kind % 3) {
	case 0:
		read_lists(mem, text, len);
		break;
	case 1:
		blank_deep(mem, text, len);
		break;
	case 2:
		read_address(text, len);
		break;
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
	if (data[0] > INT8_MAX) {
		read_own_platform(mem, data[0], text, size - 1);
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
