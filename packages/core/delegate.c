#include "core/delegate.h"

#include <string.h>

#include "base/counter.h"
#include "base/hash_table.h"

/* Tasks of one job that are delegated to a peer; the owner's side. */
struct delegate_batch {
	UT_hash_handle hh;
	LIST_ENTRY(delegate_batch) of_job;
	uint64_t number;
	uint64_t peer;
	struct job *job;
	uint32_t *tasks; /* their indexes in the job */
	uint32_t count;
	uint32_t open; /* tasks without a result */
	bool *has_result; /* by index in the batch */
};

/* A batch that runs here for another dispatcher; the peer's side. */
struct delegate_received_batch {
	LIST_ENTRY(delegate_received_batch) entry;
	uint64_t owner;
	uint64_t number;
	struct job *job;
};

/* The highest batch number received from an owner. */
struct owner {
	UT_hash_handle hh;
	uint64_t incarnation;
	uint64_t highest;
};

struct delegates {
	struct delegate_options options;
	struct delegate_batch *batches;
	uint64_t next_batch;
	/* Batches of other owners. */
	LIST_HEAD(, delegate_received_batch) received_batches;
	struct owner *owners;
};

/* uthash does not allocate its tables with talloc. */
static int destroy(struct delegates *delegates)
{
	HASH_CLEAR(hh, delegates->batches);
	HASH_CLEAR(hh, delegates->owners);
	return 0;
}

struct delegates *delegate_create(TALLOC_CTX *mem,
				  const struct delegate_options *options)
{
	struct delegates *delegates = talloc_zero(mem, struct delegates);

	delegates->options = *options;
	LIST_INIT(&delegates->received_batches);
	talloc_set_destructor(delegates, destroy);
	return delegates;
}

static void send_body(struct delegates *delegates, uint64_t to,
		      Bergamot__Peer__BodyCase body_case, void *body)
{
	const struct ports *ports = delegates->options.ports;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	peer.body_case = body_case;
	peer.hello = body; /* a union contains all bodies */
	ports->send(ports->ctx, to, &peer);
}

/* Owner's side */

bool delegate_serves(const struct config_document *doc, const char *data_centre,
		     const char *service)
{
	if (config_is_drained(doc, data_centre))
		return false;
	for (size_t i = 0; i < doc->worker_count; i++)
		if (!doc->workers[i].drained &&
		    !strcmp(doc->workers[i].data_centre, data_centre) &&
		    !strcmp(doc->workers[i].service, service))
			return true;
	return false;
}

static void send_batch(struct delegates *delegates,
		       const struct delegate_batch *b, uint64_t now_ms)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	Bergamot__DelegatedTask *tasks =
		talloc_array(mem, Bergamot__DelegatedTask, b->count);
	Bergamot__Delegate msg = BERGAMOT__DELEGATE__INIT;
	const struct job *job = b->job;

	msg.tasks = talloc_array(mem, Bergamot__DelegatedTask *, b->count);
	for (uint32_t i = 0; i < b->count; i++) {
		const struct job_task *t = &job->tasks[b->tasks[i]];

		bergamot__delegated_task__init(&tasks[i]);
		tasks[i].index = b->tasks[i];
		tasks[i].run_ms = t->run_ms;
		tasks[i].payload.data = (uint8_t *)t->body;
		tasks[i].payload.len = strlen(t->body);
		msg.tasks[i] = &tasks[i];
	}
	msg.n_tasks = b->count;
	msg.batch = b->number;
	msg.job = (char *)job->text;
	msg.service = job->request->service;
	msg.team = job->request->team;
	msg.remaining_ms = (uint32_t)(job->deadline_ms - now_ms);
	counter_add(COUNTER_PEER_DELEGATIONS, 1);
	send_body(delegates, b->peer, BERGAMOT__PEER__BODY_DELEGATE, &msg);
	talloc_free(mem);
}

static void delegate(struct delegates *delegates, struct job *job,
		     struct delegate_peer *peer, uint32_t count,
		     uint64_t now_ms)
{
	struct delegate_batch *b =
		talloc_zero(delegates, struct delegate_batch);

	b->number = ++delegates->next_batch;
	b->peer = peer->incarnation;
	b->job = job;
	b->tasks = talloc_array(b, uint32_t, count);
	b->has_result = talloc_zero_array(b, bool, count);
	b->count = dispatch_dequeue_tasks(delegates->options.dispatch, job,
					  b->tasks, count);
	b->open = b->count;
	peer->idle_slots -= b->count;
	LIST_INSERT_HEAD(&job->batches, b, of_job);
	HASH_ADD(hh, delegates->batches, number, sizeof(b->number), b);
	send_batch(delegates, b, now_ms);
}

static void remove_batch(struct delegates *delegates, struct delegate_batch *b)
{
	LIST_REMOVE(b, of_job);
	/* batches contains b; the condition is for the static analyser. */
	if (delegates->batches)
		HASH_DEL(delegates->batches, b);
	talloc_free(b);
}

