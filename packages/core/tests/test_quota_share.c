/* Shares follow demand, never add up to more than the quota, and survive. */
#include <stdlib.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "base/random.h"
#include "core/quota_share.h"

#define NODES 3
#define QUOTA QUOTA_SHARE_WHOLE

static TALLOC_CTX *mem;
static struct quota_share *shares[NODES];
static struct quota *quotas[NODES];
static uint64_t now_ms;

/* One node's heartbeat on its way. */
struct beat {
	bool sent;
	uint32_t demand;
	uint32_t share;
};

static struct beat beats[NODES];

static void take(void *ctx, size_t place, uint32_t demand, uint32_t share)
{
	struct beat *beat = ctx;

	ck_assert_uint_eq(place, 0);
	*beat = (struct beat){ true, demand, share };
}

static void setup_with(bool even)
{
	static const char text[] = "{\"version\":1,\"services\":[],\"workers\":"
				   "[],\"teams\":[{\"name\":\"t\","
				   "\"tasks_per_s\":300}]}";
	enum config_status status;
	struct config_document *doc;
	char *message;

	mem = talloc_new(NULL);
	doc = config_parse(mem, text, strlen(text), &status, &message);
	for (int i = 0; i < NODES; i++) {
		struct quota_share_options options = { even, (uint64_t)i + 1 };
		struct quota_share_peer peers[NODES - 1] = { 0 };
		size_t count = 0;

		for (uint64_t p = 1; p <= NODES; p++)
			if (p != options.self)
				peers[count++].incarnation = p;
		quotas[i] = quota_create(mem);
		quota_configure(quotas[i], doc, 0);
		shares[i] = quota_share_create(mem, &options);
		quota_share_configure(shares[i], doc);
		quota_share_set_peers(shares[i], peers, count);
	}
}

static void setup(void)
{
	setup_with(false);
}

static void teardown(void)
{
	talloc_free(mem);
}

static void deliver(int from, int to)
{
	uint64_t sender = (uint64_t)from + 1;

	if (quota_share_beat(shares[to], sender,
			     quota_share_numbering(shares[from]), true))
		quota_share_heard(shares[to], sender, 0, beats[from].demand,
				  beats[from].share);
}

/* A node's heartbeat, with so many tasks asked for since the last. */
static void beat(int node, uint32_t tasks)
{
	if (tasks)
		quota_take(quotas[node], "t", tasks, now_ms);
	quota_share_update(shares[node], quotas[node], 1000, now_ms);
	quota_share_each(shares[node], 0, true, take, &beats[node]);
	quota_share_told(shares[node]);
}

static void round_of(const uint32_t *tasks)
{
	now_ms += 1000;
	for (int i = 0; i < NODES; i++) {
		beat(i, tasks[i]);
		for (int p = 0; p < NODES; p++)
			if (p != i)
				deliver(i, p);
	}
}

static uint64_t sum(void)
{
	uint64_t all = 0;

	for (int i = 0; i < NODES; i++)
		all += beats[i].share;
	return all;
}

START_TEST(test_shares_follow_demand)
{
	static const uint32_t first[] = { 800, 100, 0 };
	static const uint32_t second[] = { 0, 100, 800 };

	for (int i = 0; i < 20; i++)
		round_of(first);
	ck_assert_uint_gt(beats[0].share, QUOTA * 75 / 100);
	ck_assert_uint_gt(beats[1].share, QUOTA * 10 / 100);
	ck_assert_uint_gt(beats[2].share, QUOTA * 2 / 100); /* floor */
	for (int i = 0; i < 20; i++)
		round_of(second);
	ck_assert_uint_gt(beats[2].share, QUOTA * 75 / 100);
	ck_assert_uint_gt(sum(), QUOTA * 97 / 100);
}
END_TEST

START_TEST(test_sum_stays_within_the_quota)
{
	struct random_generator random;

	random_seed(&random, 3);
	for (int i = 0; i < 2000; i++) {
		uint32_t tasks[NODES];

		for (int n = 0; n < NODES; n++)
			tasks[n] = (uint32_t)random_below(&random, 5) * 200;
		round_of(tasks);
		ck_assert_uint_le(sum(), QUOTA);
	}
}
END_TEST

