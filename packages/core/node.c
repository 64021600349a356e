#include "core/node.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "core/node_state.h"

/* Below capacity, so that a dispatcher can take over a lost one's workers. */
#define WORKERS_PER_DISPATCHER 100
/* Most ids issued before a stop are submitted within this time. */
#define STOP_ADMIT_MS 1000

void node_event(struct node *node, const char *event, const char *job,
		const char *detail)
{
	if (node->ports->event)
		node->ports->event(node->ports->ctx, event, job, -1, NULL,
				   detail);
}

static void on_member_changed(void *ctx, const struct member_entry *member)
{
	struct node *node = ctx;
	char *detail = talloc_asprintf(NULL, "%s %s", member->instance,
				       member_state_name(member->state));

	node_event(node, "member", NULL, detail);
	talloc_free(detail);
	node_reassign(node);
	node_handover_member_changed(node, member);
}

static void create_dispatch(struct node *node)
{
	const struct settings *s = node->settings;
	struct dispatch_options options = {
		.ports = node->ports,
		.placement = node->placement,
		.order = job_order_find(s->job_order),
		.random = &node->random,
		.breakers = s->breaker,
		.breaker_open_percent = (uint32_t)s->breaker_open_percent,
		.retry_percent = (uint32_t)s->retry_percent,
		.backlog_tasks = (uint64_t)s->backlog_tasks,
		.remote_slots = node_remote_slots,
		.done = node_job_done,
		.ctx = node,
	};
	struct delegate_options delegate = { .ports = node->ports };

	node_drain_options(node, &options);
	node->dispatch = dispatch_create(node, &options);
	delegate.dispatch = node->dispatch;
	node->delegate = delegate_create(node, &delegate);
}

static void create_members(struct node *node)
{
	const struct settings *s = node->settings;
	struct member_options options = {
		.instance = s->instance,
		.data_centre = s->data_centre,
		.address = s->peers_advertise ? s->peers_advertise
					      : s->peers_listen,
		.incarnation = node->options.incarnation,
		.changed = on_member_changed,
		.ctx = node,
	};

	node->members = member_create(node, &options);
}

static void create_ids(struct node *node)
{
	const struct settings *s = node->settings;
	struct job_id_grants_options grants = {
		.incarnation = node->options.incarnation,
		.data_centre = s->data_centre,
		.ttl_ms = (uint64_t)s->record_ttl_ms,
	};
	struct record_options records = {
		.memory_bytes = (uint64_t)s->record_memory_bytes,
		.answer_ms = (uint64_t)s->record_answer_ms,
	};

	node->system = job_id_system(s->cluster);
	node->grants = job_id_grants_create(node, &grants);
	node->records = record_table_create(node, &records);
	node_create_handover(node);
}

/* uthash allocates outside talloc, so its tables are freed here. */
static int destroy(struct node *node)
{
	HASH_CLEAR(hh, node->forwards);
	HASH_CLEAR(hh, node->claims);
	HASH_CLEAR(hh, node->blocks);
	return 0;
}

static void create_shares(struct node *node)
{
	struct quota_share_options options = {
		.even = !strcmp(node->settings->quota_shares, "even"),
		.self = node->options.incarnation,
	};

	node->shares = quota_share_create(node, &options);
	node->shares_updated_ms = node->options.now_ms;
}

struct node *node_create(TALLOC_CTX *mem, const struct node_options *options)
{
	struct node *node = talloc_zero(mem, struct node);
	char *const *seed;

	talloc_set_destructor(node, destroy);
	node->options = *options;
	node->ports = options->ports;
	node->settings = options->settings;
	node->now_ms = options->now_ms;
	node->placement = placement_find(node->settings->placement);
	random_seed(&node->random, options->seed);
	node_links_create(node);
	create_members(node);
	create_ids(node);
	node->config = config_state_create(node);
	config_spread_init(&node->spread, &node->random, options->now_ms);
	node_plans_create(node);
	node->quota = quota_create(node);
	create_shares(node);
	create_dispatch(node);
	node->next_heartbeat_ms = options->now_ms;
	node_reassign(node);
	for (seed = node->settings->peers_seeds; seed && *seed; seed++)
		node->ports->dial(node->ports->ctx, *seed);
	if (node->settings->config)
		node_apply_config(node, node->settings->config,
				  strlen(node->settings->config));
	return node;
}

void node_hello(const struct node *node, Bergamot__Hello *hello)
{
	const struct member_entry *self = member_self(node->members);

	hello->cluster = node->settings->cluster;
	hello->instance = self->instance;
	hello->data_centre = self->data_centre;
	hello->incarnation = self->incarnation;
	hello->address = self->address;
	hello->protocol = 1;
}

/* Dispatchers */

