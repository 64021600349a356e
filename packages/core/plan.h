#ifndef CORE_PLAN_H
#define CORE_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/config.h"

/*
 * Plans: a plan shows what an operator's intent would change in the
 * configuration; an operator then confirms it. A plan is self-contained JSON,
 * so that any instance can confirm it and none has to store it:
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
	PLAN_NO_CHANGE, /* the document already has these values */
	PLAN_STALE, /* made for a version that is not in force */
	PLAN_CONFIRMED, /* already confirmed into the document in force */
};

struct plan_context {
	const struct config_document *document; /* in force */
	const char *id; /* for a new plan */
	/* Returns the tasks in flight on a worker that are known here. */
	uint32_t (*running)(void *ctx, const char *worker);
	void *ctx;
};

/*
 * Makes a plan from an intent, both as JSON; owned by mem. On a status other
 * than PLAN_OK, returns NULL and sets *message, owned by mem, to an error text.
 */
char *plan_make(TALLOC_CTX *mem, const struct plan_context *context,
		const char *intent, enum plan_status *status, char **message);

/*
 * Checks a plan by computing its difference again, and returns the document to
 * write, owned by mem. On a status other than PLAN_OK, returns NULL; *message,
 * owned by mem, is an error text, or NULL for PLAN_CONFIRMED. Sets *id, owned
 * by mem, unless the text is not a plan.
 */
char *plan_confirm(TALLOC_CTX *mem, const struct plan_context *context,
		   const char *plan, char **id, enum plan_status *status,
		   char **message);

/*
 * Returns true if the plan was confirmed into this document or an earlier one.
 * A document lists the latest confirmed plans only.
 */
bool plan_is_confirmed(const struct config_document *doc, const char *id);

/*
 * Returns the changes between two documents, owned by mem, as a JSON list like
 * "difference" of a plan.
 */
char *plan_difference(TALLOC_CTX *mem, const struct config_document *before,
		      const struct config_document *after);

/*
 * Returns the value of a plan's "difference" as JSON, owned by mem; "[]" if the
 * text has none.
 */
char *plan_difference_of(TALLOC_CTX *mem, const char *plan);

#endif
