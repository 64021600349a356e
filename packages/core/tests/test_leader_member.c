/*
 * Who leads: claims rise and are unlike, so that two instances never lead with
 * one fencing token; a wrong view heals when links are back.
 */
#include <stdio.h>

#include "base/tests/run_suite.h"
#include "core/leader_member.h"

#define COUNT 3
#define WALL_MS UINT64_C(1790000000000)

static struct leadership *members[COUNT];
static uint64_t now_ms;

static uint64_t incarnation(int i)
{
	return (uint64_t)(i + 1) << 32;
}

static void set_up(void)
{
	now_ms = 10000;
	for (int i = 0; i < COUNT; i++) {
		struct leader_options options = {
			.incarnation = incarnation(i),
			.address = "127.0.0.1:1",
			.weight = 250,
			.now_ms = now_ms,
		};

		members[i] = leader_create(NULL, &options);
		leader_set_able(members[i], true);
	}
}

static void tear_down(void)
{
	for (int i = 0; i < COUNT; i++)
		talloc_free(members[i]);
}

static void link_up(int i, int j)
{
	char name[2] = { (char)('a' + j), 0 };
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;

	hello.incarnation = incarnation(j);
	hello.instance = name;
	hello.address = name;
	leader_link_up(members[i], &hello, now_ms);
}

/* Sends one beat if there is a link; due or not. */
static void beat(int from, int to)
{
	Bergamot__LeaderBeat msg = BERGAMOT__LEADER_BEAT__INIT;
	struct leader_member *m = leader_find(members[from], incarnation(to));

	if (!m || !m->linked)
		return;
	leader_fill_beat(members[from], m, &msg, now_ms);
	leader_take_beat(members[to], incarnation(from), &msg, now_ms);
}

static void pass(uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 20) {
		now_ms += 20;
		for (int i = 0; i < COUNT; i++)
			for (int j = 0; j < COUNT; j++)
				if (i != j)
					beat(i, j);
		for (int i = 0; i < COUNT; i++)
			leader_decide(members[i], now_ms, WALL_MS);
	}
}

static int leaders(void)
{
	int count = 0;

	for (int i = 0; i < COUNT; i++)
		count += leader_claim(members[i]) != 0;
	return count;
}

static void join_all(void)
{
	for (int i = 0; i < COUNT; i++)
		for (int j = 0; j < COUNT; j++)
			if (i != j)
				link_up(i, j);
}

START_TEST(test_one_leads)
{
	join_all();
	pass(3000);
	ck_assert_int_eq(leaders(), 1);
	for (int i = 0; i < COUNT; i++)
		ck_assert_uint_eq(leader_current(members[i]),
				  leader_current(members[0]));
}
END_TEST

/* All claim in the same millisecond, before they hear of each other. */
START_TEST(test_claims_at_once)
{
	for (int i = 0; i < COUNT; i++)
		leader_raise(members[i], now_ms, WALL_MS);
	for (int i = 0; i < COUNT; i++)
		for (int j = 0; j < i; j++)
			ck_assert_uint_ne(leader_claim(members[i]),
					  leader_claim(members[j]));
	join_all();
	pass(1000);
	ck_assert_int_eq(leaders(), 1);
}
END_TEST

/*
 * All start at once and look at the idle loop's pace: the second-best candidate
 * waits for the best, however long nobody has led.
 */
START_TEST(test_start_at_once)
{
	join_all();
	now_ms += 40;
	for (int tick = 0; tick < 30; tick++) {
		now_ms += 100;
		for (int i = 0; i < COUNT; i++)
			leader_decide(members[i], now_ms, WALL_MS);
		ck_assert_int_le(leaders(), 1);
		for (int i = 0; i < COUNT; i++)
			for (int j = 0; j < COUNT; j++)
				if (i != j)
					beat(i, j);
	}
	ck_assert_int_eq(leaders(), 1);
}
END_TEST

/*
 * One that has just started would be the best candidate, but does not claim
 * yet: the others do not wait for it when the leader resigns.
 */
