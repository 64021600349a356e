#ifndef CORE_BREAKER_H
#define CORE_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A circuit breaker for one worker. It opens after consecutive failures of
 * different jobs, so that one job that fails everywhere opens no breaker. After
 * each backoff it allows one task as a probe of whether the worker has
 * recovered.
 */

enum breaker_state { BREAKER_CLOSED, BREAKER_OPEN, BREAKER_HALF_OPEN };

struct breaker_options {
	uint32_t failures; /* consecutive, of different jobs; 0 means 3 */
	uint64_t first_backoff_ms; /* 0 means 1000 */
	uint64_t longest_backoff_ms; /* 0 means 60000 */
};

struct breaker {
	enum breaker_state state;
	uint32_t failures; /* consecutive, of different jobs */
	uint32_t rate_milli; /* decaying mean of failures in 1000 results */
	uint64_t last_job; /* serial of the last job that failed */
	uint64_t backoff_ms;
	uint64_t retry_at_ms;
};

/*
 * Returns true if a task may be sent now. The half-open state allows no task
 * besides the probe.
 */
bool breaker_allows(const struct breaker *breaker, uint64_t now_ms);

/* Records that a task was sent: an open breaker becomes half-open. */
void breaker_task_sent(struct breaker *breaker, uint64_t now_ms);

/* Records an answered task: closes the breaker and resets its failures. */
void breaker_success(struct breaker *breaker);

/*
 * Records a failure; job is the serial of the task's job. Returns true if the
 * breaker should open. The caller then calls breaker_open: always for a
 * half-open breaker, for a closed one only if placement_may_open allows it.
 */
bool breaker_failure(struct breaker *breaker,
		     const struct breaker_options *options, uint64_t job);

/*
 * Records a task that ended without showing whether the worker has recovered:
 * a half-open breaker allows another probe at once.
 */
void breaker_undecided(struct breaker *breaker, uint64_t now_ms);

/* Opens the breaker; the backoff doubles each time, up to the longest. */
void breaker_open(struct breaker *breaker,
		  const struct breaker_options *options, uint64_t now_ms);

#endif
