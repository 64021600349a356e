#include "core/node.h"

#include "base/counter.h"
#include "core/node_state.h"

/* Requests at the job's owner, and the answers to their origins. */

/* Answers */

static void count_outcome(const struct outcome *outcome)
{
	static const enum counter_id counters[OUTCOME_KIND_COUNT] = {
		[OUTCOME_COMPLETE] = COUNTER_JOBS_COMPLETE,
		[OUTCOME_FAILED] = COUNTER_JOBS_FAILED,
		[OUTCOME_NOT_RUN] = COUNTER_JOBS_REFUSED,
		[OUTCOME_UNKNOWN] = COUNTER_JOBS_UNKNOWN,
	};

	if (counters[outcome->kind])
		counter_add(counters[outcome->kind], 1);
}

static void answer_peer(struct node *node, const struct node_origin *origin,
			const struct outcome *outcome)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__ForwardReply reply = BERGAMOT__FORWARD_REPLY__INIT;
	Bergamot__Outcome msg = BERGAMOT__OUTCOME__INIT;

	outcome_to_wire(outcome, &msg);
	reply.request = origin->request;
	reply.outcome = &msg;
	peer.body_case = BERGAMOT__PEER__BODY_FORWARD_REPLY;
	peer.forward_reply = &reply;
	node->ports->send(node->ports->ctx, origin->peer, &peer);
}

void node_answer(struct node *node, const struct node_origin *origin,
		 const char *job, const struct outcome *outcome)
{
	struct port_reply reply = {
		.request = origin->request,
		.job = job,
		.outcome = outcome,
	};

	if (origin->peer) {
		answer_peer(node, origin, outcome);
		return;
	}
	count_outcome(outcome);
	node_event(node, "reply", job, outcome_kind_word(outcome->kind));
	node->ports->reply(node->ports->ctx, &reply);
}

void node_answer_with(struct node *node, const struct node_origin *origin,
		      const char *job, enum outcome_kind kind,
		      enum outcome_reason reason)
{
	struct outcome outcome = { .kind = kind, .reason = reason };

	node_answer(node, origin, job, &outcome);
}

void node_job_done(void *ctx, struct job *job, const struct outcome *outcome)
{
	struct node *node = ctx;
	struct record *record = record_find(node->records, &job->id);
	struct record_waiter *w;

	if (delegate_job_ended(node->delegate, job, outcome))
		return;
	node_event(node, "outcome", job->text,
		   outcome_kind_word(outcome->kind));
	record_finish(node->records, record, outcome, node->now_ms);
	while ((w = STAILQ_FIRST(&record->waiters))) {
		struct node_origin origin = { w->peer, w->request };

		STAILQ_REMOVE_HEAD(&record->waiters, entry);
		talloc_free(w);
		node_answer(node, &origin, job->text, &record->outcome);
	}
}

/* At the owner */

bool node_owns_id(const struct node *node, const struct job_id *id)
{
	return id->incarnation == node->options.incarnation;
}

static void answer_from_record(struct node *node,
			       const struct node_origin *origin,
			       const char *text, struct record *record,
			       uint64_t body_hash)
{
	counter_add(COUNTER_JOBS_JOINED, 1);
	if (record->body_hash && record->body_hash != body_hash)
		node_answer_with(node, origin, text, OUTCOME_REJECTED,
				 OUTCOME_BODY_MISMATCH_REASON);
	else if (record->job)
		record_add_waiter(record, origin->peer, origin->request);
	else
		node_answer(node, origin, text, &record->outcome);
}

uint64_t node_job_deadline_ms(const struct node *node,
			      const struct job_request *request)
{
	const struct config_document *doc = config_current(node->config);
	const struct config_service *service =
		doc ? config_find_service(doc, request->service) : NULL;

	if (request->deadline_ms)
		return request->deadline_ms;
	if (service && service->deadline_ms)
		return service->deadline_ms;
	return (uint64_t)node->settings->job_deadline_ms;
}

