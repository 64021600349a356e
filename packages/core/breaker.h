#ifndef CORE_BREAKER_H
#define CORE_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A circuit breaker for one worker. It opens on failures in a row of different
 * jobs, so that a job which fails everywhere closes no worker, and lets one
 * task through a backoff to see whether the worker has recovered.
 */

enum breaker_state { BREAKER_CLOSED, BREAKER_OPEN, BREAKER_HALF_OPEN };

struct breaker_options {
	uint32_t failures; /* of different jobs in a row; 0 means 3 */
	uint64_t first_backoff_ms; /* 0 means 1000 */
	uint64_t longest_backoff_ms; /* 0 means 60000 */
};

struct breaker {
	enum breaker_state state;
	uint32_t failures; /* of different jobs in a row */
	uint32_t rate_milli; /* failures in 1000 results, decaying */
	uint64_t last_job; /* serial of the job that failed last */
	uint64_t backoff_ms;
	uint64_t retry_at_ms;
};

/* May a task be sent now? In the half-open state just one at a time may. */
bool breaker_allows(const struct breaker *breaker, uint64_t now_ms);

/* Tells that a task was sent. */
void breaker_sent(struct breaker *breaker, uint64_t now_ms);

/* A task was answered: the breaker closes, its failures are forgotten. */
void breaker_success(struct breaker *breaker);

/*
 * Counts a failure of the job. Returns true when the breaker should open:
 * breaker_open does that, unless the fleet speaks against it.
 */
bool breaker_failure(struct breaker *breaker,
		     const struct breaker_options *options, uint64_t job);

/* A task ended without a verdict on the worker: a probe may be sent again. */
void breaker_undecided(struct breaker *breaker, uint64_t now_ms);

/* Opens the breaker, for twice as long as the last time. */
void breaker_open(struct breaker *breaker,
		  const struct breaker_options *options, uint64_t now_ms);

#endif
