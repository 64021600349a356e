#ifndef CORE_DRAIN_H
#define CORE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/*
 * Tracks which workers are leaving, and what to announce to peers about it.
 * There are two sources: the instance list and the worker itself. A worker is
 * leaving while either source reports it. An operator's drain is not kept here
 * but in the configuration.
 *
 * Of two reports from one source the one observed later counts, whichever peer
 * it came from. Peers exchange the ages of reports, not times, because their
 * clocks differ.
 */

enum drain_source { DRAIN_BY_WORKER, DRAIN_BY_LIST, DRAIN_SOURCE_COUNT };

struct drain;

struct drain_report {
	const char *worker;
	enum drain_source source;
	bool leaving;
	uint64_t observed_ms; /* on our clock */
};

/* Returns an empty table, owned by mem. */
struct drain *drain_create(TALLOC_CTX *mem);

/*
 * Applies a report. Returns true if it changed the state of its source, which
 * is then announced to peers for some seconds.
 */
bool drain_apply_report(struct drain *drain, const struct drain_report *report,
			uint64_t now_ms);

/* Returns true if any source reports that the worker is leaving. */
bool drain_is_leaving(const struct drain *drain, const char *worker);

/* Returns true if the worker itself reports that it is leaving. */
bool drain_worker_reports_leaving(const struct drain *drain,
				  const char *worker);

/*
 * Calls visit for each report to send to a peer now: those that changed in the
 * last seconds and, if all_leaving is set, every one that says leaving.
 */
void drain_each_report(struct drain *drain, bool all_leaving, uint64_t now_ms,
		       void (*visit)(void *ctx,
				     const struct drain_report *report),
		       void *ctx);

/* Removes workers that no source has reported leaving for some time. */
void drain_tick(struct drain *drain, uint64_t now_ms);

#endif