static enum outcome_reason check_admission(struct node *node,
					   const struct job_request *request,
					   uint64_t deadline_ms)
{
	enum outcome_reason reason;

	if (node->stopping && node->now_ms >= node->admit_until_ms)
		return OUTCOME_STOPPING_REASON;
	if (!config_current(node->config))
		return OUTCOME_NO_DISPATCHER_REASON;
	reason = dispatch_admit(node->dispatch, request, deadline_ms,
				node->now_ms);
	if (reason)
		return reason;
	switch (quota_take(node->quota, request->team, request->task_count,
			   node->now_ms)) {
	case QUOTA_OK:
		return OUTCOME_NONE_REASON;
	case QUOTA_OVER:
		return OUTCOME_OVER_QUOTA_REASON;
	case QUOTA_UNKNOWN_TEAM:
		return OUTCOME_UNKNOWN_TEAM_REASON;
	}
	return OUTCOME_NONE_REASON;
}

static void admit_job(struct node *node, struct record *record,
		      const struct job_id *id, const char *text,
		      struct job_request *request, uint64_t deadline_ms)
{
	struct job_options options = {
		.id = id,
		.text = text,
		.request = request,
		.now_ms = node->now_ms,
		.deadline_ms = deadline_ms,
	};

	record->job = job_create(node, &options);
	counter_add(COUNTER_JOBS_ADMITTED, 1);
	node_event(node, "admit", text, NULL);
	dispatch_submit(node->dispatch, record->job, node->now_ms);
}

/*
 * Answers at the memory cap of the records. Without a record a repeat of the
 * id could run, so the outcome is unknown; this attempt started nothing.
 */
static void answer_records_full(struct node *node,
				const struct node_origin *origin,
				const char *text)
{
	struct outcome outcome = {
		.kind = OUTCOME_UNKNOWN,
		.reason = OUTCOME_OVERLOADED_REASON,
		.not_forwarded = true,
	};

	node_answer(node, origin, text, &outcome);
}

static struct record *add_record(struct node *node, const struct job_id *id,
				 uint64_t body_hash)
{
	uint64_t life_ms = job_id_remaining_ms(node->grants, id, node->now_ms);

	return record_add(node->records, id, body_hash, node->now_ms + life_ms);
}

/* Refuses an id that started nothing; it can never run afterwards. */
static void close_id(struct node *node, const struct node_origin *origin,
		     const char *text, struct record *record,
		     enum outcome_reason reason)
{
	struct outcome refusal = { .kind = OUTCOME_NOT_RUN, .reason = reason };

	node_event(node, "refuse", text, outcome_reason_word(reason));
	record_finish(node->records, record, &refusal, node->now_ms);
	node_answer(node, origin, text, &refusal);
}

static void admit_first_submission(struct node *node,
				   const struct node_origin *origin,
				   const struct job_id *id, const char *text,
				   struct job_request *request,
				   uint64_t remaining_ms)
{
	uint64_t deadline_ms = node_job_deadline_ms(node, request);
	struct record *record = add_record(node, id, request->hash);
	enum outcome_reason reason;

	if (!record) {
		answer_records_full(node, origin, text);
		talloc_free(request);
		return;
	}
	if (remaining_ms && remaining_ms < deadline_ms)
		deadline_ms = remaining_ms;
	reason = check_admission(node, request, deadline_ms);
	if (reason == OUTCOME_OVER_QUOTA_REASON)
		node_log_over_quota(node, text, request);
	if (reason) {
		close_id(node, origin, text, record, reason);
		talloc_free(request);
		return;
	}
	record_add_waiter(record, origin->peer, origin->request);
	admit_job(node, record, id, text, request, deadline_ms);
}

static bool reject_bad_id(struct node *node, const struct node_origin *origin,
			  const char *text, struct job_id *id)
{
	switch (job_id_parse(id, text, node->system)) {
	case JOB_ID_OK:
		return false;
	case JOB_ID_MALFORMED:
		node_answer_with(node, origin, text, OUTCOME_REJECTED,
				 OUTCOME_BAD_ID_REASON);
		return true;
	case JOB_ID_FOREIGN:
		node_answer_with(node, origin, text, OUTCOME_REJECTED,
				 OUTCOME_FOREIGN_ID_REASON);
		return true;
	}
	return true;
}

