#ifndef CORE_QUOTA_H
#define CORE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/config.h"

/*
 * Team quotas: each dispatcher has one token bucket per team; a token is a
 * task. If several dispatchers serve a team, each has a share of its rate. The
 * shares of dispatchers that are connected add up to no more than the quota.
 */

struct quota;

struct quota *quota_create(TALLOC_CTX *mem);

/*
 * Applies the teams of a new configuration. Teams that stay keep their tokens,
 * up to the new burst.
 */
void quota_configure(struct quota *quota, const struct config_document *doc,
		     uint64_t now_ms);

/*
 * Sets this dispatcher's share of a team's rate and burst, in thousandths. The
 * share of a new team is 1000.
 */
void quota_set_share(struct quota *quota, const char *team,
		     uint32_t share_milli, uint64_t now_ms);

enum quota_status { QUOTA_OK, QUOTA_OVER, QUOTA_UNKNOWN_TEAM };

/* Takes one token per task of a job, or none at all if they do not suffice. */
enum quota_status quota_take(struct quota *quota, const char *team,
			     uint32_t tasks, uint64_t now_ms);

/* Returns the tokens of tasks that never started. */
void quota_return_tokens(struct quota *quota, const char *team, uint32_t tasks);

/* Returns a team's tokens, share and the share's age as text, for logs. */
char *quota_describe(TALLOC_CTX *mem, struct quota *quota, const char *team,
		     uint64_t now_ms);

/*
 * Reports each team's demand since the last call and resets it. Demand counts
 * all tasks requested, admitted or refused.
 */
void quota_report_demand(struct quota *quota,
			 void (*report)(void *ctx, const char *team,
					uint64_t tasks),
			 void *ctx);

#endif
