#include "core/quota_share.h"

#include <inttypes.h>
#include <string.h>
#include <sys/queue.h>

#include "base/hash_table.h"

/* Of a quota; divided evenly among dispatchers whatever their demand. */
#define FLOOR_PERCENT 10
/*
 * Of a quota; the sum of newcomers' first shares while their peers hold the
 * whole. The shares exceed the quota by at most this part, until the peers have
 * a heartbeat of each newcomer.
 */
#ifdef BREAK_FIRST_SHARE
#define FIRST_PERCENT 0
#else
#define FIRST_PERCENT 5
#endif
#define MAX_PEERS 64
#define WHOLE_MILLI 1000
#define MAX_DEMAND (1u << 30) /* parts of a quota; sums do not overflow */
#define DEMAND_CHANGE_DIVISOR 64 /* changes up to 1 / 64 are not sent */

/* A peer's last report on a team, in parts of the team's quota. */
struct peer_report {
	uint32_t demand;
	uint32_t share;
	bool received; /* false until the peer's first report */
	bool since_rise; /* confirmed since this dispatcher's share rose */
};

struct team {
	UT_hash_handle hh;
	char *name;
	bool configured;
	uint64_t quota_milli;
	uint64_t demand_milli; /* per second, decaying */
	uint32_t demand; /* in parts of the quota, as sent to peers */
	uint32_t share; /* in parts of the quota */
	bool changed; /* since the last heartbeat */
	bool has_first_share;
	struct peer_report reports[MAX_PEERS]; /* by index in peers */
};

struct quota_share {
	struct quota_share_options options;
	struct team *teams;
	struct team **places; /* teams with a quota, in document order */
	size_t place_count;
	uint32_t numbering;
	struct quota_share_peer peers[MAX_PEERS];
	size_t peer_count;
	bool heartbeat_received; /* from a synced peer since the last update */
	uint64_t elapsed_ms; /* between the last update and this one */
};

/* uthash does not allocate its tables with talloc. */
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

static struct team *find_team(struct quota_share *quota_share, const char *name)
{
	struct team *team;

	HASH_FIND_STR(quota_share->teams, name, team);
	return team;
}

static void configure_team(struct quota_share *quota_share,
			   const struct config_team *config)
{
	struct team *team = find_team(quota_share, config->name);

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
		team = find_team(quota_share, doc->teams[i].name);
		if (!team->quota_milli)
			continue;
		quota_share->places[quota_share->place_count++] = team;
		hash = XXH3_64bits_withSeed(team->name, strlen(team->name),
					    hash + team->quota_milli);
	}
	quota_share->numbering = (uint32_t)hash | 1; /* 0 means unknown */
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

static void reorder_reports(struct quota_share *quota_share, struct team *team,
			    const struct quota_share_peer *peers, size_t count)
{
	struct peer_report reports[MAX_PEERS] = { 0 };

	for (size_t i = 0; i < count; i++) {
		size_t old = index_of(quota_share, peers[i].incarnation);

		if (old < quota_share->peer_count)
			reports[i] = team->reports[old];
	}
	memcpy(team->reports, reports, sizeof(reports));
}

void quota_share_set_peers(struct quota_share *quota_share,
			   const struct quota_share_peer *peers, size_t count)
{
	struct quota_share_peer list[MAX_PEERS] = { 0 };
	struct team *team, *next;

	if (count > MAX_PEERS)
		count = MAX_PEERS;
	HASH_ITER(hh, quota_share->teams, team, next)
		reorder_reports(quota_share, team, peers, count);
	for (size_t i = 0; i < count; i++) {
		size_t old = index_of(quota_share, peers[i].incarnation);

		list[i] = old < quota_share->peer_count
				  ? quota_share->peers[old]
				  : peers[i];
		list[i].disconnected = peers[i].disconnected;
		if (list[i].disconnected)
			list[i].sent_numbering = list[i].numbering = 0;
	}
	memcpy(quota_share->peers, list, sizeof(list));
	quota_share->peer_count = count;
}

