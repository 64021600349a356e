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

struct ldm;

/* Between the leader and the others; all jobs wait while it is lost. */
#define LDM_BEAT_MS 120
/* Three beats at the idle loop's pace, a share that is used up (100 ms), the
 * way. */
#define LDM_VALID_MS 600

struct ldm_member {
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

struct ldm_options {
	uint64_t incarnation;
	const char *address; /* of our peer links */
	const char *data_centre;
	uint32_t weight; /* processor share, in thousandths of a core */
	uint64_t now_ms;
};

struct ldm *ldm_create(TALLOC_CTX *mem, const struct ldm_options *options);

/* Links. */
void ldm_link_up(struct ldm *ldm, const Bergamot__Hello *hello,
		 uint64_t now_ms);
void ldm_link_down(struct ldm *ldm, uint64_t incarnation, uint64_t now_ms);

/* Takes a beat over. */
void ldm_take_beat(struct ldm *ldm, uint64_t incarnation,
		   const Bergamot__LeaderBeat *beat, uint64_t now_ms);

/* Fills in a beat for a member. */
void ldm_fill_beat(struct ldm *ldm, const struct ldm_member *member,
		   Bergamot__LeaderBeat *beat, uint64_t now_ms);

/* Is a beat to the member due? Its next one is put off when it is. */
bool ldm_beat_due(struct ldm *ldm, struct ldm_member *member, uint64_t now_ms);

/* All members, to be walked with hh.next. */
struct ldm_member *ldm_members(struct ldm *ldm);
struct ldm_member *ldm_find(struct ldm *ldm, uint64_t incarnation);

/* How many members there is a link to. */
uint32_t ldm_linked(const struct ldm *ldm);

/* Linked and heard of lately. */
bool ldm_is_live(const struct ldm *ldm, const struct ldm_member *member,
		 uint64_t now_ms);

/* Our own state. */

/*
 * Live members of our data centre with a larger processor share; they are
 * better placed to keep a view of the workers, and to lead.
 */
uint32_t ldm_better_near(const struct ldm *ldm, uint64_t now_ms);

/* Only with a view of the workers may this instance claim. */
void ldm_set_able(struct ldm *ldm, bool able);

/* One that has known the workers for long goes before others as leader. */
void ldm_set_mature(struct ldm *ldm, bool mature);

/* Gives a claim up; never claims again. */
void ldm_stop(struct ldm *ldm);

/* Claims anew, above all claims heard of. */
void ldm_raise(struct ldm *ldm, uint64_t now_ms, uint64_t wall_ms);

/*
 * Decides who leads now. wall_ms makes a first claim higher than those of
 * earlier lives; it need not be right.
 */
void ldm_decide(struct ldm *ldm, uint64_t now_ms, uint64_t wall_ms);

/* How long messages have waited in front of this instance, measured anew. */
void ldm_note_lag(struct ldm *ldm, uint64_t lag_ms);

/* Did this instance give up leading lately, since it could not keep up? */
bool ldm_is_overloaded(const struct ldm *ldm);

/* Our claim, 0 when we do not lead. */
uint64_t ldm_claim(const struct ldm *ldm);

/* Has a claim been heard of that is above ours? Workers may obey it. */
bool ldm_is_outranked(const struct ldm *ldm);

/* The leader's incarnation, 0 when nobody leads. */
uint64_t ldm_leader(const struct ldm *ldm);

/* Are more than half of the members of the last while live, us included? */
bool ldm_has_majority(const struct ldm *ldm, uint64_t now_ms);

#endif
