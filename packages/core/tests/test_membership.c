/* Membership and its links, on a clock that the test sets. */
#include <stdio.h>
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/member_links.h"
#include "core/membership.h"

static struct membership *members;
static int dials, hang_ups, far_dials;

static void setup(void)
{
	struct member_options options = { .instance = "a0",
					  .data_centre = "a",
					  .address = "10.0.0.0:1",
					  .incarnation = 1000 };

	members = member_create(NULL, &options);
	dials = hang_ups = far_dials = 0;
}

static void teardown(void)
{
	talloc_free(members);
}

/*
 * Returns member n of a data centre, with an incarnation and an address derived
 * from both.
 */
static Bergamot__Member member(const char *dc, int n, uint64_t beat)
{
	static char names[64][16], addresses[64][24];
	static int next;
	Bergamot__Member m = BERGAMOT__MEMBER__INIT;
	int slot = next++ % 64;

	snprintf(names[slot], 16, "%s%d", dc, n);
	snprintf(addresses[slot], 24, "10.0.%d.%d:1", *dc, n);
	m.instance = names[slot];
	m.address = addresses[slot];
	m.data_centre = (char *)dc;
	m.incarnation = 1000 + (uint64_t)(*dc - 'a') * 100 + (uint64_t)n;
	m.beat = beat;
	return m;
}

static uint64_t link_up(const char *dc, int n, uint64_t now_ms)
{
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;
	Bergamot__Member m = member(dc, n, 0);

	hello.instance = m.instance;
	hello.data_centre = m.data_centre;
	hello.address = m.address;
	hello.incarnation = m.incarnation;
	member_link_up(members, &hello, now_ms);
	return m.incarnation;
}

static void receive_heartbeat(Bergamot__Member *self, Bergamot__Member *relayed,
			      uint64_t now_ms)
{
	Bergamot__Heartbeat beat = BERGAMOT__HEARTBEAT__INIT;

	beat.self = self;
	beat.relayed = &relayed;
	beat.n_relayed = relayed != NULL;
	member_receive_heartbeat(members, &beat, now_ms);
}

static enum member_state state_of(uint64_t incarnation)
{
	return member_find(members, incarnation)->state;
}

START_TEST(test_heartbeat_timeouts)
{
	uint64_t a1 = link_up("a", 1, 1000);
	Bergamot__Member m = member("a", 1, 1);

	member_tick(members, 2999);
	ck_assert_int_eq(state_of(a1), MEMBER_ALIVE);
	member_tick(members, 3000);
	ck_assert_int_eq(state_of(a1), MEMBER_SUSPECT);
	receive_heartbeat(&m, NULL, 3100);
	ck_assert_int_eq(state_of(a1), MEMBER_ALIVE);
	member_tick(members, 8100);
	ck_assert_int_eq(state_of(a1), MEMBER_GONE);
	m.beat = 2; /* the process was paused and has resumed */
	receive_heartbeat(&m, NULL, 9000);
	ck_assert_int_eq(state_of(a1), MEMBER_ALIVE);
}
END_TEST

START_TEST(test_closed_link_counts_at_once)
{
	uint64_t live[4], a1 = link_up("a", 1, 1000);

	ck_assert_int_eq(member_list_dispatch_candidates(members, "a", live, 4),
			 2);
	member_link_down(members, a1, 1001);
	ck_assert_int_eq(state_of(a1), MEMBER_SUSPECT);
	ck_assert_int_eq(member_list_dispatch_candidates(members, "a", live, 4),
			 1);
	/* This instance stays reachable without a link to itself. */
	member_link_down(members, member_self(members)->incarnation, 1001);
	ck_assert_int_eq(member_list_dispatch_candidates(members, "a", live, 4),
			 1);
}
END_TEST

START_TEST(test_leaving_is_final)
{
	uint64_t a1 = link_up("a", 1, 1000);
	Bergamot__Member m = member("a", 1, 1);

	m.state = BERGAMOT__MEMBER_STATE__LEAVING;
	receive_heartbeat(&m, NULL, 1001);
	ck_assert_int_eq(state_of(a1), MEMBER_LEAVING);
	m.beat = 2;
	m.state = BERGAMOT__MEMBER_STATE__ALIVE;
	receive_heartbeat(&m, NULL, 1002);
	ck_assert_int_eq(state_of(a1), MEMBER_LEAVING);
	link_up("a", 2, 1002);
	member_mark_leaving(members, "10.0.97.2:1");
	ck_assert_int_eq(state_of(1002), MEMBER_LEAVING);
}
END_TEST

