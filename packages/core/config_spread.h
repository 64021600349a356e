#ifndef CORE_CONFIG_SPREAD_H
#define CORE_CONFIG_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"

/*
 * When to ask for the configuration, and whom. Two members of a data centre
 * watch the platform and tell, with each heartbeat, how long ago it answered;
 * the others hear of new versions by their links and poll the platform, after
 * a jittered delay, only when nobody near has heard from it.
 *
 * It decides; node_config.c acts.
 */

#define CONFIG_SPREAD_HOLDERS 2 /* of the watch, in a data centre */

struct config_spread {
	struct random_generator *random;
	bool holds;
	bool heard; /* the platform has answered, here or near */
	uint64_t fresh_ms; /* when it last did, on our clock */
	uint64_t poll_at_ms;
	uint64_t own_ms; /* when it last answered this instance; 0: never */
	uint64_t platform_version; /* of the document it answered with */
	uint64_t repair_at_ms;
	uint64_t asked_version; /* of a peer */
	uint64_t asked_ms;
};

void config_spread_init(struct config_spread *spread,
			struct random_generator *random, uint64_t now_ms);

/* Is self one of the holders among the data centre's live incarnations? */
bool config_spread_should_hold(const char *data_centre, uint64_t self,
			       const uint64_t *live, size_t count);

/* The platform answered; version is 0 when the document was unchanged. */
void config_spread_answered(struct config_spread *spread, uint64_t version,
			    uint64_t now_ms);

/* A peer near heard from the platform age_ms ago. */
void config_spread_heard(struct config_spread *spread, uint64_t age_ms,
			 uint64_t now_ms);

/* For heartbeats: ms since the platform answered here plus 1, or 0. */
uint32_t config_spread_age(const struct config_spread *spread, uint64_t now_ms);

/* Is it time to poll? Sets the next time. */
bool config_spread_poll_due(struct config_spread *spread, uint64_t now_ms);

/*
 * Did the platform answer with a version below the one in force, so that it
 * is to be written again? True once every few seconds.
 */
bool config_spread_repair_due(struct config_spread *spread, uint64_t in_force,
			      uint64_t now_ms);

/* May a peer be asked for a version? False while an ask is on its way. */
bool config_spread_may_ask(struct config_spread *spread, uint64_t version,
			   uint64_t now_ms);

#endif
