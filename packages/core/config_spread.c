#include "core/config_spread.h"

#include <string.h>

#include "core/placement.h"

#define POLL_AFTER_MS 4000 /* without word of the platform */
#define POLL_JITTER_MS 2000
#define REPAIR_MS 2000
#define ASK_AGAIN_MS 1000
#define MAX_LIVE 256

void config_spread_init(struct config_spread *spread,
			struct random_generator *random, uint64_t now_ms)
{
	memset(spread, 0, sizeof(*spread));
	spread->random = random;
	spread->fresh_ms = now_ms;
	spread->poll_at_ms = now_ms + random_below(random, POLL_JITTER_MS);
}

bool config_spread_should_hold(const char *data_centre, uint64_t self,
			       const uint64_t *live, size_t count)
{
	uint64_t left[MAX_LIVE];

	if (count > MAX_LIVE)
		count = MAX_LIVE;
	memcpy(left, live, count * sizeof(*live));
	for (int i = 0; i < CONFIG_SPREAD_HOLDERS && count; i++) {
		size_t best = placement_rendezvous(data_centre, left, count);

		if (left[best] == self)
			return true;
		left[best] = left[--count];
	}
	return false;
}

static void refresh(struct config_spread *spread, uint64_t fresh_ms)
{
	if (spread->heard && fresh_ms <= spread->fresh_ms)
		return;
	spread->heard = true;
	spread->fresh_ms = fresh_ms;
	spread->poll_at_ms = fresh_ms + POLL_AFTER_MS +
			     random_below(spread->random, POLL_JITTER_MS);
}

void config_spread_answered(struct config_spread *spread, uint64_t version,
			    uint64_t now_ms)
{
	spread->own_ms = now_ms;
	if (version)
		spread->platform_version = version;
	refresh(spread, now_ms);
}

void config_spread_heard(struct config_spread *spread, uint64_t age_ms,
			 uint64_t now_ms)
{
	refresh(spread, age_ms < now_ms ? now_ms - age_ms : 0);
}

uint32_t config_spread_age(const struct config_spread *spread, uint64_t now_ms)
{
	uint64_t age = now_ms - spread->own_ms;

	if (!spread->own_ms)
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
	if (!spread->holds || !spread->platform_version ||
	    spread->platform_version >= in_force ||
	    now_ms < spread->repair_at_ms)
		return false;
	spread->repair_at_ms = now_ms + REPAIR_MS / 2 +
			       random_below(spread->random, REPAIR_MS);
	return true;
}

bool config_spread_may_ask(struct config_spread *spread, uint64_t version,
			   uint64_t now_ms)
{
#ifdef BREAK_FETCH
	return false;
#endif
	if (version <= spread->asked_version &&
	    now_ms - spread->asked_ms < ASK_AGAIN_MS)
		return false;
	spread->asked_version = version;
	spread->asked_ms = now_ms;
	return true;
}
