#include "core/lease_status.h"

#include "base/json_text.h"
#include "core/lease_state.h"

/* Members */

static const char *member_word(const struct ldm *members,
			       const struct ldm_member *m, uint64_t now_ms)
{
	if (m->stopping)
		return "stopping";
	if (m->overloaded)
		return "overloaded";
	return ldm_is_live(members, m, now_ms) ? "live"
	       : m->linked		       ? "silent"
					       : "lost";
}

static json_object *list_members(struct lnd *lnd, uint64_t now_ms)
{
	json_object *list = json_object_new_array();
	const struct ldm_member *m;

	for (m = ldm_members(lnd->members); m; m = m->hh.next) {
		json_object *obj = json_object_new_object();

		jsn_add_text(obj, "instance", m->instance);
		jsn_add_text(obj, "data_centre", m->data_centre);
		jsn_add_text(obj, "address", m->address);
		jsn_add_text(obj, "state",
			     member_word(lnd->members, m, now_ms));
		jsn_add_hex(obj, "incarnation", m->incarnation);
		jsn_add_number(obj, "claim", m->claim);
		jsn_add_number(obj, "weight", m->share);
		jsn_add_number(obj, "config_version", m->config_version);
		jsn_add_number(obj, "heard_ms_ago",
			       m->heard_ms ? now_ms - m->heard_ms : 0);
		json_object_array_add(list, obj);
	}
	return list;
}

/* Workers */

static const char *worker_word(const struct lpl_worker *worker)
{
	static const char *const words[] = {
		[LPL_UNHELD] = "unheld",
		[LPL_HELD] = "held",
		[LPL_FOREIGN] = "foreign",
	};

	if (!worker->listed)
		return "unlisted";
	if (worker->draining)
		return "draining";
	return words[worker->state];
}

static json_object *show_worker(const struct lpl_worker *worker,
				uint64_t now_ms)
{
	json_object *obj = json_object_new_object();

	jsn_add_text(obj, "worker", worker->id);
	jsn_add_text(obj, "service", worker->service ? worker->service : "");
	jsn_add_text(obj, "data_centre",
		     worker->data_centre ? worker->data_centre : "");
	jsn_add_text(obj, "state", worker_word(worker));
	jsn_add_text(obj, "breaker",
		     worker->blocked_until_ms > now_ms ? "open" : "closed");
	jsn_add_number(obj, "running", worker->run_count);
	jsn_add_number(obj, "used_milli", worker->used.cpu_milli);
	jsn_add_number(obj, "cpu_milli", worker->capacity.cpu_milli);
	jsn_add_number(obj, "speed_percent", (uint64_t)(worker->speed * 100));
	jsn_add_number(obj, "lost_holds", worker->failures);
	jsn_add_number(obj, "answered_ms_ago",
		       worker->answered_ms ? now_ms - worker->answered_ms : 0);
	return obj;
}

struct totals {
	uint64_t held;
	uint64_t usable;
	uint64_t free_milli; /* of usable workers */
	uint64_t breakers; /* open */
};

static json_object *list_workers(struct lnd *lnd, struct totals *totals,
				 uint64_t now_ms)
{
	json_object *list = json_object_new_array();
	const struct lpl_worker *worker;

	TAILQ_FOREACH(worker, lpl_workers(ldp_pool(lnd->dispatch)), entry) {
		json_object_array_add(list, show_worker(worker, now_ms));
		totals->held += worker->state == LPL_HELD;
		totals->breakers += worker->blocked_until_ms > now_ms;
		if (!lpl_is_usable(worker, now_ms))
			continue;
		totals->usable++;
		totals->free_milli +=
			worker->capacity.cpu_milli - worker->used.cpu_milli;
	}
	return list;
}

/* Queues */

static json_object *list_queues(struct lnd *lnd)
{
	json_object *list = json_object_new_array();

	for (size_t i = 0; lnd->config && i < lnd->config->queue_count; i++) {
		const struct qcf_queue *q = &lnd->config->queues[i];
		json_object *obj = json_object_new_object();

		jsn_add_text(obj, "queue", q->name);
		jsn_add_text(obj, "service", q->service);
		jsn_add_number(obj, "priority", q->priority);
		jsn_add_number(obj, "waiting", lnd_waiting(lnd, q->name));
		json_object_array_add(list, obj);
	}
	return list;
}

json_object *lnd_status(struct lnd *lnd, uint64_t now_ms)
{
	struct ldp_load load = ldp_load(lnd->dispatch);
	json_object *obj = json_object_new_object();
	struct totals totals = { 0 };
	json_object *workers = list_workers(lnd, &totals, now_ms);

	jsn_add_text(obj, "instance", lnd->options.instance);
	jsn_add_hex(obj, "incarnation", lnd->options.incarnation);
	jsn_add_flag(obj, "ready", lnd_is_ready(lnd));
	jsn_add_flag(obj, "leads", lnd->claim != 0);
	jsn_add_hex(obj, "leader", lnd->leader);
	jsn_add_number(obj, "claim", lnd->claim);
	jsn_add_number(obj, "config_version",
		       lnd->config ? lnd->config->version : 0);
	jsn_add_number(obj, "open_requests", lnd_open_jobs(lnd));
	jsn_add_number(obj, "jobs", load.jobs);
	jsn_add_number(obj, "waiting_tasks", load.waiting_tasks);
	jsn_add_number(obj, "running_tasks", load.running_tasks);
	jsn_add_number(obj, "workers_held", totals.held);
	jsn_add_number(obj, "workers_usable", totals.usable);
	jsn_add_number(obj, "free_milli", totals.free_milli);
	jsn_add_number(obj, "breakers_open", totals.breakers);
	json_object_object_add(obj, "queues", list_queues(lnd));
	json_object_object_add(obj, "members", list_members(lnd, now_ms));
	json_object_object_add(obj, "workers", workers);
	return obj;
}
