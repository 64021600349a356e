#ifndef CORE_PORTS_H
#define CORE_PORTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/outcome.h"
#include "wire/peer.pb-c.h"

/*
 * The ports through which the core calls the adapters. An adapter implements
 * each function without blocking and copies what it keeps; tests and fuzzers
 * implement them as fakes. Adapters call the core through the functions of
 * core/node.h, each with the time of one clock reading.
 */

/* A start of one task on one worker: sent at most once. */
struct port_start {
	uint64_t token; /* of this attempt; echoed by the worker */
	const char *job;
	uint32_t task;
	const char *service;
	const char *worker;
	const char *address;
	uint64_t lease_ms; /* until the job's deadline */
	const char *body;
};

/* A request to stop an attempt; the worker may not know it. */
struct port_stop {
	uint64_t token;
	const char *job;
	uint32_t task;
	const char *worker;
	const char *address;
};

enum port_result_kind {
	PORT_DONE, /* the answer to this start */
	PORT_FAILED, /* the worker ran the task, and it failed */
	PORT_NOT_STARTED, /* proven: no connection, or an explicit refusal */
	PORT_TOO_LARGE, /* the answer exceeds the size limit */
	PORT_UNKNOWN, /* anything else: the task may have started */
};

struct port_result {
	uint64_t token;
	enum port_result_kind kind;
	/* JSON for PORT_DONE; talloc, ownership moves to the core */
	char *body;
	bool worker_leaving; /* as reported by the worker */
};

/* The answer to a request of a local caller. */
struct port_reply {
	uint64_t request;
	const char *job;
	const struct outcome *outcome;
};

/* A worker's own report of its load. */
struct port_usage {
	const char *worker;
	bool leaving;
	uint32_t running;
};

enum port_platform_status {
	PORT_PLATFORM_OK,
	PORT_PLATFORM_CONFLICT, /* compare-and-swap lost to another write */
	PORT_PLATFORM_LOST, /* no answer: the write may have taken effect */
	/* refused or over the rate limit: not written */
	PORT_PLATFORM_UNAVAILABLE,
};

struct ports {
	void *ctx;
	void (*reply)(void *ctx, const struct port_reply *reply);
	void (*start)(void *ctx, const struct port_start *start);
	void (*stop)(void *ctx, const struct port_stop *stop);
	/*
	 * Requests a worker's usage; node_worker_usage follows if it answers.
	 */
	void (*query_usage)(void *ctx, const char *worker, const char *address);
	/* Sends to a linked peer; node_peer_down reports a lost link. */
	void (*send)(void *ctx, uint64_t incarnation,
		     const Bergamot__Peer *msg);
	/* Keeps a link to address open; node_peer_up follows on success. */
	void (*dial)(void *ctx, const char *address);
	/* Closes a link and stops dialling its address. */
	void (*hang_up)(void *ctx, const char *address);
	/* Reads the configuration document; node_config_read follows. */
	void (*read_config)(void *ctx);
	/*
	 * Starts a watch on the document and the lists, or ends it. While it
	 * runs, node_config_read follows at least every few seconds, with no
	 * document when nothing changed.
	 */
	void (*watch_config)(void *ctx, bool enabled);
	/*
	 * Writes a document if the platform's version is base_version or
	 * lower; node_config_written follows.
	 */
	void (*write_config)(void *ctx, uint64_t request, uint64_t base_version,
			     const char *document, size_t len);
	/*
	 * Sets key to value if the key does not exist; node_key_claimed
	 * follows. A claim lasts longer than an id (records.ttl_ms), because
	 * an id must not run any more when its key has expired. After a lost
	 * answer the adapter retries and reads the key back, and reports
	 * PORT_PLATFORM_LOST only if that fails, too.
	 */
	void (*claim_key)(void *ctx, uint64_t request, const char *key,
			  const char *value);
	/* Writes an event to the timeline; task is -1 for none. */
	void (*event)(void *ctx, const char *event, const char *job, int task,
		      const char *worker, const char *detail);
	uint64_t (*random_id)(void *ctx); /* 64 random bits, never 0 */
	/* Answers an operator's request; body is JSON. */
	void (*operator_reply)(void *ctx, uint64_t request, int http_status,
			       const char *body);
};

#endif
