#include "core/leader_member.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

#define QUIET_BEAT_MS 1000 /* between two that do not lead */
#define QUIET_VALID_MS 4000 /* four of these beats */
#define START_WAIT_MS 400 /* links to live members are up by then */
#define LONE_START_WAIT_MS 3000 /* without any link so far */
/* Others that became candidates then have told, at the idle loop's pace. */
#define CANDIDATE_WAIT_MS 200
#define CLAIM_WAIT_MS LEADER_BEAT_MS /* a leader's beat may be on its way */
#define RANK_WAIT_MS 500 /* for each better candidate */
/* Of a claim; with the milliseconds since 1970 it stays below 2^53. */
#define OWN_BITS 11
#define MATURE_WEIGHT 1000000 /* above all shares, in thousandths */
/*
 * Starts are given up as not answered after 75 ms, and short tasks have some 60
 * ms to spare: a leader in front of which messages wait longer serves nobody.
 */
#define LAG_MS 30
#define LAG_WINDOW_MS 200
#define LAG_WINDOWS 2 /* in a row: a pause of the process shows in one */
#define LAG_COUNT 16 /* measured in a window, at the most */
/* A slow machine stays slow for seconds; then it may lead again. */
#define OVERLOADED_MS 10000
/* Where so many others could not keep up either, the load is the cause. */
#define MOST_OVERLOADED 2
#define FORGET_MS 30000 /* a lost member counts for majorities so long */

struct leadership {
	struct leader_options options;
	struct leader_member *members; /* without us */
	uint64_t started_ms;
	uint64_t claim;
	uint64_t highest_claim;
	uint64_t leader;
	uint64_t leaderless_ms; /* since when; 0: somebody leads */
	bool resigned; /* the last leader gave up by itself */
	bool able;
	uint64_t candidate_ms; /* may claim since then; 0: may not */
	bool mature;
	bool stopping;
	struct {
		uint64_t until_ms;
		uint32_t waits_ms[LAG_COUNT]; /* as measured */
		uint32_t count;
		uint32_t slow; /* windows in a row */
	} lag;
	uint64_t overloaded_until_ms; /* 0: not */
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
	       leadership->highest_claim > leadership->claim;
}

uint64_t leader_current(const struct leadership *leadership)
{
	return leadership->leader;
}

uint32_t leader_linked(const struct leadership *leadership)
{
	const struct leader_member *m;
	uint32_t count = 0;

	for (m = leadership->members; m; m = m->hh.next)
		count += m->linked;
	return count;
}

bool leader_is_live(const struct leadership *leadership,
		    const struct leader_member *member, uint64_t now_ms)
{
	bool leads = member->claim || leadership->claim;
	uint64_t valid_ms = leads ? LEADER_VALID_MS : QUIET_VALID_MS;

	return member->linked && member->heard_ms &&
	       now_ms - member->heard_ms <= valid_ms;
}

/* Links */

/* An instance that was started again has a new incarnation. */
static void forget_former(struct leadership *leadership,
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
	forget_former(leadership, hello);
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
	member->linked_ms = now_ms;
	member->beat_due_ms = 0;
}

void leader_link_down(struct leadership *leadership, uint64_t incarnation,
		      uint64_t now_ms)
{
	struct leader_member *member = leader_find(leadership, incarnation);

	if (!member)
		return;
	log_info(LOG_MEMBER,
		 "member %s (%016" PRIx64 "): link down, heard %" PRIu64
		 " ms ago, claim %" PRIu64,
		 member->instance, incarnation,
		 member->heard_ms ? now_ms - member->heard_ms : 0,
		 member->claim);
	member->linked = false;
	member->linked_ms = now_ms;
}

static void forget_lost(struct leadership *leadership, uint64_t now_ms)
{
	struct leader_member *m, *next;

	HASH_ITER(hh, leadership->members, m, next) {
		if (m->linked || now_ms - m->linked_ms < FORGET_MS)
			continue;
		HASH_DEL(leadership->members, m);
		talloc_free(m);
	}
}

/* Beats */

void leader_note_lag(struct leadership *leadership, uint64_t lag_ms)
{
	if (leadership->claim)
		leadership->lag.waits_ms[leadership->lag.count++ % LAG_COUNT] =
			(uint32_t)lag_ms;
}