/* Answers for an id of a stopped owner by the records it handed over. */
static void answer_adopted(struct node *node, const struct node_origin *origin,
			   const struct job_id *id, const char *text)
{
	switch (handover_check_id(node->handover, id, node->now_ms)) {
	case HANDOVER_CLOSED:
		node_answer_with(node, origin, text, OUTCOME_NOT_RUN,
				 OUTCOME_CLOSED_REASON);
		break;
	case HANDOVER_EXPIRED:
		node_answer_with(node, origin, text, OUTCOME_UNKNOWN,
				 OUTCOME_ID_EXPIRED_REASON);
		break;
	case HANDOVER_NOT_ADOPTED:
		node_answer_with(node, origin, text, OUTCOME_UNKNOWN,
				 OUTCOME_OWNER_GONE_REASON);
		break;
	}
}

/*
 * Checks an id of this instance that has no record. Returns true if it may be
 * used; answers the request otherwise.
 */
static bool check_unused_id(struct node *node, const struct node_origin *origin,
			    const struct job_id *id, const char *text)
{
	switch (job_id_check(node->grants, id, node->now_ms)) {
	case JOB_ID_VALID:
		/* The hand-over has begun: an id without a record is closed. */
		if (!handover_has_begun(node->handover))
			return true;
		node_answer_with(node, origin, text, OUTCOME_NOT_RUN,
				 OUTCOME_CLOSED_REASON);
		return false;
	case JOB_ID_EXPIRED:
		node_answer_with(node, origin, text, OUTCOME_UNKNOWN,
				 OUTCOME_ID_EXPIRED_REASON);
		return false;
	case JOB_ID_NEVER_GRANTED:
		node_answer_with(node, origin, text, OUTCOME_REJECTED,
				 OUTCOME_BAD_ID_REASON);
		return false;
	}
	return false;
}

void node_submit_at_owner(struct node *node, const struct node_origin *origin,
			  const char *text, struct job_request *request,
			  uint64_t remaining_ms)
{
	struct job_id id;
	struct record *record;

	if (reject_bad_id(node, origin, text, &id)) {
		talloc_free(request);
		return;
	}
	record = record_find(node->records, &id);
#ifdef BREAK_JOIN
	if (node_owns_id(node, &id))
		record = NULL;
#endif
	if (record) {
		answer_from_record(node, origin, text, record, request->hash);
		talloc_free(request);
	} else if (!node_owns_id(node, &id)) {
		answer_adopted(node, origin, &id, text);
		talloc_free(request);
	} else if (!check_unused_id(node, origin, &id, text)) {
		talloc_free(request);
	} else {
		admit_first_submission(node, origin, &id, text, request,
				       remaining_ms);
	}
}

static void cancel_record(struct node *node, const struct node_origin *origin,
			  struct record *record)
{
	record_add_waiter(record, origin->peer, origin->request);
	dispatch_cancel(node->dispatch, record->job, OUTCOME_CANCELLED_REASON,
			node->now_ms);
}

/* Closes the id, so that a submission after its cancel does not run. */
static void cancel_unused_id(struct node *node,
			     const struct node_origin *origin,
			     const struct job_id *id, const char *text)
{
	struct record *record = add_record(node, id, 0);

	if (record)
		close_id(node, origin, text, record, OUTCOME_CANCELLED_REASON);
	else
		answer_records_full(node, origin, text);
}

static void answer_progress(struct node *node, const struct node_origin *origin,
			    const struct record *record)
{
	struct outcome progress = record->outcome;

	progress.started = record->job->ever_started;
	progress.tasks = record->job->task_count;
	progress.done = record->job->done;
	node_answer(node, origin, record->job->text, &progress);
}

void node_fetch_at_owner(struct node *node, const struct node_origin *origin,
			 const char *text, bool cancel)
{
	struct job_id id;
	struct record *record;

	if (reject_bad_id(node, origin, text, &id))
		return;
	record = record_find(node->records, &id);
	if (record && record->job && cancel)
		cancel_record(node, origin, record);
	else if (record && record->job)
		answer_progress(node, origin, record);
	else if (record)
		node_answer(node, origin, text, &record->outcome);
	else if (!node_owns_id(node, &id))
		answer_adopted(node, origin, &id, text);
	else if (!check_unused_id(node, origin, &id, text))
		return;
	else if (cancel)
		cancel_unused_id(node, origin, &id, text);
	else
		node_answer_with(node, origin, text, OUTCOME_REJECTED,
				 OUTCOME_ID_UNUSED_REASON);
}
