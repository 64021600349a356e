#include "core/node.h"

#include <string.h>

#include "core/member_links.h"
#include "core/node_state.h"

#define LISTED_DIAL_MS 60000 /* for a listed address without a member */
#define LARGE_CLUSTER_RELAYS 2 /* members in one heartbeat, if no mesh */
#define KEEP_LINK_MS 5000 /* keep_link is set for this time after a use */
#define REMOTE_PERIOD_BEATS 2 /* to other data centres, if no mesh */

/* An address of the instance list that has been dialled. */
struct listed {
	LIST_ENTRY(listed) entry;
	char *address;
	uint64_t until_ms;
};

struct node_links {
	LIST_HEAD(, listed) listed;
	bool mesh; /* every member has a link to every other one */
};

void node_links_create(struct node *node)
{
	node->links = talloc_zero(node, struct node_links);
	node->links->mesh = true;
	LIST_INIT(&node->links->listed);
}

static struct member_links_ops make_link_ops(struct node *node)
{
	struct member_links_ops ops = {
		.dial = node->ports->dial,
		.hang_up = node->ports->hang_up,
		.ctx = node->ports->ctx,
	};

	return ops;
}

void node_use_link(struct node *node, uint64_t incarnation)
{
	struct member_links_ops ops = make_link_ops(node);
	struct member_entry *m = member_find(node->members, incarnation);

	if (m && m != member_self(node->members))
		member_links_use(m, &ops, node->now_ms);
}

void node_keep_link(struct node *node, uint64_t incarnation)
{
	struct member_entry *m = member_find(node->members, incarnation);

	if (m)
		m->keep_requested_ms = node->now_ms;
}

/* Returns true if the address was dialled as a seed or a listed one. */
static bool was_dialled(struct node *node, const char *address)
{
	char *const *seed = node->settings->peers_seeds;
	struct listed *l;

	for (; seed && *seed; seed++)
		if (!strcmp(*seed, address))
			return true;
	LIST_FOREACH(l, &node->links->listed, entry)
		if (!strcmp(l->address, address))
			return true;
	return false;
}

/*
 * A permanent link is dialled from both sides. Any other link is closed by the
 * side that opened it, once neither side uses it.
 */
void node_link_opened(struct node *node, const Bergamot__Hello *hello)
{
	struct member_links_ops ops = make_link_ops(node);
	struct member_entry *m = member_find(node->members, hello->incarnation);

	if (!m)
		return;
	member_links_opened(m, was_dialled(node, hello->address), &ops,
			    node->now_ms);
	if (node->links->mesh ||
	    !strcmp(hello->data_centre, node->settings->data_centre))
		node_use_link(node, hello->incarnation);
}

/* Listed addresses */

struct address_query {
	const char *address;
	bool found;
};

static void match_address(void *ctx, struct member_entry *m)
{
	struct address_query *q = ctx;

	q->found |= m->state != MEMBER_GONE && !strcmp(m->address, q->address);
}

static bool has_member_at(struct node *node, const char *address)
{
	struct address_query q = { address, false };

	member_each(node->members, match_address, &q);
	return q.found;
}

void node_instance_listed(struct node *node, const char *address, bool leaving,
			  uint64_t now_ms)
{
	struct listed *l;

	node->now_ms = now_ms;
	if (leaving)
		member_mark_leaving(node->members, address);
	if (leaving || has_member_at(node, address))
		return;
	l = talloc_zero(node->links, struct listed);
	l->address = talloc_strdup(l, address);
	l->until_ms = now_ms + LISTED_DIAL_MS;
	LIST_INSERT_HEAD(&node->links->listed, l, entry);
	node->ports->dial(node->ports->ctx, address);
}

static void expire_listed(struct node *node)
{
	struct listed *l, *next;

	for (l = LIST_FIRST(&node->links->listed); l; l = next) {
		next = LIST_NEXT(l, entry);
		if (node->now_ms < l->until_ms)
			continue;
		if (!has_member_at(node, l->address))
			node->ports->hang_up(node->ports->ctx, l->address);
		LIST_REMOVE(l, entry);
		talloc_free(l);
	}
}

void node_refresh_links(struct node *node)
{
	struct member_links_ops ops = make_link_ops(node);
	struct node_forward *f, *next;

	node->links->mesh = member_links_is_mesh(node->members);
	HASH_ITER(hh, node->forwards, f, next) {
		struct member_entry *m = member_find(node->members, f->owner);

		if (m)
			m->used_ms = node->now_ms;
	}
	member_links_refresh(node->members, &ops, node->now_ms);
	expire_listed(node);
}

/* Heartbeats */

static void send_due_heartbeat(void *ctx, struct member_entry *m)
{
	struct node *node = ctx;
	const struct member_entry *self = member_self(node->members);

	if (!m->linked || m == self)
		return;
	if (!node->links->mesh && strcmp(m->data_centre, self->data_centre) &&
	    self->beat % REMOTE_PERIOD_BEATS)
		return;
	node_send_heartbeat(node, m->incarnation);
}

void node_send_regular_heartbeats(struct node *node)
{
	member_advance_heartbeat_round(node->members);
	node_send_round(node, send_due_heartbeat);
}

void node_add_relayed_members(struct node *node, uint64_t incarnation,
			      struct node_relayed_members *relayed,
			      Bergamot__Heartbeat *beat)
{
	const struct member_entry *members[NODE_MAX_RELAYED_MEMBERS];
	const struct member_entry *receiver =
		member_find(node->members, incarnation);
	size_t max = node->links->mesh ? NODE_MAX_RELAYED_MEMBERS
				       : LARGE_CLUSTER_RELAYS;

	if (!receiver)
		return;
	beat->keep_link = receiver->used_ms &&
			  node->now_ms - receiver->used_ms < KEEP_LINK_MS;
	beat->n_relayed = member_select_for_heartbeat(
		node->members, receiver, node->links->mesh, node->now_ms,
		members, max);
	beat->relayed = relayed->pointers;
	for (size_t i = 0; i < beat->n_relayed; i++) {
		bergamot__member__init(&relayed->members[i]);
		member_to_wire(members[i], &relayed->members[i]);
		relayed->pointers[i] = &relayed->members[i];
	}
}
