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

/* Add a string, a number or a boolean to an object. */
void json_text_add_text(json_object *obj, const char *key, const char *value);
void json_text_add_number(json_object *obj, const char *key, uint64_t value);
/* Adds a string of 16 hexadecimal digits, as used for incarnations. */
void json_text_add_hex(json_object *obj, const char *key, uint64_t value);
void json_text_add_flag(json_object *obj, const char *key, bool value);

#endif
