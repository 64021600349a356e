#include "base/line_sink.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "base/counter.h"

#define CLOSE_TIMEOUT_MS 1000 /* wait for a writer whose file blocks */
/*
 * The writer collects lines for this long: waking it for each line costs more
 * than the line.
 */
#define COLLECT_MS 100

struct line {
	STAILQ_ENTRY(line) entry;
	char text[];
};

STAILQ_HEAD(line_list, line);

struct line_sink {
	pthread_mutex_t lock;
	pthread_cond_t wake; /* both use the monotonic clock */
	pthread_cond_t writer_end;
	bool writer_ended;
	bool abandoned; /* the writer frees the sink when it ends */
	pthread_t writer;
	struct line_list queue;
	size_t depth;
	size_t limit;
	bool closing;
	FILE *file;
};

static void write_batch(struct line_sink *sink, struct line_list *batch)
{
	struct line *line;

	while ((line = STAILQ_FIRST(batch))) {
		STAILQ_REMOVE_HEAD(batch, entry);
		fputs(line->text, sink->file);
		fputc('\n', sink->file);
		free(line);
	}
	fflush(sink->file);
}

static void destroy(struct line_sink *sink)
{
	if (sink->file != stderr && sink->file != stdout)
		fclose(sink->file);
	pthread_cond_destroy(&sink->writer_end);
	pthread_cond_destroy(&sink->wake);
	pthread_mutex_destroy(&sink->lock);
	free(sink);
}

static struct timespec monotonic_time_in(unsigned ms)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	at.tv_sec += ms / 1000;
	at.tv_nsec += (long)(ms % 1000) * 1000000;
	if (at.tv_nsec >= 1000000000) {
		at.tv_nsec -= 1000000000;
		at.tv_sec++;
	}
	return at;
}

static bool is_half_full(const struct line_sink *sink)
{
	return sink->depth * 2 >= sink->limit;
}

/* Waits for a first line, and then for more, with the lock held. */
static void wait_for_lines(struct line_sink *sink)
{
	struct timespec until;
	int err = 0;

	while (!sink->depth && !sink->closing)
		pthread_cond_wait(&sink->wake, &sink->lock);
	until = monotonic_time_in(COLLECT_MS);
	while (!err && !sink->closing && !is_half_full(sink))
		err = pthread_cond_timedwait(&sink->wake, &sink->lock, &until);
}

static void *run_writer(void *arg)
{
	struct line_sink *sink = arg;
	bool abandoned;
	struct line_list batch = STAILQ_HEAD_INITIALIZER(batch);
	bool closing = false;

	while (!closing) {
		pthread_mutex_lock(&sink->lock);
		wait_for_lines(sink);
		STAILQ_CONCAT(&batch, &sink->queue);
		sink->depth = 0;
		closing = sink->closing;
		pthread_mutex_unlock(&sink->lock);
		write_batch(sink, &batch);
	}
	pthread_mutex_lock(&sink->lock);
	sink->writer_ended = true;
	abandoned = sink->abandoned;
	pthread_cond_signal(&sink->writer_end);
	pthread_mutex_unlock(&sink->lock);
	if (abandoned)
		destroy(sink);
	return NULL;
}

static FILE *open_file(const char *path)
{
	if (!path || !strcmp(path, "-"))
		return stderr;
	return strcmp(path, "stdout") ? fopen(path, "ae") : stdout;
}

struct line_sink *sink_open(const char *path, size_t limit)
{
	bool standard = !path || !strcmp(path, "-") || !strcmp(path, "stdout");
	FILE *file = open_file(path);
	pthread_condattr_t monotonic;
	struct line_sink *sink;

	if (!file)
		return NULL;
	sink = calloc(1, sizeof(*sink));
	if (!sink)
		abort();
	pthread_mutex_init(&sink->lock, NULL);
	pthread_condattr_init(&monotonic);
	pthread_condattr_setclock(&monotonic, CLOCK_MONOTONIC);
	pthread_cond_init(&sink->wake, &monotonic);
	pthread_cond_init(&sink->writer_end, &monotonic);
	pthread_condattr_destroy(&monotonic);
	STAILQ_INIT(&sink->queue);
	sink->limit = limit;
	sink->file = file;
	if (pthread_create(&sink->writer, NULL, run_writer, sink)) {
		if (!standard)
			fclose(file);
		free(sink);
		return NULL;
	}
	return sink;
}

bool sink_put(struct line_sink *sink, const char *text)
{
	size_t len = strlen(text);
	struct line *line = malloc(sizeof(*line) + len + 1);
	bool full;

	if (!line)
		abort();
	memcpy(line->text, text, len + 1);
	pthread_mutex_lock(&sink->lock);
	full = sink->depth >= sink->limit;
	if (!full) {
		STAILQ_INSERT_TAIL(&sink->queue, line, entry);
		if (!sink->depth++ || is_half_full(sink))
			pthread_cond_signal(&sink->wake);
	}
	pthread_mutex_unlock(&sink->lock);
	if (full) {
		free(line);
		counter_add(COUNTER_LOG_DROPPED, 1);
	}
	return !full;
}

/* Waits for the writer to end; false when the wait timed out. */
static bool wait_for_writer(struct line_sink *sink)
{
	struct timespec until = monotonic_time_in(CLOSE_TIMEOUT_MS);
	int err = 0;

	while (!sink->writer_ended && !err)
		err = pthread_cond_timedwait(&sink->writer_end, &sink->lock,
					     &until);
	return sink->writer_ended;
}

void sink_close(struct line_sink *sink)
{
	bool ended;

	if (!sink)
		return;
	pthread_mutex_lock(&sink->lock);
	sink->closing = true;
	pthread_cond_signal(&sink->wake);
	ended = wait_for_writer(sink);
	sink->abandoned = !ended;
	if (!ended)
		pthread_detach(sink->writer);
	pthread_mutex_unlock(&sink->lock);
	if (!ended)
		return;
	pthread_join(sink->writer, NULL);
	destroy(sink);
}
