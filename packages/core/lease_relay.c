#include "core/lease_relay.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/hash_table.h"
#include "base/log.h"
#include "core/relay_choice.h"

/* Numbers of calls made for others; a leader's own stay below. */
#define FOR_OTHERS (UINT64_C(1) << 63)
/* On top of a call's timeout: two ways between instances, a busy relay. */
#define ANSWER_SLACK_MS 150
/* A smaller share has no processor time to spare for others' calls. */
#define LEAST_SHARE_PERCENT 50 /* of the largest */
#define CHOOSE_MS 100 /* how often relays are chosen anew */
/* So many calls in a row without an answer: another relay is tried. */
#define FAILURES_TO_TURN 2
#define DEFAULT_DIRECT_WORKERS 64
/* A worker that is there is looked at every 5 s. */
#define ROUTE_UNUSED_MS 60000
#define ROUTE_REVIEW_MS 5000

/* By which instance a worker is called. */
struct route {
	UT_hash_handle hh;
	char *worker;
	uint64_t relay; /* 0: this instance */
	uint64_t epoch; /* of the candidates that it was chosen from */
	uint32_t failures; /* in a row */
	uint32_t place; /* in the worker's order of preference */
	uint32_t pending; /* calls */
	uint64_t used_ms; /* last time */
};

struct call_key {
	uint64_t number;
	uint64_t call; /* Bergamot__WorkerCall */
};

/* A call that a relay makes for us. */
struct pending {
	UT_hash_handle hh;
	struct call_key key;
	struct route *route;
	uint64_t relay;
	uint64_t due_ms;
};

/* A call that is made here for another instance. */
struct errand {
	UT_hash_handle hh;
	uint64_t own_number;
	uint64_t leader;
	uint64_t number; /* the leader's */
};

/* What waits to be sent to a member; the arrays grow with their use. */
struct batch {
	UT_hash_handle hh;
	uint64_t member;
	Bergamot__WorkerOrder **orders;
	size_t order_count;
	Bergamot__WorkerAnswer **answers;
	size_t answer_count;
};

struct lease_relay {
	struct relay_options options;
	struct lease_pool *pool;
	struct relay_choice_candidate candidates[RELAY_CHOICE_MAX];
	size_t candidate_count; /* 0: all calls are made here */
	uint64_t epoch;
	uint64_t choose_ms; /* next time */
	uint64_t review_ms; /* of routes, next time */
	uint64_t now_ms; /* as last told */
	struct route *routes;
	struct pending *pending;
	struct errand *errands;
	struct batch *batches;
	uint64_t next_number;
};

/* Choice */

static size_t count_workers(const struct lease_relay *lease_relay)
{
	const struct pool_worker *worker;
	size_t count = 0;

	TAILQ_FOREACH(worker, pool_workers(lease_relay->pool), entry)
		count += worker->listed;
	return count;
}

static size_t list_candidates(struct lease_relay *lease_relay,
			      struct relay_choice_candidate *found)
{
	struct leader_member *m;
	uint32_t largest = 0;
	size_t count = 0;

	for (m = leader_members(lease_relay->options.members); m;
	     m = m->hh.next)
		if (m->share > largest)
			largest = m->share;
	for (m = leader_members(lease_relay->options.members); m;
	     m = m->hh.next) {
		if (m->stopping || !m->share || count == RELAY_CHOICE_MAX ||
		    !leader_is_live(lease_relay->options.members, m,
				    lease_relay->now_ms) ||
		    m->share * 100 < largest * LEAST_SHARE_PERCENT)
			continue;
		found[count].incarnation = m->incarnation;
		found[count].weight = m->share;
		found[count++].data_centre = m->data_centre;
	}
	return count;
}

static bool is_same(const struct lease_relay *lease_relay,
		    const struct relay_choice_candidate *found, size_t count)
{
	if (count != lease_relay->candidate_count)
		return false;
	for (size_t i = 0; i < count; i++)
		if (found[i].incarnation !=
		    lease_relay->candidates[i].incarnation)
			return false;
	return true;
}

