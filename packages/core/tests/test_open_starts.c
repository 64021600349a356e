/* TWICE: the starts of a job whose outcome its entry does not know. */
#include "base/tests/run_suite.h"
#include "core/open_starts.h"

static struct open_starts starts;
static TALLOC_CTX *mem;
static uint64_t now_ms;

static void set_up(void)
{
	mem = talloc_new(NULL);
	starts = (struct open_starts){ NULL, 0 };
	now_ms = 0;
}

static void tear_down(void)
{
	talloc_free(mem);
}

static void add(uint32_t index, uint32_t number, uint64_t over_ms,
		bool is_repeated)
{
	struct open_start start = { 0,		 index, number, over_ms,
				    is_repeated, 0,	false };

	open_starts_add(mem, &starts, &start, now_ms);
}

static bool settle(uint32_t index, uint32_t number)
{
	struct open_start start = { .index = index, .number = number };

	return open_starts_settle(&starts, &start);
}

static bool have(uint32_t index, uint64_t over_ms)
{
	struct open_start start = { .index = index, .over_ms = over_ms };

	return open_starts_have(&starts, &start);
}

START_TEST(test_settled_start_is_struck_out)
{
	add(0, 1, 100, false);
	add(1, 1, 100, false);
	add(0, 2, 100, false);
	ck_assert(settle(0, 1));
	ck_assert(!settle(0, 3));
	ck_assert_uint_eq(starts.count, 2);
	ck_assert_uint_eq(starts.rows[0].index, 1);
	ck_assert_uint_eq(starts.rows[1].number, 2);
	ck_assert(settle(1, 1));
	ck_assert(!have(1, 100));
	ck_assert(have(0, 100));
}
END_TEST

/* A start that is noted again is one start; its longer time counts. */
START_TEST(test_start_is_prolonged)
{
	add(0, 1, 200, false);
	add(0, 1, 100, false);
	add(0, 1, 300, false);
	ck_assert_uint_eq(starts.count, 1);
	ck_assert_uint_eq(starts.rows[0].over_ms, 300);
	open_starts_expire(&starts, 299);
	ck_assert_uint_eq(starts.count, 1);
	open_starts_expire(&starts, 300);
	ck_assert_uint_eq(starts.count, 0);
}
END_TEST

START_TEST(test_repeated_or_unnumbered_start_stays)
{
	add(0, 1, 100, false);
	add(0, 1, 100, true);
	add(1, 0, 100, false);
	ck_assert(!settle(0, 1));
	ck_assert(!settle(1, 0));
	ck_assert_uint_eq(starts.count, 2);
}
END_TEST

START_TEST(test_first_start_makes_room)
{
	for (uint32_t i = 0; i <= OPEN_STARTS_MAX; i++)
		add(i, 1, 100, false);
	ck_assert_uint_eq(starts.count, OPEN_STARTS_MAX);
	ck_assert_uint_eq(starts.rows[0].index, 1);
}
END_TEST

START_TEST(test_starts_that_are_over_make_room)
{
	add(0, 1, 60000, false);
	for (uint32_t i = 1; i < OPEN_STARTS_MAX; i++)
		add(i, 1, 100, false);
	now_ms = 100;
	add(0, 2, 70000, false);
	ck_assert_uint_eq(starts.count, 2);
	ck_assert(have(0, 60000));
}
END_TEST

/* Two starts of a task are told apart by their times. */
START_TEST(test_another_start_of_the_task_is_not_known)
{
	add(0, 1, 10000, false);
	ck_assert(have(0, 10000 - OPEN_START_SAME_MS + 1));
	ck_assert(have(0, 10000 + OPEN_START_SAME_MS - 1));
	ck_assert(!have(0, 10000 - OPEN_START_SAME_MS));
	ck_assert(!have(0, 10000 + OPEN_START_SAME_MS));
	ck_assert(!have(1, 10000));
}
END_TEST

START_TEST(test_start_of_no_task_has_a_fault)
{
	const struct job_step steps[] = { { .count = 2 } };
	const struct open_start sound = { 0, 1, 1, 100, false, 0, false };
	const struct open_start faulty[] = {
		{ 1, 0, 1, 100, false, 0, false },
		{ 0, 2, 1, 100, false, 0, false },
		{ 0, 0, UINT32_MAX, 100, false, 0, false },
	};

	const struct open_start wild[] = {
		{ STEP_JOB_MAX_STEPS, 0, 1, 100, false, 0, false },
		{ 0, OPEN_START_MAX_TASKS, 1, 100, false, 0, false },
		{ 0, 0, UINT32_MAX, 100, false, 0, false },
	};

	ck_assert_ptr_null(open_start_find_fault(&sound, steps, 1));
	for (size_t i = 0; i < sizeof(faulty) / sizeof(faulty[0]); i++)
		ck_assert_ptr_nonnull(
			open_start_find_fault(&faulty[i], steps, 1));
	/* The job is not known: within the limits of any job. */
	ck_assert_ptr_null(open_start_find_fault(&faulty[0], NULL, 0));
	for (size_t i = 0; i < sizeof(wild) / sizeof(wild[0]); i++)
		ck_assert_ptr_nonnull(open_start_find_fault(&wild[i], NULL, 0));
}
END_TEST

int main(void)
{
	return RUN_CASE("open_starts", set_up, tear_down,
			test_settled_start_is_struck_out,
			test_start_is_prolonged,
			test_repeated_or_unnumbered_start_stays,
			test_first_start_makes_room,
			test_starts_that_are_over_make_room,
			test_another_start_of_the_task_is_not_known,
			test_start_of_no_task_has_a_fault);
}
