#ifndef CORE_LEADER_MEMBER_H
#define CORE_LEADER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "base/hash_table.h"
#include "wire/peer.pb-c.h"

/*
 * Which instance leads, by beats over peer links. A claim to lead is a number
 * that only rises and serves as the fencing token at the workers, so that a
 * wrong view costs a takeover and never a second run. The live member with the
 * highest claim leads; where there is none, the one with the largest processor
 * share claims.
 *
 * Each side knows until when the other surely counts it as live: beats return
 * the receiver's own clock, so that delayed beats prolong nothing.
 *
 * A leader that cannot keep up, on a machine that has become slow, gives up for
 * another one.
 *
 * Not core/membership.h: that one serves ids bound to their owners, with one
 * heartbeat a second.
 */

struct leadership;

/* Between the leader and the others; all jobs wait while it is lost. */
#define LEADER_BEAT_MS 120
/* Three beats at the idle loop's pace, a share that is used up (100 ms), the
 * way. */
#define LEADER_VALID_MS 600

struct leader_member {
	UT_hash_handle hh;
	uint64_t incarnation;
	char *instance;
	char *address;
	char *data_centre;
	bool linked;
	uint64_t linked_ms; /* since when, or when the link was lost */
	uint64_t heard_ms; /* 0: never */
	uint64_t clock_ms; /* its own, as last heard, to be returned */
	uint64_t valid_until_ms; /* it may count on us until then */
	uint64_t claim; /* 0: it does not claim to lead */
	bool resigned; /* gave a claim up by itself */
	uint32_t weight; /* 0: it may not claim */
	uint32_t share; /* of a processor, in thousandths; 0: not told */
	bool stopping;
	bool overloaded; /* gave up leading: it could not keep up */
	uint64_t config_version;
	uint64_t beat_due_ms;
};

struct leader_options {
	uint64_t incarnation;
	const char *address; /* of our peer links */
	const char *data_centre;
	uint32_t weight; /* processor share, in thousandths of a core */
	uint64_t now_ms;
};

struct leadership *leader_create(TALLOC_CTX *mem,
				 const struct leader_options *options);

/* Links. */
void leader_link_up(struct leadership *leadership, const Bergamot__Hello *hello,
		    uint64_t now_ms);
void leader_link_down(struct leadership *leadership, uint64_t incarnation,
		      uint64_t now_ms);

/* Takes a beat over. */
void leader_take_beat(struct leadership *leadership, uint64_t incarnation,
		      const Bergamot__LeaderBeat *beat, uint64_t now_ms);

/* Fills in a beat for a member. */
void leader_fill_beat(struct leadership *leadership,
		      const struct leader_member *member,
		      Bergamot__LeaderBeat *beat, uint64_t now_ms);

/* Is a beat to the member due? Its next one is put off when it is. */
bool leader_beat_due(struct leadership *leadership,
		     struct leader_member *member, uint64_t now_ms);

/* All members, to be walked with hh.next. */
struct leader_member *leader_members(struct leadership *leadership);
struct leader_member *leader_find(struct leadership *leadership,
				  uint64_t incarnation);

/* How many members there is a link to. */
uint32_t leader_linked(const struct leadership *leadership);

/* Linked and heard of lately. */
bool leader_is_live(const struct leadership *leadership,
		    const struct leader_member *member, uint64_t now_ms);

/* Our own state. */

/*
 * Live members of our data centre with a larger processor share; they are
 * better placed to keep a view of the workers, and to lead.
 */
uint32_t leader_better_near(const struct leadership *leadership,
			    uint64_t now_ms);

/* Only with a view of the workers may this instance claim. */
void leader_set_able(struct leadership *leadership, bool able);

/* One that has known the workers for long goes before others as leader. */
void leader_set_mature(struct leadership *leadership, bool mature);

/* Gives a claim up; never claims again. */
void leader_stop(struct leadership *leadership);

/* Claims anew, above all claims heard of. */
void leader_raise(struct leadership *leadership, uint64_t now_ms,
		  uint64_t wall_ms);

/*
 * Decides who leads now. wall_ms makes a first claim higher than those of
 * earlier lives; it need not be right.
 */
void leader_decide(struct leadership *leadership, uint64_t now_ms,
		   uint64_t wall_ms);

/* How long messages have waited in front of this instance, measured anew. */
void leader_note_lag(struct leadership *leadership, uint64_t lag_ms);

/* Did this instance give up leading lately, since it could not keep up? */
bool leader_is_overloaded(const struct leadership *leadership);

/* Our claim, 0 when we do not lead. */
uint64_t leader_claim(const struct leadership *leadership);

/* Has a claim been heard of that is above ours? Workers may obey it. */
bool leader_is_outranked(const struct leadership *leadership);

/* The leader's incarnation, 0 when nobody leads. */
uint64_t leader_current(const struct leadership *leadership);

/* Are more than half of the members of the last while live, us included? */
bool leader_has_majority(const struct leadership *leadership, uint64_t now_ms);

#endif
