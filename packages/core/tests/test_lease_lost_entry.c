/*
 * No task has two runs at once: a leader that receives no beats of an entry
 * instance keeps the runs of its jobs no longer than the entry tells the next
 * leader, and than until its callers may send them again, after the last beat.
 */
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/lease_node.h"

#define OWN_INCARNATION 4000
#define ENTRY 7
#define OTHER 8
#define TICK_MS 20
/* Earlier than lease_node_entry.c, CLOSED_MS, which the entry tells */
#define CLOSED_MS LEASE_RESEND_MS

static struct lease_node *node;
static struct lease_node_ports ports;
static uint32_t starts;
static uint64_t last_deadline_ms; /* of a lease, by a start or a hold */
static uint64_t serials[2];
static bool waits[2];
static bool fenced[2];
static uint64_t answer_at_ms[2];
static char started_on[16];
static struct pool_listed_run row;
static uint64_t now_ms;

static int index_of(const char *worker)
{
	return worker[1] - '1';
}

static void port_hold(void *ctx, const struct pool_hold_call *call)
{
	int i = index_of(call->worker);

	(void)ctx;
	serials[i] = call->serial;
	waits[i] = true;
	/* Runs of other jobs end there. */
	answer_at_ms[i] = now_ms + (call->wait_ms < 60 ? call->wait_ms : 60);
	if (call->deadline_ms > last_deadline_ms)
		last_deadline_ms = call->deadline_ms;
}

static void port_start(void *ctx, const struct pool_start_call *call)
{
	static char name[STEP_JOB_TASK_BYTES];

	(void)ctx;
	starts++;
	strcpy(started_on, call->worker);
	strcpy(name, call->task);
	row = (struct pool_listed_run){ name, call->number, 10 };
	last_deadline_ms = call->deadline_ms;
}

static void port_stop(void *ctx, const struct pool_stop_call *call)
{
	(void)ctx;
	(void)call;
}

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *msg)
{
	(void)ctx;
	(void)incarnation;
	(void)msg;
}

static void port_answer(void *ctx, const struct lease_node_answer *answer)
{
	(void)ctx;
	(void)answer;
}

static uint64_t port_wall_ms(void *ctx)
{
	(void)ctx;
	return UINT64_C(1790000000000);
}

static void port_none(void *ctx)
{
	(void)ctx;
}

static void answer_holds(void)
{
	for (int i = 0; i < 2; i++) {
		char id[3] = { 'w', (char)('1' + i), 0 };
		bool here = starts && !strcmp(started_on, id) &&
			    last_deadline_ms > now_ms;
		struct pool_lists lists = { &row, here, NULL, 0 };
		struct pool_reply reply = { .answer = fenced[i] ? POOL_FENCED
								: POOL_OK,
					    .clock_ms = now_ms,
					    .born_ms = 1 };

		if (!waits[i] || answer_at_ms[i] > now_ms)
			continue;
		waits[i] = false;
		lease_node_hold_answered(node, id, serials[i], &reply, &lists,
					 now_ms);
	}
}

static void advance(uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += TICK_MS) {
		now_ms += TICK_MS;
		lease_node_tick(node, now_ms);
		answer_holds();
		lease_node_flush(node, now_ms);
	}
}

/* The beat echoes one of ours that was sent just now. */
static void receive_beat(uint64_t from, uint64_t highest_claim)
{
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	beat.clock_ms = now_ms;
	beat.echo_ms = now_ms;
	beat.highest_claim = highest_claim;
	peer.body_case = BERGAMOT__PEER__BODY_LEADER_BEAT;
	peer.leader_beat = &beat;
	lease_node_peer_message(node, from, &peer, now_ms);
}

static void receive_job(uint64_t from)
{
	Bergamot__QueueJob msg = BERGAMOT__QUEUE_JOB__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__JobStep step = BERGAMOT__JOB_STEP__INIT;
	Bergamot__JobStep *steps[] = { &step };

	step.count = 1;
	step.cpu_milli = 1000;
	step.estimate_ms = 4000;
	msg.request = 1;
	msg.id = "00000000000000a1";
	msg.queue = "q";
	msg.service = "s";
	msg.attempts = 2;
	msg.objective_ms = 20000;
	msg.remaining_ms = 60000;
	msg.spec.data = (uint8_t *)"t";
	msg.spec.len = 1;
	msg.steps = steps;
	msg.n_steps = 1;
	peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB;
	peer.queue_job = &msg;
	lease_node_peer_message(node, from, &peer, now_ms);
	lease_node_flush(node, now_ms);
}

static void link_up(uint64_t incarnation, char *name)
{
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;

	hello.incarnation = incarnation;
	hello.instance = hello.address = hello.data_centre = name;
	lease_node_peer_up(node, &hello, now_ms);
}

