/* Text survives a round trip; wrong lengths and invalid data are refused. */
#include <string.h>

#include "base/tests/run_suite.h"
#include "wire/deflate.h"

#define LIMIT 100000

START_TEST(test_round_trip)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	char *text = talloc_strdup(mem, "{");
	uint8_t *packed;

	for (int i = 0; i < 1000; i++)
		text = talloc_asprintf_append(text, "\"worker-%d\":8,", i);
	packed = deflate_pack(mem, text, strlen(text));
	ck_assert_uint_lt(talloc_get_size(packed), strlen(text) / 3);
	ck_assert_str_eq(deflate_unpack(mem, packed, talloc_get_size(packed),
					strlen(text), LIMIT),
			 text);
	talloc_free(mem);
}
END_TEST

START_TEST(test_invalid_data_is_refused)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	uint8_t *packed = deflate_pack(mem, "whole", 5);
	size_t len = talloc_get_size(packed);

	ck_assert_ptr_null(deflate_unpack(mem, packed, len, 4, LIMIT));
	ck_assert_ptr_null(deflate_unpack(mem, packed, len, 6, LIMIT));
	ck_assert_ptr_null(deflate_unpack(mem, packed, len, 0, LIMIT));
	ck_assert_ptr_null(deflate_unpack(mem, packed, len, 5, 4));
	ck_assert_ptr_null(deflate_unpack(mem, packed, len - 1, 5, LIMIT));
	ck_assert_ptr_null(
		deflate_unpack(mem, (const uint8_t *)"junk", 4, 5, LIMIT));
	talloc_free(mem);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("deflate");
	TCase *tc = tcase_create("deflate");

	tcase_add_test(tc, test_round_trip);
	tcase_add_test(tc, test_invalid_data_is_refused);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
