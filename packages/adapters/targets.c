#include "adapters/targets.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "adapters/http_client.h"
#include "adapters/messages.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/counter.h"

/* An older start is not sent; the control thread then places the task again. */
#define MAX_START_AGE_MS 2000
#define ANSWER_GRACE_MS 500 /* for the answer, after the lease ends */
#define STOP_TIMEOUT_MS 2000
#define USAGE_TIMEOUT_MS 1000
#define MAX_ANSWER_BYTES 65536
#define MAX_ECHO_BYTES 128
#define MAX_URL_BYTES 256
/*
 * libcurl scans all connections of a client at the end of each request, so the
 * workers are divided among several clients.
 */
#define CLIENT_COUNT 64
/*
 * Limit per client. libcurl's default, four per running request, would close
 * most connections after a burst.
 */
#define MAX_IDLE_CONNECTIONS 8192

struct targets {
	struct targets_options options;
	struct http_client *clients[CLIENT_COUNT];
	json_tokener *json; /* reused for each answer */
};

struct call {
	struct targets *targets;
	uint64_t token;
	char echo[MAX_ECHO_BYTES];
	char *worker; /* only for usage queries */
};

static void post_result(struct targets *t, uint64_t token,
			enum port_result_kind kind, char *body, bool leaving)
{
	struct message_task_result *msg =
		message_create(struct message_task_result, MESSAGE_TASK_RESULT);

	msg->result.token = token;
	msg->result.kind = kind;
	msg->result.body = talloc_steal(msg, body);
	msg->result.worker_leaving = leaving;
	mailbox_post_always(t->options.control, &msg->head);
}

static bool is_json(struct targets *t, const char *text, size_t len)
{
	json_object *obj;

	json_tokener_reset(t->json);
	/* The NUL is included, as it marks the end of a bare number. */
	obj = json_tokener_parse_ex(t->json, text, (int)len + 1);
	json_object_put(obj);
	return json_tokener_get_error(t->json) == json_tokener_success;
}

static bool is_own_echo(const struct call *call, const char *echo)
{
#ifdef BREAK_ECHO
	(void)call;
	return echo;
#else
	return echo && !strcmp(echo, call->echo);
#endif
}

static enum port_result_kind
answer_result_kind(const struct call *call, const struct http_client_answer *a)
{
	const char *echo = http_client_header(a, "Bergamot-Task");

	if (!is_own_echo(call, echo)) {
		counter_add(COUNTER_ANSWERS_MISMATCHED, 1);
		return PORT_UNKNOWN;
	}
	if (http_client_header(a, "Bergamot-Not-Started"))
		return PORT_NOT_STARTED;
	if (a->http_status != 200)
		return PORT_FAILED;
	return is_json(call->targets, a->body, a->body_len) ? PORT_DONE
							    : PORT_FAILED;
}

static enum port_result_kind
call_result_kind(const struct call *call, const struct http_client_answer *a)
{
	switch (a->status) {
	case HTTP_CLIENT_ANSWERED:
		return answer_result_kind(call, a);
	case HTTP_CLIENT_NOT_SENT:
		return PORT_NOT_STARTED;
	case HTTP_CLIENT_TOO_LARGE:
		return PORT_TOO_LARGE;
	case HTTP_CLIENT_TIMEOUT:
	case HTTP_CLIENT_BROKEN:
		return PORT_UNKNOWN;
	}
	return PORT_UNKNOWN;
}

static bool is_worker_leaving(const struct http_client_answer *a)
{
	const char *value = http_client_header(a, "Bergamot-Leaving");

	return value && !strcasecmp(value, "true");
}

static void on_start_done(void *ctx, struct http_client_answer *a)
{
	struct call *call = ctx;
	enum port_result_kind kind = call_result_kind(call, a);
	char *body = NULL;

	if (kind == PORT_DONE) {
		body = a->body;
		a->body = NULL;
	}
	post_result(call->targets, call->token, kind, body,
		    is_worker_leaving(a));
	talloc_free(call);
}

/*
 * Selects by the hash's upper half, since the control thread selects the
 * targets thread by the lower half.
 */
static struct http_client *client_of(const struct targets *t,
				     const char *address)
{
	uint64_t hash = XXH3_64bits(address, strlen(address));

	return t->clients[(hash >> 32) % CLIENT_COUNT];
}

/*
 * Returns the latest time to send a start. A pause of the process, or a wait
 * for a connection, may delay a start after control has placed its task.
 */
static uint64_t send_before_ms(const struct message_task_start *msg)
{
#ifndef BREAK_STALE_START
	if (msg->posted_ms + MAX_START_AGE_MS < msg->deadline_ms)
		return msg->posted_ms + MAX_START_AGE_MS;
#endif
	return msg->deadline_ms;
}

