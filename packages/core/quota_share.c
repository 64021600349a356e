#include "core/quota_share.h"

#include <string.h>
#include <sys/queue.h>

#include "base/hash_table.h"

#define FLOOR_PERCENT 10 /* of a quota, shared evenly whatever the demand */
#define MAX_PEERS 64
#define WHOLE_MILLI 1000
#define MAX_DEMAND (1u << 30) /* parts, so that sums do not overflow */
#define DEMAND_STEP 64 /* a change of demand below 1 / 64 is not told */

/* What a peer told of a team, in parts of its quota. */
struct told {
	uint32_t demand;
	uint32_t share;
	bool ever; /* heard */
	bool since_rise; /* heard since this dispatcher's share last rose */
};

struct team {
	UT_hash_handle hh;
	char *name;
	bool configured;
	uint64_t quota_milli;
	uint64_t demand_milli; /* decaying */
	uint32_t demand; /* in parts of the quota, as told */
	uint32_t share;
	bool changed;
	bool began; /* has had a share */
	struct told told[MAX_PEERS]; /* as quota_share->peers */
};

struct quota_share {
	struct quota_share_options options;
	struct team *teams;
	struct team **places; /* those with a quota, as in the document */
	size_t place_count;
	uint32_t numbering;
	struct quota_share_peer peers[MAX_PEERS];
	size_t peer_count;
	bool heard; /* any of them, since the last update */
	uint64_t elapsed_ms; /* of the running update */
};

/* The hash tables' own memory is not talloc's. */
static int destroy(struct quota_share *quota_share)
{
	HASH_CLEAR(hh, quota_share->teams);
	return 0;
}

struct quota_share *
quota_share_create(TALLOC_CTX *mem, const struct quota_share_options *options)
{
	struct quota_share *quota_share = talloc_zero(mem, struct quota_share);

	quota_share->options = *options;
	talloc_set_destructor(quota_share, destroy);
	return quota_share;
}

static struct team *find(struct quota_share *quota_share, const char *name)
{
	struct team *team;

	HASH_FIND_STR(quota_share->teams, name, team);
	return team;
}

static void configure_team(struct quota_share *quota_share,
			   const struct config_team *config)
{
	struct team *team = find(quota_share, config->name);

	if (!team) {
		team = talloc_zero(quota_share, struct team);
		team->name = talloc_strdup(team, config->name);
		HASH_ADD_KEYPTR(hh, quota_share->teams, team->name,
				strlen(team->name), team);
	}
	team->configured = true;
	team->quota_milli = (uint64_t)config->tasks_per_s * WHOLE_MILLI;
}

static void number_teams(struct quota_share *quota_share,
			 const struct config_document *doc)
{
	XXH64_hash_t hash = 0;
	struct team *team;

	talloc_free(quota_share->places);
	quota_share->places = talloc_array(quota_share, struct team *,
					   (unsigned)doc->team_count + 1);
	quota_share->place_count = 0;
	for (size_t i = 0; i < doc->team_count; i++) {
		team = find(quota_share, doc->teams[i].name);
		if (!team->quota_milli)
			continue;
		quota_share->places[quota_share->place_count++] = team;
		hash = XXH3_64bits_withSeed(team->name, strlen(team->name),
					    hash + team->quota_milli);
	}
	quota_share->numbering = (uint32_t)hash | 1; /* 0: none */
}

void quota_share_configure(struct quota_share *quota_share,
			   const struct config_document *doc)
{
	struct team *team, *next;

	HASH_ITER(hh, quota_share->teams, team, next)
		team->configured = false;
	for (size_t i = 0; i < doc->team_count; i++)
		configure_team(quota_share, &doc->teams[i]);
	HASH_ITER(hh, quota_share->teams, team, next) {
		if (team->configured)
			continue;
		HASH_DEL(quota_share->teams, team);
		talloc_free(team);
	}
	number_teams(quota_share, doc);
}

uint32_t quota_share_numbering(const struct quota_share *quota_share)
{
	return quota_share->numbering;
}

size_t quota_share_team_count(const struct quota_share *quota_share)
{
	return quota_share->place_count;
}

