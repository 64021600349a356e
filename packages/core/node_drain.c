#include "core/node.h"

#include <string.h>

#include "core/node_state.h"

#define USAGE_REQUESTS_PER_S 6 /* round robin over this node's workers */
#define RECENT_ANSWER_MS 2000 /* no usage request after such an answer */

static bool is_leaving(void *ctx, const char *worker)
{
	struct node *node = ctx;

#ifdef BREAK_KEEP_LEAVING
	return false;
#endif
	return drain_is_leaving(node->drain, worker);
}

/*
 * Called from within the dispatcher; node_drain_apply reassigns the workers
 * once the dispatcher has returned.
 */
static void on_worker_leaving(void *ctx, const char *worker)
{
	struct node *node = ctx;
	struct drain_report report = { worker, DRAIN_BY_WORKER, true,
				       node->now_ms };

	if (drain_apply_report(node->drain, &report, node->now_ms))
		node->drain_changed = true;
}

void node_drain_options(struct node *node, struct dispatch_options *options)
{
	node->drain = drain_create(node);
	options->is_leaving = is_leaving;
	options->on_worker_leaving = on_worker_leaving;
}

void node_drain_apply(struct node *node)
{
	if (!node->drain_changed)
		return;
	node->drain_changed = false;
	node_reassign(node);
	node_send_heartbeats(node);
}

static void apply_report(struct node *node, const struct drain_report *report)
{
#ifdef BREAK_LEAVING
	return;
#endif
	if (!drain_apply_report(node->drain, report, node->now_ms))
		return;
	node_event(node, report->leaving ? "worker_leaving" : "worker_back",
		   NULL, report->worker);
	node->drain_changed = true;
}

void node_update_worker_leaving(struct node *node,
				const struct port_usage *usage)
{
	struct drain_report report = { usage->worker, DRAIN_BY_WORKER,
				       usage->leaving, node->now_ms };

	apply_report(node, &report);
	node_drain_apply(node);
}

void node_worker_listed(struct node *node, const char *worker, bool leaving,
			uint64_t now_ms)
{
	struct drain_report report = { worker, DRAIN_BY_LIST, leaving, now_ms };

	node->now_ms = now_ms;
	apply_report(node, &report);
	node_drain_apply(node);
}

/* Notes in heartbeats */

static void add_note(void *ctx, const struct drain_report *report)
{
	struct node_notes *list = ctx;
	Bergamot__WorkerNote *note = &list->notes[list->count];

	if (list->count == NODE_MAX_NOTES)
		return;
	bergamot__worker_note__init(note);
	note->worker = (char *)report->worker;
	note->leaving = report->leaving;
	note->by_list = report->source == DRAIN_BY_LIST;
	note->age_ms = (uint32_t)(list->now_ms - report->observed_ms);
	list->pointers[list->count++] = note;
}

void node_add_worker_notes(struct node *node, bool all,
			   struct node_notes *notes, Bergamot__Heartbeat *beat)
{
	notes->now_ms = node->now_ms;
	notes->count = 0;
	drain_each_report(node->drain, all, node->now_ms, add_note, notes);
	beat->workers = notes->pointers;
	beat->n_workers = notes->count;
}

void node_apply_worker_notes(struct node *node, const Bergamot__Heartbeat *beat)
{
	for (size_t i = 0; i < beat->n_workers; i++) {
		const Bergamot__WorkerNote *note = beat->workers[i];
		uint64_t age_ms = note->age_ms;
		struct drain_report report = {
			.worker = note->worker,
			.source =
				note->by_list ? DRAIN_BY_LIST : DRAIN_BY_WORKER,
			.leaving = note->leaving,
			.observed_ms = age_ms < node->now_ms
					       ? node->now_ms - age_ms
					       : 0,
		};

		apply_report(node, &report);
	}
	node_drain_apply(node);
}

/* Usage requests */

static bool is_own_worker(struct node *node, const struct config_worker *w)
{
	return !strcmp(w->data_centre, node->settings->data_centre) &&
	       node_owns_worker(node, w);
}

static bool has_answered_recently(const struct node *node,
				  const struct config_worker *w)
{
	uint64_t at_ms = dispatch_answered_ms(node->dispatch, w);

	return at_ms && node->now_ms - at_ms < RECENT_ANSWER_MS;
}

/*
 * A worker reports in its answers to starts that it is leaving, so idle ones
 * are sent usage requests, some each second in turn. Workers that are leaving
 * get one each second, to learn when they are back.
 */
static void request_usage(struct node *node, const struct config_document *doc)
{
	size_t requests_left = USAGE_REQUESTS_PER_S;

	for (size_t i = 0; i < doc->worker_count; i++) {
		size_t at = (node->next_usage + i) % doc->worker_count;
		const struct config_worker *w = &doc->workers[at];
		bool is_due = requests_left && is_own_worker(node, w) &&
			      !has_answered_recently(node, w);

		if (is_due && !--requests_left)
			node->next_usage = at + 1;
		if (is_due ||
		    (drain_worker_reports_leaving(node->drain, w->name) &&
		     is_own_worker(node, w)))
			node->ports->query_usage(node->ports->ctx, w->name,
						 w->address);
	}
}

void node_refresh_drain(struct node *node)
{
	const struct config_document *doc = config_current(node->config);

	drain_tick(node->drain, node->now_ms);
	if (doc && node_is_dispatcher(node) && node->ports->query_usage)
		request_usage(node, doc);
}
