#ifndef CORE_QUOTA_SHARE_H
#define CORE_QUOTA_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/config.h"
#include "core/quota.h"

/*
 * Shares teams' quotas among dispatchers. Each dispatcher reports its demand
 * and its share to the others by heartbeat and computes its own target from
 * their reports: a floor, and the rest in proportion to demand. A share falls
 * to its target at once, but rises only by what is in nobody's share, so that
 * the shares add up to no more than the quota while heartbeats arrive. Without
 * heartbeats from a peer, its last report stays valid as long as it is listed.
 *
 * node_quota.c sends and receives the reports.
 */

/*
 * The parts of a whole quota, below 2^14 so that a share takes at most two
 * bytes as a varint in a heartbeat.
 */
#define QUOTA_SHARE_WHOLE 16000

struct quota_share;

struct quota_share_options {
	bool even; /* equal shares, whatever the demand */
	uint64_t self; /* incarnation */
};

struct quota_share *
quota_share_create(TALLOC_CTX *mem, const struct quota_share_options *options);

/* Applies the teams of a new configuration. */
void quota_share_configure(struct quota_share *quota_share,
			   const struct config_document *doc);

struct quota_share_peer {
	uint64_t incarnation;
	/* No link to the peer: no report reaches it, so its share stays. */
	bool disconnected;
	/* Private to quota_share.c. */
	uint32_t numbering; /* of its last heartbeat; 0: unknown */
	uint32_t sent_numbering; /* of the last full report sent to it */
	bool synced; /* it has reported all teams by its numbering */
	uint64_t heartbeat_ms; /* of its last one that counted; 0: none */
};

/*
 * Sets the list of the other dispatchers. The shares of a dispatcher that is no
 * longer listed become free.
 */
void quota_share_set_peers(struct quota_share *quota_share,
			   const struct quota_share_peer *peers, size_t count);

/*
 * Teams with a quota are numbered by their place in the document. The numbering
 * is a hash of their names and quotas; reports by another numbering are
 * ignored.
 */
uint32_t quota_share_numbering(const struct quota_share *quota_share);
size_t quota_share_team_count(const struct quota_share *quota_share);

/*
 * Handles a peer's heartbeat, which confirms the figures that it does not
 * repeat; whole is true if it reports all teams. Returns false if its rates
 * must be ignored: its numbering differs, or the peer has never reported all
 * teams by this numbering.
 */
bool quota_share_handle_heartbeat(struct quota_share *quota_share,
				  uint64_t peer, uint32_t numbering, bool whole,
				  uint64_t now_ms);

/*
 * Stores a listed peer's report on a team; QUOTA_SHARE_WHOLE parts of demand or
 * share are the whole quota.
 */
void quota_share_set_report(struct quota_share *quota_share, uint64_t peer,
			    size_t place, uint32_t demand, uint32_t share);

/*
 * Reads the demand since the last call, elapsed_ms ago, computes this
 * dispatcher's shares and sets them in quota. To be called once per heartbeat,
 * before it is sent.
 */
void quota_share_update(struct quota_share *quota_share, struct quota *quota,
			uint64_t elapsed_ms, uint64_t now_ms);

/*
 * Calls report, in order of places, for each team to report to a peer: those
 * whose figures changed since quota_share_clear_changes, or all teams if all is
 * set or if the peer has had no full report by this numbering. Returns true if
 * it was called for all teams.
 */
bool quota_share_each_change(struct quota_share *quota_share, uint64_t peer,
			     bool all,
			     void (*report)(void *ctx, size_t place,
					    uint32_t demand, uint32_t share),
			     void *ctx);

/*
 * Returns the peers' last reports on a team and their ages as text, for logs.
 */
char *quota_share_describe(TALLOC_CTX *mem, struct quota_share *quota_share,
			   const char *name, uint64_t now_ms);

/* Marks all changes as sent, once a heartbeat went to all peers. */
void quota_share_clear_changes(struct quota_share *quota_share);

#endif
