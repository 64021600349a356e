#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdint.h>
#include <talloc.h>

/*
 * Latency histograms for /metrics, one table for the process, like
 * base/counter.h. Any thread may add an observation. The text is in the
 * Prometheus exposition format, with seconds as the unit.
 */

#define HISTOGRAM_TABLE(X)                                                     \
	X(JOB, "job_seconds", "from a caller's request to its answer")         \
	X(JOB_WAIT, "job_wait_seconds", "from a request to its first start")   \
	X(TASK_RUN, "task_run_seconds", "from a start to its end")             \
	X(WORKER_START, "worker_start_seconds", "answers to starts")           \
	X(STORE_CALL, "store_call_seconds", "answers of the store")

enum histogram_id {
#define HISTOGRAM_ENUM(id, name, doc) HISTOGRAM_##id,
	HISTOGRAM_TABLE(HISTOGRAM_ENUM)
#undef HISTOGRAM_ENUM
		HISTOGRAM_COUNT
};

/* Adds one observation, from any thread. */
void histogram_observe_ms(enum histogram_id id, uint64_t ms);

/*
 * Returns the number of observations in the buckets whose upper bound is at
 * most ms.
 */
uint64_t histogram_count_up_to(enum histogram_id id, uint64_t ms);

/* Appends all histograms as Prometheus text to a talloc string. */
char *histogram_append(char *text);

#endif
