#include "core/node.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "base/hash_table.h"
#include "core/node_state.h"
#include "core/plan.h"

#define MAX_CHANGES 16
#define MAX_CHANGE_BYTES 65536

/* A confirmed plan whose write has not been answered yet. */
struct confirm {
	UT_hash_handle hh;
	uint64_t number;
	uint64_t request; /* the operator's */
	uint64_t base_version;
	char *id;
	char *plan;
	char *document;
};

/* What a configuration version changed against the one before. */
struct change {
	uint64_t version;
	char *difference; /* JSON; NULL when too long */
};

struct node_plans {
	struct confirm *confirms;
	uint64_t next_number;
	struct change changes[MAX_CHANGES]; /* ring, indexed by version */
};

/* uthash allocates outside talloc, so its table is freed here. */
static int destroy(struct node_plans *plans)
{
	HASH_CLEAR(hh, plans->confirms);
	return 0;
}

void node_plans_create(struct node *node)
{
	node->plans = talloc_zero(node, struct node_plans);
	talloc_set_destructor(node->plans, destroy);
	node->plans->next_number = 1;
}

void node_record_config_change(struct node *node)
{
	const struct config_document *doc = config_current(node->config);
	struct change *c = &node->plans->changes[doc->version % MAX_CHANGES];

	talloc_free(c->difference);
	c->version = doc->version;
	c->difference = plan_difference(node->plans,
					config_previous(node->config), doc);
	if (strlen(c->difference) > MAX_CHANGE_BYTES)
		TALLOC_FREE(c->difference);
}

/* Answers */

static json_object *new_answer(const char *outcome, const char *reason,
			       const char *message)
{
	json_object *obj = json_object_new_object();

	json_object_object_add(obj, "outcome", json_object_new_string(outcome));
	if (reason)
		json_object_object_add(obj, "reason",
				       json_object_new_string(reason));
	if (message)
		json_object_object_add(obj, "message",
				       json_object_new_string(message));
	return obj;
}

