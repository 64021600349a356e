#include "core/node.h"

#include <json-c/json.h>
#include <stdio.h>

#include "base/json_text.h"
#include "core/node_state.h"

static void add_member(void *ctx, struct member_entry *m)
{
	json_object *list = ctx;
	json_object *obj = json_object_new_object();

	json_text_add_text(obj, "instance", m->instance);
	json_text_add_text(obj, "data_centre", m->data_centre);
	json_text_add_text(obj, "address", m->address);
	json_text_add_hex(obj, "incarnation", m->incarnation);
	json_text_add_text(obj, "state", member_state_name(m->state));
	json_text_add_number(obj, "config_version", m->config_version);
	json_text_add_number(obj, "slots", m->slots);
	json_text_add_number(obj, "idle_slots", m->idle_slots);
	json_text_add_number(obj, "backlog_tasks", m->backlog_tasks);
	json_text_add_flag(obj, "linked", m->linked);
	json_object_array_add(list, obj);
}

static void add_worker(void *ctx, const char *service,
		       const struct placement_worker *w)
{
	static const char *const breaker_words[] = {
		[BREAKER_CLOSED] = "closed",
		[BREAKER_OPEN] = "open",
		[BREAKER_HALF_OPEN] = "half_open",
	};
	json_object *list = ctx;
	json_object *obj = json_object_new_object();

	json_text_add_text(obj, "worker", w->name);
	json_text_add_text(obj, "service", service);
	json_text_add_number(obj, "slots", w->slots);
	json_text_add_number(obj, "running", w->running);
	json_text_add_number(obj, "mean_run_us", w->mean_us);
	json_text_add_text(obj, "breaker", breaker_words[w->breaker.state]);
	json_text_add_flag(obj, "leaving", w->leaving);
	json_object_array_add(list, obj);
}

char *node_status_json(TALLOC_CTX *mem, struct node *node, uint64_t now_ms)
{
	json_object *obj = json_object_new_object();
	json_object *members = json_object_new_array();
	json_object *workers = json_object_new_array();
	char *text;

	node->now_ms = now_ms;
	node_refresh_self(node);
	json_text_add_text(obj, "instance", node->settings->instance);
	json_text_add_flag(obj, "ready", node_is_ready(node));
	json_text_add_flag(obj, "dispatcher", node_is_dispatcher(node));
	json_text_add_number(obj, "config_version",
			     config_version(node->config));
	json_text_add_number(obj, "records", record_count(node->records));
	member_each(node->members, add_member, members);
	json_object_object_add(obj, "members", members);
	dispatch_each_worker(node->dispatch, add_worker, workers);
	json_object_object_add(obj, "workers", workers);
	text = talloc_strdup(
		mem, json_object_to_json_string_ext(
			     obj, JSON_C_TO_STRING_PLAIN |
					  JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(obj);
	return text;
}
