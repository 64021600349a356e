#ifndef CTL_LOAD_RUN_H
#define CTL_LOAD_RUN_H

#include <stdbool.h>
#include <stddef.h>

#include "ctl/load_trace.h"

/* Runs a trace against instances, open loop, and reports. */

#define LOAD_MAX_DATA_CENTRES 16
#define LOAD_MAX_OPERATORS 64

struct load_options {
	struct trace_options trace;
	struct trace_target targets[TRACE_MAX_TARGETS];
	struct trace_team teams[TRACE_MAX_TEAMS];
	struct trace_workers workers[LOAD_MAX_DATA_CENTRES];
	size_t worker_count;
	const char *operators[LOAD_MAX_OPERATORS]; /* whose counters to read */
	size_t operator_count;
	double percent; /* of the workers' slots, in place of a rate; or 0 */
	double cancel_at_s;
	double cancel_percent; /* of the jobs running then */
	bool own_ids; /* each job under an id, repeated when it is cut off */
	bool json;
	const char *jobs_file; /* one line a job; NULL for none */
	const char *requests_file; /* history of the callers; NULL for none */
};

/* Returns an exit code of the command. */
int load_run(const struct load_options *options);

#endif
