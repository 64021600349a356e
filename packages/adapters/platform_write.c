#include "adapters/platform_state.h"

#include <inttypes.h>
#include <string.h>

struct write {
	struct platform *platform;
	uint64_t request;
	uint64_t base_version;
	char *document;
	unsigned tries;
	bool sent; /* a try may have taken effect */
};

static void read_before_write(struct write *w);

static void end_write(struct write *w, enum port_platform_status status)
{
	struct message_config_written *msg = message_create(
		struct message_config_written, MESSAGE_CONFIG_WRITTEN);

	msg->request = w->request;
	msg->status = status;
	mailbox_post_always(w->platform->options.control, &msg->head);
	talloc_free(w);
}

static void on_write_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	read_before_write(private_data);
}

static void retry_write(struct write *w)
{
	if (++w->tries >= PLATFORM_MAX_TRIES)
		end_write(w, w->sent ? PORT_PLATFORM_LOST
				     : PORT_PLATFORM_UNAVAILABLE);
	else
		platform_start_timer(w->platform, w,
				     platform_next_backoff_ms(w->platform, 0),
				     on_write_timer, w);
}

/*
 * Unless the platform confirms the write, the next try reads the document
 * first, which shows whether this write took effect.
 */
static void on_written(void *ctx, struct http_client_answer *a)
{
	struct write *w = ctx;

	if (a->status != HTTP_CLIENT_NOT_SENT)
		w->sent = true;
#ifdef BREAK_LOST_ANSWER
	if (!platform_check_answer(a)) {
		end_write(w, PORT_PLATFORM_UNAVAILABLE);
		return;
	}
#endif
	if (platform_check_answer(a) && a->http_status == 200 &&
	    !strncmp(a->body, "true", 4))
		end_write(w, PORT_PLATFORM_OK);
	else
		retry_write(w);
}

static void put_document(struct write *w, uint64_t index)
{
	struct platform *p = w->platform;
	char *path = talloc_asprintf_append_buffer(platform_config_path(w, p),
						   "?cas=%" PRIu64, index);

#ifdef BREAK_CAS
	path[strcspn(path, "?")] = '\0';
#endif
	if (!platform_call(p, "PUT", path, w->document,
			   PLATFORM_CALL_TIMEOUT_MS, on_written, w))
		end_write(w, w->sent ? PORT_PLATFORM_LOST
				     : PORT_PLATFORM_UNAVAILABLE);
}

static void on_read_before_write(void *ctx, struct http_client_answer *a)
{
	struct write *w = ctx;
	struct platform_text_value value;

	if (!platform_check_answer(a) ||
	    !platform_text_read_value(w, a, &value)) {
		retry_write(w);
		return;
	}
	if (value.text)
		platform_pass_on_document(w->platform, &value);
	if (value.text && !strcmp(value.text, w->document))
		end_write(w, PORT_PLATFORM_OK);
	else if (platform_text_version(value.text) > w->base_version)
		end_write(w, PORT_PLATFORM_CONFLICT);
	else
		put_document(w, value.index);
}

static void read_before_write(struct write *w)
{
	char *path = platform_config_path(w, w->platform);

	path = talloc_strdup_append_buffer(path, "?consistent=true");
	if (!platform_call(w->platform, "GET", path, NULL,
			   PLATFORM_CALL_TIMEOUT_MS, on_read_before_write, w))
		end_write(w, w->sent ? PORT_PLATFORM_LOST
				     : PORT_PLATFORM_UNAVAILABLE);
}

void platform_write_document(struct platform *p,
			     const struct message_write_config *msg)
{
	struct write *w = talloc_zero(p, struct write);

	w->platform = p;
	w->request = msg->request;
	w->base_version = msg->base_version;
	w->document = talloc_strndup(w, msg->document, msg->len);
	read_before_write(w);
}
