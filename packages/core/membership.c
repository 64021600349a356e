#include "core/membership.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_SUSPECT_MS 2000
#define DEFAULT_GONE_MS 5000
#define DEFAULT_REMOVE_MS 7200000
#define DEFAULT_FAR_FACTOR 3
#define UNLINKED_FACTOR 4 /* on top of far_factor, without a link */
#define CHANGE_RELAY_MS 3000 /* a changed member is relayed first */

LIST_HEAD(member_list, member_entry);

struct membership {
	struct member_options options;
	struct member_list members;
	struct member_entry *self;
	size_t heartbeat_round;
	uint64_t now_ms; /* as passed to the current call */
};

static uint64_t or_default(uint64_t value, uint64_t fallback)
{
	return value ? value : fallback;
}

static void changed(struct membership *membership,
		    const struct member_entry *member)
{
	if (membership->options.changed)
		membership->options.changed(membership->options.ctx, member);
}

static void set_state(struct membership *membership, struct member_entry *m,
		      enum member_state state)
{
	if (m->state == state)
		return;
	m->state = state;
	m->changed_ms = membership->now_ms;
	changed(membership, m);
}

static bool is_local(const struct membership *membership,
		     const struct member_entry *m)
{
	return !strcmp(m->data_centre, membership->self->data_centre);
}

/*
 * Marks the earlier incarnations of m's instance at its address as gone,
 * because only one process runs at an address.
 */
static void mark_replaced(struct membership *membership,
			  const struct member_entry *m)
{
	struct member_entry *other;

	LIST_FOREACH(other, &membership->members, entry) {
		if (other == m || other == membership->self || other->linked ||
		    strcmp(other->address, m->address) ||
		    strcmp(other->instance, m->instance))
			continue;
		other->replaced = true;
		set_state(membership, other, MEMBER_GONE);
	}
}

static struct member_entry *add(struct membership *membership,
				uint64_t incarnation, const char *instance,
				const char *data_centre, const char *address)
{
	struct member_entry *m = talloc_zero(membership, struct member_entry);

	m->incarnation = incarnation;
	m->instance = talloc_strdup(m, instance);
	m->data_centre = talloc_strdup(m, data_centre);
	m->address = talloc_strdup(m, address);
	m->changed_ms = membership->now_ms;
	LIST_INSERT_HEAD(&membership->members, m, entry);
	return m;
}

struct membership *member_create(TALLOC_CTX *mem,
				 const struct member_options *options)
{
	struct membership *membership = talloc_zero(mem, struct membership);

	membership->options = *options;
	membership->options.suspect_ms =
		or_default(options->suspect_ms, DEFAULT_SUSPECT_MS);
	membership->options.gone_ms =
		or_default(options->gone_ms, DEFAULT_GONE_MS);
	membership->options.far_factor =
		or_default(options->far_factor, DEFAULT_FAR_FACTOR);
	membership->options.remove_ms =
		or_default(options->remove_ms, DEFAULT_REMOVE_MS);
	LIST_INIT(&membership->members);
	membership->self =
		add(membership, options->incarnation, options->instance,
		    options->data_centre, options->address);
	membership->self->linked = true;
	return membership;
}

struct member_entry *member_self(struct membership *membership)
{
	return membership->self;
}

struct member_entry *member_find(struct membership *membership,
				 uint64_t incarnation)
{
	struct member_entry *m;

	LIST_FOREACH(m, &membership->members, entry)
		if (m->incarnation == incarnation)
			return m;
	return NULL;
}

void member_link_up(struct membership *membership, const Bergamot__Hello *hello,
		    uint64_t now_ms)
{
	struct member_entry *m = member_find(membership, hello->incarnation);

	membership->now_ms = now_ms;
	if (m == membership->self)
		return;
	if (!m)
		m = add(membership, hello->incarnation, hello->instance,
			hello->data_centre, hello->address);
	m->last_contact_ms = now_ms;
	m->linked = true;
	m->replaced = false;
	mark_replaced(membership, m);
	if (m->state == MEMBER_SUSPECT || m->state == MEMBER_GONE)
		m->state = MEMBER_ALIVE;
	changed(membership, m);
}

