#include "core/lease_relay.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/hash_table.h"
#include "base/log.h"
#include "core/relay_choice.h"

/*
 * Set in numbers of calls made for other instances; a leader's own numbers are
 * lower.
 */
#define RELAYED_CALL_FLAG (UINT64_C(1) << 63)
/* Added to a call's timeout: a round trip between instances, a busy relay. */
#define ANSWER_SLACK_MS 150
/* Members with a smaller share have no processor time to spare for relaying. */
#define MIN_SHARE_PERCENT 50 /* of the largest */
#define CHOICE_PERIOD_MS 100
/* Calls in a row without an answer after which another relay is used. */
#define MAX_RELAY_FAILURES 2
#define DEFAULT_DIRECT_WORKERS 64
/*
 * A relay is silent if it has answered nothing since it was sent this many
 * calls that workers answer at once, and for this multiple of the time after
 * which a start counts as lost.
 */
#define SILENT_CALLS 3
#define SILENT_FACTOR 2
#define MIN_SILENCE_MS 40
#define SILENT_RETRY_MS 3000 /* until a silent relay is used again */
/* Limits of what another instance may order. */
#define MAX_RELAYED_CALLS 8192 /* open at the same time */
#define MAX_ORDER_TIMEOUT_MS 5000
#define LATE_TICK_MS 40 /* after a longer gap, answers may not be read yet */
/*
 * A worker whose route is unused for this long is no longer registered:
 * registered workers are called at least every 5 s.
 */
#define ROUTE_TTL_MS 60000
#define ROUTE_EXPIRY_PERIOD_MS 5000

/* The instance that calls a worker. */
struct route {
	UT_hash_handle hh;
	char *worker;
	uint64_t relay; /* 0: this instance */
	uint64_t epoch; /* of the candidates from which relay was chosen */
	uint32_t failures; /* in a row */
	uint32_t rank; /* of relay in the worker's order of preference */
	uint32_t pending; /* number of pending calls */
	bool left; /* its relay has just become silent */
	uint64_t last_used_ms;
};

struct call_key {
	uint64_t number;
	uint64_t call; /* Bergamot__WorkerCall */
};

/* A call that a relay makes for this instance. */
struct pending {
	UT_hash_handle hh;
	struct call_key key;
	struct route *route;
	uint64_t relay;
	uint64_t sent_ms;
	uint64_t due_ms;
	bool prompt; /* the worker answers it at once */
};

struct relay_health {
	UT_hash_handle hh;
	uint64_t relay;
	uint64_t answered_ms; /* its last answer */
	uint64_t silent_until_ms; /* 0: not silent */
	/* Prompt calls since its last answer; counted in each tick. */
	uint32_t unanswered;
	uint64_t oldest_ms;
};

/* A call that this instance makes for another one. */
struct relayed_call {
	UT_hash_handle hh;
	uint64_t local_number;
	uint64_t leader;
	uint64_t number; /* chosen by the leader */
};

/* Orders and answers to be sent to a member. */
struct batch {
	UT_hash_handle hh;
	uint64_t member;
	uint64_t since_ms; /* when its first message was added */
	Bergamot__WorkerOrder **orders;
	size_t order_count;
	Bergamot__WorkerAnswer **answers;
	size_t answer_count;
};

struct lease_relay {
	struct relay_options options;
	struct lease_pool *pool;
	struct relay_choice_candidate candidates[RELAY_CHOICE_MAX];
	size_t candidate_count; /* 0: this instance makes all calls itself */
	uint64_t epoch; /* incremented when the candidates change */
	uint64_t choice_due_ms; /* next choice of relays */
	uint64_t expiry_due_ms; /* next expiry of routes */
	uint64_t now_ms; /* as of the last call that passed the time */
	struct route *routes;
	struct pending *pending;
	struct relay_health *health; /* of relays with calls */
	uint64_t ticked_ms;
	struct relayed_call *relayed_calls;
	struct batch *batches;
	uint64_t next_number;
};

/* Silent relays */

static struct relay_health *find_health(const struct lease_relay *lease_relay,
					uint64_t relay)
{
	struct relay_health *health;

	HASH_FIND(hh, lease_relay->health, &relay, sizeof(relay), health);
	return health;
}