START_TEST(test_no_wait_for_one_that_has_just_started)
{
	struct leader_options young = {
		.incarnation = incarnation(0),
		.address = "x",
		.weight = 9000,
	};
	int leader;

	join_all();
	pass(3000);
	leader = leader_claim(members[1])   ? 1
		 : leader_claim(members[2]) ? 2
					    : 0;
	for (int i = 1; !leader && i < COUNT; i++) {
		leader_raise(members[i], now_ms, WALL_MS + 10);
		leader = i;
		pass(400);
	}
	for (int i = 1; i < COUNT; i++)
		leader_link_down(members[i], incarnation(0), now_ms);
	talloc_free(members[0]);
	young.now_ms = now_ms;
	members[0] = leader_create(NULL, &young);
	leader_set_able(members[0], true);
	for (int i = 1; i < COUNT; i++) {
		link_up(0, i);
		link_up(i, 0);
	}
	pass(100);
	leader_stop(members[leader]);
	pass(100);
	ck_assert_int_eq(leaders(), 1);
}
END_TEST

/* The higher one of two claims is lost before the other has given up. */
START_TEST(test_outranked_by_one_that_is_lost)
{
	join_all();
	leader_raise(members[0], now_ms, WALL_MS);
	leader_raise(members[1], now_ms, WALL_MS + 10);
	beat(1, 0);
	ck_assert(leader_is_outranked(members[0]));
	ck_assert(!leader_is_outranked(members[1]));
	leader_link_down(members[0], incarnation(1), now_ms);
	leader_decide(members[0], now_ms, WALL_MS);
	ck_assert_uint_ne(leader_claim(members[0]), 0);
	ck_assert(leader_is_outranked(members[0]));
	leader_raise(members[0], now_ms, WALL_MS);
	ck_assert(!leader_is_outranked(members[0]));
	ck_assert_uint_gt(leader_claim(members[0]), leader_claim(members[1]));
}
END_TEST

/* Two sides lead while they are cut; one is left when links are back. */
START_TEST(test_cut_and_healed)
{
	join_all();
	pass(3000);
	for (int i = 0; i < 2; i++) {
		leader_link_down(members[i], incarnation(2), now_ms);
		leader_link_down(members[2], incarnation(i), now_ms);
	}
	pass(4000);
	ck_assert_int_eq(leaders(), 2);
	join_all();
	pass(1000);
	ck_assert_int_eq(leaders(), 1);
}
END_TEST

/* A planned stop hands over within a beat. */
START_TEST(test_stop)
{
	join_all();
	pass(3000);
	for (int i = 0; i < COUNT; i++)
		if (leader_claim(members[i]))
			leader_stop(members[i]);
	pass(100);
	ck_assert_int_eq(leaders(), 1);
}
END_TEST

/* As pass, but a beat is sent only when it is due. */
static void pass_with_due_beats(uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 20) {
		now_ms += 20;
		for (int i = 0; i < COUNT; i++) {
			for (int j = 0; j < COUNT; j++) {
				struct leader_member *m =
					leader_find(members[i], incarnation(j));

				if (m && leader_beat_due(members[i], m, now_ms))
					beat(i, j);
			}
			leader_decide(members[i], now_ms, WALL_MS);
		}
	}
}

/* Two members' beats to each other cross half a period apart. */
static void join_out_of_step(void)
{
	for (int i = 0; i < COUNT; i++)
		for (int j = 0; j < i; j++)
			link_up(i, j);
	pass_with_due_beats(500);
	for (int i = 0; i < COUNT; i++)
		for (int j = 0; j < i; j++)
			link_up(j, i);
}

/* Does each leader count on all others? */
static void check_valid(void)
{
	for (int i = 0; i < COUNT; i++) {
		const struct leader_member *m = leader_members(members[i]);

		for (; m && leader_claim(members[i]); m = m->hh.next)
			ck_assert_uint_gt(m->valid_until_ms, now_ms);
	}
}

/* The new leader counts on all entries without a break, whenever it begins. */
START_TEST(test_stop_keeps_entries_valid)
{
	for (uint64_t offset = 0; offset < 2000; offset += 100) {
		tear_down();
		set_up();
		join_out_of_step();
		pass_with_due_beats(5000 + offset);
		for (int i = 0; i < COUNT; i++)
			if (leader_claim(members[i]))
				leader_stop(members[i]);
		for (uint64_t t = 0; t < 2000; t += 20) {
			pass_with_due_beats(20);
			check_valid();
		}
		ck_assert_int_eq(leaders(), 1);
	}
}
END_TEST