/*
 * After a restart at the same address the earlier incarnation stays gone, even
 * if a peer still relays it.
 */
START_TEST(test_restart_replaces)
{
	uint64_t a1 = link_up("a", 1, 1000);
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;
	Bergamot__Member m = member("a", 1, 9), b = member("a", 2, 1);

	hello.instance = m.instance;
	hello.data_centre = "a";
	hello.address = m.address;
	hello.incarnation = 77;
	member_link_down(members, a1, 1100);
	member_link_up(members, &hello, 1200);
	ck_assert_int_eq(state_of(a1), MEMBER_GONE);
	receive_heartbeat(&b, &m, 1300);
	ck_assert_int_eq(state_of(a1), MEMBER_GONE);
	ck_assert_int_eq(state_of(77), MEMBER_ALIVE);
}
END_TEST

/*
 * A relayed suspect state is not adopted, and a heartbeat with an old number
 * does not extend the timeout.
 */
START_TEST(test_relayed_state)
{
	Bergamot__Member b1 = member("b", 1, 5), b2 = member("b", 2, 3);

	link_up("b", 1, 1000);
	b2.state = BERGAMOT__MEMBER_STATE__SUSPECT;
	receive_heartbeat(&b1, &b2, 1000);
	ck_assert_int_eq(state_of(1102), MEMBER_ALIVE);
	ck_assert(member_find(members, 1102)->through_delegate);
	/* Timeouts are longer for an unlinked member of another data centre. */
	member_tick(members, 20000);
	ck_assert_int_eq(state_of(1102), MEMBER_ALIVE);
	receive_heartbeat(&b1, &b2, 20000); /* the same heartbeat again */
	member_tick(members, 61000);
	ck_assert_int_eq(state_of(1102), MEMBER_GONE);
}
END_TEST

/*
 * Which members are relayed to a receiver. Members of another data centre are
 * never relayed back to it.
 */
START_TEST(test_relays)
{
	const struct member_entry *out[8];
	Bergamot__Member b1 = member("b", 1, 5), b2 = member("b", 2, 3);
	uint64_t a1 = link_up("a", 1, 1000), first;

	link_up("a", 2, 1000);
	link_up("b", 1, 1000);
	receive_heartbeat(&b1, &b2, 1000);
	member_tick(members, 1500);
	/* A receiver in the other data centre gets this one's members only. */
	ck_assert_int_eq(member_select_for_heartbeat(members,
						     member_find(members, 1101),
						     true, 1500, out, 8),
			 2);
	ck_assert_str_eq(out[0]->data_centre, "a");
	/* A local one gets the other local member and those of b's delegate. */
	ck_assert_int_eq(member_select_for_heartbeat(members,
						     member_find(members, a1),
						     true, 1500, out, 8),
			 3);
	/* No recent change is left: members follow in round-robin order. */
	ck_assert_int_eq(member_select_for_heartbeat(members,
						     member_find(members, a1),
						     true, 9000, out, 8),
			 0);
	ck_assert_int_eq(member_select_for_heartbeat(members,
						     member_find(members, a1),
						     false, 9000, out, 1),
			 1);
	first = out[0]->incarnation;
	member_advance_heartbeat_round(members);
	member_select_for_heartbeat(members, member_find(members, a1), false,
				    9000, out, 1);
	ck_assert_uint_ne(out[0]->incarnation, first);
}
END_TEST

static void dial(void *ctx, const char *address)
{
	(void)ctx;
	dials++;
	far_dials += !strncmp(address, "10.0.98.", 8);
}

static void hang_up(void *ctx, const char *address)
{
	(void)ctx;
	(void)address;
	hang_ups++;
}

static const struct member_links_ops ops = { dial, hang_up, NULL };

/* Adds members to data centres a and b, this many each. */
static void add_members(int each, uint64_t beat, uint64_t now_ms)
{
	for (int i = 1; i <= each; i++) {
		Bergamot__Member a = member("a", i, beat);
		Bergamot__Member b = member("b", i, beat);

		receive_heartbeat(&a, &b, now_ms);
	}
}

START_TEST(test_small_cluster_is_a_mesh)
{
	add_members(7, 1, 1000);
	member_links_refresh(members, &ops, 1000);
	ck_assert_int_eq(dials, 14);
}
END_TEST

