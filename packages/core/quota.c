#include "core/quota.h"

#include <inttypes.h>
#include <string.h>
#include "base/hash_table.h"

#define WHOLE_MILLI 1000

struct bucket {
	UT_hash_handle hh;
	char *team;
	bool configured;
	uint32_t tasks_per_s; /* 0: no quota */
	uint32_t burst;
	uint32_t share_milli;
	int64_t tokens_milli; /* below 0: the debt of a large job */
	uint64_t filled_ms;
	uint64_t share_changed_ms;
	uint64_t demand; /* tasks requested since the last report */
};

struct quota {
	struct bucket *teams;
	bool allows_any_team; /* none is configured, so none has a limit */
};

/* uthash does not allocate its tables with talloc. */
static int destroy(struct quota *quota)
{
	HASH_CLEAR(hh, quota->teams);
	return 0;
}

struct quota *quota_create(TALLOC_CTX *mem)
{
	struct quota *quota = talloc_zero(mem, struct quota);

	talloc_set_destructor(quota, destroy);
	return quota;
}

static struct bucket *find_bucket(struct quota *quota, const char *team)
{
	struct bucket *b;

	HASH_FIND_STR(quota->teams, team, b);
	return b;
}

static int64_t rate_milli(const struct bucket *b)
{
	return (int64_t)b->tasks_per_s * b->share_milli;
}

static int64_t burst_tasks(const struct bucket *b)
{
	return b->burst ? b->burst : b->tasks_per_s;
}

/* At least one task, as can_afford never admits a job without one. */
static int64_t capacity_milli(const struct bucket *b)
{
	int64_t capacity = burst_tasks(b) * b->share_milli;

#ifndef BREAK_ONE_TASK
	if (b->share_milli && capacity < WHOLE_MILLI)
		return WHOLE_MILLI;
#endif
	return capacity;
}

static void refill(struct bucket *b, uint64_t now_ms)
{
	int64_t elapsed = (int64_t)(now_ms - b->filled_ms);
	int64_t capacity = capacity_milli(b);
	int64_t gain;

	if (now_ms <= b->filled_ms)
		return;
	gain = rate_milli(b) * elapsed / 1000;
	if (!gain)
		return;
	b->filled_ms = now_ms;
	b->tokens_milli += gain;
	if (b->tokens_milli > capacity)
		b->tokens_milli = capacity;
}

static struct bucket *add_bucket(struct quota *quota, const char *team,
				 uint64_t now_ms)
{
	struct bucket *b = talloc_zero(quota, struct bucket);

	b->team = talloc_strdup(b, team);
	b->share_milli = WHOLE_MILLI;
	b->filled_ms = now_ms;
	b->share_changed_ms = now_ms;
	HASH_ADD_KEYPTR(hh, quota->teams, b->team, strlen(b->team), b);
	return b;
}

static void configure_team(struct quota *quota, const struct config_team *team,
			   uint64_t now_ms)
{
	struct bucket *b = find_bucket(quota, team->name);
	bool is_new = !b;

	if (is_new)
		b = add_bucket(quota, team->name, now_ms);
	refill(b, now_ms);
	b->configured = true;
	b->tasks_per_s = team->tasks_per_s;
	b->burst = team->burst;
	if (is_new || b->tokens_milli > capacity_milli(b))
		b->tokens_milli = capacity_milli(b);
}

void quota_configure(struct quota *quota, const struct config_document *doc,
		     uint64_t now_ms)
{
	struct bucket *b, *next;

	HASH_ITER(hh, quota->teams, b, next)
		b->configured = false;
	for (size_t i = 0; i < doc->team_count; i++)
		configure_team(quota, &doc->teams[i], now_ms);
	HASH_ITER(hh, quota->teams, b, next) {
		if (b->configured)
			continue;
		HASH_DEL(quota->teams, b);
		talloc_free(b);
	}
	quota->allows_any_team = !doc->team_count;
}

void quota_set_share(struct quota *quota, const char *team,
		     uint32_t share_milli, uint64_t now_ms)
{
	struct bucket *b = find_bucket(quota, team);

	if (!b)
		return;
	refill(b, now_ms);
	if (b->share_milli != share_milli)
		b->share_changed_ms = now_ms;
	b->share_milli = share_milli;
	if (b->tokens_milli > capacity_milli(b))
		b->tokens_milli = capacity_milli(b);
}

/*
 * Returns true if the tokens suffice. A dispatcher with only a share of the
 * quota also admits a job within the team's whole burst, as no single
 * dispatcher may ever have enough tokens for a large job. The job leaves a
 * debt, and the team's next job is refused until that is repaid.
 */
static bool can_afford(const struct bucket *b, int64_t cost)
{
	if (b->tokens_milli >= cost)
		return true;
	return b->share_milli < WHOLE_MILLI && b->tokens_milli >= WHOLE_MILLI &&
	       cost <= burst_tasks(b) * WHOLE_MILLI;
}

enum quota_status quota_take(struct quota *quota, const char *team,
			     uint32_t tasks, uint64_t now_ms)
{
	struct bucket *b = find_bucket(quota, team);
	int64_t cost = (int64_t)tasks * WHOLE_MILLI;

	if (!b)
		return quota->allows_any_team ? QUOTA_OK : QUOTA_UNKNOWN_TEAM;
	b->demand += tasks;
	if (!b->tasks_per_s)
		return QUOTA_OK;
	refill(b, now_ms);
	if (!can_afford(b, cost))
		return QUOTA_OVER;
	b->tokens_milli -= cost;
	return QUOTA_OK;
}

void quota_return_tokens(struct quota *quota, const char *team, uint32_t tasks)
{
	struct bucket *b = find_bucket(quota, team);

	if (!b)
		return;
	b->tokens_milli += (int64_t)tasks * WHOLE_MILLI;
	if (b->tokens_milli > capacity_milli(b))
		b->tokens_milli = capacity_milli(b);
}

char *quota_describe(TALLOC_CTX *mem, struct quota *quota, const char *team,
		     uint64_t now_ms)
{
	struct bucket *b = find_bucket(quota, team);

	if (!b)
		return talloc_strdup(mem, "unknown team");
	refill(b, now_ms);
	return talloc_asprintf(
		mem,
		"%.1f of %.1f tokens, share %.3f of %u tasks/s for %" PRIu64
		" ms",
		(double)b->tokens_milli / WHOLE_MILLI,
		(double)capacity_milli(b) / WHOLE_MILLI,
		(double)b->share_milli / WHOLE_MILLI, b->tasks_per_s,
		now_ms - b->share_changed_ms);
}

void quota_report_demand(struct quota *quota,
			 void (*report)(void *ctx, const char *team,
					uint64_t tasks),
			 void *ctx)
{
	struct bucket *b, *next;

	HASH_ITER(hh, quota->teams, b, next) {
		report(ctx, b->team, b->demand);
		b->demand = 0;
	}
}
