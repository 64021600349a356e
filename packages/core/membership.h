#ifndef CORE_MEMBERSHIP_H
#define CORE_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "wire/peer.pb-c.h"

/*
 * Membership: the state of each known incarnation of an instance, learned from
 * links and heartbeats. A member without heartbeats becomes suspect, then gone.
 * The platform's instance list may lag behind: it adds members, but removes
 * none that still sends heartbeats. The view may be wrong, and no guarantee
 * depends on it.
 */

enum member_state { MEMBER_ALIVE, MEMBER_SUSPECT, MEMBER_LEAVING, MEMBER_GONE };

struct member_entry {
	LIST_ENTRY(member_entry) entry;
	uint64_t incarnation;
	char *instance;
	char *data_centre;
	char *address;
	enum member_state state;
	bool linked; /* a link to it is up */
	uint64_t beat; /* number of its latest heartbeat */
	/* last heartbeat or link opened, on our clock */
	uint64_t last_contact_ms;
	uint64_t config_version;
	uint32_t slots;
	uint32_t idle_slots;
	uint32_t backlog_tasks;
	uint64_t successor; /* incarnation that answers for its ids; 0: none */
	uint64_t changed_ms; /* when it was added or changed its state */
	bool replaced; /* another incarnation runs at its address */
	bool was_leaving; /* it was MEMBER_LEAVING before MEMBER_GONE */
	/* Its latest heartbeat was sent by a member of its data centre. */
	bool through_delegate;
	/* The fields below belong to core/member_links.h. */
	bool dialled;
	uint64_t used_ms; /* when this instance last used the link */
	/* When the peer last asked to keep the link, or the link opened. */
	uint64_t keep_requested_ms;
};

struct membership;

struct member_options {
	const char *instance;
	const char *data_centre;
	const char *address;
	uint64_t incarnation;
	/* Time without a heartbeat of a linked member of this data centre. */
	uint64_t suspect_ms; /* 0 means 2000 */
	uint64_t gone_ms; /* 0 means 5000 */
	/*
	 * Multiplies these timeouts for members of other data centres, whose
	 * heartbeats are less frequent. Without a link to such a member, its
	 * state arrives only in other members' heartbeats, and its timeouts
	 * are four times longer still. 0 means 3.
	 */
	uint64_t far_factor;
	/* A gone entry is removed this long after gone_ms; 0 means 7200000. */
	uint64_t remove_ms;
	/* Called when a member, 'self' included, is added or changes state. */
	void (*changed)(void *ctx, const struct member_entry *member);
	void *ctx;
};

/* Copies the options; owned by mem. This instance is the only member. */
struct membership *member_create(TALLOC_CTX *mem,
				 const struct member_options *options);

/* Returns this instance's own entry, which the caller fills in. */
struct member_entry *member_self(struct membership *membership);

/* Returns NULL if there is no member with this incarnation. */
struct member_entry *member_find(struct membership *membership,
				 uint64_t incarnation);

/* To be called when a link to a member opened, or its last link closed. */
void member_link_up(struct membership *membership, const Bergamot__Hello *hello,
		    uint64_t now_ms);
void member_link_down(struct membership *membership, uint64_t incarnation,
		      uint64_t now_ms);

/* Updates the sender of a heartbeat and the members that it relays. */
void member_receive_heartbeat(struct membership *membership,
			      const Bergamot__Heartbeat *beat, uint64_t now_ms);

/* Marks the members at an address as leaving, as the instance list says. */
void member_mark_leaving(struct membership *membership, const char *address);

/*
 * Selects the members whose state a heartbeat to a receiver also carries. A
 * receiver in another data centre gets the members of this one; a receiver in
 * this data centre also gets the members of others that were learned from a
 * delegate. Writes at most max members whose state changed recently. If there
 * are none, and changes_only is false, writes the next max members in
 * round-robin order. Returns the number written.
 */
size_t member_select_for_heartbeat(struct membership *membership,
				   const struct member_entry *receiver,
				   bool changes_only, uint64_t now_ms,
				   const struct member_entry **out, size_t max);

/* Advances the round-robin order of member_select_for_heartbeat. */
void member_advance_heartbeat_round(struct membership *membership);

/*
 * Discounts a pause of this process: during gap_ms it could receive no
 * heartbeats, so the time does not count towards the members' timeouts.
 */
void member_discount_pause(struct membership *membership, uint64_t gap_ms);

/* Applies the timeouts to all members, and removes old entries. */
void member_tick(struct membership *membership, uint64_t now_ms);

/* Calls visit for each member, this instance included. */
void member_each(struct membership *membership,
		 void (*visit)(void *ctx, struct member_entry *member),
		 void *ctx);

/*
 * Lists the incarnations that may hold the dispatcher role in a data centre,
 * in ascending order: members that are linked, and alive or suspect. This
 * instance is included unless it is leaving. Returns the number written, at
 * most max.
 */
size_t member_list_dispatch_candidates(struct membership *membership,
				       const char *data_centre, uint64_t *out,
				       size_t max);

/* Returns a state's name in lower case. */
const char *member_state_name(enum member_state state);

/* Fills in msg, whose strings then point into member. */
void member_to_wire(const struct member_entry *member, Bergamot__Member *msg);

#endif
