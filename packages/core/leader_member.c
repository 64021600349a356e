#include "core/leader_member.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "core/lease_pool.h"

#define FOLLOWER_BEAT_MS 1000 /* between two members that do not lead */
/*
 * Between two members of which neither may claim. On a large site most pairs
 * are of this kind, and decide little about one another.
 */
#define IDLE_BEAT_MS 5000
#define FOLLOWER_VALID_BEATS 4 /* periods after which a member is not live */
/* Links to live members are up this long after the start. */
#define START_WAIT_MS 400
#define UNLINKED_START_WAIT_MS 3000 /* if no member has sent a beat yet */
/*
 * A new candidate does not claim for this long, since a better member may have
 * become a candidate as late; its beat arrives within an idle loop's period.
 */
#define CANDIDATE_WAIT_MS 200
/* After a loss of all instances; several periods of a busy loop. */
#define COLD_CANDIDATE_WAIT_MS 100
#define CLAIM_WAIT_MS LEADER_BEAT_MS /* a leader's beat may be on its way */
#define RANK_WAIT_MS 500 /* for each better candidate */
/*
 * Better candidates that have sent nothing for this long since the leader was
 * lost, though they were asked for a beat, are not waited for: a data centre
 * that is cut off elects its own leader.
 */
#define ELECTION_MS 300
/*
 * Low bits of a claim, which with the milliseconds since 1970 stays below 2^53
 * until 2039. The tokens that a leader uses have the low bits of its claim.
 */
#define CLAIM_LOW_BITS 12
/* For tokens that a leader has used since the last beat that was received. */
#define CLAIM_MARGIN_MS 64
#define MAX_CLAIM ((UINT64_C(1) << 53) - 1)
_Static_assert(POOL_FENCE_STEP == 1 << CLAIM_LOW_BITS,
	       "a token's low bits are those of its claim");
#define PREFERRED_WEIGHT 1000000 /* above all processor shares */
/*
 * A start call times out after 75 ms, and short tasks have some 60 ms to spare.
 * If messages wait longer than this before the leader reads them, starts time
 * out and jobs are late.
 */
#define MAX_LAG_MS 30
#define LAG_WINDOW_MS 200
#define LAG_WINDOWS 2 /* in a row: a pause of the process affects only one */
#define LAG_SAMPLES 16 /* at most, in a window */
/* A slow machine stays slow for seconds; after that it may lead again. */
#define OVERLOADED_MS 10000
/*
 * If this many other members were overloaded too, the load is the cause, and
 * another leader would not help.
 */
#define MAX_OVERLOADED_MEMBERS 2
/*
 * After a cut has healed, links come up within this time; before that, the
 * smaller side's leader must not take the others for its own.
 */
#define MAJORITY_WAIT_MS 2000
#define CLOCK_DRIFT_DIVISOR 50 /* the clocks of two machines, 2% */
#define LOST_MEMBER_TTL_MS 30000 /* until then it counts for the majority */

struct leadership {
	struct leader_options options;
	struct leader_member *members; /* all but this instance */
	uint64_t started_ms;
	uint64_t claim;
	uint64_t highest_claim; /* or token of a leader's orders */
	uint64_t highest_own; /* of these, this instance's */
	uint64_t leader;
	uint64_t leaderless_ms; /* since when nobody leads; 0: a member leads */
	bool resigned; /* the last leader gave up its claim */
	bool eligible; /* has a list of workers */
	uint32_t registered; /* instances, this one included; 0: not known */
	uint64_t candidate_ms; /* since when it may claim; 0: may not */
	bool preferred; /* has had the list of workers for long */
	bool stopping;
	struct {
		uint64_t until_ms;
		uint32_t waits_ms[LAG_SAMPLES];
		uint32_t count;
		uint32_t slow_windows; /* in a row */
	} lag;
	uint64_t overloaded_until_ms; /* 0: not overloaded */
	uint64_t majority_ms; /* since when most members are live; 0: not */
};