START_TEST(test_large_cluster_links_delegates)
{
	int delegates = 0;
	bool self;

	add_members(20, 1, 1000);
	ck_assert(!member_links_is_mesh(members));
	for (uint64_t i = 1101; i <= 1120; i++)
		delegates += member_links_is_delegate(members,
						      member_find(members, i));
	ck_assert_int_eq(delegates, MEMBER_LINKS_DELEGATES);
	self = member_links_is_delegate(members, member_self(members));
	member_links_refresh(members, &ops, 1000);
	ck_assert_int_eq(dials, 20 + (self ? MEMBER_LINKS_DELEGATES : 0));
}
END_TEST

START_TEST(test_used_link_is_kept_then_closed)
{
	struct member_entry *m;
	int before;

	add_members(20, 1, 1000);
	for (m = member_find(members, 1101);
	     member_links_is_delegate(members, m);)
		m = member_find(members, m->incarnation + 1);
	member_links_refresh(members, &ops, 1000);
	before = dials;
	member_links_use(m, &ops, 1000);
	ck_assert_int_eq(dials, before + 1);
	add_members(20, 2, 30000);
	member_links_refresh(members, &ops, 1000 + MEMBER_LINKS_IDLE_MS - 1);
	ck_assert_int_eq(hang_ups, 0);
	member_links_refresh(members, &ops, 1000 + MEMBER_LINKS_IDLE_MS);
	ck_assert_int_eq(hang_ups, 1);
}
END_TEST

/*
 * After this instance hung up, a link opened by the peer must not count as its
 * own: it dials again, because the peer may close that link.
 */
START_TEST(test_link_hung_up_is_dialled_again)
{
	struct member_entry *m;

	add_members(1, 1, 1000);
	m = member_find(members, 1101);
	member_links_use(m, &ops, 1000);
	add_members(20, 2, 1000 + MEMBER_LINKS_IDLE_MS);
	member_links_refresh(members, &ops, 1000 + MEMBER_LINKS_IDLE_MS);
	ck_assert_int_eq(hang_ups, 1);
	dials = 0;
	member_links_opened(m, true, &ops, 1000 + MEMBER_LINKS_IDLE_MS);
	member_links_use(m, &ops, 2000 + MEMBER_LINKS_IDLE_MS);
	ck_assert_int_eq(dials, 1);
}
END_TEST

/*
 * The link to a gone member is closed, but it is probed, because a partition
 * may heal. A configuration changed meanwhile must arrive within 11 s of
 * healing, so no pause between probes may be as long as 9 s.
 */
START_TEST(test_gone_member_is_probed)
{
	uint64_t now_ms = 1000 + MEMBER_LINKS_RETRY_MS;
	int pause_s = 0, longest_s = 0;

	add_members(1, 1, 1000);
	member_links_refresh(members, &ops, 1000);
	member_tick(members, now_ms);
	for (; now_ms <
	       1000 + MEMBER_LINKS_RETRY_MS + 2 * MEMBER_LINKS_PROBE_PERIOD_MS;
	     now_ms += 1000) {
		int before = far_dials;

		member_links_refresh(members, &ops, now_ms);
		pause_s = far_dials > before ? 0 : pause_s + 1;
		if (longest_s < pause_s)
			longest_s = pause_s;
	}
	ck_assert_int_lt(longest_s, 9);
	ck_assert_int_ge(hang_ups, 4);
	ck_assert_int_ge(dials, 2 + 4);
	ck_assert_int_le(dials, 2 + 6);
}
END_TEST

START_TEST(test_member_that_left_is_not_probed)
{
	uint64_t now_ms = 1000 + MEMBER_LINKS_RETRY_MS;

	add_members(1, 1, 1000);
	member_mark_leaving(members, member_find(members, 1101)->address);
	member_tick(members, now_ms);
	member_links_refresh(members, &ops, now_ms);
	far_dials = 0;
	for (int i = 0; i < 100; i++, now_ms += 1000)
		member_links_refresh(members, &ops, now_ms);
	ck_assert_int_eq(far_dials, 0);
}
END_TEST

int main(void)
{
	return RUN_CASE("membership", setup, teardown, test_heartbeat_timeouts,
			test_closed_link_counts_at_once, test_leaving_is_final,
			test_restart_replaces, test_relayed_state, test_relays,
			test_small_cluster_is_a_mesh,
			test_large_cluster_links_delegates,
			test_used_link_is_kept_then_closed,
			test_link_hung_up_is_dialled_again,
			test_gone_member_is_probed,
			test_member_that_left_is_not_probed);
}