/* Beats cross: every node decides on the others' last but one figures. */
START_TEST(test_sum_stays_within_the_quota_when_beats_cross)
{
	struct random_generator random;

	random_seed(&random, 4);
	for (int i = 0; i < 2000; i++) {
		now_ms += 1000;
		for (int n = 0; n < NODES; n++)
			beat(n, (uint32_t)random_below(&random, 5) * 200);
		ck_assert_uint_le(sum(), QUOTA);
		for (int n = 0; n < NODES; n++)
			for (int p = 0; p < NODES; p++)
				if (p != n)
					deliver(n, p);
	}
}
END_TEST

START_TEST(test_cut_off_keeps_the_last_share)
{
	static const uint32_t tasks[] = { 300, 300, 300 };
	uint64_t share;

	for (int i = 0; i < 20; i++)
		round_of(tasks);
	share = beats[0].share;
	for (int i = 0; i < 50; i++) {
		now_ms += 1000;
		beat(0, i ? 0 : 300); /* heard by nobody, hears nobody */
		beat(1, 300);
		beat(2, 300);
		deliver(1, 2);
		deliver(2, 1);
		ck_assert_uint_le(sum(), QUOTA);
	}
	ck_assert_double_eq_tol((double)beats[0].share, (double)share,
				QUOTA / 100.0);
}
END_TEST

/* Two that do not hear each other may each rise once into what a third left. */
START_TEST(test_rise_waits_for_all)
{
	static const uint32_t tasks[] = { 300, 600, 0 };

	for (int i = 0; i < 20; i++)
		round_of(tasks);
	for (int i = 0; i < 30; i++) {
		now_ms += 1000;
		beat(1, 0);
		deliver(1, 0);
		deliver(1, 2);
		beat(0, 300);
		beat(2, 300);
		deliver(0, 1);
		deliver(2, 1);
		ck_assert_uint_le(sum(), QUOTA);
	}
}
END_TEST

START_TEST(test_others_go_on_beside_one_that_is_cut)
{
	static const uint32_t before[] = { 300, 300, 300 };
	static const uint32_t after[] = { 600, 0, 300 };
	static const struct quota_share_peer of_0[] = {
		{ .incarnation = 3, .cut = true }, { .incarnation = 2 }
	};
	static const struct quota_share_peer of_1[] = {
		{ .incarnation = 1 }, { .incarnation = 3, .cut = true }
	};

	for (int i = 0; i < 20; i++)
		round_of(before);
	quota_share_set_peers(shares[0], of_0, 2);
	quota_share_set_peers(shares[1], of_1, 2);
	for (int i = 0; i < 20; i++) {
		now_ms += 1000;
		beat(0, after[0]);
		beat(1, after[1]);
		deliver(0, 1);
		deliver(1, 0);
		ck_assert_uint_le(sum(), QUOTA);
	}
	ck_assert_uint_gt(beats[0].share, QUOTA * 55 / 100);
}
END_TEST

START_TEST(test_peer_that_was_never_heard_is_not_passed_over)
{
	static const struct quota_share_peer peers[] = {
		{ .incarnation = 2 }, { .incarnation = 9, .cut = true }
	};

	quota_share_set_peers(shares[0], peers, 2);
	beat(1, 0);
	for (int i = 0; i < 10; i++) {
		now_ms += 1000;
		deliver(1, 0);
		beat(0, 300);
		ck_assert_uint_eq(beats[0].share, 0);
	}
}
END_TEST

static void count_tell(void *ctx, size_t place, uint32_t demand, uint32_t share)
{
	(void)place;
	(void)demand;
	(void)share;
	++*(int *)ctx;
}

