#include "core/config.h"

#include <json-c/json.h>
#include <stddef.h>
#include <string.h>

#include "base/hash_table.h"

#define MAX_SLOTS 4096 /* of one worker */
#define MAX_RATE 100000000 /* tasks per second */
#define MAX_NAME_BYTES 63
#define MAX_DEADLINE_MS 3600000
#define NAME_CHARACTERS                                                        \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
#define ADDRESS_CHARACTERS NAME_CHARACTERS ":[]"

enum field_kind { NAME, ADDRESS, NUMBER, FLAG };

struct field {
	const char *key;
	enum field_kind kind;
	size_t offset;
	bool required;
	uint32_t max; /* for a NUMBER */
};

static const struct field service_fields[] = {
	{ "name", NAME, offsetof(struct config_service, name), true, 0 },
	{ "deadline_ms", NUMBER, offsetof(struct config_service, deadline_ms),
	  false, MAX_DEADLINE_MS },
	{ "max_tasks", NUMBER, offsetof(struct config_service, max_tasks),
	  false, 100000 },
	{ 0 },
};

static const struct field worker_fields[] = {
	{ "name", NAME, offsetof(struct config_worker, name), true, 0 },
	{ "address", ADDRESS, offsetof(struct config_worker, address), true,
	  0 },
	{ "data_centre", NAME, offsetof(struct config_worker, data_centre),
	  true, 0 },
	{ "rack", NAME, offsetof(struct config_worker, rack), false, 0 },
	{ "service", NAME, offsetof(struct config_worker, service), true, 0 },
	{ "slots", NUMBER, offsetof(struct config_worker, slots), true,
	  MAX_SLOTS },
	{ "drained", FLAG, offsetof(struct config_worker, drained), false, 0 },
	{ 0 },
};

static const struct field team_fields[] = {
	{ "name", NAME, offsetof(struct config_team, name), true, 0 },
	{ "tasks_per_s", NUMBER, offsetof(struct config_team, tasks_per_s),
	  false, MAX_RATE },
	{ "burst", NUMBER, offsetof(struct config_team, burst), false,
	  MAX_RATE },
	{ "weight", NUMBER, offsetof(struct config_team, weight), false, 1000 },
	{ 0 },
};

struct reader {
	struct config_document *doc;
	enum config_status status;
	char *message;
};

static bool reject(struct reader *r, const char *list, size_t index,
		   const char *key, const char *allowed)
{
	r->status = CONFIG_INVALID;
	r->message = talloc_asprintf(NULL, "%s[%zu].%s: allowed: %s", list,
				     index, key, allowed);
	return false;
}

static const char *read_field(struct reader *r, const struct field *f,
			      char *base, json_object *v)
{
	const char *text = json_object_get_string(v);
	size_t len = v ? strlen(text) : 0;
	int64_t n = json_object_get_int64(v);

	switch (f->kind) {
	case NAME:
	case ADDRESS:
		if (!json_object_is_type(v, json_type_string) || !len ||
		    len > MAX_NAME_BYTES ||
		    strspn(text, f->kind == NAME ? NAME_CHARACTERS
						 : ADDRESS_CHARACTERS) != len)
			return "1 to 63 letters, digits, '.', '_' or '-'";
		*(char **)(base + f->offset) = talloc_strdup(r->doc, text);
		return NULL;
	case NUMBER:
		if (!json_object_is_type(v, json_type_int) || n < 0 ||
		    n > f->max)
			return talloc_asprintf(
				r->doc, "a whole number from 0 to %u", f->max);
		*(uint32_t *)(base + f->offset) = (uint32_t)n;
		return NULL;
	case FLAG:
		if (!json_object_is_type(v, json_type_boolean))
			return "true or false";
		*(bool *)(base + f->offset) = json_object_get_boolean(v);
		return NULL;
	}
	return NULL;
}

static bool read_entry(struct reader *r, const char *list, size_t index,
		       const struct field *fields, char *base, json_object *v)
{
	size_t found = 0;

	if (!json_object_is_type(v, json_type_object))
		return reject(r, list, index, "", "an object");
	for (const struct field *f = fields; f->key; f++) {
		json_object *value;
		const char *allowed;

		if (!json_object_object_get_ex(v, f->key, &value)) {
			if (f->required)
				return reject(r, list, index, f->key,
					      "a value; it is missing");
			continue;
		}
		found++;
		allowed = read_field(r, f, base, value);
		if (allowed)
			return reject(r, list, index, f->key, allowed);
	}
	if (found != (size_t)json_object_object_length(v))
		return reject(r, list, index, "", "known keys only");
	return true;
}

