#include "core/plan.h"

#include <string.h>

#include "core/plan_edit.h"

#define JSON_FLAGS (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)
#define MAX_CHANGES 10000

/* Differences */

static void add_change(json_object *list, const char *at, json_object *before,
		       json_object *after)
{
	json_object *change = json_object_new_object();

	if (json_object_array_length(list) >= MAX_CHANGES) {
		json_object_put(change);
		return;
	}
	json_object_object_add(change, "at", json_object_new_string(at));
	json_object_object_add(change, "before", json_object_get(before));
	json_object_object_add(change, "after", json_object_get(after));
	json_object_array_add(list, change);
}

static json_object *value_of(json_object *obj, const char *key)
{
	json_object *v = NULL;

	json_object_object_get_ex(obj, key, &v);
	return v;
}

/* An absent flag or number equals false or 0. */
static bool is_same_value(json_object *a, json_object *b)
{
	if (!a || !b) {
		json_object *present = a ? a : b;

		return !present ||
		       (!json_object_is_type(present, json_type_object) &&
			!json_object_is_type(present, json_type_string) &&
			!json_object_get_int64(present));
	}
	return json_object_equal(a, b);
}

static void compare_entry(json_object *out, const char *at, json_object *a,
			  json_object *b)
{
	if (!a || !b) {
		add_change(out, at, a, b);
		return;
	}
	json_object_object_foreach(b, key, value)
	{
		char *path = talloc_asprintf(NULL, "%s/%s", at, key);

		if (!is_same_value(value_of(a, key), value))
			add_change(out, path, value_of(a, key), value);
		talloc_free(path);
	}
	json_object_object_foreach(a, old_key, old_value)
	{
		char *path = talloc_asprintf(NULL, "%s/%s", at, old_key);

		if (!value_of(b, old_key) && !is_same_value(old_value, NULL))
			add_change(out, path, old_value, NULL);
		talloc_free(path);
	}
}

/* Compares the entries by name, regardless of their order. */
static void compare_list(json_object *out, const char *list, json_object *a,
			 json_object *b)
{
	json_object *before = plan_edit_index_by_name(a);
	json_object *after = plan_edit_index_by_name(b);

	json_object_object_foreach(after, name, entry)
	{
		char *at = talloc_asprintf(NULL, "%s/%s", list, name);

		compare_entry(out, at, value_of(before, name), entry);
		talloc_free(at);
	}
	json_object_object_foreach(before, old_name, old_entry)
	{
		char *at = talloc_asprintf(NULL, "%s/%s", list, old_name);

		if (!value_of(after, old_name))
			add_change(out, at, old_entry, NULL);
		talloc_free(at);
	}
	json_object_put(before);
	json_object_put(after);
}

static json_object *compare_documents(json_object *a, json_object *b)
{
	static const char *const lists[] = { "services", "workers", "teams",
					     "drained_data_centres", NULL };
	json_object *out = json_object_new_array();

	for (const char *const *list = lists; *list; list++)
		compare_list(out, *list, value_of(a, *list),
			     value_of(b, *list));
	return out;
}

static char *print_and_put(TALLOC_CTX *mem, json_object *obj)
{
	char *text = talloc_strdup(
		mem, json_object_to_json_string_ext(obj, JSON_FLAGS));

	json_object_put(obj);
	return text;
}

/* Parses only the entries that differ: a document may have thousands. */
static json_object *parse_differing(const struct config_document *doc,
				    const struct config_document *other)
{
	char *text = doc ? config_print_changes(NULL, doc, other) : NULL;
	json_object *obj = text ? json_tokener_parse(text) : NULL;

	talloc_free(text);
	return obj;
}

char *plan_difference(TALLOC_CTX *mem, const struct config_document *before,
		      const struct config_document *after)
{
	json_object *a = parse_differing(before, after);
	json_object *b = parse_differing(after, before);
	json_object *out = compare_documents(a, b);

	json_object_put(a);
	json_object_put(b);
	return print_and_put(mem, out);
}

char *plan_difference_of(TALLOC_CTX *mem, const char *plan)
{
	json_object *obj = json_tokener_parse(plan);
	json_object *list = value_of(obj, "difference");
	char *text = talloc_strdup(
		mem,
		list ? json_object_to_json_string_ext(list, JSON_FLAGS) : "[]");

	json_object_put(obj);
	return text;
}

/* Effects */

