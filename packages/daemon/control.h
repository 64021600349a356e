#ifndef DAEMON_CONTROL_H
#define DAEMON_CONTROL_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "base/settings.h"

/*
 * The control thread: owns the core, implements its ports by messages to the
 * traffic threads, and feeds it what they send.
 */

struct control;

/* Starts the traffic threads; NULL with *message set when one fails. */
struct control *control_create(TALLOC_CTX *mem, struct tevent_context *ev,
			       const struct settings *settings,
			       const char **message);

/* Begins a graceful shutdown. */
void control_begin_stop(struct control *control);

/* True once the process may end. */
bool control_is_stopped(const struct control *control);

/* Offers the document of settings read anew. */
void control_reload(struct control *control, const struct settings *settings);

/* Joins the traffic threads. */
void control_destroy(struct control *control);

#endif
