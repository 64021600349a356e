#include "core/config_spread.h"

#include <string.h>

#include "core/placement.h"

#define POLL_AFTER_MS 4000 /* since the platform's last answer */
#define POLL_JITTER_MS 2000
#define REPAIR_INTERVAL_MS 2000 /* mean; jittered by half of it */
#define REQUEST_INTERVAL_MS 1000
#define MAX_LIVE_MEMBERS 256

void config_spread_init(struct config_spread *spread,
			struct random_generator *random, uint64_t now_ms)
{
	memset(spread, 0, sizeof(*spread));
	spread->random = random;
	spread->answered_ms = now_ms;
	spread->poll_at_ms = now_ms + random_below(random, POLL_JITTER_MS);
}

bool config_spread_should_watch(const char *data_centre, uint64_t self,
				const uint64_t *live, size_t count)
{
	uint64_t candidates[MAX_LIVE_MEMBERS];

	if (count > MAX_LIVE_MEMBERS)
		count = MAX_LIVE_MEMBERS;
	memcpy(candidates, live, count * sizeof(*live));
	for (int i = 0; i < CONFIG_SPREAD_WATCHERS && count; i++) {
		size_t best =
			placement_rendezvous(data_centre, candidates, count);

		if (candidates[best] == self)
			return true;
		candidates[best] = candidates[--count];
	}
	return false;
}

static void record_answer(struct config_spread *spread, uint64_t answered_ms)
{
	if (spread->platform_answered && answered_ms <= spread->answered_ms)
		return;
	spread->platform_answered = true;
	spread->answered_ms = answered_ms;
	spread->poll_at_ms = answered_ms + POLL_AFTER_MS +
			     random_below(spread->random, POLL_JITTER_MS);
}

void config_spread_answered(struct config_spread *spread, uint64_t version,
			    uint64_t now_ms)
{
	spread->answered_here_ms = now_ms;
	if (version)
		spread->platform_version = version;
	record_answer(spread, now_ms);
}

void config_spread_peer_answered(struct config_spread *spread, uint64_t age_ms,
				 uint64_t now_ms)
{
	record_answer(spread, age_ms < now_ms ? now_ms - age_ms : 0);
}

uint32_t config_spread_age(const struct config_spread *spread, uint64_t now_ms)
{
	uint64_t age = now_ms - spread->answered_here_ms;

	if (!spread->answered_here_ms)
		return 0;
	return age < UINT32_MAX ? (uint32_t)age + 1 : UINT32_MAX;
}

bool config_spread_poll_due(struct config_spread *spread, uint64_t now_ms)
{
#ifdef BREAK_POLL
	return false;
#endif
	if (now_ms < spread->poll_at_ms)
		return false;
	spread->poll_at_ms = now_ms + POLL_AFTER_MS / 2 +
			     random_below(spread->random, POLL_JITTER_MS);
	return true;
}

bool config_spread_repair_due(struct config_spread *spread, uint64_t in_force,
			      uint64_t now_ms)
{
#ifdef BREAK_REPAIR
	return false;
#endif
	if (!spread->watches || !spread->platform_version ||
	    spread->platform_version >= in_force ||
	    now_ms < spread->repair_at_ms)
		return false;
	spread->repair_at_ms = now_ms + REPAIR_INTERVAL_MS / 2 +
			       random_below(spread->random, REPAIR_INTERVAL_MS);
	return true;
}

bool config_spread_may_request(struct config_spread *spread, uint64_t version,
			       uint64_t now_ms)
{
#ifdef BREAK_FETCH
	return false;
#endif
	if (version <= spread->requested_version &&
	    now_ms - spread->requested_ms < REQUEST_INTERVAL_MS)
		return false;
	spread->requested_version = version;
	spread->requested_ms = now_ms;
	return true;
}
