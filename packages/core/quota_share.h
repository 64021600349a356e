#ifndef CORE_QUOTA_SHARE_H
#define CORE_QUOTA_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/config.h"
#include "core/quota.h"

/*
 * How teams' quotas are shared among dispatchers. Each tells the others its
 * demand and its share by heartbeat. From these each works out its own target:
 * a floor, and the rest in proportion to demand. A share falls to its target
 * at once and rises only into what nobody holds, so that shares do not add up
 * to more than the quota while heartbeats arrive. A peer that is not heard
 * keeps what it last told, for as long as it is listed.
 *
 * It sends nothing itself: node_quota.c does.
 */

/* parts of a quota; a share takes two bytes */
#define QUOTA_SHARE_WHOLE 16000

struct quota_share;

struct quota_share_options {
	bool even; /* quota over the dispatchers, whatever the demand */
	uint64_t self; /* incarnation */
};

struct quota_share *
quota_share_create(TALLOC_CTX *mem, const struct quota_share_options *options);

void quota_share_configure(struct quota_share *quota_share,
			   const struct config_document *doc);

struct quota_share_peer {
	uint64_t incarnation;
	bool cut; /* no link: it hears nothing, and its shares stay */
	uint32_t numbering; /* quota_share's own: by which it tells */
	uint32_t told_all; /* quota_share's own: by which it was told */
	bool synced; /* quota_share's own: it told all by our numbering */
};

/*
 * Lists the other dispatchers. One that is no longer listed leaves its shares;
 * one that is new takes part from now on.
 */
void quota_share_set_peers(struct quota_share *quota_share,
			   const struct quota_share_peer *peers, size_t count);

/*
 * Teams with a quota are numbered in the document's order. The numbering is a
 * hash of their names and quotas; what is told by another one is not taken.
 */
uint32_t quota_share_numbering(const struct quota_share *quota_share);
size_t quota_share_team_count(const struct quota_share *quota_share);

/*
 * A heartbeat came from a peer: what it does not tell anew still holds.
 * Returns false when its rates are not to be taken: the numbering is another,
 * or it never told all teams by this one.
 */
bool quota_share_beat(struct quota_share *quota_share, uint64_t peer,
		      uint32_t numbering, bool whole);

/* What a listed peer told of a team, in QUOTA_SHARE_WHOLE parts of the quota.
 */
void quota_share_heard(struct quota_share *quota_share, uint64_t peer,
		       size_t place, uint32_t demand, uint32_t share);

/*
 * Takes over the demand since the last call, elapsed_ms ago, works out this
 * dispatcher's shares and sets them in quota. To be called once a heartbeat,
 * before it is sent.
 */
void quota_share_update(struct quota_share *quota_share, struct quota *quota,
			uint64_t elapsed_ms, uint64_t now_ms);

/*
 * Calls tell, in order of their places, for what a peer has to hear: each team
 * whose figures changed since quota_share_told, or all teams when it is its
 * first time by this numbering. Returns whether these were all teams.
 */
bool quota_share_each(struct quota_share *quota_share, uint64_t peer, bool all,
		      void (*tell)(void *ctx, size_t place, uint32_t demand,
				   uint32_t share),
		      void *ctx);

/* Ends a heartbeat: what has been told is no change any more. */
void quota_share_told(struct quota_share *quota_share);

#endif
