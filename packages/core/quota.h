#ifndef CORE_QUOTA_H
#define CORE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/config.h"

/*
 * Team quotas: a token bucket a team at each dispatcher, in tasks. Where
 * several dispatchers serve a team, each holds a share of its rate; the sum of
 * the shares does not exceed the quota in a connected view.
 */

struct quota;

struct quota *quota_create(TALLOC_CTX *mem);

/* Takes over the teams of a new configuration, keeping what they hold. */
void quota_configure(struct quota *quota, const struct config_document *doc,
		     uint64_t now_ms);

/*
 * Sets this dispatcher's share of a team's rate, in thousandths of the rate.
 * Without a call the share is the whole.
 */
void quota_set_share(struct quota *quota, const char *team,
		     uint32_t share_milli, uint64_t now_ms);

enum quota_status { QUOTA_OK, QUOTA_OVER, QUOTA_UNKNOWN_TEAM };

/* Takes tokens for a job's tasks, all or none. */
enum quota_status quota_take(struct quota *quota, const char *team,
			     uint32_t tasks, uint64_t now_ms);

/* Gives back tokens of tasks that never started. */
void quota_give_back(struct quota *quota, const char *team, uint32_t tasks);

/*
 * Reports each team's demand since the last call (tasks asked for, admitted
 * or not) and resets it.
 */
void quota_drain_demand(struct quota *quota,
			void (*report)(void *ctx, const char *team,
				       uint64_t tasks),
			void *ctx);

#endif
