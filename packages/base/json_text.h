#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Texts in JSON: written by hand where a tree would cost too much, and read
 * from json-c's trees.
 */

/*
 * Writes text as a quoted JSON string into buf, cut to fit, and returns the
 * bytes written without the final NUL. size is at least 3.
 */
size_t json_text_quote(char *buf, size_t size, const char *text);

/* The text at a key, which stays the object's; NULL for anything else. */
const char *json_text_get(json_object *obj, const char *key);

/* Add a member of that type. */
void json_text_add_text(json_object *obj, const char *key, const char *value);
void json_text_add_number(json_object *obj, const char *key, uint64_t value);
/* As 16 hexadecimal digits: an incarnation. */
void json_text_add_hex(json_object *obj, const char *key, uint64_t value);
void json_text_add_flag(json_object *obj, const char *key, bool value);

#endif
