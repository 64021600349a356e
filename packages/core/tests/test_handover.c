/*
 * Planned stops: every id of the stopped owner gets the same answer at its
 * successor, and what has no record is truthfully not run.
 */

#include "base/tests/run_suite.h"
#include "core/tests/fake_nodes.h"

#define GRACE_MS 1000 /* stop.grace_ms by default */

static struct fake_nodes *f;
static enum outcome_reason reason;

static void setup(void)
{
	f = fakes_create_joined();
}

static void teardown(void)
{
	fakes_finish(f);
	fakes_free(f);
}

static int kind_of(int request)
{
	return fakes_answer(f, request, &reason, NULL);
}

static int owner(void)
{
	return node_is_dispatcher(fakes_node(f, 0)) ? 0 : 1;
}

static int run_job(int node)
{
	int job = fakes_issue(f, node);

	fakes_submit(f, node, job, 1);
	fakes_finish_starts(f);
	return job;
}

/* The hand-over begins after it, and takes a few messages. */
static void pass_grace(void)
{
	fakes_pass(f, GRACE_MS);
	for (int i = 0; i < 4; i++) {
		fakes_settle(f);
		fakes_pass(f, 20);
	}
}

static void let_stop(int node)
{
	fakes_stop(f, node);
	pass_grace();
	ck_assert(!fakes_is_up(f, node));
}

static int repeat(int node, int job)
{
	int r = fakes_submit(f, node, job, 1);

	fakes_settle(f);
	return kind_of(r);
}

START_TEST(test_successor_answers)
{
	int from = owner();
	int ran = run_job(from);
	int unused = fakes_issue(f, from);

	let_stop(from);
	ck_assert_int_eq(repeat(1 - from, ran), OUTCOME_COMPLETE);
	ck_assert_int_eq(repeat(2, ran), OUTCOME_COMPLETE);
	ck_assert_int_eq(repeat(2, unused), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_CLOSED_REASON);
}
END_TEST

/* A new instance learns who answers; the successor hands on. */
START_TEST(test_hands_on)
{
	int from = owner();
	int ran = run_job(from);
	int unused = fakes_issue(f, from);

	let_stop(from);
	fakes_join(f, from);
	fakes_settle(f);
	ck_assert_int_eq(repeat(from, ran), OUTCOME_COMPLETE);
	let_stop(1 - from);
	ck_assert_int_eq(repeat(from, ran), OUTCOME_COMPLETE);
	ck_assert_int_eq(repeat(2, unused), OUTCOME_NOT_RUN);
}
END_TEST

/*
 * What runs is finished and answered; what comes meanwhile runs for the time
 * of grace, and is not run after it.
 */
START_TEST(test_in_flight_is_finished)
{
	int from = owner();
	int job = fakes_issue(f, from);
	int early = fakes_issue(f, from);
	int late = fakes_issue(f, from);
	int waiting = fakes_submit(f, 2, job, 1);
	int admitted, refused;

	fakes_settle(f);
	fakes_stop(f, from);
	fakes_pass(f, GRACE_MS - 100);
	admitted = fakes_submit(f, 2, early, 1);
	fakes_settle(f);
	fakes_pass(f, 100);
	refused = fakes_submit(f, 2, late, 1);
	fakes_settle(f);
	fakes_pass(f, 20);
	ck_assert(fakes_is_up(f, from));
	ck_assert_int_eq(kind_of(refused), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_STOPPING_REASON);
	fakes_finish_starts(f);
	let_stop(from);
	ck_assert_int_eq(kind_of(waiting), OUTCOME_COMPLETE);
	ck_assert_int_eq(kind_of(admitted), OUTCOME_COMPLETE);
	ck_assert_int_eq(repeat(1 - from, job), OUTCOME_COMPLETE);
	ck_assert_int_eq(repeat(2, late), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_STOPPING_REASON);
}
END_TEST

/* An entry stays until what it forwarded is answered. */
START_TEST(test_entry_waits)
{
	int from = owner();
	int job = fakes_issue(f, from);
	int waiting = fakes_submit(f, 1 - from, job, 1);

	fakes_settle(f);
	fakes_stop(f, 1 - from);
	pass_grace();
	ck_assert(fakes_is_up(f, 1 - from));
	fakes_finish_starts(f);
	ck_assert_int_eq(kind_of(waiting), OUTCOME_COMPLETE);
	let_stop(1 - from);
}
END_TEST

START_TEST(test_successor_killed)
{
	int from = owner();
	int ran = run_job(from);

	fakes_stop(f, from);
	fakes_settle(f);
	fakes_pass(f, 1); /* the first part is on its way */
	fakes_kill(f, 1 - from);
	let_stop(from);
	ck_assert_int_eq(repeat(2, ran), OUTCOME_COMPLETE);
}
END_TEST

/* A successor that is silent is given up for another. */
START_TEST(test_successor_silent)
{
	int from = owner();

	run_job(from);
	fakes_stop(f, from);
	fakes_pass(f, 4000); /* nothing is delivered */
	ck_assert(fakes_is_up(f, from));
	fakes_pass(f, 2000);
	let_stop(from);
}
END_TEST

START_TEST(test_both_stop)
{
	int from = owner();
	int ran = run_job(from);

	fakes_stop(f, from);
	fakes_stop(f, 1 - from);
	let_stop(from);
	let_stop(1 - from);
	ck_assert_int_eq(repeat(2, ran), OUTCOME_COMPLETE);
}
END_TEST