static void choose(struct lease_relay *lease_relay)
{
	struct relay_choice_candidate found[RELAY_CHOICE_MAX];
	size_t count = 0;

	lease_relay->choose_ms = lease_relay->now_ms + CHOOSE_MS;
	if (count_workers(lease_relay) > lease_relay->options.direct_workers)
		count = list_candidates(lease_relay, found);
	if (is_same(lease_relay, found, count))
		return;
	log_info(LOG_TARGET, "calls to workers go by %zu relays after %zu",
		 count, lease_relay->candidate_count);
	lease_relay->candidate_count = count;
	memcpy(lease_relay->candidates, found, count * sizeof(*found));
	lease_relay->epoch++;
}

static struct route *route_of(struct lease_relay *lease_relay,
			      const char *worker, const char *data_centre)
{
	struct route *route;

	HASH_FIND_STR(lease_relay->routes, worker, route);
	if (!route) {
		route = talloc_zero(lease_relay, struct route);
		route->worker = talloc_strdup(route, worker);
		HASH_ADD_KEYPTR(hh, lease_relay->routes, route->worker,
				strlen(route->worker), route);
	} else if (route->epoch == lease_relay->epoch) {
		return route;
	}
	route->epoch = lease_relay->epoch;
	route->relay = relay_choice_pick(lease_relay->candidates,
					 lease_relay->candidate_count, worker,
					 data_centre, route->place);
	return route;
}

/* A relay may have lost its way to a worker that others still reach. */
static void note_answer(struct route *route, enum pool_answer answer)
{
	if (answer != POOL_NO_ANSWER && answer != POOL_NOT_SENT) {
		route->failures = 0;
	} else if (++route->failures >= FAILURES_TO_TURN) {
		route->failures = 0;
		route->place++;
		route->epoch = 0;
	}
}

/* Batches */

static struct batch *batch_of(struct lease_relay *lease_relay, uint64_t member)
{
	struct batch *batch;

	HASH_FIND(hh, lease_relay->batches, &member, sizeof(member), batch);
	if (batch)
		return batch;
	batch = talloc_zero(lease_relay, struct batch);
	batch->member = member;
	HASH_ADD(hh, lease_relay->batches, member, sizeof(batch->member),
		 batch);
	lease_relay->options.wake(lease_relay->options.ctx);
	return batch;
}

static Bergamot__WorkerOrder *add_order(struct lease_relay *lease_relay,
					uint64_t member)
{
	struct batch *batch = batch_of(lease_relay, member);
	Bergamot__WorkerOrder *order = talloc(batch, Bergamot__WorkerOrder);

	bergamot__worker_order__init(order);
	batch->orders =
		talloc_realloc(batch, batch->orders, Bergamot__WorkerOrder *,
			       batch->order_count + 1);
	batch->orders[batch->order_count++] = order;
	return order;
}

static Bergamot__WorkerAnswer *add_answer(struct lease_relay *lease_relay,
					  uint64_t member)
{
	struct batch *batch = batch_of(lease_relay, member);
	Bergamot__WorkerAnswer *answer = talloc(batch, Bergamot__WorkerAnswer);

	bergamot__worker_answer__init(answer);
	batch->answers =
		talloc_realloc(batch, batch->answers, Bergamot__WorkerAnswer *,
			       batch->answer_count + 1);
	batch->answers[batch->answer_count++] = answer;
	return answer;
}

static void send_batch(struct lease_relay *lease_relay,
		       const struct batch *batch)
{
	Bergamot__WorkerOrders orders = BERGAMOT__WORKER_ORDERS__INIT;
	Bergamot__WorkerAnswers answers = BERGAMOT__WORKER_ANSWERS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	if (batch->order_count) {
		orders.orders = batch->orders;
		orders.n_orders = batch->order_count;
		peer.body_case = BERGAMOT__PEER__BODY_WORKER_ORDERS;
		peer.worker_orders = &orders;
		lease_relay->options.send(lease_relay->options.ctx,
					  batch->member, &peer);
	}
	if (batch->answer_count) {
		answers.answers = batch->answers;
		answers.n_answers = batch->answer_count;
		peer.body_case = BERGAMOT__PEER__BODY_WORKER_ANSWERS;
		peer.worker_answers = &answers;
		lease_relay->options.send(lease_relay->options.ctx,
					  batch->member, &peer);
	}
}

