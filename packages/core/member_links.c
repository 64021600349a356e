#include "core/member_links.h"

#include <string.h>

#include "core/placement.h"

#define MAX_MEMBERS 256 /* of one data centre */

struct count {
	size_t members;
};

static void count_one(void *ctx, struct member_entry *m)
{
	struct count *count = ctx;

	count->members += m->state != MEMBER_GONE;
}

bool member_links_is_mesh(struct membership *membership)
{
	struct count count = { 0 };

	member_each(membership, count_one, &count);
	return count.members <= MEMBER_LINKS_MESH_MEMBERS;
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

/* A turn in each period, at another time for each member. */
static bool is_probed(const struct member_entry *m, uint64_t now_ms)
{
	uint64_t phase = m->incarnation % MEMBER_LINKS_PROBE_PERIOD_MS;

	return (now_ms + phase) % MEMBER_LINKS_PROBE_PERIOD_MS <
	       MEMBER_LINKS_PROBE_MS;
}

/* In a large cluster a far member is probed by delegates alone. */
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

static bool is_wanted(struct membership *membership, struct member_entry *m,
		      uint64_t now_ms)
{
	const struct member_entry *self = member_self(membership);

	if (m->state == MEMBER_GONE)
		return !m->replaced && !m->left &&
		       (is_recent(m->heard_ms, MEMBER_LINKS_RETRY_MS, now_ms) ||
			(is_probed(m, now_ms) && is_prober(membership, m)));
	if (!strcmp(m->data_centre, self->data_centre) ||
	    member_links_is_mesh(membership))
		return true;
	if (member_links_is_delegate(membership, self) &&
	    member_links_is_delegate(membership, m))
		return true;
	return is_recent(m->used_ms, MEMBER_LINKS_IDLE_MS, now_ms) ||
	       is_recent(m->kept_ms, MEMBER_LINKS_IDLE_MS, now_ms);
}

struct refresh {
	struct membership *membership;
	const struct member_links_ops *ops;
	uint64_t now_ms;
};

struct sharing {
	const struct member_entry *member;
	bool found;
};

static void find_sharing(void *ctx, struct member_entry *m)
{
	struct sharing *s = ctx;

	s->found |= m != s->member && m->dialled &&
		    !strcmp(m->address, s->member->address);
}

/* Another incarnation may have come up at the same address. */
static bool is_address_shared(struct membership *membership,
			      const struct member_entry *m)
{
	struct sharing s = { m, false };

	member_each(membership, find_sharing, &s);
	return s.found;
}

static void refresh_one(void *ctx, struct member_entry *m)
{
	struct refresh *r = ctx;
	bool wanted;

	if (m == member_self(r->membership))
		return;
	wanted = is_wanted(r->membership, m, r->now_ms);
	if (wanted == m->dialled)
		return;
	m->dialled = wanted;
	if (wanted)
		r->ops->dial(r->ops->ctx, m->address);
	else if (!is_address_shared(r->membership, m))
		r->ops->hang_up(r->ops->ctx, m->address);
}

void member_links_refresh(struct membership *membership,
			  const struct member_links_ops *ops, uint64_t now_ms)
{
	struct refresh r = { membership, ops, now_ms };

	member_each(membership, refresh_one, &r);
}

void member_links_opened(struct member_entry *m, bool address_dialled,
			 const struct member_links_ops *ops, uint64_t now_ms)
{
	if (m->kept_ms)
		return;
	m->kept_ms = now_ms;
	if (!address_dialled || m->dialled)
		return;
	m->dialled = true;
	/* It may have been hung up meanwhile. */
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
