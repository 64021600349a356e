#ifndef CORE_TESTS_FAKE_STORE_H
#define CORE_TESTS_FAKE_STORE_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/lease_node.h"

/*
 * The late starts that instances of a simulation keep in the platform's store,
 * and read from it every FAKE_STORE_READ_MS. Not for calls that fail: an
 * instance that is cut off from the store makes none.
 */

#define FAKE_STORE_CALL_MS 8 /* until a call is answered */
#define FAKE_STORE_TIMEOUT_MS 1000 /* until a call that is lost has failed */
#define FAKE_STORE_READ_MS 1200 /* between two reads of an instance */

struct fake_store;

/* What an instance has read; all 0 for one that has just started. */
struct fake_store_reader {
	uint64_t due_ms; /* of the next read */
	size_t next;
};

struct fake_store *fake_store_create(TALLOC_CTX *mem);

void fake_store_keep(struct fake_store *store, uint64_t from,
		     const Bergamot__LateStarts *msg, uint64_t now_ms);

/* To be called in each tick of an instance, after it. */
void fake_store_read(const struct fake_store *store,
		     struct fake_store_reader *reader,
		     struct lease_node *lease_node, uint64_t now_ms);

#endif
