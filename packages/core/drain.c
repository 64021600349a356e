#include "core/drain.h"

#include <string.h>

#include "base/hash_table.h"

#define TELL_MS 3000
#define FORGET_MS 60000 /* after the last word that it is not leaving */

struct mark {
	bool known;
	bool leaving;
	uint64_t observed_ms;
	uint64_t tell_until_ms;
};

struct entry {
	UT_hash_handle hh;
	char *worker;
	struct mark marks[DRAIN_SOURCE_COUNT];
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

bool drain_take(struct drain *drain, const struct drain_word *word,
		uint64_t now_ms)
{
	struct entry *e = find(drain, word->worker);
	struct mark *mark;
	bool changed;

	if (!e && !word->leaving)
		return false; /* as good as nothing known */
	if (!e)
		e = add(drain, word->worker);
	mark = &e->marks[word->source];
	if (mark->known && word->observed_ms <= mark->observed_ms)
		return false;
	changed = mark->leaving != word->leaving;
	/* A word that is only repeated keeps its time, so that it ages. */
	if (!changed && mark->known)
		return false;
	mark->known = true;
	mark->leaving = word->leaving;
	mark->observed_ms = word->observed_ms;
	mark->tell_until_ms = now_ms + TELL_MS;
	return changed;
}

bool drain_is_leaving(const struct drain *drain, const char *worker)
{
	const struct entry *e = find(drain, worker);

	for (int i = 0; e && i < DRAIN_SOURCE_COUNT; i++)
		if (e->marks[i].leaving)
			return true;
	return false;
}

bool drain_says_leaving(const struct drain *drain, const char *worker)
{
	const struct entry *e = find(drain, worker);

	return e && e->marks[DRAIN_BY_WORKER].leaving;
}

void drain_each(struct drain *drain, bool all, uint64_t now_ms,
		void (*visit)(void *ctx, const struct drain_word *word),
		void *ctx)
{
	struct entry *e, *next;

	HASH_ITER(hh, drain->entries, e, next) {
		for (int i = 0; i < DRAIN_SOURCE_COUNT; i++) {
			const struct mark *m = &e->marks[i];
			struct drain_word word = {
				.worker = e->worker,
				.source = (enum drain_source)i,
				.leaving = m->leaving,
				.observed_ms = m->observed_ms,
			};

			if (m->known &&
			    (now_ms < m->tell_until_ms || (all && m->leaving)))
				visit(ctx, &word);
		}
	}
}

static bool is_forgettable(const struct entry *e, uint64_t now_ms)
{
	for (int i = 0; i < DRAIN_SOURCE_COUNT; i++)
		if (e->marks[i].leaving ||
		    now_ms < e->marks[i].observed_ms + FORGET_MS)
			return false;
	return true;
}

void drain_tick(struct drain *drain, uint64_t now_ms)
{
	struct entry *e, *next;

	HASH_ITER(hh, drain->entries, e, next) {
		if (!is_forgettable(e, now_ms))
			continue;
		HASH_DEL(drain->entries, e);
		talloc_free(e);
	}
}
