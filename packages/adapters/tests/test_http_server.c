/* The HTTP server over raw sockets: late answers, limits, lost callers. */
#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/tests/run_suite.h"
#include "adapters/address.h"
#include "adapters/http_server.h"

struct fixture {
	struct tevent_context *ev;
	struct http_server *server;
	uint64_t held;
	uint64_t aborted;
	int fd;
	char text[4096]; /* received */
	size_t len;
};

static struct fixture *f;

static void hold(void *ctx, const struct http_server_request *request)
{
	(void)ctx;
	f->held = request->number;
}

static void note_aborted(void *ctx, uint64_t number)
{
	(void)ctx;
	f->aborted = number;
}

static void open_connection(void)
{
	struct timeval limit = { .tv_sec = 60 };
	struct address address;

	address_parse(&address, talloc_asprintf(f, "127.0.0.1:%d",
						http_server_port(f->server)));
	f->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(f->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	ck_assert_int_eq(connect(f->fd, (struct sockaddr *)&address.storage,
				 address.len),
			 0);
}

static void start_server(bool detect_disconnects)
{
	struct http_server_options options = {
		.ev = f->ev,
		.listen = "127.0.0.1:0",
		.body_bytes = 64,
		.header_bytes = 16384,
		.connections = 4,
		.idle_ms = 60000,
		.handler = hold,
		.aborted = note_aborted,
		.detect_disconnects = detect_disconnects,
	};

	f->server = http_server_create(f, &options);
	open_connection();
}

static void set_up(void)
{
	f = talloc_zero(NULL, struct fixture);
	f->ev = tevent_context_init(f);
	start_server(false);
}

static void tear_down(void)
{
	close(f->fd);
	talloc_free(f->server);
	talloc_free(f);
}

static void send_text(const char *text)
{
	ck_assert_int_eq(send(f->fd, text, strlen(text), 0),
			 (ssize_t)strlen(text));
}

static void run_until_set(const uint64_t *value)
{
	while (!*value)
		ck_assert_int_eq(tevent_loop_once(f->ev), 0);
}

static void run_until_received(const char *text)
{
	while (!strstr(f->text, text)) {
		ssize_t n;

		ck_assert_int_eq(tevent_loop_once(f->ev), 0);
		n = recv(f->fd, f->text + f->len, sizeof(f->text) - f->len - 1,
			 MSG_DONTWAIT);
		if (n > 0)
			f->len += (size_t)n;
	}
}

static void reply(const char *body)
{
	struct http_server_response response = {
		.status = 200,
		.body = body,
		.body_len = strlen(body),
	};

	http_server_reply(f->server, f->held, &response);
}

#define GET "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

START_TEST(test_suspended_request_is_resumed)
{
	for (int i = 0; i < 3; i++) { /* on one connection */
		f->held = f->len = 0;
		memset(f->text, 0, sizeof(f->text));
		send_text(GET);
		run_until_set(&f->held);
		reply("later");
		run_until_received("later");
	}
	ck_assert_uint_eq(f->aborted, 0);
}
END_TEST

/* New limits apply to the next request. */
START_TEST(test_limits_change)
{
	struct http_server_limits limits = { .header_bytes = 256,
					     .idle_ms = 1000 };
	char byte;

	send_text(GET);
	run_until_set(&f->held);
	reply("first");
	run_until_received("first");
	http_server_set_limits(f->server, &limits);
	send_text(talloc_asprintf(
		f, "GET /x HTTP/1.1\r\nHost: a\r\nX-Long: %0300d\r\n\r\n", 1));
	run_until_received("431");
	f->held = 0;
	close(f->fd);
	open_connection();
	send_text(GET);
	run_until_set(&f->held);
	reply("within");
	run_until_received("within");
	/* The connection is idle now, so the server closes it. */
	while (recv(f->fd, &byte, 1, MSG_DONTWAIT) != 0)
		ck_assert_int_eq(tevent_loop_once(f->ev), 0);
}
END_TEST

/* A reply to a caller that has disconnected, or a second reply, is ignored. */
START_TEST(test_caller_disconnected)
{
	send_text(GET);
	run_until_set(&f->held);
	close(f->fd);
	reply("not delivered");
	reply("twice");
	f->held = 0;
	open_connection();
	send_text(GET);
	run_until_set(&f->held);
	reply("still served");
	run_until_received("still served");
}
END_TEST

/* Runs until the server has closed the connection. */
static void run_until_closed(void)
{
	ssize_t n;

	while ((n = recv(f->fd, f->text + f->len, sizeof(f->text) - f->len - 1,
			 MSG_DONTWAIT)) != 0) {
		if (n > 0)
			f->len += (size_t)n;
		else
			ck_assert_int_eq(tevent_loop_once(f->ev), 0);
	}
}

/* Its handler has had the request, so 503 (never runs) would be untrue. */
START_TEST(test_half_closed_caller_is_told_not_run)
{
	close(f->fd);
	talloc_free(f->server);
	start_server(true);
	send_text(GET);
	if (_i) /* two requests at once */
		send_text(GET);
	run_until_set(&f->held);
	shutdown(f->fd, SHUT_WR);
	if (_i) { /* answers the first before the end is seen */
		reply("served");
		run_until_received("served");
		run_until_set(&f->aborted);
	}
	run_until_closed();
	ck_assert_uint_eq(f->aborted, f->held);
	ck_assert_ptr_null(strstr(f->text, " 503 "));
	ck_assert_ptr_nonnull(strstr(f->text, " 504 "));
}
END_TEST

/* Without detect_disconnects a half-closed caller reads its answer. */
START_TEST(test_half_closed_caller_is_served)
{
	send_text(GET);
	run_until_set(&f->held);
	shutdown(f->fd, SHUT_WR);
	for (int i = 0; i < 5; i++)
		ck_assert_int_eq(tevent_loop_once(f->ev), 0);
	reply("served");
	run_until_closed();
	ck_assert_ptr_nonnull(strstr(f->text, "served"));
	ck_assert_uint_eq(f->aborted, 0);
}
END_TEST

/* A body just above the limit is read, as a reset could destroy the answer. */
START_TEST(test_body_limit)
{
	send_text("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n"
		  "01234567890123456789012345678901");
	send_text("012345678901234567890123456789012");
	run_until_received("body_too_large");
	ck_assert_ptr_nonnull(strstr(f->text, " 413 "));
	ck_assert_uint_eq(f->held, 0);
}
END_TEST

/*
 * A body far above the limit, or from a caller that waits for 100 Continue, is
 * refused without being read.
 */
START_TEST(test_body_refused_at_once)
{
	static const char *const heads[] = {
		"Content-Length: 1000\r\n",
		"Content-Length: 65\r\nExpect: 100-continue\r\n",
	};

	send_text("POST /x HTTP/1.1\r\nHost: a\r\n");
	send_text(heads[_i]);
	send_text("\r\n");
	run_until_received("body_too_large");
	ck_assert_uint_eq(f->held, 0);
}
END_TEST

START_TEST(test_chunked_body_limit)
{
	send_text("POST /x HTTP/1.1\r\nHost: a\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n"
		  "50\r\n0123456789012345678901234567890123456789"
		  "0123456789012345678901234567890123456789\r\n0\r\n\r\n");
	run_until_received("body_too_large");
	ck_assert_uint_eq(f->held, 0);
}
END_TEST

#define QUIESCE_ROUNDS 100
#define QUIESCE_CALLERS 4
#define CONNECT_TIMEOUT_US 100000

struct caller {
	struct address address;
	uint32_t answered;
	uint32_t cut_off; /* connected, but got no answer */
};

static void answer_at_once(void *ctx, const struct http_server_request *request)
{
	struct http_server_response response = { .status = 200 };

	(void)ctx;
	http_server_reply(f->server, request->number, &response);
}

/* Sends requests on new connections until no connection is accepted. */
static void *call_until_refused(void *arg)
{
	struct caller *caller = arg;
	struct timeval limit = { .tv_sec = 60 };
	struct timeval connect_limit = { .tv_usec = CONNECT_TIMEOUT_US };
	char text[256];

	for (;;) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &connect_limit,
			   sizeof(connect_limit));
		if (connect(fd, (struct sockaddr *)&caller->address.storage,
			    caller->address.len)) {
			close(fd);
			return NULL;
		}
		if (send(fd, GET, strlen(GET), MSG_NOSIGNAL) > 0 &&
		    recv(fd, text, sizeof(text), 0) > 0)
			caller->answered++;
		else
			caller->cut_off++;
		close(fd);
	}
}

