#include "daemon/monitor.h"

#include <string.h>

#include "adapters/http_server.h"
#include "base/counter.h"
#include "base/histogram.h"

#define REQUEST_BYTES 4096 /* of a header, and of a body that nobody reads */
#define CONNECTIONS 64
#define IDLE_MS 30000

struct mon {
	struct mon_options options;
	struct htp *http;
};

static void reply(struct mon *mon, uint64_t number, int status,
		  const char *type, const char *body)
{
	struct htp_response response = {
		.status = status,
		.content_type = type,
		.body = body,
		.body_len = strlen(body),
	};

	htp_reply(mon->http, number, &response);
}

static void show_metrics(struct mon *mon, uint64_t number)
{
	char *text = hst_append(ctr_text(mon));

	reply(mon, number, 200, "text/plain; version=0.0.4", text);
	talloc_free(text);
}

static void show_status(struct mon *mon, uint64_t number)
{
	json_object *obj = mon->options.status(mon->options.ctx);

	reply(mon, number, 200, NULL,
	      json_object_to_json_string_ext(
		      obj,
		      JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(obj);
}

static void on_request(void *ctx, const struct htp_request *request)
{
	static const struct {
		const char *path;
		void (*show)(struct mon *mon, uint64_t number);
	} pages[] = {
		{ "/metrics", show_metrics },
		{ "/v1/status", show_status },
	};
	struct mon *mon = ctx;

	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++)
		if (!strcmp(request->path, pages[i].path)) {
			pages[i].show(mon, request->number);
			return;
		}
	reply(mon, request->number, 404, NULL,
	      "{\"reason\":\"unknown_path\",\"message\":\"there are /metrics "
	      "and /v1/status\"}\n");
}

struct mon *mon_create(TALLOC_CTX *mem, const struct mon_options *options)
{
	struct mon *mon = talloc_zero(mem, struct mon);
	struct htp_options http = {
		.ev = options->ev,
		.listen = options->listen,
		.body_bytes = REQUEST_BYTES,
		.header_bytes = REQUEST_BYTES,
		.connections = CONNECTIONS,
		.idle_ms = IDLE_MS,
		.handler = on_request,
		.ctx = mon,
	};

	mon->options = *options;
	mon->http = htp_create(mon, &http);
	if (mon->http)
		return mon;
	talloc_free(mon);
	return NULL;
}
