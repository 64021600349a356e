#ifndef BASE_BASE64_H
#define BASE_BASE64_H

#include <stddef.h>
#include <talloc.h>

/* Base64 with the standard alphabet and padding (RFC 4648, section 4). */

/* Returns NUL-terminated text with padding, owned by mem. */
char *base64_encode(TALLOC_CTX *mem, const void *data, size_t len);

/*
 * Decodes text into a NUL-terminated buffer and stores the number of decoded
 * bytes in *len. Returns NULL when text is not valid base64.
 */
char *base64_decode(TALLOC_CTX *mem, const char *text, size_t *len);

#endif