static struct relay_health *get_health(struct lease_relay *lease_relay,
				       uint64_t relay)
{
	struct relay_health *health = find_health(lease_relay, relay);

	if (health)
		return health;
	health = talloc_zero(lease_relay, struct relay_health);
	health->relay = relay;
	HASH_ADD(hh, lease_relay->health, relay, sizeof(health->relay), health);
	return health;
}

static bool is_silent(const struct lease_relay *lease_relay, uint64_t relay)
{
	const struct relay_health *health = find_health(lease_relay, relay);

	return health && health->silent_until_ms > lease_relay->now_ms;
}

/* Choice */

static size_t count_workers(const struct lease_relay *lease_relay)
{
	const struct pool_worker *worker;
	size_t count = 0;

	TAILQ_FOREACH(worker, pool_workers(lease_relay->pool), entry)
		count += worker->registered;
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
		    is_silent(lease_relay, m->incarnation) ||
		    !leader_is_live(lease_relay->options.members, m,
				    lease_relay->now_ms) ||
		    m->share * 100 < largest * MIN_SHARE_PERCENT)
			continue;
		found[count].incarnation = m->incarnation;
		found[count].weight = m->share;
		found[count++].data_centre = m->data_centre;
	}
	return count;
}

static bool has_same_candidates(const struct lease_relay *lease_relay,
				const struct relay_choice_candidate *found,
				size_t count)
{
	if (count != lease_relay->candidate_count)
		return false;
	for (size_t i = 0; i < count; i++)
		if (found[i].incarnation !=
		    lease_relay->candidates[i].incarnation)
			return false;
	return true;
}

static void update_candidates(struct lease_relay *lease_relay)
{
	struct relay_choice_candidate found[RELAY_CHOICE_MAX];
	size_t count = 0;

	lease_relay->choice_due_ms = lease_relay->now_ms + CHOICE_PERIOD_MS;
	if (count_workers(lease_relay) > lease_relay->options.direct_workers)
		count = list_candidates(lease_relay, found);
	if (has_same_candidates(lease_relay, found, count))
		return;
	log_info(LOG_TARGET, "calls to workers now use %zu relays, before %zu",
		 count, lease_relay->candidate_count);
	lease_relay->candidate_count = count;
	memcpy(lease_relay->candidates, found, count * sizeof(*found));
	lease_relay->epoch++;
}

static struct route *get_route(struct lease_relay *lease_relay,
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
					 data_centre, route->rank);
	return route;
}

/*
 * Counts failures, since a relay may be cut off from a worker that other relays
 * can reach.
 */
static void record_answer(struct route *route, enum pool_answer answer)
{
	if (!pool_may_be_late(answer) && !pool_is_unsent(answer)) {
		route->failures = 0;
	} else if (++route->failures >= MAX_RELAY_FAILURES) {
		route->failures = 0;
		route->rank++;
		route->epoch = 0;
	}
}

/* Batches */

static struct batch *get_batch(struct lease_relay *lease_relay, uint64_t member)
{
	struct batch *batch;

	HASH_FIND(hh, lease_relay->batches, &member, sizeof(member), batch);
	if (batch)
		return batch;
	batch = talloc_zero(lease_relay, struct batch);
	batch->member = member;
	batch->since_ms = lease_relay->now_ms;
	HASH_ADD(hh, lease_relay->batches, member, sizeof(batch->member),
		 batch);
	lease_relay->options.wake(lease_relay->options.ctx);
	return batch;
}

