#ifndef BASE_HASH_TABLE_H
#define BASE_HASH_TABLE_H

/* uthash tables with xxhash as the hash function. */

#include <xxhash.h>

#define HASH_FUNCTION(key, key_len, hash)                                      \
	((hash) = (unsigned)XXH3_64bits(key, key_len))

#include <uthash.h>

/*
 * Removes an item, which must be in the table. The NULL check is there for the
 * static analyser, which cannot know that the table is not empty.
 */
#define HASH_REMOVE(head, item)                                                \
	do {                                                                   \
		if (head)                                                      \
			HASH_DEL(head, item);                                  \
	} while (0)

#endif
