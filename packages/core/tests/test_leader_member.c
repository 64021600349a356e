/*
 * Leader election: claims rise and differ between instances, so that two never
 * lead with the same fencing token, and a single leader is left once links are
 * up again after a partition.
 */
#include <stdio.h>

#include "base/tests/run_suite.h"
#include "core/leader_member.h"
#include "core/lease_pool.h"

#define COUNT 6
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
		leader_set_eligible(members[i], true);
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

/* Sends a beat over an existing link, whether or not one is due. */
static void send_beat(int from, int to)
{
	Bergamot__LeaderBeat msg = BERGAMOT__LEADER_BEAT__INIT;
	struct leader_member *m = leader_find(members[from], incarnation(to));

	if (!m || !m->linked)
		return;
	leader_fill_beat(members[from], m, &msg, now_ms);
	leader_receive_beat(members[to], incarnation(from), &msg, now_ms);
}

static void advance(uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 20) {
		now_ms += 20;
		for (int i = 0; i < COUNT; i++)
			for (int j = 0; j < COUNT; j++)
				if (i != j)
					send_beat(i, j);
		for (int i = 0; i < COUNT; i++)
			leader_elect(members[i], now_ms, WALL_MS);
	}
}

static int count_leaders(void)
{
	int count = 0;

	for (int i = 0; i < COUNT; i++)
		count += leader_claim(members[i]) != 0;
	return count;
}

static void cut_off(int cut)
{
	for (int i = 0; i < COUNT; i++) {
		if (i == cut)
			continue;
		leader_link_down(members[i], incarnation(cut), now_ms);
		leader_link_down(members[cut], incarnation(i), now_ms);
	}
}

static void link_all(void)
{
	for (int i = 0; i < COUNT; i++)
		for (int j = 0; j < COUNT; j++)
			if (i != j)
				link_up(i, j);
}

START_TEST(test_one_leads)
{
	link_all();
	advance(3000);
	ck_assert_int_eq(count_leaders(), 1);
	for (int i = 0; i < COUNT; i++)
		ck_assert_uint_eq(leader_current(members[i]),
				  leader_current(members[0]));
}
END_TEST

/*
 * A data centre is cut off without closing its links. It does not wait for the
 * better candidates of the others, whose last beats would be valid for seconds:
 * callers are refused when there is no leader for 1.5 s.
 */
START_TEST(test_data_centre_cut_off)
{
	int cut = 0;
	uint64_t begin_ms;

	link_all();
	advance(3000);
	for (int i = 0; i < COUNT; i++)
		if (!leader_claim(members[i]))
			cut = i; /* ranks last: equal weights */
	begin_ms = now_ms;
	while (!leader_claim(members[cut]) && now_ms < begin_ms + 5000) {
		now_ms += 20;
		leader_elect(members[cut], now_ms, WALL_MS);
	}
	ck_assert_uint_lt(now_ms - begin_ms, 1500);
}
END_TEST

/*
 * A cut heals: the smaller side's leader yields, though its claim is higher, so
 * that only its own workers change hands.
 */
START_TEST(test_smaller_side_yields)
{
	uint64_t leader;
	int cut = 0;

	link_all();
	advance(5000);
	leader = leader_current(members[0]);
	for (int i = 0; i < COUNT; i++)
		if (!leader_claim(members[i]))
			cut = i;
	cut_off(cut);
	advance(5000);
	ck_assert_int_eq(count_leaders(), 2);
	ck_assert_uint_gt(leader_claim(members[cut]),
			  leader_claim(members[(leader >> 32) - 1]));
	link_all();
	advance(3000);
	for (int i = 0; i < COUNT; i++)
		ck_assert_uint_eq(leader_current(members[i]), leader);
}
END_TEST

/* All instances claim in the same millisecond, before any beat arrives. */
START_TEST(test_claims_at_once)
{
	for (int i = 0; i < COUNT; i++)
		leader_raise_claim(members[i], now_ms, WALL_MS);
	for (int i = 0; i < COUNT; i++)
		for (int j = 0; j < i; j++)
			ck_assert_uint_ne(leader_claim(members[i]),
					  leader_claim(members[j]));
	link_all();
	advance(1000);
	ck_assert_int_eq(count_leaders(), 1);
}
END_TEST

