#ifndef CTL_LOAD_RUN_H
#define CTL_LOAD_RUN_H

#include <stdbool.h>
#include <stddef.h>

#include "ctl/load_trace.h"

/* Sends a trace to instances, open loop, and prints a report. */

#define LOAD_MAX_DATA_CENTRES 16
#define LOAD_MAX_OPERATORS 64

struct load_options {
	struct trace_options trace;
	struct trace_target targets[TRACE_MAX_TARGETS];
	struct trace_team teams[TRACE_MAX_TEAMS];
	struct trace_workers workers[LOAD_MAX_DATA_CENTRES];
	size_t worker_count;
	const char *operators[LOAD_MAX_OPERATORS]; /* to read counters from */
	size_t operator_count;
	double percent; /* load on the workers' slots; 0: use the rate */
	double cancel_at_s;
	double cancel_percent; /* of the jobs running at cancel_at_s */
	bool own_ids; /* each job has an id and is retried if disconnected */
	bool json;
	const char *jobs_file; /* one line a job; NULL for none */
	const char *requests_file; /* history of the callers; NULL for none */
};

/* Runs the load; returns an enum command_exit. */
int load_run(const struct load_options *options);

#endif
