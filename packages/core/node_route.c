#include "core/node.h"

#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "core/node_state.h"

/*
 * How long a request waits for a link to the owner or to its successor: longer
 * than the longest delay between two attempts to connect.
 */
#define MAX_PARK_MS 2500

/* At the entry instance */

/* Returns a linked instance that answers for the id's owner, or NULL. */
static const struct member_entry *find_answerer(struct node *node,
						const struct job_id *id)
{
	uint64_t who = handover_find_successor(node->handover, id->incarnation);
	const struct member_entry *m = member_find(node->members, who);

	if ((!m || !m->linked) && who != id->incarnation)
		m = member_find(node->members, id->incarnation);
	return m && m->linked ? m : NULL;
}

/* Returns the time that the owner may take, without the reply margin. */
static uint32_t remaining_ms(const struct node_forward *f, uint64_t now_ms)
{
	uint64_t left = f->expires_ms > now_ms ? f->expires_ms - now_ms : 0;
	uint64_t margin = NODE_FORWARD_MARGIN_MS;

	if (left < 2 * margin)
		margin = left / 2;
	left -= margin;
	return left ? (uint32_t)left : 1;
}

static void send_forward(struct node *node, struct node_forward *f,
			 uint64_t owner)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__Forward msg = BERGAMOT__FORWARD__INIT;

	f->owner = owner;
	f->sent = true;
	msg.request = f->number;
	msg.operation = f->operation;
	msg.job = f->job;
	msg.remaining_ms = remaining_ms(f, node->now_ms);
	if (f->body) {
		msg.body.data = (uint8_t *)f->body->raw;
		msg.body.len = f->body->raw_len;
	}
	peer.body_case = BERGAMOT__PEER__BODY_FORWARD;
	peer.forward = &msg;
	counter_add(COUNTER_PEER_FORWARDS, 1);
	node_event(node, "forward", f->job, NULL);
	node->ports->send(node->ports->ctx, owner, &peer);
}

/* A request of a local caller for a job. */
struct call {
	uint64_t request;
	const char *text;
	Bergamot__Operation operation;
	struct job_request *body; /* of a submission; owned once forwarded */
	uint64_t wait_ms; /* until the caller's deadline */
};

static struct node_forward *
add_forward(struct node *node, const struct call *call, const struct job_id *id)
{
	struct node_forward *f = talloc_zero(node, struct node_forward);

	f->number = ++node->next_forward;
	f->request = call->request;
	f->expires_ms = node->now_ms + call->wait_ms;
	f->id = *id;
	f->operation = call->operation;
	f->body = talloc_steal(f, call->body);
	snprintf(f->job, sizeof(f->job), "%s", call->text);
	HASH_ADD(hh, node->forwards, number, sizeof(f->number), f);
	return f;
}

/*
 * Parks a request until its owner is linked. An instance that has just started
 * has no links yet, and sending again under the same id is safe.
 */
static void park_forward(struct node *node, struct node_forward *f)
{
	const struct member_entry *owner =
		member_find(node->members, f->id.incarnation);
	bool owner_is_gone = owner && owner->state == MEMBER_GONE;

	f->owner = 0;
#ifndef BREAK_LINK_USE
	if (!owner_is_gone)
		node_use_link(node, f->id.incarnation);
#endif
	f->parked_until_ms = node->now_ms + (owner_is_gone ? 0 : MAX_PARK_MS);
	if (f->parked_until_ms > f->expires_ms)
		f->parked_until_ms = f->expires_ms;
	node_event(node, "park", f->job, NULL);
}

/* Returns true if this instance owns the id or adopted its owner's records. */
static bool is_answered_locally(struct node *node, const struct job_id *id)
{
	return node_owns_id(node, id) || record_find(node->records, id) ||
	       handover_check_id(node->handover, id, node->now_ms) !=
		       HANDOVER_NOT_ADOPTED;
}

/*
 * Forwards a request to the job's owner or to the owner's successor. Returns
 * false if this instance answers it, for an id that it serves or a bad id.
 */
