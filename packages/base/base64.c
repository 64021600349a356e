#include "base/base64.h"

#include <stdint.h>
#include <string.h>

static const char alphabet[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

char *base64_encode(TALLOC_CTX *mem, const void *data, size_t len)
{
	const uint8_t *in = data;
	char *text = talloc_zero_size(mem, (len + 2) / 3 * 4 + 1);
	char *out = text;

	for (size_t i = 0; i < len; i += 3) {
		size_t left = len - i;
		uint32_t group = (uint32_t)in[i] << 16;

		if (left > 1)
			group |= (uint32_t)in[i + 1] << 8;
		if (left > 2)
			group |= in[i + 2];
		*out++ = alphabet[group >> 18];
		*out++ = alphabet[group >> 12 & 63];
		*out++ = left > 1 ? alphabet[group >> 6 & 63] : '=';
		*out++ = left > 2 ? alphabet[group & 63] : '=';
	}
	return text;
}

static int decode_char(char c)
{
	const char *found = c ? strchr(alphabet, c) : NULL;

	return found ? (int)(found - alphabet) : -1;
}

/*
 * Returns the length of text without its padding, or 0 when len is not a
 * multiple of 4.
 */
static size_t unpadded_length(const char *text, size_t len)
{
	if (len % 4)
		return 0;
	for (int i = 0; i < 2 && len && text[len - 1] == '='; i++)
		len--;
	return len;
}

char *base64_decode(TALLOC_CTX *mem, const char *text, size_t *len)
{
	size_t total = strlen(text);
	size_t n = unpadded_length(text, total);
	char *data = talloc_zero_size(mem, n + 1);
	uint32_t bits = 0;

	*len = 0;
	if (total && !n) {
		talloc_free(data);
		return NULL;
	}
	for (size_t i = 0; i < n; i++) {
		int value = decode_char(text[i]);

		if (value < 0) {
			talloc_free(data);
			return NULL;
		}
		bits = bits << 6 | (uint32_t)value;
		if (i % 4)
			data[(*len)++] = (char)(bits >> (6 - i % 4 * 2));
	}
	data[*len] = '\0';
	return data;
}
