#ifndef CORE_LEASE_NODE_STATUS_H
#define CORE_LEASE_NODE_STATUS_H

#include <json-c/json.h>
#include <stdint.h>

#include "core/lease_node.h"

/*
 * The status of an instance on leased workers, for operators: the leader, the
 * members, the workers with their capacity, speed and breakers, and the backlog
 * by queue. The leader's workers and backlog are authoritative; other instances
 * show the list of workers they have read, and the backlog the leader
 * announced.
 */

/* Returns a new object; the caller releases it with json_object_put. */
json_object *lease_node_status(struct lease_node *lease_node, uint64_t now_ms);

#endif