void relay_flush(struct lease_relay *lease_relay)
{
	struct batch *batch, *next;

	HASH_ITER(hh, lease_relay->batches, batch, next) {
		send_batch(lease_relay, batch);
		HASH_DEL(lease_relay->batches, batch);
		talloc_free(batch);
	}
}

/* The leader's side */

static void expect(struct lease_relay *lease_relay, struct route *route,
		   uint64_t number, Bergamot__WorkerCall call,
		   uint32_t timeout_ms)
{
	struct pending *p = talloc_zero(lease_relay, struct pending);

	p->key.number = number;
	p->key.call = call;
	p->route = route;
	p->relay = route->relay;
	p->due_ms = lease_relay->now_ms + timeout_ms + ANSWER_SLACK_MS;
	route->pending++;
	route->used_ms = lease_relay->now_ms;
	HASH_ADD(hh, lease_relay->pending, key, sizeof(p->key), p);
}

/* An order to the route's relay, with what all calls have. */
static Bergamot__WorkerOrder *new_order(struct lease_relay *lease_relay,
					struct route *route,
					Bergamot__WorkerCall call,
					uint64_t number, const char *address,
					uint64_t fence, uint32_t timeout_ms)
{
	Bergamot__WorkerOrder *order = add_order(lease_relay, route->relay);

	expect(lease_relay, route, number, call, timeout_ms);
	order->call = call;
	order->number = number;
	order->worker = talloc_strdup(order, route->worker);
	order->address = talloc_strdup(order, address);
	order->fence = fence;
	order->timeout_ms = timeout_ms;
	return order;
}

static void port_hold(void *ctx, const struct pool_hold_call *call)
{
	struct lease_relay *lease_relay = ctx;
	struct route *route =
		route_of(lease_relay, call->worker, call->data_centre);
	Bergamot__WorkerOrder *order;

	if (!route->relay) {
		lease_relay->options.local.hold(lease_relay->options.local.ctx,
						call);
		return;
	}
	order = new_order(lease_relay, route, BERGAMOT__WORKER_CALL__HOLD,
			  call->serial, call->address, call->fence,
			  call->timeout_ms);
	order->deadline_ms = call->deadline_ms;
	order->ends_read = call->ends_read;
	order->wait_ms = call->wait_ms;
}

static void port_start(void *ctx, const struct pool_start_call *call)
{
	struct lease_relay *lease_relay = ctx;
	struct route *route =
		route_of(lease_relay, call->worker, call->data_centre);
	Bergamot__WorkerOrder *order;

	if (!route->relay) {
		lease_relay->options.local.start(lease_relay->options.local.ctx,
						 call);
		return;
	}
	order = new_order(lease_relay, route, BERGAMOT__WORKER_CALL__START,
			  call->token, call->address, call->fence,
			  call->timeout_ms);
	order->deadline_ms = call->deadline_ms;
	order->task = talloc_strdup(order, call->task);
	order->run = call->number;
	order->spec.len = strlen(call->text);
	order->spec.data = talloc_memdup(order, call->text, order->spec.len);
}

static void port_stop(void *ctx, const struct pool_stop_call *call)
{
	struct lease_relay *lease_relay = ctx;
	struct route *route =
		route_of(lease_relay, call->worker, call->data_centre);
	Bergamot__WorkerOrder *order;

	if (!route->relay) {
		lease_relay->options.local.stop(lease_relay->options.local.ctx,
						call);
		return;
	}
	order = new_order(lease_relay, route, BERGAMOT__WORKER_CALL__STOP,
			  call->token, call->address, call->fence,
			  call->timeout_ms);
	order->task = talloc_strdup(order, call->task);
	order->run = call->number;
}

