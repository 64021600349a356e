#ifndef CORE_PLAN_EDIT_H
#define CORE_PLAN_EDIT_H

#include <json-c/json.h>
#include <stdint.h>
#include <talloc.h>

/* Edits a configuration document held as JSON. Used by plan.c only. */

/*
 * Applies an intent. Returns NULL, or an error text about the intent, owned by
 * mem; the document may then be half edited and must be discarded.
 */
char *plan_edit_apply(TALLOC_CTX *mem, json_object *doc, json_object *intent);

/* Sets the version and appends a plan's id to the document's plan list. */
void plan_edit_record_plan(json_object *doc, uint64_t version,
			   const char *plan);

/*
 * Returns the entries of a list as an object with their names as keys, to be
 * released with json_object_put. An entry that is a mere name gets an empty
 * object as its value.
 */
json_object *plan_edit_index_by_name(json_object *list);

#endif