static int find_leader(void)
{
	for (int i = 0; i < COUNT; i++)
		if (leader_claim(members[i]))
			return i;
	return -1;
}

/* Beats and decisions, while messages wait in front of one. */
static void pass_with_slow(int slow, uint64_t lag_ms, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 20) {
		leader_note_lag(members[slow], lag_ms);
		pass(20);
	}
}

/*
 * Messages wait in front of the leader, whose machine has become slow: another
 * one leads within a second, and it does not come back at once.
 */
START_TEST(test_slow_leader_gives_up)
{
	int slow;

	join_all();
	pass(3000);
	slow = find_leader();
	pass_with_slow(slow, 20, 3000); /* not slow enough */
	ck_assert_int_eq(find_leader(), slow);
	pass_with_slow(slow, 100, 1000);
	ck_assert_int_eq(leaders(), 1);
	ck_assert_int_ne(find_leader(), slow);
	ck_assert(leader_is_overloaded(members[slow]));
	pass(15000);
	ck_assert(!leader_is_overloaded(members[slow]));
	ck_assert_int_eq(leaders(), 1);
}
END_TEST

/* A pause of the process shows once, and is no reason. */
START_TEST(test_pause_is_not_slow)
{
	int slow;

	join_all();
	pass(3000);
	slow = find_leader();
	leader_note_lag(members[slow],
			3000); /* the byte that waited all along */
	leader_note_lag(members[slow], 3000);
	pass_with_slow(slow, 0, 2000);
	ck_assert_int_eq(find_leader(), slow);
}
END_TEST

/* Nobody else may lead, or others could not keep up either: it stays. */
START_TEST(test_slow_leader_stays)
{
	int slow;

	join_all();
	pass(3000);
	slow = find_leader();
	for (int i = 0; i < COUNT; i++)
		if (i != slow)
			leader_set_able(members[i], false);
	pass(200);
	pass_with_slow(slow, 800, 5000);
	ck_assert_int_eq(find_leader(), slow);
}
END_TEST

static void hear(struct leadership *leadership, uint64_t who,
		 const char *data_centre, uint32_t share, bool stopping)
{
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;
	Bergamot__LeaderBeat msg = BERGAMOT__LEADER_BEAT__INIT;
	char name[24];

	snprintf(name, sizeof(name), "m%llu", (unsigned long long)who);
	hello.incarnation = who;
	hello.instance = hello.address = name;
	hello.data_centre = (char *)data_centre;
	leader_link_up(leadership, &hello, now_ms);
	msg.share = share;
	msg.stopping = stopping;
	leader_take_beat(leadership, who, &msg, now_ms);
}

/* Who keeps a view of the workers: also those that may not claim count. */
START_TEST(test_better_near)
{
	struct leader_options options = {
		.incarnation = 50,
		.address = "x",
		.data_centre = "d1",
		.weight = 300,
		.now_ms = now_ms,
	};
	struct leadership *leadership = leader_create(NULL, &options);

	ck_assert_uint_eq(leader_better_near(leadership, now_ms), 0);
	hear(leadership, 10, "d1", 500, false); /* larger */
	hear(leadership, 11, "d1", 300, false); /* as large, and before us */
	hear(leadership, 60, "d1", 300, false); /* as large, and after us */
	hear(leadership, 12, "d1", 90, false);
	hear(leadership, 13, "d2", 500, false); /* elsewhere */
	hear(leadership, 14, "d1", 500, true); /* about to end */
	ck_assert_uint_eq(leader_better_near(leadership, now_ms), 2);
	leader_link_down(leadership, 10, now_ms);
	ck_assert_uint_eq(leader_better_near(leadership, now_ms), 1);
	now_ms += 60000; /* the other is silent */
	ck_assert_uint_eq(leader_better_near(leadership, now_ms), 0);
	talloc_free(leadership);
}
END_TEST

int main(void)
{
	return RUN_CASE(
		"leader_member", set_up, tear_down, test_one_leads,
		test_start_at_once, test_no_wait_for_one_that_has_just_started,
		test_outranked_by_one_that_is_lost, test_claims_at_once,
		test_cut_and_healed, test_stop, test_stop_keeps_entries_valid,
		test_better_near, test_slow_leader_gives_up,
		test_pause_is_not_slow, test_slow_leader_stays);
}