struct pool_ports relay_ports(struct lease_relay *lease_relay)
{
	struct pool_ports ports = {
		.ctx = lease_relay,
		.hold = port_hold,
		.start = port_start,
		.stop = port_stop,
	};

	return ports;
}

static void give_answer(struct lease_relay *lease_relay,
			const struct pending *p, const struct pool_reply *reply,
			const struct pool_lists *lists)
{
	uint64_t now_ms = lease_relay->now_ms;

	p->route->pending--;
	note_answer(p->route, reply->answer);
	switch ((Bergamot__WorkerCall)p->key.call) {
	case BERGAMOT__WORKER_CALL__HOLD:
		pool_hold_answered(lease_relay->pool, p->route->worker,
				   p->key.number, reply, lists, now_ms);
		break;
	case BERGAMOT__WORKER_CALL__START:
		pool_start_answered(lease_relay->pool, p->key.number, reply,
				    now_ms);
		break;
	default:
		pool_stop_answered(lease_relay->pool, p->key.number, reply,
				   now_ms);
	}
}

/* Takes a pending call out of the table; it is freed by the caller. */
static struct pending *take_pending(struct lease_relay *lease_relay,
				    const Bergamot__WorkerAnswer *answer)
{
	struct call_key key = { .number = answer->number,
				.call = answer->call };
	struct pending *p;

	HASH_FIND(hh, lease_relay->pending, &key, sizeof(key), p);
	if (p)
		HASH_DEL(lease_relay->pending, p);
	return p;
}

static void unpack_lists(TALLOC_CTX *mem, const Bergamot__WorkerAnswer *from,
			 struct pool_lists *lists)
{
	struct pool_listed_run *running =
		talloc_array(mem, struct pool_listed_run, from->n_running);
	struct pool_listed_end *ended =
		talloc_array(mem, struct pool_listed_end, from->n_ended);

	for (size_t i = 0; i < from->n_running; i++) {
		running[i].task = from->running[i]->task;
		running[i].number = from->running[i]->run;
		running[i].percent = from->running[i]->percent;
	}
	for (size_t i = 0; i < from->n_ended; i++) {
		ended[i].number_of_end = from->ended[i]->number;
		ended[i].task = from->ended[i]->task;
		ended[i].number = from->ended[i]->run;
		ended[i].how = from->ended[i]->how < POOL_END_COUNT
				       ? (enum pool_end)from->ended[i]->how
				       : POOL_STOPPED;
	}
	lists->running = running;
	lists->running_count = from->n_running;
	lists->ended = ended;
	lists->ended_count = from->n_ended;
}

static void take_answer(struct lease_relay *lease_relay,
			const Bergamot__WorkerAnswer *from)
{
	struct pending *p = take_pending(lease_relay, from);
	struct pool_reply reply = {
		.answer = from->answer <= POOL_NO_ANSWER
				  ? (enum pool_answer)from->answer
				  : POOL_NO_ANSWER,
		.clock_ms = from->clock_ms,
		.born_ms = from->born_ms,
	};
	struct pool_lists lists;

	if (!p)
		return; /* it came too late, and was counted as lost */
	unpack_lists(p, from, &lists);
	give_answer(lease_relay, p, &reply, &lists);
	talloc_free(p);
}

void relay_take_answers(struct lease_relay *lease_relay,
			const Bergamot__WorkerAnswers *msg, uint64_t now_ms)
{
	lease_relay->now_ms = now_ms;
	for (size_t i = 0; i < msg->n_answers; i++)
		take_answer(lease_relay, msg->answers[i]);
}