void delegate_spill(struct delegates *delegates, struct delegate_peer *peers,
		    size_t count, const struct config_document *doc,
		    uint64_t now_ms)
{
	struct dispatch_excess excess;

	for (size_t i = 0; i < count; i++) {
		struct delegate_peer *peer = &peers[i];

		while (peer->idle_slots &&
		       dispatch_find_excess(delegates->options.dispatch,
					    &excess, now_ms)) {
			uint32_t tasks = excess.tasks < peer->idle_slots
						 ? excess.tasks
						 : peer->idle_slots;

			if (!delegate_serves(doc, peer->data_centre,
					     excess.job->request->service))
				break;
			delegate(delegates, excess.job, peer, tasks, now_ms);
		}
	}
}

static struct delegate_batch *find_batch(struct delegates *delegates,
					 uint64_t number, uint64_t peer)
{
	struct delegate_batch *b;

	HASH_FIND(hh, delegates->batches, &number, sizeof(number), b);
	return b && b->peer == peer ? b : NULL;
}

/* Returns a task's index in the batch, or b->count if it is not there. */
static uint32_t index_in_batch(const struct delegate_batch *b, uint32_t task)
{
	uint32_t i = 0;

	while (i < b->count && b->tasks[i] != task)
		i++;
	return i;
}

void delegate_result(struct delegates *delegates, uint64_t from,
		     const Bergamot__DelegatedResult *msg, uint64_t now_ms)
{
	static const enum port_result_kind kinds[] = {
		[BERGAMOT__DELEGATED_STATE__DONE] = PORT_DONE,
		[BERGAMOT__DELEGATED_STATE__FAILED] = PORT_FAILED,
		[BERGAMOT__DELEGATED_STATE__NOT_STARTED] = PORT_NOT_STARTED,
		[BERGAMOT__DELEGATED_STATE__UNKNOWN] = PORT_UNKNOWN,
	};
	struct delegate_batch *b = find_batch(delegates, msg->batch, from);
	enum port_result_kind kind = PORT_UNKNOWN;
	struct job *job;
	char *body = NULL;
	uint32_t i;

	if (!b)
		return; /* the job has ended */
	i = index_in_batch(b, msg->index);
	if (i == b->count || b->has_result[i])
		return;
	if ((size_t)msg->state < sizeof(kinds) / sizeof(kinds[0]))
		kind = kinds[msg->state];
	b->has_result[i] = true;
	job = b->job;
	if (!--b->open)
		remove_batch(delegates, b);
	if (kind == PORT_DONE)
		body = talloc_strndup(NULL, (const char *)msg->body.data,
				      msg->body.len);
	dispatch_delegated_result(delegates->options.dispatch, job, msg->index,
				  kind, body, now_ms);
}

static void stop_batches(struct delegates *delegates, struct job *job)
{
	struct delegate_batch *b;

	while ((b = LIST_FIRST(&job->batches))) {
		Bergamot__DelegateStop msg = BERGAMOT__DELEGATE_STOP__INIT;

		msg.batch = b->number;
		send_body(delegates, b->peer,
			  BERGAMOT__PEER__BODY_DELEGATE_STOP, &msg);
		remove_batch(delegates, b);
	}
}

/* Peer's side */

static bool is_new_batch(struct delegates *delegates, uint64_t from,
			 uint64_t number)
{
	struct owner *o;

	HASH_FIND(hh, delegates->owners, &from, sizeof(from), o);
	if (!o) {
		o = talloc_zero(delegates, struct owner);
		o->incarnation = from;
		HASH_ADD(hh, delegates->owners, incarnation,
			 sizeof(o->incarnation), o);
	}
	if (number <= o->highest)
		return false;
	o->highest = number;
	return true;
}

static void report(struct delegates *delegates, uint64_t owner, uint64_t batch,
		   uint32_t task, Bergamot__DelegatedState state,
		   const char *body)
{
	Bergamot__DelegatedResult msg = BERGAMOT__DELEGATED_RESULT__INIT;

	msg.batch = batch;
	msg.index = task;
	msg.state = state;
	if (body) {
		msg.body.data = (uint8_t *)body;
		msg.body.len = strlen(body);
	}
	counter_add(COUNTER_PEER_DELEGATED_RESULTS, 1);
	send_body(delegates, owner, BERGAMOT__PEER__BODY_DELEGATED_RESULT,
		  &msg);
}

static struct job_request *make_request(const Bergamot__Delegate *msg,
					uint32_t count)
{
	struct job_request *r = talloc_zero(NULL, struct job_request);

	r->service = talloc_strdup(r, msg->service);
	r->team = talloc_strdup(r, msg->team);
	r->tasks = talloc_zero_array(r, struct job_request_task, count);
	r->task_count = count;
	for (uint32_t i = 0; i < count; i++) {
		r->tasks[i].run_ms = msg->tasks[i]->run_ms;
		r->tasks[i].body = talloc_strndup(
			r, (const char *)msg->tasks[i]->payload.data,
			msg->tasks[i]->payload.len);
	}
	return r;
}