/* Reads a list of entries of the given size; an absent list is empty. */
static bool read_entries(struct reader *r, json_object *root, const char *list,
			 const struct field *fields, size_t size, void **out,
			 size_t *count)
{
	json_object *array;
	size_t n;

	if (!json_object_object_get_ex(root, list, &array))
		return true;
	if (!json_object_is_type(array, json_type_array))
		return reject(r, list, 0, "", "a list");
	n = json_object_array_length(array);
	*out = talloc_zero_size(r->doc, n * size + 1);
	*count = n;
	for (size_t i = 0; i < n; i++)
		if (!read_entry(r, list, i, fields, (char *)*out + i * size,
				json_object_array_get_idx(array, i)))
			return false;
	return true;
}

static bool read_names(struct reader *r, json_object *root, const char *list,
		       char ***out, size_t *count)
{
	json_object *array;
	size_t n;

	if (!json_object_object_get_ex(root, list, &array))
		return true;
	if (!json_object_is_type(array, json_type_array))
		return reject(r, list, 0, "", "a list");
	n = json_object_array_length(array);
	*out = talloc_zero_array(r->doc, char *, (unsigned)n + 1);
	*count = n;
	for (size_t i = 0; i < n; i++) {
		json_object *v = json_object_array_get_idx(array, i);

		if (!json_object_is_type(v, json_type_string))
			return reject(r, list, i, "", "a name");
		(*out)[i] = talloc_strdup(*out, json_object_get_string(v));
	}
	return true;
}

static bool read_version(struct reader *r, json_object *root)
{
	json_object *v;

	if (!json_object_object_get_ex(root, "version", &v) ||
	    !json_object_is_type(v, json_type_int) ||
	    json_object_get_int64(v) < 1)
		return reject(r, "version", 0, "", "a whole number from 1");
	r->doc->version = (uint64_t)json_object_get_int64(v);
	return true;
}

static bool check_known_keys(struct reader *r, json_object *root)
{
	static const char *const known[] = { "version", "services",
					     "workers", "teams",
					     "plans",	"drained_data_centres",
					     NULL };

	json_object_object_foreach(root, key, value)
	{
		const char *const *k = known;

		(void)value;
		while (*k && strcmp(*k, key))
			k++;
		if (!*k)
			return reject(r, key, 0, "", "known keys only");
	}
	return true;
}

/* A hash table of entries by name, as a document has thousands of workers. */
struct config_index {
	UT_hash_handle hh;
	const char *name;
	const void *entry;
};

static const void *find_entry(struct config_index *index, const char *name)
{
	struct config_index *found;

	HASH_FIND_STR(index, name, found);
	return found ? found->entry : NULL;
}

static bool index_names(struct reader *r, const char *list, const void *entries,
			size_t size, size_t count, struct config_index **index)
{
	struct config_index *nodes =
		talloc_zero_array(r->doc, struct config_index, (unsigned)count);

	for (size_t i = 0; i < count; i++) {
		const char *entry = (const char *)entries + i * size;

		/* In each entry's struct the name comes first. */
		nodes[i].name = *(char *const *)(const void *)entry;
		nodes[i].entry = entry;
		if (find_entry(*index, nodes[i].name))
			return reject(r, list, i, "name",
				      "a name that no other entry has");
		HASH_ADD_KEYPTR(hh, *index, nodes[i].name,
				strlen(nodes[i].name), &nodes[i]);
	}
	return true;
}

#define INDEX_NAMES(r, list, count, index)                                     \
	index_names(r, #list, (r)->doc->list, sizeof(*(r)->doc->list),         \
		    (r)->doc->count, &(r)->doc->index)

static bool check_workers(struct reader *r)
{
	struct config_document *doc = r->doc;

	for (size_t i = 0; i < doc->worker_count; i++) {
		const struct config_worker *w = &doc->workers[i];

		if (!w->slots)
			return reject(r, "workers", i, "slots", "1 or more");
		if (!config_find_service(doc, w->service))
			return reject(r, "workers", i, "service",
				      "the name of a listed service");
	}
	return true;
}

