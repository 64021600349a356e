#ifndef CORE_PLAN_H
#define CORE_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/config.h"

/*
 * Plans: what an operator's intent would change, for a person to confirm. A
 * plan is self-contained JSON, so that any instance can confirm it and nothing
 * is stored:
 *
 *     {"plan": ID, "base_version": 3, "version": 4, "intent": {...},
 *      "difference": [{"at": "workers/w1/drained", "before": false,
 *                      "after": true}],
 *      "effects": {"slots": [{"service", "before", "after"}],
 *                  "quotas": [{"team", "before", "after"}],
 *                  "in_flight": 2, "warnings": ["..."]}}
 *
 * Intents:
 *
 *     {"intent": "add-workers", "workers": [{as in the document}]}
 *     {"intent": "remove-workers", "workers": ["w1"]}
 *     {"intent": "drain" or "undrain", "worker": "w1"}
 *     {"intent": "drain" or "undrain", "data_centre": "b"}
 *     {"intent": "set-limit", "team": "north", "tasks_per_s": 1000, ...}
 *     {"intent": "set-service", "service": "quote", "deadline_ms": 2000, ...}
 */

enum plan_status {
	PLAN_OK,
	PLAN_BAD_INTENT, /* the message says what is wrong */
	PLAN_BAD_PLAN, /* not a plan, or altered since it was made */
	PLAN_NO_CHANGE, /* the document is so already */
	PLAN_STALE, /* made for another version than the one in force */
	PLAN_CONFIRMED, /* in force already */
};

struct plan_context {
	const struct config_document *document; /* in force */
	const char *id; /* of a new plan */
	/* Tasks in flight on a worker, as far as this instance knows. */
	uint32_t (*running)(void *ctx, const char *worker);
	void *ctx;
};

/*
 * Makes a plan of an intent. On another status than PLAN_OK, NULL is returned
 * and *message, owned by mem, is for a person.
 */
char *plan_make(TALLOC_CTX *mem, const struct plan_context *context,
		const char *intent, enum plan_status *status, char **message);

/*
 * Computes a plan anew and returns the document to write; NULL on another
 * status than PLAN_OK. *id, owned by mem, is set whenever plan is one.
 */
char *plan_confirm(TALLOC_CTX *mem, const struct plan_context *context,
		   const char *plan, char **id, enum plan_status *status,
		   char **message);

/* Was a plan confirmed into this document, as far back as it remembers? */
bool plan_is_in(const struct config_document *doc, const char *id);

/* What changed between two documents, as a JSON list like "difference". */
char *plan_difference(TALLOC_CTX *mem, const struct config_document *before,
		      const struct config_document *after);

/* The value of a plan's "difference" as JSON; "[]" when it is no plan. */
char *plan_difference_of(TALLOC_CTX *mem, const char *plan);

#endif