static bool route_call(struct node *node, const struct call *call)
{
	const struct member_entry *m;
	struct node_forward *f;
	struct job_id id;

	if (job_id_parse(&id, call->text, node->system) != JOB_ID_OK ||
	    is_answered_locally(node, &id))
		return false;
	m = find_answerer(node, &id);
	if (m == member_self(node->members))
		return false;
	f = add_forward(node, call, &id);
	if (m)
		send_forward(node, f, m->incarnation);
	else
		park_forward(node, f);
	return true;
}

/* Ids are issued only with at least three quarters of their life left. */
static bool is_fresh(const struct node *node, const struct node_block *b)
{
	uint64_t renew_ms = (uint64_t)node->settings->record_ttl_ms / 4;

	return b->block.count && node->now_ms - b->received_ms < renew_ms;
}

/* Renews a block of this instance; a peer's blocks arrive by heartbeat. */
static struct job_id_block *next_block(struct node *node)
{
	struct node_block *b = node->blocks;
	uint64_t skip = node->next_block++;

	if (!node->dispatcher_count)
		return NULL;
	for (size_t i = 0; i < node->dispatcher_count; i++) {
		uint64_t who =
			node->dispatchers[(skip + i) % node->dispatcher_count];

		HASH_FIND(hh, node->blocks, &who, sizeof(who), b);
		if (b && is_fresh(node, b))
			return &b->block;
		if (who != node->options.incarnation)
			continue;
		if (!b) {
			b = talloc_zero(node, struct node_block);
			b->incarnation = who;
			HASH_ADD(hh, node->blocks, incarnation,
				 sizeof(b->incarnation), b);
		}
		b->block = job_id_grant(node->grants, node->now_ms,
					NODE_BLOCK_SERIALS);
		b->received_ms = node->now_ms;
		return &b->block;
	}
	return NULL;
}

size_t node_issue_ids(struct node *node, char (*ids)[JOB_ID_TEXT_BYTES],
		      size_t count, uint64_t now_ms)
{
	size_t issued = 0;

	node->now_ms = now_ms;
	while (issued < count) {
		struct job_id_block *block = next_block(node);
		struct job_id id;

		if (!block || !job_id_issue(block, &id))
			break;
		job_id_format(ids[issued++], &id, node->system);
	}
	return issued;
}

void node_submit_within(struct node *node, uint64_t request, const char *text,
			struct job_request *job, uint64_t wait_ms)
{
	struct node_origin origin = { 0, request };
	struct call call = {
		.request = request,
		.text = text,
		.operation = BERGAMOT__OPERATION__SUBMIT,
		.body = job,
		.wait_ms = wait_ms,
	};

	node_event(node, "submit", text, NULL);
	if (!route_call(node, &call))
		node_submit_at_owner(node, &origin, text, job, wait_ms);
}

void node_submit(struct node *node, uint64_t request, const char *text,
		 struct job_request *job, uint64_t now_ms)
{
	struct node_origin origin = { 0, request };
	char fresh[1][JOB_ID_TEXT_BYTES];

	node->now_ms = now_ms;
	if (!text && !node_issue_ids(node, fresh, 1, now_ms)) {
		node_answer_with(node, &origin, "", OUTCOME_NOT_RUN,
				 OUTCOME_NO_DISPATCHER_REASON);
		talloc_free(job);
		return;
	}
	node_submit_within(node, request, text ? text : fresh[0], job,
			   node_job_deadline_ms(node, job));
}

static void fetch(struct node *node, uint64_t request, const char *text,
		  Bergamot__Operation operation)
{
	struct node_origin origin = { 0, request };
	struct call call = {
		.request = request,
		.text = text,
		.operation = operation,
		.wait_ms = (uint64_t)node->settings->job_deadline_ms,
	};

	if (!route_call(node, &call))
		node_fetch_at_owner(node, &origin, text,
				    operation == BERGAMOT__OPERATION__CANCEL);
}

