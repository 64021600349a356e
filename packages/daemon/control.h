#ifndef DAEMON_CONTROL_H
#define DAEMON_CONTROL_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "base/settings.h"

/*
 * The control thread: owns the core, implements its ports by messages to the
 * traffic threads (callers, peers, platform, targets), and passes their
 * messages to the core.
 */

struct control;

/* Starts the traffic threads; returns NULL with *message set on failure. */
struct control *control_create(TALLOC_CTX *mem, struct tevent_context *ev,
			       const struct settings *settings,
			       const char **message);

/* Begins a graceful shutdown. */
void control_begin_stop(struct control *control);

/* Returns true once the process may end. */
bool control_is_stopped(const struct control *control);

/* Passes the configuration document of reloaded settings to the core. */
void control_reload(struct control *control, const struct settings *settings);

/* Joins the traffic threads and frees the control. */
void control_destroy(struct control *control);

#endif
