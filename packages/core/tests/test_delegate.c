/*
 * Spill-over between nodes with queues as links: each task starts at most once
 * even if messages are lost or repeated (fake_nodes.c verifies that), and
 * excess tasks run at a peer with idle slots.
 */
#include <stdlib.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/tests/fake_nodes.h"

static struct fake_nodes *f;

/* Workers' slots in data centre a (nodes 0 and 1) and b (node 2). */
static void configure(int slots_a, int slots_b)
{
	char text[512];
	char worker_a[160] = "";
	int len;

	if (slots_a)
		snprintf(worker_a, sizeof(worker_a),
			 "{\"name\":\"wa\",\"address\":\"127.0.0.1:1\","
			 "\"data_centre\":\"a\",\"service\":\"quote\","
			 "\"slots\":%d},",
			 slots_a);
	len = snprintf(text, sizeof(text),
		       "{\"version\":1,\"services\":[{\"name\":\"quote\"}],"
		       "\"teams\":[{\"name\":\"default\"}],\"workers\":[%s"
		       "{\"name\":\"wb\",\"address\":\"127.0.0.1:2\","
		       "\"data_centre\":\"b\",\"service\":\"quote\","
		       "\"slots\":%d}]}",
		       worker_a, slots_b);
	for (int i = 0; i < FAKES_NODES; i += 2)
		node_config_read(fakes_node(f, i), PORT_PLATFORM_OK, text,
				 (size_t)len, 1000);
	fakes_deliver_all(f);
	/* Heartbeats advertise the slots. */
	fakes_advance(f, 1000);
	fakes_deliver_all(f);
	fakes_advance(f, 1000);
	fakes_deliver_all(f);
}

static void setup(void)
{
	f = fakes_create();
	fakes_boot(f, 0);
	fakes_boot(f, 2);
	fakes_link(f, 0, 2);
	fakes_deliver_all(f);
}

static void teardown(void)
{
	fakes_finish(f);
	fakes_free(f);
}

/* Submits a job of three tasks at node 0 and lets it start what it can. */
static int submit(void)
{
	int request = fakes_submit(f, 0, -1, 2);

	fakes_advance(f, 20);
	fakes_deliver_all(f);
	return request;
}

static void resolve_all(enum fakes_fate fate)
{
	while (fakes_count_starts(f)) {
		fakes_resolve(f, 0, fate);
		fakes_deliver_all(f);
	}
}

START_TEST(test_excess_runs_at_the_peer)
{
	int first, second;

	configure(4, 2);
	first = submit();
	ck_assert_uint_eq(fakes_count_starts(f), 3);
	second = submit();
	/* One task of the second job runs at the peer, and one waits. */
	ck_assert_uint_eq(fakes_count_starts(f), 5);
	resolve_all(FAKES_DONE);
	ck_assert_int_eq(fakes_answer(f, first, NULL, NULL), OUTCOME_COMPLETE);
	ck_assert_int_eq(fakes_answer(f, second, NULL, NULL), OUTCOME_COMPLETE);
}
END_TEST

START_TEST(test_without_own_workers_all_is_delegated)
{
	int request;

	configure(0, 3);
	request = submit();
	ck_assert_uint_eq(fakes_count_starts(f), 3);
	resolve_all(FAKES_DONE);
	ck_assert_int_eq(fakes_answer(f, request, NULL, NULL),
			 OUTCOME_COMPLETE);
}
END_TEST

START_TEST(test_a_freed_slot_is_used_before_the_next_heartbeat)
{
	int request;

	configure(0, 1);
	request = submit();
	for (int i = 0; i < 3; i++) {
		ck_assert_uint_eq(fakes_count_starts(f), 1);
		resolve_all(FAKES_DONE);
		fakes_advance(f, 20);
		fakes_deliver_all(f);
	}
	ck_assert_int_eq(fakes_answer(f, request, NULL, NULL),
			 OUTCOME_COMPLETE);
}
END_TEST

START_TEST(test_job_without_any_workers_is_refused)
{
	enum outcome_reason reason;
	int request;

	configure(0, 3);
	fakes_cut(f, 0, 2);
	request = submit();
	ck_assert_int_eq(fakes_answer(f, request, &reason, NULL),
			 OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_NO_WORKER_REASON);
}
END_TEST

START_TEST(test_lost_peer_makes_the_job_fail)
{
	enum outcome_reason reason;
	int request;

	configure(1, 2);
	request = submit();
	fakes_resolve(f, 1, FAKES_RUN);
	fakes_cut(f, 0, 2);
	ck_assert_int_eq(fakes_answer(f, request, &reason, NULL),
			 OUTCOME_FAILED);
	ck_assert_int_eq(reason, OUTCOME_TASK_UNKNOWN_REASON);
	resolve_all(FAKES_DONE);
	fakes_link(f, 0, 2);
	fakes_deliver_all(f);
	request = submit();
	resolve_all(FAKES_DONE);
	ck_assert_int_eq(fakes_answer(f, request, NULL, NULL),
			 OUTCOME_COMPLETE);
}
END_TEST