static int free_indexes(struct config_document *doc)
{
	HASH_CLEAR(hh, doc->services_by_name);
	HASH_CLEAR(hh, doc->workers_by_name);
	HASH_CLEAR(hh, doc->teams_by_name);
	return 0;
}

static bool read_document(struct reader *r, json_object *root)
{
	struct config_document *doc = r->doc;

	return check_known_keys(r, root) && read_version(r, root) &&
	       read_entries(r, root, "services", service_fields,
			    sizeof(struct config_service),
			    (void **)&doc->services, &doc->service_count) &&
	       read_entries(r, root, "workers", worker_fields,
			    sizeof(struct config_worker),
			    (void **)&doc->workers, &doc->worker_count) &&
	       read_entries(r, root, "teams", team_fields,
			    sizeof(struct config_team), (void **)&doc->teams,
			    &doc->team_count) &&
	       read_names(r, root, "drained_data_centres",
			  &doc->drained_data_centres, &doc->drained_count) &&
	       read_names(r, root, "plans", &doc->plans, &doc->plan_count) &&
	       INDEX_NAMES(r, services, service_count, services_by_name) &&
	       INDEX_NAMES(r, workers, worker_count, workers_by_name) &&
	       INDEX_NAMES(r, teams, team_count, teams_by_name) &&
	       check_workers(r);
}

struct config_document *config_parse(TALLOC_CTX *mem, const char *text,
				     size_t len, enum config_status *status,
				     char **message)
{
	struct reader r = { .status = CONFIG_OK };
	json_tokener *tok = json_tokener_new();
	json_object *root = json_tokener_parse_ex(tok, text, (int)len);
	bool ok = false;

	r.doc = talloc_zero(mem, struct config_document);
	talloc_set_destructor(r.doc, free_indexes);
	if (json_object_is_type(root, json_type_object)) {
		ok = read_document(&r, root);
	} else {
		r.status = CONFIG_SYNTAX;
		r.message = talloc_strdup(NULL, "not a JSON object");
	}
	json_object_put(root);
	json_tokener_free(tok);
	*status = r.status;
	*message = talloc_steal(mem, r.message);
	if (!ok) {
		talloc_free(r.doc);
		return NULL;
	}
	r.doc->text = talloc_strndup(r.doc, text, len);
	r.doc->text_len = strlen(r.doc->text);
	return r.doc;
}

static json_object *print_entry(const struct field *fields, const char *base)
{
	json_object *obj = json_object_new_object();

	for (const struct field *f = fields; f->key; f++) {
		json_object *v = NULL;

		switch (f->kind) {
		case NAME:
		case ADDRESS:
			if (!*(char *const *)(base + f->offset))
				continue;
			v = json_object_new_string(
				*(char *const *)(base + f->offset));
			break;
		case NUMBER:
			v = json_object_new_int64(
				*(const uint32_t *)(base + f->offset));
			break;
		case FLAG:
			v = json_object_new_boolean(
				*(const bool *)(base + f->offset));
			break;
		}
		json_object_object_add(obj, f->key, v);
	}
	return obj;
}

static bool is_same_text(const char *a, const char *b)
{
	return a == b || (a && b && !strcmp(a, b));
}

static bool is_same_field(const struct field *f, const char *a, const char *b)
{
	const void *x = a + f->offset, *y = b + f->offset;

	switch (f->kind) {
	case NAME:
	case ADDRESS:
		return is_same_text(*(char *const *)x, *(char *const *)y);
	case NUMBER:
		return *(const uint32_t *)x == *(const uint32_t *)y;
	case FLAG:
		return *(const bool *)x == *(const bool *)y;
	}
	return false;
}

static bool is_same_entry(const struct field *fields, const char *a,
			  const char *b)
{
	for (const struct field *f = fields; f->key; f++)
		if (!is_same_field(f, a, b))
			return false;
	return true;
}

/* Leaves out entries that are equal to the index's entry of that name. */
static json_object *print_entries(const struct field *fields, const void *base,
				  size_t size, size_t count,
				  struct config_index *index)
{
	json_object *array = json_object_new_array();

	for (size_t i = 0; i < count; i++) {
		const char *entry = (const char *)base + i * size;
		const char *other =
			find_entry(index, *(char *const *)(const void *)entry);

		if (!other || !is_same_entry(fields, entry, other))
			json_object_array_add(array,
					      print_entry(fields, entry));
	}
	return array;
}

