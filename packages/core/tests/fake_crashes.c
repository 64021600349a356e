#include "fake_crashes.h"

#include <stdio.h>

#include "base/hash_table.h"

#define KEY_BYTES (STEP_JOB_TASK_BYTES + 48) /* task, worker and start time */

struct lost_run {
	UT_hash_handle hh;
	char key[KEY_BYTES];
};

struct fake_crashes {
	struct lost_run *runs;
};

/* talloc frees the entries, but not the hash table. */
static int destroy(struct fake_crashes *crashes)
{
	HASH_CLEAR(hh, crashes->runs);
	return 0;
}

struct fake_crashes *fake_crashes_create(TALLOC_CTX *mem)
{
	struct fake_crashes *crashes = talloc_zero(mem, struct fake_crashes);

	talloc_set_destructor(crashes, destroy);
	return crashes;
}

static void format_key(char key[KEY_BYTES], const char *task, uint64_t worker,
		       uint64_t born_ms)
{
	snprintf(key, KEY_BYTES, "%s %016llx %llu", task,
		 (unsigned long long)worker, (unsigned long long)born_ms);
}

static struct lost_run *find_run(const struct fake_crashes *crashes,
				 const char *key)
{
	struct lost_run *run;

	HASH_FIND_STR(crashes->runs, key, run);
	return run;
}

void fake_crashes_note(struct fake_crashes *crashes, const char *task,
		       const char *worker, uint64_t born_ms)
{
	struct lost_run *run;
	char key[KEY_BYTES];

	format_key(key, task, crash_worker_key(worker), born_ms);
	if (find_run(crashes, key))
		return;
	run = talloc_zero(crashes, struct lost_run);
	snprintf(run->key, sizeof(run->key), "%s", key);
	HASH_ADD_STR(crashes->runs, key, run);
}

const char *fake_crashes_find_false(const struct fake_crashes *crashes,
				    const struct crash_records *records)
{
	const struct crash_record *record = crash_first(records);

	for (; record; record = record->hh.next) {
		for (uint32_t i = 0; i < record->count; i++) {
			const struct crash_note *crash = &record->crashes[i];
			char key[KEY_BYTES];

			if (!crash->is_confirmed || crash->is_doubtful)
				continue;
			format_key(key, record->task, crash->worker,
				   crash->born_ms);
			if (!find_run(crashes, key))
				return record->task;
		}
	}
	return NULL;
}
