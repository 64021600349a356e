#ifndef CORE_TESTS_FAKE_SITE_H
#define CORE_TESTS_FAKE_SITE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Several whole instances with leased workers on one simulated clock, and
 * faults drawn from a seed: links and workers cut off, answers lost, orders
 * carried out seconds late, instances frozen, killed and stopped. Workers keep
 * the platform's rules (fencing tokens, leases, run numbers); the oracle is
 * what they and the callers see.
 */

struct fake_site_options {
	uint32_t instances;
	uint32_t workers;
	uint32_t direct_workers; /* with more, relays call them; 0: default */
	bool first_start; /* instances know that the system is new */
	uint64_t length_ms; /* of arrivals and faults */
	uint32_t jobs_per_s;
	uint32_t faults_per_s;
	uint64_t seed;
};

struct fake_site_result {
	uint32_t jobs;
	uint32_t completed;
	uint32_t refused;
	uint32_t given_up;
	uint32_t lost; /* with their instance: the caller sees it */
	uint32_t unanswered; /* at the end: none may be left */
	uint32_t doubled; /* starts beside a living run of the task */
	uint32_t untrue; /* refused as not run, and had run or runs later */
	uint32_t faults;
	uint32_t leaders; /* at the end */
	char first[160]; /* the first fault found, for a person */
};

void fake_site_run(const struct fake_site_options *options,
		   struct fake_site_result *result);

#endif