static size_t index_of(const struct quota_share *quota_share,
		       uint64_t incarnation)
{
	size_t i = 0;

	while (i < quota_share->peer_count &&
	       quota_share->peers[i].incarnation != incarnation)
		i++;
	return i;
}

static void rearrange(struct quota_share *quota_share, struct team *team,
		      const struct quota_share_peer *peers, size_t count)
{
	struct told told[MAX_PEERS] = { 0 };

	for (size_t i = 0; i < count; i++) {
		size_t old = index_of(quota_share, peers[i].incarnation);

		if (old < quota_share->peer_count)
			told[i] = team->told[old];
	}
	memcpy(team->told, told, sizeof(told));
}

void quota_share_set_peers(struct quota_share *quota_share,
			   const struct quota_share_peer *peers, size_t count)
{
	struct quota_share_peer list[MAX_PEERS] = { 0 };
	struct team *team, *next;

	if (count > MAX_PEERS)
		count = MAX_PEERS;
	HASH_ITER(hh, quota_share->teams, team, next)
		rearrange(quota_share, team, peers, count);
	for (size_t i = 0; i < count; i++) {
		size_t old = index_of(quota_share, peers[i].incarnation);

		list[i] = old < quota_share->peer_count
				  ? quota_share->peers[old]
				  : peers[i];
		list[i].cut = peers[i].cut;
		if (list[i].cut)
			list[i].told_all = list[i].numbering = 0;
	}
	memcpy(quota_share->peers, list, sizeof(list));
	quota_share->peer_count = count;
}

/* Has it told all teams by the numbering that is in force here? */
static bool is_synced(const struct quota_share *quota_share,
		      const struct quota_share_peer *peer)
{
	return peer->synced && peer->numbering == quota_share->numbering;
}

bool quota_share_beat(struct quota_share *quota_share, uint64_t peer,
		      uint32_t numbering, bool whole)
{
	size_t i = index_of(quota_share, peer);

	if (i == quota_share->peer_count)
		return false;
	quota_share->peers[i].synced =
		whole || (quota_share->peers[i].synced &&
			  quota_share->peers[i].numbering == numbering);
	quota_share->peers[i].numbering = numbering;
	if (!is_synced(quota_share, &quota_share->peers[i]))
		return false;
	quota_share->heard = true;
	for (size_t p = 0; p < quota_share->place_count; p++)
		quota_share->places[p]->told[i].since_rise =
			quota_share->places[p]->told[i].ever;
	return true;
}

void quota_share_heard(struct quota_share *quota_share, uint64_t peer,
		       size_t place, uint32_t demand, uint32_t share)
{
	size_t i = index_of(quota_share, peer);

	if (i == quota_share->peer_count || place >= quota_share->place_count)
		return;
	quota_share->places[place]->told[i] = (struct told){
		.demand = demand < MAX_DEMAND ? demand : MAX_DEMAND,
		.share = share < QUOTA_SHARE_WHOLE ? share : QUOTA_SHARE_WHOLE,
		.ever = true,
		.since_rise = true,
	};
}

/* Shares */

static const uint32_t floor_parts = QUOTA_SHARE_WHOLE * FLOOR_PERCENT / 100;

/*
 * The first share: what is everyone's own whatever the demand, unless peers
 * already told that they hold the quota. Without it a dispatcher refuses all
 * until it has heard of everybody, though nobody uses the quota.
 */
static void begin(const struct quota_share *quota_share, struct team *team)
{
	team->began = true;
	for (size_t i = 0; i < quota_share->peer_count; i++)
		if (team->told[i].share)
			return;
	team->share = floor_parts / ((uint32_t)quota_share->peer_count + 1);
	team->changed = true;
}

static uint32_t target(const struct quota_share *quota_share,
		       const struct team *team)
{
	uint32_t members = (uint32_t)quota_share->peer_count + 1;
	uint32_t floor = floor_parts;
	uint64_t all = team->demand;

	for (size_t i = 0; i < quota_share->peer_count; i++)
		all += team->told[i].demand;
	if (quota_share->options.even || !all)
		return QUOTA_SHARE_WHOLE / members;
	return floor / members + (uint32_t)((QUOTA_SHARE_WHOLE - floor) *
					    (uint64_t)team->demand / all);
}

