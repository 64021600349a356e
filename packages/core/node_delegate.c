#include "core/node.h"

#include <string.h>

#include "core/node_state.h"

/* Delegation of waiting tasks between dispatchers of linked instances. */

#define SPILL_PERIOD_MS 20
#define MAX_SPILL_PEERS 64

struct candidates {
	struct node *node;
	struct delegate_peer list[MAX_SPILL_PEERS];
	struct member_entry *members[MAX_SPILL_PEERS];
	size_t count;
};

static bool can_take_tasks(const struct node *node,
			   const struct member_entry *m)
{
	/* Dispatchers that share workers would count the same slots twice. */
	if (node->placement->shares_workers &&
	    !strcmp(m->data_centre, node->settings->data_centre))
		return false;
	return m != member_self(node->members) && m->linked &&
	       m->state == MEMBER_ALIVE && m->idle_slots;
}

/* Prefers the same data centre, then the most idle slots. */
static bool is_preferred(const struct node *node, const struct member_entry *a,
			 const struct member_entry *b)
{
	bool near_a = !strcmp(a->data_centre, node->settings->data_centre);
	bool near_b = !strcmp(b->data_centre, node->settings->data_centre);

	return near_a != near_b ? near_a : a->idle_slots > b->idle_slots;
}

static void add_candidate(void *ctx, struct member_entry *m)
{
	struct candidates *c = ctx;
	size_t i = c->count;

	if (!can_take_tasks(c->node, m) || c->count == MAX_SPILL_PEERS)
		return;
	for (; i && is_preferred(c->node, m, c->members[i - 1]); i--)
		c->members[i] = c->members[i - 1];
	c->members[i] = m;
	c->count++;
}

void node_spill(struct node *node)
{
	struct candidates c = { .node = node };
	const struct config_document *doc = config_current(node->config);

	if (!node->settings->spill || !doc ||
	    node->now_ms < node->next_spill_ms)
		return;
	node->next_spill_ms = node->now_ms + SPILL_PERIOD_MS;
	member_each(node->members, add_candidate, &c);
	for (size_t i = 0; i < c.count; i++)
		c.list[i] = (struct delegate_peer){
			.incarnation = c.members[i]->incarnation,
			.data_centre = c.members[i]->data_centre,
			.idle_slots = c.members[i]->idle_slots,
		};
	delegate_spill(node->delegate, c.list, c.count, doc, node->now_ms);
	/* An estimate until the peer's next heartbeat. */
	for (size_t i = 0; i < c.count; i++)
		c.members[i]->idle_slots = c.list[i].idle_slots;
}

struct remote {
	struct node *node;
	const char *service;
	uint32_t slots;
};

static void add_remote_slots(void *ctx, struct member_entry *m)
{
	struct remote *r = ctx;

	if (can_take_tasks(r->node, m) &&
	    delegate_serves(config_current(r->node->config), m->data_centre,
			    r->service))
		r->slots += m->idle_slots;
}

uint32_t node_remote_slots(void *ctx, const char *service)
{
	struct remote r = { ctx, service, 0 };

	if (r.node->settings->spill && config_current(r.node->config))
		member_each(r.node->members, add_remote_slots, &r);
	return r.slots;
}

void node_on_delegate(struct node *node, uint64_t from,
		      const Bergamot__Peer *msg)
{
	delegate_accept(node->delegate, from, msg->delegate, node->stopping,
			node->now_ms);
}

void node_on_delegated_result(struct node *node, uint64_t from,
			      const Bergamot__Peer *msg)
{
	struct member_entry *m = member_find(node->members, from);

	/* The slot is idle now; the next heartbeat reports it much later. */
	if (m &&
	    msg->delegated_result->state == BERGAMOT__DELEGATED_STATE__DONE &&
	    m->idle_slots < m->slots)
		m->idle_slots++;
	delegate_result(node->delegate, from, msg->delegated_result,
			node->now_ms);
}

void node_on_delegate_stop(struct node *node, uint64_t from,
			   const Bergamot__Peer *msg)
{
	delegate_stop(node->delegate, from, msg->delegate_stop, node->now_ms);
}
