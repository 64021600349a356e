#ifndef DAEMON_LEASE_CONTROL_H
#define DAEMON_LEASE_CONTROL_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "base/settings.h"

/*
 * Runs the core for leased workers (core/lease_node.h) on a site with a store.
 * All work runs in one event loop: on a machine with a small share of a core,
 * passing each message between threads would cost more than the work itself.
 */

struct lease_control;

/*
 * Returns NULL with *message set when something cannot be started. The file at
 * settings_path, which may be NULL, is reloaded when it changes.
 */
struct lease_control *lease_control_create(TALLOC_CTX *mem,
					   struct tevent_context *ev,
					   const struct settings *settings,
					   const char *settings_path,
					   const char **message);

/* Begins a graceful shutdown. */
void lease_control_begin_stop(struct lease_control *control);

/* Returns true once the process may end. */
bool lease_control_is_stopped(const struct lease_control *control);

/* Applies the settings that may change at run time: the peers' seeds. */
void lease_control_reload(struct lease_control *control,
			  const struct settings *settings);

#endif
