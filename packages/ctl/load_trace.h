#ifndef CTL_LOAD_TRACE_H
#define CTL_LOAD_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * The load of one run, drawn from a seed before it begins: which job is sent
 * when, to which instance, with which tasks. The same options give the same
 * trace, whatever system it is then sent to.
 */

#define TRACE_MAX_TARGETS 64
#define TRACE_MAX_TEAMS 64

/* Workers of one data centre: speeds run evenly from 1 down to 1/slowest. */
struct trace_workers {
	const char *data_centre;
	uint32_t count;
	uint32_t slots; /* of each */
	double slowest;
};

/* An instance that jobs are sent to. */
struct trace_target {
	const char *address; /* of callers */
	const char *data_centre;
	double weight;
};

struct trace_team {
	const char *name;
	double weight;
};

struct trace_options {
	unsigned long seed;
	double seconds;
	double jobs_per_s;
	uint32_t tasks_min; /* of a job: bounded Pareto */
	uint32_t tasks_max;
	double tasks_alpha;
	double run_median_ms; /* of a task at speed 1: log-normal */
	double run_sigma;
	double run_max_ms;
	uint32_t deadline_ms;
	double burst_at_s;
	double burst_for_s; /* 0: no burst */
	double burst_factor; /* of the rate */
	double burst_share; /* part that goes to the first data centre */
	double declared_factor; /* declared times are off by it, both ways */
	double resubmit; /* part of the jobs, sent again while running */
	double never_fits; /* part of the jobs */
	uint32_t never_fits_tasks; /* of such a job */
	const struct trace_target *targets;
	size_t target_count;
	const struct trace_team *teams;
	size_t team_count;
};

struct trace_job {
	uint64_t at_us; /* from the begin of the run */
	size_t target;
	size_t team;
	uint32_t tasks;
	float *run_ms; /* of each task at speed 1 */
	float *declared_ms;
	uint64_t resubmit_after_us; /* 0: sent once */
	size_t resubmit_target;
	bool never_fits;
	/* Filled in by bound_. */
	double ideal_ms;
	double bound_ms;
};

struct trace {
	struct trace_job *jobs; /* by time */
	size_t count;
};

/* Draws a trace; owned by mem. */
struct trace *trace_create(TALLOC_CTX *mem,
			   const struct trace_options *options);

/* Mean work of a job in slot-seconds at speed 1, by sampling. */
double trace_mean_work_s(const struct trace_options *options);

/* The job as JSON; never refers to anything but the trace. */
char *trace_body(TALLOC_CTX *mem, const struct trace_options *options,
		 const struct trace_job *job);

#endif
