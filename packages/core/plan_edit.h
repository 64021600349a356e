#ifndef CORE_PLAN_EDIT_H
#define CORE_PLAN_EDIT_H

#include <json-c/json.h>
#include <stdint.h>
#include <talloc.h>

/* Edits a configuration document, held as JSON; for plan.c alone. */

/*
 * Applies an intent. Returns NULL, or what is wrong with the intent, owned by
 * mem; the document is then to be thrown away.
 */
char *plan_edit_apply(TALLOC_CTX *mem, json_object *doc, json_object *intent);

/* Sets the version and adds a plan's id to the ones remembered. */
void plan_edit_sign(json_object *doc, uint64_t version, const char *plan);

/*
 * The entries of a list by name, as an object to be put back; a list of names
 * gives each name an empty entry.
 */
json_object *plan_edit_by_name(json_object *list);

#endif
