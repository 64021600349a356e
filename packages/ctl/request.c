#include "ctl/request.h"

#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "adapters/http_client.h"
#include "base/clock.h"
#include "base/settings.h"
#include "ctl/json_view.h"

#define DEFAULT_TIMEOUT_MS 60000
#define MAX_ANSWER_BYTES (256u << 20)
#define READ_BYTES 65536
#define WATCH_PERIOD_US 100000
#define MAX_PROGRESS_BYTES 4096 /* of an answer with the progress */
#define PROGRESS_TIMEOUT_MS 5000

struct wait {
	TALLOC_CTX *mem;
	bool done;
	uint64_t began_us; /* when watching began; 0: not watched */
	struct http_client *client;
	const char *job_url; /* to request progress from; NULL for none */
	bool progress_pending;
	int tasks; /* 0: unknown so far */
	int done_tasks;
	struct request_answer answer;
};

static void show_progress(struct tevent_context *ev, struct wait *wait);

static void on_done(void *ctx, struct http_client_answer *a)
{
	struct wait *wait = ctx;

	wait->done = true;
	wait->answer.message = a->message;
	if (a->status != HTTP_CLIENT_ANSWERED)
		return;
	wait->answer.http_status = a->http_status;
	wait->answer.body = talloc_steal(wait->mem, a->body);
	a->body = NULL;
}

static void on_watch(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	(void)te;
	(void)now;
	show_progress(ev, private_data);
}

static void on_progress(void *ctx, struct http_client_answer *a)
{
	struct wait *wait = ctx;
	json_object *obj = a->status == HTTP_CLIENT_ANSWERED
				   ? json_tokener_parse(a->body)
				   : NULL;

	wait->progress_pending = false;
	if (json_view_value(obj, "tasks")) {
		wait->tasks =
			json_object_get_int(json_view_value(obj, "tasks"));
		wait->done_tasks =
			json_object_get_int(json_view_value(obj, "done"));
	}
	json_object_put(obj);
}

static void request_progress(struct wait *wait)
{
	struct http_client_request request = {
		.method = "GET",
		.url = wait->job_url,
		.timeout_ms = PROGRESS_TIMEOUT_MS,
		.answer_bytes = MAX_PROGRESS_BYTES,
	};

	if (!wait->job_url || wait->progress_pending)
		return;
	wait->progress_pending = true;
	http_client_send(wait->client, &request, on_progress, wait);
}

static void show_progress(struct tevent_context *ev, struct wait *wait)
{
	uint64_t now_us = clock_now_us();

	if (!wait->began_us)
		wait->began_us = now_us;
	fprintf(stderr, "\rwaiting for the answer: %.1f s",
		(double)(now_us - wait->began_us) / 1e6);
	if (wait->tasks)
		fprintf(stderr, ", %d of %d tasks done", wait->done_tasks,
			wait->tasks);
	request_progress(wait);
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, WATCH_PERIOD_US),
			 on_watch, wait);
}

static const char **make_headers(TALLOC_CTX *mem, const struct request *given,
				 const char *token)
{
	const char **headers = talloc_zero_array(mem, const char *, 4);
	size_t n = 0;

	headers[n++] = "Content-Type: application/json";
	if (token)
		headers[n++] =
			talloc_asprintf(mem, "Authorization: Bearer %s", token);
	if (given->idempotency_key)
		headers[n++] = talloc_asprintf(mem, "Idempotency-Key: %s",
					       given->idempotency_key);
	return headers;
}

/* Sends the request and runs the loop until it is answered. */
static void send_request(TALLOC_CTX *mem, const struct request *given,
			 const char *token, struct wait *wait)
{
	struct tevent_context *ev = tevent_context_init(mem);
	struct http_client_options options = { .ev = ev };
	struct http_client *client = http_client_create(mem, &options);
	struct http_client_request request = {
		.method = given->method,
		.url = talloc_asprintf(mem, "http://%s%s", given->address,
				       given->path),
		.headers = make_headers(mem, given, token),
		.body = given->body,
		.body_len = given->body ? strlen(given->body) : 0,
		.timeout_ms = given->timeout_ms ? given->timeout_ms
						: DEFAULT_TIMEOUT_MS,
		.answer_bytes = MAX_ANSWER_BYTES,
	};

	wait->client = client;
	http_client_send(client, &request, on_done, wait);
	if (given->progress)
		wait->job_url = request.url;
	if (given->watch)
		show_progress(ev, wait);
	while (!wait->done)
		if (tevent_loop_once(ev))
			break;
	if (wait->began_us)
		fputc('\n', stderr);
	talloc_free(client);
}

struct request_answer request_send(TALLOC_CTX *mem, const struct request *given)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	struct wait wait = { .mem = mem };
	char *token = given->token_file
			      ? settings_read_secret(tmp, given->token_file)
			      : NULL;

	if (given->token_file && !token)
		wait.answer.message = talloc_asprintf(
			mem, "not sent: %s cannot be read or is empty",
			given->token_file);
	else
		send_request(tmp, given, token, &wait);
	talloc_free(tmp);
	return wait.answer;
}

bool request_was_answered(const struct request_answer *answer)
{
	if (!answer->http_status)
		fprintf(stderr, "bergamotctl: no answer: %s\n",
			answer->message);
	return answer->http_status;
}

char *request_read_file(TALLOC_CTX *mem, const char *path)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "re") : stdin;
	char data[READ_BYTES];
	char *text;
	size_t n;

	if (!f) {
		fprintf(stderr, "bergamotctl: %s: cannot be read\n", path);
		return NULL;
	}
	text = talloc_strdup(mem, "");
	while ((n = fread(data, 1, sizeof(data), f)))
		text = talloc_strndup_append_buffer(text, data, n);
	if (f != stdin)
		fclose(f);
	return text;
}
