/*
 * Calls through relays: the leader receives an answer as if it had called the
 * worker itself, and a lost or silent relay counts as a worker that does not
 * answer, so that no run is taken for ended.
 */
#include <stdio.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/lease_relay.h"

#define LEADER 1
#define MAX_ORDERS 256

/* One instance; the tests deliver its messages explicitly. */
struct instance {
	struct lease_relay *lease_relay;
	uint64_t sent_to;
	uint64_t w1_relay; /* last relay that was sent an order for w1 */
	uint8_t sent[4096];
	size_t sent_len;
	uint32_t sent_count;
	char called[32];
	uint64_t serial;
	uint32_t calls;
	bool woken;
	/* Calls that relays 2 and 3 are to answer at once. */
	struct {
		uint64_t to;
		uint32_t call;
		uint64_t number;
	} prompt[MAX_ORDERS];
	size_t prompt_count;
	uint32_t orders_to_3;
};

static TALLOC_CTX *mem;
static struct leadership *members;
static struct lease_pool *pool;
static struct instance leader;
static struct instance relay;
static uint64_t now_ms;

static void record_orders(struct instance *instance, uint64_t to,
			  const Bergamot__WorkerOrders *orders)
{
	for (size_t i = 0; i < orders->n_orders; i++) {
		if (!strcmp(orders->orders[i]->worker, "w1"))
			instance->w1_relay = to;
		instance->orders_to_3 += to == 3;
		if (orders->orders[i]->wait_ms ||
		    instance->prompt_count == MAX_ORDERS)
			continue;
		instance->prompt[instance->prompt_count].to = to;
		instance->prompt[instance->prompt_count].call =
			orders->orders[i]->call;
		instance->prompt[instance->prompt_count++].number =
			orders->orders[i]->number;
	}
}

static void record_send(void *ctx, uint64_t to, const Bergamot__Peer *msg)
{
	struct instance *instance = ctx;

	instance->sent_to = to;
	if (msg->body_case == BERGAMOT__PEER__BODY_WORKER_ORDERS)
		record_orders(instance, to, msg->worker_orders);
	instance->sent_len = bergamot__peer__get_packed_size(msg);
	ck_assert_uint_le(instance->sent_len, sizeof(instance->sent));
	bergamot__peer__pack(msg, instance->sent);
	instance->sent_count++;
}

static void record_wake(void *ctx)
{
	((struct instance *)ctx)->woken = true;
}

static void record_hold(void *ctx, const struct pool_hold_call *call)
{
	struct instance *instance = ctx;

	snprintf(instance->called, sizeof(instance->called), "%s",
		 call->worker);
	instance->serial = call->serial;
	instance->calls++;
}

static void ignore_start(void *ctx, const struct pool_start_call *call)
{
	(void)ctx;
	(void)call;
}

static void ignore_stop(void *ctx, const struct pool_stop_call *call)
{
	(void)ctx;
	(void)call;
}

static void create(struct instance *instance, uint32_t direct_workers)
{
	struct relay_options options = {
		.local = { instance, record_hold, ignore_start, ignore_stop },
		.members = members,
		.direct_workers = direct_workers,
		.send = record_send,
		.wake = record_wake,
		.ctx = instance,
		.now_ms = now_ms,
	};

	memset(instance, 0, sizeof(*instance));
	instance->lease_relay = relay_create(mem, &options);
}

static void closed(void *ctx, struct pool_run *run, enum pool_end how,
		   uint64_t when_ms)
{
	(void)ctx;
	(void)run;
	(void)how;
	(void)when_ms;
}

static bool found_run(void *ctx, struct pool_run *run)
{
	(void)ctx;
	(void)run;
	return false;
}

static bool found_end(void *ctx, const char *job,
		      const struct pool_listed_end *end, uint64_t read_ms,
		      uint64_t when_ms)
{
	(void)ctx;
	(void)job;
	(void)end;
	(void)read_ms;
	(void)when_ms;
	return false;
}

static void add_member(uint64_t incarnation, uint32_t weight)
{
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	char name[16];

	snprintf(name, sizeof(name), "m%d", (int)incarnation);
	hello.instance = name;
	hello.address = name;
	hello.data_centre = "a";
	hello.incarnation = incarnation;
	beat.weight = beat.share = weight;
	leader_link_up(members, &hello, now_ms);
	leader_receive_beat(members, incarnation, &beat, now_ms);
}

