/* Each policy picks usable workers only; the fastest idle one comes first. */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "core/placement.h"

#define WORKERS 10

static TALLOC_CTX *mem;
static struct placement_set set;
static struct placement_worker workers[WORKERS];
static struct random_generator generator;
static struct placement_context context = { .random = &generator,
					    .breakers = true };

static void setup(void)
{
	mem = talloc_new(NULL);
	set = (struct placement_set){ 0 };
	placement_set_init(&set, mem);
	context.now_ms = 1000;
	random_seed(&generator, 1);
	for (int i = 0; i < WORKERS; i++) {
		workers[i] = (struct placement_worker){ .slots = 2 };
		workers[i].name = talloc_asprintf(mem, "worker-%d", i);
		workers[i].mean_us = 100 * (uint64_t)(i + 1);
		placement_set_add(&set, &workers[i]);
		placement_refresh(&workers[i], &context);
	}
}

static void teardown(void)
{
	placement_set_clear(&set);
	talloc_free(mem);
}

static struct placement_worker *pick(const char *policy)
{
	placement_refresh_due(&set, &context);
	return placement_find(policy)->pick(&set, &context);
}

static struct placement_worker *start(void)
{
	struct placement_worker *w = pick("dispatcher");

	if (!w)
		return NULL;
	w->running++;
	placement_refresh(w, &context);
	return w;
}

START_TEST(test_fastest_idle_slot_first)
{
	for (int i = 0; i < WORKERS * 2; i++)
		ck_assert_ptr_eq(start(), &workers[i / 2]);
	ck_assert_ptr_null(start());
	workers[7].running--;
	placement_refresh(&workers[7], &context);
	ck_assert_ptr_eq(start(), &workers[7]);
}
END_TEST

START_TEST(test_unobserved_worker_is_first_and_failing_one_is_not)
{
	static const struct breaker_options options;

	workers[4].mean_us = 0;
	placement_refresh(&workers[4], &context);
	ck_assert_ptr_eq(start(), &workers[4]);
	set.mean_us = 500;
	breaker_failure(&workers[4].breaker, &options, 1);
	placement_refresh(&workers[4], &context);
	ck_assert_ptr_eq(start(), &workers[0]);
}
END_TEST

START_TEST(test_no_policy_picks_an_unusable_worker)
{
	static const char *const policies[] = { "random", "two_choices",
						"partition", "dispatcher" };

	for (int i = 0; i < WORKERS; i++) {
		struct placement_worker *w = &workers[i];

		w->leaving = i % 4 == 0;
		w->blocked_until_ms = i % 4 == 1 ? 2000 : 0;
		w->breaker.state = i % 4 == 2 ? BREAKER_OPEN : BREAKER_CLOSED;
		w->breaker.retry_at_ms = 3000;
		placement_refresh(w, &context);
	}
	ck_assert_uint_eq(set.usable_slots, 4);
	for (int p = 0; p < 4; p++)
		for (int i = 0; i < 100; i++)
			ck_assert_int_eq((pick(policies[p]) - workers) % 4, 3);
	ck_assert_uint_eq(placement_idle_slots(&set, &context), 4);
	context.now_ms = 2000;
	ck_assert_ptr_eq(start(), &workers[1]);
	ck_assert_uint_eq(set.usable_slots, 10);
	context.now_ms = 3000;
	placement_refresh_due(&set, &context);
	ck_assert_uint_eq(set.usable_slots, 14);
}
END_TEST

START_TEST(test_refusals_block_with_jitter)
{
	uint64_t longest = 0, repeated = 0;

	for (int i = 0; i < 200; i++) {
		struct placement_worker *w = &workers[0];

		w->refusals = 0;
		placement_refused(w, &context);
		ck_assert_uint_ge(w->blocked_until_ms, 1025);
		ck_assert_uint_le(w->blocked_until_ms, 1050);
		repeated += w->blocked_until_ms == workers[1].blocked_until_ms;
		/* workers[1] holds the previous round's time. */
		workers[1].blocked_until_ms = w->blocked_until_ms;
		for (int r = 0; r < 20; r++)
			placement_refused(w, &context);
		if (w->blocked_until_ms > longest)
			longest = w->blocked_until_ms;
	}
	ck_assert_uint_lt(repeated, 100);
	ck_assert_uint_gt(longest, 2500);
	ck_assert_uint_le(longest, 3000);
}
END_TEST

START_TEST(test_other_workers_prevent_opening)
{
	workers[0].breaker.rate_milli = 400;
	ck_assert(placement_may_open(&workers[0], 30));
	/* All workers fail alike, so the jobs are the cause. */
	for (int i = 1; i < WORKERS; i++)
		workers[i].breaker.rate_milli = 300;
	ck_assert(!placement_may_open(&workers[0], 30));
	for (int i = 1; i < WORKERS; i++)
		workers[i].breaker.rate_milli = 100;
	ck_assert(placement_may_open(&workers[0], 30));
	/* Three of ten breakers are open. */
	for (int i = 1; i < 4; i++)
		workers[i].breaker.state = BREAKER_OPEN;
	ck_assert(!placement_may_open(&workers[0], 30));
}
END_TEST

START_TEST(test_released_worker_is_used_only_without_own_ones)
{
	workers[0].released = true; /* the fastest */
	placement_refresh(&workers[0], &context);
	for (int i = 0; i < (WORKERS - 1) * 2; i++)
		ck_assert_ptr_eq(start(), &workers[i / 2 + 1]);
	ck_assert_ptr_null(start());
	ck_assert_uint_eq(placement_slots(&set), (WORKERS - 1) * 2);
	for (int i = 1; i < WORKERS; i++)
		placement_set_remove(&workers[i]);
	ck_assert_ptr_eq(start(), &workers[0]);
	ck_assert_uint_eq(placement_slots(&set), 2);
}
END_TEST

START_TEST(test_removed_worker_is_not_picked)
{
	for (int i = 0; i < WORKERS - 1; i++)
		placement_set_remove(&workers[i]);
	ck_assert_ptr_null(placement_set_find(&set, "worker-0"));
	ck_assert_ptr_eq(start(), &workers[WORKERS - 1]);
	ck_assert_ptr_eq(placement_set_find(&set, workers[WORKERS - 1].name),
			 &workers[WORKERS - 1]);
	placement_set_remove(&workers[WORKERS - 1]);
	ck_assert_ptr_null(start());
	ck_assert_uint_eq(set.usable_slots, 0);
}
END_TEST

START_TEST(test_rendezvous_moves_only_the_lost_members_keys)
{
	uint64_t members[] = { 11, 22, 33, 44 };
	int moved = 0;

	for (int i = 0; i < 400; i++) {
		char key[16];
		size_t with, without;

		snprintf(key, sizeof(key), "w%d", i);
		with = placement_rendezvous(key, members, 4);
		without = placement_rendezvous(key, members, 3);
		moved += with == 3;
		ck_assert(with == 3 || with == without);
	}
	ck_assert_int_gt(moved, 50);
	ck_assert_int_lt(moved, 200);
}
END_TEST

int main(void)
{
	return RUN_CASE("placement", setup, teardown,
			test_fastest_idle_slot_first,
			test_unobserved_worker_is_first_and_failing_one_is_not,
			test_no_policy_picks_an_unusable_worker,
			test_refusals_block_with_jitter,
			test_other_workers_prevent_opening,
			test_released_worker_is_used_only_without_own_ones,
			test_removed_worker_is_not_picked,
			test_rendezvous_moves_only_the_lost_members_keys);
}
