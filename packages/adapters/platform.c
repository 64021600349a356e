#include "adapters/platform_state.h"

#include <string.h>

#include "base/clock.h"
#include "base/counter.h"

#define MIN_BACKOFF_MS 100
#define MAX_BACKOFF_MS 2000
#define MAX_ANSWER_BYTES (8u << 20)
/* Thousandths of the read budget that watches may not use. */
#define WATCH_RESERVE_MILLI 400

/* Calls */

/* Takes a token if reserve_milli thousandths of the rate remain after it. */
static bool take_token(struct token_bucket *b, unsigned reserve_milli)
{
	return bucket_take(b, 1, b->per_s * reserve_milli / 1000,
			   clock_now_ms());
}

bool platform_call(struct platform *p, const char *method, const char *path,
		   const char *body, uint64_t timeout_ms,
		   http_client_done *done, void *ctx)
{
	bool is_read = !strcmp(method, "GET");
	char *token = talloc_asprintf(p, "X-Consul-Token: %s",
				      p->options.token ? p->options.token : "");
	const char *const headers[] = { "Content-Type: application/json",
					p->options.token ? token : NULL, NULL };
	struct http_client_request request = {
		.method = method,
		.url = talloc_asprintf(token, "%s%s",
				       p->options.settings->platform_url, path),
		.headers = headers,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_ms = timeout_ms,
		.answer_bytes = MAX_ANSWER_BYTES,
	};
	bool is_watch = is_read && !strstr(path, "consistent");
	bool allowed = take_token(is_read ? &p->reads : &p->writes,
				  is_watch ? WATCH_RESERVE_MILLI : 0);

	if (allowed) {
		counter_add(COUNTER_PLATFORM_CALLS, 1);
		http_client_send(p->client, &request, done, ctx);
	}
	talloc_free(token);
	return allowed;
}

bool platform_check_answer(const struct http_client_answer *a)
{
	bool good = a->status == HTTP_CLIENT_ANSWERED && a->http_status < 500;

	if (!good)
		counter_add(COUNTER_PLATFORM_FAILURES, 1);
	return good;
}

uint64_t platform_next_backoff_ms(struct platform *p, uint64_t backoff_ms)
{
	backoff_ms = backoff_ms ? backoff_ms * 2 : MIN_BACKOFF_MS;
	if (backoff_ms > MAX_BACKOFF_MS)
		backoff_ms = MAX_BACKOFF_MS;
	return backoff_ms / 2 + random_below(&p->random, backoff_ms / 2 + 1);
}

struct tevent_timer *platform_start_timer(struct platform *p, TALLOC_CTX *mem,
					  uint64_t ms,
					  tevent_timer_handler_t handler,
					  void *ctx)
{
	struct timeval at = tevent_timeval_current_ofs(
		(uint32_t)(ms / 1000), (uint32_t)(ms % 1000 * 1000));

	return tevent_add_timer(p->ev, mem, at, handler, ctx);
}

char *platform_config_path(TALLOC_CTX *mem, const struct platform *p)
{
	return talloc_asprintf(mem, "/v1/kv/%s/config",
			       p->options.settings->platform_prefix);
}

/* The thread */

void *platform_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg)
{
	struct platform *p = talloc_zero(mem, struct platform);
	struct http_client_options options = { .ev = ev };

	p->options = *(const struct platform_options *)arg;
	p->ev = ev;
	p->client = http_client_create(p, &options);
	random_seed(&p->random, random_identity());
	bucket_init(&p->reads, p->options.settings->platform_reads_per_s, 0,
		    clock_now_ms());
	bucket_init(&p->writes, p->options.settings->platform_writes_per_s, 0,
		    clock_now_ms());
	STAILQ_INIT(&p->claims);
	platform_start_watches(p);
	return p;
}

void platform_handle(void *state, struct mailbox_message *msg)
{
	struct platform *p = state;

	switch (msg->kind) {
	case MESSAGE_READ_CONFIG:
		platform_read_document(p);
		break;
	case MESSAGE_WATCH_CONFIG:
		platform_enable_watches(
			p, ((const struct message_watch_config *)msg)->enabled);
		break;
	case MESSAGE_WRITE_CONFIG:
		platform_write_document(
			p, (const struct message_write_config *)msg);
		break;
	case MESSAGE_CLAIM_KEY:
		platform_claim_key(p, (const struct message_claim_key *)msg);
		break;
	}
	talloc_free(msg);
}