static size_t target_dispatcher_count(const struct node *node, size_t live)
{
	const struct config_document *doc = config_current(node->config);
	size_t workers = 0;
	size_t dispatchers = (size_t)node->settings->dispatchers;

	if (node->placement->every_member)
		return live;
	if (dispatchers)
		return dispatchers < live ? dispatchers : live;
	for (size_t i = 0; doc && i < doc->worker_count; i++)
		workers += !strcmp(doc->workers[i].data_centre,
				   node->settings->data_centre);
	dispatchers =
		(workers + WORKERS_PER_DISPATCHER - 1) / WORKERS_PER_DISPATCHER;
	if (!dispatchers)
		dispatchers = 1;
	return dispatchers < live ? dispatchers : live;
}

/* Takes the first live members in the rendezvous hash of the data centre. */
static void choose_dispatchers(struct node *node)
{
	uint64_t live[NODE_MAX_MEMBERS];
	const char *dc = node->settings->data_centre;
	size_t count = member_list_dispatch_candidates(node->members, dc, live,
						       NODE_MAX_MEMBERS);
	size_t dispatchers = target_dispatcher_count(node, count);

	node->dispatcher_count = 0;
	while (node->dispatcher_count < dispatchers) {
		size_t i = placement_rendezvous(dc, live, count);

		node->dispatchers[node->dispatcher_count++] = live[i];
		live[i] = live[--count];
	}
}

bool node_is_dispatcher(const struct node *node)
{
	for (size_t i = 0; i < node->dispatcher_count; i++)
		if (node->dispatchers[i] == node->options.incarnation)
			return true;
	return false;
}

bool node_owns_worker(void *ctx, const struct config_worker *worker)
{
	struct node *node = ctx;
	size_t i;

	if (strcmp(worker->data_centre, node->settings->data_centre) ||
	    !node->dispatcher_count)
		return false;
	if (node->placement->shares_workers)
		return true;
	i = placement_rendezvous(worker->name, node->dispatchers,
				 node->dispatcher_count);
	return node->dispatchers[i] == node->options.incarnation;
}

void node_reassign(struct node *node)
{
	const struct config_document *doc;

	if (!node->config || !node->dispatch)
		return; /* still being created */
	doc = config_current(node->config);
	choose_dispatchers(node);
	if (doc)
		dispatch_configure(node->dispatch, doc, node_owns_worker, node,
				   node->now_ms);
}

/* Targets */

void node_task_result(struct node *node, struct port_result *result,
		      uint64_t now_ms)
{
	node->now_ms = now_ms;
	dispatch_result(node->dispatch, result, now_ms);
	node_drain_apply(node);
}

void node_worker_usage(struct node *node, const struct port_usage *usage,
		       uint64_t now_ms)
{
	node->now_ms = now_ms;
	node_update_worker_leaving(node, usage);
	dispatch_usage(node->dispatch, usage, now_ms);
}

/* Time */

void node_refresh_self(struct node *node)
{
	struct member_entry *self = member_self(node->members);
	struct dispatch_load load = dispatch_load(node->dispatch, node->now_ms);

	self->slots = load.slots;
	self->idle_slots = load.idle_slots;
	self->backlog_tasks = load.backlog_tasks;
	self->config_version = config_version(node->config);
	self->last_contact_ms = node->now_ms;
}

void node_tick(struct node *node, uint64_t now_ms)
{
	node->now_ms = now_ms;
	node_end_start_hold(node);
	dispatch_tick(node->dispatch, now_ms);
	node_send_role_state(node);
	node_spill(node);
	record_tick(node->records, now_ms);
	member_tick(node->members, now_ms);
	node_expire_forwards(node);
	node_expire_claims(node);
	node_tick_handover(node);
	node_config_tick(node);
	if (now_ms < node->next_heartbeat_ms)
		return;
	node->next_heartbeat_ms = now_ms + NODE_HEARTBEAT_MS;
	node_refresh_self(node);
	node_refresh_links(node);
	node_send_regular_heartbeats(node);
	node_refresh_drain(node);
}

/* Stop */

bool node_is_ready(const struct node *node)
{
	return config_current(node->config) && !node->stopping;
}

void node_begin_stop(struct node *node, uint64_t now_ms)
{
	uint64_t grace_ms = (uint64_t)node->settings->stop_grace_ms;

	node->now_ms = now_ms;
	node->stopping = true;
	node->admit_until_ms =
		now_ms + (grace_ms < STOP_ADMIT_MS ? grace_ms : STOP_ADMIT_MS);
	member_self(node->members)->state = MEMBER_LEAVING;
	node_event(node, "stopping", NULL, NULL);
	node_reassign(node);
	node_send_heartbeats(node);
}

bool node_is_idle(const struct node *node)
{
#ifdef BREAK_IDLE
	return true;
#endif
	return !node->forwards && !node_has_open_claims(node) &&
	       !dispatch_jobs(node->dispatch);
}

bool node_has_handed_over(const struct node *node)
{
	return node->stopping && !dispatch_jobs(node->dispatch) &&
	       handover_is_done(node->handover);
}

bool node_is_stopped(const struct node *node)
{
	return node->stopping && node_is_idle(node) &&
	       handover_is_done(node->handover);
}