/* Ends the calls by a lost relay, or with 0 those that are overdue. */
static void end_calls(struct lease_relay *lease_relay, uint64_t relay)
{
	static const struct pool_reply lost = { .answer = POOL_NO_ANSWER };
	static const struct pool_lists none;
	struct pending *p, *next;
	struct pending *ended = NULL;

	/* The pool may send new calls while it is told. */
	HASH_ITER(hh, lease_relay->pending, p, next) {
		if (relay ? p->relay != relay : p->due_ms > lease_relay->now_ms)
			continue;
		HASH_DEL(lease_relay->pending, p);
		HASH_ADD(hh, ended, key, sizeof(p->key), p);
	}
	if (ended)
		log_info(LOG_TARGET,
			 "%u calls to workers by relays not answered, relay "
			 "lost %016" PRIx64,
			 HASH_COUNT(ended), relay);
	HASH_ITER(hh, ended, p, next) {
		HASH_DEL(ended, p);
		give_answer(lease_relay, p, &lost, &none);
		talloc_free(p);
	}
}

void relay_member_lost(struct lease_relay *lease_relay, uint64_t incarnation,
		       uint64_t now_ms)
{
	lease_relay->now_ms = now_ms;
	choose(lease_relay);
	end_calls(lease_relay, incarnation);
}

/* Forgets the routes to workers that are gone. */
static void review_routes(struct lease_relay *lease_relay)
{
	struct route *route, *next;

	lease_relay->review_ms = lease_relay->now_ms + ROUTE_REVIEW_MS;
	HASH_ITER(hh, lease_relay->routes, route, next) {
		if (route->pending ||
		    lease_relay->now_ms - route->used_ms < ROUTE_UNUSED_MS)
			continue;
		HASH_DEL(lease_relay->routes, route);
		talloc_free(route);
	}
}

void relay_tick(struct lease_relay *lease_relay, uint64_t now_ms)
{
	lease_relay->now_ms = now_ms;
	if (lease_relay->choose_ms <= now_ms)
		choose(lease_relay);
	if (lease_relay->review_ms <= now_ms)
		review_routes(lease_relay);
	end_calls(lease_relay, 0);
}

/* The relay's side */

static struct errand *add_errand(struct lease_relay *lease_relay,
				 uint64_t leader,
				 const Bergamot__WorkerOrder *order)
{
	struct errand *errand = talloc_zero(lease_relay, struct errand);

	errand->own_number = FOR_OTHERS | ++lease_relay->next_number;
	errand->leader = leader;
	errand->number = order->number;
	HASH_ADD(hh, lease_relay->errands, own_number,
		 sizeof(errand->own_number), errand);
	return errand;
}

static void run_errand(struct lease_relay *lease_relay, uint64_t leader,
		       const Bergamot__WorkerOrder *order)
{
	const struct pool_ports *local = &lease_relay->options.local;
	struct errand *errand = add_errand(lease_relay, leader, order);

	if (order->call == BERGAMOT__WORKER_CALL__HOLD) {
		struct pool_hold_call call = {
			.worker = order->worker,
			.address = order->address,
			.serial = errand->own_number,
			.fence = order->fence,
			.ends_read = order->ends_read,
			.deadline_ms = order->deadline_ms,
			.wait_ms = order->wait_ms,
			.timeout_ms = order->timeout_ms,
		};

		local->hold(local->ctx, &call);
	} else if (order->call == BERGAMOT__WORKER_CALL__START) {
		struct pool_start_call call = {
			.token = errand->own_number,
			.worker = order->worker,
			.address = order->address,
			.task = order->task,
			.number = order->run,
			.text = talloc_strndup(errand,
					       (const char *)order->spec.data,
					       order->spec.len),
			.deadline_ms = order->deadline_ms,
			.fence = order->fence,
			.timeout_ms = order->timeout_ms,
		};

		local->start(local->ctx, &call);
	} else {
		struct pool_stop_call call = {
			.token = errand->own_number,
			.worker = order->worker,
			.address = order->address,
			.task = order->task,
			.number = order->run,
			.fence = order->fence,
			.timeout_ms = order->timeout_ms,
		};

		local->stop(local->ctx, &call);
	}
}

void relay_take_orders(struct lease_relay *lease_relay, uint64_t from,
		       const Bergamot__WorkerOrders *msg)
{
	for (size_t i = 0; i < msg->n_orders; i++)
		run_errand(lease_relay, from, msg->orders[i]);
}