static json_object *print_names(char *const *names, size_t count)
{
	json_object *array = json_object_new_array();

	for (size_t i = 0; i < count; i++)
		json_object_array_add(array, json_object_new_string(names[i]));
	return array;
}

char *config_print_changes(TALLOC_CTX *mem, const struct config_document *doc,
			   const struct config_document *other)
{
	static const struct config_document none;
	json_object *root = json_object_new_object();
	char *text;

	if (!other)
		other = &none;
	json_object_object_add(root, "version",
			       json_object_new_int64((int64_t)doc->version));
	json_object_object_add(root, "services",
			       print_entries(service_fields, doc->services,
					     sizeof(struct config_service),
					     doc->service_count,
					     other->services_by_name));
	json_object_object_add(root, "workers",
			       print_entries(worker_fields, doc->workers,
					     sizeof(struct config_worker),
					     doc->worker_count,
					     other->workers_by_name));
	json_object_object_add(root, "teams",
			       print_entries(team_fields, doc->teams,
					     sizeof(struct config_team),
					     doc->team_count,
					     other->teams_by_name));
	json_object_object_add(
		root, "drained_data_centres",
		print_names(doc->drained_data_centres, doc->drained_count));
#ifndef BREAK_PRINT
	json_object_object_add(root, "plans",
			       print_names(doc->plans, doc->plan_count));
#endif
	text = talloc_strdup(
		mem, json_object_to_json_string_ext(
			     root, JSON_C_TO_STRING_PLAIN |
					   JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
	return text;
}

char *config_print(TALLOC_CTX *mem, const struct config_document *doc)
{
	return config_print_changes(mem, doc, NULL);
}

const struct config_service *
config_find_service(const struct config_document *doc, const char *name)
{
	return find_entry(doc->services_by_name, name);
}

const struct config_team *config_find_team(const struct config_document *doc,
					   const char *name)
{
	return find_entry(doc->teams_by_name, name);
}

const struct config_worker *
config_find_worker(const struct config_document *doc, const char *name)
{
	return find_entry(doc->workers_by_name, name);
}

bool config_is_drained(const struct config_document *doc,
		       const char *data_centre)
{
	for (size_t i = 0; i < doc->drained_count; i++)
		if (!strcmp(doc->drained_data_centres[i], data_centre))
			return true;
	return false;
}

/* The version in force */

struct config_state {
	struct config_document *current;
	struct config_document *previous;
	uint64_t offered_version;
	char *message;
};

struct config_state *config_state_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct config_state);
}

const struct config_document *config_current(const struct config_state *state)
{
	return state->current;
}

const struct config_document *config_previous(const struct config_state *state)
{
	return state->previous;
}

uint64_t config_offered_version(const struct config_state *state)
{
	return state->offered_version;
}

uint64_t config_version(const struct config_state *state)
{
	return state->current ? state->current->version : 0;
}

static enum config_status compare(struct config_state *state,
				  const struct config_document *doc)
{
	if (!state->current || doc->version > state->current->version)
		return CONFIG_OK;
#ifdef BREAK_MONOTONIC
	if (doc->version != state->current->version)
		return CONFIG_OK;
#endif
	if (doc->version < state->current->version)
		return CONFIG_OLDER;
	return strcmp(doc->text, state->current->text) ? CONFIG_CONFLICT
						       : CONFIG_OLDER;
}

enum config_status config_offer(struct config_state *state, const char *text,
				size_t len)
{
	enum config_status status;
	struct config_document *doc;

	talloc_free(state->message);
	state->offered_version = 0;
	doc = config_parse(state, text, len, &status, &state->message);
	if (!doc)
		return status;
	state->offered_version = doc->version;
	status = compare(state, doc);
	if (status != CONFIG_OK) {
		state->message = talloc_asprintf(
			state,
			"version %llu was offered while version "
			"%llu is in force",
			(unsigned long long)doc->version,
			(unsigned long long)state->current->version);
		talloc_free(doc);
		return status;
	}
	talloc_free(state->previous);
	state->previous = state->current;
	state->current = doc;
	return CONFIG_OK;
}

const char *config_last_message(const struct config_state *state)
{
	return state->message ? state->message : "";
}