static void answer(struct node *node, uint64_t request, int http_status,
		   json_object *obj)
{
	node->ports->operator_reply(
		node->ports->ctx, request, http_status,
		json_object_to_json_string_ext(
			obj, JSON_C_TO_STRING_PLAIN |
				     JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(obj);
}

static void answer_confirmed(struct node *node, uint64_t request,
			     const char *id)
{
	json_object *obj = new_answer("confirmed", NULL, NULL);

	json_object_object_add(obj, "plan", json_object_new_string(id));
	json_object_object_add(
		obj, "version",
		json_object_new_uint64(config_version(node->config)));
	answer(node, request, 200, obj);
}

/* Returns the changes after a version, as far as they are stored. */
static json_object *changes_since(struct node *node, uint64_t base)
{
	json_object *list = json_object_new_array();

	for (uint64_t v = base + 1; v <= config_version(node->config); v++) {
		const struct change *c = &node->plans->changes[v % MAX_CHANGES];
		json_object *part;

		if (c->version != v || !c->difference)
			continue;
		part = json_tokener_parse(c->difference);
		for (size_t i = 0; i < json_object_array_length(part); i++)
			json_object_array_add(
				list, json_object_get(json_object_array_get_idx(
					      part, i)));
		json_object_put(part);
	}
	return list;
}

static void answer_stale(struct node *node, uint64_t request, const char *plan)
{
	json_object *obj = new_answer(
		"refused", "stale",
		"the configuration changed since the plan was made; nothing "
		"was written; make a new plan");
	json_object *parsed = json_tokener_parse(plan);
	json_object *base = NULL;
	char *yours = plan_difference_of(node, plan);

	json_object_object_get_ex(parsed, "base_version", &base);
	json_object_object_add(obj, "base_version", json_object_get(base));
	json_object_object_add(
		obj, "version",
		json_object_new_uint64(config_version(node->config)));
	json_object_object_add(obj, "yours", json_tokener_parse(yours));
	json_object_object_add(
		obj, "theirs",
		changes_since(node, json_object_get_uint64(base)));
	json_object_put(parsed);
	talloc_free(yours);
	answer(node, request, 409, obj);
}

static uint64_t base_version_of(const char *plan)
{
	json_object *parsed = json_tokener_parse(plan);
	json_object *base = NULL;
	uint64_t version;

	json_object_object_get_ex(parsed, "base_version", &base);
	version = json_object_get_uint64(base);
	json_object_put(parsed);
	return version;
}

/*
 * The version in force here is older than the plan's base, so that it doesn't
 * tell whether the plan was written. A read lets a repeat find the newer one.
 */
static void answer_behind(struct node *node, uint64_t request, const char *id,
			  uint64_t base)
{
	json_object *obj = new_answer(
		"unknown", "behind",
		"this instance has not read the version yet that the plan was "
		"made for, nor whether the plan was written; confirm the same "
		"plan again, which is safe");

	json_object_object_add(obj, "plan", json_object_new_string(id));
	json_object_object_add(obj, "base_version",
			       json_object_new_uint64(base));
	json_object_object_add(
		obj, "version",
		json_object_new_uint64(config_version(node->config)));
	node->ports->read_config(node->ports->ctx);
	answer(node, request, 503, obj);
}

/* Answers for a plan that was made for another version than that in force. */
static void answer_other_version(struct node *node, uint64_t request,
				 const char *plan, const char *id)
{
	uint64_t base = base_version_of(plan);
	bool is_behind = base > config_version(node->config);

#ifdef BREAK_BEHIND_PLAN
	is_behind = false;
#endif
	if (is_behind)
		answer_behind(node, request, id, base);
	else
		answer_stale(node, request, plan);
}

/* Plans */

struct running_query {
	const char *worker;
	uint32_t running;
};

static void add_running(void *ctx, const char *service,
			const struct placement_worker *w)
{
	struct running_query *q = ctx;

	(void)service;
	if (!strcmp(w->name, q->worker))
		q->running += w->running;
}

static uint32_t tasks_running_on(void *ctx, const char *worker)
{
	struct node *node = ctx;
	struct running_query q = { worker, 0 };

	dispatch_each_worker(node->dispatch, add_running, &q);
	return q.running;
}

static struct plan_context plan_context(struct node *node, const char *id)
{
	struct plan_context context = {
		.document = config_current(node->config),
		.id = id,
		.running = tasks_running_on,
		.ctx = node,
	};

	return context;
}

void node_plan(struct node *node, uint64_t request, const char *intent,
	       uint64_t now_ms)
{
	TALLOC_CTX *mem = talloc_new(node);
	char id[17];
	struct plan_context context = plan_context(node, id);
	enum plan_status status;
	char *message, *plan;

	node->now_ms = now_ms;
	snprintf(id, sizeof(id), "%016llx",
		 (unsigned long long)node->ports->random_id(node->ports->ctx));
	if (!context.document) {
		answer(node, request, 503,
		       new_answer("refused", "no_configuration",
				  "no configuration is in force here yet"));
		talloc_free(mem);
		return;
	}
	plan = plan_make(mem, &context, intent, &status, &message);
	if (plan)
		node->ports->operator_reply(node->ports->ctx, request, 200,
					    plan);
	else
		answer(node, request, status == PLAN_NO_CHANGE ? 409 : 422,
		       new_answer("refused",
				  status == PLAN_NO_CHANGE ? "no_change"
							   : "bad_intent",
				  message));
	talloc_free(mem);
}

/* Confirming */

static void write_plan(struct node *node, uint64_t request, const char *plan,
		       const char *id, const char *document)
{
	struct confirm *c = talloc_zero(node->plans, struct confirm);

	c->number = node->plans->next_number++;
	c->request = request;
	c->base_version = config_version(node->config);
	c->id = talloc_strdup(c, id);
	c->plan = talloc_strdup(c, plan);
	c->document = talloc_strdup(c, document);
	HASH_ADD(hh, node->plans->confirms, number, sizeof(c->number), c);
	node->ports->write_config(node->ports->ctx, c->number, c->base_version,
				  c->document, strlen(c->document));
}

static void process_confirm(struct node *node, uint64_t request,
			    const char *plan, TALLOC_CTX *mem)
{
	struct plan_context context = plan_context(node, NULL);
	enum plan_status status;
	char *id, *message;
	char *document =
		plan_confirm(mem, &context, plan, &id, &status, &message);

	switch (status) {
	case PLAN_OK:
		write_plan(node, request, plan, id, document);
		break;
	case PLAN_CONFIRMED:
		answer_confirmed(node, request, id);
		break;
	case PLAN_STALE:
		answer_other_version(node, request, plan, id);
		break;
	default:
		answer(node, request, 422,
		       new_answer("refused", "bad_plan", message));
		break;
	}
}

void node_confirm(struct node *node, uint64_t request, const char *plan,
		  uint64_t now_ms)
{
	TALLOC_CTX *mem = talloc_new(node);

	node->now_ms = now_ms;
	if (!node->settings->platform_url)
		answer(node, request, 409,
		       new_answer("refused", "no_platform",
				  "this site has no platform: change 'config' "
				  "in the settings file, raise its version and "
				  "send SIGHUP"));
	else if (!config_current(node->config))
		answer(node, request, 503,
		       new_answer("refused", "no_configuration",
				  "no configuration is in force here yet"));
	else
		process_confirm(node, request, plan, mem);
	talloc_free(mem);
}

static void answer_platform_lost(struct node *node, const struct confirm *c)
{
	json_object *obj = new_answer(
		"unknown", "platform_lost",
		"the platform did not say whether the plan was written; "
		"confirm the same plan again, which is safe");

	json_object_object_add(obj, "plan", json_object_new_string(c->id));
	answer(node, c->request, 504, obj);
}

static void end_confirm(struct node *node, const struct confirm *c,
			enum port_platform_status status)
{
#ifdef BREAK_PLAN_LOST
	if (status == PORT_PLATFORM_LOST)
		status = PORT_PLATFORM_OK;
#endif
	if (status == PORT_PLATFORM_OK)
		node_apply_config(node, c->document, strlen(c->document));
	/* The plan was written if its id is in force, whatever the status. */
	if (status == PORT_PLATFORM_OK ||
	    plan_is_confirmed(config_current(node->config), c->id))
		answer_confirmed(node, c->request, c->id);
	else if (status == PORT_PLATFORM_CONFLICT)
		answer_stale(node, c->request, c->plan);
	else if (status == PORT_PLATFORM_LOST)
		answer_platform_lost(node, c);
	else
		answer(node, c->request, 503,
		       new_answer("refused", "platform_out",
				  "the platform is out; nothing was written"));
}

void node_plan_written(struct node *node, uint64_t request,
		       enum port_platform_status status)
{
	struct confirm *c;

	HASH_FIND(hh, node->plans->confirms, &request, sizeof(request), c);
	if (!c)
		return;
	HASH_DEL(node->plans->confirms, c);
	end_confirm(node, c, status);
	talloc_free(c);
}
