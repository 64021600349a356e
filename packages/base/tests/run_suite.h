#ifndef BASE_TESTS_RUN_SUITE_H
#define BASE_TESTS_RUN_SUITE_H

#include <check.h>
#include <stdlib.h>

/* Runs a suite and returns the exit code for main. */
static inline int run_suite(Suite *suite)
{
	SRunner *sr = srunner_create(suite);
	int failed;

	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

/*
 * Runs a suite of one case. setup and teardown run before and after each test;
 * either may be NULL.
 */
static inline int run_case(const char *name, SFun setup, SFun teardown,
			   const TTest *const *tests)
{
	Suite *suite = suite_create(name);
	TCase *tc = tcase_create(name);

	/* check's default timeout of 4 s fails long tests on a busy machine. */
	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	for (; *tests; tests++)
		tcase_add_test(tc, *tests);
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}

#define RUN_CASE(name, setup, teardown, ...)                                   \
	run_case(name, setup, teardown,                                        \
		 (const TTest *const[]){ __VA_ARGS__, NULL })

#endif
