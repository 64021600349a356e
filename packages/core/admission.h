#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "core/outcome.h"

/*
 * Admission control: refuses a job before any of its tasks has started, which
 * makes "not run" true and cheap. It judges figures; it holds no state.
 */

struct admission_view {
	bool service_known;
	uint32_t tasks; /* of the job */
	uint32_t max_tasks; /* of the service; 0: no limit */
	uint64_t deadline_ms; /* from now */
	uint32_t slots; /* of usable workers */
	uint64_t backlog_tasks; /* waiting for the service */
	uint64_t backlog_limit; /* tasks, over all services */
	uint64_t all_backlog_tasks;
	uint64_t mean_run_us; /* observed for the service; 0: not yet */
	uint64_t shortest_declared_ms; /* longest task on the fastest worker */
};

/* OUTCOME_NONE_REASON, or the reason of a refusal. */
enum outcome_reason admission_check(const struct admission_view *view);

#endif
