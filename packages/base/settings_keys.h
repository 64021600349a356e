#ifndef BASE_SETTINGS_KEYS_H
#define BASE_SETTINGS_KEYS_H

#include "base/settings.h"

/*
 * The table of keys, private to settings*.c. settings.c defines the table and
 * reads files; settings_print.c prints the current settings and the table.
 */

enum settings_kind {
	TEXT,
	WORD,
	ADDRESS,
	NUMBER,
	DECIMAL, /* a number with or without a fraction */
	FLAG,
	TEXT_LIST,
	DOCUMENT,
};

/*
 * One key. min and max bound a NUMBER's or DECIMAL's value or a TEXT's bytes; a
 * WORD is one of the words in allowed, separated by '|'.
 */
struct settings_key {
	const char *path;
	enum settings_kind kind;
	size_t offset;
	const char *initial; /* NULL: unset */
	long min;
	long max;
	const char *unit;
	const char *allowed;
	const char *doc;
};

extern const struct settings_key settings_keys[];
extern const size_t settings_key_count;

/*
 * Describes the key's allowed values for an error message or a table. The text
 * is static or owned by mem.
 */
const char *settings_allowed(TALLOC_CTX *mem, const struct settings_key *key);

#endif
