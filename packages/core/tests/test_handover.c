/*
 * Planned stops: the successor gives the same answer as the stopped owner for
 * each job id, and answers "not run" for an id without a record only if its job
 * really never ran.
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

static int outcome_kind(int request)
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

/* Lets the grace period pass, and the hand-over after it, in a few messages. */
static void pass_grace_period(void)
{
	fakes_advance(f, GRACE_MS);
	for (int i = 0; i < 4; i++) {
		fakes_deliver_all(f);
		fakes_advance(f, 20);
	}
}

static void stop_and_wait(int node)
{
	fakes_stop(f, node);
	pass_grace_period();
	ck_assert(!fakes_is_up(f, node));
}

static int resubmit(int node, int job)
{
	int r = fakes_submit(f, node, job, 1);

	fakes_deliver_all(f);
	return outcome_kind(r);
}

START_TEST(test_successor_answers)
{
	int from = owner();
	int ran = run_job(from);
	int unused = fakes_issue(f, from);

	stop_and_wait(from);
	ck_assert_int_eq(resubmit(1 - from, ran), OUTCOME_COMPLETE);
	ck_assert_int_eq(resubmit(2, ran), OUTCOME_COMPLETE);
	ck_assert_int_eq(resubmit(2, unused), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_CLOSED_REASON);
}
END_TEST

/*
 * A restarted instance learns the successor; the successor, when it stops,
 * hands the adopted records over again.
 */
START_TEST(test_successor_hands_over)
{
	int from = owner();
	int ran = run_job(from);
	int unused = fakes_issue(f, from);

	stop_and_wait(from);
	fakes_join(f, from);
	fakes_deliver_all(f);
	ck_assert_int_eq(resubmit(from, ran), OUTCOME_COMPLETE);
	stop_and_wait(1 - from);
	ck_assert_int_eq(resubmit(from, ran), OUTCOME_COMPLETE);
	ck_assert_int_eq(resubmit(2, unused), OUTCOME_NOT_RUN);
}
END_TEST

/*
 * Running jobs are finished and answered. Jobs submitted within the grace
 * period run, later ones are answered "not run".
 */
START_TEST(test_in_flight_is_finished)
{
	int from = owner();
	int job = fakes_issue(f, from);
	int early = fakes_issue(f, from);
	int late = fakes_issue(f, from);
	int waiting = fakes_submit(f, 2, job, 1);
	int admitted, refused;

	fakes_deliver_all(f);
	fakes_stop(f, from);
	fakes_advance(f, GRACE_MS - 100);
	admitted = fakes_submit(f, 2, early, 1);
	fakes_deliver_all(f);
	fakes_advance(f, 100);
	refused = fakes_submit(f, 2, late, 1);
	fakes_deliver_all(f);
	fakes_advance(f, 20);
	ck_assert(fakes_is_up(f, from));
	ck_assert_int_eq(outcome_kind(refused), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_STOPPING_REASON);
	fakes_finish_starts(f);
	stop_and_wait(from);
	ck_assert_int_eq(outcome_kind(waiting), OUTCOME_COMPLETE);
	ck_assert_int_eq(outcome_kind(admitted), OUTCOME_COMPLETE);
	ck_assert_int_eq(resubmit(1 - from, job), OUTCOME_COMPLETE);
	ck_assert_int_eq(resubmit(2, late), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_STOPPING_REASON);
}
END_TEST

/*
 * An entry, the instance that forwarded a job for its caller, does not stop
 * before the job is answered.
 */
START_TEST(test_entry_waits_for_answers)
{
	int from = owner();
	int job = fakes_issue(f, from);
	int waiting = fakes_submit(f, 1 - from, job, 1);

	fakes_deliver_all(f);
	fakes_stop(f, 1 - from);
	pass_grace_period();
	ck_assert(fakes_is_up(f, 1 - from));
	fakes_finish_starts(f);
	ck_assert_int_eq(outcome_kind(waiting), OUTCOME_COMPLETE);
	stop_and_wait(1 - from);
}
END_TEST

START_TEST(test_successor_killed)
{
	int from = owner();
	int ran = run_job(from);

	fakes_stop(f, from);
	fakes_deliver_all(f);
	fakes_advance(f, 1); /* the first part was sent */
	fakes_kill(f, 1 - from);
	stop_and_wait(from);
	ck_assert_int_eq(resubmit(2, ran), OUTCOME_COMPLETE);
}
END_TEST

/* A successor that does not acknowledge is replaced by another candidate. */
START_TEST(test_successor_ack_timeout)
{
	int from = owner();

	run_job(from);
	fakes_stop(f, from);
	fakes_advance(f, 4000); /* nothing is delivered */
	ck_assert(fakes_is_up(f, from));
	fakes_advance(f, 2000);
	stop_and_wait(from);
}
END_TEST

START_TEST(test_both_stop)
{
	int from = owner();
	int ran = run_job(from);

	fakes_stop(f, from);
	fakes_stop(f, 1 - from);
	stop_and_wait(from);
	stop_and_wait(1 - from);
	ck_assert_int_eq(resubmit(2, ran), OUTCOME_COMPLETE);
}
END_TEST

START_TEST(test_nobody_left)
{
	int from = owner();

	run_job(from);
	fakes_kill(f, 1 - from);
	fakes_kill(f, 2);
	stop_and_wait(from);
}
END_TEST

/*
 * The job of an id that expired before the hand-over may have run, so the
 * answer is never "not run".
 */
