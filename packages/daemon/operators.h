#ifndef DAEMON_OPERATORS_H
#define DAEMON_OPERATORS_H

#include <stdbool.h>

#include "adapters/messages.h"
#include "core/node.h"

/*
 * Operators' changes:
 *
 *     POST /v1/plans          an intent; answers the plan
 *     POST /v1/plans/confirm  a plan; answers when it is written
 */

/* Serves a request; false when its path is not one of these. */
bool operators_serve(struct node *node,
		     const struct message_operator_request *msg);

#endif
