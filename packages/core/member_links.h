#ifndef CORE_MEMBER_LINKS_H
#define CORE_MEMBER_LINKS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership.h"

/*
 * Decides which members to keep a link to, so that control traffic stays
 * bounded. A small cluster is a full mesh. A larger one is a mesh in each data
 * centre, with links between the delegates of each two data centres; any other
 * link is opened on use and closed after an idle timeout. Gone members are
 * probed periodically, because a partition may have healed.
 */

#define MEMBER_LINKS_MESH_MAX_MEMBERS 16
#define MEMBER_LINKS_DELEGATES 2 /* in each data centre */
#define MEMBER_LINKS_IDLE_MS 30000 /* an unused link is closed after it */
/*
 * A gone member is dialled for RETRY_MS after its last heartbeat, and later for
 * PROBE_MS in each PROBE_PERIOD_MS.
 */
#define MEMBER_LINKS_RETRY_MS 60000
#define MEMBER_LINKS_PROBE_MS 2000
#define MEMBER_LINKS_PROBE_PERIOD_MS 8000

struct member_links_ops {
	void (*dial)(void *ctx, const char *address);
	void (*hang_up)(void *ctx, const char *address);
	void *ctx;
};

/*
 * Dials the members that need a link and hangs up the others; to be called
 * about once a second.
 */
void member_links_refresh(struct membership *membership,
			  const struct member_links_ops *ops, uint64_t now_ms);

/* Returns true if the cluster is small enough to be a full mesh. */
bool member_links_is_mesh(struct membership *membership);

/* Returns true if the member is a delegate of its data centre. */
bool member_links_is_delegate(struct membership *membership,
			      const struct member_entry *member);

/*
 * Records that a link to a member opened. If it is the member's first link and
 * this instance had dialled the address before the member was known
 * (address_dialled), the member's entry takes over that dialled address.
 */
void member_links_opened(struct member_entry *member, bool address_dialled,
			 const struct member_links_ops *ops, uint64_t now_ms);

/*
 * Dials a member unless it is dialled already, and keeps the link for
 * MEMBER_LINKS_IDLE_MS.
 */
void member_links_use(struct member_entry *member,
		      const struct member_links_ops *ops, uint64_t now_ms);

#endif
