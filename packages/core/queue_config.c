#include "core/queue_config.h"

#include <string.h>
#include <strings.h>

static bool same_host(const char *name, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(name) == len && !strncasecmp(name, host, len);
}

const struct queue_config_queue *
queue_config_find(const struct queue_config *config, const char *host,
		  const char *path)
{
	const struct queue_config_queue *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; i < config->queue_count; i++) {
		const struct queue_config_queue *q = &config->queues[i];
		size_t len = strlen(q->prefix);

		if ((best && len <= best_len) || !same_host(q->host, host) ||
		    strncmp(q->prefix, path, len))
			continue;
		best = q;
		best_len = len;
	}
	return best;
}

const struct queue_config_service *
queue_config_service(const struct queue_config *config, const char *name)
{
	for (size_t i = 0; i < config->service_count; i++)
		if (!strcmp(config->services[i].name, name))
			return &config->services[i];
	return NULL;
}
