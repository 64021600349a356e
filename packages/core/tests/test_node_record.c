/*
 * An id stands for one job, whether it is submitted at its owner or another
 * entry instance, repeated, cancelled or late.
 */

#include "base/tests/run_suite.h"
#include "core/tests/fake_nodes.h"

#define PAST_PARK_MS                                                           \
	2600 /* longer than an entry waits for a link to the owner */

static struct fake_nodes *f;
static enum outcome_reason reason;
static uint32_t started;

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
	return fakes_answer(f, request, &reason, &started);
}

START_TEST(test_repeats_join)
{
	int job = fakes_issue(f, 0);
	int r[FAKES_NODES];

	for (int i = 0; i < FAKES_NODES; i++)
		r[i] = fakes_submit(f, i, job, 2);
	fakes_deliver_all(f);
	ck_assert_uint_eq(fakes_count_starts(f), 3);
	ck_assert_int_eq(kind_of(r[0]), -1);
	fakes_finish_starts(f);
	for (int i = 0; i < FAKES_NODES; i++)
		ck_assert_int_eq(kind_of(r[i]), OUTCOME_COMPLETE);
	fakes_submit(f, 2, job, 2);
	ck_assert_uint_eq(fakes_count_starts(f), 0);
}
END_TEST

START_TEST(test_other_body)
{
	int job = fakes_issue(f, 0);
	int r;

	fakes_submit(f, 0, job, 0);
	r = fakes_submit(f, 2, job, 1);
	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(r), OUTCOME_REJECTED);
	ck_assert_int_eq(reason, OUTCOME_BODY_MISMATCH_REASON);
	fakes_finish_starts(f);
}
END_TEST

START_TEST(test_fetch)
{
	int job = fakes_issue(f, 0);
	int r = fakes_fetch(f, 1, job);

	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(r), OUTCOME_REJECTED);
	ck_assert_int_eq(reason, OUTCOME_ID_UNUSED_REASON);
	fakes_submit(f, 0, job, 0);
	fakes_deliver_all(f);
	r = fakes_fetch(f, 1, job);
	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(r), OUTCOME_RUNNING);
	fakes_finish_starts(f);
	r = fakes_fetch(f, 1, job);
	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(r), OUTCOME_COMPLETE);
}
END_TEST

/* After answer_ms only the outcome is kept: complete, without results. */
START_TEST(test_answer_dropped)
{
	int job = fakes_issue(f, 0);
	int r;

	fakes_submit(f, 0, job, 0);
	fakes_finish_starts(f);
	fakes_advance(f, 4000);
	fakes_deliver_all(f);
	r = fakes_submit(f, 1, job, 0);
	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(r), OUTCOME_COMPLETE);
	ck_assert_int_eq(reason, OUTCOME_ANSWER_DROPPED_REASON);
	fakes_advance(f, FAKES_TTL_MS);
	fakes_deliver_all(f);
	r = fakes_submit(f, 1, job, 0);
	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(r), OUTCOME_UNKNOWN);
	ck_assert_int_eq(reason, OUTCOME_ID_EXPIRED_REASON);
}
END_TEST

START_TEST(test_cancel_reports_starts)
{
	int job = fakes_issue(f, 0);
	int submitted = fakes_submit(f, 0, job, 2);
	int cancelled;

	fakes_deliver_all(f);
	cancelled = fakes_cancel(f, 1, job);
	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(cancelled), OUTCOME_FAILED);
	ck_assert_int_eq(reason, OUTCOME_CANCELLED_REASON);
	ck_assert_uint_eq(started, 3);
	ck_assert_int_eq(kind_of(submitted), OUTCOME_FAILED);
	fakes_finish_starts(f);
}
END_TEST

/* A cancel that arrives before its submission closes the id. */
START_TEST(test_cancel_first)
{
	int job = fakes_issue(f, 0);
	int r = fakes_cancel(f, 1, job);

	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(r), OUTCOME_NOT_RUN);
	r = fakes_submit(f, 0, job, 0);
	fakes_deliver_all(f);
	ck_assert_int_eq(kind_of(r), OUTCOME_NOT_RUN);
	ck_assert_int_eq(reason, OUTCOME_CANCELLED_REASON);
	ck_assert_uint_eq(fakes_count_starts(f), 0);
}
END_TEST