static void add_worker(const char *id)
{
	struct pool_registration registration = {
		.id = id,
		.address = "x",
		.service = "s",
		.data_centre = "a",
		.capacity = { 4000, 1024, 0 },
		.born_ms = 1,
	};

	pool_register_worker(pool, &registration, now_ms);
}

static void set_up_with(uint32_t direct_workers)
{
	struct leader_options leadership = { .incarnation = LEADER,
					     .weight = 500 };
	static struct pool_ports ports;
	struct pool_options options = {
		.ports = &ports,
		.lease_ms = 1000,
		.stop_ms = 50,
		.closed = closed,
		.found_run = found_run,
		.found_end = found_end,
	};

	now_ms = 100000;
	mem = talloc_new(NULL);
	members = leader_create(mem, &leadership);
	create(&leader, direct_workers);
	create(&relay, direct_workers);
	ports = relay_ports(leader.lease_relay);
	pool = pool_create(mem, &options);
	relay_set_pool(leader.lease_relay, pool);
	relay_set_pool(relay.lease_relay, pool);
}

static void set_up(void)
{
	set_up_with(1);
	add_member(2, 500);
	add_worker("w1");
	add_worker("w2");
	relay_tick(leader.lease_relay, now_ms);
}

static void tear_down(void)
{
	talloc_free(mem);
}

static void advance(uint64_t ms)
{
	for (uint64_t end_ms = now_ms + ms; now_ms < end_ms;) {
		Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;

		now_ms += 10;
		beat.weight = beat.share = 500;
		leader_receive_beat(members, 2, &beat, now_ms);
		relay_tick(leader.lease_relay, now_ms);
		pool_tick(pool, now_ms);
	}
}

static Bergamot__Peer *unpack_sent(const struct instance *from)
{
	return bergamot__peer__unpack(NULL, from->sent_len, from->sent);
}

/* Delivers the leader's batched orders to the relay. */
static void deliver_orders(void)
{
	Bergamot__Peer *msg;

	relay_flush(leader.lease_relay);
	msg = unpack_sent(&leader);
	ck_assert_int_eq(msg->body_case, BERGAMOT__PEER__BODY_WORKER_ORDERS);
	relay_receive_orders(relay.lease_relay, LEADER, msg->worker_orders,
			     now_ms);
	bergamot__peer__free_unpacked(msg, NULL);
}

/* Answers the last hold that the relay made, and delivers the answer. */
static void deliver_answer(enum pool_answer answer)
{
	struct pool_reply reply = { answer, 500, 1 };
	struct pool_lists none = { 0 };
	Bergamot__Peer *msg;

	ck_assert(relay_hold_answered(relay.lease_relay, relay.serial, &reply,
				      &none));
	relay_flush(relay.lease_relay);
	ck_assert_uint_eq(relay.sent_to, LEADER);
	msg = unpack_sent(&relay);
	relay_receive_answers(leader.lease_relay, 2, msg->worker_answers,
			      now_ms);
	bergamot__peer__free_unpacked(msg, NULL);
}

static const struct pool_worker *worker_of(const char *id)
{
	const struct pool_worker *worker;

	TAILQ_FOREACH(worker, pool_workers(pool), entry)
		if (!strcmp(worker->id, id))
			return worker;
	return NULL;
}

START_TEST(test_call_and_answer)
{
	pool_lead(pool, 5, now_ms);
	ck_assert(leader.woken);
	ck_assert_uint_eq(leader.calls, 0);
	deliver_orders();
	ck_assert_uint_eq(leader.sent_count, 1); /* with both calls */
	ck_assert_uint_eq(relay.calls, 2);
	deliver_answer(POOL_OK);
	ck_assert_int_eq(worker_of(relay.called)->state, POOL_HELD);
}
END_TEST

/* A relay tells the leader that it has not carried out a damaged order. */
START_TEST(test_damaged_order_is_refused)
{
	Bergamot__WorkerOrder order = BERGAMOT__WORKER_ORDER__INIT;
	Bergamot__WorkerOrder *rows = &order;
	Bergamot__WorkerOrders orders = BERGAMOT__WORKER_ORDERS__INIT;
	Bergamot__Peer *sent;

	order.call = BERGAMOT__WORKER_CALL__HOLD;
	order.number = 7;
	order.worker = "w1";
	order.address = "x";
	order.timeout_ms = UINT32_MAX;
	orders.orders = &rows;
	orders.n_orders = 1;
	relay_receive_orders(relay.lease_relay, LEADER, &orders, now_ms);
	relay_flush(relay.lease_relay);
	ck_assert_uint_eq(relay.calls, 0);
	ck_assert_uint_eq(relay.sent_to, LEADER);
	sent = bergamot__peer__unpack(NULL, relay.sent_len, relay.sent);
	ck_assert_int_eq(sent->body_case, BERGAMOT__PEER__BODY_WORKER_ANSWERS);
	ck_assert_uint_eq(sent->worker_answers->answers[0]->number, 7);
	ck_assert_uint_eq(sent->worker_answers->answers[0]->answer,
			  POOL_UNHEALTHY);
	bergamot__peer__free_unpacked(sent, NULL);
}
END_TEST

