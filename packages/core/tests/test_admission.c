/* Each refusal has the right reason; a job that fits is admitted. */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "core/admission.h"

static const struct admission_view fits = {
	.service_known = true,
	.tasks = 10,
	.max_tasks = 10,
	.deadline_ms = 1000,
	.slots = 10,
	.backlog_tasks = 90,
	.backlog_limit = 1000,
	.all_backlog_tasks = 990,
	.mean_run_us = 100000,
};

START_TEST(test_reasons)
{
	struct admission_view v = fits;

	ck_assert_int_eq(admission_decide(&v), OUTCOME_NONE_REASON);
	v.service_known = false;
	ck_assert_int_eq(admission_decide(&v), OUTCOME_UNKNOWN_SERVICE_REASON);
	v = fits;
	v.max_tasks = 9;
	ck_assert_int_eq(admission_decide(&v), OUTCOME_NEVER_FITS_REASON);
	v.max_tasks = 0;
	ck_assert_int_eq(admission_decide(&v), OUTCOME_NONE_REASON);
	v = fits;
	v.deadline_ms = 0;
	ck_assert_int_eq(admission_decide(&v), OUTCOME_TOO_LATE_REASON);
	v = fits;
	v.all_backlog_tasks = 991;
	ck_assert_int_eq(admission_decide(&v), OUTCOME_OVERLOADED_REASON);
	v = fits;
	v.slots = 0;
	ck_assert_int_eq(admission_decide(&v), OUTCOME_NO_WORKER_REASON);
}
END_TEST

START_TEST(test_estimated_finish)
{
	struct admission_view v = fits;

	v.backlog_tasks = 91; /* 101 tasks of 100 ms on 10 slots */
	ck_assert_int_eq(admission_decide(&v), OUTCOME_TOO_LATE_REASON);
	v.deadline_ms = 1100;
	ck_assert_int_eq(admission_decide(&v), OUTCOME_NONE_REASON);
	v.mean_run_us = 0; /* no run time observed yet: the job is admitted */
	v.deadline_ms = 1;
	ck_assert_int_eq(admission_decide(&v), OUTCOME_NONE_REASON);
}
END_TEST

int main(void)
{
	return RUN_CASE("admission", NULL, NULL, test_reasons,
			test_estimated_finish);
}