/* Returns true if the peer has reported all teams by this numbering. */
static bool is_synced(const struct quota_share *quota_share,
		      const struct quota_share_peer *peer)
{
	return peer->synced && peer->numbering == quota_share->numbering;
}

bool quota_share_handle_heartbeat(struct quota_share *quota_share,
				  uint64_t peer, uint32_t numbering, bool whole,
				  uint64_t now_ms)
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
	quota_share->heartbeat_received = true;
	quota_share->peers[i].heartbeat_ms = now_ms;
	for (size_t p = 0; p < quota_share->place_count; p++)
		quota_share->places[p]->reports[i].since_rise =
			quota_share->places[p]->reports[i].received;
	return true;
}

void quota_share_set_report(struct quota_share *quota_share, uint64_t peer,
			    size_t place, uint32_t demand, uint32_t share)
{
	size_t i = index_of(quota_share, peer);

	if (i == quota_share->peer_count || place >= quota_share->place_count)
		return;
	quota_share->places[place]->reports[i] = (struct peer_report){
		.demand = demand < MAX_DEMAND ? demand : MAX_DEMAND,
		.share = share < QUOTA_SHARE_WHOLE ? share : QUOTA_SHARE_WHOLE,
		.received = true,
		.since_rise = true,
	};
}

/* Shares */

static const uint32_t floor_parts = QUOTA_SHARE_WHOLE * FLOOR_PERCENT / 100;
static const uint32_t first_parts = QUOTA_SHARE_WHOLE * FIRST_PERCENT / 100;

/*
 * Sets the first share to this dispatcher's part of the floor, or of
 * first_parts if a peer has reported a share. Without a first share, a
 * dispatcher would refuse all jobs until every peer has reported and lowered
 * its share, though nobody uses the quota.
 */
static void set_first_share(const struct quota_share *quota_share,
			    struct team *team)
{
	uint32_t members = (uint32_t)quota_share->peer_count + 1;

	team->has_first_share = true;
	team->changed = true;
	team->share = floor_parts / members;
	for (size_t i = 0; i < quota_share->peer_count; i++)
		if (team->reports[i].share)
			team->share = first_parts / members;
}

static uint32_t target_share(const struct quota_share *quota_share,
			     const struct team *team)
{
	uint32_t members = (uint32_t)quota_share->peer_count + 1;
	uint32_t floor = floor_parts;
	uint64_t all = team->demand;

	for (size_t i = 0; i < quota_share->peer_count; i++)
		all += team->reports[i].demand;
	if (quota_share->options.even || !all)
		return QUOTA_SHARE_WHOLE / members;
	return floor / members + (uint32_t)((QUOTA_SHARE_WHOLE - floor) *
					    (uint64_t)team->demand / all);
}

/*
 * Returns the part of the quota in nobody's share, or 0 if a peer has sent no
 * heartbeat since this share last rose. A peer without a link needs to have
 * reported once only, as its share does not rise.
 */
static uint32_t unassigned_share(const struct quota_share *quota_share,
				 const struct team *team)
{
	uint32_t assigned = team->share;

	for (size_t i = 0; i < quota_share->peer_count; i++) {
		const struct peer_report *r = &team->reports[i];

		if (!r->since_rise &&
		    (!r->received || !quota_share->peers[i].disconnected))
			return 0;
		assigned += r->share;
	}
	return assigned < QUOTA_SHARE_WHOLE ? QUOTA_SHARE_WHOLE - assigned : 0;
}

static void raise_share(const struct quota_share *quota_share,
			struct team *team, uint32_t to)
{
	/* All dispatchers may do this at once, so each takes an equal part. */
	uint32_t part = unassigned_share(quota_share, team) /
			((uint32_t)quota_share->peer_count + 1);
	uint32_t missing = to - team->share;

	if (!part)
		return;
	team->share += missing < part ? missing : part;
	for (size_t i = 0; i < quota_share->peer_count; i++)
		team->reports[i].since_rise = false;
}

