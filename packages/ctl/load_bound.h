#ifndef CTL_LOAD_BOUND_H
#define CTL_LOAD_BOUND_H

#include "ctl/load_trace.h"

/*
 * What a trace could reach at best, for comparison: the ideal is a job alone
 * on the idle workers of its data centre; the bound replays the whole trace
 * through one queue per data centre that knows all run times, sends no
 * messages and works the job with the least remaining work first.
 */

struct bound_slots {
	double *speeds; /* fastest first */
	size_t count;
};

/* The slots of one data centre's workers, owned by mem. */
struct bound_slots *bound_slots_create(TALLOC_CTX *mem,
				       const struct trace_workers *workers);

/* Time of one job alone, the longest task to the slot that ends it first. */
double bound_ideal_ms(const struct bound_slots *slots, const float *run_ms,
		      uint32_t tasks);

/*
 * Sets ideal_ms and bound_ms of the jobs whose targets stand in the data
 * centre of the workers.
 */
void bound_replay(struct trace *trace, const struct trace_options *options,
		  const struct trace_workers *workers);

#endif
