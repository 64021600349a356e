/*
 * Messages between instances. The configuration: at 147 instances, all of which
 * read a new version at about the same time, each sending it to all others
 * filled their links for seconds. Jobs: a damaged one ends no process.
 */
#include <stdio.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/lease_node.h"

#define MEMBERS 3
#define OWN_INCARNATION 4000 /* no wait beyond the shortest */

static struct lease_node *node;
static struct lease_node_ports ports;
static uint32_t offers[MEMBERS + 1]; /* by the receiver's incarnation */
static uint32_t dials;
static uint32_t refusals; /* ends of jobs that never fit */
static uint64_t now_ms;

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *msg)
{
	(void)ctx;
	if (msg->body_case == BERGAMOT__PEER__BODY_CONFIG_OFFER)
		offers[incarnation]++;
	if (msg->body_case == BERGAMOT__PEER__BODY_QUEUE_JOB_END)
		refusals += msg->queue_job_end->end == LEASE_REFUSED &&
			    msg->queue_job_end->reason == LEASE_NEVER_FITS;
}

static struct queue_config *port_parse(void *ctx, TALLOC_CTX *mem,
				       const char *text, size_t len)
{
	struct queue_config *config = talloc_zero(mem, struct queue_config);

	(void)ctx;
	config->version = strtoull(text, NULL, 10);
	config->text = talloc_strndup(config, text, len);
	config->text_len = len;
	return config;
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

static void port_dial(void *ctx, const char *address)
{
	(void)ctx;
	(void)address;
	dials++;
}

static void receive_beat(uint64_t from, uint64_t config_version)
{
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	beat.config_version = config_version;
	peer.body_case = BERGAMOT__PEER__BODY_LEADER_BEAT;
	peer.leader_beat = &beat;
	lease_node_peer_message(node, from, &peer, now_ms);
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
		.now_ms = 1000,
	};

	now_ms = 1000;
	memset(offers, 0, sizeof(offers));
	refusals = 0;
	ports = (struct lease_node_ports){
		.send = port_send,
		.dial = port_dial,
		.parse_config = port_parse,
		.wall_ms = port_wall_ms,
		.wake = port_none,
	};
	node = lease_node_create(NULL, &options);
	lease_node_config_read(node, "1", 1, now_ms);
	for (uint64_t i = 1; i <= MEMBERS; i++) {
		char name[2] = { (char)('a' + i), 0 };
		Bergamot__Hello hello = BERGAMOT__HELLO__INIT;

		hello.incarnation = i;
		hello.instance = hello.address = name;
		lease_node_peer_up(node, &hello, now_ms);
	}
	now_ms += 5000;
}

static void tear_down(void)
{
	talloc_free(node);
}

/*
 * With as many instances as the largest site plans, every pair is linked: one
 * that is not linked to the leader would serve nobody, or claim to lead.
 */
START_TEST(test_all_members_are_dialled)
{
	char address[32];

	dials = 0;
	for (int i = 0; i < 1740; i++) {
		snprintf(address, sizeof(address), "10.0.%d.%d:1", i / 250,
			 i % 250);
		lease_node_member_listed(node, address);
		lease_node_member_listed(node, address);
	}
	ck_assert_uint_eq(dials, 1740);
}
END_TEST

/* An odd address in a beat is no instance to dial or to count. */
START_TEST(test_odd_address_in_a_beat_is_not_dialled)
{
	char text[10240];
	char *addresses[] = {
		(char *)"10.0.0.1:1",
		(char *)"",
		(char *)":",
		(char *)"10.0.0.1:0",
		(char *)"10.0.0.1:99999",
		(char *)"10.0.0.1:",
		(char *)"[::1",
		(char *)"\xff",
		text,
		(char *)"10.0.0.2:1",
	};
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	memset(text, '1', sizeof(text));
	text[sizeof(text) - 1] = '\0';
	beat.addresses = addresses;
	beat.n_addresses = sizeof(addresses) / sizeof(addresses[0]);
	peer.body_case = BERGAMOT__PEER__BODY_LEADER_BEAT;
	peer.leader_beat = &beat;
	dials = 0;
	lease_node_peer_message(node, 1, &peer, now_ms);
	ck_assert_uint_eq(dials, 2);
}
END_TEST

START_TEST(test_new_version_is_not_broadcast)
{
	lease_node_config_read(node, "2", 1, now_ms);
	receive_beat(1, 1);
	for (uint64_t i = 1; i <= MEMBERS; i++)
		ck_assert_uint_eq(offers[i], 0);
}
END_TEST