static Bergamot__WorkerOrder *add_order(struct lease_relay *lease_relay,
					uint64_t member)
{
	struct batch *batch = get_batch(lease_relay, member);
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
	struct batch *batch = get_batch(lease_relay, member);
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
		orders.clock_ms = batch->since_ms;
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

static void add_pending(struct lease_relay *lease_relay, struct route *route,
			const Bergamot__WorkerOrder *order)
{
	struct pending *p = talloc_zero(lease_relay, struct pending);

	p->key.number = order->number;
	p->key.call = order->call;
	p->route = route;
	p->relay = route->relay;
	p->prompt = !order->wait_ms;
	p->sent_ms = lease_relay->now_ms;
	p->due_ms = lease_relay->now_ms + order->timeout_ms + ANSWER_SLACK_MS;
	route->pending++;
	route->last_used_ms = lease_relay->now_ms;
	HASH_ADD(hh, lease_relay->pending, key, sizeof(p->key), p);
}

/*
 * Adds an order to the route's relay and sets the fields common to all calls.
 */
static Bergamot__WorkerOrder *new_order(struct lease_relay *lease_relay,
					struct route *route,
					Bergamot__WorkerCall call,
					uint64_t number, const char *address,
					uint64_t fence, uint32_t timeout_ms)
{
	Bergamot__WorkerOrder *order = add_order(lease_relay, route->relay);

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
		get_route(lease_relay, call->worker, call->data_centre);
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
	add_pending(lease_relay, route, order);
}

static void port_start(void *ctx, const struct pool_start_call *call)
{
	struct lease_relay *lease_relay = ctx;
	struct route *route =
		get_route(lease_relay, call->worker, call->data_centre);
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
	add_pending(lease_relay, route, order);
}

static void port_stop(void *ctx, const struct pool_stop_call *call)
{
	struct lease_relay *lease_relay = ctx;
	struct route *route =
		get_route(lease_relay, call->worker, call->data_centre);
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
	add_pending(lease_relay, route, order);
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

static void deliver_answer(struct lease_relay *lease_relay,
			   const struct pending *p,
			   const struct pool_reply *reply,
			   const struct pool_lists *lists)
{
	uint64_t now_ms = lease_relay->now_ms;

	p->route->pending--;
	record_answer(p->route, reply->answer);
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

/* Removes a pending call from the table; the caller frees it. */
static struct pending *remove_pending(struct lease_relay *lease_relay,
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
		if (running[i].percent > 100)
			running[i].percent = 100;
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

static void receive_answer(struct lease_relay *lease_relay,
			   const Bergamot__WorkerAnswer *from)
{
	struct pending *p = remove_pending(lease_relay, from);
	struct pool_reply reply = {
		.answer = from->answer < POOL_ANSWER_COUNT
				  ? (enum pool_answer)from->answer
				  : POOL_NO_ANSWER,
		.clock_ms = from->clock_ms,
		.born_ms = from->born_ms,
	};
	struct pool_lists lists;

	if (!p)
		return; /* it is late, and counted as not answered */
	unpack_lists(p, from, &lists);
	deliver_answer(lease_relay, p, &reply, &lists);
	talloc_free(p);
}

void relay_receive_answers(struct lease_relay *lease_relay, uint64_t from,
			   const Bergamot__WorkerAnswers *msg, uint64_t now_ms)
{
	struct relay_health *health = find_health(lease_relay, from);

	lease_relay->now_ms = now_ms;
	if (health) {
		if (health->silent_until_ms)
			log_info(LOG_TARGET,
				 "relay %016" PRIx64 " answers again", from);
		health->answered_ms = now_ms;
		health->silent_until_ms = 0;
	}
	for (size_t i = 0; i < msg->n_answers; i++)
		receive_answer(lease_relay, msg->answers[i]);
}

/*
 * Ends the calls through a lost relay as not answered, or all overdue calls if
 * relay is 0.
 */
static void end_calls(struct lease_relay *lease_relay, uint64_t relay)
{
	static const struct pool_reply lost = { .answer = POOL_NO_ANSWER };
	static const struct pool_lists none;
	struct pending *p, *next;
	struct pending *ended = NULL;

	/* The pool may make new calls while it handles the answers. */
	HASH_ITER(hh, lease_relay->pending, p, next) {
		if (relay ? p->relay != relay : p->due_ms > lease_relay->now_ms)
			continue;
		HASH_DEL(lease_relay->pending, p);
		HASH_ADD(hh, ended, key, sizeof(p->key), p);
	}
	if (ended)
		log_info(LOG_TARGET,
			 "%u calls to workers through relays not answered, "
			 "lost relay %016" PRIx64 " (0: timeout)",
			 HASH_COUNT(ended), relay);
	HASH_ITER(hh, ended, p, next) {
		HASH_DEL(ended, p);
		deliver_answer(lease_relay, p, &lost, &none);
		talloc_free(p);
	}
}

/* Counts the prompt calls of each relay since its last answer. */
static void count_unanswered(struct lease_relay *lease_relay)
{
	struct relay_health *health;
	struct pending *p;

	for (health = lease_relay->health; health; health = health->hh.next)
		health->unanswered = 0;
	for (p = lease_relay->pending; p; p = p->hh.next) {
		if (!p->prompt)
			continue;
		health = get_health(lease_relay, p->relay);
		if (p->sent_ms < health->answered_ms)
			continue;
		if (!health->unanswered++ || p->sent_ms < health->oldest_ms)
			health->oldest_ms = p->sent_ms;
	}
}

static bool has_become_silent(const struct lease_relay *lease_relay,
			      const struct relay_health *health)
{
	double limit_ms =
		pool_answer_limit_ms(lease_relay->pool) * SILENT_FACTOR;

	if (limit_ms < MIN_SILENCE_MS)
		limit_ms = MIN_SILENCE_MS;
	return !health->silent_until_ms && health->unanswered >= SILENT_CALLS &&
	       (double)(lease_relay->now_ms - health->oldest_ms) >= limit_ms;
}

/*
 * Calls the workers of a silent relay through others at once. They get no tasks
 * until they have answered there: the relay's whole data centre may be cut off.
 */
static void leave_silent(struct lease_relay *lease_relay,
			 struct relay_health *health)
{
	uint64_t relay = health->relay;
	struct route *route;

	log_warning(LOG_TARGET,
		    "relay %016" PRIx64
		    " has not answered %u calls for %" PRIu64
		    " ms; its workers are called through others",
		    relay, health->unanswered,
		    lease_relay->now_ms - health->oldest_ms);
	for (route = lease_relay->routes; route; route = route->hh.next)
		route->left = route->relay == relay;
	/* Sends the next holds through other relays, without delay. */
	end_calls(lease_relay, relay);
	for (route = lease_relay->routes; route; route = route->hh.next)
		if (route->left)
			pool_doubt_worker(lease_relay->pool, route->worker,
					  lease_relay->now_ms);
}

static void expire_silence(struct lease_relay *lease_relay)
{
	struct relay_health *health;

	for (health = lease_relay->health; health; health = health->hh.next)
		if (health->silent_until_ms <= lease_relay->now_ms)
			health->silent_until_ms = 0;
}

static void check_silence(struct lease_relay *lease_relay)
{
	uint64_t until_ms = lease_relay->now_ms + SILENT_RETRY_MS;
	struct relay_health *health;
	size_t silent = 0;

	expire_silence(lease_relay);
	count_unanswered(lease_relay);
	for (health = lease_relay->health; health; health = health->hh.next)
		silent += has_become_silent(lease_relay, health);
	/* If most are silent, this instance or its link is at fault. */
	if (!silent || silent * 2 > lease_relay->candidate_count)
		return;
	for (health = lease_relay->health; health; health = health->hh.next)
		if (has_become_silent(lease_relay, health))
			health->silent_until_ms = until_ms;
	update_candidates(lease_relay);
	for (health = lease_relay->health; health; health = health->hh.next)
		if (health->silent_until_ms == until_ms)
			leave_silent(lease_relay, health);
}

void relay_member_lost(struct lease_relay *lease_relay, uint64_t incarnation,
		       uint64_t now_ms)
{
	struct relay_health *health = find_health(lease_relay, incarnation);

	lease_relay->now_ms = now_ms;
	if (health) {
		HASH_DEL(lease_relay->health, health);
		talloc_free(health);
	}
	update_candidates(lease_relay);
	end_calls(lease_relay, incarnation);
}

/* Removes the routes to workers that are no longer called. */
static void expire_routes(struct lease_relay *lease_relay)
{
	struct route *route, *next;

	lease_relay->expiry_due_ms =
		lease_relay->now_ms + ROUTE_EXPIRY_PERIOD_MS;
	HASH_ITER(hh, lease_relay->routes, route, next) {
		if (route->pending ||
		    lease_relay->now_ms - route->last_used_ms < ROUTE_TTL_MS)
			continue;
		HASH_DEL(lease_relay->routes, route);
		talloc_free(route);
	}
}

void relay_tick(struct lease_relay *lease_relay, uint64_t now_ms)
{
	lease_relay->now_ms = now_ms;
	if (lease_relay->choice_due_ms <= now_ms)
		update_candidates(lease_relay);
	if (lease_relay->expiry_due_ms <= now_ms)
		expire_routes(lease_relay);
	if (now_ms - lease_relay->ticked_ms <= LATE_TICK_MS)
		check_silence(lease_relay);
	lease_relay->ticked_ms = now_ms;
	end_calls(lease_relay, 0);
}

/* The relay's side */

static struct relayed_call *add_relayed_call(struct lease_relay *lease_relay,
					     uint64_t leader,
					     const Bergamot__WorkerOrder *order)
{
	struct relayed_call *relayed_call =
		talloc_zero(lease_relay, struct relayed_call);

	relayed_call->local_number =
		RELAYED_CALL_FLAG | ++lease_relay->next_number;
	relayed_call->leader = leader;
	relayed_call->number = order->number;
	HASH_ADD(hh, lease_relay->relayed_calls, local_number,
		 sizeof(relayed_call->local_number), relayed_call);
	return relayed_call;
}

/* Returns NULL, or why an order is not carried out. */
static const char *find_fault(const struct lease_relay *lease_relay,
			      const Bergamot__WorkerOrder *order)
{
	bool is_hold = order->call == BERGAMOT__WORKER_CALL__HOLD;

	if (!is_hold && order->call != BERGAMOT__WORKER_CALL__START &&
	    order->call != BERGAMOT__WORKER_CALL__STOP)
		return "unknown kind of call";
	if (!*order->worker || !*order->address || (!is_hold && !*order->task))
		return "a name is missing";
	if (order->timeout_ms > MAX_ORDER_TIMEOUT_MS ||
	    order->wait_ms > MAX_ORDER_TIMEOUT_MS)
		return "its timeout is too long";
	if (HASH_COUNT(lease_relay->relayed_calls) >= MAX_RELAYED_CALLS)
		return "too many calls are open";
	return NULL;
}

/* Tells the leader that nothing was sent to the worker. */
static void refuse_order(struct lease_relay *lease_relay, uint64_t leader,
			 const Bergamot__WorkerOrder *order, const char *fault)
{
	Bergamot__WorkerAnswer *answer = add_answer(lease_relay, leader);

	log_warning(LOG_TARGET,
		    "refused an order of member %016" PRIx64
		    " for worker %s: %s",
		    leader, order->worker, fault);
	answer->call = order->call;
	answer->number = order->number;
	answer->answer = POOL_UNHEALTHY;
}

static void make_relayed_call(struct lease_relay *lease_relay, uint64_t leader,
			      const Bergamot__WorkerOrder *order)
{
	const struct pool_ports *local = &lease_relay->options.local;
	struct relayed_call *relayed_call =
		add_relayed_call(lease_relay, leader, order);

	if (order->call == BERGAMOT__WORKER_CALL__HOLD) {
		struct pool_hold_call call = {
			.worker = order->worker,
			.address = order->address,
			.serial = relayed_call->local_number,
			.fence = order->fence,
			.ends_read = order->ends_read,
			.deadline_ms = order->deadline_ms,
			.wait_ms = order->wait_ms,
			.timeout_ms = order->timeout_ms,
		};

		local->hold(local->ctx, &call);
	} else if (order->call == BERGAMOT__WORKER_CALL__START) {
		struct pool_start_call call = {
			.token = relayed_call->local_number,
			.worker = order->worker,
			.address = order->address,
			.task = order->task,
			.number = order->run,
			.text = talloc_strndup(relayed_call,
					       (const char *)order->spec.data,
					       order->spec.len),
			.deadline_ms = order->deadline_ms,
			.fence = order->fence,
			.timeout_ms = order->timeout_ms,
		};

		local->start(local->ctx, &call);
	} else {
		struct pool_stop_call call = {
			.token = relayed_call->local_number,
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

/*
 * Returns a lower bound of the time in ms since the orders were sent, by the
 * sender's clock; 0 if it is not known.
 */
static uint64_t least_age_ms(const struct lease_relay *lease_relay,
			     uint64_t from, const Bergamot__WorkerOrders *msg)
{
	const struct leader_member *m =
		leader_find(lease_relay->options.members, from);
	uint64_t clock_ms;

#ifdef BREAK_ORDER_AGE
	return 0;
#endif
	if (!m || !msg->clock_ms)
		return 0;
	clock_ms = leader_clock_of(m, lease_relay->now_ms);
	return clock_ms > msg->clock_ms ? clock_ms - msg->clock_ms : 0;
}

void relay_receive_orders(struct lease_relay *lease_relay, uint64_t from,
			  const Bergamot__WorkerOrders *msg, uint64_t now_ms)
{
	uint64_t age_ms;
	size_t dropped = 0;

	lease_relay->now_ms = now_ms;
	age_ms = least_age_ms(lease_relay, from, msg);
	for (size_t i = 0; i < msg->n_orders; i++) {
		const Bergamot__WorkerOrder *order = msg->orders[i];
		const char *fault = find_fault(lease_relay, order);

		if (fault)
			refuse_order(lease_relay, from, order, fault);
		else if (age_ms > (uint64_t)order->timeout_ms + ANSWER_SLACK_MS)
			dropped++;
		else
			make_relayed_call(lease_relay, from, order);
	}
	if (dropped)
		log_warning(LOG_TARGET,
			    "dropped %zu orders of member %016" PRIx64
			    " for workers: sent at least %" PRIu64 " ms ago",
			    dropped, from, age_ms);
}

/*
 * Ends a call made for another instance, and returns the answer to be sent to
 * it; NULL if there is no such call.
 */
static Bergamot__WorkerAnswer *end_relayed_call(struct lease_relay *lease_relay,
						uint64_t number,
						Bergamot__WorkerCall call,
						const struct pool_reply *reply)
{
	Bergamot__WorkerAnswer *answer;
	struct relayed_call *relayed_call;

	HASH_FIND(hh, lease_relay->relayed_calls, &number, sizeof(number),
		  relayed_call);
	if (!relayed_call)
		return NULL;
	answer = add_answer(lease_relay, relayed_call->leader);
	answer->call = call;
	answer->number = relayed_call->number;
	answer->answer = reply->answer;
	answer->clock_ms = reply->clock_ms;
	answer->born_ms = reply->born_ms;
	HASH_DEL(lease_relay->relayed_calls, relayed_call);
	talloc_free(relayed_call);
	return answer;
}

static bool is_relayed_call(uint64_t number)
{
	return number & RELAYED_CALL_FLAG;
}

bool relay_start_answered(struct lease_relay *lease_relay, uint64_t token,
			  const struct pool_reply *reply)
{
	if (is_relayed_call(token))
		end_relayed_call(lease_relay, token,
				 BERGAMOT__WORKER_CALL__START, reply);
	return is_relayed_call(token);
}

bool relay_stop_answered(struct lease_relay *lease_relay, uint64_t token,
			 const struct pool_reply *reply)
{
	if (is_relayed_call(token))
		end_relayed_call(lease_relay, token,
				 BERGAMOT__WORKER_CALL__STOP, reply);
	return is_relayed_call(token);
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

	if (!is_relayed_call(serial))
		return false;
	answer = end_relayed_call(lease_relay, serial,
				  BERGAMOT__WORKER_CALL__HOLD, reply);
	if (answer && reply->answer == POOL_OK)
		pack_lists(answer, lists);
	return true;
}

/* Construction */

static int destroy(struct lease_relay *lease_relay)
{
	HASH_CLEAR(hh, lease_relay->routes);
	HASH_CLEAR(hh, lease_relay->pending);
	HASH_CLEAR(hh, lease_relay->health);
	HASH_CLEAR(hh, lease_relay->relayed_calls);
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