/* What the claims of two leaders are compared by. */
struct claimant {
	uint64_t claim;
	uint64_t owner;
	bool majority;
};

static int destroy(struct leadership *leadership)
{
	HASH_CLEAR(hh, leadership->members);
	return 0;
}

struct leadership *leader_create(TALLOC_CTX *mem,
				 const struct leader_options *options)
{
	struct leadership *leadership = talloc_zero(mem, struct leadership);

	leadership->options = *options;
	if (!leadership->options.data_centre)
		leadership->options.data_centre = "";
	leadership->started_ms = options->now_ms;
	leadership->leaderless_ms = options->now_ms;
	talloc_set_destructor(leadership, destroy);
	return leadership;
}

struct leader_member *leader_members(struct leadership *leadership)
{
	return leadership->members;
}

struct leader_member *leader_find(struct leadership *leadership,
				  uint64_t incarnation)
{
	struct leader_member *member;

	HASH_FIND(hh, leadership->members, &incarnation, sizeof(incarnation),
		  member);
	return member;
}

uint64_t leader_claim(const struct leadership *leadership)
{
	return leadership->claim;
}

bool leader_is_outranked(const struct leadership *leadership)
{
	return leadership->claim &&
	       leadership->highest_claim > leadership->highest_own;
}

void leader_note_token(struct leadership *leadership, uint64_t token)
{
	if (token > leadership->highest_own)
		leadership->highest_own = token;
	if (token > leadership->highest_claim)
		leadership->highest_claim = token;
}

uint64_t leader_current(const struct leadership *leadership)
{
	return leadership->leader;
}

uint32_t leader_count_linked(const struct leadership *leadership)
{
	const struct leader_member *m;
	uint32_t count = 0;

	for (m = leadership->members; m; m = m->hh.next)
		count += m->linked;
	return count;
}

static uint64_t beat_period_ms(const struct leadership *leadership,
			       const struct leader_member *member)
{
	if (member->claim || leadership->claim)
		return LEADER_BEAT_MS;
	if (member->weight && leadership->candidate_ms &&
	    leadership->leaderless_ms)
		return LEADER_BEAT_MS;
	if (member->weight || leadership->candidate_ms)
		return FOLLOWER_BEAT_MS;
	return IDLE_BEAT_MS;
}

bool leader_is_live(const struct leadership *leadership,
		    const struct leader_member *member, uint64_t now_ms)
{
	bool leads = member->claim || leadership->claim;
	uint64_t valid_ms = leads ? LEADER_VALID_MS
				  : beat_period_ms(leadership, member) *
					    FOLLOWER_VALID_BEATS;

	return member->linked && member->last_beat_ms &&
	       now_ms - member->last_beat_ms <= valid_ms;
}

/* Majority */

static void update_majority(struct leadership *leadership, uint64_t now_ms)
{
	if (!leadership->claim || !leader_has_majority(leadership, now_ms))
		leadership->majority_ms = 0;
	else if (!leadership->majority_ms)
		leadership->majority_ms = now_ms;
}

static bool leads_majority(const struct leadership *leadership, uint64_t now_ms)
{
	return leadership->claim && leadership->majority_ms &&
	       now_ms - leadership->majority_ms >= MAJORITY_WAIT_MS &&
	       leader_has_majority(leadership, now_ms);
}

void leader_note_pause(struct leadership *leadership)
{
	leadership->majority_ms = 0;
}

/* Links */

/* Removes earlier incarnations of an instance that was restarted. */
static void remove_former_incarnations(struct leadership *leadership,
				       const Bergamot__Hello *hello)
{
	struct leader_member *m, *next;

	HASH_ITER(hh, leadership->members, m, next) {
		if (m->linked || m->incarnation == hello->incarnation ||
		    strcmp(m->instance, hello->instance))
			continue;
		HASH_DEL(leadership->members, m);
		talloc_free(m);
	}
}

