/* Quoted JSON strings, and the text of counters and histograms. */
#include <json-c/json.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/json_text.h"

START_TEST(test_quote)
{
	char text[257], quoted[2048];
	json_object *obj;

	for (int i = 0; i < 127; i++)
		text[i] = (char)(i + 1);
	strcpy(text + 127, "\xc3\xa9");
	json_text_quote(quoted, sizeof(quoted), text);
	obj = json_tokener_parse(quoted);
	ck_assert_str_eq(json_object_get_string(obj), text);
	json_object_put(obj);
}
END_TEST

/* A truncated string is still valid JSON. */
START_TEST(test_quote_truncated)
{
	char quoted[64];

	for (size_t size = 9; size < sizeof(quoted); size++) {
		size_t len = json_text_quote(quoted, size,
					     "\"\"\\\\\n\n\x01\x01 text "
					     "that is longer than any "
					     "buffer here, by far");
		json_object *obj = json_tokener_parse(quoted);

		ck_assert_uint_lt(len, size);
		ck_assert_uint_eq(strlen(quoted), len);
		ck_assert(json_object_is_type(obj, json_type_string));
		json_object_put(obj);
	}
}
END_TEST

static char *nested(size_t depth)
{
	char *text = calloc(1, 2 * depth + 1);

	memset(text, '[', depth);
	memset(text + depth, ']', depth);
	return text;
}

/* One deeply nested element must not take the others with it. */
START_TEST(test_deep_element_among_others)
{
	static const size_t depths[] = { 40, 10000 };

	for (size_t i = 0; i < 2; i++) {
		char *deep = nested(depths[i]);
		size_t room = strlen(deep) + 100;
		char *text = calloc(1, room);
		char sample[32] = "";
		json_object *list;

		snprintf(text, room, "[{\"a\":\"[\\\"[\"},{\"b\":%s},[7]]",
			 deep);
		ck_assert_uint_eq(json_text_blank_deep(text, strlen(text), 1, 8,
						       sample, sizeof(sample)),
				  1);
		ck_assert_int_eq(strncmp(sample, "\"{\\\"b\\\":[", 9), 0);
		list = json_tokener_parse(text);
		ck_assert_uint_eq(json_object_array_length(list), 3);
		ck_assert_str_eq(
			json_text_get(json_object_array_get_idx(list, 0), "a"),
			"[\"[");
		ck_assert(json_object_is_type(
			json_object_array_get_idx(list, 1), json_type_int));
		ck_assert(json_object_is_type(
			json_object_array_get_idx(list, 2), json_type_array));
		json_object_put(list);
		free(text);
		free(deep);
	}
}
END_TEST

/* Any bytes are read within their length. */
START_TEST(test_deep_elements_of_broken_texts)
{
	static const char *const texts[] = {
		"",
		"\"",
		"\"\\",
		"]",
		"[",
		"[[[[[[",
		"]]]][[[[",
		"[\"\\\"",
		"{\"a\":[[[[[",
		"[[[[]]]]]]]]",
	};
	char sample[32];

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		size_t len = strlen(texts[i]);
		char *text = malloc(len + 1);

		memcpy(text, texts[i], len);
		ck_assert_uint_le(json_text_blank_deep(text, len, 1, 2, sample,
						       sizeof(sample)),
				  1);
		free(text);
	}
}
END_TEST

START_TEST(test_counters)
{
	char *text;

	counter_add(COUNTER_TASKS_STARTED, 41);
	counter_add(COUNTER_TASKS_STARTED, 1);
	ck_assert_uint_eq(counter_get(COUNTER_TASKS_STARTED), 42);
	text = counter_text(NULL);
	ck_assert_ptr_nonnull(strstr(text, "# TYPE bergamot_tasks_started "
					   "counter\n"
					   "bergamot_tasks_started 42\n"));
	talloc_free(text);
}
END_TEST

START_TEST(test_histograms)
{
	char *text;

	histogram_observe_ms(HISTOGRAM_JOB, 150);
	histogram_observe_ms(HISTOGRAM_JOB, 200);
	histogram_observe_ms(HISTOGRAM_JOB, 70000);
	ck_assert_uint_eq(histogram_count_up_to(HISTOGRAM_JOB, 100), 0);
	ck_assert_uint_eq(histogram_count_up_to(HISTOGRAM_JOB, 200), 2);
	text = histogram_append(talloc_strdup(NULL, ""));
	ck_assert_ptr_nonnull(
		strstr(text, "bergamot_job_seconds_bucket{le=\"0.1\"} 0\n"
			     "bergamot_job_seconds_bucket{le=\"0.2\"} 2\n"));
	ck_assert_ptr_nonnull(
		strstr(text, "bergamot_job_seconds_bucket{le=\"+Inf\"} 3\n"
			     "bergamot_job_seconds_sum 70.35\n"
			     "bergamot_job_seconds_count 3\n"));
	talloc_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("text");
	TCase *tc = tcase_create("text");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, test_quote);
	tcase_add_test(tc, test_quote_truncated);
	tcase_add_test(tc, test_deep_element_among_others);
	tcase_add_test(tc, test_deep_elements_of_broken_texts);
	tcase_add_test(tc, test_counters);
	tcase_add_test(tc, test_histograms);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
