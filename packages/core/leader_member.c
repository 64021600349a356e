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
#define CLAIM_WAIT_MS LDM_BEAT_MS /* a leader's beat may be on its way */
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

struct ldm {
	struct ldm_options options;
	struct ldm_member *members; /* without us */
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

static int destroy(struct ldm *ldm)
{
	HASH_CLEAR(hh, ldm->members);
	return 0;
}

struct ldm *ldm_create(TALLOC_CTX *mem, const struct ldm_options *options)
{
	struct ldm *ldm = talloc_zero(mem, struct ldm);

	ldm->options = *options;
	if (!ldm->options.data_centre)
		ldm->options.data_centre = "";
	ldm->started_ms = options->now_ms;
	ldm->leaderless_ms = options->now_ms;
	talloc_set_destructor(ldm, destroy);
	return ldm;
}

struct ldm_member *ldm_members(struct ldm *ldm)
{
	return ldm->members;
}

struct ldm_member *ldm_find(struct ldm *ldm, uint64_t incarnation)
{
	struct ldm_member *member;

	HASH_FIND(hh, ldm->members, &incarnation, sizeof(incarnation), member);
	return member;
}

uint64_t ldm_claim(const struct ldm *ldm)
{
	return ldm->claim;
}

bool ldm_is_outranked(const struct ldm *ldm)
{
	return ldm->claim && ldm->highest_claim > ldm->claim;
}

uint64_t ldm_leader(const struct ldm *ldm)
{
	return ldm->leader;
}

uint32_t ldm_linked(const struct ldm *ldm)
{
	const struct ldm_member *m;
	uint32_t count = 0;

	for (m = ldm->members; m; m = m->hh.next)
		count += m->linked;
	return count;
}

bool ldm_is_live(const struct ldm *ldm, const struct ldm_member *member,
		 uint64_t now_ms)
{
	bool leads = member->claim || ldm->claim;
	uint64_t valid_ms = leads ? LDM_VALID_MS : QUIET_VALID_MS;

	return member->linked && member->heard_ms &&
	       now_ms - member->heard_ms <= valid_ms;
}

/* Links */

/* An instance that was started again has a new incarnation. */
static void forget_former(struct ldm *ldm, const Bergamot__Hello *hello)
{
	struct ldm_member *m, *next;

	HASH_ITER(hh, ldm->members, m, next) {
		if (m->linked || m->incarnation == hello->incarnation ||
		    strcmp(m->instance, hello->instance))
			continue;
		HASH_DEL(ldm->members, m);
		talloc_free(m);
	}
}

void ldm_link_up(struct ldm *ldm, const Bergamot__Hello *hello, uint64_t now_ms)
{
	struct ldm_member *member = ldm_find(ldm, hello->incarnation);

	if (hello->incarnation == ldm->options.incarnation)
		return;
	forget_former(ldm, hello);
	if (!member) {
		member = talloc_zero(ldm, struct ldm_member);
		member->incarnation = hello->incarnation;
		member->instance = talloc_strdup(member, hello->instance);
		member->address = talloc_strdup(member, hello->address);
		member->data_centre = talloc_strdup(member, hello->data_centre);
		HASH_ADD(hh, ldm->members, incarnation,
			 sizeof(member->incarnation), member);
	}
	log_info(LOG_MEMBER, "member %s (%016" PRIx64 ") at %s: link up",
		 member->instance, member->incarnation, member->address);
	member->linked = true;
	member->linked_ms = now_ms;
	member->beat_due_ms = 0;
}

void ldm_link_down(struct ldm *ldm, uint64_t incarnation, uint64_t now_ms)
{
	struct ldm_member *member = ldm_find(ldm, incarnation);

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

static void forget_lost(struct ldm *ldm, uint64_t now_ms)
{
	struct ldm_member *m, *next;

	HASH_ITER(hh, ldm->members, m, next) {
		if (m->linked || now_ms - m->linked_ms < FORGET_MS)
			continue;
		HASH_DEL(ldm->members, m);
		talloc_free(m);
	}
}

/* Beats */

void ldm_note_lag(struct ldm *ldm, uint64_t lag_ms)
{
	if (ldm->claim)
		ldm->lag.waits_ms[ldm->lag.count++ % LAG_COUNT] =
			(uint32_t)lag_ms;
}

void ldm_take_beat(struct ldm *ldm, uint64_t incarnation,
		   const Bergamot__LeaderBeat *beat, uint64_t now_ms)
{
	struct ldm_member *member = ldm_find(ldm, incarnation);

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
	if (member->resigned && ldm->leader == incarnation)
		ldm->resigned = true;
	member->heard_ms = now_ms;
	member->clock_ms = beat->clock_ms;
	member->claim = beat->claim;
	member->weight = beat->weight;
	member->share = beat->share;
	member->stopping = beat->stopping;
	member->overloaded = beat->overloaded;
	member->config_version = beat->config_version;
	if (beat->echo_ms && beat->echo_ms <= now_ms &&
	    beat->echo_ms + LDM_VALID_MS > member->valid_until_ms)
		member->valid_until_ms = beat->echo_ms + LDM_VALID_MS;
	if (beat->highest_claim > ldm->highest_claim)
		ldm->highest_claim = beat->highest_claim;
	if (beat->claim > ldm->highest_claim)
		ldm->highest_claim = beat->claim;
}

static uint32_t own_weight(const struct ldm *ldm)
{
	return ldm->options.weight + (ldm->mature ? MATURE_WEIGHT : 0);
}

void ldm_fill_beat(struct ldm *ldm, const struct ldm_member *member,
		   Bergamot__LeaderBeat *beat, uint64_t now_ms)
{
	beat->claim = ldm->claim;
	beat->highest_claim = ldm->highest_claim;
	beat->weight = ldm->candidate_ms ? own_weight(ldm) : 0;
	beat->share = ldm->overloaded_until_ms ? 0 : ldm->options.weight;
	beat->overloaded = ldm->overloaded_until_ms != 0;
	beat->clock_ms = now_ms;
	beat->echo_ms = member->clock_ms;
	beat->stopping = ldm->stopping;
}

bool ldm_beat_due(struct ldm *ldm, struct ldm_member *member, uint64_t now_ms)
{
	bool leads = member->claim || ldm->claim;

	if (!member->linked || member->beat_due_ms > now_ms)
		return false;
	member->beat_due_ms = now_ms + (leads ? LDM_BEAT_MS : QUIET_BEAT_MS);
	return true;
}

/* Decisions */

static void beat_at_once(struct ldm *ldm)
{
	struct ldm_member *member;

	for (member = ldm->members; member; member = member->hh.next)
		member->beat_due_ms = 0;
}

void ldm_set_able(struct ldm *ldm, bool able)
{
	ldm->able = able;
}

void ldm_set_mature(struct ldm *ldm, bool mature)
{
	ldm->mature = mature;
}

/*
 * The time, or the next one after any claim heard of; below it a part of the
 * incarnation, since several may claim in one millisecond.
 */
static uint64_t next_claim(const struct ldm *ldm, uint64_t wall_ms)
{
	uint64_t highest_ms = ldm->highest_claim >> OWN_BITS;
	uint64_t ms = wall_ms > highest_ms ? wall_ms : highest_ms + 1;
	uint64_t own =
		ldm->options.incarnation ^ ldm->options.incarnation >> 32;

	return ms << OWN_BITS | (own & ((1 << OWN_BITS) - 1));
}

/* Members that did not lead have heard of each other only now and then. */
static void renew_members(struct ldm *ldm, uint64_t now_ms)
{
	struct ldm_member *m;

	for (m = ldm->members; m; m = m->hh.next)
		if (m->linked)
			m->valid_until_ms = now_ms + LDM_VALID_MS;
}

void ldm_raise(struct ldm *ldm, uint64_t now_ms, uint64_t wall_ms)
{
	ldm->claim = next_claim(ldm, wall_ms);
	memset(&ldm->lag, 0, sizeof(ldm->lag));
	ldm->highest_claim = ldm->claim;
	ldm->leader = ldm->options.incarnation;
	ldm->leaderless_ms = 0;
	ldm->resigned = false;
	renew_members(ldm, now_ms);
	log_info(LOG_MEMBER, "leads with claim %" PRIu64, ldm->claim);
	beat_at_once(ldm);
}

void ldm_stop(struct ldm *ldm)
{
	ldm->stopping = true;
	if (ldm->claim)
		log_info(LOG_MEMBER, "gives up claim %" PRIu64 ": stopping",
			 ldm->claim);
	ldm->claim = 0;
	if (ldm->leader == ldm->options.incarnation)
		ldm->leader = 0;
	beat_at_once(ldm);
}

/* Equal members are told apart by their incarnations. */
static bool ranks_before(const struct ldm *ldm, const struct ldm_member *m,
			 uint32_t its, uint32_t own)
{
	return its > own ||
	       (its == own && m->incarnation < ldm->options.incarnation);
}

/* Better candidates than us that are live; they claim before we do. */
static uint32_t rank_of_self(struct ldm *ldm, uint64_t now_ms)
{
	const struct ldm_member *m;
	uint32_t weight = own_weight(ldm);
	uint32_t rank = 0;

	for (m = ldm->members; m; m = m->hh.next) {
		if (!m->weight || m->stopping || !ldm_is_live(ldm, m, now_ms))
			continue;
		rank += ranks_before(ldm, m, m->weight, weight);
	}
	return rank;
}

uint32_t ldm_better_near(const struct ldm *ldm, uint64_t now_ms)
{
	const struct ldm_member *m;
	uint32_t share = ldm->options.weight;
	uint32_t better = 0;

	for (m = ldm->members; m; m = m->hh.next)
		if (!m->stopping && ldm_is_live(ldm, m, now_ms) &&
		    !strcmp(m->data_centre, ldm->options.data_centre))
			better += ranks_before(ldm, m, m->share, share);
	return better;
}

static bool has_links(const struct ldm *ldm)
{
	const struct ldm_member *m;

	for (m = ldm->members; m; m = m->hh.next)
		if (m->linked && m->heard_ms)
			return true;
	return false;
}

/*
 * Others wait for a better candidate: one that has just started is none, since
 * it would not claim yet.
 */
static void review_candidacy(struct ldm *ldm, uint64_t now_ms)
{
	uint64_t start_ms = has_links(ldm) ? START_WAIT_MS : LONE_START_WAIT_MS;
	bool may = ldm->able && !ldm->stopping && !ldm->overloaded_until_ms &&
		   now_ms - ldm->started_ms >= start_ms;

	if (may == (ldm->candidate_ms != 0))
		return;
	ldm->candidate_ms = may ? now_ms : 0;
	beat_at_once(ldm); /* it changes who is to claim */
}

static bool may_claim(struct ldm *ldm, uint64_t now_ms)
{
	uint64_t wait_ms = ldm->resigned ? 0 : CLAIM_WAIT_MS;
	uint64_t rank_ms = (uint64_t)rank_of_self(ldm, now_ms) * RANK_WAIT_MS;

	/* Better ones may have become candidates as late as we have. */
	if (!ldm->candidate_ms ||
	    now_ms - ldm->candidate_ms < CANDIDATE_WAIT_MS + rank_ms)
		return false;
	return now_ms - ldm->leaderless_ms >= wait_ms + rank_ms;
}

/* Like claims, which are rare, are told apart by their owners. */
static bool is_above(uint64_t claim, uint64_t owner, uint64_t other_claim,
		     uint64_t other_owner)
{
	return claim != other_claim ? claim > other_claim : owner > other_owner;
}

static const struct ldm_member *highest(struct ldm *ldm, uint64_t now_ms)
{
	const struct ldm_member *best = NULL;
	const struct ldm_member *m;

	for (m = ldm->members; m; m = m->hh.next)
		if (m->claim && ldm_is_live(ldm, m, now_ms) &&
		    (!best || is_above(m->claim, m->incarnation, best->claim,
				       best->incarnation)))
			best = m;
	return best;
}

/* Could another member do better, and have not too many tried already? */
static bool may_hand_over(struct ldm *ldm, uint64_t now_ms)
{
	const struct ldm_member *m;
	uint32_t candidates = 0;
	uint32_t overloaded = 0;

	for (m = ldm->members; m; m = m->hh.next) {
		if (!ldm_is_live(ldm, m, now_ms) || m->stopping)
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

static uint32_t median_wait(struct ldm *ldm)
{
	uint32_t *waits_ms = ldm->lag.waits_ms;
	uint32_t count =
		ldm->lag.count < LAG_COUNT ? ldm->lag.count : LAG_COUNT;

	qsort(waits_ms, count, sizeof(*waits_ms), compare_waits);
	return count ? waits_ms[count / 2] : 0;
}

/* Gives up a claim where messages wait in front of us for too long. */
static void review_lag(struct ldm *ldm, uint64_t now_ms)
{
	uint32_t median_ms;

	if (ldm->overloaded_until_ms && ldm->overloaded_until_ms <= now_ms)
		ldm->overloaded_until_ms = 0;
	if (!ldm->claim || now_ms < ldm->lag.until_ms)
		return;
	ldm->lag.until_ms = now_ms + LAG_WINDOW_MS;
	median_ms = median_wait(ldm);
	ldm->lag.count = 0;
	ldm->lag.slow = median_ms > LAG_MS ? ldm->lag.slow + 1 : 0;
	if (ldm->lag.slow < LAG_WINDOWS || !may_hand_over(ldm, now_ms))
		return;
	log_warning(LOG_MEMBER,
		    "gives up claim %" PRIu64 ": messages wait for %u ms here "
		    "(limit %d ms)",
		    ldm->claim, median_ms, LAG_MS);
	ldm->claim = 0;
	ldm->overloaded_until_ms = now_ms + OVERLOADED_MS;
	beat_at_once(ldm);
}

bool ldm_is_overloaded(const struct ldm *ldm)
{
	return ldm->overloaded_until_ms != 0;
}

void ldm_decide(struct ldm *ldm, uint64_t now_ms, uint64_t wall_ms)
{
	const struct ldm_member *best = highest(ldm, now_ms);
	uint64_t before = ldm->leader;

	forget_lost(ldm, now_ms);
	review_lag(ldm, now_ms);
	review_candidacy(ldm, now_ms);
	if (ldm->claim && best &&
	    is_above(best->claim, best->incarnation, ldm->claim,
		     ldm->options.incarnation)) {
		log_info(LOG_MEMBER,
			 "gives up claim %" PRIu64
			 ": member %s claims %" PRIu64,
			 ldm->claim, best->instance, best->claim);
		ldm->claim = 0;
		beat_at_once(ldm);
	}
	if (ldm->claim)
		ldm->leader = ldm->options.incarnation;
	else
		ldm->leader = best ? best->incarnation : 0;
	if (ldm->leader) {
		ldm->leaderless_ms = 0;
		ldm->resigned = false;
	} else if (!ldm->leaderless_ms) {
		ldm->leaderless_ms = now_ms;
	}
	if (!ldm->leader && may_claim(ldm, now_ms))
		ldm_raise(ldm, now_ms, wall_ms);
	if (ldm->leader != before)
		log_info(LOG_MEMBER,
			 "leader is %016" PRIx64 " after %016" PRIx64,
			 ldm->leader, before);
}

bool ldm_has_majority(const struct ldm *ldm, uint64_t now_ms)
{
	const struct ldm_member *m;
	uint32_t known = 1;
	uint32_t live = 1;

	for (m = ldm->members; m; m = m->hh.next) {
		known++;
		live += ldm_is_live(ldm, m, now_ms);
	}
	return live * 2 > known;
}