void leader_link_up(struct leadership *leadership, const Bergamot__Hello *hello,
		    uint64_t now_ms)
{
	struct leader_member *member =
		leader_find(leadership, hello->incarnation);

	if (hello->incarnation == leadership->options.incarnation)
		return;
	remove_former_incarnations(leadership, hello);
	if (!member) {
		member = talloc_zero(leadership, struct leader_member);
		member->incarnation = hello->incarnation;
		member->instance = talloc_strdup(member, hello->instance);
		member->address = talloc_strdup(member, hello->address);
		member->data_centre = talloc_strdup(member, hello->data_centre);
		HASH_ADD(hh, leadership->members, incarnation,
			 sizeof(member->incarnation), member);
	}
	log_info(LOG_MEMBER, "member %s (%016" PRIx64 ") at %s: link up",
		 member->instance, member->incarnation, member->address);
	member->linked = true;
	member->link_has_beat = false;
	member->link_changed_ms = now_ms;
	if (leadership->claim &&
	    member->valid_until_ms < now_ms + LEADER_LINK_VALID_MS)
		member->valid_until_ms = now_ms + LEADER_LINK_VALID_MS;
	member->beat_due_ms = 0;
	member->listed_ms = 0;
}

void leader_link_down(struct leadership *leadership, uint64_t incarnation,
		      uint64_t now_ms)
{
	struct leader_member *member = leader_find(leadership, incarnation);

	if (!member)
		return;
	log_info(LOG_MEMBER,
		 "member %s (%016" PRIx64 "): link down, last beat %" PRIu64
		 " ms ago, claim %" PRIu64,
		 member->instance, incarnation,
		 member->last_beat_ms ? now_ms - member->last_beat_ms : 0,
		 member->claim);
	member->linked = false;
	member->link_changed_ms = now_ms;
	member->valid_until_ms = 0;
}

static void remove_lost_members(struct leadership *leadership, uint64_t now_ms)
{
	struct leader_member *m, *next;

	HASH_ITER(hh, leadership->members, m, next) {
		if (m->linked ||
		    now_ms - m->link_changed_ms < LOST_MEMBER_TTL_MS)
			continue;
		HASH_DEL(leadership->members, m);
		talloc_free(m);
	}
}

/* Beats */

void leader_record_lag(struct leadership *leadership, uint64_t lag_ms)
{
	if (leadership->claim)
		leadership->lag
			.waits_ms[leadership->lag.count++ % LAG_SAMPLES] =
			(uint32_t)lag_ms;
}

static void update_clock(struct leader_member *member, uint64_t clock_ms,
			 uint64_t now_ms)
{
	int64_t ahead_ms = (int64_t)(clock_ms - now_ms);
	int64_t drift_ms = (int64_t)((now_ms - member->last_beat_ms) /
				     CLOCK_DRIFT_DIVISOR);

	if (!member->last_beat_ms ||
	    ahead_ms > member->clock_ahead_ms - drift_ms)
		member->clock_ahead_ms = ahead_ms;
	else
		member->clock_ahead_ms -= drift_ms;
	member->clock_ms = clock_ms;
}

uint64_t leader_clock_of(const struct leader_member *member, uint64_t now_ms)
{
	uint64_t drift_ms =
		(now_ms - member->last_beat_ms) / CLOCK_DRIFT_DIVISOR;

	if (!member->last_beat_ms)
		return 0;
	return now_ms + (uint64_t)member->clock_ahead_ms - drift_ms;
}

