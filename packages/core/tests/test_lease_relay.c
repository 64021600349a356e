/*
 * Calls by relays: an answer comes back as if the leader had called, and a
 * relay that is lost or silent counts as a worker that does not answer, so
 * that no run is taken for ended.
 */
#include <stdio.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/lease_relay.h"

#define LEADER 1
#define MAX_CALLS 64

/* One instance; what it sends is delivered by hand. */
struct instance {
	struct rly *rly;
	uint64_t sent_to;
	uint64_t w1_by; /* who was last told to call this worker */
	uint8_t sent[4096];
	size_t sent_len;
	uint32_t sent_count;
	char called[32];
	uint64_t serial;
	uint32_t calls;
	bool awake;
};

static TALLOC_CTX *mem;
static struct ldm *members;
static struct lpl *pool;
static struct instance leader;
static struct instance relay;
static uint64_t now_ms;

static void record_send(void *ctx, uint64_t to, const Bergamot__Peer *msg)
{
	struct instance *instance = ctx;

	instance->sent_to = to;
	if (msg->body_case == BERGAMOT__PEER__BODY_WORKER_ORDERS)
		for (size_t i = 0; i < msg->worker_orders->n_orders; i++)
			if (!strcmp(msg->worker_orders->orders[i]->worker,
				    "w1"))
				instance->w1_by = to;
	instance->sent_len = bergamot__peer__get_packed_size(msg);
	ck_assert_uint_le(instance->sent_len, sizeof(instance->sent));
	bergamot__peer__pack(msg, instance->sent);
	instance->sent_count++;
}

static void record_wake(void *ctx)
{
	((struct instance *)ctx)->awake = true;
}

static void record_hold(void *ctx, const struct lpl_hold_call *call)
{
	struct instance *instance = ctx;

	snprintf(instance->called, sizeof(instance->called), "%s",
		 call->worker);
	instance->serial = call->serial;
	instance->calls++;
}

static void ignore_start(void *ctx, const struct lpl_start_call *call)
{
	(void)ctx;
	(void)call;
}

static void ignore_stop(void *ctx, const struct lpl_stop_call *call)
{
	(void)ctx;
	(void)call;
}

static void create(struct instance *instance, uint32_t direct_workers)
{
	struct rly_options options = {
		.local = { instance, record_hold, ignore_start, ignore_stop },
		.members = members,
		.direct_workers = direct_workers,
		.send = record_send,
		.wake = record_wake,
		.ctx = instance,
		.now_ms = now_ms,
	};

	memset(instance, 0, sizeof(*instance));
	instance->rly = rly_create(mem, &options);
}

static void closed(void *ctx, struct lpl_run *run, enum lpl_end how,
		   uint64_t when_ms)
{
	(void)ctx;
	(void)run;
	(void)how;
	(void)when_ms;
}

static bool found_run(void *ctx, struct lpl_run *run)
{
	(void)ctx;
	(void)run;
	return false;
}

static bool found_done(void *ctx, const char *job, const char *task,
		       uint64_t when_ms)
{
	(void)ctx;
	(void)job;
	(void)task;
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
	ldm_link_up(members, &hello, now_ms);
	ldm_take_beat(members, incarnation, &beat, now_ms);
}

static void add_worker(const char *id)
{
	struct lpl_entry entry = {
		.id = id,
		.address = "x",
		.service = "s",
		.data_centre = "a",
		.capacity = { 4000, 1024, 0 },
		.born_ms = 1,
	};

	lpl_take_entry(pool, &entry, now_ms);
}

static void set_up_with(uint32_t direct_workers)
{
	struct ldm_options ldm = { .incarnation = LEADER, .weight = 500 };
	static struct lpl_ports ports;
	struct lpl_options options = {
		.ports = &ports,
		.lease_ms = 1000,
		.stop_ms = 50,
		.closed = closed,
		.found_run = found_run,
		.found_done = found_done,
	};

	now_ms = 100000;
	mem = talloc_new(NULL);
	members = ldm_create(mem, &ldm);
	create(&leader, direct_workers);
	create(&relay, direct_workers);
	ports = rly_ports(leader.rly);
	pool = lpl_create(mem, &options);
	rly_set_pool(leader.rly, pool);
	rly_set_pool(relay.rly, pool);
}

static void set_up(void)
{
	set_up_with(1);
	add_member(2, 500);
	add_worker("w1");
	add_worker("w2");
	rly_tick(leader.rly, now_ms);
}

static void tear_down(void)
{
	talloc_free(mem);
}

static void pass(uint64_t ms)
{
	for (uint64_t end_ms = now_ms + ms; now_ms < end_ms;) {
		Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;

		now_ms += 10;
		beat.weight = beat.share = 500;
		ldm_take_beat(members, 2, &beat, now_ms);
		rly_tick(leader.rly, now_ms);
		lpl_tick(pool, now_ms);
	}
}

static Bergamot__Peer *received(const struct instance *from)
{
	return bergamot__peer__unpack(NULL, from->sent_len, from->sent);
}

/* The leader's gathered calls reach the relay. */
static void deliver_orders(void)
{
	Bergamot__Peer *msg;

	rly_flush(leader.rly);
	msg = received(&leader);
	ck_assert_int_eq(msg->body_case, BERGAMOT__PEER__BODY_WORKER_ORDERS);
	rly_take_orders(relay.rly, LEADER, msg->worker_orders);
	bergamot__peer__free_unpacked(msg, NULL);
}