void leader_take_beat(struct leadership *leadership, uint64_t incarnation,
		      const Bergamot__LeaderBeat *beat, uint64_t now_ms)
{
	struct leader_member *member = leader_find(leadership, incarnation);

	if (!member)
		return;
	member->resigned = member->claim && !beat->claim;
	if (member->claim != beat->claim) {
		/* The pace of beats changes; the next one must not be late. */
		member->beat_due_ms = 0;
		log_info(LOG_MEMBER,
			 "member %s: claim %" PRIu64 " after %" PRIu64 "%s",
			 member->instance, beat->claim, member->claim,
			 beat->stopping ? ", stopping" : "");
	}
	if (member->resigned && leadership->leader == incarnation)
		leadership->resigned = true;
	member->heard_ms = now_ms;
	member->clock_ms = beat->clock_ms;
	member->claim = beat->claim;
	member->weight = beat->weight;
	member->share = beat->share;
	member->stopping = beat->stopping;
	member->overloaded = beat->overloaded;
	member->config_version = beat->config_version;
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
	       (leadership->mature ? MATURE_WEIGHT : 0);
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
}

bool leader_beat_due(struct leadership *leadership,
		     struct leader_member *member, uint64_t now_ms)
{
	bool leads = member->claim || leadership->claim;

	if (!member->linked || member->beat_due_ms > now_ms)
		return false;
	member->beat_due_ms = now_ms + (leads ? LEADER_BEAT_MS : QUIET_BEAT_MS);
	return true;
}

/* Decisions */

static void beat_at_once(struct leadership *leadership)
{
	struct leader_member *member;

	for (member = leadership->members; member; member = member->hh.next)
		member->beat_due_ms = 0;
}

void leader_set_able(struct leadership *leadership, bool able)
{
	leadership->able = able;
}

void leader_set_mature(struct leadership *leadership, bool mature)
{
	leadership->mature = mature;
}

/*
 * The time, or the next one after any claim heard of; below it a part of the
 * incarnation, since several may claim in one millisecond.
 */
static uint64_t next_claim(const struct leadership *leadership,
			   uint64_t wall_ms)
{
	uint64_t highest_ms = leadership->highest_claim >> OWN_BITS;
	uint64_t ms = wall_ms > highest_ms ? wall_ms : highest_ms + 1;
	uint64_t own = leadership->options.incarnation ^
		       leadership->options.incarnation >> 32;

	return ms << OWN_BITS | (own & ((1 << OWN_BITS) - 1));
}

/* Members that did not lead have heard of each other only now and then. */
static void renew_members(struct leadership *leadership, uint64_t now_ms)
{
	struct leader_member *m;

	for (m = leadership->members; m; m = m->hh.next)
		if (m->linked)
			m->valid_until_ms = now_ms + LEADER_VALID_MS;
}

void leader_raise(struct leadership *leadership, uint64_t now_ms,
		  uint64_t wall_ms)
{
	leadership->claim = next_claim(leadership, wall_ms);
	memset(&leadership->lag, 0, sizeof(leadership->lag));
	leadership->highest_claim = leadership->claim;
	leadership->leader = leadership->options.incarnation;
	leadership->leaderless_ms = 0;
	leadership->resigned = false;
	renew_members(leadership, now_ms);
	log_info(LOG_MEMBER, "leads with claim %" PRIu64, leadership->claim);
	beat_at_once(leadership);
}

void leader_stop(struct leadership *leadership)
{
	leadership->stopping = true;
	if (leadership->claim)
		log_info(LOG_MEMBER, "gives up claim %" PRIu64 ": stopping",
			 leadership->claim);
	leadership->claim = 0;
	if (leadership->leader == leadership->options.incarnation)
		leadership->leader = 0;
	beat_at_once(leadership);
}

/* Equal members are told apart by their incarnations. */
static bool ranks_before(const struct leadership *leadership,
			 const struct leader_member *m, uint32_t its,
			 uint32_t own)
{
	return its > own ||
	       (its == own && m->incarnation < leadership->options.incarnation);
}

/* Better candidates than us that are live; they claim before we do. */
static uint32_t rank_of_self(struct leadership *leadership, uint64_t now_ms)
{
	const struct leader_member *m;
	uint32_t weight = own_weight(leadership);
	uint32_t rank = 0;

	for (m = leadership->members; m; m = m->hh.next) {
		if (!m->weight || m->stopping ||
		    !leader_is_live(leadership, m, now_ms))
			continue;
		rank += ranks_before(leadership, m, m->weight, weight);
	}
	return rank;
}