/* The tasks keep their numbers in the owner's job. */
static struct job *make_job(struct delegates *delegates,
			    const Bergamot__Delegate *msg, uint32_t count,
			    uint64_t now_ms)
{
	struct job_id id = { .serial = msg->batch };
	struct job_options options = {
		.id = &id,
		.text = msg->job,
		.request = make_request(msg, count),
		.now_ms = now_ms,
		.deadline_ms = msg->remaining_ms,
	};
	struct job *job = job_create(delegates, &options);

	for (uint32_t i = 0; i < count; i++)
		job->tasks[i].number = msg->tasks[i]->index;
	return job;
}

void delegate_accept(struct delegates *delegates, uint64_t from,
		     const Bergamot__Delegate *msg, bool refuse,
		     uint64_t now_ms)
{
	uint32_t slots = 0;
	struct delegate_received_batch *received;

	if (!is_new_batch(delegates, from, msg->batch))
		return;
	if (!refuse && msg->remaining_ms)
		slots = dispatch_idle_slots(delegates->options.dispatch,
					    msg->service, now_ms);
	if (slots > msg->n_tasks)
		slots = (uint32_t)msg->n_tasks;
	for (size_t i = slots; i < msg->n_tasks; i++)
		report(delegates, from, msg->batch, msg->tasks[i]->index,
		       BERGAMOT__DELEGATED_STATE__NOT_STARTED, NULL);
	if (!slots)
		return;
	received = talloc_zero(delegates, struct delegate_received_batch);
	received->owner = from;
	received->number = msg->batch;
	received->job = make_job(delegates, msg, slots, now_ms);
	received->job->received_batch = received;
	LIST_INSERT_HEAD(&delegates->received_batches, received, entry);
	dispatch_submit(delegates->options.dispatch, received->job, now_ms);
}

void delegate_stop(struct delegates *delegates, uint64_t from,
		   const Bergamot__DelegateStop *msg, uint64_t now_ms)
{
	struct delegate_received_batch *received;

	LIST_FOREACH(received, &delegates->received_batches, entry) {
		if (received->owner != from || received->number != msg->batch)
			continue;
		dispatch_cancel(delegates->options.dispatch, received->job,
				OUTCOME_CANCELLED_REASON, now_ms);
		return;
	}
}

static void
report_outcome_to_owner(struct delegates *delegates,
			const struct delegate_received_batch *received,
			const struct outcome *outcome)
{
	Bergamot__DelegatedState state = BERGAMOT__DELEGATED_STATE__FAILED;

	if (outcome->kind == OUTCOME_COMPLETE)
		state = BERGAMOT__DELEGATED_STATE__DONE;
	else if (outcome->kind == OUTCOME_NOT_RUN)
		state = BERGAMOT__DELEGATED_STATE__NOT_STARTED;
	else if (outcome->reason == OUTCOME_TASK_UNKNOWN_REASON)
		state = BERGAMOT__DELEGATED_STATE__UNKNOWN;
	for (uint32_t i = 0; i < received->job->task_count; i++) {
		const struct job_task *t = &received->job->tasks[i];

		report(delegates, received->owner, received->number, t->number,
		       state,
		       outcome->kind == OUTCOME_COMPLETE ? t->answer : NULL);
		if (outcome->kind == OUTCOME_FAILED)
			return; /* one failed task fails the owner's job */
	}
}

bool delegate_job_ended(struct delegates *delegates, struct job *job,
			const struct outcome *outcome)
{
	struct delegate_received_batch *received = job->received_batch;

	if (!received) {
		stop_batches(delegates, job);
		return false;
	}
	LIST_REMOVE(received, entry);
	report_outcome_to_owner(delegates, received, outcome);
	talloc_free(received);
	return true;
}

/* Both sides */

static struct delegate_batch *find_batch_of_peer(struct delegates *delegates,
						 uint64_t peer)
{
	struct delegate_batch *b, *next;

	HASH_ITER(hh, delegates->batches, b, next)
		if (b->peer == peer)
			return b;
	return NULL;
}

static struct delegate_received_batch *
find_received_batch(struct delegates *delegates, uint64_t owner)
{
	struct delegate_received_batch *received;

	LIST_FOREACH(received, &delegates->received_batches, entry)
		if (received->owner == owner)
			return received;
	return NULL;
}

void delegate_peer_down(struct delegates *delegates, uint64_t peer,
			uint64_t now_ms)
{
	struct delegate_batch *b;
	struct delegate_received_batch *received;

	while ((b = find_batch_of_peer(delegates, peer)))
		dispatch_cancel(delegates->options.dispatch, b->job,
				OUTCOME_TASK_UNKNOWN_REASON, now_ms);
	/* The owner fails these jobs, so nobody waits for their tasks. */
	while ((received = find_received_batch(delegates, peer)))
		dispatch_cancel(delegates->options.dispatch, received->job,
				OUTCOME_CANCELLED_REASON, now_ms);
}
