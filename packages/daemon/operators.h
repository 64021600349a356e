#ifndef DAEMON_OPERATORS_H
#define DAEMON_OPERATORS_H

#include <stdbool.h>

#include "adapters/messages.h"
#include "core/node.h"

/*
 * Requests by which operators change the configuration:
 *
 *     POST /v1/plans          takes an intent; answers with the plan
 *     POST /v1/plans/confirm  takes a plan; answers once it is written
 */

/* Serves a request; returns false when method and path are not one of these. */
bool operators_serve(struct node *node,
		     const struct message_operator_request *msg);

#endif