/* At no time two lead, and in the end one does. */
static void elect_in_idle_loops(void)
{
	for (int tick = 0; tick < 30; tick++) {
		now_ms += 100;
		for (int i = 0; i < COUNT; i++)
			leader_elect(members[i], now_ms, WALL_MS);
		ck_assert_int_le(count_leaders(), 1);
		for (int i = 0; i < COUNT; i++)
			for (int j = 0; j < COUNT; j++)
				if (i != j)
					send_beat(i, j);
	}
	ck_assert_int_eq(count_leaders(), 1);
}

/*
 * All instances start at once and decide at the period of the idle loop: the
 * second-best candidate waits for the best, however long nobody has led.
 */
START_TEST(test_start_at_once)
{
	link_all();
	now_ms += 40;
	elect_in_idle_loops();
}
END_TEST

/* A damaged beat must not carry a claim above which nobody can claim. */
START_TEST(test_impossible_claim_is_dropped)
{
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;

	link_all();
	beat.highest_claim = UINT64_MAX;
	leader_receive_beat(members[0], incarnation(1), &beat, now_ms);
	leader_raise_claim(members[0], now_ms, WALL_MS);
	ck_assert_uint_lt(leader_claim(members[0]), UINT64_C(1) << 53);
	ck_assert_uint_gt(leader_claim(members[0]), WALL_MS);
}
END_TEST

/* A token of a leader's orders is above its claim. */
START_TEST(test_claim_is_above_tokens)
{
	uint64_t token;

	link_all();
	leader_raise_claim(members[0], now_ms, WALL_MS);
	token = leader_claim(members[0]) + 1000 * POOL_FENCE_STEP;
	leader_note_token(members[0], token);
	send_beat(0, 1);
	send_beat(1, 0);
	ck_assert(!leader_is_outranked(members[0]));
	leader_raise_claim(members[1], now_ms, WALL_MS);
	ck_assert_uint_gt(leader_claim(members[1]), token);
	leader_raise_claim(members[0], now_ms, WALL_MS);
	ck_assert_uint_gt(leader_claim(members[0]), token);
}
END_TEST

static void restart_all(uint32_t registered)
{
	tear_down();
	set_up();
	for (int i = 0; i < COUNT; i++)
		leader_set_registered(members[i], registered);
}

/*
 * All instances have lost power and start again. A quote of 60 ms is of use for
 * 468 ms, so that one leads within 300 ms once most are linked.
 */
START_TEST(test_cold_start)
{
	restart_all(COUNT);
	link_all();
	advance(300);
	ck_assert_int_eq(count_leaders(), 1);
}
END_TEST

/* The same where instances decide at the period of the idle loop. */
START_TEST(test_cold_start_of_idle_loops)
{
	restart_all(COUNT);
	link_all();
	elect_in_idle_loops();
}
END_TEST

/* Half of the registered instances are not linked: one of them may lead. */
START_TEST(test_start_of_a_minority_waits)
{
	restart_all(COUNT * 2);
	link_all();
	advance(400);
	ck_assert_int_eq(count_leaders(), 0);
}
END_TEST

/* An instance that starts hears of a leader before it is linked to it. */
START_TEST(test_start_beside_a_leader_waits)
{
	struct leader_options newcomer = {
		.incarnation = incarnation(0),
		.address = "x",
		.weight = 9000,
	};

	link_all();
	leader_raise_claim(members[1], now_ms, WALL_MS);
	advance(200);
	for (int i = 1; i < COUNT; i++)
		leader_link_down(members[i], incarnation(0), now_ms);
	talloc_free(members[0]);
	newcomer.now_ms = now_ms;
	members[0] = leader_create(NULL, &newcomer);
	leader_set_eligible(members[0], true);
	leader_set_registered(members[0], COUNT);
	for (int i = 2; i < COUNT; i++) {
		link_up(0, i);
		link_up(i, 0);
	}
	advance(400);
	ck_assert_uint_eq(leader_claim(members[0]), 0);
}
END_TEST

/*
 * An instance that has just started has the largest processor share, but does
 * not claim yet: the others do not wait for it when the leader resigns.
 */
