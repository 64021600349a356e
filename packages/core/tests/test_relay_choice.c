/*
 * The choice of relays: the share of workers follows the weights, the worker's
 * data centre comes first, and the loss of a candidate moves only its workers.
 */
#include <stdio.h>

#include "base/tests/run_suite.h"
#include "core/relay_choice.h"

#define WORKERS 3000

static const struct relay_choice_candidate candidates[] = {
	{ 11, 500, "a" }, { 12, 250, "a" }, { 13, 250, "a" },
	{ 21, 500, "b" }, { 22, 500, "b" },
};

static uint64_t pick(size_t first, size_t count, int worker, uint32_t rank)
{
	char name[16];

	snprintf(name, sizeof(name), "w%d", worker);
	return relay_choice_pick(candidates + first, count, name, "a", rank);
}

START_TEST(test_follows_weights)
{
	int large = 0;

	for (int i = 0; i < WORKERS; i++) {
		uint64_t relay = pick(0, 5, i, 0);

		ck_assert_uint_lt(relay, 20); /* in data centre a */
		large += relay == 11;
	}
	ck_assert_int_gt(large, WORKERS * 45 / 100);
	ck_assert_int_lt(large, WORKERS * 55 / 100);
}
END_TEST

START_TEST(test_loss_moves_only_its_workers)
{
	for (int i = 0; i < WORKERS; i++) {
		uint64_t before = pick(0, 5, i, 0);

		if (before != 11)
			ck_assert_uint_eq(pick(1, 4, i, 0), before);
		else
			ck_assert_uint_eq(pick(1, 4, i, 0), pick(0, 5, i, 1));
	}
}
END_TEST

START_TEST(test_ranks)
{
	ck_assert_uint_eq(relay_choice_pick(candidates, 0, "w", "a", 0), 0);
	/* Another data centre comes last; after that the rank wraps around. */
	ck_assert_uint_gt(pick(0, 5, 1, 3), 20);
	ck_assert_uint_gt(pick(0, 5, 1, 4), 20);
	ck_assert_uint_eq(pick(0, 5, 1, 5), pick(0, 5, 1, 0));
}
END_TEST

int main(void)
{
	return RUN_CASE("relay_choice", NULL, NULL, test_follows_weights,
			test_loss_moves_only_its_workers, test_ranks);
}
