#include "core/lease_node_status.h"

#include "base/json_text.h"
#include "core/lease_node_state.h"

/* Members */

static const char *member_state_text(const struct leadership *members,
				     const struct leader_member *m,
				     uint64_t now_ms)
{
	if (m->stopping)
		return "stopping";
	if (m->overloaded)
		return "overloaded";
	return leader_is_live(members, m, now_ms) ? "live"
	       : m->linked			  ? "silent"
						  : "lost";
}

static json_object *list_members(struct lease_node *lease_node, uint64_t now_ms)
{
	json_object *list = json_object_new_array();
	const struct leader_member *m;

	for (m = leader_members(lease_node->members); m; m = m->hh.next) {
		json_object *obj = json_object_new_object();

		json_text_add_text(obj, "instance", m->instance);
		json_text_add_text(obj, "data_centre", m->data_centre);
		json_text_add_text(obj, "address", m->address);
		json_text_add_text(
			obj, "state",
			member_state_text(lease_node->members, m, now_ms));
		json_text_add_hex(obj, "incarnation", m->incarnation);
		json_text_add_number(obj, "claim", m->claim);
		json_text_add_number(obj, "weight", m->share);
		json_text_add_number(obj, "config_version", m->config_version);
		json_text_add_number(obj, "heard_ms_ago",
				     m->last_beat_ms ? now_ms - m->last_beat_ms
						     : 0);
		json_object_array_add(list, obj);
	}
	return list;
}

/* Workers */

static const char *worker_state_text(const struct pool_worker *worker)
{
	static const char *const words[] = {
		[POOL_UNHELD] = "unheld",
		[POOL_HELD] = "held",
		[POOL_FOREIGN] = "foreign",
	};

	if (!worker->registered)
		return "unlisted";
	if (worker->draining)
		return "draining";
	return words[worker->state];
}

static json_object *format_worker(const struct pool_worker *worker,
				  uint64_t now_ms)
{
	json_object *obj = json_object_new_object();

	json_text_add_text(obj, "worker", worker->id);
	json_text_add_text(obj, "service",
			   worker->service ? worker->service : "");
	json_text_add_text(obj, "data_centre",
			   worker->data_centre ? worker->data_centre : "");
	json_text_add_text(obj, "state", worker_state_text(worker));
	json_text_add_text(obj, "breaker",
			   worker->blocked_until_ms > now_ms ? "open"
							     : "closed");
	json_text_add_number(obj, "running", worker->run_count);
	json_text_add_number(obj, "used_milli", worker->used.cpu_milli);
	json_text_add_number(obj, "cpu_milli", worker->capacity.cpu_milli);
	json_text_add_number(obj, "speed_percent",
			     (uint64_t)(worker->speed * 100));
	json_text_add_number(obj, "lost_holds", worker->failures);
	json_text_add_number(obj, "answered_ms_ago",
			     worker->answered_ms ? now_ms - worker->answered_ms
						 : 0);
	return obj;
}

struct totals {
	uint64_t held;
	uint64_t usable;
	uint64_t free_milli; /* of usable workers */
	uint64_t open_breakers;
};

static json_object *list_workers(struct lease_node *lease_node,
				 struct totals *totals, uint64_t now_ms)
{
	json_object *list = json_object_new_array();
	const struct pool_worker *worker;

	TAILQ_FOREACH(worker, pool_workers(lease_pool(lease_node->dispatch)),
		      entry) {
		json_object_array_add(list, format_worker(worker, now_ms));
		totals->held += worker->state == POOL_HELD;
		totals->open_breakers += worker->blocked_until_ms > now_ms;
		if (!pool_is_usable(worker, now_ms))
			continue;
		totals->usable++;
		/* A capacity that has shrunk may be less than what runs. */
		if (worker->used.cpu_milli < worker->capacity.cpu_milli)
			totals->free_milli += worker->capacity.cpu_milli -
					      worker->used.cpu_milli;
	}
	return list;
}

/* Queues */

static json_object *list_queues(struct lease_node *lease_node)
{
	json_object *list = json_object_new_array();

	for (size_t i = 0;
	     lease_node->config && i < lease_node->config->queue_count; i++) {
		const struct queue_config_queue *q =
			&lease_node->config->queues[i];
		json_object *obj = json_object_new_object();

		json_text_add_text(obj, "queue", q->name);
		json_text_add_text(obj, "service", q->service);
		json_text_add_number(obj, "priority", q->priority);
		json_text_add_number(
			obj, "waiting",
			lease_node_count_waiting(lease_node, q->name));
		json_object_array_add(list, obj);
	}
	return list;
}

json_object *lease_node_status(struct lease_node *lease_node, uint64_t now_ms)
{
	struct lease_load load = lease_load(lease_node->dispatch);
	json_object *obj = json_object_new_object();
	struct totals totals = { 0 };
	json_object *workers = list_workers(lease_node, &totals, now_ms);

	json_text_add_text(obj, "instance", lease_node->options.instance);
	json_text_add_hex(obj, "incarnation", lease_node->options.incarnation);
	json_text_add_flag(obj, "ready", lease_node_is_ready(lease_node));
	json_text_add_flag(obj, "leads", lease_node->claim != 0);
	json_text_add_hex(obj, "leader", lease_node->leader);
	json_text_add_number(obj, "claim", lease_node->claim);
	json_text_add_number(obj, "config_version",
			     lease_node->config ? lease_node->config->version
						: 0);
	json_text_add_number(obj, "open_requests",
			     lease_node_count_open_jobs(lease_node));
	json_text_add_number(obj, "jobs", load.jobs);
	json_text_add_number(obj, "waiting_tasks", load.waiting_tasks);
	json_text_add_number(obj, "running_tasks", load.running_tasks);
	json_text_add_number(obj, "workers_held", totals.held);
	json_text_add_number(obj, "workers_usable", totals.usable);
	json_text_add_number(obj, "free_milli", totals.free_milli);
	json_text_add_number(obj, "breakers_open", totals.open_breakers);
	json_object_object_add(obj, "queues", list_queues(lease_node));
	json_object_object_add(obj, "members",
			       list_members(lease_node, now_ms));
	json_object_object_add(obj, "workers", workers);
	return obj;
}