/* A member that is cut off from the store gets it once, not for each beat. */
START_TEST(test_member_that_stays_behind_gets_it)
{
	lease_node_config_read(node, "2", 1, now_ms);
	now_ms += 400;
	receive_beat(1, 1);
	receive_beat(2, 2);
	ck_assert_uint_eq(offers[1], 1);
	ck_assert_uint_eq(offers[2], 0);
	now_ms += 120;
	receive_beat(1, 1);
	ck_assert_uint_eq(offers[1], 1);
	now_ms += 1000;
	receive_beat(1, 1);
	ck_assert_uint_eq(offers[1], 2);
}
END_TEST

/* An instance that has just started reads the store before it gets offers. */
START_TEST(test_new_member_is_given_time)
{
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;

	lease_node_peer_down(node, 3, now_ms);
	hello.incarnation = 3;
	hello.instance = hello.address = (char *)"d";
	lease_node_peer_up(node, &hello, now_ms);
	receive_beat(3, 0);
	ck_assert_uint_eq(offers[3], 0);
	now_ms += 400;
	receive_beat(3, 0);
	ck_assert_uint_eq(offers[3], 1);
}
END_TEST

/* fuzz_lease found the first two: 2^32 tasks, and a step that does not exist.
 */
START_TEST(test_damaged_job_is_refused)
{
	static const struct {
		const char *id;
		uint32_t count, after, handed;
	} damages[] = {
		{ "00000000000000a1", UINT32_MAX, 0, 0 },
		{ "00000000000000a1", 1, 7, 0 },
		{ "x", 1, 0, 0 },
		{ "00000000000000a1", 1, 0, UINT32_MAX },
	};
	Bergamot__JobStep steps[2] = { BERGAMOT__JOB_STEP__INIT,
				       BERGAMOT__JOB_STEP__INIT };
	Bergamot__JobStep *rows[2] = { &steps[0], &steps[1] };
	Bergamot__QueueJob job = BERGAMOT__QUEUE_JOB__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	uint32_t after;

	job.queue = job.service = "s";
	job.remaining_ms = 1000;
	job.n_steps = 2;
	job.steps = rows;
	steps[1].count = 1;
	steps[1].after = &after;
	steps[1].n_after = 1;
	peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB;
	peer.queue_job = &job;
	for (uint32_t i = 0; i < sizeof(damages) / sizeof(damages[0]); i++) {
		job.id = (char *)damages[i].id;
		job.handed = damages[i].handed;
		steps[0].count = damages[i].count;
		after = damages[i].after;
		lease_node_peer_message(node, 1, &peer, now_ms);
		ck_assert_uint_eq(refusals, i + 1);
	}
}
END_TEST

/* A member's note makes a task wait, unless it is damaged. */
START_TEST(test_damaged_late_start_is_dropped)
{
	static const struct {
		const char *task;
		uint32_t over_in_ms;
		bool is_damaged;
	} rows[] = {
		{ "00000000000000a1.0.0.0", 13000, false },
		{ "00000000000000a1.0.0.1", UINT32_MAX, true },
		{ "00000000000000a1", 1000, true },
		{ "x", 1000, true },
	};
	struct lease_pool *pool = lease_pool(lease_node_dispatch(node));
	Bergamot__LateStart row = BERGAMOT__LATE_START__INIT;
	Bergamot__LateStart *list[] = { &row };
	Bergamot__LateStarts msg = BERGAMOT__LATE_STARTS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	msg.starts = list;
	msg.n_starts = 1;
	peer.body_case = BERGAMOT__PEER__BODY_LATE_STARTS;
	peer.late_starts = &msg;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		row.task = (char *)rows[i].task;
		row.over_in_ms = rows[i].over_in_ms;
		lease_node_peer_message(node, 1, &peer, now_ms);
		ck_assert_uint_eq(pool_late_until_ms(pool, rows[i].task),
				  rows[i].is_damaged ? 0
						     : now_ms + row.over_in_ms);
	}
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_node_peer", set_up, tear_down,
			test_all_members_are_dialled,
			test_odd_address_in_a_beat_is_not_dialled,
			test_new_version_is_not_broadcast,
			test_member_that_stays_behind_gets_it,
			test_new_member_is_given_time,
			test_damaged_job_is_refused,
			test_damaged_late_start_is_dropped);
}