static void update_team(const struct quota_share *quota_share,
			struct team *team)
{
	uint32_t to = target_share(quota_share, team);
	uint32_t before = team->share;

	if (!quota_share->peer_count || to < team->share)
		team->share = to;
	else if (to > team->share)
		raise_share(quota_share, team, to);
	team->changed |= team->share != before;
}

static void add_demand(void *ctx, const char *name, uint64_t tasks)
{
	struct quota_share *quota_share = ctx;
	struct team *team = find_team(quota_share, name);
	uint64_t now_milli, parts, change;

	if (!team || !team->quota_milli)
		return;
	now_milli = tasks * WHOLE_MILLI * 1000 / quota_share->elapsed_ms;
	team->demand_milli = (team->demand_milli + now_milli) / 2;
	/* Rounded up, so that any demand counts. */
	parts = (team->demand_milli * QUOTA_SHARE_WHOLE + team->quota_milli -
		 1) /
		team->quota_milli;
	if (parts > MAX_DEMAND)
		parts = MAX_DEMAND;
	change = parts > team->demand ? parts - team->demand
				      : team->demand - parts;
	if (change * DEMAND_CHANGE_DIVISOR <= team->demand && parts)
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
	quota_report_demand(quota, add_demand, quota_share);
	for (size_t i = 0; i < quota_share->place_count; i++) {
		struct team *team = quota_share->places[i];

		if (!team->has_first_share)
			set_first_share(quota_share, team);
		/* Without a heartbeat of any peer, the share stays. */
		if (quota_share->heartbeat_received || !quota_share->peer_count)
			update_team(quota_share, team);
		quota_set_share(quota, team->name,
				team->share * WHOLE_MILLI / QUOTA_SHARE_WHOLE,
				now_ms);
	}
	quota_share->heartbeat_received = false;
}

bool quota_share_each_change(struct quota_share *quota_share, uint64_t peer,
			     bool all,
			     void (*report)(void *ctx, size_t place,
					    uint32_t demand, uint32_t share),
			     void *ctx)
{
	size_t i = index_of(quota_share, peer);

	if (i < quota_share->peer_count && quota_share->peers[i].numbering &&
	    quota_share->peers[i].numbering != quota_share->numbering)
		return false; /* the peer would ignore the rates */
	if (i < quota_share->peer_count) {
		all |= quota_share->peers[i].sent_numbering !=
		       quota_share->numbering;
		if (all && quota_share->peers[i].numbering)
			quota_share->peers[i].sent_numbering =
				quota_share->numbering;
	}
	for (size_t p = 0; p < quota_share->place_count; p++) {
		const struct team *team = quota_share->places[p];

		if (all || team->changed)
			report(ctx, p, team->demand, team->share);
	}
	return all;
}

void quota_share_clear_changes(struct quota_share *quota_share)
{
	for (size_t i = 0; i < quota_share->place_count; i++)
		quota_share->places[i]->changed = false;
}

static double part_of_whole(uint32_t parts)
{
	return (double)parts / QUOTA_SHARE_WHOLE;
}

char *quota_share_describe(TALLOC_CTX *mem, struct quota_share *quota_share,
			   const char *name, uint64_t now_ms)
{
	const struct team *team = find_team(quota_share, name);
	char *text = talloc_asprintf(mem, "%zu peers", quota_share->peer_count);

	for (size_t i = 0; team && i < quota_share->peer_count; i++) {
		const struct quota_share_peer *peer = &quota_share->peers[i];
		const struct peer_report *r = &team->reports[i];

		text = talloc_asprintf_append(
			text, "; %016" PRIx64 "%s: ", peer->incarnation,
			peer->disconnected ? " (no link)" : "");
		if (r->received)
			text = talloc_asprintf_append(
				text,
				"share %.3f, demand %.3f, %" PRIu64 " ms ago",
				part_of_whole(r->share),
				part_of_whole(r->demand),
				now_ms - peer->heartbeat_ms);
		else
			text = talloc_strdup_append(text, "no report");
	}
	return text;
}
