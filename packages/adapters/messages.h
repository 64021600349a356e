#ifndef ADAPTERS_MESSAGES_H
#define ADAPTERS_MESSAGES_H

#include "base/mailbox.h"
#include "core/job_request.h"
#include "core/ports.h"
#include "wire/peer.pb-c.h"

/*
 * Messages between the control thread and the traffic threads. Each is a talloc
 * object without a parent and owns what it points to.
 */

enum message_kind {
	/* to the control thread */
	MESSAGE_CALLER_REQUEST,
	MESSAGE_OPERATOR_REQUEST,
	MESSAGE_TASK_RESULT,
	MESSAGE_WORKER_USAGE,
	MESSAGE_PEER_UP,
	MESSAGE_PEER_DOWN,
	MESSAGE_PEER_MESSAGE,
	MESSAGE_CONFIG_READ,
	MESSAGE_CONFIG_WRITTEN,
	MESSAGE_KEY_CLAIMED,
	MESSAGE_LISTED,
	MESSAGE_CALLERS_DRAINED,
	/* from the control thread */
	MESSAGE_HTTP_REPLY,
	MESSAGE_TASK_START,
	MESSAGE_TASK_STOP,
	MESSAGE_QUERY_USAGE,
	MESSAGE_PEER_SEND,
	MESSAGE_PEER_DIAL,
	MESSAGE_PEER_HANG_UP,
	MESSAGE_READ_CONFIG,
	MESSAGE_WRITE_CONFIG,
	MESSAGE_CLAIM_KEY,
	MESSAGE_CALLERS_STOP,
	MESSAGE_WATCH_CONFIG,
};

enum message_caller_op {
	MESSAGE_ISSUE_IDS,
	MESSAGE_SUBMIT,
	MESSAGE_FETCH,
	MESSAGE_CANCEL,
	MESSAGE_READY,
};

struct message_caller_request {
	struct mailbox_message head;
	enum message_caller_op op;
	uint64_t request; /* number that the reply must carry */
	char *id; /* of the job; NULL: assign a new id */
	char *key; /* Idempotency-Key, or NULL */
	struct job_request *job; /* only for MESSAGE_SUBMIT */
	uint32_t count; /* ids; only for MESSAGE_ISSUE_IDS */
};

struct message_operator_request {
	struct mailbox_message head;
	uint64_t request;
	char *method;
	char *path;
	char *body;
	size_t body_len;
};

/* The reply to a caller's or an operator's request. */
struct message_http_reply {
	struct mailbox_message head;
	uint64_t request;
	int status;
	int retry_after_s; /* 0: no header */
	const char *content_type; /* static text */
	char *body;
	char *next_job_id; /* unused id for the caller's next job, or NULL */
};

struct message_task_result {
	struct mailbox_message head;
	struct port_result result; /* its body is a child of the message */
};

struct message_worker_usage {
	struct mailbox_message head;
	struct port_usage usage;
};

struct message_peer_up {
	struct mailbox_message head;
	Bergamot__Peer *peer; /* holds a Hello; freed with the message */
};

struct message_peer_down {
	struct mailbox_message head;
	uint64_t incarnation;
};

struct message_peer_message {
	struct mailbox_message head;
	uint64_t incarnation;
	Bergamot__Peer *peer; /* freed with the message */
};

struct message_task_start {
	struct mailbox_message head;
	uint64_t token;
	char *job;
	uint32_t task;
	char *service;
	char *address;
	uint64_t posted_ms; /* on this process's monotonic clock */
	uint64_t deadline_ms; /* on the same clock */
	char *body;
};

struct message_task_stop {
	struct mailbox_message head;
	uint64_t token;
	char *job;
	uint32_t task;
	char *address;
};

struct message_query_usage {
	struct mailbox_message head;
	char *worker;
	char *address;
};

struct message_peer_send {
	struct mailbox_message head;
	uint64_t incarnation;
	uint8_t *frame; /* with its length header */
};

struct message_peer_address {
	struct mailbox_message head;
	char *address;
};

struct message_config_read {
	struct mailbox_message head;
	enum port_platform_status status;
	char *document; /* NULL: unchanged, absent or not read */
	size_t len;
};

struct message_config_written {
	struct mailbox_message head;
	uint64_t request;
	enum port_platform_status status;
};

struct message_key_claimed {
	struct mailbox_message head;
	uint64_t request;
	enum port_platform_status status;
	char *value; /* after a conflict: the key's value in the store */
};

struct message_listed {
	struct mailbox_message head;
	bool worker; /* true: a worker, false: an instance */
	char *name; /* the worker's name or the instance's peer address */
	bool leaving;
};

struct message_write_config {
	struct mailbox_message head;
	uint64_t request;
	uint64_t base_version;
	char *document;
	size_t len;
};

struct message_claim_key {
	struct mailbox_message head;
	uint64_t request;
	char *key;
	char *value;
};

/* Also for MESSAGE_READ_CONFIG, which uses no fields. */
struct message_watch_config {
	struct mailbox_message head;
	bool enabled;
};

/*
 * Closes each caller's connection after its next answer. With quiesce, new
 * connections are not accepted either, and MESSAGE_CALLERS_DRAINED is sent when
 * all are closed.
 */
struct message_callers_stop {
	struct mailbox_message head;
	bool quiesce;
};

/* Creates a zeroed message; number is its enum message_kind. */
#define message_create(type, number)                                           \
	((type *)message_create_size(sizeof(type), #type, number))

void *message_create_size(size_t size, const char *name,
			  enum message_kind kind);

#endif
