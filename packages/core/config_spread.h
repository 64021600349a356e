#ifndef CORE_CONFIG_SPREAD_H
#define CORE_CONFIG_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"

/*
 * Decides when to request the configuration, and from whom. Two members of each
 * data centre watch the platform; each heartbeat reports how long ago it
 * answered them. The others learn new versions from peers. They poll the
 * platform, after a jittered delay, only if it has answered no member of their
 * data centre for some seconds.
 *
 * node_config.c and node_peer.c send the requests.
 */

#define CONFIG_SPREAD_WATCHERS 2 /* members per data centre that watch */

struct config_spread {
	struct random_generator *random;
	bool watches; /* this instance watches the platform */
	bool platform_answered; /* a member of this data centre */
	uint64_t answered_ms; /* time of its last answer, on this clock */
	uint64_t poll_at_ms;
	uint64_t answered_here_ms; /* its last answer here; 0: none */
	uint64_t platform_version; /* of the document in its last answer */
	uint64_t repair_at_ms;
	uint64_t requested_version; /* last requested from a peer */
	uint64_t requested_ms;
};

void config_spread_init(struct config_spread *spread,
			struct random_generator *random, uint64_t now_ms);

/*
 * Returns true if self is one of those among the data centre's live
 * incarnations that watch the platform.
 */
bool config_spread_should_watch(const char *data_centre, uint64_t self,
				const uint64_t *live, size_t count);

/*
 * Records an answer of the platform to this instance. version is 0 if the
 * document was unchanged or could not be parsed.
 */
void config_spread_answered(struct config_spread *spread, uint64_t version,
			    uint64_t now_ms);

/* Records that the platform answered a peer of the data centre age_ms ago. */
void config_spread_peer_answered(struct config_spread *spread, uint64_t age_ms,
				 uint64_t now_ms);

/*
 * The value sent in heartbeats: ms since the platform answered this instance,
 * plus 1; 0 if it never did.
 */
uint32_t config_spread_age(const struct config_spread *spread, uint64_t now_ms);

/* Returns true if a poll is due; then sets the time of the next one. */
bool config_spread_poll_due(struct config_spread *spread, uint64_t now_ms);

/*
 * Returns true if this instance watches the platform and the platform's version
 * is below in_force, so that the configuration must be written again. After
 * that it returns false for a random delay of 1 to 3 s.
 */
bool config_spread_repair_due(struct config_spread *spread, uint64_t in_force,
			      uint64_t now_ms);

/*
 * Returns true if a version may be requested from a peer, and records the
 * request. Returns false if this version or a newer one was requested less than
 * 1 s ago.
 */
bool config_spread_may_request(struct config_spread *spread, uint64_t version,
			       uint64_t now_ms);

#endif
