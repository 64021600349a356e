#ifndef WIRE_DEFLATE_H
#define WIRE_DEFLATE_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Compression of texts in peer messages, with zlib. */

/*
 * Compresses len bytes of text; the packed length is talloc_get_size of the
 * result.
 */
uint8_t *deflate_pack(TALLOC_CTX *mem, const char *text, size_t len);

/*
 * Decompresses to a NUL-terminated text. Returns NULL when data does not unpack
 * to exactly text_len bytes, the length that the sender declared, or when
 * text_len is 0 or exceeds limit.
 */
char *deflate_unpack(TALLOC_CTX *mem, const uint8_t *data, size_t len,
		     size_t text_len, size_t limit);

#endif