static void set_up(void)
{
	struct lease_node_options options = {
		.ports = &ports,
		.instance = "own",
		.data_centre = "d",
		.address = "own",
		.incarnation = OWN_INCARNATION,
		.order = lease_find_order("late_last"),
		.place = place_find("fastest"),
		.weight = 250,
		.lease_ms = 1000,
		.stop_ms = 50,
		.far_factor = 1,
		.now_ms = 1000,
	};

	now_ms = 1000;
	starts = 0;
	last_deadline_ms = 0;
	memset(waits, 0, sizeof(waits));
	memset(fenced, 0, sizeof(fenced));
	ports = (struct lease_node_ports){
		.workers = { NULL, port_hold, port_start, port_stop },
		.send = port_send,
		.answer = port_answer,
		.wall_ms = port_wall_ms,
		.wake = port_none,
	};
	node = lease_node_create(NULL, &options);
	for (int i = 0; i < 2; i++) {
		char id[3] = { 'w', (char)('1' + i), 0 };
		struct pool_registration registration = {
			.id = id,
			.address = "x",
			.service = "s",
			.data_centre = "d",
			.capacity = { 4000, 1000, 0 },
			.born_ms = 1,
		};

		lease_node_worker_listed(node, &registration, now_ms);
	}
	lease_node_worker_list_complete(node, now_ms);
	advance(4000);
	ck_assert(lease_node_leads(node));
}

static void tear_down(void)
{
	talloc_free(node);
}

/* Keeps beats coming from both members, so that this instance has a majority.
 */
static void advance_with_beats(uint64_t ms, bool entry_beats)
{
	for (uint64_t t = 0; t < ms; t += 100) {
		if (entry_beats)
			receive_beat(ENTRY, 0);
		receive_beat(OTHER, 0);
		advance(100);
	}
}

/* A job of the entry, whose beats arrive, is started. */
static void begin_job(void)
{
	link_up(ENTRY, "e");
	link_up(OTHER, "o");
	advance_with_beats(1000, true);
	receive_job(ENTRY);
	ck_assert_uint_eq(starts, 1);
}

/* Without further faults. */
START_TEST(test_lost_entry)
{
	uint64_t last_beat_ms;

	begin_job();
	advance_with_beats(500, true);
	receive_beat(ENTRY, 0);
	last_beat_ms = now_ms;
	advance_with_beats(4000, false);
	ck_assert_uint_le(last_deadline_ms, last_beat_ms + CLOSED_MS);
}
END_TEST

/* A raised claim proves nothing of members that are silent. */
START_TEST(test_raised_claim_keeps_no_lost_entry)
{
	struct pool_reply refusal = { .answer = POOL_FENCED };
	uint64_t last_beat_ms;
	int other;

	begin_job();
	other = 1 - index_of(started_on);
	advance_with_beats(500, true);
	/* The other worker obeys an instance whose claim OTHER knows. */
	receive_beat(OTHER, UINT64_C(1790000001000) << 12);
	fenced[other] = true;
	waits[other] = false;
	lease_node_hold_answered(node, other ? "w2" : "w1", serials[other],
				 &refusal, NULL, now_ms);
	advance_with_beats(100, true);
	receive_beat(ENTRY, 0);
	last_beat_ms = now_ms;
	advance_with_beats(4000, false);
	ck_assert_uint_le(last_deadline_ms, last_beat_ms + CLOSED_MS);
}
END_TEST

/* The time for which a lost entry's jobs are kept includes a pause. */
START_TEST(test_pause_keeps_no_lost_entry)
{
	uint64_t last_beat_ms;

	begin_job();
	advance_with_beats(500, true);
	/* The pause begins just after the lease was renewed. */
	while (last_deadline_ms < now_ms + 980)
		advance(TICK_MS);
	receive_beat(ENTRY, 0);
	last_beat_ms = now_ms;
	now_ms += 900;
	answer_holds();
	advance_with_beats(4000, false);
	ck_assert_uint_le(last_deadline_ms, last_beat_ms + CLOSED_MS);
}
END_TEST

/*
 * Without processor time for 110 ms, which is no pause, both checks are
 * late: answers that have arrived meanwhile are read before the timer runs.
 */
START_TEST(test_throttled_leader_keeps_no_lost_entry)
{
	uint64_t last_beat_ms;

	begin_job();
	advance_with_beats(500, true);
	receive_beat(ENTRY, 0);
	last_beat_ms = now_ms;
	for (int i = 0; i < 30; i++) {
		receive_beat(OTHER, 0);
		now_ms += 108;
		answer_holds();
		now_ms += 2;
		lease_node_tick(node, now_ms);
	}
	ck_assert_uint_le(last_deadline_ms, last_beat_ms + CLOSED_MS);
}
END_TEST

/* The entry is lost before its first beat to this leader. */
START_TEST(test_entry_lost_before_its_first_beat)
{
	uint64_t sent_ms;

	advance(2000);
	link_up(ENTRY, "e");
	link_up(OTHER, "o");
	advance(40);
	sent_ms = now_ms;
	receive_job(ENTRY);
	ck_assert_uint_eq(starts, 1);
	advance_with_beats(4500, false);
	ck_assert_uint_le(last_deadline_ms, sent_ms + CLOSED_MS);
}
END_TEST

