#ifndef WIRE_DEFLATE_H
#define WIRE_DEFLATE_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Compressed text in messages, by zlib. */

/* Compresses text; the length is talloc_get_size of the result. */
uint8_t *deflate_pack(TALLOC_CTX *mem, const char *text, size_t len);

/*
 * The text whose length the sender stated, NUL-terminated; NULL when it does
 * not unpack to just that length, or is longer than limit.
 */
char *deflate_unpack(TALLOC_CTX *mem, const uint8_t *data, size_t len,
		     size_t text_len, size_t limit);

#endif