START_TEST(test_a_peer_hears_all_once_and_changes_then)
{
	int told = 0;

	quota_share_beat(shares[0], 2, quota_share_numbering(shares[1]), true);
	quota_share_update(shares[0], quotas[0], 1000, 1000);
	quota_share_told(shares[0]);
	ck_assert(quota_share_each(shares[0], 2, false, count_tell, &told));
	ck_assert_int_eq(told, 1);
	ck_assert(!quota_share_each(shares[0], 2, false, count_tell, &told));
	ck_assert_int_eq(told, 1);
	quota_take(quotas[0], "t", 100, 1000);
	quota_share_update(shares[0], quotas[0], 1000, 2000);
	quota_share_each(shares[0], 2, false, count_tell, &told);
	ck_assert_int_eq(told, 2);
	/* Within a 64th of what was told. */
	quota_share_told(shares[0]);
	quota_take(quotas[0], "t", 51, 2000);
	quota_share_update(shares[0], quotas[0], 1000, 3000);
	quota_share_each(shares[0], 2, false, count_tell, &told);
	ck_assert_int_eq(told, 2);
}
END_TEST

START_TEST(test_another_numbering_is_not_taken)
{
	uint32_t numbering = quota_share_numbering(shares[0]);
	int told = 0;

	/* One that never told all by it is not heard either. */
	ck_assert(!quota_share_beat(shares[0], 2, numbering, false));
	for (int i = 0; i < 2; i++) {
		ck_assert(!quota_share_beat(shares[0], 2, numbering + 1, i));
		quota_share_each(shares[0], 2, false, count_tell, &told);
		ck_assert_int_eq(told, 0);
	}
	ck_assert(!quota_share_beat(shares[0], 2, numbering, false));
	ck_assert(quota_share_each(shares[0], 2, false, count_tell, &told));
	ck_assert(quota_share_beat(shares[0], 2, numbering, true));
	ck_assert(quota_share_beat(shares[0], 2, numbering, false));
}
END_TEST

START_TEST(test_shares_of_a_gone_peer_are_taken_over)
{
	static const uint32_t tasks[] = { 300, 300, 300 };
	static const struct quota_share_peer of_0[] = { { .incarnation = 2 } };
	static const struct quota_share_peer of_1[] = { { .incarnation = 1 } };

	for (int i = 0; i < 20; i++)
		round_of(tasks);
	quota_share_set_peers(shares[0], of_0, 1);
	quota_share_set_peers(shares[1], of_1, 1);
	for (int i = 0; i < 20; i++)
		round_of(tasks);
	ck_assert_uint_gt(beats[0].share + beats[1].share, QUOTA * 97 / 100);
	quota_share_set_peers(shares[0], NULL, 0);
	now_ms += 1000;
	beat(0, 300);
	ck_assert_uint_eq(beats[0].share, QUOTA);
}
END_TEST

/*
 * Instances that have just started together know each other, and have not yet
 * heard: a job within the floor is admitted.
 */
START_TEST(test_starts_with_its_floor)
{
	for (int i = 0; i < NODES; i++) {
		quota_share_update(shares[i], quotas[i], 1000, 1000);
		ck_assert_int_eq(quota_take(quotas[i], "t", 5, 1000), QUOTA_OK);
	}
}
END_TEST

START_TEST(test_even)
{
	static const uint32_t tasks[] = { 900, 0, 0 };

	teardown();
	setup_with(true);
	for (int i = 0; i < 30; i++)
		round_of(tasks);
	for (int i = 0; i < NODES; i++)
		ck_assert_double_eq_tol((double)beats[i].share, QUOTA / 3.0,
					QUOTA / 100.0);
}
END_TEST

int main(void)
{
	return RUN_CASE(
		"quota_share", setup, teardown, test_shares_follow_demand,
		test_starts_with_its_floor, test_sum_stays_within_the_quota,
		test_sum_stays_within_the_quota_when_beats_cross,
		test_cut_off_keeps_the_last_share, test_rise_waits_for_all,
		test_others_go_on_beside_one_that_is_cut,
		test_peer_that_was_never_heard_is_not_passed_over,
		test_a_peer_hears_all_once_and_changes_then,
		test_another_numbering_is_not_taken,
		test_shares_of_a_gone_peer_are_taken_over, test_even);
}