START_TEST(test_lost_batch_is_unknown_and_never_starts)
{
	int request;

	configure(1, 2);
	request = fakes_submit(f, 0, -1, 2);
	fakes_advance(f, 20);
	fakes_cut(f, 0, 2); /* before the batch arrives */
	ck_assert_int_eq(fakes_answer(f, request, NULL, NULL), OUTCOME_FAILED);
	ck_assert_uint_eq(fakes_count_starts(f), 1);
}
END_TEST

START_TEST(test_failure_at_the_peer_fails_the_job)
{
	enum outcome_reason reason;
	int request;

	configure(1, 2);
	request = submit();
	fakes_resolve(f, 1, FAKES_FAIL);
	fakes_deliver_all(f);
	ck_assert_int_eq(fakes_answer(f, request, &reason, NULL),
			 OUTCOME_FAILED);
	ck_assert_int_eq(reason, OUTCOME_TASK_FAILED_REASON);
	resolve_all(FAKES_DONE);
}
END_TEST

START_TEST(test_batch_without_a_slot_is_returned)
{
	int other, request;

	configure(1, 2);
	/* The job fills node 2, which node 0 does not know yet. */
	other = fakes_submit(f, 2, -1, 1);
	request = submit();
	ck_assert_uint_eq(fakes_count_starts(f), 3);
	resolve_all(FAKES_DONE);
	ck_assert_int_eq(fakes_answer(f, request, NULL, NULL),
			 OUTCOME_COMPLETE);
	ck_assert_int_eq(fakes_answer(f, other, NULL, NULL), OUTCOME_COMPLETE);
}
END_TEST

START_TEST(test_part_of_a_batch_is_returned)
{
	int other, request;

	configure(0, 3);
	/* The job leaves one slot at node 2. */
	other = fakes_submit(f, 2, -1, 1);
	request = submit();
	ck_assert_uint_eq(fakes_count_starts(f), 3);
	ck_assert_uint_eq(
		dispatch_load(fakes_node(f, 0)->dispatch, 4000).backlog_tasks,
		2);
	for (int i = 0; i < 4; i++) {
		resolve_all(FAKES_DONE);
		fakes_advance(f, 500);
		fakes_deliver_all(f);
	}
	ck_assert_int_eq(fakes_answer(f, request, NULL, NULL),
			 OUTCOME_COMPLETE);
	ck_assert_int_eq(fakes_answer(f, other, NULL, NULL), OUTCOME_COMPLETE);
}
END_TEST

START_TEST(test_end_of_the_job_stops_the_peer)
{
	int job, request;

	configure(1, 2);
	job = fakes_issue(f, 0);
	request = fakes_submit(f, 0, job, 2);
	fakes_advance(f, 20);
	fakes_deliver_all(f);
	fakes_cancel(f, 0, job);
	ck_assert_int_eq(fakes_answer(f, request, NULL, NULL), OUTCOME_FAILED);
	ck_assert(!node_is_idle(fakes_node(f, 2)));
	fakes_deliver_all(f);
	ck_assert(node_is_idle(fakes_node(f, 2)));
}
END_TEST

START_TEST(test_repeated_batch_starts_once)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__Delegate msg = BERGAMOT__DELEGATE__INIT;
	Bergamot__DelegatedTask task = BERGAMOT__DELEGATED_TASK__INIT;
	Bergamot__DelegatedTask *tasks[] = { &task };
	static char body[] = "{\"k\":-1,\"v\":0}";

	configure(1, 2);
	task.payload.data = (uint8_t *)body;
	task.payload.len = strlen(body);
	msg.batch = 7;
	msg.job = "another's";
	msg.service = "quote";
	msg.team = "default";
	msg.remaining_ms = 1000;
	msg.tasks = tasks;
	msg.n_tasks = 1;
	peer.body_case = BERGAMOT__PEER__BODY_DELEGATE;
	peer.delegate = &msg;
	for (int i = 0; i < 3; i++)
		node_peer_message(fakes_node(f, 2),
				  fakes_node(f, 0)->options.incarnation, &peer,
				  4000);
	ck_assert_uint_eq(fakes_count_starts(f), 1);
	msg.batch = 6; /* older than the last one */
	node_peer_message(fakes_node(f, 2),
			  fakes_node(f, 0)->options.incarnation, &peer, 4000);
	ck_assert_uint_eq(fakes_count_starts(f), 1);
	resolve_all(FAKES_DONE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("delegate");
	TCase *tc = tcase_create("delegate");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_excess_runs_at_the_peer);
	tcase_add_test(tc, test_without_own_workers_all_is_delegated);
	tcase_add_test(tc, test_a_freed_slot_is_used_before_the_next_heartbeat);
	tcase_add_test(tc, test_job_without_any_workers_is_refused);
	tcase_add_test(tc, test_lost_peer_makes_the_job_fail);
	tcase_add_test(tc, test_lost_batch_is_unknown_and_never_starts);
	tcase_add_test(tc, test_failure_at_the_peer_fails_the_job);
	tcase_add_test(tc, test_batch_without_a_slot_is_returned);
	tcase_add_test(tc, test_part_of_a_batch_is_returned);
	tcase_add_test(tc, test_end_of_the_job_stops_the_peer);
	tcase_add_test(tc, test_repeated_batch_starts_once);
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
