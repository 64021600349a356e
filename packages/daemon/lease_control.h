#ifndef DAEMON_LEASE_CONTROL_H
#define DAEMON_LEASE_CONTROL_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "base/settings.h"

/*
 * Runs the core of leased workers (core/lease_node.h) on a site with a store.
 * One loop does all: on a machine with a small share of a core, passing each
 * message between threads would cost more than the work itself.
 */

struct lease_control;

/* NULL with *message set when something cannot be started. */
struct lease_control *lease_control_create(TALLOC_CTX *mem,
					   struct tevent_context *ev,
					   const struct settings *settings,
					   const char *settings_path,
					   const char **message);

/* Begins a graceful shutdown. */
void lease_control_begin_stop(struct lease_control *control);

/* True once the process may end. */
bool lease_control_is_stopped(const struct lease_control *control);

/* Takes over what may change while the process runs: the seeds. */
void lease_control_reload(struct lease_control *control,
			  const struct settings *settings);

#endif
