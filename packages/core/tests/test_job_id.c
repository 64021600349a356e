/* Damaged, foreign, never granted and expired ids are distinguished. */
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/job_id.h"

#define TTL_MS 1000

static struct job_id_grants *make_grants(void)
{
	static const struct job_id_grants_options options = {
		.incarnation = 77, .data_centre = "a", .ttl_ms = TTL_MS
	};

	return job_id_grants_create(NULL, &options);
}

START_TEST(test_format_and_parse)
{
	struct job_id id = { 1, UINT64_MAX, 0xdeadbeef, 123456 };
	struct job_id back;
	char text[JOB_ID_TEXT_BYTES];

	job_id_format(text, &id, 5);
	ck_assert_uint_eq(strlen(text), JOB_ID_TEXT_BYTES - 1);
	ck_assert_int_eq(job_id_parse(&back, text, 5), JOB_ID_OK);
	ck_assert(back.incarnation == id.incarnation &&
		  back.serial == id.serial &&
		  back.data_centre == id.data_centre &&
		  back.granted_ms == id.granted_ms);
	ck_assert_int_eq(job_id_parse(&back, text, 6), JOB_ID_FOREIGN);
}
END_TEST

START_TEST(test_damage_is_detected)
{
	struct job_id id = { 1, 2, 3, 4 };
	char text[JOB_ID_TEXT_BYTES];

	job_id_format(text, &id, 5);
	for (size_t i = 0; i < JOB_ID_TEXT_BYTES - 1; i++) {
		char was = text[i];

		text[i] = was == '0' ? '1' : '0';
		ck_assert_int_eq(job_id_parse(&id, text, 5), JOB_ID_FOREIGN);
		text[i] = 'G';
		ck_assert_int_eq(job_id_parse(&id, text, 5), JOB_ID_MALFORMED);
		text[i] = was;
	}
	ck_assert_int_eq(job_id_parse(&id, "", 5), JOB_ID_MALFORMED);
}
END_TEST

START_TEST(test_check_against_grants)
{
	struct job_id_grants *grants = make_grants();
	struct job_id_block block = job_id_grant(grants, 100, 2);
	struct job_id one, two, none;

	ck_assert(job_id_issue(&block, &one));
	ck_assert(job_id_issue(&block, &two));
	ck_assert(!job_id_issue(&block, &none));
	ck_assert_uint_ne(one.serial, two.serial);
	ck_assert_int_eq(job_id_check(grants, &one, 100), JOB_ID_VALID);
	ck_assert_uint_eq(job_id_remaining_ms(grants, &one, 100), TTL_MS);
	ck_assert_int_eq(job_id_check(grants, &one, 100 + TTL_MS - 1),
			 JOB_ID_VALID);
	ck_assert_int_eq(job_id_check(grants, &one, 100 + TTL_MS),
			 JOB_ID_EXPIRED);
	two.serial++;
	ck_assert_int_eq(job_id_check(grants, &two, 100), JOB_ID_NEVER_GRANTED);
	one.granted_ms++;
	ck_assert_int_eq(job_id_check(grants, &one, 100), JOB_ID_NEVER_GRANTED);
	talloc_free(grants);
}
END_TEST

/* An id of a grant that was removed is expired, not "never granted". */
START_TEST(test_many_grants)
{
	struct job_id_grants *grants = make_grants();
	struct job_id_block first = job_id_grant(grants, 0, 10);
	struct job_id_block last = first;
	struct job_id old, young;

	ck_assert(job_id_issue(&first, &old));
	for (uint64_t now = 0; now < 100 * TTL_MS; now += 100)
		last = job_id_grant(grants, now, 10);
	ck_assert(job_id_issue(&last, &young));
	ck_assert_int_eq(job_id_check(grants, &old, 100 * TTL_MS),
			 JOB_ID_EXPIRED);
	ck_assert_int_eq(job_id_check(grants, &young, 100 * TTL_MS),
			 JOB_ID_VALID);
	talloc_free(grants);
}
END_TEST

int main(void)
{
	return RUN_CASE("job_id", NULL, NULL, test_format_and_parse,
			test_damage_is_detected, test_check_against_grants,
			test_many_grants);
}
