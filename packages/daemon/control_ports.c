#include "daemon/control_state.h"

#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/random.h"
#include "base/timeline.h"
#include "wire/frame.h"

/* The ports of the core: messages to the traffic threads. */

void control_send_http_reply(struct control *control,
			     struct message_http_reply *msg)
{
	mailbox_post_always(thread_mailbox(control->callers), &msg->head);
}

struct message_http_reply *control_new_reply(uint64_t request, int status)
{
	struct message_http_reply *msg =
		message_create(struct message_http_reply, MESSAGE_HTTP_REPLY);

	msg->request = request;
	msg->status = status;
	return msg;
}

static char *issue_next_job_id(struct control *control, TALLOC_CTX *mem)
{
	char id[1][JOB_ID_TEXT_BYTES];

	if (!node_issue_ids(control->node, id, 1, clock_now_ms()))
		return NULL;
	return talloc_strdup(mem, id[0]);
}

static void port_reply(void *ctx, const struct port_reply *reply)
{
	struct control *control = ctx;
	struct message_http_reply *msg = control_new_reply(
		reply->request, outcome_http_status(reply->outcome));

	msg->retry_after_s = outcome_retry_after_s(reply->outcome);
	msg->body = outcome_body(msg, reply->outcome, reply->job);
	msg->next_job_id = issue_next_job_id(control, msg);
	control_send_http_reply(control, msg);
}

/* One thread sends all requests to a worker, so that they share connections. */
static struct mailbox *targets_of(struct control *control, const char *address)
{
	uint64_t hash = XXH3_64bits(address, strlen(address));

	return thread_mailbox(
		control->targets[hash % (unsigned)control->target_count]);
}

static void port_start(void *ctx, const struct port_start *start)
{
	struct control *control = ctx;
	struct message_task_start *msg =
		message_create(struct message_task_start, MESSAGE_TASK_START);

	msg->token = start->token;
	msg->job = talloc_strdup(msg, start->job);
	msg->task = start->task;
	msg->service = talloc_strdup(msg, start->service);
	msg->address = talloc_strdup(msg, start->address);
	msg->posted_ms = clock_now_ms();
	msg->deadline_ms = msg->posted_ms + start->lease_ms;
	msg->body = talloc_strdup(msg, start->body);
	mailbox_post_always(targets_of(control, start->address), &msg->head);
}

static void port_stop(void *ctx, const struct port_stop *stop)
{
	struct control *control = ctx;
	struct message_task_stop *msg =
		message_create(struct message_task_stop, MESSAGE_TASK_STOP);

	msg->token = stop->token;
	msg->job = talloc_strdup(msg, stop->job);
	msg->task = stop->task;
	msg->address = talloc_strdup(msg, stop->address);
	mailbox_post_always(targets_of(control, stop->address), &msg->head);
}

static void port_query_usage(void *ctx, const char *worker, const char *address)
{
	struct control *control = ctx;
	struct message_query_usage *msg =
		message_create(struct message_query_usage, MESSAGE_QUERY_USAGE);

	msg->worker = talloc_strdup(msg, worker);
	msg->address = talloc_strdup(msg, address);
	mailbox_post_always(targets_of(control, address), &msg->head);
}

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *peer)
{
	struct control *control = ctx;
	struct message_peer_send *msg =
		message_create(struct message_peer_send, MESSAGE_PEER_SEND);

	msg->incarnation = incarnation;
	msg->frame = frame_pack(msg, peer);
	mailbox_post_always(thread_mailbox(control->peers), &msg->head);
}

static void post_address(struct control *control, enum message_kind kind,
			 const char *address)
{
	struct message_peer_address *msg =
		message_create(struct message_peer_address, kind);

	msg->address = talloc_strdup(msg, address);
	mailbox_post_always(thread_mailbox(control->peers), &msg->head);
}

static void port_dial(void *ctx, const char *address)
{
	post_address(ctx, MESSAGE_PEER_DIAL, address);
}

