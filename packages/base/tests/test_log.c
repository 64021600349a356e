/* Logs: JSON lines, levels by module, and the rate limit. */
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/tests/run_suite.h"
#include "base/clock.h"
#include "base/json_text.h"
#include "base/log.h"

/* Checks the next line's module, level and message. */
static void expect(FILE *f, const char *module, const char *level,
		   const char *message)
{
	char line[4096];
	json_object *obj;

	ck_assert_ptr_nonnull(fgets(line, sizeof(line), f));
	obj = json_tokener_parse(line);
	ck_assert_msg(obj != NULL, "%s", line);
	ck_assert_str_eq(json_text_get(obj, "module"), module);
	ck_assert_str_eq(json_text_get(obj, "level"), level);
	ck_assert_str_eq(json_text_get(obj, "instance"), "a1");
	ck_assert_str_eq(json_text_get(obj, "message"), message);
	json_object_put(obj);
}

START_TEST(test_levels_and_lines)
{
	char path[] = "/tmp/log-XXXXXX", line[16];
	struct log_options options = {
		.path = path,
		.level = LOG_LEVEL_WARNING,
		.module_levels = "job=debug,peer=error,what=ever,none",
		.instance = "a1",
	};
	FILE *f;

	close(mkstemp(path));
	log_error(LOG_JOB, "before opening: nowhere");
	ck_assert(log_open(&options));
	log_debug(LOG_JOB, "a \"quoted\"\nline %d", 1);
	log_warning(LOG_PEER, "too low");
	log_error(LOG_PEER, "an error");
	log_info(LOG_MAIN, "too low");
	log_warning(LOG_MAIN, "a warning");
	log_close();
	log_error(LOG_JOB, "after closing: nowhere");
	f = fopen(path, "re");
	expect(f, "job", "debug", "a \"quoted\"\nline 1");
	expect(f, "peer", "error", "an error");
	expect(f, "main", "warning", "a warning");
	ck_assert_ptr_null(fgets(line, sizeof(line), f));
	fclose(f);
	unlink(path);
}
END_TEST

/* Lines over the rate limit are dropped and reported; warnings are kept. */
START_TEST(test_rate)
{
	char path[] = "/tmp/log-XXXXXX", line[4096];
	struct log_options options = {
		.path = path,
		.level = LOG_LEVEL_INFO,
		.instance = "a1",
		.lines_per_s = 10,
	};
	unsigned shown = 0, warnings = 0, dropped = 0;
	uint64_t until_ms;
	FILE *f;

	close(mkstemp(path));
	ck_assert(log_open(&options));
	for (int i = 0; i < 1000; i++)
		log_info(LOG_JOB, "one of many");
	for (int i = 0; i < 20; i++)
		log_warning(LOG_JOB, "a warning");
	until_ms = clock_now_ms() + 200; /* refills 2 tokens */
	while (clock_now_ms() < until_ms)
		;
	log_info(LOG_JOB, "later");
	log_close();
	f = fopen(path, "re");
	while (fgets(line, sizeof(line), f)) {
		char *number = strstr(line, "\"message\":\"");

		shown += strstr(line, "one of many") != NULL;
		warnings += strstr(line, "a warning") != NULL;
		if (strstr(line, "log lines dropped"))
			ck_assert_int_eq(
				sscanf(number, "\"message\":\"%u", &dropped),
				1);
	}
	ck_assert_uint_ge(shown, 10);
	ck_assert_uint_eq(warnings, 20);
	ck_assert_uint_eq(shown + dropped, 1000);
	fclose(f);
	unlink(path);
}
END_TEST

START_TEST(test_level_words)
{
	enum log_level level = LOG_LEVEL_ERROR;

	ck_assert(log_parse_level("debug", &level));
	ck_assert_int_eq(level, LOG_LEVEL_DEBUG);
	ck_assert(!log_parse_level("loud", &level));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("log");
	TCase *tc = tcase_create("log");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, test_levels_and_lines);
	tcase_add_test(tc, test_rate);
	tcase_add_test(tc, test_level_words);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
