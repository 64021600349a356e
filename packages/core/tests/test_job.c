/* A job is complete only with all answers, in the order of its tasks. */
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/job.h"

static struct job *make_job(void)
{
	static const char text[] = "{\"service\":\"s\",\"tasks\":[{},{},{}]}";
	static const struct job_request_limits limits = { .tasks = 3,
							  .depth = 8 };
	static const struct job_id id;
	struct job_options options = {
		.id = &id, .text = "x", .now_ms = 5, .deadline_ms = 10
	};
	enum job_request_status status;
	char *message;

	options.request = job_request_parse(NULL, text, strlen(text), &limits,
					    &status, &message);
	return job_create(NULL, &options);
}

static char *answer(const char *text)
{
	return talloc_strdup(NULL, text);
}

START_TEST(test_answers_in_order)
{
	struct job *job = make_job();

	ck_assert_uint_eq(job->deadline_ms, 15);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(job_start_next(job), i);
	ck_assert_int_eq(job_start_next(job), -1);
	ck_assert(job_answer(job, 2, answer("\"c\"")));
	ck_assert(!job_is_complete(job));
	ck_assert(job_answer(job, 0, answer("\"a\"")));
	ck_assert(!job_is_complete(job));
	ck_assert(job_answer(job, 1, answer("\"b\"")));
	ck_assert(job_is_complete(job));
	ck_assert_str_eq(job_results(job, job), "[\"a\",\"b\",\"c\"]");
	talloc_free(job);
}
END_TEST

START_TEST(test_requeue)
{
	struct job *job = make_job();

	job_start_next(job);
	job_start_next(job);
	job_requeue(job, 0);
	ck_assert_uint_eq(job->ever_started, 1);
	ck_assert_uint_eq(job->pending, 2);
	ck_assert_int_eq(job_start_next(job), 0);
	ck_assert_int_eq(job_start_next(job), 2);
	talloc_free(job);
}
END_TEST

/* A job fails if its answers together do not fit one peer frame. */
START_TEST(test_answers_too_large)
{
	struct job *job = make_job();
	size_t len = JOB_ANSWER_BYTES / 2;
	char *large = talloc_array(NULL, char, (unsigned)len + 1);
	char *again;

	memset(large, '1', len);
	large[len] = '\0';
	again = answer(large);
	ck_assert(job_answer(job, 0, large));
	ck_assert(!job_answer(job, 1, again));
	talloc_free(job);
}
END_TEST

int main(void)
{
	return RUN_CASE("job", NULL, NULL, test_answers_in_order, test_requeue,
			test_answers_too_large);
}
