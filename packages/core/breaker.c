#include "core/breaker.h"

#define DEFAULT_FAILURES 3
#define DEFAULT_FIRST_BACKOFF_MS 1000
#define DEFAULT_LONGEST_BACKOFF_MS 60000
#define RATE_WEIGHT 8 /* each new result has the weight 1/8 */

static uint64_t or_default(uint64_t value, uint64_t fallback)
{
	return value ? value : fallback;
}

bool breaker_allows(const struct breaker *breaker, uint64_t now_ms)
{
	return breaker->state == BREAKER_CLOSED ||
	       (breaker->state == BREAKER_OPEN &&
		now_ms >= breaker->retry_at_ms);
}

void breaker_task_sent(struct breaker *breaker, uint64_t now_ms)
{
	if (breaker->state == BREAKER_OPEN && now_ms >= breaker->retry_at_ms)
		breaker->state = BREAKER_HALF_OPEN;
}

static void count_result(struct breaker *breaker, uint32_t milli)
{
	breaker->rate_milli =
		(breaker->rate_milli * (RATE_WEIGHT - 1) + milli) / RATE_WEIGHT;
}

void breaker_success(struct breaker *breaker)
{
	count_result(breaker, 0);
	breaker->state = BREAKER_CLOSED;
	breaker->failures = 0;
	breaker->backoff_ms = 0;
}

void breaker_open(struct breaker *breaker,
		  const struct breaker_options *options, uint64_t now_ms)
{
	uint64_t first =
		or_default(options->first_backoff_ms, DEFAULT_FIRST_BACKOFF_MS);
	uint64_t longest = or_default(options->longest_backoff_ms,
				      DEFAULT_LONGEST_BACKOFF_MS);

	breaker->backoff_ms =
		breaker->backoff_ms ? breaker->backoff_ms * 2 : first;
	if (breaker->backoff_ms > longest)
		breaker->backoff_ms = longest;
	breaker->state = BREAKER_OPEN;
	breaker->retry_at_ms = now_ms + breaker->backoff_ms;
}

bool breaker_failure(struct breaker *breaker,
		     const struct breaker_options *options, uint64_t job)
{
	count_result(breaker, 1000);
	if (job != breaker->last_job || !breaker->failures)
		breaker->failures++;
	breaker->last_job = job;
	if (breaker->state == BREAKER_OPEN)
		return false; /* the task was sent before it opened */
	return breaker->state == BREAKER_HALF_OPEN ||
	       breaker->failures >=
		       or_default(options->failures, DEFAULT_FAILURES);
}

void breaker_undecided(struct breaker *breaker, uint64_t now_ms)
{
	if (breaker->state != BREAKER_HALF_OPEN)
		return;
	breaker->state = BREAKER_OPEN;
	breaker->retry_at_ms = now_ms;
}
