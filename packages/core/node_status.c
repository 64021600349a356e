#include "core/node.h"

#include <json-c/json.h>
#include <stdio.h>

#include "base/json_text.h"
#include "core/node_state.h"

static void add_member(void *ctx, struct mbr_member *m)
{
	json_object *list = ctx;
	json_object *obj = json_object_new_object();

	jsn_add_text(obj, "instance", m->instance);
	jsn_add_text(obj, "data_centre", m->data_centre);
	jsn_add_text(obj, "address", m->address);
	jsn_add_hex(obj, "incarnation", m->incarnation);
	jsn_add_text(obj, "state", mbr_state_word(m->state));
	jsn_add_number(obj, "config_version", m->config_version);
	jsn_add_number(obj, "slots", m->slots);
	jsn_add_number(obj, "idle_slots", m->idle_slots);
	jsn_add_number(obj, "backlog_tasks", m->backlog_tasks);
	jsn_add_flag(obj, "linked", m->linked);
	json_object_array_add(list, obj);
}

static void add_worker(void *ctx, const char *service,
		       const struct plc_worker *w)
{
	static const char *const breaker_words[] = {
		[BRK_CLOSED] = "closed",
		[BRK_OPEN] = "open",
		[BRK_HALF_OPEN] = "half_open",
	};
	json_object *list = ctx;
	json_object *obj = json_object_new_object();

	jsn_add_text(obj, "worker", w->name);
	jsn_add_text(obj, "service", service);
	jsn_add_number(obj, "slots", w->slots);
	jsn_add_number(obj, "running", w->running);
	jsn_add_number(obj, "mean_run_us", w->mean_us);
	jsn_add_text(obj, "breaker", breaker_words[w->breaker.state]);
	jsn_add_flag(obj, "leaving", w->leaving);
	json_object_array_add(list, obj);
}

char *nod_status_json(TALLOC_CTX *mem, struct nod *nod, uint64_t now_ms)
{
	json_object *obj = json_object_new_object();
	json_object *members = json_object_new_array();
	json_object *workers = json_object_new_array();
	char *text;

	nod->now_ms = now_ms;
	nod_refresh_self(nod);
	jsn_add_text(obj, "instance", nod->settings->instance);
	jsn_add_flag(obj, "ready", nod_is_ready(nod));
	jsn_add_flag(obj, "dispatcher", nod_is_dispatcher(nod));
	jsn_add_number(obj, "config_version", cfg_version(nod->config));
	jsn_add_number(obj, "records", rec_count(nod->records));
	mbr_each(nod->members, add_member, members);
	json_object_object_add(obj, "members", members);
	dsp_each_worker(nod->dispatch, add_worker, workers);
	json_object_object_add(obj, "workers", workers);
	text = talloc_strdup(
		mem, json_object_to_json_string_ext(
			     obj, JSON_C_TO_STRING_PLAIN |
					  JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(obj);
	return text;
}