/*
 * A job that was on its way while the link was cut or the leader was paused:
 * its entry has taken it back.
 */
START_TEST(test_job_that_arrives_after_its_entry_was_lost)
{
	link_up(ENTRY, "e");
	link_up(OTHER, "o");
	advance_with_beats(1000, true);
	advance_with_beats(3000, false);
	receive_job(ENTRY);
	advance_with_beats(1000, false);
	ck_assert_uint_eq(starts, 0);
}
END_TEST

/*
 * The entry has ended, and its caller sends the job again to another leader,
 * which does not reach this one's worker.
 */
START_TEST(test_two_runs_of_a_resent_job)
{
	uint64_t lost_ms;

	begin_job();
	advance_with_beats(500, true);
	lost_ms = now_ms;
	lease_node_peer_down(node, ENTRY, now_ms);
	advance_with_beats(4000, false);
	ck_assert_uint_le(last_deadline_ms, lost_ms + LEASE_RESEND_MS);
}
END_TEST

/* A link that is opened again within 200 ends no run. */
START_TEST(test_reset_link_ends_runs)
{
	begin_job();
	advance_with_beats(500, true);
	lease_node_peer_down(node, ENTRY, now_ms);
	advance(LEASE_RELINK_MS - 2 * TICK_MS);
	link_up(ENTRY, "e");
	receive_beat(ENTRY, 0);
	receive_job(ENTRY);
	advance_with_beats(1500, true);
	ck_assert_uint_eq(starts, 1);
	ck_assert_uint_ge(last_deadline_ms, now_ms);
}
END_TEST

START_TEST(test_job_read_after_its_link_was_lost)
{
	link_up(ENTRY, "e");
	link_up(OTHER, "o");
	advance_with_beats(1000, true);
	lease_node_peer_down(node, ENTRY, now_ms);
	receive_job(ENTRY);
	advance_with_beats(1000, false);
	ck_assert_uint_eq(starts, 0);
}
END_TEST

/*
 * An entry was lost long ago, and its callers have sent their jobs again long
 * since. A new leader does not make all new jobs wait for the former leader.
 */
START_TEST(test_new_jobs_wait_for_an_entry_lost_long_ago)
{
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	struct pool_reply none = { .answer = POOL_NO_ANSWER };

	link_up(ENTRY, "e");
	link_up(OTHER, "o");
	advance_with_beats(1000, true);
	lease_node_peer_down(node, ENTRY, now_ms);
	advance_with_beats(60000, false);
	/* OTHER leads for a while, and is lost. */
	beat.clock_ms = beat.echo_ms = now_ms;
	beat.claim = beat.highest_claim = UINT64_C(1790000900000) << 12;
	beat.majority = true;
	peer.body_case = BERGAMOT__PEER__BODY_LEADER_BEAT;
	peer.leader_beat = &beat;
	lease_node_peer_message(node, OTHER, &peer, now_ms);
	advance(100);
	ck_assert(!lease_node_leads(node));
	lease_node_peer_down(node, OTHER, now_ms);
	advance(900);
	ck_assert(lease_node_leads(node));
	/* One worker is silent. */
	waits[1] = false;
	lease_node_hold_answered(node, "w2", serials[1], &none, NULL, now_ms);
	waits[1] = false;
	lease_node_hold_answered(node, "w2", serials[1], &none, NULL, now_ms);
	waits[1] = false;
	link_up(ENTRY + 10, "n");
	receive_job(ENTRY + 10);
	ck_assert_uint_eq(starts, 1);
}
END_TEST

/*
 * The time to give up the entry's jobs passes during a pause. Answers that have
 * arrived meanwhile are read before the timer runs.
 */
START_TEST(test_pause_over_the_end_keeps_no_lost_entry)
{
	uint64_t last_beat_ms;

	begin_job();
	advance_with_beats(500, true);
	receive_beat(ENTRY, 0);
	last_beat_ms = now_ms;
	advance_with_beats(1400, false);
	now_ms += 700;
	answer_holds();
	ck_assert_uint_le(last_deadline_ms, last_beat_ms + CLOSED_MS);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_lost_entry", set_up, tear_down, test_lost_entry,
			test_raised_claim_keeps_no_lost_entry,
			test_pause_keeps_no_lost_entry,
			test_throttled_leader_keeps_no_lost_entry,
			test_entry_lost_before_its_first_beat,
			test_job_that_arrives_after_its_entry_was_lost,
			test_two_runs_of_a_resent_job,
			test_reset_link_ends_runs,
			test_job_read_after_its_link_was_lost,
			test_new_jobs_wait_for_an_entry_lost_long_ago,
			test_pause_over_the_end_keeps_no_lost_entry);
}
