#include "daemon/monitor.h"

#include <string.h>

#include "adapters/http_server.h"
#include "base/counter.h"
#include "base/histogram.h"

#define REQUEST_BYTES 4096 /* limit of a header, and of a body (ignored) */
#define CONNECTIONS 64
#define IDLE_MS 30000

struct monitor {
	struct monitor_options options;
	struct http_server *http;
};

static void reply(struct monitor *monitor, uint64_t number, int status,
		  const char *type, const char *body)
{
	struct http_server_response response = {
		.status = status,
		.content_type = type,
		.body = body,
		.body_len = strlen(body),
	};

	http_server_reply(monitor->http, number, &response);
}

static void show_metrics(struct monitor *monitor, uint64_t number)
{
	char *text = histogram_append(counter_text(monitor));

	reply(monitor, number, 200, "text/plain; version=0.0.4", text);
	talloc_free(text);
}

static void show_status(struct monitor *monitor, uint64_t number)
{
	json_object *obj = monitor->options.status(monitor->options.ctx);

	reply(monitor, number, 200, NULL,
	      json_object_to_json_string_ext(
		      obj,
		      JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(obj);
}

static void on_request(void *ctx, const struct http_server_request *request)
{
	static const struct {
		const char *path;
		void (*show)(struct monitor *monitor, uint64_t number);
	} pages[] = {
		{ "/metrics", show_metrics },
		{ "/v1/status", show_status },
	};
	struct monitor *monitor = ctx;

	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++)
		if (!strcmp(request->path, pages[i].path)) {
			pages[i].show(monitor, request->number);
			return;
		}
	reply(monitor, request->number, 404, NULL,
	      "{\"reason\":\"unknown_path\",\"message\":\"there are /metrics "
	      "and /v1/status\"}\n");
}

struct monitor *monitor_create(TALLOC_CTX *mem,
			       const struct monitor_options *options)
{
	struct monitor *monitor = talloc_zero(mem, struct monitor);
	struct http_server_options http = {
		.ev = options->ev,
		.listen = options->listen,
		.body_bytes = REQUEST_BYTES,
		.header_bytes = REQUEST_BYTES,
		.connections = CONNECTIONS,
		.idle_ms = IDLE_MS,
		.handler = on_request,
		.ctx = monitor,
	};

	monitor->options = *options;
	monitor->http = http_server_create(monitor, &http);
	if (monitor->http)
		return monitor;
	talloc_free(monitor);
	return NULL;
}