/*
 * What nobody holds; 0 unless all were heard since the last rise. One that is
 * cut off does not rise and need not be heard again.
 */
static uint32_t unheld(const struct quota_share *quota_share,
		       const struct team *team)
{
	uint32_t held = team->share;

	for (size_t i = 0; i < quota_share->peer_count; i++) {
		const struct told *t = &team->told[i];

		if (!t->since_rise && (!t->ever || !quota_share->peers[i].cut))
			return 0;
		held += t->share;
	}
	return held < QUOTA_SHARE_WHOLE ? QUOTA_SHARE_WHOLE - held : 0;
}

static void rise(const struct quota_share *quota_share, struct team *team,
		 uint32_t to)
{
	/* The others may rise at the same time: each takes its part. */
	uint32_t part = unheld(quota_share, team) /
			((uint32_t)quota_share->peer_count + 1);
	uint32_t wanted = to - team->share;

	if (!part)
		return;
	team->share += wanted < part ? wanted : part;
	for (size_t i = 0; i < quota_share->peer_count; i++)
		team->told[i].since_rise = false;
}

static void update_team(const struct quota_share *quota_share,
			struct team *team)
{
	uint32_t to = target(quota_share, team);
	uint32_t before = team->share;

	if (!quota_share->peer_count || to < team->share)
		team->share = to;
	else if (to > team->share)
		rise(quota_share, team, to);
	team->changed |= team->share != before;
}

static void take_demand(void *ctx, const char *name, uint64_t tasks)
{
	struct quota_share *quota_share = ctx;
	struct team *team = find(quota_share, name);
	uint64_t now_milli, parts, change;

	if (!team || !team->quota_milli)
		return;
	now_milli = tasks * WHOLE_MILLI * 1000 / quota_share->elapsed_ms;
	team->demand_milli = (team->demand_milli + now_milli) / 2;
	/* Rounded up: a little demand is some. */
	parts = (team->demand_milli * QUOTA_SHARE_WHOLE + team->quota_milli -
		 1) /
		team->quota_milli;
	if (parts > MAX_DEMAND)
		parts = MAX_DEMAND;
	change = parts > team->demand ? parts - team->demand
				      : team->demand - parts;
	if (change * DEMAND_STEP <= team->demand && parts)
		return;
	team->changed |= change != 0;
	team->demand = (uint32_t)parts;
}

void quota_share_update(struct quota_share *quota_share, struct quota *quota,
			uint64_t elapsed_ms, uint64_t now_ms)
{
	if (!elapsed_ms)
		return;
	quota_share->elapsed_ms = elapsed_ms;
	quota_drain_demand(quota, take_demand, quota_share);
	for (size_t i = 0; i < quota_share->place_count; i++) {
		struct team *team = quota_share->places[i];

		if (!team->began)
			begin(quota_share, team);
		/* Cut off, the last share stays as it is. */
		if (quota_share->heard || !quota_share->peer_count)
			update_team(quota_share, team);
		quota_set_share(quota, team->name,
				team->share * WHOLE_MILLI / QUOTA_SHARE_WHOLE,
				now_ms);
	}
	quota_share->heard = false;
}

bool quota_share_each(struct quota_share *quota_share, uint64_t peer, bool all,
		      void (*tell)(void *ctx, size_t place, uint32_t demand,
				   uint32_t share),
		      void *ctx)
{
	size_t i = index_of(quota_share, peer);

	if (i < quota_share->peer_count && quota_share->peers[i].numbering &&
	    quota_share->peers[i].numbering != quota_share->numbering)
		return false; /* it would not take them */
	if (i < quota_share->peer_count) {
		all |= quota_share->peers[i].told_all != quota_share->numbering;
		if (all && quota_share->peers[i].numbering)
			quota_share->peers[i].told_all = quota_share->numbering;
	}
	for (size_t p = 0; p < quota_share->place_count; p++) {
		const struct team *team = quota_share->places[p];

		if (all || team->changed)
			tell(ctx, p, team->demand, team->share);
	}
	return all;
}

void quota_share_told(struct quota_share *quota_share)
{
	for (size_t i = 0; i < quota_share->place_count; i++)
		quota_share->places[i]->changed = false;
}