START_TEST(test_no_wait_for_one_that_has_just_started)
{
	struct leader_options newcomer = {
		.incarnation = incarnation(0),
		.address = "x",
		.weight = 9000,
	};
	int leader;

	link_all();
	advance(3000);
	leader = leader_claim(members[1])   ? 1
		 : leader_claim(members[2]) ? 2
					    : 0;
	for (int i = 1; !leader && i < COUNT; i++) {
		leader_raise_claim(members[i], now_ms, WALL_MS + 10);
		leader = i;
		advance(400);
	}
	for (int i = 1; i < COUNT; i++)
		leader_link_down(members[i], incarnation(0), now_ms);
	talloc_free(members[0]);
	newcomer.now_ms = now_ms;
	members[0] = leader_create(NULL, &newcomer);
	leader_set_eligible(members[0], true);
	for (int i = 1; i < COUNT; i++) {
		link_up(0, i);
		link_up(i, 0);
	}
	advance(100);
	leader_stop(members[leader]);
	advance(100);
	ck_assert_int_eq(count_leaders(), 1);
}
END_TEST

/*
 * The leader with the higher claim is lost before the other gives up its own.
 */
START_TEST(test_outranked_by_one_that_is_lost)
{
	link_all();
	leader_raise_claim(members[0], now_ms, WALL_MS);
	leader_raise_claim(members[1], now_ms, WALL_MS + 10);
	send_beat(1, 0);
	ck_assert(leader_is_outranked(members[0]));
	ck_assert(!leader_is_outranked(members[1]));
	leader_link_down(members[0], incarnation(1), now_ms);
	leader_elect(members[0], now_ms, WALL_MS);
	ck_assert_uint_ne(leader_claim(members[0]), 0);
	ck_assert(leader_is_outranked(members[0]));
	leader_raise_claim(members[0], now_ms, WALL_MS);
	ck_assert(!leader_is_outranked(members[0]));
	ck_assert_uint_gt(leader_claim(members[0]), leader_claim(members[1]));
}
END_TEST

/*
 * Both sides of a partition lead; one leader is left when links are up again.
 */
START_TEST(test_partition_heals)
{
	link_all();
	advance(3000);
	for (int i = 0; i < 2; i++) {
		leader_link_down(members[i], incarnation(2), now_ms);
		leader_link_down(members[2], incarnation(i), now_ms);
	}
	advance(4000);
	ck_assert_int_eq(count_leaders(), 2);
	link_all();
	advance(1000);
	ck_assert_int_eq(count_leaders(), 1);
}
END_TEST

/* After a planned stop another instance leads within a beat period. */
START_TEST(test_stop)
{
	link_all();
	advance(3000);
	for (int i = 0; i < COUNT; i++)
		if (leader_claim(members[i]))
			leader_stop(members[i]);
	advance(100);
	ck_assert_int_eq(count_leaders(), 1);
}
END_TEST

/* Like advance, but sends a beat only when it is due. */
static void advance_with_due_beats(uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 20) {
		now_ms += 20;
		for (int i = 0; i < COUNT; i++) {
			for (int j = 0; j < COUNT; j++) {
				struct leader_member *m =
					leader_find(members[i], incarnation(j));

				if (m && leader_beat_due(members[i], m, now_ms))
					send_beat(i, j);
			}
			leader_elect(members[i], now_ms, WALL_MS);
		}
	}
}

/* Links members so that their beats to each other are half a period apart. */
static void link_out_of_step(void)
{
	for (int i = 0; i < COUNT; i++)
		for (int j = 0; j < i; j++)
			link_up(i, j);
	advance_with_due_beats(500);
	for (int i = 0; i < COUNT; i++)
		for (int j = 0; j < i; j++)
			link_up(j, i);
}

/* Checks that all other instances count each leader as live. */
static void check_valid(void)
{
	for (int i = 0; i < COUNT; i++) {
		const struct leader_member *m = leader_members(members[i]);

		for (; m && leader_claim(members[i]); m = m->hh.next)
			ck_assert_uint_gt(m->valid_until_ms, now_ms);
	}
}

/*
 * All other instances count the new leader as live without a break, at whatever
 * offset to their beats it starts to lead.
 */