void leader_receive_beat(struct leadership *leadership, uint64_t incarnation,
			 const Bergamot__LeaderBeat *beat, uint64_t now_ms)
{
	struct leader_member *member = leader_find(leadership, incarnation);

	if (!member)
		return;
	/* No claim could go above it, and no clock shows such a time. */
	if (beat->claim > MAX_CLAIM || beat->highest_claim > MAX_CLAIM ||
	    beat->clock_ms > MAX_CLAIM) {
		log_warning(LOG_MEMBER,
			    "dropped a beat of member %s: claim %" PRIu64
			    ", highest claim %" PRIu64 ", clock %" PRIu64
			    ", limit %" PRIu64,
			    member->instance, beat->claim, beat->highest_claim,
			    beat->clock_ms, MAX_CLAIM);
		return;
	}
	member->resigned = member->claim && !beat->claim;
	if (member->claim != beat->claim) {
		/* The beat period changes, and may now be shorter. */
		member->beat_due_ms = 0;
		log_info(LOG_MEMBER,
			 "member %s: claim is now %" PRIu64 ", was %" PRIu64
			 "%s",
			 member->instance, beat->claim, member->claim,
			 beat->stopping ? ", stopping" : "");
	}
	if (member->resigned && leadership->leader == incarnation)
		leadership->resigned = true;
	if (!member->weight && beat->weight)
		member->beat_due_ms = 0; /* the beat period becomes shorter */
	if (beat->leaderless && beat->weight && leadership->candidate_ms &&
	    !leadership->leaderless_ms)
		member->beat_due_ms = 0;
	update_clock(member, beat->clock_ms, now_ms);
	member->last_beat_ms = now_ms;
	member->link_has_beat = true;
	member->claim = beat->claim;
	member->majority = beat->claim && beat->majority;
	member->leaderless = beat->leaderless;
	member->weight = beat->weight;
	member->share = beat->share;
	member->stopping = beat->stopping;
	member->overloaded = beat->overloaded;
	member->config_version = beat->config_version;
	if (beat->echo_ms <= now_ms && beat->echo_ms > member->echoed_ms)
		member->echoed_ms = beat->echo_ms;
	if (beat->echo_ms && beat->echo_ms <= now_ms &&
	    beat->echo_ms + LEADER_VALID_MS > member->valid_until_ms)
		member->valid_until_ms = beat->echo_ms + LEADER_VALID_MS;
	if (beat->highest_claim > leadership->highest_claim)
		leadership->highest_claim = beat->highest_claim;
	if (beat->claim > leadership->highest_claim)
		leadership->highest_claim = beat->claim;
}

static uint32_t own_weight(const struct leadership *leadership)
{
	return leadership->options.weight +
	       (leadership->preferred ? PREFERRED_WEIGHT : 0);
}

void leader_fill_beat(struct leadership *leadership,
		      const struct leader_member *member,
		      Bergamot__LeaderBeat *beat, uint64_t now_ms)
{
	beat->claim = leadership->claim;
	beat->highest_claim = leadership->highest_claim;
	beat->weight = leadership->candidate_ms ? own_weight(leadership) : 0;
	beat->share = leadership->overloaded_until_ms
			      ? 0
			      : leadership->options.weight;
	beat->overloaded = leadership->overloaded_until_ms != 0;
	beat->clock_ms = now_ms;
	beat->echo_ms = member->clock_ms;
	beat->stopping = leadership->stopping;
	beat->leaderless = leadership->leaderless_ms != 0;
	beat->majority = leads_majority(leadership, now_ms);
}

bool leader_beat_due(struct leadership *leadership,
		     struct leader_member *member, uint64_t now_ms)
{
	if (!member->linked || member->beat_due_ms > now_ms)
		return false;
	member->beat_due_ms = now_ms + beat_period_ms(leadership, member);
	return true;
}

/* Decisions */

static void schedule_beats_now(struct leadership *leadership)
{
	struct leader_member *member;

	for (member = leadership->members; member; member = member->hh.next)
		member->beat_due_ms = 0;
}

void leader_set_eligible(struct leadership *leadership, bool eligible)
{
	leadership->eligible = eligible;
}

void leader_set_registered(struct leadership *leadership, uint32_t count)
{
	leadership->registered = count;
}

void leader_set_preferred(struct leadership *leadership, bool preferred)
{
	leadership->preferred = preferred;
}

/*
 * The high bits are the time of day, or a later time if needed to exceed every
 * claim received. The low bits are a part of the incarnation, since several
 * members may claim within one millisecond.
 */