uint32_t leader_better_near(const struct leadership *leadership,
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

static bool has_links(const struct leadership *leadership)
{
	const struct leader_member *m;

	for (m = leadership->members; m; m = m->hh.next)
		if (m->linked && m->heard_ms)
			return true;
	return false;
}

/*
 * Others wait for a better candidate: one that has just started is none, since
 * it would not claim yet.
 */
static void review_candidacy(struct leadership *leadership, uint64_t now_ms)
{
	uint64_t start_ms =
		has_links(leadership) ? START_WAIT_MS : LONE_START_WAIT_MS;
	bool may = leadership->able && !leadership->stopping &&
		   !leadership->overloaded_until_ms &&
		   now_ms - leadership->started_ms >= start_ms;

	if (may == (leadership->candidate_ms != 0))
		return;
	leadership->candidate_ms = may ? now_ms : 0;
	beat_at_once(leadership); /* it changes who is to claim */
}

static bool may_claim(struct leadership *leadership, uint64_t now_ms)
{
	uint64_t wait_ms = leadership->resigned ? 0 : CLAIM_WAIT_MS;
	uint64_t rank_ms =
		(uint64_t)rank_of_self(leadership, now_ms) * RANK_WAIT_MS;

	/* Better ones may have become candidates as late as we have. */
	if (!leadership->candidate_ms ||
	    now_ms - leadership->candidate_ms < CANDIDATE_WAIT_MS + rank_ms)
		return false;
	return now_ms - leadership->leaderless_ms >= wait_ms + rank_ms;
}

/* Like claims, which are rare, are told apart by their owners. */
static bool is_above(uint64_t claim, uint64_t owner, uint64_t other_claim,
		     uint64_t other_owner)
{
	return claim != other_claim ? claim > other_claim : owner > other_owner;
}

static const struct leader_member *highest(struct leadership *leadership,
					   uint64_t now_ms)
{
	const struct leader_member *best = NULL;
	const struct leader_member *m;

	for (m = leadership->members; m; m = m->hh.next)
		if (m->claim && leader_is_live(leadership, m, now_ms) &&
		    (!best || is_above(m->claim, m->incarnation, best->claim,
				       best->incarnation)))
			best = m;
	return best;
}

/* Could another member do better, and have not too many tried already? */
static bool may_hand_over(struct leadership *leadership, uint64_t now_ms)
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
	return candidates && overloaded < MOST_OVERLOADED;
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
	uint32_t count = leadership->lag.count < LAG_COUNT
				 ? leadership->lag.count
				 : LAG_COUNT;

	qsort(waits_ms, count, sizeof(*waits_ms), compare_waits);
	return count ? waits_ms[count / 2] : 0;
}

/* Gives up a claim where messages wait in front of us for too long. */
static void review_lag(struct leadership *leadership, uint64_t now_ms)
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
	leadership->lag.slow =
		median_ms > LAG_MS ? leadership->lag.slow + 1 : 0;
	if (leadership->lag.slow < LAG_WINDOWS ||
	    !may_hand_over(leadership, now_ms))
		return;
	log_warning(LOG_MEMBER,
		    "gives up claim %" PRIu64 ": messages wait for %u ms here "
		    "(limit %d ms)",
		    leadership->claim, median_ms, LAG_MS);
	leadership->claim = 0;
	leadership->overloaded_until_ms = now_ms + OVERLOADED_MS;
	beat_at_once(leadership);
}

bool leader_is_overloaded(const struct leadership *leadership)
{
	return leadership->overloaded_until_ms != 0;
}

void leader_decide(struct leadership *leadership, uint64_t now_ms,
		   uint64_t wall_ms)
{
	const struct leader_member *best = highest(leadership, now_ms);
	uint64_t before = leadership->leader;

	forget_lost(leadership, now_ms);
	review_lag(leadership, now_ms);
	review_candidacy(leadership, now_ms);
	if (leadership->claim && best &&
	    is_above(best->claim, best->incarnation, leadership->claim,
		     leadership->options.incarnation)) {
		log_info(LOG_MEMBER,
			 "gives up claim %" PRIu64
			 ": member %s claims %" PRIu64,
			 leadership->claim, best->instance, best->claim);
		leadership->claim = 0;
		beat_at_once(leadership);
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
	}
	if (!leadership->leader && may_claim(leadership, now_ms))
		leader_raise(leadership, now_ms, wall_ms);
	if (leadership->leader != before)
		log_info(LOG_MEMBER,
			 "leader is %016" PRIx64 " after %016" PRIx64,
			 leadership->leader, before);
}

bool leader_has_majority(const struct leadership *leadership, uint64_t now_ms)
{
	const struct leader_member *m;
	uint32_t known = 1;
	uint32_t live = 1;

	for (m = leadership->members; m; m = m->hh.next) {
		known++;
		live += leader_is_live(leadership, m, now_ms);
	}
	return live * 2 > known;
}
