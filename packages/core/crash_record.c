#include "core/crash_record.h"

#include <stdio.h>
#include <string.h>

/* Crashes that prove a task's guilt, and those of workers that it had alone. */
#define MAX_CRASHES 3
#define MIN_CRASHES 2 /* of these, that are not doubtful */
#define MAX_ALONE_CRASHES 2
/* Crashes that prove it even if all fell into waves or are doubtful. */
#define MAX_CRASHES_IN_WAVES CRASH_RECORD_MAX_CRASHES

struct crash_records {
	struct crash_record *by_task;
	bool has_unsent;
};

static const char *const verdict_texts[] = {
	[CRASH_NONE] = "none",
	[CRASH_SUSPECT] = "suspect",
	[CRASH_UNDECIDED] = "undecided",
	[CRASH_IN_WAVE] = "waits for the end of the wave",
	[CRASH_GUILTY] = "guilty",
};

const char *crash_verdict_text(enum crash_verdict verdict)
{
	return verdict_texts[verdict];
}

/* talloc frees the entries, but not the hash table. */
static int destroy(struct crash_records *records)
{
	HASH_CLEAR(hh, records->by_task);
	return 0;
}

struct crash_records *crash_records_create(TALLOC_CTX *mem)
{
	struct crash_records *records = talloc_zero(mem, struct crash_records);

	talloc_set_destructor(records, destroy);
	return records;
}

