#ifndef CTL_LOAD_BOUND_H
#define CTL_LOAD_BOUND_H

#include "ctl/load_trace.h"

/*
 * Best response times of a trace, for comparison. The ideal is that of a job
 * alone on the idle workers of its data centre. The bound replays the whole
 * trace through one queue per data centre that knows all run times, sends no
 * messages and serves the job with the least remaining work first.
 */

struct bound_slots {
	double *speeds; /* fastest first */
	size_t count;
};

/* Returns the slots of one data centre's workers, owned by mem. */
struct bound_slots *bound_slots_create(TALLOC_CTX *mem,
				       const struct trace_workers *workers);

/*
 * Returns the response time in ms of one job alone; tasks, longest first, go to
 * the slot that ends them first.
 */
double bound_ideal_ms(const struct bound_slots *slots, const float *run_ms,
		      uint32_t tasks);

/*
 * Sets ideal_ms and bound_ms of the jobs whose targets are in the workers' data
 * centre.
 */
void bound_replay(struct trace *trace, const struct trace_options *options,
		  const struct trace_workers *workers);

#endif
