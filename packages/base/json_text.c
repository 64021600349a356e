#include "base/json_text.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define MAX_ESCAPE_BYTES 6 /* \u00XX */
#define HEX_BYTES 17 /* of 64 bits, with the final NUL */

static size_t write_escaped(char *out, unsigned char c)
{
	if (c == '"' || c == '\\') {
		out[0] = '\\';
		out[1] = (char)c;
		return 2;
	}
	if (c < 0x20 || c == 0x7f)
		return (size_t)sprintf(out, "\\u%04x", c);
	out[0] = (char)c;
	return 1;
}

size_t json_text_quote(char *buf, size_t size, const char *text)
{
	size_t len = 0;

	buf[len++] = '"';
	/* Reserve space for one escape, the closing quote and the NUL. */
	for (; *text && len + MAX_ESCAPE_BYTES + 2 <= size; text++)
		len += write_escaped(buf + len, (unsigned char)*text);
	buf[len++] = '"';
	buf[len] = '\0';
	return len;
}

const char *json_text_get(json_object *obj, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(obj, key, &v) ||
	    !json_object_is_type(v, json_type_string))
		return NULL;
	return json_object_get_string(v);
}

/* Returns the index of the quote that ends the string starting at i. */
static size_t end_of_string(const char *text, size_t len, size_t i)
{
	for (i++; i < len && text[i] != '"'; i++)
		if (text[i] == '\\')
			i++;
	return i;
}

void json_text_sample(char *buf, size_t size, const char *text, size_t len)
{
	char part[JSON_TEXT_SAMPLE_BYTES];

	if (len >= sizeof(part))
		len = sizeof(part) - 1;
	for (size_t i = 0; i < len; i++)
		part[i] = text[i] >= ' ' && text[i] < 0x7f ? text[i] : '?';
	part[len] = '\0';
	json_text_quote(buf, size, part);
}

size_t json_text_blank_deep(char *text, size_t len, unsigned row_depth,
			    unsigned max_depth, char *sample, size_t size)
{
	size_t depth = 0, deepest = 0, begin = 0, count = 0;

	for (size_t i = 0; i < len; i++) {
		char c = text[i];

		if (c == '"') {
			i = end_of_string(text, len, i);
		} else if (c == '[' || c == '{') {
			if (depth == row_depth) {
				begin = i;
				deepest = 0;
			}
			if (++depth > deepest)
				deepest = depth;
		} else if (c == ']' || c == '}') {
			if (!depth)
				break;
			if (--depth != row_depth || deepest <= max_depth)
				continue;
#ifdef BREAK_DEEP
			continue;
#endif
			json_text_sample(sample, size, text + begin,
					 i + 1 - begin);
			memset(text + begin, ' ', i + 1 - begin);
			text[begin] = '0';
			count++;
		}
	}
	return count;
}

void json_text_add_text(json_object *obj, const char *key, const char *value)
{
	json_object_object_add(obj, key, json_object_new_string(value));
}

void json_text_add_number(json_object *obj, const char *key, uint64_t value)
{
	json_object_object_add(obj, key, json_object_new_int64((int64_t)value));
}

void json_text_add_hex(json_object *obj, const char *key, uint64_t value)
{
	char text[HEX_BYTES];

	snprintf(text, sizeof(text), "%016" PRIx64, value);
	json_text_add_text(obj, key, text);
}

void json_text_add_flag(json_object *obj, const char *key, bool value)
{
	json_object_object_add(obj, key,
			       json_object_new_boolean((json_bool)value));
}
