#include "wire/deflate.h"

#include <zlib.h>

uint8_t *deflate_pack(TALLOC_CTX *mem, const char *text, size_t len)
{
	uLongf size = compressBound(len);
	uint8_t *packed = talloc_array(mem, uint8_t, (unsigned)size);

	if (compress2(packed, &size, (const Bytef *)text, len, Z_BEST_SPEED) !=
	    Z_OK)
		size = 0;
	return talloc_realloc(mem, packed, uint8_t, (unsigned)size);
}

char *deflate_unpack(TALLOC_CTX *mem, const uint8_t *data, size_t len,
		     size_t text_len, size_t limit)
{
	uLongf size = text_len;
	char *text;

	if (!text_len || text_len > limit)
		return NULL;
	text = talloc_array(mem, char, (unsigned)text_len + 1);
	if (uncompress((Bytef *)text, &size, data, len) != Z_OK ||
	    size != text_len) {
		talloc_free(text);
		return NULL;
	}
	text[text_len] = '\0';
	return text;
}
