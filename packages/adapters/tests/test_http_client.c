/* The HTTP client against a server in the same loop: how requests end. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "base/clock.h"

#define MANY 8

struct fixture {
	struct tevent_context *ev;
	struct http_server *server;
	struct http_client *client;
	char url[64];
	uint64_t held[MANY]; /* requests not answered yet */
	uint64_t left_ms[MANY]; /* as they say */
	int held_count;
	struct http_client_answer answers[MANY];
	int answer_count;
};

/* So long a request may take to leave, on however busy a machine. */
#define SENT_WITHIN_MS 5000
#define LEFT_MS 100000
#define WAIT_MS 20

static struct fixture *f;

static void hold(void *ctx, const struct http_server_request *request)
{
	(void)ctx;
	f->left_ms[f->held_count] =
		strtoull(http_server_header(request, "X-Left"), NULL, 10);
	f->held[f->held_count++] = request->number;
}

static void keep(void *ctx, struct http_client_answer *answer)
{
	(void)ctx;
	f->answers[f->answer_count++] = *answer;
}

static void set_up(void)
{
	struct http_server_options server = {
		.listen = "127.0.0.1:0",
		.body_bytes = 4096,
		.header_bytes = 16384,
		.connections = MANY,
		.idle_ms = 60000,
		.handler = hold,
	};
	struct http_client_options client = { .host_connections = 1 };

	f = talloc_zero(NULL, struct fixture);
	client.ev = server.ev = f->ev = tevent_context_init(f);
	f->server = http_server_create(f, &server);
	f->client = http_client_create(f, &client);
	snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%d/x",
		 http_server_port(f->server));
}

static void tear_down(void)
{
	talloc_free(f->client);
	talloc_free(f->server);
	talloc_free(f);
}

static void send_one(uint64_t timeout_ms, uint64_t send_before_ms)
{
	struct http_client_request request = {
		.method = "POST",
		.url = f->url,
		.body = "{}",
		.body_len = 2,
		.timeout_ms = timeout_ms,
		.send_before_ms = send_before_ms,
		.remaining_header = "X-Left",
		.remaining_until_ms = clock_now_ms() + LEFT_MS,
		.answer_bytes = 16,
	};

	http_client_send(f->client, &request, keep, NULL);
}

static void run_until(const int *count, int value)
{
	while (*count < value)
		ck_assert_int_eq(tevent_loop_once(f->ev), 0);
}

static void answer(int i, const char *body)
{
	struct http_server_response response = {
		.status = 200,
		.body = body,
		.body_len = strlen(body),
	};

	http_server_reply(f->server, f->held[i], &response);
}

START_TEST(test_answered)
{
	send_one(60000, clock_now_ms() + 60000);
	run_until(&f->held_count, 1);
	answer(0, "yes");
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_ANSWERED);
	ck_assert_int_eq(f->answers[0].http_status, 200);
}
END_TEST

START_TEST(test_no_connection)
{
	TALLOC_FREE(f->server); /* its port refuses from here on */
	send_one(60000, 0);
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_NOT_SENT);
}
END_TEST

START_TEST(test_too_large)
{
	send_one(60000, 0);
	run_until(&f->held_count, 1);
	answer(0, "more than sixteen bytes");
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_TOO_LARGE);
}
END_TEST

/* Sent and not answered: whatever happened there, it is no proof. */
START_TEST(test_timeout)
{
	send_one(SENT_WITHIN_MS, 0);
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_TIMEOUT);
	ck_assert_int_eq(f->held_count, 1);
}
END_TEST

/* A request that waits for the one connection is not sent too late. */
START_TEST(test_too_late_to_send)
{
	uint64_t limit_ms;

	send_one(60000, 0);
	run_until(&f->held_count, 1);
	limit_ms = clock_now_ms() + 20;
	send_one(60000, limit_ms);
	while (clock_now_ms() < limit_ms)
		;
	answer(0, "yes");
	while (f->answer_count < 2) {
		ck_assert_int_eq(tevent_loop_once(f->ev), 0);
		ck_assert_int_eq(f->held_count, 1);
	}
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_ANSWERED);
	ck_assert_int_eq(f->answers[1].status, HTTP_CLIENT_NOT_SENT);
}
END_TEST

/* It tells the time left as of its sending, not of its waiting. */
START_TEST(test_time_left)
{
	uint64_t until_ms;

	send_one(60000, 0);
	run_until(&f->held_count, 1);
	until_ms = clock_now_ms() + WAIT_MS;
	send_one(60000, 0);
	while (clock_now_ms() < until_ms)
		tevent_loop_once(f->ev);
	answer(0, "yes");
	run_until(&f->held_count, 2);
	ck_assert_uint_le(f->left_ms[1], LEFT_MS - WAIT_MS);
}
END_TEST

/* The same when the time runs out while it waits. */
START_TEST(test_timeout_in_queue)
{
	send_one(60000, 0);
	run_until(&f->held_count, 1);
	send_one(20, 0);
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_NOT_SENT);
	ck_assert_int_eq(f->held_count, 1);
}
END_TEST

/*
 * The loop stood still until a request's time was up, while its answer lay in
 * the socket: a start that was answered is not to be looked up as unknown.
 */
START_TEST(test_answer_after_pause)
{
	uint64_t ends_ms = clock_now_ms() + SENT_WITHIN_MS;

	send_one(SENT_WITHIN_MS, 0);
	run_until(&f->held_count, 1);
	answer(0, "yes");
	while (clock_now_ms() <= ends_ms)
		;
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_ANSWERED);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http_client");
	TCase *tc = tcase_create("http_client");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, test_answered);
	tcase_add_test(tc, test_no_connection);
	tcase_add_test(tc, test_too_large);
	tcase_add_test(tc, test_timeout);
	tcase_add_test(tc, test_too_late_to_send);
	tcase_add_test(tc, test_time_left);
	tcase_add_test(tc, test_timeout_in_queue);
	tcase_add_test(tc, test_answer_after_pause);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
