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

/* The record of the job that the claim waits for here; NULL: there is none. */
static struct record *find_record(struct node *node,
				  const struct node_claim *claim)
{
	struct job_id id;

	if (job_id_parse(&id, claim->job, node->system) != JOB_ID_OK)
		return NULL;
	return record_find(node->records, &id);
}

/*
 * The claim stays while its request waits for a job of this instance, as that
 * may have a later deadline: its first submission came from another instance
 * and was under way for a time that nobody knows.
 */
static void submit_claimed(struct node *node, struct node_claim *claim,
			   const char *id)
{
	struct job_request *job = talloc_steal(NULL, claim->body);
	uint64_t wait_ms = claim->expires_ms - node->now_ms;
	struct record *record;

	claim->body = NULL;
	if (id != claim->job)
		snprintf(claim->job, sizeof(claim->job), "%s", id);
	node_submit_within(node, claim->request, claim->job, job, wait_ms);
	record = find_record(node, claim);
	if (!record || !record->job)
		drop_claim(node, claim);
}

void node_key_claimed(struct node *node, uint64_t number,
		      enum port_platform_status status, const char *value,
		      uint64_t now_ms)
{
	struct node_claim *claim;
	uint64_t request;

	node->now_ms = now_ms;
	HASH_FIND(hh, node->claims, &number, sizeof(number), claim);
	if (!claim || !claim->body)
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

/* The job goes on; its outcome is kept for a later submission. */
static void answer_late(struct node *node, const struct node_claim *claim)
{
	struct node_origin origin = { 0, claim->request };
	struct record *record = find_record(node, claim);

	if (record && record_remove_waiter(record, 0, claim->request))
		node_answer_with(node, &origin, claim->job, OUTCOME_UNKNOWN,
				 OUTCOME_NO_ANSWER_YET_REASON);
}

bool node_has_open_claims(const struct node *node)
{
	const struct node_claim *claim;

	for (claim = node->claims; claim; claim = claim->hh.next)
		if (claim->body)
			return true;
	return false;
}

void node_expire_claims(struct node *node)
{
	struct node_claim *claim, *next;

	HASH_ITER(hh, node->claims, claim, next) {
		uint64_t request = claim->request;

		if (claim->expires_ms > node->now_ms)
			continue;
		if (!claim->body) {
			answer_late(node, claim);
			drop_claim(node, claim);
			continue;
		}
		drop_claim(node, claim);
		answer_claim(node, request, OUTCOME_UNKNOWN,
			     OUTCOME_PLATFORM_OUT_REASON);
	}
}
