/*
 * A member of an older version was told of a doubtful crash, and hands its
 * records to a member that is linked anew: the crash stays doubtful.
 */
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/lease_node.h"

#define OWN_INCARNATION 4000
#define OLDER 1 /* incarnation of the member of an older version */
#define TASK "00000000000000a1.0.0.0"
#define WORKER UINT64_C(0x1234)
#define BORN_MS 5000

static struct lease_node *node;
static struct lease_node_ports ports;
static uint64_t now_ms;

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *msg)
{
	(void)ctx;
	(void)incarnation;
	(void)msg;
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
}

static void set_up(void)
{
	char name[] = "a";
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;
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
	ports = (struct lease_node_ports){
		.send = port_send,
		.dial = port_dial,
		.wall_ms = port_wall_ms,
		.wake = port_none,
	};
	node = lease_node_create(NULL, &options);
	hello.incarnation = OLDER;
	hello.instance = hello.address = name;
	lease_node_peer_up(node, &hello, now_ms);
	now_ms += 5000;
}

static void tear_down(void)
{
	talloc_free(node);
}

START_TEST(test_older_member_makes_no_crash_certain)
{
	struct crash_records *records =
		lease_crashes(lease_node_dispatch(node));
	struct crash_note doubtful = {
		.worker = WORKER,
		.born_ms = BORN_MS,
		.noted_ms = now_ms,
		.is_alone = true,
		.is_confirmed = true,
		.is_doubtful = true,
	};
	/* The fields that the older version knows. */
	Bergamot__WorkerCrash crash = BERGAMOT__WORKER_CRASH__INIT;
	Bergamot__TaskCrashes task = BERGAMOT__TASK_CRASHES__INIT;
	Bergamot__CrashRecords msg = BERGAMOT__CRASH_RECORDS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__WorkerCrash *crashes[] = { &crash };
	Bergamot__TaskCrashes *tasks[] = { &task };
	char name[] = TASK;
	const struct crash_record *record;

	crash_note(records, TASK, &doubtful);
	crash.worker = WORKER;
	crash.born_ms = BORN_MS;
	crash.alone = crash.confirmed = true;
	task.task = name;
	task.crashes = crashes;
	task.n_crashes = 1;
	msg.tasks = tasks;
	msg.n_tasks = 1;
	peer.body_case = BERGAMOT__PEER__BODY_CRASH_RECORDS;
	peer.crash_records = &msg;
	lease_node_peer_message(node, OLDER, &peer, now_ms);
	record = crash_find(records, TASK);
	ck_assert_ptr_nonnull(record);
	ck_assert_uint_eq(record->count, 1);
	ck_assert(record->crashes[0].is_doubtful);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_crash_member", set_up, tear_down,
			test_older_member_makes_no_crash_certain);
}
