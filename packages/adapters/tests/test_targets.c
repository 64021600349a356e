/*
 * Each task starts at most once. A start that waited too long, for example
 * during a pause of the process, or that is past its deadline is returned as
 * not started without being sent, because control may have decided anew.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/tests/run_suite.h"
#include "adapters/address.h"
#include "adapters/http_server.h"
#include "adapters/messages.h"
#include "adapters/targets.h"
#include "base/clock.h"

/* Nothing listens here: a start that is sent fails in the loop. */
#define ADDRESS "127.0.0.1:1"

static struct tevent_context *ev;
static void *targets;
static int results;
static enum port_result_kind last_kind;
static uint64_t last_token;
static int usages;
static uint32_t running; /* of the last usage */
static struct http_server *server;
static const char *body; /* of the server's answers */
static int requests;

static void on_result(void *ctx, struct mailbox_message *msg)
{
	(void)ctx;
	if (msg->kind == MESSAGE_WORKER_USAGE) {
		usages++;
		running = ((struct message_worker_usage *)msg)->usage.running;
		talloc_free(msg);
		return;
	}
	results++;
	last_kind = ((struct message_task_result *)msg)->result.kind;
	last_token = ((struct message_task_result *)msg)->result.token;
	talloc_free(msg);
}

static void start(uint64_t token, const char *address, uint64_t age_ms,
		  uint64_t left_ms)
{
	struct message_task_start *msg =
		message_create(struct message_task_start, MESSAGE_TASK_START);

	msg->token = token;
	msg->job = talloc_strdup(msg, "job");
	msg->service = talloc_strdup(msg, "quote");
	msg->address = talloc_strdup(msg, address);
	msg->body = talloc_strdup(msg, "{}");
	msg->posted_ms = clock_now_ms() - age_ms;
	msg->deadline_ms = clock_now_ms() + left_ms;
	targets_handle(targets, &msg->head);
}

static void await_result(void)
{
	while (!results)
		tevent_loop_once(ev);
}

/* Returns true if a call to the worker was started. */
static bool is_sent(uint64_t age_ms, uint64_t left_ms)
{
	size_t before = talloc_total_blocks(targets);
	bool sent;

	start(1, ADDRESS, age_ms, left_ms);
	sent = talloc_total_blocks(targets) > before;
	await_result();
	return sent;
}

static void setup(void)
{
	struct mailbox_options mailbox = { .handler = on_result };
	struct targets_options options = { .worker_connections = 1,
					   .answer_bytes = 100 };

	mailbox.ev = ev = tevent_context_init(NULL);
	options.control = mailbox_create(ev, &mailbox);
	targets = targets_init(ev, ev, &options);
	results = 0;
}

static void teardown(void)
{
	talloc_free(targets);
	talloc_free(ev);
}

START_TEST(test_fresh_start_is_sent)
{
	ck_assert(is_sent(0, 10000));
}
END_TEST

START_TEST(test_stale_start_is_returned)
{
	ck_assert(!is_sent(3000, 10000));
	ck_assert_int_eq(last_kind, PORT_NOT_STARTED);
}
END_TEST

START_TEST(test_expired_start_is_returned)
{
	ck_assert(!is_sent(0, 0));
	ck_assert_int_eq(last_kind, PORT_NOT_STARTED);
}
END_TEST

/* A start that the worker never answers occupies the only connection. */
START_TEST(test_queued_start_becomes_stale)
{
	struct address listen_address;
	char *address;
	int fd;

	address_parse(&listen_address, "127.0.0.1:0");
	fd = address_listen(&listen_address, 1);
	address = talloc_asprintf(ev, "127.0.0.1:%d", address_local_port(fd));
	start(1, address, 0, 60000);
	start(2, address, 1000, 60000);
	await_result();
	ck_assert_uint_eq(last_token, 2);
	ck_assert_int_eq(last_kind, PORT_NOT_STARTED);
	close(fd);
}
END_TEST

static void serve(void *ctx, const struct http_server_request *request)
{
	struct http_server_response response = {
		.status = 200,
		.body = body,
		.body_len = strlen(body),
	};

	(void)ctx;
	requests++;
	http_server_reply(server, request->number, &response);
}

/* Asks a worker for its usage; answers arrive in order on one connection. */
static void query(const char *answer)
{
	struct message_query_usage *msg =
		message_create(struct message_query_usage, MESSAGE_QUERY_USAGE);

	body = answer;
	msg->worker = talloc_strdup(msg, "w1");
	msg->address =
		talloc_asprintf(msg, "127.0.0.1:%d", http_server_port(server));
	targets_handle(targets, &msg->head);
	requests = 0;
	while (!requests)
		tevent_loop_once(ev);
}

/* A wrong number of running tasks would count tasks that run as ended. */
START_TEST(test_odd_usage_is_ignored)
{
	static const char *const answers[] = {
		"{\"running\":-1}",
		"{\"running\":0.5}",
		"{\"running\":\"3\"}",
		"{\"running\":null}",
		"{\"running\":4294967296}",
		"{\"running\":99999999999999999999}",
		"{\"running\":3,\"leaving\":\"no\"}",
		"{\"running\":3,\"leaving\":1}",
		"[]",
		"7",
		"",
	};
	struct http_server_options options = {
		.ev = ev,
		.listen = "127.0.0.1:0",
		.body_bytes = 65536,
		.header_bytes = 16384,
		.connections = 16,
		.idle_ms = 60000,
		.handler = serve,
	};

	server = http_server_create(ev, &options);
	usages = 0;
	running = 0;
	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++)
		query(answers[i]);
	query("{\"running\":5}");
	while (running != 5)
		tevent_loop_once(ev);
	ck_assert_int_eq(usages, 1);
	talloc_free(server);
}
END_TEST

/* A worker that does not count its tasks holds no slot of a lost one. */
START_TEST(test_usage_without_a_count_frees_slots)
{
	struct http_server_options options = {
		.ev = ev,
		.listen = "127.0.0.1:0",
		.body_bytes = 65536,
		.header_bytes = 16384,
		.connections = 16,
		.idle_ms = 60000,
		.handler = serve,
	};

	server = http_server_create(ev, &options);
	usages = 0;
	running = 9;
	query("{\"ok\":1}");
	while (!usages)
		tevent_loop_once(ev);
	ck_assert_uint_eq(running, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("targets");
	TCase *tcase = tcase_create("starts");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_fresh_start_is_sent);
	tcase_add_test(tcase, test_stale_start_is_returned);
	tcase_add_test(tcase, test_expired_start_is_returned);
	tcase_add_test(tcase, test_queued_start_becomes_stale);
	tcase_add_test(tcase, test_odd_usage_is_ignored);
	tcase_add_test(tcase, test_usage_without_a_count_frees_slots);
	suite_add_tcase(suite, tcase);
	return run_suite(suite);
}