void member_link_down(struct membership *membership, uint64_t incarnation,
		      uint64_t now_ms)
{
	struct member_entry *m = member_find(membership, incarnation);

	membership->now_ms = now_ms;
	if (!m || !m->linked)
		return;
#ifndef BREAK_SELF_LINK
	if (m == membership->self)
		return;
#endif
	m->linked = false;
	if (m->state == MEMBER_ALIVE)
		m->state = MEMBER_SUSPECT;
	changed(membership, m);
}

static void update_member(struct membership *membership,
			  const Bergamot__Member *msg,
			  const Bergamot__Member *sender, uint64_t now_ms)
{
	struct member_entry *m = member_find(membership, msg->incarnation);
	enum member_state state = (enum member_state)msg->state;

	if (m == membership->self || msg->state > BERGAMOT__MEMBER_STATE__GONE)
		return;
	if (!m)
		m = add(membership, msg->incarnation, msg->instance,
			msg->data_centre, msg->address);
	if (m->replaced || msg->beat < m->beat ||
	    (msg->beat == m->beat && m->last_contact_ms))
		return;
	m->last_contact_ms = now_ms;
	m->through_delegate =
		sender && !strcmp(sender->data_centre, msg->data_centre);
	m->beat = msg->beat;
	m->config_version = msg->config_version;
	m->slots = msg->slots;
	m->idle_slots = msg->idle_slots;
	m->backlog_tasks = msg->backlog_tasks;
	m->successor = msg->successor;
	/*
	 * MEMBER_LEAVING is final for an incarnation. Suspect and gone are
	 * the sender's own judgement and are not adopted.
	 */
#ifndef BREAK_FINAL
	if (m->state == MEMBER_LEAVING)
		state = MEMBER_LEAVING;
#endif
	if (state == MEMBER_SUSPECT || state == MEMBER_GONE)
		state = m->state;
	set_state(membership, m, state);
}

void member_receive_heartbeat(struct membership *membership,
			      const Bergamot__Heartbeat *beat, uint64_t now_ms)
{
	membership->now_ms = now_ms;
	if (beat->self)
		update_member(membership, beat->self, beat->self, now_ms);
	for (size_t i = 0; i < beat->n_relayed; i++)
		update_member(membership, beat->relayed[i], beat->self, now_ms);
}

void member_mark_leaving(struct membership *membership, const char *address)
{
	struct member_entry *m;

	LIST_FOREACH(m, &membership->members, entry)
		if (!strcmp(m->address, address) && m->state != MEMBER_GONE)
			set_state(membership, m, MEMBER_LEAVING);
}

/* Members whose state is relayed in heartbeats */

static bool is_relayed_to(const struct membership *membership,
			  const struct member_entry *m,
			  const struct member_entry *receiver)
{
	if (m == membership->self || m == receiver || m->state == MEMBER_GONE)
		return false;
	if (is_local(membership, m))
		return true;
	/* A member is never relayed back to its own data centre. */
	return is_local(membership, receiver) && m->through_delegate &&
	       strcmp(m->data_centre, receiver->data_centre);
}

static size_t select_changed(struct membership *membership,
			     const struct member_entry *receiver,
			     uint64_t now_ms, const struct member_entry **out,
			     size_t max)
{
	struct member_entry *m;
	size_t count = 0;

	LIST_FOREACH(m, &membership->members, entry)
		if (count < max && now_ms < m->changed_ms + CHANGE_RELAY_MS &&
		    is_relayed_to(membership, m, receiver))
			out[count++] = m;
	return count;
}

/*
 * Members of this data centre are linked with each other, so only changes of
 * them are relayed among them.
 */
static bool is_relayed_round_robin(const struct membership *membership,
				   const struct member_entry *m,
				   const struct member_entry *receiver)
{
	return is_relayed_to(membership, m, receiver) &&
	       (!is_local(membership, m) || !is_local(membership, receiver));
}

static size_t select_round_robin(struct membership *membership,
				 const struct member_entry *receiver,
				 const struct member_entry **out, size_t max)
{
	struct member_entry *m;
	size_t candidates = 0, count = 0, at = 0, first;

	LIST_FOREACH(m, &membership->members, entry)
		candidates += is_relayed_round_robin(membership, m, receiver);
	if (!candidates)
		return 0;
	first = membership->heartbeat_round * max % candidates;
	LIST_FOREACH(m, &membership->members, entry) {
		if (!is_relayed_round_robin(membership, m, receiver))
			continue;
		if ((at++ + candidates - first) % candidates < max &&
		    count < max)
			out[count++] = m;
	}
	return count;
}