/*
 * No task has two runs: an order that a frozen relay has kept does not reach a
 * worker that has forgotten the stop of its run.
 */
START_TEST(test_order_that_a_frozen_relay_kept)
{
	Bergamot__WorkerOrder order = BERGAMOT__WORKER_ORDER__INIT;
	Bergamot__WorkerOrder *rows = &order;
	Bergamot__WorkerOrders orders = BERGAMOT__WORKER_ORDERS__INIT;
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;

	order.call = BERGAMOT__WORKER_CALL__HOLD;
	order.worker = "w1";
	order.address = "x";
	order.timeout_ms = 75;
	orders.orders = &rows;
	orders.n_orders = 1;
	beat.clock_ms = 900000;
	leader_receive_beat(members, 2, &beat, now_ms);
	orders.clock_ms = 900100;
	relay_receive_orders(relay.lease_relay, 2, &orders, now_ms + 120);
	ck_assert_uint_eq(relay.calls, 1);
	/* After the freeze, a beat that was sent before it is read first. */
	beat.clock_ms = 900110;
	leader_receive_beat(members, 2, &beat, now_ms + 1000);
	relay_receive_orders(relay.lease_relay, 2, &orders, now_ms + 1000);
	ck_assert_uint_eq(relay.calls, 1);
}
END_TEST

START_TEST(test_own_answers_are_not_consumed)
{
	struct pool_reply reply = { POOL_OK, 500, 1 };

	ck_assert(!relay_start_answered(relay.lease_relay, 7, &reply));
	ck_assert(!relay_stop_answered(relay.lease_relay, 7, &reply));
	ck_assert(!relay_hold_answered(relay.lease_relay, 7, &reply, NULL));
}
END_TEST

START_TEST(test_few_workers_are_called_directly)
{
	tear_down();
	set_up_with(2);
	add_member(2, 500);
	add_worker("w1");
	add_worker("w2");
	relay_tick(leader.lease_relay, now_ms);
	pool_lead(pool, 5, now_ms);
	ck_assert_uint_eq(leader.calls, 2);
}
END_TEST

/* Members with a far smaller processor share are not used as relays. */
START_TEST(test_small_shares_are_spared)
{
	tear_down();
	set_up_with(1);
	add_member(2, 500);
	for (uint64_t i = 3; i < 20; i++)
		add_member(i, 90);
	add_worker("w1");
	add_worker("w2");
	relay_tick(leader.lease_relay, now_ms);
	pool_lead(pool, 5, now_ms);
	relay_flush(leader.lease_relay);
	ck_assert_uint_eq(leader.sent_count, 1);
	ck_assert_uint_eq(leader.sent_to, 2);
}
END_TEST

/* Once its relay is lost, the leader calls the worker at once itself. */
START_TEST(test_lost_relay)
{
	pool_lead(pool, 5, now_ms);
	deliver_orders();
	leader_link_down(members, 2, now_ms);
	relay_member_lost(leader.lease_relay, 2, now_ms);
	ck_assert_uint_eq(worker_of("w1")->failures, 1);
	pool_tick(pool, now_ms);
	ck_assert_uint_eq(leader.calls, 2);
}
END_TEST

/* An answer that arrives after the call has timed out changes nothing. */
START_TEST(test_overdue)
{
	const struct pool_worker *worker;

	pool_lead(pool, 5, now_ms);
	deliver_orders();
	worker = worker_of(relay.called);
	advance(220);
	ck_assert_uint_eq(worker->failures, 0);
	advance(30);
	ck_assert_uint_eq(worker->failures, 1);
	deliver_answer(POOL_OK);
	ck_assert_int_eq(worker->state, POOL_UNHELD);
}
END_TEST