START_TEST(test_nobody_left)
{
	int from = owner();

	run_job(from);
	fakes_kill(f, 1 - from);
	fakes_kill(f, 2);
	let_stop(from);
}
END_TEST

/* An id that expired before the hand-over may have run: never "not run". */
START_TEST(test_expired_is_unknown)
{
	int from = owner();
	int ran = run_job(from);

	for (int i = 0; i < FAKES_TTL_MS / 1000 + 1; i++) {
		fakes_pass(f, 1000);
		fakes_settle(f);
	}
	let_stop(from);
	ck_assert_int_eq(repeat(1 - from, ran), OUTCOME_UNKNOWN);
	ck_assert_int_eq(reason, OUTCOME_ID_EXPIRED_REASON);
}
END_TEST

START_TEST(test_keys)
{
	int a = fakes_submit_keyed(f, 0, 0);
	int b = fakes_submit_keyed(f, 1, 0);
	int c = fakes_submit_keyed(f, 2, 0);

	fakes_answer_claim(f, PORT_PLATFORM_LOST, true);
	fakes_answer_claim(f, PORT_PLATFORM_OK, true);
	fakes_answer_claim(f, PORT_PLATFORM_OUT, false);
	fakes_settle(f);
	ck_assert_uint_eq(fakes_starts(f), 1);
	fakes_resolve(f, 0, FAKES_DONE);
	fakes_settle(f);
	ck_assert_int_eq(kind_of(a), OUTCOME_UNKNOWN);
	ck_assert_int_eq(kind_of(b), OUTCOME_COMPLETE);
	ck_assert_int_eq(kind_of(c), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_PLATFORM_OUT_REASON);
}
END_TEST

/* Told after a long pause that the key is its own, an entry keeps still. */
START_TEST(test_key_granted_late)
{
	int r = fakes_submit_keyed(f, 0, 0);

	node_key_claimed(fakes_node(f, 0), 1, PORT_PLATFORM_OK, NULL,
			 10 * FAKES_DEADLINE_MS);
	fakes_settle(f);
	ck_assert_uint_eq(fakes_starts(f), 0);
	ck_assert_int_eq(kind_of(r), OUTCOME_UNKNOWN);
}
END_TEST

/* Two ends of one hand-over, joined without a queue. */
struct end {
	struct ports ports;
	struct record_table *records;
	struct handover *handover;
	struct end *other;
	uint64_t incarnation;
	uint32_t parts; /* sent; none is delivered past lose_from */
	uint32_t lose_from;
};

static void end_send(void *ctx, uint64_t to, const Bergamot__Peer *msg)
{
	struct end *e = ctx;

	ck_assert(to == e->other->incarnation);
	if (msg->body_case == BERGAMOT__PEER__BODY_HAND_OVER_ACK)
		handover_acked(e->other->handover, e->incarnation,
			       msg->hand_over_ack, 0);
	else if (++e->parts < e->lose_from)
		handover_receive(e->other->handover, e->incarnation,
				 msg->hand_over, 0);
}

static uint64_t end_identity(void *ctx)
{
	(void)ctx;
	return 5;
}

static size_t end_candidates(void *ctx, uint64_t *out, size_t max)
{
	struct end *e = ctx;

	(void)max;
	out[0] = e->other->incarnation;
	return 1;
}

static void make_end(struct end *e, struct end *other, uint64_t incarnation)
{
	struct record_options records = { .memory_bytes = 100000,
					  .answer_ms = 100 };
	struct handover_options options = {
		.ports = &e->ports,
		.incarnation = incarnation,
		.ttl_ms = 1000,
		.part_records = 2,
		.candidates = end_candidates,
		.ctx = e,
	};

	e->ports.ctx = e;
	e->ports.send = end_send;
	e->ports.identity = end_identity;
	e->other = other;
	e->incarnation = incarnation;
	e->lose_from = UINT32_MAX;
	e->records = options.records = record_table_create(NULL, &records);
	e->handover = handover_create(e->records, &options);
}

/* Nothing is closed before every part has come. */
START_TEST(test_parts)
{
	struct outcome failed = { .kind = OUTCOME_FAILED, .started = 1 };
	struct end from = { 0 }, to = { 0 };
	struct job_id id = { .incarnation = 1 };

	make_end(&from, &to, 1);
	make_end(&to, &from, 2);
	for (id.serial = 1; id.serial <= 5; id.serial++)
		record_finish(from.records,
			      record_add(from.records, &id, 7, 900), &failed,
			      0);
	from.lose_from = 3;
	handover_begin(from.handover, 0);
	ck_assert(!handover_is_done(from.handover));
	ck_assert_uint_eq(record_count(to.records), 4);
	ck_assert_int_eq(handover_judge(to.handover, &id, 0),
			 HANDOVER_NOT_ADOPTED);
	from.lose_from = UINT32_MAX;
	handover_tick(from.handover, 60000);
	ck_assert(handover_is_done(from.handover));
	ck_assert_uint_eq(from.parts, 6);
	ck_assert_uint_eq(record_count(to.records), 5);
	ck_assert(handover_successor(from.handover) == 2);
	ck_assert(handover_route(to.handover, 1) == 2);
	talloc_free(from.records);
	talloc_free(to.records);
}
END_TEST

int main(void)
{
	return RUN_CASE("handover", setup, teardown, test_successor_answers,
			test_hands_on, test_in_flight_is_finished,
			test_entry_waits, test_successor_killed,
			test_successor_silent, test_both_stop, test_nobody_left,
			test_expired_is_unknown, test_keys,
			test_key_granted_late, test_parts);
}
