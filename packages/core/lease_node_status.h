#ifndef CORE_LEASE_NODE_STATUS_H
#define CORE_LEASE_NODE_STATUS_H

#include <json-c/json.h>
#include <stdint.h>

#include "core/lease_node.h"

/*
 * What an instance on leased workers knows now, for operators: who leads, the
 * members, the workers it holds with their room, speed and breakers, the
 * backlog by queue. Workers and backlog are the leader's; others tell what they
 * have read and been told.
 */

/* A new object, the caller's to put. */
json_object *lease_node_status(struct lease_node *lease_node, uint64_t now_ms);

#endif
