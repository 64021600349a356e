#ifndef CORE_QUEUE_CONFIG_H
#define CORE_QUEUE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * The operators' configuration for leased workers: queues by host and path
 * prefix, services, and limits on callers' requests. A version is immutable
 * once built; each instance keeps the newest it has received.
 *
 * Documents are not parsed here: the platform defines their format.
 */

struct queue_config_queue {
	char *name;
	char *host; /* without a port */
	char *prefix; /* of the path */
	char *service;
	uint32_t priority; /* 0 comes first */
	uint32_t attempts; /* failed runs of a task after which its job fails */
	double stretch; /* objective: stretch * longest chain + objective_ms */
	uint32_t objective_ms;
	uint32_t timeout_ms; /* of a request; 0 means none */
	/*
	 * The queue's policy lets only some workers run a step, and a separate
	 * service names them; not supported yet.
	 */
	bool needs_advice;
};

struct queue_config_service {
	char *name;
	char *health_path;
	uint32_t connections; /* to one worker; 0 means no limit */
	bool checks_room; /* workers refuse tasks that do not fit */
};

struct queue_config {
	uint64_t version;
	char *text; /* the document as received, to send to peers */
	size_t text_len;
	struct queue_config_queue *queues;
	size_t queue_count;
	struct queue_config_service *services;
	size_t service_count;
	uint32_t header_bytes; /* 0: the operators set no limit */
	uint32_t body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/*
 * Returns the queue of a request: the one of host (with or without a port) with
 * the longest prefix of path; NULL if there is none.
 */
const struct queue_config_queue *
queue_config_find(const struct queue_config *config, const char *host,
		  const char *path);

/* Returns the service with that name; NULL if there is none. */
const struct queue_config_service *
queue_config_service(const struct queue_config *config, const char *name);

#endif
