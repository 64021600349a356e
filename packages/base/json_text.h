#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * JSON strings: written directly where building a json-c tree would cost too
 * much, and read from json-c trees.
 */

/*
 * Writes text as a quoted JSON string into buf, truncated to fit, and returns
 * the number of bytes written without the final NUL. size must be at least 3.
 */
size_t json_text_quote(char *buf, size_t size, const char *text);

/*
 * Returns the string at a key, owned by the object, or NULL when the key is
 * absent or its value is not a string.
 */
const char *json_text_get(json_object *obj, const char *key);

#define JSON_TEXT_SAMPLE_BYTES 96 /* of text that is quoted in logs */

/*
 * Writes the beginning of len bytes of text as a quoted string of printable
 * ASCII, with other bytes as '?', for logs.
 */
void json_text_sample(char *buf, size_t size, const char *text, size_t len);

/*
 * Overwrites each element of a list in a JSON text that has brackets nested
 * deeper than max_depth, so that the text can be parsed with that limit and
 * the other elements are kept. An overwritten element reads as 0. row_depth is
 * the number of brackets around an element: 1 for a text that is a list.
 * Returns the number of such elements; sample, of size bytes, gets the
 * beginning of the last one as a JSON string and is unchanged without one.
 */
size_t json_text_blank_deep(char *text, size_t len, unsigned row_depth,
			    unsigned max_depth, char *sample, size_t size);

/* Add a string, a number or a boolean to an object. */
void json_text_add_text(json_object *obj, const char *key, const char *value);
void json_text_add_number(json_object *obj, const char *key, uint64_t value);
/* Adds a string of 16 hexadecimal digits, as used for incarnations. */
void json_text_add_hex(json_object *obj, const char *key, uint64_t value);
void json_text_add_flag(json_object *obj, const char *key, bool value);

#endif
