#include "core/plan_edit.h"

#include <stdbool.h>
#include <string.h>

#include "base/json_text.h"

#define MAX_PLAN_IDS 32

/* Returns the document's list under a key, added empty if it is absent. */
static json_object *get_or_add_list(json_object *doc, const char *key)
{
	json_object *list;

	if (json_object_object_get_ex(doc, key, &list))
		return list;
	list = json_object_new_array();
	json_object_object_add(doc, key, list);
	return list;
}

static const char *name_of(json_object *entry)
{
	return json_object_is_type(entry, json_type_string)
		       ? json_object_get_string(entry)
		       : json_text_get(entry, "name");
}

json_object *plan_edit_index_by_name(json_object *list)
{
	json_object *map = json_object_new_object();
	size_t count = list ? json_object_array_length(list) : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *entry = json_object_array_get_idx(list, i);
		const char *name = name_of(entry);
		bool is_name = json_object_is_type(entry, json_type_string);

		if (name)
			json_object_object_add(
				map, name,
				is_name ? json_object_new_object()
					: json_object_get(entry));
	}
	return map;
}

/* Returns the index of the entry with that name, or the list's length. */
static size_t find(json_object *list, const char *name)
{
	size_t count = json_object_array_length(list);
	size_t i;

	for (i = 0; i < count; i++) {
		const char *other = name_of(json_object_array_get_idx(list, i));

		if (other && !strcmp(other, name))
			break;
	}
	return i;
}

static char *not_found_message(TALLOC_CTX *mem, const char *kind,
			       const char *name)
{
	return talloc_asprintf(mem, "there is no %s %s", kind, name);
}

static json_object *listed_workers(json_object *intent)
{
	json_object *list;

	if (!json_object_object_get_ex(intent, "workers", &list) ||
	    !json_object_is_type(list, json_type_array) ||
	    !json_object_array_length(list))
		return NULL;
	return list;
}

static char *add_workers(TALLOC_CTX *mem, json_object *doc, json_object *intent)
{
	json_object *workers = get_or_add_list(doc, "workers");
	json_object *added = listed_workers(intent);

	if (!added)
		return talloc_strdup(mem, "add-workers needs a list 'workers'");
	for (size_t i = 0; i < json_object_array_length(added); i++)
		json_object_array_add(
			workers,
			json_object_get(json_object_array_get_idx(added, i)));
	return NULL;
}

static char *remove_workers(TALLOC_CTX *mem, json_object *doc,
			    json_object *intent)
{
	json_object *workers = get_or_add_list(doc, "workers");
	json_object *removed = listed_workers(intent);

	if (!removed)
		return talloc_strdup(
			mem, "remove-workers needs a list 'workers' of names");
	for (size_t i = 0; i < json_object_array_length(removed); i++) {
		const char *name =
			name_of(json_object_array_get_idx(removed, i));
		size_t at = find(workers, name ? name : "");

		if (at == json_object_array_length(workers))
			return not_found_message(mem, "worker",
						 name ? name : "(no name)");
		json_object_array_del_idx(workers, at, 1);
	}
	return NULL;
}

static char *drain_data_centre(TALLOC_CTX *mem, json_object *doc,
			       const char *name, bool drained)
{
	json_object *list = get_or_add_list(doc, "drained_data_centres");
	json_object *workers = get_or_add_list(doc, "workers");
	size_t at = find(list, name);
	bool present = at < json_object_array_length(list);
	bool exists = present;

	for (size_t i = 0; i < json_object_array_length(workers); i++) {
		const char *dc = json_text_get(
			json_object_array_get_idx(workers, i), "data_centre");

		exists = exists || (dc && !strcmp(dc, name));
	}
	if (!exists)
		return talloc_asprintf(mem, "data centre %s has no workers",
				       name);
	if (drained && !present)
		json_object_array_add(list, json_object_new_string(name));
	if (!drained && present)
		json_object_array_del_idx(list, at, 1);
	return NULL;
}

static char *set_drained(TALLOC_CTX *mem, json_object *doc, json_object *intent,
			 bool drained)
{
	json_object *workers = get_or_add_list(doc, "workers");
	const char *dc = json_text_get(intent, "data_centre");
	const char *name = json_text_get(intent, "worker");
	size_t at;

	if (!dc == !name)
		return talloc_strdup(mem,
				     "name one of 'worker' and 'data_centre'");
	if (dc)
		return drain_data_centre(mem, doc, dc, drained);
	at = find(workers, name);
	if (at == json_object_array_length(workers))
		return not_found_message(mem, "worker", name);
	json_object_object_add(json_object_array_get_idx(workers, at),
			       "drained", json_object_new_boolean(drained));
	return NULL;
}

static char *drain(TALLOC_CTX *mem, json_object *doc, json_object *intent)
{
	return set_drained(mem, doc, intent, true);
}

static char *undrain(TALLOC_CTX *mem, json_object *doc, json_object *intent)
{
	return set_drained(mem, doc, intent, false);
}

/*
 * Copies all other members of the intent to the named entry, which is added if
 * it is absent.
 */
static char *set_entry(TALLOC_CTX *mem, json_object *list, const char *kind,
		       json_object *intent)
{
	const char *name = json_text_get(intent, kind);
	json_object *entry;
	size_t at;

	if (!name)
		return talloc_asprintf(mem, "name the '%s'", kind);
	at = find(list, name);
	if (at == json_object_array_length(list)) {
		entry = json_object_new_object();
		json_object_object_add(entry, "name",
				       json_object_new_string(name));
		json_object_array_add(list, entry);
	}
	entry = json_object_array_get_idx(list, at);
	json_object_object_foreach(intent, key, value)
	{
		if (strcmp(key, "intent") && strcmp(key, kind))
			json_object_object_add(entry, key,
					       json_object_get(value));
	}
	return NULL;
}

static char *set_limit(TALLOC_CTX *mem, json_object *doc, json_object *intent)
{
	return set_entry(mem, get_or_add_list(doc, "teams"), "team", intent);
}

static char *set_service(TALLOC_CTX *mem, json_object *doc, json_object *intent)
{
	return set_entry(mem, get_or_add_list(doc, "services"), "service",
			 intent);
}

char *plan_edit_apply(TALLOC_CTX *mem, json_object *doc, json_object *intent)
{
	static const struct {
		const char *name;
		char *(*apply)(TALLOC_CTX *mem, json_object *doc,
			       json_object *intent);
	} intents[] = {
		{ "add-workers", add_workers },
		{ "remove-workers", remove_workers },
		{ "drain", drain },
		{ "undrain", undrain },
		{ "set-limit", set_limit },
		{ "set-service", set_service },
	};
	const char *name = json_text_get(intent, "intent");

	for (size_t i = 0; name && i < sizeof(intents) / sizeof(intents[0]);
	     i++)
		if (!strcmp(intents[i].name, name))
			return intents[i].apply(mem, doc, intent);
	return talloc_asprintf(mem,
			       "unknown intent %s; known: add-workers, "
			       "remove-workers, drain, undrain, set-limit, "
			       "set-service",
			       name ? name : "(none)");
}

void plan_edit_record_plan(json_object *doc, uint64_t version, const char *plan)
{
	json_object *plans = get_or_add_list(doc, "plans");
	size_t count;

	json_object_object_add(doc, "version", json_object_new_uint64(version));
	json_object_array_add(plans, json_object_new_string(plan));
	count = json_object_array_length(plans);
	if (count > MAX_PLAN_IDS)
		json_object_array_del_idx(plans, 0, count - MAX_PLAN_IDS);
}
