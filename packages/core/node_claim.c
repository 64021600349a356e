#include "core/node.h"

#include <stdio.h>

#include "core/node_state.h"

/*
 * Idempotency keys. A key is claimed in the platform for a new job id, and the
 * job is then submitted under the id that the key holds. A claim lasts longer
 * than its id, so that an id whose key has expired cannot run any more.
 */

static void answer_claim(struct node *node, uint64_t request,
			 enum outcome_kind kind, enum outcome_reason reason)
{
	struct node_origin origin = { 0, request };
	struct outcome outcome = {
		.kind = kind,
		.reason = reason,
		/* Nothing was submitted, even if the claim succeeded. */
		.not_forwarded = kind == OUTCOME_UNKNOWN,
	};

	/* The reply names no id, so the caller cannot submit under it. */
	node_answer(node, &origin, "", &outcome);
}

static void drop_claim(struct node *node, struct node_claim *claim)
{
	HASH_DEL(node->claims, claim);
	talloc_free(claim);
}

void node_submit_keyed(struct node *node, uint64_t request, const char *key,
		       struct job_request *job, uint64_t now_ms)
{
	struct node_claim *claim;
	char fresh[1][JOB_ID_TEXT_BYTES];

	node->now_ms = now_ms;
	if (!node_issue_ids(node, fresh, 1, now_ms)) {
		talloc_free(job);
		answer_claim(node, request, OUTCOME_NOT_RUN,
			     OUTCOME_NO_DISPATCHER_REASON);
		return;
	}
	claim = talloc_zero(node, struct node_claim);
	claim->number = ++node->next_claim;
	claim->request = request;
	claim->expires_ms = now_ms + node_job_deadline_ms(node, job);
	claim->body = talloc_steal(claim, job);
	snprintf(claim->job, sizeof(claim->job), "%s", fresh[0]);
	HASH_ADD(hh, node->claims, number, sizeof(claim->number), claim);
	/* Last, because the port may answer within the call. */
	node->ports->claim_key(node->ports->ctx, claim->number, key, fresh[0]);
}

static void submit_claimed(struct node *node, struct node_claim *claim,
			   const char *id)
{
	struct job_request *job = talloc_steal(NULL, claim->body);
	uint64_t request = claim->request;
	uint64_t wait_ms = claim->expires_ms - node->now_ms;
	char text[JOB_ID_TEXT_BYTES];

	snprintf(text, sizeof(text), "%s", id);
	drop_claim(node, claim);
	node_submit_within(node, request, text, job, wait_ms);
}

void node_key_claimed(struct node *node, uint64_t number,
		      enum port_platform_status status, const char *value,
		      uint64_t now_ms)
{
	struct node_claim *claim;
	uint64_t request;

	node->now_ms = now_ms;
	HASH_FIND(hh, node->claims, &number, sizeof(number), claim);
	if (!claim)
		return;
	request = claim->request;
#ifndef BREAK_KEY_LATE
	/* After a pause the key may have expired and have a new holder. */
	if (claim->expires_ms <= now_ms) {
		node_expire_claims(node);
		return;
	}
#endif
#ifdef BREAK_KEY_LOST
	if (status == PORT_PLATFORM_LOST)
		status = PORT_PLATFORM_OK;
#endif
	if (status == PORT_PLATFORM_OK) {
		submit_claimed(node, claim, claim->job);
		return;
	}
	if (status == PORT_PLATFORM_CONFLICT && value) {
		submit_claimed(node, claim, value);
		return;
	}
	drop_claim(node, claim);
	if (status == PORT_PLATFORM_UNAVAILABLE)
		answer_claim(node, request, OUTCOME_NOT_RUN,
			     OUTCOME_PLATFORM_OUT_REASON);
	else
		answer_claim(node, request, OUTCOME_UNKNOWN,
			     OUTCOME_PLATFORM_OUT_REASON);
}

void node_expire_claims(struct node *node)
{
	struct node_claim *claim, *next;

	HASH_ITER(hh, node->claims, claim, next) {
		uint64_t request = claim->request;

		if (claim->expires_ms > node->now_ms)
			continue;
		drop_claim(node, claim);
		answer_claim(node, request, OUTCOME_UNKNOWN,
			     OUTCOME_PLATFORM_OUT_REASON);
	}
}