START_TEST(test_expired_is_unknown)
{
	int from = owner();
	int ran = run_job(from);

	for (int i = 0; i < FAKES_TTL_MS / 1000 + 1; i++) {
		fakes_advance(f, 1000);
		fakes_deliver_all(f);
	}
	stop_and_wait(from);
	ck_assert_int_eq(resubmit(1 - from, ran), OUTCOME_UNKNOWN);
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
	fakes_answer_claim(f, PORT_PLATFORM_UNAVAILABLE, false);
	fakes_deliver_all(f);
	ck_assert_uint_eq(fakes_count_starts(f), 1);
	fakes_resolve(f, 0, FAKES_DONE);
	fakes_deliver_all(f);
	ck_assert_int_eq(outcome_kind(a), OUTCOME_UNKNOWN);
	ck_assert_int_eq(outcome_kind(b), OUTCOME_COMPLETE);
	ck_assert_int_eq(outcome_kind(c), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_PLATFORM_OUT_REASON);
}
END_TEST

/*
 * The key's job came from another instance and was under way for 0.5 s, so that
 * its deadline is later than that of a request that joins it here.
 */
START_TEST(test_joined_key_is_answered_by_its_deadline)
{
	static const int nodes[] = { 1, 0 };
	int r;

	fakes_submit_keyed(f, nodes[0], 2);
	fakes_answer_claim(f, PORT_PLATFORM_OK, false);
	r = fakes_submit_keyed(f, nodes[1], 2);
	fakes_advance(f, 500);
	fakes_deliver_all(f);
	fakes_answer_claim(f, PORT_PLATFORM_OK, false);
	fakes_finish(f);
	ck_assert_int_eq(outcome_kind(r), OUTCOME_UNKNOWN);
}
END_TEST

/*
 * An entry whose key claim is granted after the job's deadline, as after a long
 * pause, must not start the job.
 */
START_TEST(test_key_granted_late)
{
	int r = fakes_submit_keyed(f, 0, 0);

	node_key_claimed(fakes_node(f, 0), 1, PORT_PLATFORM_OK, NULL,
			 10 * FAKES_DEADLINE_MS);
	fakes_deliver_all(f);
	ck_assert_uint_eq(fakes_count_starts(f), 0);
	ck_assert_int_eq(outcome_kind(r), OUTCOME_UNKNOWN);
}
END_TEST

/* Two endpoints of a hand-over; messages are delivered at once. */
struct endpoint {
	struct ports ports;
	struct record_table *records;
	struct handover *handover;
	struct endpoint *other;
	uint64_t incarnation;
	uint32_t parts; /* sent */
	uint32_t first_lost_part; /* this part and later ones are lost */
};

static void endpoint_send(void *ctx, uint64_t to, const Bergamot__Peer *msg)
{
	struct endpoint *e = ctx;

	ck_assert(to == e->other->incarnation);
	if (msg->body_case == BERGAMOT__PEER__BODY_HAND_OVER_ACK)
		handover_receive_ack(e->other->handover, e->incarnation,
				     msg->hand_over_ack, 0);
	else if (++e->parts < e->first_lost_part)
		handover_receive(e->other->handover, e->incarnation,
				 msg->hand_over, 0);
}

static uint64_t endpoint_identity(void *ctx)
{
	(void)ctx;
	return 5;
}

static size_t endpoint_candidates(void *ctx, uint64_t *out, size_t max)
{
	struct endpoint *e = ctx;

	(void)max;
	out[0] = e->other->incarnation;
	return 1;
}

static void make_endpoint(struct endpoint *e, struct endpoint *other,
			  uint64_t incarnation)
{
	struct record_options records = { .memory_bytes = 100000,
					  .answer_ms = 100 };
	struct handover_options options = {
		.ports = &e->ports,
		.incarnation = incarnation,
		.ttl_ms = 1000,
		.part_records = 2,
		.candidates = endpoint_candidates,
		.ctx = e,
	};

	e->ports.ctx = e;
	e->ports.send = endpoint_send;
	e->ports.random_id = endpoint_identity;
	e->other = other;
	e->incarnation = incarnation;
	e->first_lost_part = UINT32_MAX;
	e->records = options.records = record_table_create(NULL, &records);
	e->handover = handover_create(e->records, &options);
}

/* No id counts as closed before the last part has arrived. */
START_TEST(test_parts_lost_and_resent)
{
	struct outcome failed = { .kind = OUTCOME_FAILED, .started = 1 };
	struct endpoint from = { 0 }, to = { 0 };
	struct job_id id = { .incarnation = 1 };

	make_endpoint(&from, &to, 1);
	make_endpoint(&to, &from, 2);
	for (id.serial = 1; id.serial <= 5; id.serial++)
		record_finish(from.records,
			      record_add(from.records, &id, 7, 900), &failed,
			      0);
	from.first_lost_part = 3;
	handover_begin(from.handover, 0);
	ck_assert(!handover_is_done(from.handover));
	ck_assert_uint_eq(record_count(to.records), 4);
	ck_assert_int_eq(handover_check_id(to.handover, &id, 0),
			 HANDOVER_NOT_ADOPTED);
	from.first_lost_part = UINT32_MAX;
	handover_tick(from.handover, 60000);
	ck_assert(handover_is_done(from.handover));
	ck_assert_uint_eq(from.parts, 6);
	ck_assert_uint_eq(record_count(to.records), 5);
	ck_assert(handover_successor(from.handover) == 2);
	ck_assert(handover_find_successor(to.handover, 1) == 2);
	talloc_free(from.records);
	talloc_free(to.records);
}
END_TEST

int main(void)
{
	return RUN_CASE("handover", setup, teardown, test_successor_answers,
			test_successor_hands_over, test_in_flight_is_finished,
			test_entry_waits_for_answers, test_successor_killed,
			test_successor_ack_timeout, test_both_stop,
			test_nobody_left, test_expired_is_unknown, test_keys,
			test_joined_key_is_answered_by_its_deadline,
			test_key_granted_late, test_parts_lost_and_resent);
}
