#include "adapters/platform_state.h"

#include <string.h>

#include "base/clock.h"

#define SESSION_USE_MS 60000 /* new claims use a session for this long */
#define SESSION_SLACK_S 120 /* a key outlives its job id by this */
#define MAX_KEY_BYTES 200

struct claim {
	STAILQ_ENTRY(claim) waiting; /* for a session */
	struct platform *platform;
	uint64_t request;
	char *name; /* in the key-value store */
	char *value;
	unsigned tries;
	bool sent; /* a try may have taken effect */
};

static void send_claim(struct claim *c);

static void end_claim(struct claim *c, enum port_platform_status status,
		      const char *value)
{
	struct message_key_claimed *msg =
		message_create(struct message_key_claimed, MESSAGE_KEY_CLAIMED);

	msg->request = c->request;
	msg->status = status;
	msg->value = talloc_strdup(msg, value);
	mailbox_post_always(c->platform->options.control, &msg->head);
	talloc_free(c);
}

static void give_up_claim(struct claim *c)
{
	end_claim(c, c->sent ? PORT_PLATFORM_LOST : PORT_PLATFORM_UNAVAILABLE,
		  NULL);
}

static void on_claim_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	send_claim(private_data);
}

/* Repeating a claim is safe: it only creates the key, with the same value. */
static void retry_claim(struct claim *c)
{
	if (++c->tries >= PLATFORM_MAX_TRIES)
		give_up_claim(c);
	else
		platform_start_timer(c->platform, c,
				     platform_next_backoff_ms(c->platform, 0),
				     on_claim_timer, c);
}

static void on_stored_value(void *ctx, struct http_client_answer *a)
{
	struct claim *c = ctx;
	struct platform_text_value value;

	if (!platform_check_answer(a) ||
	    !platform_text_read_value(c, a, &value) || !value.text)
		retry_claim(c);
	else if (!strcmp(value.text, c->value))
		end_claim(c, PORT_PLATFORM_OK, NULL);
	else
		end_claim(c, PORT_PLATFORM_CONFLICT, value.text);
}

static void read_stored_value(struct claim *c)
{
	char *path = talloc_asprintf(c, "/v1/kv/%s?consistent=true", c->name);

	if (!platform_call(c->platform, "GET", path, NULL,
			   PLATFORM_CALL_TIMEOUT_MS, on_stored_value, c))
		give_up_claim(c);
}

static void on_claimed(void *ctx, struct http_client_answer *a)
{
	struct claim *c = ctx;

	if (a->status != HTTP_CLIENT_NOT_SENT)
		c->sent = true;
#ifdef BREAK_CLAIM_LOST
	if (!platform_check_answer(a)) {
		end_claim(c, PORT_PLATFORM_OK, NULL);
		return;
	}
#endif
	if (!platform_check_answer(a)) {
		retry_claim(c);
	} else if (a->http_status == 200) {
		end_claim(c, PORT_PLATFORM_OK, NULL);
	} else if (platform_text_is_invalid_session(a)) {
		c->platform->session_use_until_ms = 0;
		retry_claim(c);
	} else {
		read_stored_value(c);
	}
}

static void on_session(void *ctx, struct http_client_answer *a)
{
	struct platform *p = ctx;
	struct claim *c;
	STAILQ_HEAD(, claim) claims = STAILQ_HEAD_INITIALIZER(claims);

	p->session_requested = false;
	TALLOC_FREE(p->session);
	if (platform_check_answer(a))
		p->session = platform_text_session(p, a);
	if (p->session)
		p->session_use_until_ms = clock_now_ms() + SESSION_USE_MS;
	STAILQ_CONCAT(&claims, &p->claims);
	while ((c = STAILQ_FIRST(&claims))) {
		STAILQ_REMOVE_HEAD(&claims, waiting);
		if (p->session)
			send_claim(c);
		else
			retry_claim(c);
	}
}

/* A key must not expire while the job whose id it stores may still run. */
static int session_ttl_s(const struct platform *p)
{
#ifdef BREAK_SESSION
	return 900;
#endif
	return p->options.settings->record_ttl_ms / 1000 +
	       SESSION_USE_MS / 1000 + SESSION_SLACK_S;
}

/* A session is never renewed: it expires, and its keys are deleted with it. */
static void request_session(struct platform *p, struct claim *c)
{
	char *body;

	STAILQ_INSERT_TAIL(&p->claims, c, waiting);
	if (p->session_requested)
		return;
	body = talloc_asprintf(
		p,
		"{\"Name\":\"%s\",\"TTL\":\"%ds\",\"Behavior\":\"delete\","
		"\"LockDelay\":\"0s\",\"NodeChecks\":[]}",
		p->options.settings->instance, session_ttl_s(p));
	p->session_requested =
		platform_call(p, "PUT", "/v1/session/create", body,
			      PLATFORM_CALL_TIMEOUT_MS, on_session, p);
	talloc_free(body);
	if (p->session_requested)
		return;
	STAILQ_REMOVE(&p->claims, c, claim, waiting);
	give_up_claim(c);
}

static void send_claim(struct claim *c)
{
	struct platform *p = c->platform;
	char *body;

	if (!p->session || clock_now_ms() >= p->session_use_until_ms) {
		request_session(p, c);
		return;
	}
	body = platform_text_claim(c, c->name, c->value, p->session);
	if (!platform_call(p, "PUT", "/v1/txn", body, PLATFORM_CALL_TIMEOUT_MS,
			   on_claimed, c))
		give_up_claim(c);
	else
		talloc_free(body);
}

void platform_claim_key(struct platform *p, const struct message_claim_key *msg)
{
	struct claim *c = talloc_zero(p, struct claim);

	c->platform = p;
	c->request = msg->request;
	c->value = talloc_strdup(c, msg->value);
	c->name = talloc_asprintf(c, "%s/keys/",
				  p->options.settings->platform_prefix);
	if (strlen(msg->key) > MAX_KEY_BYTES) {
		give_up_claim(c);
		return;
	}
	for (const char *k = msg->key; *k; k++)
		c->name = talloc_asprintf_append_buffer(c->name, "%02x",
							(unsigned char)*k);
	send_claim(c);
}
