#include "core/drain.h"

#include <string.h>

#include "base/hash_table.h"

#define ANNOUNCE_MS 3000 /* after a change */
#define ENTRY_TTL_MS 60000 /* after the last report "not leaving" */

struct source_state {
	bool reported;
	bool leaving;
	uint64_t observed_ms;
	uint64_t announce_until_ms;
};

struct entry {
	UT_hash_handle hh;
	char *worker;
	struct source_state sources[DRAIN_SOURCE_COUNT];
};

struct drain {
	struct entry *entries;
};

static int destroy(struct drain *drain)
{
	HASH_CLEAR(hh, drain->entries);
	return 0;
}

struct drain *drain_create(TALLOC_CTX *mem)
{
	struct drain *drain = talloc_zero(mem, struct drain);

	talloc_set_destructor(drain, destroy);
	return drain;
}

static struct entry *find(const struct drain *drain, const char *worker)
{
	struct entry *e;

	HASH_FIND_STR(drain->entries, worker, e);
	return e;
}

static struct entry *add(struct drain *drain, const char *worker)
{
	struct entry *e = talloc_zero(drain, struct entry);

	e->worker = talloc_strdup(e, worker);
	HASH_ADD_KEYPTR(hh, drain->entries, e->worker, strlen(e->worker), e);
	return e;
}

bool drain_apply_report(struct drain *drain, const struct drain_report *report,
			uint64_t now_ms)
{
	struct entry *e = find(drain, report->worker);
	struct source_state *state;
	bool changed;

	if (!e && !report->leaving)
		return false; /* no entry means not leaving */
	if (!e)
		e = add(drain, report->worker);
	state = &e->sources[report->source];
	if (state->reported && report->observed_ms <= state->observed_ms)
		return false;
	changed = state->leaving != report->leaving;
	/* A repeated report does not renew observed_ms, so its age grows. */
	if (!changed && state->reported)
		return false;
	state->reported = true;
	state->leaving = report->leaving;
	state->observed_ms = report->observed_ms;
	state->announce_until_ms = now_ms + ANNOUNCE_MS;
	return changed;
}

bool drain_is_leaving(const struct drain *drain, const char *worker)
{
	const struct entry *e = find(drain, worker);

	for (int i = 0; e && i < DRAIN_SOURCE_COUNT; i++)
		if (e->sources[i].leaving)
			return true;
	return false;
}

bool drain_worker_reports_leaving(const struct drain *drain, const char *worker)
{
	const struct entry *e = find(drain, worker);

	return e && e->sources[DRAIN_BY_WORKER].leaving;
}

void drain_each_report(struct drain *drain, bool all_leaving, uint64_t now_ms,
		       void (*visit)(void *ctx,
				     const struct drain_report *report),
		       void *ctx)
{
	struct entry *e, *next;

	HASH_ITER(hh, drain->entries, e, next) {
		for (int i = 0; i < DRAIN_SOURCE_COUNT; i++) {
			const struct source_state *s = &e->sources[i];
			struct drain_report report = {
				.worker = e->worker,
				.source = (enum drain_source)i,
				.leaving = s->leaving,
				.observed_ms = s->observed_ms,
			};

			if (s->reported && (now_ms < s->announce_until_ms ||
					    (all_leaving && s->leaving)))
				visit(ctx, &report);
		}
	}
}

static bool is_expired(const struct entry *e, uint64_t now_ms)
{
	for (int i = 0; i < DRAIN_SOURCE_COUNT; i++)
		if (e->sources[i].leaving ||
		    now_ms < e->sources[i].observed_ms + ENTRY_TTL_MS)
			return false;
	return true;
}

void drain_tick(struct drain *drain, uint64_t now_ms)
{
	struct entry *e, *next;

	HASH_ITER(hh, drain->entries, e, next) {
		if (!is_expired(e, now_ms))
			continue;
		HASH_DEL(drain->entries, e);
		talloc_free(e);
	}
}
