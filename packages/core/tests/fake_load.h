#ifndef CORE_TESTS_FAKE_LOAD_H
#define CORE_TESTS_FAKE_LOAD_H

#include "core/lease_dispatch.h"

/*
 * Simulates a load on a dispatcher of leased workers: arrivals of several kinds
 * of jobs and workers of different speeds, on a clock with steps of 1 ms. The
 * same seed gives the same arrivals and run times under every policy.
 */

struct fake_load_kind {
	const char *name;
	double per_s; /* arrivals */
	uint32_t tasks; /* of a job, on average */
	uint32_t run_ms; /* of a task on a worker of speed 1 */
	uint32_t priority;
	double worth; /* of a job on time; a late job earns a fifth */
	double burst; /* multiple of per_s during the burst; 0: none */
};

struct fake_load_options {
	const char *order;
	bool admission;
	uint32_t workers;
	uint32_t worker_milli;
	uint32_t task_milli;
	const struct fake_load_kind *kinds;
	size_t kind_count;
	uint64_t burst_from_ms;
	uint64_t burst_to_ms;
	uint64_t length_ms; /* of arrivals; jobs then get deadline_ms to end */
	uint64_t deadline_ms; /* of callers */
	/* Number of workers that stop answering and running at fail_at_ms. */
	uint32_t failed_workers;
	uint64_t fail_at_ms;
	uint32_t late_percent; /* of calls: never answered in time */
	uint64_t seed;
};

struct fake_load_kind_result {
	uint32_t jobs;
	uint32_t on_time;
	uint32_t late; /* up to three times the objective */
	uint32_t refused;
	uint32_t refused_late; /* after three times the objective */
	uint32_t given_up;
	/* Never started, and answered after a quarter of the objective. */
	uint32_t answered_late;
};

#define FAKE_LOAD_MAX_KINDS 8

struct fake_load_result {
	struct fake_load_kind_result kinds[FAKE_LOAD_MAX_KINDS];
	double worth; /* earned, as a share of the worth of all jobs, 0 to 1 */
	uint32_t duplicate_starts; /* of a task with an open run */
	uint32_t refused_after_start; /* refused though a task had started */
};

/* Runs the simulation and fills in *result. */
void fake_load_run(const struct fake_load_options *options,
		   struct fake_load_result *result);

#endif