static uint64_t next_claim(const struct leadership *leadership,
			   uint64_t wall_ms)
{
	uint64_t highest_ms = leadership->highest_claim >> CLAIM_LOW_BITS;
	uint64_t ms =
		wall_ms > highest_ms ? wall_ms : highest_ms + CLAIM_MARGIN_MS;
	uint64_t own = leadership->options.incarnation ^
		       leadership->options.incarnation >> 32;

	return ms << CLAIM_LOW_BITS | own % POOL_FENCE_STEP;
}

/*
 * Beats between members that do not lead are sparse, so that their validity may
 * have ended by the time one of them starts to lead.
 */
static void renew_validity(struct leadership *leadership, uint64_t now_ms)
{
	struct leader_member *m;

	for (m = leadership->members; m; m = m->hh.next)
		if (m->linked)
			m->valid_until_ms = now_ms + LEADER_VALID_MS;
}

void leader_raise_claim(struct leadership *leadership, uint64_t now_ms,
			uint64_t wall_ms)
{
	/* A claim that is raised proves nothing of silent members. */
	if (!leadership->claim)
		renew_validity(leadership, now_ms);
	leadership->claim = next_claim(leadership, wall_ms);
	memset(&leadership->lag, 0, sizeof(leadership->lag));
	leadership->highest_own = leadership->claim;
	leadership->highest_claim = leadership->claim;
	leadership->leader = leadership->options.incarnation;
	leadership->leaderless_ms = 0;
	leadership->resigned = false;
	log_info(LOG_MEMBER, "this instance leads with claim %" PRIu64,
		 leadership->claim);
	schedule_beats_now(leadership);
}

void leader_stop(struct leadership *leadership)
{
	leadership->stopping = true;
	if (leadership->claim)
		log_info(LOG_MEMBER,
			 "this instance gives up claim %" PRIu64 ": stopping",
			 leadership->claim);
	leadership->claim = 0;
	if (leadership->leader == leadership->options.incarnation)
		leadership->leader = 0;
	schedule_beats_now(leadership);
}

/* Compares weights, and for equal ones the incarnations. */
static bool ranks_before(const struct leadership *leadership,
			 const struct leader_member *m, uint32_t weight,
			 uint32_t our_weight)
{
	return weight > our_weight ||
	       (weight == our_weight &&
		m->incarnation < leadership->options.incarnation);
}

static bool is_unreachable(const struct leadership *leadership,
			   const struct leader_member *m, uint64_t now_ms)
{
	return leadership->leaderless_ms &&
	       now_ms - leadership->leaderless_ms >= ELECTION_MS &&
	       m->last_beat_ms < leadership->leaderless_ms;
}

/* Counts the live candidates that claim before this instance does. */
static uint32_t count_better_candidates(struct leadership *leadership,
					uint64_t now_ms)
{
	const struct leader_member *m;
	uint32_t weight = own_weight(leadership);
	uint32_t rank = 0;

	for (m = leadership->members; m; m = m->hh.next) {
		if (!m->weight || m->stopping ||
		    !leader_is_live(leadership, m, now_ms) ||
		    is_unreachable(leadership, m, now_ms))
			continue;
		rank += ranks_before(leadership, m, m->weight, weight);
	}
	return rank;
}

uint32_t leader_count_better_local(const struct leadership *leadership,
				   uint64_t now_ms)
{
	const struct leader_member *m;
	uint32_t share = leadership->options.weight;
	uint32_t better = 0;

	for (m = leadership->members; m; m = m->hh.next)
		if (!m->stopping && leader_is_live(leadership, m, now_ms) &&
		    !strcmp(m->data_centre, leadership->options.data_centre))
			better += ranks_before(leadership, m, m->share, share);
	return better;
}

static bool has_received_beat(const struct leadership *leadership)
{
	const struct leader_member *m;

	for (m = leadership->members; m; m = m->hh.next)
		if (m->linked && m->last_beat_ms)
			return true;
	return false;
}

/*
 * Returns true if this instance has just started, most of the registered ones
 * are linked, and none of them knows of a leader: all have lost power.
 */
