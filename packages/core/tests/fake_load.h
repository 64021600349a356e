#ifndef CORE_TESTS_FAKE_LOAD_H
#define CORE_TESTS_FAKE_LOAD_H

#include "core/lease_dispatch.h"

/*
 * Replays a load against a dispatcher of leased workers: arrivals of kinds of
 * jobs, workers of unlike speeds, all on one simulated clock of 1 ms. The same
 * seed gives the same arrivals and run times whatever the policy is.
 */

struct fake_load_kind {
	const char *name;
	double per_s; /* arrivals */
	uint32_t tasks; /* of a job, on average */
	uint32_t run_ms; /* of a task on a worker of speed 1 */
	uint32_t priority;
	double worth; /* of a job on time; late it is a fifth */
	double burst; /* multiple of per_s between burst_from and _to */
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
	uint64_t length_ms; /* of arrivals; what is left then may end */
	uint64_t deadline_ms; /* of callers */
	/* The first so many workers stop answering and running at fail_at_ms.
	 */
	uint32_t failed_workers;
	uint64_t fail_at_ms;
	/* Of orders: carried out after seconds, and never answered. */
	uint32_t late_percent;
	uint64_t seed;
};

struct fake_load_kind_result {
	uint32_t jobs;
	uint32_t on_time;
	uint32_t late; /* up to three times the objective */
	uint32_t refused;
	uint32_t refused_late; /* after three times the objective */
	uint32_t given_up;
	uint32_t answered_late; /* not served, and told after a quarter of the
				 * objective
				 */
};

#define FAKE_LOAD_MAX_KINDS 8

struct fake_load_result {
	struct fake_load_kind_result kinds[FAKE_LOAD_MAX_KINDS];
	double worth; /* earned of what was owed, 0 to 1 */
	uint32_t duplicate_starts; /* of a task with an open run */
	uint32_t refused_after_start; /* refusals that were not true */
};

void fake_load_run(const struct fake_load_options *options,
		   struct fake_load_result *result);

#endif
