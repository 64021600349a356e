#include "core/admission.h"

/* Expected time until the job's last task ends if the job is queued now. */
static uint64_t estimate_ms(const struct admission_view *view)
{
	uint64_t ahead = view->backlog_tasks + view->tasks;

	return ahead * view->mean_run_us / view->slots / 1000;
}

enum outcome_reason admission_decide(const struct admission_view *view)
{
	if (!view->service_known)
		return OUTCOME_UNKNOWN_SERVICE_REASON;
	if (view->max_tasks && view->tasks > view->max_tasks)
		return OUTCOME_NEVER_FITS_REASON;
	if (!view->deadline_ms)
		return OUTCOME_TOO_LATE_REASON;
	if (view->all_backlog_tasks + view->tasks > view->backlog_limit)
		return OUTCOME_OVERLOADED_REASON;
	if (!view->slots)
		return OUTCOME_NO_WORKER_REASON;
	if (view->mean_run_us && estimate_ms(view) > view->deadline_ms)
		return OUTCOME_TOO_LATE_REASON;
	return OUTCOME_NONE_REASON;
}