/*
 * A planned stop cuts off no request: each connection that was established is
 * answered, also one that is established while the server stops accepting.
 */
START_TEST(test_quiesce_cuts_off_nobody)
{
	struct http_server_options options = {
		.listen = "127.0.0.1:0",
		.body_bytes = 64,
		.header_bytes = 16384,
		.connections = 64,
		.idle_ms = 60000,
		.handler = answer_at_once,
		.ev = f->ev,
	};
	struct caller callers[QUIESCE_CALLERS] = { 0 };
	pthread_t threads[QUIESCE_CALLERS];
	uint32_t cut_off = 0;

	for (int round = 0; round < QUIESCE_ROUNDS; round++) {
		talloc_free(f->server);
		f->server = http_server_create(f, &options);
		for (int i = 0; i < QUIESCE_CALLERS; i++) {
			address_parse(
				&callers[i].address,
				talloc_asprintf(f, "127.0.0.1:%d",
						http_server_port(f->server)));
			pthread_create(&threads[i], NULL, call_until_refused,
				       &callers[i]);
		}
		for (int i = 0; i < 20 + round % 7; i++)
			ck_assert_int_eq(tevent_loop_once(f->ev), 0);
		http_server_close_after_answer(f->server);
		http_server_quiesce(f->server);
		while (!http_server_is_drained(f->server))
			ck_assert_int_eq(tevent_loop_once(f->ev), 0);
		for (int i = 0; i < QUIESCE_CALLERS; i++)
			pthread_join(threads[i], NULL);
	}
	for (int i = 0; i < QUIESCE_CALLERS; i++) {
		ck_assert_uint_gt(callers[i].answered, 0);
		cut_off += callers[i].cut_off;
	}
	ck_assert_uint_eq(cut_off, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http_server");
	TCase *tc = tcase_create("http_server");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, test_suspended_request_is_resumed);
	tcase_add_test(tc, test_limits_change);
	tcase_add_test(tc, test_caller_disconnected);
	tcase_add_loop_test(tc, test_half_closed_caller_is_told_not_run, 0, 2);
	tcase_add_test(tc, test_half_closed_caller_is_served);
	tcase_add_test(tc, test_body_limit);
	tcase_add_loop_test(tc, test_body_refused_at_once, 0, 2);
	tcase_add_test(tc, test_chunked_body_limit);
	tcase_add_test(tc, test_quiesce_cuts_off_nobody);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
