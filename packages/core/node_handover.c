#include "core/node.h"

#include <string.h>

#include "base/log.h"
#include "core/node_state.h"

#define MAX_ADOPTED 256 /* owners in one heartbeat */

/* Connects the hand-over of records to the other parts of the node. */

struct candidates {
	struct node *node;
	uint64_t *out;
	size_t count;
	size_t max;
	bool foreign; /* of other data centres */
};

static void add_candidate(void *ctx, struct member_entry *m)
{
	struct candidates *c = ctx;
	bool foreign =
		strcmp(m->data_centre, c->node->settings->data_centre) != 0;

	if (m == member_self(c->node->members) || !m->linked ||
	    m->state > MEMBER_SUSPECT || foreign != c->foreign)
		return;
	if (c->count < c->max)
		c->out[c->count++] = m->incarnation;
}

/* Lists instances of this data centre, or of all others if there are none. */
static size_t list_candidates(void *ctx, uint64_t *out, size_t max)
{
	struct candidates c = { .node = ctx, .out = out, .max = max };

	member_each(c.node->members, add_candidate, &c);
	c.foreign = true;
	if (!c.count)
		member_each(c.node->members, add_candidate, &c);
	return c.count;
}

void node_create_handover(struct node *node)
{
	struct handover_options options = {
		.ports = node->ports,
		.records = node->records,
		.incarnation = node->options.incarnation,
		.ttl_ms = (uint64_t)node->settings->record_ttl_ms,
		.candidates = list_candidates,
		.ctx = node,
	};

	node->handover = handover_create(node, &options);
}

/* Announces a new successor to all members by an immediate heartbeat. */
static void announce(struct node *node)
{
	struct member_entry *self = member_self(node->members);
	uint64_t successor = handover_successor(node->handover);

	if (self->successor == successor)
		return;
	self->successor = successor;
	node_event(node, "handed_over", NULL, NULL);
	node_send_heartbeats(node);
}

void node_tick_handover(struct node *node)
{
	handover_tick(node->handover, node->now_ms);
	if (!node->stopping)
		return;
	if (!handover_has_begun(node->handover) &&
	    !dispatch_jobs(node->dispatch) &&
	    node->now_ms >= node->admit_until_ms)
		handover_begin(node->handover, node->now_ms);
	announce(node);
}

void node_handover_member_changed(struct node *node,
				  const struct member_entry *member)
{
	if (!node->handover ||
	    (member->linked && member->state <= MEMBER_SUSPECT))
		return;
	/* A leaving successor hands over the records it acknowledged. */
	if (member->linked && member->state == MEMBER_LEAVING &&
	    handover_is_done(node->handover))
		return;
	handover_lost(node->handover, member->incarnation, node->now_ms);
}

void node_on_hand_over(struct node *node, uint64_t from,
		       const Bergamot__Peer *msg)
{
	if (node->stopping)
		return;
	handover_receive(node->handover, from, msg->hand_over, node->now_ms);
	if (msg->hand_over->last)
		node_send_heartbeats(node);
}

void node_on_hand_over_ack(struct node *node, uint64_t from,
			   const Bergamot__Peer *msg)
{
	handover_receive_ack(node->handover, from, msg->hand_over_ack,
			     node->now_ms);
}

void node_learn_adopted(struct node *node, uint64_t from,
			const Bergamot__Heartbeat *beat)
{
	for (size_t i = 0; i < beat->n_adopted; i++)
		handover_add_route(node->handover, beat->adopted[i], from,
				   node->now_ms);
	if (beat->self && beat->self->successor)
		handover_add_route(node->handover, from, beat->self->successor,
				   node->now_ms);
}

void node_fill_adopted(struct node *node, TALLOC_CTX *mem,
		       Bergamot__Heartbeat *beat)
{
	if (beat->self->beat % NODE_FULL_UPDATE_BEATS &&
	    !handover_is_announcing(node->handover, node->now_ms))
		return;
	beat->adopted = talloc_array(mem, uint64_t, MAX_ADOPTED);
	beat->n_adopted = handover_list_adopted(node->handover, beat->adopted,
						MAX_ADOPTED);
}

static void log_job(void *ctx, struct record *record)
{
	(void)ctx;
	if (record->job)
		log_warning(LOG_JOB, "job %s is unfinished at the stop limit",
			    record->job->text);
}

void node_log_unfinished(struct node *node)
{
	struct node_forward *f, *next;

	record_each(node->records, log_job, NULL);
	HASH_ITER(hh, node->forwards, f, next)
		log_warning(
			LOG_JOB,
			"request for job %s is unanswered at the stop limit",
			f->job);
}
