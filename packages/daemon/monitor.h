#ifndef DAEMON_MONITOR_H
#define DAEMON_MONITOR_H

#include <json-c/json.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * What operators read from an instance on leased workers: /metrics in
 * Prometheus' text format, and its state at /v1/status as JSON, which
 * `bergamotctl status` prints. Both only tell; nothing can be changed here.
 */

struct monitor;

struct monitor_options {
	struct tevent_context *ev;
	const char *listen; /* address */
	/* The state now, as a new object. */
	json_object *(*status)(void *ctx);
	void *ctx;
};

/* NULL when the address cannot be listened on. */
struct monitor *monitor_create(TALLOC_CTX *mem,
			       const struct monitor_options *options);

#endif