/* The answer to a call made for another instance; NULL when it is our own. */
static Bergamot__WorkerAnswer *answer_for(struct lease_relay *lease_relay,
					  uint64_t number,
					  Bergamot__WorkerCall call,
					  const struct pool_reply *reply)
{
	Bergamot__WorkerAnswer *answer;
	struct errand *errand;

	HASH_FIND(hh, lease_relay->errands, &number, sizeof(number), errand);
	if (!errand)
		return NULL;
	answer = add_answer(lease_relay, errand->leader);
	answer->call = call;
	answer->number = errand->number;
	answer->answer = reply->answer;
	answer->clock_ms = reply->clock_ms;
	answer->born_ms = reply->born_ms;
	HASH_DEL(lease_relay->errands, errand);
	talloc_free(errand);
	return answer;
}

static bool is_for_others(uint64_t number)
{
	return number & FOR_OTHERS;
}

bool relay_start_answered(struct lease_relay *lease_relay, uint64_t token,
			  const struct pool_reply *reply)
{
	if (is_for_others(token))
		answer_for(lease_relay, token, BERGAMOT__WORKER_CALL__START,
			   reply);
	return is_for_others(token);
}

bool relay_stop_answered(struct lease_relay *lease_relay, uint64_t token,
			 const struct pool_reply *reply)
{
	if (is_for_others(token))
		answer_for(lease_relay, token, BERGAMOT__WORKER_CALL__STOP,
			   reply);
	return is_for_others(token);
}

static void pack_lists(Bergamot__WorkerAnswer *answer,
		       const struct pool_lists *lists)
{
	answer->running = talloc_array(answer, Bergamot__ListedRun *,
				       lists->running_count);
	for (size_t i = 0; i < lists->running_count; i++) {
		Bergamot__ListedRun *run = talloc(answer, Bergamot__ListedRun);

		bergamot__listed_run__init(run);
		run->task = talloc_strdup(run, lists->running[i].task);
		run->run = lists->running[i].number;
		run->percent = lists->running[i].percent;
		answer->running[answer->n_running++] = run;
	}
	answer->ended =
		talloc_array(answer, Bergamot__ListedEnd *, lists->ended_count);
	for (size_t i = 0; i < lists->ended_count; i++) {
		Bergamot__ListedEnd *end = talloc(answer, Bergamot__ListedEnd);

		bergamot__listed_end__init(end);
		end->number = lists->ended[i].number_of_end;
		end->task = talloc_strdup(end, lists->ended[i].task);
		end->run = lists->ended[i].number;
		end->how = lists->ended[i].how;
		answer->ended[answer->n_ended++] = end;
	}
}

bool relay_hold_answered(struct lease_relay *lease_relay, uint64_t serial,
			 const struct pool_reply *reply,
			 const struct pool_lists *lists)
{
	Bergamot__WorkerAnswer *answer;

	if (!is_for_others(serial))
		return false;
	answer = answer_for(lease_relay, serial, BERGAMOT__WORKER_CALL__HOLD,
			    reply);
	if (answer && reply->answer == POOL_OK)
		pack_lists(answer, lists);
	return true;
}

/* Construction */

static int destroy(struct lease_relay *lease_relay)
{
	HASH_CLEAR(hh, lease_relay->routes);
	HASH_CLEAR(hh, lease_relay->pending);
	HASH_CLEAR(hh, lease_relay->errands);
	HASH_CLEAR(hh, lease_relay->batches);
	return 0;
}

struct lease_relay *relay_create(TALLOC_CTX *mem,
				 const struct relay_options *options)
{
	struct lease_relay *lease_relay = talloc_zero(mem, struct lease_relay);

	lease_relay->options = *options;
	lease_relay->now_ms = options->now_ms;
	lease_relay->epoch = 1;
	if (!lease_relay->options.direct_workers)
		lease_relay->options.direct_workers = DEFAULT_DIRECT_WORKERS;
	talloc_set_destructor(lease_relay, destroy);
	return lease_relay;
}

void relay_set_pool(struct lease_relay *lease_relay, struct lease_pool *pool)
{
	lease_relay->pool = pool;
}