START_TEST(test_stop_keeps_entries_valid)
{
	for (uint64_t offset = 0; offset < 2000; offset += 100) {
		tear_down();
		set_up();
		link_out_of_step();
		advance_with_due_beats(5000 + offset);
		for (int i = 0; i < COUNT; i++)
			if (leader_claim(members[i]))
				leader_stop(members[i]);
		for (uint64_t t = 0; t < 2000; t += 20) {
			advance_with_due_beats(20);
			check_valid();
		}
		ck_assert_int_eq(count_leaders(), 1);
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

/* Like advance, while messages to one instance wait for lag_ms. */
static void advance_with_lag(int slow, uint64_t lag_ms, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 20) {
		leader_record_lag(members[slow], lag_ms);
		advance(20);
	}
}

/*
 * The leader's machine has become slow and messages to it wait: another
 * instance leads within a second, and the slow one does not lead again at once.
 */
START_TEST(test_slow_leader_gives_up)
{
	int slow;

	link_all();
	advance(3000);
	slow = find_leader();
	advance_with_lag(slow, 20, 3000); /* not slow enough */
	ck_assert_int_eq(find_leader(), slow);
	advance_with_lag(slow, 100, 1000);
	ck_assert_int_eq(count_leaders(), 1);
	ck_assert_int_ne(find_leader(), slow);
	ck_assert(leader_is_overloaded(members[slow]));
	advance(15000);
	ck_assert(!leader_is_overloaded(members[slow]));
	ck_assert_int_eq(count_leaders(), 1);
}
END_TEST

/*
 * A pause of the process affects one lag window: the leader does not give up.
 */
START_TEST(test_pause_is_not_slow)
{
	int slow;

	link_all();
	advance(3000);
	slow = find_leader();
	/* lag samples that waited during the pause */
	leader_record_lag(members[slow], 3000);
	leader_record_lag(members[slow], 3000);
	advance_with_lag(slow, 0, 2000);
	ck_assert_int_eq(find_leader(), slow);
}
END_TEST

/* A slow leader leads on if no other instance may lead. */
START_TEST(test_slow_leader_stays)
{
	int slow;

	link_all();
	advance(3000);
	slow = find_leader();
	for (int i = 0; i < COUNT; i++)
		if (i != slow)
			leader_set_eligible(members[i], false);
	advance(200);
	advance_with_lag(slow, 800, 5000);
	ck_assert_int_eq(find_leader(), slow);
}
END_TEST

static void receive_beat(struct leadership *leadership, uint64_t who,
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
	leader_receive_beat(leadership, who, &msg, now_ms);
}

/* Members that may not claim count too: they read the list of workers. */
START_TEST(test_better_local_members)
{
	struct leader_options options = {
		.incarnation = 50,
		.address = "x",
		.data_centre = "d1",
		.weight = 300,
		.now_ms = now_ms,
	};
	struct leadership *leadership = leader_create(NULL, &options);

	ck_assert_uint_eq(leader_count_better_local(leadership, now_ms), 0);
	receive_beat(leadership, 10, "d1", 500, false); /* larger */
	/* as large, lower incarnation */
	receive_beat(leadership, 11, "d1", 300, false);
	/* as large, higher incarnation */
	receive_beat(leadership, 60, "d1", 300, false);
	receive_beat(leadership, 12, "d1", 90, false);
	/* another data centre */
	receive_beat(leadership, 13, "d2", 500, false);
	receive_beat(leadership, 14, "d1", 500, true); /* stopping */
	ck_assert_uint_eq(leader_count_better_local(leadership, now_ms), 2);
	leader_link_down(leadership, 10, now_ms);
	ck_assert_uint_eq(leader_count_better_local(leadership, now_ms), 1);
	now_ms += 60000; /* the last beat of member 11 is too old */
	ck_assert_uint_eq(leader_count_better_local(leadership, now_ms), 0);
	talloc_free(leadership);
}
END_TEST

int main(void)
{
	return RUN_CASE(
		"leader_member", set_up, tear_down, test_one_leads,
		test_data_centre_cut_off, test_smaller_side_yields,
		test_start_at_once, test_no_wait_for_one_that_has_just_started,
		test_outranked_by_one_that_is_lost, test_claims_at_once,
		test_partition_heals, test_stop, test_stop_keeps_entries_valid,
		test_better_local_members, test_slow_leader_gives_up,
		test_pause_is_not_slow, test_slow_leader_stays, test_cold_start,
		test_cold_start_of_idle_loops, test_start_of_a_minority_waits,
		test_start_beside_a_leader_waits,
		test_impossible_claim_is_dropped, test_claim_is_above_tokens);
}
