#ifndef DAEMON_MONITOR_H
#define DAEMON_MONITOR_H

#include <json-c/json.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * Read-only HTTP server for operators of an instance with leased workers:
 * /metrics in Prometheus' text format, and the instance's state at /v1/status
 * as JSON, which `bergamotctl status` prints.
 */

struct monitor;

struct monitor_options {
	struct tevent_context *ev;
	const char *listen; /* address */
	/* Returns the current state as a new object. */
	json_object *(*status)(void *ctx);
	void *ctx;
};

/* Returns NULL when it cannot listen on the address. */
struct monitor *monitor_create(TALLOC_CTX *mem,
			       const struct monitor_options *options);

#endif
