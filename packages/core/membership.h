#ifndef CORE_MEMBERSHIP_H
#define CORE_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "wire/peer.pb-c.h"

/*
 * Membership: which incarnations of instances live, learned from links and
 * heartbeats. Silence makes a member suspect, then gone; a lagging list adds
 * members but removes none that still answers. A view may be wrong: nothing
 * that must hold depends on it.
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
	uint64_t beat;
	uint64_t heard_ms; /* on our clock */
	uint64_t config_version;
	uint32_t slots;
	uint32_t idle_slots;
	uint32_t backlog_tasks;
	uint64_t successor; /* who answers for its ids; 0: nobody */
	uint64_t news_ms; /* when it appeared or changed its state */
	bool replaced; /* another incarnation runs at its address */
	bool left; /* it was leaving when it went */
	bool through_delegate; /* last heard from its own data centre */
	/* core/member_links.h's own. */
	bool dialled;
	uint64_t used_ms; /* by this instance */
	uint64_t kept_ms; /* on the peer's word, or as it opened */
};

struct membership;

struct member_options {
	const char *instance;
	const char *data_centre;
	const char *address;
	uint64_t incarnation;
	/* Silence of a linked member of this data centre. */
	uint64_t suspect_ms; /* 0 means 2000 */
	uint64_t gone_ms; /* 0 means 5000 */
	/* The others are heard less often: so many times as long. */
	uint64_t far_factor; /* 0 means 3; relayed ones: 12 */
	uint64_t forget_ms; /* after gone; 0 means 7200000 */
	/* A member appeared or changed its state, 'self' included. */
	void (*changed)(void *ctx, const struct member_entry *member);
	void *ctx;
};

/* Copies the options; owned by mem. Has this instance alone. */
struct membership *member_create(TALLOC_CTX *mem,
				 const struct member_options *options);

/* This instance's own entry, to be filled in by its owner. */
struct member_entry *member_self(struct membership *membership);

/* NULL when the incarnation is not known. */
struct member_entry *member_find(struct membership *membership,
				 uint64_t incarnation);

/* A link to a member opened, or its last one closed. */
void member_link_up(struct membership *membership, const Bergamot__Hello *hello,
		    uint64_t now_ms);
void member_link_down(struct membership *membership, uint64_t incarnation,
		      uint64_t now_ms);

/* Takes over what a heartbeat says of its sender and of those it relays. */
void member_heard(struct membership *membership,
		  const Bergamot__Heartbeat *beat, uint64_t now_ms);

/* The instance list says that the member at an address is leaving. */
void member_listed_leaving(struct membership *membership, const char *address);

/*
 * Members to relay to a receiver: to another data centre those of this one, to
 * a member near also those that a delegate told of. News comes first, then,
 * unless news_only, some in turn. Returns how many were written.
 */
size_t member_relay(struct membership *membership,
		    const struct member_entry *receiver, bool news_only,
		    uint64_t now_ms, const struct member_entry **out,
		    size_t max);

/* The next heartbeats relay the next ones in turn. */
void member_next_turn(struct membership *membership);

/* This process was paused: the silence of gap_ms was its own. */
void member_paused(struct membership *membership, uint64_t gap_ms);

/* Judges silence. */
void member_tick(struct membership *membership, uint64_t now_ms);

/* Calls visit for each member, this instance included. */
void member_each(struct membership *membership,
		 void (*visit)(void *ctx, struct member_entry *member),
		 void *ctx);

/*
 * Incarnations that may hold the dispatcher role in a data centre: alive or
 * suspect, reachable, in a fixed order. This instance counts while it is not
 * leaving. Returns how many were written, at most max.
 */
size_t member_live(struct membership *membership, const char *data_centre,
		   uint64_t *out, size_t max);

/* A word for a state. */
const char *member_state_word(enum member_state state);

/* Shallow: msg points into member. */
void member_to_wire(const struct member_entry *member, Bergamot__Member *msg);

#endif