/* A relay that does not answer for a worker is replaced by another one. */
START_TEST(test_turns_to_another_relay)
{
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	uint64_t first;

	beat.weight = beat.share = 500;
	add_member(3, 500);
	advance(110);
	pool_lead(pool, 5, now_ms);
	relay_flush(leader.lease_relay);
	first = leader.w1_relay;
	for (int i = 0; i < 3; i++) {
		leader_receive_beat(members, 3, &beat, now_ms);
		advance(700);
		relay_flush(leader.lease_relay);
	}
	ck_assert_uint_ne(leader.w1_relay, first);
}
END_TEST

/* Answers the prompt calls to relay 2, and to 3 unless it is silent. */
static void answer_calls(bool silent)
{
	for (size_t i = 0; i < leader.prompt_count; i++) {
		Bergamot__WorkerAnswers msg = BERGAMOT__WORKER_ANSWERS__INIT;
		Bergamot__WorkerAnswer answer = BERGAMOT__WORKER_ANSWER__INIT;
		Bergamot__WorkerAnswer *row = &answer;

		if (silent && leader.prompt[i].to == 3)
			continue;
		answer.call = (Bergamot__WorkerCall)leader.prompt[i].call;
		answer.number = leader.prompt[i].number;
		answer.answer = POOL_OK;
		answer.clock_ms = 500;
		answer.born_ms = 1;
		msg.answers = &row;
		msg.n_answers = 1;
		relay_receive_answers(leader.lease_relay, leader.prompt[i].to,
				      &msg, now_ms);
	}
	leader.prompt_count = 0;
}

static void start_everywhere(void)
{
	struct pool_run run = { .number = 1, .estimate_ms = 1000 };
	struct pool_worker *worker;

	TAILQ_FOREACH(worker, pool_workers(pool), entry) {
		snprintf(run.name, sizeof(run.name), "%s.0.0.0", worker->id);
		pool_start(pool, worker, &run, "t", now_ms);
	}
}

static uint64_t count_usable(void)
{
	const struct pool_worker *worker;
	uint64_t count = 0;

	TAILQ_FOREACH(worker, pool_workers(pool), entry)
		count += pool_is_usable(worker, now_ms);
	return count;
}

/*
 * A data centre is cut off without closing its links. Long before beats lose
 * their validity, its workers are called through another relay, and no tasks
 * start on them until they have answered there.
 */
START_TEST(test_silent_relay)
{
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	uint32_t orders = 0;
	char id[16];

	beat.weight = beat.share = 500;
	add_member(3, 500);
	for (int i = 3; i <= 24; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		add_worker(id);
	}
	advance(110);
	leader_receive_beat(members, 3, &beat, now_ms);
	pool_lead(pool, 5, now_ms);
	for (int round = 0; round < 14; round++) {
		if (round == 2)
			start_everywhere();
		relay_flush(leader.lease_relay);
		if (round == 7)
			orders = leader.orders_to_3;
		answer_calls(round >= 2);
		leader_receive_beat(members, 3, &beat, now_ms);
		advance(10);
	}
	ck_assert_uint_gt(orders, 3);
	ck_assert_uint_eq(leader.orders_to_3, orders);
	ck_assert_uint_eq(count_usable(), 24);
}
END_TEST

/*
 * Routes to removed workers are freed, so that memory does not grow without
 * limit.
 */
START_TEST(test_routes_of_removed_workers)
{
	size_t before;
	char id[16];

	for (int i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "gone-%d", i);
		add_worker(id);
	}
	relay_tick(leader.lease_relay, now_ms);
	pool_lead(pool, 5, now_ms);
	relay_flush(leader.lease_relay);
	before = talloc_total_size(leader.lease_relay);
	for (int i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "gone-%d", i);
		pool_unregister_worker(pool, id, now_ms);
	}
	for (int i = 0; i < 20 * 10; i++) {
		now_ms += 500;
		relay_tick(leader.lease_relay, now_ms);
		relay_flush(leader.lease_relay);
	}
	ck_assert_uint_lt(talloc_total_size(leader.lease_relay), before / 2);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_relay", set_up, tear_down, test_call_and_answer,
			test_damaged_order_is_refused,
			test_order_that_a_frozen_relay_kept,
			test_own_answers_are_not_consumed,
			test_few_workers_are_called_directly,
			test_small_shares_are_spared, test_lost_relay,
			test_overdue, test_turns_to_another_relay,
			test_silent_relay, test_routes_of_removed_workers);
}