uint64_t crash_worker_key(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

static void remove_record(struct crash_records *records,
			  struct crash_record *record)
{
	HASH_REMOVE(records->by_task, record);
	talloc_free(record);
}

struct crash_record *crash_first(const struct crash_records *records)
{
	return records->by_task;
}

struct crash_record *crash_find(const struct crash_records *records,
				const char *task)
{
	struct crash_record *record;

	HASH_FIND_STR(records->by_task, task, record);
	return record;
}

static bool is_confirmed(const struct crash_record *record)
{
	for (uint32_t i = 0; i < record->count; i++)
		if (record->crashes[i].is_confirmed)
			return true;
	return false;
}

static struct crash_record *least_needed(const struct crash_records *records)
{
	struct crash_record *record;

	for (record = records->by_task; record; record = record->hh.next)
		if (!is_confirmed(record))
			return record;
	return records->by_task;
}

static struct crash_record *add_record(struct crash_records *records,
				       const char *task)
{
	struct crash_record *record;

	if (HASH_COUNT(records->by_task) >= CRASH_RECORD_MAX_TASKS)
		remove_record(records, least_needed(records));
	record = talloc_zero(records, struct crash_record);
	snprintf(record->task, sizeof(record->task), "%s", task);
	HASH_ADD_STR(records->by_task, task, record);
	return record;
}

static struct crash_note *find_crash(struct crash_record *record,
				     const struct crash_note *same)
{
	for (uint32_t i = 0; i < record->count; i++)
		if (record->crashes[i].worker == same->worker &&
		    record->crashes[i].born_ms == same->born_ms)
			return &record->crashes[i];
	return NULL;
}

/* Another leader may have known of more runs on the worker, or of its end. */
static bool merge_crash(struct crash_note *crash, const struct crash_note *note)
{
	struct crash_note before = *crash;

	crash->is_alone = crash->is_alone && note->is_alone;
	crash->is_confirmed = crash->is_confirmed || note->is_confirmed;
	crash->is_in_wave = crash->is_in_wave || note->is_in_wave;
	crash->is_doubtful = crash->is_doubtful && note->is_doubtful;
	return crash->is_alone != before.is_alone ||
	       crash->is_confirmed != before.is_confirmed ||
	       crash->is_doubtful != before.is_doubtful ||
	       crash->is_in_wave != before.is_in_wave;
}

static bool append(struct crash_record *record, const struct crash_note *note)
{
	if (record->count == CRASH_RECORD_MAX_CRASHES)
		return false;
	record->crashes[record->count++] = *note;
	if (note->noted_ms + CRASH_RECORD_KEEP_MS > record->until_ms)
		record->until_ms = note->noted_ms + CRASH_RECORD_KEEP_MS;
	return true;
}

void crash_withdraw(struct crash_records *records, struct crash_record *record,
		    uint32_t index)
{
	record->crashes[index] = record->crashes[--record->count];
	if (!record->count)
		remove_record(records, record);
}

bool crash_note(struct crash_records *records, const char *task,
		const struct crash_note *note)
{
	struct crash_record *record = crash_find(records, task);
	struct crash_note *crash = record ? find_crash(record, note) : NULL;

	if (note->is_withdrawn) {
		if (!crash || crash->is_confirmed)
			return false;
		crash_withdraw(records, record,
			       (uint32_t)(crash - record->crashes));
		return true;
	}
	if (crash)
		return merge_crash(crash, note);
	return append(record ? record : add_record(records, task), note);
}

void crash_put(struct crash_records *records, const char *task,
	       const struct crash_note *note)
{
	struct crash_record *record = crash_find(records, task);
	struct crash_note *crash = record ? find_crash(record, note) : NULL;

	if (crash)
		*crash = *note;
	else
		append(record ? record : add_record(records, task), note);
}

void crash_forget(struct crash_records *records, const char *task)
{
	struct crash_record *record = crash_find(records, task);

	if (record)
		remove_record(records, record);
}

void crash_clear(struct crash_records *records)
{
	struct crash_record *record, *next;

	HASH_ITER(hh, records->by_task, record, next)
		remove_record(records, record);
}

static bool has_expired(const struct crash_note *crash, uint64_t now_ms)
{
	return !crash->is_confirmed &&
	       now_ms - crash->noted_ms > CRASH_UNCONFIRMED_KEEP_MS;
}

void crash_expire(struct crash_records *records, uint64_t now_ms)
{
	struct crash_record *record, *next;

	HASH_ITER(hh, records->by_task, record, next) {
		for (uint32_t i = record->count; i-- > 0;)
			if (has_expired(&record->crashes[i], now_ms))
				record->crashes[i] =
					record->crashes[--record->count];
		if (!record->count || record->until_ms <= now_ms)
			remove_record(records, record);
	}
}

struct crash_count {
	uint32_t all; /* that are not doubtful */
	uint32_t alone; /* of these */
	uint32_t doubtful;
};

static struct crash_count count_crashes(const struct crash_record *record,
					bool unconfirmed, bool in_waves)
{
	struct crash_count count = { 0, 0, 0 };

	for (uint32_t i = 0; i < record->count; i++) {
		const struct crash_note *crash = &record->crashes[i];

		if ((!crash->is_confirmed && !unconfirmed) ||
		    (crash->is_in_wave && !in_waves))
			continue;
		if (crash->is_doubtful) {
			count.doubtful += crash->is_confirmed;
			continue;
		}
		count.all++;
		count.alone += crash->is_alone;
	}
	return count;
}

/* A job is only given up if two workers have crashed under a task. */
static bool suffices(struct crash_count count)
{
	return count.alone >= MAX_ALONE_CRASHES ||
	       (count.all >= MIN_CRASHES &&
		count.all + count.doubtful >= MAX_CRASHES);
}

static bool is_proven(struct crash_count confirmed,
		      struct crash_count outside_waves)
{
	return suffices(outside_waves) ||
	       (confirmed.all >= MAX_CRASHES && outside_waves.alone) ||
	       confirmed.all + confirmed.doubtful >= MAX_CRASHES_IN_WAVES;
}

enum crash_verdict crash_judge(const struct crash_record *record)
{
	struct crash_count confirmed;

	if (!record || !record->count)
		return CRASH_NONE;
	confirmed = count_crashes(record, false, true);
	if (is_proven(confirmed, count_crashes(record, false, false)))
		return CRASH_GUILTY;
	if (!suffices(count_crashes(record, true, true)) &&
	    !crash_is_full(record))
		return CRASH_SUSPECT;
	return confirmed.all + confirmed.doubtful == record->count
		       ? CRASH_IN_WAVE
		       : CRASH_UNDECIDED;
}

bool crash_is_full(const struct crash_record *record)
{
	return record->count == CRASH_RECORD_MAX_CRASHES;
}

void crash_mark_unsent(struct crash_records *records,
		       struct crash_record *record)
{
	record->is_unsent = records->has_unsent = true;
}

bool crash_has_unsent(const struct crash_records *records)
{
	return records->has_unsent;
}

void crash_mark_all_sent(struct crash_records *records)
{
	struct crash_record *record;

	if (!records->has_unsent)
		return;
	for (record = records->by_task; record; record = record->hh.next)
		record->is_unsent = false;
	records->has_unsent = false;
}