size_t member_select_for_heartbeat(struct membership *membership,
				   const struct member_entry *receiver,
				   bool changes_only, uint64_t now_ms,
				   const struct member_entry **out, size_t max)
{
	size_t count = select_changed(membership, receiver, now_ms, out, max);

	if (count || changes_only)
		return count;
	return select_round_robin(membership, receiver, out, max);
}

void member_advance_heartbeat_round(struct membership *membership)
{
	membership->heartbeat_round++;
}

/* Returns the factor by which m's timeouts are longer than a local member's. */
static uint64_t timeout_factor(const struct membership *membership,
			       const struct member_entry *m)
{
	if (is_local(membership, m))
		return 1;
	return membership->options.far_factor *
	       (m->linked ? 1 : UNLINKED_FACTOR);
}

static void check_timeouts(struct membership *membership,
			   struct member_entry *m, uint64_t now_ms)
{
	uint64_t age_ms =
		now_ms > m->last_contact_ms ? now_ms - m->last_contact_ms : 0;
	uint64_t factor = timeout_factor(membership, m);

	if (m->state == MEMBER_ALIVE &&
	    age_ms >= membership->options.suspect_ms * factor)
		set_state(membership, m, MEMBER_SUSPECT);
	if (m->state != MEMBER_GONE &&
	    age_ms >= membership->options.gone_ms * factor) {
		m->was_leaving = m->state == MEMBER_LEAVING;
		set_state(membership, m, MEMBER_GONE);
	}
	if (m->state == MEMBER_GONE && !m->linked && !m->dialled &&
	    age_ms >= membership->options.gone_ms +
			      membership->options.remove_ms) {
		LIST_REMOVE(m, entry);
		talloc_free(m);
	}
}

void member_discount_pause(struct membership *membership, uint64_t gap_ms)
{
	struct member_entry *m;

	LIST_FOREACH(m, &membership->members, entry)
		m->last_contact_ms += gap_ms;
}

void member_tick(struct membership *membership, uint64_t now_ms)
{
	struct member_entry *m, *next;

	membership->now_ms = now_ms;
	for (m = LIST_FIRST(&membership->members); m; m = next) {
		next = LIST_NEXT(m, entry);
		if (m != membership->self)
			check_timeouts(membership, m, now_ms);
	}
}

void member_each(struct membership *membership,
		 void (*visit)(void *ctx, struct member_entry *member),
		 void *ctx)
{
	struct member_entry *m, *next;

	for (m = LIST_FIRST(&membership->members); m; m = next) {
		next = LIST_NEXT(m, entry);
		visit(ctx, m);
	}
}

static int compare_incarnations(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static bool may_dispatch(const struct member_entry *m)
{
	return m->linked &&
	       (m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT);
}

size_t member_list_dispatch_candidates(struct membership *membership,
				       const char *data_centre, uint64_t *out,
				       size_t max)
{
	struct member_entry *m;
	size_t count = 0;

	LIST_FOREACH(m, &membership->members, entry)
		if (count < max && may_dispatch(m) &&
		    !strcmp(m->data_centre, data_centre))
			out[count++] = m->incarnation;
	qsort(out, count, sizeof(*out), compare_incarnations);
	return count;
}

const char *member_state_name(enum member_state state)
{
	static const char *const names[] = {
		[MEMBER_ALIVE] = "alive",
		[MEMBER_SUSPECT] = "suspect",
		[MEMBER_LEAVING] = "leaving",
		[MEMBER_GONE] = "gone",
	};

	return names[state];
}

void member_to_wire(const struct member_entry *m, Bergamot__Member *msg)
{
	msg->instance = m->instance;
	msg->data_centre = m->data_centre;
	msg->incarnation = m->incarnation;
	msg->address = m->address;
	msg->state = (Bergamot__MemberState)m->state;
	msg->beat = m->beat;
	msg->config_version = m->config_version;
	msg->slots = m->slots;
	msg->idle_slots = m->idle_slots;
	msg->backlog_tasks = m->backlog_tasks;
	msg->successor = m->successor;
}
