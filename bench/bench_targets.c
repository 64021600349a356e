/*
 * Measures the targets module alone, in one thread: sends starts in batches to
 * stand-in workers, each batch after the previous one was answered. Usage:
 *
 *     standin-worker --port PORT --count WORKERS --slots 64 &
 *     [valgrind --tool=callgrind] bench_targets PORT WORKERS BATCH STARTS
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "adapters/messages.h"
#include "adapters/targets.h"
#include "base/clock.h"

#define DEADLINE_MS 60000
#define ANSWER_BYTES (1u << 20)

static uint64_t answered, failed;

static void on_result(void *ctx, struct mailbox_message *msg)
{
	(void)ctx;
	if (((struct message_task_result *)msg)->result.kind != PORT_DONE)
		failed++;
	answered++;
	talloc_free(msg);
}

static void start(void *targets, uint64_t token, int port)
{
	struct message_task_start *msg =
		message_create(struct message_task_start, MESSAGE_TASK_START);

	msg->token = token;
	msg->job = talloc_strdup(msg, "dc-1.0123456789abcdef0123456789");
	msg->task = (uint32_t)(token % 20);
	msg->service = talloc_strdup(msg, "s");
	msg->address = talloc_asprintf(msg, "127.0.0.1:%d", port);
	msg->body = talloc_strdup(msg, "{\"run_ms\":0,\"answer\":7}");
	msg->posted_ms = clock_now_ms();
	msg->deadline_ms = msg->posted_ms + DEADLINE_MS;
	targets_handle(targets, &msg->head);
}

static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

int main(int argc, char **argv)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	struct mailbox_options mailbox = { .ev = ev, .handler = on_result };
	struct targets_options options = { .worker_connections = 60,
					   .answer_bytes = ANSWER_BYTES };
	uint64_t sent = 0, starts;
	int port, workers, batch;
	double began_us;
	void *targets;

	if (argc != 5) {
		fprintf(stderr, "usage: %s PORT WORKERS BATCH STARTS\n",
			argv[0]);
		return 2;
	}
	port = atoi(argv[1]);
	workers = atoi(argv[2]);
	batch = atoi(argv[3]);
	starts = strtoull(argv[4], NULL, 10);
	options.control = mailbox_create(mem, &mailbox);
	targets = targets_init(mem, ev, &options);
	began_us = cpu_us();
	while (answered < starts) {
		for (int i = 0; i < batch && sent == answered + (uint64_t)i;
		     i++, sent++)
			start(targets, sent + 1, port + (int)(sent % workers));
		while (answered < sent)
			tevent_loop_once(ev);
	}
	printf("%" PRIu64 " starts, %" PRIu64 " failed, %.2f us a start\n",
	       answered, failed, (cpu_us() - began_us) / (double)answered);
	talloc_free(targets);
	talloc_free(mem);
	return failed ? 1 : 0;
}
