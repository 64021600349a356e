#ifndef CORE_QUEUE_CONFIG_H
#define CORE_QUEUE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * The operators' configuration on the path of leased workers: queues by host
 * and path prefix, services, and limits of callers' requests. A version never
 * changes once it is built; whoever holds one keeps the newest it has seen.
 *
 * Not for reading a document: its format is the platform's.
 */

struct queue_config_queue {
	char *name;
	char *host; /* without a port */
	char *prefix; /* of the path */
	char *service;
	uint32_t priority; /* 0 comes first */
	uint32_t attempts; /* runs of a task that may fail */
	double stretch; /* of a job's longest chain, within its objective */
	uint32_t objective_ms; /* on top of the stretched chain */
	uint32_t timeout_ms; /* of a request; 0 means none */
	bool needs_advice; /* only advised workers may run a step */
};

struct queue_config_service {
	char *name;
	char *health_path;
	uint32_t connections; /* to one worker; 0 means no limit */
	bool guarded; /* workers refuse what does not fit */
};

struct queue_config {
	uint64_t version;
	char *text; /* as it was read, for peers */
	size_t text_len;
	struct queue_config_queue *queues;
	size_t queue_count;
	struct queue_config_service *services;
	size_t service_count;
	uint32_t header_bytes; /* 0: no limit of the operators' */
	uint32_t body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/*
 * The queue of a request: the longest prefix that path begins with, among those
 * of host (with or without a port). NULL when there is none.
 */
const struct queue_config_queue *
queue_config_find(const struct queue_config *config, const char *host,
		  const char *path);

const struct queue_config_service *
queue_config_service(const struct queue_config *config, const char *name);

#endif
