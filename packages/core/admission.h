#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "core/outcome.h"

/*
 * Admission control: refuses a job before any of its tasks has started, so that
 * the outcome "not run" is certain. It keeps no state.
 */

struct admission_view {
	bool service_known;
	uint32_t tasks; /* of the job */
	uint32_t max_tasks; /* of the service; 0: no limit */
	uint64_t deadline_ms; /* from now; 0: passed */
	uint32_t slots; /* of usable workers, here and at other dispatchers */
	uint64_t backlog_tasks; /* waiting for the service */
	uint64_t backlog_limit; /* tasks, over all services */
	uint64_t all_backlog_tasks; /* waiting, over all services */
	uint64_t mean_run_us; /* observed for the service; 0: none */
};

/* Returns OUTCOME_NONE_REASON to admit the job, else why it is refused. */
enum outcome_reason admission_decide(const struct admission_view *view);

#endif