static bool is_cold_start(const struct leadership *leadership, uint64_t now_ms)
{
	const struct leader_member *m;
	uint32_t leaderless = 1;

#ifdef BREAK_COLD_START
	return true;
#endif
	if (!leadership->registered || leadership->leader ||
	    now_ms - leadership->started_ms >= UNLINKED_START_WAIT_MS)
		return false;
	for (m = leadership->members; m; m = m->hh.next) {
		if (!m->linked || !m->last_beat_ms)
			continue;
		if (!m->leaderless)
			return false;
		leaderless++;
	}
	return leaderless * 2 > leadership->registered;
}

static uint64_t start_wait_ms(const struct leadership *leadership,
			      uint64_t now_ms)
{
	if (is_cold_start(leadership, now_ms))
		return 0;
	return has_received_beat(leadership) ? START_WAIT_MS
					     : UNLINKED_START_WAIT_MS;
}

/*
 * Other candidates wait for a better one to claim. An instance that has just
 * started is no candidate, since it would not claim yet.
 */
static void update_candidacy(struct leadership *leadership, uint64_t now_ms)
{
	bool may = leadership->eligible && !leadership->stopping &&
		   !leadership->overloaded_until_ms &&
		   (leadership->candidate_ms ||
		    now_ms - leadership->started_ms >=
			    start_wait_ms(leadership, now_ms));

	if (may == (leadership->candidate_ms != 0))
		return;
	leadership->candidate_ms = may ? now_ms : 0;
	/* others may now wait for us, or no longer */
	schedule_beats_now(leadership);
}

static bool may_claim(struct leadership *leadership, uint64_t now_ms)
{
	uint64_t wait_ms = leadership->resigned ? 0 : CLAIM_WAIT_MS;
	uint64_t candidate_wait_ms = CANDIDATE_WAIT_MS;
	uint64_t rank_ms;

	if (!leadership->candidate_ms)
		return false;
	if (is_cold_start(leadership, now_ms))
		candidate_wait_ms = COLD_CANDIDATE_WAIT_MS;
	rank_ms = (uint64_t)count_better_candidates(leadership, now_ms) *
		  RANK_WAIT_MS;
	if (now_ms - leadership->candidate_ms < candidate_wait_ms + rank_ms)
		return false;
	return now_ms - leadership->leaderless_ms >= wait_ms + rank_ms;
}

/*
 * Returns true if a leader's claim goes before another's. Equal claims, which
 * are rare, are ordered by their owners' incarnations.
 */
static bool is_above(const struct claimant *a, const struct claimant *b)
{
	if (a->majority != b->majority)
		return a->majority;
	if (a->claim != b->claim)
		return a->claim > b->claim;
	return a->owner > b->owner;
}

static struct claimant member_claimant(const struct leader_member *m)
{
	return (struct claimant){ m->claim, m->incarnation, m->majority };
}

static bool is_above_us(const struct leadership *leadership,
			const struct leader_member *m, uint64_t now_ms)
{
	struct claimant theirs = member_claimant(m);
	struct claimant ours = {
		.claim = leadership->claim,
		.owner = leadership->options.incarnation,
		.majority = leads_majority(leadership, now_ms),
	};

	return is_above(&theirs, &ours);
}

static const struct leader_member *
find_highest_claim(struct leadership *leadership, uint64_t now_ms)
{
	struct claimant best_claimant = { 0 };
	const struct leader_member *best = NULL;
	const struct leader_member *m;

	for (m = leadership->members; m; m = m->hh.next) {
		struct claimant claimant = member_claimant(m);

		if (!m->claim || !leader_is_live(leadership, m, now_ms) ||
		    (best && !is_above(&claimant, &best_claimant)))
			continue;
		best = m;
		best_claimant = claimant;
	}
	return best;
}

/* Returns true if there is another candidate and few members are overloaded. */
static bool can_hand_over(struct leadership *leadership, uint64_t now_ms)
{
	const struct leader_member *m;
	uint32_t candidates = 0;
	uint32_t overloaded = 0;

	for (m = leadership->members; m; m = m->hh.next) {
		if (!leader_is_live(leadership, m, now_ms) || m->stopping)
			continue;
		candidates += m->weight != 0;
		overloaded += m->overloaded;
	}
	return candidates && overloaded < MAX_OVERLOADED_MEMBERS;
}

