#include "core/node.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "core/node_state.h"

/*
 * Shares of teams' quotas among dispatchers, exchanged by heartbeat. A team's
 * place is its position among the teams with a quota in the configuration. The
 * numbering is a hash of these teams and quotas, by which a receiver ignores
 * reports whose places mean other teams.
 */

/* Extra heartbeats, as at a stop, follow sooner: too soon to compute a rate. */
#define MIN_UPDATE_PERIOD_MS 500
/* A caller over its quota may be refused thousands of times a second. */
#define REFUSAL_LOG_PERIOD_MS 1000

struct peers {
	struct node *node;
	struct quota_share_peer list[NODE_MAX_MEMBERS];
	size_t count;
};

struct reach {
	const char *data_centre;
	bool has_link; /* to any of its members */
};

static void check_link(void *ctx, struct member_entry *m)
{
	struct reach *reach = ctx;

	reach->has_link |=
		m->linked && !strcmp(m->data_centre, reach->data_centre);
}

/*
 * Returns true for another data centre without any link: its members are cut
 * off by a partition rather than gone.
 */
static bool is_cut_off(struct node *node, const char *data_centre)
{
	struct reach reach = { data_centre, false };

	if (!strcmp(data_centre, node->settings->data_centre))
		return false;
	member_each(node->members, check_link, &reach);
	return !reach.has_link;
}

static void list_peer(void *ctx, struct member_entry *m)
{
	struct peers *peers = ctx;
	struct quota_share_peer *peer = &peers->list[peers->count];

	if (m == member_self(peers->node->members) || !m->slots ||
	    peers->count == NODE_MAX_MEMBERS)
		return;
	if (m->state == MEMBER_GONE && !is_cut_off(peers->node, m->data_centre))
		return;
	*peer = (struct quota_share_peer){ .incarnation = m->incarnation,
					   .disconnected = !m->linked };
	peers->count++;
}

static void list_peers(struct node *node)
{
	struct peers peers = { .node = node };

	member_each(node->members, list_peer, &peers);
	quota_share_set_peers(node->shares, peers.list, peers.count);
}

void node_update_shares(struct node *node)
{
	uint64_t elapsed_ms = node->now_ms - node->shares_updated_ms;

	if (elapsed_ms < MIN_UPDATE_PERIOD_MS)
		return;
	node->shares_updated_ms = node->now_ms;
	list_peers(node);
	quota_share_update(node->shares, node->quota, elapsed_ms, node->now_ms);
}

struct rate_list {
	Bergamot__TeamRates *rates;
	size_t last_place; /* the place of the last team added, or 0 */
};

static void add_rates(void *ctx, size_t place, uint32_t demand, uint32_t share)
{
	struct rate_list *list = ctx;
	Bergamot__TeamRates *rates = list->rates;

	rates->places[rates->n_places++] = (uint32_t)(place - list->last_place);
	rates->demand[rates->n_demand++] = demand;
	rates->shares[rates->n_shares++] = share;
	list->last_place = place;
}

void node_fill_shares(struct node *node, TALLOC_CTX *mem, uint64_t to, bool all,
		      Bergamot__Heartbeat *beat)
{
	const struct member_entry *m = member_find(node->members, to);
	unsigned count = (unsigned)quota_share_team_count(node->shares) + 1;
	struct rate_list list = { 0 };

	/*
	 * Only dispatchers have shares; a member from which no heartbeat has
	 * arrived may be one.
	 */
	if (!member_self(node->members)->slots || !m || (m->beat && !m->slots))
		return;
	list.rates = talloc(mem, Bergamot__TeamRates);
	bergamot__team_rates__init(list.rates);
	list.rates->places = talloc_array(mem, uint32_t, count);
	list.rates->demand = talloc_array(mem, uint32_t, count);
	list.rates->shares = talloc_array(mem, uint32_t, count);
	list.rates->numbering = quota_share_numbering(node->shares);
	list.rates->whole = quota_share_each_change(node->shares, to, all,
						    add_rates, &list);
	if (list.rates->whole)
		list.rates->n_places = 0;
	beat->rates = list.rates;
}

void node_apply_shares(struct node *node, uint64_t from,
		       const Bergamot__Heartbeat *beat)
{
	const Bergamot__TeamRates *rates = beat->rates;
	size_t place = 0;

	list_peers(node);
	if (!rates || rates->n_demand != rates->n_shares ||
	    (!rates->whole && rates->n_places != rates->n_shares) ||
	    !quota_share_handle_heartbeat(node->shares, from, rates->numbering,
					  rates->whole, node->now_ms))
		return;
	for (size_t i = 0; i < rates->n_shares; i++) {
		place = rates->whole ? i : place + rates->places[i];
		quota_share_set_report(node->shares, from, place,
				       rates->demand[i], rates->shares[i]);
	}
}

void node_log_over_quota(struct node *node, const char *job,
			 const struct job_request *request)
{
	TALLOC_CTX *mem;

	if (node->over_quota_logged_ms &&
	    node->now_ms - node->over_quota_logged_ms < REFUSAL_LOG_PERIOD_MS) {
		node->over_quota_unlogged++;
		return;
	}
	mem = talloc_new(NULL);
	log_info(LOG_JOB,
		 "job %s of %u tasks refused: team %s is over its quota: %s; "
		 "%s; %" PRIu64 " refusals not logged since the last one",
		 job, request->task_count, request->team,
		 quota_describe(mem, node->quota, request->team, node->now_ms),
		 quota_share_describe(mem, node->shares, request->team,
				      node->now_ms),
		 node->over_quota_unlogged);
	node->over_quota_logged_ms = node->now_ms;
	node->over_quota_unlogged = 0;
	talloc_free(mem);
}
