/* A file that blocks must not block the caller; lost lines are counted. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/tests/run_suite.h"
#include "base/counter.h"
#include "base/line_sink.h"

#define LIMIT 16 /* lines */
#define LINE 1000 /* bytes */
#define MANY 1000 /* lines, far more than the pipe and queue hold */

static char folder[64];
static char path[80];

/* Creates a pipe whose reader reads nothing. */
static int open_stuck_pipe(void)
{
	strcpy(folder, "/tmp/sink-XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(folder));
	snprintf(path, sizeof(path), "%s/pipe", folder);
	ck_assert_int_eq(mkfifo(path, 0600), 0);
	return open(path, O_RDONLY | O_NONBLOCK | O_CLOEXEC);
}

static void remove_pipe(int fd)
{
	close(fd);
	unlink(path);
	rmdir(folder);
}

static int put_many(struct line_sink *sink)
{
	char line[LINE + 1];
	int dropped = 0;

	memset(line, 'x', LINE);
	line[LINE] = '\0';
	for (int i = 0; i < MANY; i++)
		dropped += !sink_put(sink, line);
	return dropped;
}

START_TEST(test_full_target_drops_and_counts)
{
	uint64_t before = counter_get(COUNTER_LOG_DROPPED);
	int fd = open_stuck_pipe();
	struct line_sink *sink = sink_open(path, LIMIT);
	int dropped = put_many(sink);
	char data[LINE];

	ck_assert_int_gt(dropped, MANY / 2);
	ck_assert_uint_eq(counter_get(COUNTER_LOG_DROPPED) - before, dropped);
	while (read(fd, data, sizeof(data)) > 0)
		; /* makes room for the lines still queued */
	sink_close(sink);
	remove_pipe(fd);
}
END_TEST

/* A file that keeps blocking must not keep a process from exiting. */
START_TEST(test_close_gives_up)
{
	int fd = open_stuck_pipe();
	struct line_sink *sink = sink_open(path, LIMIT);

	put_many(sink);
	sink_close(sink);
	remove_pipe(fd);
}
END_TEST

START_TEST(test_lines_in_order)
{
	char text[64] = "";
	struct line_sink *sink;
	FILE *f;

	strcpy(path, "/tmp/sink-XXXXXX");
	close(mkstemp(path));
	sink = sink_open(path, LIMIT);
	ck_assert(sink_put(sink, "one"));
	ck_assert(sink_put(sink, "two"));
	sink_close(sink);
	f = fopen(path, "re");
	ck_assert_uint_eq(fread(text, 1, sizeof(text) - 1, f), 8);
	ck_assert_str_eq(text, "one\ntwo\n");
	fclose(f);
	unlink(path);
	ck_assert_ptr_null(sink_open("/no/such/folder/file", LIMIT));
	sink_close(NULL);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("line_sink");
	TCase *tc = tcase_create("line_sink");

	signal(SIGPIPE, SIG_IGN); /* as bergamotd does */
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, test_full_target_drops_and_counts);
	tcase_add_test(tc, test_close_gives_up);
	tcase_add_test(tc, test_lines_in_order);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