static void start_task(struct targets *t, const struct message_task_start *msg)
{
	uint64_t now_ms = clock_now_ms();
	struct call *call;
	char url[MAX_URL_BYTES], token[64];
	const char *const headers[] = { "Content-Type: application/json", token,
					NULL };
	struct http_client_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = msg->body,
		.body_len = strlen(msg->body),
		.send_before_ms = send_before_ms(msg),
		.remaining_header = "Bergamot-Lease-Ms",
		.remaining_until_ms = msg->deadline_ms,
		.answer_bytes = t->options.answer_bytes,
	};

	if (now_ms >= request.send_before_ms) {
		post_result(t, msg->token, PORT_NOT_STARTED, NULL, false);
		return;
	}
	call = talloc_zero(t, struct call);
	call->targets = t;
	call->token = msg->token;
	snprintf(call->echo, sizeof(call->echo), "%s/%" PRIu32 "/%016" PRIx64,
		 msg->job, msg->task, msg->token);
	snprintf(url, sizeof(url), "http://%s/v1/tasks/%s/%" PRIu32,
		 msg->address, msg->job, msg->task);
	snprintf(token, sizeof(token), "Bergamot-Token: %016" PRIx64,
		 msg->token);
	request.timeout_ms = msg->deadline_ms - now_ms + ANSWER_GRACE_MS;
	http_client_send(client_of(t, msg->address), &request, on_start_done,
			 call);
}

static void ignore_answer(void *ctx, struct http_client_answer *a)
{
	(void)ctx;
	(void)a;
}

static void stop_task(struct targets *t, const struct message_task_stop *msg)
{
	char url[MAX_URL_BYTES], token[64];
	const char *const headers[] = { token, NULL };
	struct http_client_request request = {
		.method = "DELETE",
		.url = url,
		.headers = headers,
		.timeout_ms = STOP_TIMEOUT_MS,
		.answer_bytes = MAX_ANSWER_BYTES,
	};

	snprintf(url, sizeof(url), "http://%s/v1/tasks/%s/%" PRIu32,
		 msg->address, msg->job, msg->task);
	snprintf(token, sizeof(token), "Bergamot-Token: %016" PRIx64,
		 msg->token);
	http_client_send(client_of(t, msg->address), &request, ignore_answer,
			 NULL);
}

static void post_usage(struct targets *t, const char *worker,
		       const struct port_usage *usage)
{
	struct message_worker_usage *msg = message_create(
		struct message_worker_usage, MESSAGE_WORKER_USAGE);

	msg->usage = *usage;
	msg->usage.worker = talloc_strdup(msg, worker);
	mailbox_post_always(t->options.control, &msg->head);
}

/* Returns false for a field of a wrong type or size; an absent one is 0. */
static bool read_usage(json_object *obj, struct port_usage *usage)
{
	json_object *v;

	if (!json_object_is_type(obj, json_type_object))
		return false;
	if (json_object_object_get_ex(obj, "running", &v)) {
		if (!json_object_is_type(v, json_type_int) ||
		    json_object_get_int64(v) < 0 ||
		    json_object_get_uint64(v) > UINT32_MAX)
			return false;
		usage->running = (uint32_t)json_object_get_int64(v);
	}
	if (!json_object_object_get_ex(obj, "leaving", &v))
		return true;
	usage->leaving = json_object_get_boolean(v);
	return json_object_is_type(v, json_type_boolean);
}

static void on_usage(void *ctx, struct http_client_answer *a)
{
	struct call *call = ctx;
	struct port_usage usage = { 0 };
	json_object *obj = NULL;

	if (a->status == HTTP_CLIENT_ANSWERED && a->http_status == 200) {
		obj = json_tokener_parse(a->body);
		if (!read_usage(obj, &usage))
			log_info(LOG_TARGET,
				 "worker %s: its usage cannot be read; ignored",
				 call->worker);
		else
			post_usage(call->targets, call->worker, &usage);
	}
	json_object_put(obj);
	talloc_free(call);
}

static void query_usage(struct targets *t,
			const struct message_query_usage *msg)
{
	struct call *call = talloc_zero(t, struct call);
	char url[MAX_URL_BYTES];
	struct http_client_request request = {
		.method = "GET",
		.url = url,
		.timeout_ms = USAGE_TIMEOUT_MS,
		.answer_bytes = MAX_ANSWER_BYTES,
	};

	call->targets = t;
	call->worker = talloc_strdup(call, msg->worker);
	snprintf(url, sizeof(url), "http://%s/v1/usage", msg->address);
	http_client_send(client_of(t, msg->address), &request, on_usage, call);
}

static int destroy(struct targets *t)
{
	json_tokener_free(t->json);
	return 0;
}

void *targets_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg)
{
	struct targets *t = talloc_zero(mem, struct targets);
	struct http_client_options options = { .ev = ev,
					       .idle_connections =
						       MAX_IDLE_CONNECTIONS };

	t->options = *(const struct targets_options *)arg;
	options.host_connections = t->options.worker_connections;
	for (int i = 0; i < CLIENT_COUNT; i++)
		t->clients[i] = http_client_create(t, &options);
	t->json = json_tokener_new();
	json_tokener_set_flags(t->json, JSON_TOKENER_STRICT |
						JSON_TOKENER_VALIDATE_UTF8);
	talloc_set_destructor(t, destroy);
	return t;
}

void targets_handle(void *state, struct mailbox_message *msg)
{
	struct targets *t = state;

	switch (msg->kind) {
	case MESSAGE_TASK_START:
		start_task(t, (const struct message_task_start *)msg);
		break;
	case MESSAGE_TASK_STOP:
		stop_task(t, (const struct message_task_stop *)msg);
		break;
	case MESSAGE_QUERY_USAGE:
		query_usage(t, (const struct message_query_usage *)msg);
		break;
	}
	talloc_free(msg);
}
