/* Settings: defaults, the printed form, and the text of each error. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/tests/run_suite.h"
#include "base/settings.h"

static struct settings *parse(const char *text, enum settings_status *status,
			      char **message)
{
	return settings_parse(NULL, "test.json", text, strlen(text), status,
			      message);
}

START_TEST(test_comments_and_values)
{
	enum settings_status status;
	char *message;
	struct settings *s = parse("{ /* a */ \"instance\": \"a1\", // b\n"
				   "\"jobs\": {\"tasks\": 580}}",
				   &status, &message);

	ck_assert_ptr_nonnull(s);
	ck_assert_str_eq(s->instance, "a1");
	ck_assert_int_eq(s->job_tasks, 580);
	ck_assert_str_eq(s->placement, "dispatcher");
	talloc_free(s);
}
END_TEST

static const struct {
	const char *text;
	enum settings_status status;
	const char *message_part;
} errors[] = {
	{ "{\"jobs\": {\"taks\": 1}}", SETTINGS_UNKNOWN_KEY, "jobs.tasks" },
	{ "{\"jobs\": {\"tasks\": 0}}", SETTINGS_OUT_OF_RANGE, "1 to 100000" },
	{ "{\"jobs\": {\"tasks\": \"a\"}}", SETTINGS_WRONG_TYPE,
	  "whole number" },
	{ "{\"jobs\": 5}", SETTINGS_WRONG_TYPE, "jobs" },
	{ "{\"placement\": {\"policy\": \"best\"}}", SETTINGS_OUT_OF_RANGE,
	  "two_choices" },
	{ "{\"callers\": {\"listen\": \"here\"}}", SETTINGS_OUT_OF_RANGE,
	  "address" },
	{ "{\n\"jobs\": {", SETTINGS_SYNTAX, "line 2" },
	{ "[]", SETTINGS_WRONG_TYPE, "object" },
	{ "null", SETTINGS_WRONG_TYPE, "object" },
};

START_TEST(test_error)
{
	enum settings_status status;
	char *message;

	ck_assert_ptr_null(parse(errors[_i].text, &status, &message));
	ck_assert_int_eq(status, errors[_i].status);
	ck_assert_ptr_nonnull(strstr(message, "test.json"));
	ck_assert_ptr_nonnull(strstr(message, errors[_i].message_part));
	talloc_free(message);
}
END_TEST

START_TEST(test_print_reads_back)
{
	enum settings_status status;
	char *message, *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	struct settings *s = settings_load(NULL, NULL, &status, &message);
	struct settings *again;

	settings_print(s, out);
	fclose(out);
	again = settings_parse(NULL, "printed", text, len, &status, &message);
	ck_assert_msg(again != NULL, "%s", message);
	ck_assert_int_eq(again->job_tasks, s->job_tasks);
	free(text);
	talloc_free(s);
	talloc_free(again);
}
END_TEST

static const struct {
	const char *text;
	const char *secret;
} secrets[] = { { "abc\r\nmore\n", "abc" },
		{ "abc", "abc" },
		{ "", NULL },
		{ "\n", NULL } };

/* An empty secret would authorize everybody. */
START_TEST(test_secret)
{
	char path[] = "test-settings-XXXXXX";
	int fd = mkstemp(path);
	char *secret;

	ck_assert_int_eq(write(fd, secrets[_i].text, strlen(secrets[_i].text)),
			 strlen(secrets[_i].text));
	close(fd);
	secret = settings_read_secret(NULL, path);
	ck_assert_pstr_eq(secret, secrets[_i].secret);
	talloc_free(secret);
	unlink(path);
	ck_assert_ptr_null(settings_read_secret(NULL, path));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("settings");
	TCase *tc = tcase_create("settings");

	tcase_add_test(tc, test_comments_and_values);
	tcase_add_loop_test(tc, test_error, 0,
			    sizeof(errors) / sizeof(errors[0]));
	tcase_add_test(tc, test_print_reads_back);
	tcase_add_loop_test(tc, test_secret, 0,
			    sizeof(secrets) / sizeof(secrets[0]));
	suite_add_tcase(s, tc);
	return run_suite(s);
}
