#ifndef CTL_JSON_VIEW_H
#define CTL_JSON_VIEW_H

#include <json-c/json.h>

/* Reading answers for people: what is absent reads as NULL or empty. */

/* The value at a key, which stays the object's; obj may be NULL. */
json_object *json_view_value(json_object *obj, const char *key);

/* A value as text; fallback when it is absent. */
const char *json_view_text_or(json_object *obj, const char *key,
			      const char *fallback);

/* The same with an empty text. */
const char *json_view_text(json_object *obj, const char *key);

/* Entries of a list; 0 for anything else. */
size_t json_view_length(json_object *list);

#endif
