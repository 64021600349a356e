#ifndef CTL_JSON_VIEW_H
#define CTL_JSON_VIEW_H

#include <json-c/json.h>

/* Accessors for JSON answers; absent values read as NULL or empty. */

/*
 * Returns the value at a key, owned by the object, or NULL when absent. obj may
 * be NULL.
 */
json_object *json_view_value(json_object *obj, const char *key);

/* Returns the value at a key as text, or fallback when it is absent. */
const char *json_view_text_or(json_object *obj, const char *key,
			      const char *fallback);

/* Like json_view_text_or with an empty fallback. */
const char *json_view_text(json_object *obj, const char *key);

/* Returns the length of an array; 0 for any other value. */
size_t json_view_length(json_object *list);

#endif