void node_fetch(struct node *node, uint64_t request, const char *text,
		uint64_t now_ms)
{
	node->now_ms = now_ms;
	fetch(node, request, text, BERGAMOT__OPERATION__FETCH);
}

void node_cancel(struct node *node, uint64_t request, const char *text,
		 uint64_t now_ms)
{
	node->now_ms = now_ms;
	fetch(node, request, text, BERGAMOT__OPERATION__CANCEL);
}

static void end_forward(struct node *node, struct node_forward *f,
			const struct outcome *outcome)
{
	struct node_origin origin = { 0, f->request };

	HASH_DEL(node->forwards, f);
	node_answer(node, &origin, f->job, outcome);
	talloc_free(f);
}

void node_forward_reply(struct node *node, uint64_t from,
			const Bergamot__ForwardReply *reply)
{
	struct node_forward *f;
	struct outcome outcome;

	HASH_FIND(hh, node->forwards, &reply->request, sizeof(reply->request),
		  f);
#ifdef BREAK_CROSSED
	f = node->forwards;
#endif
	if (!f || f->owner != from) {
		counter_add(COUNTER_ANSWERS_LATE, 1);
		return;
	}
	outcome = outcome_from_wire(f, reply->outcome);
	end_forward(node, f, &outcome);
}

void node_park_forwards(struct node *node, uint64_t owner)
{
	struct node_forward *f, *next;

	HASH_ITER(hh, node->forwards, f, next)
		if (f->owner == owner)
			park_forward(node, f);
	node_resume_forwards(node);
}

/* Serves a request here, after its owner handed its records over. */
static void serve_locally(struct node *node, struct node_forward *f)
{
	struct node_origin origin = { 0, f->request };
	struct job_request *body = talloc_steal(node, f->body);

	HASH_DEL(node->forwards, f);
	if (f->operation == BERGAMOT__OPERATION__SUBMIT)
		node_submit_at_owner(node, &origin, f->job, body,
				     remaining_ms(f, node->now_ms));
	else
		node_fetch_at_owner(node, &origin, f->job,
				    f->operation ==
					    BERGAMOT__OPERATION__CANCEL);
	talloc_free(f);
}

void node_resume_forwards(struct node *node)
{
	struct node_forward *f, *next;

	HASH_ITER(hh, node->forwards, f, next) {
		const struct member_entry *m;

		if (f->owner)
			continue;
		m = find_answerer(node, &f->id);
		if (m == member_self(node->members) ||
		    is_answered_locally(node, &f->id))
			serve_locally(node, f);
		else if (m)
			send_forward(node, f, m->incarnation);
	}
}

/*
 * Ends a request that no instance could serve. If it was never sent, this
 * attempt started nothing.
 */
static void answer_unreachable(struct node *node, struct node_forward *f)
{
	const struct member_entry *owner =
		member_find(node->members, f->id.incarnation);
	struct outcome outcome = {
		.kind = OUTCOME_UNKNOWN,
		.reason = owner && owner->state != MEMBER_GONE
				  ? OUTCOME_OWNER_UNREACHABLE_REASON
				  : OUTCOME_OWNER_GONE_REASON,
		.not_forwarded = !f->sent,
	};

	end_forward(node, f, &outcome);
}

static bool is_expired(const struct node_forward *f, uint64_t now_ms)
{
#ifdef BREAK_DEADLINE
	now_ms = 0;
#endif
	return f->expires_ms <= now_ms;
}

void node_expire_forwards(struct node *node)
{
	struct outcome late = {
		.kind = OUTCOME_UNKNOWN,
		.reason = OUTCOME_NO_ANSWER_YET_REASON,
	};
	struct node_forward *f, *next;

	HASH_ITER(hh, node->forwards, f, next) {
		if (!f->owner && f->parked_until_ms <= node->now_ms)
			answer_unreachable(node, f);
		else if (is_expired(f, node->now_ms))
			end_forward(node, f, &late);
	}
}