static bool is_usable(const struct config_document *doc,
		      const struct config_worker *w)
{
	return !w->drained && !config_is_drained(doc, w->data_centre);
}

static uint64_t slots_of(const struct config_document *doc, const char *service)
{
	uint64_t slots = 0;

	for (size_t i = 0; i < doc->worker_count; i++)
		if (!strcmp(doc->workers[i].service, service) &&
		    is_usable(doc, &doc->workers[i]))
			slots += doc->workers[i].slots;
	return slots;
}

static void add_before_after(json_object *list, const char *key,
			     const char *name, uint64_t before, uint64_t after)
{
	json_object *row = json_object_new_object();

	json_object_object_add(row, key, json_object_new_string(name));
	json_object_object_add(row, "before", json_object_new_uint64(before));
	json_object_object_add(row, "after", json_object_new_uint64(after));
	json_object_array_add(list, row);
}

static void add_warning(json_object *warnings, char *text)
{
	json_object_array_add(warnings, json_object_new_string(text));
	talloc_free(text);
}

static json_object *compare_slots(const struct config_document *a,
				  const struct config_document *b,
				  json_object *warnings)
{
	json_object *list = json_object_new_array();

	for (size_t i = 0; i < b->service_count; i++) {
		const char *name = b->services[i].name;
		uint64_t before = slots_of(a, name);
		uint64_t after = slots_of(b, name);

		if (before == after)
			continue;
		add_before_after(list, "service", name, before, after);
		if (!after)
			add_warning(
				warnings,
				talloc_asprintf(NULL,
						"leaves 0 slots for service %s",
						name));
		else if (after * 2 < before)
			add_warning(
				warnings,
				talloc_asprintf(NULL,
						"takes more than half of the "
						"slots of service %s",
						name));
	}
	return list;
}

static json_object *compare_quotas(const struct config_document *a,
				   const struct config_document *b,
				   json_object *warnings)
{
	json_object *list = json_object_new_array();

	for (size_t i = 0; i < b->team_count; i++) {
		const struct config_team *after = &b->teams[i];
		const struct config_team *before =
			config_find_team(a, after->name);
		uint32_t old = before ? before->tasks_per_s : 0;

		if (before && old == after->tasks_per_s)
			continue;
		add_before_after(list, "team", after->name, old,
				 after->tasks_per_s);
		if (!after->tasks_per_s)
			add_warning(warnings,
				    talloc_asprintf(NULL,
						    "team %s has no quota",
						    after->name));
	}
	return list;
}

/* Counts the tasks running on workers that the change drains or removes. */
static uint64_t count_running(const struct plan_context *c,
			      const struct config_document *after)
{
	const struct config_document *doc = c->document;
	uint64_t running = 0;

	for (size_t i = 0; c->running && i < doc->worker_count; i++) {
		const struct config_worker *w = &doc->workers[i];
		const struct config_worker *kept =
			config_find_worker(after, w->name);

		if (is_usable(doc, w) && (!kept || !is_usable(after, kept)))
			running += c->running(c->ctx, w->name);
	}
	return running;
}

static json_object *compute_effects(const struct plan_context *c,
				    const struct config_document *after)
{
	json_object *effects = json_object_new_object();
	json_object *warnings = json_object_new_array();
	uint64_t running = count_running(c, after);

	json_object_object_add(effects, "slots",
			       compare_slots(c->document, after, warnings));
	json_object_object_add(effects, "quotas",
			       compare_quotas(c->document, after, warnings));
	json_object_object_add(effects, "in_flight",
			       json_object_new_uint64(running));
	json_object_object_add(effects, "warnings", warnings);
	return effects;
}

/* Plans */

struct draft {
	const struct plan_context *context;
	json_object *before;
	json_object *after;
	json_object *difference;
	struct config_document *document; /* parsed from after */
};

static void free_draft(struct draft *d)
{
	json_object_put(d->before);
	json_object_put(d->after);
	json_object_put(d->difference);
	talloc_free(d->document);
}

static enum plan_status check_draft(TALLOC_CTX *mem, struct draft *d,
				    char **message)
{
	const char *text = json_object_to_json_string_ext(d->after, JSON_FLAGS);
	enum config_status status;

	d->document = config_parse(mem, text, strlen(text), &status, message);
	if (!d->document)
		return PLAN_BAD_INTENT;
	d->difference = compare_documents(d->before, d->after);
	if (json_object_array_length(d->difference))
		return PLAN_OK;
	*message = talloc_strdup(mem, "the configuration is so already");
	return PLAN_NO_CHANGE;
}