/* The last hold that the relay made is answered, and the leader told. */
static void deliver_answer(enum lpl_answer answer)
{
	struct lpl_reply reply = { answer, 500, 1 };
	struct lpl_lists none = { 0 };
	Bergamot__Peer *msg;

	ck_assert(rly_hold_answered(relay.rly, relay.serial, &reply, &none));
	rly_flush(relay.rly);
	ck_assert_uint_eq(relay.sent_to, LEADER);
	msg = received(&relay);
	rly_take_answers(leader.rly, msg->worker_answers, now_ms);
	bergamot__peer__free_unpacked(msg, NULL);
}

static const struct lpl_worker *worker_of(const char *id)
{
	const struct lpl_worker *worker;

	TAILQ_FOREACH(worker, lpl_workers(pool), entry)
		if (!strcmp(worker->id, id))
			return worker;
	return NULL;
}

START_TEST(test_call_and_answer)
{
	lpl_lead(pool, 5, now_ms);
	ck_assert(leader.awake);
	ck_assert_uint_eq(leader.calls, 0);
	deliver_orders();
	ck_assert_uint_eq(leader.sent_count, 1); /* both calls in one */
	ck_assert_uint_eq(relay.calls, 2);
	deliver_answer(LPL_OK);
	ck_assert_int_eq(worker_of(relay.called)->state, LPL_HELD);
}
END_TEST

START_TEST(test_own_answers_are_not_taken)
{
	struct lpl_reply reply = { LPL_OK, 500, 1 };

	ck_assert(!rly_start_answered(relay.rly, 7, &reply));
	ck_assert(!rly_stop_answered(relay.rly, 7, &reply));
	ck_assert(!rly_hold_answered(relay.rly, 7, &reply, NULL));
}
END_TEST

START_TEST(test_few_workers_are_called_directly)
{
	tear_down();
	set_up_with(2);
	add_member(2, 500);
	add_worker("w1");
	add_worker("w2");
	rly_tick(leader.rly, now_ms);
	lpl_lead(pool, 5, now_ms);
	ck_assert_uint_eq(leader.calls, 2);
}
END_TEST

/* A machine with a far smaller share makes no calls for others. */
START_TEST(test_small_shares_are_spared)
{
	tear_down();
	set_up_with(1);
	add_member(2, 500);
	for (uint64_t i = 3; i < 20; i++)
		add_member(i, 90);
	add_worker("w1");
	add_worker("w2");
	rly_tick(leader.rly, now_ms);
	lpl_lead(pool, 5, now_ms);
	rly_flush(leader.rly);
	ck_assert_uint_eq(leader.sent_count, 1);
	ck_assert_uint_eq(leader.sent_to, 2);
}
END_TEST

/* Without its relay the worker is called at once by another way. */
START_TEST(test_lost_relay)
{
	lpl_lead(pool, 5, now_ms);
	deliver_orders();
	ldm_link_down(members, 2, now_ms);
	rly_member_lost(leader.rly, 2, now_ms);
	ck_assert_uint_eq(worker_of("w1")->failures, 1);
	lpl_tick(pool, now_ms);
	ck_assert_uint_eq(leader.calls, 2);
}
END_TEST

/* An answer that comes after the call counted as lost changes nothing. */
START_TEST(test_overdue)
{
	const struct lpl_worker *worker;

	lpl_lead(pool, 5, now_ms);
	deliver_orders();
	worker = worker_of(relay.called);
	pass(220);
	ck_assert_uint_eq(worker->failures, 0);
	pass(30);
	ck_assert_uint_eq(worker->failures, 1);
	deliver_answer(LPL_OK);
	ck_assert_int_eq(worker->state, LPL_UNHELD);
}
END_TEST

/* A relay that cannot reach a worker which others reach. */
START_TEST(test_turns_to_another_relay)
{
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	uint64_t first;

	beat.weight = beat.share = 500;
	add_member(3, 500);
	pass(110);
	lpl_lead(pool, 5, now_ms);
	rly_flush(leader.rly);
	first = leader.w1_by;
	for (int i = 0; i < 3; i++) {
		ldm_take_beat(members, 3, &beat, now_ms);
		pass(700);
		rly_flush(leader.rly);
	}
	ck_assert_uint_ne(leader.w1_by, first);
}
END_TEST

/* Workers come and go for ever; what is kept of them does not add up. */
START_TEST(test_routes_of_workers_that_are_gone)
{
	size_t before;
	char id[16];

	for (int i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "gone-%d", i);
		add_worker(id);
	}
	rly_tick(leader.rly, now_ms);
	lpl_lead(pool, 5, now_ms);
	rly_flush(leader.rly);
	before = talloc_total_size(leader.rly);
	for (int i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "gone-%d", i);
		lpl_entry_gone(pool, id, now_ms);
	}
	for (int i = 0; i < 20 * 10; i++) {
		now_ms += 500;
		rly_tick(leader.rly, now_ms);
		rly_flush(leader.rly);
	}
	ck_assert_uint_lt(talloc_total_size(leader.rly), before / 2);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_relay", set_up, tear_down, test_call_and_answer,
			test_own_answers_are_not_taken,
			test_few_workers_are_called_directly,
			test_small_shares_are_spared, test_lost_relay,
			test_overdue, test_turns_to_another_relay,
			test_routes_of_workers_that_are_gone);
}
