#ifndef CORE_LEADER_MEMBER_H
#define CORE_LEADER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "base/hash_table.h"
#include "wire/peer.pb-c.h"

/*
 * Leader election by beats over peer links. A claim to lead is a number that
 * only rises and serves as the fencing token at the workers, so that a wrong
 * view of the leader costs a takeover and never a second run of a task. The
 * live member with the highest claim leads; if no member claims, the one with
 * the largest processor share does. A leader that is in touch with most members
 * goes before one that is not: when a cut heals, the smaller side yields,
 * though its claim is the later one.
 *
 * Each side knows until when the other is certain to count it as live: a beat
 * echoes the receiver's own clock, so that delayed beats extend nothing.
 *
 * A leader that becomes overloaded, such as on a machine that has slowed down,
 * gives up its claim so that another member can lead.
 *
 * Not to be confused with core/membership.h, which serves ids bound to their
 * owners and sends one heartbeat a second.
 */

struct leadership;

/*
 * Period of beats between the leader and the others. It is short because all
 * jobs wait until the loss of a leader is detected.
 */
#define LEADER_BEAT_MS 120
/*
 * A beat is valid for this long: three beat periods, each rounded up to the
 * idle loop's period, plus 100 ms without processor time when the share is used
 * up, plus the network delay.
 */
#define LEADER_VALID_MS 600
/*
 * A leader whose beats are missing for longer may be cut off: jobs are not sent
 * to it, so that the next leader can start them at once. Its beats are at most
 * two periods of its idle loop apart.
 */
#define LEADER_QUIET_MS 300
/*
 * Until a leader's beats over a new link are echoed, the other side may count
 * on a beat that arrived over the former one, LEADER_QUIET_MS ago at most.
 */
#define LEADER_LINK_VALID_MS (LEADER_VALID_MS - LEADER_QUIET_MS)

struct leader_member {
	UT_hash_handle hh;
	uint64_t incarnation;
	char *instance;
	char *address;
	char *data_centre;
	bool linked;
	uint64_t link_changed_ms; /* when the link last came up or went down */
	uint64_t last_beat_ms; /* when its last beat arrived; 0: never */
	bool link_has_beat; /* a beat has arrived since the link came up */
	uint64_t clock_ms; /* its clock in its last beat, to be echoed */
	int64_t clock_ahead_ms; /* lower bound of its clock less ours */
	uint64_t valid_until_ms; /* it may count us as live until this time */
	uint64_t echoed_ms; /* it has sent a beat since; 0: never */
	uint64_t claim; /* 0: it does not claim to lead */
	bool majority; /* it leads in touch with most members */
	bool resigned; /* gave up its claim, as its last beat says */
	bool leaderless; /* it knows of no leader */
	uint32_t weight; /* 0: it may not claim */
	uint32_t share; /* processor share in thousandths; 0: unknown */
	bool stopping;
	bool overloaded; /* gave up its claim because it was overloaded */
	uint64_t config_version;
	uint64_t offered_version; /* of the configuration last sent to it */
	uint64_t offered_ms;
	uint64_t beat_due_ms;
	uint64_t listed_ms; /* time of the last beat with addresses; 0: none */
	bool missed_late_starts; /* some of ours were not sent over its link */
	uint64_t late_starts_number; /* of the last of its messages read */
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

/*
 * Records that a link is up or down. leader_link_up adds the member if it is
 * new, and removes earlier incarnations of the same instance.
 */
void leader_link_up(struct leadership *leadership, const Bergamot__Hello *hello,
		    uint64_t now_ms);
void leader_link_down(struct leadership *leadership, uint64_t incarnation,
		      uint64_t now_ms);

/* Updates a member from its beat; ignores beats of unknown members. */
void leader_receive_beat(struct leadership *leadership, uint64_t incarnation,
			 const Bergamot__LeaderBeat *beat, uint64_t now_ms);

/*
 * Returns a lower bound of a member's clock in ms, by its beats; 0 if it has
 * sent none. A beat that was read late, such as after a pause, lowers nothing.
 */
uint64_t leader_clock_of(const struct leader_member *member, uint64_t now_ms);

/* Fills in this instance's beat to a member. */
void leader_fill_beat(struct leadership *leadership,
		      const struct leader_member *member,
		      Bergamot__LeaderBeat *beat, uint64_t now_ms);

/* Returns true if a beat to the member is due, and schedules the next one. */
bool leader_beat_due(struct leadership *leadership,
		     struct leader_member *member, uint64_t now_ms);

/* The first of all other members; hh.next leads to the next one. */
struct leader_member *leader_members(struct leadership *leadership);
/* Returns NULL if there is no such member. */
struct leader_member *leader_find(struct leadership *leadership,
				  uint64_t incarnation);

/* Returns the number of members that are linked. */
uint32_t leader_count_linked(const struct leadership *leadership);

/* Returns true if the member is linked and its last beat is still valid. */
bool leader_is_live(const struct leadership *leadership,
		    const struct leader_member *member, uint64_t now_ms);

/* This instance's own state. */

/*
 * Returns the number of live members of our data centre that have a larger
 * processor share, and so go before us in reading the list of workers and in
 * leading.
 */
uint32_t leader_count_better_local(const struct leadership *leadership,
				   uint64_t now_ms);

/*
 * Sets whether this instance has a list of workers, without which it may not
 * claim.
 */
void leader_set_eligible(struct leadership *leadership, bool eligible);

/*
 * Sets whether this instance has had the list of workers for long enough to go
 * before others as leader.
 */
void leader_set_preferred(struct leadership *leadership, bool preferred);

/*
 * Sets the number of instances that are registered, this one included. Once
 * most of them are linked and know of no leader, none is waited for: all have
 * lost power, and callers wait. 0: not known.
 */
void leader_set_registered(struct leadership *leadership, uint32_t count);

/* The process was paused: what it knew of the others is out of date. */
void leader_note_pause(struct leadership *leadership);

/* Gives up the claim, if any, and never claims again. */
void leader_stop(struct leadership *leadership);

/* Replaces the claim by one above all claims received so far. */
void leader_raise_claim(struct leadership *leadership, uint64_t now_ms,
			uint64_t wall_ms);

/*
 * Determines the current leader, and claims to lead if this instance should.
 * wall_ms, the time of day, makes a first claim higher than those of earlier
 * incarnations; it need not be accurate.
 */
void leader_elect(struct leadership *leadership, uint64_t now_ms,
		  uint64_t wall_ms);

/* Records how long a message has waited before this instance read it. */
void leader_record_lag(struct leadership *leadership, uint64_t lag_ms);

/*
 * Returns true if this instance recently gave up its claim because it was
 * overloaded.
 */
bool leader_is_overloaded(const struct leadership *leadership);

/* Returns our claim, or 0 if we do not lead. */
uint64_t leader_claim(const struct leadership *leadership);

/* Returns true if a claim above ours was received; workers may obey it. */
bool leader_is_outranked(const struct leadership *leadership);

/*
 * Notes a token of this leader's orders, which is above its claim. A claim is
 * above all claims and tokens that its owner knows of.
 */
void leader_note_token(struct leadership *leadership, uint64_t token);

/* Returns the leader's incarnation, or 0 if nobody leads. */
uint64_t leader_current(const struct leadership *leadership);

/*
 * Returns true if more than half of the members, this instance included, are
 * live. Members count until 30 s after the loss of their link.
 */
bool leader_has_majority(const struct leadership *leadership, uint64_t now_ms);

#endif
