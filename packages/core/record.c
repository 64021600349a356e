#include "core/record.h"

#include <string.h>
#include "base/hash_table.h"

#define RECORD_BYTES 256 /* counted for a record without its answer */

struct key {
	uint64_t incarnation;
	uint64_t serial;
};

/*
 * Records are in two queues: one of all records, a part of which each tick
 * checks for expiry, and one of those with an answer, by time of finishing.
 */
struct entry {
	struct record record;
	struct key key;
	uint64_t expires_ms;
	uint64_t finished_ms;
	size_t answer_bytes;
	UT_hash_handle hh;
	TAILQ_ENTRY(entry) by_age;
	TAILQ_ENTRY(entry) by_answer;
};

TAILQ_HEAD(entry_list, entry);

struct record_table {
	struct record_options options;
	struct entry *by_key;
	struct entry_list all;
	struct entry_list answered;
	uint64_t memory_bytes;
};

#define RECORDS_PER_TICK 256 /* checked for expiry */

static struct entry *entry_of(struct record *record)
{
	return (struct entry *)record;
}

/* uthash does not allocate its tables with talloc. */
static int destroy(struct record_table *table)
{
	HASH_CLEAR(hh, table->by_key);
	return 0;
}

struct record_table *record_table_create(TALLOC_CTX *mem,
					 const struct record_options *options)
{
	struct record_table *table = talloc_zero(mem, struct record_table);

	talloc_set_destructor(table, destroy);
	table->options = *options;
	TAILQ_INIT(&table->all);
	TAILQ_INIT(&table->answered);
	return table;
}

struct record *record_find(struct record_table *table, const struct job_id *id)
{
	struct key key = { id->incarnation, id->serial };
	struct entry *e;

	HASH_FIND(hh, table->by_key, &key, sizeof(key), e);
	return e ? &e->record : NULL;
}

static bool is_full(const struct record_table *table, uint64_t bytes)
{
	return table->memory_bytes + bytes > table->options.memory_bytes;
}

static struct entry *add(struct record_table *table, const struct job_id *id,
			 uint64_t body_hash, uint64_t expires_ms)
{
	struct entry *e = talloc_zero(table, struct entry);

	e->key.incarnation = e->record.incarnation = id->incarnation;
	e->key.serial = e->record.serial = id->serial;
	e->record.body_hash = body_hash;
	e->record.outcome.kind = OUTCOME_RUNNING;
	e->record.outcome.reason = OUTCOME_RUNNING_REASON;
	STAILQ_INIT(&e->record.waiters);
	e->expires_ms = expires_ms;
	HASH_ADD(hh, table->by_key, key, sizeof(e->key), e);
	TAILQ_INSERT_TAIL(&table->all, e, by_age);
	table->memory_bytes += RECORD_BYTES;
	return e;
}

struct record *record_add(struct record_table *table, const struct job_id *id,
			  uint64_t body_hash, uint64_t expires_ms)
{
	if (is_full(table, RECORD_BYTES))
		return NULL;
	return &add(table, id, body_hash, expires_ms)->record;
}

void record_add_waiter(struct record *record, uint64_t peer, uint64_t request)
{
	struct record_waiter *w =
		talloc_zero(entry_of(record), struct record_waiter);

	w->peer = peer;
	w->request = request;
	STAILQ_INSERT_TAIL(&record->waiters, w, entry);
}

bool record_remove_waiter(struct record *record, uint64_t peer,
			  uint64_t request)
{
	struct record_waiter *w;

	STAILQ_FOREACH(w, &record->waiters, entry) {
		if (w->peer != peer || w->request != request)
			continue;
		STAILQ_REMOVE(&record->waiters, w, record_waiter, entry);
		talloc_free(w);
		return true;
	}
	return false;
}

void record_finish(struct record_table *table, struct record *record,
		   const struct outcome *outcome, uint64_t now_ms)
{
	struct entry *e = entry_of(record);

	record->outcome = *outcome;
	record->job = NULL;
	e->finished_ms = now_ms;
	if (!outcome->results)
		return;
	e->answer_bytes = strlen(outcome->results) + 1;
	record->outcome.results =
		talloc_strndup(e, outcome->results, e->answer_bytes - 1);
	table->memory_bytes += e->answer_bytes;
	TAILQ_INSERT_TAIL(&table->answered, e, by_answer);
}

void record_adopt(struct record_table *table, const struct record *from,
		  uint64_t expires_ms, uint64_t now_ms)
{
	struct job_id id = { .incarnation = from->incarnation,
			     .serial = from->serial };
	struct outcome outcome = from->outcome;
	struct record *record;

#ifndef BREAK_ADOPT
	if (record_find(table, &id))
		return;
#endif
	record = &add(table, &id, from->body_hash, expires_ms)->record;
	if (outcome.results && is_full(table, strlen(outcome.results) + 1)) {
		outcome.results = NULL;
		outcome.reason = OUTCOME_ANSWER_DROPPED_REASON;
	}
	record_finish(table, record, &outcome, now_ms);
}

uint64_t record_remaining_ms(const struct record *record, uint64_t now_ms)
{
	const struct entry *e = (const struct entry *)record;

	return e->expires_ms > now_ms ? e->expires_ms - now_ms : 0;
}

static void drop_answer(struct record_table *table, struct entry *e)
{
	if (!e->answer_bytes)
		return;
	talloc_free((char *)e->record.outcome.results);
	e->record.outcome.results = NULL;
	e->record.outcome.reason = OUTCOME_ANSWER_DROPPED_REASON;
	table->memory_bytes -= e->answer_bytes;
	e->answer_bytes = 0;
	TAILQ_REMOVE(&table->answered, e, by_answer);
}

static void drop_record(struct record_table *table, struct entry *e)
{
	drop_answer(table, e);
	HASH_DELETE(hh, table->by_key, e); /* NOLINT(*NullDereference) */
	TAILQ_REMOVE(&table->all, e, by_age);
	table->memory_bytes -= RECORD_BYTES;
	talloc_free(e);
}

void record_tick(struct record_table *table, uint64_t now_ms)
{
	struct entry *e, *next;
	int checks = RECORDS_PER_TICK;

	while ((e = TAILQ_FIRST(&table->answered)) &&
	       e->finished_ms + table->options.answer_ms <= now_ms)
		drop_answer(table, e);
	for (e = TAILQ_FIRST(&table->all); e && checks--; e = next) {
		next = TAILQ_NEXT(e, by_age);
		if (e->record.job || e->expires_ms > now_ms) {
			/* To the tail: the next tick checks other records. */
			TAILQ_REMOVE(&table->all, e, by_age);
			TAILQ_INSERT_TAIL(&table->all, e, by_age);
			continue;
		}
		drop_record(table, e);
	}
}

void record_each(struct record_table *table,
		 void (*visit)(void *ctx, struct record *record), void *ctx)
{
	struct entry *e, *next;

	for (e = TAILQ_FIRST(&table->all); e; e = next) {
		next = TAILQ_NEXT(e, by_age);
		visit(ctx, &e->record);
	}
}

size_t record_count(const struct record_table *table)
{
	return HASH_COUNT(table->by_key);
}

uint64_t record_memory_bytes(const struct record_table *table)
{
	return table->memory_bytes;
}
