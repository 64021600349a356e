#ifndef CORE_DRAIN_H
#define CORE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/*
 * Which workers are leaving by the instance list's mark or by their own word,
 * and what to tell peers of it. Each source has its say: a worker is leaving
 * while either says so. An operator's drain is in the configuration instead.
 *
 * Of two words from one source the later observed counts, wherever it was
 * heard; ages travel instead of times.
 */

enum drain_source { DRAIN_BY_WORKER, DRAIN_BY_LIST, DRAIN_SOURCE_COUNT };

struct drain;

struct drain_word {
	const char *worker;
	enum drain_source source;
	bool leaving;
	uint64_t observed_ms; /* on our clock */
};

/* Knows of no worker that leaves. */
struct drain *drain_create(TALLOC_CTX *mem);

/*
 * Takes a word over. Returns true when it changed what is known; it is then
 * told to peers for the next seconds.
 */
bool drain_take(struct drain *drain, const struct drain_word *word,
		uint64_t now_ms);

/* Does any source say that the worker is leaving? */
bool drain_is_leaving(const struct drain *drain, const char *worker);

/* Does the worker itself say that it is leaving? */
bool drain_says_leaving(const struct drain *drain, const char *worker);

/*
 * Calls visit for the words to tell a peer now: those that changed in the last
 * seconds, or with all set, each that says leaving.
 */
void drain_each(struct drain *drain, bool all, uint64_t now_ms,
		void (*visit)(void *ctx, const struct drain_word *word),
		void *ctx);

/* Forgets what has long said nothing. */
void drain_tick(struct drain *drain, uint64_t now_ms);

#endif