static void port_hang_up(void *ctx, const char *address)
{
	post_address(ctx, MESSAGE_PEER_HANG_UP, address);
}

static void port_event(void *ctx, const char *event, const char *job, int task,
		       const char *worker, const char *detail)
{
	struct timeline_event line = { event, job, task, worker, detail };

	(void)ctx;
	if (timeline_enabled())
		timeline_write(&line);
}

static uint64_t port_random_id(void *ctx)
{
	(void)ctx;
	return random_identity();
}

/* The platform's ports if the settings have no platform */

static void no_read_config(void *ctx)
{
	(void)ctx;
}

static void no_write_config(void *ctx, uint64_t request, uint64_t base_version,
			    const char *document, size_t len)
{
	struct control *control = ctx;

	(void)base_version;
	(void)document;
	(void)len;
	node_config_written(control->node, request, PORT_PLATFORM_UNAVAILABLE,
			    clock_now_ms());
}

static void no_claim_key(void *ctx, uint64_t request, const char *key,
			 const char *value)
{
	struct control *control = ctx;

	(void)key;
	(void)value;
	node_key_claimed(control->node, request, PORT_PLATFORM_UNAVAILABLE,
			 NULL, clock_now_ms());
}

static void no_watch_config(void *ctx, bool enabled)
{
	(void)ctx;
	(void)enabled;
}

/* The platform's ports if the settings have one */

static void port_read_config(void *ctx)
{
	struct control *control = ctx;

	mailbox_post_always(thread_mailbox(control->platform),
			    &message_create(struct message_watch_config,
					    MESSAGE_READ_CONFIG)
				     ->head);
}

static void port_watch_config(void *ctx, bool enabled)
{
	struct control *control = ctx;
	struct message_watch_config *msg = message_create(
		struct message_watch_config, MESSAGE_WATCH_CONFIG);

	msg->enabled = enabled;
	mailbox_post_always(thread_mailbox(control->platform), &msg->head);
}

static void port_write_config(void *ctx, uint64_t request,
			      uint64_t base_version, const char *document,
			      size_t len)
{
	struct control *control = ctx;
	struct message_write_config *msg = message_create(
		struct message_write_config, MESSAGE_WRITE_CONFIG);

	msg->request = request;
	msg->base_version = base_version;
	msg->document = talloc_strndup(msg, document, len);
	msg->len = len;
	mailbox_post_always(thread_mailbox(control->platform), &msg->head);
}

static void port_claim_key(void *ctx, uint64_t request, const char *key,
			   const char *value)
{
	struct control *control = ctx;
	struct message_claim_key *msg =
		message_create(struct message_claim_key, MESSAGE_CLAIM_KEY);

	msg->request = request;
	msg->key = talloc_strdup(msg, key);
	msg->value = talloc_strdup(msg, value);
	mailbox_post_always(thread_mailbox(control->platform), &msg->head);
}

/* Replies to operators */

static void port_operator_reply(void *ctx, uint64_t request, int http_status,
				const char *body)
{
	struct message_http_reply *msg =
		control_new_reply(request, http_status);

	msg->body = talloc_asprintf(msg, "%s\n", body);
	control_send_http_reply(ctx, msg);
}

void control_set_ports(struct control *control)
{
	struct ports ports = {
		.ctx = control,
		.reply = port_reply,
		.start = port_start,
		.stop = port_stop,
		.query_usage = port_query_usage,
		.send = port_send,
		.dial = port_dial,
		.hang_up = port_hang_up,
		.read_config = no_read_config,
		.watch_config = no_watch_config,
		.write_config = no_write_config,
		.claim_key = no_claim_key,
		.event = port_event,
		.random_id = port_random_id,
		.operator_reply = port_operator_reply,
	};

	control->ports = ports;
	if (!control->settings->platform_url)
		return;
	control->ports.read_config = port_read_config;
	control->ports.watch_config = port_watch_config;
	control->ports.write_config = port_write_config;
	control->ports.claim_key = port_claim_key;
}
