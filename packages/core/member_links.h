#ifndef CORE_MEMBER_LINKS_H
#define CORE_MEMBER_LINKS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership.h"

/*
 * Which members to keep a link to, so that control traffic stays bounded. A
 * small cluster is a full mesh. A larger one is a mesh in each data centre,
 * with links between the delegates of each two data centres; another link is
 * opened when it is needed and closed when it was idle for a while. Members
 * that went are tried again now and then, because a partition may have healed.
 */

#define MEMBER_LINKS_MESH_MEMBERS 16 /* up to so many, all are linked */
#define MEMBER_LINKS_DELEGATES 2 /* of a data centre */
#define MEMBER_LINKS_IDLE_MS 30000 /* an unneeded link is closed after */
/* a member that went is tried so long... */
#define MEMBER_LINKS_RETRY_MS 60000
#define MEMBER_LINKS_PROBE_MS 2000 /* ...and afterwards so long */
#define MEMBER_LINKS_PROBE_PERIOD_MS 8000 /* in each such period */

struct member_links_ops {
	void (*dial)(void *ctx, const char *address);
	void (*hang_up)(void *ctx, const char *address);
	void *ctx;
};

/* Dials and hangs up as wanted now; to be called about once a second. */
void member_links_refresh(struct membership *membership,
			  const struct member_links_ops *ops, uint64_t now_ms);

/* Is the cluster small enough to be a full mesh? */
bool member_links_is_mesh(struct membership *membership);

/* Does this member link its data centre with others? */
bool member_links_is_delegate(struct membership *membership,
			      const struct member_entry *member);

/*
 * Takes note of a link that is up. Its address may have been dialled before the
 * member was known; the first link of a member takes that over.
 */
void member_links_opened(struct member_entry *member, bool address_dialled,
			 const struct member_links_ops *ops, uint64_t now_ms);

/* Wants a link to a member now, and for a while. */
void member_links_use(struct member_entry *member,
		      const struct member_links_ops *ops, uint64_t now_ms);

#endif
