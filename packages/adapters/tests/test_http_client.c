/* How requests of the HTTP client end, with a server in the same loop. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "base/clock.h"

#define MAX_REQUESTS 8

struct fixture {
	struct tevent_context *ev;
	struct http_server *server;
	struct http_client *client;
	char url[64];
	uint64_t held[MAX_REQUESTS]; /* requests not answered yet */
	uint64_t remaining_ms[MAX_REQUESTS]; /* from their X-Left headers */
	int held_count;
	struct http_client_answer answers[MAX_REQUESTS];
	int answer_count;
};

/* Time within which a request is sent even on a busy machine. */
#define MAX_SEND_MS 5000
#define REMAINING_MS 100000
#define WAIT_MS 20

static struct fixture *f;

static void hold_request(void *ctx, const struct http_server_request *request)
{
	(void)ctx;
	f->remaining_ms[f->held_count] =
		strtoull(http_server_header(request, "X-Left"), NULL, 10);
	f->held[f->held_count++] = request->number;
}

static void record_answer(void *ctx, struct http_client_answer *answer)
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
		.connections = MAX_REQUESTS,
		.idle_ms = 60000,
		.handler = hold_request,
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
		.remaining_until_ms = clock_now_ms() + REMAINING_MS,
		.answer_bytes = 16,
	};

	http_client_send(f->client, &request, record_answer, NULL);
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
	TALLOC_FREE(f->server); /* its port refuses connections now */
	send_one(60000, 0);
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_NOT_SENT);
	ck_assert(f->answers[0].is_closed);
}
END_TEST

/* The server ends while it handles the request. */
START_TEST(test_connection_closed)
{
	send_one(60000, 0);
	run_until(&f->held_count, 1);
	TALLOC_FREE(f->server);
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_BROKEN);
	ck_assert(f->answers[0].is_closed);
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

/* A request that was sent and not answered may have taken effect. */
START_TEST(test_timeout)
{
	send_one(MAX_SEND_MS, 0);
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_TIMEOUT);
	ck_assert(!f->answers[0].is_closed);
	ck_assert_int_eq(f->held_count, 1);
}
END_TEST

/* A request that waits for the only connection is not sent too late. */
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

/* The header holds the time left when the request is sent, not queued. */
START_TEST(test_remaining_time_header)
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
	ck_assert_uint_le(f->remaining_ms[1], REMAINING_MS - WAIT_MS);
}
END_TEST

/* A request whose timeout ends in the queue is not sent either. */
START_TEST(test_timeout_in_queue)
{
	send_one(60000, 0);
	run_until(&f->held_count, 1);
	send_one(20, 0);
	run_until(&f->answer_count, 1);
	ck_assert_int_eq(f->answers[0].status, HTTP_CLIENT_NOT_SENT);
	ck_assert(!f->answers[0].is_closed);
	ck_assert_int_eq(f->held_count, 1);
}
END_TEST

/*
 * The loop is delayed past a request's timeout while the answer is already in
 * the socket. The request must end as answered: a task start would otherwise
 * have an unknown outcome.
 */
START_TEST(test_answer_after_pause)
{
	uint64_t ends_ms = clock_now_ms() + MAX_SEND_MS;

	send_one(MAX_SEND_MS, 0);
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
	tcase_add_test(tc, test_connection_closed);
	tcase_add_test(tc, test_too_large);
	tcase_add_test(tc, test_timeout);
	tcase_add_test(tc, test_too_late_to_send);
	tcase_add_test(tc, test_remaining_time_header);
	tcase_add_test(tc, test_timeout_in_queue);
	tcase_add_test(tc, test_answer_after_pause);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
