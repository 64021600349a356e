#include "core/node.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "core/node_state.h"
#include "wire/deflate.h"

#define MAX_DOCUMENT_BYTES (1u << 20) /* limit of the platform's values */

static void send_body(struct node *node, uint64_t incarnation,
		      Bergamot__Peer__BodyCase body_case, void *body)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	peer.body_case = body_case;
	peer.hello = body; /* all bodies share one union */
	node->ports->send(node->ports->ctx, incarnation, &peer);
}

/* Heartbeats */

static bool is_same_data_centre(struct node *node, uint64_t incarnation)
{
	const struct member_entry *m = member_find(node->members, incarnation);

	return m && !strcmp(m->data_centre, node->settings->data_centre);
}

static void fill_grant(struct node *node, uint64_t incarnation,
		       Bergamot__SerialBlock *grant, Bergamot__Heartbeat *beat)
{
	struct job_id_block block;

	if (!node_is_dispatcher(node) || node->stopping ||
	    !is_same_data_centre(node, incarnation))
		return;
	block = job_id_grant(node->grants, node->now_ms, NODE_BLOCK_SERIALS);
	grant->first = block.first;
	grant->count = block.count;
	grant->granted_ms = block.granted_ms;
	beat->grant = grant;
}

void node_send_heartbeat(struct node *node, uint64_t incarnation)
{
	Bergamot__Heartbeat beat = BERGAMOT__HEARTBEAT__INIT;
	Bergamot__Member self = BERGAMOT__MEMBER__INIT;
	Bergamot__SerialBlock grant = BERGAMOT__SERIAL_BLOCK__INIT;
	struct node_notes notes;
	struct node_relayed_members relayed;
	TALLOC_CTX *mem = talloc_new(NULL);

	member_to_wire(member_self(node->members), &self);
	beat.self = &self;
	beat.platform_age_ms = config_spread_age(&node->spread, node->now_ms);
	if (!(self.beat % NODE_FULL_UPDATE_BEATS))
		fill_grant(node, incarnation, &grant, &beat);
	node_fill_adopted(node, mem, &beat);
	node_fill_shares(node, mem, incarnation,
			 !(self.beat % NODE_FULL_UPDATE_BEATS), &beat);
	counter_add(COUNTER_PEER_HEARTBEATS, 1);
	node_add_relayed_members(node, incarnation, &relayed, &beat);
	node_add_worker_notes(node, !(self.beat % NODE_FULL_UPDATE_BEATS),
			      &notes, &beat);
	send_body(node, incarnation, BERGAMOT__PEER__BODY_HEARTBEAT, &beat);
	talloc_free(mem);
}

static void send_to_member(void *ctx, struct member_entry *m)
{
	struct node *node = ctx;

	if (m->linked && m != member_self(node->members))
		node_send_heartbeat(node, m->incarnation);
}

void node_send_round(struct node *node,
		     void (*send)(void *ctx, struct member_entry *member))
{
	member_self(node->members)->beat++;
	node_update_shares(node);
	member_each(node->members, send, node);
	quota_share_clear_changes(node->shares);
}

void node_send_heartbeats(struct node *node)
{
	node_send_round(node, send_to_member);
}

static void store_grant(struct node *node, uint64_t from,
			const Bergamot__SerialBlock *grant)
{
	struct node_block *b;

	HASH_FIND(hh, node->blocks, &from, sizeof(from), b);
	if (!b) {
		b = talloc_zero(node, struct node_block);
		b->incarnation = from;
		HASH_ADD(hh, node->blocks, incarnation, sizeof(b->incarnation),
			 b);
	}
	b->block.incarnation = from;
	b->block.data_centre = job_id_data_centre(node->settings->data_centre);
	b->block.first = grant->first;
	b->block.count = grant->count;
	b->block.granted_ms = grant->granted_ms;
	b->received_ms = node->now_ms;
}

static void request_config(struct node *node, uint64_t from, uint64_t version)
{
	Bergamot__ConfigAsk ask = BERGAMOT__CONFIG_ASK__INIT;

	ask.known_version = config_version(node->config);
	if (version > ask.known_version &&
	    config_spread_may_request(&node->spread, version, node->now_ms))
		send_body(node, from, BERGAMOT__PEER__BODY_CONFIG_ASK, &ask);
}

static void on_heartbeat(struct node *node, uint64_t from,
			 const Bergamot__Peer *msg)
{
	const Bergamot__Heartbeat *beat = msg->heartbeat;

	member_receive_heartbeat(node->members, beat, node->now_ms);
	if (beat->keep_link)
		node_keep_link(node, from);
	node_apply_worker_notes(node, beat);
	node_learn_adopted(node, from, beat);
	node_resume_forwards(node);
	node_apply_shares(node, from, beat);
	if (beat->grant)
		store_grant(node, from, beat->grant);
	if (beat->self)
		request_config(node, from, beat->self->config_version);
	if (beat->platform_age_ms && is_same_data_centre(node, from))
		config_spread_peer_answered(
			&node->spread, beat->platform_age_ms - 1, node->now_ms);
}

/* Configuration between peers */

