#include "daemon/control_state.h"

#include <string.h>

#include "base/clock.h"
#include "daemon/operators.h"

/* Messages from the traffic threads */

static void issue_ids(struct control *control,
		      const struct message_caller_request *msg)
{
	char(*ids)[JOB_ID_TEXT_BYTES] =
		talloc_size(msg, msg->count * JOB_ID_TEXT_BYTES);
	size_t n =
		node_issue_ids(control->node, ids, msg->count, clock_now_ms());
	struct message_http_reply *reply =
		control_new_reply(msg->request, n ? 200 : 503);
	char *body = talloc_strdup(reply, "{\"ids\":[");

	for (size_t i = 0; i < n; i++)
		body = talloc_asprintf_append_buffer(body, "%s\"%s\"",
						     i ? "," : "", ids[i]);
	reply->body = talloc_strdup_append_buffer(body, "]}\n");
	control_send_http_reply(control, reply);
}

static void reply_ready(struct control *control, uint64_t request)
{
	bool ready = node_is_ready(control->node);
	struct message_http_reply *reply =
		control_new_reply(request, ready ? 200 : 503);

	reply->body = talloc_asprintf(reply, "{\"ready\":%s}\n",
				      ready ? "true" : "false");
	control_send_http_reply(control, reply);
}

static void submit(struct control *control, struct message_caller_request *msg)
{
	struct job_request *job = talloc_steal(NULL, msg->job);
	uint64_t now_ms = clock_now_ms();

	if (msg->key)
		node_submit_keyed(control->node, msg->request, msg->key, job,
				  now_ms);
	else
		node_submit(control->node, msg->request, msg->id, job, now_ms);
}

static void on_caller_request(struct control *control,
			      struct mailbox_message *head)
{
	struct message_caller_request *msg =
		(struct message_caller_request *)head;

	switch (msg->op) {
	case MESSAGE_ISSUE_IDS:
		issue_ids(control, msg);
		break;
	case MESSAGE_SUBMIT:
		submit(control, msg);
		break;
	case MESSAGE_FETCH:
		node_fetch(control->node, msg->request, msg->id,
			   clock_now_ms());
		break;
	case MESSAGE_CANCEL:
		node_cancel(control->node, msg->request, msg->id,
			    clock_now_ms());
		break;
	case MESSAGE_READY:
		reply_ready(control, msg->request);
		break;
	}
}

static void on_operator_request(struct control *control,
				struct mailbox_message *head)
{
	struct message_operator_request *msg =
		(struct message_operator_request *)head;
	bool is_status =
		!strcmp(msg->path, "/v1/status") && !strcmp(msg->method, "GET");
	struct message_http_reply *reply;

	if (operators_serve(control->node, msg))
		return;
	reply = control_new_reply(msg->request, is_status ? 200 : 404);
	if (is_status)
		reply->body =
			node_status_json(reply, control->node, clock_now_ms());
	else
		reply->body = talloc_strdup(
			reply,
			"{\"outcome\":\"rejected\",\"reason\":\"bad_path\"}\n");
	control_send_http_reply(control, reply);
}

static void on_task_result(struct control *control,
			   struct mailbox_message *head)
{
	struct message_task_result *msg = (struct message_task_result *)head;

	talloc_steal(NULL, msg->result.body);
	node_task_result(control->node, &msg->result, clock_now_ms());
}

static void on_worker_usage(struct control *control,
			    struct mailbox_message *head)
{
	struct message_worker_usage *msg = (struct message_worker_usage *)head;

	node_worker_usage(control->node, &msg->usage, clock_now_ms());
}

static void on_peer_up(struct control *control, struct mailbox_message *head)
{
	struct message_peer_up *msg = (struct message_peer_up *)head;

	node_peer_up(control->node, msg->peer->hello, clock_now_ms());
}

static void on_peer_down(struct control *control, struct mailbox_message *head)
{
	struct message_peer_down *msg = (struct message_peer_down *)head;

	node_peer_down(control->node, msg->incarnation, clock_now_ms());
}

static void on_peer_message(struct control *control,
			    struct mailbox_message *head)
{
	struct message_peer_message *msg = (struct message_peer_message *)head;

	node_peer_message(control->node, msg->incarnation, msg->peer,
			  clock_now_ms());
}

static void on_config_read(struct control *control,
			   struct mailbox_message *head)
{
	struct message_config_read *msg = (struct message_config_read *)head;

	node_config_read(control->node, msg->status, msg->document, msg->len,
			 clock_now_ms());
}

static void on_config_written(struct control *control,
			      struct mailbox_message *head)
{
	struct message_config_written *msg =
		(struct message_config_written *)head;

	node_config_written(control->node, msg->request, msg->status,
			    clock_now_ms());
}

static void on_key_claimed(struct control *control,
			   struct mailbox_message *head)
{
	struct message_key_claimed *msg = (struct message_key_claimed *)head;

	node_key_claimed(control->node, msg->request, msg->status, msg->value,
			 clock_now_ms());
}

static void on_listed(struct control *control, struct mailbox_message *head)
{
	struct message_listed *msg = (struct message_listed *)head;

	if (msg->worker)
		node_worker_listed(control->node, msg->name, msg->leaving,
				   clock_now_ms());
	else
		node_instance_listed(control->node, msg->name, msg->leaving,
				     clock_now_ms());
}

static void on_callers_drained(struct control *control,
			       struct mailbox_message *head)
{
	(void)head;
	control->shutdown.drained = true;
}

void control_on_message(void *ctx, struct mailbox_message *msg)
{
	static void (*const handlers[])(struct control *,
					struct mailbox_message *) = {
		[MESSAGE_CALLER_REQUEST] = on_caller_request,
		[MESSAGE_OPERATOR_REQUEST] = on_operator_request,
		[MESSAGE_TASK_RESULT] = on_task_result,
		[MESSAGE_WORKER_USAGE] = on_worker_usage,
		[MESSAGE_PEER_UP] = on_peer_up,
		[MESSAGE_PEER_DOWN] = on_peer_down,
		[MESSAGE_PEER_MESSAGE] = on_peer_message,
		[MESSAGE_CONFIG_READ] = on_config_read,
		[MESSAGE_CONFIG_WRITTEN] = on_config_written,
		[MESSAGE_KEY_CLAIMED] = on_key_claimed,
		[MESSAGE_LISTED] = on_listed,
		[MESSAGE_CALLERS_DRAINED] = on_callers_drained,
	};
	struct control *control = ctx;

	control_check_pause(control, clock_now_ms());
	handlers[msg->kind](control, msg);
	talloc_free(msg);
	if (!node_is_idle(control->node))
		loop_timer_set_period(control->tick, CONTROL_BUSY_TICK_MS);
}