/* An entry that loses the owner answers unknown, with the reason. */
START_TEST(test_owner_lost)
{
	int job = fakes_issue(f, 2);
	int waiting, r;

	fakes_offer_config(f, 2, 1, 8);
	waiting = fakes_submit(f, 0, job, 0);
	fakes_deliver_all(f);
	fakes_kill(f, 2);
	r = fakes_submit(f, 1, job, 0);
	fakes_advance(f, PAST_PARK_MS);
	ck_assert_int_eq(kind_of(waiting), OUTCOME_UNKNOWN);
	ck_assert_int_eq(reason, OUTCOME_OWNER_UNREACHABLE_REASON);
	ck_assert_int_eq(kind_of(r), OUTCOME_UNKNOWN);
	fakes_resolve(f, 0, FAKES_DONE);
}
END_TEST

/* An entry without a link to the owner waits for one. */
START_TEST(test_owner_found_in_time)
{
	int job = fakes_issue(f, 2);
	int lost, cut;

	fakes_cut(f, 0, 2);
	cut = fakes_submit(f, 0, job, 0);
	ck_assert_int_eq(kind_of(cut), -1);
	fakes_link(f, 0, 2);
	fakes_deliver_all(f);
	lost = fakes_submit(f, 0, job, 0);
	fakes_cut(f, 0, 2);
	fakes_link(f, 0, 2);
	fakes_finish_starts(f);
	ck_assert_int_eq(kind_of(cut), OUTCOME_COMPLETE);
	ck_assert_int_eq(kind_of(lost), OUTCOME_COMPLETE);
}
END_TEST

/* With an unresponsive owner the entry answers at the deadline. */
START_TEST(test_owner_unresponsive)
{
	int job = fakes_issue(f, 2);
	int r = fakes_submit(f, 0, job, 0);

	fakes_advance(f, FAKES_DEADLINE_MS);
	ck_assert_int_eq(kind_of(r), OUTCOME_UNKNOWN);
	ck_assert_int_eq(reason, OUTCOME_NO_ANSWER_YET_REASON);
}
END_TEST

/* An entry that rarely issues ids issues none that are about to expire. */
START_TEST(test_ids_are_fresh)
{
	for (int node = 0; node < FAKES_NODES; node++)
		fakes_issue(f, node);
	for (int i = 0; i < FAKES_TTL_MS / 1000 + 5; i++) {
		fakes_advance(f, 1000);
		fakes_deliver_all(f);
	}
	for (int node = 0; node < FAKES_NODES; node++) {
		int r = fakes_submit(f, node, fakes_issue(f, node), 0);

		fakes_finish_starts(f);
		ck_assert_int_eq(kind_of(r), OUTCOME_COMPLETE);
	}
}
END_TEST

/* Members that disconnect and reconnect leak no memory. */
START_TEST(test_members_reconnect)
{
	struct node *node_state = fakes_node(f, 0);
	size_t blocks = 0;

	for (int i = 0; i < 4; i++) {
		fakes_cut(f, 0, 2);
		fakes_cut(f, 1, 2);
		fakes_advance(f, 10000);
		fakes_deliver_all(f);
		fakes_link(f, 0, 2);
		fakes_link(f, 1, 2);
		fakes_deliver_all(f);
		fakes_advance(f, 2000);
		fakes_deliver_all(f);
		if (!i)
			blocks = talloc_total_blocks(node_state->members);
	}
	ck_assert_uint_eq(talloc_total_blocks(node_state->members), blocks);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("node_record");
	TCase *tc = tcase_create("node_record");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_repeats_join);
	tcase_add_test(tc, test_other_body);
	tcase_add_test(tc, test_fetch);
	tcase_add_test(tc, test_answer_dropped);
	tcase_add_test(tc, test_cancel_reports_starts);
	tcase_add_test(tc, test_cancel_first);
	tcase_add_test(tc, test_owner_lost);
	tcase_add_test(tc, test_owner_found_in_time);
	tcase_add_test(tc, test_owner_unresponsive);
	tcase_add_test(tc, test_ids_are_fresh);
	tcase_add_test(tc, test_members_reconnect);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
