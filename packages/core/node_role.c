#include "core/node.h"

#include <string.h>

#include "core/node_state.h"

/*
 * Moves of the dispatcher role. The old dispatcher of a worker sends the new
 * one the number of its tasks that still run there, until they have ended.
 */

#define MAX_USES 1024 /* workers in one message */

struct uses {
	struct node *node;
	uint64_t to;
	Bergamot__WorkerUse list[MAX_USES];
	Bergamot__WorkerUse *pointers[MAX_USES];
	size_t count;
};

static uint64_t dispatcher_of(const struct node *node, const char *worker)
{
	return node->dispatchers[placement_rendezvous(worker, node->dispatchers,
						      node->dispatcher_count)];
}

static bool add_use(void *ctx, const char *worker, uint32_t running)
{
	struct uses *uses = ctx;
	Bergamot__WorkerUse *use = &uses->list[uses->count];

	if (uses->count == MAX_USES ||
	    dispatcher_of(uses->node, worker) != uses->to)
		return false;
	bergamot__worker_use__init(use);
	use->worker = (char *)worker;
	use->running = running;
	uses->pointers[uses->count++] = use;
	return true;
}

static void send_uses(struct node *node, uint64_t to)
{
	struct uses *uses = talloc_zero(NULL, struct uses);
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__RoleState state = BERGAMOT__ROLE_STATE__INIT;

	uses->node = node;
	uses->to = to;
	dispatch_each_released_worker(node->dispatch, add_use, uses);
	state.uses = uses->pointers;
	state.n_uses = uses->count;
	peer.body_case = BERGAMOT__PEER__BODY_ROLE_STATE;
	peer.role_state = &state;
	if (uses->count)
		node->ports->send(node->ports->ctx, to, &peer);
	talloc_free(uses);
}

static bool mark_any_use(void *ctx, const char *worker, uint32_t running)
{
	(void)worker;
	(void)running;
	*(bool *)ctx = true;
	return false;
}

void node_send_role_state(struct node *node)
{
	bool any = false;

	if (!node->placement->shares_workers)
		dispatch_each_released_worker(node->dispatch, mark_any_use,
					      &any);
	if (!any)
		return;
	for (size_t i = 0; i < node->dispatcher_count; i++)
		if (node->dispatchers[i] != node->options.incarnation)
			send_uses(node, node->dispatchers[i]);
}

void node_on_role_state(struct node *node, uint64_t from,
			const Bergamot__Peer *msg)
{
	const Bergamot__RoleState *state = msg->role_state;

	(void)from;
	for (size_t i = 0; i < state->n_uses; i++)
		dispatch_set_foreign_tasks(
			node->dispatch, state->uses[i]->worker,
			state->uses[i]->running, node->now_ms);
}