static void on_config_ask(struct node *node, uint64_t from,
			  const Bergamot__Peer *msg)
{
	const struct config_document *doc = config_current(node->config);
	Bergamot__ConfigOffer offer = BERGAMOT__CONFIG_OFFER__INIT;
	uint8_t *packed;

	if (!doc || doc->version <= msg->config_ask->known_version)
		return;
	offer.version = doc->version;
	packed = deflate_pack(node, doc->text, doc->text_len);
	offer.deflated.data = packed;
	offer.deflated.len = talloc_get_size(packed);
	offer.text_len = (uint32_t)doc->text_len;
	send_body(node, from, BERGAMOT__PEER__BODY_CONFIG_OFFER, &offer);
	talloc_free(packed);
}

static void on_config_offer(struct node *node, uint64_t from,
			    const Bergamot__Peer *msg)
{
	const Bergamot__ConfigOffer *offer = msg->config_offer;
	char *text =
		deflate_unpack(node, offer->deflated.data, offer->deflated.len,
			       offer->text_len, MAX_DOCUMENT_BYTES);

	(void)from;
	if (text)
		node_apply_config(node, text, offer->text_len);
	else
		log_warning(LOG_CONFIG,
			    "configuration document from a peer ignored: "
			    "it cannot be decompressed");
	talloc_free(text);
}

/* Forwarded requests */

static void on_forward(struct node *node, uint64_t from,
		       const Bergamot__Peer *msg)
{
	const Bergamot__Forward *f = msg->forward;
	struct node_origin origin = { from, f->request };
	struct job_request_limits limits = {
		.tasks = node->settings->job_tasks,
		.depth = node->settings->job_json_depth,
	};
	enum job_request_status status;
	struct job_request *request;
	char *message;

	if (f->operation != BERGAMOT__OPERATION__SUBMIT) {
		node_fetch_at_owner(node, &origin, f->job,
				    f->operation ==
					    BERGAMOT__OPERATION__CANCEL);
		return;
	}
	request = job_request_parse(NULL, (const char *)f->body.data,
				    f->body.len, &limits, &status, &message);
	if (!request) {
		struct outcome refusal = { .kind = OUTCOME_REJECTED,
					   .reason =
						   OUTCOME_NEVER_FITS_REASON };

		talloc_free(message);
		node_answer(node, &origin, f->job, &refusal);
		return;
	}
	node_submit_at_owner(node, &origin, f->job, request, f->remaining_ms);
}

static void on_forward_reply(struct node *node, uint64_t from,
			     const Bergamot__Peer *msg)
{
	node_forward_reply(node, from, msg->forward_reply);
}

/* Links */

void node_peer_up(struct node *node, const Bergamot__Hello *hello,
		  uint64_t now_ms)
{
	node->now_ms = now_ms;
	if (strcmp(hello->cluster, node->settings->cluster) ||
	    hello->incarnation == node->options.incarnation)
		return;
	member_link_up(node->members, hello, now_ms);
	node_link_opened(node, hello);
	/* Makes this a full heartbeat: the peer needs a block of ids. */
	member_self(node->members)->beat +=
		NODE_FULL_UPDATE_BEATS -
		member_self(node->members)->beat % NODE_FULL_UPDATE_BEATS;
	node_send_heartbeat(node, hello->incarnation);
	node_resume_forwards(node);
}

void node_peer_down(struct node *node, uint64_t incarnation, uint64_t now_ms)
{
	node->now_ms = now_ms;
	member_link_down(node->members, incarnation, now_ms);
	node_park_forwards(node, incarnation);
	delegate_peer_down(node->delegate, incarnation, now_ms);
}

void node_peer_message(struct node *node, uint64_t incarnation,
		       const Bergamot__Peer *msg, uint64_t now_ms)
{
	static void (*const handlers[])(struct node *, uint64_t,
					const Bergamot__Peer *) = {
		[BERGAMOT__PEER__BODY_HEARTBEAT] = on_heartbeat,
		[BERGAMOT__PEER__BODY_FORWARD] = on_forward,
		[BERGAMOT__PEER__BODY_FORWARD_REPLY] = on_forward_reply,
		[BERGAMOT__PEER__BODY_HAND_OVER] = node_on_hand_over,
		[BERGAMOT__PEER__BODY_HAND_OVER_ACK] = node_on_hand_over_ack,
		[BERGAMOT__PEER__BODY_ROLE_STATE] = node_on_role_state,
		[BERGAMOT__PEER__BODY_DELEGATE] = node_on_delegate,
		[BERGAMOT__PEER__BODY_DELEGATED_RESULT] =
			node_on_delegated_result,
		[BERGAMOT__PEER__BODY_DELEGATE_STOP] = node_on_delegate_stop,
		[BERGAMOT__PEER__BODY_CONFIG_OFFER] = on_config_offer,
		[BERGAMOT__PEER__BODY_CONFIG_ASK] = on_config_ask,
	};
	size_t count = sizeof(handlers) / sizeof(handlers[0]);

	node->now_ms = now_ms;
	if ((size_t)msg->body_case >= count || !handlers[msg->body_case]) {
		log_debug(LOG_PEER, "peer message ignored: unknown kind %d",
			  (int)msg->body_case);
		return;
	}
	handlers[msg->body_case](node, incarnation, msg);
}
