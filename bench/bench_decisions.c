/*
 * Measures the dispatcher's decisions alone, with ports that do no I/O: starts
 * per second at a given backlog. Usage:
 *
 *     bench_decisions WORKERS SLOTS WAITING_JOBS STARTS
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/dispatch.h"

#define MAX_TASKS 4 /* in a job */

static uint64_t *tokens; /* ring buffer of the running tasks */
static size_t ring_size, head, tail;
static uint64_t next_token, done_jobs;

static void on_start(void *ctx, const struct port_start *s)
{
	(void)ctx;
	tokens[tail++ % ring_size] = s->token;
}

static void on_stop(void *ctx, const struct port_stop *s)
{
	(void)ctx;
	(void)s;
}

static uint64_t next_id(void *ctx)
{
	(void)ctx;
	return ++next_token;
}

static void on_done(void *ctx, struct job *job, const struct outcome *outcome)
{
	(void)ctx;
	(void)job;
	(void)outcome;
	done_jobs++;
}

static bool owns(void *ctx, const struct config_worker *worker)
{
	(void)ctx;
	(void)worker;
	return true;
}

static void configure(struct dispatch *dispatch, int workers, int slots)
{
	char *text = talloc_strdup(dispatch, "{\"version\":1,\"services\":[{"
					     "\"name\":\"s\"}],\"workers\":[");
	enum config_status status;
	struct config_document *doc;
	char *message;

	for (int i = 0; i < workers; i++)
		text = talloc_asprintf_append(
			text,
			"%s{\"name\":\"w%d\",\"address\":\"127.0.0.1:1\","
			"\"data_centre\":\"a\",\"service\":\"s\","
			"\"slots\":%d}",
			i ? "," : "", i, slots);
	text = talloc_strdup_append(text, "]}");
	doc = config_parse(dispatch, text, strlen(text), &status, &message);
	if (!doc) {
		fprintf(stderr, "%s\n", message);
		exit(1);
	}
	dispatch_configure(dispatch, doc, owns, NULL, 0);
}

static void submit(struct dispatch *dispatch, uint64_t now_ms,
		   struct random_generator *random)
{
	static struct job_request_task tasks[MAX_TASKS];
	static uint64_t serial;
	struct job_request *r = talloc_zero(NULL, struct job_request);
	struct job_id id = { .serial = ++serial };
	struct job_options options = {
		.id = &id,
		.text = "job",
		.request = r,
		.now_ms = now_ms,
		.deadline_ms = 1000000 + random_below(random, 100000),
	};

	for (int i = 0; i < MAX_TASKS; i++)
		tasks[i].body = "{}";
	r->service = "s";
	r->team = "t";
	r->tasks = tasks;
	r->task_count = 1 + (uint32_t)random_below(random, MAX_TASKS);
	dispatch_submit(dispatch, job_create(NULL, &options), now_ms);
}

/* Ends tasks in random order; submits a new job for each job that ends. */
static void run_tasks(struct dispatch *dispatch, uint64_t limit,
		      struct random_generator *random)
{
	uint64_t now_ms = 1;

	while (head < limit) {
		size_t at = head + random_below(random, tail - head);
		struct port_result result = { .token = tokens[at % ring_size],
					      .kind = PORT_DONE };
		uint64_t ended = done_jobs;

		tokens[at % ring_size] = tokens[head++ % ring_size];
		now_ms += head % 16 == 0;
		result.body = talloc_strdup(NULL, "1");
		dispatch_result(dispatch, &result, now_ms);
		for (; ended < done_jobs; ended++)
			submit(dispatch, now_ms, random);
	}
}

int main(int argc, char **argv)
{
	static const struct ports ports = { .start = on_start,
					    .stop = on_stop,
					    .random_id = next_id };
	struct random_generator random = { 1 };
	struct dispatch_options options = {
		.ports = &ports,
		.placement = placement_find("dispatcher"),
		.order = job_order_find("least_remaining"),
		.random = &random,
		.breakers = true,
		.breaker_open_percent = 30,
		.retry_percent = 10,
		.backlog_tasks = 10000000,
		.done = on_done,
	};
	struct dispatch *dispatch = dispatch_create(NULL, &options);
	struct timespec begin, end;
	uint64_t waiting_jobs, limit;
	double seconds;

	if (argc != 5) {
		fprintf(stderr, "usage: bench_decisions WORKERS SLOTS "
				"WAITING_JOBS STARTS\n");
		return 2;
	}
	ring_size = strtoul(argv[1], NULL, 10) * strtoul(argv[2], NULL, 10) + 1;
	tokens = calloc(ring_size, sizeof(*tokens));
	waiting_jobs = (uint64_t)atoll(argv[3]);
	limit = (uint64_t)atoll(argv[4]);
	configure(dispatch, atoi(argv[1]), atoi(argv[2]));
	for (uint64_t i = 0; i < waiting_jobs; i++)
		submit(dispatch, 1, &random);
	clock_gettime(CLOCK_MONOTONIC, &begin);
	run_tasks(dispatch, limit, &random);
	clock_gettime(CLOCK_MONOTONIC, &end);
	seconds = (double)(end.tv_sec - begin.tv_sec) +
		  (double)(end.tv_nsec - begin.tv_nsec) / 1e9;
	printf("%s workers, %s slots, %s jobs waiting: %.0f starts/s\n",
	       argv[1], argv[2], argv[3], (double)head / seconds);
	return 0;
}