static enum plan_status make_draft(TALLOC_CTX *mem, struct draft *d,
				   const struct plan_context *context,
				   json_object *intent, const char *id,
				   char **message)
{
	memset(d, 0, sizeof(*d));
	d->context = context;
	d->before = json_tokener_parse(context->document->text);
	d->after = json_tokener_parse(context->document->text);
	*message = plan_edit_apply(mem, d->after, intent);
	if (*message)
		return PLAN_BAD_INTENT;
	plan_edit_record_plan(d->after, context->document->version + 1, id);
	return check_draft(mem, d, message);
}

static char *print_plan(TALLOC_CTX *mem, struct draft *d, json_object *intent)
{
	const struct plan_context *c = d->context;
	json_object *plan = json_object_new_object();

	json_object_object_add(plan, "plan", json_object_new_string(c->id));
	json_object_object_add(plan, "base_version",
			       json_object_new_uint64(c->document->version));
	json_object_object_add(plan, "version",
			       json_object_new_uint64(d->document->version));
	json_object_object_add(plan, "intent", json_object_get(intent));
	json_object_object_add(plan, "difference",
			       json_object_get(d->difference));
	json_object_object_add(plan, "effects",
			       compute_effects(c, d->document));
	return print_and_put(mem, plan);
}

char *plan_make(TALLOC_CTX *mem, const struct plan_context *context,
		const char *intent_text, enum plan_status *status,
		char **message)
{
	json_object *intent = json_tokener_parse(intent_text);
	struct draft d;
	char *plan = NULL;

	*status = make_draft(mem, &d, context, intent, context->id, message);
	if (*status == PLAN_OK)
		plan = print_plan(mem, &d, intent);
	free_draft(&d);
	json_object_put(intent);
	return plan;
}

static enum plan_status read_plan(TALLOC_CTX *mem, json_object *plan, char **id,
				  uint64_t *base)
{
	json_object *v = value_of(plan, "plan");

	if (!json_object_is_type(v, json_type_string) ||
	    !value_of(plan, "intent") || !value_of(plan, "difference"))
		return PLAN_BAD_PLAN;
	*id = talloc_strdup(mem, json_object_get_string(v));
	*base = json_object_get_uint64(value_of(plan, "base_version"));
	return PLAN_OK;
}

static enum plan_status check_plan(TALLOC_CTX *mem,
				   const struct config_document *doc,
				   json_object *plan, char **id, char **message)
{
	uint64_t base;

	*message = NULL;
	if (read_plan(mem, plan, id, &base) != PLAN_OK) {
		*message = talloc_strdup(mem, "not a plan as 'plan' makes it");
		return PLAN_BAD_PLAN;
	}
	if (plan_is_confirmed(doc, *id))
		return PLAN_CONFIRMED;
#ifndef BREAK_STALE_PLAN
	if (base != doc->version) {
		*message = talloc_asprintf(
			mem,
			"the plan was made for version %llu; version %llu is "
			"in force",
			(unsigned long long)base,
			(unsigned long long)doc->version);
		return PLAN_STALE;
	}
#endif
	return PLAN_OK;
}

char *plan_confirm(TALLOC_CTX *mem, const struct plan_context *context,
		   const char *text, char **id, enum plan_status *status,
		   char **message)
{
	json_object *plan = json_tokener_parse(text);
	struct draft d;
	char *document = NULL;

	*id = NULL;
	*status = check_plan(mem, context->document, plan, id, message);
	if (*status != PLAN_OK) {
		json_object_put(plan);
		return NULL;
	}
	*status = make_draft(mem, &d, context, value_of(plan, "intent"), *id,
			     message);
	if (*status == PLAN_OK &&
	    !json_object_equal(d.difference, value_of(plan, "difference"))) {
		*status = PLAN_BAD_PLAN;
		*message = talloc_strdup(
			mem, "the plan's difference is not what its intent "
			     "gives; it was altered");
	}
	if (*status == PLAN_OK)
		document = talloc_strdup(mem, json_object_to_json_string_ext(
						      d.after, JSON_FLAGS));
	free_draft(&d);
	json_object_put(plan);
	return document;
}

bool plan_is_confirmed(const struct config_document *doc, const char *id)
{
	for (size_t i = 0; i < doc->plan_count; i++)
		if (!strcmp(doc->plans[i], id))
			return true;
	return false;
}