static int compare_waits(const void *a, const void *b)
{
	uint32_t wait_a = *(const uint32_t *)a;
	uint32_t wait_b = *(const uint32_t *)b;

	return (wait_a > wait_b) - (wait_a < wait_b);
}

static uint32_t median_wait(struct leadership *leadership)
{
	uint32_t *waits_ms = leadership->lag.waits_ms;
	uint32_t count = leadership->lag.count < LAG_SAMPLES
				 ? leadership->lag.count
				 : LAG_SAMPLES;

	qsort(waits_ms, count, sizeof(*waits_ms), compare_waits);
	return count ? waits_ms[count / 2] : 0;
}

/* Gives up the claim if messages to this instance wait for too long. */
static void check_lag(struct leadership *leadership, uint64_t now_ms)
{
	uint32_t median_ms;

	if (leadership->overloaded_until_ms &&
	    leadership->overloaded_until_ms <= now_ms)
		leadership->overloaded_until_ms = 0;
	if (!leadership->claim || now_ms < leadership->lag.until_ms)
		return;
	leadership->lag.until_ms = now_ms + LAG_WINDOW_MS;
	median_ms = median_wait(leadership);
	leadership->lag.count = 0;
	leadership->lag.slow_windows =
		median_ms > MAX_LAG_MS ? leadership->lag.slow_windows + 1 : 0;
	if (leadership->lag.slow_windows < LAG_WINDOWS ||
	    !can_hand_over(leadership, now_ms))
		return;
	log_warning(LOG_MEMBER,
		    "this instance gives up claim %" PRIu64 ": messages wait "
		    "%u ms until they are read, limit %d ms",
		    leadership->claim, median_ms, MAX_LAG_MS);
	leadership->claim = 0;
	leadership->overloaded_until_ms = now_ms + OVERLOADED_MS;
	schedule_beats_now(leadership);
}

bool leader_is_overloaded(const struct leadership *leadership)
{
	return leadership->overloaded_until_ms != 0;
}

void leader_elect(struct leadership *leadership, uint64_t now_ms,
		  uint64_t wall_ms)
{
	const struct leader_member *best =
		find_highest_claim(leadership, now_ms);
	uint64_t before = leadership->leader;

	remove_lost_members(leadership, now_ms);
	update_majority(leadership, now_ms);
	check_lag(leadership, now_ms);
	update_candidacy(leadership, now_ms);
	if (leadership->claim && best &&
	    is_above_us(leadership, best, now_ms)) {
		log_info(LOG_MEMBER,
			 "this instance gives up claim %" PRIu64
			 ": member %s has claim %" PRIu64 "%s",
			 leadership->claim, best->instance, best->claim,
			 best->majority ? " and the majority" : "");
		leadership->claim = 0;
		schedule_beats_now(leadership);
	}
	if (leadership->claim)
		leadership->leader = leadership->options.incarnation;
	else
		leadership->leader = best ? best->incarnation : 0;
	if (leadership->leader) {
		leadership->leaderless_ms = 0;
		leadership->resigned = false;
	} else if (!leadership->leaderless_ms) {
		leadership->leaderless_ms = now_ms;
		schedule_beats_now(leadership);
	}
	if (!leadership->leader && may_claim(leadership, now_ms))
		leader_raise_claim(leadership, now_ms, wall_ms);
	if (leadership->leader != before)
		log_info(LOG_MEMBER,
			 "leader is now %016" PRIx64 ", was %016" PRIx64,
			 leadership->leader, before);
}

bool leader_has_majority(const struct leadership *leadership, uint64_t now_ms)
{
	const struct leader_member *m;
	uint32_t count = 1;
	uint32_t live = 1;

	for (m = leadership->members; m; m = m->hh.next) {
		count++;
		live += leader_is_live(leadership, m, now_ms);
	}
	return live * 2 > count;
}
