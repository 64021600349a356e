#include "core/node.h"

#include <stdio.h>

#include "base/counter.h"
#include "base/log.h"
#include "core/node_state.h"

#define REPAIR_REQUEST 0 /* request number of a write without a plan */

static void record_change(struct node *node)
{
	char detail[32];

	counter_add(COUNTER_CONFIG_CHANGES, 1);
	snprintf(detail, sizeof(detail), "%llu",
		 (unsigned long long)config_version(node->config));
	node_event(node, "config", NULL, detail);
	node_record_config_change(node);
}

bool node_apply_config(struct node *node, const char *text, size_t len)
{
	enum config_status status = config_offer(node->config, text, len);

	if (status == CONFIG_OK)
		record_change(node);
	else if (status != CONFIG_OLDER)
		log_warning(LOG_CONFIG, "configuration document rejected: %s",
			    config_last_message(node->config));
	if (status != CONFIG_OK)
		return false;
	member_self(node->members)->config_version =
		config_version(node->config);
	quota_configure(node->quota, config_current(node->config),
			node->now_ms);
	quota_share_configure(node->shares, config_current(node->config));
	node_reassign(node);
	/* Sent at once, so that members with an older version request it. */
	node_send_heartbeats(node);
	return true;
}

/* Distribution */

static void update_watch(struct node *node)
{
	uint64_t live[NODE_MAX_MEMBERS];
	const char *dc = node->settings->data_centre;
	size_t count = member_list_dispatch_candidates(node->members, dc, live,
						       NODE_MAX_MEMBERS);
	bool enabled = !node->stopping &&
		       config_spread_should_watch(dc, node->options.incarnation,
						  live, count);

	if (enabled == node->spread.watches)
		return;
	node->spread.watches = enabled;
	node->ports->watch_config(node->ports->ctx, enabled);
}

static void repair_platform(struct node *node)
{
	const struct config_document *doc = config_current(node->config);

	log_warning(LOG_CONFIG,
		    "the platform holds configuration version %llu, below "
		    "version %llu in force; writing the latter again",
		    (unsigned long long)node->spread.platform_version,
		    (unsigned long long)doc->version);
	node->ports->write_config(node->ports->ctx, REPAIR_REQUEST,
				  doc->version - 1, doc->text, doc->text_len);
}

void node_config_tick(struct node *node)
{
	if (!node->settings->platform_url)
		return;
	update_watch(node);
	if (config_spread_poll_due(&node->spread, node->now_ms))
		node->ports->read_config(node->ports->ctx);
	if (config_spread_repair_due(
		    &node->spread, config_version(node->config), node->now_ms))
		repair_platform(node);
}

void node_config_read(struct node *node, enum port_platform_status status,
		      const char *document, size_t len, uint64_t now_ms)
{
	node->now_ms = now_ms;
	if (status != PORT_PLATFORM_OK)
		return;
	if (len)
		node_apply_config(node, document, len);
	config_spread_answered(&node->spread,
			       len ? config_offered_version(node->config) : 0,
			       now_ms);
}

void node_config_written(struct node *node, uint64_t request,
			 enum port_platform_status status, uint64_t now_ms)
{
	node->now_ms = now_ms;
	if (request != REPAIR_REQUEST)
		node_plan_written(node, request, status);
	else if (status == PORT_PLATFORM_OK)
		node->spread.platform_version = config_version(node->config);
}
