#include "core/member_links.h"

#include <string.h>

#include "core/placement.h"

#define MAX_MEMBERS 256 /* in one data centre */

struct member_count {
	size_t members;
};

static void count_one(void *ctx, struct member_entry *m)
{
	struct member_count *count = ctx;

	count->members += m->state != MEMBER_GONE;
}

bool member_links_is_mesh(struct membership *membership)
{
	struct member_count count = { 0 };

	member_each(membership, count_one, &count);
	return count.members <= MEMBER_LINKS_MESH_MAX_MEMBERS;
}

struct candidates {
	const char *data_centre;
	uint64_t incarnations[MAX_MEMBERS];
	size_t count;
};

static void add_candidate(void *ctx, struct member_entry *m)
{
	struct candidates *c = ctx;

	if (m->state != MEMBER_GONE && c->count < MAX_MEMBERS &&
	    !strcmp(m->data_centre, c->data_centre))
		c->incarnations[c->count++] = m->incarnation;
}

bool member_links_is_delegate(struct membership *membership,
			      const struct member_entry *member)
{
	struct candidates c = { .data_centre = member->data_centre };

	member_each(membership, add_candidate, &c);
	for (int i = 0; i < MEMBER_LINKS_DELEGATES && c.count; i++) {
		size_t best = placement_rendezvous(c.data_centre,
						   c.incarnations, c.count);

		if (c.incarnations[best] == member->incarnation)
			return true;
		c.incarnations[best] = c.incarnations[--c.count];
	}
	return false;
}

/*
 * Returns true within the member's probe window, one in each period. Its offset
 * depends on the incarnation, to spread the probes over the period.
 */
static bool is_probed(const struct member_entry *m, uint64_t now_ms)
{
	uint64_t phase = m->incarnation % MEMBER_LINKS_PROBE_PERIOD_MS;

	return (now_ms + phase) % MEMBER_LINKS_PROBE_PERIOD_MS <
	       MEMBER_LINKS_PROBE_MS;
}

/*
 * In a large cluster only delegates probe the members of other data centres.
 */
static bool is_prober(struct membership *membership,
		      const struct member_entry *m)
{
	const struct member_entry *self = member_self(membership);

	return !strcmp(m->data_centre, self->data_centre) ||
	       member_links_is_mesh(membership) ||
	       member_links_is_delegate(membership, self);
}

static bool is_recent(uint64_t at_ms, uint64_t age_ms, uint64_t now_ms)
{
	return at_ms && now_ms < at_ms + age_ms;
}

static bool is_link_needed(struct membership *membership,
			   struct member_entry *m, uint64_t now_ms)
{
	const struct member_entry *self = member_self(membership);

	if (m->state == MEMBER_GONE)
		return !m->replaced && !m->was_leaving &&
		       (is_recent(m->last_contact_ms, MEMBER_LINKS_RETRY_MS,
				  now_ms) ||
			(is_probed(m, now_ms) && is_prober(membership, m)));
	if (!strcmp(m->data_centre, self->data_centre) ||
	    member_links_is_mesh(membership))
		return true;
	if (member_links_is_delegate(membership, self) &&
	    member_links_is_delegate(membership, m))
		return true;
	return is_recent(m->used_ms, MEMBER_LINKS_IDLE_MS, now_ms) ||
	       is_recent(m->keep_requested_ms, MEMBER_LINKS_IDLE_MS, now_ms);
}

struct refresh {
	struct membership *membership;
	const struct member_links_ops *ops;
	uint64_t now_ms;
};

struct address_search {
	const struct member_entry *member;
	bool found;
};

static void match_address(void *ctx, struct member_entry *m)
{
	struct address_search *s = ctx;

	s->found |= m != s->member && m->dialled &&
		    !strcmp(m->address, s->member->address);
}

/*
 * Returns true if the address of m is also dialled for another member: a new
 * incarnation may run there.
 */
static bool is_address_shared(struct membership *membership,
			      const struct member_entry *m)
{
	struct address_search s = { m, false };

	member_each(membership, match_address, &s);
	return s.found;
}

static void refresh_link(void *ctx, struct member_entry *m)
{
	struct refresh *r = ctx;
	bool needed;

	if (m == member_self(r->membership))
		return;
	needed = is_link_needed(r->membership, m, r->now_ms);
	if (needed == m->dialled)
		return;
	m->dialled = needed;
	if (needed)
		r->ops->dial(r->ops->ctx, m->address);
	else if (!is_address_shared(r->membership, m))
		r->ops->hang_up(r->ops->ctx, m->address);
}

void member_links_refresh(struct membership *membership,
			  const struct member_links_ops *ops, uint64_t now_ms)
{
	struct refresh r = { membership, ops, now_ms };

	member_each(membership, refresh_link, &r);
}

void member_links_opened(struct member_entry *m, bool address_dialled,
			 const struct member_links_ops *ops, uint64_t now_ms)
{
	if (m->keep_requested_ms)
		return;
	m->keep_requested_ms = now_ms;
	if (!address_dialled || m->dialled)
		return;
	m->dialled = true;
	/* The address may have been hung up since it was dialled. */
	ops->dial(ops->ctx, m->address);
}

void member_links_use(struct member_entry *m,
		      const struct member_links_ops *ops, uint64_t now_ms)
{
	m->used_ms = now_ms;
	if (m->dialled)
		return;
	m->dialled = true;
	ops->dial(ops->ctx, m->address);
}
