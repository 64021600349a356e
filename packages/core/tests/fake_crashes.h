#ifndef CORE_TESTS_FAKE_CRASHES_H
#define CORE_TESTS_FAKE_CRASHES_H

#include <stdint.h>
#include <talloc.h>

#include "core/crash_record.h"

/*
 * What simulated workers ran when their processes ended, to hold leaders'
 * records of crashes against.
 */
struct fake_crashes;

struct fake_crashes *fake_crashes_create(TALLOC_CTX *mem);

/* Notes that a process of a worker has ended while it ran the task. */
void fake_crashes_note(struct fake_crashes *crashes, const char *task,
		       const char *worker, uint64_t born_ms);

/*
 * Returns the task of a record with a confirmed crash of a worker that did not
 * run it then, unless that crash is doubtful; NULL if there is none.
 */
const char *fake_crashes_find_false(const struct fake_crashes *crashes,
				    const struct crash_records *records);

#endif
