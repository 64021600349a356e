#include "adapters/callers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/http_server.h"
#include "adapters/messages.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/json_text.h"

#define MAX_IDS 1000 /* issued by one request */
#define MAX_KEY_OR_ID_BYTES 200 /* length of an Idempotency-Key or a job id */
#define MAX_MESSAGE_BYTES 512 /* of an error message as a JSON string */
#define DRAIN_POLL_US 10000
#define OPERATOR_BODY_BYTES (2u << 20)
#define OPERATOR_CONNECTIONS 256
/*
 * Set in the numbers of operators' requests that are passed to the control
 * thread, so that its replies go to the right server.
 */
#define OPERATOR_BIT (UINT64_C(1) << 63)

struct callers {
	struct tevent_context *ev;
	struct callers_options options;
	struct http_server *callers;
	struct http_server *operators;
};

/* Error replies */

static void reply_error(struct http_server *server, uint64_t number, int status,
			const char *reason, const char *message)
{
	char quoted[MAX_MESSAGE_BYTES];
	char *body;
	struct http_server_response response = { .status = status };

	json_text_quote(quoted, sizeof(quoted), message);
	body = talloc_asprintf(NULL,
			       "{\"outcome\":\"rejected\",\"reason\":\"%s\","
			       "\"message\":%s}\n",
			       reason, quoted);
	response.body = body;
	response.body_len = strlen(body);
	counter_add(COUNTER_HTTP_BAD_REQUESTS, 1);
	http_server_reply(server, number, &response);
	talloc_free(body);
}

static void post(struct callers *c, struct message_caller_request *msg)
{
	uint64_t number = msg->request;

	if (mailbox_post(c->options.control, &msg->head))
		return;
	talloc_free(msg);
	reply_error(c->callers, number, 503, "overloaded",
		    "too many requests wait");
}

static struct message_caller_request *
new_request(const struct http_server_request *r, enum message_caller_op op,
	    const char *id)
{
	struct message_caller_request *msg = message_create(
		struct message_caller_request, MESSAGE_CALLER_REQUEST);

	msg->op = op;
	msg->request = r->number;
	if (id)
		msg->id = talloc_strdup(msg, id);
	return msg;
}

/* Routes */

static void issue_job_ids(struct callers *c,
			  const struct http_server_request *r, const char *id)
{
	struct message_caller_request *msg;
	const char *count = http_server_query(r, "count");
	char *end = NULL;
	long n = count ? strtol(count, &end, 10) : 1;

	(void)id;
	if (n < 1 || n > MAX_IDS || (end && *end)) {
		reply_error(c->callers, r->number, 400, "bad_count",
			    "allowed: 1 to 1000");
		return;
	}
	msg = new_request(r, MESSAGE_ISSUE_IDS, NULL);
	msg->count = (uint32_t)n;
	post(c, msg);
}

/* Returns true if text is valid as an Idempotency-Key or a job id. */
static bool is_key_or_id(const char *text)
{
	return *text && strlen(text) <= MAX_KEY_OR_ID_BYTES &&
	       strspn(text,
		      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		      "0123456789._-") == strlen(text);
}

static void submit_job(struct callers *c, const struct http_server_request *r,
		       const char *id)
{
	const char *key = http_server_header(r, "Idempotency-Key");
	struct job_request_limits limits = {
		.tasks = c->options.settings->job_tasks,
		.depth = c->options.settings->job_json_depth,
	};
	struct message_caller_request *msg;
	enum job_request_status status;
	struct job_request *job;
	char *message;

	if (key && !is_key_or_id(key)) {
		reply_error(c->callers, r->number, 400, "bad_key",
			    "allowed: 1 to 200 letters, digits, . _ -");
		return;
	}
	job = job_request_parse(NULL, r->body, r->body_len, &limits, &status,
				&message);
	if (!job) {
		reply_error(c->callers, r->number, 400,
			    job_request_status_word(status), message);
		talloc_free(message);
		return;
	}
	msg = new_request(r, MESSAGE_SUBMIT, id);
	msg->job = talloc_steal(msg, job);
	if (key && !id)
		msg->key = talloc_strdup(msg, key);
	post(c, msg);
}

static void fetch_job(struct callers *c, const struct http_server_request *r,
		      const char *id)
{
	post(c, new_request(r, MESSAGE_FETCH, id));
}

static void cancel_job(struct callers *c, const struct http_server_request *r,
		       const char *id)
{
	post(c, new_request(r, MESSAGE_CANCEL, id));
}

static void get_readiness(struct callers *c,
			  const struct http_server_request *r, const char *id)
{
	(void)id;
	post(c, new_request(r, MESSAGE_READY, NULL));
}

/* A path that ends in '/' is followed by one segment, the job's id. */
static const struct route {
	const char *method;
	const char *path;
	void (*serve)(struct callers *c, const struct http_server_request *r,
		      const char *id);
} routes[] = {
	{ "POST", "/v1/job-ids", issue_job_ids },
	{ "POST", "/v1/jobs", submit_job },
	{ "PUT", "/v1/jobs/", submit_job },
	{ "GET", "/v1/jobs/", fetch_job },
	{ "DELETE", "/v1/jobs/", cancel_job },
	{ "GET", "/ready", get_readiness },
};

/* Returns true if path matches; sets *id to the job id in it, or to NULL. */
static bool route_matches(const struct route *route, const char *path,
			  const char **id)
{
	size_t len = strlen(route->path);

	*id = NULL;
	if (route->path[len - 1] != '/')
		return !strcmp(path, route->path);
	if (strncmp(path, route->path, len))
		return false;
	*id = path + len;
	return **id && !strchr(*id, '/');
}

