#ifndef CTL_LOAD_TRACE_H
#define CTL_LOAD_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * The load of one run, drawn from a seed before the run starts: when each job
 * is sent, to which instance and with which tasks. The same options give the
 * same trace, independent of the system under load.
 */

#define TRACE_MAX_TARGETS 64
#define TRACE_MAX_TEAMS 64

/* Workers of one data centre; 1/speed rises evenly from 1 to slowest. */
struct trace_workers {
	const char *data_centre;
	uint32_t count;
	uint32_t slots; /* of each */
	double slowest;
};

/* An instance that jobs are sent to. */
struct trace_target {
	const char *address; /* callers' HTTP */
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
	double declared_factor; /* largest error of declared times, both ways */
	double resubmit; /* part of the jobs that is sent again */
	double never_fits; /* part of the jobs */
	uint32_t never_fits_tasks; /* of such a job */
	const struct trace_target *targets;
	size_t target_count;
	const struct trace_team *teams;
	size_t team_count;
};

struct trace_job {
	uint64_t at_us; /* since the start of the run */
	size_t target;
	size_t team;
	uint32_t tasks;
	float *run_ms; /* of each task at speed 1 */
	float *declared_ms;
	uint64_t resubmit_after_us; /* 0: sent once */
	size_t resubmit_target;
	bool never_fits;
	/* Set by bound_replay(). */
	double ideal_ms;
	double bound_ms;
};

struct trace {
	struct trace_job *jobs; /* ordered by at_us */
	size_t count;
};

/* Draws a trace; owned by mem. */
struct trace *trace_create(TALLOC_CTX *mem,
			   const struct trace_options *options);

/* Estimates the mean work of a job in slot-seconds at speed 1. */
double trace_mean_work_s(const struct trace_options *options);

/* Returns the job's request body as JSON, made from the trace alone. */
char *trace_body(TALLOC_CTX *mem, const struct trace_options *options,
		 const struct trace_job *job);

#endif