static void on_caller(void *ctx, const struct http_server_request *r)
{
	struct callers *c = ctx;
	bool is_known_path = false;
	const char *id;

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (!route_matches(&routes[i], r->path, &id))
			continue;
		is_known_path = true;
		if (strcmp(routes[i].method, r->method))
			continue;
		if (id && !is_key_or_id(id)) {
			reply_error(c->callers, r->number, 404, "bad_id",
				    "no such id");
			return;
		}
		routes[i].serve(c, r, id);
		return;
	}
	if (is_known_path)
		reply_error(c->callers, r->number, 405, "bad_method",
			    "this path has other methods");
	else
		reply_error(c->callers, r->number, 404, "bad_path",
			    "no such path");
}

/* Operators */

static bool is_same_secret(const char *a, const char *b)
{
	size_t len = strlen(b);
	unsigned char difference = strlen(a) != len;

	/* Compares every byte, so that timing does not reveal the token. */
	for (size_t i = 0; a[i] && i < len; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return !difference;
}

static bool is_authorized(const struct callers *c,
			  const struct http_server_request *r)
{
	const char *header = http_server_header(r, "Authorization");
	static const char scheme[] = "Bearer ";

	return c->options.operators_token && header &&
	       !strncmp(header, scheme, sizeof(scheme) - 1) &&
	       is_same_secret(header + sizeof(scheme) - 1,
			      c->options.operators_token);
}

static void reply_metrics(struct callers *c,
			  const struct http_server_request *r)
{
	char *text = histogram_append(counter_text(NULL));
	struct http_server_response response = {
		.status = 200,
		.content_type = "text/plain; version=0.0.4",
		.body = text,
		.body_len = strlen(text),
	};

	http_server_reply(c->operators, r->number, &response);
	talloc_free(text);
}

static void on_operator(void *ctx, const struct http_server_request *r)
{
	struct callers *c = ctx;
	struct message_operator_request *msg;

	if (!strcmp(r->path, "/metrics")) {
		reply_metrics(c, r);
		return;
	}
	if (!is_authorized(c, r)) {
		reply_error(c->operators, r->number, 401, "unauthorized",
			    "a bearer token is required");
		return;
	}
	msg = message_create(struct message_operator_request,
			     MESSAGE_OPERATOR_REQUEST);
	msg->request = r->number | OPERATOR_BIT;
	msg->method = talloc_strdup(msg, r->method);
	msg->path = talloc_strdup(msg, r->path);
	msg->body = talloc_strndup(msg, r->body, r->body_len);
	msg->body_len = r->body_len;
	mailbox_post_always(c->options.control, &msg->head);
}

/* Replies from the control thread */

static void reply(struct callers *c, const struct message_http_reply *msg)
{
	bool operators = msg->request & OPERATOR_BIT;
	char retry[16];
	const char *headers[5] = { NULL };
	size_t n = 0;
	struct http_server_response response = {
		.status = msg->status,
		.content_type = msg->content_type,
		.body = msg->body,
		.body_len = msg->body ? strlen(msg->body) : 0,
		.headers = headers,
	};

	if (msg->retry_after_s) {
		snprintf(retry, sizeof(retry), "%d", msg->retry_after_s);
		headers[n++] = "Retry-After";
		headers[n++] = retry;
	}
	if (msg->next_job_id) {
		headers[n++] = "Bergamot-Next-Job";
		headers[n++] = msg->next_job_id;
	}
	http_server_reply(operators ? c->operators : c->callers,
			  msg->request & ~OPERATOR_BIT, &response);
}

/* Stopping */

static void check_drained(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *private_data)
{
	struct callers *c = private_data;
	struct mailbox_message *msg;

	(void)te;
	(void)now;
	if (!http_server_is_drained(c->callers)) {
		tevent_add_timer(ev, c,
				 tevent_timeval_current_ofs(0, DRAIN_POLL_US),
				 check_drained, c);
		return;
	}
	msg = message_create(struct mailbox_message, MESSAGE_CALLERS_DRAINED);
	mailbox_post_always(c->options.control, msg);
}

static void stop(struct callers *c, const struct message_callers_stop *msg)
{
	http_server_close_after_answer(c->callers);
	if (!msg->quiesce)
		return;
	http_server_quiesce(c->callers);
	check_drained(c->ev, NULL, tevent_timeval_zero(), c);
}

void *callers_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg)
{
	struct callers *c = talloc_zero(mem, struct callers);
	const struct settings *s;
	struct http_server_options callers = { .ev = ev, .ctx = c };
	struct http_server_options operators = { .ev = ev, .ctx = c };

	c->ev = ev;
	c->options = *(const struct callers_options *)arg;
	s = c->options.settings;
	callers.listen = s->callers_listen;
	callers.body_bytes = (size_t)s->callers_body_bytes;
	callers.header_bytes = (size_t)s->callers_header_bytes;
	callers.connections = (unsigned)s->callers_connections;
	callers.idle_ms = (unsigned)s->callers_idle_ms;
	callers.handler = on_caller;
	c->callers = http_server_create(c, &callers);
	operators.listen = s->operators_listen;
	operators.body_bytes = OPERATOR_BODY_BYTES;
	operators.header_bytes = callers.header_bytes;
	operators.connections = OPERATOR_CONNECTIONS;
	operators.idle_ms = callers.idle_ms;
	operators.handler = on_operator;
	c->operators = http_server_create(c, &operators);
	if (c->callers && c->operators)
		return c;
	talloc_free(c);
	return NULL;
}

void callers_handle(void *state, struct mailbox_message *msg)
{
	if (msg->kind == MESSAGE_HTTP_REPLY)
		reply(state, (const struct message_http_reply *)msg);
	else if (msg->kind == MESSAGE_CALLERS_STOP)
		stop(state, (const struct message_callers_stop *)msg);
	talloc_free(msg);
}
